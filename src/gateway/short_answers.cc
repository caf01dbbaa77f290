#include "short_answers.h"

#include <algorithm>
#include <utility>

namespace junctionrail::internal {
namespace {

// An upstream that crashes under an answer does so within this time of its first event. A longer
// time would hardly ever pass while upstreams crash one after the other.
constexpr DurationMs kOutlivesMs = 150;
// Answers of one upstream that are due within this time share one look at its port.
constexpr DurationMs kLookPeriodMs = 25;
constexpr DurationMs kLookTimeoutMs = 400;
// When there are more, the oldest are dropped: their parts are known to be sound later.
constexpr std::size_t kMaxAnswers = 1024;

}  // namespace

void ShortAnswers::Add(const AnswerSource& source, std::vector<RequestDigest> parts,
                       TimeMs begun_at, TimeMs now) {
  const TimeMs due_at = begun_at + kOutlivesMs;
  if (due_at <= now) return on_sound_(parts);
  answers_.push_back({source, std::move(parts), due_at});
  if (answers_.size() > kMaxAnswers) answers_.pop_front();
  LookSoon();
}

void ShortAnswers::LookSoon() {
  if (is_look_scheduled_) return;
  is_look_scheduled_ = true;
  timer_.After(kLookPeriodMs, [this] {
    is_look_scheduled_ = false;
    LookAtUpstreams();
    if (!answers_.empty()) LookSoon();
  });
}

// An upstream may have ended without an attempt of this entry in flight, so that only its port
// tells. An open port does not count if the upstream is known to have ended: it may belong to the
// next instance.
void ShortAnswers::LookAtUpstreams() {
  const TimeMs now = MonotonicMs();
  std::map<std::string, AnsweredParts> due;  // By instance.
  const auto is_due = [now](const Answer& it) { return it.due_at <= now; };
  for (const auto& it : answers_) {
    if (!is_due(it)) continue;
    AnsweredParts& answered = due[it.source.instance];
    answered.endpoint = it.source.endpoint;
    answered.parts.insert(answered.parts.end(), it.parts.begin(), it.parts.end());
  }
  answers_.erase(std::remove_if(answers_.begin(), answers_.end(), is_due), answers_.end());
  for (auto& [instance, answered] : due) {
    LookAtPort(io_, answered.endpoint, kLookTimeoutMs,
               [this, instance = instance, parts = std::move(answered.parts),
                life = std::weak_ptr<bool>(lifetime_)](PortState state) {
                 if (life.expired() || state != PortState::kOpen) return;
                 if (!quarantine_.IsKnown(instance)) on_sound_(parts);
               });
  }
}

}  // namespace junctionrail::internal

// Upstreams that fall silent during an attempt. A sound one may go on after a second or so: its
// attempt is kept beside another one until one of them is answered.
#include <algorithm>
#include <utility>

#include "exchange.h"

namespace junctionrail::internal {
namespace {

// The silence timeout before the response, as a multiple of the target for the first byte. An
// upstream silent for longer may have lost the request; a repeatable one is then tried elsewhere.
constexpr double kSilenceTargetFactor = 0.75;
constexpr double kStreamSilenceTargetFactor = 2.0;
constexpr DurationMs kMinSilenceMs = 150;
// The silence timeout within a resumable stream, as a multiple of the target for its pauses.
constexpr double kSilencePauseFactor = 2.5;

}  // namespace

// How long the upstream may be silent before another one is tried; 0: until the deadline.
DurationMs Exchange::SilenceTimeout() const {
  if (!gateway_.upstreams.policy().leaves_silent) return 0;
  if (!attempt_.call || attempt_.is_paused) return 0;
  if (!route_->IsRetryable() || possibly_run_attempts_ >= route_->max_attempts) return 0;
  const bool is_stream = route_->kind == RequestKind::kStreaming;
  if (is_response_begun_)
    return static_cast<DurationMs>(kSilencePauseFactor *
                                   static_cast<double>(route_->stream_gap_target_ms));
  const double targets = is_stream ? kStreamSilenceTargetFactor : kSilenceTargetFactor;
  const auto limit =
      static_cast<DurationMs>(targets * static_cast<double>(route_->first_byte_target_ms));
  return std::max(kMinSilenceMs, limit);
}

// Tries another upstream if one can take the request and the retry budget allows it; otherwise the
// wait goes on.
void Exchange::OnSilence(TimeMs now) {
  attempt_.last_activity_at = now;
  // It is this process that was away.
  if (HasUnreadResponse()) return ArmTimer();
  const PickResult choice = ChooseUpstream(now);
  const auto* to = std::get_if<SendTo>(&choice);
  // If the upstream has a rate limit, that may be used up.
  const bool is_free = to != nullptr && !gateway_.upstreams.LimitOf(to->instance);
  if (is_free && HasUnrunAttemptsLeft() && TakeRetryFromBudget(now)) return TryBeside();
  ArmTimer();
}

bool Exchange::HasUnreadResponse() const {
  const bool is_unread = attempt_.call && attempt_.call->HasUnread();
  return is_unread || (silent_ && silent_->call && silent_->call->HasUnread());
}

// Tries another upstream beside the silent one. Of two that are silent, the first is kept, which
// may have begun the response.
void Exchange::TryBeside() {
  if (silent_) {
    CancelAttempt(&attempt_, AttemptOutcome::kTimedOut);
    LogAttempt(attempt_, Execution::kMayHaveRun, "silent");
  } else {
    attempt_.partial_event = events_.TakePartialEvent();
    silent_ = std::exchange(attempt_, Attempt());
  }
  RetryElsewhere();
}

// Goes on with the attempt that was kept, if there is one; the other one has come to nothing.
bool Exchange::GoOnWithSilent(std::string_view reason) {
  if (!silent_) return false;
  const TimeMs now = MonotonicMs();
  CancelAttempt(&attempt_, AttemptOutcome::kCallerLeft);
  CancelPendingSend();
  attempt_ = std::move(*silent_);
  silent_.reset();
  events_.RestorePartialEvent(std::exchange(attempt_.partial_event, {}));
  gateway_.log.Write(now, "attempt_kept",
                     {{"request", request_id_},
                      {"upstream", attempt_.instance},
                      {"reason", reason},
                      {"kept_ms", now - attempt_.last_activity_at},
                      {"left_ms", deadline_at_ - now}});
  attempt_.last_activity_at = now;
  ArmTimer();
  return true;
}

// The other attempt is answered: no two upstreams may be at work on the request.
void Exchange::DropSilent() {
  if (!silent_) return;
  CancelAttempt(&*silent_, AttemptOutcome::kTimedOut);
  LogAttempt(*silent_, Execution::kMayHaveRun, "silent");
  silent_.reset();
}

void Exchange::OnSilentFailed(UpstreamFailure failure, std::string_view reason) {
  Attempt attempt = std::move(*silent_);
  silent_.reset();
  const Execution ran = RecordFailure(&attempt, failure);
  LogAttempt(attempt, ran, reason);
}

// Whether the callback of that attempt concerns the response. A silent attempt that is heard of
// again becomes the current one.
bool Exchange::IsCurrent(int number) {
  if (silent_ && number == silent_->number) return GoOnWithSilent("it goes on");
  return number == attempt_.number && attempt_.is_open;
}

const Attempt& Exchange::AttemptAt(std::string_view instance) const {
  return silent_ && silent_->instance == instance ? *silent_ : attempt_;
}

}  // namespace junctionrail::internal

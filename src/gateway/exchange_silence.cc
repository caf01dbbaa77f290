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
// A timer that finds an unread response lets it be read within this time.
constexpr DurationMs kReadFirstMs = 20;

constexpr unsigned kServerError = 500;

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
  // It may be this process that was away; bytes that are no answer may also come without end.
  const bool was_read = std::exchange(attempt_.was_read_first, true);
  if (!was_read && HasUnreadResponse()) return ArmTimer(kReadFirstMs);
  attempt_.last_activity_at = now;
  const PickResult choice = ChooseUpstream(now);
  const auto* to = std::get_if<SendTo>(&choice);
  // If the upstream has a rate limit, that may be used up.
  const bool is_free = to != nullptr && !gateway_.upstreams.LimitOf(to->instance);
  if (is_free && HasUnrunAttemptsLeft() && TakeRetryFromBudget(now)) return TryBeside();
  ArmTimer();
}

// The upstream of the current attempt has sent something of the response.
void Exchange::OnProgress() {
  attempt_.last_activity_at = MonotonicMs();
  attempt_.was_read_first = false;
}

bool Exchange::HasUnreadResponse() const {
  const auto has_unread = [](const Attempt& it) { return it.call && it.call->HasUnread(); };
  return has_unread(attempt_) || std::any_of(silent_.begin(), silent_.end(), has_unread);
}

// Tries another upstream beside the silent one.
void Exchange::TryBeside() {
  attempt_.partial_event = events_.TakePartialEvent();
  silent_.push_back(std::exchange(attempt_, Attempt()));
  drop_silent_at_ = 0;
  RetryElsewhere();
}

Attempt* Exchange::FindSilent(int number) {
  const auto it = std::find_if(silent_.begin(), silent_.end(),
                               [number](const Attempt& a) { return a.number == number; });
  return it == silent_.end() ? nullptr : &*it;
}

Attempt Exchange::TakeSilent(Attempt* silent) {
  Attempt attempt = std::move(*silent);
  silent_.erase(silent_.begin() + (silent - silent_.data()));
  return attempt;
}

// The silent attempt becomes the current one again.
void Exchange::GoOnWith(Attempt* silent, std::string_view reason) {
  const TimeMs now = MonotonicMs();
  if (attempt_.is_open) {
    CancelAttempt(&attempt_, AttemptOutcome::kCallerLeft);
    // It did not fail there, and may be tried there again.
    const auto it = std::find(tried_instances_.begin(), tried_instances_.end(), attempt_.instance);
    if (it != tried_instances_.end()) tried_instances_.erase(it);
  }
  CancelPendingSend();
  attempt_ = TakeSilent(silent);
  events_.RestorePartialEvent(std::exchange(attempt_.partial_event, {}));
  gateway_.log.Write(now, "attempt_kept",
                     {{"request", request_id_},
                      {"upstream", attempt_.instance},
                      {"reason", reason},
                      {"kept_ms", now - attempt_.last_activity_at},
                      {"left_ms", deadline_at_ - now}});
  drop_silent_at_ = 0;
  OnProgress();
  ArmTimer();
}

// Goes on with the first attempt that was kept, if there is one, as the current one has come to
// nothing. The first may have begun the response.
bool Exchange::GoOnWithSilent(std::string_view reason) {
  if (silent_.empty()) return false;
  GoOnWith(&silent_.front(), reason);
  return true;
}

// Another attempt is answered: no two upstreams may stay at work on the request.
void Exchange::DropSilent() {
  for (auto& it : silent_) {
    CancelAttempt(&it, AttemptOutcome::kTimedOut);
    LogAttempt(it, Execution::kMayHaveRun, "silent");
  }
  silent_.clear();
  drop_silent_at_ = 0;
}

// A refusal or a failure of the silent upstream leaves the others at work.
void Exchange::OnSilentHead(Attempt* silent, UpstreamHead head) {
  OnRetryArrived(&silent->retry_consumed_at);
  const bool is_not_run = IsRefusal(head);
  const bool is_failure = head.status >= kServerError || IsUnsealedSuccess(head);
  if (!is_not_run && !is_failure) {
    GoOnWith(silent, "it goes on");
    return OnHead(attempt_.number, std::move(head));
  }
  const std::string reason = "status " + std::to_string(head.status);
  silent->call->Cancel();
  if (is_not_run) --possibly_run_attempts_;
  OnSilentFailed(silent, is_not_run ? AttemptOutcome::kRefused : AttemptOutcome::kFailed,
                 is_not_run ? Execution::kNotRun : Execution::kMayHaveRun, reason);
}

// Bytes that end no event do not show that the stream goes on.
void Exchange::OnSilentBody(Attempt* silent, std::string_view data) {
  if (silent->is_event_stream) {
    silent->partial_event += data;
    RecordHeldBytes(*silent);
    const bool is_whole = EventStreamReader::HoldsWholeEvent(silent->partial_event);
    if (!is_whole && silent->partial_event.size() > kMaxEventBytes) {
      silent->call->Cancel();
      return OnSilentFailed(silent, AttemptOutcome::kFailed, Execution::kMayHaveRun, kEventTooLong);
    }
    if (!is_whole) return;
    silent->partial_event.resize(silent->partial_event.size() - data.size());
  }
  const std::string bytes(data);
  GoOnWith(silent, "it goes on");
  OnBody(attempt_.number, bytes);
}

void Exchange::OnSilentEnd(Attempt* silent, ResponseEnd end) {
  // The end of a connection may be that of the upstream.
  const bool is_whole = end == ResponseEnd::kFramed && silent->partial_event.empty();
  if (!is_whole) {
    return OnSilentFailed(silent, AttemptOutcome::kFailed, Execution::kMayHaveRun,
                          "the response ended before its end was confirmed");
  }
  GoOnWith(silent, "it has ended");
  OnEnd(attempt_.number, end);
}

void Exchange::OnSilentFailed(Attempt* silent, AttemptOutcome end, Execution ran,
                              std::string_view reason) {
  Attempt attempt = TakeSilent(silent);
  if (attempt.is_open) EndAttempt(&attempt, end);
  LogAttempt(attempt, ran, reason);
}

const Attempt& Exchange::AttemptAt(std::string_view instance) const {
  const auto it = std::find_if(silent_.begin(), silent_.end(),
                               [&](const Attempt& a) { return a.instance == instance; });
  return it == silent_.end() ? attempt_ : *it;
}

}  // namespace junctionrail::internal

#include "stop_schedule.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

// In the first of so many parts of a stop any request is begun, as callers take a while to go to
// other entries and most requests need far less than their deadline allows. In the last part only
// requests are begun whose deadline ends in time.
constexpr DurationMs kParts = 3;
// For the last responses to be written, and read by their callers, before the connections close.
constexpr DurationMs kAnswerMs = 200;
// A timer that ran this much too late tells of a standstill, in which signals waited too.
constexpr DurationMs kStandstillMs = 50;
// A stop is shortened by at most this for a standstill: the signal may have come at its end, and
// the platform's kill cuts a response that has begun no worse than the stop does.
constexpr DurationMs kMaxSignalDelayMs = 500;
// After a standstill at the end of a stop: for callers to read the last answers.
constexpr DurationMs kMinCloseDelayMs = 50;

}  // namespace

// The standstill may go on until `now`, or have ended with the last tick: timers run before signals
// are read.
TimeMs EarliestSignalTime(const std::deque<TimeMs>& tick_times, DurationMs interval_ms,
                          TimeMs now) {
  const TimeMs last = tick_times.back();
  const TimeMs previous = tick_times.size() > 1 ? tick_times[tick_times.size() - 2] : last;
  const bool is_late = now - last > interval_ms + kStandstillMs;
  const bool was_late = last - previous > interval_ms + kStandstillMs;
  if (is_late) return last + interval_ms;
  return was_late ? previous + interval_ms : now;
}

void StopSchedule::Begin(TimeMs signalled_at, TimeMs now, DurationMs most_ms,
                         DurationMs balancer_delay_ms) {
  has_begun_ = true;
  begun_at_ = now;
  late_from_ = signalled_at + most_ms / kParts;
  begin_until_ = signalled_at + most_ms - most_ms / kParts;
  answer_at_ = std::max(now, signalled_at + most_ms - kAnswerMs);
  const TimeMs shortened_from = std::max(signalled_at, now - kMaxSignalDelayMs);
  ends_at_ = shortened_from + most_ms;
  accepts_until_ = std::min(shortened_from + balancer_delay_ms, answer_at_);
  close_delay_ms_ = std::min(most_ms, kMinCloseDelayMs);
}

void StopSchedule::BeginAnswers(TimeMs now) {
  ends_at_ = std::max(ends_at_, now + close_delay_ms_);
}

bool StopSchedule::AcceptsConnections(TimeMs now) const {
  return !has_begun_ || now < accepts_until_;
}

// A request that came early and waits may be cut by the end; one that may not be repeated is not
// begun then.
bool StopSchedule::MayBegin(const PendingRequest& request, TimeMs now) const {
  if (!has_begun_ || now < late_from_ || request.deadline_at <= answer_at_) return true;
  return request.is_retryable && request.arrived_at < late_from_ && now < begin_until_;
}

}  // namespace junctionrail::internal

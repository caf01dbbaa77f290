#include "stop_schedule.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

// The part of a stop in which requests are begun whose deadline lies beyond its end. Callers take
// a while to go to other entries, and most requests need far less than their deadline allows.
constexpr DurationMs kBeginPart = 3;
// For the last responses to be written, and read by their callers, before the connections close.
constexpr DurationMs kAnswerMs = 200;
// A timer that ran this much too late tells of a standstill, in which signals waited too.
constexpr DurationMs kStandstillMs = 50;
// Ending a stop sooner by more than this would cut requests for which there is time.
constexpr DurationMs kMaxSignalDelayMs = 500;

}  // namespace

// The standstill may go on until `now`, or have ended with the last tick: timers run before signals
// are read.
TimeMs EarliestSignalTime(const std::deque<TimeMs>& tick_times, DurationMs interval_ms,
                          TimeMs now) {
  const TimeMs last = tick_times.back();
  const TimeMs previous = tick_times.size() > 1 ? tick_times[tick_times.size() - 2] : last;
  const bool is_late = now - last > interval_ms + kStandstillMs;
  const bool was_late = last - previous > interval_ms + kStandstillMs;
  TimeMs earliest = now;
  if (was_late && !is_late) earliest = previous + interval_ms;
  if (is_late) earliest = last + interval_ms;
  return std::max(earliest, now - kMaxSignalDelayMs);
}

void StopSchedule::Begin(TimeMs signalled_at, DurationMs most_ms, DurationMs balancer_delay_ms) {
  has_begun_ = true;
  begun_at_ = signalled_at;
  ends_at_ = signalled_at + most_ms;
  answer_at_ = std::max(signalled_at, ends_at_ - kAnswerMs);
  accepts_until_ = std::min(signalled_at + balancer_delay_ms, answer_at_);
  late_from_ = signalled_at + most_ms / kBeginPart;
}

void StopSchedule::OnVmResumed(DurationMs away_ms) {
  if (!has_begun_) return;
  accepts_until_ -= away_ms;
  late_from_ -= away_ms;
  answer_at_ -= away_ms;
  ends_at_ -= away_ms;
}

bool StopSchedule::AcceptsConnections(TimeMs now) const {
  return !has_begun_ || now < accepts_until_;
}

bool StopSchedule::MayBegin(TimeMs deadline_at, TimeMs now) const {
  return !has_begun_ || now < late_from_ || deadline_at <= answer_at_;
}

}  // namespace junctionrail::internal

// Schedules polls so that the age of a list stays within its bound.
#include <algorithm>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A poll that is not answered within twice the latency of the last answer, but at least
// 250 ms, is repeated concurrently: a store that usually answers within about 10 ms, or the
// connection to it, has lost the poll. A slow store is given up to a second to answer;
// otherwise each poll would cost several calls.
constexpr DurationMs kMinRetryDelayMs = 250;
constexpr DurationMs kMaxRetryDelayMs = 1000;
constexpr int kRetryDelayFactor = 2;
// Delays before the third poll in a row without an answer, and before each later one. Every
// call to the store has a cost, and an unavailable store returns no data. Its return must
// still be noticed soon: expired records have two seconds from then to be listed again, and
// until these have passed, upstreams that left still receive requests.
constexpr DurationMs kSecondRetryDelayMs = 500;
constexpr DurationMs kLaterRetryDelayMs = 600;
// Until the first answer. Processes may all have started at once, and the whole list is on its way
// to each of them: polls repeated sooner would only add to what the store has to send.
constexpr DurationMs kFirstAnswerRetryMs = 1000;
// If the last answered poll began more than this many periods before the next one although
// no poll was left unanswered, this process was stalled.
constexpr int kStallPeriods = 2;
// So does a poll that begins this much after it was due.
constexpr DurationMs kStallMs = 500;

}  // namespace

// While this process stood still, the answers to earlier polls may have been waiting for it.
PollSchedule::Poll PollSchedule::Begin(TimeMs now) {
  const bool was_stalled = now - next_at_ > kStallMs;
  if (unanswered_ > 0 && !was_stalled) ++overdue_;
  ++unanswered_;
  begun_at_ = now;
  next_at_ = now + RetryDelay();
  return {++begun_, now, unanswered_ > 1};
}

DurationMs PollSchedule::RetryDelay() const {
  if (as_of_ == 0) return kFirstAnswerRetryMs;
  if (unanswered_ > 2) return kLaterRetryDelayMs;
  if (unanswered_ == 2) return kSecondRetryDelayMs;
  return std::clamp(kRetryDelayFactor * answer_ms_, kMinRetryDelayMs, kMaxRetryDelayMs);
}

bool PollSchedule::OnAnswer(const Poll& poll, TimeMs now) {
  if (poll.number <= answered_) return false;
  const DurationMs gap = poll.begun_at - as_of_;
  was_unreadable_ = overdue_ > 0;
  was_stalled_ = !was_unreadable_ && as_of_ != 0 && gap > kStallPeriods * period_ms_;
  answered_ = poll.number;
  answer_ms_ = now - poll.begun_at;
  as_of_ = poll.begun_at;
  unanswered_ = 0;
  overdue_ = 0;
  next_at_ = std::max(now, poll.begun_at + period_ms_);
  return true;
}

bool PollSchedule::OnRelayed(TimeMs as_of, TimeMs now) {
  if (as_of <= as_of_) return false;
  as_of_ = as_of;
  unanswered_ = 0;
  overdue_ = 0;
  next_at_ = std::max(now, as_of + period_ms_);
  return true;
}

void PollSchedule::OnConnectionLost(TimeMs now) {
  unanswered_ = 1;
  next_at_ = now + RetryDelay();
}

void PollSchedule::PollBy(TimeMs at) { next_at_ = std::min(next_at_, at); }

}  // namespace junctionrail

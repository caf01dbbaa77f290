// When a list is read again, so that no belief rests on one older than its bound.
#include <algorithm>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A call that is not answered within twice the time of the last answer, but at least
// 250 ms, is made again beside it: a store that answers within some 10 ms has lost it, or its
// connection has. A slow store's answers are waited for, or each reading would cost
// several calls.
constexpr DurationMs kMinRetryDelayMs = 250;
constexpr DurationMs kMaxRetryDelayMs = 1000;
constexpr int kRetryDelayFactor = 2;
// The third call and those after it. Every call of the fleet has its price, and a store
// that is away says nothing new; but its return must be seen soon, as records
// that lapsed have two seconds from then and upstreams that left get requests
// until they are over.
constexpr DurationMs kSecondRetryDelayMs = 500;
constexpr DurationMs kLaterRetryDelayMs = 600;
// A gap of so many periods without a call that failed: this process stood still.
constexpr int kStallPeriods = 2;

}  // namespace

PollSchedule::Poll PollSchedule::Begin(TimeMs now) {
  ++unanswered_;
  begun_at_ = now;
  next_at_ = now + RetryDelay();
  return {++begun_, now, unanswered_ > 1};
}

DurationMs PollSchedule::RetryDelay() const {
  if (unanswered_ > 2) return kLaterRetryDelayMs;
  if (unanswered_ == 2) return kSecondRetryDelayMs;
  return std::clamp(kRetryDelayFactor * answer_ms_, kMinRetryDelayMs, kMaxRetryDelayMs);
}

bool PollSchedule::OnAnswer(const Poll& poll, TimeMs now) {
  if (poll.number <= answered_) return false;
  const DurationMs gap = poll.begun_at - as_of_;
  was_unreadable_ = unanswered_ > 1 || (as_of_ != 0 && gap > kStallPeriods * period_ms_);
  answered_ = poll.number;
  answer_ms_ = now - poll.begun_at;
  as_of_ = poll.begun_at;
  unanswered_ = 0;
  next_at_ = std::max(now, poll.begun_at + period_ms_);
  return true;
}

void PollSchedule::OnConnectionLost(TimeMs now) {
  unanswered_ = 1;
  next_at_ = now + RetryDelay();
}

void PollSchedule::PollBy(TimeMs at) { next_at_ = std::min(next_at_, at); }

}  // namespace junctionrail

// When a list is read again, so that no belief rests on one older than its bound.
#include <algorithm>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A call that is not answered within twice the time of the last answer, but at least
// 250 ms, is made again beside it: a store that answers within some 10 ms has lost it, or its
// connection has. A slow store's answers are waited for, or each reading would cost
// several calls.
constexpr DurationMs kLeastPatienceMs = 250;
constexpr DurationMs kMostPatienceMs = 1000;
constexpr int kPatienceAnswers = 2;
// The third call and those after it. Every call of the fleet has its price, and a store
// that is away says nothing new; but its return must be seen soon, as records
// that lapsed have two seconds from then and upstreams that left get requests
// until they are over.
constexpr DurationMs kThirdCallMs = 500;
constexpr DurationMs kLaterCallsMs = 600;
// A gap of so many periods without a call that failed: this process stood still.
constexpr int kStandstillPeriods = 2;

}  // namespace

ReadingSchedule::Call ReadingSchedule::Begin(TimeMs now) {
  ++unanswered_;
  begun_at_ = now;
  next_at_ = now + Patience();
  return {++begun_, now, unanswered_ > 1};
}

DurationMs ReadingSchedule::Patience() const {
  if (unanswered_ > 2) return kLaterCallsMs;
  if (unanswered_ == 2) return kThirdCallMs;
  return std::clamp(kPatienceAnswers * answer_ms_, kLeastPatienceMs, kMostPatienceMs);
}

bool ReadingSchedule::OnAnswer(const Call& call, TimeMs now) {
  if (call.number <= answered_) return false;
  const DurationMs gap = call.begun_at - as_of_;
  was_unreadable_ = unanswered_ > 1 || (as_of_ != 0 && gap > kStandstillPeriods * period_ms_);
  answered_ = call.number;
  answer_ms_ = now - call.begun_at;
  as_of_ = call.begun_at;
  unanswered_ = 0;
  next_at_ = std::max(now, call.begun_at + period_ms_);
  return true;
}

void ReadingSchedule::OnLost(TimeMs now) {
  unanswered_ = 1;
  next_at_ = now + Patience();
}

void ReadingSchedule::ReadBy(TimeMs at) { next_at_ = std::min(next_at_, at); }

}  // namespace junctionrail

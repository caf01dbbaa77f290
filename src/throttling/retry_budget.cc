#include <algorithm>

#include "junctionrail/throttling.h"

namespace junctionrail {
namespace {

// What is sent to an upstream whose VM stands still is read later, by up to a window divided by
// this. Its requests may be in no window that counts for the retry after a longer delay.
constexpr DurationMs kArrivalDelayDivisor = 2;

void DropUpTo(TimeMs oldest, std::deque<TimeMs>* times) {
  while (!times->empty() && times->front() <= oldest) times->pop_front();
}

}  // namespace

// A longer window would reach back to before what was kept for the shorter one.
void RetryBudget::SetOptions(Options options, TimeMs now) {
  if (options.window_ms > options_.window_ms) {
    known_since_ = std::max(known_since_, now - options_.window_ms);
  }
  options_ = options;
}

void RetryBudget::SetEntries(int entries, TimeMs now) {
  if (entries_ == 0) entries_since_ = now;
  entries_ = entries;
}

// Counted at the earliest time at which it may have been sent. What it allows is later than both
// times: if the window of a retry, or the window before that, contains the earliest time, one of
// the two contains the request.
void RetryBudget::OnRequest(const std::string& service, TimeMs sent_after, TimeMs now) {
  History& history = histories_[service];
  Expire(&history, now);
  auto& requests = history.requests;
  requests.insert(std::upper_bound(requests.begin(), requests.end(), sent_after), sent_after);
}

bool RetryBudget::TryConsume(const std::string& service, TimeMs now) {
  History& history = histories_[service];
  Expire(&history, now);
  if (Left(history, now) < 1) return false;
  history.under_way.insert(now);
  return true;
}

bool RetryBudget::Postpone(const std::string& service, TimeMs consumed_at, TimeMs now) {
  if (consumed_at == now) return true;
  auto& under_way = histories_[service].under_way;
  const auto it = under_way.find(consumed_at);
  if (it != under_way.end()) under_way.erase(it);
  return TryConsume(service, now);
}

// It may have arrived at any time since it was sent. Counted at the latest one, it is in each
// window that may contain it and is not over.
void RetryBudget::OnArrived(const std::string& service, TimeMs consumed_at, TimeMs now) {
  History& history = histories_[service];
  const auto it = history.under_way.find(consumed_at);
  if (it == history.under_way.end()) return;
  history.under_way.erase(it);
  history.retries.push_back(now);
}

RetryBudget::Usage RetryBudget::UsageOf(const std::string& service, TimeMs now) {
  History& history = histories_[service];
  Expire(&history, now);
  const std::size_t under_way = history.under_way.size();
  return {history.requests.size(), history.retries.size() + under_way, under_way,
          Left(history, now), entries_};
}

// The retries allowed in the window that begins at `begin`. A request allows half of its retries in
// the windows that contain it and half in those that follow them: added up over entries, over the
// processes of one entry, and over any requests in groups, these are never more than the ratio of
// the requests in one of the two windows. A window that began before this process may have seen the
// fixed allowance spent by the one before it.
double RetryBudget::Allowed(const History& history, TimeMs begin) const {
  const auto first = std::upper_bound(history.requests.begin(), history.requests.end(),
                                      begin - options_.window_ms);
  const auto requests = static_cast<double>(history.requests.end() - first);
  const double by_requests = options_.ratio / 2 * requests;
  if (begin < FixedSince()) return by_requests;
  const double fixed = entries_ > 0 ? options_.fixed_attempts / entries_ : 0;
  return by_requests + fixed + options_.rounding;
}

// The least that any window which contains `now` leaves, or one that retries under way may arrive
// in. Of the windows with the same retries and the same fixed allowance, the last one to begin has
// the fewest requests before it.
double RetryBudget::Left(const History& history, TimeMs now) const {
  const auto under_way = static_cast<double>(history.under_way.size());
  const TimeMs last_arrival = now + options_.window_ms / kArrivalDelayDivisor;
  double left = Allowed(history, last_arrival) - under_way;
  const TimeMs oldest_begin = now - options_.window_ms;
  const TimeMs last_without_fixed = FixedSince() - 1;
  if (last_without_fixed >= oldest_begin) {
    const auto first =
        std::lower_bound(history.retries.begin(), history.retries.end(), last_without_fixed);
    const auto retries = static_cast<double>(history.retries.end() - first);
    left = std::min(left, Allowed(history, last_without_fixed) - retries - under_way);
  }
  auto later_retries = static_cast<double>(history.retries.size());
  for (const TimeMs begin : history.retries) {
    left = std::min(left, Allowed(history, begin) - later_retries - under_way);
    --later_retries;
  }
  return left;
}

TimeMs RetryBudget::FixedSince() const { return std::max(known_since_, entries_since_); }

void RetryBudget::Expire(History* history, TimeMs now) const {
  DropUpTo(now - 2 * options_.window_ms, &history->requests);
  DropUpTo(now - options_.window_ms, &history->retries);
}

}  // namespace junctionrail

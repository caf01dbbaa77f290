// Promises about places: regions that requests are bound to, evacuated halls, cold upstreams, and
// records that other writers have spoiled.
#include <algorithm>

#include "judge.h"

namespace junctionrail::soak {
namespace {

constexpr DurationMs kColdWindowMs = 1000;
constexpr double kColdTimes = 1.5;
constexpr double kColdExtra = 5;
// An upstream writes its record this often, and so replaces a spoiled one.
constexpr DurationMs kRecordPeriodMs = 1000;
// A request that runs for longer may have reached its deadline.
constexpr DurationMs kBeforeDeadlineMs = 3000;

}  // namespace

void Judge::OnStarted(const std::string& instance, const std::string& hall) {
  halls_[instance] = hall;
}

void Judge::OnCold(const std::string& instance, DurationMs cold_ms, bool is_return) {
  cold_[instance] = {clock_() + cold_ms, is_return, {}};
}

void Judge::OnEvacuation(const std::string& hall, bool is_evacuated) {
  const auto since = evacuated_.find(hall);
  if (is_evacuated) {
    evacuated_.emplace(hall, clock_());
  } else if (since != evacuated_.end()) {
    if (clock_() - since->second > kEvacuateMs) ++checked_.evacuated;
    evacuated_.erase(since);
  }
}

void Judge::OnSpoiledRecord(const std::string& instance) { spoiled_[instance] = clock_(); }
void Judge::OnHarmed(const std::string& instance) { harmed_[instance] = clock_(); }
void Judge::OnWayTroubled(int entry, const std::string& instance) {
  way_troubled_[{instance, entry}] = clock_();
}

TimeMs Judge::TroubledAt(int entry, const std::string& instance) const {
  return std::max({TimeOf(entry_troubled_, entry), WayTroubledAt(entry, instance), busy_at_});
}

TimeMs Judge::WayTroubledAt(int entry, const std::string& instance) const {
  return std::max(TimeOf(upstream_troubled_, instance),
                  TimeOf(way_troubled_, AtEntry{instance, entry}));
}

void Judge::CheckRegion(const std::string& request, const std::string& instance) {
  const Sent& sent = sent_[request];
  const std::string& hall = halls_[instance];
  if (sent.halls.size() < Halls().size()) ++checked_.bound;
  if (sent.halls.count(hall) > 0) return;
  Complain("request " + request + " of " + sent.organisation + " reached upstream " + instance +
           " in " + hall + ", where it may not run");
}

void Judge::CheckHall(const std::string& request, const std::string& instance) {
  const auto evacuated = evacuated_.find(halls_[instance]);
  if (evacuated == evacuated_.end()) return;
  const TimeMs now = clock_();
  const DurationMs late = now - evacuated->second;
  const int entry = sent_[request].entry;
  if (late <= kEvacuateMs || now - TroubledAt(entry, instance) <= kInTouchMs) return;
  Complain("upstream " + instance + " got request " + request + " from entry " +
           std::to_string(entry) + " " + std::to_string(late) + " ms after the evacuation of " +
           evacuated->first);
}

// Counts only requests of entries that can know that the upstream is cold, and not those that a
// fault on the path delayed, as they arrive all at once.
void Judge::CheckCold(const std::string& instance, int entry) {
  const auto found = cold_.find(instance);
  const TimeMs now = clock_();
  if (found == cold_.end() || now >= found->second.until) return;
  Cold& cold = found->second;
  const TimeMs way = WayTroubledAt(entry, instance);
  const bool may_be_late = WasStopped(entry, kColdWindowMs) || now - way <= kColdWindowMs;
  const bool may_not_know = cold.is_return && now - TroubledAt(entry, instance) <= kInTouchMs;
  ++checked_.cold;
  if (may_be_late || may_not_know) return;
  cold.came.push_back(now);
  while (cold.came.front() <= now - kColdWindowMs) cold.came.pop_front();
  if (static_cast<double>(cold.came.size()) <= kColdTimes * kColdPerS + kColdExtra) return;
  Complain("cold upstream " + instance + " got " + std::to_string(cold.came.size()) +
           " requests in a second");
}

bool Judge::RanBesideSpoiledRecord(const std::string& request) const {
  const auto run = last_runs_.find(request);
  if (run == last_runs_.end()) return false;
  const TimeMs spoiled = TimeOf(spoiled_, run->second.instance);
  return spoiled != 0 && spoiled + kRecordPeriodMs >= run->second.at;
}

// A request that runs at an upstream with a spoiled record is served, unless another fault ends it.
void Judge::CheckSpoiled(const std::string& request) {
  if (!RanBesideSpoiledRecord(request)) return;
  const LastRun& run = last_runs_[request];
  const Sent& sent = sent_[request];
  const TimeMs now = clock_();
  const TimeMs troubled =
      std::max(TroubledAt(sent.entry, run.instance), TimeOf(harmed_, run.instance));
  if (troubled >= sent.at || now - sent.at > kBeforeDeadlineMs) return;
  ++checked_.unreadable;
  Complain("request " + request + " ended while it ran at upstream " + run.instance +
           ", whose record another writer had spoiled");
}

}  // namespace junctionrail::soak

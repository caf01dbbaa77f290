#include <algorithm>

#include "junctionrail/places.h"

namespace junctionrail {
namespace {

// A hall closes this much before the bound: a request may be on its way for as long.
constexpr DurationMs kClosingMarginMs = 500;

}  // namespace

// The evacuation was requested at some time after the last answer without it. Counting from that
// answer keeps the bound however late the news arrives. Until the hall closes it still serves what
// is loaded nowhere else, so that callers do not wait while replicas are loaded in other halls.
std::vector<EvacuatedHalls::Change> EvacuatedHalls::Apply(const std::set<std::string>& halls,
                                                          TimeMs as_of, TimeMs now) {
  std::vector<Change> changes;
  if (as_of < as_of_) return changes;
  const bool is_known_open = as_of_ != 0 && bound_ms_ > 0;
  const TimeMs closes_at = is_known_open ? as_of_ + bound_ms_ - kClosingMarginMs : now;
  as_of_ = as_of;
  for (const auto& hall : halls) {
    if (!closes_at_.emplace(hall, closes_at).second) continue;
    changes.push_back({hall, true, std::max<DurationMs>(0, closes_at - now)});
  }
  for (auto it = closes_at_.begin(); it != closes_at_.end();) {
    if (halls.count(it->first) > 0) {
      ++it;
      continue;
    }
    changes.push_back({it->first, false, 0});
    it = closes_at_.erase(it);
  }
  return changes;
}

bool EvacuatedHalls::IsClosed(const std::string& hall, TimeMs now) const {
  const auto it = closes_at_.find(hall);
  return it != closes_at_.end() && now >= it->second;
}

DurationMs EvacuatedHalls::ClosesIn(const std::string& hall, TimeMs now) const {
  const auto it = closes_at_.find(hall);
  return it == closes_at_.end() ? -1 : std::max<DurationMs>(0, it->second - now);
}

std::set<std::string> EvacuatedHalls::halls() const {
  std::set<std::string> halls;
  for (const auto& [hall, closes_at] : closes_at_) halls.insert(hall);
  return halls;
}

}  // namespace junctionrail

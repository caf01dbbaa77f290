// Which engines an entry observes. In a large fleet an entry has links only to the agents of
// engines that serve its requests or may do so soon: its links, and the views on them, grow with
// its requests and not with the fleet.
#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// An engine is observed for this long after the entry had a use for it.
constexpr DurationMs kObserveMs = 20000;
// The first view of an engine arrives within this time after its observation has begun; until then
// its record counts.
constexpr DurationMs kFirstViewMs = 600;
// Requests of one entry for a model are spread over this many of its replicas. Entries choose
// different ones, so that all replicas are used.
constexpr std::size_t kSpreadHolders = 4;
// How many of these are in other regions if the entry's own region has enough for the rest. One is
// enough to take what the near replicas cannot, as other entries choose other ones.
constexpr std::size_t kFarSpreadHolders = 1;
// Engines without a copy of the model that may be chosen to load it. All entries consider the same
// ones, so that they mostly choose the same one.
constexpr std::size_t kLoadCandidates = 16;

// Keeps the `n` rows with the highest scores.
template <class RowPointer>
void KeepBest(std::size_t n, std::vector<std::pair<std::uint64_t, RowPointer>>* scored) {
  if (scored->size() <= n) return;
  std::nth_element(scored->begin(), scored->begin() + static_cast<std::ptrdiff_t>(n), scored->end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  scored->resize(n);
}

struct RankedAgent {
  std::uint64_t score = 0;
  std::string instance;

  bool operator>(const RankedAgent& other) const {
    return std::tie(score, instance) > std::tie(other.score, other.instance);
  }
};

}  // namespace

bool UpstreamTable::IsJudgeable(const Row& row, TimeMs now) const {
  if (IsFresh(row, now)) return true;
  if (is_planner()) return false;
  return !IsObserved(row, now) || now - row.observed_at < kFirstViewMs;
}

void UpstreamTable::Observe(Row* row, TimeMs now) {
  if (!IsObserved(*row, now)) row->observed_at = now;
  row->observed_until = now + kObserveMs;
}

void UpstreamTable::Observe(const std::string& instance, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it != rows_.end()) Observe(&it->second, now);
}

std::vector<UpstreamTable::Row*> UpstreamTable::FindSpreadHolders(const std::string& model,
                                                                  const AllowedRegions& allowed,
                                                                  TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return {};
  if (is_planner() || holders->second.size() <= kSpreadHolders) return holders->second;
  std::vector<std::pair<std::uint64_t, Row*>> near;
  std::vector<std::pair<std::uint64_t, Row*>> far;
  const std::string key = options_.entry_id + model;
  for (Row* it : holders->second) {
    if (!IsHealthy(*it, it->record.service, now) || !IsRegionAllowed(*it, allowed)) continue;
    const Distance distance = options_.topology.DistanceTo(it->record.data_hall);
    auto& scored = distance == Distance::kOtherRegion ? far : near;
    scored.emplace_back(RendezvousScore(key, it->record.instance), it);
  }
  KeepBest(far.empty() ? kSpreadHolders : kSpreadHolders - kFarSpreadHolders, &near);
  KeepBest(kSpreadHolders - near.size(), &far);
  std::vector<Row*> spread;
  for (const auto* scored : {&near, &far}) {
    for (const auto& [score, row] : *scored) spread.push_back(row);
  }
  return spread;
}

double UpstreamTable::ReportedRate(const std::string& model, int replicas, TimeMs now) const {
  constexpr auto kSpread = static_cast<int>(kSpreadHolders);
  const double rate = RequestRate(model, now);
  // Each replica hears from that part of the entries that spread their requests over it.
  return is_planner() || replicas <= kSpread ? rate : rate * replicas / kSpread;
}

std::vector<UpstreamTable::Row*> UpstreamTable::FindLoadCandidates(const std::string& model,
                                                                   const std::vector<Row*>& usable,
                                                                   TimeMs now) const {
  if (is_planner() || usable.size() <= kLoadCandidates) return usable;
  std::vector<Row*> candidates;
  std::vector<std::pair<std::uint64_t, Row*>> others;
  for (Row* it : usable) {
    const bool has_copy =
        Contains(it->view.cached_models, model) || HoldsModel(it->view.loaded, model);
    const bool is_known = has_copy || it->view.loading == model || IsFresh(*it, now);
    if (is_known) {
      candidates.push_back(it);
    } else {
      others.emplace_back(RendezvousScore(model, it->record.instance), it);
    }
  }
  KeepBest(kLoadCandidates, &others);
  for (const auto& [score, row] : others) candidates.push_back(row);
  return candidates;
}

int UpstreamTable::CountEngines() const {
  return static_cast<int>(std::count_if(rows_.begin(), rows_.end(), [this](const auto& it) {
    const Row& row = it.second;
    const auto service = services_.find(row.record.service);
    return service != services_.end() && service->second.engine.has_value() &&
           IsPresent(row, row.record.service);
  }));
}

std::vector<QuotaClient::Allocator> UpstreamTable::ListAgents() const {
  std::vector<QuotaClient::Allocator> agents;
  for (const auto& [instance, row] : rows_) {
    const auto service = services_.find(row.record.service);
    const bool is_engine = service != services_.end() && service->second.engine.has_value();
    if (is_engine && IsPresent(row, row.record.service) && !IsEvacuated(row)) {
      agents.push_back({instance, row.record.endpoint.ToString()});
    }
  }
  return agents;
}

// Agents of the entry's own region come first. Up to half of the places are kept for other regions,
// so that an entry whose own region has no agents left asks those before it asks the first one
// again.
std::vector<std::string> UpstreamTable::RankAgents(std::size_t n) const {
  std::vector<RankedAgent> own;
  std::vector<RankedAgent> others;
  for (auto& it : ListAgents()) {
    const std::string& hall = rows_.at(it.instance).record.data_hall;
    const bool is_other = options_.topology.DistanceTo(hall) == Distance::kOtherRegion;
    const std::uint64_t score = RendezvousScore("listing relay", it.address);
    (is_other ? others : own).push_back({score, std::move(it.instance)});
  }
  std::sort(own.begin(), own.end(), std::greater<>());
  std::sort(others.begin(), others.end(), std::greater<>());
  const std::size_t of_others = std::min(others.size(), n / 2);
  if (own.size() > n - of_others) own.resize(n - of_others);
  if (others.size() > n - own.size()) others.resize(n - own.size());
  std::vector<std::string> instances;
  for (auto& it : own) instances.push_back(std::move(it.instance));
  for (auto& it : others) instances.push_back(std::move(it.instance));
  return instances;
}

}  // namespace junctionrail

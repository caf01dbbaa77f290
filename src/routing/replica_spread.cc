#include "replica_spread.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace junctionrail::internal {

void ReplicaSpread::AddReplica(const std::string& hall) { ++replicas_by_hall_[hall]; }

std::optional<double> ReplicaSpread::LowestCost(const std::string& hall) const {
  const auto it = cheapest_.find(hall);
  return it == cheapest_.end() ? std::nullopt : std::optional<double>(it->second.cost_ms);
}

void ReplicaSpread::AddCandidate(ReplicaCandidate candidate) {
  const auto [known, is_first] = cheapest_.emplace(candidate.hall, candidate);
  if (is_first) return;
  const ReplicaCandidate& best = known->second;
  const bool is_better = candidate.cost_ms < best.cost_ms ||
                         (candidate.cost_ms == best.cost_ms && candidate.score > best.score);
  if (is_better) known->second = std::move(candidate);
}

int ReplicaSpread::CountInHall(const std::string& hall) const {
  const auto it = replicas_by_hall_.find(hall);
  return it == replicas_by_hall_.end() ? 0 : it->second;
}

// A hall whose region is unknown counts as a region of its own.
int ReplicaSpread::CountInRegion(const std::string& hall) const {
  const std::string region = topology_.RegionOf(hall);
  if (region.empty()) return CountInHall(hall);
  int replicas = 0;
  for (const auto& [other, n] : replicas_by_hall_) {
    if (topology_.RegionOf(other) == region) replicas += n;
  }
  return replicas;
}

ReplicaDomain ReplicaSpread::DomainOf(const std::string& hall) const {
  if (CountInHall(hall) > 0) return ReplicaDomain::kSameHall;
  const bool is_new_region =
      topology_.HasRegions() && !topology_.RegionOf(hall).empty() && CountInRegion(hall) == 0;
  return is_new_region ? ReplicaDomain::kOtherRegion : ReplicaDomain::kOtherHall;
}

std::optional<ReplicaSpread::Choice> ReplicaSpread::Choose(double max_extra_ms) const {
  if (cheapest_.empty()) return std::nullopt;
  const auto cheapest = std::min_element(
      cheapest_.begin(), cheapest_.end(),
      [](const auto& a, const auto& b) { return a.second.cost_ms < b.second.cost_ms; });
  const double max_cost_ms = cheapest->second.cost_ms + max_extra_ms;
  using Rank = std::tuple<int, int, double, std::uint64_t>;
  const ReplicaCandidate* best = nullptr;
  Rank best_rank;
  for (const auto& [hall, it] : cheapest_) {
    if (it.cost_ms > max_cost_ms) continue;
    const Rank rank(CountInHall(hall), CountInRegion(hall), it.cost_ms, ~it.score);
    if (best != nullptr && rank >= best_rank) continue;
    best = &it;
    best_rank = rank;
  }
  return Choice{best->instance, DomainOf(best->hall)};
}

}  // namespace junctionrail::internal

#include "junctionrail/region_demand.h"

#include <algorithm>
#include <cmath>

namespace junctionrail {
namespace {

// Time constant of the shares. Long enough that one request a second gives a usable share; after a
// change of configuration, the former regions are negligible within four of them.
constexpr double kShareTimeConstantMs = 30000;
// A smaller share is the remainder of a former configuration, or too little for a replica.
constexpr double kNegligibleShare = 0.02;
// Distinct sets of regions to remember. Routes and organisations use few; the set with the fewest
// requests is replaced.
constexpr std::size_t kMaxParts = 8;

double WeightAt(double weight, TimeMs at, TimeMs now) {
  return weight * std::exp(-static_cast<double>(now - at) / kShareTimeConstantMs);
}

bool IsWithin(const AllowedRegions& part, const AllowedRegions& scope) {
  if (!scope) return true;
  return part && std::includes(scope->begin(), scope->end(), part->begin(), part->end());
}

}  // namespace

void RegionDemand::Add(const AllowedRegions& allowed, TimeMs now) {
  if (allowed && allowed->empty()) return;  // It may run nowhere.
  const auto known = std::find_if(parts_.begin(), parts_.end(),
                                  [&](const Part& it) { return it.allowed == allowed; });
  if (known != parts_.end()) {
    known->weight = WeightAt(known->weight, known->at, now) + 1;
    known->at = now;
    return;
  }
  const Part part{allowed, 1, now};
  if (parts_.size() < kMaxParts) {
    parts_.push_back(part);
    return;
  }
  *std::min_element(parts_.begin(), parts_.end(), [now](const Part& a, const Part& b) {
    return WeightAt(a.weight, a.at, now) < WeightAt(b.weight, b.at, now);
  }) = part;
}

std::vector<RegionDemand::Share> RegionDemand::Shares() const {
  TimeMs latest = 0;
  for (const auto& it : parts_) latest = std::max(latest, it.at);
  double total = 0;
  for (const auto& it : parts_) total += WeightAt(it.weight, it.at, latest);
  std::vector<Share> shares;
  for (const auto& it : parts_) {
    const double share = WeightAt(it.weight, it.at, latest) / total;
    if (share >= kNegligibleShare) shares.push_back({&it, share});
  }
  return shares;
}

AllowedRegions RegionDemand::Union() const {
  if (parts_.empty()) return std::nullopt;
  std::set<std::string> regions;
  for (const auto& it : Shares()) {
    if (!it.part->allowed) return std::nullopt;
    regions.insert(it.part->allowed->begin(), it.part->allowed->end());
  }
  return regions;
}

std::vector<RegionDemand::Scope> RegionDemand::Scopes() const {
  const std::vector<Share> shares = Shares();
  std::vector<Scope> scopes;
  for (const auto& it : shares) scopes.push_back({it.part->allowed, 0});
  const AllowedRegions all = Union();
  const bool has_union =
      std::any_of(scopes.begin(), scopes.end(), [&](const Scope& it) { return it.allowed == all; });
  if (!has_union) scopes.push_back({all, 0});
  for (auto& scope : scopes) {
    for (const auto& it : shares) {
      if (IsWithin(it.part->allowed, scope.allowed)) scope.share += it.share;
    }
  }
  std::stable_sort(scopes.begin(), scopes.end(),
                   [](const Scope& a, const Scope& b) { return a.share < b.share; });
  scopes.back().share = 1;  // The union; the negligible parts count too.
  return scopes;
}

}  // namespace junctionrail

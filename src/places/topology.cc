#include "junctionrail/places.h"

namespace junctionrail {

std::string Topology::RegionOf(const std::string& hall) const {
  const auto it = regions_.find(hall);
  return it == regions_.end() ? std::string() : it->second;
}

Distance Topology::DistanceTo(const std::string& hall) const {
  if (hall == hall_) return Distance::kSameHall;
  const std::string region = RegionOf(hall);
  const std::string own = RegionOf(hall_);
  const bool is_other = !region.empty() && !own.empty() && region != own;
  return is_other ? Distance::kOtherRegion : Distance::kSameRegion;
}

std::size_t Topology::CountRegions() const {
  std::set<std::string> regions;
  for (const auto& [hall, region] : regions_) regions.insert(region);
  return regions.size();
}

bool Topology::HasRegions() const { return CountRegions() > 1; }

}  // namespace junctionrail

#include <algorithm>
#include <iterator>

#include "junctionrail/places.h"

namespace junctionrail {

AllowedRegions Intersect(const AllowedRegions& a, const AllowedRegions& b) {
  if (!a) return b;
  if (!b) return a;
  std::set<std::string> both;
  std::set_intersection(a->begin(), a->end(), b->begin(), b->end(),
                        std::inserter(both, both.end()));
  return both;
}

bool IsHallAllowed(const AllowedRegions& allowed, const HallRegions& regions,
                   const std::string& hall) {
  if (!allowed) return true;
  const auto region = regions.find(hall);
  return region != regions.end() && allowed->count(region->second) > 0;
}

}  // namespace junctionrail

// Divides the requests for a model by the sets of regions in which they may run. Pure decision
// logic: the caller passes the time in.
#ifndef JUNCTIONRAIL_REGION_DEMAND_H_
#define JUNCTIONRAIL_REGION_DEMAND_H_

#include <vector>

#include "junctionrail/places.h"

namespace junctionrail {

class RegionDemand {
 public:
  // Requests that need replicas in these regions.
  struct Scope {
    AllowedRegions allowed;
    double share = 1;  // Of all requests, the part that may run only in these regions.
  };

  // A request that may run only in the `allowed` regions has arrived.
  void Add(const AllowedRegions& allowed, TimeMs now);
  // All regions in which the requests may run; nullopt if some may run in all, or if no request is
  // known.
  AllowedRegions Union() const;
  // The sets of regions that each need replicas of their own, by increasing share. The last one is
  // their union.
  std::vector<Scope> Scopes() const;

 private:
  struct Part {
    AllowedRegions allowed;
    double weight = 0;  // Exponentially decayed number of requests, as of `at`.
    TimeMs at = 0;
  };
  struct Share {
    const Part* part = nullptr;
    double share = 0;
  };
  // The parts that are not negligible.
  std::vector<Share> Shares() const;

  std::vector<Part> parts_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_REGION_DEMAND_H_

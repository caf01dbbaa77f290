// The choice of the engine for a further replica of a model: spreads replicas over failure domains,
// that is, data halls and regions.
#ifndef JUNCTIONRAIL_ROUTING_REPLICA_SPREAD_H_
#define JUNCTIONRAIL_ROUTING_REPLICA_SPREAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "junctionrail/places.h"
#include "junctionrail/routing.h"

namespace junctionrail::internal {

// An engine that can take the replica.
struct ReplicaCandidate {
  std::string instance;
  std::string hall;
  double cost_ms = 0;       // Time that callers lose until the replica is loaded.
  std::uint64_t score = 0;  // Decides between equal costs: the highest.
};

class ReplicaSpread {
 public:
  explicit ReplicaSpread(const Topology& topology) : topology_(topology) {}

  // A replica exists, or will soon, in the hall.
  void AddReplica(const std::string& hall);
  // Whether all replicas are in one hall.
  bool IsInOneHall() const { return replicas_by_hall_.size() == 1; }
  bool HasReplica(const std::string& hall) const { return replicas_by_hall_.count(hall) > 0; }

  // The cost of the cheapest candidate so far in the hall; none: there is no candidate there.
  std::optional<double> LowestCost(const std::string& hall) const;
  void AddCandidate(ReplicaCandidate candidate);

  struct Choice {
    std::string instance;
    ReplicaDomain domain = ReplicaDomain::kSameHall;
  };
  // The candidate in the hall, then region, with the fewest replicas, among those that cost at most
  // `max_extra_ms` more than the cheapest; then the cheapest of them.
  std::optional<Choice> Choose(double max_extra_ms) const;

 private:
  int CountInRegion(const std::string& hall) const;
  int CountInHall(const std::string& hall) const;
  ReplicaDomain DomainOf(const std::string& hall) const;

  const Topology& topology_;
  std::map<std::string, int> replicas_by_hall_;
  std::map<std::string, ReplicaCandidate> cheapest_;  // By hall.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_ROUTING_REPLICA_SPREAD_H_

// Policies that decide how long a replica may stay idle before it is unloaded and
// its accelerator memory released.
#ifndef JUNCTIONRAIL_IDLE_POLICY_H_
#define JUNCTIONRAIL_IDLE_POLICY_H_

#include <cstddef>
#include <variant>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// Never unloads an idle replica, except under memory pressure.
struct KeepForever {};

// Unloads after a fixed idle time.
struct FixedTtl {
  DurationMs ttl_ms = 60000;
};

// Weighs the expected cost of a cold start against the cost of keeping the replica
// loaded.
struct WeightedCost {
  double cold_start_weight = 1.0;  // Cost of one second of cold start.
  double idle_weight = 0.01;       // Cost of one second of an idle replica.
  DurationMs longest_idle_ms = 600000;
};

using IdlePolicy = std::variant<KeepForever, FixedTtl, WeightedCost>;

// The most recent kMaxGaps idle gaps of one replica.
class ArrivalHistory {
 public:
  // Records that the replica had been idle for `gap` when a call arrived.
  void AddGap(DurationMs gap);
  const std::vector<DurationMs>& gaps() const { return gaps_; }

 private:
  static constexpr std::size_t kMaxGaps = 64;
  std::vector<DurationMs> gaps_;
  std::size_t next_ = 0;
};

constexpr DurationMs kNeverUnload = -1;

// Returns the idle time after which to unload a replica that takes `load_ms` to
// load again, or kNeverUnload.
DurationMs IdleLimit(const IdlePolicy& policy, const ArrivalHistory& history, DurationMs load_ms);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_IDLE_POLICY_H_

// When an idle model gives its accelerator memory back. Each policy answers
// one question: for how long may a replica stay idle before it is unloaded?
#ifndef JUNCTIONRAIL_IDLE_POLICY_H_
#define JUNCTIONRAIL_IDLE_POLICY_H_

#include <cstddef>
#include <variant>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// Never unloads for idleness; only pressure does.
struct KeepForever {};

// Unloads after a fixed idle time.
struct FixedTtl {
  DurationMs ttl_ms = 60000;
};

// Weighs the expected cost of a cold start against the cost of holding.
struct WeightedCost {
  double cold_start_weight = 1.0;  // Cost of one second of cold start.
  double idle_weight = 0.01;       // Cost of one second of an idle replica.
  DurationMs longest_idle_ms = 600000;
};

using IdlePolicy = std::variant<KeepForever, FixedTtl, WeightedCost>;

// The idle gaps one replica has seen: the newest kMaxGaps of them.
class ArrivalHistory {
 public:
  // Records that the replica had been idle for `gap` when a call came.
  void AddGap(DurationMs gap);
  const std::vector<DurationMs>& gaps() const { return gaps_; }

 private:
  static constexpr std::size_t kMaxGaps = 64;
  std::vector<DurationMs> gaps_;
  std::size_t next_ = 0;
};

constexpr DurationMs kNeverUnload = -1;

// The idle time after which a replica that takes `load_ms` to come back should
// be unloaded, or kNeverUnload.
DurationMs IdleLimit(const IdlePolicy& policy, const ArrivalHistory& history, DurationMs load_ms);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_IDLE_POLICY_H_

#include "junctionrail/idle_policy.h"

#include <algorithm>

namespace junctionrail {
namespace {

constexpr double kMsPerSecond = 1000.0;

// Weight of the prior, as a number of gaps. Small, so that the replica's own history
// soon dominates.
constexpr double kPriorWeight = 2.0;

// Cost of `limit` over the recorded gaps and a prior of gaps half as long as the
// break-even time, in which holding costs as much as a cold start. Without history
// the best limit is the break-even time itself: the solution of the ski-rental
// problem, whose cost is at most twice the optimum.
double CostOf(DurationMs limit, const ArrivalHistory& history, const WeightedCost& policy,
              double cold_cost, DurationMs break_even) {
  const auto cost = [&](DurationMs gap) {
    const DurationMs held = std::min(gap, limit);
    const double idle = policy.idle_weight * static_cast<double>(held) / kMsPerSecond;
    return idle + (gap > limit ? cold_cost : 0.0);
  };
  double sum = kPriorWeight * cost(break_even / 2);
  for (const auto gap : history.gaps()) sum += cost(gap);
  return sum;
}

DurationMs WeightedLimit(const WeightedCost& policy, const ArrivalHistory& history,
                         DurationMs load_ms) {
  const double cold_cost = policy.cold_start_weight * static_cast<double>(load_ms) / kMsPerSecond;
  if (policy.idle_weight <= 0) return policy.longest_idle_ms;
  const double exact = cold_cost / policy.idle_weight * kMsPerSecond;
  const DurationMs break_even =
      static_cast<DurationMs>(std::min(exact, static_cast<double>(policy.longest_idle_ms)));
  // Between two gap lengths the cost only rises with the limit and it drops only at
  // a gap length, so the gap lengths are the only candidates.
  DurationMs best = 0;
  double best_cost = CostOf(0, history, policy, cold_cost, break_even);
  const auto consider = [&](DurationMs limit) {
    limit = std::min(limit, policy.longest_idle_ms);
    const double cost = CostOf(limit, history, policy, cold_cost, break_even);
    if (cost > best_cost || (cost == best_cost && limit <= best)) return;
    best = limit;
    best_cost = cost;
  };
  consider(break_even);
  for (const auto gap : history.gaps()) consider(gap);
  return best;
}

struct LimitVisitor {
  const ArrivalHistory& history;
  DurationMs load_ms;

  DurationMs operator()(const KeepForever&) const { return kNeverUnload; }
  DurationMs operator()(const FixedTtl& policy) const { return policy.ttl_ms; }
  DurationMs operator()(const WeightedCost& policy) const {
    return WeightedLimit(policy, history, load_ms);
  }
};

}  // namespace

void ArrivalHistory::AddGap(DurationMs gap) {
  if (gaps_.size() < kMaxGaps) {
    gaps_.push_back(gap);
    return;
  }
  gaps_[next_] = gap;
  next_ = (next_ + 1) % kMaxGaps;
}

DurationMs IdleLimit(const IdlePolicy& policy, const ArrivalHistory& history, DurationMs load_ms) {
  return std::visit(LimitVisitor{history, load_ms}, policy);
}

}  // namespace junctionrail

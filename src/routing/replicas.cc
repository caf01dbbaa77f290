// Decides on further replicas of busy models.
#include <algorithm>
#include <cmath>
#include <utility>

#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// A further replica is requested when more than this share of callers is late because
// of queueing at the existing ones: 95% of requests must get their first event in time.
constexpr double kMaxLateShare = 0.05;
// From this request rate on, a model keeps a second replica, so that new requests are
// still served without interruption when one upstream is lost.
constexpr double kSecondReplicaPerS = 1.5;
constexpr int kMinReplicas = 2;
// A further replica is also requested when the engines with the model have more than
// this share of their slots in use: waits grow steeply beyond it, and a load from the
// weight store takes much longer than that growth.
constexpr double kNearCapacityShare = 0.75;
// Time for a swap, including the end of requests in flight before it; after that the
// target is chosen again.
constexpr DurationMs kKeepReplicaTargetMs = 2500;
// Approximate time of a load from disk, including the swap before it.
constexpr DurationMs kQuickLoadMs = 1500;

}  // namespace

UpstreamTable::CountByModel UpstreamTable::CountReplicas(std::string_view service,
                                                         TimeMs now) const {
  CountByModel replicas;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now)) continue;
    const auto& loaded = IsFresh(row, now) ? row.view.loaded : row.record.loaded;
    for (const auto& it : loaded) {
      if (Holds(row, ModelRef{it.name, {}}, now)) ++replicas[it.name];
    }
  }
  return replicas;
}

int UpstreamTable::CountReplicasOf(const std::string& model, TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return 0;
  const ModelRef ref{model, {}};
  return static_cast<int>(
      std::count_if(holders->second.begin(), holders->second.end(), [&](const Row* row) {
        return IsUsable(*row, row->record.service, now) && Holds(*row, ref, now);
      }));
}

// Each entry reports its request rate for a model to every agent that has it loaded, so
// each of those agents knows the sum. An entry's own rate is too inaccurate: scaled to
// 28 entries, a single request would look like six a second.
UpstreamTable::RateByModel UpstreamTable::FleetRates(std::string_view service, TimeMs now) const {
  RateByModel rates;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    for (const auto& [model, per_s] : row.view.requests_per_s) {
      double& rate = rates[model];
      rate = std::max(rate, per_s);
    }
  }
  return rates;
}

// The share of requests whose first event comes after the target, derived from the
// average wait: waits in a queue are distributed about exponentially.
double UpstreamTable::ModelRate::LateShare() const {
  if (first_event_ms <= 0 || target_ms <= 0) return 0;
  return std::exp(-static_cast<double>(target_ms) / first_event_ms);
}

// Little's law: arrival rate times the time that each waits beyond the target.
double UpstreamTable::ModelRate::LateCallers(double fleet_per_s) const {
  return fleet_per_s / 1000 * first_event_ms * LateShare();
}

// Adds replicas one at a time while a model's callers are late at the existing ones; a
// busy model keeps a second replica in any case.
void UpstreamTable::AddReplicas(std::map<std::string, AgentDemand>* demands, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    int engines = 0;
    for (const auto& [instance, row] : rows_) engines += IsUsable(row, name, now) ? 1 : 0;
    const CountByModel pending_replicas = CountPendingReplicas(name, now);
    for (const auto& [model_name, per_s] : FleetRates(name, now)) {
      if (per_s < kSecondReplicaPerS || service.engine->Find(model_name) == nullptr) continue;
      const std::string model(model_name);
      const auto rate = rates_.find(model);
      if (rate == rates_.end()) continue;  // Left to entries that get its requests.
      const int replica_count = CountReplicasOf(model, now);
      const bool is_late = rate->second.LateShare() > kMaxLateShare;
      const bool needs_replica = is_late || IsNearCapacity(model, now);
      const int needed = needs_replica ? std::max(kMinReplicas, replica_count + 1) : kMinReplicas;
      const int wanted = std::min(needed, engines);
      // Without any replica, the waiting requests cause the first load.
      const auto pending = pending_replicas.find(model);
      if (replica_count == 0 ||
          replica_count + (pending == pending_replicas.end() ? 0 : pending->second) >= wanted)
        continue;
      const Row* target = ChooseReplicaTarget(name, model, now);
      const auto demand =
          target == nullptr ? demands->end() : demands->find(target->record.instance);
      if (demand == demands->end()) continue;
      demand->second.wanted.push_back(ModelDemand{ModelRef{model, {}}, 0, rate->second.priority, 0,
                                                  per_s / replica_count,
                                                  is_late ? rate->second.LateCallers(per_s) : 0});
    }
    AddEvacuatedModels(name, demands, now);
  }
}

bool UpstreamTable::IsNearCapacity(const std::string& model, TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return false;
  double used_slots = 0;
  double slots = 0;
  for (const Row* row : holders->second) {
    if (!IsUsable(*row, row->record.service, now) || !IsFresh(*row, now)) continue;
    // An upstream that states a limit is overloaded and counts as full: requests beyond
    // the limit must be served elsewhere.
    used_slots +=
        row->throttle.limit_per_s() ? row->record.slots : row->view.running + row->view.waiting;
    slots += row->record.slots;
  }
  return used_slots > kNearCapacityShare * slots;
}

UpstreamTable::CountByModel UpstreamTable::CountPendingReplicas(std::string_view service,
                                                                TimeMs now) const {
  CountByModel pending_replicas;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    // A load slower than one from disk is no reason to delay another replica.
    const bool is_slow =
        row.view.is_loading_from_store && row.view.load_remaining_ms > kQuickLoadMs;
    const bool is_pending = !row.view.loading.empty() && !is_slow;
    if (is_pending) ++pending_replicas[row.view.loading];
    for (const auto& it : row.view.queue) {
      const bool is_counted = is_pending && it == row.view.loading;
      if (!is_counted) ++pending_replicas[it];
    }
  }
  return pending_replicas;
}

// The engine where the model can be loaded soonest at the least cost to others. All
// entries choose the same one, as they see the same views. The choice is kept until the
// model is loaded: the engine looks busier while it evicts another model, and otherwise
// a different engine would be asked instead.
UpstreamTable::Row* UpstreamTable::ChooseReplicaTarget(std::string_view service,
                                                       const std::string& model, TimeMs now) {
  const auto asked = replica_requests_.find(model);
  const bool is_asked =
      asked != replica_requests_.end() && now - asked->second.at < kKeepReplicaTargetMs;
  const ModelRef ref{model, {}};
  const StoreUse store = CurrentStoreUse(now);
  std::vector<Row*> usable;
  for (auto& [instance, row] : rows_) {
    if (IsUsable(row, service, now)) usable.push_back(&row);
  }
  Row* best = nullptr;
  std::pair<double, std::uint64_t> best_rank;
  for (Row* it : FindLoadCandidates(model, usable, now)) {
    Row& row = *it;
    const std::string& instance = row.record.instance;
    if (!IsJudgeable(row, now)) continue;
    if (HoldsModel(row.view.loaded, model) || row.view.loading == model) continue;
    if (row.throttle.limit_per_s()) continue;
    if (is_asked && asked->second.instance == instance) return &row;
    double cost = static_cast<double>(EstimateLoad(row, ref, store, now));
    if (best != nullptr && cost > best_rank.first) continue;
    cost += CostToOthers(row, ref);
    const std::pair<double, std::uint64_t> rank(cost, ~RendezvousScore(model, instance));
    if (best != nullptr && rank >= best_rank) continue;
    best = &row;
    best_rank = rank;
  }
  if (best == nullptr) return nullptr;
  Observe(best, now);
  replica_requests_[model] = ReplicaRequest{best->record.instance, now};
  return best;
}

}  // namespace junctionrail

// Further replicas of busy models.
#include <algorithm>
#include <cmath>
#include <utility>

#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// Another replica is asked for when more than this share of the callers is late
// because of the queue at the present ones: the first event is owed in time to
// 95 in 100.
constexpr double kMaxLateShare = 0.05;
// From this many requests a second on, a model keeps a second replica, so that
// the loss of one upstream interrupts no stream of new requests.
constexpr double kSecondReplicaPerS = 1.5;
constexpr int kMinReplicas = 2;
// Another replica is also asked for when the engines that hold the model have more than
// this share of their places taken: waits grow steeply from there on, and a load from
// the weight store is over only long after they have.
constexpr double kNearCapacityShare = 0.75;
// A swap, with the end of requests under way before it, is over in such a time;
// then the place is chosen anew.
constexpr DurationMs kKeepReplicaTargetMs = 2500;
// A load from disk and the swap before it take about so long.
constexpr DurationMs kQuickLoadMs = 1500;

}  // namespace

UpstreamTable::CountByModel UpstreamTable::CountReplicas(TimeMs now) const {
  CountByModel replicas;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, row.record.service, now)) continue;
    const auto& loaded = IsFresh(row, now) ? row.view.loaded : row.record.loaded;
    for (const auto& it : loaded) {
      if (Holds(row, ModelRef{it.name, {}}, now)) ++replicas[it.name];
    }
  }
  return replicas;
}

// Each entry tells every agent that holds a model how many requests for it come
// here, so each of those agents knows the sum. One entry's own requests say too
// little: with 28 entries a single one would look like six a second.
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

// The share of requests whose first event comes after the target, from the
// average wait: waits behind a queue are spread about exponentially.
double UpstreamTable::ModelRate::LateShare() const {
  if (first_event_ms <= 0 || target_ms <= 0) return 0;
  return std::exp(-static_cast<double>(target_ms) / first_event_ms);
}

// By Little's law: arrivals times what each waits beyond the target.
double UpstreamTable::ModelRate::LateCallers(double fleet_per_s) const {
  return fleet_per_s / 1000 * first_event_ms * LateShare();
}

// A model whose callers are late at the present replicas gets another, one at a
// time, and a busy one keeps a second in any case.
void UpstreamTable::AddReplicas(std::map<std::string, AgentDemand>* demands,
                                const CountByModel& replicas, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    int engines = 0;
    for (const auto& [instance, row] : rows_) engines += IsUsable(row, name, now) ? 1 : 0;
    const CountByModel pending_replicas = CountPendingReplicas(name, now);
    for (const auto& [model_name, per_s] : FleetRates(name, now)) {
      if (per_s < kSecondReplicaPerS || service.engine->Find(model_name) == nullptr) continue;
      const std::string model(model_name);
      const auto rate = rates_.find(model);
      if (rate == rates_.end()) continue;  // Entries that see its requests ask.
      const auto count = replicas.find(model);
      const int replica_count = count == replicas.end() ? 0 : count->second;
      const bool is_late = rate->second.LateShare() > kMaxLateShare;
      const bool needs_replica = is_late || IsNearCapacity(model, now);
      const int needed = needs_replica ? std::max(kMinReplicas, replica_count + 1) : kMinReplicas;
      const int wanted = std::min(needed, engines);
      // With none at all the requests that wait for it bring the first.
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
  }
}

bool UpstreamTable::IsNearCapacity(const std::string& model, TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return false;
  double used_slots = 0;
  double slots = 0;
  for (const Row* row : holders->second) {
    if (!IsUsable(*row, row->record.service, now) || !IsFresh(*row, now)) continue;
    // One that names a limit is in need: callers beyond it have to be served elsewhere.
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
    // One that takes longer than a load from disk is no reason to wait for it.
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

// Where the model is up soonest and its room costs others least; the same for
// all entries, as they see the same views. It is kept until the model is up
// there: an engine that makes room for it has an order under way, and another
// one would be asked in its place.
const UpstreamTable::Row* UpstreamTable::ChooseReplicaTarget(std::string_view service,
                                                             const std::string& model, TimeMs now) {
  const auto asked = replica_requests_.find(model);
  const bool is_asked =
      asked != replica_requests_.end() && now - asked->second.at < kKeepReplicaTargetMs;
  const ModelRef ref{model, {}};
  const StoreUse store = CurrentStoreUse(now);
  const Row* best = nullptr;
  std::pair<double, std::uint64_t> best_rank;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
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
  if (best != nullptr) replica_requests_[model] = ReplicaRequest{best->record.instance, now};
  return best;
}

}  // namespace junctionrail

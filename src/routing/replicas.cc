// Decides on further replicas of busy models.
#include <algorithm>
#include <cmath>
#include <utility>

#include "replica_spread.h"
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
// A replica goes to a data hall with fewer replicas if that costs at most this much more, about as
// much as a load from disk that waits for another one. While all replicas are in one hall, the cost
// of a load from the weight store is allowed in addition, as the loss of that hall would cause one.
constexpr double kMaxSpreadCostMs = 1000;

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

int UpstreamTable::CountReplicasOf(const std::string& model, const AllowedRegions& allowed,
                                   TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return 0;
  const ModelRef ref{model, {}};
  return static_cast<int>(
      std::count_if(holders->second.begin(), holders->second.end(), [&](const Row* row) {
        return IsUsable(*row, row->record.service, now) && IsRegionAllowed(*row, allowed) &&
               Holds(*row, ref, now);
      }));
}

// Counts the model's replicas in the region of the row if this entry's requests belong there: they
// may run there, and either are bound to regions or the entry is in that region too. Otherwise 0.
int UpstreamTable::CountRegionReplicas(const Row& row, const std::string& model, TimeMs now) const {
  if (!options_.topology.HasRegions()) return 0;
  const std::string region = options_.topology.RegionOf(row.record.data_hall);
  const AllowedRegions allowed = RegionsOf(model);
  const bool is_wanted =
      allowed ? allowed->count(region) > 0
              : options_.topology.DistanceTo(row.record.data_hall) != Distance::kOtherRegion;
  const bool has_requests = is_wanted && rates_.count(model) > 0;
  if (!has_requests || region.empty()) return 0;
  return CountReplicasOf(model, std::set<std::string>{region}, now);
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

// Adds replicas one at a time while a model's callers are late at the existing ones. A busy model
// keeps a second replica in any case, and one in another data hall if replicas are spread. Each set
// of regions that requests are bound to is considered by itself.
void UpstreamTable::AddReplicas(std::map<std::string, AgentDemand>* demands, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    for (const auto& [model_name, per_s] : FleetRates(name, now)) {
      if (per_s < kSecondReplicaPerS || service.engine->Find(model_name) == nullptr) continue;
      const std::string model(model_name);
      const auto rate = rates_.find(model);
      if (rate == rates_.end()) continue;  // Left to entries that get its requests.
      for (const auto& scope : rate->second.regions.Scopes()) {
        if (AddReplica(name, model, per_s, scope, demands, now)) break;
      }
    }
    AddEvacuatedModels(name, demands, now);
  }
}

bool UpstreamTable::AddReplica(const std::string& service, const std::string& model,
                               double fleet_per_s, const RegionDemand::Scope& scope,
                               std::map<std::string, AgentDemand>* demands, TimeMs now) {
  const double per_s = fleet_per_s * scope.share;
  const int replica_count = CountReplicasOf(model, scope.allowed, now);
  // Without any replica, the waiting requests cause the first load.
  if (per_s < kSecondReplicaPerS || replica_count == 0) return false;
  const ModelRate& rate = rates_.at(model);
  const bool is_late = rate.LateShare() > kMaxLateShare;
  const bool is_in_one_hall = FindReplicas(model, scope.allowed, now).IsInOneHall();
  const bool needs_replica = is_late || IsNearCapacity(model, scope.allowed, now);
  if (replica_count >= kMinReplicas && !needs_replica && !is_in_one_hall) return false;
  int engines = 0;
  std::set<std::string_view> halls;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsRegionAllowed(row, scope.allowed)) continue;
    ++engines;
    halls.insert(row.record.data_hall);
  }
  const bool needs_hall = is_in_one_hall && halls.size() > 1;
  const int needed = std::max(kMinReplicas, replica_count + (needs_replica || needs_hall ? 1 : 0));
  const CountByModel pending_replicas = CountPendingReplicas(service, scope.allowed, now);
  const auto pending = pending_replicas.find(model);
  const int pending_count = pending == pending_replicas.end() ? 0 : pending->second;
  if (replica_count + pending_count >= std::min(needed, engines)) return pending_count > 0;
  const Row* target = ChooseReplicaTarget(service, model, scope.allowed, now);
  const auto demand = target == nullptr ? demands->end() : demands->find(target->record.instance);
  if (demand == demands->end()) return false;
  demand->second.wanted.push_back(ModelDemand{ModelRef{model, {}}, 0, rate.priority, 0,
                                              per_s / replica_count,
                                              is_late ? rate.LateCallers(per_s) : 0});
  return true;
}

bool UpstreamTable::IsNearCapacity(const std::string& model, const AllowedRegions& allowed,
                                   TimeMs now) const {
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return false;
  double used_slots = 0;
  double slots = 0;
  for (const Row* row : holders->second) {
    if (!IsUsable(*row, row->record.service, now) || !IsFresh(*row, now)) continue;
    if (!IsRegionAllowed(*row, allowed)) continue;
    // An upstream that states a limit is overloaded and counts as full: requests beyond
    // the limit must be served elsewhere.
    used_slots +=
        row->throttle.limit_per_s() ? row->record.slots : row->view.running + row->view.waiting;
    slots += row->record.slots;
  }
  return used_slots > kNearCapacityShare * slots;
}

UpstreamTable::CountByModel UpstreamTable::CountPendingReplicas(std::string_view service,
                                                                const AllowedRegions& allowed,
                                                                TimeMs now) const {
  CountByModel pending_replicas;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    if (!IsRegionAllowed(row, allowed)) continue;
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

internal::ReplicaSpread UpstreamTable::FindReplicas(const std::string& model,
                                                    const AllowedRegions& allowed,
                                                    TimeMs now) const {
  internal::ReplicaSpread spread(options_.topology);
  if (!options_.spreads_replicas) return spread;
  const auto holders = holders_.find(model);
  if (holders == holders_.end()) return spread;
  const ModelRef ref{model, {}};
  for (const Row* row : holders->second) {
    const bool is_replica = IsUsable(*row, row->record.service, now) &&
                            IsRegionAllowed(*row, allowed) && Holds(*row, ref, now);
    if (is_replica) spread.AddReplica(row->record.data_hall);
  }
  return spread;
}

// The engine where the model can be loaded soonest at the least cost to others, in the data hall
// and region with the fewest replicas if that costs little more. All entries choose the same one,
// as they see the same views. The choice is kept until the model is loaded: the engine looks busier
// while it evicts another model, and otherwise a different engine would be asked instead.
UpstreamTable::Row* UpstreamTable::ChooseReplicaTarget(std::string_view service,
                                                       const std::string& model,
                                                       const AllowedRegions& allowed, TimeMs now) {
  const auto asked = replica_requests_.find(model);
  const bool is_asked =
      asked != replica_requests_.end() && now - asked->second.at < kKeepReplicaTargetMs;
  const ModelRef ref{model, {}};
  const StoreUse store = CurrentStoreUse(now);
  std::vector<Row*> usable;
  for (auto& [instance, row] : rows_) {
    if (IsUsable(row, service, now) && IsRegionAllowed(row, allowed)) usable.push_back(&row);
  }
  internal::ReplicaSpread spread = FindReplicas(model, allowed, now);
  for (const Row* row : usable) {
    const bool is_pending =
        options_.spreads_replicas && IsFresh(*row, now) && row->view.loading == model;
    if (is_pending) spread.AddReplica(row->record.data_hall);
  }
  const ModelSpec* spec = services_.at(std::string(service)).engine->Find(model);
  for (Row* it : FindLoadCandidates(model, usable, now)) {
    Row& row = *it;
    const std::string& instance = row.record.instance;
    if (!IsJudgeable(row, now)) continue;
    if (HoldsModel(row.view.loaded, model) || row.view.loading == model) continue;
    if (row.throttle.limit_per_s()) continue;
    if (is_asked && asked->second.instance == instance) return &row;
    double cost = static_cast<double>(EstimateLoad(row, ref, store, now));
    const auto lowest = spread.LowestCost(row.record.data_hall);
    if (lowest && cost > *lowest) continue;
    cost += CostToOthers(row, ref);
    // An agent evicts no model in use for a replica without late callers. Without this cost, such
    // an engine would be chosen and would never load the model.
    const bool is_refused = spread.IsInOneHall() && !spread.HasReplica(row.record.data_hall) &&
                            EvictionCost(row, ref) > 0;
    if (is_refused && spec != nullptr) cost += static_cast<double>(spec->store_load_ms);
    spread.AddCandidate({instance, row.record.data_hall, cost, RendezvousScore(model, instance)});
  }
  const bool protects_from_loss = spread.IsInOneHall() && spec != nullptr;
  const auto choice =
      spread.Choose(protects_from_loss ? static_cast<double>(spec->store_load_ms) + kMaxSpreadCostMs
                                       : kMaxSpreadCostMs);
  if (!choice) return nullptr;
  ++replica_request_counts_[choice->domain];
  Row* best = &rows_.at(choice->instance);
  Observe(best, now);
  replica_requests_[model] = ReplicaRequest{choice->instance, now};
  return best;
}

std::uint64_t UpstreamTable::CountReplicaRequests(ReplicaDomain domain) const {
  const auto it = replica_request_counts_.find(domain);
  return it == replica_request_counts_.end() ? 0 : it->second;
}

}  // namespace junctionrail

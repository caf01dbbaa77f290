// The replicas of an agent: inventory of the engine, loads and unloads, accelerator
// memory and idle replicas.
#include <algorithm>
#include <utility>

#include "agent_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kShortRetryMs = 200;
constexpr DurationMs kLoadRetryMs = 1000;
constexpr DurationMs kReadyWithoutGrantsMs = 3000;
constexpr DurationMs kUnsettledQueryMs = 100;    // Between queries while a state is unsettled.
constexpr DurationMs kFailedQueryRetryMs = 500;  // After a failed query.
constexpr double kMbPerGb = 1024;
constexpr double kLoadRateSmoothing = 0.3;  // Weight of the newest measurement.
constexpr int kOperationBits = 20;

}  // namespace

Replica& AgentImpl::FindOrAddReplica(const std::string& key) {
  Replica& replica = replicas_[key];
  if (replica.key.empty()) replica.key = key;
  return replica;
}

// Operation ids serve as fencing tokens. They grow within a process and, because
// their high bits are the Unix time of its start, from one process to the next.
std::int64_t AgentImpl::NextOperationId() {
  return (options_.started_unix_ms << kOperationBits) + ++operations_;
}

bool AgentImpl::CanStartOperations() const {
  return inventory_known_ && engine_reachable_ && engine_fenced_ && !leaving_;
}

bool AgentImpl::IsReady() const {
  if (leaving_) return false;
  if (options_.kind == UpstreamKind::kService) return true;
  // During an outage of the key-value service the agent can serve what is loaded.
  const bool has_waited = now_ >= started_at_ + kReadyWithoutGrantsMs;
  return inventory_known_ && engine_fenced_ && (grants_known_ || has_waited);
}

std::vector<ReplicaStatus> AgentImpl::Replicas() const {
  std::vector<ReplicaStatus> all;
  for (const auto& [key, it] : replicas_) {
    all.push_back(ReplicaStatus{key, it.state, it.grant == GrantState::kHeld, it.running,
                                static_cast<std::uint32_t>(it.queue.size())});
  }
  return all;
}

// ---- Inventory of the engine -----------------------------------------------

void AgentImpl::QueryEngine() {
  if (options_.kind != UpstreamKind::kEngine || query_in_flight_) return;
  query_in_flight_ = true;
  queried_at_ = now_;
  Emit(agent::QueryInventory{++inventory_queries_});
}

void AgentImpl::On(agent::InventoryFailed) {
  query_in_flight_ = false;
  engine_reachable_ = false;
  next_query_at_ = now_ + kFailedQueryRetryMs;
}

void AgentImpl::On(agent::InventoryArrived event) {
  if (event.query_id != inventory_queries_ || !query_in_flight_) return;
  query_in_flight_ = false;
  engine_reachable_ = true;
  needs_reevaluation_ = true;
  ledger_.SetCapacities(event.accelerators_mb);
  std::map<std::string, const EngineModel*> found;
  for (const auto& it : event.models) {
    tiers_[it.key] = it.tier;
    if (it.state != ReplicaState::kAbsent) found[it.key] = &it;
  }
  for (const auto& [key, model] : found) FindOrAddReplica(key);
  for (auto& [key, replica] : replicas_) {
    const auto it = found.find(key);
    ReconcileReplica(replica, it == found.end() ? nullptr : it->second, event.query_id);
  }
  inventory_known_ = true;
  UpdateFence(event.query_id);
  bool is_unsettled = false;
  for (const auto& [key, it] : replicas_) {
    const bool is_changing =
        it.state == ReplicaState::kLoading || it.state == ReplicaState::kUnloading;
    is_unsettled = is_unsettled || it.is_outcome_unknown || (is_changing && it.operation_id == 0);
  }
  const bool query_soon = is_unsettled || !engine_fenced_;
  next_query_at_ = now_ + (query_soon ? kUnsettledQueryMs : options_.inventory_period_ms);
}

// Whether an operation of unknown outcome can no longer take effect.
bool AgentImpl::IsOperationExpired(const Replica& replica) const {
  return queried_at_ >= replica.outcome_unknown_since + options_.operation_lifetime_ms;
}

void AgentImpl::ReconcileReplica(Replica& replica, const EngineModel* found,
                                 std::uint64_t query_id) {
  const bool has_operation = replica.operation_id != 0;
  if (has_operation || query_id <= replica.last_stale_query) return;
  if (found == nullptr) {
    if (replica.state == ReplicaState::kAbsent) return;
    if (replica.is_outcome_unknown && !IsOperationExpired(replica)) return;
    if (!replica.is_outcome_unknown) ++counters_.inventory_mismatches;
    RecordDecision({}, replica.key, "the engine no longer holds it");
    MarkAbsent(replica);
    if (!replica.queue.empty()) replica.is_load_requested = true;
    return;
  }
  if (!ledger_.Holds(replica.key)) {
    ledger_.Adopt(found->accelerator, replica.key, found->memory_mb);
    replica.memory_mb = found->memory_mb;
    if (inventory_known_) ++counters_.inventory_mismatches;
    RecordDecision({}, replica.key, "the engine already holds it; its memory is now accounted for");
  }
  if (found->state != ReplicaState::kLoaded) {
    if (replica.state == ReplicaState::kAbsent) replica.operation_started_at = now_;
    replica.state = found->state;
    return;
  }
  // The model is loaded. An unload of unknown outcome may still take effect.
  const bool may_unload = replica.is_outcome_unknown && replica.state == ReplicaState::kUnloading;
  if (may_unload && !IsOperationExpired(replica)) return;
  replica.is_outcome_unknown = false;
  if (replica.state == ReplicaState::kLoaded) return;
  replica.state = ReplicaState::kLoaded;
  replica.is_load_requested = false;
  MarkIdle(replica);
  DispatchQueued(replica);
}

// Ensures that no operation of an earlier process can still take effect: an engine
// that checks fencing tokens is sent a newer one; for other engines the agent waits
// for the lifetime of operations. In both cases only an inventory that is
// requested afterwards shows every operation that took effect.
void AgentImpl::UpdateFence(std::uint64_t query_id) {
  if (engine_fenced_) return;
  if (!options_.upstream_checks_fencing) {
    engine_fenced_ = queried_at_ >= started_at_ + options_.operation_lifetime_ms;
    return;
  }
  if (!fence_done_) return Emit(agent::FenceEngine{NextOperationId()});
  engine_fenced_ = query_id > queries_before_fence_;
  if (!engine_fenced_) QueryEngine();
}

void AgentImpl::On(agent::FenceDone event) {
  if (!event.ok || fence_done_) return;
  fence_done_ = true;
  queries_before_fence_ = inventory_queries_;
  QueryEngine();
}

void AgentImpl::MarkAbsent(Replica& replica) {
  ledger_.Release(replica.key);
  replica.state = ReplicaState::kAbsent;
  replica.is_outcome_unknown = false;
  replica.operation_id = 0;
}

void AgentImpl::MarkOutcomeUnknown(Replica& replica) {
  replica.is_outcome_unknown = true;
  replica.outcome_unknown_since = now_;
  replica.operation_id = 0;
  QueryEngine();
}

void AgentImpl::MarkIdle(Replica& replica) {
  replica.idle_since = now_;
  replica.idle_limit_ms = IdleLimit(options_.idle_policy, replica.history, ExpectedLoad(replica));
}

// ---- Loads -----------------------------------------------------------------

CacheTier AgentImpl::TierOf(std::string_view key) const {
  const auto it = tiers_.find(key);
  return it == tiers_.end() ? CacheTier::kRemote : it->second;
}

// Updates the load rate of a tier, which predicts the load time of models that were
// never loaded here. The first measurement replaces the assumed rate, because an
// assumption that is too high refuses callers that could be served.
void AgentImpl::UpdateLoadRate(const Replica& replica, DurationMs took) {
  if (replica.memory_mb == 0) return;
  const auto tier = static_cast<std::size_t>(replica.load_tier);
  const double measured = static_cast<double>(std::max<DurationMs>(1, took)) * kMbPerGb /
                          static_cast<double>(replica.memory_mb);
  const bool is_assumed =
      load_ms_per_gb_[tier] == static_cast<double>(options_.load_ms_per_gb[tier]);
  const double weight = is_assumed ? 1.0 : kLoadRateSmoothing;
  load_ms_per_gb_[tier] += weight * (measured - load_ms_per_gb_[tier]);
}

DurationMs AgentImpl::ExpectedLoad(const Replica& replica) const {
  if (replica.measured_load_ms > 0) return replica.measured_load_ms;
  const double per_gb = load_ms_per_gb_[static_cast<std::size_t>(TierOf(replica.key))];
  return std::max<DurationMs>(
      1, static_cast<DurationMs>(per_gb * static_cast<double>(replica.memory_mb) / kMbPerGb));
}

DurationMs AgentImpl::RemainingLoad(const Replica& replica) const {
  const DurationMs elapsed = now_ - replica.operation_started_at;
  const DurationMs expected = std::max(replica.expected_load_ms, ExpectedLoad(replica));
  if (elapsed < expected) return expected - elapsed;
  // The load is overdue; the expected remainder grows with the time it has taken.
  return std::max<DurationMs>(1, elapsed / 4);
}

// Time until the replica is loaded for a call at this queue position. Loads start
// in the order of the most urgent call that waits for each, so only loads in
// progress and more urgent ones come first.
DurationMs AgentImpl::TimeUntilReady(const Replica& replica, const QueuePosition& position) const {
  if (replica.state == ReplicaState::kLoaded) return 0;
  DurationMs base_ready = 0;
  if (!replica.base.empty()) {
    const auto base = replicas_.find(replica.base);
    if (base != replicas_.end()) base_ready = TimeUntilReady(base->second, position);
  }
  if (replica.state == ReplicaState::kLoading) return std::max(base_ready, RemainingLoad(replica));
  DurationMs ahead = 0;
  for (const auto& [key, it] : replicas_) {
    if (key == replica.key || key == replica.base) continue;
    if (it.operation_id != 0 && it.state == ReplicaState::kLoading) {
      ahead += RemainingLoad(it);
    } else if (it.is_load_requested && it.state == ReplicaState::kAbsent &&
               MostUrgent(it) < position) {
      ahead += ExpectedLoad(it);
    }
  }
  return base_ready + ahead / options_.max_loads + ExpectedLoad(replica);
}

DurationMs AgentImpl::TimeUntilReady(const Replica& replica) const {
  return TimeUntilReady(replica, MostUrgent(replica));
}

QueuePosition AgentImpl::PositionOf(const AgentRequest& request) {
  return QueuePosition{request.call.priority, request.deadline_at, request.call.id};
}

// The queue position that would decide when the replica is loaded if this request
// waited for it.
QueuePosition AgentImpl::LoadPosition(const Replica& replica, const AgentRequest& request) {
  return std::min(PositionOf(request), MostUrgent(replica));
}

std::uint32_t AgentImpl::LoadsInFlight() const {
  std::uint32_t n = 0;
  for (const auto& [key, it] : replicas_) n += it.state == ReplicaState::kLoading ? 1 : 0;
  return n;
}

QueuePosition AgentImpl::MostUrgent(const Replica& replica) {
  if (!replica.queue.empty()) return *replica.queue.begin();
  return QueuePosition{Priority::kLow, INT64_MAX, replica.key};
}

// Starts the requested loads, the most urgent first.
void AgentImpl::StartLoads() {
  if (!CanStartOperations()) return;
  std::vector<Replica*> wanted;
  for (auto& [key, it] : replicas_) {
    const bool can_load = it.is_load_requested && it.grant == GrantState::kHeld &&
                          it.state == ReplicaState::kAbsent && it.operation_id == 0 &&
                          !it.is_outcome_unknown;
    if (can_load) wanted.push_back(&it);
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const Replica* a, const Replica* b) { return MostUrgent(*a) < MostUrgent(*b); });
  for (Replica* it : wanted) {
    if (LoadsInFlight() >= options_.max_loads) return;
    StartLoad(*it);
  }
}

void AgentImpl::StartLoad(Replica& replica) {
  std::optional<std::uint32_t> accelerator;
  if (replica.base.empty()) {
    accelerator = ledger_.Reserve(replica.key, replica.memory_mb);
  } else {
    const Replica& base = FindOrAddReplica(replica.base);
    if (base.state != ReplicaState::kLoaded) {
      if (base.grant == GrantState::kHeld) return;  // The base will be loaded first.
      return AbandonLoad(
          replica, Refusal{RefusalCode::kNotGranted, "this upstream holds no grant for the base",
                           Ran::kNo, kShortRetryMs});
    }
    const auto base_accelerator = ledger_.AcceleratorOf(replica.base);
    if (base_accelerator && ledger_.ReserveOn(*base_accelerator, replica.key, replica.memory_mb))
      accelerator = base_accelerator;
  }
  if (!accelerator) {
    if (EvictToFit(replica)) return;
    AbandonLoad(replica,
                Refusal{RefusalCode::kNoMemory,
                        "no accelerator has enough memory, even after unloading idle models",
                        Ran::kNo, kShortRetryMs});
    return;
  }
  CheckInvariant(replica.grant == GrantState::kHeld, "nothing is loaded without a grant");
  CheckInvariant(replica.operation_id == 0 && replica.state == ReplicaState::kAbsent,
                 "a key has one load in flight on an upstream");
  replica.state = ReplicaState::kLoading;
  replica.operation_id = NextOperationId();
  replica.operation_started_at = now_;
  replica.expected_load_ms = ExpectedLoad(replica);
  replica.load_tier = TierOf(replica.key);
  replica.last_stale_query = inventory_queries_;
  ++counters_.loads_started;
  RecordDecision({}, replica.key,
                 "load ordered for " + std::to_string(replica.queue.size()) + " waiting calls",
                 "accelerator=" + std::to_string(*accelerator) +
                     " memory_mb=" + std::to_string(replica.memory_mb) +
                     " expected_ms=" + std::to_string(replica.expected_load_ms) +
                     " token=" + std::to_string(replica.token));
  Emit(agent::LoadModel{replica.key, replica.base, *accelerator, replica.memory_mb,
                        replica.operation_id});
}

void AgentImpl::On(agent::LoadEnded event) {
  Replica& replica = FindOrAddReplica(event.key);
  if (replica.operation_id != event.operation_id) return;
  replica.last_stale_query = inventory_queries_;
  needs_reevaluation_ = true;
  const DurationMs took = now_ - replica.operation_started_at;
  if (event.outcome == OperationOutcome::kUnknown) {
    ++counters_.loads_unknown;
    RecordDecision({}, event.key, "the load's outcome is unknown; its memory stays reserved",
                   event.detail);
    return MarkOutcomeUnknown(replica);
  }
  if (event.outcome == OperationOutcome::kRefused) {
    ++counters_.loads_failed;
    MarkAbsent(replica);
    return AbandonLoad(
        replica, Refusal{RefusalCode::kLoadFailed, "the engine refused the load: " + event.detail,
                         Ran::kNo, kLoadRetryMs});
  }
  ++counters_.loads_completed;
  UpdateLoadRate(replica, took);
  replica.operation_id = 0;
  replica.state = ReplicaState::kLoaded;
  replica.is_load_requested = false;
  replica.measured_load_ms = replica.measured_load_ms == 0
                                 ? std::max<DurationMs>(1, took)
                                 : std::max<DurationMs>(1, (replica.measured_load_ms + took) / 2);
  RecordDecision({}, event.key, "loaded",
                 "took_ms=" + std::to_string(took) +
                     " expected_ms=" + std::to_string(replica.expected_load_ms));
  MarkIdle(replica);
  DispatchQueued(replica);
  ContinueRetiring(replica);
}

void AgentImpl::AbandonLoad(Replica& replica, const Refusal& refusal) {
  replica.is_load_requested = false;
  RefuseAllQueued(replica, refusal);
  if (refusal.code == RefusalCode::kNoMemory) Retire(replica, "it does not fit on this upstream");
}

// ---- Memory and idle replicas ----------------------------------------------

bool AgentImpl::HasAdapter(const std::string& key) const {
  return std::any_of(replicas_.begin(), replicas_.end(), [&key](const auto& it) {
    const Replica& adapter = it.second;
    return adapter.base == key &&
           (adapter.state != ReplicaState::kAbsent || adapter.is_load_requested);
  });
}

bool AgentImpl::IsIdle(const Replica& replica) const {
  return replica.state == ReplicaState::kLoaded && replica.running == 0 && replica.queue.empty() &&
         replica.operation_id == 0 && !replica.is_outcome_unknown && !replica.is_load_requested;
}

// Whether the replica and all its adapters are idle.
bool AgentImpl::IsEvictable(const Replica& replica) const {
  if (!IsIdle(replica)) return false;
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& it) {
    const Replica& adapter = it.second;
    if (adapter.base != replica.key) return true;
    return adapter.state == ReplicaState::kAbsent ? !adapter.is_load_requested : IsIdle(adapter);
  });
}

// Free memory plus the memory that idle or unloading replicas would release.
std::uint64_t AgentImpl::AvailableOn(std::uint32_t accelerator) const {
  std::uint64_t room = ledger_.FreeOn(accelerator);
  for (const auto& [key, it] : replicas_) {
    if (ledger_.AcceleratorOf(key) != accelerator) continue;
    const bool will_be_freed = it.state == ReplicaState::kUnloading || IsEvictable(it);
    if (will_be_freed) room += ledger_.MemoryOf(key);
  }
  return room;
}

bool AgentImpl::CouldFit(std::uint64_t memory_mb, const std::string& base) const {
  const auto base_accelerator = ledger_.AcceleratorOf(base);
  if (!base.empty() && base_accelerator) {
    // Unloading the base cannot free memory for its own adapter.
    const auto it = replicas_.find(base);
    const std::uint64_t own =
        it != replicas_.end() && IsEvictable(it->second) ? ledger_.MemoryOf(base) : 0;
    return AvailableOn(*base_accelerator) >= memory_mb + own;
  }
  for (std::uint32_t n = 0; n < ledger_.accelerators(); ++n) {
    if (AvailableOn(n) >= memory_mb) return true;
  }
  return false;
}

bool AgentImpl::CouldFit(const Replica& replica) const {
  return CouldFit(replica.memory_mb, replica.base);
}

// Unloads idle replicas, the longest idle first, until `wanted` will fit. Returns
// false if that cannot free enough memory.
bool AgentImpl::EvictToFit(const Replica& wanted) {
  if (!CouldFit(wanted)) return false;
  const auto base_accelerator = ledger_.AcceleratorOf(wanted.base);
  std::optional<std::uint32_t> target = wanted.base.empty() ? std::nullopt : base_accelerator;
  for (std::uint32_t n = 0; !target && n < ledger_.accelerators(); ++n) {
    if (AvailableOn(n) >= wanted.memory_mb) target = n;
  }
  if (!target) return false;
  std::uint64_t expected_free_mb = ledger_.FreeOn(*target);
  std::vector<Replica*> idle;
  for (auto& [key, it] : replicas_) {
    if (ledger_.AcceleratorOf(key) != target) continue;
    if (it.state == ReplicaState::kUnloading) expected_free_mb += ledger_.MemoryOf(key);
    if (IsEvictable(it) && key != wanted.base) idle.push_back(&it);
  }
  std::sort(idle.begin(), idle.end(),
            [](const Replica* a, const Replica* b) { return a->idle_since < b->idle_since; });
  for (Replica* it : idle) {
    if (expected_free_mb >= wanted.memory_mb) break;
    expected_free_mb += ledger_.MemoryOf(it->key);
    Evict(*it);
  }
  return true;
}

// Unloads a replica, or first its adapters; the base is evicted by a later call.
void AgentImpl::Evict(Replica& replica) {
  bool has_adapter = false;
  for (auto& [key, it] : replicas_) {
    if (it.base != replica.key || !IsIdle(it)) continue;
    has_adapter = true;
    ++counters_.unloads_pressure;
    StartUnload(it, "its memory is needed");
  }
  if (has_adapter || HasAdapter(replica.key)) return;
  ++counters_.unloads_pressure;
  StartUnload(replica, "its memory is needed");
}

void AgentImpl::UnloadIdle() {
  if (!CanStartOperations() && !vm_leaves_) return;
  for (auto& [key, it] : replicas_) {
    if (!IsIdle(it) || HasAdapter(key)) continue;
    if (grants_known_ && it.grant == GrantState::kNone) {
      StartUnload(it, "no grant covers it");
      continue;
    }
    const bool is_over = it.idle_limit_ms >= 0 && now_ - it.idle_since >= it.idle_limit_ms;
    if (!is_over) continue;
    ++counters_.unloads_idle;
    StartUnload(it, "idle for " + std::to_string(now_ - it.idle_since) + " ms, limit " +
                        std::to_string(it.idle_limit_ms) + " ms");
  }
}

void AgentImpl::StartUnload(Replica& replica, std::string_view reason) {
  if (replica.operation_id != 0 || !engine_reachable_ || !engine_fenced_) return;
  CheckInvariant(replica.running == 0, "nothing in use is unloaded");
  replica.state = ReplicaState::kUnloading;
  replica.operation_id = NextOperationId();
  replica.operation_started_at = now_;
  replica.last_stale_query = inventory_queries_;
  RecordDecision({}, replica.key, "unload started: " + std::string(reason));
  Emit(agent::UnloadModel{replica.key, replica.operation_id});
}

void AgentImpl::On(agent::UnloadEnded event) {
  Replica& replica = FindOrAddReplica(event.key);
  if (replica.operation_id != event.operation_id) return;
  replica.last_stale_query = inventory_queries_;
  needs_reevaluation_ = true;
  // A refusal does not tell whether the model is still loaded, so the state is
  // unknown until the next inventory.
  if (event.outcome != OperationOutcome::kDone) return MarkOutcomeUnknown(replica);
  ++counters_.unloads_completed;
  MarkAbsent(replica);
  if (!replica.queue.empty()) replica.is_load_requested = true;
  ContinueRetiring(replica);
}

}  // namespace junctionrail::internal

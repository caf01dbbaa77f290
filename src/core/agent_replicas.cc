// The replicas of an agent: what the engine holds, load and unload orders,
// accelerator memory and idleness.
#include <algorithm>
#include <utility>

#include "agent_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kShortRetryMs = 200;
constexpr DurationMs kLoadRetryMs = 1000;
constexpr DurationMs kReadyWithoutGrantsMs = 3000;
constexpr DurationMs kBusyAskMs = 100;    // Between inventories while something is unsettled.
constexpr DurationMs kFailedAskMs = 500;  // After an inventory that failed.
constexpr double kMbPerGb = 1024;
constexpr double kNewestRateWeight = 0.3;  // Of a tier's newest measurement.
constexpr int kOrderBits = 20;

}  // namespace

Replica& AgentImpl::ReplicaOf(const std::string& key) {
  Replica& replica = replicas_[key];
  if (replica.key.empty()) replica.key = key;
  return replica;
}

// Orders carry fencing tokens that grow within a process and, as their first
// part is the Unix time of its start, from one process to the next.
std::int64_t AgentImpl::NextOrder() { return (options_.started_unix_ms << kOrderBits) + ++orders_; }

bool AgentImpl::MayOrder() const {
  return engine_known_ && engine_reachable_ && engine_fenced_ && !leaving_;
}

bool AgentImpl::IsReady() const {
  if (leaving_) return false;
  if (options_.kind == UpstreamKind::kService) return true;
  // In an outage of the key-value service it is ready for what is loaded.
  const bool has_waited = now_ >= started_at_ + kReadyWithoutGrantsMs;
  return engine_known_ && engine_fenced_ && (grants_known_ || has_waited);
}

std::vector<ReplicaStatus> AgentImpl::Replicas() const {
  std::vector<ReplicaStatus> all;
  for (const auto& [key, it] : replicas_) {
    all.push_back(ReplicaStatus{key, it.state, it.grant == GrantState::kHeld, it.running,
                                static_cast<std::uint32_t>(it.queue.size())});
  }
  return all;
}

// ---- What the engine holds -------------------------------------------------

void AgentImpl::AskEngine() {
  if (options_.kind != UpstreamKind::kEngine || ask_in_flight_) return;
  ask_in_flight_ = true;
  asked_at_ = now_;
  Emit(agent::AskInventory{++asks_});
}

void AgentImpl::On(agent::InventoryFailed) {
  ask_in_flight_ = false;
  engine_reachable_ = false;
  next_ask_at_ = now_ + kFailedAskMs;
}

void AgentImpl::On(agent::InventoryArrived event) {
  if (event.asked != asks_ || !ask_in_flight_) return;
  ask_in_flight_ = false;
  engine_reachable_ = true;
  reconsider_ = true;
  ledger_.SetCapacities(event.accelerators_mb);
  std::map<std::string, const EngineModel*> found;
  for (const auto& it : event.models) {
    tiers_[it.key] = it.tier;
    if (it.state != ReplicaState::kAbsent) found[it.key] = &it;
  }
  for (const auto& [key, model] : found) ReplicaOf(key);
  for (auto& [key, replica] : replicas_) {
    const auto it = found.find(key);
    ReconcileReplica(replica, it == found.end() ? nullptr : it->second, event.asked);
  }
  engine_known_ = true;
  SettleFence(event.asked);
  bool is_unsettled = false;
  for (const auto& [key, it] : replicas_) {
    const bool moves = it.state == ReplicaState::kLoading || it.state == ReplicaState::kUnloading;
    is_unsettled = is_unsettled || it.is_unknown || (moves && it.order == 0);
  }
  const bool soon = is_unsettled || !engine_fenced_;
  next_ask_at_ = now_ + (soon ? kBusyAskMs : options_.inventory_period_ms);
}

// Whether an order of unknown outcome can no longer take effect.
bool AgentImpl::IsSettled(const Replica& replica) const {
  return asked_at_ >= replica.unknown_since + options_.order_lifetime_ms;
}

void AgentImpl::ReconcileReplica(Replica& replica, const EngineModel* found, std::uint64_t asked) {
  const bool has_order = replica.order != 0;
  if (has_order || asked <= replica.stale_asks) return;
  if (found == nullptr) {
    if (replica.state == ReplicaState::kAbsent) return;
    if (replica.is_unknown && !IsSettled(replica)) return;
    if (!replica.is_unknown) ++counters_.inventory_surprises;
    Note({}, replica.key, "the engine no longer holds it");
    BecomeAbsent(replica);
    if (!replica.queue.empty()) replica.is_wanted = true;
    return;
  }
  if (!ledger_.Holds(replica.key)) {
    ledger_.Adopt(found->accelerator, replica.key, found->memory_mb);
    replica.memory_mb = found->memory_mb;
    if (engine_known_) ++counters_.inventory_surprises;
    Note({}, replica.key, "the engine holds it already; entered in the ledger");
  }
  if (found->state != ReplicaState::kLoaded) {
    if (replica.state == ReplicaState::kAbsent) replica.order_at = now_;
    replica.state = found->state;
    return;
  }
  // Loaded. After an unload of unknown outcome that order may still take effect.
  const bool may_unload = replica.is_unknown && replica.state == ReplicaState::kUnloading;
  if (may_unload && !IsSettled(replica)) return;
  replica.is_unknown = false;
  if (replica.state == ReplicaState::kLoaded) return;
  replica.state = ReplicaState::kLoaded;
  replica.is_wanted = false;
  BecomeIdle(replica);
  PumpQueue(replica);
}

// Makes sure that no order of an earlier process can still land: an engine
// that checks fencing tokens is told a newer one, for one that does not the
// orders' lifetime is waited out. Either way only an inventory asked for after
// that shows all that did land.
void AgentImpl::SettleFence(std::uint64_t asked) {
  if (engine_fenced_) return;
  if (!options_.upstream_checks_fencing) {
    engine_fenced_ = asked_at_ >= started_at_ + options_.order_lifetime_ms;
    return;
  }
  if (!fence_done_) return Emit(agent::FenceEngine{NextOrder()});
  engine_fenced_ = asked > asks_before_fence_;
  if (!engine_fenced_) AskEngine();
}

void AgentImpl::On(agent::FenceDone event) {
  if (!event.ok || fence_done_) return;
  fence_done_ = true;
  asks_before_fence_ = asks_;
  AskEngine();
}

void AgentImpl::BecomeAbsent(Replica& replica) {
  ledger_.Release(replica.key);
  replica.state = ReplicaState::kAbsent;
  replica.is_unknown = false;
  replica.order = 0;
}

void AgentImpl::BecomeUnknown(Replica& replica) {
  replica.is_unknown = true;
  replica.unknown_since = now_;
  replica.order = 0;
  AskEngine();
}

void AgentImpl::BecomeIdle(Replica& replica) {
  replica.idle_since = now_;
  replica.idle_limit_ms = IdleLimit(options_.idle_policy, replica.history, ExpectedLoad(replica));
}

// ---- Loads -----------------------------------------------------------------

CacheTier AgentImpl::TierOf(std::string_view key) const {
  const auto it = tiers_.find(key);
  return it == tiers_.end() ? CacheTier::kRemote : it->second;
}

// What a load took says how fast its tier is, for models never loaded here. The
// first measurement replaces the assumption: that is a guess, and one too high
// refuses callers who could have been served.
void AgentImpl::LearnLoadRate(const Replica& replica, DurationMs took) {
  if (replica.memory_mb == 0) return;
  const auto tier = static_cast<std::size_t>(replica.load_tier);
  const double measured = static_cast<double>(std::max<DurationMs>(1, took)) * kMbPerGb /
                          static_cast<double>(replica.memory_mb);
  const bool is_assumed =
      load_ms_per_gb_[tier] == static_cast<double>(options_.load_ms_per_gb[tier]);
  const double weight = is_assumed ? 1.0 : kNewestRateWeight;
  load_ms_per_gb_[tier] += weight * (measured - load_ms_per_gb_[tier]);
}

DurationMs AgentImpl::ExpectedLoad(const Replica& replica) const {
  if (replica.measured_load_ms > 0) return replica.measured_load_ms;
  const double per_gb = load_ms_per_gb_[static_cast<std::size_t>(TierOf(replica.key))];
  return std::max<DurationMs>(
      1, static_cast<DurationMs>(per_gb * static_cast<double>(replica.memory_mb) / kMbPerGb));
}

DurationMs AgentImpl::RemainingLoad(const Replica& replica) const {
  const DurationMs elapsed = now_ - replica.order_at;
  const DurationMs expected = std::max(replica.expected_load_ms, ExpectedLoad(replica));
  if (elapsed < expected) return expected - elapsed;
  // Past its estimate: it has slipped, and by how much grows with the wait.
  return std::max<DurationMs>(1, elapsed / 4);
}

// Until a call with this place could be sent, as far as loads decide it. Loads
// start by the most urgent call that waits for them, so only what is under way
// and what is more urgent comes before.
DurationMs AgentImpl::UntilReady(const Replica& replica, const QueuePlace& place) const {
  if (replica.state == ReplicaState::kLoaded) return 0;
  DurationMs base_ready = 0;
  if (!replica.base.empty()) {
    const auto base = replicas_.find(replica.base);
    if (base != replicas_.end()) base_ready = UntilReady(base->second, place);
  }
  if (replica.state == ReplicaState::kLoading) return std::max(base_ready, RemainingLoad(replica));
  DurationMs ahead = 0;
  for (const auto& [key, it] : replicas_) {
    if (key == replica.key || key == replica.base) continue;
    if (it.order != 0 && it.state == ReplicaState::kLoading) {
      ahead += RemainingLoad(it);
    } else if (it.is_wanted && it.state == ReplicaState::kAbsent && MostUrgent(it) < place) {
      ahead += ExpectedLoad(it);
    }
  }
  return base_ready + ahead / options_.max_loads + ExpectedLoad(replica);
}

DurationMs AgentImpl::UntilReady(const Replica& replica) const {
  return UntilReady(replica, MostUrgent(replica));
}

QueuePlace AgentImpl::PlaceOf(const AgentRequest& request) {
  return QueuePlace{request.call.priority, request.deadline_at, request.call.id};
}

// The place by which a replica would be loaded if this request waited for it.
QueuePlace AgentImpl::PlaceAt(const Replica& replica, const AgentRequest& request) {
  return std::min(PlaceOf(request), MostUrgent(replica));
}

std::uint32_t AgentImpl::LoadsInFlight() const {
  std::uint32_t n = 0;
  for (const auto& [key, it] : replicas_) n += it.state == ReplicaState::kLoading ? 1 : 0;
  return n;
}

QueuePlace AgentImpl::MostUrgent(const Replica& replica) {
  if (!replica.queue.empty()) return *replica.queue.begin();
  return QueuePlace{Priority::kLow, INT64_MAX, replica.key};
}

// Starts the loads that calls wait for, the most urgent first.
void AgentImpl::BeginLoads() {
  if (!MayOrder()) return;
  std::vector<Replica*> wanted;
  for (auto& [key, it] : replicas_) {
    const bool can_load = it.is_wanted && it.grant == GrantState::kHeld &&
                          it.state == ReplicaState::kAbsent && it.order == 0 && !it.is_unknown;
    if (can_load) wanted.push_back(&it);
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const Replica* a, const Replica* b) { return MostUrgent(*a) < MostUrgent(*b); });
  for (Replica* it : wanted) {
    if (LoadsInFlight() >= options_.max_loads) return;
    BeginLoad(*it);
  }
}

void AgentImpl::BeginLoad(Replica& replica) {
  std::optional<std::uint32_t> accelerator;
  if (replica.base.empty()) {
    accelerator = ledger_.Reserve(replica.key, replica.memory_mb);
  } else {
    const Replica& base = ReplicaOf(replica.base);
    if (base.state != ReplicaState::kLoaded) {
      if (base.grant == GrantState::kHeld) return;  // The base is on its way.
      return GiveUpLoad(
          replica, Refusal{RefusalCode::kNotGranted, "this upstream holds no grant for the base",
                           Ran::kNo, kShortRetryMs});
    }
    const auto home = ledger_.AcceleratorOf(replica.base);
    if (home && ledger_.ReserveOn(*home, replica.key, replica.memory_mb)) accelerator = home;
  }
  if (!accelerator) {
    if (MakeRoom(replica)) return;
    GiveUpLoad(replica, Refusal{RefusalCode::kNoMemory,
                                "no accelerator has room and nothing idle can make it", Ran::kNo,
                                kShortRetryMs});
    return;
  }
  CheckInvariant(replica.grant == GrantState::kHeld, "nothing is loaded without a grant");
  CheckInvariant(replica.order == 0 && replica.state == ReplicaState::kAbsent,
                 "a key has one load in flight on an upstream");
  replica.state = ReplicaState::kLoading;
  replica.order = NextOrder();
  replica.order_at = now_;
  replica.expected_load_ms = ExpectedLoad(replica);
  replica.load_tier = TierOf(replica.key);
  replica.stale_asks = asks_;
  ++counters_.loads_ordered;
  Note({}, replica.key,
       "load ordered for " + std::to_string(replica.queue.size()) + " waiting calls",
       "accelerator=" + std::to_string(*accelerator) +
           " memory_mb=" + std::to_string(replica.memory_mb) + " expected_ms=" +
           std::to_string(replica.expected_load_ms) + " token=" + std::to_string(replica.token));
  Emit(agent::OrderLoad{replica.key, replica.base, *accelerator, replica.memory_mb, replica.order});
}

void AgentImpl::On(agent::LoadEnded event) {
  Replica& replica = ReplicaOf(event.key);
  if (replica.order != event.order) return;
  replica.stale_asks = asks_;
  reconsider_ = true;
  const DurationMs took = now_ - replica.order_at;
  if (event.outcome == OrderOutcome::kUnknown) {
    ++counters_.loads_unknown;
    Note({}, event.key, "the load's outcome is unknown; its memory stays reserved", event.detail);
    return BecomeUnknown(replica);
  }
  if (event.outcome == OrderOutcome::kRefused) {
    ++counters_.loads_failed;
    BecomeAbsent(replica);
    return GiveUpLoad(
        replica, Refusal{RefusalCode::kLoadFailed, "the engine refused the load: " + event.detail,
                         Ran::kNo, kLoadRetryMs});
  }
  ++counters_.loads_done;
  LearnLoadRate(replica, took);
  replica.order = 0;
  replica.state = ReplicaState::kLoaded;
  replica.is_wanted = false;
  replica.measured_load_ms = replica.measured_load_ms == 0
                                 ? std::max<DurationMs>(1, took)
                                 : std::max<DurationMs>(1, (replica.measured_load_ms + took) / 2);
  Note({}, event.key, "loaded",
       "took_ms=" + std::to_string(took) +
           " expected_ms=" + std::to_string(replica.expected_load_ms));
  BecomeIdle(replica);
  PumpQueue(replica);
  ContinueRetiring(replica);
}

void AgentImpl::GiveUpLoad(Replica& replica, const Refusal& refusal) {
  replica.is_wanted = false;
  RefuseQueued(replica, refusal);
  if (refusal.code == RefusalCode::kNoMemory) Retire(replica, "it does not fit here");
}

// ---- Room and idleness -----------------------------------------------------

bool AgentImpl::HasAdapter(const std::string& key) const {
  return std::any_of(replicas_.begin(), replicas_.end(), [&key](const auto& it) {
    const Replica& adapter = it.second;
    return adapter.base == key && (adapter.state != ReplicaState::kAbsent || adapter.is_wanted);
  });
}

bool AgentImpl::IsIdle(const Replica& replica) const {
  return replica.state == ReplicaState::kLoaded && replica.running == 0 && replica.queue.empty() &&
         replica.order == 0 && !replica.is_unknown && !replica.is_wanted;
}

// Idle, and so is every adapter upon it.
bool AgentImpl::IsEvictable(const Replica& replica) const {
  if (!IsIdle(replica)) return false;
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& it) {
    const Replica& adapter = it.second;
    if (adapter.base != replica.key) return true;
    return adapter.state == ReplicaState::kAbsent ? !adapter.is_wanted : IsIdle(adapter);
  });
}

// Free memory, and what idle or leaving replicas would give back.
std::uint64_t AgentImpl::RoomOn(std::uint32_t accelerator) const {
  std::uint64_t room = ledger_.FreeOn(accelerator);
  for (const auto& [key, it] : replicas_) {
    if (ledger_.AcceleratorOf(key) != accelerator) continue;
    const bool comes_free = it.state == ReplicaState::kUnloading || IsEvictable(it);
    if (comes_free) room += ledger_.MemoryOf(key);
  }
  return room;
}

bool AgentImpl::CouldFit(std::uint64_t memory_mb, const std::string& base) const {
  const auto home = ledger_.AcceleratorOf(base);
  if (!base.empty() && home) {
    // The base itself cannot make room for its own adapter.
    const auto it = replicas_.find(base);
    const std::uint64_t own =
        it != replicas_.end() && IsEvictable(it->second) ? ledger_.MemoryOf(base) : 0;
    return RoomOn(*home) >= memory_mb + own;
  }
  for (std::uint32_t n = 0; n < ledger_.accelerators(); ++n) {
    if (RoomOn(n) >= memory_mb) return true;
  }
  return false;
}

bool AgentImpl::CouldFit(const Replica& replica) const {
  return CouldFit(replica.memory_mb, replica.base);
}

// Unloads idle replicas, the longest idle first, until the wanted one will fit.
// False when that can never be enough.
bool AgentImpl::MakeRoom(const Replica& wanted) {
  if (!CouldFit(wanted)) return false;
  const auto home = ledger_.AcceleratorOf(wanted.base);
  std::optional<std::uint32_t> target = wanted.base.empty() ? std::nullopt : home;
  for (std::uint32_t n = 0; !target && n < ledger_.accelerators(); ++n) {
    if (RoomOn(n) >= wanted.memory_mb) target = n;
  }
  if (!target) return false;
  std::uint64_t coming = ledger_.FreeOn(*target);
  std::vector<Replica*> idle;
  for (auto& [key, it] : replicas_) {
    if (ledger_.AcceleratorOf(key) != target) continue;
    if (it.state == ReplicaState::kUnloading) coming += ledger_.MemoryOf(key);
    if (IsEvictable(it) && key != wanted.base) idle.push_back(&it);
  }
  std::sort(idle.begin(), idle.end(),
            [](const Replica* a, const Replica* b) { return a->idle_since < b->idle_since; });
  for (Replica* it : idle) {
    if (coming >= wanted.memory_mb) break;
    coming += ledger_.MemoryOf(it->key);
    Evict(*it);
  }
  return true;
}

// A base goes only after its adapters; the base's own turn then comes again.
void AgentImpl::Evict(Replica& replica) {
  bool has_adapter = false;
  for (auto& [key, it] : replicas_) {
    if (it.base != replica.key || !IsIdle(it)) continue;
    has_adapter = true;
    ++counters_.unloads_pressure;
    BeginUnload(it, "room is needed");
  }
  if (has_adapter || HasAdapter(replica.key)) return;
  ++counters_.unloads_pressure;
  BeginUnload(replica, "room is needed");
}

void AgentImpl::UnloadIdle() {
  if (!MayOrder() && !vm_leaves_) return;
  for (auto& [key, it] : replicas_) {
    if (!IsIdle(it) || HasAdapter(key)) continue;
    if (grants_known_ && it.grant == GrantState::kNone) {
      BeginUnload(it, "no grant covers it");
      continue;
    }
    const bool is_over = it.idle_limit_ms >= 0 && now_ - it.idle_since >= it.idle_limit_ms;
    if (!is_over) continue;
    ++counters_.unloads_idle;
    BeginUnload(it, "idle for " + std::to_string(now_ - it.idle_since) + " ms, limit " +
                        std::to_string(it.idle_limit_ms) + " ms");
  }
}

void AgentImpl::BeginUnload(Replica& replica, std::string_view reason) {
  if (replica.order != 0 || !engine_reachable_ || !engine_fenced_) return;
  CheckInvariant(replica.running == 0, "nothing in use is unloaded");
  replica.state = ReplicaState::kUnloading;
  replica.order = NextOrder();
  replica.order_at = now_;
  replica.stale_asks = asks_;
  Note({}, replica.key, "unload ordered: " + std::string(reason));
  Emit(agent::OrderUnload{replica.key, replica.order});
}

void AgentImpl::On(agent::UnloadEnded event) {
  Replica& replica = ReplicaOf(event.key);
  if (replica.order != event.order) return;
  replica.stale_asks = asks_;
  reconsider_ = true;
  // A refusal says nothing of what the engine holds, so it is asked.
  if (event.outcome != OrderOutcome::kDone) return BecomeUnknown(replica);
  ++counters_.unloads_done;
  BecomeAbsent(replica);
  if (!replica.queue.empty()) replica.is_wanted = true;
  ContinueRetiring(replica);
}

}  // namespace junctionrail::internal

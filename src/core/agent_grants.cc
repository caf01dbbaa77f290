// Grants of an agent: accepting and releasing them, offers to entries that place a
// slot, leaving, and the periodic tick.
#include <algorithm>
#include <utility>

#include "agent_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kShortRetryMs = 200;
constexpr DurationMs kGrantsReadRetryMs = 1000;
constexpr DurationMs kInventoryTimeoutMs = 5000;

}  // namespace

// ---- Grants ----------------------------------------------------------------

// Accepts a grant that an entry presents. If its token is higher than all tokens that
// were known when this process started and all that this process released, the grant
// was written after the start, and only this process or the loss of the VM can have
// revoked it.
bool AgentImpl::AcceptGrant(const GrantView& grant) {
  Replica& replica = FindOrAddReplica(grant.key);
  replica.base = grant.base;
  replica.memory_mb = grant.memory_mb;
  if (replica.grant == GrantState::kHeld) {
    replica.token = std::max(replica.token, grant.token);
    return true;
  }
  if (!grants_known_) return false;
  const auto seen = seen_tokens_.find(grant.key);
  const std::int64_t known = seen == seen_tokens_.end() ? 0 : seen->second;
  const std::int64_t newest = std::max({known, replica.released_token, replica.token});
  if (grant.token <= newest) return false;
  replica.grant = GrantState::kHeld;
  replica.slot = grant.slot;
  replica.token = grant.token;
  RecordDecision({}, grant.key, "holds slot " + std::to_string(grant.slot) + " by a new grant",
                 "token=" + std::to_string(grant.token));
  return true;
}

void AgentImpl::On(agent::GrantsRead event) {
  if (grants_known_) return;
  grants_known_ = true;
  needs_reevaluation_ = true;
  for (const auto& it : event.seen) seen_tokens_[it.key] = it.token;
  for (const auto& it : event.held) {
    Replica& replica = FindOrAddReplica(it.key);
    replica.grant = GrantState::kHeld;
    replica.slot = it.slot;
    replica.token = it.token;
  }
}

void AgentImpl::Retire(Replica& replica, std::string_view reason) {
  if (replica.grant != GrantState::kHeld) return;
  replica.grant = GrantState::kRetiring;
  replica.is_load_requested = false;
  RecordDecision(
      {}, replica.key, "releases its slot: " + std::string(reason),
      "slot=" + std::to_string(replica.slot) + " token=" + std::to_string(replica.token));
  for (auto& [key, it] : replicas_) {
    if (it.base == replica.key) Retire(it, "the slot of its base is released");
  }
  RefuseAllQueued(replica, Refusal{RefusalCode::kNotGranted, "this upstream is releasing its slot",
                                   Ran::kNo, kShortRetryMs});
  ContinueRetiring(replica);
}

void AgentImpl::OnFrame(LinkId, const RetireFrame& retire) {
  last_config_version_ = std::max(last_config_version_, retire.config_version);
  const auto it = replicas_.find(retire.key);
  if (it == replicas_.end() || it->second.token != retire.token) return;
  Retire(it->second, "the declared number of replicas decreased");
}

void AgentImpl::ContinueRetiring(Replica& replica) {
  if (replica.grant != GrantState::kRetiring) return;
  // No model is known to be absent before the first inventory, nor while an
  // operation of an earlier process may still take effect.
  if (!inventory_known_ || !engine_fenced_) return;
  const bool has_no_work =
      replica.running == 0 && replica.operation_id == 0 && !replica.is_outcome_unknown;
  if (!has_no_work) return;
  if (replica.state == ReplicaState::kLoaded) {
    if (!HasAdapter(replica.key)) StartUnload(replica, "its slot is being released");
    return;
  }
  if (replica.state != ReplicaState::kAbsent) return;
  CheckInvariant(!ledger_.Holds(replica.key), "a slot is freed only once its memory is");
  replica.grant = GrantState::kFreeing;
  Emit(agent::FreeGrant{replica.key, replica.slot, replica.token});
}

void AgentImpl::On(agent::GrantFreed event) {
  const auto it = replicas_.find(event.key);
  if (it == replicas_.end()) return;
  Replica& replica = it->second;
  needs_reevaluation_ = true;
  replica.released_token = std::max(replica.released_token, event.token);
  if (replica.grant != GrantState::kFreeing || replica.token != event.token) return;
  // Until the key-value service confirms the release, the slot counts as held and
  // the release is retried.
  replica.grant = event.ok ? GrantState::kNone : GrantState::kRetiring;
}

// ---- Leaving and the tick --------------------------------------------------

void AgentImpl::On(agent::LeaveRequested event) {
  const bool is_first = !leaving_;
  leaving_ = true;
  vm_leaves_ = vm_leaves_ || event.vm_leaves;
  needs_reevaluation_ = true;
  if (!is_first) return;
  RecordDecision({}, {}, "leaving: " + event.reason);
  for (auto& [key, it] : replicas_) {
    it.is_load_requested = false;
    RefuseAllQueued(
        it, Refusal{RefusalCode::kLeaving, "this upstream is leaving", Ran::kNo, kShortRetryMs});
  }
}

void AgentImpl::ContinueLeaving() {
  if (!leaving_ || exited_ || !requests_.empty()) return;
  if (vm_leaves_ && options_.kind == UpstreamKind::kEngine) {
    bool is_empty = true;
    for (auto& [key, it] : replicas_) {
      if (it.grant == GrantState::kHeld) it.grant = GrantState::kRetiring;
      ContinueRetiring(it);
      const bool is_still_held = it.grant != GrantState::kNone || it.state != ReplicaState::kAbsent;
      is_empty = is_empty && !is_still_held;
    }
    if (!is_empty) return;
  }
  exited_ = true;
  Emit(agent::Exit{});
}

void AgentImpl::On(agent::Ticked event) {
  unix_ms_ = event.unix_ms;
  needs_reevaluation_ = true;
  ExpireRequests();
  for (auto& [key, it] : replicas_) RefuseLateQueued(it);
  const bool is_backoff_over = backoff_until_ != 0 && backoff_until_ <= now_;
  if (is_backoff_over) {
    backoff_until_ = 0;
    for (auto& [key, it] : replicas_) DispatchQueued(it);
  }
  idempotency_table_.EraseExpired(now_);
  if (options_.kind == UpstreamKind::kService) return;
  UnloadIdle();
  for (auto& [key, it] : replicas_) ContinueRetiring(it);
  if (!grants_known_ && now_ >= next_grants_read_at_) {
    next_grants_read_at_ = now_ + kGrantsReadRetryMs;
    Emit(agent::ReadGrants{});
  }
  // A reply that never arrives must not stop the queries.
  if (query_in_flight_ && now_ >= queried_at_ + kInventoryTimeoutMs) query_in_flight_ = false;
  if (now_ >= next_query_at_) QueryEngine();
}

// ---- Offers to entries that place a slot -----------------------------------

void AgentImpl::OnFrame(LinkId link, const AskFrame& ask) {
  OfferFrame offer;
  offer.id = ask.id;
  offer.key = ask.key;
  offer.leaving = leaving_;
  offer.free_mb = ledger_.LargestFree();
  Replica asked;
  const auto it = replicas_.find(ask.key);
  if (it != replicas_.end()) asked = it->second;
  asked.key = ask.key;
  asked.base = ask.base;
  asked.memory_mb = ask.memory_mb;
  offer.tier = TierOf(ask.key);
  const auto base = replicas_.find(ask.base);
  offer.holds_base = base != replicas_.end() && base->second.grant == GrantState::kHeld;
  offer.fits =
      CanStartOperations() && (ledger_.Holds(ask.key) || CouldFit(ask.memory_mb, ask.base));
  offer.load_ms = TimeUntilReady(asked);
  Send(link, std::move(offer));
}

}  // namespace junctionrail::internal

// Calls that may not run twice. A key's home is the first of the service's
// upstreams in rendezvous order; its agent keeps the key and the answer. An
// agent that cannot know whether a key ran before it came, or at a home that
// was lost, says that the outcome is unknown. A key that carries its own time
// (UUID version 7, RFC 9562) and was made after that loss cannot have run.
#include <algorithm>
#include <utility>

#include "agent_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kInProgressRetryMs = 500;
constexpr DurationMs kNotOwnerRetryMs = 500;

std::uint64_t Fingerprint(const CallFrame& call) {
  return RendezvousScore(call.method + " " + call.path, call.body);
}

Refusal OutcomeUnknown(std::string message, DurationMs retry_after_ms) {
  return Refusal{RefusalCode::kOutcomeUnknown, std::move(message), Ran::kUnknown, retry_after_ms};
}

}  // namespace

void AgentImpl::On(agent::PeersChanged event) {
  unix_ms_ = std::max(unix_ms_, event.unix_ms);
  std::set<ServicePeer> now(event.peers.begin(), event.peers.end());
  for (const auto& it : peers_) {
    if (now.count(it) == 0) lost_peers_[it.vm] = event.unix_ms;
  }
  for (const auto& it : now) lost_peers_.erase(it.vm);
  peers_ = std::move(now);
}

std::optional<Refusal> AgentImpl::CheckKeyOwner(const CallFrame& call) const {
  const auto created_at = UuidV7Time(call.idempotency_key);
  const auto created_after = [&](std::int64_t unix_ms) {
    return created_at.has_value() && *created_at > unix_ms + options_.clock_skew_ms;
  };
  struct Ranked {
    std::uint64_t score;
    std::string vm;
  };
  std::vector<Ranked> ranking;
  for (const auto& it : peers_) {
    ranking.push_back({RendezvousScore(call.idempotency_key, it.vm), it.vm});
  }
  for (const auto& [vm, lost_at] : lost_peers_) {
    if (lost_at + call.idempotency_window_ms < unix_ms_) continue;
    ranking.push_back({RendezvousScore(call.idempotency_key, vm), vm});
  }
  std::sort(ranking.begin(), ranking.end(), [](const Ranked& a, const Ranked& b) {
    return a.score != b.score ? a.score > b.score : a.vm < b.vm;
  });
  bool is_owner = false;
  for (const auto& it : ranking) {
    const auto lost = lost_peers_.find(it.vm);
    if (lost == lost_peers_.end()) {
      is_owner = it.vm == options_.vm;
      break;
    }
    if (created_after(lost->second)) continue;
    return OutcomeUnknown("the key's home " + it.vm + " was lost; it may have run there",
                          lost->second + call.idempotency_window_ms - unix_ms_);
  }
  if (!is_owner) {
    return Refusal{RefusalCode::kNoUpstream, "this upstream is not the key's home", Ran::kNo,
                   kNotOwnerRetryMs};
  }
  const std::int64_t start_window_end = options_.started_unix_ms + call.idempotency_window_ms;
  if (unix_ms_ < start_window_end && !created_after(options_.started_unix_ms)) {
    return OutcomeUnknown("this agent started within the key's window; the key may have run before",
                          start_window_end - unix_ms_);
  }
  return std::nullopt;
}

std::optional<Refusal> AgentImpl::AdmitWithIdempotencyKey(AgentRequest& request, bool* replayed) {
  const CallFrame& call = request.call;
  const std::string row_key = call.key + "\n" + call.idempotency_key;
  const std::uint64_t fingerprint = Fingerprint(call);
  const IdempotencyRow* row = idempotency_table_.Find(row_key);
  if (row != nullptr) {
    if (row->fingerprint != fingerprint) {
      return Refusal{RefusalCode::kKeyMismatch,
                     "this idempotency key came before with another method, path or body", Ran::kNo,
                     0};
    }
    if (row->state == IdempotencyState::kRunning) {
      return Refusal{RefusalCode::kInProgress, "the first call with this key is still running",
                     Ran::kUnknown, kInProgressRetryMs};
    }
    if (row->state == IdempotencyState::kUnknown) {
      return OutcomeUnknown("the first call with this key ended without a known answer", 0);
    }
    Replay(request, *row);
    *replayed = true;
    return std::nullopt;
  }
  const auto refusal = CheckKeyOwner(call);
  if (refusal) return refusal;
  if (idempotency_table_.Insert(row_key, fingerprint, now_ + call.idempotency_window_ms) ==
      nullptr) {
    return Refusal{RefusalCode::kQueueFull, "the at-most-once table is full", Ran::kNo,
                   kNotOwnerRetryMs};
  }
  request.idempotency_row_key = row_key;
  return std::nullopt;
}

void AgentImpl::Replay(const AgentRequest& request, const IdempotencyRow& row) {
  const std::string& id = request.call.id;
  const UpstreamReport report = BuildReport(request.call.key);
  Send(request.link, HeadFrame{id, row.status, row.content_type, false, report});
  if (!row.body.empty()) Send(request.link, PieceFrame{id, 0, row.body});
  Send(request.link, EndFrame{id, row.body.empty() ? 0u : 1u, report});
  ++counters_.answered;
  ++counters_.responses_replayed;
}

void AgentImpl::StoreHead(const AgentRequest& request, const agent::UpstreamHead& head) {
  if (request.idempotency_row_key.empty()) return;
  IdempotencyRow* row = idempotency_table_.Find(request.idempotency_row_key);
  row->status = head.status;
  row->content_type = head.content_type;
}

void AgentImpl::StoreChunk(const AgentRequest& request, std::string_view data) {
  if (request.idempotency_row_key.empty()) return;
  IdempotencyRow* row = idempotency_table_.Find(request.idempotency_row_key);
  if (row->state == IdempotencyState::kRunning) idempotency_table_.Append(row, data);
}

void AgentImpl::FinishRow(const AgentRequest& request, IdempotencyState state) {
  if (request.idempotency_row_key.empty()) return;
  IdempotencyRow* row = idempotency_table_.Find(request.idempotency_row_key);
  if (row->state == IdempotencyState::kRunning) row->state = state;
}

}  // namespace junctionrail::internal

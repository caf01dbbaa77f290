// The tables of an agent and the systems that run over them. The sources are
// split by concern: agent_requests.cc (admission, queue, dispatch, answers),
// agent_replicas.cc (loads, memory, idleness), agent_grants.cc (grants, offers,
// leaving, the tick), agent_once.cc
// (calls that may not run twice).
#ifndef JUNCTIONRAIL_CORE_AGENT_IMPL_H_
#define JUNCTIONRAIL_CORE_AGENT_IMPL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "idempotency_table.h"
#include "junctionrail/agent_core.h"
#include "memory_ledger.h"

namespace junctionrail::internal {

// Where a request stands. Only the last two have reached the upstream.
enum class RequestState { kQueued, kDispatched, kAnswering };

struct AgentRequest {
  LinkId link = 0;
  CallFrame call;
  RequestState state = RequestState::kQueued;
  TimeMs arrived_at = 0;
  TimeMs deadline_at = 0;
  TimeMs dispatched_at = 0;
  std::uint64_t next_sequence = 0;
  bool was_cold = false;            // Its replica was not loaded when it came.
  std::string idempotency_row_key;  // Row of the at-most-once table; empty when unkeyed.
  // Set when nobody waits any more but the call may not be cut off: it runs on,
  // and at its end counts as this.
  std::uint64_t AgentCounters::*abandoned_counter = nullptr;
};

// Orders the queue of one key: class, then deadline, then arrival.
struct QueuePosition {
  Priority priority = Priority::kNormal;
  TimeMs deadline_at = 0;
  std::string id;

  bool operator<(const QueuePosition& other) const;
};

enum class GrantState { kNone, kHeld, kRetiring, kFreeing };

// One key on this upstream: a model, an adapter, or the plain service.
struct Replica {
  std::string key;
  std::string base;
  std::uint64_t memory_mb = 0;
  GrantState grant = GrantState::kNone;
  std::uint32_t slot = 0;
  std::int64_t token = 0;           // Of the grant.
  std::int64_t released_token = 0;  // Never accept this grant or an older one.

  ReplicaState state = ReplicaState::kAbsent;
  std::int64_t operation_id = 0;    // Of the order in flight; 0 when none is.
  bool is_outcome_unknown = false;  // The last order's outcome is not known.
  TimeMs outcome_unknown_since = 0;
  bool is_load_requested = false;  // A call asked for it and it is not loaded yet.
  TimeMs operation_started_at = 0;
  DurationMs expected_load_ms = 0;
  CacheTier load_tier = CacheTier::kRemote;  // Of the load under way.
  DurationMs measured_load_ms = 0;           // Of the last load; 0 before the first.
  std::uint64_t last_stale_query = 0;        // Inventories up to this number are too old for it.
  CacheTier tier = CacheTier::kRemote;

  std::set<QueuePosition> queue;
  std::uint32_t running = 0;
  TimeMs idle_since = 0;    // Start of the present idleness while loaded.
  TimeMs last_work_at = 0;  // End of the last call; 0 before the first.
  DurationMs idle_limit_ms = kNeverUnload;
  ArrivalHistory history;
  double service_ms = 0;         // Moving average; 0 before the first answer.
  double head_ms = 0;            // The same from dispatch to the head of an answer,
  double head_deviation_ms = 0;  // and how far it strays.
};

class AgentImpl {
 public:
  explicit AgentImpl(AgentOptions options);

  void Start(TimeMs now, std::vector<agent::Command>* commands);
  void Handle(TimeMs now, agent::Event event, std::vector<agent::Command>* commands);

  const AgentCounters& counters() const { return counters_; }
  const DecisionLog& decisions() const { return decisions_; }
  std::size_t open_requests() const { return requests_.size(); }
  bool IsReady() const;
  bool IsLeaving() const { return leaving_; }
  std::vector<ReplicaStatus> Replicas() const;

 private:
  // agent_requests.cc
  void On(agent::FrameArrived event);
  void On(agent::LinkClosed event);
  void On(agent::UpstreamHead event);
  void On(agent::UpstreamBackoff event);
  void On(agent::UpstreamChunk event);
  void On(agent::UpstreamEnd event);
  void On(agent::UpstreamFailed event);
  void OnFrame(LinkId link, CallFrame call);
  void OnFrame(LinkId link, const CancelFrame& cancel);
  void OnFrame(LinkId link, const AskFrame& ask);
  void OnFrame(LinkId link, const RetireFrame& retire);
  void OnFrame(LinkId link, const WhyFrame& why);
  void OnFrame(LinkId link, const DrainFrame& drain);
  template <class OtherFrame>
  void OnFrame(LinkId, const OtherFrame&) {}  // Frames only an agent sends, and hello.
  std::optional<Refusal> Admit(AgentRequest& request);
  std::optional<Refusal> AdmitToEngine(AgentRequest& request);
  std::optional<Refusal> CheckQueue(const AgentRequest& request, const Replica& replica);
  void Enqueue(AgentRequest request);
  void CancelRequest(const std::string& id);
  void DispatchQueued(Replica& replica);
  void DispatchRequest(AgentRequest& request, Replica& replica);
  void Refuse(const AgentRequest& request, const Refusal& refusal);
  void EraseRequest(const std::string& id);
  void RemoveFromQueue(const AgentRequest& request, Replica& replica);
  void RefuseQueuedRequest(const std::string& id, const Refusal& refusal);
  void AbandonRequest(AgentRequest& request, std::uint64_t AgentCounters::*counter);
  void RecordArrival(Replica& replica);
  void RefuseAllQueued(Replica& replica, const Refusal& refusal);
  void FinishDispatch(AgentRequest& request);
  void ExpireRequests();
  void CheckConservation() const;
  UpstreamReport BuildReport(const std::string& key) const;
  DurationMs QueueWait(const Replica& replica, Priority priority, TimeMs deadline) const;
  DurationMs QueueWaitBehind(const Replica& replica, std::size_t ahead) const;
  void RefuseLateQueued(Replica& replica);

  // agent_replicas.cc
  void On(agent::InventoryArrived event);
  void On(agent::InventoryFailed event);
  void On(agent::FenceDone event);
  void On(agent::LoadEnded event);
  void On(agent::UnloadEnded event);
  void On(agent::GrantsRead event);
  void On(agent::GrantFreed event);
  void On(agent::LeaveRequested event);
  void On(agent::Ticked event);
  Replica& FindOrAddReplica(const std::string& key);
  bool AcceptGrant(const GrantView& grant);
  void ReconcileReplica(Replica& replica, const EngineModel* found, std::uint64_t query_id);
  void StartLoads();
  void StartLoad(Replica& replica);
  bool EvictToFit(const Replica& wanted);
  void AbandonLoad(Replica& replica, const Refusal& refusal);
  bool IsIdle(const Replica& replica) const;
  bool IsEvictable(const Replica& replica) const;
  bool HasAdapter(const std::string& key) const;
  std::uint64_t AvailableOn(std::uint32_t accelerator) const;
  void Evict(Replica& replica);
  void MarkIdle(Replica& replica);
  void MarkAbsent(Replica& replica);
  void MarkOutcomeUnknown(Replica& replica);
  void StartUnload(Replica& replica, std::string_view reason);
  void UnloadIdle();
  bool IsOperationExpired(const Replica& replica) const;
  void Retire(Replica& replica, std::string_view reason);
  void ContinueRetiring(Replica& replica);
  void ContinueLeaving();
  bool CanStartOperations() const;
  bool CouldFit(const Replica& replica) const;
  bool CouldFit(std::uint64_t memory_mb, const std::string& base) const;
  CacheTier TierOf(std::string_view key) const;
  void UpdateLoadRate(const Replica& replica, DurationMs took);
  DurationMs ExpectedLoad(const Replica& replica) const;
  DurationMs RemainingLoad(const Replica& replica) const;
  DurationMs TimeUntilReady(const Replica& replica, const QueuePosition& position) const;
  DurationMs TimeUntilReady(const Replica& replica) const;
  static QueuePosition PositionOf(const AgentRequest& request);
  static QueuePosition LoadPosition(const Replica& replica, const AgentRequest& request);
  std::uint32_t LoadsInFlight() const;
  std::int64_t NextOperationId();
  void QueryEngine();
  static QueuePosition MostUrgent(const Replica& replica);
  void UpdateFence(std::uint64_t query_id);

  // agent_once.cc
  void On(agent::PeersChanged event);
  std::optional<Refusal> AdmitWithIdempotencyKey(AgentRequest& request, bool* replayed);
  std::optional<Refusal> CheckKeyOwner(const CallFrame& call) const;
  void Replay(const AgentRequest& request, const IdempotencyRow& row);
  void StoreHead(const AgentRequest& request, const agent::UpstreamHead& head);
  void StoreChunk(const AgentRequest& request, std::string_view data);
  void FinishRow(const AgentRequest& request, IdempotencyState state);

  void Send(LinkId link, Frame frame);
  template <class C>
  void Emit(C command) {
    commands_->emplace_back(std::move(command));
  }
  void RecordDecision(std::string request, std::string key, std::string message,
                      std::string inputs = {});

  AgentOptions options_;
  AgentCounters counters_;
  DecisionLog decisions_;
  IdempotencyTable idempotency_table_;
  MemoryLedger ledger_;
  std::unordered_map<std::string, AgentRequest> requests_;
  std::map<std::string, Replica, std::less<>> replicas_;
  std::map<std::string, std::int64_t, std::less<>> seen_tokens_;
  std::map<std::string, CacheTier, std::less<>> tiers_;
  TimeMs backoff_until_ = 0;                        // The upstream wants no calls until then.
  double load_ms_per_gb_[3];                        // By tier: assumed at first, then measured.
  std::map<std::string, std::int64_t> lost_peers_;  // VM to the Unix time it left the list.
  std::set<ServicePeer> peers_;
  std::vector<agent::Command>* commands_ = nullptr;
  TimeMs now_ = 0;
  TimeMs started_at_ = 0;
  std::int64_t unix_ms_ = 0;
  std::uint64_t queued_bytes_ = 0;
  std::uint32_t queued_ = 0;
  std::int64_t operations_ = 0;
  std::uint64_t inventory_queries_ = 0;
  bool query_in_flight_ = false;
  TimeMs queried_at_ = 0;
  bool needs_reevaluation_ = false;  // Something changed that loads or leaving depend on.
  TimeMs next_query_at_ = 0;
  TimeMs next_grants_read_at_ = 0;
  bool inventory_known_ = false;  // An inventory has been taken since the start.
  bool engine_reachable_ = false;
  bool engine_fenced_ = false;  // No order of an earlier process can still land.
  bool fence_done_ = false;     // The engine has taken this process's token.
  std::uint64_t queries_before_fence_ = 0;
  bool grants_known_ = false;
  bool leaving_ = false;
  bool vm_leaves_ = false;
  bool exited_ = false;
  std::uint64_t last_config_version_ = 0;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_CORE_AGENT_IMPL_H_

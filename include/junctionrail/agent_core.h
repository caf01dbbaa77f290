// The decision logic of an agent, which controls all access to its upstream:
// admission, queueing, loading and unloading of models, and at-most-once
// execution. It performs no I/O: the caller passes in events and the current
// time, and executes the returned commands.
#ifndef JUNCTIONRAIL_AGENT_CORE_H_
#define JUNCTIONRAIL_AGENT_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/decision_log.h"
#include "junctionrail/idle_policy.h"
#include "junctionrail/settings.h"
#include "junctionrail/wire.h"

namespace junctionrail {

// Identifies one link from an entry. A process never reuses an id.
using LinkId = std::uint64_t;

struct AgentOptions {
  std::string vm;
  UpstreamKind kind = UpstreamKind::kEngine;
  bool upstream_checks_fencing = false;
  std::uint32_t max_concurrent = 16;  // Calls in flight at the upstream, per key.
  std::uint32_t max_queue_requests = 1024;
  std::uint64_t max_queue_bytes = 64 << 20;
  std::uint32_t max_loads = 1;                  // Loads in flight.
  std::uint32_t max_idempotency_rows = 100000;  // Rows of the idempotency table.
  std::uint64_t max_idempotency_bytes = 32 << 20;
  IdlePolicy idle_policy = WeightedCost{};
  // Assumed load time per GB by cache tier, until a load from that tier has been
  // measured. The values are low on purpose: an overestimate refuses callers that
  // could be served, while an underestimate is corrected once the load is overdue.
  DurationMs load_ms_per_gb[3] = {20, 100, 400};
  // How long an operation may still take effect after its connection was lost, on
  // an engine that ignores fencing tokens.
  DurationMs operation_lifetime_ms = 2000;
  DurationMs inventory_period_ms = 5000;
  DurationMs clock_skew_ms = 5000;   // Maximum clock skew of callers.
  std::int64_t started_unix_ms = 0;  // Also the high bits of fencing tokens.
  std::size_t decision_records = 4096;
};

// One model as listed by the engine's repository index.
struct EngineModel {
  std::string key;
  ReplicaState state = ReplicaState::kAbsent;
  std::uint32_t accelerator = 0;
  std::uint64_t memory_mb = 0;
  CacheTier tier = CacheTier::kRemote;
};

// Outcome of an operation on the engine.
enum class OperationOutcome { kDone, kRefused, kUnknown };

// One upstream of this agent's service, from the platform's VM list.
struct ServicePeer {
  std::string vm;
  bool operator<(const ServicePeer& other) const { return vm < other.vm; }
};

// One replica slot that the key-value service records for this VM incarnation.
struct HeldGrant {
  std::string key;
  std::uint32_t slot = 0;
  std::int64_t token = 0;
};

// The highest fencing token that the key-value service has issued for a key.
struct SeenToken {
  std::string key;
  std::int64_t token = 0;
};

namespace agent {

// Events.
struct FrameArrived {
  LinkId link = 0;
  Frame frame;
};
struct LinkClosed {
  LinkId link = 0;
};
struct UpstreamHead {
  std::string id;
  std::uint32_t status = 0;
  std::string content_type;
};
// The upstream rejected a call and asked for no further calls for `backoff_ms`.
struct UpstreamBackoff {
  DurationMs backoff_ms = 0;
};
struct UpstreamChunk {
  std::string id;
  std::string data;
};
struct UpstreamEnd {
  std::string id;
};
struct UpstreamFailed {
  std::string id;
  bool was_sent = true;  // False only when no byte of the call was sent.
  std::string reason;
};
// The engine's reply to the QueryInventory with the same `query_id`.
struct InventoryArrived {
  std::uint64_t query_id = 0;
  std::vector<std::uint64_t> accelerators_mb;
  std::vector<EngineModel> models;
};
struct InventoryFailed {};
struct FenceDone {
  bool ok = false;
};
struct LoadEnded {
  std::string key;
  std::int64_t operation_id = 0;
  OperationOutcome outcome = OperationOutcome::kDone;
  std::string detail;
};
struct UnloadEnded {
  std::string key;
  std::int64_t operation_id = 0;
  OperationOutcome outcome = OperationOutcome::kDone;
};
// The grants in the key-value service when this process started.
struct GrantsRead {
  std::vector<HeldGrant> held;
  std::vector<SeenToken> seen;
};
struct GrantFreed {
  std::string key;
  std::int64_t token = 0;
  bool ok = false;
};
// The live upstreams of this agent's service, sent on every change of the list.
struct PeersChanged {
  std::vector<ServicePeer> peers;
  std::int64_t unix_ms = 0;
};
// A planned stop. When the VM itself leaves, the agent also unloads its models and
// frees its grants; a restart of the process keeps both for the next process.
struct LeaveRequested {
  bool vm_leaves = false;
  std::string reason;
};
struct Ticked {
  std::int64_t unix_ms = 0;
};

using Event = std::variant<FrameArrived, LinkClosed, UpstreamHead, UpstreamBackoff, UpstreamChunk,
                           UpstreamEnd, UpstreamFailed, InventoryArrived, InventoryFailed,
                           FenceDone, LoadEnded, UnloadEnded, GrantsRead, GrantFreed, PeersChanged,
                           LeaveRequested, Ticked>;

// Commands.
struct SendFrame {
  LinkId link = 0;
  Frame frame;
};
struct Dispatch {
  std::string id;
  std::string key;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string idempotency_key;
  bool is_stream = false;
};
struct CancelDispatch {
  std::string id;
};
struct LoadModel {
  std::string key;
  std::string base;
  std::uint32_t accelerator = 0;
  std::uint64_t memory_mb = 0;
  std::int64_t operation_id = 0;  // Also the fencing token of the operation.
};
struct UnloadModel {
  std::string key;
  std::int64_t operation_id = 0;
};
struct QueryInventory {
  std::uint64_t query_id = 0;
};
// Makes an engine that checks fencing tokens reject every older operation.
struct FenceEngine {
  std::int64_t operation_id = 0;
};
struct FreeGrant {
  std::string key;
  std::uint32_t slot = 0;
  std::int64_t token = 0;
};
struct ReadGrants {};
// All work is finished; the process may exit.
struct Exit {};

using Command = std::variant<SendFrame, Dispatch, CancelDispatch, LoadModel, UnloadModel,
                             QueryInventory, FenceEngine, FreeGrant, ReadGrants, Exit>;

}  // namespace agent

// Monotonic counters. After every event, `received` equals the sum of the next
// four counters and the number of open requests.
struct AgentCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t loads_started = 0;
  std::uint64_t loads_completed = 0;
  std::uint64_t loads_failed = 0;
  std::uint64_t loads_unknown = 0;
  std::uint64_t unloads_completed = 0;
  std::uint64_t unloads_idle = 0;
  std::uint64_t unloads_pressure = 0;
  std::uint64_t inventory_mismatches = 0;
  std::uint64_t responses_replayed = 0;
  std::uint64_t refused_by_code[static_cast<std::size_t>(RefusalCode::kCount)] = {};
};

// The state of one replica, for operators.
struct ReplicaStatus {
  std::string key;
  ReplicaState state = ReplicaState::kAbsent;
  bool granted = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

namespace internal {
class AgentImpl;
}

class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);
  ~AgentCore();
  AgentCore(AgentCore&&) noexcept;

  // Emits the first commands of a process, which query the state of the engine. No
  // operation starts before the reply.
  void Start(TimeMs now, std::vector<agent::Command>* commands);

  // Handles one event. `now` must not decrease between calls.
  void Handle(TimeMs now, agent::Event event, std::vector<agent::Command>* commands);

  const AgentCounters& counters() const;
  const DecisionLog& decisions() const;
  std::size_t open_requests() const;
  bool IsReady() const;  // Whether it can admit calls.
  bool IsLeaving() const;
  std::vector<ReplicaStatus> Replicas() const;

 private:
  std::unique_ptr<internal::AgentImpl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_AGENT_CORE_H_

// The decisions of an agent, the only gate to its upstream: who is admitted,
// who waits, what is loaded and unloaded, and what may not run twice. No I/O:
// the caller hands in events and the time, and carries the commands out.
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

// Names one link from an entry; never reused by a process.
using LinkId = std::uint64_t;

struct AgentOptions {
  std::string vm;
  UpstreamKind kind = UpstreamKind::kEngine;
  bool upstream_checks_fencing = false;
  std::uint32_t max_concurrent = 16;  // Calls at the upstream, for each key.
  std::uint32_t max_queue_requests = 1024;
  std::uint64_t max_queue_bytes = 64 << 20;
  std::uint32_t max_loads = 1;                  // Load orders in flight.
  std::uint32_t max_idempotency_rows = 100000;  // Rows of the at-most-once table.
  std::uint64_t max_idempotency_bytes = 32 << 20;
  IdlePolicy idle_policy = WeightedCost{};
  // What a load is assumed to take for each GB, by cache tier, until one has been
  // measured. Rather low: a guess too high refuses callers who could be served,
  // one too low is put right as soon as the load slips.
  DurationMs load_ms_per_gb[3] = {20, 100, 400};
  // How long an order given to an engine that ignores fencing may still take
  // effect after its connection was lost.
  DurationMs operation_lifetime_ms = 2000;
  DurationMs inventory_period_ms = 5000;
  DurationMs clock_skew_ms = 5000;   // The most that callers' clocks may be off.
  std::int64_t started_unix_ms = 0;  // Also the first part of fencing tokens.
  std::size_t decision_records = 4096;
};

// One model as the engine's index gives it.
struct EngineModel {
  std::string key;
  ReplicaState state = ReplicaState::kAbsent;
  std::uint32_t accelerator = 0;
  std::uint64_t memory_mb = 0;
  CacheTier tier = CacheTier::kRemote;
};

// How an order to the engine ended.
enum class OperationOutcome { kDone, kRefused, kUnknown };

// One upstream of this agent's service, from the platform's list.
struct ServicePeer {
  std::string vm;
  bool operator<(const ServicePeer& other) const { return vm < other.vm; }
};

// One slot that the key-value service records for this VM incarnation.
struct HeldGrant {
  std::string key;
  std::uint32_t slot = 0;
  std::int64_t token = 0;
};

// The highest token the service has given out for a key.
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
// The upstream turned a call away and wants nothing more for so long.
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
  bool was_sent = true;  // False only when not one byte of the call left.
  std::string reason;
};
// The engine's answer to QueryInventory number `asked`.
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
// What the key-value service held when this process started.
struct GrantsRead {
  std::vector<HeldGrant> held;
  std::vector<SeenToken> seen;
};
struct GrantFreed {
  std::string key;
  std::int64_t token = 0;
  bool ok = false;
};
// The live upstreams of this agent's service, on every change of the list.
struct PeersChanged {
  std::vector<ServicePeer> peers;
  std::int64_t unix_ms = 0;
};
// A planned stop. A VM that leaves also unloads and frees its grants; a mere
// restart of the process leaves both for the next process to find.
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
  std::int64_t operation_id = 0;  // Fencing token of this order.
};
struct UnloadModel {
  std::string key;
  std::int64_t operation_id = 0;
};
struct QueryInventory {
  std::uint64_t query_id = 0;
};
// Makes a fencing engine refuse every older order.
struct FenceEngine {
  std::int64_t operation_id = 0;
};
struct FreeGrant {
  std::string key;
  std::uint32_t slot = 0;
  std::int64_t token = 0;
};
struct ReadGrants {};
// Nothing is left to finish; the process may exit.
struct Exit {};

using Command = std::variant<SendFrame, Dispatch, CancelDispatch, LoadModel, UnloadModel,
                             QueryInventory, FenceEngine, FreeGrant, ReadGrants, Exit>;

}  // namespace agent

// Counters only grow. `received` equals the sum of the next four and what is
// present, after every event.
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

// What the agent would tell an operator about one replica.
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

  // The first commands of a process: it asks before it orders anything.
  void Start(TimeMs now, std::vector<agent::Command>* commands);

  // Handles one event. `now` never falls from call to call.
  void Handle(TimeMs now, agent::Event event, std::vector<agent::Command>* commands);

  const AgentCounters& counters() const;
  const DecisionLog& decisions() const;
  std::size_t open_requests() const;
  bool IsReady() const;  // Whether it may give orders and admit calls.
  bool IsLeaving() const;
  std::vector<ReplicaStatus> Replicas() const;

 private:
  std::unique_ptr<internal::AgentImpl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_AGENT_CORE_H_

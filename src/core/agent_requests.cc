// The requests of an agent: admission, the queue of each key, dispatch, response
// frames, and the check that no request is lost.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "agent_impl.h"

namespace junctionrail::internal {
namespace {

constexpr double kInitialServiceMs = 200;  // Assumed until the first response.
constexpr double kServiceSmoothing = 0.2;  // Weight of the newest service time.
constexpr DurationMs kShortRetryMs = 200;
constexpr double kUsPerMs = 1000;
constexpr DurationMs kLeavingRetryMs = 100;

// How long before its deadline a call must be sent for its response to begin in
// time in most cases: the mean plus twice the deviation, similar to the TCP
// retransmission timer (RFC 6298). 0 until a response has begun.
DurationMs ExpectedHeadMs(const Replica& replica) {
  return static_cast<DurationMs>(replica.head_ms + 2 * replica.head_deviation_ms);
}

void RecordHeadLatency(Replica& replica, double took) {
  if (replica.head_ms <= 0) {
    replica.head_ms = std::max(took, 1.0);
    replica.head_deviation_ms = took / 2;
    return;
  }
  const double off = took - replica.head_ms;
  replica.head_deviation_ms += kServiceSmoothing * (std::abs(off) - replica.head_deviation_ms);
  replica.head_ms += kServiceSmoothing * off;
}

double ServiceMs(const Replica& replica) {
  return replica.service_ms > 0 ? replica.service_ms : kInitialServiceMs;
}

}  // namespace

bool QueuePosition::operator<(const QueuePosition& other) const {
  // A higher priority sorts first.
  return std::tie(other.priority, deadline_at, id) <
         std::tie(priority, other.deadline_at, other.id);
}

void AgentImpl::On(agent::FrameArrived event) {
  std::visit([&](auto& frame) { OnFrame(event.link, std::move(frame)); }, event.frame);
}

void AgentImpl::OnFrame(LinkId link, CallFrame call) {
  if (requests_.count(call.id) > 0) return;  // An id identifies one attempt; ignore duplicates.
  ++counters_.received;
  last_config_version_ = std::max(last_config_version_, call.config_version);
  AgentRequest request;
  request.link = link;
  request.arrived_at = now_;
  request.deadline_at = now_ + call.deadline_ms;
  request.call = std::move(call);
  needs_reevaluation_ = true;
  const auto refusal = Admit(request);
  if (refusal) Refuse(request, *refusal);
}

std::optional<Refusal> AgentImpl::Admit(AgentRequest& request) {
  const CallFrame& call = request.call;
  if (leaving_) {
    return Refusal{RefusalCode::kLeaving, "this upstream is leaving", Ran::kNo, kLeavingRetryMs};
  }
  if (call.deadline_ms <= 0) {
    return Refusal{RefusalCode::kDeadlinePassed, "the deadline had passed on arrival", Ran::kNo, 0};
  }
  // The entry can find another upstream before the backoff ends.
  if (backoff_until_ > now_) {
    return Refusal{RefusalCode::kQueueFull, "the upstream asked for no further calls for a while",
                   Ran::kNo, backoff_until_ - now_};
  }
  if (options_.kind == UpstreamKind::kEngine) {
    const auto refusal = AdmitToEngine(request);
    if (refusal) return refusal;
  } else {
    FindOrAddReplica(call.key).state = ReplicaState::kLoaded;
  }
  Replica& replica = FindOrAddReplica(call.key);
  if (!call.idempotency_key.empty()) {
    bool is_replayed = false;
    const auto refusal = AdmitWithIdempotencyKey(request, &is_replayed);
    if (refusal || is_replayed) return refusal;
  }
  const auto refusal = CheckQueue(request, replica);
  if (refusal) return refusal;
  Enqueue(std::move(request));
  DispatchQueued(replica);
  return std::nullopt;
}

std::optional<Refusal> AgentImpl::AdmitToEngine(AgentRequest& request) {
  const CallFrame& call = request.call;
  if (!inventory_known_) {
    return Refusal{RefusalCode::kUpstreamUnreachable,
                   "the inventory of the engine is not known yet", Ran::kNo, kShortRetryMs};
  }
  for (const auto& it : call.grants) AcceptGrant(it);
  Replica& replica = FindOrAddReplica(call.key);
  // A model that an earlier process loaded keeps its grant until this process
  // unloads it, so it can be served while the key-value service is unavailable.
  const bool may_serve = replica.grant == GrantState::kHeld ||
                         (!grants_known_ && replica.state == ReplicaState::kLoaded);
  if (!may_serve && !grants_known_) {
    return Refusal{RefusalCode::kGrantUnverified,
                   "the key-value service is unavailable, so the grant cannot be verified",
                   Ran::kNo, kShortRetryMs};
  }
  if (!may_serve) {
    return Refusal{RefusalCode::kNotGranted, "this upstream holds no grant for it", Ran::kNo,
                   kShortRetryMs};
  }
  RecordArrival(replica);
  if (replica.state == ReplicaState::kLoaded) return std::nullopt;
  if (!CanStartOperations()) {
    return Refusal{RefusalCode::kUpstreamUnreachable,
                   "the engine accepts no operations at the moment", Ran::kNo, kShortRetryMs};
  }
  if (replica.state == ReplicaState::kAbsent && !CouldFit(replica)) {
    Refusal refusal{RefusalCode::kNoMemory,
                    "no accelerator has enough memory, even after unloading idle models", Ran::kNo,
                    kShortRetryMs};
    Retire(replica, "it does not fit on this upstream");
    return refusal;
  }
  request.was_cold = true;
  const DurationMs ready = TimeUntilReady(replica, LoadPosition(replica, request));
  // The load starts even if this call cannot wait: the refusal says when to retry.
  replica.is_load_requested = true;
  if (!replica.base.empty()) FindOrAddReplica(replica.base).is_load_requested = true;
  if (now_ + ready <= request.deadline_at) return std::nullopt;
  return Refusal{RefusalCode::kColdTooLate,
                 "the model is cold and would be ready only after the deadline", Ran::kNo, ready};
}

DurationMs AgentImpl::QueueWait(const Replica& replica, Priority priority, TimeMs deadline) const {
  const QueuePosition position{priority, deadline, std::string()};
  const auto ahead = std::distance(replica.queue.begin(), replica.queue.lower_bound(position));
  return QueueWaitBehind(replica, static_cast<std::size_t>(ahead));
}

// Time until a call with `ahead` calls before it in the queue would be sent.
DurationMs AgentImpl::QueueWaitBehind(const Replica& replica, std::size_t ahead) const {
  const double at_once = options_.max_concurrent;
  const double excess = static_cast<double>(ahead) + replica.running + 1 - at_once;
  if (excess <= 0) return 0;
  return static_cast<DurationMs>(ServiceMs(replica) * excess / at_once);
}

// Refuses queued calls that would be sent too late, and does so now rather than at
// their deadline: calls of higher priority may have arrived since they were admitted.
// Under load this also keeps the upstream from producing responses that nobody
// waits for.
void AgentImpl::RefuseLateQueued(Replica& replica) {
  if (replica.state != ReplicaState::kLoaded || replica.queue.empty()) return;
  const DurationMs need = ExpectedHeadMs(replica);
  std::size_t kept = 0;
  std::vector<std::string> too_late;
  for (const auto& it : replica.queue) {
    const DurationMs wait = QueueWaitBehind(replica, kept);
    if (wait > 0 && now_ + wait + need > it.deadline_at) {
      too_late.push_back(it.id);
    } else {
      ++kept;
    }
  }
  const DurationMs retry_after = QueueWaitBehind(replica, kept);
  for (const auto& id : too_late) {
    RefuseQueuedRequest(id, Refusal{RefusalCode::kQueueTooLate,
                                    "the calls before it would delay it past the deadline",
                                    Ran::kNo, std::max(retry_after, kShortRetryMs)});
  }
}

std::optional<Refusal> AgentImpl::CheckQueue(const AgentRequest& request, const Replica& replica) {
  const CallFrame& call = request.call;
  const DurationMs ready = options_.kind == UpstreamKind::kEngine
                               ? TimeUntilReady(replica, LoadPosition(replica, request))
                               : 0;
  const DurationMs wait = ready + QueueWait(replica, call.priority, request.deadline_at);
  // With a free place the call is sent whatever the estimate: it delays no other
  // call, and a wrong estimate would otherwise never be corrected.
  const DurationMs need = wait > ready ? ExpectedHeadMs(replica) : 0;
  if (now_ + wait + need > request.deadline_at) {
    return Refusal{RefusalCode::kQueueTooLate, "the queue would end after the deadline", Ran::kNo,
                   wait};
  }
  const bool is_full = queued_ >= options_.max_queue_requests ||
                       queued_bytes_ + call.body.size() > options_.max_queue_bytes;
  if (!is_full) return std::nullopt;
  const Refusal refusal{RefusalCode::kQueueFull, "the queue is full", Ran::kNo,
                        std::max<DurationMs>(wait, kShortRetryMs)};
  // A call replaces the last one in the queue if that has a lower priority and at least as
  // large a body.
  if (replica.queue.empty() || replica.queue.rbegin()->priority >= call.priority) return refusal;
  const auto last = requests_.find(replica.queue.rbegin()->id);
  if (last->second.call.body.size() < call.body.size()) return refusal;
  RefuseQueuedRequest(last->first, refusal);
  return std::nullopt;
}

void AgentImpl::Enqueue(AgentRequest request) {
  const std::string id = request.call.id;
  Replica& replica = FindOrAddReplica(request.call.key);
  replica.queue.insert(PositionOf(request));
  ++queued_;
  queued_bytes_ += request.call.body.size();
  requests_.emplace(id, std::move(request));
}

void AgentImpl::DispatchQueued(Replica& replica) {
  if (replica.state != ReplicaState::kLoaded || leaving_ || backoff_until_ > now_) return;
  while (replica.running < options_.max_concurrent && !replica.queue.empty()) {
    AgentRequest& request = requests_.at(replica.queue.begin()->id);
    const bool others_wait = replica.queue.size() > 1;
    const DurationMs need = others_wait ? ExpectedHeadMs(replica) : 0;
    if (request.deadline_at < now_ + need) {
      RefuseQueuedRequest(request.call.id,
                          Refusal{RefusalCode::kQueueTooLate,
                                  "it reached the head of the queue too late for its deadline",
                                  Ran::kNo, kShortRetryMs});
      continue;
    }
    DispatchRequest(request, replica);
  }
}

void AgentImpl::DispatchRequest(AgentRequest& request, Replica& replica) {
  CheckInvariant(!leaving_, "an agent that is leaving dispatches nothing");
  CheckInvariant(request.state == RequestState::kQueued, "an attempt is dispatched at most once");
  RemoveFromQueue(request, replica);
  request.state = RequestState::kDispatched;
  request.dispatched_at = now_;
  ++replica.running;
  ++counters_.dispatched;
  const CallFrame& call = request.call;
  Emit(agent::Dispatch{call.id, call.key, call.method, call.path, call.content_type,
                       std::move(request.call.body), call.idempotency_key, call.is_stream});
  request.call.body.clear();
}

void AgentImpl::On(agent::UpstreamHead event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end()) return;
  AgentRequest& request = it->second;
  request.state = RequestState::kAnswering;
  RecordHeadLatency(FindOrAddReplica(request.call.key),
                    static_cast<double>(now_ - request.dispatched_at));
  StoreHead(request, event);
  if (request.abandoned_counter != nullptr) return;
  Send(request.link, HeadFrame{event.id, event.status, std::move(event.content_type),
                               request.was_cold, BuildReport(request.call.key)});
}

// Queued calls wait for the end of the backoff, unless their deadlines pass first.
void AgentImpl::On(agent::UpstreamBackoff event) {
  backoff_until_ = std::max(backoff_until_, now_ + event.backoff_ms);
}

void AgentImpl::On(agent::UpstreamChunk event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end()) return;
  AgentRequest& request = it->second;
  StoreChunk(request, event.data);
  if (request.abandoned_counter != nullptr) return;
  Send(request.link, PieceFrame{event.id, request.next_sequence++, std::move(event.data)});
}

void AgentImpl::On(agent::UpstreamEnd event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end()) return;
  AgentRequest& request = it->second;
  FinishRow(request, IdempotencyState::kCompleted);
  FinishDispatch(request);
  if (request.abandoned_counter != nullptr) {
    ++(counters_.*request.abandoned_counter);
  } else {
    ++counters_.answered;
    Send(request.link, EndFrame{event.id, request.next_sequence, BuildReport(request.call.key)});
  }
  EraseRequest(event.id);
}

void AgentImpl::On(agent::UpstreamFailed event) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end()) return;
  AgentRequest& request = it->second;
  if (options_.kind == UpstreamKind::kEngine) QueryEngine();
  if (event.was_sent) FinishRow(request, IdempotencyState::kUnknown);
  Replica& replica = FindOrAddReplica(request.call.key);
  CheckInvariant(replica.running > 0, "a dispatched call is counted at its replica");
  FinishDispatch(request);
  if (!event.was_sent) request.state = RequestState::kQueued;
  AgentRequest ended = std::move(request);
  requests_.erase(it);
  if (ended.abandoned_counter != nullptr) {
    ++(counters_.*ended.abandoned_counter);
    return;
  }
  if (event.was_sent) {
    Refuse(ended, Refusal{RefusalCode::kUpstreamFailed, "the upstream failed: " + event.reason,
                          Ran::kUnknown, kShortRetryMs});
  } else {
    Refuse(ended, Refusal{RefusalCode::kUpstreamUnreachable,
                          "the upstream accepted no connection: " + event.reason, Ran::kNo,
                          kShortRetryMs});
  }
}

// Updates the replica when a dispatched request ends.
void AgentImpl::FinishDispatch(AgentRequest& request) {
  Replica& replica = FindOrAddReplica(request.call.key);
  --replica.running;
  const double took = static_cast<double>(now_ - request.dispatched_at);
  replica.service_ms = replica.service_ms > 0
                           ? replica.service_ms + kServiceSmoothing * (took - replica.service_ms)
                           : std::max(took, 1.0);
  replica.last_work_at = now_;
  needs_reevaluation_ = true;
  DispatchQueued(replica);
  if (replica.running == 0 && replica.queue.empty()) MarkIdle(replica);
}

void AgentImpl::Refuse(const AgentRequest& request, const Refusal& refusal) {
  const CallFrame& call = request.call;
  if (refusal.ran == Ran::kNo) {
    CheckInvariant(request.state == RequestState::kQueued,
                   "a request reported as not run was never dispatched");
    ++counters_.refused;
    if (!request.idempotency_row_key.empty()) idempotency_table_.Erase(request.idempotency_row_key);
  } else {
    ++counters_.failed;
  }
  ++counters_.refused_by_code[static_cast<std::size_t>(refusal.code)];
  RecordDecision(call.id, call.key,
                 "refused, " + std::string(RefusalName(refusal.code)) + ": " + refusal.sentence,
                 "deadline_left_ms=" + std::to_string(request.deadline_at - now_) +
                     " retry_after_ms=" + std::to_string(refusal.retry_after_ms));
  Send(request.link, RefusalFrame{call.id, refusal, BuildReport(call.key)});
}

void AgentImpl::EraseRequest(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const AgentRequest& request = it->second;
  if (request.state == RequestState::kQueued) {
    Replica& replica = FindOrAddReplica(request.call.key);
    RemoveFromQueue(request, replica);
    if (replica.running == 0 && replica.queue.empty()) MarkIdle(replica);
  }
  requests_.erase(it);
}

void AgentImpl::RemoveFromQueue(const AgentRequest& request, Replica& replica) {
  replica.queue.erase(PositionOf(request));
  --queued_;
  queued_bytes_ -= request.call.body.size();
}

// Refuses a request that is still queued. It is erased first, so that the report
// sent with the refusal no longer counts it.
void AgentImpl::RefuseQueuedRequest(const std::string& id, const Refusal& refusal) {
  const AgentRequest request = requests_.at(id);
  EraseRequest(request.call.id);
  Refuse(request, refusal);
}

void AgentImpl::RefuseAllQueued(Replica& replica, const Refusal& refusal) {
  while (!replica.queue.empty()) {
    RefuseQueuedRequest(replica.queue.begin()->id, refusal);
  }
}

// Called when the call is cancelled, its link is closed, or the deadline has passed. A
// queued call is removed. A dispatched one is cancelled if it is repeatable and has no
// idempotency row; any other runs to its end, and its result is kept if it has a row.
void AgentImpl::AbandonRequest(AgentRequest& request, std::uint64_t AgentCounters::*counter) {
  if (request.abandoned_counter != nullptr) return;
  const std::string id = request.call.id;
  if (request.state == RequestState::kQueued) {
    if (!request.idempotency_row_key.empty()) idempotency_table_.Erase(request.idempotency_row_key);
    ++(counters_.*counter);
    EraseRequest(id);
    return;
  }
  if (!request.call.is_repeatable || !request.idempotency_row_key.empty()) {
    request.abandoned_counter = counter;
    return;
  }
  Emit(agent::CancelDispatch{id});
  ++(counters_.*counter);
  FinishDispatch(request);
  EraseRequest(id);
}

void AgentImpl::CancelRequest(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  AbandonRequest(it->second, &AgentCounters::cancelled);
}

void AgentImpl::OnFrame(LinkId, const CancelFrame& cancel) { CancelRequest(cancel.id); }

void AgentImpl::On(agent::LinkClosed event) {
  std::vector<std::string> ids;
  for (const auto& [id, request] : requests_) {
    if (request.link == event.link) ids.push_back(id);
  }
  // The iteration order of the table differs between builds; decisions must not.
  std::sort(ids.begin(), ids.end());
  for (const auto& it : ids) CancelRequest(it);
}

void AgentImpl::ExpireRequests() {
  std::vector<std::string> late;
  for (const auto& [id, request] : requests_) {
    const bool waits =
        request.state != RequestState::kAnswering && request.abandoned_counter == nullptr;
    const Replica& replica = FindOrAddReplica(request.call.key);
    // The load is overdue, or more urgent loads have been put before it.
    const bool slipped =
        request.state == RequestState::kQueued && replica.state != ReplicaState::kLoaded &&
        now_ + TimeUntilReady(replica, LoadPosition(replica, request)) > request.deadline_at;
    if (waits && (request.deadline_at < now_ || slipped)) late.push_back(id);
  }
  std::sort(late.begin(), late.end());
  for (const auto& id : late) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) continue;
    AgentRequest& request = it->second;
    if (request.state == RequestState::kQueued) {
      const AgentRequest ended = request;
      EraseRequest(id);
      const bool passed = ended.deadline_at < now_;
      const Replica& replica = FindOrAddReplica(ended.call.key);
      Refuse(ended, passed ? Refusal{RefusalCode::kDeadlinePassed,
                                     "the deadline passed in the queue", Ran::kNo, kShortRetryMs}
                           : Refusal{RefusalCode::kColdTooLate,
                                     "the load is overdue and would end after the deadline",
                                     Ran::kNo, TimeUntilReady(replica)});
      continue;
    }
    const AgentRequest copy = request;
    AbandonRequest(request, &AgentCounters::failed);
    // AbandonRequest has counted this request or will; only the frame is left to send.
    Send(copy.link, RefusalFrame{id,
                                 Refusal{RefusalCode::kDeadlinePassed,
                                         "the upstream did not respond before the deadline",
                                         Ran::kUnknown, kShortRetryMs},
                                 BuildReport(copy.call.key)});
    RecordDecision(id, copy.call.key,
                   "abandoned: the upstream did not respond before the deadline");
  }
}

void AgentImpl::RecordArrival(Replica& replica) {
  const bool was_idle = replica.running == 0 && replica.queue.empty();
  if (was_idle && replica.last_work_at > 0) replica.history.AddGap(now_ - replica.last_work_at);
}

UpstreamReport AgentImpl::BuildReport(const std::string& key) const {
  UpstreamReport report;
  report.leaving = leaving_;
  const auto it = replicas_.find(key);
  if (it == replicas_.end()) return report;
  const Replica& replica = it->second;
  report.state = replica.state;
  report.queued = static_cast<std::uint32_t>(replica.queue.size());
  report.running = replica.running;
  const DurationMs ready = options_.kind == UpstreamKind::kEngine ? TimeUntilReady(replica) : 0;
  report.wait_ms = ready + QueueWait(replica, Priority::kNormal, INT64_MAX);
  const std::uint32_t present = replica.running + report.queued;
  report.free_places = options_.max_concurrent - std::min(options_.max_concurrent, present);
  report.per_call_us =
      static_cast<std::uint32_t>(ServiceMs(replica) * kUsPerMs / options_.max_concurrent);
  return report;
}

void AgentImpl::CheckConservation() const {
  const AgentCounters& c = counters_;
  CheckInvariant(c.received == c.answered + c.refused + c.failed + c.cancelled + requests_.size(),
                 "agent: received = answered + refused + failed + cancelled + open");
}

void AgentImpl::OnFrame(LinkId link, const WhyFrame& why) {
  Send(link, WhyAnswerFrame{why.id, EncodeRecords(decisions_.RecordsAbout(why.subject), options_.vm,
                                                  unix_ms_ - now_)});
}

void AgentImpl::OnFrame(LinkId, const DrainFrame& drain) {
  On(agent::LeaveRequested{true, drain.reason});
}

void AgentImpl::Send(LinkId link, Frame frame) { Emit(agent::SendFrame{link, std::move(frame)}); }

void AgentImpl::RecordDecision(std::string request, std::string key, std::string message,
                               std::string inputs) {
  DecisionRecord record;
  record.at = now_;
  record.request = std::move(request);
  record.key = std::move(key);
  record.vm = options_.vm;
  record.message = std::move(message);
  record.inputs = std::move(inputs);
  record.config_version = last_config_version_;
  decisions_.Add(std::move(record));
}

}  // namespace junctionrail::internal

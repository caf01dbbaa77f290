// The calls of an entry: arrival, attempts, answers, retries, the end of each
// call, and the conservation of calls.
#include <algorithm>
#include <utility>

#include "entry_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kShortRetryMs = 200;
constexpr std::uint32_t kFirstServerError = 500;

std::string AttemptId(const EntryCall& call) {
  return call.call.id + "." + std::to_string(call.attempts);
}

}  // namespace

void EntryImpl::On(entry::CallArrived event) {
  ++counters_.received;
  const std::string id = event.id;
  EntryCall call;
  call.arrived_at = now_;
  call.deadline_at = now_ + event.deadline_ms;
  call.call = std::move(event);
  retry_tokens_ = std::min(options_.retry_burst, retry_tokens_ + options_.retry_ratio);
  const auto [it, is_new] = calls_.emplace(id, std::move(call));
  CheckInvariant(is_new, "a request id is used once");
  EntryCall& stored = it->second;
  deadlines_.emplace(stored.deadline_at, id);
  if (stopping_) {
    return Refuse(stored, Refusal{RefusalCode::kStopping, "this entry is stopping", Ran::kNo, 0});
  }
  const auto refusal = ResolveName(stored);
  if (refusal) return Refuse(stored, *refusal);
  Route(stored);
}

// Turns the name a caller used into the key of a declaration.
std::optional<Refusal> EntryImpl::ResolveName(EntryCall& call) {
  const entry::CallArrived& request = call.call;
  if (request.is_service) {
    const ServiceDeclaration* service = configuration_.FindService(request.name);
    if (service != nullptr) {
      call.key = service->Key();
      return std::nullopt;
    }
  } else {
    const ModelDeclaration* model = configuration_.Resolve(request.name);
    if (model != nullptr && model->replicas > 0) {
      call.key = model->Key();
      return std::nullopt;
    }
    if (model != nullptr) {
      return Refusal{RefusalCode::kNoReplicas,
                     "\"" + request.name + "\" is declared with no replicas", Ran::kNo, 0};
    }
  }
  return Refusal{RefusalCode::kNotDeclared, "\"" + request.name + "\" is not declared", Ran::kNo,
                 0};
}

bool EntryImpl::ConsumeRetryToken() {
  if (retry_tokens_ < 1) {
    ++counters_.retries_denied;
    return false;
  }
  retry_tokens_ -= 1;
  ++counters_.retries;
  return true;
}

void EntryImpl::SendAttempt(EntryCall& call, const Upstream& upstream) {
  const entry::CallArrived& request = call.call;
  const bool is_retry = call.attempts > 0;
  if (is_retry) {
    CheckInvariant(request.is_repeatable || !call.may_have_run,
                   "a call that may not be repeated is never sent after an unknown outcome");
    const bool may_retry = call.attempts < options_.max_attempts && ConsumeRetryToken();
    if (!may_retry) return Refuse(call, *call.last_refusal);
  }
  ++call.attempts;
  ++counters_.attempts;
  call.state = CallState::kSent;
  call.vm = upstream.info.vm;
  call.next_sequence = 0;
  call.has_head = false;
  call.buffer.clear();
  Upstream& chosen = upstreams_.at(call.vm);
  ++chosen.in_flight;
  const auto last_report = chosen.reports.find(call.key);
  if (last_report != chosen.reports.end()) ++last_report->second.sent_since;
  CallFrame frame;
  frame.id = AttemptId(call);
  frame.key = call.key;
  frame.method = request.method;
  frame.path = request.path;
  frame.content_type = request.content_type;
  frame.body = request.body;
  frame.deadline_ms = call.deadline_at - now_;
  frame.priority = request.priority;
  frame.is_repeatable = request.is_repeatable;
  frame.is_stream = request.is_stream;
  frame.config_version = configuration_.version();
  if (request.is_service) {
    frame.idempotency_key = request.idempotency_key;
    frame.idempotency_window_ms = configuration_.FindService(request.name)->idempotency_window_ms;
  } else {
    const ModelDeclaration* model = configuration_.Resolve(call.key);
    const auto add = [&](const ModelDeclaration& declared) {
      const GrantSlot* slot = SlotOn(declared.Key(), upstream.info);
      if (slot == nullptr) return;
      frame.grants.push_back(GrantView{declared.Key(), slot->index, slot->token, declared.memory_mb,
                                       declared.base, configuration_.version()});
    };
    if (model->IsAdapter()) add(*configuration_.Resolve(model->base));
    add(*model);
  }
  Emit(entry::SendFrame{call.vm, std::move(frame)});
}

// The call an agent's frame is about; null when that attempt is over.
EntryCall* EntryImpl::FindCall(const std::string& attempt, const std::string& vm) {
  const std::size_t dot = attempt.rfind('.');
  const auto it = dot == std::string::npos ? calls_.end() : calls_.find(attempt.substr(0, dot));
  const bool is_current = it != calls_.end() && it->second.state == CallState::kSent &&
                          it->second.vm == vm && AttemptId(it->second) == attempt;
  if (is_current) return &it->second;
  ++counters_.stale_frames;
  return nullptr;
}

void EntryImpl::On(entry::FrameArrived event) {
  std::visit([&](auto& frame) { OnFrame(event.vm, std::move(frame)); }, event.frame);
}

void EntryImpl::OnFrame(const std::string& vm, HeadFrame head) {
  EntryCall* call = FindCall(head.id, vm);
  if (call == nullptr) return;
  StoreReport(vm, call->key, head.report);
  if (!call->call.is_service && head.status >= kFirstServerError) {
    return AttemptLost(*call, Refusal{RefusalCode::kUpstreamFailed,
                                      "the engine answered " + std::to_string(head.status),
                                      Ran::kUnknown, kShortRetryMs});
  }
  call->has_head = true;
  call->head_at = now_;
  call->was_cold = head.was_cold;
  call->status = head.status;
  call->content_type = std::move(head.content_type);
  deadlines_.erase({call->deadline_at, call->call.id});
}

void EntryImpl::OnFrame(const std::string& vm, PieceFrame piece) {
  EntryCall* call = FindCall(piece.id, vm);
  if (call == nullptr) return;
  if (!call->has_head || piece.sequence != call->next_sequence) {
    return AttemptLost(*call, Refusal{RefusalCode::kLinkLost, "a piece of the answer is missing",
                                      Ran::kUnknown, kShortRetryMs});
  }
  ++call->next_sequence;
  const std::string& id = call->call.id;
  if (call->is_delivered) {
    Emit(entry::SendResponseChunk{id, std::move(piece.data)});
    return;
  }
  call->buffer += piece.data;
  const bool pass_on = call->call.is_stream || call->buffer.size() > options_.max_buffered_bytes;
  if (!pass_on) return;
  call->is_delivered = true;
  Emit(entry::SendResponseHead{id, call->status, call->content_type});
  Emit(entry::SendResponseChunk{id, std::move(call->buffer)});
  call->buffer.clear();
}

void EntryImpl::OnFrame(const std::string& vm, const EndFrame& end) {
  EntryCall* call = FindCall(end.id, vm);
  if (call == nullptr) return;
  StoreReport(vm, call->key, end.report);
  if (!call->has_head || end.count != call->next_sequence) {
    return AttemptLost(*call, Refusal{RefusalCode::kLinkLost, "the end of the answer is missing",
                                      Ran::kUnknown, kShortRetryMs});
  }
  RecordSuccess(vm);
  EndAttempt(*call);
  ++counters_.answered;
  const std::string id = call->call.id;
  RecordDecision(id, call->key, vm, "answered by " + vm,
                 "first_ms=" + std::to_string(call->head_at - call->arrived_at) +
                     " whole_ms=" + std::to_string(now_ - call->arrived_at) +
                     " attempts=" + std::to_string(call->attempts));
  Emit(entry::CallEnded{call->key, true, call->head_at - call->arrived_at, call->was_cold, {}});
  if (call->is_delivered) {
    Emit(entry::EndResponse{id});
  } else {
    Emit(entry::SendResponse{id, call->status, std::move(call->content_type),
                             std::move(call->buffer)});
  }
  EraseCall(id);
}

void EntryImpl::OnFrame(const std::string& vm, RefusalFrame frame) {
  EntryCall* call = FindCall(frame.id, vm);
  if (call == nullptr) return;
  StoreReport(vm, call->key, frame.report);
  if (frame.refusal.ran == Ran::kNo) {
    AttemptRefused(*call, std::move(frame.refusal));
  } else {
    AttemptLost(*call, std::move(frame.refusal));
  }
}

void EntryImpl::EndAttempt(EntryCall& call) {
  const auto it = upstreams_.find(call.vm);
  if (it != upstreams_.end() && it->second.in_flight > 0) --it->second.in_flight;
  call.state = CallState::kWaiting;
}

// The attempt did not run; any call may go elsewhere.
void EntryImpl::AttemptRefused(EntryCall& call, Refusal refusal) {
  EndAttempt(call);
  const std::string vm = call.vm;
  call.tried.insert(vm);
  call.last_refusal = refusal;
  const bool is_final = refusal.code == RefusalCode::kDeadlinePassed ||
                        refusal.code == RefusalCode::kKeyMismatch ||
                        !call.call.idempotency_key.empty();
  if (refusal.code == RefusalCode::kLeaving) SetReportedLeaving(vm, true);
  if (refusal.code == RefusalCode::kUpstreamUnreachable) RecordFailure(vm, refusal.sentence);
  if (refusal.code == RefusalCode::kColdTooLate) call.requires_loaded = true;
  if (refusal.code == RefusalCode::kNotGranted) {
    ++counters_.grant_reads;
    Emit(entry::ReadGrant{call.key});
  }
  RecordDecision(
      call.call.id, call.key, vm,
      vm + " refused it, " + std::string(RefusalName(refusal.code)) + ": " + refusal.sentence);
  if (is_final) return Refuse(call, refusal);
  Route(call);
}

// The attempt's outcome is unknown; only a call that may be repeated and of
// which the caller has seen nothing goes elsewhere.
void EntryImpl::AttemptLost(EntryCall& call, Refusal refusal) {
  const std::string vm = call.vm;
  Emit(entry::SendFrame{vm, CancelFrame{AttemptId(call)}});
  EndAttempt(call);
  const bool is_keyed = !call.call.idempotency_key.empty();
  const bool is_upstream_fault =
      refusal.code != RefusalCode::kInProgress && refusal.code != RefusalCode::kOutcomeUnknown;
  if (is_upstream_fault) RecordFailure(vm, refusal.sentence);
  call.may_have_run = true;
  call.tried.insert(vm);
  call.last_refusal = refusal;
  RecordDecision(call.call.id, call.key, vm,
                 "the attempt at " + vm + " was lost: " + refusal.sentence);
  const bool may_repeat = call.call.is_repeatable && !is_keyed && !call.is_delivered &&
                          refusal.code != RefusalCode::kDeadlinePassed;
  if (!may_repeat) return Refuse(call, refusal);
  deadlines_.emplace(call.deadline_at, call.call.id);
  Route(call);
}

void EntryImpl::Refuse(EntryCall& call, const Refusal& refusal) {
  Refusal reported = refusal;
  if (call.may_have_run) reported.ran = Ran::kUnknown;
  CheckInvariant(call.state != CallState::kSent || reported.ran == Ran::kUnknown,
                 "a call said not to have run is at no upstream");
  ++(reported.ran == Ran::kNo ? counters_.refused : counters_.failed);
  ++counters_.refused_by_code[static_cast<std::size_t>(reported.code)];
  const std::string id = call.call.id;
  RecordDecision(id, call.key, call.vm,
                 "refused, " + std::string(RefusalName(reported.code)) + ": " + reported.sentence,
                 "attempts=" + std::to_string(call.attempts) +
                     " deadline_left_ms=" + std::to_string(call.deadline_at - now_) +
                     " ran=" + (reported.ran == Ran::kNo ? "no" : "unknown"));
  if (!call.key.empty()) {
    Emit(entry::CallEnded{call.key, false, now_ - call.arrived_at, call.was_cold, reported.code});
  }
  if (call.is_delivered) {
    Emit(entry::AbortResponse{id, std::move(reported)});
  } else {
    Emit(entry::SendRefusal{id, std::move(reported)});
  }
  EraseCall(id);
}

void EntryImpl::EraseCall(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  deadlines_.erase({it->second.deadline_at, id});
  calls_.erase(it);
}

void EntryImpl::On(entry::CallerDisconnected event) {
  const auto it = calls_.find(event.id);
  if (it == calls_.end()) return;
  EntryCall& call = it->second;
  if (call.state == CallState::kSent) {
    Emit(entry::SendFrame{call.vm, CancelFrame{AttemptId(call)}});
    EndAttempt(call);
  }
  ++counters_.cancelled;
  EraseCall(event.id);
}

void EntryImpl::On(entry::LinkClosed event) {
  std::vector<std::string> ids;
  for (const auto& [id, call] : calls_) {
    if (call.state == CallState::kSent && call.vm == event.vm) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const auto& it : ids) {
    const auto found = calls_.find(it);
    if (found == calls_.end()) continue;
    if (event.was_open) {
      AttemptLost(found->second,
                  Refusal{RefusalCode::kLinkLost, "the link to " + event.vm + " was lost",
                          Ran::kUnknown, kShortRetryMs});
    } else {
      AttemptRefused(found->second,
                     Refusal{RefusalCode::kUpstreamUnreachable, event.vm + " took no connection",
                             Ran::kNo, kShortRetryMs});
    }
  }
  OfferFailed(event.vm);
}

void EntryImpl::ExpireCalls() {
  while (!deadlines_.empty() && deadlines_.begin()->first < now_) {
    const auto [deadline, id] = *deadlines_.begin();
    EntryCall& call = calls_.at(id);
    const bool is_sent = call.state == CallState::kSent;
    if (is_sent && now_ < deadline + options_.refusal_grace_ms) break;
    if (is_sent) {
      AttemptLost(call, Refusal{RefusalCode::kDeadlinePassed,
                                "the upstream gave no answer before the deadline", Ran::kUnknown,
                                kShortRetryMs});
    } else {
      Refuse(call, Refusal{RefusalCode::kDeadlinePassed, "the deadline passed before it was sent",
                           Ran::kNo, kShortRetryMs});
    }
  }
}

void EntryImpl::On(entry::StopRequested) { stopping_ = true; }

void EntryImpl::CheckConservation() const {
  const EntryCounters& c = counters_;
  CheckInvariant(c.received == c.answered + c.refused + c.failed + c.cancelled + calls_.size(),
                 "received = answered + refused + failed + cancelled + present, at the entry");
}

}  // namespace junctionrail::internal

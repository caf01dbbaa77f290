#include "exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http_text.h"
#include "request_fields.h"

namespace junctionrail::internal {
namespace {

// The upstream's deadline is earlier by this, so that its own error response arrives in time.
constexpr DurationMs kDeadlineMarginMs = 20;
// How long a request waits for an agent to appear if there is none to ask for the model.
constexpr DurationMs kNoAgentWaitMs = 1200;
constexpr DurationMs kDefaultRetryAfterMs = 500;
// For a response that arrived before the deadline.
constexpr DurationMs kReadPastDeadlineMs = 200;
constexpr DurationMs kReadStepMs = 10;
// Places change when operators change them, or when upstreams start there.
constexpr DurationMs kPlaceRetryAfterMs = 2000;
// A concurrent attempt of the same suspected request is over within this time: the wait for its
// first event plus QuarantineLimits::harmless_after_ms.
constexpr DurationMs kConcurrentSuspectWaitMs = 500;

// Reports of a crash have arrived, and are judged, within this time.
constexpr DurationMs kReportsWaitMs = 100;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Requests whose prompts differ only in the last part read the same memory.
std::string_view SharedPromptParts(std::string_view parts) {
  const std::size_t last = parts.rfind(',');
  return last == std::string_view::npos ? std::string_view() : parts.substr(0, last);
}

}  // namespace

Exchange::Exchange(Gateway::Impl& gateway, CallerRequest request, std::weak_ptr<CallerSink> sink)
    : gateway_(gateway),
      request_(std::move(request)),
      sink_(std::move(sink)),
      routes_(gateway.routes),
      timer_(gateway.io) {}

Exchange::~Exchange() {
  OnRetryArrived(&unsent_retry_consumed_at_);
  OnRetryArrived(&attempt_.retry_consumed_at);
  gateway_.crash_detector.OnAttemptOver(attempt_.instance, this);
  RemoveFromResponseMemory(&attempt_);
  for (auto& it : silent_) {
    OnRetryArrived(&it.retry_consumed_at);
    gateway_.crash_detector.OnAttemptOver(it.instance, this);
    RemoveFromResponseMemory(&it);
  }
}

void Exchange::Start() {
  ++gateway_.counters.requests;
  const std::string* id = FindField(request_.fields, gateway_.options.header_names.request_id);
  if (id != nullptr && IsName(*id)) request_id_ = *id;
  const auto error = FindFieldError(request_.fields, gateway_.options.header_names);
  if (error) return Refuse(kBadRequest, error->code, error->sentence, Execution::kNotRun, 0);
  if (!routes_) {
    return Refuse(kUnavailable, "no_configuration", "no configuration is known yet",
                  Execution::kNotRun, kDefaultRetryAfterMs);
  }
  if (!FindRoute()) {
    return RefuseUnknown(kNotFound, "no_route", "no route matches this host and path");
  }
  if (!ReadFields() || !ReadKey() || !ReadQuotaAmount()) return;
  if (!MayBegin(MonotonicMs())) return RefuseStopping();
  const auto over =
      gateway_.quotas.RefuseIfOverQuota(organisation_, quota_amount_, request_.arrived_at);
  if (over) return RefuseOverQuota(*over);
  if (IsResumption()) return ResolveOrigin();
  BeginAttempts();
}

void Exchange::BeginAttempts() {
  gateway_.retry_budget.OnRequest(service_, request_.sent_after, MonotonicMs());
  gateway_.upstreams.OnArrival(model_, priority_, route_->first_byte_target_ms, request_.arrived_at,
                               AllowedRegionsNow());
  AttemptNext();
}

bool Exchange::FindRoute() {
  const std::string* host = FindField(request_.fields, "Host");
  if (host == nullptr) return false;
  route_ = routes_->Find(*host, PathOf(request_.target));
  return route_ != nullptr;
}

// Reads the header fields that set the service, the deadlines, the model and the affinity. Returns
// false if it sent an error response.
bool Exchange::ReadFields() {
  const HttpHeaderNames& names = gateway_.options.header_names;
  if (request_id_.empty()) {
    Refuse(kBadRequest, "no_request_id", "expected a header " + names.request_id + ", found none",
           Execution::kNotRun, 0);
    return false;
  }
  SetService(std::string(PickService(*route_, request_id_)));
  std::int64_t deadline_ms = route_->timeout_ms;
  const std::string* deadline = FindField(request_.fields, names.deadline_ms);
  if (deadline != nullptr && !ParseWholeNumber(*deadline, &deadline_ms)) {
    Refuse(kBadRequest, "bad_deadline",
           "expected whole milliseconds in " + names.deadline_ms + ", found " + *deadline,
           Execution::kNotRun, 0);
    return false;
  }
  deadline_at_ = request_.arrived_at + std::min<std::int64_t>(deadline_ms, route_->timeout_ms);
  wait_deadline_at_ = deadline_at_;
  if (route_->caller_timeout_ms > 0) {
    wait_deadline_at_ =
        std::min(wait_deadline_at_, request_.arrived_at + route_->caller_timeout_ms);
  }
  const std::string* parts = FindField(request_.fields, names.prompt_parts);
  if (parts != nullptr) {
    affinity_ = std::string(SharedPromptParts(*parts));
    parts_ = DigestsOfSharedParts(*parts);
  }
  return true;
}

// Also reads the model, which only engine services have.
void Exchange::SetService(std::string service) {
  service_ = std::move(service);
  model_.reset();
  const ServiceSpec* spec = routes_->configuration().FindService(service_);
  const std::string* model = FindField(request_.fields, gateway_.options.header_names.model);
  if (spec == nullptr || !spec->engine || model == nullptr) return;
  const std::size_t slash = model->find('/');
  model_ = ModelRef{model->substr(0, slash),
                    slash == std::string::npos ? std::string() : model->substr(slash + 1)};
}

void Exchange::AttemptNext() {
  const TimeMs now = MonotonicMs();
  if (now >= deadline_at_) return GiveUp(ExecutionSoFar(), "deadline");
  if (!MayBegin(now)) return RefuseStopping();
  const bool awaits_quota = quota_ticket_ != 0 || upstream_quota_ticket_ != 0 || turn_ticket_ != 0;
  if (awaits_quota || !RecheckKey()) return;
  const bool is_refused = CurrentQuarantineStatus() == QuarantineStatus::kRefused;
  if (is_refused && !IsRefusedProvisionally(now)) return RefuseQuarantined();
  const PickResult choice = ChooseUpstream(now);
  if (const auto* to = std::get_if<SendTo>(&choice)) {
    const std::string instance = to->instance;
    if (AcquireQuota() && AcquireTurn(instance) && AcquireUpstreamQuota(instance))
      SendRequest(instance);
    return;
  }
  if (const auto* wait = std::get_if<WaitFor>(&choice)) return WaitForModel(*wait);
  const auto& none = std::get<NoUpstream>(choice);
  if (!none.code.empty()) return RefusePlace(none);
  GiveUp(ExecutionSoFar(), none.reason);
}

// In a stop, a request is sent to an upstream only if it can be answered before the process ends.
// One that may have run goes on, as it could only be refused with an unknown outcome.
bool Exchange::MayBegin(TimeMs now) const {
  const bool has_begun = is_response_begun_ || ExecutionSoFar() == Execution::kMayHaveRun;
  if (has_begun) return true;
  return gateway_.stop.MayBegin({request_.arrived_at, deadline_at_, route_->IsRetryable()}, now);
}

void Exchange::RefuseStopping() {
  ++gateway_.counters.stop_refusals;
  // Its caller will want the model at another entry.
  if (is_waiting_for_model_) gateway_.RecordRefusedWait(*this);
  Refuse(kUnavailable, kStoppingCode, kStoppingSentence, Execution::kNotRun, kStoppingRetryAfterMs);
}

// No upstream of the service is in a place where the request may run, or of the version that began
// its stream.
void Exchange::RefusePlace(const NoUpstream& none) {
  const bool is_version_gone = none.code == kVersionGone;
  ++(is_version_gone ? gateway_.counters.version_gone_refusals : gateway_.counters.place_refusals);
  const bool is_refusal = !is_response_begun_ && ExecutionSoFar() == Execution::kNotRun;
  if (!is_refusal) return GiveUp(ExecutionSoFar(), none.reason);
  Refuse(kUnavailable, none.code, none.reason, Execution::kNotRun, kPlaceRetryAfterMs);
}

// By the newest configuration, which may be newer than the one at the request's arrival. A request
// whose route is no longer there keeps the route's last known regions.
AllowedRegions Exchange::AllowedRegionsNow() const {
  const std::string* host = FindField(request_.fields, "Host");
  const Route* newest =
      host == nullptr ? nullptr : gateway_.routes->Find(*host, PathOf(request_.target));
  const AllowedRegions& of_route = (newest == nullptr ? route_ : newest)->allowed_regions;
  const Organisation* owner = KeyOwner();
  return owner == nullptr ? of_route : Intersect(of_route, owner->allowed_regions);
}

PickResult Exchange::ChooseUpstream(TimeMs now) {
  PickRequest request;
  request.service = service_;
  request.model = model_;
  request.affinity = affinity_;
  request.request_id = request_id_;
  request.tried = tried_instances_;
  request.allowed_regions = AllowedRegionsNow();
  request.software_version = bound_version();
  const bool is_suspect = gateway_.HasSuspicions() && IsSuspect();
  if (is_suspect) {
    const RequestDigest key = IsolationKey();
    // One attempt at a time, as callers may send such requests several times at once.
    const auto other_try = model_ ? gateway_.suspect_isolation.Find(key) : std::nullopt;
    if (other_try) return WaitFor{*other_try, kConcurrentSuspectWaitMs, "alone", 0};
    request.occupied = gateway_.suspect_isolation.OccupiedByOthers(key);
  } else {
    request.risky = gateway_.suspect_isolation.Occupied();
  }
  PickResult pick = gateway_.upstreams.Choose(request, now);
  const auto* to = std::get_if<SendTo>(&pick);
  const bool must_wait =
      is_suspect && model_ && to != nullptr &&
      (gateway_.prompt_parts.AwaitsReports(parts_, now) || IsRefusedProvisionally(now));
  if (must_wait) return WaitFor{to->instance, kReportsWaitMs, "alone", 0};
  const auto* none = std::get_if<NoUpstream>(&pick);
  upstream_opens_in_ms_ = none == nullptr ? 0 : none->retry_after_ms;
  return pick;
}

void Exchange::WaitForModel(const WaitFor& wait) {
  if (GoOnWithSilent("another upstream would have to be waited for")) return;
  const TimeMs now = MonotonicMs();
  if (!is_waiting_for_model_) {
    ++gateway_.counters.model_waits;
    waiting_since_ = now;
  }
  // After the load, the engine still needs its usual time to the first event.
  const DurationMs patience =
      wait_deadline_at_ - now - (model_ ? gateway_.upstreams.FirstEventMs(*model_) : 0);
  const bool has_agent = !wait.instance.empty();
  const bool is_wait_too_long =
      has_agent ? wait.estimate_ms > patience : now - waiting_since_ > kNoAgentWaitMs;
  const bool is_new_instance = asked_instance_ != wait.instance;
  asked_instance_ = wait.instance;
  if (!is_waiting_for_model_ && has_agent) {
    gateway_.log.Write(now, "wait_for_model",
                       {{"request", request_id_},
                        {"model", model_->ToString()},
                        {"asked", wait.instance},
                        {"source", wait.source},
                        {"estimate_ms", wait.estimate_ms},
                        {"others_lose_ms", static_cast<std::int64_t>(wait.cost_ms)},
                        {"patience_ms", patience}});
  }
  if (is_response_begun_)
    return GiveUp(Execution::kMayHaveRun, "no upstream has the model loaded any more");
  if (is_new_instance && gateway_.on_new_demand) gateway_.on_new_demand(asked_instance_);
  if (is_wait_too_long && ExecutionSoFar() == Execution::kMayHaveRun)
    return GiveUp(Execution::kMayHaveRun, "no upstream has the model loaded");
  if (is_wait_too_long) {
    // The load is requested nevertheless: the caller is told to retry when it is expected to be
    // done.
    gateway_.RecordRefusedWait(*this);
    return Refuse(kUnavailable, "model_not_loaded", "the model will not be loaded in time",
                  Execution::kNotRun, std::max(wait.estimate_ms, kDefaultRetryAfterMs));
  }
  is_waiting_for_model_ = true;
  gateway_.AddWaiting(shared_from_this());
  ArmTimer();
}

void Exchange::RetrySelection() {
  if (is_finished_ || !is_waiting_for_model_) return;
  AttemptNext();
}

void Exchange::SendRequest(const std::string& instance) {
  const UpstreamRecord* upstream = gateway_.upstreams.Find(instance);
  if (upstream == nullptr) return GiveUp(ExecutionSoFar(), "no_upstream");
  // This costs one socket read per attempt, and prevents an upstream from working for a caller that
  // has already disconnected, however late this process handles the request.
  const auto sink = sink_.lock();
  if (!sink || sink->HasDisconnected()) return Finish("cancelled", 0);
  if (!CountRetryAsSent(MonotonicMs()))
    return GiveUp(ExecutionSoFar(), "the retry budget is spent");
  CheckInvariant(route_->IsRetryable() || possibly_run_attempts_ == 0,
                 "a non-repeatable request is sent again only if it has not run");
  if (is_waiting_for_model_) {
    is_waiting_for_model_ = false;
    waited_ms_ += MonotonicMs() - waiting_since_;
    gateway_.RemoveWaiting(shared_from_this());
  }
  attempt_ = Attempt();
  attempt_.number = ++attempts_begun_;
  attempt_.retry_consumed_at = std::exchange(unsent_retry_consumed_at_, 0);
  attempt_.is_open = true;
  attempt_.instance = instance;
  AddToResponseMemory(&attempt_);
  attempt_.wire_id = upstream->WireId();
  attempt_.version = upstream->software_version;
  RecordVersionChange();
  tried_instances_.push_back(instance);
  attempt_.started_at = MonotonicMs();
  attempt_.connected_at = attempt_.started_at;
  attempt_.last_activity_at = attempt_.started_at;
  attempt_.listing_age_ms = gateway_.ListingAge(attempt_.started_at);
  if (attempt_.listing_age_ms >= 0) gateway_.listing_age.Add(attempt_.listing_age_ms);
  ++sent_attempts_;
  ++possibly_run_attempts_;
  gateway_.upstreams.OnSent(instance, model_, attempt_.started_at);
  gateway_.crash_detector.OnAttemptBegun(instance, this);
  turn_until_ = 0;
  if (IsSuspect()) {
    attempt_.isolation_key = IsolationKey();
    attempt_.is_isolated_suspect =
        gateway_.suspect_isolation.Reserve(instance, attempt_.isolation_key);
  }
  UpstreamMessage message;
  message.head = BuildRequestHead(*upstream);
  message.body = request_.body;
  message.request_id = request_id_;
  message.is_head_method = request_.method == "HEAD";
  attempt_.call =
      gateway_.pool.Start(*upstream, gateway_.upstreams.topology().DistanceTo(upstream->data_hall),
                          gateway_.MaxConnections(*upstream), std::move(message),
                          std::make_shared<AttemptListener>(weak_from_this(), attempt_.number));
  ArmTimer();
}

void Exchange::RecordVersionChange() {
  if (!origin_ || attempt_.version == origin_->version) return;
  ++gateway_.counters.version_changes;
  gateway_.log.Write(MonotonicMs(), "stream_version_changed",
                     {{"request", request_id_},
                      {"upstream", attempt_.instance},
                      {"version", attempt_.version},
                      {"begun_by_version", origin_->version}});
}

std::string Exchange::BuildRequestHead(const UpstreamRecord& upstream) const {
  const HttpHeaderNames& names = gateway_.options.header_names;
  std::string head = request_.method + " " + request_.target + " HTTP/1.1\r\n";
  for (const auto& it : EndToEndFields(request_.fields)) {
    bool is_ours =
        EqualsNoCase(it.name, names.deadline_ms) || EqualsNoCase(it.name, names.priority) ||
        EqualsNoCase(it.name, names.expected_instance) || EqualsNoCase(it.name, "Expect") ||
        EqualsNoCase(it.name, names.key) || EqualsNoCase(it.name, names.organisation);
    for (const auto& reserved : names.reserved) is_ours |= EqualsNoCase(it.name, reserved);
    const bool is_replaced =
        !events_.last_id().empty() && EqualsNoCase(it.name, names.last_event_id);
    if (!is_ours && !is_replaced) AppendField(it.name, it.value, &head);
  }
  const DurationMs left = std::max<DurationMs>(1, RemainingMs() - kDeadlineMarginMs);
  AppendField(names.deadline_ms, std::to_string(left), &head);
  AppendField(names.expected_instance, upstream.WireId(), &head);
  AppendField(names.priority, std::to_string(std::clamp(priority_, 0, 9)), &head);
  if (!organisation_.empty()) AppendField(names.organisation, organisation_, &head);
  if (!events_.last_id().empty()) AppendField(names.last_event_id, events_.last_id(), &head);
  const bool has_body = !request_.body->empty() || request_.method == "POST" ||
                        request_.method == "PUT" || request_.method == "PATCH";
  if (has_body) AppendField("Content-Length", std::to_string(request_.body->size()), &head);
  head += "\r\n";
  return head;
}

void Exchange::OnConnected(int number, double round_trip_ms) {
  if (number != attempt_.number) return;
  gateway_.upstreams.OnConnected(attempt_.instance, round_trip_ms, MonotonicMs());
}

// While the connection was being opened, the upstream may have left or asked for a backoff, its
// data hall may have closed, its region may no longer be allowed, the key may have been revoked,
// and the caller may have disconnected.
bool Exchange::MaySend(int number, TimeMs connected_at) {
  if (number != attempt_.number) return false;
  attempt_.connected_at = connected_at;
  const auto sink = sink_.lock();
  const bool is_key_good =
      !key_ || (KeyOwner() != nullptr && gateway_.AreKeysCurrent(MonotonicMs()));
  const TimeMs now = MonotonicMs();
  const bool is_upstream_good =
      gateway_.upstreams.MayReceive(attempt_.instance, now) &&
      gateway_.upstreams.IsInRegions(attempt_.instance, AllowedRegionsNow()) &&
      !gateway_.upstreams.IsBackingOff(attempt_.instance, now);
  return sink && !sink->HasDisconnected() && is_key_good && is_upstream_good;
}

void Exchange::GiveUp(Execution ran, std::string_view reason) {
  if (is_finished_ || GoOnWithSilent(reason)) return;
  if (is_response_begun_) {
    const auto sink = sink_.lock();
    if (sink) sink->Abort();
    return Finish("broken", 0, reason);
  }
  const bool is_late = MonotonicMs() >= deadline_at_;
  if (ran == Execution::kNotRun) {
    return Refuse(kUnavailable, "not_run", reason, Execution::kNotRun,
                  std::max(upstream_opens_in_ms_, kDefaultRetryAfterMs));
  }
  Refuse(is_late ? kGatewayTimeout : kBadGateway, "outcome_unknown", reason, Execution::kMayHaveRun,
         0);
}

void Exchange::CancelAttempt(Attempt* attempt, AttemptOutcome end) {
  if (!attempt->is_open) return;
  if (attempt->call) attempt->call->Cancel();
  EndAttempt(attempt, end);
}

void Exchange::CancelAttempts(AttemptOutcome end) {
  CancelAttempt(&attempt_, end);
  for (auto& it : silent_) CancelAttempt(&it, end);
  silent_.clear();
}

void Exchange::OnCallerDisconnected() {
  if (is_finished_) return;
  CancelAttempts(AttemptOutcome::kCallerLeft);
  Finish("cancelled", 0);
}

void Exchange::OnCallerWritable() {
  if (!attempt_.call || !attempt_.is_paused) return;
  attempt_.is_paused = false;
  OnProgress();
  attempt_.call->Pause(false);
  ArmTimer();
}

void Exchange::OnVmResumed() {
  if (!is_finished_ && route_ != nullptr) ArmTimer();
}

void Exchange::OnStop() {
  if (is_finished_) return;
  CancelAttempts(AttemptOutcome::kCallerLeft);
  GiveUp(ExecutionSoFar(), kStoppingSentence);
}

void Exchange::ArmTimer() {
  TimeMs due = deadline_at_;
  if (is_waiting_for_model_) due = std::min(due, wait_deadline_at_);
  const DurationMs silence = SilenceTimeout();
  if (silence > 0) due = std::min(due, attempt_.last_activity_at + silence);
  if (drop_silent_at_ > 0) due = std::min(due, drop_silent_at_);
  ArmTimer(std::max<DurationMs>(0, due - MonotonicMs()));
}

void Exchange::ArmTimer(DurationMs delay) {
  timer_.expires_after(std::chrono::milliseconds(delay));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->is_finished_) self->OnTimer();
  });
}

void Exchange::OnTimer() {
  const TimeMs now = MonotonicMs();
  if (now >= deadline_at_) return OnDeadline();
  if (is_waiting_for_model_ && now >= wait_deadline_at_ &&
      ExecutionSoFar() == Execution::kMayHaveRun) {
    return GiveUp(Execution::kMayHaveRun, "no upstream had the model loaded in time");
  }
  if (is_waiting_for_model_ && now >= wait_deadline_at_) {
    return Refuse(kUnavailable, "model_not_loaded", "the model was not loaded in time",
                  Execution::kNotRun, kDefaultRetryAfterMs);
  }
  if (drop_silent_at_ > 0 && now >= drop_silent_at_) DropSilent();
  const DurationMs silence = SilenceTimeout();
  if (silence > 0 && now - attempt_.last_activity_at >= silence) return OnSilence(now);
  ArmTimer();
}

// A response that this process was too late to read is read first.
void Exchange::OnDeadline() {
  const TimeMs now = MonotonicMs();
  if (read_until_ == 0) read_until_ = now + kReadPastDeadlineMs;
  if (now < read_until_ && HasUnreadResponse()) return ArmTimer(kReadStepMs);
  CancelAttempts(AttemptOutcome::kTimedOut);
  GiveUp(ExecutionSoFar(), "no response before the deadline");
}

}  // namespace junctionrail::internal

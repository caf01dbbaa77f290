#include "exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http_text.h"

namespace junctionrail::internal {
namespace {

// Attempts that did not run at all may be followed by so many others: enough
// to get past restarted and full upstreams, few enough to end soon.
constexpr int kMostUnrun = 5;
// An upstream that is silent for so many times the target for the first byte
// has most likely lost the request; one that may be repeated goes elsewhere.
constexpr double kSilentTargets = 0.75;
constexpr double kSilentStreamTargets = 2.0;
constexpr DurationMs kLeastSilenceMs = 150;
// A silent stream that may be resumed goes on elsewhere after so many times
// the target for its pauses.
constexpr double kSilentPauses = 2.5;
// The upstream gives up this much before us, so that its own word arrives.
constexpr DurationMs kDeadlineMarginMs = 20;
// Without an agent to ask, a request waits this long for one to be heard of.
constexpr DurationMs kNoAgentMs = 1200;
constexpr DurationMs kDefaultRetryAfterMs = 500;
// Another try of the same suspected request is over within this: the wait for its first event,
// and what QuarantineLimits::harmless_after_ms adds.
constexpr DurationMs kOtherTryMs = 500;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Requests that share all parts of their prompt but the last read the same
// memory.
std::string_view SharedParts(std::string_view parts) {
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

Exchange::~Exchange() { gateway_.crashes.Over(instance_, this); }

void Exchange::Start() {
  ++gateway_.counters.requests;
  const std::string* id = FindField(request_.fields, gateway_.options.names.request_id);
  if (id != nullptr) request_id_ = *id;
  if (!routes_) {
    return Refuse(kUnavailable, "no_configuration", "no configuration is known yet", Ran::kNo,
                  kDefaultRetryAfterMs);
  }
  if (!FindRoute()) {
    return Refuse(kNotFound, "no_route", "no route matches this host and path", Ran::kNo, 0);
  }
  if (!ReadFields() || !ReadKey() || !ReadAmount()) return;
  const auto over = gateway_.quotas.RefuseIfOverQuota(organisation_, amount_, request_.arrived_at);
  if (over) return RefuseOverQuota(*over);
  gateway_.retries.OnRequest(service_, request_.arrived_at);
  gateway_.upstreams.OnArrival(model_, priority_, route_->first_answer_ms, request_.arrived_at);
  Attempt();
}

bool Exchange::FindRoute() {
  const std::string* host = FindField(request_.fields, "Host");
  if (host == nullptr) return false;
  route_ = routes_->Find(*host, PathOf(request_.target));
  return route_ != nullptr;
}

// Reads what the choice and the time limits need. False when it answered.
bool Exchange::ReadFields() {
  const CallHeaderNames& names = gateway_.options.names;
  if (request_id_.empty()) {
    Refuse(kBadRequest, "no_request_id", "expected a header " + names.request_id + ", found none",
           Ran::kNo, 0);
    return false;
  }
  service_ = std::string(PickService(*route_, request_id_));
  std::int64_t deadline_ms = route_->timeout_ms;
  const std::string* deadline = FindField(request_.fields, names.deadline_ms);
  if (deadline != nullptr && !ParseWhole(*deadline, &deadline_ms)) {
    Refuse(kBadRequest, "bad_deadline",
           "expected whole milliseconds in " + names.deadline_ms + ", found " + *deadline, Ran::kNo,
           0);
    return false;
  }
  end_at_ = request_.arrived_at + std::min<std::int64_t>(deadline_ms, route_->timeout_ms);
  patience_at_ = end_at_;
  if (route_->patience_ms > 0) {
    patience_at_ = std::min(patience_at_, request_.arrived_at + route_->patience_ms);
  }
  const ServiceSpec* service = routes_->configuration().FindService(service_);
  const std::string* model = FindField(request_.fields, names.model);
  if (service != nullptr && service->engine && model != nullptr) {
    const std::size_t slash = model->find('/');
    model_ = ModelRef{model->substr(0, slash),
                      slash == std::string::npos ? std::string() : model->substr(slash + 1)};
  }
  const std::string* parts = FindField(request_.fields, names.prompt_parts);
  if (parts != nullptr) affinity_ = std::string(SharedParts(*parts));
  return true;
}

void Exchange::Attempt() {
  const TimeMs now = MonotonicMs();
  if (now >= end_at_) return GiveUp(SoFar(), "deadline");
  if (quota_ticket_ != 0 || share_ticket_ != 0 || !MayUseKey()) return;
  if (StandingNow() == QuarantineStatus::kRefused) return RefuseAsDeadly();
  const Pick choice = Choose(now);
  if (const auto* to = std::get_if<SendTo>(&choice)) {
    if (MayUseQuota() && MayUseShare(to->instance)) Send(to->instance);
    return;
  }
  if (const auto* wait = std::get_if<WaitFor>(&choice)) return WaitForModel(*wait);
  GiveUp(SoFar(), std::get<NoneLeft>(choice).reason);
}

// Worked out only while there is something to compare it with, as it reads the whole body.
const RequestDigest& Exchange::Digest() {
  if (!digest_) {
    const auto field = [this](std::string_view name) {
      const std::string* value = FindField(request_.fields, name);
      return value != nullptr ? std::string_view{*value} : std::string_view{};
    };
    digest_ =
        DigestOf({request_.method, field("Host"), request_.target,
                  organisation_.empty() ? field("Authorization") : std::string_view{organisation_},
                  *request_.body});
  }
  return *digest_;
}

QuarantineStatus Exchange::StandingNow() {
  if (gateway_.quarantine.IsEmpty()) return QuarantineStatus::kClear;
  return gateway_.quarantine.StatusOf(Digest(), MonotonicMs());
}

bool Exchange::IsSuspect() { return StandingNow() != QuarantineStatus::kClear; }

std::optional<Suspect> Exchange::AsSuspect(TimeMs now) {
  const bool has_event = attempt_event_at_ != 0;
  const bool is_harmless =
      has_event && now - attempt_event_at_ >= QuarantineLimits().harmless_after_ms;
  if (is_harmless) return std::nullopt;
  return Suspect{Digest(), has_event, was_alone_};
}

// The caller is told at once, and that to come back will not help: no time to do so.
// Not a client's error, as nothing is wrong with the request's form.
void Exchange::RefuseAsDeadly() {
  ++gateway_.counters.quarantined;
  constexpr char kReason[] = "upstreams that run this request end; it is not sent to another";
  if (is_begun_) return GiveUp(Ran::kMaybe, kReason);
  const bool may_have_run = SoFar() == Ran::kMaybe;
  Refuse(may_have_run ? kBadGateway : kUnavailable, "ends_upstreams", kReason, SoFar(), 0);
}

void Exchange::NoteHarmless() {
  if (!digest_) return;
  gateway_.quarantine.Clear(*digest_, MonotonicMs());
  if (!was_alone_) return;
  was_alone_ = false;
  gateway_.probation.Release(instance_, *digest_);
  gateway_.WakeSuspects();
}

Pick Exchange::Choose(TimeMs now) {
  PickRequest request;
  request.service = service_;
  request.model = model_;
  request.affinity = affinity_;
  request.request_id = request_id_;
  request.tried = tried_;
  if (!gateway_.quarantine.IsEmpty()) {
    const bool is_suspect = IsSuspect();
    // One try at a time, as its callers may send it several times at once.
    const auto other_try = is_suspect && model_ ? gateway_.probation.Find(Digest()) : std::nullopt;
    if (other_try) return WaitFor{*other_try, kOtherTryMs, "alone", 0};
    auto& besides = is_suspect ? request.taken : request.risky;
    besides =
        is_suspect ? gateway_.probation.OccupiedByOthers(Digest()) : gateway_.probation.Occupied();
  }
  Pick pick = gateway_.upstreams.Choose(request, now);
  const auto* none = std::get_if<NoneLeft>(&pick);
  opens_in_ms_ = none == nullptr ? 0 : none->retry_ms;
  return pick;
}

void Exchange::WaitForModel(const WaitFor& wait) {
  const TimeMs now = MonotonicMs();
  if (!is_parked_) {
    ++gateway_.counters.waited_for_model;
    parked_since_ = now;
  }
  // Once the model is up, the engine needs its time for the first event too.
  const DurationMs patience =
      patience_at_ - now - (model_ ? gateway_.upstreams.FirstEventMs(*model_) : 0);
  const bool has_agent = !wait.instance.empty();
  const bool is_hopeless =
      has_agent ? wait.estimate_ms > patience : now - parked_since_ > kNoAgentMs;
  const bool is_new_ask = asked_ != wait.instance;
  asked_ = wait.instance;
  if (!is_parked_ && has_agent) {
    gateway_.log.Write(now, "wait_for_model",
                       {{"request", request_id_},
                        {"model", model_->ToString()},
                        {"asked", wait.instance},
                        {"source", wait.source},
                        {"estimate_ms", wait.estimate_ms},
                        {"others_lose_ms", static_cast<std::int64_t>(wait.cost_ms)},
                        {"patience_ms", patience}});
  }
  if (is_begun_) return GiveUp(Ran::kMaybe, "no upstream holds the model any more");
  if (is_new_ask && gateway_.on_new_demand) gateway_.on_new_demand(asked_);
  if (is_hopeless && SoFar() == Ran::kMaybe)
    return GiveUp(Ran::kMaybe, "no upstream holds the model");
  if (is_hopeless) {
    // The load is asked for all the same: the caller is told to come back when
    // it is up.
    gateway_.NoteTurnedAway(*this);
    return Refuse(kUnavailable, "model_not_loaded", "the model is not up in time", Ran::kNo,
                  std::max(wait.estimate_ms, kDefaultRetryAfterMs));
  }
  is_parked_ = true;
  gateway_.Park(shared_from_this());
  Arm();
}

void Exchange::Retry() {
  if (is_finished_ || !is_parked_) return;
  Attempt();
}

void Exchange::Send(const std::string& instance) {
  const UpstreamRecord* upstream = gateway_.upstreams.Find(instance);
  if (upstream == nullptr) return GiveUp(SoFar(), "no_upstream");
  // One read of the socket an attempt buys that no upstream works for a caller that
  // has left, however late this process comes to its request.
  const auto sink = sink_.lock();
  if (!sink || sink->HasLeft()) return Finish("cancelled", 0);
  CheckInvariant(route_->MayRepeat() || ran_attempts_ == 0,
                 "a request that may not be repeated is sent on only if it has not run");
  if (is_parked_) {
    is_parked_ = false;
    waited_ms_ += MonotonicMs() - parked_since_;
    gateway_.Unpark(shared_from_this());
  }
  instance_ = instance;
  upstream_id_ = upstream->WireId();
  tried_.push_back(instance);
  head_.reset();
  body_.clear();
  attempt_at_ = MonotonicMs();
  heard_at_ = attempt_at_;
  listing_age_ms_ = gateway_.ListingAge(attempt_at_);
  if (listing_age_ms_ >= 0) gateway_.listing_age.Add(listing_age_ms_);
  ++sent_attempts_;
  ++ran_attempts_;
  gateway_.upstreams.OnSent(instance, model_, attempt_at_);
  gateway_.crashes.Begin(instance, this);
  attempt_event_at_ = 0;
  was_alone_ = IsSuspect() && gateway_.probation.Reserve(instance, Digest());
  UpstreamMessage message;
  message.head = HeadFor(*upstream);
  message.body = request_.body;
  message.request_id = request_id_;
  message.is_head_method = request_.method == "HEAD";
  call_ = gateway_.pool.Start(*upstream, gateway_.MostConnections(*upstream), std::move(message),
                              shared_from_this());
  Arm();
}

std::string Exchange::HeadFor(const UpstreamRecord& upstream) const {
  const CallHeaderNames& names = gateway_.options.names;
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
  const DurationMs left = std::max<DurationMs>(1, Left() - kDeadlineMarginMs);
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

// What was chosen may have left or asked for a rest, and the caller may have left, while the
// connection was opened.
bool Exchange::MaySend() {
  const auto sink = sink_.lock();
  const bool is_key_good =
      !key_ || (KeyHolder() != nullptr && gateway_.MayTrustKeys(MonotonicMs()));
  const bool is_upstream_good = gateway_.upstreams.IsListed(instance_) &&
                                !gateway_.upstreams.IsResting(instance_, MonotonicMs());
  return sink && !sink->HasLeft() && is_key_good && is_upstream_good;
}

void Exchange::OnFailed(UpstreamFailure failure, std::string_view reason) {
  call_ = nullptr;
  const bool was_sent = failure == UpstreamFailure::kBroken;
  const UpstreamRecord* upstream = gateway_.upstreams.Find(instance_);
  // One that had said that it leaves ends as planned.
  if (was_sent && upstream != nullptr && gateway_.upstreams.IsListed(instance_)) {
    gateway_.crashes.OnBroken(instance_, upstream->endpoint, attempt_at_, MonotonicMs());
  }
  // An upstream from which a request was withheld has shown no fault.
  EndAttempt(was_sent                                ? AttemptEnd::kFailed
             : failure == UpstreamFailure::kWithheld ? AttemptEnd::kRefused
                                                     : AttemptEnd::kUnreachable);
  if (!was_sent) {
    --ran_attempts_;
    --sent_attempts_;
    ++unsent_attempts_;
  }
  AfterAttempt(was_sent ? Ran::kMaybe : Ran::kNo, was_sent, reason);
}

void Exchange::EndAttempt(AttemptEnd end) {
  const TimeMs now = MonotonicMs();
  const bool is_in_vain = end == AttemptEnd::kSilent || end == AttemptEnd::kAbandoned;
  if (model_ && is_in_vain && !is_begun_) {
    gateway_.upstreams.OnFirstEvent(*model_, now - attempt_at_);
  }
  gateway_.upstreams.OnEnd(instance_, model_, end, now);
  gateway_.crashes.Over(instance_, this);
  if (std::exchange(was_alone_, false)) {
    gateway_.probation.Release(instance_, Digest());
    gateway_.WakeSuspects();
  }
  call_ = nullptr;
}

void Exchange::LogAttempt(Ran ran, std::string_view reason) const {
  const TimeMs now = MonotonicMs();
  gateway_.log.Write(now, "attempt_ended",
                     {{"request", request_id_},
                      {"upstream", instance_},
                      {"reason", reason},
                      {"may_have_run", ran == Ran::kMaybe},
                      {"attempt", static_cast<std::int64_t>(tried_.size())},
                      {"attempt_ms", now - attempt_at_},
                      {"listing_age_ms", listing_age_ms_},
                      {"last_event", events_.last_id()},
                      {"digest", digest_ ? digest_->ToString() : std::string()},
                      {"left_ms", end_at_ - now}});
}

void Exchange::AfterAttempt(Ran ran, bool was_sent, std::string_view reason) {
  LogAttempt(ran, reason);
  if (TryAnother(ran, was_sent)) return;
  GiveUp(SoFar(), reason);
}

// Takes one attempt from the retry budget.
bool Exchange::PayForAnother(TimeMs now) {
  if (gateway_.retries.TryTake(service_, now)) {
    ++gateway_.counters.retries;
    return true;
  }
  gateway_.log.Write(now, "retry_budget_spent", {{"request", request_id_}, {"service", service_}});
  return false;
}

void Exchange::SendElsewhere() {
  if (is_begun_) ++gateway_.counters.resumes;
  events_.DropTail();
  Attempt();
}

// Sends the request to another upstream where that is safe and paid for.
bool Exchange::TryAnother(Ran ran, bool was_sent) {
  const TimeMs now = MonotonicMs();
  if (now >= end_at_ || sink_.expired()) return false;
  const bool may_have_run = ran == Ran::kMaybe || ran_attempts_ > 0;
  if (may_have_run && (!route_->MayRepeat() || ran_attempts_ >= route_->max_attempts)) {
    return false;
  }
  const int unrun = sent_attempts_ - ran_attempts_ + unsent_attempts_;
  if (unrun > kMostUnrun) return false;
  if (may_have_run || was_sent) {
    const Pick choice = Choose(now);
    if (std::holds_alternative<NoneLeft>(choice)) return false;
    // Events were delivered: no load can be waited for.
    if (is_begun_ && !std::holds_alternative<SendTo>(choice)) return false;
    if (!PayForAnother(now)) return false;
  }
  SendElsewhere();
  return true;
}

void Exchange::GiveUp(Ran ran, std::string_view reason) {
  if (is_finished_) return;
  if (is_begun_) {
    const auto sink = sink_.lock();
    if (sink) sink->Abort();
    return Finish("broken", 0);
  }
  const bool is_late = MonotonicMs() >= end_at_;
  if (ran == Ran::kNo) {
    return Refuse(kUnavailable, "not_run", reason, Ran::kNo,
                  std::max(opens_in_ms_, kDefaultRetryAfterMs));
  }
  Refuse(is_late ? kGatewayTimeout : kBadGateway, "outcome_unknown", reason, Ran::kMaybe, 0);
}

void Exchange::OnCallerGone() {
  if (is_finished_) return;
  if (call_) {
    call_->Cancel();
    EndAttempt(AttemptEnd::kAbandoned);
  }
  Finish("cancelled", 0);
}

void Exchange::OnCallerReady() {
  if (call_) call_->Pause(false);
}

void Exchange::OnResumed() {
  if (!is_finished_ && route_ != nullptr) Arm();
}

void Exchange::OnStop() {
  if (is_finished_) return;
  if (call_) {
    call_->Cancel();
    EndAttempt(AttemptEnd::kAbandoned);
  }
  GiveUp(SoFar(), "this process ends");
}

// How long this attempt may be silent before the request goes elsewhere; 0 for
// as long as it has.
DurationMs Exchange::SilenceLimit() const {
  if (!gateway_.upstreams.policy().leaves_silent) return 0;
  if (!call_ || !route_->MayRepeat() || ran_attempts_ >= route_->max_attempts) return 0;
  const bool is_stream = route_->kind == CallKind::kStream;
  if (is_begun_)
    return static_cast<DurationMs>(kSilentPauses * static_cast<double>(route_->pause_ms));
  const double targets = is_stream ? kSilentStreamTargets : kSilentTargets;
  const auto limit =
      static_cast<DurationMs>(targets * static_cast<double>(route_->first_answer_ms));
  return std::max(kLeastSilenceMs, limit);
}

void Exchange::Arm() {
  TimeMs due = end_at_;
  if (is_parked_) due = std::min(due, patience_at_);
  const DurationMs silence = SilenceLimit();
  if (silence > 0) due = std::min(due, heard_at_ + silence);
  timer_.expires_after(std::chrono::milliseconds(std::max<DurationMs>(0, due - MonotonicMs())));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->is_finished_) self->OnTimer();
  });
}

void Exchange::OnTimer() {
  const TimeMs now = MonotonicMs();
  if (now >= end_at_) {
    if (call_) {
      call_->Cancel();
      EndAttempt(AttemptEnd::kSilent);
    }
    return GiveUp(SoFar(), "no answer within its time");
  }
  if (is_parked_ && now >= patience_at_ && SoFar() == Ran::kMaybe) {
    return GiveUp(Ran::kMaybe, "no upstream held the model in time");
  }
  if (is_parked_ && now >= patience_at_) {
    return Refuse(kUnavailable, "model_not_loaded", "the model was not up in time", Ran::kNo,
                  kDefaultRetryAfterMs);
  }
  const DurationMs silence = SilenceLimit();
  if (silence > 0 && now - heard_at_ >= silence) {
    // Only where another upstream can take it and the budget has an attempt
    // left; else the wait goes on.
    const Pick choice = Choose(now);
    const auto* to = std::get_if<SendTo>(&choice);
    // One with a limit may have nothing left of it.
    const bool is_free = to != nullptr && !gateway_.upstreams.LimitOf(to->instance);
    if (is_free && PayForAnother(now)) {
      call_->Cancel();
      EndAttempt(AttemptEnd::kSilent);
      LogAttempt(Ran::kMaybe, "silent");
      return SendElsewhere();
    }
    heard_at_ = now;
  }
  Arm();
}

}  // namespace junctionrail::internal

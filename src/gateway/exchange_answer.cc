// Relaying an upstream's response, and the exchange's own error responses.
#include <algorithm>
#include <utility>

#include "exchange.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

// A request whose answer has gone on for this long does not crash upstreams with what it holds.
// Slow upstreams take several times as long as others until they crash.
constexpr DurationMs kSoundAfterMs = 1500;
// Within a region a port responds within a few milliseconds.
constexpr DurationMs kConfirmEndMs = 400;

// How long a silent attempt is kept once another one has begun to be answered.
constexpr DurationMs kBothAtWorkMs = 300;
// Of a response that is kept until it is whole; the longest are a few MiB.
constexpr std::size_t kMaxBodyBytes = 16 << 20;
constexpr char kBodyTooLong[] = "a response longer than 16 MiB";

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

bool Exchange::IsRefusal(const UpstreamHead& head) const {
  const std::string& not_run = gateway_.options.header_names.not_run;
  return FindField(head.fields, not_run) != nullptr || head.status == kMisdirectedRequest;
}

bool Exchange::IsUnsealedSuccess(const UpstreamHead& head) const {
  const std::string& proof = gateway_.options.header_names.proof;
  return head.status / 100 == 2 && FindField(head.fields, proof) == nullptr;
}

void Exchange::OnHead(int number, UpstreamHead head) {
  Attempt* silent = FindSilent(number);
  if (silent != nullptr) return OnSilentHead(silent, std::move(head));
  if (!IsCurrent(number)) return;
  OnRetryArrived(&attempt_.retry_consumed_at);
  OnProgress();
  gateway_.upstreams.OnResponseData(attempt_.instance, attempt_.last_activity_at);
  gateway_.crash_detector.OnDataReceived(attempt_.instance, attempt_.last_activity_at);
  // A 421 may come from another instance at the same address.
  if (head.status != kMisdirectedRequest)
    gateway_.OnUpstreamResponse(attempt_.instance, head, attempt_.started_at);
  const bool is_success = head.status / 100 == 2;
  const std::string* type = FindField(head.fields, "Content-Type");
  attempt_.is_event_stream = is_success && route_->kind == RequestKind::kStreaming &&
                             (type == nullptr || type->find("event-stream") != std::string::npos);
  attempt_.response_head = std::move(head);
  RecordHeldBytes(attempt_);
  if (IsRefusal(*attempt_.response_head)) return OnUpstreamRefusal(*attempt_.response_head);
  if (IsUnsealedSuccess(*attempt_.response_head)) {
    attempt_.call->Cancel();
    EndAttempt(&attempt_, AttemptOutcome::kFailed);
    return AfterAttempt(Execution::kMayHaveRun, true, "the response has no proof header");
  }
  if (is_success && !silent_.empty()) drop_silent_at_ = MonotonicMs() + kBothAtWorkMs;
  ArmTimer();
}

// The upstream states that it did not run the request.
void Exchange::OnUpstreamRefusal(const UpstreamHead& head) {
  const HttpHeaderNames& names = gateway_.options.header_names;
  const TimeMs now = MonotonicMs();
  std::string reason = "status " + std::to_string(head.status);
  if (head.status == kMisdirectedRequest) {
    const std::string* other = FindField(head.fields, names.instance);
    if (other != nullptr && *other != attempt_.wire_id) {
      gateway_.upstreams.OnInstanceReplaced(attempt_.instance);
      gateway_.crash_detector.OnUpstreamCrashed(attempt_.instance, "other_instance", now);
      reason = "another instance uses the address";
    } else if (model_) {
      gateway_.upstreams.OnModelNotLoaded(attempt_.instance, *model_, now);
      reason = "the model is not loaded at the upstream";
      // It may be chosen again once the model is loaded.
      tried_instances_.pop_back();
    }
  } else if (gateway_.upstreams.IsBackingOff(attempt_.instance, now)) {
    reason = "the upstream asked for a backoff";
    upstream_opens_in_ms_ = gateway_.upstreams.FindThrottle(attempt_.instance)->AvailableAt() - now;
    // It may be chosen again after the backoff.
    if (model_) tried_instances_.pop_back();
  } else if (model_ && head.status == kUnavailable) {
    reason = "full, or a load or unload of the model is in progress";
  }
  attempt_.call->Cancel();
  EndAttempt(&attempt_, AttemptOutcome::kRefused);
  --possibly_run_attempts_;
  AfterAttempt(Execution::kNotRun, true, reason);
}

void Exchange::OnBody(int number, std::string_view data) {
  Attempt* silent = FindSilent(number);
  if (silent != nullptr) return OnSilentBody(silent, data);
  if (!IsCurrent(number)) return;
  if (attempt_.is_event_stream) {
    const std::string whole = events_.Feed(data);
    RecordHeldBytes(attempt_);
    if (events_.partial_event().size() > kMaxEventBytes) return OnTooLong(kEventTooLong);
    if (whole.empty()) return;
    OnProgress();
    DropSilent();
    const auto sink = sink_.lock();
    if (!sink) return;
    RecordEventPause();
    RecordEventTime();
    RecordOrigin();
    if (!is_response_begun_) {
      RelayStreamHead();
      if (is_finished_) return;
    }
    sink->SendBodyPart(whole);
    attempt_.is_paused = sink->IsSendQueueFull() && attempt_.call;
    if (attempt_.is_paused) attempt_.call->Pause(true);
    return;
  }
  if (attempt_.response_body.size() + data.size() > kMaxBodyBytes) return OnTooLong(kBodyTooLong);
  OnProgress();
  attempt_.response_body += data;
  RecordHeldBytes(attempt_);
}

// The upstream sends without an end, and is still there.
void Exchange::OnTooLong(std::string_view reason) {
  CancelAttempt(&attempt_, AttemptOutcome::kFailed);
  AfterAttempt(Execution::kMayHaveRun, true, reason);
}

void Exchange::RecordEventTime() {
  gateway_.crash_detector.OnDataReceived(attempt_.instance, last_event_at_);
  if (attempt_.first_event_at == 0) attempt_.first_event_at = last_event_at_;
  const bool is_harmless =
      last_event_at_ - attempt_.first_event_at >= QuarantineLimits().harmless_after_ms;
  if (attempt_.is_isolated_suspect && is_harmless) ClearSuspicion();
  if (last_event_at_ - attempt_.first_event_at >= kSoundAfterMs) AddSoundParts();
}

void Exchange::RecordEventPause() {
  const TimeMs now = MonotonicMs();
  if (last_event_at_ != 0) longest_pause_ms_ = std::max(longest_pause_ms_, now - last_event_at_);
  last_event_at_ = now;
}

// Begins the response to the caller with the head of the upstream's response.
void Exchange::RelayStreamHead() {
  const auto sink = sink_.lock();
  if (!sink) return;
  is_response_begun_ = true;
  response_begun_at_ = MonotonicMs();
  gateway_.first_byte_latency.Add(response_begun_at_ - request_.arrived_at);
  if (model_) gateway_.upstreams.OnFirstEvent(*model_, response_begun_at_ - attempt_.started_at);
  sink->SendHead(attempt_.response_head->status, EndToEndFields(attempt_.response_head->fields));
  ArmTimer();
}

void Exchange::OnEnd(int number, ResponseEnd end) {
  Attempt* silent = FindSilent(number);
  if (silent != nullptr) return OnSilentEnd(silent, end);
  if (!IsCurrent(number)) return;
  attempt_.call = nullptr;
  attempt_.is_ended_by_close = end == ResponseEnd::kClosed;
  if (attempt_.is_ended_by_close) ++gateway_.counters.responses_ended_by_close;
  if (attempt_.is_event_stream && !events_.partial_event().empty()) {
    return OnBrokenOff("the stream ended within an event");
  }
  if (attempt_.is_ended_by_close) return ConfirmEnd();
  CompleteResponse();
}

// An upstream that crashes closes its connections too, and the response would look complete. One
// that leaves may end once it has answered.
void Exchange::ConfirmEnd() {
  if (!gateway_.upstreams.IsListed(attempt_.instance)) return CompleteResponse();
  attempt_.is_confirming_end = true;
  LookAtPort(gateway_.io, gateway_.upstreams.Find(attempt_.instance)->endpoint, kConfirmEndMs,
             [self = weak_from_this()](PortState state) {
               const auto exchange = self.lock();
               if (exchange && exchange->attempt_.is_confirming_end)
                 exchange->OnEndConfirmed(state);
             });
}

void Exchange::OnEndConfirmed(PortState state) {
  if (state == PortState::kRefused) return OnBrokenOff("the upstream ended with the response");
  attempt_.is_confirming_end = false;
  CompleteResponse();
}

void Exchange::OnBrokenOff(std::string_view reason) {
  ReportBrokenConnection(attempt_);
  EndAttempt(&attempt_, AttemptOutcome::kFailed);
  AfterAttempt(Execution::kMayHaveRun, true, reason);
}

void Exchange::CompleteResponse() {
  ClearSuspicion();
  if (attempt_.response_head->status / 100 == 2) OnPartsAnswered();
  if (!attempt_.is_event_stream) return RelayResponse();
  EndAttempt(&attempt_, AttemptOutcome::kServed);
  const auto sink = sink_.lock();
  if (!sink) return;
  if (!is_response_begun_) RelayStreamHead();
  sink->SendEnd();
  Finish("served", attempt_.response_head->status);
}

void Exchange::RelayResponse() {
  const unsigned status = attempt_.response_head->status;
  const bool is_success = status / 100 == 2;
  // These statuses imply that the request did not run, which is unknown without the upstream's
  // explicit statement.
  const bool implies_not_run =
      status == kUnavailable || status == kTooManyRequests || status == kRequestTimeout;
  std::string body = std::move(attempt_.response_body);
  EndAttempt(&attempt_, status >= 500 ? AttemptOutcome::kFailed : AttemptOutcome::kServed);
  if (implies_not_run) {
    return AfterAttempt(Execution::kMayHaveRun, true, "status " + std::to_string(status));
  }
  if (is_response_begun_ && !is_success) {
    return AfterAttempt(Execution::kMayHaveRun, true, "status " + std::to_string(status));
  }
  const bool may_retry = status >= 500 && status != kGatewayTimeout;
  if (may_retry && TryRetry(Execution::kMayHaveRun, true)) return;
  const std::string reason = "status " + std::to_string(status);
  if (may_retry && GoOnWithSilent(reason)) return;
  const auto sink = sink_.lock();
  if (!sink) return;
  gateway_.first_byte_latency.Add(MonotonicMs() - request_.arrived_at);
  sink->SendResponse(status, EndToEndFields(attempt_.response_head->fields), std::move(body));
  Finish(is_success ? "served" : "passed_failure", status);
}

// Sends an error response of the gateway's own.
void Exchange::Refuse(unsigned status, std::string_view code, std::string_view sentence,
                      Execution ran, DurationMs retry_after_ms) {
  CheckInvariant(ran == Execution::kMayHaveRun || possibly_run_attempts_ == 0,
                 "a request reported as not run was sent to no upstream that may have run it");
  const auto sink = sink_.lock();
  const ErrorResponse response{status, code, sentence, ran, retry_after_ms};
  std::vector<HttpHeader> fields = FieldsOf(response);
  if (!request_id_.empty())
    fields.insert(fields.begin(), {gateway_.options.header_names.request_id, request_id_});
  if (sink) sink->SendResponse(status, std::move(fields), BodyOf(response));
  Finish(code, status);
}

void Exchange::Finish(std::string_view outcome, unsigned status, std::string_view reason) {
  if (is_finished_) return;
  is_finished_ = true;
  timer_.cancel();
  DropSilent();
  OnRetryArrived(&unsent_retry_consumed_at_);
  ReturnQuota();
  if (is_waiting_for_model_) {
    is_waiting_for_model_ = false;
    waited_ms_ += MonotonicMs() - waiting_since_;
    gateway_.RemoveWaiting(shared_from_this());
  }
  GatewayCounters& counters = gateway_.counters;
  if (outcome == "served") {
    ++counters.served;
  } else if (outcome == "passed_failure") {
    ++counters.relayed_failures;
  } else if (outcome == "broken") {
    ++counters.truncated_responses;
  } else if (outcome == "cancelled") {
    ++counters.cancelled;
  } else if (status == kBadGateway || status == kGatewayTimeout) {
    ++counters.unknown_outcomes;
  } else {
    ++counters.refused;
  }
  const TimeMs now = MonotonicMs();
  const std::int64_t version =
      routes_ ? static_cast<std::int64_t>(routes_->configuration().version) : 0;
  const std::string route = route_ != nullptr ? route_->name : "";
  const std::string model = model_ ? model_->ToString() : "";
  gateway_.log.Write(
      now, outcome == "served" ? "request_served" : "request_failed",
      {{"request", request_id_},
       {"outcome", outcome},
       {"reason", reason},
       {"status", static_cast<std::int64_t>(status)},
       {"route", route},
       {"model", model},
       {"organisation", organisation_},
       {"amount", static_cast<std::int64_t>(quota_amount_)},
       {"upstream", attempt_.instance},
       {"version", attempt_.version},
       {"resumes", ResumedRequest()},
       {"ended_by_close", attempt_.is_ended_by_close},
       {"attempts", static_cast<std::int64_t>(sent_attempts_)},
       {"events", static_cast<std::int64_t>(events_.event_count())},
       {"waited_ms", waited_ms_},
       {"target_ms", route_ != nullptr ? route_->first_byte_target_ms : 0},
       {"first_ms", response_begun_at_ > 0 ? response_begun_at_ - request_.arrived_at : -1},
       {"pause_ms", longest_pause_ms_},
       {"total_ms", now - request_.arrived_at},
       {"listing_age_ms", attempt_.listing_age_ms},
       {"configuration", version},
       {"configuration_age_ms", gateway_.ConfigurationAge(now)}});
}

}  // namespace junctionrail::internal

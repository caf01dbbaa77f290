// Admission of a request: its key and the organisation that owns it, the organisation's quota, and
// the rate limits of upstreams.
#include <utility>

#include "exchange.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

// By then the configuration has been read again, unless the store is unreachable.
constexpr DurationMs kOldConfigurationRetryMs = 1000;

// At least this, so that a choice within the same millisecond does not take the upstream again.
constexpr DurationMs kMinLimitRetryMs = 2;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

}  // namespace

// Identifies the organisation and sets the priority. Returns false if it sent an error response.
bool Exchange::ReadKey() {
  priority_ = route_->priority;
  const auto& organisations = routes_->configuration().organisations;
  if (!organisations) return true;
  const std::string& name = gateway_.options.header_names.key;
  const std::string* key = nullptr;
  for (const auto& it : request_.fields) {
    if (!EqualsNoCase(it.name, name)) continue;
    if (key != nullptr) {
      Refuse(kBadRequest, "repeated_key", "expected one header " + name + ", found more",
             Execution::kNotRun, 0);
      return false;
    }
    key = &it.value;
  }
  if (key != nullptr && !key->empty()) key_ = DigestOfKey(*key);
  const Organisation* holder = KeyOwner();
  if (holder != nullptr) {
    organisation_ = holder->name;
    priority_ = holder->priority.value_or(route_->priority);
    return true;
  }
  if (route_->is_public) {
    key_.reset();
    return true;
  }
  ++gateway_.counters.invalid_key_refusals;
  if (key_) {
    RefuseUnknown(kUnauthorized, "unknown_key", "the key is unknown");
  } else {
    RefuseUnknown(kUnauthorized, "no_key", "expected a header " + name + ", found none");
  }
  return false;
}

// By the newest configuration, which may be newer than the one at the request's arrival.
const Organisation* Exchange::KeyOwner() const {
  const auto& organisations = gateway_.routes->configuration().organisations;
  return key_ && organisations ? organisations->FindByKey(*key_) : nullptr;
}

// Reads what the request takes of its organisation's quota. Returns false if it sent an error
// response.
bool Exchange::ReadQuotaAmount() {
  const Organisation* holder = KeyOwner();
  if (holder == nullptr || !holder->quota.IsLimited()) return true;
  quota_amount_ = 1;
  if (holder->quota.unit == QuotaUnit::kRequests) return true;
  quota_amount_ = holder->quota.default_tokens;
  const std::string& name = gateway_.options.header_names.token_usage;
  const std::string* usage = FindField(request_.fields, name);
  if (usage == nullptr) return true;
  const auto tokens = ParseTokenUsage(*usage);
  if (tokens) {
    quota_amount_ = static_cast<double>(*tokens);
    return true;
  }
  Refuse(kBadRequest, "bad_token_usage",
         "expected two comma-separated whole numbers in " + name + ", found " + *usage,
         Execution::kNotRun, 0);
  return false;
}

// Checks the key before each attempt, as keys are revoked while requests wait and this process may
// not learn of it. Returns false if it ended the request.
bool Exchange::RecheckKey() {
  if (!key_) return true;
  const Organisation* holder = KeyOwner();
  const bool is_trusted = gateway_.AreKeysCurrent(MonotonicMs());
  if (holder != nullptr && is_trusted) {
    organisation_ = holder->name;
    return true;
  }
  if (route_->is_public) {
    key_.reset();
    organisation_.clear();
    return true;
  }
  const bool may_have_run = ExecutionSoFar() == Execution::kMayHaveRun;
  if (holder == nullptr) {
    ++gateway_.counters.invalid_key_refusals;
    constexpr char kReason[] = "the key has been revoked";
    if (may_have_run) {
      GiveUp(Execution::kMayHaveRun, kReason);
    } else {
      RefuseUnknown(kUnauthorized, "unknown_key", kReason);
    }
    return false;
  }
  constexpr char kReason[] = "this entry cannot confirm that the key is still valid";
  if (may_have_run) {
    ++gateway_.counters.stale_configuration_refusals;
    GiveUp(Execution::kMayHaveRun, kReason);
  } else {
    RefuseUnconfirmed(kReason);
  }
  return false;
}

// Callers do not repeat a request whose route or key does not exist. An entry that may lack a later
// configuration has them come back instead.
void Exchange::RefuseUnknown(unsigned status, std::string_view code, std::string_view sentence) {
  if (gateway_.IsConfigurationCurrent(MonotonicMs())) {
    return Refuse(status, code, sentence, Execution::kNotRun, 0);
  }
  RefuseUnconfirmed("this entry may lack a later configuration: " + std::string(sentence));
}

void Exchange::RefuseUnconfirmed(std::string_view sentence) {
  ++gateway_.counters.stale_configuration_refusals;
  Refuse(kUnavailable, "old_configuration", sentence, Execution::kNotRun, kOldConfigurationRetryMs);
}

// Takes the organisation's quota once, before the first send. Returns false while an allocator is
// asked and if it refused the request.
bool Exchange::AcquireQuota() {
  if (has_quota_ || quota_amount_ <= 0 || organisation_.empty()) return true;
  const auto verdict = gateway_.TakeQuota(shared_from_this(), organisation_, quota_amount_);
  if (verdict.decision == QuotaClient::Decision::kAdmitted) {
    has_quota_ = true;
    return true;
  }
  if (verdict.decision == QuotaClient::Decision::kPending) {
    ArmTimer();
  } else {
    RefuseOverQuota(verdict);
  }
  return false;
}

void Exchange::OnQuotaDecision(std::uint64_t ticket, const QuotaClient::Admission& verdict) {
  if (ticket == upstream_quota_ticket_) return OnUpstreamQuotaDecision(verdict);
  if (ticket == turn_ticket_) return OnTurnDecision(verdict);
  quota_ticket_ = 0;
  if (is_finished_) return;
  has_quota_ = verdict.decision == QuotaClient::Decision::kAdmitted;
  if (has_quota_) return AttemptNext();
  RefuseOverQuota(verdict);
}

// Takes from the upstream's rate limit, if it has one, before each send. Returns false while an
// allocator is asked, and if nothing is left, after another choice of an upstream.
bool Exchange::AcquireUpstreamQuota(const std::string& instance) {
  const bool has_share = upstream_quota_instance_ == instance;
  upstream_quota_instance_.clear();
  if (has_share || !gateway_.upstreams.LimitOf(instance)) return true;
  const auto verdict = gateway_.TakeUpstreamQuota(shared_from_this(), instance);
  if (verdict.decision == QuotaClient::Decision::kAdmitted) return true;
  if (verdict.decision == QuotaClient::Decision::kPending) {
    ArmTimer();
    return false;
  }
  RecordUpstreamLimitReached(instance, verdict.retry_ms);
  AttemptNext();
  return false;
}

void Exchange::OnUpstreamQuotaRequested(std::uint64_t ticket, const std::string& instance) {
  upstream_quota_ticket_ = ticket;
  upstream_quota_instance_ = instance;
}

void Exchange::OnUpstreamQuotaDecision(const QuotaClient::Admission& verdict) {
  upstream_quota_ticket_ = 0;
  if (is_finished_) return;
  if (verdict.decision != QuotaClient::Decision::kAdmitted) {
    RecordUpstreamLimitReached(std::exchange(upstream_quota_instance_, {}), verdict.retry_ms);
  }
  AttemptNext();
}

void Exchange::RecordUpstreamLimitReached(const std::string& instance, DurationMs retry_ms) {
  ++gateway_.counters.rate_limited_sends;
  UpstreamThrottle* terms = gateway_.upstreams.FindThrottle(instance);
  if (terms == nullptr) return;
  terms->OnLimitExhausted(MonotonicMs() + std::max(retry_ms, kMinLimitRetryMs));
}

void Exchange::RefuseOverQuota(const QuotaClient::Admission& verdict) {
  if (verdict.decision == QuotaClient::Decision::kNoAllocator) {
    ++gateway_.counters.quota_unavailable_refusals;
    return Refuse(kUnavailable, "quota_unknown", "the organisation's remaining quota is unknown",
                  Execution::kNotRun, verdict.retry_ms);
  }
  ++gateway_.counters.over_quota_refusals;
  Refuse(kTooManyRequests, "over_quota", "the organisation's quota is used up", Execution::kNotRun,
         verdict.retry_ms);
}

// The request will not be sent to the upstream for which an allocator is asked.
void Exchange::CancelPendingSend() {
  if (upstream_quota_ticket_ != 0)
    gateway_.CancelQuotaRequest(std::exchange(upstream_quota_ticket_, 0));
  upstream_quota_instance_.clear();
  if (turn_ticket_ != 0) gateway_.CancelQuotaRequest(std::exchange(turn_ticket_, 0));
}

// Cancels pending quota requests; returns taken quota if the request has not run.
void Exchange::ReturnQuota() {
  if (quota_ticket_ != 0) gateway_.CancelQuotaRequest(std::exchange(quota_ticket_, 0));
  CancelPendingSend();
  if (!std::exchange(has_quota_, false) || ExecutionSoFar() == Execution::kMayHaveRun) return;
  gateway_.quotas.Refund(organisation_, quota_amount_, MonotonicMs());
}

}  // namespace junctionrail::internal

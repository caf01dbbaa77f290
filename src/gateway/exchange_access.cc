// Whether a request may be sent at all: whose key it shows, whether that still holds, and what
// its organisation has left.
#include <utility>

#include "exchange.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

// By then the configuration has been read again, unless the store cannot be reached.
constexpr DurationMs kOldConfigurationRetryMs = 1000;

// So that a choice made again within the same millisecond passes the upstream over.
constexpr DurationMs kLeastLimitRetryMs = 2;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorised = 401;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

}  // namespace

// Finds who sends it. False when it answered.
bool Exchange::ReadKey() {
  priority_ = route_->priority;
  const auto& organisations = routes_->configuration().organisations;
  if (!organisations) return true;
  const std::string& name = gateway_.options.names.key;
  const std::string* key = nullptr;
  for (const auto& it : request_.fields) {
    if (!EqualsNoCase(it.name, name)) continue;
    if (key != nullptr) {
      Refuse(kBadRequest, "repeated_key", "expected one header " + name + ", found more", Ran::kNo,
             0);
      return false;
    }
    key = &it.value;
  }
  if (key != nullptr && !key->empty()) key_ = DigestOfKey(*key);
  const Organisation* holder = KeyHolder();
  if (holder != nullptr) {
    organisation_ = holder->name;
    priority_ = holder->priority.value_or(route_->priority);
    return true;
  }
  if (route_->is_public) {
    key_.reset();
    return true;
  }
  ++gateway_.counters.unknown_keys;
  if (key_) {
    Refuse(kUnauthorised, "unknown_key", "no organisation holds this key", Ran::kNo, 0);
  } else {
    Refuse(kUnauthorised, "no_key", "expected a header " + name + ", found none", Ran::kNo, 0);
  }
  return false;
}

// By the newest configuration, which may be a later one than the request began with.
const Organisation* Exchange::KeyHolder() const {
  const auto& organisations = gateway_.routes->configuration().organisations;
  return key_ && organisations ? organisations->FindByKey(*key_) : nullptr;
}

// What it takes of its organisation's quota. False when it answered.
bool Exchange::ReadAmount() {
  const Organisation* holder = KeyHolder();
  if (holder == nullptr || !holder->quota.IsLimited()) return true;
  amount_ = 1;
  if (holder->quota.unit == QuotaUnit::kRequests) return true;
  amount_ = holder->quota.default_tokens;
  const std::string& name = gateway_.options.names.token_usage;
  const std::string* usage = FindField(request_.fields, name);
  if (usage == nullptr) return true;
  const auto tokens = ParseTokenUsage(*usage);
  if (tokens) {
    amount_ = static_cast<double>(*tokens);
    return true;
  }
  Refuse(kBadRequest, "bad_token_usage",
         "expected two whole numbers and a comma in " + name + ", found " + *usage, Ran::kNo, 0);
  return false;
}

// Looked at before each attempt: keys are taken away while requests wait, and this process
// may not hear of it. False when it answered.
bool Exchange::MayUseKey() {
  if (!key_) return true;
  const Organisation* holder = KeyHolder();
  const bool is_trusted = gateway_.MayTrustKeys(MonotonicMs());
  if (holder != nullptr && is_trusted) {
    organisation_ = holder->name;
    return true;
  }
  if (route_->is_public) {
    key_.reset();
    organisation_.clear();
    return true;
  }
  const bool may_have_run = SoFar() == Ran::kMaybe;
  if (holder == nullptr) {
    ++gateway_.counters.unknown_keys;
    constexpr char kReason[] = "no organisation holds this key any more";
    if (may_have_run) {
      GiveUp(Ran::kMaybe, kReason);
    } else {
      Refuse(kUnauthorised, "unknown_key", kReason, Ran::kNo, 0);
    }
    return false;
  }
  ++gateway_.counters.old_words;
  constexpr char kReason[] = "it is not known here whether the key still holds";
  if (may_have_run) {
    GiveUp(Ran::kMaybe, kReason);
  } else {
    Refuse(kUnavailable, "old_configuration", kReason, Ran::kNo, kOldConfigurationRetryMs);
  }
  return false;
}

// Taken once, when it is first sent. False while it is asked for, and when it answered.
bool Exchange::MayUseQuota() {
  if (has_quota_ || amount_ <= 0 || organisation_.empty()) return true;
  const auto verdict = gateway_.TakeQuota(shared_from_this(), organisation_, amount_);
  if (verdict.decision == QuotaClient::Decision::kAdmitted) {
    has_quota_ = true;
    return true;
  }
  if (verdict.decision == QuotaClient::Decision::kPending) {
    Arm();
  } else {
    RefuseOverQuota(verdict);
  }
  return false;
}

void Exchange::OnQuota(std::uint64_t ticket, const QuotaClient::Admission& verdict) {
  if (ticket == share_ticket_) return OnShare(verdict);
  quota_ticket_ = 0;
  if (is_finished_) return;
  has_quota_ = verdict.decision == QuotaClient::Decision::kAdmitted;
  if (has_quota_) return Attempt();
  RefuseOverQuota(verdict);
}

// Taken at each send to an upstream that names a limit. False while it is asked for, and when
// there is none and another upstream was chosen.
bool Exchange::MayUseShare(const std::string& instance) {
  const bool has_share = share_of_ == instance;
  share_of_.clear();
  if (has_share || !gateway_.upstreams.LimitOf(instance)) return true;
  const auto verdict = gateway_.TakeOfUpstream(shared_from_this(), instance);
  if (verdict.decision == QuotaClient::Decision::kAdmitted) return true;
  if (verdict.decision == QuotaClient::Decision::kPending) {
    Arm();
    return false;
  }
  NoteLimitReached(instance, verdict.retry_ms);
  Attempt();
  return false;
}

void Exchange::OnShareAsked(std::uint64_t ticket, const std::string& instance) {
  share_ticket_ = ticket;
  share_of_ = instance;
}

void Exchange::OnShare(const QuotaClient::Admission& verdict) {
  share_ticket_ = 0;
  if (is_finished_) return;
  if (verdict.decision != QuotaClient::Decision::kAdmitted) {
    NoteLimitReached(std::exchange(share_of_, {}), verdict.retry_ms);
  }
  Attempt();
}

void Exchange::NoteLimitReached(const std::string& instance, DurationMs retry_ms) {
  ++gateway_.counters.held_by_limits;
  UpstreamTerms* terms = gateway_.upstreams.FindTerms(instance);
  if (terms == nullptr) return;
  terms->OnLimitReached(MonotonicMs() + std::max(retry_ms, kLeastLimitRetryMs));
}

void Exchange::RefuseOverQuota(const QuotaClient::Admission& verdict) {
  if (verdict.decision == QuotaClient::Decision::kNoAllocator) {
    ++gateway_.counters.without_giver;
    return Refuse(kUnavailable, "quota_unknown", "nobody can say what the organisation has left",
                  Ran::kNo, verdict.retry_ms);
  }
  ++gateway_.counters.over_quota;
  Refuse(kTooManyRequests, "over_quota", "the organisation has used up what it may send", Ran::kNo,
         verdict.retry_ms);
}

// Of a request that has not run.
void Exchange::GiveQuotaBack() {
  if (quota_ticket_ != 0) gateway_.CancelQuota(std::exchange(quota_ticket_, 0));
  if (share_ticket_ != 0) gateway_.CancelQuota(std::exchange(share_ticket_, 0));
  if (!std::exchange(has_quota_, false) || SoFar() == Ran::kMaybe) return;
  gateway_.quotas.Refund(organisation_, amount_, MonotonicMs());
}

}  // namespace junctionrail::internal

#include <algorithm>
#include <cmath>
#include <utility>

#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

// A round trip within a region takes a few ms; a lost packet adds 200 ms.
constexpr DurationMs kAllocatorTimeoutMs = 150;
// After a timeout, requests do not wait for the allocator for this long.
constexpr DurationMs kAllocatorBackoffMs = 300;
// The allocator counts an advance as used, so the credit from it expires soon after the grant.
constexpr DurationMs kCreditTtlMs = 250;
// Interval at which registrations are renewed.
constexpr DurationMs kRegistrationIntervalMs = 1000;
// Maximum number of agents used as allocators, which bounds the number of registration messages.
constexpr std::size_t kMaxAllocators = 32;
constexpr std::string_view kAllocatorHashKey = "quota givers";
constexpr DurationMs kNoAllocatorRetryMs = 1000;
constexpr std::size_t kMaxAmountsPerRequest = 256;
constexpr double kMsPerS = 1000;
// How long the slot is in which an entry may send its local share of an upstream's limit. All
// entries together can then send what accrues in this time at once, besides the rate.
constexpr DurationMs kLocalSlotMs = 400;
constexpr double kHashRange = 18446744073709551616.0;  // 2^64.
// Minimum number of entries assumed where there are no agents to count them.
constexpr int kDefaultEntryCount = 8;
// Lower bound for upstream limits: some requests must still be sent, as only the response to one
// shows that an upstream accepts more again.
constexpr double kMinUpstreamRatePerS = 0.05;

// Contains spaces, which names of organisations do not. A changed limit gets a new account, as
// messages about the previous limit may still be in flight.
std::string UpstreamAccount(const std::string& instance, const RateLimit& limit) {
  return "upstream " + instance + " " + std::to_string(limit.per_s) + " " +
         std::to_string(limit.burst);
}

}  // namespace

void QuotaClient::SetOrganisations(const std::vector<Organisation>& organisations,
                                   std::uint64_t version, TimeMs now) {
  version_ = version;
  is_registration_changed_ = true;
  std::set<std::string> limited;
  for (const auto& it : organisations) {
    if (!it.quota.IsLimited()) continue;
    limited.insert(it.name);
    const auto [found, is_new] = accounts_.emplace(it.name, Account());
    found->second.limit = {it.name, it.quota.rate_per_s, it.quota.burst};
    if (is_new) ChooseAllocator(it.name, &found->second, now);
  }
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    // An account with pending requests is removed with a later configuration.
    const bool is_removed = it->second.upstream.empty() && limited.count(it->first) == 0 &&
                            it->second.requested.empty() && it->second.queued.empty();
    it = is_removed ? accounts_.erase(it) : std::next(it);
  }
}

std::vector<QuotaClient::Outcome> QuotaClient::SetUpstreamLimit(const std::string& instance,
                                                                std::optional<RateLimit> limit,
                                                                TimeMs now) {
  std::vector<Outcome> outcomes;
  const auto former = upstream_accounts_.find(instance);
  if (former != upstream_accounts_.end()) {
    const Account& account = accounts_[former->second];
    for (const auto* queued : {&account.requested, &account.queued}) {
      for (const auto& it : *queued) {
        // Refused so that they are submitted again under the new limit.
        const Admission admission = limit ? Admission{Decision::kOverQuota, 0} : Admission{};
        if (it.ticket != 0) outcomes.push_back({it.ticket, admission});
      }
    }
    RemoveAccount(former->second);
    upstream_accounts_.erase(former);
  }
  if (!limit) return outcomes;
  const std::string name = UpstreamAccount(instance, *limit);
  upstream_accounts_[instance] = name;
  Account& account = accounts_[name];
  account.upstream = instance;
  account.limit = {name, std::max(limit->per_s, kMinUpstreamRatePerS), limit->burst};
  account.local_since = now;
  ChooseAllocator(name, &account, now);
  is_registration_changed_ = true;
  return outcomes;
}

void QuotaClient::RemoveAccount(const std::string& account) {
  accounts_.erase(account);
  is_registration_changed_ = true;
}

void QuotaClient::RetainLimitedUpstreams(
    const std::function<bool(const std::string& instance)>& has_limit) {
  for (auto it = upstream_accounts_.begin(); it != upstream_accounts_.end();) {
    const Account& account = accounts_[it->second];
    const bool is_kept =
        has_limit(it->first) || !account.requested.empty() || !account.queued.empty();
    if (!is_kept) RemoveAccount(it->second);
    it = is_kept ? std::next(it) : upstream_accounts_.erase(it);
  }
}

QuotaClient::Admission QuotaClient::AcquireForUpstream(const std::string& instance,
                                                       std::uint64_t ticket, TimeMs now) {
  const auto it = upstream_accounts_.find(instance);
  return it == upstream_accounts_.end() ? Admission{} : Acquire(it->second, 1, ticket, now);
}

void QuotaClient::SetAllocators(std::vector<Allocator> allocators, TimeMs now) {
  std::vector<std::pair<std::uint64_t, std::size_t>> scores;
  for (std::size_t n = 0; n < allocators.size(); ++n) {
    scores.emplace_back(RendezvousScore(kAllocatorHashKey, allocators[n].address), n);
  }
  std::sort(scores.rbegin(), scores.rend());
  if (scores.size() > kMaxAllocators) scores.resize(kMaxAllocators);
  std::vector<Allocator> chosen;
  for (const auto& [score, n] : scores) chosen.push_back(std::move(allocators[n]));
  const bool is_same =
      std::equal(chosen.begin(), chosen.end(), allocators_.begin(), allocators_.end(),
                 [](const Allocator& a, const Allocator& b) { return a.instance == b.instance; });
  if (is_same) return;
  allocators_ = std::move(chosen);
  is_registration_changed_ = true;
  for (auto& [organisation, account] : accounts_) ChooseAllocator(organisation, &account, now);
}

// Entries that reach the same agents choose the same allocator.
void QuotaClient::ChooseAllocator(const std::string& organisation, Account* account, TimeMs now) {
  Allocator best;
  std::uint64_t best_score = 0;
  for (const auto& it : allocators_) {
    const std::uint64_t score = RendezvousScore(organisation, it.address);
    if (best.instance.empty() || score > best_score) {
      best = it;
      best_score = score;
    }
  }
  if (best.instance == account->allocator.instance) return;
  account->allocator = std::move(best);
  account->allocator_silent_until = 0;
  account->local_level = 0;
  account->local_refilled_at = now;
  // Outstanding requests are sent again to the new allocator.
  account->queued.insert(account->queued.begin(), account->requested.begin(),
                         account->requested.end());
  account->requested.clear();
  account->request_id = 0;
}

void QuotaClient::OnLinkClosed(const std::string& instance) {
  if (sent_registrations_.erase(instance) > 0) is_registration_changed_ = true;
}

QuotaClient::Admission QuotaClient::CountAdmission(Account* account, double amount,
                                                   const Admission& admission) {
  if (admission.decision == Decision::kAdmitted) {
    ++account->admitted;
    account->admitted_amount += amount;
  } else {
    ++account->refused;
  }
  return admission;
}

QuotaClient::Admission QuotaClient::Acquire(const std::string& organisation, double amount,
                                            std::uint64_t ticket, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return {};
  Account& account = it->second;
  if (now > account.credit_expires_at) account.credit = 0;
  if (account.credit >= amount && account.queued.empty()) {
    account.credit -= amount;
    return CountAdmission(&account, amount, {});
  }
  if (now < account.over_quota_until) {
    return CountAdmission(&account, amount, {Decision::kOverQuota, account.over_quota_until - now});
  }
  const bool has_allocator =
      !account.allocator.instance.empty() && now >= account.allocator_silent_until;
  if (!has_allocator)
    return CountAdmission(&account, amount, AcquireLocally(&account, amount, now));
  account.queued.push_back({ticket, amount});
  return {Decision::kPending, 0};
}

// Each entry may use an equal share of the limit once its registration with the last allocator has
// expired; from then on allocators withhold that share until they drop the entry, which has then
// been silent for kForgetAfterMs. An entry that has had no allocator since its start does not know
// how many entries share the limit. It has no share of an organisation's limit, and for the limit
// of an upstream it assumes at least kDefaultEntryCount entries.
QuotaClient::Admission QuotaClient::AcquireLocally(Account* account, double amount,
                                                   TimeMs now) const {
  const Admission refused{Decision::kNoAllocator, kNoAllocatorRetryMs};
  const bool was_registered = account->registered_at != 0;
  const TimeMs local_begin_at =
      was_registered ? account->registered_at + kRegistrationTtlMs + kAllocatorTimeoutMs
                     : account->local_since;
  const bool is_upstream = !account->upstream.empty();
  const int counted = entry_count_.value();
  const bool has_local_share = account->allocator.instance.empty() && local_begin_at != 0 &&
                               now > local_begin_at && (is_upstream || counted > 0);
  if (!has_local_share) return refused;
  const int entry_count =
      was_registered && counted > 0 ? counted : std::max(counted, kDefaultEntryCount);
  const double rate_per_s = account->limit.rate_per_s / entry_count;
  if (is_upstream) {
    const bool is_open = IsLocalSlotOpen(*account, rate_per_s, local_begin_at, now);
    if (is_open) account->local_used_at = now;
    return is_open ? Admission() : refused;
  }
  const auto elapsed_ms =
      static_cast<double>(now - std::max(account->local_refilled_at, local_begin_at));
  account->local_refilled_at = now;
  const double capacity = std::max(amount, account->limit.burst / entry_count);
  account->local_level =
      std::min(capacity, account->local_level + rate_per_s * elapsed_ms / kMsPerS);
  if (account->local_level < amount) return refused;
  account->local_level -= amount;
  return {};
}

// A share of an upstream's limit is less than one request a second for most numbers of entries.
// If each entry could save it up, all of them could send one request at the same moment, however
// many they are. Each may therefore send one only in its own slot of each period, and the slots of
// all entries are spread over the period.
bool QuotaClient::IsLocalSlotOpen(const Account& account, double rate_per_s, TimeMs begin_at,
                                  TimeMs now) const {
  const double period_ms = kMsPerS / rate_per_s;
  const auto hash = RendezvousScore(account.limit.organisation, entry_);
  const double phase_ms = static_cast<double>(hash) / kHashRange * period_ms;
  const double position_ms = static_cast<double>(now - begin_at) + phase_ms;
  const double into_slot_ms = std::fmod(position_ms, period_ms);
  const double slot_begin_at = static_cast<double>(now) - into_slot_ms;
  return position_ms >= period_ms && into_slot_ms <= static_cast<double>(kLocalSlotMs) &&
         static_cast<double>(account.local_used_at) < slot_begin_at;
}

std::optional<QuotaClient::Admission> QuotaClient::RefuseIfOverQuota(
    const std::string& organisation, double amount, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end() || now >= it->second.over_quota_until) return std::nullopt;
  return CountAdmission(&it->second, amount,
                        {Decision::kOverQuota, it->second.over_quota_until - now});
}

void QuotaClient::Cancel(std::uint64_t ticket) {
  for (auto& [organisation, account] : accounts_) {
    auto& queued = account.queued;
    const auto has_ticket = [ticket](const PendingRequest& it) { return it.ticket == ticket; };
    queued.erase(std::remove_if(queued.begin(), queued.end(), has_ticket), queued.end());
    const auto requested =
        std::find_if(account.requested.begin(), account.requested.end(), has_ticket);
    // Its grant becomes credit for other requests.
    if (requested != account.requested.end()) requested->ticket = 0;
  }
}

void QuotaClient::Refund(const std::string& organisation, double amount, TimeMs now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  if (now > account.credit_expires_at) account.credit = 0;
  account.credit += amount;
  account.credit_expires_at = now + kCreditTtlMs;
  account.admitted_amount -= amount;
  if (account.admitted > 0) --account.admitted;
}

std::vector<QuotaClient::Outcome> QuotaClient::OnGrant(const QuotaGrant& grant, TimeMs now) {
  std::vector<Outcome> outcomes;
  for (const auto& allocation : grant.allocations) {
    const auto it = accounts_.find(allocation.organisation);
    // A late response is ignored; the allocator counts its grants as used.
    if (it == accounts_.end() || it->second.request_id != grant.id) continue;
    Account& account = it->second;
    account.request_id = 0;
    if (now > account.credit_expires_at) account.credit = 0;
    account.credit += allocation.advance;
    account.credit_expires_at = now + kCreditTtlMs;
    const auto requested = std::exchange(account.requested, {});
    for (std::size_t n = 0; n < requested.size(); ++n) {
      const bool is_granted = n < allocation.granted;
      if (requested[n].ticket == 0) {
        if (is_granted) account.credit += requested[n].amount;
        continue;
      }
      const Admission admission =
          is_granted ? Admission{} : Admission{Decision::kOverQuota, allocation.retry_ms};
      outcomes.push_back(
          {requested[n].ticket, CountAdmission(&account, requested[n].amount, admission)});
    }
    if (allocation.granted < requested.size()) account.over_quota_until = now + allocation.retry_ms;
  }
  return outcomes;
}

std::vector<QuotaClient::Outcome> QuotaClient::Expire(TimeMs now) {
  std::vector<Outcome> outcomes;
  for (auto& [organisation, account] : accounts_) {
    const bool is_overdue =
        account.request_id != 0 && now - account.requested_at >= kAllocatorTimeoutMs;
    const bool has_no_allocator = account.allocator.instance.empty() && !account.queued.empty();
    if (!is_overdue && !has_no_allocator) continue;
    account.request_id = 0;
    account.allocator_silent_until = now + kAllocatorBackoffMs;
    auto overdue = std::exchange(account.requested, {});
    const auto queued = std::exchange(account.queued, {});
    overdue.insert(overdue.end(), queued.begin(), queued.end());
    for (const auto& it : overdue) {
      if (it.ticket == 0) continue;
      const Admission admission = AcquireLocally(&account, it.amount, now);
      outcomes.push_back({it.ticket, CountAdmission(&account, it.amount, admission)});
    }
  }
  return outcomes;
}

TimeMs QuotaClient::NextExpiryAt() const {
  TimeMs next = 0;
  for (const auto& [organisation, account] : accounts_) {
    if (account.request_id == 0) continue;
    const TimeMs due = account.requested_at + kAllocatorTimeoutMs;
    next = next == 0 ? due : std::min(next, due);
  }
  return next;
}

std::map<std::string, QuotaRegistration> QuotaClient::Registrations() const {
  std::map<std::string, QuotaRegistration> registrations;
  for (const auto& [organisation, account] : accounts_) {
    if (account.allocator.instance.empty()) continue;
    QuotaRegistration& it = registrations[account.allocator.instance];
    it.version = version_;
    it.limits.push_back(account.limit);
  }
  return registrations;
}

void QuotaClient::AddRegistrations(std::map<std::string, QuotaRequest>* requests, TimeMs now) {
  const bool is_due = now >= next_registration_at_;
  if (!is_registration_changed_ && !is_due) return;
  is_registration_changed_ = false;
  if (is_due) next_registration_at_ = now + kRegistrationIntervalMs;
  auto registrations = Registrations();
  for (auto it = sent_registrations_.begin(); it != sent_registrations_.end();) {
    const bool is_kept = registrations.count(it->first) > 0;
    if (!is_kept) (*requests)[it->first].registration.emplace();
    it = is_kept ? std::next(it) : sent_registrations_.erase(it);
  }
  for (auto& [instance, registration] : registrations) {
    SentRegistration& sent = sent_registrations_[instance];
    if (!is_due && sent.sent_at != 0 && sent.registration == registration) continue;
    sent = {registration, now};
    for (const auto& it : registration.limits) accounts_[it.organisation].registered_at = now;
    (*requests)[instance].registration = std::move(registration);
  }
}

void QuotaClient::AddDemands(std::map<std::string, QuotaRequest>* requests, TimeMs now) {
  for (auto& [organisation, account] : accounts_) {
    const bool should_request =
        !account.queued.empty() && account.request_id == 0 && !account.allocator.instance.empty();
    if (!should_request) continue;
    QuotaRequest& request = (*requests)[account.allocator.instance];
    if (request.id == 0) request.id = ++last_request_id_;
    QuotaDemand demand;
    demand.organisation = organisation;
    while (!account.queued.empty() && account.requested.size() < kMaxAmountsPerRequest) {
      demand.amounts.push_back(account.queued.front().amount);
      account.requested.push_back(account.queued.front());
      account.queued.pop_front();
    }
    request.demands.push_back(std::move(demand));
    account.request_id = request.id;
    account.requested_at = now;
  }
}

std::vector<QuotaClient::Message> QuotaClient::TakeMessages(TimeMs now) {
  std::map<std::string, QuotaRequest> requests;
  AddRegistrations(&requests, now);
  AddDemands(&requests, now);
  std::vector<Message> messages;
  for (auto& [instance, request] : requests) {
    request.entry = entry_;
    request.entry_count = entry_count_.value();
    messages.push_back({instance, std::move(request)});
  }
  return messages;
}

std::vector<QuotaClient::Usage> QuotaClient::Usages(TimeMs now) const {
  std::vector<Usage> usages;
  for (const auto& [organisation, account] : accounts_) {
    Usage usage;
    usage.limit = account.limit;
    usage.admitted = account.admitted;
    usage.refused = account.refused;
    usage.admitted_amount = account.admitted_amount;
    usage.credit = now > account.credit_expires_at ? 0 : account.credit;
    usage.allocator = account.allocator.address;
    usage.upstream = account.upstream;
    usage.is_allocator_silent = now < account.allocator_silent_until;
    usages.push_back(std::move(usage));
  }
  return usages;
}

}  // namespace junctionrail

// Organisations (tenants): API keys, quotas that apply across all entries, and the freshness of
// the configuration. This layer is free of I/O: callers pass the current time and transport the
// messages.
#ifndef JUNCTIONRAIL_TENANCY_H_
#define JUNCTIONRAIL_TENANCY_H_

#include <cstdint>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/places.h"
#include "junctionrail/sha256.h"

namespace junctionrail {

// --- API keys ---

// SHA-256 digest of an API key; the key itself is not stored.
using KeyDigest = Sha256Digest;
KeyDigest DigestOfKey(std::string_view key);

enum class QuotaUnit { kRequests, kTokens };

// Rate limit of an organisation, shared by all entries.
struct Quota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_s = 0;      // 0 means unlimited.
  double burst = 0;           // Capacity of the token bucket.
  double default_tokens = 1;  // Cost of a request that does not state its token usage.

  bool IsLimited() const { return rate_per_s > 0; }
};

struct Organisation {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<int> priority;  // Overrides the priority of the route.
  Quota quota;
  AllowedRegions allowed_regions;  // Apply together with those of the route.
};

// The organisations of one configuration.
class OrganisationTable {
 public:
  OrganisationTable() = default;
  explicit OrganisationTable(std::vector<Organisation> organisations);

  // Returns nullptr if no organisation has the key.
  const Organisation* FindByKey(const KeyDigest& key) const;
  const std::vector<Organisation>& all() const { return organisations_; }

 private:
  // The leading bytes of a SHA-256 digest are uniformly distributed and serve as the hash.
  struct KeyDigestHash {
    std::size_t operator()(const KeyDigest& key) const {
      std::size_t hash = 0;
      std::memcpy(&hash, key.data(), sizeof(hash));
      return hash;
    }
  };

  std::vector<Organisation> organisations_;
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> by_key_;
};

// --- Configuration freshness ---

// Tracks the version of the active configuration and the latest time at which that version is
// known to have been the newest one.
class ConfigurationFreshness {
 public:
  // Activates `version`. The confirmation time stays as it is.
  void OnApplied(std::uint64_t version);
  // Records that `version` was reported as the newest in the response to a query sent at `as_of`;
  // later writes may be missing from that response. Returns false if `version` is newer than the
  // active one, which has to be read first.
  bool OnConfirmed(std::uint64_t version, TimeMs as_of);

  std::uint64_t version() const { return version_; }
  // Time of the last confirmation; 0 if there was none.
  TimeMs as_of() const { return as_of_; }

 private:
  std::uint64_t version_ = 0;
  TimeMs as_of_ = 0;
};

// --- Quotas ---
//
// Each limit is enforced by one agent, its allocator, which keeps a token bucket with the rate and
// burst of the limit. Entries request an allocation from it for each request that they send.
// Entries choose the allocator by rendezvous hashing. While they disagree on it, each allocator
// hands out only the fraction of the rate that corresponds to the share of its registered entries
// among all entries that it knows. An entry counts towards a new allocator only after its
// registration with any former one has expired, so the sum of all allocations stays within the
// limit.

// Time after which the registration of an entry with an allocator expires unless renewed.
constexpr DurationMs kRegistrationTtlMs = 2500;

// Limit of an organisation or upstream, taken from the newest known configuration.
struct QuotaLimit {
  std::string organisation;
  double rate_per_s = 0;
  double burst = 0;

  bool operator==(const QuotaLimit& other) const {
    return organisation == other.organisation && rate_per_s == other.rate_per_s &&
           burst == other.burst;
  }
};

// Rate limit of an upstream, shared by all entries.
struct RateLimit {
  double per_s = 0;
  double burst = 1;  // Capacity of the token bucket.

  bool operator==(const RateLimit& other) const {
    return per_s == other.per_s && burst == other.burst;
  }
  bool operator!=(const RateLimit& other) const { return !(*this == other); }
};

// All limits for which an entry has chosen an agent as allocator.
struct QuotaRegistration {
  std::uint64_t version = 0;  // Configuration version.
  std::vector<QuotaLimit> limits;

  bool operator==(const QuotaRegistration& other) const {
    return version == other.version && limits == other.limits;
  }
};

// Amounts needed by the queued requests of one organisation, in order of arrival.
struct QuotaDemand {
  std::string organisation;
  std::vector<double> amounts;
};

// Message from an entry to an allocator.
struct QuotaRequest {
  std::string entry;
  std::uint64_t id = 0;
  int entry_count = 0;  // Number of entries that share each limit, as known to the sender.
  std::vector<QuotaDemand> demands;
  std::optional<QuotaRegistration> registration;  // Unset if unchanged.
};

struct QuotaAllocation {
  std::string organisation;
  std::size_t granted = 0;  // Number of amounts granted, counted from the first.
  double advance = 0;       // Additional amount for future requests.
  DurationMs retry_ms = 0;  // Time until the first refused amount could be granted.
};

struct QuotaGrant {
  std::uint64_t id = 0;  // Id of the request.
  std::vector<QuotaAllocation> allocations;
};

// Each message has a distinct prefix, by which Is...() recognizes it.
std::string EncodeQuotaRequest(const QuotaRequest& request);
bool IsQuotaRequest(std::string_view bytes);
bool DecodeQuotaRequest(std::string_view bytes, QuotaRequest* request);
std::string EncodeQuotaGrant(const QuotaGrant& grant);
bool IsQuotaGrant(std::string_view bytes);
bool DecodeQuotaGrant(std::string_view bytes, QuotaGrant* grant);

// Allocator side of the protocol, run by an agent.
class QuotaAllocator {
 public:
  // Called for each message from the entry, which sends one at least every
  // `heartbeat_interval_ms`.
  void OnHeartbeat(const std::string& entry, DurationMs heartbeat_interval_ms, TimeMs now);
  // Called when the link to the entry closes; the entry may still be running.
  void OnLinkClosed(const std::string& entry, TimeMs now);
  QuotaGrant OnRequest(const QuotaRequest& request, TimeMs now);
  // Must be called at least once a second: buckets are not refilled for longer gaps.
  void Tick(TimeMs now);
  // A change since the last call in the fraction of a limit that this allocator may hand out.
  struct FractionChange {
    std::string organisation;
    int registered_count = 0;  // Entries registered with this allocator.
    int entry_count = 0;       // All known entries.
    double fraction = 0;
  };
  std::vector<FractionChange> TakeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Entry {
    TimeMs last_heartbeat_at = 0;
    DurationMs heartbeat_interval_ms = 0;
    int known_entries = 0;     // Number of entries known to this entry.
    TimeMs registered_at = 0;  // Time of the last registration.
    // Registered organisations, with the time since when.
    std::map<std::string, TimeMs> organisations;

    bool IsLive(TimeMs now) const;
    bool IsRegistered(TimeMs now) const { return now - registered_at <= kRegistrationTtlMs; }
  };
  // Number of entries registered for one organisation.
  struct RegistrationCounts {
    int total = 0;
    int exclusive = 0;  // Entries whose registration elsewhere has expired.
  };
  struct Bucket {
    std::uint64_t version = 0;
    QuotaLimit limit;
    double level = 0;          // Available amount; negative after an overdraft.
    TimeMs refilled_at = 0;    // Time of the last refill.
    int registered_count = 0;  // Entries registered for this limit.
    double fraction = 0;       // Fraction of the limit that this allocator may hand out.

    double Capacity() const { return limit.burst * fraction; }
  };

  void Register(Entry* entry, const QuotaRegistration& registration, TimeMs now);
  std::map<std::string, RegistrationCounts> CountRegistrations(TimeMs now) const;
  void MarkExclusive(const std::string& organisation, TimeMs now);
  QuotaAllocation Allocate(const QuotaDemand& demand, TimeMs now);
  // Recomputes the fractions from the entries that are live and registered.
  void Recount(TimeMs now);
  static void Refill(Bucket* bucket, TimeMs now);

  std::map<std::string, Entry> entries_;
  std::map<std::string, Bucket> buckets_;  // By organisation.
  std::vector<FractionChange> changes_;
  TimeMs recounted_at_ = 0;
};

// The number of entries that share limits of the fleet, from the counts of the agents in reach. An
// entry that is cut off from agents, or whose agents have just started, is told lower counts, or
// none, although the other entries are still running.
class EntryCount {
 public:
  // `counted`: the highest count of an agent in reach; 0: none is in reach.
  void Update(int counted, TimeMs now);
  // 0: unknown.
  int value() const { return value_; }

 private:
  int value_ = 0;
  TimeMs counted_at_ = 0;  // When an agent last counted as many.
};

// Client side of the protocol, run by an entry.
class QuotaClient {
 public:
  enum class Decision {
    kAdmitted,
    kPending,      // The result follows as an Outcome.
    kOverQuota,    // The quota is exhausted.
    kNoAllocator,  // No allocator responds and the local share is exhausted.
  };
  struct Admission {
    Decision decision = Decision::kAdmitted;
    DurationMs retry_ms = 0;  // For refusals, when to retry.
  };
  struct Outcome {
    std::uint64_t ticket = 0;
    Admission admission;
  };
  struct Allocator {
    std::string instance;  // Used to address it.
    std::string address;   // Used to choose it; stable across restarts of the agent.
  };
  struct Message {
    std::string instance;
    QuotaRequest request;
  };
  // Statistics of one limit at this entry.
  struct Usage {
    QuotaLimit limit;
    std::uint64_t admitted = 0;        // Number of requests.
    std::uint64_t refused = 0;         // Number of requests, for either reason.
    double admitted_amount = 0;        // Total amount of the admitted requests.
    double credit = 0;                 // Unused advance.
    std::string allocator;             // Address; empty if there is none.
    std::string upstream;              // Set if it is the limit of an upstream.
    bool is_allocator_silent = false;  // A recent request timed out.
  };

  explicit QuotaClient(std::string entry) : entry_(std::move(entry)) {}

  void SetOrganisations(const std::vector<Organisation>& organisations, std::uint64_t version,
                        TimeMs now);
  // Sets the agents that are reachable now.
  void SetAllocators(std::vector<Allocator> allocators, TimeMs now);
  // Sets the rate limit of an upstream across all entries, or removes it with nullopt, which
  // admits the queued requests. When the limit changes, queued requests are refused and have to be
  // submitted again.
  std::vector<Outcome> SetUpstreamLimit(const std::string& instance, std::optional<RateLimit> limit,
                                        TimeMs now);
  // Removes idle upstream limits for which `has_limit` returns false.
  void RetainLimitedUpstreams(const std::function<bool(const std::string& instance)>& has_limit);
  // Like Acquire(), for one request against the limit of an upstream.
  Admission AcquireForUpstream(const std::string& instance, std::uint64_t ticket, TimeMs now);
  // See EntryCount.
  void SetEntryCount(int counted, TimeMs now) { entry_count_.Update(counted, now); }

  Admission Acquire(const std::string& organisation, double amount, std::uint64_t ticket,
                    TimeMs now);
  // Returns a refusal if the quota is known to be exhausted, so that the request does not wait for
  // other resources first.
  std::optional<Admission> RefuseIfOverQuota(const std::string& organisation, double amount,
                                             TimeMs now);
  // Called when the link to an allocator closes, which may have lost the registration.
  void OnLinkClosed(const std::string& instance);
  // Cancels a pending request.
  void Cancel(std::uint64_t ticket);
  // Returns the amount of an admitted request that did not run.
  void Refund(const std::string& organisation, double amount, TimeMs now);

  std::vector<Outcome> OnGrant(const QuotaGrant& grant, TimeMs now);
  // Decides locally on requests whose allocator has not responded in time.
  std::vector<Outcome> Expire(TimeMs now);
  // Time of the next Expire() that has work to do; 0 if no request is pending.
  TimeMs NextExpiryAt() const;
  // Returns the messages that are due.
  std::vector<Message> TakeMessages(TimeMs now);

  std::vector<Usage> Usages(TimeMs now) const;

 private:
  struct PendingRequest {
    std::uint64_t ticket = 0;
    double amount = 0;
  };
  struct Account {
    QuotaLimit limit;
    Allocator allocator;  // The instance is empty if there is none.
    double credit = 0;    // Unused advance.
    TimeMs credit_expires_at = 0;
    TimeMs over_quota_until = 0;
    TimeMs allocator_silent_until = 0;
    double local_level = 0;        // Local share, used while there is no allocator.
    TimeMs local_refilled_at = 0;  // Time of the last local refill.
    TimeMs local_used_at = 0;      // Of an upstream's limit, when the last local share was used.
    TimeMs registered_at = 0;      // Time of the last registration with an allocator.
    // Time from which the local share may be used without a prior registration; 0 for never.
    TimeMs local_since = 0;
    std::string upstream;          // Set if it is the limit of an upstream.
    std::uint64_t request_id = 0;  // Id of the outstanding request; 0 if there is none.
    TimeMs requested_at = 0;
    std::deque<PendingRequest> requested;  // Part of the outstanding request.
    std::deque<PendingRequest> queued;     // Waiting for the next request.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double admitted_amount = 0;
  };
  struct SentRegistration {
    QuotaRegistration registration;
    TimeMs sent_at = 0;
  };

  void RemoveAccount(const std::string& account);
  Admission AcquireLocally(Account* account, double amount, TimeMs now) const;
  bool IsLocalSlotOpen(const Account& account, double rate_per_s, TimeMs begin_at,
                       TimeMs now) const;
  static Admission CountAdmission(Account* account, double amount, const Admission& admission);
  void ChooseAllocator(const std::string& organisation, Account* account, TimeMs now);
  std::map<std::string, QuotaRegistration> Registrations() const;
  void AddRegistrations(std::map<std::string, QuotaRequest>* requests, TimeMs now);
  void AddDemands(std::map<std::string, QuotaRequest>* requests, TimeMs now);

  std::string entry_;
  std::uint64_t version_ = 0;
  EntryCount entry_count_;
  std::vector<Allocator> allocators_;
  std::map<std::string, Account> accounts_;               // By organisation or upstream limit.
  std::map<std::string, std::string> upstream_accounts_;  // Names of accounts, by instance.
  std::map<std::string, SentRegistration>
      sent_registrations_;                // Last sent registration, by instance.
  bool is_registration_changed_ = false;  // A registration has to be sent.
  TimeMs next_registration_at_ = 0;       // Time of the next periodic registration.
  std::uint64_t last_request_id_ = 0;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_TENANCY_H_

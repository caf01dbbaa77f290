// Organisations: by whose key a caller is known, how much each may send over all
// entries together, and up to when a configuration is known to be the newest.
// Decisions only; the time is handed in and nothing here opens a socket.
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
#include "junctionrail/sha256.h"

namespace junctionrail {

// --- Keys ---

// Stands for a key wherever the key itself is not kept.
using KeyDigest = Sha256Digest;
KeyDigest DigestOfKey(std::string_view key);

enum class QuotaUnit { kRequests, kTokens };

// What an organisation may send over all entries together.
struct Quota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_s = 0;      // 0: no limit.
  double burst = 0;           // So much at once, beyond the rate.
  double default_tokens = 1;  // What a request counts for that names no tokens.

  bool IsLimited() const { return rate_per_s > 0; }
};

struct Organisation {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<int> priority;  // Goes before that of a route.
  Quota quota;
};

// The organisations of one configuration.
class OrganisationTable {
 public:
  OrganisationTable() = default;
  explicit OrganisationTable(std::vector<Organisation> organisations);

  // Null where no organisation holds the key.
  const Organisation* FindByKey(const KeyDigest& key) const;
  const std::vector<Organisation>& all() const { return organisations_; }

 private:
  // A digest is as good a hash as any.
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

// --- The age of a configuration ---

// Which configuration is in force here, and up to which moment it is known to have
// been the newest one.
class ConfigurationFreshness {
 public:
  // It was put in force; nobody has vouched for it yet.
  void OnApplied(std::uint64_t version);
  // Whoever knows showed `version` as the newest, by an answer to a question that was
  // asked at `as_of`; what was written since may not be in it. False when that is a later
  // one than is in force here, which is to be read first.
  bool OnConfirmed(std::uint64_t version, TimeMs as_of);

  std::uint64_t version() const { return version_; }
  // 0: never.
  TimeMs as_of() const { return as_of_; }

 private:
  std::uint64_t version_ = 0;
  TimeMs as_of_ = 0;
};

// --- Quotas ---
//
// One agent is the giver of an organisation's quota: a token bucket of its rate and burst.
// Entries ask it for each request and send what it grants. Which agent, all entries find by
// rendezvous; where they disagree for a while, each giver gives only that part of the rate that
// its entries are of all entries it knows. An entry counts at a new giver once it can count at no
// former one any more, so that what is given over all is within the limit.

// An entry counts at a giver for so long after it last said that it takes it for one.
constexpr DurationMs kRegistrationTtlMs = 2500;

// What an organisation may send, as the newest version of the configuration that is known has it.
struct QuotaLimit {
  std::string organisation;
  double rate_per_s = 0;
  double burst = 0;

  bool operator==(const QuotaLimit& other) const {
    return organisation == other.organisation && rate_per_s == other.rate_per_s &&
           burst == other.burst;
  }
};

// All organisations for which an entry takes an agent for the giver.
struct QuotaRegistration {
  std::uint64_t version = 0;  // Of the configuration.
  std::vector<QuotaLimit> limits;

  bool operator==(const QuotaRegistration& other) const {
    return version == other.version && limits == other.limits;
  }
};

// Requests of one organisation that wait at an entry, the first of them first.
struct QuotaDemand {
  std::string organisation;
  std::vector<double> amounts;
};

// Of an entry to a giver.
struct QuotaRequest {
  std::string entry;
  std::uint64_t id = 0;
  int entry_count = 0;  // That share each limit, as far as it knows.
  std::vector<QuotaDemand> demands;
  std::optional<QuotaRegistration> registration;  // None: as said before.
};

struct QuotaAllocation {
  std::string organisation;
  std::size_t granted = 0;  // So many of the amounts, the first ones.
  double advance = 0;       // And so much for requests to come.
  DurationMs retry_ms = 0;  // Of the others, when the first would be granted.
};

struct QuotaGrant {
  std::uint64_t id = 0;  // Of the question.
  std::vector<QuotaAllocation> allocations;
};

// One message each, told from all others by its first bytes.
std::string EncodeQuotaRequest(const QuotaRequest& request);
bool IsQuotaRequest(std::string_view bytes);
bool DecodeQuotaRequest(std::string_view bytes, QuotaRequest* request);
std::string EncodeQuotaGrant(const QuotaGrant& grant);
bool IsQuotaGrant(std::string_view bytes);
bool DecodeQuotaGrant(std::string_view bytes, QuotaGrant* grant);

// An agent's part.
class QuotaAllocator {
 public:
  // The entry said something, if only that it is there, and does so each `repeat_ms`.
  void OnHeartbeat(const std::string& entry, DurationMs heartbeat_interval_ms, TimeMs now);
  // Its link has closed. It may still run.
  void OnLinkClosed(const std::string& entry, TimeMs now);
  QuotaGrant OnRequest(const QuotaRequest& request, TimeMs now);
  // To be called each second or more often: a longer time without it counts for nothing.
  void Tick(TimeMs now);
  // What this giver may give of an organisation's limit has changed since the last call.
  struct FractionChange {
    std::string organisation;
    int registered_count = 0;  // Entries that take it for the giver,
    int entry_count = 0;       // of so many.
    double fraction = 0;
  };
  std::vector<FractionChange> TakeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Entry {
    TimeMs last_heartbeat_at = 0;
    DurationMs heartbeat_interval_ms = 0;
    int known_entries = 0;     // That it knows of.
    TimeMs registered_at = 0;  // When it last said for what it takes this agent for the giver:
    std::map<std::string, TimeMs> organisations;  // Since when it does.

    bool IsLive(TimeMs now) const;
    bool IsRegistered(TimeMs now) const { return now - registered_at <= kRegistrationTtlMs; }
  };
  // Of one organisation.
  struct RegistrationCounts {
    int total = 0;
    int exclusive = 0;  // That can count at no other giver any more.
  };
  struct Bucket {
    std::uint64_t version = 0;
    QuotaLimit limit;
    double level = 0;          // What may be granted; below 0 by what was granted beyond it.
    TimeMs refilled_at = 0;    // Up to when `level` is filled.
    int registered_count = 0;  // Entries in touch whose giver this agent is.
    double fraction = 0;       // Of the limit, what this giver may give: those of all entries.

    double Capacity() const { return limit.burst * fraction; }
  };

  void Register(Entry* entry, const QuotaRegistration& registration, TimeMs now);
  std::map<std::string, RegistrationCounts> CountRegistrations(TimeMs now) const;
  void MarkExclusive(const std::string& organisation, TimeMs now);
  QuotaAllocation Allocate(const QuotaDemand& demand, TimeMs now);
  // Counts again who is there.
  void Recount(TimeMs now);
  static void Refill(Bucket* bucket, TimeMs now);

  std::map<std::string, Entry> entries_;
  std::map<std::string, Bucket> buckets_;  // By organisation.
  std::vector<FractionChange> changes_;
  TimeMs recounted_at_ = 0;
};

// An entry's part.
class QuotaClient {
 public:
  enum class Decision {
    kAdmitted,
    kPending,      // It is told by an Outcome.
    kOverQuota,    // The organisation has used up its quota.
    kNoAllocator,  // No giver answers, and the entry has no share of its own left.
  };
  struct Admission {
    Decision decision = Decision::kAdmitted;
    DurationMs retry_ms = 0;  // Of the last two, when something is left again.
  };
  struct Outcome {
    std::uint64_t ticket = 0;
    Admission admission;
  };
  struct Allocator {
    std::string instance;  // By which it is reached.
    std::string address;   // By which it is chosen: it stays while instances change.
  };
  struct Message {
    std::string instance;
    QuotaRequest request;
  };
  // What is known of one organisation here.
  struct Usage {
    QuotaLimit limit;
    std::uint64_t admitted = 0;        // Requests.
    std::uint64_t refused = 0;         // Requests, for either reason.
    double admitted_amount = 0;        // Of the requests taken.
    double credit = 0;                 // Granted ahead and not used.
    std::string allocator;             // Its address; empty: none.
    std::string upstream;              // Whose limit it is; empty: an organisation's.
    bool is_allocator_silent = false;  // It has left a question unanswered just now.
  };

  explicit QuotaClient(std::string entry) : entry_(std::move(entry)) {}

  void SetOrganisations(const std::vector<Organisation>& organisations, std::uint64_t version,
                        TimeMs now);
  // Those that may be reached now.
  void SetAllocators(std::vector<Allocator> allocators, TimeMs now);
  // An upstream takes so many requests a second from all entries together; none: as many as
  // come. Those that wait for its share then may go.
  std::vector<Outcome> SetUpstreamLimit(const std::string& instance,
                                        std::optional<double> rate_per_s, TimeMs now);
  // Those of which `has_limit` is false are forgotten.
  void RetainLimitedUpstreams(const std::function<bool(const std::string& instance)>& has_limit);
  // As Take, of what all entries may send to that upstream.
  Admission AcquireForUpstream(const std::string& instance, std::uint64_t ticket, TimeMs now);
  // How many entries share each limit, as the agents in reach count them.
  void SetEntryCount(int entry_count, TimeMs now);

  Admission Acquire(const std::string& organisation, double amount, std::uint64_t ticket,
                    TimeMs now);
  // Refuses the request if nothing is left just now, so that it is not kept waiting for
  // something else first.
  std::optional<Admission> RefuseIfOverQuota(const std::string& organisation, double amount,
                                             TimeMs now);
  // What this giver was told may be lost: its link has closed.
  void OnLinkClosed(const std::string& instance);
  // The request that asked is over.
  void Cancel(std::uint64_t ticket);
  // What was taken has not run.
  void Refund(const std::string& organisation, double amount, TimeMs now);

  std::vector<Outcome> OnGrant(const QuotaGrant& grant, TimeMs now);
  // Decides without their givers on those that have waited for long enough.
  std::vector<Outcome> Expire(TimeMs now);
  // When Expire has something to do; 0: nothing is waited for.
  TimeMs NextExpiryAt() const;
  // What is to be sent now.
  std::vector<Message> TakeMessages(TimeMs now);

  std::vector<Usage> Usages(TimeMs now) const;

 private:
  struct PendingRequest {
    std::uint64_t ticket = 0;
    double amount = 0;
  };
  struct Account {
    QuotaLimit limit;
    Allocator allocator;  // Its instance is empty where there is none.
    double credit = 0;    // Granted ahead.
    TimeMs credit_expires_at = 0;
    TimeMs over_quota_until = 0;
    TimeMs allocator_silent_until = 0;
    double local_level = 0;        // Of the entry's own share, for when there is no giver.
    TimeMs local_refilled_at = 0;  // Up to when it is filled.
    TimeMs registered_at = 0;      // When a giver was last told that it is the one.
    // From then on the own share may be used though no giver was ever told; 0: never.
    TimeMs local_since = 0;
    std::string upstream;          // Whose limit it is; empty: an organisation's.
    std::uint64_t request_id = 0;  // Of the question that is out; 0: none.
    TimeMs requested_at = 0;
    std::deque<PendingRequest> requested;  // In that question.
    std::deque<PendingRequest> queued;     // For the next one.
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
  static Admission CountAdmission(Account* account, double amount, const Admission& admission);
  void ChooseAllocator(const std::string& organisation, Account* account, TimeMs now);
  std::map<std::string, QuotaRegistration> Registrations() const;
  void AddRegistrations(std::map<std::string, QuotaRequest>* requests, TimeMs now);
  void AddDemands(std::map<std::string, QuotaRequest>* requests, TimeMs now);

  std::string entry_;
  std::uint64_t version_ = 0;
  int entry_count_ = 0;  // The most that were counted lately; 0: not known.
  TimeMs entry_count_at_ = 0;
  std::vector<Allocator> allocators_;
  std::map<std::string, Account> accounts_;  // Of organisations and upstreams that have a limit.
  std::map<std::string, std::string>
      upstream_accounts_;  // The accounts of their limits, by instance.
  std::map<std::string, SentRegistration>
      sent_registrations_;                // By instance, what it was last told.
  bool is_registration_changed_ = false;  // Some giver is to be told of its holdings.
  TimeMs next_registration_at_ = 0;       // When all are told again.
  std::uint64_t last_request_id_ = 0;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_TENANCY_H_

// Requests that end the upstreams that run them: which request may be one, judged by
// what had just begun at upstreams when they ended, and what becomes of it. One that
// is only suspected is sent on alone; one that is known by its ends is refused.
// Decisions only; the time is handed in and nothing here opens a socket.
#ifndef JUNCTIONRAIL_QUARANTINE_H_
#define JUNCTIONRAIL_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// What makes two tries the same request: what upstreams get of it, but for what differs from
// try to try. So not the caller's address, which no upstream sees, and which is another one
// for another way through proxies and data halls.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;      // Path and query.
  std::string_view credential;  // By which the caller names itself; empty for none.
  std::string_view body;
};

// Stands for a RequestIdentity where the bytes themselves are not kept.
struct RequestDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // 32 hexadecimal digits, and back; none when `text` is something else.
  std::string ToString() const;
  static std::optional<RequestDigest> Parse(std::string_view text);

  bool operator==(const RequestDigest& other) const {
    return high == other.high && low == other.low;
  }
  bool operator<(const RequestDigest& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }
};

RequestDigest DigestOf(const RequestIdentity& identity);

// A request that was under way at an upstream when it ended, and had not run for long
// enough to be above suspicion.
struct Suspect {
  RequestDigest digest;
  bool has_sent_event = false;  // A part of its answer had come.
  // It was suspected when it was sent, and sent as the only such request there.
  bool was_isolated = false;
};

// The end of an upstream as one process saw it, or as several did together.
struct UpstreamCrash {
  std::string instance;
  DurationMs age_ms = 0;
  std::vector<Suspect> suspects;
  // In a message to an agent: it is to write the end to the store.
  bool should_record = false;
};

// Between entries and agents, as one message each; told from views and demands by its
// first bytes.
std::string EncodeCrash(const UpstreamCrash& crash);
bool IsCrashMessage(std::string_view bytes);
bool DecodeCrash(std::string_view bytes, UpstreamCrash* crash);
// As it is kept in the store, without the age.
std::string CrashToText(const UpstreamCrash& crash);
// False when `text` is not one.
bool CrashFromText(std::string_view text, UpstreamCrash* crash);

enum class QuarantineStatus {
  kClear,    // Nothing speaks against it.
  kSuspect,  // It is sent only as the one suspect at its upstream.
  kRefused,  // It is sent to no upstream.
};

struct QuarantineLimits {
  // A request has run for so long after its first event: had it been one that ends
  // upstreams, this one would have ended. Those that did took 53 to 103 ms from the
  // beginning of their run, in five recorded cases, and had shown no event.
  DurationMs harmless_after_ms = 300;
  // Suspicion ends so long after the end: in a recorded day such requests ended upstreams
  // for 15 s, 4 s apart at most. Only memory speaks against more.
  DurationMs suspicion_ttl_ms = 60000;
  // A refusal ends so long after it began, as the upstreams may have changed; the request
  // is then tried again. The longest lease that the store gives.
  DurationMs refusal_ttl_ms = 600000;
  // Upstreams that end within so long of one another have a common cause more likely than
  // one request at each: in the same day no two ends were less than 25 ms apart.
  DurationMs common_cause_window_ms = 15;
  // By then all entries in touch have told of an end what they had there, suspects of their own
  // too. Sooner no end proves who was alone at it.
  DurationMs report_window_ms = 50;
  std::size_t max_crashes = 64;
  // Of one end: twice what an engine of 64 places runs and queues, which is 96.
  std::size_t max_suspects = 192;
  std::size_t max_refusals = 4096;
};

// All that a process knows of ends and suspects.
class QuarantineTable {
 public:
  explicit QuarantineTable(QuarantineLimits limits = {}) : limits_(limits) {}

  // An upstream may have ended: its suspects are sent on alone, and it counts for no
  // lasting refusal until it is added.
  void AddPending(const UpstreamCrash& crash, TimeMs now);
  // It has not ended.
  void Withdraw(const std::string& instance);
  // An upstream has ended. What several processes say of one is put together. True
  // when it is news.
  bool Add(const UpstreamCrash& crash, TimeMs now);
  // The request ran and ended no upstream.
  void Clear(const RequestDigest& digest, TimeMs now);
  // Another process refuses it.
  void Refuse(const RequestDigest& digest, TimeMs now);
  // An operator lets it be tried again: once, alone. False when it was not refused.
  bool Release(const RequestDigest& digest, TimeMs now);
  // What is proven by now is refused, and what is old goes.
  void Expire(TimeMs now);

  QuarantineStatus StatusOf(const RequestDigest& digest, TimeMs now) const;
  // Neither a suspect nor a refusal: no digest needs to be looked up.
  bool IsEmpty() const { return evidence_.empty() && refused_.empty(); }
  bool IsKnown(const std::string& instance) const { return crashes_.count(instance) > 0; }
  // By which name the end of an upstream goes at which an attempt began at `begun_at`: that of
  // its instance, or, where that has ended before, of a start which has not been listed yet.
  std::string CrashName(const std::string& instance, TimeMs started_at) const;
  static std::string InstanceOfCrash(const std::string& name);

  // Ends that were added, for a process that knows none.
  std::vector<UpstreamCrash> RecentCrashes(TimeMs now) const;
  std::optional<UpstreamCrash> Find(const std::string& instance, TimeMs now) const;
  // Refusals since the last call.
  std::vector<RequestDigest> TakeNewRefusals();
  struct Refusal {
    RequestDigest digest;
    TimeMs since = 0;
    int crashes = 0;  // Upstreams that ended under it; 0: by another process' word.
  };
  std::vector<Refusal> Refusals() const;
  std::size_t suspect_count() const { return evidence_.size(); }
  std::uint64_t cleared_count() const { return cleared_count_; }

 private:
  struct Crash {
    TimeMs crashed_at = 0;
    bool is_pending = false;
    std::vector<Suspect> suspects;
  };
  // What speaks against one request.
  struct Evidence {
    std::string instance;
    TimeMs crashed_at = 0;
    bool is_pending = false;
    bool has_sent_event = false;
    bool was_isolated = false;
  };

  bool AddCrash(const UpstreamCrash& crash, bool is_pending, TimeMs now);
  void RemoveCrash(const std::string& instance);
  void RemoveEvidence(const RequestDigest& digest, const std::string& instance);
  void RefuseIfProven(const RequestDigest& digest, TimeMs now);
  // For the next attempt by what is known so far, or for a refusal that lasts.
  enum class Proof { kProvisional, kFinal };
  bool IsProven(const RequestDigest& digest, const std::vector<Evidence>& evidence, Proof proof,
                TimeMs now) const;
  bool IsOnlyIsolatedSuspect(const RequestDigest& digest, const std::string& instance) const;

  QuarantineLimits limits_;
  std::map<std::string, Crash> crashes_;  // By instance.
  std::deque<std::string> crash_order_;   // Of `crashes_`, oldest first.
  std::map<RequestDigest, std::vector<Evidence>> evidence_;
  std::map<RequestDigest, TimeMs> cleared_;  // When; ends before it count no more.
  std::map<RequestDigest, Refusal> refused_;
  std::vector<RequestDigest> newly_refused_;
  std::uint64_t cleared_count_ = 0;
};

// Which suspect is at which upstream: one at most, so that the next end tells
// them apart, and innocent ones do not share the end of another.
class SuspectIsolation {
 public:
  // Instances that have a suspect other than this one.
  std::vector<std::string> OccupiedByOthers(const RequestDigest& digest) const;
  std::vector<std::string> Occupied() const;
  // Where another try of the same request is.
  std::optional<std::string> Find(const RequestDigest& digest) const;
  // False when another suspect is there.
  bool Reserve(const std::string& instance, const RequestDigest& digest);
  void Release(const std::string& instance, const RequestDigest& digest);

 private:
  std::map<std::string, RequestDigest> suspects_;  // By instance.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_QUARANTINE_H_

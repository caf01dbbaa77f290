// Quarantine of requests that crash the upstreams that run them. Requests that had recently
// started on an upstream when it crashed become suspects. A suspect is routed in isolation from
// other suspects, and refused once the crashes identify it as the cause.
// This layer is free of I/O: callers pass the current time and transport the messages.
#ifndef JUNCTIONRAIL_QUARANTINE_H_
#define JUNCTIONRAIL_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// The parts that identify a request across attempts: what an upstream receives, except for parts
// that differ between attempts. The caller's address is not included: upstreams do not see it, and
// it depends on the path through proxies and data halls.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;      // Path and query.
  std::string_view credential;  // Identifies the caller; empty if absent.
  std::string_view body;
};

// Digest of a RequestIdentity, stored in place of the request.
struct RequestDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // Converts to and from 32 lowercase hexadecimal digits. Parse() returns nullopt for other text.
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
RequestDigest DigestOfModel(std::string_view name);

// Digests of the parts of a prompt that other requests may share: all but the last of the
// comma-separated ID:TOKENS pairs, by their ids, each once. At most the first kMaxPromptParts.
constexpr std::size_t kMaxPromptParts = 16;
std::vector<RequestDigest> DigestsOfSharedParts(std::string_view prompt_parts);

// The digest of several parts that one prompt holds, in any order; of one part, the part's own.
// Only the first kMaxCombinedParts count.
constexpr std::size_t kMaxCombinedParts = 3;
RequestDigest CombinationOf(std::vector<RequestDigest> parts);
// The parts of a prompt, and the digests of all combinations of them.
std::vector<RequestDigest> PartsAndCombinations(const std::vector<RequestDigest>& parts);

// A request that was running on an upstream when it crashed, and had not run long enough to be
// ruled out as the cause.
struct Suspect {
  RequestDigest digest;
  bool has_sent_event = false;  // A part of its response had arrived.
  // It was already a suspect when it was sent, and the only suspect on the upstream.
  bool was_isolated = false;
  // Of its prompt, those that other requests may share and that the reporting process has not seen
  // answered; and whether it has seen others of them answered.
  std::vector<RequestDigest> parts = {};
  bool has_sound_part = false;
  // Digest of the name of its model; all zero if it has none.
  RequestDigest model = {};
};

// A crash of an upstream, as observed by one process or merged from several.
struct UpstreamCrash {
  std::string instance;
  DurationMs age_ms = 0;
  std::vector<Suspect> suspects;
  // In a message to an agent: asks it to write the crash to the store.
  bool should_record = false;
  // Parts of the suspects' prompts that a process has seen answered without a crash.
  std::vector<RequestDigest> sound_parts = {};
};

// Encoding for messages between entries and agents. A distinct prefix tells them apart from views
// and demands.
std::string EncodeCrash(const UpstreamCrash& crash);
bool IsCrashMessage(std::string_view bytes);
bool DecodeCrash(std::string_view bytes, UpstreamCrash* crash);
// Encoding for the store, which omits the age.
std::string CrashToText(const UpstreamCrash& crash);
// Returns false if `text` is malformed.
bool CrashFromText(std::string_view text, UpstreamCrash* crash);

enum class QuarantineStatus {
  kClear,    // Not suspected.
  kSuspect,  // May be sent only as the only suspect on its upstream.
  kRefused,  // Not sent to any upstream.
};

struct QuarantineLimits {
  // A request that has run this long after its first event is not the cause of a crash. In five
  // recorded cases the upstream crashed 53 to 103 ms after the request started, before its first
  // event.
  DurationMs harmless_after_ms = 300;
  // Time after a crash for which its suspects are kept. In a recorded day such requests crashed
  // upstreams over a period of 15 s, at most 4 s apart. A longer time costs only memory.
  DurationMs suspicion_ttl_ms = 60000;
  // Duration of a refusal, after which the request is tried again because the upstreams may have
  // changed. This is the longest lease that the store grants.
  DurationMs refusal_ttl_ms = 600000;
  // Crashes within this time of one another are attributed to a common cause rather than to one
  // request on each upstream: in the same day no two crashes were less than 25 ms apart.
  DurationMs common_cause_window_ms = 15;
  // Time in which all reachable entries report the suspects that they had on a crashed upstream.
  // Before it has passed, a crash does not prove that a suspect was the only likely one there.
  DurationMs report_window_ms = 50;
  // Time in which a crash is confirmed if its upstream's VM responds.
  DurationMs confirmation_window_ms = 450;
  std::size_t max_crashes = 64;
  // Per crash: twice the 96 requests that an engine with 64 slots runs and queues.
  std::size_t max_suspects = 192;
  std::size_t max_refusals = 4096;
};

// Crashes, suspects and refusals known to one process.
class QuarantineTable {
 public:
  explicit QuarantineTable(QuarantineLimits limits = {}) : limits_(limits) {}

  // Records an unconfirmed crash. Its suspects are sent in isolation, but it does not count towards
  // a lasting refusal until it is confirmed by Add().
  void AddPending(const UpstreamCrash& crash, TimeMs now);
  // Removes an unconfirmed crash: the upstream is still running.
  void Withdraw(const std::string& instance);
  // Records a confirmed crash and merges reports of it from several processes. Returns true if the
  // report adds information.
  bool Add(const UpstreamCrash& crash, TimeMs now);
  // The crash is due to a prompt part that was found: it says nothing about the requests there.
  void Explain(const std::string& crash) { RemoveCrash(crash); }
  // Clears a request that ran without crashing its upstream.
  void Clear(const RequestDigest& digest, TimeMs now);
  // Adopts a refusal by another process.
  void Refuse(const RequestDigest& digest, TimeMs now);
  // This process has found that requests with the prompt part, or combination of parts, cause
  // crashes.
  void RefusePart(const RequestDigest& part, int crashes, TimeMs now);
  bool IsRefused(const RequestDigest& digest, TimeMs now) const;
  // Lifts a refusal on behalf of an operator: the request is tried in isolation, and one more
  // crash refuses it again. Returns false if it was not refused.
  bool Release(const RequestDigest& digest, TimeMs now);
  // Refuses suspects that are proven by now and removes expired data.
  void Expire(TimeMs now);

  QuarantineStatus StatusOf(const RequestDigest& digest, TimeMs now) const;
  // Whether it is refused only provisionally, and reports or the confirmation of a crash may still
  // clear it: another attempt would most likely crash another upstream.
  bool AwaitsReports(const RequestDigest& digest, TimeMs now) const;
  // True if there are no suspects and no refusals, so that no digest has to be computed.
  bool IsEmpty() const { return evidence_.empty() && refused_.empty(); }
  bool IsKnown(const std::string& instance) const { return crashes_.count(instance) > 0; }
  // Returns the name for a crash of `instance` that broke a connection established at
  // `connected_at`: the instance itself, or, if that has crashed before, a name for a restart whose
  // record has not been read yet.
  std::string CrashName(const std::string& instance, TimeMs connected_at) const;
  static std::string InstanceOfCrash(const std::string& name);

  // Returns the confirmed crashes, for a process that does not know them yet.
  std::vector<UpstreamCrash> RecentCrashes(TimeMs now) const;
  std::optional<UpstreamCrash> Find(const std::string& instance, TimeMs now) const;
  // Returns the digests that this process has refused since the last call.
  std::vector<RequestDigest> TakeNewRefusals();
  struct Refusal {
    RequestDigest digest;
    TimeMs since = 0;
    int crashes = 0;  // Crashes attributed to it; 0 if adopted from another process.
  };
  std::vector<Refusal> Refusals() const;
  std::size_t suspect_count() const { return evidence_.size(); }
  std::uint64_t cleared_count() const { return cleared_count_; }

 private:
  struct Crash {
    TimeMs crashed_at = 0;
    bool is_pending = false;
    std::vector<Suspect> suspects;
    std::vector<RequestDigest> sound_parts;
  };
  // Links one request to one crash.
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
  // kProvisional decides on the next attempt from what is known so far; kFinal on a lasting
  // refusal.
  enum class Proof { kProvisional, kFinal };
  bool IsProven(const RequestDigest& digest, const std::vector<Evidence>& evidence, Proof proof,
                TimeMs now) const;
  // Of crashes in the order of their times.
  bool IsProvenByIsolation(const RequestDigest& digest,
                           const std::vector<const Evidence*>& crashes) const;
  // Crashes at about the same time have one cause.
  int CountCauses(const std::vector<const Evidence*>& crashes) const;
  bool HasOtherIsolatedSuspect(const RequestDigest& digest, const std::string& instance) const;
  bool IsOnlyLikelySuspect(const RequestDigest& digest, const std::string& instance) const;
  // Whether it was at several crashes.
  bool HasRepeated(const RequestDigest& digest) const;
  // Whether another suspect was at all of the crashes, and isolated at more of them.
  bool HasLikelierSuspect(const RequestDigest& digest,
                          const std::vector<const Evidence*>& crashes) const;
  // At how many of the crashes it was isolated; 0 if it was not at all of them.
  int CountIsolations(const RequestDigest& digest,
                      const std::vector<const Evidence*>& crashes) const;

  QuarantineLimits limits_;
  std::map<std::string, Crash> crashes_;  // By instance.
  std::deque<std::string> crash_order_;   // Keys of `crashes_`, oldest first.
  std::map<RequestDigest, std::vector<Evidence>> evidence_;
  std::map<RequestDigest, TimeMs> cleared_;  // Time of clearance; earlier crashes are ignored.
  std::map<RequestDigest, Refusal> refused_;
  std::vector<RequestDigest> newly_refused_;
  std::uint64_t cleared_count_ = 0;
};

struct PromptPartLimits {
  DurationMs suspicion_ttl_ms = QuarantineLimits().suspicion_ttl_ms;
  // Time in which a part that was answered counts as sound.
  DurationMs sound_ttl_ms = 600000;
  DurationMs common_cause_window_ms = QuarantineLimits().common_cause_window_ms;
  DurationMs report_window_ms = QuarantineLimits().report_window_ms;
  std::size_t max_crashes = 32;
  std::size_t max_parts = 128;  // Of all suspects of a crash.
  std::size_t max_sound_parts = 16384;
  std::size_t max_shared_parts = 16;
  // A model that answered this long before a crash, or since, works.
  DurationMs model_answer_ms = 10000;
  std::size_t max_models = 4096;
};

// Finds prompt parts that crash the upstreams that answer them, whatever else a request holds. A
// part of a request that was answered is sound. The other parts of the suspects of a crash are
// suspected, and those that cause further crashes are told apart by sending requests with suspected
// parts one at a time. Parts that always come together are found as a combination.
class PromptPartTable {
 public:
  explicit PromptPartTable(PromptPartLimits limits = {}) : limits_(limits) {}

  // A request with these parts was answered, and its upstream did not crash.
  void AddSound(const std::vector<RequestDigest>& parts, TimeMs now);
  // The model, by its digest, answered a request.
  void OnModelAnswered(const RequestDigest& model, TimeMs now);
  // Records a confirmed crash and merges reports of it.
  void Add(const UpstreamCrash& crash, TimeMs now);
  // Parts in the recorded crash that this process knows to be sound and no report has said so.
  // Returns each once.
  std::vector<RequestDigest> TakeSoundParts(const std::string& crash, TimeMs now);
  // Those of the parts that are not known to be sound.
  std::vector<RequestDigest> WithoutSound(const std::vector<RequestDigest>& parts,
                                          TimeMs now) const;
  // Those of the parts that may have caused a crash, the most likely one first.
  std::vector<RequestDigest> Suspected(const std::vector<RequestDigest>& parts, TimeMs now) const;
  // Whether one of the parts was at two crashes or more, and the reports of the last one may not
  // all have arrived: another attempt would most likely crash another upstream.
  bool AwaitsReports(const std::vector<RequestDigest>& parts, TimeMs now) const;
  // A part whose suspected requests take turns over all processes: it was at several crashes that
  // no two requests explain. None if there is no such part among these.
  std::optional<RequestDigest> FindShared(const std::vector<RequestDigest>& parts,
                                          TimeMs now) const;
  // All such parts, those at the most crashes first; at most max_shared_parts.
  std::vector<RequestDigest> SharedParts(TimeMs now) const;
  struct Finding {
    RequestDigest part;                // Or the digest of a combination of parts.
    std::vector<std::string> crashes;  // That it caused.
  };
  // Parts and combinations that are found by now to cause crashes.
  std::vector<Finding> Judge(TimeMs now);
  void Expire(TimeMs now);
  bool HasCrashes() const { return !crashes_.empty(); }
  bool HasFound() const { return !found_.empty(); }

 private:
  struct SuspectParts {
    RequestDigest request;
    std::vector<RequestDigest> parts;
    bool was_isolated = false;
    bool has_sound_part = false;
    RequestDigest model;
  };
  struct Crash {
    std::string name;
    TimeMs crashed_at = 0;
    std::vector<SuspectParts> suspects;
    std::vector<RequestDigest> reported_sound;
    std::size_t part_count = 0;  // Of all suspects.
    bool is_explained = false;   // By a part that was found.
  };
  using Parts = std::set<RequestDigest>;

  // Parts that were found to cause crashes together.
  struct Found {
    std::vector<RequestDigest> parts;
    TimeMs at = 0;
  };
  // The requests that were sent alone at a crash and speak against a combination.
  struct Evidence {
    std::vector<RequestDigest> requests;
    std::vector<RequestDigest> beside_sound_parts;  // Those of them whose other parts are cleared.
  };

  Crash* Find(const std::string& name);
  bool IsSound(const RequestDigest& part, TimeMs now) const;
  bool HasAnswered(const RequestDigest& model, TimeMs crashed_at) const;
  void AddSound(const RequestDigest& part, TimeMs now);
  Parts AllPartsOf(const Crash& crash, TimeMs now) const;
  std::vector<const Crash*> CrashesWith(const RequestDigest& part, TimeMs now) const;
  std::vector<const Crash*> ReportedCrashesWith(const RequestDigest& part, TimeMs now) const;
  // Crashes at about the same time have one cause.
  int CountCauses(const std::vector<const Crash*>& crashes) const;
  static bool AreExplainedByRequests(const std::vector<const Crash*>& crashes,
                                     const RequestDigest& part);
  bool IsShared(const RequestDigest& part, TimeMs now) const;
  std::vector<RequestDigest> WithCompanions(const RequestDigest& part,
                                            const std::vector<const Crash*>& crashes, int causes,
                                            TimeMs now) const;
  bool IsCleared(const SuspectParts& suspect, TimeMs now) const;
  Evidence EvidenceOf(const Crash& crash, const std::vector<RequestDigest>& combination, int causes,
                      TimeMs now) const;
  bool HaveOtherPart(const std::vector<const Crash*>& crashes,
                     const std::vector<RequestDigest>& combination, TimeMs now) const;
  std::vector<Finding> NarrowCombinations(TimeMs now);
  // The part, with those that always came with it, if they are found to cause crashes; else empty.
  std::vector<RequestDigest> FindCause(const RequestDigest& part, TimeMs now) const;
  static bool HasSuspectWith(const Crash& crash, const std::vector<RequestDigest>& combination);

  PromptPartLimits limits_;
  std::deque<Crash> crashes_;                        // Oldest first.
  std::map<RequestDigest, TimeMs> sound_;            // When last answered.
  std::map<RequestDigest, TimeMs> answered_models_;  // When they last answered.
  std::vector<Found> found_;
};

// Tracks which suspect is on which upstream. Each upstream has at most one, so that the next crash
// tells them apart and harmless suspects are not affected by the crash of another.
class SuspectIsolation {
 public:
  // Returns the instances that have a suspect other than this one.
  std::vector<std::string> OccupiedByOthers(const RequestDigest& digest) const;
  std::vector<std::string> Occupied() const;
  // Returns the instance that has another attempt of the same request.
  std::optional<std::string> Find(const RequestDigest& digest) const;
  // Returns false if another suspect is on the instance.
  bool Reserve(const std::string& instance, const RequestDigest& digest);
  void Release(const std::string& instance, const RequestDigest& digest);

 private:
  std::map<std::string, RequestDigest> suspects_;  // By instance.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_QUARANTINE_H_

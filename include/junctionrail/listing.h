// The platform's list of upstreams as seen by one process: its records, when to
// poll it, and how to treat records that are missing from it. Pure decision
// logic: the caller passes the time in, and nothing here opens a socket.
#ifndef JUNCTIONRAIL_LISTING_H_
#define JUNCTIONRAIL_LISTING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/settings.h"

namespace junctionrail {

struct LoadedModel {
  std::string name;
  std::vector<std::string> adapters;

  bool operator==(const LoadedModel& other) const {
    return name == other.name && adapters == other.adapters;
  }
  bool operator!=(const LoadedModel& other) const { return !(*this == other); }
};

// An upstream process, as listed by the platform.
struct UpstreamRecord {
  // Unique per start of the upstream: its id, followed by its start time if it reports one.
  std::string instance;
  std::string service;
  Endpoint endpoint;
  std::string data_hall;
  int slots = 0;
  bool is_leaving = false;
  std::vector<LoadedModel> loaded;  // Engines only; may be out of date.
  std::int64_t generation = 0;      // Higher for a more recently created record.
  // Absent from the last poll, but may only have expired; see ExpiredRecordKeeper.
  bool is_missing = false;
  // The id that the upstream reports, which may survive a restart; empty: same as `instance`.
  std::string id = {};
  std::int64_t started_unix_ms = 0;  // Start time of the process; 0: not reported.
  // Its record cannot be parsed: the upstream exists but gets no new requests.
  bool is_unreadable = false;
  // How much longer the upstream bears only a low rate of requests, as of its last write to the
  // record; none: it does not say.
  std::optional<DurationMs> cold_ms = {};
  std::vector<std::string> cached_models = {};  // Engines only: on disk or in host memory.
  std::string software_version = {};            // Of the upstream's program; empty: not stated.

  const std::string& WireId() const { return id.empty() ? instance : id; }
  bool operator==(const UpstreamRecord& other) const;
};

// Drops records whose address also appears in a newer record: the older upstream
// has ended and its record has not expired yet.
std::vector<UpstreamRecord> KeepLatestAtEachEndpoint(std::vector<UpstreamRecord> records);

// The result of one poll of the platform's list of upstreams.
struct UpstreamListing {
  std::vector<UpstreamRecord> records;
  // When the poll started: later changes may be missing from it. 0: unknown.
  TimeMs as_of = 0;
};

// Decides when to poll the list, or other data whose age must stay within a bound,
// from a store that may be slow, unavailable or unresponsive on some connections.
// A poll that is not answered soon is repeated concurrently, and the answer to the
// latest poll counts: one lost poll costs a quarter of a second instead of its
// whole timeout.
class PollSchedule {
 public:
  struct Poll {
    std::uint64_t number = 0;
    TimeMs begun_at = 0;
    // An earlier poll is still unanswered: its connection may be dead.
    bool is_retry = false;
  };

  // `period_ms`: from the start of one poll to the start of the next.
  explicit PollSchedule(DurationMs period_ms) : period_ms_(period_ms) {}
  void SetPeriod(DurationMs period_ms) { period_ms_ = period_ms; }

  // Another process polled successfully at `as_of`, and its answer was received. Returns false
  // if a later one is known already.
  bool OnRelayed(TimeMs as_of, TimeMs now);

  // When to start the next poll, regardless of the state of earlier ones.
  TimeMs NextAt() const { return next_at_; }
  Poll Begin(TimeMs now);
  // Returns false if a later poll was already answered, so that this answer is out of
  // date. Failed polls need not be reported: the next one is already scheduled.
  bool OnAnswer(const Poll& poll, TimeMs now);
  // A watch or other connection to the store was lost.
  void OnConnectionLost(TimeMs now);
  // Moves the next poll forward to `at`; never delays it.
  void PollBy(TimeMs at);

  // When the last poll started; 0: none yet.
  TimeMs begun_at() const { return begun_at_; }
  // When the last answered poll started: later changes may be unknown. 0: no poll
  // has been answered.
  TimeMs as_of() const { return as_of_; }
  // Polls started since the last answer.
  int unanswered() const { return unanswered_; }
  // Whether a poll between the last two answered ones was not answered in its time: the store, or
  // the way to it, was away.
  bool was_unreadable() const { return was_unreadable_; }
  // Whether no poll was begun for long before the last answered one, although none was unanswered:
  // this process stood still, or had no need of the list. It says nothing about the store.
  bool was_stalled() const { return was_stalled_; }

 private:
  DurationMs RetryDelay() const;

  DurationMs period_ms_;
  TimeMs next_at_ = 0;
  TimeMs begun_at_ = 0;
  std::uint64_t begun_ = 0;
  std::uint64_t answered_ = 0;
  TimeMs as_of_ = 0;
  DurationMs answer_ms_ = 0;  // Latency of the last answer.
  int unanswered_ = 0;
  int overdue_ = 0;  // Of these, polls that had their time to be answered while this process ran.
  bool was_unreadable_ = false;
  bool was_stalled_ = false;
};

// Adds back records that are missing from a poll of the list only because they
// expired: while the platform's store is unavailable, no upstream can renew its
// record.
class ExpiredRecordKeeper {
 public:
  // The interval at which upstreams renew their records.
  void SetWritePeriod(DurationMs write_period_ms) { write_period_ms_ = write_period_ms; }

  // Returns the records of a poll that started at `as_of`, plus those that may still
  // come back, marked as missing. `was_unreadable`: the list could not be read at some
  // time since the previous poll.
  std::vector<UpstreamRecord> AddExpired(std::vector<UpstreamRecord> read, bool was_unreadable,
                                         TimeMs as_of, TimeMs now);
  // The store was restored from an older copy: records missing from the next poll may
  // not have been rewritten yet.
  void OnNewEra() { is_new_era_ = true; }
  // Another process returned these records of a poll that started at `as_of`.
  void OnRelayed(const std::vector<UpstreamRecord>& records, TimeMs as_of);
  // Initializes the state from another entry's list, before the first own poll.
  std::vector<UpstreamRecord> Seed(std::vector<UpstreamRecord> told);
  // When to poll the list for the missing records: by then they are back, or their
  // upstreams have left. None while no record is missing.
  std::optional<TimeMs> RecheckAt() const {
    return has_missing_ ? std::optional<TimeMs>(recheck_at_) : std::nullopt;
  }

 private:
  DurationMs write_period_ms_ = 1200;
  std::vector<UpstreamRecord> known_records_;
  TimeMs last_read_as_of_ = 0;  // 0: never polled.
  bool is_new_era_ = false;
  TimeMs recheck_at_ = 0;  // End of the recovery period of the last outage.
  bool has_missing_ = false;
};

// Remembers upstreams whose records have gone, so that a list that does not know this brings none
// of them back: one that was read before, marks them as missing, or comes from a store that was
// restored from an older copy.
class DepartedUpstreams {
 public:
  // `write_period_ms`: the interval at which upstreams renew their records.
  explicit DepartedUpstreams(DurationMs write_period_ms) : write_period_ms_(write_period_ms) {}
  void SetWritePeriod(DurationMs write_period_ms) { write_period_ms_ = write_period_ms; }

  // The record has gone from the list; `last` is as it was last seen.
  void Add(const UpstreamRecord& last, TimeMs now);
  // Whether a listed record shows that its upstream is there: it never went, or it has been written
  // since. To be asked with each listing.
  bool IsBack(const UpstreamRecord& record, TimeMs now);
  // Whether the upstream had announced its departure before it went.
  bool HasAnnounced(const std::string& instance) const;
  // Removes those that departed long ago.
  void Expire(TimeMs now);

 private:
  struct Departure {
    TimeMs at = 0;
    std::int64_t generation = 0;  // Of the record that has gone.
    bool was_announced = false;
    TimeMs reappeared_at = 0;  // The same record is listed since then; 0: it is not.
    TimeMs listed_at = 0;      // When it was last listed.
  };

  DurationMs write_period_ms_;
  std::map<std::string, Departure> departures_;  // By instance.
};

// --- Relaying ---
//
// The list grows with the fleet, and so would the load on the store if every entry polled it.
// Instead one agent, the relay, polls it and the configuration's version, and entries ask the
// relay for what changed. The agents are ranked by rendezvous hashing, those of the entry's own
// region first, so that each region has its own relay; an entry asks the first one that answers. An
// entry polls the store itself whenever what it knows gets too old.

// What an entry asks the relay.
struct RelayRequest {
  std::string entry;
  std::uint64_t number = 0;
  std::string epoch;          // Of the last reply; empty: none.
  std::uint64_t version = 0;  // Of the last reply.
  // The entry's region and the number of regions, from its settings. Not sent with a single region,
  // nor by entries of an older version.
  std::string region = {};
  int regions = 1;
  // The version of the configuration in force at an entry that knows of a later one and gets no
  // answer from the store; 0: no document is asked for.
  std::uint64_t outdated_configuration = 0;
};

// What changed in the list between two versions.
struct ListingChanges {
  std::vector<UpstreamRecord> changed;
  std::vector<std::string> removed;  // Instances.
};

struct RelayReply {
  std::uint64_t number = 0;     // Of the request.
  std::string epoch;            // Differs for each start of each relay.
  std::uint64_t version = 0;    // Of the list.
  DurationMs list_age_ms = -1;  // Since the poll of the list began; -1: no list is included.
  bool is_whole = false;        // `changes` contains all records.
  // As EncodeListingChanges returns them; null: no list is included.
  std::shared_ptr<const std::string> changes;
  std::uint64_t configuration_version = 0;
  // Since that version, and these evacuations, are known to have been the newest; -1: unknown.
  DurationMs configuration_age_ms = -1;
  std::vector<std::string> evacuated_halls;
  // The document of that version; null: it is not included.
  std::shared_ptr<const std::string> configuration;
  // The entry is one of the few that plan for the fleet as a whole.
  bool is_planner = false;
};

// Each message has a distinct prefix, by which Is...() recognizes it.
std::string EncodeRelayRequest(const RelayRequest& request);
bool IsRelayRequest(std::string_view bytes);
bool DecodeRelayRequest(std::string_view bytes, RelayRequest* request);
std::string EncodeListingChanges(const ListingChanges& changes);
bool DecodeListingChanges(std::string_view bytes, ListingChanges* changes);
std::string EncodeRelayReply(const RelayReply& reply);
bool IsRelayReply(std::string_view bytes);
bool DecodeRelayReply(std::string_view bytes, RelayReply* reply);

// The relay's side: keeps the changes of the list and answers entries.
class ListingRelay {
 public:
  explicit ListingRelay(std::string epoch) : epoch_(std::move(epoch)) {}

  void ApplyListing(const UpstreamListing& listing);
  // `document` is that of `version`, which was the newest one at `as_of`.
  void ConfirmConfiguration(std::uint64_t version, const std::string& document, TimeMs as_of);
  void ApplyEvacuations(std::vector<std::string> halls) { evacuated_halls_ = std::move(halls); }
  RelayReply Answer(const RelayRequest& request, TimeMs now);
  // Whether an entry has asked lately, so that the list has to be polled.
  bool IsInUse(TimeMs now) const;

 private:
  struct VersionedRecord {
    UpstreamRecord record;
    std::uint64_t version = 0;  // When it last changed.
  };
  struct Removal {
    std::string instance;
    std::uint64_t version = 0;
  };

  std::shared_ptr<const std::string> ChangesSince(std::uint64_t base);
  // What is known of an entry that has asked recently.
  struct Asker {
    TimeMs asked_at = 0;
    std::string region;
    int regions = 1;
  };

  bool IsPlanner(const std::string& entry, TimeMs now);
  void ChoosePlanners();
  void ForgetGoneAskers(TimeMs now);
  bool MaySendLargeReply(TimeMs now);

  std::string epoch_;
  std::uint64_t version_ = 0;
  TimeMs as_of_ = 0;                                // 0: no list yet.
  std::map<std::string, VersionedRecord> records_;  // By instance.
  std::deque<Removal> removals_;
  // Encoded changes up to `version_`, by the version that they start from: most entries ask for the
  // same ones.
  std::map<std::uint64_t, std::shared_ptr<const std::string>> encoded_changes_;
  std::uint64_t forgotten_version_ = 0;  // Removals up to this version are forgotten.
  std::uint64_t configuration_version_ = 0;
  std::shared_ptr<const std::string> configuration_;  // The document of that version.
  TimeMs configuration_as_of_ = 0;
  std::vector<std::string> evacuated_halls_;
  std::map<std::string, Asker> askers_;  // By entry.
  std::set<std::string> planners_;
  TimeMs planners_chosen_at_ = 0;
  bool is_planner_missing_ = true;  // Some region has fewer askers than its share of planners.
  TimeMs large_replies_since_ = 0;
  int large_replies_sent_ = 0;  // Since then.
};

// An entry's side: chooses the relay to ask, and applies its replies.
class RelayClient {
 public:
  // `period_ms`: from one request to the next.
  RelayClient(std::string entry, DurationMs period_ms)
      : entry_(std::move(entry)), period_ms_(period_ms) {}
  void SetPeriod(DurationMs period_ms) { period_ms_ = period_ms; }
  // Sets the entry's region; only called if there are several. Each entry then waits for a time of
  // its own before it asks a relay again that it passed over, so that entries do not all return,
  // and fetch a whole list, within one period.
  void SetRegion(std::string region, int regions);

  // Requests ask for the configuration's document, the next one soon, while `outdated_version` is
  // in force although a later one is known of; 0: no more.
  void AskForConfiguration(std::uint64_t outdated_version);

  struct Ask {
    std::string instance;  // Of the upstream whose agent is the relay.
    RelayRequest request;
  };
  // Whether a request is due, so that the relays have to be ranked.
  bool IsDue(TimeMs now) const { return now >= next_ask_at_; }
  // Returns the request that is due, if any. `ranked`: upstreams with agents, best relay first. A
  // relay that has not answered the last request is passed over for a while.
  std::optional<Ask> NextAsk(const std::vector<std::string>& ranked, TimeMs now);

  struct News {
    std::optional<UpstreamListing> listing;
    std::uint64_t configuration_version = 0;
    TimeMs configuration_as_of = 0;  // 0: the relay confirms none.
    std::set<std::string> evacuated_halls;
    // The document of that version; null: it was not sent.
    std::shared_ptr<const std::string> configuration;
    bool is_planner = false;
  };
  // `max_age_ms`: a relay whose list is older is passed over next time. Returns nullopt for a reply
  // to another request than the last one, and for one whose changes cannot be decoded.
  std::optional<News> OnReply(const std::string& instance, const RelayReply& reply,
                              DurationMs max_age_ms, TimeMs now);
  // The relay that was asked last; empty: none.
  const std::string& relay() const { return relay_; }

 private:
  std::string entry_;
  // A relay that did not answer, or whose list was old.
  struct PassedOver {
    TimeMs until = 0;
    int failures = 0;  // Since its last good answer.
  };

  void PassOver(const std::string& relay, TimeMs now);
  const std::string* FindBest(const std::vector<std::string>& ranked, TimeMs now) const;

  DurationMs period_ms_;
  std::string region_;
  int regions_ = 1;
  std::string relay_;
  TimeMs next_ask_at_ = 0;
  std::uint64_t last_number_ = 0;
  bool is_answered_ = true;
  TimeMs asked_at_ = 0;
  std::string epoch_;
  std::uint64_t version_ = 0;
  std::uint64_t outdated_configuration_ = 0;
  std::map<std::string, UpstreamRecord> records_;  // By instance.
  std::map<std::string, PassedOver> passed_over_;  // By instance.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_LISTING_H_

// The platform's list of upstreams as seen by one process: its records, when to
// poll it, and how to treat records that are missing from it. Pure decision
// logic: the caller passes the time in, and nothing here opens a socket.
#ifndef JUNCTIONRAIL_LISTING_H_
#define JUNCTIONRAIL_LISTING_H_

#include <cstdint>
#include <optional>
#include <string>
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

  const std::string& WireId() const { return id.empty() ? instance : id; }
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
  // Whether the store was unreadable at some time between the last two answers.
  bool was_unreadable() const { return was_unreadable_; }

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
  bool was_unreadable_ = false;
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

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_LISTING_H_

// The platform's list of upstreams as one process believes it: its records, and
// what it means when one is missing. Decisions only; the time is handed in and
// nothing here opens a socket.
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

// One process behind the system as the platform lists it.
struct UpstreamRecord {
  // Differs at each start of the upstream: its id, and its start where it tells that.
  std::string instance;
  std::string service;
  Endpoint endpoint;
  std::string data_hall;
  int slots = 0;
  bool is_leaving = false;
  std::vector<LoadedModel> loaded;  // Engines; lags.
  std::int64_t generation = 0;      // Higher for a record made later.
  // Not in the last reading, but it may only have lapsed; see ExpiredRecordKeeper.
  bool is_missing = false;
  // What it calls itself, which may be the same after a start; empty: as `instance`.
  std::string id = {};
  std::int64_t started_unix_ms = 0;  // Its start, since 1970; 0: it does not tell.
  // Its record cannot be read: it is there, but for no new request.
  bool is_unreadable = false;

  const std::string& WireId() const { return id.empty() ? instance : id; }
};

// Leaves out records whose address a later one has: the upstream behind them
// has ended, and its record only has not lapsed yet.
std::vector<UpstreamRecord> KeepLatestAtEachEndpoint(std::vector<UpstreamRecord> records);

// One reading of the platform's list of upstreams.
struct UpstreamListing {
  std::vector<UpstreamRecord> records;
  // When the reading began: later changes may not be in it. 0: not known.
  TimeMs as_of = 0;
};

// When to read the list, or whatever else must not be older than a bound, from a
// store that may be slow, away, or deaf on some connections. A call that is not
// answered soon is made again beside it, and the answer to the latest call counts:
// one call without an answer costs a quarter of a second, not its whole time limit.
class PollSchedule {
 public:
  struct Poll {
    std::uint64_t number = 0;
    TimeMs begun_at = 0;
    // An earlier one has no answer yet: its connection may be dead.
    bool is_retry = false;
  };

  // `period_ms`: from the beginning of a reading to that of the next.
  explicit PollSchedule(DurationMs period_ms) : period_ms_(period_ms) {}
  void SetPeriod(DurationMs period_ms) { period_ms_ = period_ms; }

  // When the next call is to begin, whatever has become of the others.
  TimeMs NextAt() const { return next_at_; }
  Poll Begin(TimeMs now);
  // False: a later call was answered before, so this answer is out of date. A call that
  // fails needs no word: the next one is due.
  bool OnAnswer(const Poll& poll, TimeMs now);
  // What was in touch with the store by other means lost it.
  void OnConnectionLost(TimeMs now);
  // The next call begins at `at`, unless it is due before. Never puts it off.
  void PollBy(TimeMs at);

  // When the last call began; 0: none has.
  TimeMs begun_at() const { return begun_at_; }
  // When the call began that was answered last: later changes may not be known.
  // 0: none was.
  TimeMs as_of() const { return as_of_; }
  // Calls begun since the last answer.
  int unanswered() const { return unanswered_; }
  // Whether the store could not be read at some time before the last answer.
  bool was_unreadable() const { return was_unreadable_; }

 private:
  DurationMs RetryDelay() const;

  DurationMs period_ms_;
  TimeMs next_at_ = 0;
  TimeMs begun_at_ = 0;
  std::uint64_t begun_ = 0;
  std::uint64_t answered_ = 0;
  TimeMs as_of_ = 0;
  DurationMs answer_ms_ = 0;  // What the last answer took.
  int unanswered_ = 0;
  bool was_unreadable_ = false;
};

// Adds to readings of the list what they lack only because it lapsed: while the
// platform's store is away no upstream can write its record.
class ExpiredRecordKeeper {
 public:
  // Upstreams write their records anew so often.
  void SetWritePeriod(DurationMs write_period_ms) { write_period_ms_ = write_period_ms; }

  // The records of a reading that began at `as_of`, and with them, marked as missing,
  // those that may yet come back. `was_unreadable`: the list could not be read at
  // some time since the reading before.
  std::vector<UpstreamRecord> AddExpired(std::vector<UpstreamRecord> read, bool was_unreadable,
                                         TimeMs as_of, TimeMs now);
  // The store came back from an older copy: whatever the next reading lacks may only not
  // have been written again yet.
  void OnNewEra() { is_new_era_ = true; }
  // Takes what another entry believes, before the first reading of our own.
  std::vector<UpstreamRecord> Seed(std::vector<UpstreamRecord> told);
  // When the list is to be read for those that are missing: then they are back, or
  // they have left. None while nothing is missing.
  std::optional<TimeMs> RecheckAt() const {
    return has_missing_ ? std::optional<TimeMs>(recheck_at_) : std::nullopt;
  }

 private:
  DurationMs write_period_ms_ = 1200;
  std::vector<UpstreamRecord> known_records_;
  TimeMs last_read_as_of_ = 0;  // 0: never read.
  bool is_new_era_ = false;
  TimeMs recheck_at_ = 0;  // Of the last outage.
  bool has_missing_ = false;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_LISTING_H_

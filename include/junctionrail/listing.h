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
  std::string instance;  // Differs at each start of the upstream.
  std::string service;
  Endpoint endpoint;
  std::string data_hall;
  int slots = 0;
  bool is_leaving = false;
  std::vector<LoadedModel> loaded;  // Engines; lags.
  std::int64_t generation = 0;      // Higher for a record made later.
  // Not in the last reading, but it may only have lapsed; see LapsedRecords.
  bool is_missing = false;
};

// Leaves out records whose address a later one has: the upstream behind them
// has ended, and its record only has not lapsed yet.
std::vector<UpstreamRecord> KeepLatestAtEachAddress(std::vector<UpstreamRecord> records);

// One reading of the platform's list of upstreams.
struct UpstreamListing {
  std::vector<UpstreamRecord> records;
  // When the reading began: later changes may not be in it. 0: not known.
  TimeMs as_of = 0;
};

// Adds to readings of the list what they lack only because it lapsed: while the
// platform's store is away no upstream can write its record.
class LapsedRecords {
 public:
  // Upstreams write their records anew so often.
  void SetWritePeriod(DurationMs write_period_ms) { write_period_ms_ = write_period_ms; }

  // The records of a reading that began at `as_of`, and with them, marked as missing,
  // those that may yet come back. `was_unreadable`: the list could not be read at
  // some time since the reading before.
  std::vector<UpstreamRecord> Complete(std::vector<UpstreamRecord> read, bool was_unreadable,
                                       TimeMs as_of, TimeMs now);
  // Takes what another entry believes, before the first reading of our own.
  std::vector<UpstreamRecord> Take(std::vector<UpstreamRecord> told);
  // When the list is to be read for those that are missing: then they are back, or
  // they have left. None while nothing is missing.
  std::optional<TimeMs> RestoredAt() const {
    return has_missing_ ? std::optional<TimeMs>(restored_at_) : std::nullopt;
  }

 private:
  DurationMs write_period_ms_ = 1200;
  std::vector<UpstreamRecord> told_;
  TimeMs read_as_of_ = 0;   // 0: never read.
  TimeMs restored_at_ = 0;  // Of the last outage.
  bool has_missing_ = false;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_LISTING_H_

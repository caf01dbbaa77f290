// Where requests may be served: the regions that routes and organisations allow, and the data
// halls that operators evacuate. Pure decision logic: the caller passes the time in.
#ifndef JUNCTIONRAIL_PLACES_H_
#define JUNCTIONRAIL_PLACES_H_

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// The regions in which a request may be served; none: in all of them.
using AllowedRegions = std::optional<std::set<std::string>>;
// Region by data hall, from the settings of the process.
using HallRegions = std::map<std::string, std::string>;

// The regions that both allow.
AllowedRegions Intersect(const AllowedRegions& a, const AllowedRegions& b);
// Whether the data hall is in an allowed region. A hall whose region is unknown is in none.
bool IsHallAllowed(const AllowedRegions& allowed, const HallRegions& regions,
                   const std::string& hall);

enum class Distance { kSameHall, kSameRegion, kOtherRegion };
constexpr std::size_t kDistances = 3;
// The name of the distance class in pages and metrics.
std::string_view NameOf(Distance distance);

// The time that a packet takes to a data hall and back.
struct RoundTrip {
  double ms = 0;
  DurationMs age_ms = -1;  // Since it was measured; -1: it is the default of the distance class.
};

// Measured round-trip times to one data hall, in time slots that expire one by one.
class RoundTripWindow {
 public:
  void Add(double ms, TimeMs now);
  // The smallest sample of the last 30 s; none if there is no sample, or if the only one is above
  // `default_ms`: a single connection may be slow because the upstream accepts it late.
  std::optional<RoundTrip> Smallest(double default_ms, TimeMs now) const;
  bool IsExpired(TimeMs now) const;

 private:
  static constexpr std::size_t kSlots = 6;
  // Of each slot, only the smallest sample is kept.
  struct Slot {
    TimeMs number = 0;  // Of its interval, counted from time 0.
    int samples = 0;    // At most 2 are counted; 0: never used.
    double smallest_ms = 0;
    TimeMs measured_at = 0;  // Of the smallest sample.
  };
  static TimeMs NumberAt(TimeMs now);
  static bool IsCurrent(const Slot& slot, TimeMs now);

  std::array<Slot, kSlots> slots_;
};

// Distances between the data hall that this process runs in and the others: the distance class
// follows from the settings, the round-trip times are measured by this process.
class Topology {
 public:
  Topology() = default;
  Topology(std::string hall, HallRegions regions);

  const std::string& hall() const { return hall_; }
  const HallRegions& regions() const { return regions_; }
  // Returns an empty string if the region of the hall is unknown.
  std::string RegionOf(const std::string& hall) const;
  // A hall whose region is unknown counts as in the same region.
  Distance DistanceTo(const std::string& hall) const;
  std::size_t CountRegions() const { return region_count_; }
  // Whether the halls are in more than one region.
  bool HasRegions() const { return region_count_ > 1; }

  // A connection to an upstream in the hall took `ms` to open.
  void AddRoundTrip(const std::string& hall, double ms, TimeMs now);
  // As measured in the last 30 s, or else the default of the distance class.
  RoundTrip RoundTripTo(const std::string& hall, TimeMs now) const;

 private:
  void ForgetExpired(TimeMs now);

  std::string hall_;
  HallRegions regions_;
  std::size_t region_count_ = 0;
  std::map<std::string, RoundTripWindow> round_trips_;  // By hall.
};

// The data halls that operators evacuate, as last read, and when each closes to new requests.
class EvacuatedHalls {
 public:
  struct Change {
    std::string hall;
    bool is_evacuated = false;    // Otherwise it was given back.
    DurationMs closes_in_ms = 0;  // Of an evacuated hall; 0: it is closed.
  };

  // A hall receives nothing once its evacuation was requested `bound_ms` ago; 0: as soon as it is
  // known.
  void SetBound(DurationMs bound_ms) { bound_ms_ = bound_ms; }

  // Takes all evacuated halls, as returned by a query sent at `as_of`; later changes may be
  // missing. Returns what changed. An answer older than the last one is ignored.
  std::vector<Change> Apply(const std::set<std::string>& halls, TimeMs as_of, TimeMs now);

  bool IsEvacuated(const std::string& hall) const { return closes_at_.count(hall) > 0; }
  // Whether the hall may receive nothing any more.
  bool IsClosed(const std::string& hall, TimeMs now) const;
  // Until the hall closes; 0 if it is closed, -1 if it is not evacuated.
  DurationMs ClosesIn(const std::string& hall, TimeMs now) const;
  std::set<std::string> halls() const;

 private:
  DurationMs bound_ms_ = 0;
  TimeMs as_of_ = 0;                         // Of the last answer; 0: none yet.
  std::map<std::string, TimeMs> closes_at_;  // By evacuated hall.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_PLACES_H_

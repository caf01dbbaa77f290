#include <iterator>
#include <set>
#include <utility>

#include "junctionrail/places.h"

namespace junctionrail {
namespace {

// Assumed until round trips are measured. Other regions are assumed to be slow, so that an entry
// that has just started prefers its own region.
constexpr double kSameHallMs = 0;
constexpr double kSameRegionMs = 2;
constexpr double kOtherRegionMs = 40;
// Maximum number of halls with measurements, well above the ten or so of a fleet: names of halls
// come from records, which may be wrong.
constexpr std::size_t kMaxMeasuredHalls = 64;

double DefaultMs(Distance distance) {
  switch (distance) {
    case Distance::kSameHall:
      return kSameHallMs;
    case Distance::kSameRegion:
      return kSameRegionMs;
    case Distance::kOtherRegion:
      return kOtherRegionMs;
  }
  return kSameRegionMs;
}

}  // namespace

std::string_view NameOf(Distance distance) {
  switch (distance) {
    case Distance::kSameHall:
      return "same_hall";
    case Distance::kSameRegion:
      return "same_region";
    case Distance::kOtherRegion:
      return "other_region";
  }
  return "same_region";
}

// The regions are counted once, as selection asks for each candidate of a request.
Topology::Topology(std::string hall, HallRegions regions)
    : hall_(std::move(hall)), regions_(std::move(regions)) {
  std::set<std::string> distinct;
  for (const auto& [name, region] : regions_) distinct.insert(region);
  region_count_ = distinct.size();
}

std::string Topology::RegionOf(const std::string& hall) const {
  const auto it = regions_.find(hall);
  return it == regions_.end() ? std::string() : it->second;
}

Distance Topology::DistanceTo(const std::string& hall) const {
  if (hall == hall_) return Distance::kSameHall;
  const std::string region = RegionOf(hall);
  const std::string own = RegionOf(hall_);
  const bool is_other = !region.empty() && !own.empty() && region != own;
  return is_other ? Distance::kOtherRegion : Distance::kSameRegion;
}

void Topology::AddRoundTrip(const std::string& hall, double ms, TimeMs now) {
  if (round_trips_.count(hall) == 0) ForgetExpired(now);
  if (round_trips_.count(hall) == 0 && round_trips_.size() >= kMaxMeasuredHalls) return;
  round_trips_[hall].Add(ms, now);
}

void Topology::ForgetExpired(TimeMs now) {
  for (auto it = round_trips_.begin(); it != round_trips_.end();) {
    it = it->second.IsExpired(now) ? round_trips_.erase(it) : std::next(it);
  }
}

RoundTrip Topology::RoundTripTo(const std::string& hall, TimeMs now) const {
  const double default_ms = DefaultMs(DistanceTo(hall));
  const auto it = round_trips_.find(hall);
  const auto measured =
      it == round_trips_.end() ? std::nullopt : it->second.Smallest(default_ms, now);
  return measured ? *measured : RoundTrip{default_ms, -1};
}

}  // namespace junctionrail

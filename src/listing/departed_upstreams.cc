#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// By then an upstream that announced its departure has ended; an outdated copy of the store
// that still lists it as ready is only seconds old.
constexpr DurationMs kMemoryMs = 60000;
}  // namespace

void DepartedUpstreams::Add(const UpstreamRecord& last, TimeMs now) {
  Departure& departure = departures_[last.instance];
  const bool was_announced = departure.was_announced || last.is_leaving;
  departure = {now, last.generation, was_announced, 0, 0};
}

bool DepartedUpstreams::IsBack(const UpstreamRecord& record, TimeMs) {
  return !record.is_missing || departures_.count(record.instance) == 0;
}

bool DepartedUpstreams::HasAnnounced(const std::string& instance) const {
  const auto it = departures_.find(instance);
  return it != departures_.end() && it->second.was_announced;
}

void DepartedUpstreams::Expire(TimeMs now) {
  for (auto it = departures_.begin(); it != departures_.end();) {
    it = now - it->second.at >= kMemoryMs ? departures_.erase(it) : std::next(it);
  }
}

}  // namespace junctionrail

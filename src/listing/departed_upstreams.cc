#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// By then an upstream that announced its departure has ended; an outdated copy of the store
// that still lists it as ready is only seconds old.
constexpr DurationMs kMemoryMs = 60000;
// A record that nobody renews expires after three writes were due. One that is listed for longer is
// renewed, so that its upstream is there.
constexpr int kWritesToProve = 4;

}  // namespace

void DepartedUpstreams::Add(const UpstreamRecord& last, TimeMs now) {
  Departure& departure = departures_[last.instance];
  const bool was_announced = departure.was_announced || last.is_leaving;
  departure = {now, last.generation, was_announced, 0, 0};
}

// An upstream that comes back creates its record anew, which then has another generation. The same
// record can only be listed again by a store that was restored from a copy. Its upstream may be
// there nevertheless, and write it again: this shows once the record has outlasted its expiry.
bool DepartedUpstreams::IsBack(const UpstreamRecord& record, TimeMs now) {
  const auto it = departures_.find(record.instance);
  if (it == departures_.end()) return true;
  if (record.is_missing) return false;
  Departure& departure = it->second;
  const bool is_same_record = record.generation != 0 && record.generation == departure.generation;
  if (!is_same_record) return true;
  const DurationMs proof_ms = kWritesToProve * write_period_ms_;
  const bool has_been_absent = departure.listed_at == 0 || now - departure.listed_at > proof_ms;
  if (has_been_absent) departure.reappeared_at = now;
  departure.listed_at = now;
  return now - departure.reappeared_at > proof_ms;
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

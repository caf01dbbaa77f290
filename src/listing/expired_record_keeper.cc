// Tells records that expired during a store outage from those of upstreams that left.
#include <algorithm>
#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A record expires after this many missed writes. The last write may have come just
// before the store became unavailable, so an outage of one period less is enough.
constexpr int kMissedWritesToExpire = 3;
// Records that expired during an outage are listed again within about two seconds of the
// store's return, according to the platform's documentation of upstreams. If one is not,
// its upstream has left.
constexpr DurationMs kRecoveryMs = 2000;

bool HasInstance(const std::vector<UpstreamRecord>& records, const std::string& instance) {
  return std::any_of(records.begin(), records.end(),
                     [&](const UpstreamRecord& it) { return it.instance == instance; });
}

}  // namespace

std::vector<UpstreamRecord> ExpiredRecordKeeper::AddExpired(std::vector<UpstreamRecord> read,
                                                            bool was_unreadable, TimeMs as_of,
                                                            TimeMs now) {
  const DurationMs shortest_outage_ms = (kMissedWritesToExpire - 1) * write_period_ms_;
  const bool is_recovery =
      was_unreadable && (last_read_as_of_ == 0 || as_of - last_read_as_of_ >= shortest_outage_ms ||
                         std::exchange(is_new_era_, false));
  if (is_recovery) recheck_at_ = now + kRecoveryMs;
  const bool is_recovering = now < recheck_at_;
  std::vector<UpstreamRecord> missing;
  for (auto& it : known_records_) {
    // A record seen after the store's return did not expire in the outage: its upstream left.
    const bool may_have_lapsed = is_recovery || (is_recovering && it.is_missing);
    if (!may_have_lapsed || HasInstance(read, it.instance)) continue;
    missing.push_back(std::move(it));
    missing.back().is_missing = true;
  }
  has_missing_ = !missing.empty();
  last_read_as_of_ = as_of;
  known_records_ = std::move(read);
  known_records_.insert(known_records_.end(), std::make_move_iterator(missing.begin()),
                        std::make_move_iterator(missing.end()));
  return known_records_;
}

void ExpiredRecordKeeper::OnRelayed(const std::vector<UpstreamRecord>& records, TimeMs as_of) {
  known_records_ = records;
  last_read_as_of_ = as_of;
  has_missing_ = false;
}

std::vector<UpstreamRecord> ExpiredRecordKeeper::Seed(std::vector<UpstreamRecord> told) {
  known_records_ = std::move(told);
  return known_records_;
}

}  // namespace junctionrail

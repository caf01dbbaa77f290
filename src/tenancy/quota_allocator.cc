#include <algorithm>
#include <cmath>
#include <utility>

#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

// An entry is live if it has missed at most one heartbeat.
constexpr DurationMs kMinLivenessMs = 2500;
constexpr double kLivenessIntervals = 2.5;
// Time for which a silent entry still counts: it may be cut off by a network partition and use its
// local share.
constexpr DurationMs kForgetAfterMs = 20000;
// Interval of Recount(), which also runs when a registration changes.
constexpr DurationMs kRecountIntervalMs = 100;
// Longest gap for which a bucket is refilled. After a longer one the process was suspended, and
// another allocator was in charge meanwhile.
constexpr DurationMs kMaxRefillGapMs = 1000;
// The advance is at most this multiple of the granted amount, taken from the part of the level
// above this fraction of the capacity.
constexpr double kAdvanceFactor = 2;
constexpr double kAdvanceThreshold = 0.5;
constexpr DurationMs kUnknownLimitRetryMs = 250;
constexpr double kMsPerS = 1000;

}  // namespace

bool QuotaAllocator::Entry::IsLive(TimeMs now) const {
  const auto liveness_ms =
      static_cast<DurationMs>(kLivenessIntervals * static_cast<double>(heartbeat_interval_ms));
  return now - last_heartbeat_at <= std::max(kMinLivenessMs, liveness_ms);
}

void QuotaAllocator::OnHeartbeat(const std::string& entry, DurationMs heartbeat_interval_ms,
                                 TimeMs now) {
  Entry& it = entries_[entry];
  it.last_heartbeat_at = now;
  it.heartbeat_interval_ms = heartbeat_interval_ms;
}

void QuotaAllocator::OnLinkClosed(const std::string& entry, TimeMs now) {
  const auto it = entries_.find(entry);
  if (it == entries_.end()) return;
  it->second.organisations.clear();
  Recount(now);
}

void QuotaAllocator::Tick(TimeMs now) {
  if (now - recounted_at_ >= kRecountIntervalMs) Recount(now);
}

QuotaGrant QuotaAllocator::OnRequest(const QuotaRequest& request, TimeMs now) {
  Entry& entry = entries_[request.entry];
  entry.last_heartbeat_at = now;
  entry.known_entries = request.entry_count;
  if (request.registration) Register(&entry, *request.registration, now);
  Tick(now);
  QuotaGrant grant;
  grant.id = request.id;
  for (const auto& it : request.demands) grant.allocations.push_back(Allocate(it, now));
  return grant;
}

void QuotaAllocator::Register(Entry* entry, const QuotaRegistration& registration, TimeMs now) {
  entry->registered_at = now;
  std::map<std::string, TimeMs> organisations;
  bool is_changed = false;
  for (const auto& it : registration.limits) {
    const auto registered = entry->organisations.find(it.organisation);
    is_changed |= registered == entry->organisations.end();
    organisations[it.organisation] =
        registered == entry->organisations.end() ? now : registered->second;
    const auto [found, is_new] = buckets_.emplace(it.organisation, Bucket());
    Bucket& bucket = found->second;
    if (is_new) bucket.refilled_at = now;
    if (!is_new && registration.version <= bucket.version) continue;
    Refill(&bucket, now);
    bucket.version = registration.version;
    bucket.limit = it;
    bucket.level = std::min(bucket.level, bucket.Capacity());
  }
  is_changed |= organisations.size() != entry->organisations.size();
  entry->organisations = std::move(organisations);
  if (is_changed) Recount(now);
}

// Refills with the fraction that applied until now. A bucket starts empty, because another
// allocator has already handed out what accrued before.
void QuotaAllocator::Refill(Bucket* bucket, TimeMs now) {
  const DurationMs gap = std::clamp<DurationMs>(now - bucket->refilled_at, 0, kMaxRefillGapMs);
  bucket->refilled_at = now;
  if (bucket->level >= bucket->Capacity()) return;
  const double refill =
      bucket->limit.rate_per_s * bucket->fraction * static_cast<double>(gap) / kMsPerS;
  bucket->level = std::min(bucket->level + refill, bucket->Capacity());
}

std::map<std::string, QuotaAllocator::RegistrationCounts> QuotaAllocator::CountRegistrations(
    TimeMs now) const {
  std::map<std::string, RegistrationCounts> counts;
  for (const auto& [name, entry] : entries_) {
    if (!entry.IsRegistered(now)) continue;
    for (const auto& [organisation, since] : entry.organisations) {
      RegistrationCounts& it = counts[organisation];
      ++it.total;
      if (now - since >= kRegistrationTtlMs) ++it.exclusive;
    }
  }
  return counts;
}

// Called when all live entries are registered here, so that none of them counts elsewhere.
void QuotaAllocator::MarkExclusive(const std::string& organisation, TimeMs now) {
  for (auto& [name, entry] : entries_) {
    const auto it = entry.organisations.find(organisation);
    if (it != entry.organisations.end())
      it->second = std::min(it->second, now - kRegistrationTtlMs);
  }
}

// Entries that are cut off by a network partition or registered elsewhere use their fraction of the
// limit there. Entries that have been silent for kForgetAfterMs are dropped: they have been
// replaced.
void QuotaAllocator::Recount(TimeMs now) {
  recounted_at_ = now;
  int reported = 0;
  int live = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool is_gone = now - it->second.last_heartbeat_at > kForgetAfterMs;
    if (!is_gone && it->second.IsLive(now)) {
      ++live;
      reported = std::max(reported, it->second.known_entries);
    }
    it = is_gone ? entries_.erase(it) : std::next(it);
  }
  // A restarted agent has heard from few entries so far, but those know the total.
  const int entry_count = std::max(reported, static_cast<int>(entries_.size()));
  const auto counts = CountRegistrations(now);
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    Bucket& bucket = it->second;
    Refill(&bucket, now);
    const auto found = counts.find(it->first);
    if (found == counts.end()) {
      // The current allocator has its own bucket. If this agent is chosen again, it starts with a
      // new one.
      changes_.push_back({it->first, 0, entry_count, 0});
      it = buckets_.erase(it);
      continue;
    }
    const bool is_unanimous = found->second.total >= live;
    if (is_unanimous) MarkExclusive(it->first, now);
    bucket.registered_count = found->second.total;
    const int counted = is_unanimous ? found->second.total : found->second.exclusive;
    const double fraction = entry_count == 0 ? 0 : static_cast<double>(counted) / entry_count;
    if (fraction != bucket.fraction)
      changes_.push_back({it->first, bucket.registered_count, entry_count, fraction});
    bucket.fraction = fraction;
    ++it;
  }
}

QuotaAllocation QuotaAllocator::Allocate(const QuotaDemand& demand, TimeMs now) {
  QuotaAllocation allocation;
  allocation.organisation = demand.organisation;
  allocation.retry_ms = kUnknownLimitRetryMs;
  const auto found = buckets_.find(demand.organisation);
  if (found == buckets_.end()) return allocation;
  Bucket& bucket = found->second;
  Refill(&bucket, now);
  double granted_amount = 0;
  for (const double amount : demand.amounts) {
    // A request is granted while the level is positive and may overdraw it, so that large requests
    // are admitted as often as small ones.
    if (bucket.level <= 0) {
      const double rate_per_ms = bucket.limit.rate_per_s * bucket.fraction / kMsPerS;
      if (rate_per_ms > 0) {
        allocation.retry_ms = static_cast<DurationMs>(std::floor(-bucket.level / rate_per_ms)) + 1;
      }
      return allocation;
    }
    bucket.level -= amount;
    granted_amount += amount;
    ++allocation.granted;
  }
  allocation.retry_ms = 0;
  const double spare = bucket.level - kAdvanceThreshold * bucket.Capacity();
  if (spare <= 0) return allocation;
  allocation.advance = std::min(kAdvanceFactor * granted_amount, spare / bucket.registered_count);
  bucket.level -= allocation.advance;
  return allocation;
}

}  // namespace junctionrail

#include <algorithm>
#include <cmath>
#include <utility>

#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

// An entry is in touch while it has missed no more than one of its repeats.
constexpr DurationMs kLeastLiveMs = 2500;
constexpr double kLiveRepeats = 2.5;
// An entry that is not heard of may be cut off and use its own share for so long.
constexpr DurationMs kMissingMs = 20000;
// Who is there is counted so often, and when an entry says otherwise.
constexpr DurationMs kRecountMs = 100;
// Nothing is filled in for more than this: the process was stopped, and others were
// the giver meanwhile.
constexpr DurationMs kMostGapMs = 1000;
// Granted ahead: so many times what was asked for, from what is above a half.
constexpr double kAheadTimes = 2;
constexpr double kAheadAbove = 0.5;
constexpr DurationMs kUnknownRetryMs = 250;
constexpr double kMsPerS = 1000;

}  // namespace

bool QuotaGiver::Entry::IsLive(TimeMs now) const {
  const auto repeats = static_cast<DurationMs>(kLiveRepeats * static_cast<double>(repeat_ms));
  return now - heard_at <= std::max(kLeastLiveMs, repeats);
}

void QuotaGiver::OnHeard(const std::string& entry, DurationMs repeat_ms, TimeMs now) {
  Entry& it = entries_[entry];
  it.heard_at = now;
  it.repeat_ms = repeat_ms;
}

void QuotaGiver::OnClosed(const std::string& entry, TimeMs now) {
  const auto it = entries_.find(entry);
  if (it == entries_.end()) return;
  it->second.organisations.clear();
  Recount(now);
}

void QuotaGiver::Tick(TimeMs now) {
  if (now - counted_at_ >= kRecountMs) Recount(now);
}

QuotaGrant QuotaGiver::OnAsk(const QuotaAsk& ask, TimeMs now) {
  Entry& entry = entries_[ask.entry];
  entry.heard_at = now;
  entry.entries = ask.entries;
  if (ask.holdings) Hold(&entry, *ask.holdings, now);
  Tick(now);
  QuotaGrant grant;
  grant.number = ask.number;
  for (const auto& it : ask.wants) grant.shares.push_back(Give(it, now));
  return grant;
}

void QuotaGiver::Hold(Entry* entry, const QuotaHoldings& holdings, TimeMs now) {
  entry->held_at = now;
  std::map<std::string, TimeMs> organisations;
  bool has_news = false;
  for (const auto& it : holdings.all) {
    const auto held = entry->organisations.find(it.organisation);
    has_news |= held == entry->organisations.end();
    organisations[it.organisation] = held == entry->organisations.end() ? now : held->second;
    const auto [found, is_new] = buckets_.emplace(it.organisation, Bucket());
    Bucket& bucket = found->second;
    if (is_new) bucket.at = now;
    if (!is_new && holdings.version <= bucket.version) continue;
    Fill(&bucket, now);
    bucket.version = holdings.version;
    bucket.limit = it;
    bucket.level = std::min(bucket.level, bucket.Most());
  }
  has_news |= organisations.size() != entry->organisations.size();
  entry->organisations = std::move(organisations);
  if (has_news) Recount(now);
}

// With its part as it was until now. What an agent could give before it was the giver
// another one has given: so a bucket begins empty.
void QuotaGiver::Fill(Bucket* bucket, TimeMs now) {
  const DurationMs gap = std::clamp<DurationMs>(now - bucket->at, 0, kMostGapMs);
  bucket->at = now;
  if (bucket->level >= bucket->Most()) return;
  const double filled = bucket->limit.per_s * bucket->part * static_cast<double>(gap) / kMsPerS;
  bucket->level = std::min(bucket->level + filled, bucket->Most());
}

std::map<std::string, QuotaGiver::Holders> QuotaGiver::CountHolders(TimeMs now) const {
  std::map<std::string, Holders> holders;
  for (const auto& [name, entry] : entries_) {
    if (!entry.IsHolding(now)) continue;
    for (const auto& [organisation, since] : entry.organisations) {
      Holders& it = holders[organisation];
      ++it.all;
      if (now - since >= kHoldingMs) ++it.settled;
    }
  }
  return holders;
}

// All entries in touch take this agent for the giver: none of them counts at another.
void QuotaGiver::Settle(const std::string& organisation, TimeMs now) {
  for (auto& [name, entry] : entries_) {
    const auto it = entry.organisations.find(organisation);
    if (it != entry.organisations.end()) it->second = std::min(it->second, now - kHoldingMs);
  }
}

// Entries that are cut off, or take another agent for the giver, have their part of the limit
// there. What is not heard of for long counts no more: it has been replaced.
void QuotaGiver::Recount(TimeMs now) {
  counted_at_ = now;
  int told = 0;
  int live = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool is_gone = now - it->second.heard_at > kMissingMs;
    if (!is_gone && it->second.IsLive(now)) {
      ++live;
      told = std::max(told, it->second.entries);
    }
    it = is_gone ? entries_.erase(it) : std::next(it);
  }
  // After its start an agent has heard of few; those few know of more.
  const int all = std::max(told, static_cast<int>(entries_.size()));
  const auto holders = CountHolders(now);
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    Bucket& bucket = it->second;
    Fill(&bucket, now);
    const auto found = holders.find(it->first);
    if (found == holders.end()) {
      // Whoever is the giver now has its own; should this one be it again, it begins anew.
      changes_.push_back({it->first, 0, all, 0});
      it = buckets_.erase(it);
      continue;
    }
    const bool is_agreed = found->second.all >= live;
    if (is_agreed) Settle(it->first, now);
    bucket.holders = found->second.all;
    const int counted = is_agreed ? found->second.all : found->second.settled;
    const double part = all == 0 ? 0 : static_cast<double>(counted) / all;
    if (part != bucket.part) changes_.push_back({it->first, bucket.holders, all, part});
    bucket.part = part;
    ++it;
  }
}

QuotaShare QuotaGiver::Give(const QuotaWant& want, TimeMs now) {
  QuotaShare share;
  share.organisation = want.organisation;
  share.retry_ms = kUnknownRetryMs;
  const auto found = buckets_.find(want.organisation);
  if (found == buckets_.end()) return share;
  Bucket& bucket = found->second;
  Fill(&bucket, now);
  double sum = 0;
  for (const double amount : want.amounts) {
    // A request passes while anything is left, and what it takes beyond that is owed: large ones
    // are let in as often as small ones.
    if (bucket.level <= 0) {
      const double per_ms = bucket.limit.per_s * bucket.part / kMsPerS;
      if (per_ms > 0) {
        share.retry_ms = static_cast<DurationMs>(std::floor(-bucket.level / per_ms)) + 1;
      }
      return share;
    }
    bucket.level -= amount;
    sum += amount;
    ++share.granted;
  }
  share.retry_ms = 0;
  const double spare = bucket.level - kAheadAbove * bucket.Most();
  if (spare <= 0) return share;
  share.ahead = std::min(kAheadTimes * sum, spare / bucket.holders);
  bucket.level -= share.ahead;
  return share;
}

}  // namespace junctionrail

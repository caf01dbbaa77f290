#include "junctionrail/burn.h"

#include <algorithm>

namespace junctionrail {
namespace {

constexpr std::array<std::string_view, kBurnCauseCount> kBurnCauseNames = {
    "good", "slow_cold", "slow_warm", "refused_cold", "queue", "capacity", "upstream", "other"};
constexpr std::string_view kOverflowKey = "(others)";

std::uint64_t CountOf(const BurnCounts& counts, BurnCause cause) {
  return counts.by_cause[static_cast<std::size_t>(cause)];
}

BurnCounts SingleCount(BurnCause cause) {
  BurnCounts counts;
  counts.by_cause[static_cast<std::size_t>(cause)] = 1;
  return counts;
}

// The burn of a budget of which `allowed` is the bad share.
double BurnRate(std::uint64_t bad, std::uint64_t all, double allowed) {
  if (all == 0) return 0;
  return static_cast<double>(bad) / static_cast<double>(all) / allowed;
}

}  // namespace

std::string_view BurnCauseName(BurnCause cause) {
  return kBurnCauseNames[static_cast<std::size_t>(cause)];
}

std::uint64_t BurnCounts::Total() const {
  std::uint64_t sum = 0;
  for (const auto it : by_cause) sum += it;
  return sum;
}

void BurnCounts::Add(const BurnCounts& other) {
  for (std::size_t n = 0; n < kBurnCauseCount; ++n) by_cause[n] += other.by_cause[n];
  cold_starts += other.cold_starts;
  cold_starts_late += other.cold_starts_late;
}

BurnRates ComputeBurnRates(const BurnCounts& counts, const Objectives& objectives) {
  const std::uint64_t all = counts.Total();
  const std::uint64_t slow =
      CountOf(counts, BurnCause::kSlowCold) + CountOf(counts, BurnCause::kSlowWarm);
  const std::uint64_t unserved = all - CountOf(counts, BurnCause::kGood) - slow;
  BurnRates rates;
  // A call that was not served had no first token in time either.
  rates.first_token = BurnRate(slow + unserved, all, 1 - objectives.first_token_share);
  rates.availability = BurnRate(unserved, all, 1 - objectives.availability);
  rates.cold_start =
      BurnRate(counts.cold_starts_late, counts.cold_starts, 1 - objectives.first_token_share);
  rates.budget_left = 1 - rates.first_token;
  return rates;
}

BurnCounts ClassifyResponse(const Objectives& objectives, DurationMs first_byte_ms, bool was_cold) {
  const bool is_late = first_byte_ms > objectives.first_token_ms;
  BurnCounts counts = SingleCount(!is_late   ? BurnCause::kGood
                                  : was_cold ? BurnCause::kSlowCold
                                             : BurnCause::kSlowWarm);
  counts.cold_starts = was_cold ? 1 : 0;
  counts.cold_starts_late = was_cold && first_byte_ms > objectives.cold_start_ms ? 1 : 0;
  return counts;
}

BurnCounts ClassifyFailure(std::string_view refusal_name) {
  const auto is_one_of = [refusal_name](std::initializer_list<std::string_view> names) {
    return std::find(names.begin(), names.end(), refusal_name) != names.end();
  };
  if (is_one_of({"cold_too_late", "load_failed"})) return SingleCount(BurnCause::kRefusedCold);
  if (is_one_of({"queue_too_late", "queue_full"})) return SingleCount(BurnCause::kQueue);
  if (is_one_of({"no_replicas", "no_memory", "not_granted", "grant_unverified", "placement_failed",
                 "no_upstream", "leaving"})) {
    return SingleCount(BurnCause::kCapacity);
  }
  if (is_one_of({"upstream_unreachable", "upstream_failed", "link_lost", "deadline_passed"})) {
    return SingleCount(BurnCause::kUpstream);
  }
  return SingleCount(BurnCause::kOther);
}

void BurnTracker::Bucket::Add(const BurnCounts& one) {
  for (std::size_t n = 0; n < kBurnCauseCount; ++n) {
    by_cause[n] += static_cast<std::uint32_t>(one.by_cause[n]);
  }
  cold_starts += static_cast<std::uint32_t>(one.cold_starts);
  cold_starts_late += static_cast<std::uint32_t>(one.cold_starts_late);
}

void BurnTracker::Bucket::AddTo(BurnCounts* sum) const {
  for (std::size_t n = 0; n < kBurnCauseCount; ++n) sum->by_cause[n] += by_cause[n];
  sum->cold_starts += cold_starts;
  sum->cold_starts_late += cold_starts_late;
}

void BurnTracker::Add(TimeMs now, std::string_view key, const BurnCounts& one) {
  auto it = keys_.find(key);
  if (it == keys_.end()) {
    const bool has_room = keys_.size() < max_keys_;
    it = keys_.try_emplace(std::string(has_room ? key : kOverflowKey)).first;
  }
  for (std::size_t n = 0; n < kBurnWindows.size(); ++n) {
    const BurnWindow& window = kBurnWindows[n];
    Buckets& buckets = it->second[n];
    const std::int64_t number = now / window.bucket_ms;
    if (buckets.empty() || buckets.back().number != number) {
      const std::int64_t oldest = (now - window.length_ms) / window.bucket_ms;
      const auto is_young = [oldest](const Bucket& bucket) { return bucket.number > oldest; };
      buckets.erase(buckets.begin(), std::find_if(buckets.begin(), buckets.end(), is_young));
      buckets.push_back(Bucket{number, {}, 0, 0});
    }
    buckets.back().Add(one);
  }
}

std::vector<BurnTracker::Entry> BurnTracker::Report(TimeMs now, std::string_view only_key) const {
  std::vector<Entry> all;
  for (const auto& [key, series] : keys_) {
    if (!only_key.empty() && key != only_key) continue;
    Entry entry;
    entry.key = key;
    for (std::size_t n = 0; n < kBurnWindows.size(); ++n) {
      const std::int64_t oldest = (now - kBurnWindows[n].length_ms) / kBurnWindows[n].bucket_ms;
      for (const auto& bucket : series[n]) {
        if (bucket.number > oldest) bucket.AddTo(&entry.windows[n]);
      }
    }
    all.push_back(std::move(entry));
  }
  return all;
}

}  // namespace junctionrail

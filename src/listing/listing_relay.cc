#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// An entry that has not asked for this long has ended or asks another relay.
constexpr DurationMs kAskerTtlMs = 5000;
// Entries that observe all engines and plan replicas, staging and the use of the weight store for
// the whole fleet. Several, as some may be cut off, and their number does not grow with the fleet.
// With several regions, each gets its share of them, so that a partition between regions leaves
// every region with planners of its own.
constexpr int kPlanners = 8;
constexpr DurationMs kChoosePlannersMs = 500;
// An entry that is further behind gets the whole list.
constexpr std::size_t kMaxRemovals = 4096;
// When all entries ask another relay, each needs the whole list, and when the store turns them
// away, the configuration. Sent at once these would take most of an agent's memory.
constexpr int kLargeRepliesPerS = 100;
constexpr DurationMs kSecondMs = 1000;

// Rounded up: 3 for each of three regions.
std::size_t PlannersPerRegion(int regions) {
  const int n = std::clamp(regions, 1, kPlanners);
  return static_cast<std::size_t>((kPlanners + n - 1) / n);
}

struct RankedEntry {
  std::uint64_t score = 0;
  std::string entry;

  bool operator>(const RankedEntry& other) const {
    return std::tie(score, entry) > std::tie(other.score, other.entry);
  }
};

// The entries of one region that ask the relay.
struct RegionAskers {
  std::vector<RankedEntry> ranked;
  int regions = 1;  // The largest number that one of them states.
};

}  // namespace

void ListingRelay::ApplyListing(const UpstreamListing& listing) {
  if (listing.as_of < as_of_) return;
  as_of_ = listing.as_of;
  const std::uint64_t version = version_ + 1;
  std::set<std::string> listed;
  for (const auto& it : listing.records) {
    listed.insert(it.instance);
    VersionedRecord& known = records_[it.instance];
    if (known.version != 0 && known.record == it) continue;
    known = {it, version};
    version_ = version;
  }
  for (auto it = records_.begin(); it != records_.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    removals_.push_back({it->first, version});
    version_ = version;
    it = records_.erase(it);
  }
  if (version_ == version) encoded_changes_.clear();
  while (removals_.size() > kMaxRemovals) {
    forgotten_version_ = removals_.front().version;
    removals_.pop_front();
  }
}

void ListingRelay::ConfirmConfiguration(std::uint64_t version, const std::string& document,
                                        TimeMs as_of) {
  if (version != configuration_version_) configuration_ = std::make_shared<std::string>(document);
  configuration_version_ = version;
  configuration_as_of_ = as_of;
}

RelayReply ListingRelay::Answer(const RelayRequest& request, TimeMs now) {
  askers_[request.entry] = {now, request.region, request.regions};
  RelayReply reply;
  reply.number = request.number;
  reply.epoch = epoch_;
  reply.version = request.epoch == epoch_ ? request.version : 0;
  reply.is_planner = IsPlanner(request.entry, now);
  if (configuration_as_of_ != 0) {
    reply.configuration_version = configuration_version_;
    reply.configuration_age_ms = now - configuration_as_of_;
    reply.evacuated_halls = evacuated_halls_;
  }
  const bool needs_configuration = request.outdated_configuration != 0 &&
                                   request.outdated_configuration < configuration_version_;
  if (needs_configuration && MaySendLargeReply(now)) reply.configuration = configuration_;
  const bool knows_base = request.epoch == epoch_ && request.version >= forgotten_version_ &&
                          request.version != 0 && request.version <= version_;
  if (as_of_ == 0 || (!knows_base && !MaySendLargeReply(now))) return reply;
  reply.list_age_ms = now - as_of_;
  reply.version = version_;
  reply.is_whole = !knows_base;
  reply.changes = ChangesSince(knows_base ? request.version : 0);
  return reply;
}

std::shared_ptr<const std::string> ListingRelay::ChangesSince(std::uint64_t base) {
  auto& encoded = encoded_changes_[base];
  if (encoded) return encoded;
  ListingChanges changes;
  for (const auto& [instance, it] : records_) {
    if (it.version > base) changes.changed.push_back(it.record);
  }
  for (auto it = removals_.rbegin(); it != removals_.rend() && it->version > base; ++it) {
    const bool is_needed = base != 0 && records_.count(it->instance) == 0;
    if (is_needed) changes.removed.push_back(it->instance);
  }
  encoded = std::make_shared<const std::string>(EncodeListingChanges(changes));
  return encoded;
}

bool ListingRelay::IsInUse(TimeMs now) const {
  return std::any_of(askers_.begin(), askers_.end(),
                     [now](const auto& it) { return now - it.second.asked_at <= kAskerTtlMs; });
}

bool ListingRelay::IsPlanner(const std::string& entry, TimeMs now) {
  const bool is_due = planners_chosen_at_ == 0 || now - planners_chosen_at_ >= kChoosePlannersMs;
  if (is_due || is_planner_missing_) {
    planners_chosen_at_ = now;
    ForgetGoneAskers(now);
    ChoosePlanners();
  }
  return planners_.count(entry) > 0;
}

void ListingRelay::ForgetGoneAskers(TimeMs now) {
  for (auto it = askers_.begin(); it != askers_.end();) {
    it = now - it->second.asked_at > kAskerTtlMs ? askers_.erase(it) : std::next(it);
  }
}

// Entries that state no region form a group of their own.
void ListingRelay::ChoosePlanners() {
  std::map<std::string, RegionAskers> by_region;
  for (const auto& [entry, it] : askers_) {
    RegionAskers& group = by_region[it.region];
    group.ranked.push_back({RendezvousScore("planner", entry), entry});
    group.regions = std::max(group.regions, it.regions);
  }
  planners_.clear();
  is_planner_missing_ = false;
  for (auto& [region, group] : by_region) {
    auto& ranked = group.ranked;
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const std::size_t wanted = PlannersPerRegion(group.regions);
    is_planner_missing_ |= ranked.size() < wanted;
    for (std::size_t k = 0; k < std::min(ranked.size(), wanted); ++k)
      planners_.insert(std::move(ranked[k].entry));
  }
}

bool ListingRelay::MaySendLargeReply(TimeMs now) {
  if (now - large_replies_since_ >= kSecondMs) {
    large_replies_since_ = now;
    large_replies_sent_ = 0;
  }
  return large_replies_sent_++ < kLargeRepliesPerS;
}

}  // namespace junctionrail

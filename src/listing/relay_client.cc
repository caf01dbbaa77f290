#include <algorithm>
#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A relay that does not answer, or whose list is old, is asked again after this long.
constexpr DurationMs kPassOverMs = 5000;
// With several regions, this time doubles with each further failure, at most this often, and each
// entry waits for one to three times the result. With a constant time, all entries of a region
// would fetch a whole list within one period after a partition.
constexpr int kMaxDoublings = 2;
constexpr DurationMs kSpreadFactor = 2;
// The failures of a relay are forgotten this long after it may be asked again.
constexpr DurationMs kForgetMs = 60000;
// A request without an answer, or without a list in it, is followed by another one this much later.
constexpr DurationMs kRetryMs = 300;

}  // namespace

void RelayClient::SetRegion(std::string region, int regions) {
  region_ = std::move(region);
  regions_ = regions;
}

void RelayClient::AskForConfiguration(std::uint64_t outdated_version) {
  outdated_configuration_ = outdated_version;
  if (outdated_version != 0) next_ask_at_ = std::min(next_ask_at_, asked_at_ + kRetryMs);
}

void RelayClient::PassOver(const std::string& relay, TimeMs now) {
  PassedOver& it = passed_over_[relay];
  const int doublings = std::min(it.failures++, kMaxDoublings);
  it.until = now + kPassOverMs;
  if (regions_ <= 1) return;
  const DurationMs shortest_ms = kPassOverMs << doublings;
  // The number of the request is part of the key, so that entries that return at the same time once
  // do not do so again.
  const auto score = RendezvousScore(relay + std::to_string(last_number_), entry_);
  const auto spread_ms = static_cast<std::uint64_t>(shortest_ms * kSpreadFactor);
  it.until = now + shortest_ms + static_cast<DurationMs>(score % spread_ms);
}

const std::string* RelayClient::FindBest(const std::vector<std::string>& ranked, TimeMs now) const {
  const auto best = std::find_if(ranked.begin(), ranked.end(), [&](const auto& instance) {
    const auto it = passed_over_.find(instance);
    return it == passed_over_.end() || it->second.until <= now;
  });
  return best == ranked.end() ? nullptr : &*best;
}

std::optional<RelayClient::Ask> RelayClient::NextAsk(const std::vector<std::string>& ranked,
                                                     TimeMs now) {
  if (!IsDue(now)) return std::nullopt;
  if (!is_answered_ && !relay_.empty()) PassOver(relay_, now);
  const std::string* best = FindBest(ranked, now);
  relay_ = best == nullptr ? std::string() : *best;
  for (auto it = passed_over_.begin(); it != passed_over_.end();) {
    it = it->second.until + kForgetMs <= now ? passed_over_.erase(it) : std::next(it);
  }
  if (relay_.empty()) return std::nullopt;
  is_answered_ = false;
  asked_at_ = now;
  next_ask_at_ = now + kRetryMs;
  return Ask{
      relay_,
      {entry_, ++last_number_, epoch_, version_, region_, regions_, outdated_configuration_}};
}

// Ages count from the request: the way of the reply, or a pause of the relay before it answered,
// must not make its list look newer than it is.
std::optional<RelayClient::News> RelayClient::OnReply(const std::string& instance,
                                                      const RelayReply& reply,
                                                      DurationMs max_age_ms, TimeMs now) {
  if (instance != relay_ || reply.number != last_number_ || is_answered_) return std::nullopt;
  is_answered_ = true;
  next_ask_at_ = now + kRetryMs;
  News news;
  news.is_planner = reply.is_planner;
  if (reply.configuration_age_ms >= 0) {
    news.configuration_version = reply.configuration_version;
    news.configuration_as_of = asked_at_ - reply.configuration_age_ms;
    news.evacuated_halls.insert(reply.evacuated_halls.begin(), reply.evacuated_halls.end());
    news.configuration = reply.configuration;
  }
  const bool is_old = reply.list_age_ms > max_age_ms;
  if (is_old) {
    PassOver(instance, now);
  } else {
    passed_over_.erase(instance);
  }
  const bool has_base = reply.is_whole || reply.epoch == epoch_;
  if (reply.list_age_ms < 0 || !has_base || !reply.changes) return news;
  ListingChanges changes;
  if (!DecodeListingChanges(*reply.changes, &changes)) return std::nullopt;
  if (reply.is_whole) records_.clear();
  for (const auto& it : changes.removed) records_.erase(it);
  for (const auto& it : changes.changed) records_[it.instance] = it;
  next_ask_at_ = asked_at_ + period_ms_;
  epoch_ = reply.epoch;
  version_ = reply.version;
  news.listing.emplace();
  news.listing->as_of = asked_at_ - reply.list_age_ms;
  for (const auto& [name, record] : records_) news.listing->records.push_back(record);
  return news;
}

}  // namespace junctionrail

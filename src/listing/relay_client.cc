#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// A relay that does not answer, or whose list is old, is asked again after this long.
constexpr DurationMs kPassOverMs = 5000;
// A request without an answer, or without a list in it, is followed by another one this much later.
constexpr DurationMs kRetryMs = 300;

}  // namespace

std::optional<RelayClient::Ask> RelayClient::NextAsk(const std::vector<std::string>& ranked,
                                                     TimeMs now) {
  if (!IsDue(now)) return std::nullopt;
  if (!is_answered_ && !relay_.empty()) passed_over_until_[relay_] = now + kPassOverMs;
  relay_.clear();
  for (const auto& instance : ranked) {
    const auto it = passed_over_until_.find(instance);
    if (it != passed_over_until_.end() && it->second > now) continue;
    relay_ = instance;
    break;
  }
  for (auto it = passed_over_until_.begin(); it != passed_over_until_.end();) {
    it = it->second <= now ? passed_over_until_.erase(it) : std::next(it);
  }
  if (relay_.empty()) return std::nullopt;
  is_answered_ = false;
  asked_at_ = now;
  next_ask_at_ = now + kRetryMs;
  return Ask{relay_, {entry_, ++last_number_, epoch_, version_}};
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
  }
  const bool is_old = reply.list_age_ms > max_age_ms;
  if (is_old) passed_over_until_[instance] = now + kPassOverMs;
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

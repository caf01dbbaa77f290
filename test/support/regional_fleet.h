// Simulates, in virtual time and with the production decision code, how entries and agents of
// several regions pass on the list of upstreams and the configuration.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_REGIONAL_FLEET_H_
#define JUNCTIONRAIL_TEST_SUPPORT_REGIONAL_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "junctionrail/listing.h"
#include "routing_world.h"

namespace junctionrail::testing {

inline constexpr TimeMs kStart = 1000000;
inline constexpr DurationMs kLeavingMs = 4000;
inline constexpr DurationMs kPollMs = kLeavingMs * 45 / 100;
inline constexpr DurationMs kRelayMs = kLeavingMs / 5;
// An entry reads the configuration itself when no relay has confirmed it for this long.
inline constexpr DurationMs kRelayTrustMs = kLeavingMs * 6 / 10;
inline constexpr std::size_t kCandidates = 16;
inline constexpr int kEnginesPerRegion = 14;
inline constexpr DurationMs kMinuteMs = 60000;
inline constexpr int kNoRegion = -1;

inline std::string RegionName(int region) { return "region-" + std::to_string(region); }
inline std::string HallName(int region) { return "hall-" + std::to_string(region); }

struct Shape {
  int regions = 1;
  int entries_per_region = 8;
  // Whether entries know the regions of the halls. Otherwise all of them use one relay.
  bool has_regions_in_settings = true;
};

inline Topology TopologyOf(const Shape& shape, int region) {
  HallRegions regions;
  for (int n = 0; n < shape.regions; ++n) regions[HallName(n)] = RegionName(n);
  return {HallName(region), shape.has_regions_in_settings ? regions : HallRegions()};
}

inline UpstreamTable MakeTable(const Shape& shape, int region) {
  RoutingOptions options;
  options.topology = TopologyOf(shape, region);
  options.policy.stages = options.policy.spares = false;
  UpstreamTable table(std::move(options));
  table.ApplyServices({{"engine", 100, MakeSpec()}});
  return table;
}

inline UpstreamRecord Engine(int region, int n) {
  const std::string name = "e" + std::to_string(region) + "-" + std::to_string(n);
  UpstreamRecord record = MakeRecord(name, HallName(region));
  record.endpoint = {"10.0." + std::to_string(region) + ".1", static_cast<std::uint16_t>(n + 1)};
  return record;
}

struct Traffic {
  int store_polls = 0;
  int messages = 0;  // Between regions.
  std::size_t bytes = 0;
  int whole_lists = 0;
  // By entries, because no relay had confirmed the configuration.
  int configuration_reads = 0;
};

// Entries and agents of several regions. The store is in reach of all of them.
class RegionalFleet {
 public:
  explicit RegionalFleet(Shape shape) : shape_(shape) {
    for (int region = 0; region < shape.regions; ++region) {
      for (int n = 0; n < kEnginesPerRegion; ++n) records_.push_back(Engine(region, n));
      for (int n = 0; n < shape.entries_per_region; ++n) AddEntry(region, n);
    }
    for (const auto& it : records_) {
      relays_[it.instance].relay = std::make_unique<ListingRelay>(it.instance);
      relays_[it.instance].region = RegionOf(it);
    }
  }

  void Run(DurationMs ms) {
    for (const TimeMs until = now_ + ms; now_ < until; now_ += 10) {
      for (auto& [name, it] : relays_) Advance(&it);
      for (auto& it : entries_) Advance(&it);
      Measure();
    }
  }

  // The region has no connection to the others.
  void Cut(int region) { cut_region_ = region; }
  void StopAgent(const std::string& instance) { relays_.at(instance).is_up = false; }
  void StopAgentsOf(int region) {
    for (auto& [name, it] : relays_) it.is_up &= it.region != region;
  }
  void MarkLeaving(const std::string& instance) {
    for (auto& it : records_) it.is_leaving |= it.instance == instance;
  }
  void Evacuate(const std::string& hall) { evacuated_halls_ = {hall}; }

  Traffic TakeTraffic() { return std::exchange(traffic_, {}); }
  // The greatest ages since the last call, in that region.
  struct Ages {
    DurationMs list_ms = 0;
    DurationMs configuration_ms = 0;
  };
  Ages TakeAges(int region) { return std::exchange(oldest_[region], {}); }

  // The relays that entries of the region asked last.
  std::set<std::string> RelaysOf(int region) const {
    std::set<std::string> relays;
    for (const auto& it : entries_) {
      if (it.region == region) relays.insert(it.client.relay());
    }
    return relays;
  }
  bool AreIn(const std::set<std::string>& relays, int region) const {
    return std::all_of(relays.begin(), relays.end(),
                       [&](const auto& it) { return relays_.at(it).region == region; });
  }
  int CountPlanners(int region) const {
    return CountEntries(region, [](const Entry& it) { return it.is_planner; });
  }
  int CountKnowingEvacuation(int region) const {
    return CountEntries(region, [](const Entry& it) { return !it.evacuated_halls.empty(); });
  }
  int CountKnowingLeaving(int region, const std::string& instance) const {
    return CountEntries(region, [&](const Entry& it) {
      const UpstreamRecord* record = it.table.Find(instance);
      return record != nullptr && record->is_leaving;
    });
  }

 private:
  struct Relay {
    std::unique_ptr<ListingRelay> relay;
    int region = 0;
    PollSchedule schedule{kRelayMs};
    bool is_up = true;
  };
  struct Entry {
    int region = 0;
    UpstreamTable table;
    RelayClient client;
    PollSchedule schedule;
    TimeMs starts_at = 0;
    TimeMs configuration_as_of = kStart;
    std::set<std::string> evacuated_halls;
    bool is_planner = false;
  };

  template <class Predicate>
  int CountEntries(int region, Predicate holds) const {
    return static_cast<int>(std::count_if(entries_.begin(), entries_.end(), [&](const Entry& it) {
      return it.region == region && holds(it);
    }));
  }

  static int RegionOf(const UpstreamRecord& record) { return record.data_hall.back() - '0'; }

  void AddEntry(int region, int n) {
    const std::string name = "entry-" + std::to_string(region) + "-" + std::to_string(n);
    const auto id = static_cast<DurationMs>(entries_.size());
    entries_.push_back(Entry{region,
                             MakeTable(shape_, region),
                             RelayClient(name, kRelayMs),
                             PollSchedule(kPollMs),
                             kStart + id * 70 % kRelayMs,
                             kStart,
                             {},
                             false});
    const Topology topology = TopologyOf(shape_, region);
    if (!topology.HasRegions()) return;
    entries_.back().client.SetRegion(RegionName(region), static_cast<int>(topology.CountRegions()));
  }

  bool IsCut(int a, int b) const { return a != b && (a == cut_region_ || b == cut_region_); }

  void Advance(Relay* it) {
    if (!it->is_up || !it->relay->IsInUse(now_) || it->schedule.NextAt() > now_) return;
    ++traffic_.store_polls;
    it->schedule.OnAnswer(it->schedule.Begin(now_), now_);
    it->relay->ApplyListing({records_, now_});
    it->relay->ConfirmConfiguration(1, "{}", now_);
    it->relay->ApplyEvacuations(evacuated_halls_);
  }

  void Advance(Entry* it) {
    if (it->schedule.NextAt() <= now_) {
      ++traffic_.store_polls;
      it->schedule.OnAnswer(it->schedule.Begin(now_), now_);
      it->table.ApplyListing(records_, now_);
    }
    if (now_ - it->configuration_as_of > kRelayTrustMs) {
      ++traffic_.configuration_reads;
      ApplyConfiguration(it, now_, {evacuated_halls_.begin(), evacuated_halls_.end()});
    }
    if (it->starts_at <= now_ && it->client.IsDue(now_)) AskRelay(it);
  }

  static void ApplyConfiguration(Entry* it, TimeMs as_of, std::set<std::string> halls) {
    it->configuration_as_of = as_of;
    it->evacuated_halls = std::move(halls);
  }

  // Messages are encoded and decoded, as those between processes.
  void AskRelay(Entry* it) {
    const auto ask = it->client.NextAsk(it->table.RankAgents(kCandidates), now_);
    if (!ask) return;
    const std::string sent = EncodeRelayRequest(ask->request);
    Relay& to = relays_.at(ask->instance);
    CountMessage(it->region, to.region, sent);
    if (!to.is_up || IsCut(it->region, to.region)) return;
    RelayRequest request;
    DecodeRelayRequest(sent, &request);
    const std::string answer = EncodeRelayReply(to.relay->Answer(request, now_));
    CountMessage(it->region, to.region, answer);
    RelayReply reply;
    DecodeRelayReply(answer, &reply);
    traffic_.whole_lists += reply.is_whole ? 1 : 0;
    const auto news = it->client.OnReply(ask->instance, reply, 2 * kRelayMs, now_);
    if (news) ApplyNews(it, *news);
  }

  void ApplyNews(Entry* it, const RelayClient::News& news) {
    it->is_planner = news.is_planner;
    if (news.configuration_as_of != 0) {
      ApplyConfiguration(it, news.configuration_as_of, news.evacuated_halls);
    }
    if (!news.listing || !it->schedule.OnRelayed(news.listing->as_of, now_)) return;
    it->table.ApplyListing(news.listing->records, now_);
  }

  void CountMessage(int a, int b, const std::string& bytes) {
    if (a == b) return;
    ++traffic_.messages;
    traffic_.bytes += bytes.size();
  }

  void Measure() {
    for (const auto& it : entries_) {
      Ages& ages = oldest_[it.region];
      ages.list_ms = std::max(ages.list_ms, now_ - it.schedule.as_of());
      ages.configuration_ms = std::max(ages.configuration_ms, now_ - it.configuration_as_of);
    }
  }

  Shape shape_;
  TimeMs now_ = kStart;
  std::map<std::string, Relay> relays_;  // By instance of the engine.
  std::vector<Entry> entries_;
  std::vector<UpstreamRecord> records_;
  std::vector<std::string> evacuated_halls_;
  int cut_region_ = kNoRegion;
  Traffic traffic_;
  std::map<int, Ages> oldest_;
};

inline constexpr DurationMs kWarmUpMs = 10000;

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_REGIONAL_FLEET_H_

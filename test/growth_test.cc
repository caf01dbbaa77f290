// What grows with the fleet, in counts of calls, links and messages, over the production decisions
// in simulated time. Each test has the same load per entry at two sizes of the fleet.
#include <memory>

#include "check.h"
#include "junctionrail/listing.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

constexpr TimeMs kStart = 1000000;
constexpr DurationMs kLeavingMs = 5000;
constexpr DurationMs kPollMs = kLeavingMs * 45 / 100;
constexpr DurationMs kRelayMs = kLeavingMs / 5;

UpstreamRecord Engine(int n) {
  UpstreamRecord record = testing::MakeRecord("e" + std::to_string(n));
  record.endpoint.port = static_cast<std::uint16_t>(n + 1);
  return record;
}

// Entries that ask a relay for the list of upstreams, and poll the store when that gets too old.
class ListingFleet {
 public:
  explicit ListingFleet(int entries) {
    for (int n = 0; n < 4; ++n) {
      const std::string name = "agent-" + std::to_string(n);
      relays_[name].relay = std::make_unique<ListingRelay>(name);
      ranked_.push_back(name);
    }
    for (int n = 0; n < entries; ++n) {
      entries_.push_back(Entry{RelayClient("entry-" + std::to_string(n), kRelayMs),
                               PollSchedule(kPollMs),
                               kStart + DurationMs{n} * 7 % kRelayMs,
                               {}});
    }
    for (int n = 0; n < 50; ++n) records_.push_back(Engine(n));
  }

  void Run(DurationMs ms) {
    for (const TimeMs until = now_ + ms; now_ < until; now_ += 10) {
      for (auto& [name, it] : relays_) Advance(&it);
      for (auto& it : entries_) Advance(&it);
    }
  }

  void SetRelays(bool are_up) { are_relays_up_ = are_up; }
  void StopRelay(const std::string& name) { relays_[name].is_up = false; }
  void Remove(int n) { records_.erase(records_.begin() + n); }

  int store_calls = 0;
  int whole_lists = 0;
  int records_sent = 0;

  DurationMs OldestAge() const {
    DurationMs oldest = 0;
    for (const auto& it : entries_) oldest = std::max(oldest, now_ - it.schedule.as_of());
    return oldest;
  }
  std::size_t MostRecords() const {
    std::size_t most = 0;
    for (const auto& it : entries_) most = std::max(most, it.known);
    return most;
  }
  int planners = 0;

 private:
  struct Relay {
    std::unique_ptr<ListingRelay> relay;
    PollSchedule schedule{kRelayMs};
    bool is_up = true;
  };
  struct Entry {
    RelayClient client;
    PollSchedule schedule;
    TimeMs starts_at = 0;
    std::size_t known = 0;
  };

  void Advance(Relay* it) {
    if (!it->relay->IsInUse(now_) || it->schedule.NextAt() > now_) return;
    ++store_calls;
    it->schedule.OnAnswer(it->schedule.Begin(now_), now_);
    it->relay->ApplyListing({records_, now_});
  }

  void Advance(Entry* it) {
    if (it->schedule.NextAt() <= now_) {
      ++store_calls;
      it->schedule.OnAnswer(it->schedule.Begin(now_), now_);
      it->known = records_.size();
    }
    if (it->starts_at > now_) return;
    const auto ask = it->client.NextAsk(ranked_, now_);
    if (!ask || !are_relays_up_ || !relays_[ask->instance].is_up) return;
    const RelayReply reply = relays_[ask->instance].relay->Answer(ask->request, now_);
    whole_lists += reply.is_whole ? 1 : 0;
    ListingChanges changes;
    if (reply.changes) DecodeListingChanges(*reply.changes, &changes);
    records_sent += static_cast<int>(changes.changed.size());
    const auto news = it->client.OnReply(ask->instance, reply, 2 * kRelayMs, now_);
    if (!news || !news->listing) return;
    if (!it->schedule.OnRelayed(news->listing->as_of, now_)) return;
    it->known = news->listing->records.size();
  }

  TimeMs now_ = kStart;
  std::map<std::string, Relay> relays_;
  std::vector<std::string> ranked_;
  std::vector<Entry> entries_;
  std::vector<UpstreamRecord> records_;
  bool are_relays_up_ = true;
};

// One entry before many engines, with a request for one of `models` models each second.
class ObservingEntry {
 public:
  ObservingEntry(int engines, bool is_planner, int small_fleet_engines = 0)
      : table_(Options(small_fleet_engines)) {
    table_.SetPlanner(is_planner);
    EngineSpec spec = testing::MakeSpec();
    for (int n = 0; n < kModels; ++n) spec.models.push_back({Model(n), 72, 1, 6000, 800, 400});
    table_.ApplyServices({{"engine", 100, spec}});
    std::vector<UpstreamRecord> records;
    for (int n = 0; n < engines; ++n) {
      records.push_back(Engine(n));
      // Every tenth model is loaded on many engines, the others on few.
      records.back().loaded = {{Model(10 * (n % 10)), {}}, {Model(n % kModels), {}}};
    }
    table_.ApplyListing(records, now_);
  }

  // Returns the number of links that the entry keeps after its requests of a minute.
  std::size_t Run() {
    for (int n = 0; n < 60; ++n) {
      now_ += 1000;
      const ModelRef ref{Model(n * 7 % kModels), {}};
      table_.OnArrival(ref, 1, 500, now_);
      PickRequest request;
      request.service = "engine";
      request.model = ref;
      request.request_id = "r" + std::to_string(n);
      const PickResult pick = table_.Choose(request, now_);
      if (const auto* to = std::get_if<SendTo>(&pick)) {
        table_.OnSent(to->instance, ref, now_);
        table_.OnAttemptEnd(to->instance, ref, AttemptOutcome::kServed, now_);
        ++sent;
      }
      links_ = table_.BuildDemands({}, now_).size();
    }
    return links_;
  }

  int sent = 0;

 private:
  static constexpr int kModels = 100;
  static std::string Model(int n) { return "m" + std::to_string(n); }
  static RoutingOptions Options(int small_fleet_engines) {
    RoutingOptions options;
    options.small_fleet_engines = small_fleet_engines;
    options.topology = Topology("hall-1", {});
    options.entry_id = "entry-1";
    return options;
  }

  UpstreamTable table_;
  TimeMs now_ = kStart;
  std::size_t links_ = 0;
};

}  // namespace

TEST_GROUP(GrowthOfStoreCalls){};

TEST(GrowthOfStoreCalls, AreThoseOfOneRelayHoweverManyEntriesThereAre) {
  ListingFleet fleet(100);
  ListingFleet twice(200);
  fleet.Run(5000);
  twice.Run(5000);
  fleet.store_calls = twice.store_calls = 0;
  fleet.Run(60000);
  twice.Run(60000);
  EXPECT_NUMBER(60000 / kRelayMs, fleet.store_calls, "one each period of the relay");
  EXPECT_NUMBER(fleet.store_calls, twice.store_calls, "with twice as many entries");
  EXPECT_TRUE(twice.OldestAge() <= kPollMs, "what every entry knows is as young as if it polled");
}

TEST(GrowthOfStoreCalls, AreThoseOfAllEntriesOnlyWhileNoRelayAnswers) {
  ListingFleet fleet(100);
  fleet.Run(5000);
  fleet.SetRelays(false);
  fleet.store_calls = 0;
  fleet.Run(20000);
  EXPECT_TRUE(fleet.store_calls > 100 * 7, "every entry polls the store itself");
  EXPECT_TRUE(fleet.OldestAge() <= kPollMs, "and knows as much as before");
}

TEST(GrowthOfStoreCalls, DoNotFollowTheLossOfARelay) {
  ListingFleet fleet(100);
  fleet.Run(5000);
  fleet.StopRelay("agent-0");
  fleet.store_calls = 0;
  fleet.Run(20000);
  EXPECT_TRUE(fleet.store_calls <= 100 + 20000 / kRelayMs + 1,
              "expected one poll an entry at most, got " + std::to_string(fleet.store_calls));
}

TEST_GROUP(GrowthOfListMessages){};

TEST(GrowthOfListMessages, HoldWhatChangedAndNotTheWholeList) {
  ListingFleet fleet(100);
  fleet.Run(5000);
  EXPECT_NUMBER(100, fleet.whole_lists, "one whole list for each entry");
  fleet.records_sent = 0;
  fleet.Run(20000);
  EXPECT_NUMBER(0, fleet.records_sent, "nothing changed");
  fleet.Remove(3);
  fleet.Run(3 * kRelayMs);
  EXPECT_NUMBER(0, fleet.records_sent, "a removal needs no record");
  EXPECT_NUMBER(49, fleet.MostRecords(), "every entry knows of it");
  EXPECT_NUMBER(100, fleet.whole_lists, "no further whole list");
}

TEST_GROUP(GrowthOfLinks){};

TEST(GrowthOfLinks, FollowTheModelsThatAnEntryIsAskedForAndNotTheEngines) {
  ObservingEntry fleet(400, false);
  ObservingEntry twice(800, false);
  const std::size_t links = fleet.Run();
  const std::size_t links_of_twice = twice.Run();
  EXPECT_NUMBER(fleet.sent, twice.sent, "both serve all their requests");
  // Four replicas of 20 models; fewer where one engine holds two of them.
  EXPECT_TRUE(links <= 80 && links_of_twice <= 80, "expected 80 at most, got " +
                                                       std::to_string(links) + " and " +
                                                       std::to_string(links_of_twice));
}

TEST(GrowthOfLinks, AreThoseOfAllEnginesForAPlanner) {
  ObservingEntry planner(200, true);
  EXPECT_NUMBER(200, planner.Run(), "it plans for the whole fleet");
}

// Guards against requests for rare models that wait at an engine which is swapping others: an entry
// that knows it only by its record takes it for idle.
TEST(GrowthOfLinks, AreThoseOfAllEnginesInASmallFleet) {
  ObservingEntry small(80, false, 80);
  ObservingEntry larger(81, false, 80);
  EXPECT_NUMBER(80, small.Run(), "links to all engines");
  EXPECT_TRUE(larger.Run() < 81, "links by use in a larger fleet");
}

TEST_GROUP(GrowthOfPlanning){};

TEST(GrowthOfPlanning, IsLeftToAFewEntries) {
  for (const int entries : {4, 100, 200}) {
    ListingRelay relay("relay");
    relay.ApplyListing({{Engine(1)}, kStart});
    int planners = 0;
    for (int round = 0; round < 2; ++round) {
      planners = 0;
      for (int n = 0; n < entries; ++n) {
        const RelayReply reply = relay.Answer({"entry-" + std::to_string(n), 1, "", 0},
                                              kStart + DurationMs{600} * round);
        planners += reply.is_planner ? 1 : 0;
      }
    }
    EXPECT_NUMBER(std::min(entries, 8), planners, "of " + std::to_string(entries) + " entries");
  }
}

}  // namespace junctionrail

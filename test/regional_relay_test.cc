// Relays of the list of upstreams in several regions, with the production decision code in
// simulated time: traffic between regions, what a partitioned region knows, and what happens after
// it heals.
#include "check.h"
#include "regional_fleet.h"

namespace junctionrail::testing {
namespace {

// Returns the traffic of a minute without faults.
Traffic MinuteOf(const Shape& shape) {
  RegionalFleet fleet(shape);
  fleet.Run(kWarmUpMs);
  fleet.TakeTraffic();
  fleet.Run(kMinuteMs);
  return fleet.TakeTraffic();
}

constexpr int kPollsOfARelay = kMinuteMs / kRelayMs;

}  // namespace

TEST_GROUP(RegionalRelays){};

TEST(RegionalRelays, SendNothingBetweenRegions) {
  const Traffic before = MinuteOf({4, 8, false});
  const Traffic after = MinuteOf({4, 8, true});
  // A request and a reply of each entry outside the relay's region, in each period.
  EXPECT_NUMBER(2 * 24 * kPollsOfARelay, before.messages, "with one relay for all regions");
  EXPECT_TRUE(before.bytes > 100000, std::to_string(before.bytes));
  EXPECT_NUMBER(0, after.messages, "");
  EXPECT_NUMBER(kPollsOfARelay, before.store_polls, "with one relay for all regions");
  EXPECT_NUMBER(4 * kPollsOfARelay, after.store_polls, "each region has a relay");
  EXPECT_NUMBER(0, after.configuration_reads, "relays confirm the configuration");
}

TEST(RegionalRelays, ChangeNothingWithASingleRegion) {
  const Traffic before = MinuteOf({1, 32, false});
  const Traffic after = MinuteOf({1, 32, true});
  EXPECT_NUMBER(kPollsOfARelay, before.store_polls, "");
  EXPECT_NUMBER(kPollsOfARelay, after.store_polls, "");
  EXPECT_NUMBER(0, after.messages, "");
}

// Guards against a single relay for all regions: during a partition, entries of the others would
// have to find another relay and poll the store themselves.
TEST(RegionalRelays, KeepAPartitionedRegionFresh) {
  RegionalFleet fleet({4, 8, true});
  fleet.Run(kWarmUpMs);
  fleet.TakeTraffic();
  for (int region = 0; region < 4; ++region) fleet.TakeAges(region);
  fleet.Cut(1);
  fleet.Run(20000);
  fleet.Evacuate(HallName(2));
  fleet.MarkLeaving("e3-5");
  fleet.Run(kLeavingMs - 500);
  EXPECT_NUMBER(8, fleet.CountKnowingEvacuation(1), "within the bound");
  EXPECT_NUMBER(8, fleet.CountKnowingLeaving(1, "e3-5"), "within the bound");
  fleet.Run(kMinuteMs - 20000 - (kLeavingMs - 500));
  for (int region = 0; region < 4; ++region) {
    const auto ages = fleet.TakeAges(region);
    EXPECT_TRUE(ages.list_ms <= kPollMs, std::to_string(ages.list_ms));
    EXPECT_TRUE(ages.configuration_ms <= kRelayTrustMs, std::to_string(ages.configuration_ms));
  }
  const Traffic traffic = fleet.TakeTraffic();
  EXPECT_NUMBER(4 * kPollsOfARelay, traffic.store_polls, "no entry polls the store itself");
  EXPECT_NUMBER(0, traffic.configuration_reads, "");
  EXPECT_NUMBER(0, traffic.whole_lists, "all entries keep their relay");
  fleet.Cut(kNoRegion);
  fleet.Run(20000);
  EXPECT_NUMBER(0, fleet.TakeTraffic().whole_lists, "nor do they change it afterwards");
}

TEST(RegionalRelays, AreThoseOfAnotherRegionForOneWithoutAgents) {
  RegionalFleet fleet({4, 8, true});
  fleet.StopAgentsOf(3);
  fleet.Run(30000);
  fleet.TakeTraffic();
  fleet.TakeAges(3);
  fleet.Run(kMinuteMs);
  const auto ages = fleet.TakeAges(3);
  EXPECT_TRUE(ages.list_ms <= kPollMs, std::to_string(ages.list_ms));
  const Traffic traffic = fleet.TakeTraffic();
  EXPECT_TRUE(traffic.messages >= 8 * kPollsOfARelay, "the region asks another one");
  const int polls_without_relay = 8 * static_cast<int>(kMinuteMs / kPollMs);
  EXPECT_TRUE(traffic.store_polls < 3 * kPollsOfARelay + polls_without_relay / 2,
              std::to_string(traffic.store_polls));
}

// Guards against entries of a region without agents that all return to the relay in another region
// within one period after a partition.
TEST(RegionalRelays, AreReturnedToOneByOneAfterAPartition) {
  constexpr int kEntries = 40;
  RegionalFleet fleet({2, kEntries, true});
  fleet.StopAgentsOf(1);
  fleet.Run(30000);
  fleet.Cut(1);
  fleet.Run(kMinuteMs);
  fleet.Cut(kNoRegion);
  fleet.TakeTraffic();
  int most = 0;
  int total = 0;
  for (int period = 0; period < 40; ++period) {
    fleet.Run(kRelayMs);
    const int whole_lists = fleet.TakeTraffic().whole_lists;
    most = std::max(most, whole_lists);
    total += whole_lists;
  }
  EXPECT_TRUE(most <= kEntries / 3, "got " + std::to_string(most) + " within one period");
  EXPECT_TRUE(total >= kEntries, "each entry returned");
}

TEST(RegionalRelays, AreReplacedByTheNextOneOfTheRegion) {
  RegionalFleet fleet({4, 8, true});
  fleet.Run(kWarmUpMs);
  const auto first = fleet.RelaysOf(2);
  EXPECT_NUMBER(1, first.size(), "entries of a region rank relays alike");
  fleet.TakeTraffic();
  fleet.StopAgent(*first.begin());
  fleet.TakeAges(2);
  fleet.Run(kWarmUpMs);
  const auto ages = fleet.TakeAges(2);
  EXPECT_TRUE(ages.list_ms <= kPollMs + 10, std::to_string(ages.list_ms));
  EXPECT_TRUE(ages.configuration_ms <= kLeavingMs, std::to_string(ages.configuration_ms));
  EXPECT_TRUE(fleet.AreIn(fleet.RelaysOf(2), 2), "the next one is in the region too");
  const Traffic traffic = fleet.TakeTraffic();
  EXPECT_NUMBER(0, traffic.messages, "nothing crosses regions");
  EXPECT_TRUE(traffic.whole_lists <= 2 * 8, std::to_string(traffic.whole_lists));
}

TEST(RegionalRelays, RankAgentsOfTheOwnRegionFirst) {
  const Shape shape{2, 1, true};
  std::vector<UpstreamRecord> records;
  for (int n = 0; n < kEnginesPerRegion; ++n) {
    for (const int region : {0, 1}) records.push_back(Engine(region, n));
  }
  UpstreamTable plain = MakeTable({2, 1, false}, 0);
  UpstreamTable here = MakeTable(shape, 0);
  UpstreamTable there = MakeTable(shape, 1);
  for (UpstreamTable* it : {&plain, &here, &there}) it->ApplyListing(records, kStart);
  const auto regions_of = [](const UpstreamTable& table) {
    std::string regions;
    for (const auto& it : table.RankAgents(6)) regions += it.substr(1, 1);
    return regions;
  };
  EXPECT_TEXT("000111", regions_of(here), "others remain for a region whose agents are gone");
  EXPECT_TEXT("111000", regions_of(there), "");
  // Within a region the order is that of all agents.
  std::string first_here;
  for (const auto& it : plain.RankAgents(records.size())) {
    if (first_here.empty() && it[1] == '0') first_here = it;
  }
  EXPECT_TEXT(first_here, here.RankAgents(1).front(), "");
  UpstreamTable single = MakeTable({1, 1, true}, 0);
  single.ApplyListing(records, kStart);
  EXPECT_TRUE(single.RankAgents(6) == plain.RankAgents(6), "a single region ranks as before");
}

}  // namespace junctionrail::testing

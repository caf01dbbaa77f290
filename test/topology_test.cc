// Distance between data halls: measured round-trip times.
#include <string>

#include "check.h"
#include "junctionrail/places.h"

namespace junctionrail {
namespace {

constexpr TimeMs kStart = 100000;
const HallRegions kTwoRegions = {{"hall-1", "west"}, {"hall-2", "west"}, {"hall-3", "east"}};

}  // namespace

TEST_GROUP(RoundTrips){};

TEST(RoundTrips, HaveDefaultsByDistanceUntilTheyAreMeasured) {
  Topology topology("hall-1", kTwoRegions);
  const auto ms = [&](const char* hall) { return topology.RoundTripTo(hall, kStart).ms; };
  EXPECT_TRUE(ms("hall-1") == 0 && ms("hall-2") == 2 && ms("hall-3") == 40, "by distance class");
  EXPECT_TRUE(ms("hall-9") == 2, "a hall that the settings do not name");
  EXPECT_NUMBER(-1, topology.RoundTripTo("hall-3", kStart).age_ms, "never measured");
  topology.AddRoundTrip("hall-3", 38.5, kStart);
  EXPECT_TRUE(ms("hall-3") == 38.5 && ms("hall-2") == 2, "one sample below the default is enough");
}

TEST(RoundTrips, AreTheSmallestSampleOfTheLastHalfMinute) {
  Topology topology("hall-1", kTwoRegions);
  topology.AddRoundTrip("hall-3", 20, kStart);
  topology.AddRoundTrip("hall-3", 35, kStart + 12000);
  topology.AddRoundTrip("hall-3", 30, kStart + 20000);
  const RoundTrip smallest = topology.RoundTripTo("hall-3", kStart + 24000);
  EXPECT_TRUE(smallest.ms == 20 && smallest.age_ms == 24000, "the oldest one");
  EXPECT_TRUE(topology.RoundTripTo("hall-3", kStart + 30000).ms == 30, "the oldest has expired");
  const RoundTrip expired = topology.RoundTripTo("hall-3", kStart + 50000);
  EXPECT_TRUE(expired.ms == 40 && expired.age_ms == -1, "all have, as if the hall is unreachable");
}

// Guards against a hall without samples that counts as measured while the clock is near 0.
TEST(RoundTrips, HaveDefaultsRightAfterTheStartOfTheMachine) {
  const Topology topology("hall-1", kTwoRegions);
  EXPECT_TRUE(topology.RoundTripTo("hall-3", 10).ms == 40, "no sample at time 0");
}

TEST(RoundTrips, GrowWhenALinkBecomesSlowButNotForOneSlowConnection) {
  Topology topology("hall-1", kTwoRegions);
  topology.AddRoundTrip("hall-2", 300, kStart);
  EXPECT_TRUE(topology.RoundTripTo("hall-2", kStart).ms == 2, "one may be accepted late");
  topology.AddRoundTrip("hall-2", 1.5, kStart + 5000);
  topology.AddRoundTrip("hall-2", 200, kStart + 10000);
  topology.AddRoundTrip("hall-2", 210, kStart + 15000);
  EXPECT_TRUE(topology.RoundTripTo("hall-2", kStart + 29000).ms == 1.5, "the link was fast lately");
  EXPECT_TRUE(topology.RoundTripTo("hall-2", kStart + 36000).ms == 200, "all connections are slow");
}

// Guards against memory that grows with wrong names of halls in records.
TEST(RoundTrips, AreKeptForABoundedNumberOfHalls) {
  Topology topology("hall-1", kTwoRegions);
  for (int n = 0; n < 1000; ++n) topology.AddRoundTrip("x-" + std::to_string(n), 1, kStart);
  int measured = 0;
  for (int n = 0; n < 1000; ++n) {
    measured += topology.RoundTripTo("x-" + std::to_string(n), kStart).age_ms >= 0 ? 1 : 0;
  }
  EXPECT_NUMBER(64, measured, "halls with samples");
  topology.AddRoundTrip("hall-3", 30, kStart + 40000);
  EXPECT_TRUE(topology.RoundTripTo("hall-3", kStart + 40000).ms == 30, "expired halls make room");
}

}  // namespace junctionrail

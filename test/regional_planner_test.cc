// Planners that are divided among regions, and what they grant of the weight store to engines of
// regions that they are cut off from.
#include "check.h"
#include "junctionrail/placement.h"
#include "regional_fleet.h"

namespace junctionrail::testing {

TEST_GROUP(RegionalPlanners){};

TEST(RegionalPlanners, AreDividedAmongTheRegions) {
  for (const int regions : {1, 2, 3, 4}) {
    RegionalFleet fleet({regions, 12, true});
    fleet.Run(kWarmUpMs);
    for (int region = 0; region < regions; ++region) {
      EXPECT_NUMBER((8 + regions - 1) / regions, fleet.CountPlanners(region),
                    "of " + std::to_string(regions) + " regions");
    }
  }
}

TEST(RegionalPlanners, AreNamedByARelayForEachRegionThatAsksIt) {
  ListingRelay relay("relay");
  std::map<std::string, int> planners;
  for (int round = 0; round < 2; ++round) {
    planners.clear();
    for (int n = 0; n < 30; ++n) {
      RelayRequest request{"entry-" + std::to_string(n), 1, "", 0, RegionName(n % 3), 3};
      const bool is_old = n % 3 == 2;
      if (is_old) request = {"entry-" + std::to_string(n), 1, "", 0};
      const RelayReply reply = relay.Answer(request, kStart + DurationMs{600} * round);
      planners[is_old ? "old" : request.region] += reply.is_planner ? 1 : 0;
    }
  }
  EXPECT_NUMBER(3, planners[RegionName(0)], "");
  EXPECT_NUMBER(3, planners[RegionName(1)], "its own entries have no relay");
  EXPECT_NUMBER(8, planners["old"], "entries that state no region, as before");
}

namespace {

// An engine of region 0 that asks to load from the weight store, and planners of three regions,
// three in each. Views of the engine reach those of region 0 only; demand of all arrives.
struct StoreLoadVote {
  StoreLoadVote() {
    core.Reset("e0-0");
    core.SetSpec(MakeSpec());
    core.OnReport({}, now);
    for (int region = 0; region < 3; ++region) {
      for (int n = 0; n < 3; ++n) {
        planners.push_back({region, MakeTable({3, 3, true}, region)});
        planners.back().table.ApplyListing({Engine(0, 0), Engine(1, 0), Engine(2, 0)}, now);
      }
    }
  }

  void Exchange(bool do_views_cross, bool does_demand_cross = true) {
    std::uint64_t link = 0;
    for (auto& it : planners) {
      ++link;
      if (!does_demand_cross && it.region != 0) continue;
      if (do_views_cross || it.region == 0) it.table.ApplyView(core.BuildView(now), now);
      AgentDemand demand = it.table.BuildDemands({}, now)["e0-0"];
      demand.entry = "planner-" + std::to_string(link);
      ModelDemand wanted;
      wanted.ref.model = "a";
      wanted.waiting = 1;
      wanted.age_ms = 500;
      demand.wanted = {wanted};
      core.OnDemand(link, demand, now);
    }
    order = core.NextOrder(now);
    now += 250;
  }

  struct Planner {
    int region = 0;
    UpstreamTable table;
  };
  PlacementCore core;
  std::vector<Planner> planners;
  std::optional<EngineOrder> order;
  TimeMs now = kStart;
};

}  // namespace

TEST(RegionalPlanners, DoNotBlockStoreLoadsInRegionsThatTheyAreCutOffFrom) {
  StoreLoadVote vote;
  for (int n = 0; n < 4 && !vote.order; ++n) vote.Exchange(false);
  EXPECT_TRUE(vote.order.has_value(), "the planners that see the engine agree");
}

TEST(RegionalPlanners, CountUntilTheirDemandExpiresAfterAPartition) {
  StoreLoadVote vote;
  vote.Exchange(true);
  const TimeMs cut_at = vote.now;
  while (!vote.order && vote.now - cut_at < 10000) vote.Exchange(false, false);
  EXPECT_TRUE(vote.order.has_value(), "three of nine planners remain");
  EXPECT_TRUE(vote.now - cut_at <= 3000, std::to_string(vote.now - cut_at));
}

TEST(RegionalPlanners, GrantStoreLoadsInAllRegionsTheySee) {
  StoreLoadVote vote;
  for (int n = 0; n < 4 && !vote.order; ++n) vote.Exchange(true);
  EXPECT_TRUE(vote.order.has_value(), "");
  for (auto& it : vote.planners) {
    EXPECT_TRUE(it.table.BuildDemands({}, vote.now).at("e0-0").is_planner, "all are counted");
  }
}

}  // namespace junctionrail::testing

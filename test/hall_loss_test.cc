// Tests the spreading of replicas over data halls and regions in simulated fleets.
#include "check.h"
#include "fleet_simulation.h"

namespace junctionrail {
namespace {

using testing::FleetConfig;
using testing::FleetSimulation;

constexpr int kBusyModels = 6;
constexpr int kModels = 50;
constexpr DurationMs kSettleMs = 20000;
constexpr DurationMs kQuietMs = 120000;

// Busy models with both replicas in one hall at the start, and rare ones that are on the disks of
// three engines each.
FleetConfig MakeFleet(int halls, std::uint64_t seed) {
  FleetConfig fleet;
  fleet.engines = 18;
  fleet.entries = 6;
  fleet.models = kModels;
  fleet.slots = 64;
  fleet.halls = halls;
  fleet.store_load_ms = 6000;
  fleet.store_loads = 4;
  fleet.disk_load_ms = 500;
  fleet.disk_copies = 3;
  fleet.busy_models = kBusyModels;
  fleet.busy_replicas = 2;
  fleet.loads = {{"busy", 36, 0, kBusyModels, 600, 3000, 400, 0},
                 {"rare", 8, kBusyModels, kModels, 3000, 20000, 400, 1}};
  fleet.seed = seed;
  return fleet;
}

}  // namespace

TEST_GROUP(HallLoss){};

namespace {

// All loads, and those from the weight store, in two quiet minutes after the placement has settled.
struct Loads {
  int all = 0;
  int from_store = 0;
};

Loads CountQuietLoads(int halls, std::uint64_t seed) {
  FleetConfig shape = MakeFleet(halls, seed);
  shape.busy_replicas = 1;
  shape.disk_copies = 1;
  FleetSimulation fleet(shape);
  fleet.Run(3 * kSettleMs);
  const Loads before{fleet.loads_from_disk() + fleet.loads_from_store(), fleet.loads_from_store()};
  fleet.Run(kQuietMs);
  return {fleet.loads_from_disk() + fleet.loads_from_store() - before.all,
          fleet.loads_from_store() - before.from_store};
}

}  // namespace

TEST(HallLoss, LeavesReplicasOfModelsInSteadyUse) {
  // Guards against both replicas of a busy model in one hall: after its loss, requests would wait
  // for loads from the weight store, or for swaps. The fleet starts with all replicas of each model
  // in one hall.
  for (const char* lost : {"hall-1", "hall-2", "hall-3"}) {
    FleetSimulation fleet(MakeFleet(3, 1));
    fleet.Run(kSettleMs);
    const auto before = fleet.Outcome("busy");
    fleet.LoseHall(lost);
    for (int model = 0; model < kBusyModels; ++model) {
      EXPECT_TRUE(!fleet.ReplicasByHall(model).empty(),
                  "m" + std::to_string(model) + " has a replica outside of " + lost);
    }
    fleet.Run(6000);
    const auto& after = fleet.Outcome("busy");
    const int late = after.late + after.refused - before.late - before.refused;
    EXPECT_NUMBER(0, late, std::string("late or refused after the loss of ") + lost);
  }
}

TEST(HallLoss, IsPreparedForWithFewFurtherLoads) {
  // Guards against replicas that keep moving between halls: at most 5% more loads.
  constexpr int kSeeds = 12;
  Loads one_hall;
  Loads three_halls;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const int halls : {1, 3}) {
      const Loads loads = CountQuietLoads(halls, seed);
      Loads& sum = halls == 1 ? one_hall : three_halls;
      sum.all += loads.all;
      sum.from_store += loads.from_store;
    }
  }
  const std::string counts = "loads with one hall " + std::to_string(one_hall.all) + ", " +
                             std::to_string(one_hall.from_store) + " from the store; with three " +
                             std::to_string(three_halls.all) + ", " +
                             std::to_string(three_halls.from_store);
  EXPECT_TRUE(three_halls.all * 100 <= one_hall.all * 105, counts);
  EXPECT_TRUE(three_halls.from_store * 100 <= one_hall.from_store * 105, counts);
}

TEST_GROUP(BoundWorkloads){};

TEST(BoundWorkloads, GetReplicasOnlyInTheirRegions) {
  // Guards against replicas in other regions that are counted as serving bound requests. Each
  // region has two halls; half of the busy models start with a replica in the wrong region.
  FleetConfig shape = MakeFleet(6, 1);
  shape.hall_regions = {{"hall-1", "west"},  {"hall-2", "west"}, {"hall-3", "north"},
                        {"hall-4", "north"}, {"hall-5", "east"}, {"hall-6", "east"}};
  shape.busy_replicas = 1;
  shape.loads.pop_back();
  shape.loads[0].patience_ms = 20000;  // The first loads take longer than 6 s.
  shape.loads[0].allowed_regions = std::set<std::string>{"west"};
  FleetSimulation fleet(shape);
  fleet.Run(kSettleMs);
  for (int model = 0; model < kBusyModels; ++model) {
    const auto replicas = fleet.ReplicasByHall(model);
    const std::string name = "m" + std::to_string(model);
    EXPECT_TRUE(replicas.count("hall-1") > 0 && replicas.count("hall-2") > 0,
                name + " is in both allowed halls");
    int elsewhere = 0;
    for (const auto& [hall, n] : replicas)
      elsewhere += hall == "hall-1" || hall == "hall-2" ? 0 : n;
    EXPECT_TRUE(elsewhere <= 1, name + " gets no further replica elsewhere");
  }
  const auto before = fleet.Outcome("busy");
  fleet.Run(5000);
  const auto& after = fleet.Outcome("busy");
  EXPECT_NUMBER(after.requests - before.requests, after.on_time - before.on_time, "all in time");
}

}  // namespace junctionrail

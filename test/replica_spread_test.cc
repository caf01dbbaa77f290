// Tests where replicas, staged copies and spare copies go when there are several halls or regions.
#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeSpec;
using testing::MakeView;

using Regions = std::set<std::string>;

// Two engines in each of four halls, e11 to e42; hall-1 and hall-2 are in the west, the others in
// the east. All have the models on their disks, except where a test changes that.
struct SpreadFixture {
  explicit SpreadFixture(bool preloads = false, HallRegions regions = kRegions)
      : table(Options(preloads, std::move(regions))) {
    table.ApplyServices({{"engine", 100, MakeSpec()}});
    std::vector<UpstreamRecord> records;
    for (const char* it : {"e11", "e12", "e21", "e22", "e31", "e32", "e41", "e42"}) {
      records.push_back(MakeRecord(it, std::string("hall-") + it[1]));
      records.back().endpoint.port = static_cast<std::uint16_t>(records.size());
      views[it] = MakeView(it, {}, {"a", "b", "c"});
    }
    table.ApplyListing(records, now);
  }

  static RoutingOptions Options(bool preloads, HallRegions regions) {
    RoutingOptions options;
    options.topology = Topology("hall-1", std::move(regions));
    options.policy.stages = preloads;
    options.policy.spares = preloads;
    return options;
  }

  void Load(const std::string& instance, double per_s) {
    views[instance].loaded = {{"a", {}}};
    views[instance].requests_per_s["a"] = per_s;
  }

  void Request(const AllowedRegions& allowed, int n = 1) {
    for (; n > 0; --n) table.OnArrival(ModelRef{"a", {}}, 1, 500, now, allowed);
  }

  std::map<std::string, AgentDemand> BuildDemands() {
    for (const auto& [instance, view] : views) table.ApplyView(view, now);
    return table.BuildDemands({}, now);
  }

  // The hall of the one engine that is asked for a replica of "a", or "none".
  std::string ReplicaHall() {
    std::string hall = "none";
    for (const auto& [instance, demand] : BuildDemands()) {
      for (const auto& it : demand.wanted) {
        if (it.ref.model == "a") hall = hall == "none" ? instance.substr(1, 1) : "several";
      }
    }
    return hall;
  }

  static inline const HallRegions kRegions = {
      {"hall-1", "west"}, {"hall-2", "west"}, {"hall-3", "east"}, {"hall-4", "east"}};
  UpstreamTable table;
  std::map<std::string, EngineView> views;
  TimeMs now = 100000;
};

}  // namespace

TEST_GROUP(ReplicaSpread){};

TEST(ReplicaSpread, PutsTheSecondReplicaIntoAnotherRegion) {
  SpreadFixture t;
  t.Load("e11", 4);
  t.Request(std::nullopt);
  const std::string hall = t.ReplicaHall();
  EXPECT_TRUE(hall == "3" || hall == "4", "hall " + hall);
  EXPECT_NUMBER(1, t.table.CountReplicaRequests(ReplicaDomain::kOtherRegion), "counted");
}

TEST(ReplicaSpread, PutsTheSecondReplicaIntoAnotherHallIfRegionsAreUnknown) {
  SpreadFixture t(false, {});
  t.Load("e11", 4);
  t.Request(std::nullopt);
  const std::string hall = t.ReplicaHall();
  EXPECT_TRUE(hall == "2" || hall == "3" || hall == "4", "hall " + hall);
  EXPECT_NUMBER(1, t.table.CountReplicaRequests(ReplicaDomain::kOtherHall), "counted");
}

TEST(ReplicaSpread, AddsAReplicaWhenAllAreInOneHall) {
  SpreadFixture t;
  t.Load("e11", 4);
  t.Load("e12", 4);
  t.Request(std::nullopt);
  EXPECT_TRUE(t.ReplicaHall() != "none", "the loss of the hall would take all replicas");
  t.Load("e31", 4);
  EXPECT_TEXT("none", t.ReplicaHall(), "two halls have one");
}

TEST(ReplicaSpread, PaysForALoadFromTheStoreOnlyWhileAllReplicasAreInOneHall) {
  SpreadFixture t;
  for (auto& [instance, view] : t.views) {
    if (instance[1] != '1' && instance[1] != '2') view.cached_models = {"b", "c"};
  }
  t.views["e21"].cached_models = {"b", "c"};
  t.views["e22"].cached_models = {"b", "c"};
  t.Load("e11", 4);
  t.Request(std::nullopt);
  EXPECT_TRUE(t.ReplicaHall() != "1", "the copy on e12's disk is in the hall of the first one");
  t.Load("e31", 4);
  for (const char* it : {"e11", "e31"}) t.views[it].running = 60;
  t.now += 3000;  // The former target is no longer kept.
  EXPECT_TEXT("1", t.ReplicaHall(), "a third replica loads from disk");
}

TEST(ReplicaSpread, KeepsReplicasForBoundRequestsInTheirRegions) {
  // Guards against a model that counts as served while its callers are refused.
  SpreadFixture t;
  t.Load("e31", 4);
  t.Load("e41", 4);
  t.Load("e11", 4);
  t.Request(Regions{"west"});
  EXPECT_TEXT("2", t.ReplicaHall(), "the other hall of the west, whatever the east has");
  t.Load("e21", 4);
  EXPECT_TEXT("none", t.ReplicaHall(), "two in the west");
}

TEST(ReplicaSpread, ServesEachSetOfRegions) {
  SpreadFixture t;
  t.Load("e11", 8);
  t.Load("e21", 8);
  t.Load("e31", 8);
  t.Request(Regions{"west"}, 5);
  t.Request(Regions{"east"}, 5);
  EXPECT_TEXT("4", t.ReplicaHall(), "four requests a second are bound to the east");
}

TEST(ReplicaSpread, ForgetsRegionsThatAreNoLongerAllowed) {
  SpreadFixture t;
  t.Load("e11", 4);
  t.Request(Regions{"west"}, 5);
  for (int second = 0; second < 180; ++second) {
    t.now += 1000;
    t.Request(Regions{"east"});
  }
  t.Load("e31", 4);
  EXPECT_TEXT("4", t.ReplicaHall(), "the requests are bound to the east now");
}

TEST(ReplicaSpread, TellsAgentsWhatTheirRegionsStillHave) {
  SpreadFixture t;
  t.Load("e11", 4);
  t.Load("e31", 4);
  t.Load("e41", 4);
  const auto told = [&](const std::string& instance) {
    return t.BuildDemands().at(instance).use.at(0).region_replicas;
  };
  EXPECT_NUMBER(0, told("e11"), "no requests are known");
  t.Request(std::nullopt);
  EXPECT_NUMBER(1, told("e11"), "the last one of this entry's region");
  EXPECT_NUMBER(0, told("e31"), "left to entries of that region");
  SpreadFixture bound;
  bound.Load("e31", 4);
  bound.Load("e41", 4);
  bound.Request(Regions{"east"});
  EXPECT_NUMBER(2, bound.BuildDemands().at("e31").use.at(0).region_replicas, "bound to the east");
}

TEST(ReplicaSpread, ChoosesLoadsForBoundRequestsInTheirRegions) {
  SpreadFixture t;
  t.views["e11"].loading = "a";
  t.BuildDemands();
  PickRequest request;
  request.service = "engine";
  request.model = ModelRef{"a", {}};
  request.allowed_regions = Regions{"east"};
  const PickResult pick = t.table.Choose(request, t.now);
  const auto* wait = std::get_if<WaitFor>(&pick);
  EXPECT_TRUE(wait != nullptr && (wait->instance[1] == '3' || wait->instance[1] == '4'),
              "the west loads it, but the request may not run there");
}

TEST(ReplicaSpread, StagesModelsForBoundRequestsInTheirRegions) {
  // Guards against copies that count as present where the requests may not run.
  SpreadFixture t(true);
  for (auto& [instance, view] : t.views) {
    view.cached_models = instance[1] == '1' ? std::vector<std::string>{"a", "b", "c"}
                                            : std::vector<std::string>{"b", "c"};
  }
  t.Request(Regions{"east"});
  std::string staged;
  for (const auto& [instance, demand] : t.BuildDemands()) {
    for (const auto& it : demand.stage) staged += instance.substr(1, 1) + it;
  }
  EXPECT_TRUE(staged == "3a" || staged == "4a", "staged: " + staged);
}

TEST(ReplicaSpread, PutsSpareCopiesForBoundRequestsIntoTheirRegions) {
  SpreadFixture t(true);
  for (auto& [instance, view] : t.views) view.cached_models = {"b", "c"};
  t.Load("e31", 1);
  t.Request(Regions{"east"});
  std::string spare;
  for (const auto& [instance, demand] : t.BuildDemands()) {
    for (const auto& it : demand.wanted) {
      if (it.at_risk_requests_per_s > 0) spare += instance.substr(1, 1) + it.ref.model;
    }
  }
  EXPECT_TRUE(spare == "3a" || spare == "4a", "spare: " + spare);
}

TEST(ReplicaSpread, ReplacesEvacuatedReplicasInTheAllowedRegions) {
  SpreadFixture t;
  t.Load("e11", 1);
  t.Load("e31", 1);
  t.Request(Regions{"west"});
  t.table.ApplyEvacuations({}, t.now, t.now);
  t.table.ApplyEvacuations({"hall-1"}, t.now, t.now);
  EXPECT_TEXT("2", t.ReplicaHall(), "the replica in the east serves none of the requests");
}

}  // namespace junctionrail

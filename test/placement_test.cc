// Tests the orders to load and unload that an engine gets, and the messages between entries and
// agents, without sockets.
#include "junctionrail/placement.h"

#include <nlohmann/json.hpp>

#include "check.h"

namespace junctionrail {
namespace {

EngineSpec MakeSpec() {
  EngineSpec spec;
  spec.accelerator_mb = 230;
  spec.adapter_slots = 2;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    spec.models.push_back({name, 72, 1, 6000, 800, 400});
  }
  return spec;
}

// A PlacementCore and a fake engine that executes orders at once.
struct Engine {
  Engine() {
    core.Reset("u1");
    core.SetSpec(MakeSpec());
    report.on_disk = {"a", "b", "c", "d", "e"};
  }

  void AddLoaded(const std::string& model, std::vector<std::string> adapters = {}) {
    report.loaded.push_back({model, std::move(adapters)});
  }

  void SendReport() { core.OnReport(report, now); }

  void SendDemand(std::vector<ModelDemand> wanted, std::vector<ModelUse> use = {},
                  std::vector<std::string> stage = {}, bool may_load_from_store = true) {
    core.OnDemand(1,
                  AgentDemand{"entry", "u1", std::move(wanted), std::move(use), std::move(stage),
                              may_load_from_store},
                  now);
  }

  // Returns the next order, such as "load a/x", or "nothing".
  std::string NextOrder() {
    last_order = core.NextOrder(now);
    if (!last_order) return "nothing";
    return (last_order->kind == OrderKind::kLoad ? "load " : "unload ") +
           last_order->target.ToString();
  }

  void ReportResult(EngineOrderResult result) { core.OnOrderResult(*last_order, result, now); }

  // Makes the engine execute the last order.
  void ExecuteOrder() {
    ++report.sequence;
    if (last_order->kind == OrderKind::kLoad) {
      AddLoaded(last_order->target.model);
    } else {
      auto& loaded = report.loaded;
      for (auto it = loaded.begin(); it != loaded.end(); ++it) {
        if (it->name == last_order->target.model) {
          loaded.erase(it);
          break;
        }
      }
    }
  }

  PlacementCore core;
  EngineReport report;
  std::optional<EngineOrder> last_order;
  TimeMs now = 100000;
};

ModelDemand MakeDemand(const std::string& model, int waiting, int priority = 1,
                       const std::string& adapter = "", DurationMs age_ms = 0) {
  return ModelDemand{{model, adapter}, waiting, priority, age_ms};
}

ModelUse MakeUse(const std::string& model, int in_flight, double per_s = 0, int replicas = 1) {
  return ModelUse{model, in_flight, per_s, replicas, 0, {}, 0, 1};
}

}  // namespace

TEST_GROUP(PlacementLoads){};

TEST(PlacementLoads, LoadsAwaitedModelIntoFreeMemory) {
  Engine engine;
  engine.AddLoaded("a");
  engine.SendReport();
  engine.SendDemand({MakeDemand("b", 1)});
  EXPECT_TEXT("load b", engine.NextOrder(), "there is memory for two more models");
}

TEST(PlacementLoads, WaitsForFirstReport) {
  Engine engine;
  engine.SendDemand({MakeDemand("b", 1)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "the loaded models are unknown");
}

TEST(PlacementLoads, WeighsNumberOfRequestsAgainstPriority) {
  // Guards against loading rare models, each for a single request of a higher priority, before a
  // busy model that 25 requests per second wait for.
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 0), MakeDemand("b", 30, 1)});
  EXPECT_TEXT("load b", engine.NextOrder(),
              "thirty requests outweigh one of the next higher priority");
  engine.SendDemand({MakeDemand("a", 1, 0), MakeDemand("b", 3, 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "three do not");
}

TEST(PlacementLoads, WaitsForWeightStoreCapacity) {
  // Guards against too many concurrent loads from the weight store, as after many engines
  // crash: twenty at once took 20 s each instead of 6 s, and their engines could execute no
  // other order meanwhile.
  Engine engine;
  engine.report.on_disk = {"a"};
  engine.AddLoaded("c");
  engine.AddLoaded("d");
  engine.AddLoaded("e");
  engine.SendReport();
  engine.SendDemand({MakeDemand("b", 1)}, {}, {}, false);
  EXPECT_TEXT("nothing", engine.NextOrder(), "no memory is freed yet either");
  engine.now += 300;
  EXPECT_TEXT("nothing", engine.NextOrder(), "");
  const auto want = engine.core.BuildView(engine.now).store_load_request;
  EXPECT_TRUE(want && want->has_waiting_requests, "the view reports the blocked load");
  EXPECT_NUMBER(300, want->age_ms, "");
  engine.SendDemand({MakeDemand("b", 1), MakeDemand("a", 1)}, {}, {}, false);
  EXPECT_TRUE(engine.NextOrder().substr(0, 7) == "unload ",
              "a load from disk does not wait for the weight store");
  engine.SendDemand({MakeDemand("b", 1)}, {}, {}, true);
  EXPECT_TRUE(engine.NextOrder().substr(0, 7) == "unload ", "memory is freed now");
  EXPECT_TRUE(!engine.core.BuildView(engine.now).store_load_request, "no load is blocked any more");
}

TEST(PlacementLoads, NeedsMajorityOfEntriesForWeightStoreLoad) {
  // Views reach entries at different moments, so entries may disagree on which agent may load
  // next.
  Engine engine;
  engine.report.on_disk.clear();
  engine.SendReport();
  const auto say = [&](std::uint64_t link, bool may_load) {
    AgentDemand demand{"entry", "u1", {}, {}, {}, may_load};
    if (link == 1) demand.wanted = {MakeDemand("a", 1)};
    engine.core.OnDemand(link, std::move(demand), engine.now);
  };
  say(1, true);
  say(2, false);
  say(3, false);
  EXPECT_TEXT("nothing", engine.NextOrder(), "one of three entries agrees");
  say(3, true);
  EXPECT_TEXT("load a", engine.NextOrder(), "two of three entries agree");
}

TEST(PlacementLoads, WeighsStoreLoadsByRequestRate) {
  // Guards against spending the weight store's capacity on rare models with one request each,
  // as after a power loss of all VMs, while the only engine with a busy model queues its
  // requests for 15 s.
  Engine engine;
  engine.report.on_disk = {};
  engine.SendReport();
  const auto weigh = [&engine](const ModelDemand& demand) {
    engine.SendDemand({demand}, {}, {}, false);
    engine.NextOrder();
    return engine.core.BuildView(engine.now).store_load_request.value_or(StoreLoadRequest()).weight;
  };
  ModelDemand replica = MakeDemand("a", 0, 1);
  replica.requests_per_s_per_replica = 12;
  ModelDemand waiting = MakeDemand("b", 1, 0);
  waiting.requests_per_s = 0.2;
  const double rare = weigh(waiting);
  EXPECT_TRUE(weigh(replica) > rare,
              "12 requests per second of the next lower priority against one in 5 s");
  replica.requests_per_s_per_replica = 1.2;
  EXPECT_TRUE(weigh(replica) < rare, "at a tenth of that rate the rare model comes first");
  waiting.waiting = 9;
  EXPECT_TRUE(weigh(waiting) == rare, "callers waiting now will have left when the load ends");
  engine.report.on_disk = {"a", "b"};
  engine.SendReport();
  replica.requests_per_s_per_replica = 12;
  engine.SendDemand({replica, MakeDemand("b", 1, 0)});
  EXPECT_TEXT("load b", engine.NextOrder(), "for loads from disk, waiting requests come first");
}

TEST(PlacementLoads, LoadsSpareCopyIntoFreeMemoryOnly) {
  // Guards against losing all copies of a busy model while engines are replaced one by one: the
  // new engines loaded rare models, at 6 s each from the weight store, until no engine with the
  // busy models was left.
  Engine engine;
  engine.report.on_disk = {};
  engine.SendReport();
  ModelDemand spare = MakeDemand("a", 0);
  spare.at_risk_requests_per_s = 3;
  ModelDemand rare = MakeDemand("b", 1);
  rare.requests_per_s = 0.2;
  engine.SendDemand({spare, rare});
  EXPECT_TEXT("load a", engine.NextOrder(), "three requests per second will find no copy");
  spare.at_risk_requests_per_s = 0.1;
  engine.SendDemand({spare, rare});
  EXPECT_TEXT("load b", engine.NextOrder(), "a waiting request counts more than 0.1 per second");
  for (const char* it : {"b", "c", "d"}) engine.AddLoaded(it);
  engine.SendReport();
  spare.at_risk_requests_per_s = 30;
  engine.SendDemand({spare}, {MakeUse("b", 0, 0.5), MakeUse("c", 0, 0.5), MakeUse("d", 0, 0.5)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "no model with demand is evicted for a spare copy");
}

TEST(PlacementLoads, PrefersRequestsThatCanStillBeOnTime) {
  Engine engine;
  engine.SendReport();
  ModelDemand late = MakeDemand("a", 2);
  late.late = 2;
  ModelDemand urgent = MakeDemand("b", 1);
  urgent.slack_ms = 1200;
  ModelDemand relaxed = MakeDemand("c", 1);
  relaxed.slack_ms = 9000;
  engine.SendDemand({late, urgent, relaxed});
  EXPECT_TEXT("load b", engine.NextOrder(), "b is on time only if it is loaded next");
  urgent.slack_ms = 300;
  engine.SendDemand({late, urgent, relaxed});
  EXPECT_TEXT("load a", engine.NextOrder(),
              "b is late in any case now, and two requests wait for a");
}

TEST_GROUP(PlacementEviction){};

TEST(PlacementEviction, EvictsModelWithLeastDemand) {
  Engine engine;
  engine.AddLoaded("a");
  engine.AddLoaded("b");
  engine.AddLoaded("c");
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1)},
                    {MakeUse("a", 0, 0.3), MakeUse("b", 0, 0.1), MakeUse("c", 0, 0.2)});
  EXPECT_TEXT("unload b", engine.NextOrder(), "b has the lowest request rate");
}

TEST(PlacementEviction, KeepsModelWithWaitingRequests) {
  Engine engine;
  engine.AddLoaded("a", {});
  engine.AddLoaded("b");
  engine.AddLoaded("c");
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1), MakeDemand("b", 1, 1, "x")},
                    {MakeUse("a", 0, 2.0), MakeUse("b", 0, 0.1), MakeUse("c", 0, 1.0)});
  EXPECT_TEXT("load b/x", engine.NextOrder(), "adapters come first");
  engine.ReportResult(EngineOrderResult::kAlreadyHolds);
  engine.now += 1000;
  engine.SendDemand({MakeDemand("d", 1), MakeDemand("b", 1)},
                    {MakeUse("a", 0, 0.3), MakeUse("b", 0, 0.1), MakeUse("c", 0, 0.2)});
  EXPECT_TEXT("unload c", engine.NextOrder(), "c has the least demand of the others");
}

TEST(PlacementEviction, EvictsModelInUseOnlyAfterLongWait) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  const std::vector<ModelUse> use = {MakeUse("a", 5, 2), MakeUse("b", 1, 1), MakeUse("c", 9, 3)};
  engine.SendDemand({MakeDemand("d", 1, 0, "", 100)}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(), "all models are in use");
  engine.SendDemand({MakeDemand("d", 1, 0, "", 5000)}, use);
  EXPECT_TEXT("unload b", engine.NextOrder(), "evicting b interrupts the fewest requests");
}

TEST(PlacementEviction, EvictsBusyModelOnlyIfWaitingCallersLoseMore) {
  // Guards against thrashing: the busiest models were evicted 8 to 11 times in 30 s for models
  // with one request in 3 s.
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 0, 15), MakeUse("b", 0, 15), MakeUse("c", 0, 10)};
  for (auto& it : use) {
    it.target_ms = 300;
    it.priority = 0;
  }
  engine.SendDemand({MakeDemand("d", 1, 0, "", 100)}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(),
              "ten callers per second would wait 1.1 s until c is reloaded");
  // Eviction cost of c: 10 per second * (0.3^2 / 3 + (1.1^2 - 0.3^2) / 2) s + 1.1 s for the
  // first caller = 7.0 s.
  engine.SendDemand({MakeDemand("d", 1, 0, "", 5800)}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(), "5.8 s plus 1.1 s for the load are less than 7.0 s");
  engine.SendDemand({MakeDemand("d", 1, 0, "", 6000)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(), "6.0 s plus 1.1 s are more than 7.0 s");
  engine.SendDemand({MakeDemand("d", 4, 0, "", 700)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(), "four callers lose 7.2 s");
}

TEST(PlacementEviction, PrefersModelWithLaterTarget) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 0, 1), MakeUse("b", 0, 1), MakeUse("c", 0, 2)};
  use[0].target_ms = use[1].target_ms = 300;
  use[2].target_ms = 5000;
  engine.SendDemand({MakeDemand("d", 1)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(),
              "c has the most demand, but its callers can wait longest");
}

TEST(PlacementEviction, EvictsForReplicaIfCallersAreLate) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 1, 1), MakeUse("b", 1, 1), MakeUse("c", 1, 1)};
  for (auto& it : use) {
    it.target_ms = 300;
    it.priority = 0;
  }
  ModelDemand replica = MakeDemand("d", 0, 0);
  replica.late_callers = 0.5;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(),
              "the replica saves 0.5 s of waiting; evicting a costs 1.9 s");
  replica.late_callers = 4;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("unload a", engine.NextOrder(), "four callers are late at any time");
}

TEST(PlacementEviction, ReservesFreedMemoryForModelThatNeededIt) {
  // Guards against giving the freed memory to whichever model comes next.
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  const std::vector<ModelUse> use = {MakeUse("a", 0, 0.1), MakeUse("b", 0, 3), MakeUse("c", 0, 3)};
  ModelDemand replica = MakeDemand("d", 0, 0);
  replica.late_callers = 9;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("unload a", engine.NextOrder(), "a has the least demand");
  engine.ReportResult(EngineOrderResult::kAccepted);
  engine.ExecuteOrder();
  engine.now += 100;
  engine.SendReport();
  engine.SendDemand({replica, MakeDemand("e", 40, 0)}, use);
  EXPECT_TEXT("load d", engine.NextOrder(),
              "forty requests wait for e now, but the memory was freed for d");
}

TEST(PlacementEviction, KeepsLastReplicaOfARegionWithRequests) {
  // Guards against evicting the only copy in a region because the fleet has three replicas:
  // requests of that region would wait for a load.
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 0, 1, 3), MakeUse("b", 0, 1.2, 3),
                               MakeUse("c", 0, 5, 3)};
  engine.SendDemand({MakeDemand("d", 9, 1)}, use);
  const double before = engine.core.BuildView(engine.now).eviction_cost_ms.at("a");
  EXPECT_TEXT("unload a", engine.NextOrder(), "the least requested one");
  use[0].region_replicas = 1;
  use[1].region_replicas = 2;
  engine.SendDemand({MakeDemand("d", 9, 1)}, use);
  EXPECT_TRUE(engine.core.BuildView(engine.now).eviction_cost_ms.at("a") > before, "dearer");
  EXPECT_TEXT("unload b", engine.NextOrder(), "the region has another replica of it");
}

TEST_GROUP(PlacementAdapters){};

TEST(PlacementAdapters, ReplaceUnusedAdapter) {
  // Guards against unloading an adapter in use. The unload waited for its requests while new ones
  // kept arriving, and nothing was loaded for 12 s.
  Engine engine;
  engine.AddLoaded("a", {"x", "y"});
  engine.SendReport();
  ModelUse use = MakeUse("a", 3, 1);
  use.adapters_in_use = {"x"};
  engine.SendDemand({MakeDemand("a", 1, 1, "z")}, {use});
  EXPECT_TEXT("unload a/y", engine.NextOrder(), "x is in use");
  use.adapters_in_use = {"x", "y"};
  engine.SendDemand({MakeDemand("a", 1, 1, "z")}, {use});
  EXPECT_TEXT("nothing", engine.NextOrder(), "both are in use");
}

TEST(PlacementAdapters, WaitWhileEngineIsBusy) {
  // A busy engine refuses every order as a conflict.
  Engine engine;
  engine.AddLoaded("a");
  engine.report.is_busy = true;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 1, "x")});
  EXPECT_TEXT("nothing", engine.NextOrder(), "the engine is busy");
}

TEST(PlacementAdapters, LeaveViewWhenUnloadIsAccepted) {
  Engine engine;
  engine.AddLoaded("a", {"x", "y"});
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 1, "z")});
  EXPECT_TEXT("unload a/x", engine.NextOrder(), "an adapter slot is needed");
  engine.ReportResult(EngineOrderResult::kAccepted);
  EXPECT_NUMBER(1, engine.core.BuildView(engine.now).loaded.at(0).adapters.size(),
                "entries must stop sending requests for x");
}

TEST_GROUP(PlacementOrders){};

TEST(PlacementOrders, AreNotRepeatedBeforeNextReport) {
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "");
  engine.ReportResult(EngineOrderResult::kAccepted);
  EXPECT_TEXT("nothing", engine.NextOrder(), "no report shows the effect yet");
  engine.ExecuteOrder();
  engine.SendReport();
  EXPECT_TEXT("nothing", engine.NextOrder(), "a is loaded");
}

TEST(PlacementOrders, AreRetriedWithSameSequenceIfUnanswered) {
  // An engine accepts only one of two orders that expect the same sequence number.
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1)});
  engine.NextOrder();
  const auto sequence = engine.last_order->expected_sequence;
  engine.ReportResult(EngineOrderResult::kUnknown);
  EXPECT_TEXT("nothing", engine.NextOrder(), "the answer may still come");
  engine.now += 500;
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "no answer has come");
  EXPECT_NUMBER(sequence, engine.last_order->expected_sequence,
                "the engine can accept only one of the two");
}

TEST(PlacementOrders, IgnoreStateOfEarlierInstance) {
  Engine engine;
  engine.AddLoaded("a");
  engine.SendReport();
  engine.core.Reset("u2");
  EXPECT_NUMBER(0, engine.core.BuildView(engine.now).loaded.size(),
                "the new instance has no models");
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "the demand is for the previous instance");
}

TEST(PlacementOrders, NeverExceedAcceleratorMemory) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1)}, {MakeUse("a", 0), MakeUse("b", 0), MakeUse("c", 0)});
  EXPECT_TRUE(engine.NextOrder().rfind("unload", 0) == 0,
              "216 of 230 MB are used, 72 MB are needed");
}

TEST_GROUP(PlacementStaging){};

TEST(PlacementStaging, StagesMissingModelsWhenNoRequestWaits) {
  Engine engine;
  engine.report.on_disk = {"a"};
  engine.SendReport();
  engine.SendDemand({}, {}, {"a", "b"});
  EXPECT_TEXT("load b", engine.NextOrder(), "a is on disk already");
  engine.SendDemand({MakeDemand("c", 1)}, {}, {"b"});
  EXPECT_TEXT("load c", engine.NextOrder(), "a waiting request comes first");
}

TEST_GROUP(PlacementViews){};

TEST(PlacementViews, ReportRateOfNewlyAwaitedModels) {
  Engine engine;
  engine.SendReport();
  for (int n = 0; n < 40; ++n) {
    // Requests begin to wait for another model every 500 ms.
    engine.SendDemand({MakeDemand(n % 2 == 0 ? "a" : "b", 1)});
    engine.now += 250;
    engine.SendDemand({MakeDemand(n % 2 == 0 ? "a" : "b", 3)});
    engine.now += 250;
  }
  const double per_s = engine.core.BuildView(engine.now).model_waits_per_s;
  EXPECT_TRUE(per_s > 1.5 && per_s < 2.2,
              "expected about 2 per second, got " + std::to_string(per_s));
}

TEST(PlacementViews, ReportEvictionCostPerModel) {
  Engine engine;
  engine.AddLoaded("a");
  engine.AddLoaded("b");
  engine.SendReport();
  ModelUse busy = MakeUse("a", 0, 10);
  busy.target_ms = 300;
  engine.SendDemand({}, {busy, MakeUse("b", 0, 0.1)});
  const auto cost = engine.core.BuildView(engine.now).eviction_cost_ms;
  EXPECT_TRUE(cost.at("a") > 10 * cost.at("b"),
              "got " + std::to_string(cost.at("a")) + " and " + std::to_string(cost.at("b")));
}

TEST(PlacementViews, AffectWaitingEntriesAndRecentUsersOfRemovedModel) {
  Engine engine;
  engine.AddLoaded("a");
  engine.SendReport();
  const auto ask = [&](std::uint64_t link, std::vector<ModelDemand> wanted,
                       std::vector<ModelUse> use) {
    AgentDemand demand{"entry", "u1", std::move(wanted), std::move(use), {}, true};
    engine.core.OnDemand(link, std::move(demand), engine.now);
  };
  ModelUse never = MakeUse("a", 0);
  never.idle_ms = -1;
  ModelUse long_ago = MakeUse("a", 0);
  long_ago.idle_ms = 60000;
  ask(1, {MakeDemand("b", 1)}, {});
  ask(2, {}, {MakeUse("a", 0)});
  ask(3, {}, {never});
  ask(4, {}, {long_ago});
  EXPECT_TRUE(engine.core.IsAffected(1, {}), "an entry whose request waits");
  EXPECT_TRUE(engine.core.IsAffected(2, {"a"}), "an entry that has just sent one for it");
  EXPECT_TRUE(!engine.core.IsAffected(2, {"b"}), "another model was removed");
  EXPECT_TRUE(!engine.core.IsAffected(3, {"a"}), "an entry that never had a request for it");
  EXPECT_TRUE(!engine.core.IsAffected(4, {"a"}), "an entry whose last request was a minute ago");
  EXPECT_TRUE(!engine.core.IsAffected(5, {"a"}), "an entry that has sent no demand");
}

TEST(PlacementViews, ListRemovedModelsAndThoseThatLostAdapter) {
  EngineView before;
  before.loaded = {{"a", {}}, {"b", {"x", "y"}}, {"c", {"z"}}};
  EngineView after;
  after.loaded = {{"b", {"y"}}, {"c", {"z", "w"}}, {"d", {}}};
  const auto gone = RemovedModels(before, after);
  EXPECT_NUMBER(2, gone.size(), "a, and b for its adapter x");
  EXPECT_TEXT("a", gone.at(0), "");
  EXPECT_TEXT("b", gone.at(1), "");
}

TEST_GROUP(PlacementMessages){};

TEST(PlacementMessages, UpdateViewWithChangedPartsOnly) {
  EngineView view;
  view.instance = "u1";
  view.loaded = {{"a", {"x"}}, {"b", {}}};
  view.requests_per_s = {{"a", 1.5}, {"b", 0.5}};
  view.eviction_cost_ms = {{"a", 250}, {"b", 0}};
  view.store_load_request = StoreLoadRequest{true, 2.5, 40};
  for (int n = 0; n < 18; ++n) view.cached_models.push_back("model-number-" + std::to_string(n));
  const std::string whole = EncodeView(view);
  EngineView read;
  EXPECT_TRUE(DecodeView(whole, &read), "the first view on a link is a full one");

  EngineView next = view;
  next.running = 7;
  next.requests_per_s["b"] = 2.5;
  next.store_load_request.reset();
  EXPECT_TRUE(ChangedParts(view, next).IsEmpty(), "only the engine's load differs");
  const std::string update = EncodeViewUpdate(next, ChangedParts(view, next));
  EXPECT_TRUE(update.size() * 3 < whole.size(), "expected less than a third of " +
                                                    std::to_string(whole.size()) + " bytes, got " +
                                                    std::to_string(update.size()));
  EXPECT_TRUE(DecodeView(update, &read), "the update decodes");
  EXPECT_NUMBER(7, read.running, "");
  EXPECT_TRUE(read.requests_per_s.at("b") == 2.5 && read.eviction_cost_ms.at("a") == 250,
              "lists are mapped back to models");
  EXPECT_NUMBER(18, read.cached_models.size(), "parts that are not sent stay unchanged");
  EXPECT_TRUE(!read.store_load_request, "the blocked load has ended");

  EngineView later = next;
  later.loaded = {{"b", {}}};
  later.requests_per_s = {{"b", 3}};
  later.eviction_cost_ms = {{"b", 9}};
  later.loading = "c";
  later.cached_models = {"c"};
  EXPECT_TRUE(DecodeView(EncodeViewUpdate(later, ChangedParts(next, later)), &read), "");
  EXPECT_TRUE(read.loaded == later.loaded && read.loading == "c", "");
  EXPECT_TRUE(read.requests_per_s.size() == 1 && read.requests_per_s.at("b") == 3, "");
  EXPECT_NUMBER(1, read.cached_models.size(), "");
}

TEST(PlacementMessages, RejectUpdateWithoutMatchingView) {
  EngineView view;
  view.instance = "u1";
  EngineView read;
  EXPECT_TRUE(!DecodeView(EncodeViewUpdate(view, {}), &read), "there is no view to update");
  EngineView with_model = view;
  with_model.loaded = {{"a", {}}};
  with_model.requests_per_s = {{"a", 1}};
  EXPECT_TRUE(DecodeView(EncodeView(with_model), &read), "");
  EXPECT_TRUE(!DecodeView(EncodeViewUpdate(view, {}), &read),
              "the update has rates for fewer models than the view");
}

TEST(PlacementMessages, RoundTrip) {
  EngineView view;
  view.instance = "u1";
  view.loaded = {{"a", {"x"}}};
  view.loading = "b";
  view.is_loading_from_store = true;
  view.load_remaining_ms = 700;
  view.queue = {"c"};
  view.cached_models = {"a", "b"};
  view.kv_usage = 0.5;
  view.store_load_request = StoreLoadRequest{true, 2.5, 40};
  view.requests_per_s = {{"a", 1.5}};
  view.eviction_cost_ms = {{"a", 250}};
  view.model_waits_per_s = 1.25;
  EngineView read;
  EXPECT_TRUE(DecodeView(EncodeView(view), &read), "the view decodes");
  EXPECT_TEXT("x", read.loaded.at(0).adapters.at(0), "");
  EXPECT_TEXT("b", read.loading, "");
  EXPECT_NUMBER(700, read.load_remaining_ms, "");
  EXPECT_TRUE(read.store_load_request && read.store_load_request->has_waiting_requests, "");
  EXPECT_NUMBER(40, read.store_load_request->age_ms, "");
  EXPECT_TRUE(read.store_load_request->weight == 2.5, "");
  EXPECT_TRUE(read.requests_per_s.at("a") == 1.5, "");
  EXPECT_TRUE(read.eviction_cost_ms.at("a") == 250, "");
  EXPECT_TRUE(read.model_waits_per_s == 1.25, "");
  AgentDemand demand{"e",   "u1", {MakeDemand("a", 2, 0, "x", 9)}, {MakeUse("a", 1, 0.5, 2)},
                     {"d"}, false};
  demand.use[0].adapters_in_use = {"x"};
  demand.use[0].target_ms = 300;
  demand.use[0].region_replicas = 2;
  demand.wanted[0].late_callers = 2.5;
  demand.wanted[0].late = 1;
  demand.wanted[0].slack_ms = 700;
  demand.wanted[0].requests_per_s = 0.25;
  demand.resend_interval_ms = 1800;
  demand.accepts_view_updates = true;
  AgentDemand read_demand;
  EXPECT_TRUE(DecodeDemand(EncodeDemand(demand), &read_demand), "the demand decodes");
  EXPECT_TEXT("a/x", read_demand.wanted.at(0).ref.ToString(), "");
  EXPECT_TEXT("x", read_demand.use.at(0).adapters_in_use.at(0), "");
  EXPECT_NUMBER(300, read_demand.use.at(0).target_ms, "");
  EXPECT_NUMBER(2, read_demand.use.at(0).region_replicas, "");
  EXPECT_TRUE(read_demand.wanted.at(0).late_callers == 2.5, "");
  EXPECT_NUMBER(1, read_demand.wanted.at(0).late, "");
  EXPECT_NUMBER(700, read_demand.wanted.at(0).slack_ms, "");
  EXPECT_TRUE(read_demand.wanted.at(0).requests_per_s == 0.25, "");
  EXPECT_TEXT("d", read_demand.stage.at(0), "");
  EXPECT_TRUE(!read_demand.may_load_from_store, "");
  EXPECT_NUMBER(1800, read_demand.resend_interval_ms, "");
  EXPECT_TRUE(read_demand.accepts_view_updates, "");
}

TEST(PlacementMessages, FillMissingFieldsWithDefaults) {
  // Processes of two versions exchange messages during an upgrade of the fleet.
  using nlohmann::json;
  const json old = {{"n", "e"},
                    {"i", "u1"},
                    {"w", {{"a", "x", 2, 0, 9}}},
                    {"u", {{"a", 1, 0.5, 2, 7, json::array({"x"})}}},
                    {"s", json::array()}};
  std::string bytes;
  json::to_cbor(old, bytes);
  AgentDemand demand;
  EXPECT_TRUE(DecodeDemand(bytes, &demand), "five values per model are enough");
  EXPECT_NUMBER(2, demand.wanted.at(0).waiting, "");
  EXPECT_TRUE(demand.wanted.at(0).requests_per_s_per_replica == 0, "");
  EXPECT_NUMBER(0, demand.use.at(0).target_ms, "");
  EXPECT_NUMBER(0, demand.use.at(0).region_replicas, "");
  EXPECT_TRUE(demand.may_load_from_store, "the sender does not limit loads from the store");
  EXPECT_NUMBER(1000, demand.resend_interval_ms, "the sender repeats its demand every second");
  EXPECT_TRUE(!demand.accepts_view_updates, "the sender accepts full views only");
}

TEST(PlacementMessages, IgnoreUnknownFields) {
  using nlohmann::json;
  AgentDemand demand{"e", "u1", {MakeDemand("a", 2, 0, "x", 9)}, {MakeUse("a", 1, 0.5, 2)},
                     {},  true};
  json newer = json::from_cbor(EncodeDemand(demand));
  newer["w"][0].push_back("of a later version");
  newer["u"][0].push_back(json::array());
  newer["later"] = 1;
  std::string bytes;
  json::to_cbor(newer, bytes);
  AgentDemand read;
  EXPECT_TRUE(DecodeDemand(bytes, &read), "unknown fields are ignored");
  EXPECT_NUMBER(2, read.wanted.at(0).waiting, "");
}

TEST(PlacementMessages, RejectTruncatedData) {
  const std::string bytes = EncodeView(EngineView());
  EngineView view;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_TRUE(!DecodeView(std::string_view(bytes).substr(0, n), &view),
                "cut after " + std::to_string(n) + " bytes");
  }
  AgentDemand demand;
  EXPECT_TRUE(!DecodeDemand(EncodeView(EngineView()), &demand), "a view is not a demand");
}

}  // namespace junctionrail

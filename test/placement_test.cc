// What an engine is ordered to load and unload, without sockets.
#include "junctionrail/placement.h"

#include <nlohmann/json.hpp>

#include "check.h"

namespace junctionrail {
namespace {

EngineSpec MakeSpec() {
  EngineSpec spec;
  spec.accelerator_mb = 230;
  spec.adapter_places = 2;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    spec.models.push_back({name, 72, 1, 6000, 800, 400});
  }
  return spec;
}

// An agent's core before an engine that does what it is told at once.
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

  // What is ordered now, as "load a/x", or "nothing".
  std::string NextOrder() {
    last_order = core.NextOrder(now);
    if (!last_order) return "nothing";
    return (last_order->kind == OrderKind::kLoad ? "load " : "unload ") +
           last_order->target.ToString();
  }

  void ReportResult(EngineOrderResult result) { core.OnOrderResult(*last_order, result, now); }

  // The engine carries the last order out.
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

TEST(PlacementLoads, WhatRequestsWaitForWhereThereIsRoom) {
  Engine engine;
  engine.AddLoaded("a");
  engine.SendReport();
  engine.SendDemand({MakeDemand("b", 1)});
  EXPECT_TEXT("load b", engine.NextOrder(), "two models fit beside it");
}

TEST(PlacementLoads, NothingBeforeTheEngineHasBeenAsked) {
  Engine engine;
  engine.SendDemand({MakeDemand("b", 1)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "what is loaded is not known");
}

TEST(PlacementLoads, AModelManyWaitForBeforeOneThatAMoreUrgentRequestWaitsFor) {
  // 25 requests a second waited for a busy model while
  // three rare ones, one request each, were loaded before it.
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 0), MakeDemand("b", 30, 1)});
  EXPECT_TEXT("load b", engine.NextOrder(), "thirty requests outweigh one of the class above");
  engine.SendDemand({MakeDemand("a", 1, 0), MakeDemand("b", 3, 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "three do not");
}

TEST(PlacementLoads, FromTheWeightStoreOnlyWhenAnEntrySaysThatItHasRoom) {
  // after engines had crashed, twenty loads from the
  // store at once took 20 s each in place of 6 s, and kept their engines from
  // every other order until then.
  Engine engine;
  engine.report.on_disk = {"a"};
  engine.AddLoaded("c");
  engine.AddLoaded("d");
  engine.AddLoaded("e");
  engine.SendReport();
  engine.SendDemand({MakeDemand("b", 1)}, {}, {}, false);
  EXPECT_TEXT("nothing", engine.NextOrder(), "not even room is made yet");
  engine.now += 300;
  EXPECT_TEXT("nothing", engine.NextOrder(), "");
  const auto want = engine.core.BuildView(engine.now).store_want;
  EXPECT_TRUE(want && want->is_waited_for, "entries hear of it");
  EXPECT_NUMBER(300, want->age_ms, "");
  engine.SendDemand({MakeDemand("b", 1), MakeDemand("a", 1)}, {}, {}, false);
  EXPECT_TRUE(engine.NextOrder().substr(0, 7) == "unload ",
              "a load from disk does not wait for it");
  engine.SendDemand({MakeDemand("b", 1)}, {}, {}, true);
  EXPECT_TRUE(engine.NextOrder().substr(0, 7) == "unload ", "now it makes room");
  EXPECT_TRUE(!engine.core.BuildView(engine.now).store_want, "and asks no more");
}

TEST(PlacementLoads, FromTheWeightStoreOnlyWhenMostEntriesSayThatItHasRoom) {
  // Views reach entries at different moments: each may take another agent for the one
  // whose turn it is.
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
  EXPECT_TEXT("nothing", engine.NextOrder(), "one of three");
  say(3, true);
  EXPECT_TEXT("load a", engine.NextOrder(), "two of three");
}

TEST(PlacementLoads, AReplicaOfAnOverloadedModelFromTheStoreBeforeOneForARareRequest) {
  // after all VMs had lost power a busy model's one engine
  // queued its requests for 15 s, while the weight store's places went to rare
  // models, one request each.
  Engine engine;
  engine.report.on_disk = {};
  engine.SendReport();
  const auto weigh = [&engine](const ModelDemand& demand) {
    engine.SendDemand({demand}, {}, {}, false);
    engine.NextOrder();
    return engine.core.BuildView(engine.now).store_want.value_or(StoreWant()).weight;
  };
  ModelDemand replica = MakeDemand("a", 0, 1);
  replica.replica_per_s = 12;
  ModelDemand waiting = MakeDemand("b", 1, 0);
  waiting.per_s = 0.2;
  const double rare = weigh(waiting);
  EXPECT_TRUE(weigh(replica) > rare, "twelve of the class below each second, against one in five");
  replica.replica_per_s = 1.2;
  EXPECT_TRUE(weigh(replica) < rare, "at a tenth of them the rare one comes first");
  waiting.waiting = 9;
  EXPECT_TRUE(weigh(waiting) == rare, "those who wait now have left when the load is over");
  engine.report.on_disk = {"a", "b"};
  engine.SendReport();
  replica.replica_per_s = 12;
  engine.SendDemand({replica, MakeDemand("b", 1, 0)});
  EXPECT_TEXT("load b", engine.NextOrder(), "from disk, requests that wait come first");
}

TEST(PlacementLoads, ASpareCopyOfABusyModelIntoFreeMemoryOnly) {
  // Engines were replaced one by one; the fresh ones took up rare models, six seconds each
  // from the store, until no engine was left that held the busy ones.
  Engine engine;
  engine.report.on_disk = {};
  engine.SendReport();
  ModelDemand spare = MakeDemand("a", 0);
  spare.at_risk_per_s = 3;
  ModelDemand rare = MakeDemand("b", 1);
  rare.per_s = 0.2;
  engine.SendDemand({spare, rare});
  EXPECT_TEXT("load a", engine.NextOrder(), "three a second will look for it in vain");
  spare.at_risk_per_s = 0.1;
  engine.SendDemand({spare, rare});
  EXPECT_TEXT("load b", engine.NextOrder(), "a request that waits counts more than that");
  for (const char* it : {"b", "c", "d"}) engine.AddLoaded(it);
  engine.SendReport();
  spare.at_risk_per_s = 30;
  engine.SendDemand({spare}, {MakeUse("b", 0, 0.5), MakeUse("c", 0, 0.5), MakeUse("d", 0, 0.5)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "nothing that is asked for makes room for it");
}

TEST(PlacementLoads, WhatCanStillBeInTimeBeforeWhatIsLateInAnyCase) {
  Engine engine;
  engine.SendReport();
  ModelDemand late = MakeDemand("a", 2);
  late.late = 2;
  ModelDemand urgent = MakeDemand("b", 1);
  urgent.left_ms = 1200;
  ModelDemand relaxed = MakeDemand("c", 1);
  relaxed.left_ms = 9000;
  engine.SendDemand({late, urgent, relaxed});
  EXPECT_TEXT("load b", engine.NextOrder(), "it is in time if it is next, and not after another");
  urgent.left_ms = 300;
  engine.SendDemand({late, urgent, relaxed});
  EXPECT_TEXT("load a", engine.NextOrder(), "b is late now too, and two wait for a");
}

TEST_GROUP(PlacementMakesRoom){};

TEST(PlacementMakesRoom, ByTheModelLeastAskedFor) {
  Engine engine;
  engine.AddLoaded("a");
  engine.AddLoaded("b");
  engine.AddLoaded("c");
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1)},
                    {MakeUse("a", 0, 0.3), MakeUse("b", 0, 0.1), MakeUse("c", 0, 0.2)});
  EXPECT_TEXT("unload b", engine.NextOrder(), "it has the fewest requests a second");
}

TEST(PlacementMakesRoom, NeverByAModelThatRequestsWaitFor) {
  Engine engine;
  engine.AddLoaded("a", {});
  engine.AddLoaded("b");
  engine.AddLoaded("c");
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1), MakeDemand("b", 1, 1, "x")},
                    {MakeUse("a", 0, 2.0), MakeUse("b", 0, 0.1), MakeUse("c", 0, 1.0)});
  EXPECT_TEXT("load b/x", engine.NextOrder(), "the adapter comes first");
  engine.ReportResult(EngineOrderResult::kAlreadyHolds);
  engine.now += 1000;
  engine.SendDemand({MakeDemand("d", 1), MakeDemand("b", 1)},
                    {MakeUse("a", 0, 0.3), MakeUse("b", 0, 0.1), MakeUse("c", 0, 0.2)});
  EXPECT_TEXT("unload c", engine.NextOrder(), "the least asked for of the others");
}

TEST(PlacementMakesRoom, ByAModelInUseOnlyForARequestThatWaitedLong) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  const std::vector<ModelUse> use = {MakeUse("a", 5, 2), MakeUse("b", 1, 1), MakeUse("c", 9, 3)};
  engine.SendDemand({MakeDemand("d", 1, 0, "", 100)}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(), "all are in use");
  engine.SendDemand({MakeDemand("d", 1, 0, "", 5000)}, use);
  EXPECT_TEXT("unload b", engine.NextOrder(), "the one that interrupts the fewest requests");
}

TEST(PlacementMakesRoom, ByABusyModelOnlyWhenThoseWhoWaitLoseMoreThanItsCallersWould) {
  // Without this the busiest models were closed eight to eleven times in half a
  // minute for models with one request in three seconds.
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
              "ten callers a second would wait 1.1 s for c's return");
  // 10 a second * (0.3^2 / 3 + (1.1^2 - 0.3^2) / 2) s + 1.1 s for the first = 7.0 s.
  engine.SendDemand({MakeDemand("d", 1, 0, "", 5800)}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(), "5.8 s and 1.1 s for the load are less than 7.0 s");
  engine.SendDemand({MakeDemand("d", 1, 0, "", 6000)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(), "6.0 s and 1.1 s are more");
  engine.SendDemand({MakeDemand("d", 4, 0, "", 700)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(), "four callers lose 7.2 s");
}

TEST(PlacementMakesRoom, SoonerByAModelWhoseCallersHaveTimeForItsReturn) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 0, 1), MakeUse("b", 0, 1), MakeUse("c", 0, 2)};
  use[0].target_ms = use[1].target_ms = 300;
  use[2].target_ms = 5000;
  engine.SendDemand({MakeDemand("d", 1)}, use);
  EXPECT_TEXT("unload c", engine.NextOrder(),
              "it is asked for most, but its callers can wait longest");
}

TEST(PlacementMakesRoom, ForAReplicaWhoseAbsenceMakesCallersLate) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  std::vector<ModelUse> use = {MakeUse("a", 1, 1), MakeUse("b", 1, 1), MakeUse("c", 1, 1)};
  for (auto& it : use) {
    it.target_ms = 300;
    it.priority = 0;
  }
  ModelDemand replica = MakeDemand("d", 0, 0);
  replica.callers_late = 0.5;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("nothing", engine.NextOrder(), "0.5 s of callers in a second, 1.9 s for those of a");
  replica.callers_late = 4;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("unload a", engine.NextOrder(), "four callers late at any moment");
}

TEST(PlacementMakesRoom, ForTheOneThatWasWeighedAgainstIt) {
  // Room made by a busy model's replica went to whichever model came next.
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  const std::vector<ModelUse> use = {MakeUse("a", 0, 0.1), MakeUse("b", 0, 3), MakeUse("c", 0, 3)};
  ModelDemand replica = MakeDemand("d", 0, 0);
  replica.callers_late = 9;
  engine.SendDemand({replica}, use);
  EXPECT_TEXT("unload a", engine.NextOrder(), "the least asked for");
  engine.ReportResult(EngineOrderResult::kAccepted);
  engine.ExecuteOrder();
  engine.now += 100;
  engine.SendReport();
  engine.SendDemand({replica, MakeDemand("e", 40, 0)}, use);
  EXPECT_TEXT("load d", engine.NextOrder(), "forty wait for e now, but room was made for d");
}

TEST_GROUP(PlacementAdapters){};

TEST(PlacementAdapters, TakeThePlaceOfOneThatNoRequestUses) {
  // an adapter in use was to go. Its unload waited for
  // requests that kept coming, and nothing was loaded for twelve seconds.
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

TEST(PlacementAdapters, AreNotOrderedWhileAModelIsUnderAnOrder) {
  // Engines answer such orders with a conflict each time.
  Engine engine;
  engine.AddLoaded("a");
  engine.report.is_busy = true;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 1, "x")});
  EXPECT_TEXT("nothing", engine.NextOrder(), "the engine is busy");
}

TEST(PlacementAdapters, LeaveTheViewAsSoonAsTheyAreToGo) {
  Engine engine;
  engine.AddLoaded("a", {"x", "y"});
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1, 1, "z")});
  EXPECT_TEXT("unload a/x", engine.NextOrder(), "a place is needed");
  engine.ReportResult(EngineOrderResult::kAccepted);
  EXPECT_NUMBER(1, engine.core.BuildView(engine.now).loaded.at(0).adapters.size(),
                "entries must not send requests for it any more");
}

TEST_GROUP(PlacementOrders){};

TEST(PlacementOrders, WaitForTheReportThatShowsTheirEffect) {
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "");
  engine.ReportResult(EngineOrderResult::kAccepted);
  EXPECT_TEXT("nothing", engine.NextOrder(), "its effect is not reported yet");
  engine.ExecuteOrder();
  engine.SendReport();
  EXPECT_TEXT("nothing", engine.NextOrder(), "it is loaded");
}

TEST(PlacementOrders, WithoutAnAnswerAreGivenAgainUnderTheSameSequence) {
  // Of two orders that expect the same sequence an engine takes only one.
  Engine engine;
  engine.SendReport();
  engine.SendDemand({MakeDemand("a", 1)});
  engine.NextOrder();
  const auto sequence = engine.last_order->expected_sequence;
  engine.ReportResult(EngineOrderResult::kUnknown);
  EXPECT_TEXT("nothing", engine.NextOrder(), "the answer may still come");
  engine.now += 500;
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("load a", engine.NextOrder(), "it did not");
  EXPECT_NUMBER(sequence, engine.last_order->expected_sequence, "only one of the two can be taken");
}

TEST(PlacementOrders, ForgetWhatAnEarlierInstanceHeld) {
  Engine engine;
  engine.AddLoaded("a");
  engine.SendReport();
  engine.core.Reset("u2");
  EXPECT_NUMBER(0, engine.core.BuildView(engine.now).loaded.size(), "the new one starts empty");
  engine.SendDemand({MakeDemand("a", 1)});
  EXPECT_TEXT("nothing", engine.NextOrder(), "a demand meant for the instance before");
}

TEST(PlacementOrders, NeverExceedTheAcceleratorsMemory) {
  Engine engine;
  for (const char* it : {"a", "b", "c"}) engine.AddLoaded(it);
  engine.SendReport();
  engine.SendDemand({MakeDemand("d", 1)}, {MakeUse("a", 0), MakeUse("b", 0), MakeUse("c", 0)});
  EXPECT_TRUE(engine.NextOrder().rfind("unload", 0) == 0, "216 of 230 are taken, 72 are needed");
}

TEST_GROUP(PlacementStages){};

TEST(PlacementStages, OnlyWhenNobodyWaitsAndOnlyWhatIsNotOnDisk) {
  Engine engine;
  engine.report.on_disk = {"a"};
  engine.SendReport();
  engine.SendDemand({}, {}, {"a", "b"});
  EXPECT_TEXT("load b", engine.NextOrder(), "a is on disk already");
  engine.SendDemand({MakeDemand("c", 1)}, {}, {"b"});
  EXPECT_TEXT("load c", engine.NextOrder(), "a waiting request comes first");
}

TEST_GROUP(PlacementViews){};

TEST(PlacementViews, TellHowOftenAFurtherModelIsWaitedFor) {
  Engine engine;
  engine.SendReport();
  for (int n = 0; n < 40; ++n) {
    // Each half second requests begin to wait for another model.
    engine.SendDemand({MakeDemand(n % 2 == 0 ? "a" : "b", 1)});
    engine.now += 250;
    engine.SendDemand({MakeDemand(n % 2 == 0 ? "a" : "b", 3)});
    engine.now += 250;
  }
  const double per_s = engine.core.BuildView(engine.now).wants_per_s;
  EXPECT_TRUE(per_s > 1.5 && per_s < 2.2, "two a second, got " + std::to_string(per_s));
}

TEST(PlacementViews, TellWhatTheClosingOfEachModelWouldCost) {
  Engine engine;
  engine.AddLoaded("a");
  engine.AddLoaded("b");
  engine.SendReport();
  ModelUse busy = MakeUse("a", 0, 10);
  busy.target_ms = 300;
  engine.SendDemand({}, {busy, MakeUse("b", 0, 0.1)});
  const auto cost = engine.core.BuildView(engine.now).closing_ms;
  EXPECT_TRUE(cost.at("a") > 10 * cost.at("b"),
              "got " + std::to_string(cost.at("a")) + " and " + std::to_string(cost.at("b")));
}

TEST(PlacementViews, ConcernAtOnceWhoWaitsAndWhoUsedWhatIsGone) {
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
  EXPECT_TRUE(!engine.core.IsAffected(2, {"b"}), "another model is gone");
  EXPECT_TRUE(!engine.core.IsAffected(3, {"a"}), "an entry that never had a request for it");
  EXPECT_TRUE(!engine.core.IsAffected(4, {"a"}), "an entry that had one a minute ago");
  EXPECT_TRUE(!engine.core.IsAffected(5, {"a"}), "an entry that has said nothing");
}

TEST(PlacementViews, NameTheModelsThatAreGoneAndThoseThatLostAnAdapter) {
  EngineView before;
  before.loaded = {{"a", {}}, {"b", {"x", "y"}}, {"c", {"z"}}};
  EngineView after;
  after.loaded = {{"b", {"y"}}, {"c", {"z", "w"}}, {"d", {}}};
  const auto gone = RemovedModels(before, after);
  EXPECT_NUMBER(2, gone.size(), "a as a whole, and b's x");
  EXPECT_TEXT("a", gone.at(0), "");
  EXPECT_TEXT("b", gone.at(1), "");
}

TEST_GROUP(PlacementMessages){};

TEST(PlacementMessages, BringAViewUpToDateByWhatHasChanged) {
  EngineView view;
  view.instance = "u1";
  view.loaded = {{"a", {"x"}}, {"b", {}}};
  view.per_s = {{"a", 1.5}, {"b", 0.5}};
  view.closing_ms = {{"a", 250}, {"b", 0}};
  view.store_want = StoreWant{true, 2.5, 40};
  for (int n = 0; n < 18; ++n) view.at_hand.push_back("model-number-" + std::to_string(n));
  const std::string whole = EncodeView(view);
  EngineView read;
  EXPECT_TRUE(DecodeView(whole, &read), "the first on a link is whole");

  EngineView next = view;
  next.running = 7;
  next.per_s["b"] = 2.5;
  next.store_want.reset();
  EXPECT_TRUE(ChangedParts(view, next).IsEmpty(), "only the engine's load differs");
  const std::string update = EncodeViewUpdate(next, ChangedParts(view, next));
  EXPECT_TRUE(update.size() * 3 < whole.size(), "expected less than a third of " +
                                                    std::to_string(whole.size()) + " bytes, got " +
                                                    std::to_string(update.size()));
  EXPECT_TRUE(DecodeView(update, &read), "it decodes");
  EXPECT_NUMBER(7, read.running, "");
  EXPECT_TRUE(read.per_s.at("b") == 2.5 && read.closing_ms.at("a") == 250, "by model again");
  EXPECT_NUMBER(18, read.at_hand.size(), "what is not said is as before");
  EXPECT_TRUE(!read.store_want, "a want that is over is gone");

  EngineView later = next;
  later.loaded = {{"b", {}}};
  later.per_s = {{"b", 3}};
  later.closing_ms = {{"b", 9}};
  later.loading = "c";
  later.at_hand = {"c"};
  EXPECT_TRUE(DecodeView(EncodeViewUpdate(later, ChangedParts(next, later)), &read), "");
  EXPECT_TRUE(read.loaded == later.loaded && read.loading == "c", "");
  EXPECT_TRUE(read.per_s.size() == 1 && read.per_s.at("b") == 3, "");
  EXPECT_NUMBER(1, read.at_hand.size(), "");
}

TEST(PlacementMessages, ThatUpdateAViewNobodySentAreRefused) {
  EngineView view;
  view.instance = "u1";
  EngineView read;
  EXPECT_TRUE(!DecodeView(EncodeViewUpdate(view, {}), &read),
              "there is nothing to bring up to date");
  EngineView with_model = view;
  with_model.loaded = {{"a", {}}};
  with_model.per_s = {{"a", 1}};
  EXPECT_TRUE(DecodeView(EncodeView(with_model), &read), "");
  EXPECT_TRUE(!DecodeView(EncodeViewUpdate(view, {}), &read),
              "rates of fewer models than are loaded");
}

TEST(PlacementMessages, SurviveTheirEncoding) {
  EngineView view;
  view.instance = "u1";
  view.loaded = {{"a", {"x"}}};
  view.loading = "b";
  view.is_from_store = true;
  view.remaining_ms = 700;
  view.queue = {"c"};
  view.at_hand = {"a", "b"};
  view.kv_share = 0.5;
  view.store_want = StoreWant{true, 2.5, 40};
  view.per_s = {{"a", 1.5}};
  view.closing_ms = {{"a", 250}};
  view.wants_per_s = 1.25;
  EngineView read;
  EXPECT_TRUE(DecodeView(EncodeView(view), &read), "it decodes");
  EXPECT_TEXT("x", read.loaded.at(0).adapters.at(0), "");
  EXPECT_TEXT("b", read.loading, "");
  EXPECT_NUMBER(700, read.remaining_ms, "");
  EXPECT_TRUE(read.store_want && read.store_want->is_waited_for, "");
  EXPECT_NUMBER(40, read.store_want->age_ms, "");
  EXPECT_TRUE(read.store_want->weight == 2.5, "");
  EXPECT_TRUE(read.per_s.at("a") == 1.5, "");
  EXPECT_TRUE(read.closing_ms.at("a") == 250, "");
  EXPECT_TRUE(read.wants_per_s == 1.25, "");
  AgentDemand demand{"e",   "u1", {MakeDemand("a", 2, 0, "x", 9)}, {MakeUse("a", 1, 0.5, 2)},
                     {"d"}, false};
  demand.use[0].adapters_in_use = {"x"};
  demand.use[0].target_ms = 300;
  demand.wanted[0].callers_late = 2.5;
  demand.wanted[0].late = 1;
  demand.wanted[0].left_ms = 700;
  demand.wanted[0].per_s = 0.25;
  demand.repeat_ms = 1800;
  demand.takes_updates = true;
  AgentDemand read_demand;
  EXPECT_TRUE(DecodeDemand(EncodeDemand(demand), &read_demand), "it decodes");
  EXPECT_TEXT("a/x", read_demand.wanted.at(0).ref.ToString(), "");
  EXPECT_TEXT("x", read_demand.use.at(0).adapters_in_use.at(0), "");
  EXPECT_NUMBER(300, read_demand.use.at(0).target_ms, "");
  EXPECT_TRUE(read_demand.wanted.at(0).callers_late == 2.5, "");
  EXPECT_NUMBER(1, read_demand.wanted.at(0).late, "");
  EXPECT_NUMBER(700, read_demand.wanted.at(0).left_ms, "");
  EXPECT_TRUE(read_demand.wanted.at(0).per_s == 0.25, "");
  EXPECT_TEXT("d", read_demand.stage.at(0), "");
  EXPECT_TRUE(!read_demand.may_load_from_store, "");
  EXPECT_NUMBER(1800, read_demand.repeat_ms, "");
  EXPECT_TRUE(read_demand.takes_updates, "");
}

TEST(PlacementMessages, OfAVersionWithFewerFieldsAreReadWithDefaults) {
  // While a fleet is replaced, processes of two versions speak with each other.
  using nlohmann::json;
  const json old = {{"n", "e"},
                    {"i", "u1"},
                    {"w", {{"a", "x", 2, 0, 9}}},
                    {"u", {{"a", 1, 0.5, 2, 7, json::array({"x"})}}},
                    {"s", json::array()}};
  std::string bytes;
  json::to_cbor(old, bytes);
  AgentDemand demand;
  EXPECT_TRUE(DecodeDemand(bytes, &demand), "a demand of five values a model");
  EXPECT_NUMBER(2, demand.wanted.at(0).waiting, "");
  EXPECT_TRUE(demand.wanted.at(0).replica_per_s == 0, "");
  EXPECT_NUMBER(0, demand.use.at(0).target_ms, "");
  EXPECT_TRUE(demand.may_load_from_store, "the sender sets no bound");
  EXPECT_NUMBER(1000, demand.repeat_ms, "the sender repeats each second");
  EXPECT_TRUE(!demand.takes_updates, "the sender reads whole views only");
}

TEST(PlacementMessages, OfAVersionWithMoreFieldsAreReadWithoutThem) {
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
  EXPECT_TRUE(DecodeDemand(bytes, &read), "what is not known is passed over");
  EXPECT_NUMBER(2, read.wanted.at(0).waiting, "");
}

TEST(PlacementMessages, ThatAreDamagedAreRefusedWhole) {
  const std::string bytes = EncodeView(EngineView());
  EngineView view;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_TRUE(!DecodeView(std::string_view(bytes).substr(0, n), &view),
                "cut after " + std::to_string(n) + " bytes");
  }
  AgentDemand demand;
  EXPECT_TRUE(!DecodeDemand(EncodeView(EngineView()), &demand), "a message of another kind");
}

}  // namespace junctionrail

// Which upstream a request goes to, without sockets.
#include "junctionrail/routing.h"

#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeSpec;
using testing::Record;
using testing::Table;
using testing::View;

}  // namespace

TEST_GROUP(RouteTables){};

TEST(RouteTables, FindTheLongestPrefixOfTheHost) {
  RoutingConfiguration configuration;
  Route a;
  a.name = "short";
  a.host = "Shop.example";
  a.path_prefix = "/a/";
  Route b = a;
  b.name = "long";
  b.path_prefix = "/a/b/";
  configuration.routes = {a, b};
  const RouteTable table(configuration);
  EXPECT_TEXT("long", table.Find("shop.example", "/a/b/c")->name, "both match");
  EXPECT_TEXT("short", table.Find("shop.example:80", "/a/c")->name, "a port is passed over");
  EXPECT_TRUE(table.Find("shop.example", "/b/") == nullptr, "no prefix");
  EXPECT_TRUE(table.Find("other.example", "/a/") == nullptr, "another host");
}

TEST(RouteTables, SplitRequestsByWeightAndARequestAlwaysAlike) {
  Route route;
  route.name = "r";
  route.shares = {{"big", 90}, {"small", 10}};
  int small = 0;
  for (int n = 0; n < 1000; ++n) {
    const std::string id = std::to_string(n);
    EXPECT_TEXT(PickService(route, id), PickService(route, id), "the same request");
    if (PickService(route, id) == "small") ++small;
  }
  EXPECT_TRUE(small > 60 && small < 140, "about a tenth, got " + std::to_string(small));
}

TEST_GROUP(Budgets){};

TEST(Budgets, GrowWithRequestsAndExpireWithTheWindow) {
  RetryBudget budget({0.5, 1, 1000});
  EXPECT_TRUE(budget.TryTake("s", 0), "the fixed allowance");
  EXPECT_TRUE(!budget.TryTake("s", 0), "is spent");
  for (int n = 0; n < 4; ++n) budget.OnRequest("s", 10);
  EXPECT_TRUE(budget.TryTake("s", 10) && budget.TryTake("s", 10), "half of four requests");
  EXPECT_TRUE(!budget.TryTake("s", 10), "no more");
  EXPECT_TRUE(!budget.TryTake("s", 900), "within the window");
  EXPECT_TRUE(budget.TryTake("s", 1500), "the window has passed");
}

TEST(Budgets, TakeOtherBoundsAtOnce) {
  RetryBudget budget({0, 1, 10000});
  EXPECT_TRUE(budget.TryTake("s", 100), "one attempt");
  EXPECT_TRUE(!budget.TryTake("s", 100), "and no more");
  budget.SetOptions({0, 2, 10000});
  EXPECT_TRUE(budget.TryTake("s", 100), "two, of which one is spent");
  EXPECT_TRUE(!budget.TryTake("s", 100), "");
}

TEST(Budgets, DivideTheFixedAllowanceAmongTheEntriesThereAre) {
  RetryBudget budget({0, 40, 1000});
  budget.SetEntries(20);
  EXPECT_TRUE(budget.TryTake("s", 0) && budget.TryTake("s", 0), "a twentieth of forty");
  EXPECT_TRUE(!budget.TryTake("s", 0), "the rest is for others");
}

TEST_GROUP(Choices){};

TEST(Choices, TakeTheLeastLoadedAndNeverOneThatLeaves) {
  Table t;
  auto leaving = Record("u1");
  leaving.is_leaving = true;
  for (auto& it : {&leaving}) it->service = "plain";
  auto busy = Record("u2");
  auto idle = Record("u3");
  busy.service = idle.service = "plain";
  t.table.ApplyListing({leaving, busy, idle}, t.now);
  for (int n = 0; n < 5; ++n) t.table.OnSent("u2", std::nullopt, t.now);
  EXPECT_TEXT("send u3", t.Choose("plain"), "it has nothing in flight");
  EXPECT_TEXT("send u2", t.Choose("plain", std::nullopt, {"u3"}), "the other was tried");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2", "u3"}), "u1 is leaving");
}

TEST(Choices, SpreadRequestsOverEnginesUntilTheNextView) {
  // one stream in ten paused for over 300 ms, as all 28
  // entries sent to the engine that had the least in the last view.
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  EngineView busy = View("u1", {{"a", {}}});
  busy.running = 16;
  EngineView less = View("u2", {{"a", {}}});
  less.running = 10;
  t.table.ApplyView(busy, t.now);
  t.table.ApplyView(less, t.now);
  int at_busy = 0;
  for (int n = 0; n < 200; ++n) {
    PickRequest request;
    request.service = "engine";
    request.model = ModelRef{"a", ""};
    const std::string id = "r" + std::to_string(n);
    request.request_id = id;
    const Pick pick = t.table.Choose(request, t.now);
    at_busy += std::get<SendTo>(pick).instance == "u1" ? 1 : 0;
  }
  EXPECT_TRUE(at_busy >= 40 && at_busy < 100,
              "expected fewer, but not none, at the busier one; got " + std::to_string(at_busy) +
                  " of 200");
}

TEST(Choices, RememberThatAnUpstreamLeavesWhateverIsListedLater) {
  Table t;
  auto record = Record("u1");
  record.service = "plain";
  record.is_leaving = true;
  t.table.ApplyListing({record}, t.now);
  record.is_leaving = false;
  t.table.ApplyListing({record}, t.now);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "a listing may lag");
}

namespace {

// A table that is told listings as an entry reads them.
struct FollowedTable : Table {
  // A reading that took 10 ms.
  void Read(const std::vector<std::string>& instances, bool was_unreadable = false) {
    std::vector<UpstreamRecord> records;
    for (const auto& it : instances) {
      records.push_back(Record(it));
      records.back().service = "plain";
    }
    const TimeMs as_of = now;
    now += 10;
    table.ApplyListing(lapsed.Complete(records, was_unreadable, as_of, now), now);
  }
  void ReadAfterOutage(const std::vector<std::string>& instances) {
    now += 3000;
    Read(instances, true);
  }

  LapsedRecords lapsed;
};

}  // namespace

TEST_GROUP(ListingsAfterAnOutage){};

TEST(ListingsAfterAnOutage, KeepWhatIsMissingForTwoSecondsAndDropItAtOnceElse) {
  FollowedTable t;
  t.Read({"u1"});
  EXPECT_TRUE(!t.lapsed.RestoredAt(), "nothing is missing");
  t.ReadAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "it may only have lapsed");
  EXPECT_NUMBER(t.now + 2000, t.lapsed.RestoredAt().value_or(0), "it is looked for again then");
  t.now += 1000;
  t.Read({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "it may yet come back");
  t.now += 1000;
  t.Read({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it would be back by now");
  t.Read({"u1"});
  t.Read({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "no outage explains that it is missing");
}

TEST(ListingsAfterAnOutage, DropWhatWasThereOnceTheStoreWasBack) {
  FollowedTable t;
  t.Read({"u1", "u2"});
  t.ReadAfterOutage({"u1"});
  t.now += 1000;
  t.Read({});
  EXPECT_TEXT("send u2", t.Choose("plain"), "it may have lapsed in the outage, u1 has not");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2"}), "u1 has left");
}

TEST(ListingsAfterAnOutage, DropWhatIsMissingWhenNoRecordCanHaveLapsed) {
  FollowedTable t;
  t.Read({"u1"});
  t.now += 2300;
  t.Read({}, true);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "records outlive two writes that do not come");
}

TEST(ListingsAfterAnOutage, KeepWhatIsMissingThroughTheNextOutage) {
  FollowedTable t;
  t.Read({"u1"});
  t.ReadAfterOutage({});
  t.ReadAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "it had no time to come back");
  t.now += 2000;
  t.Read({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "now it had");
}

TEST(ListingsAfterAnOutage, KeepWhatAnotherEntryTold) {
  FollowedTable t;
  auto record = Record("u1");
  record.service = "plain";
  t.table.ApplyListing(t.lapsed.Take({record}), t.now);
  t.ReadAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "the store was away as this entry started");
  t.now += 2000;
  t.Read({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it would be back by now");
}

TEST(ListingsAfterAnOutage, SayWhatChanged) {
  FollowedTable t;
  const auto news = [&](const std::vector<UpstreamRecord>& read, bool was_unreadable) {
    std::string text;
    const auto listing = t.lapsed.Complete(read, was_unreadable, t.now, t.now);
    for (const auto& it : t.table.ApplyListing(listing, t.now)) {
      constexpr const char* kNames[] = {"listed", "leaving", "missing", "gone"};
      text += it.instance + " " + kNames[static_cast<int>(it.news)] + ";";
    }
    return text;
  };
  auto leaving = Record("u2");
  EXPECT_TEXT("u1 listed;u2 listed;", news({Record("u1"), leaving}, false), "");
  leaving.is_leaving = true;
  EXPECT_TEXT("u2 leaving;", news({Record("u1"), leaving}, false), "");
  t.now += 3000;
  EXPECT_TEXT("u1 missing;u2 missing;", news({}, true), "");
  EXPECT_TEXT("u1 listed;", news({Record("u1")}, false), "it is back");
  t.now += 2000;
  EXPECT_TEXT("u2 gone;", news({Record("u1")}, false), "it is not");
  EXPECT_TEXT("", news({Record("u1")}, false), "");
}

TEST(Choices, TakeAnUpstreamAgainWhoseRecordComesBackWhileARequestIsUnderWay) {
  // Found by reading: a record that lapsed under a long stream and came back
  // left its upstream unused for good.
  Table t;
  auto record = Record("u1");
  record.service = "plain";
  t.table.ApplyListing({record}, t.now);
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.ApplyListing({}, t.now);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it is not listed");
  t.table.ApplyListing({record}, t.now);
  EXPECT_TEXT("send u1", t.Choose("plain"), "it is listed as ready again");
}

TEST(Choices, TakeTheInstanceThatAnswersThoughARecordMadeLaterNamesAnother) {
  // The last write of an instance that ended may land after its successor's.
  Table t;
  UpstreamRecord present = Record("u1");
  present.generation = 5;
  UpstreamRecord ended = Record("u2");
  ended.generation = 9;
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "it seems to be the later one");
  t.table.OnOtherInstance("u2");
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "it answered in u2's place");
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "and not forgotten with the next listing");
}

TEST(Choices, SetAnUpstreamAsideAfterFailuresButNotTheLastOne) {
  Table t;
  auto a = Record("u1");
  auto b = Record("u2");
  a.service = b.service = "plain";
  t.table.ApplyListing({a, b}, t.now);
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.OnEnd("u1", std::nullopt, AttemptEnd::kUnreachable, t.now);
  EXPECT_TEXT("send u2", t.Choose("plain"), "nobody listens at u1");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2"}), "u1 is set aside");
  t.table.ApplyListing({a}, t.now);
  EXPECT_TEXT("send u1", t.Choose("plain"), "trying it is better than a refusal");
}

TEST(Choices, AvoidAnUpstreamThatAnswersNothingWhileItsAgentIsSilentToo) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  for (const char* it : {"u1", "u2"}) t.table.ApplyView(View(it, {{"a", {}}}), t.now);
  const ModelRef model{"a", ""};
  t.table.OnSent("u1", model, t.now);
  for (int n = 0; n < 40; ++n) t.table.OnSent("u2", model, t.now);
  for (int n = 0; n < 40; ++n) t.table.OnHeard("u2", t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", model), "it has the fewest requests");
  t.now += 1100;
  EXPECT_TEXT("send u1", t.Choose("engine", model), "its agent was heard of lately");
  t.now += 1000;
  t.table.ApplyView(View("u2", {{"a", {}}}), t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", model), "two seconds without a word of either");
  t.table.OnEnd("u1", model, AttemptEnd::kAbandoned, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", model), "the caller's leaving does not clear it");
  t.now += 1100;
  t.table.ApplyView(View("u1", {{"a", {}}}), t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", model, {"u2"}), "its agent is back");
}

TEST_GROUP(ColdModels){};

TEST(ColdModels, AreSentToWhereTheAgentSaysTheyAreLoaded) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  t.table.ApplyView(View("u2", {{"a", {"x"}}}), t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", ModelRef{"a", ""}), "");
  EXPECT_TEXT("send u2", t.Choose("engine", ModelRef{"a", "x"}), "with the adapter");
}

TEST(ColdModels, ThatComeUpAtOneEngineDoNotGetAllThatWaitedAtOnce) {
  // after all engines had restarted, hundreds
  // of requests from 28 entries went to the first that held the model.
  Table t;
  t.table.ApplyListing({Record("u1")}, t.now);
  EngineView view = View("u1", {{"a", {}}});
  view.entries = 10;
  t.table.ApplyView(view, t.now);
  int sent = 0;
  while (sent < 100 && t.Choose("engine", ModelRef{"a", ""}) == "send u1") {
    t.table.OnSent("u1", ModelRef{"a", ""}, t.now);
    ++sent;
  }
  EXPECT_NUMBER(10, sent, "a tenth of one and a half times its 64 places");
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "until the next view");
  t.table.ApplyView(view, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", ModelRef{"a", ""}), "which shows free places");
}

TEST(ColdModels, AreFoundByWhatTheLastViewSaysAndByTheRecordWithoutOne) {
  Table it;
  UpstreamRecord first = Record("u1");
  first.loaded = {{"a", {}}};
  it.table.ApplyListing({first, Record("u2")}, it.now);
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"a", {}}), "by its record");
  it.table.ApplyView(View("u1", {{"b", {}}}), it.now);
  it.table.ApplyView(View("u2", {{"a", {}}}), it.now);
  EXPECT_TEXT("send u2", it.Choose("engine", ModelRef{"a", {}}), "a view goes before a record");
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"b", {}}), "");
  it.table.ForgetView("u1");
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"a", {}}, {"u2"}), "its record again");
  it.table.ApplyListing({Record("u2")}, it.now);
  EXPECT_TEXT("all_tried", it.Choose("engine", ModelRef{"a", {}}, {"u2"}), "u1 has gone");
  EXPECT_TEXT("send u2", it.Choose("engine", ModelRef{"a", {}}), "");
}

TEST(ColdModels, AreAskedForWhereTheWeightsAreClosest) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  t.table.ApplyView(View("u1"), t.now);
  t.table.ApplyView(View("u2", {}, {"a"}), t.now);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "on its disk");
  EXPECT_TRUE(t.estimate_ms < 2000, "from disk, not from the store");
}

TEST(ColdModels, AreAskedForElsewhereWhenTheClosestIsBusyForLong) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  t.table.ApplyView(View("u1"), t.now);
  EngineView busy = View("u2", {}, {"a"});
  busy.loading = "b";
  busy.remaining_ms = 20000;
  t.table.ApplyView(busy, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "six seconds beat twenty");
}

TEST(ColdModels, AreAskedForElsewhereWhenTheAgentAskedDoesNotBringThemUp) {
  // an agent ordered from an engine that had been replaced
  // for two seconds, and a busy model's requests went on asking it for eight.
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  t.table.ApplyView(View("u1", {}, {"a"}), t.now);
  t.table.ApplyView(View("u2"), t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "on its disk");
  for (int n = 0; n < 12; ++n) {
    t.now += 200;
    t.table.ApplyView(View("u1", {}, {"a"}), t.now);
    t.table.ApplyView(View("u2"), t.now);
    t.Choose("engine", ModelRef{"a", ""});
  }
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "2.4 s in place of 1 s");
  t.now += 200;
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "and not back at once");
}

TEST(ColdModels, CountAnAdaptersWaitForTheOrderUnderWay) {
  // Engines load no adapter while an order on a model is under way.
  Table t;
  t.table.ApplyListing({Record("u1")}, t.now);
  EngineView view = View("u1", {{"a", {}}});
  view.loading = "b";
  view.remaining_ms = 5000;
  t.table.ApplyView(view, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", "x"}), "");
  EXPECT_TRUE(t.estimate_ms >= 5000, "got " + std::to_string(t.estimate_ms));
}

TEST(ColdModels, GetAnotherReplicaWhenManyAskForThem) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2"), Record("u3"), Record("u4")}, t.now);
  EngineView holder = View("u1", {{"a", {}}});
  holder.entries = 28;
  for (const char* it : {"u2", "u3", "u4"}) t.table.ApplyView(View(it), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto wanted = [&t, &holder](double per_s) {
    holder.per_s["a"] = per_s;
    t.table.ApplyView(holder, t.now);
    int n = 0;
    for (const auto& [instance, demand] : t.table.Demands({}, t.now)) {
      for (const auto& it : demand.wanted) n += it.ref.model == "a" ? 1 : 0;
    }
    return n;
  };
  EXPECT_NUMBER(1, wanted(8), "one more, at one of the others");
  // half of all loads were replicas of rare models, since
  // each of 28 entries took one request for its part of six a second.
  EXPECT_NUMBER(0, wanted(0.2), "the agent says that all entries together see one in five seconds");
}

TEST(ColdModels, AreKnownToBeBusySoonAfterAnEntryHasStarted) {
  // after a restart of all entries busy models got their
  // replicas seconds late, as their rates grew from nothing.
  Table t;
  t.table.ApplyListing({Record("u1")}, t.now);
  t.table.ApplyView(View("u1", {{"a", {}}}), t.now);
  for (int n = 0; n < 15; ++n) {
    t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
    t.now += 100;
  }
  const auto demands = t.table.Demands({}, t.now);
  const double per_s = demands.at("u1").use.at(0).per_s;
  EXPECT_TRUE(per_s > 8 && per_s < 12, "ten a second for 1.5 s, got " + std::to_string(per_s));
}

TEST(ColdModels, GetAnotherReplicaBeforeMoreThanFiveInAHundredAreLate) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2"), Record("u3"), Record("u4")}, t.now);
  for (const char* it : {"u1", "u2"}) {
    EngineView view = View(it, {{"a", {}}});
    view.per_s["a"] = 20;
    t.table.ApplyView(view, t.now);
  }
  for (const char* it : {"u3", "u4"}) t.table.ApplyView(View(it), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto callers_late = [&t](DurationMs wait_ms) {
    for (int n = 0; n < 100; ++n) t.table.OnFirstEvent(ModelRef{"a", ""}, wait_ms);
    for (const auto& [instance, demand] : t.table.Demands({}, t.now)) {
      for (const auto& it : demand.wanted) return it.callers_late;
    }
    return -1.0;
  };
  EXPECT_TRUE(callers_late(60) < 0, "exp(-300 / 60) of them are late, 7 in 1,000: two are enough");
  const double late = callers_late(150);
  EXPECT_TRUE(late > 0.4 && late < 0.41,
              "20 a second, 150 ms, exp(-2) of them late: 0.406, got " + std::to_string(late));
}

TEST(ColdModels, GetAReplicaFromDiskWhileOneIsUnderWayFromTheStore) {
  // A load from the store takes 6 s; for so long one engine had all requests.
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2"), Record("u3")}, t.now);
  EngineView holder = View("u1", {{"a", {}}});
  holder.per_s["a"] = 20;
  t.table.ApplyView(holder, t.now);
  t.table.ApplyView(View("u3", {}, {"a"}), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto wanted = [&t](bool is_from_store, DurationMs remaining_ms) {
    EngineView coming = View("u2");
    coming.loading = "a";
    coming.is_from_store = is_from_store;
    coming.remaining_ms = remaining_ms;
    t.table.ApplyView(coming, t.now);
    const auto demands = t.table.Demands({}, t.now);
    return demands.at("u3").wanted.size();
  };
  EXPECT_NUMBER(0, wanted(false, 600), "the second one is up soon");
  EXPECT_NUMBER(1, wanted(true, 5500), "not from the store");
  EXPECT_NUMBER(0, wanted(true, 900), "unless most of the time has passed");
}

TEST(ColdModels, AreAskedForWhereTheRoomCostsOthersLeast) {
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  EngineSpec spec = MakeSpec();
  spec.accelerator_mb = 160;  // Of which two models take 144.
  t.table.ApplyServices({{"engine", 100, spec}});
  // Both have the weights on disk; what u2 would close is busy, and u1 has an
  // order under way.
  const auto show = [&t](const char* instance, double cost, DurationMs remaining_ms) {
    EngineView view = View(instance, {{"b", {}}, {"c", {}}}, {"a"});
    view.closing_ms = {{"b", cost}, {"c", cost}};
    if (remaining_ms > 0) view.loading = "unloading";
    view.remaining_ms = remaining_ms;
    t.table.ApplyView(view, t.now);
  };
  show("u1", 100, 900);
  show("u2", 4000, 0);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}),
              "0.9 s later, for 3.9 s less of others");
}

TEST(ColdModels, AreBroughtFromTheStoreToTheEngineThatFewestOthersWaitFor) {
  // A load from the store keeps its engine from all other orders for 6 s. Where
  // three engines of six were lost, a third of the others' time went that way,
  // while fresh engines with empty disks had nothing to do.
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2")}, t.now);
  EngineView busy = View("u1");
  busy.wants_per_s = 1;
  t.table.ApplyView(busy, t.now);
  EngineView fresh = View("u2");
  fresh.loading = "b";  // Half a second later there.
  fresh.remaining_ms = 500;
  t.table.ApplyView(fresh, t.now);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}),
              "at u1 six models would begin to wait, 3 s each");
  EngineView near = View("u1", {}, {"a"});
  near.wants_per_s = 1;
  t.table.ApplyView(near, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "from its disk in 0.8 s");
}

TEST(ColdModels, AskForAReplicaAtOneEngineUntilItIsUpThere) {
  // An engine that makes room for it looks busier than the others meanwhile. Two
  // of a busy model's replicas were closed for a third that was never loaded.
  Table t;
  t.table.ApplyListing({Record("u1"), Record("u2"), Record("u3"), Record("u4")}, t.now);
  EngineView holder = View("u1", {{"a", {}}});
  holder.per_s["a"] = 20;
  t.table.ApplyView(holder, t.now);
  for (const char* it : {"u2", "u3", "u4"}) t.table.ApplyView(View(it, {}, {"a"}), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto place = [&t] {
    std::string places;
    for (const auto& [instance, demand] : t.table.Demands({}, t.now)) {
      for (const auto& it : demand.wanted) places += it.ref.model == "a" ? instance : "";
    }
    return places;
  };
  const std::string first = place();
  EngineView changing = View(first, {}, {"a"});
  changing.loading = "unloading";
  changing.remaining_ms = 400;
  t.now += 500;
  t.table.ApplyView(changing, t.now);
  EXPECT_TEXT(first, place(), "it makes room");
  t.now += 1000;
  t.table.ApplyView(changing, t.now);
  for (const char* it : {"u1", "u2", "u3", "u4"}) {
    if (it != first)
      t.table.ApplyView(it == std::string("u1") ? holder : View(it, {}, {"a"}), t.now);
  }
  t.now += 1100;
  t.table.ApplyView(changing, t.now);
  EXPECT_TRUE(place() != first, "after 2.6 s another is asked, got " + place());
}

TEST(ColdModels, GetAReplicaBeforeTheirEnginesAreFull) {
  // A busy model's engines had 55 requests a second of room, and the 56th made all wait:
  // a further replica from the weight store came half a minute later.
  Table it;
  it.table.ApplyListing({Record("u1"), Record("u2"), Record("u3")}, it.now);
  const auto asks_with = [&it](int running) {
    it.now += 5000;
    for (const char* instance : {"u1", "u2", "u3"}) {
      EngineView view = View(instance, {}, {"a"});
      if (std::string(instance) != "u3") {
        view.loaded = {{"a", {}}};
        view.per_s = {{"a", 20}};
        view.running = running;
      }
      it.table.ApplyView(view, it.now);
    }
    it.table.OnArrival(ModelRef{"a", {}}, 1, 300, it.now);
    return !it.table.Demands({}, it.now).at("u3").wanted.empty();
  };
  EXPECT_TRUE(!asks_with(40), "five in eight of 64 places are taken, and nobody is late");
  EXPECT_TRUE(asks_with(52), "four in five are");
}

TEST_GROUP(SpareCopies){};

namespace {

// Two engines hold a busy model; a third is fresh.
struct FreshEngine : Table {
  FreshEngine() : Table(false, true) { List({"u1", "u2", "u3"}); }

  void List(const std::vector<std::string>& instances) {
    std::vector<UpstreamRecord> listing;
    for (const auto& it : instances) listing.push_back(Record(it));
    table.ApplyListing(listing, now);
    for (const auto& it : instances) {
      EngineView view = View(it, {}, {});
      if (it != "u3") view = View(it, {{"a", {}}}, {"a"});
      if (it != "u3") view.per_s = {{"a", 20}};
      table.ApplyView(it == "u3" ? fresh : view, now);
    }
  }
  // What the fresh engine is asked to keep from being nowhere, in requests a second.
  double AtRisk() {
    const auto wanted = table.Demands({}, now).at("u3").wanted;
    return wanted.empty() ? 0 : wanted.front().at_risk_per_s;
  }

  EngineView fresh = View("u3", {}, {});
};

}  // namespace

TEST(SpareCopies, AreAskedOfAnEngineWithRoomAndNothingToDo) {
  FreshEngine t;
  EXPECT_TRUE(t.AtRisk() > 0, "two engines may both leave");
  t.fresh.loading = "b";
  t.List({"u1", "u2", "u3"});
  EXPECT_TRUE(t.AtRisk() == 0, "it has something to do");
  t.fresh.loading.clear();
  // Of 230 MB, two models and twenty adapters leave 66.
  t.fresh.loaded = {{"b", std::vector<std::string>(20, "x")}, {"c", {}}};
  t.List({"u1", "u2", "u3"});
  EXPECT_TRUE(t.AtRisk() == 0, "it has no room");
}

TEST(SpareCopies, AreWorthMoreTheMoreEnginesLeave) {
  FreshEngine t;
  const double before = t.AtRisk();
  t.List({"u1", "u2", "u3", "u4", "u5"});
  t.List({"u1", "u3"});
  const double after = t.AtRisk();
  EXPECT_TRUE(after > 10 * before,
              "expected ten times " + std::to_string(before) + ", got " + std::to_string(after));
  t.now += 11000;
  t.List({"u1", "u3"});
  EXPECT_TRUE(t.AtRisk() < after, "that is long ago");
}

TEST(SpareCopies, AreNotMadeOfModelsThatHardlyAnyoneAsksFor) {
  FreshEngine t;
  EngineView view = View("u1", {{"a", {}}}, {"a"});
  view.per_s = {{"a", 0.3}};
  t.table.ApplyView(view, t.now);
  view.instance = "u2";
  t.table.ApplyView(view, t.now);
  EXPECT_TRUE(t.AtRisk() == 0, "a load costs more than it is expected to save");
}

TEST(ColdModels, ShareTheWeightStoreAmongTheAgentsThatAsk) {
  Table t;
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(Record("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) {
    EngineView view = View("u" + std::to_string(n));
    // u0 loads from the store; u1 would stage; u2 asks for a busy model; u3 to u7
    // for about as many requests each, u7 for longest.
    view.is_from_store = n == 0;
    if (n == 0) view.loading = "c";
    const double weight = n == 1 ? 0 : n == 2 ? 9 : n % 2 == 0 ? 1.1 : 1;
    if (n > 0) view.store_want = StoreWant{n > 2, weight, n == 1 ? 9000 : 100 * n};
    t.table.ApplyView(view, t.now);
  }
  std::string may;
  for (const auto& [instance, demand] : t.table.Demands({}, t.now)) {
    if (demand.may_load_from_store) may += instance + " ";
  }
  EXPECT_TEXT("u2 u6 u7 ", may, "three of the store's four places are free");
}

TEST(ColdModels, FromAStoreThatIsInFullUseAreExpectedLater) {
  Table t;
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(Record("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) {
    EngineView view = View("u" + std::to_string(n));
    view.is_from_store = n < 4;
    if (n < 4) view.loading = "c";
    if (n >= 4 && n < 7) view.store_want = StoreWant{true, 1, 100};
    t.table.ApplyView(view, t.now);
  }
  t.Choose("engine", ModelRef{"a", ""});
  EXPECT_TRUE(t.estimate_ms >= 12000,
              "eighth in turn, expected 12 s or more, got " + std::to_string(t.estimate_ms));
}

TEST(ColdModels, AreStagedWhereNoneOfThemIsAndNoMoreThanTheStoreBears) {
  Table t(true);
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(Record("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) t.table.ApplyView(View("u" + std::to_string(n)), t.now);
  EngineView busy = View("u0");
  busy.loading = "c";
  busy.is_from_store = true;
  t.table.ApplyView(busy, t.now);
  std::vector<std::string> staged;
  for (const auto& [instance, demand] : t.table.Demands({}, t.now)) {
    staged.insert(staged.end(), demand.stage.begin(), demand.stage.end());
  }
  EXPECT_NUMBER(2, staged.size(), "a and b; c is being loaded");
}

}  // namespace junctionrail

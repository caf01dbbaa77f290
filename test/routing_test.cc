// Tests of routing decisions, without sockets.
#include "junctionrail/routing.h"

#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeSpec;
using testing::MakeView;
using testing::TableFixture;

}  // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, FindsLongestPrefixForHost) {
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
  EXPECT_TEXT("long", table.Find("shop.example", "/a/b/c")->name, "longest matching prefix");
  EXPECT_TEXT("short", table.Find("shop.example:80", "/a/c")->name, "the port is ignored");
  EXPECT_TRUE(table.Find("shop.example", "/b/") == nullptr, "no prefix matches");
  EXPECT_TRUE(table.Find("other.example", "/a/") == nullptr, "another host");
}

TEST(RouteTable, SplitsTrafficByWeightDeterministically) {
  Route route;
  route.name = "r";
  route.traffic_split = {{"big", 90}, {"small", 10}};
  int small = 0;
  for (int n = 0; n < 1000; ++n) {
    const std::string id = std::to_string(n);
    EXPECT_TEXT(PickService(route, id), PickService(route, id), "same request id");
    if (PickService(route, id) == "small") ++small;
  }
  EXPECT_TRUE(small > 60 && small < 140, "expected about a tenth, got " + std::to_string(small));
}

TEST_GROUP(UpstreamSelection){};

TEST(UpstreamSelection, PicksLeastLoadedAndNeverLeavingUpstream) {
  TableFixture t;
  auto leaving = MakeRecord("u1");
  leaving.is_leaving = true;
  for (auto& it : {&leaving}) it->service = "plain";
  auto busy = MakeRecord("u2");
  auto idle = MakeRecord("u3");
  busy.service = idle.service = "plain";
  t.table.ApplyListing({leaving, busy, idle}, t.now);
  for (int n = 0; n < 5; ++n) t.table.OnSent("u2", std::nullopt, t.now);
  EXPECT_TEXT("send u3", t.Choose("plain"), "u3 has no requests in flight");
  EXPECT_TEXT("send u2", t.Choose("plain", std::nullopt, {"u3"}), "u3 was already tried");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2", "u3"}), "u1 is leaving");
}

TEST(UpstreamSelection, SpreadsRequestsOverEnginesBetweenViews) {
  // Guards against a herd effect: all 28 entries sent to the engine that was least loaded
  // in the last view, and one stream in ten had gaps of over 300 ms.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  EngineView busy = MakeView("u1", {{"a", {}}});
  busy.running = 16;
  EngineView less = MakeView("u2", {{"a", {}}});
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
    const PickResult pick = t.table.Choose(request, t.now);
    at_busy += std::get<SendTo>(pick).instance == "u1" ? 1 : 0;
  }
  EXPECT_TRUE(at_busy >= 40 && at_busy < 100,
              "expected some but fewer requests at the busier engine; got " +
                  std::to_string(at_busy) + " of 200");
}

TEST(UpstreamSelection, RemembersLeavingAcrossLaterListings) {
  TableFixture t;
  auto record = MakeRecord("u1");
  record.service = "plain";
  record.is_leaving = true;
  t.table.ApplyListing({record}, t.now);
  record.is_leaving = false;
  t.table.ApplyListing({record}, t.now);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "a listing may be out of date");
}

namespace {

// An upstream table that receives listings as an entry polls them.
struct PolledTable : TableFixture {
  // A poll that takes 10 ms.
  void Poll(const std::vector<std::string>& instances, bool was_unreadable = false) {
    std::vector<UpstreamRecord> records;
    for (const auto& it : instances) {
      records.push_back(MakeRecord(it));
      records.back().service = "plain";
    }
    const TimeMs as_of = now;
    now += 10;
    table.ApplyListing(expired_records.AddExpired(records, was_unreadable, as_of, now), now);
  }
  void PollAfterOutage(const std::vector<std::string>& instances) {
    now += 3000;
    Poll(instances, true);
  }

  ExpiredRecordKeeper expired_records;
};

}  // namespace

TEST_GROUP(ExpiredRecords){};

TEST(ExpiredRecords, KeepsMissingRecordsForTwoSecondsOnlyAfterOutage) {
  PolledTable t;
  t.Poll({"u1"});
  EXPECT_TRUE(!t.expired_records.RecheckAt(), "no record is missing");
  t.PollAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "its record may only have expired");
  EXPECT_NUMBER(t.now + 2000, t.expired_records.RecheckAt().value_or(0), "time of the next check");
  t.now += 1000;
  t.Poll({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "it may still come back");
  t.now += 1000;
  t.Poll({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it would be back by now");
  t.Poll({"u1"});
  t.Poll({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "no outage explains the missing record");
}

TEST(ExpiredRecords, DropsRecordSeenSinceStoreReturned) {
  PolledTable t;
  t.Poll({"u1", "u2"});
  t.PollAfterOutage({"u1"});
  t.now += 1000;
  t.Poll({});
  EXPECT_TEXT("send u2", t.Choose("plain"), "u2 may have expired in the outage, u1 did not");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2"}), "u1 has left");
}

TEST(ExpiredRecords, DropsMissingRecordAfterOutageTooShortToExpireIt) {
  PolledTable t;
  t.Poll({"u1"});
  t.now += 2300;
  t.Poll({}, true);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "records survive two missed writes");
}

TEST(ExpiredRecords, KeepsMissingRecordThroughSecondOutage) {
  PolledTable t;
  t.Poll({"u1"});
  t.PollAfterOutage({});
  t.PollAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "it had no time to come back");
  t.now += 2000;
  t.Poll({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it had time to come back");
}

TEST(ExpiredRecords, KeepsRecordsReceivedFromPeer) {
  PolledTable t;
  auto record = MakeRecord("u1");
  record.service = "plain";
  t.table.ApplyListing(t.expired_records.Seed({record}), t.now);
  t.PollAfterOutage({});
  EXPECT_TEXT("send u1", t.Choose("plain"), "the store was unavailable when this entry started");
  t.now += 2000;
  t.Poll({});
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "it would be back by now");
}

TEST(ExpiredRecords, ReportsChanges) {
  PolledTable t;
  const auto changes = [&](const std::vector<UpstreamRecord>& read, bool was_unreadable) {
    std::string text;
    const auto listing = t.expired_records.AddExpired(read, was_unreadable, t.now, t.now);
    for (const auto& it : t.table.ApplyListing(listing, t.now)) {
      constexpr const char* kNames[] = {"listed", "leaving", "missing", "gone"};
      text += it.instance + " " + kNames[static_cast<int>(it.kind)] + ";";
    }
    return text;
  };
  auto leaving = MakeRecord("u2");
  EXPECT_TEXT("u1 listed;u2 listed;", changes({MakeRecord("u1"), leaving}, false), "");
  leaving.is_leaving = true;
  EXPECT_TEXT("u2 leaving;", changes({MakeRecord("u1"), leaving}, false), "");
  t.now += 3000;
  EXPECT_TEXT("u1 missing;u2 missing;", changes({}, true), "");
  EXPECT_TEXT("u1 listed;", changes({MakeRecord("u1")}, false), "u1 is back");
  t.now += 2000;
  EXPECT_TEXT("u2 gone;", changes({MakeRecord("u1")}, false), "u2 is not back");
  EXPECT_TEXT("", changes({MakeRecord("u1")}, false), "");
}

TEST(UpstreamSelection, ReusesUpstreamRelistedDuringRequest) {
  // Guards against an upstream that stays unused for good after its record expired during
  // a long stream and then came back.
  TableFixture t;
  auto record = MakeRecord("u1");
  record.service = "plain";
  t.table.ApplyListing({record}, t.now);
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.ApplyListing({}, t.now);
  EXPECT_TEXT("no_upstream", t.Choose("plain"), "not listed");
  t.table.ApplyListing({record}, t.now);
  EXPECT_TEXT("send u1", t.Choose("plain"), "listed as ready again");
}

TEST(UpstreamSelection, PrefersAnsweringInstanceOverNewerRecord) {
  // The last record write of an ended instance may arrive after its successor's first.
  TableFixture t;
  UpstreamRecord present = MakeRecord("u1");
  present.generation = 5;
  UpstreamRecord ended = MakeRecord("u2");
  ended.generation = 9;
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "u2 has the newer record");
  t.table.OnInstanceReplaced("u2");
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "another instance answered at u2's address");
  t.table.ApplyListing({present, ended}, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "still known after the next listing");
}

TEST(UpstreamSelection, EjectsFailedUpstreamUnlessItIsTheLast) {
  TableFixture t;
  auto a = MakeRecord("u1");
  auto b = MakeRecord("u2");
  a.service = b.service = "plain";
  t.table.ApplyListing({a, b}, t.now);
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.OnAttemptEnd("u1", std::nullopt, AttemptOutcome::kUnreachable, t.now);
  EXPECT_TEXT("send u2", t.Choose("plain"), "u1 refuses connections");
  EXPECT_TEXT("all_tried", t.Choose("plain", std::nullopt, {"u2"}), "u1 is ejected");
  t.table.ApplyListing({a}, t.now);
  EXPECT_TEXT("send u1", t.Choose("plain"), "an ejected upstream is better than a refusal");
}

TEST(UpstreamSelection, AvoidsUnresponsiveUpstreamWithSilentAgent) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  for (const char* it : {"u1", "u2"}) t.table.ApplyView(MakeView(it, {{"a", {}}}), t.now);
  const ModelRef model{"a", ""};
  t.table.OnSent("u1", model, t.now);
  for (int n = 0; n < 40; ++n) t.table.OnSent("u2", model, t.now);
  for (int n = 0; n < 40; ++n) t.table.OnResponseData("u2", t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", model), "u1 has the fewest requests");
  t.now += 1100;
  EXPECT_TEXT("send u1", t.Choose("engine", model), "u1's view is recent");
  t.now += 1000;
  t.table.ApplyView(MakeView("u2", {{"a", {}}}), t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", model), "two seconds without data or a view");
  t.table.OnAttemptEnd("u1", model, AttemptOutcome::kCallerLeft, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", model), "a caller's disconnect does not clear it");
  t.now += 1100;
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", model, {"u2"}), "u1's view is recent again");
}

TEST_GROUP(ColdModels){};

TEST(ColdModels, RoutesToEngineWithModelLoaded) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u2", {{"a", {"x"}}}), t.now);
  EXPECT_TEXT("send u2", t.Choose("engine", ModelRef{"a", ""}), "");
  EXPECT_TEXT("send u2", t.Choose("engine", ModelRef{"a", "x"}), "with the adapter");
}

TEST(ColdModels, LimitsRequestsSentToNewlyLoadedModel) {
  // Guards against overload after a restart of all engines: hundreds of requests from 28
  // entries went to the first engine that had loaded the model.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  EngineView view = MakeView("u1", {{"a", {}}});
  view.entries = 10;
  t.table.ApplyView(view, t.now);
  int sent = 0;
  while (sent < 100 && t.Choose("engine", ModelRef{"a", ""}) == "send u1") {
    t.table.OnSent("u1", ModelRef{"a", ""}, t.now);
    ++sent;
  }
  EXPECT_NUMBER(10, sent, "a tenth of 1.5 times its 64 slots");
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "until the next view");
  t.table.ApplyView(view, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine", ModelRef{"a", ""}), "the view shows free slots");
}

TEST(ColdModels, PrefersViewOverRecord) {
  TableFixture it;
  UpstreamRecord first = MakeRecord("u1");
  first.loaded = {{"a", {}}};
  it.table.ApplyListing({first, MakeRecord("u2")}, it.now);
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"a", {}}), "according to its record");
  it.table.ApplyView(MakeView("u1", {{"b", {}}}), it.now);
  it.table.ApplyView(MakeView("u2", {{"a", {}}}), it.now);
  EXPECT_TEXT("send u2", it.Choose("engine", ModelRef{"a", {}}),
              "a view takes precedence over a record");
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"b", {}}), "");
  it.table.ForgetView("u1");
  EXPECT_TEXT("send u1", it.Choose("engine", ModelRef{"a", {}}, {"u2"}),
              "its record applies again");
  it.table.ApplyListing({MakeRecord("u2")}, it.now);
  EXPECT_TEXT("all_tried", it.Choose("engine", ModelRef{"a", {}}, {"u2"}), "u1 is gone");
  EXPECT_TEXT("send u2", it.Choose("engine", ModelRef{"a", {}}), "");
}

TEST(ColdModels, LoadsWhereWeightsAreOnDisk) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1"), t.now);
  t.table.ApplyView(MakeView("u2", {}, {"a"}), t.now);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "weights are on its disk");
  EXPECT_TRUE(t.estimate_ms < 2000, "expected a load from disk, not from the store");
}

TEST(ColdModels, LoadsElsewhereWhenNearestEngineIsBusy) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1"), t.now);
  EngineView busy = MakeView("u2", {}, {"a"});
  busy.loading = "b";
  busy.load_remaining_ms = 20000;
  t.table.ApplyView(busy, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "6 s is less than 20 s");
}

TEST(ColdModels, LoadsElsewhereWhenAgentIsOverdue) {
  // Guards against an agent that cannot complete a load: one sent orders to an already
  // replaced engine for two seconds, and a busy model's requests kept asking that agent
  // for eight.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1", {}, {"a"}), t.now);
  t.table.ApplyView(MakeView("u2"), t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "weights are on its disk");
  for (int n = 0; n < 12; ++n) {
    t.now += 200;
    t.table.ApplyView(MakeView("u1", {}, {"a"}), t.now);
    t.table.ApplyView(MakeView("u2"), t.now);
    t.Choose("engine", ModelRef{"a", ""});
  }
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "u1 took 2.4 s instead of 1 s");
  t.now += 200;
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "u1 stays avoided");
}

TEST(ColdModels, LeavesQueueForFreeEngineWithCopy) {
  // Guards against waiting at an engine that is swapping other models while another one with a copy
  // is free.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1", {}, {"a"}), t.now);
  t.table.ApplyView(MakeView("u2"), t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "weights are on its disk");
  EngineView busy = MakeView("u1", {}, {"a"});
  busy.loading = "b";
  busy.load_remaining_ms = 1200;
  t.table.ApplyView(busy, t.now);
  t.table.ApplyView(MakeView("u2", {}, {"a"}), t.now);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "it can load 1.2 s sooner");
}

TEST(ColdModels, GivesMoreTimeToAgentAtWork) {
  // Guards against a second load elsewhere while the agent waits for requests on the model that it
  // evicts, and against waiting for long at an agent that only seems to be at work.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  EngineView at_work = MakeView("u1", {}, {"a"});
  const auto wait_until = [&](TimeMs until) {
    while (t.now < until) {
      t.now += 200;
      t.table.ApplyView(at_work, t.now);
      t.table.ApplyView(MakeView("u2"), t.now);
      t.Choose("engine", ModelRef{"a", ""});
    }
  };
  const TimeMs start = t.now;
  wait_until(start + 200);
  at_work.queue = {"a"};
  wait_until(start + 4000);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "the agent has it in its queue");
  wait_until(start + 5800);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "it has not finished in 5.6 s");
}

TEST(ColdModels, AdapterLoadWaitsForCurrentOrder) {
  // Engines do not load adapters while an order for a model is in progress.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  EngineView view = MakeView("u1", {{"a", {}}});
  view.loading = "b";
  view.load_remaining_ms = 5000;
  t.table.ApplyView(view, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", "x"}), "");
  EXPECT_TRUE(t.estimate_ms >= 5000, "got " + std::to_string(t.estimate_ms));
}

TEST(ColdModels, AddsReplicaForBusyModel) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3"), MakeRecord("u4")},
                       t.now);
  EngineView holder = MakeView("u1", {{"a", {}}});
  holder.entries = 28;
  for (const char* it : {"u2", "u3", "u4"}) t.table.ApplyView(MakeView(it), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto wanted = [&t, &holder](double per_s) {
    holder.requests_per_s["a"] = per_s;
    t.table.ApplyView(holder, t.now);
    int n = 0;
    for (const auto& [instance, demand] : t.table.BuildDemands({}, t.now)) {
      for (const auto& it : demand.wanted) n += it.ref.model == "a" ? 1 : 0;
    }
    return n;
  };
  EXPECT_NUMBER(1, wanted(8), "one more replica, at one of the others");
  // Guards against replicas of rarely used models: half of all loads were such replicas,
  // because each of 28 entries took one request for its share of six a second.
  EXPECT_NUMBER(0, wanted(0.2), "all entries together see one request in five seconds");
}

TEST(ColdModels, EstimatesRateSoonAfterStart) {
  // Guards against late replicas after a restart of all entries: rates started from zero,
  // and busy models got their replicas seconds late.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  for (int n = 0; n < 15; ++n) {
    t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
    t.now += 100;
  }
  const auto demands = t.table.BuildDemands({}, t.now);
  const double per_s = demands.at("u1").use.at(0).requests_per_s;
  EXPECT_TRUE(per_s > 8 && per_s < 12,
              "expected about 10 requests a second after 1.5 s, got " + std::to_string(per_s));
}

TEST(ColdModels, AddsReplicaWhenMoreThanFivePercentAreLate) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3"), MakeRecord("u4")},
                       t.now);
  for (const char* it : {"u1", "u2"}) {
    EngineView view = MakeView(it, {{"a", {}}});
    view.requests_per_s["a"] = 20;
    t.table.ApplyView(view, t.now);
  }
  for (const char* it : {"u3", "u4"}) t.table.ApplyView(MakeView(it), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto callers_late = [&t](DurationMs wait_ms) {
    for (int n = 0; n < 100; ++n) t.table.OnFirstEvent(ModelRef{"a", ""}, wait_ms);
    for (const auto& [instance, demand] : t.table.BuildDemands({}, t.now)) {
      for (const auto& it : demand.wanted) return it.late_callers;
    }
    return -1.0;
  };
  EXPECT_TRUE(callers_late(60) < 0,
              "exp(-300 / 60), 7 in 1,000, are late: two replicas are enough");
  const double late = callers_late(150);
  EXPECT_TRUE(late > 0.4 && late < 0.41,
              "expected 20 a second * 150 ms * exp(-2) = 0.406, got " + std::to_string(late));
}

TEST(ColdModels, AddsReplicaFromDiskDuringStoreLoad) {
  // Guards against one engine serving all requests for the 6 s of a load from the store.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3")}, t.now);
  EngineView holder = MakeView("u1", {{"a", {}}});
  holder.requests_per_s["a"] = 20;
  t.table.ApplyView(holder, t.now);
  t.table.ApplyView(MakeView("u3", {}, {"a"}), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto wanted = [&t](bool is_from_store, DurationMs load_remaining_ms) {
    EngineView coming = MakeView("u2");
    coming.loading = "a";
    coming.is_loading_from_store = is_from_store;
    coming.load_remaining_ms = load_remaining_ms;
    t.table.ApplyView(coming, t.now);
    const auto demands = t.table.BuildDemands({}, t.now);
    return demands.at("u3").wanted.size();
  };
  EXPECT_NUMBER(0, wanted(false, 600), "the second replica is ready soon");
  EXPECT_NUMBER(1, wanted(true, 5500), "a load from the store takes too long");
  EXPECT_NUMBER(0, wanted(true, 900), "the load from the store is almost done");
}

TEST(ColdModels, LoadsWhereEvictionCostsLeast) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  EngineSpec spec = MakeSpec();
  spec.accelerator_mb = 160;  // Of which two models take 144.
  t.table.ApplyServices({{"engine", 100, spec}});
  // Both have the weights on disk; the models that u2 would evict are busy, and u1 has an
  // order in progress.
  const auto show = [&t](const char* instance, double cost, DurationMs load_remaining_ms) {
    EngineView view = MakeView(instance, {{"b", {}}, {"c", {}}}, {"a"});
    view.eviction_cost_ms = {{"b", cost}, {"c", cost}};
    if (load_remaining_ms > 0) view.loading = "unloading";
    view.load_remaining_ms = load_remaining_ms;
    t.table.ApplyView(view, t.now);
  };
  show("u1", 100, 900);
  show("u2", 4000, 0);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}),
              "0.9 s slower, but costs others 3.9 s less");
}

TEST(ColdModels, LoadsFromStoreOnLeastContendedEngine) {
  // Guards against blocking a busy engine: a load from the store blocks all other orders of
  // its engine for 6 s. After three of six engines were lost, the others spent a third of
  // their time on such loads while new engines with empty disks were idle.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  EngineView busy = MakeView("u1");
  busy.model_waits_per_s = 1;
  t.table.ApplyView(busy, t.now);
  EngineView fresh = MakeView("u2");
  fresh.loading = "b";  // Half a second slower there.
  fresh.load_remaining_ms = 500;
  t.table.ApplyView(fresh, t.now);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}),
              "at u1 six models would start to wait, 3 s each");
  EngineView near = MakeView("u1", {}, {"a"});
  near.model_waits_per_s = 1;
  t.table.ApplyView(near, t.now);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "0.8 s from its disk");
}

TEST(ColdModels, KeepsReplicaTargetUntilLoaded) {
  // Guards against changing the target during an eviction: an engine that evicts a model for
  // the replica looks busier than the others meanwhile. Two replicas of a busy model were
  // evicted for a third that was never loaded.
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3"), MakeRecord("u4")},
                       t.now);
  EngineView holder = MakeView("u1", {{"a", {}}});
  holder.requests_per_s["a"] = 20;
  t.table.ApplyView(holder, t.now);
  for (const char* it : {"u2", "u3", "u4"}) t.table.ApplyView(MakeView(it, {}, {"a"}), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 1, 300, t.now);
  const auto place = [&t] {
    std::string places;
    for (const auto& [instance, demand] : t.table.BuildDemands({}, t.now)) {
      for (const auto& it : demand.wanted) places += it.ref.model == "a" ? instance : "";
    }
    return places;
  };
  const std::string first = place();
  EngineView changing = MakeView(first, {}, {"a"});
  changing.loading = "unloading";
  changing.load_remaining_ms = 400;
  t.now += 500;
  t.table.ApplyView(changing, t.now);
  EXPECT_TEXT(first, place(), "it is evicting a model");
  t.now += 1000;
  t.table.ApplyView(changing, t.now);
  for (const char* it : {"u1", "u2", "u3", "u4"}) {
    if (it != first)
      t.table.ApplyView(it == std::string("u1") ? holder : MakeView(it, {}, {"a"}), t.now);
  }
  t.now += 1100;
  t.table.ApplyView(changing, t.now);
  EXPECT_TRUE(place() != first, "expected another engine after 2.6 s, got " + place());
}

TEST(ColdModels, AddsReplicaBeforeEnginesAreFull) {
  // Guards against adding a replica too late: a busy model's engines could serve 55 requests
  // a second, the 56th made all of them wait, and a further replica from the weight store
  // came half a minute later.
  TableFixture it;
  it.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3")}, it.now);
  const auto asks_with = [&it](int running) {
    it.now += 5000;
    for (const char* instance : {"u1", "u2", "u3"}) {
      EngineView view = MakeView(instance, {}, {"a"});
      if (std::string(instance) != "u3") {
        view.loaded = {{"a", {}}};
        view.requests_per_s = {{"a", 20}};
        view.running = running;
      }
      it.table.ApplyView(view, it.now);
    }
    it.table.OnArrival(ModelRef{"a", {}}, 1, 300, it.now);
    return !it.table.BuildDemands({}, it.now).at("u3").wanted.empty();
  };
  EXPECT_TRUE(!asks_with(40), "five eighths of the slots are in use and no caller is late");
  EXPECT_TRUE(asks_with(52), "four fifths of the slots are in use");
}

TEST_GROUP(SpareCopies){};

namespace {

// Two engines have a busy model loaded; a third is new.
struct FreshEngine : TableFixture {
  FreshEngine() : TableFixture(false, true) { List({"u1", "u2", "u3"}); }

  void List(const std::vector<std::string>& instances) {
    std::vector<UpstreamRecord> listing;
    for (const auto& it : instances) listing.push_back(MakeRecord(it));
    table.ApplyListing(listing, now);
    for (const auto& it : instances) {
      EngineView view = MakeView(it, {}, {});
      if (it != "u3") view = MakeView(it, {{"a", {}}}, {"a"});
      if (it != "u3") view.requests_per_s = {{"a", 20}};
      table.ApplyView(it == "u3" ? fresh : view, now);
    }
  }
  // The rate of requests at risk for which the new engine is asked to load a copy.
  double AtRiskRequestsPerS() {
    const auto wanted = table.BuildDemands({}, now).at("u3").wanted;
    return wanted.empty() ? 0 : wanted.front().at_risk_requests_per_s;
  }

  EngineView fresh = MakeView("u3", {}, {});
};

}  // namespace

TEST(SpareCopies, RequestedFromIdleEngineWithFreeMemory) {
  FreshEngine t;
  EXPECT_TRUE(t.AtRiskRequestsPerS() > 0, "both engines with the model may leave");
  t.fresh.loading = "b";
  t.List({"u1", "u2", "u3"});
  EXPECT_TRUE(t.AtRiskRequestsPerS() == 0, "u3 is busy");
  t.fresh.loading.clear();
  // Two models and twenty adapters leave 66 of 230 MB.
  t.fresh.loaded = {{"b", std::vector<std::string>(20, "x")}, {"c", {}}};
  t.List({"u1", "u2", "u3"});
  EXPECT_TRUE(t.AtRiskRequestsPerS() == 0, "u3 has no free memory");
}

TEST(SpareCopies, WorthMoreAsMoreEnginesLeave) {
  FreshEngine t;
  const double before = t.AtRiskRequestsPerS();
  t.List({"u1", "u2", "u3", "u4", "u5"});
  t.List({"u1", "u3"});
  const double after = t.AtRiskRequestsPerS();
  EXPECT_TRUE(after > 10 * before, "expected more than ten times " + std::to_string(before) +
                                       ", got " + std::to_string(after));
  t.now += 11000;
  t.List({"u1", "u3"});
  EXPECT_TRUE(t.AtRiskRequestsPerS() < after, "the departures are outside the window");
}

TEST(SpareCopies, NotRequestedForRarelyUsedModels) {
  FreshEngine t;
  EngineView view = MakeView("u1", {{"a", {}}}, {"a"});
  view.requests_per_s = {{"a", 0.3}};
  t.table.ApplyView(view, t.now);
  view.instance = "u2";
  t.table.ApplyView(view, t.now);
  EXPECT_TRUE(t.AtRiskRequestsPerS() == 0, "a load would cost more than it saves");
}

TEST(ColdModels, SharesWeightStoreAmongAgents) {
  TableFixture t;
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(MakeRecord("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) {
    EngineView view = MakeView("u" + std::to_string(n));
    // u0 loads from the store, u1 wants to stage, and u2 asks for a busy model; u3 to u7 ask
    // for models with similar request rates, u7 for the longest time.
    view.is_loading_from_store = n == 0;
    if (n == 0) view.loading = "c";
    const double weight = n == 1 ? 0 : n == 2 ? 9 : n % 2 == 0 ? 1.1 : 1;
    if (n > 0) view.store_load_request = StoreLoadRequest{n > 2, weight, n == 1 ? 9000 : 100 * n};
    t.table.ApplyView(view, t.now);
  }
  std::string may;
  for (const auto& [instance, demand] : t.table.BuildDemands({}, t.now)) {
    if (demand.may_load_from_store) may += instance + " ";
  }
  EXPECT_TEXT("u2 u6 u7 ", may, "three of the store's four places are free");
}

TEST(ColdModels, EstimatesLongerLoadsFromBusyStore) {
  TableFixture t;
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(MakeRecord("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) {
    EngineView view = MakeView("u" + std::to_string(n));
    view.is_loading_from_store = n < 4;
    if (n < 4) view.loading = "c";
    if (n >= 4 && n < 7) view.store_load_request = StoreLoadRequest{true, 1, 100};
    t.table.ApplyView(view, t.now);
  }
  t.Choose("engine", ModelRef{"a", ""});
  EXPECT_TRUE(t.estimate_ms >= 12000,
              "expected 12 s or more as the eighth load, got " + std::to_string(t.estimate_ms));
}

TEST(ColdModels, StagesModelsWithinStoreCapacity) {
  TableFixture t(true);
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < 8; ++n) listing.push_back(MakeRecord("u" + std::to_string(n)));
  t.table.ApplyListing(listing, t.now);
  for (int n = 0; n < 8; ++n) t.table.ApplyView(MakeView("u" + std::to_string(n)), t.now);
  EngineView busy = MakeView("u0");
  busy.loading = "c";
  busy.is_loading_from_store = true;
  t.table.ApplyView(busy, t.now);
  std::vector<std::string> staged;
  for (const auto& [instance, demand] : t.table.BuildDemands({}, t.now)) {
    staged.insert(staged.end(), demand.stage.begin(), demand.stage.end());
  }
  EXPECT_NUMBER(2, staged.size(), "a and b; c is being loaded");
}

}  // namespace junctionrail

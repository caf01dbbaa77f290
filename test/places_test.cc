// Data halls that are evacuated, upstreams that are cold, and regions where a request may run.
#include "junctionrail/places.h"

#include <nlohmann/json.hpp>

#include "check.h"
#include "direct_metrics.h"
#include "gateway_fixture.h"
#include "junctionrail/tenancy.h"
#include "places_page.h"
#include "platform.h"
#include "platform_standin.h"
#include "regions_fixture.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeRecord;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::MakeSpec;
using testing::MakeView;
using testing::OkResponse;
using testing::QuietLog;
using testing::RegionsFixture;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::StandinStore;
using testing::TableFixture;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr DurationMs kBoundMs = 5000;
constexpr TimeMs kStart = 100000;

using Halls = std::set<std::string>;

// Two engines in hall-1 and one in hall-2; model "a" is loaded only in hall-2.
struct HallsFixture : TableFixture {
  HallsFixture() {
    table.SetEvacuationBound(kBoundMs);
    Relist();
    ShowViews();
    table.ApplyEvacuations({}, now, now);
  }

  void Relist() {
    std::vector<UpstreamRecord> records = {MakeRecord("u1"), MakeRecord("u2"),
                                           MakeRecord("u3", "hall-2")};
    for (std::size_t n = 0; n < records.size(); ++n) {
      records[n].endpoint.port = static_cast<std::uint16_t>(n + 1);
      records[n].cold_ms = cold_ms;
    }
    table.ApplyListing(records, now);
  }

  void ShowViews() {
    table.ApplyView(MakeView("u1"), now);
    table.ApplyView(MakeView("u2"), now);
    EngineView view = MakeView("u3", {{"a", {}}});
    view.requests_per_s["a"] = 1;
    table.ApplyView(view, now);
  }

  // Moves the time on, with views as fresh as before.
  void Wait(DurationMs ms) {
    now += ms;
    ShowViews();
  }

  void Evacuate(const Halls& halls) { table.ApplyEvacuations(halls, now, now); }

  std::string ChooseFor(const std::string& model) { return Choose("engine", ModelRef{model, {}}); }

  DurationMs cold_ms = 0;
};

// Number of replicas of the model that the demand asks for, outside of `evacuated`.
int CountReplicaDemands(const std::map<std::string, AgentDemand>& demands, const std::string& model,
                        const std::string& evacuated) {
  int n = 0;
  for (const auto& [instance, demand] : demands) {
    for (const auto& it : demand.wanted) {
      n += it.ref.model == model && instance != evacuated && it.waiting == 0 ? 1 : 0;
    }
  }
  return n;
}

}  // namespace

TEST_GROUP(EvacuatedHalls){};

TEST(EvacuatedHalls, CloseBeforeTheBoundCountedFromTheLastAnswerWithoutThem) {
  EvacuatedHalls halls;
  halls.SetBound(kBoundMs);
  halls.Apply({}, kStart, kStart);
  const TimeMs now = kStart + 1500;
  const auto changes = halls.Apply({"hall-1"}, now - 10, now);
  EXPECT_NUMBER(1, changes.size(), "one change");
  EXPECT_TRUE(changes[0].is_evacuated && changes[0].closes_in_ms == 3000, "margin and age count");
  EXPECT_TRUE(halls.IsEvacuated("hall-1") && !halls.IsClosed("hall-1", now + 2999), "still open");
  EXPECT_TRUE(halls.IsClosed("hall-1", now + 3000), "closed half a second before the bound");
  EXPECT_TRUE(!halls.IsEvacuated("hall-2") && !halls.IsClosed("hall-2", now + 9000), "the others");
}

TEST(EvacuatedHalls, AreClosedAtOnceWhenNothingWasKnownBeforeOrNoBoundIsSet) {
  EvacuatedHalls unknown;
  unknown.SetBound(kBoundMs);
  unknown.Apply({"hall-1"}, kStart, kStart);
  EXPECT_TRUE(unknown.IsClosed("hall-1", kStart), "it may have been evacuated long ago");
  EvacuatedHalls unbounded;
  unbounded.Apply({}, kStart, kStart);
  unbounded.Apply({"hall-1"}, kStart + 10, kStart + 10);
  EXPECT_TRUE(unbounded.IsClosed("hall-1", kStart + 10), "nothing says how long it may be used");
}

TEST(EvacuatedHalls, KeepTheirBoundThroughRepeatedAndOutdatedAnswers) {
  EvacuatedHalls halls;
  halls.SetBound(kBoundMs);
  halls.Apply({}, kStart, kStart);
  halls.Apply({"hall-1"}, kStart + 100, kStart + 100);
  const DurationMs closes_in = halls.ClosesIn("hall-1", kStart + 100);
  EXPECT_TRUE(halls.Apply({"hall-1"}, kStart + 2000, kStart + 2000).empty(), "no news");
  EXPECT_NUMBER(closes_in - 1900, halls.ClosesIn("hall-1", kStart + 2000), "the first one counts");
  EXPECT_TRUE(halls.Apply({}, kStart + 50, kStart + 2100).empty(), "an answer from before");
  EXPECT_TRUE(halls.IsEvacuated("hall-1"), "changes nothing");
  EXPECT_NUMBER(1, halls.Apply({}, kStart + 2200, kStart + 2200).size(), "given back");
  EXPECT_NUMBER(-1, halls.ClosesIn("hall-1", kStart + 2200), "not evacuated");
}

TEST_GROUP(Evacuations){};

TEST(Evacuations, PreferOtherHallsAtOnceAndUseTheirOwnOnlyForWhatIsLoadedNowhereElse) {
  HallsFixture t;
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "the only one with the model");
  t.Evacuate({"hall-2"});
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "still, as it would wait elsewhere");
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  EXPECT_TEXT("send u1", t.ChooseFor("a"), "once another hall has it");
}

TEST(Evacuations, SendNothingOnceTheHallIsClosed) {
  HallsFixture t;
  t.Evacuate({"hall-2"});
  t.Wait(kBoundMs);
  EXPECT_TRUE(Contains(t.ChooseFor("a"), "wait u") && t.ChooseFor("a") != "wait u3",
              "it is loaded in another hall");
  EXPECT_TRUE(!t.table.MayReceive("u3", t.now), "not even over a connection that was being opened");
  EXPECT_TRUE(t.table.MayReceive("u1", t.now), "the other hall is open");
}

TEST(Evacuations, AskForReplicasElsewhereBeforeTheHallCloses) {
  HallsFixture t;
  t.table.OnArrival(ModelRef{"a", {}}, 1, 500, t.now);
  EXPECT_NUMBER(0, CountReplicaDemands(t.table.BuildDemands({}, t.now), "a", "u3"), "before");
  t.Evacuate({"hall-2"});
  EXPECT_NUMBER(1, CountReplicaDemands(t.table.BuildDemands({}, t.now), "a", "u3"), "one replica");
}

TEST(Evacuations, LoadNothingInTheHall) {
  HallsFixture t;
  t.Evacuate({"hall-1"});
  EXPECT_TEXT("wait u3", t.ChooseFor("b"), "the only hall that stays");
  t.Evacuate({"hall-1", "hall-2"});
  EXPECT_TEXT("all data halls with upstreams are evacuated", t.ChooseFor("b"), "nowhere");
}

TEST(Evacuations, OfAnUnknownHallChangeNothing) {
  HallsFixture t;
  t.Evacuate({"no such hall", std::string(200, '\xff')});
  t.Wait(kBoundMs);
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "its hall is open");
}

TEST(Evacuations, AreOverWhenTheHallIsGivenBack) {
  HallsFixture t;
  t.Evacuate({"hall-2"});
  t.Wait(kBoundMs);
  t.Evacuate({});
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "it is open again");
  t.Evacuate({"hall-2"});
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "a second evacuation has its own bound");
  t.Wait(kBoundMs);
  EXPECT_TRUE(t.ChooseFor("a") != "send u3", "and closes it again");
}

TEST_GROUP(ColdUpstreams){};

namespace {

constexpr double kColdPerS = 11;

struct ColdFixture : HallsFixture {
  ColdFixture() { Configure(); }

  void Configure() {
    ServiceSpec engine{"engine", 100, MakeSpec()};
    engine.cold_requests_per_s = kColdPerS;
    engine.cold_start_ms = 3000;
    table.ApplyServices({engine});
  }
};

}  // namespace

TEST(ColdUpstreams, HaveALimitUntilTheirRecordsSayOtherwise) {
  ColdFixture t;
  EXPECT_NUMBER(0, t.table.UpdateLimits(t.now).size(), "all are warm");
  t.cold_ms = 2000;
  t.Relist();
  EXPECT_NUMBER(3, t.table.UpdateLimits(t.now).size(), "all are cold");
  EXPECT_TRUE(t.table.LimitOf("u1") && t.table.LimitOf("u1")->per_s == kColdPerS, "their rate");
  EXPECT_NUMBER(3, t.table.CountCold(t.now), "");
  t.cold_ms = 0;
  t.Relist();
  EXPECT_NUMBER(3, t.table.UpdateLimits(t.now).size(), "warm again");
  EXPECT_TRUE(!t.table.LimitOf("u1"), "no limit");
}

TEST(ColdUpstreams, CountAsWarmOnceTheStatedTimeIsOver) {
  ColdFixture t;
  t.cold_ms = 2000;
  t.Relist();
  t.table.UpdateLimits(t.now);
  t.now += 2000;
  EXPECT_NUMBER(3, t.table.UpdateLimits(t.now).size(), "without another record");
}

// Guards against a limit that ends early: a new configuration must not count the remaining time of
// the last record from when the upstream was first listed.
TEST(ColdUpstreams, StayColdWhenTheConfigurationChanges) {
  ColdFixture t;
  t.now += 5000;
  t.cold_ms = 2000;
  t.Relist();
  t.table.UpdateLimits(t.now);
  t.Configure();
  t.table.UpdateLimits(t.now + 1999);
  EXPECT_TRUE(t.table.LimitOf("u1").has_value(), "its record says so");
  t.table.UpdateLimits(t.now + 2000);
  EXPECT_TRUE(!t.table.LimitOf("u1"), "not for longer");
}

TEST(ColdUpstreams, AreAssumedAfterAStartThatTheRecordDoesNotTellOf) {
  ColdFixture t;
  UpstreamRecord fresh = MakeRecord("u9");
  t.table.ApplyListing({fresh}, t.now);
  EXPECT_NUMBER(1, t.table.UpdateLimits(t.now).size(), "just heard of, and says nothing of it");
  t.now += 3000;
  t.table.ApplyListing({fresh}, t.now);
  EXPECT_TRUE(t.table.UpdateLimits(t.now).size() == 1 && !t.table.LimitOf("u9"), "it has started");
}

TEST(ColdUpstreams, AreAssumedInAHallThatIsGivenBack) {
  ColdFixture t;
  t.Evacuate({"hall-2"});
  t.Wait(kBoundMs);
  t.Evacuate({});
  t.table.UpdateLimits(t.now);
  EXPECT_TRUE(t.table.LimitOf("u3") && !t.table.LimitOf("u1"), "its record may be from before");
  t.Relist();
  t.table.UpdateLimits(t.now);
  EXPECT_TRUE(t.table.LimitOf("u3").has_value(), "as may be the next reading");
  t.now += DurationMs{2} * 1200;
  t.Relist();
  t.table.UpdateLimits(t.now);
  EXPECT_TRUE(!t.table.LimitOf("u3"), "by now the record tells");
}

TEST(ColdUpstreams, KeepALowerLimitThatTheyState) {
  ColdFixture t;
  t.cold_ms = 2000;
  t.Relist();
  t.table.OnLimitNotice("u1", 2, t.now, t.now);
  t.table.OnLimitNotice("u2", 200, t.now, t.now);
  t.table.UpdateLimits(t.now);
  EXPECT_TRUE(t.table.LimitOf("u1")->per_s == 2, "the stated one is lower");
  EXPECT_TRUE(t.table.LimitOf("u2")->per_s == kColdPerS, "the stated one is higher");
}

TEST(ColdUpstreams, AreNotChosenWhileTheirLimitIsUsedUp) {
  ColdFixture t;
  t.cold_ms = 2000;
  t.Relist();
  t.table.UpdateLimits(t.now);
  t.Throttle("u3").OnLimitExhausted(t.now + 90);
  EXPECT_TEXT("wait u3", t.ChooseFor("a"), "until the limit allows the next request");
  EXPECT_NUMBER(90, t.estimate_ms, "");
  t.cold_ms = 0;
  t.Relist();
  t.table.UpdateLimits(t.now);
  EXPECT_TEXT("send u3", t.ChooseFor("a"), "it is warm, so no limit holds back anything");
}

// Guards against an entry that chooses the same cold upstream again and again within one call.
TEST(ColdUpstreams, WithoutAnAllocatorAreRefusedTruthfully) {
  GatewayFixture t;
  t.AddUpstream("u1", "plain",
                [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("ok")); });
  RoutingConfiguration configuration;
  configuration.version = 1;
  configuration.routes = {MakeRoute("/a/", RequestKind::kIdempotent, "plain")};
  configuration.services = {{"plain", 64, std::nullopt}};
  configuration.services[0].cold_requests_per_s = 1;
  t.gateway->ApplyConfiguration(configuration);
  t.records[0].cold_ms = 5000;
  t.gateway->ApplyListing({t.records, MonotonicMs()});
  const std::string answer = t.Fetch(MakeRequest("GET /a/"));
  EXPECT_TRUE(Contains(answer, " 503 ") && Contains(answer, "\"ran\":\"no\""), answer);
  EXPECT_TRUE(Contains(answer, "Retry-After"), "tells when to retry");
  t.records[0].cold_ms = 0;
  t.gateway->ApplyListing({t.records, MonotonicMs()});
  EXPECT_TRUE(Contains(t.Fetch(MakeRequest("GET /a/")), "200 OK"), "it is warm");
}

TEST(ColdUpstreams, GiveWayToWarmOnes) {
  ColdFixture t;
  std::vector<UpstreamRecord> records = {MakeRecord("u1"), MakeRecord("u2")};
  records[1].endpoint.port = 81;
  records[0].cold_ms = 2000;
  records[1].cold_ms = 0;
  t.table.ApplyListing(records, t.now);
  PolicySettings policy;
  policy.spreads = false;
  t.table.SetPolicy(policy);
  EngineView busy = MakeView("u2", {{"a", {}}});
  busy.running = 8;
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  t.table.ApplyView(busy, t.now);
  EXPECT_TEXT("send u2", t.ChooseFor("a"), "the warm one, though it has more to do");
}

TEST_GROUP(Regions){};

TEST(Regions, OfRouteAndOrganisationBindBoth) {
  const AllowedRegions none;
  const AllowedRegions west = Halls{"west", "north"};
  const AllowedRegions east = Halls{"east", "north"};
  EXPECT_TRUE(Intersect(none, none) == none && Intersect(west, none) == west, "one of them");
  EXPECT_TRUE(Intersect(west, east) == Halls{"north"}, "both");
  EXPECT_TRUE(Intersect(Halls{"west"}, Halls{"east"}) == Halls{}, "nowhere");
  const HallRegions regions = {{"hall-1", "west"}};
  EXPECT_TRUE(IsHallAllowed(none, regions, "hall-9"), "no restriction");
  EXPECT_TRUE(IsHallAllowed(west, regions, "hall-1"), "its region");
  EXPECT_TRUE(!IsHallAllowed(east, regions, "hall-1"), "another region");
  EXPECT_TRUE(!IsHallAllowed(west, regions, "hall-9"), "a hall that the settings do not name");
}

TEST(Regions, KeepRequestsInTheRegionsOfTheirRouteAndOrganisation) {
  RegionsFixture t;
  t.Configure(2, Halls{"north", "east"}, Halls{"east", "west"});
  for (int n = 0; n < 10; ++n) EXPECT_TRUE(Contains(t.Send("GET /a/"), "200 OK"), "served");
  EXPECT_TEXT("0 0 10 ", t.SeenByHall(), "only in the region that both allow");
  t.Configure(3, Halls{"north"}, std::nullopt);
  for (int n = 0; n < 10; ++n) t.Send("GET /a/");
  EXPECT_TEXT("0 10 10 ", t.SeenByHall(), "a change holds from the next request on");
}

TEST(Regions, RefuseAtOnceWhatNoAllowedRegionCanServe) {
  RegionsFixture t;
  t.Configure(2, Halls{"west"}, Halls{"east"});
  const TimeMs sent_at = MonotonicMs();
  const std::string plain = t.Send("GET /a/");
  EXPECT_TRUE(Contains(plain, " 503 ") && Contains(plain, "no_allowed_region") &&
                  Contains(plain, "\"ran\":\"no\"") && Contains(plain, "Retry-After"),
              plain);
  const std::string model = t.Send("GET /m/", "Junctionrail-Model: a\r\n");
  EXPECT_TRUE(Contains(model, "no_allowed_region"), model);
  EXPECT_TRUE(MonotonicMs() - sent_at < 1000, "without waiting for a model");
  EXPECT_TEXT("0 0 0 ", t.SeenByHall(), "nothing was sent");
  EXPECT_NUMBER(2, t.gateway->counters().place_refusals, "counted");
}

TEST(Regions, HoldForRetriesToo) {
  RegionsFixture t;
  t.scripts["p3"] = [](const SeenRequest&, const Peer& peer) { peer->Close(); };
  t.Configure(2, Halls{"east"}, std::nullopt);
  const std::string answer = t.Send("GET /a/");
  EXPECT_TRUE(!Contains(answer, "200 OK"), "its only upstream fails");
  EXPECT_TRUE(Contains(t.SeenByHall(), "0 0 "), "and no other region sees the request");
}

TEST(Evacuations, LeaveTheRequestsUnderWayAndSendNoMore) {
  RegionsFixture t;
  Peer running;
  t.scripts["p2"] = [&](const SeenRequest&, const Peer& peer) { running = peer; };
  t.Configure(2, Halls{"north"}, std::nullopt);
  t.gateway->ApplyEvacuations({}, MonotonicMs());
  TestCaller caller(t.io, t.port);
  caller.Send(MakeRequest("GET /a/", "Junctionrail-Key: secret\r\n"));
  EXPECT_TRUE(RunUntil(t.io, [&] { return running != nullptr; }), "the request runs");
  t.gateway->ApplyEvacuations({"hall-2"}, MonotonicMs());
  RunFor(t.io, 600);
  const std::string refused = t.Send("GET /a/");
  EXPECT_TRUE(Contains(refused, " 503 ") && Contains(refused, "\"evacuated\""), refused);
  running->Write(OkResponse("ok"));
  caller.AwaitEnd();
  EXPECT_TRUE(Contains(caller.received(), "200 OK"), "the request under way ends well");
  t.gateway->ApplyEvacuations({}, MonotonicMs());
  t.scripts.clear();
  EXPECT_TRUE(Contains(t.Send("GET /a/"), "200 OK"), "the hall is given back");
}

// Guards against a page on which a hall that cannot be reached looks like one that is in use, and
// against traffic between regions that nobody sees.
TEST(Regions, ShowDistancesRoundTripsAndTraffic) {
  RegionsFixture t;
  t.Configure(2, Halls{"east"}, std::nullopt);
  for (int n = 0; n < 3; ++n) EXPECT_TRUE(Contains(t.Send("GET /a/"), "200 OK"), "served");
  const TrafficByDistance& traffic = t.gateway->counters().traffic;
  EXPECT_NUMBER(3, traffic.Of(Distance::kOtherRegion).requests_sent, "to another region");
  const std::string answer = OkResponse("ok", "r1");
  EXPECT_NUMBER(3 * answer.size(), traffic.Of(Distance::kOtherRegion).bytes_received, "whole");
  EXPECT_NUMBER(0, traffic.Of(Distance::kSameHall).requests_sent, "none to its own hall");
  const auto page =
      nlohmann::json::parse(internal::PlacesPage(t.gateway->upstreams(), MonotonicMs()));
  EXPECT_NUMBER(3, page["halls"].size(), page.dump());
  const auto& own = page["halls"][0];
  const auto& far = page["halls"][2];
  EXPECT_TEXT("same_hall", own["distance"].get<std::string>(), page.dump());
  EXPECT_NUMBER(0, own["reachable"].get<int>(), "nothing was sent there");
  EXPECT_TRUE(!own.contains("round_trip_age_ms"), "not measured: " + page.dump());
  EXPECT_TEXT("other_region", far["distance"].get<std::string>(), page.dump());
  EXPECT_TEXT("east", far["region"].get<std::string>(), page.dump());
  EXPECT_NUMBER(2, far["upstreams"].get<int>(), page.dump());
  EXPECT_NUMBER(1, far["reachable"].get<int>(), "the plain one answered");
  EXPECT_TRUE(far["round_trip_ms"].get<double>() < 40, "measured: " + page.dump());
  EXPECT_TRUE(far["round_trip_age_ms"].get<int>() >= 0, page.dump());
  testing::StandinStore store(t.io);
  HttpClient http(t.io);
  platform::StoreClient client(http, store.endpoint());
  const platform::ConfigurationFollower configuration(
      t.io, client, t.log, platform::Freshness::kNewest, [](const RoutingConfiguration&) {});
  const internal::LoopMonitor loop(t.io, t.log);
  const std::string metrics =
      internal::EntryMetrics({*t.gateway, {}, configuration, client, loop, t.log});
  EXPECT_TRUE(
      Contains(metrics, "junctionrail_upstream_requests_total{distance=\"other_region\"} 3"),
      metrics);
  EXPECT_TRUE(Contains(metrics, "junctionrail_upstream_received_bytes_total{distance="), metrics);
}

// Guards against a request that waits for a model in a hall that closes meanwhile.
TEST(Evacuations, SendWaitingRequestsElsewhere) {
  RegionsFixture t;
  t.gateway->ApplyEvacuations({}, MonotonicMs());
  for (const char* it : {"e1", "e2", "e3"}) t.gateway->ApplyView(MakeView(it, {}, {"a"}));
  TestCaller caller(t.io, t.port);
  caller.Send(MakeRequest("GET /m/", "Junctionrail-Key: secret\r\nJunctionrail-Model: a\r\n"));
  std::string asked;
  const auto asks = [&] {
    for (const auto& [instance, demand] : t.gateway->Demands()) {
      if (!demand.wanted.empty()) asked = instance;
    }
    return !asked.empty();
  };
  EXPECT_TRUE(RunUntil(t.io, asks), "an agent is asked for the model");
  const std::string first = std::exchange(asked, "");
  t.gateway->ApplyEvacuations({"hall-" + first.substr(1)}, MonotonicMs());
  RunFor(t.io, 700);
  for (const char* it : {"e1", "e2", "e3"}) t.gateway->ApplyView(MakeView(it, {}, {"a"}));
  RunFor(t.io, 300);
  EXPECT_TRUE(asks() && asked != first, "another one, in another hall, not " + asked);
  t.gateway->ApplyView(MakeView(first, {{"a", {}}}));
  t.gateway->ApplyView(MakeView(asked, {{"a", {}}}));
  caller.AwaitEnd();
  EXPECT_TRUE(Contains(caller.received(), "200 OK"), caller.received());
  const std::size_t closed = 2 * static_cast<std::size_t>(first[1] - '1') + 1;
  EXPECT_NUMBER(0, t.upstreams[closed]->seen().size(), "requests in the closed hall");
}

TEST_GROUP(FollowsEvacuations){};

namespace {

struct StoreFixture {
  StoreFixture() {
    follower = std::make_unique<platform::ConfigurationFollower>(
        io, client, log, platform::Freshness::kNewest, [](const RoutingConfiguration&) {});
    follower->SetWatch(200);
    follower->OnEvacuations([this](const Halls& it, TimeMs at) {
      halls = it;
      as_of = at;
    });
  }

  bool Await(const Halls& expected) {
    return RunUntil(io, [&] { return as_of != 0 && halls == expected; });
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  StandinStore store{io};
  HttpClient http{io};
  platform::StoreClient client{http, store.endpoint()};
  std::unique_ptr<platform::ConfigurationFollower> follower;
  Halls halls;
  TimeMs as_of = 0;
};

constexpr char kEmptyConfiguration[] = R"({"version":1,"routes":[],"services":[]})";

}  // namespace

TEST(FollowsEvacuations, FromTheirKeysThroughEachChange) {
  StoreFixture t;
  t.store.Put("op/config", kEmptyConfiguration);
  t.store.Put("op/evacuate/hall-1", std::string("\xff\0 no text", 10));
  t.follower->Start();
  EXPECT_TRUE(t.Await({"hall-1"}), "there before the start, whatever its value");
  t.store.Put("op/evacuate/hall-2", "");
  EXPECT_TRUE(t.Await({"hall-1", "hall-2"}), "added");
  t.store.Remove("op/evacuate/hall-1");
  EXPECT_TRUE(t.Await({"hall-2"}), "given back");
  const TimeMs before = t.as_of;
  EXPECT_TRUE(RunUntil(t.io, [&] { return t.as_of > before; }), "confirmed without a change");
  EXPECT_NUMBER(1, t.halls.size(), "and the same as before");
}

TEST(FollowsEvacuations, WhenTheStoreForgetsItsHistory) {
  StoreFixture t;
  t.store.Put("op/config", kEmptyConfiguration);
  t.store.Put("op/evacuate/hall-1", "1");
  t.follower->Start();
  EXPECT_TRUE(t.Await({"hall-1"}), "");
  t.store.SilenceWatches();
  t.store.Remove("op/evacuate/hall-1");
  t.store.Put("op/evacuate/hall-2", "1");
  t.store.ForgetHistory();
  t.store.CutWatches();
  EXPECT_TRUE(t.Await({"hall-2"}), "all keys are read again");
}

}  // namespace junctionrail

// Requests that are bound to regions: chosen, retried, resumed and waited for only there, also when
// the configuration changes meanwhile.
#include "check.h"
#include "regions_fixture.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::EventChunk;
using testing::EventStreamHead;
using testing::MakeRequest;
using testing::MakeView;
using testing::RegionsFixture;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;
using Regions = std::set<std::string>;

constexpr char kKey[] = "Junctionrail-Key: secret\r\n";
constexpr char kModelRequest[] = "Junctionrail-Key: secret\r\nJunctionrail-Model: a\r\n";

struct BoundFixture : RegionsFixture {
  // Engines that have model "a" on disk.
  void ShowViews() {
    for (const char* it : {"e1", "e2", "e3"}) gateway->ApplyView(MakeView(it, {}, {"a"}));
  }

  // The instances whose agents are asked for models that requests wait for, in order.
  std::string AskedAgents() {
    std::string asked;
    for (const auto& [instance, demand] : gateway->Demands()) {
      for (const auto& it : demand.wanted) asked += it.waiting > 0 ? instance + " " : "";
    }
    return asked;
  }

  bool AwaitAsked(const std::string& instances) {
    return RunUntil(io, [&] { return AskedAgents() == instances; });
  }

  // Writes one event and breaks the stream when `change` is done.
  testing::ScriptedUpstream::Script BreakAfter(const std::function<void()>& change) {
    return [change](const SeenRequest&, const Peer& peer) {
      change();
      peer->Write(EventStreamHead() + EventChunk(1));
      peer->Close();
    };
  }
};

}  // namespace

TEST_GROUP(BoundRequests){};

TEST(BoundRequests, WaitOnlyInTheirRegionsThroughChangesOfTheConfiguration) {
  // Guards against using the regions that a route had at the request's arrival: a waiting request
  // would be sent to a region that is no longer allowed.
  BoundFixture t;
  t.Configure(2, Regions{"east"}, std::nullopt);
  t.ShowViews();
  TestCaller caller(t.io, t.port);
  caller.Send(MakeRequest("GET /m/", kModelRequest));
  EXPECT_TRUE(t.AwaitAsked("e3 "), "the engine in the allowed region, not " + t.AskedAgents());
  t.Configure(3, Regions{"north"}, std::nullopt);
  t.ShowViews();
  EXPECT_TRUE(t.AwaitAsked("e2 "), "the one in the new region, not " + t.AskedAgents());
  t.gateway->ApplyView(MakeView("e3", {{"a", {}}}));
  RunFor(t.io, 300);
  EXPECT_TEXT("0 0 0 ", t.SeenByHall(), "the load in the former region serves no request");
  t.gateway->ApplyView(MakeView("e2", {{"a", {}}}));
  caller.AwaitEnd();
  EXPECT_TRUE(Contains(caller.received(), "200 OK"), caller.received());
  EXPECT_TEXT("0 1 0 ", t.SeenByHall(), "served in the allowed region");
}

TEST(BoundRequests, ForOneModelWaitInEachOfTheirRegions) {
  // Guards against one load for all requests for a model: those of the other region would wait for
  // a copy where they may not run.
  BoundFixture t;
  t.Configure(2, std::nullopt, Regions{"west"});
  t.ShowViews();
  TestCaller first(t.io, t.port);
  first.Send(MakeRequest("GET /m/", kModelRequest));
  EXPECT_TRUE(t.AwaitAsked("e1 "), t.AskedAgents());
  RoutingConfiguration both = t.MakeConfiguration(3, std::nullopt, Regions{"west"});
  Organisation other;
  other.name = "other";
  other.keys = {DigestOfKey("other secret")};
  other.allowed_regions = Regions{"east"};
  auto organisations = both.organisations->all();
  organisations.push_back(other);
  both.organisations = OrganisationTable(organisations);
  t.gateway->ApplyConfiguration(both);
  TestCaller second(t.io, t.port);
  second.Send(
      MakeRequest("GET /m/", "Junctionrail-Key: other secret\r\nJunctionrail-Model: a\r\n"));
  EXPECT_TRUE(t.AwaitAsked("e1 e3 "), "one engine in each region, not " + t.AskedAgents());
  t.gateway->ApplyView(MakeView("e1", {{"a", {}}}));
  t.gateway->ApplyView(MakeView("e3", {{"a", {}}}));
  first.AwaitEnd();
  second.AwaitEnd();
  EXPECT_TEXT("1 0 1 ", t.SeenByHall(), "each is served in its region");
}

TEST(BoundRequests, AreRefusedAtOnceWhenNoAllowedRegionIsLeft) {
  BoundFixture t;
  t.Configure(2, Regions{"east"}, std::nullopt);
  t.ShowViews();
  TestCaller caller(t.io, t.port);
  caller.Send(MakeRequest("GET /m/", kModelRequest));
  EXPECT_TRUE(t.AwaitAsked("e3 "), t.AskedAgents());
  const TimeMs changed_at = MonotonicMs();
  t.Configure(3, Regions{"south"}, std::nullopt);
  caller.AwaitEnd();
  EXPECT_TRUE(Contains(caller.received(), " 503 ") &&
                  Contains(caller.received(), "no_allowed_region") &&
                  Contains(caller.received(), "\"ran\":\"no\""),
              caller.received());
  EXPECT_TRUE(MonotonicMs() - changed_at < 200, "without waiting any longer");
}

TEST(BoundRequests, AreRetriedByTheNewestConfiguration) {
  BoundFixture t;
  const auto fail = [&](const SeenRequest&, const Peer& peer) {
    t.Configure(3, Regions{"west"}, std::nullopt);
    peer->Close();
  };
  t.scripts["p2"] = fail;
  t.scripts["p3"] = fail;
  t.Configure(2, Regions{"north", "east"}, std::nullopt);
  EXPECT_TRUE(Contains(t.Send("GET /a/"), "200 OK"), "the retry finds an allowed upstream");
  EXPECT_NUMBER(1, t.upstreams[0]->seen().size(), "in the region that is allowed by then");
}

TEST(BoundRequests, AreResumedByTheNewestConfiguration) {
  BoundFixture t;
  const auto change = [&] { t.Configure(3, Regions{"west"}, std::nullopt); };
  t.scripts["p2"] = t.BreakAfter(change);
  t.scripts["p3"] = t.BreakAfter(change);
  t.scripts["p1"] = [](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead() + EventChunk(2) + "0\r\n\r\n");
  };
  t.Configure(2, Regions{"north", "east"}, std::nullopt);
  const std::string answer = t.Send("POST /s/");
  EXPECT_TRUE(Contains(answer, "id: 1") && Contains(answer, "id: 2"), answer);
  EXPECT_NUMBER(1, t.upstreams[0]->seen().size(), "in the region that is allowed by then");
}

TEST(BoundRequests, BreakOffRatherThanResumeInAnotherRegion) {
  BoundFixture t;
  t.scripts["p3"] = t.BreakAfter([&] { t.Configure(3, Regions{"south"}, std::nullopt); });
  t.Configure(2, Regions{"east"}, std::nullopt);
  const std::string answer = t.Send("POST /s/");
  EXPECT_TRUE(Contains(answer, "id: 1") && !Contains(answer, "0\r\n\r\n"), answer);
  EXPECT_TEXT("0 0 1 ", t.SeenByHall(), "no other region sees the request");
}

TEST(BoundRequests, AreWithheldWhenTheConfigurationChangesWhileTheConnectionIsOpened) {
  // Guards against checking the region only when the upstream is chosen.
  BoundFixture t;
  t.Configure(2, Regions{"north"}, std::nullopt);
  TestCaller caller(t.io, t.port);
  caller.Send(MakeRequest("GET /a/", kKey));
  const auto before = t.gateway->counters().requests;
  while (t.gateway->counters().requests == before) t.io.run_one();
  t.Configure(3, Regions{"west"}, std::nullopt);
  caller.AwaitEnd();
  EXPECT_TRUE(Contains(caller.received(), "200 OK"), caller.received());
  EXPECT_TEXT("1 0 0 ", t.SeenByHall(), "only in the region that is allowed at the send");
}

TEST(BoundRequests, AreRefusedWhileTheirRegionIsEvacuated) {
  BoundFixture t;
  t.Configure(2, Regions{"east"}, std::nullopt);
  t.gateway->ApplyEvacuations({}, MonotonicMs());
  t.gateway->ApplyEvacuations({"hall-3"}, MonotonicMs());
  EXPECT_TRUE(Contains(t.Send("GET /a/"), "200 OK"), "the hall is not closed yet");
  RunFor(t.io, 700);
  const std::string refused = t.Send("GET /a/");
  EXPECT_TRUE(Contains(refused, " 503 ") && Contains(refused, "\"evacuated\""), refused);
  EXPECT_TEXT("0 0 1 ", t.SeenByHall(), "no other region sees the request");
}

TEST(BoundRequests, AreRefusedWhileTheirRegionIsUnreachable) {
  BoundFixture t;
  t.Configure(2, Regions{"east"}, std::nullopt);
  t.upstreams[4]->Crash();
  const std::string plain = t.Send("GET /a/");
  EXPECT_TRUE(Contains(plain, " 503 ") && Contains(plain, "\"ran\":\"no\""), plain);
  const std::string model = t.Send("GET /m/", "Junctionrail-Model: a\r\n");
  EXPECT_TRUE(Contains(model, " 503 ") && Contains(model, "\"ran\":\"no\""), model);
  EXPECT_TEXT("0 0 0 ", t.SeenByHall(), "no other region sees a request");
}

TEST(BoundRequests, AreHeldToTheRateOfColdUpstreamsInTheirRegion) {
  BoundFixture t;
  RoutingConfiguration configuration = t.MakeConfiguration(2, Regions{"east"}, std::nullopt);
  configuration.services[0].cold_requests_per_s = 1;
  t.gateway->ApplyConfiguration(configuration);
  for (auto& it : t.records) it.cold_ms = it.instance == "p3" ? 5000 : 0;
  t.gateway->ApplyListing({t.records, MonotonicMs()});
  const std::string refused = t.Send("GET /a/");
  EXPECT_TRUE(Contains(refused, " 503 ") && Contains(refused, "Retry-After"), refused);
  EXPECT_TEXT("0 0 0 ", t.SeenByHall(), "warm upstreams of other regions get nothing");
}

}  // namespace junctionrail

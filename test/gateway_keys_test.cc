// Keys and quotas at the gateway, over real sockets: who is let in, and what upstreams get
// to see of it.
#include "check.h"
#include "gateway_world.h"

namespace junctionrail {
namespace {

using testing::Answer;
using testing::GatewayWorld;
using testing::Holds;
using testing::MakeRoute;
using testing::Request;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using testing::UpstreamPeer;
using Peer = std::shared_ptr<UpstreamPeer>;

constexpr char kKey[] = "Junctionrail-Key: secret\r\n";

GatewayOptions Bounded(DurationMs revoke_ms) {
  GatewayOptions options;
  options.revoke_ms = revoke_ms;
  return options;
}

// Two organisations, "shop" with the key "secret", before one plain upstream and one engine
// that holds no model.
struct World : GatewayWorld {
  explicit World(GatewayOptions options = {}) : GatewayWorld(std::move(options)) {
    AddUpstream("e1", "engine", [](const SeenRequest&, const Peer&) {});
    AddUpstream("u1", "plain", [](const SeenRequest& it, const Peer& peer) {
      peer->Write(Answer("ok", it.Field("Junctionrail-Request-Id")));
    });
    shop.name = "shop";
    shop.keys = {DigestOfKey("secret")};
    other.name = "other";
    other.keys = {DigestOfKey("theirs")};
    Put(1);
  }

  void Put(std::uint64_t version) {
    RoutingConfiguration configuration;
    configuration.version = version;
    configuration.routes = {MakeRoute("/a/", CallKind::kRepeatable, "plain"),
                            MakeRoute("/m/", CallKind::kRepeatable, "engine"),
                            MakeRoute("/open/", CallKind::kRepeatable, "plain")};
    configuration.routes.back().is_public = true;
    EngineSpec engine;
    engine.models.push_back({"m1", 10, 1, 20000, 20000, 20000});
    configuration.services = {{"plain", 64, std::nullopt}, {"engine", 64, engine}};
    configuration.organisations = OrganisationTable({shop, other});
    gateway->ApplyConfiguration(configuration);
  }

  const SeenRequest& Last() const { return upstreams[1]->seen().back(); }
  std::size_t Seen() const { return upstreams[1]->seen().size(); }

  Organisation shop;
  Organisation other;
};

}  // namespace

TEST_GROUP(GatewayKeys){};

TEST(GatewayKeys, AreAskedForAndGoNoFurtherThanTheOrganisation) {
  World world;
  const std::string answer = world.Ask(
      Request("GET /a/", "jUnctionrail-kEy: secret\r\nJunctionrail-Organisation: other\r\n"));
  EXPECT_TRUE(Holds(answer, "200 OK"), answer);
  EXPECT_TEXT("shop", world.Last().Field("Junctionrail-Organisation"), "as found, not as told");
  EXPECT_TRUE(!Holds(world.Last().head, "secret"), "got " + world.Last().head);
}

TEST(GatewayKeys, ThatAreMissingUnknownOrRepeatedAreTurnedAwayUnrun) {
  World world;
  const auto expect = [&](const std::string& fields, const std::string& status,
                          const std::string& code) {
    const std::string answer = world.Ask(Request("GET /a/", fields));
    EXPECT_TRUE(Holds(answer, status) && Holds(answer, code) && Holds(answer, "\"ran\":\"no\""),
                answer);
    EXPECT_TRUE(!Holds(answer, "shop") && !Holds(answer, "secret"), "it tells of no key");
  };
  expect("", "401 ", "no_key");
  expect("Junctionrail-Key:\r\n", "401 ", "no_key");
  expect("Junctionrail-Key: secre\r\n", "401 ", "unknown_key");
  expect("Junctionrail-Key: " + std::string(8000, 'x') + "\r\n", "401 ", "unknown_key");
  expect("Junctionrail-Key: secret\r\nJunctionrail-Key: theirs\r\n", "400 ", "repeated_key");
  EXPECT_NUMBER(0, world.Seen(), "requests that an upstream saw");
}

TEST(GatewayKeys, AreNotNeededOnAPublicRoute) {
  World world;
  EXPECT_TRUE(Holds(world.Ask(Request("GET /open/")), "200 OK"), "without one");
  EXPECT_TEXT("(none)", world.Last().Field("Junctionrail-Organisation"), "nobody's");
  const std::string answer = world.Ask(
      Request("GET /open/", "Junctionrail-Key: x\r\nJunctionrail-Organisation: shop\r\n"));
  EXPECT_TRUE(Holds(answer, "200 OK"), "with one that nobody holds");
  EXPECT_TEXT("(none)", world.Last().Field("Junctionrail-Organisation"),
              "the caller's word is none");
  EXPECT_TEXT("(none)", world.Last().Field("Junctionrail-Key"), "nor does its key go on");
  world.Ask(Request("GET /open/", kKey));
  EXPECT_TEXT("shop", world.Last().Field("Junctionrail-Organisation"), "with one that is known");
}

TEST(GatewayKeys, ThatAreTakenAwayEndAWaitAtOnce) {
  World world;
  TestCaller caller(world.io, world.port);
  caller.Send(Request("GET /m/", std::string(kKey) + "Junctionrail-Model: m1\r\n"));
  RunFor(world.io, 100);
  EXPECT_TEXT("", caller.received(), "it waits for its model");
  world.shop.keys.clear();
  world.Put(2);
  EXPECT_TRUE(caller.AwaitText("unknown_key"), caller.received());
}

TEST(GatewayKeys, AreNotTrustedByAConfigurationThatNobodyHasConfirmedInTime) {
  World world(Bounded(1000));
  const std::string before = world.Ask(Request("GET /a/", kKey));
  EXPECT_TRUE(Holds(before, "503 ") && Holds(before, "old_configuration") &&
                  Holds(before, "\"ran\":\"no\"") && Holds(before, "Retry-After"),
              before);
  EXPECT_TRUE(Holds(world.Ask(Request("GET /open/")), "200 OK"), "no key, no doubt");
  world.gateway->ConfirmConfiguration(MonotonicMs());
  EXPECT_TRUE(Holds(world.Ask(Request("GET /a/", kKey)), "200 OK"), "confirmed just now");
  RunFor(world.io, 700);
  EXPECT_TRUE(Holds(world.Ask(Request("GET /a/", kKey)), "old_configuration"),
              "less than the bound, as a request needs time to get to an upstream");
}

TEST(GatewayKeys, AreLookedAtAgainOnceTheConnectionStands) {
  // The way to the upstream takes long, and the key goes meanwhile.
  World world;
  world.Ask(Request("GET /a/", kKey));
  const std::size_t seen = world.Seen();
  TestCaller caller(world.io, world.port);
  caller.Send(Request("GET /a/", kKey));
  world.shop.keys.clear();
  RunUntil(world.io, [&] { return world.gateway->counters().requests == 2; });
  world.Put(2);
  caller.AwaitEnd();
  const bool was_refused = Holds(caller.received(), "unknown_key");
  EXPECT_TRUE(was_refused == (world.Seen() == seen), "refused where it was not sent");
}

TEST_GROUP(GatewayQuotas){};

namespace {

// A world whose organisation "shop" has a limit, and a giver that a test answers for.
struct LimitedWorld : World {
  LimitedWorld() {
    shop.quota.rate_per_s = 10;
    shop.quota.burst = 10;
    shop.quota.unit = QuotaUnit::kTokens;
    shop.quota.default_tokens = 200;
    Put(2);
    gateway->OnQuotaMessages([this](const QuotaClient::Message& it) {
      if (it.request.demands.empty()) return;
      asks.push_back(it.request);
      if (answers) Answer(it.request.id, is_granted);
    });
    gateway->SetQuotaGivers({{"u9", "10.0.0.9:1"}});
  }

  void Answer(std::uint64_t number, bool granted) {
    boost::asio::post(io, [this, number, granted] {
      gateway->ApplyQuotaGrant({number, {{"shop", granted ? 1U : 0U, 0, granted ? 0 : 3400}}});
    });
  }

  std::vector<QuotaRequest> asks;
  bool answers = true;
  bool is_granted = true;
};

}  // namespace

TEST(GatewayQuotas, CountTheTokensOfEachRequestOnce) {
  LimitedWorld world;
  EXPECT_TRUE(Holds(world.Ask(Request("GET /a/", kKey)), "200 OK"), "granted");
  EXPECT_NUMBER(200, world.asks.at(0).demands.at(0).amounts.at(0), "it names no tokens");
  world.Ask(Request("GET /a/", std::string(kKey) + "Junctionrail-Token-Usage: 1460, 80\r\n"));
  EXPECT_NUMBER(1540, world.asks.at(1).demands.at(0).amounts.at(0), "the sum of both");
}

TEST(GatewayQuotas, RefuseWithTheTimeToComeBackAndWithoutAQuestionTheNextTime) {
  LimitedWorld world;
  world.is_granted = false;
  const std::string answer = world.Ask(Request("GET /a/", kKey));
  EXPECT_TRUE(Holds(answer, "429 ") && Holds(answer, "over_quota") &&
                  Holds(answer, "Retry-After: 3.400") && Holds(answer, "\"ran\":\"no\""),
              answer);
  const std::string next = world.Ask(Request("GET /m/", kKey));
  EXPECT_TRUE(Holds(next, "429 "), "one that would wait for its model is told at once: " + next);
  EXPECT_NUMBER(1, world.asks.size(), "questions");
  EXPECT_NUMBER(0, world.Seen(), "requests that an upstream saw");
}

TEST(GatewayQuotas, LeaveOtherOrganisationsAlone) {
  LimitedWorld world;
  world.is_granted = false;
  world.Ask(Request("GET /a/", kKey));
  const std::string answer = world.Ask(Request("GET /a/", "Junctionrail-Key: theirs\r\n"));
  EXPECT_TRUE(Holds(answer, "200 OK"), answer);
}

TEST(GatewayQuotas, DoNotHoldARequestUpForLongWhereTheGiverIsSilent) {
  LimitedWorld world;
  world.answers = false;
  const std::string answer = world.Ask(Request("GET /a/", kKey));
  EXPECT_TRUE(Holds(answer, "503 ") && Holds(answer, "quota_unknown"), answer);
}

TEST(GatewayQuotas, NeedTokensThatCanBeRead) {
  LimitedWorld world;
  for (const char* it : {"7", "1,2,3", "-1,5", "1,x", "99999999999999999999,1", ","}) {
    const std::string answer = world.Ask(
        Request("GET /a/", std::string(kKey) + "Junctionrail-Token-Usage: " + it + "\r\n"));
    EXPECT_TRUE(Holds(answer, "400 ") && Holds(answer, "bad_token_usage"), answer);
  }
  EXPECT_NUMBER(0, world.Seen(), "requests that an upstream saw");
}

}  // namespace junctionrail

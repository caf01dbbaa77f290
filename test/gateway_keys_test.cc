// Keys and quotas at the gateway, over loopback sockets: which requests are admitted and what
// upstreams receive.
#include "check.h"
#include "gateway_fixture.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using testing::UpstreamPeer;
using Peer = std::shared_ptr<UpstreamPeer>;

constexpr char kKey[] = "Junctionrail-Key: secret\r\n";

GatewayOptions WithKeyRevocation(DurationMs revoke_ms) {
  GatewayOptions options;
  options.key_revocation_ms = revoke_ms;
  return options;
}

// Two organisations, "shop" with the key "secret" and "other" with the key "theirs", in front of
// one plain upstream and one engine without a loaded model.
struct KeysFixture : GatewayFixture {
  explicit KeysFixture(GatewayOptions options = {}) : GatewayFixture(std::move(options)) {
    AddUpstream("e1", "engine", [](const SeenRequest&, const Peer&) {});
    AddUpstream("u1", "plain", [](const SeenRequest& it, const Peer& peer) {
      peer->Write(OkResponse("ok", it.Field("Junctionrail-Request-Id")));
    });
    shop.name = "shop";
    shop.keys = {DigestOfKey("secret")};
    other.name = "other";
    other.keys = {DigestOfKey("theirs")};
    Configure(1);
  }

  void Configure(std::uint64_t version) {
    RoutingConfiguration configuration;
    configuration.version = version;
    configuration.routes = {MakeRoute("/a/", RequestKind::kIdempotent, "plain"),
                            MakeRoute("/m/", RequestKind::kIdempotent, "engine"),
                            MakeRoute("/open/", RequestKind::kIdempotent, "plain")};
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

TEST(GatewayKeys, ForwardsOrganisationInsteadOfKey) {
  KeysFixture fixture;
  const std::string answer = fixture.Fetch(
      MakeRequest("GET /a/", "jUnctionrail-kEy: secret\r\nJunctionrail-Organisation: other\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"), answer);
  EXPECT_TEXT("shop", fixture.Last().Field("Junctionrail-Organisation"),
              "by the key, not as the caller claims");
  EXPECT_TRUE(!Contains(fixture.Last().head, "secret"), "got " + fixture.Last().head);
}

TEST(GatewayKeys, RefusesMissingUnknownAndRepeatedKeys) {
  KeysFixture fixture;
  const auto expect = [&](const std::string& fields, const std::string& status,
                          const std::string& code) {
    const std::string answer = fixture.Fetch(MakeRequest("GET /a/", fields));
    EXPECT_TRUE(
        Contains(answer, status) && Contains(answer, code) && Contains(answer, "\"ran\":\"no\""),
        answer);
    EXPECT_TRUE(!Contains(answer, "shop") && !Contains(answer, "secret"),
                "the response reveals neither key nor organisation");
  };
  expect("", "401 ", "no_key");
  expect("Junctionrail-Key:\r\n", "401 ", "no_key");
  expect("Junctionrail-Key: secre\r\n", "401 ", "unknown_key");
  expect("Junctionrail-Key: " + std::string(8000, 'x') + "\r\n", "401 ", "unknown_key");
  expect("Junctionrail-Key: secret\r\nJunctionrail-Key: theirs\r\n", "400 ", "repeated_key");
  EXPECT_NUMBER(0, fixture.Seen(), "requests received by an upstream");
}

TEST(GatewayKeys, RequiresNoKeyOnPublicRoute) {
  KeysFixture fixture;
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /open/")), "200 OK"), "without a key");
  EXPECT_TEXT("(none)", fixture.Last().Field("Junctionrail-Organisation"),
              "no organisation without a key");
  const std::string answer = fixture.Fetch(
      MakeRequest("GET /open/", "Junctionrail-Key: x\r\nJunctionrail-Organisation: shop\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"), "with an unknown key");
  EXPECT_TEXT("(none)", fixture.Last().Field("Junctionrail-Organisation"),
              "the caller's claim is dropped");
  EXPECT_TEXT("(none)", fixture.Last().Field("Junctionrail-Key"), "its key is not forwarded");
  fixture.Fetch(MakeRequest("GET /open/", kKey));
  EXPECT_TEXT("shop", fixture.Last().Field("Junctionrail-Organisation"), "with a known key");
}

TEST(GatewayKeys, EndsWaitWhenKeyIsRevoked) {
  KeysFixture fixture;
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /m/", std::string(kKey) + "Junctionrail-Model: m1\r\n"));
  RunFor(fixture.io, 100);
  EXPECT_TEXT("", caller.received(), "the request waits for its model");
  fixture.shop.keys.clear();
  fixture.Configure(2);
  EXPECT_TRUE(caller.AwaitText("unknown_key"), caller.received());
}

TEST(GatewayKeys, RefusesKeysWithoutRecentlyConfirmedConfiguration) {
  KeysFixture fixture(WithKeyRevocation(1000));
  const std::string before = fixture.Fetch(MakeRequest("GET /a/", kKey));
  EXPECT_TRUE(Contains(before, "503 ") && Contains(before, "old_configuration") &&
                  Contains(before, "\"ran\":\"no\"") && Contains(before, "Retry-After"),
              before);
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /open/")), "200 OK"),
              "the public route needs no key");
  fixture.gateway->ConfirmConfiguration(MonotonicMs());
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/", kKey)), "200 OK"),
              "confirmed just now");
  RunFor(fixture.io, 700);
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/", kKey)), "old_configuration"),
              "refused before the bound, as the request still takes time to reach the upstream");
}

TEST(GatewayKeys, ChecksKeyAgainAfterConnect) {
  // The key is revoked while the connection to the upstream is being opened.
  KeysFixture fixture;
  fixture.Fetch(MakeRequest("GET /a/", kKey));
  const std::size_t seen = fixture.Seen();
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /a/", kKey));
  fixture.shop.keys.clear();
  RunUntil(fixture.io, [&] { return fixture.gateway->counters().requests == 2; });
  fixture.Configure(2);
  caller.AwaitEnd();
  const bool was_refused = Contains(caller.received(), "unknown_key");
  EXPECT_TRUE(was_refused == (fixture.Seen() == seen), "refused if and only if it was not sent");
}

TEST_GROUP(OutdatedConfigurations){};

// Guards against callers that are told for good that a route or key does not exist by an entry that
// has not heard of the configuration that adds it.
TEST(OutdatedConfigurations, AreNoReasonToCallARouteOrKeyUnknown) {
  GatewayOptions options;
  options.configuration_bound_ms = 600;
  KeysFixture fixture(options);
  const auto expect = [&](const std::string& fields, const std::string& path,
                          const std::string& code, const std::string& status) {
    const std::string answer = fixture.Fetch(MakeRequest("GET " + path, fields));
    EXPECT_TRUE(Contains(answer, status) && Contains(answer, code), answer);
    EXPECT_TRUE(Contains(answer, "Retry-After") == Contains(status, "503"), answer);
  };
  const auto expect_unconfirmed = [&] {
    expect(kKey, "/new/", "old_configuration", "503 ");
    expect("Junctionrail-Key: new\r\n", "/a/", "old_configuration", "503 ");
    expect("", "/a/", "old_configuration", "503 ");
    expect(kKey, "/a/", "ok", "200 ");
  };
  expect_unconfirmed();
  fixture.gateway->ConfirmConfiguration(MonotonicMs());
  expect(kKey, "/new/", "no_route", "404 ");
  expect("Junctionrail-Key: new\r\n", "/a/", "unknown_key", "401 ");
  expect("", "/a/", "no_key", "401 ");
  RunFor(fixture.io, 700);
  expect_unconfirmed();
}

// Guards against the same refusal by an entry that knows that a later configuration exists.
TEST(OutdatedConfigurations, AreThoseOfWhichALaterOneIsKnown) {
  KeysFixture fixture;
  fixture.gateway->ExpectConfiguration(3);
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /new/", kKey)), "old_configuration"),
              "version 1 is in force");
  fixture.Configure(2);
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /new/", kKey)), "old_configuration"),
              "version 2 is not the one that is known of");
  fixture.Configure(3);
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /new/", kKey)), "no_route"), "now it is");
}

TEST_GROUP(GatewayQuotas){};

namespace {

// The organisation "shop" has a quota; the test replies in place of the allocator.
struct QuotaFixture : KeysFixture {
  QuotaFixture() {
    shop.quota.rate_per_s = 10;
    shop.quota.burst = 10;
    shop.quota.unit = QuotaUnit::kTokens;
    shop.quota.default_tokens = 200;
    Configure(2);
    gateway->OnQuotaMessages([this](const QuotaClient::Message& it) {
      if (it.request.demands.empty()) return;
      asks.push_back(it.request);
      if (answers) Answer(it.request.id, is_granted);
    });
    gateway->SetQuotaAllocators({{"u9", "10.0.0.9:1"}});
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

TEST(GatewayQuotas, CountsTokensOfEachRequestOnce) {
  QuotaFixture fixture;
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/", kKey)), "200 OK"), "granted");
  EXPECT_NUMBER(200, fixture.asks.at(0).demands.at(0).amounts.at(0),
                "the default for a request without token usage");
  fixture.Fetch(
      MakeRequest("GET /a/", std::string(kKey) + "Junctionrail-Token-Usage: 1460, 80\r\n"));
  EXPECT_NUMBER(1540, fixture.asks.at(1).demands.at(0).amounts.at(0), "the sum of both numbers");
}

TEST(GatewayQuotas, RefusesWithRetryAfterAndDoesNotAskAgain) {
  QuotaFixture fixture;
  fixture.is_granted = false;
  const std::string answer = fixture.Fetch(MakeRequest("GET /a/", kKey));
  EXPECT_TRUE(Contains(answer, "429 ") && Contains(answer, "over_quota") &&
                  Contains(answer, "Retry-After: 3.400") && Contains(answer, "\"ran\":\"no\""),
              answer);
  const std::string next = fixture.Fetch(MakeRequest("GET /m/", kKey));
  EXPECT_TRUE(Contains(next, "429 "), "refused at once instead of waiting for its model: " + next);
  EXPECT_NUMBER(1, fixture.asks.size(), "requests to the allocator");
  EXPECT_NUMBER(0, fixture.Seen(), "requests received by an upstream");
}

TEST(GatewayQuotas, DoesNotAffectOtherOrganisations) {
  QuotaFixture fixture;
  fixture.is_granted = false;
  fixture.Fetch(MakeRequest("GET /a/", kKey));
  const std::string answer = fixture.Fetch(MakeRequest("GET /a/", "Junctionrail-Key: theirs\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"), answer);
}

TEST(GatewayQuotas, RefusesWhenAllocatorDoesNotRespond) {
  QuotaFixture fixture;
  fixture.answers = false;
  const std::string answer = fixture.Fetch(MakeRequest("GET /a/", kKey));
  EXPECT_TRUE(Contains(answer, "503 ") && Contains(answer, "quota_unknown"), answer);
}

TEST(GatewayQuotas, RejectsMalformedTokenUsage) {
  QuotaFixture fixture;
  for (const char* it : {"7", "1,2,3", "-1,5", "1,x", "99999999999999999999,1", ","}) {
    const std::string answer = fixture.Fetch(
        MakeRequest("GET /a/", std::string(kKey) + "Junctionrail-Token-Usage: " + it + "\r\n"));
    EXPECT_TRUE(Contains(answer, "400 ") && Contains(answer, "bad_token_usage"), answer);
  }
  EXPECT_NUMBER(0, fixture.Seen(), "requests received by an upstream");
}

}  // namespace junctionrail

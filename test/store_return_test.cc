// A store that comes back from a copy some seconds old: what was written since is gone, leases
// too, and revisions are given out again.

#include <chrono>

#include "check.h"
#include "junctionrail/gateway.h"
#include "loopback.h"
#include "platform.h"
#include "platform_standin.h"

namespace junctionrail {
namespace {

using platform::Freshness;
using testing::QuietLog;
using testing::RunFor;
using testing::RunUntil;
using testing::StandinStore;

constexpr DurationMs kPeriodMs = 200;

std::string Record(const std::string& state = "ready", const std::string& more = "",
                   const std::string& port = "8145") {
  return R"({"service":"plain","address":"10.1.0.40:)" + port +
         R"(","zone":"hall-1","slots":6,"state":")" + state + "\"" + more + "}";
}

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

struct World {
  void FollowUpstreams() {
    upstreams = std::make_unique<platform::UpstreamFollower>(
        io, client, log, Freshness::kNewest, kPeriodMs, [this](const UpstreamListing& it) {
          listing = it.records;
          gateway.ApplyListing(it);
        });
    upstreams->Start();
  }

  void FollowConfiguration() {
    configuration = std::make_unique<platform::ConfigurationFollower>(
        io, client, log, Freshness::kNewest,
        [this](const RoutingConfiguration& it) { versions.push_back(it.version); });
    configuration->Start();
  }

  std::string Choice() {
    PickRequest request;
    request.service = "plain";
    const PickResult pick = gateway.upstreams().Choose(request, MonotonicMs());
    const auto* to = std::get_if<SendTo>(&pick);
    return to == nullptr ? "" : to->instance;
  }

  bool AwaitChoice(const std::string& instance) {
    return RunUntil(io, [&] { return Choice() == instance; });
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  StandinStore store{io};
  HttpClient http{io};
  platform::StoreClient client{http, store.endpoint()};
  Gateway gateway{io, GatewayOptions(), log};
  std::unique_ptr<platform::UpstreamFollower> upstreams;
  std::unique_ptr<platform::ConfigurationFollower> configuration;
  std::vector<UpstreamRecord> listing;
  std::vector<std::uint64_t> versions;
};

}  // namespace

TEST_GROUP(StoresThatComeBackOlder){};

TEST(StoresThatComeBackOlder, AreReadOnThoughTheirRevisionsAreLower) {
  World world;
  world.store.Put("servers/i-1", Record());
  world.store.Copy();
  for (int n = 0; n < 50; ++n) world.store.Put("other/key", std::to_string(n));
  world.FollowUpstreams();
  EXPECT_TRUE(world.AwaitChoice("i-1"), "it is listed");
  world.store.ComeBackOlder();
  world.store.Put("servers/i-1", Record("draining"));
  EXPECT_TRUE(world.AwaitChoice(""), "it says that it leaves, at a revision lower than before");
}

TEST(StoresThatComeBackOlder, DoNotMakeAnUpstreamReadyThatHadSaidItLeaves) {
  World world;
  world.store.Put("servers/i-1", Record());
  world.store.Copy();
  world.store.Put("servers/i-1", Record("draining"));
  world.FollowUpstreams();
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.listing.empty(); }), "it is read");
  world.store.Remove("servers/i-1");
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listing.empty(); }), "it is gone");
  world.store.ComeBackOlder();
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.listing.empty(); }), "its record is back");
  EXPECT_TEXT("", world.Choice(), "what it said holds");
}

TEST(StoresThatComeBackOlder, AreNotAskedAgainAndAgainForChangesThatTheyDoNotHave) {
  World world;
  world.store.Put("op/config", Configuration(3));
  world.store.Copy();
  for (int n = 0; n < 50; ++n) world.store.Put("other/key", std::to_string(n));
  world.FollowConfiguration();
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.versions.size() == 1; }), "it is read");
  RunFor(world.io, 100);
  world.store.ComeBackOlder();
  const std::size_t calls = world.store.calls.size();
  RunFor(world.io, 1000);
  const std::size_t more = world.store.calls.size() - calls;
  EXPECT_TRUE(more <= 6, "expected a few calls in a second, got " + std::to_string(more));
  world.store.Put("op/config", Configuration(4));
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.versions.back() == 4; }),
              "what the operators write then is taken");
}

TEST(StoresThatComeBackOlder, DoNotTakeTheConfigurationBack) {
  World world;
  world.store.Put("op/config", Configuration(3));
  world.store.Copy();
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.versions.size() == 1; }), "it is read");
  world.store.ComeBackOlder();
  RunFor(world.io, 700);
  EXPECT_NUMBER(1, world.versions.size(), "version 3 is older");
  world.store.Put("op/config", Configuration(5));
  world.store.Put("op/config", Configuration(6));
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.versions.back() == 6; }), "version 6 is newer");
}

TEST(StoresThatComeBackOlder, GiveTokensThatNeverFall) {
  const platform::StorePlace before{3, 900000};
  const platform::StorePlace after{4, 12};
  EXPECT_TRUE(before.IsBefore(after) && !after.IsBefore(before), "the era goes first");
  EXPECT_TRUE(before.ToToken() < after.ToToken(), "so does that of a token");
  EXPECT_NUMBER(900000, (platform::StorePlace{0, 900000}.ToToken()), "of a store without eras");
}

TEST(StoresThatComeBackOlder, TellOfItOnce) {
  World world;
  int returns = 0;
  world.client.OnNewEra([&] { ++returns; });
  world.store.Copy();
  world.FollowUpstreams();
  RunFor(world.io, 300);
  EXPECT_NUMBER(0, returns, "the first era that is read is no return");
  world.store.ComeBackOlder();
  RunFor(world.io, 700);
  EXPECT_NUMBER(1, returns, "leases and claims are looked at anew, once");
}

TEST_GROUP(UpstreamsThatStartAgain){};

TEST(UpstreamsThatStartAgain, AreNewOnesThoughTheyKeepTheirId) {
  World world;
  world.store.Put("servers/i-1", Record("ready", R"(,"born":1000)"));
  world.FollowUpstreams();
  EXPECT_TRUE(world.AwaitChoice("i-1@1000"), "known by its id and its start");
  world.gateway.upstreams().OnInstanceReplaced("i-1@1000");
  EXPECT_TEXT("", world.Choice(), "that one has ended");
  world.store.Put("servers/i-1", Record("ready", R"(,"born":2000)"));
  EXPECT_TRUE(world.AwaitChoice("i-1@2000"), "nothing of before is held against the new one");
  EXPECT_TEXT("i-1", world.listing[0].WireId(), "which is asked for by its id");
}

TEST(UpstreamsThatStartAgain, WithAStartOfAnotherTypeAreNotUsed) {
  for (const char* born : {R"(,"born":"1000")", R"(,"born":1.5)", R"(,"born":null)",
                           R"(,"born":-1)", R"(,"born":1e300)"}) {
    const auto read = platform::DecodeUpstream("i-1", Record("ready", born), 1);
    EXPECT_TRUE(!read && read.error().sentence.find("born") == 0, born);
  }
}

TEST_GROUP(RecordsOfOtherWriters){};

TEST(RecordsOfOtherWriters, NameNoUpstreamToUseAndTheOthersHold) {
  World world;
  world.store.Put("servers/i-1", Record());
  world.store.Put("servers/i-2", Record("ready", "", "8146"));
  world.FollowUpstreams();
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listing.size() == 2; }), "both are listed");
  for (const char* it : {"", "[]", "7", "{}", "\xff\xfe", R"({"service":7})",
                         R"({"service":"plain","address":"10.1.0.40:8145","zone":"z","slots":1e300,
                             "state":"ready"})",
                         R"({"service":"plain","address":"10.1.0.40:8145","zone":"z","slots":6,
                             "state":"asleep"})"}) {
    world.store.Put("servers/i-1", it);
    EXPECT_TRUE(world.AwaitChoice("i-2"), it);
    EXPECT_TRUE(world.gateway.upstreams().Find("i-1") != nullptr, "it is not taken for gone");
  }
  world.store.Put("servers/i-1", Record());
  world.store.Remove("servers/i-2");
  EXPECT_TRUE(world.AwaitChoice("i-1"), "and is used once its record can be read again");
}

TEST_GROUP(Suspensions){};

TEST(Suspensions, EndRequestsWhoseTimeWasOverMeanwhile) {
  // The clock jumps as it does for a VM that was suspended; timers do not count that time.
  DurationMs away_ms = 0;
  const auto base = std::chrono::steady_clock::now();
  SetMonotonicSource([&] {
    const auto passed = std::chrono::steady_clock::now() - base;
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count() + 1000000 +
           away_ms;
  });
  {
    boost::asio::io_context io;
    EventLog log{QuietLog()};
    GatewayOptions options;
    options.listen_endpoint = {"127.0.0.1", 0};
    Gateway gateway(io, options, log);
    const auto port = gateway.Listen().value();
    testing::ScriptedUpstream silent(
        io, [](const testing::SeenRequest&, const std::shared_ptr<testing::UpstreamPeer>&) {});
    RoutingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.host = "shop.example";
    route.path_prefix = "/a/";
    route.timeout_ms = 60000;
    route.first_byte_target_ms = 60000;
    route.traffic_split = {{"plain", 1}};
    configuration.routes = {route};
    configuration.services = {{"plain", 64, std::nullopt}};
    gateway.ApplyConfiguration(configuration);
    gateway.ApplyListing(
        {{{"u1", "plain", silent.endpoint(), "hall-1", 8, false, {}}}, MonotonicMs()});
    int resumed = 0;
    gateway.OnVmResumed([&] { ++resumed; });
    testing::TestCaller caller(io, port);
    caller.Send(
        "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: r1\r\n"
        "Connection: close\r\n\r\n");
    EXPECT_TRUE(RunUntil(io, [&] { return !silent.seen().empty(); }), "it is sent");
    away_ms = 70000;
    EXPECT_TRUE(caller.AwaitEnd(), "its minute is over");
    EXPECT_TRUE(caller.received().find(" 504 ") != std::string::npos, caller.received());
    EXPECT_NUMBER(1, resumed, "what was read before is read again");
    gateway.Stop(0, [] {});
    RunFor(io, 100);
  }
  SetMonotonicSource(nullptr);
}

}  // namespace junctionrail

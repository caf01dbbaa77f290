// Entries and an agent that relays the list of upstreams to them, over real sockets: which calls
// the platform's store gets, and what entries know while they make none.
#include <boost/asio/io_context.hpp>

#include "check.h"
#include "direct_daemon.h"
#include "junctionrail/net.h"
#include "junctionrail/telemetry.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::internal {
namespace {

using testing::OwnAddress;
using testing::RunFor;
using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::SilentLog;
using testing::StandinStore;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::uint16_t kPort = 8260;
constexpr DurationMs kLeavingMs = 2000;

std::string Configuration(int version, const std::string& prefix) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"r1","hostname":"shop.example","pathPrefix":")" +
         prefix + R"(","kind":"idempotent",
     "timeoutMs":2000,"targetLatencyMs":500,"service":"s2"}],
    "services":[{"name":"s1","maxConns":100,"engine":{"weightsMb":100.0,"adapterSlots":2,
      "models":[{"name":"m1","weightsMb":60.0,"loadTimeS":6.0}]}},{"name":"s2","maxConns":100}]})";
}

struct World {
  // With `has_entry_store`, entries read a store of their own, which a test can take away from them
  // alone.
  explicit World(int entry_count, bool has_entry_store = false) {
    if (has_entry_store) entry_store = std::make_unique<StandinStore>(io);
    Put("op/config", Configuration(1, "/a/"));
    engine = std::make_unique<ScriptedUpstream>(
        io,
        [](const SeenRequest&, const Peer& peer) {
          const std::string report =
              R"({"models":[],"busyCount":false,"sequence":0,"waiting":0,"running":0})";
          peer->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) +
                      "\r\n\r\n" + report);
        },
        Endpoint{OwnAddress(60), kPort});
    service = std::make_unique<ScriptedUpstream>(io, [](const SeenRequest& it, const Peer& peer) {
      peer->Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + it.Field("Attempt-Id") +
                  "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
    });
    List("i-1", "s1", *engine, "ready");
    List("i-2", "s2", *service, "ready");
    StartAgent();
    for (int n = 0; n < entry_count; ++n) StartEntry(n);
  }

  ~World() {
    for (auto& it : entries) it->Stop();
    if (agent) agent->Stop();
    RunFor(io, 50);
  }

  void List(const std::string& id, const std::string& name, const ScriptedUpstream& upstream,
            const std::string& state) {
    Put("servers/" + id, R"({"service":")" + name + R"(","address":")" +
                             upstream.endpoint().ToString() +
                             R"(","zone":"hall-1","slots":8,"state":")" + state + R"("})");
  }

  void Put(const std::string& key, const std::string& value) {
    store.Put(key, value);
    if (entry_store) entry_store->Put(key, value);
  }

  void StartAgent() {
    Settings settings;
    settings.role = Role::kAgent;
    settings.id = "agent-1";
    settings.direct.emplace();
    settings.direct->store = store.endpoint();
    settings.direct->metrics = {OwnAddress(60), kPort + 1};
    settings.direct->link = {OwnAddress(60), kPort + 4};
    settings.direct->upstream = engine->endpoint();
    settings.direct->leaving_ms = kLeavingMs;
    agent = std::make_unique<DirectAgent>(io, settings, SilentLog());
    const auto error = agent->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
  }

  void StartEntry(int n, const std::string& hall = "hall-1",
                  const std::map<std::string, std::string>& hall_regions = {}) {
    Settings settings;
    settings.id = "entry-" + std::to_string(n);
    settings.data_hall = hall;
    settings.drain_ms = 0;
    settings.direct.emplace();
    DirectSettings& direct = *settings.direct;
    direct.store = entry_store ? entry_store->endpoint() : store.endpoint();
    direct.callers = {OwnAddress(61 + n), kPort};
    direct.metrics = {OwnAddress(61 + n), kPort + 1};
    direct.health = {OwnAddress(61 + n), kPort + 2};
    direct.peer = {OwnAddress(61 + n), kPort + 3};
    direct.link_port = kPort + 4;
    direct.leaving_ms = kLeavingMs;
    direct.hall_regions = hall_regions;
    entries.push_back(std::make_unique<DirectEntry>(io, settings, SilentLog()));
    const auto error = entries.back()->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
  }

  std::string Fetch(int n, const std::string& path) {
    TestCaller caller(io, Endpoint{OwnAddress(61 + n), kPort});
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r" +
                std::to_string(++last_id) + "\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n");
    caller.AwaitEnd();
    return caller.received();
  }

  std::string Metrics(int n) {
    TestCaller caller(io, Endpoint{OwnAddress(61 + n), kPort + 1});
    caller.Send("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    caller.AwaitEnd();
    return caller.received();
  }

  // Calls to the store by their path, with what they read.
  std::map<std::string, int> CountCalls(DurationMs ms) {
    store.calls.clear();
    RunFor(io, ms);
    std::map<std::string, int> calls;
    for (const auto& it : store.calls) ++calls[it.substr(0, it.find_first_of("&"))];
    return calls;
  }

  boost::asio::io_context io;
  StandinStore store{io};
  std::unique_ptr<StandinStore> entry_store;  // Null: entries read the agent's.
  std::unique_ptr<ScriptedUpstream> engine;
  std::unique_ptr<ScriptedUpstream> service;
  std::unique_ptr<DirectAgent> agent;
  std::vector<std::unique_ptr<DirectEntry>> entries;
  int last_id = 0;
};

bool HasText(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(RelayedListings){};

TEST(RelayedListings, CostTheStoreAsManyCallsForSixEntriesAsForTwo) {
  std::map<int, int> totals;
  for (const int n : {2, 6}) {
    World world(n);
    RunFor(world.io, 2500);
    for (const auto& [call, count] : world.CountCalls(4000)) totals[n] += count;
  }
  EXPECT_TRUE(totals[6] <= totals[2] + 4,
              "expected about " + std::to_string(totals[2]) + ", got " + std::to_string(totals[6]));
}

TEST(RelayedListings, TellEntriesOfLeavingUpstreamsAndNewConfigurations) {
  World world(2);
  EXPECT_TRUE(RunUntil(world.io, [&] { return HasText(world.Fetch(0, "/a/"), "200 OK"); }), "");
  RunFor(world.io, 2500);
  world.store.calls.clear();
  world.List("i-2", "s2", *world.service, "draining");
  RunFor(world.io, kLeavingMs - 200);
  EXPECT_TRUE(HasText(world.Fetch(0, "/a/"), " 503 "), "the only upstream leaves");
  EXPECT_TRUE(HasText(world.Fetch(1, "/a/"), " 503 "), "as the other entry knows too");
  world.List("i-2", "s2", *world.service, "ready");
  world.store.Put("op/config", Configuration(2, "/b/"));
  RunFor(world.io, kLeavingMs / 2);
  for (const int n : {0, 1}) {
    EXPECT_TRUE(HasText(world.Fetch(n, "/a/"), " 404 ") && !HasText(world.Fetch(n, "/b/"), " 404 "),
                "the newer configuration is in force");
  }
}

// Guards against an entry that is told of a later configuration and goes on by the older one for as
// long as the store turns it away, as it and its peers can get the document nowhere else.
TEST(RelayedListings, BringTheConfigurationToEntriesThatTheStoreTurnsAway) {
  constexpr DurationMs kApplyMs = 3000;
  World world(2, true);
  EXPECT_TRUE(RunUntil(world.io, [&] { return HasText(world.Fetch(0, "/a/"), "200 OK"); }), "");
  RunFor(world.io, 2500);
  world.entry_store->mood = StandinStore::Mood::kBusy;
  world.entry_store->CutWatches();
  world.store.Put("op/config", Configuration(2, "/b/"));
  RunFor(world.io, kApplyMs);
  for (const int n : {0, 1}) {
    const std::string added = world.Fetch(n, "/b/");
    EXPECT_TRUE(HasText(added, "200 OK"), "the route that was added: " + added);
  }
}

TEST(RelayedListings, AreReplacedByPollsOfTheStoreWhenTheAgentEnds) {
  World world(2);
  RunFor(world.io, 2500);
  world.agent->Stop();
  world.io.restart();
  RunFor(world.io, 500);
  world.List("i-2", "s2", *world.service, "draining");
  RunFor(world.io, kLeavingMs - 100);
  EXPECT_TRUE(HasText(world.Fetch(0, "/a/"), " 503 "), "the only upstream leaves");
  world.store.Put("op/config", Configuration(2, "/b/"));
  RunFor(world.io, kLeavingMs);
  EXPECT_TRUE(!HasText(world.Fetch(1, "/b/"), " 404 "), "the newer configuration is in force");
}

// Guards against metrics that cannot be parsed: the instance of an upstream is a label, and comes
// from a key of the store, which may hold any character.
TEST(RelayedListings, CannotBreakThePageOfMetrics) {
  MetricsPage page;
  page.Gauge("relay", "The relay.", 1, {{"relay", "a\"b\\c\nd"}});
  EXPECT_TRUE(HasText(page.text(), "relay{relay=\"a\\\"b\\\\c\\nd\"} 1\n"), page.text());
}

TEST(RelayedListings, AreShownInMetricsWithTheirRelay) {
  const std::map<std::string, std::string> regions = {{"hall-1", "north"}, {"hall-2", "south"}};
  World world(0);
  world.StartEntry(0, "hall-1", regions);
  world.StartEntry(1, "hall-2", regions);
  RunFor(world.io, 2500);
  for (const int n : {0, 1}) {
    const std::string page = world.Metrics(n);
    EXPECT_TRUE(HasText(page, "junctionrail_relay_in_use{relay=\"i-1\"} 1\n"), page);
    EXPECT_TRUE(HasText(page, "junctionrail_relay_changes_total 1\n"), page);
    const std::string is_other = n == 1 ? "1" : "0";
    EXPECT_TRUE(HasText(page, "junctionrail_relay_in_other_region " + is_other + "\n"), page);
    const std::string unused = n == 1 ? "own" : "other";
    EXPECT_TRUE(HasText(page, "junctionrail_relay_replies_total{region=\"" + unused + "\"} 0\n"),
                page);
  }
  world.agent->Stop();
  world.io.restart();
  RunFor(world.io, 6000);
  const std::string page = world.Metrics(1);
  EXPECT_TRUE(HasText(page, "junctionrail_relay_in_use{relay=\"none\"} 0\n"), page);
  EXPECT_TRUE(HasText(page, "junctionrail_relay_changes_total 2\n"), page);
}

}  // namespace junctionrail::internal

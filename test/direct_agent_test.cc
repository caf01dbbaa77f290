// An agent on the direct path over real sockets: the platform's store, the
// engine on its VM, and an entry that asks for a model.
#include <unistd.h>

#include "check.h"
#include "direct_daemon.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::internal {
namespace {

using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::StandinStore;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::uint16_t kLinkPort = 8200;

constexpr char kConfiguration[] = R"({"version":1,"routes":[],
  "services":[{"name":"s1","engine":{"weightsMb":100.0,"adapterSlots":2,"diskMb":1000.0,
    "models":[{"name":"m1","weightsMb":60.0,"loadTimeS":6.0,"warmS":0.5,"diskS":0.8}]}}]})";

constexpr char kReport[] =
    R"({"models":[],"busyCount":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":9})";

std::string Answer(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct World {
  World()
      : engine(io, [this](const SeenRequest& request, const Peer& peer) { Handle(request, peer); }),
        entry(io, LinkClientCallbacks{[](const std::string&) {},
                                      [this](const std::string&, std::string_view bytes) {
                                        views.emplace_back(bytes);
                                      },
                                      [](const std::string&, bool) {}}) {
    link.address = testing::OwnAddress(9);
    link.port = kLinkPort;
    store.Put("op/config", kConfiguration);
    Settings settings;
    settings.role = Role::kAgent;
    settings.id = "vm-1";
    settings.direct.emplace();
    settings.direct->store = store.endpoint();
    settings.direct->metrics = {"127.0.0.1", 0};
    settings.direct->link = link;
    settings.direct->upstream = engine.endpoint();
    agent = std::make_unique<DirectAgent>(io, settings, testing::SilentLog());
  }

  void Start() {
    const auto error = agent->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
  }

  void Handle(const SeenRequest& request, const Peer& peer) {
    if (request.Line() == "GET /report HTTP/1.1") {
      ++reports;
      return peer->Write(wants_rest ? Answer(503, "Retry-After: 10\r\n", "")
                                    : Answer(200, "", kReport));
    }
    ordered.push_back(request.Field("Expect-Instance"));
    if (ordered.back() == present) return peer->Write(Answer(202, "", ""));
    peer->Write(Answer(421, "Instance-Id: " + present + "\r\n", ""));
  }

  void List(const std::string& instance) {
    store.Put("servers/" + instance, R"({"service":"s1","address":")" +
                                         engine.endpoint().ToString() +
                                         R"(","zone":"hall-1","slots":8,"state":"ready"})");
  }

  // An entry's demand for a model, meant for the engine's `instance`.
  void Ask(const std::string& instance, bool takes_updates = false) {
    AgentDemand demand;
    demand.entry = "entry-1";
    demand.instance = instance;
    demand.accepts_view_updates = takes_updates;
    demand.wanted.push_back(ModelDemand{{"m1", {}}, 1, 0, 0});
    entry.Send("agent", link, EncodeDemand(demand));
  }

  // Runs until the agent has asked its engine so many times more.
  bool AwaitReports(int n) {
    const int until = reports + n;
    return RunUntil(io, [&] { return reports >= until; });
  }

  int Listings() const {
    int n = 0;
    for (const auto& it : store.calls) n += it.find("/kv-range") != std::string::npos ? 1 : 0;
    return n;
  }

  bool wants_rest = false;  // The engine does, and says so.
  boost::asio::io_context io;
  StandinStore store{io};
  Endpoint link;
  int reports = 0;
  std::string present = "i-1";       // The instance that the engine now is.
  std::vector<std::string> ordered;  // The instances that orders were meant for.
  std::vector<std::string> views;    // What the entry was sent.
  ScriptedUpstream engine;
  LinkClient entry;
  std::unique_ptr<DirectAgent> agent;
};

}  // namespace

TEST_GROUP(DirectAgent){};

TEST(DirectAgent, GivesNoFurtherOrderToAnInstanceThatAnotherAnswersFor) {
  // Found in a recorded day: after all VMs had lost power an agent ordered from
  // the engine's earlier instance ten times a second until its next listing.
  World world;
  world.List("i-1");
  world.present = "i-2";
  world.Start();
  EXPECT_TRUE(world.AwaitReports(2), "the agent finds its engine");
  world.Ask("i-1");
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.ordered.empty(); }), "the model is ordered");
  const int listings = world.Listings();
  const bool is_listed_again = RunUntil(world.io, [&] {
    world.Ask("i-1");
    return world.Listings() >= listings + 3;
  });
  EXPECT_TRUE(is_listed_again, "its record is looked for");
  world.AwaitReports(4);
  EXPECT_NUMBER(1, world.ordered.size(), "the answer named another instance");
  EXPECT_TRUE(world.store.calls.back().find("staleOk") == std::string::npos,
              "the store's newest is read, got " + world.store.calls.back());
  world.store.Remove("servers/i-1");
  world.List("i-2");
  const bool is_found = RunUntil(world.io, [&] {
    world.Ask("i-2");
    return world.ordered.back() == "i-2";
  });
  EXPECT_TRUE(is_found, "orders go on once the new instance is listed");
}

TEST(DirectAgent, FindsItsEngineThoughARecordMadeLaterNamesAnEndedInstance) {
  World world;
  world.List("i-2");
  world.List("i-1");
  world.present = "i-2";
  world.Start();
  EXPECT_TRUE(world.AwaitReports(2), "i-1 is taken for the engine, as its record is the later");
  const bool is_found = RunUntil(world.io, [&] {
    world.Ask("i-1");
    world.Ask("i-2");
    return !world.ordered.empty() && world.ordered.back() == "i-2";
  });
  EXPECT_TRUE(is_found, "i-1 refused the first order and is passed over from then on");
}

TEST(DirectAgent, ListsOftenWhileItsEngineAnswersAndIsNotListed) {
  // Found in the same day: engines came back within a second of the power and
  // were found up to 2.5 s later.
  World world;
  world.Start();
  world.AwaitReports(4);
  // The engine is asked each second and listed each 2.5 s once it is known.
  EXPECT_TRUE(world.Listings() >= 5,
              "expected 5 listings or more, got " + std::to_string(world.Listings()));
}

// Guards against an agent that goes on asking an engine which wants a rest.
TEST(DirectAgent, LeavesItsEngineTheRestThatItAsksFor) {
  World world;
  world.List("i-1");
  world.wants_rest = true;
  world.Start();
  EXPECT_TRUE(world.AwaitReports(1), "it asks once");
  world.Ask("i-1");
  testing::RunFor(world.io, 2500);
  EXPECT_NUMBER(1, world.reports, "reports asked for");
  EXPECT_NUMBER(0, world.ordered.size(), "orders given");
}

TEST(DirectAgent, SendsOnlyWhatHasChangedToAnEntryThatCanReadIt) {
  World world;
  world.List("i-1");
  world.Start();
  EXPECT_TRUE(world.AwaitReports(2), "the agent finds its engine");
  const auto is_whole = [](const std::string& bytes) {
    EngineView view;
    return DecodeView(bytes, &view);
  };
  world.Ask("i-1");
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.views.size() >= 4; }), "views come");
  for (const auto& it : world.views) EXPECT_TRUE(is_whole(it), "to an entry of an earlier version");
  world.Ask("i-1", true);
  const bool has_update = RunUntil(world.io, [&] { return !is_whole(world.views.back()); });
  EXPECT_TRUE(has_update, "once the entry has said that it reads updates");
}

}  // namespace junctionrail::internal

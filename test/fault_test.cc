// Faults at real sockets: the key-value service away, slow or losing answers;
// processes killed, frozen and cut off; calls that may not run twice; streams
// that break.
#include <signal.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "check.h"
#include "cluster.h"
#include "junctionrail/store.h"

namespace junctionrail::test {
namespace {

using nlohmann::json;

json Models(const std::vector<std::string>& names, int replicas = 1, int memory_mb = 1024) {
  json list = json::array();
  for (const auto& it : names) {
    list.push_back(
        {{"name", it}, {"version", "1"}, {"replicas", replicas}, {"memory_mb", memory_mb}});
  }
  return {{"models", list}};
}

// A version 7 UUID (RFC 9562) made now.
std::string NewKey(int n) {
  char buf[40];
  const auto ms = static_cast<unsigned long long>(UnixMs());
  std::snprintf(buf, sizeof(buf), "%08llx-%04llx-7000-8000-%012d", ms >> 16U, ms & 0xffffU, n);
  return buf;
}

CallSpec Order(const std::string& ref, const std::string& key, const json& more = json::object()) {
  CallSpec call;
  call.target = "/services/orders/confirm";
  json body = {{"ref", ref}};
  body.update(more);
  call.body = body.dump();
  call.headers = {{"Content-Type", "application/json"}, {"Junctionrail-Deadline-Ms", "5000"}};
  if (!key.empty()) call.headers.push_back({"Idempotency-Key", key});
  return call;
}

int Ran(Cluster& cluster, const std::string& service, const std::string& ref) {
  return cluster.Get(service, "/counter?ref=" + ref).value("ran", -1);
}

ClusterOptions WithServices(int services) {
  ClusterOptions options;
  options.engines = 0;
  options.services = services;
  options.entries = 2;
  options.agent_settings = {{"clock_skew_ms", 0}};
  options.declarations = {{"services", {{{"name", "orders"}, {"idempotency_window_ms", 60000}}}}};
  return options;
}

}  // namespace

TEST_GROUP(FaultsOfKv){};

TEST(FaultsOfKv, AnOutageDoesNotStopAGrantedModelFromWaking) {
  ClusterOptions options;
  options.agent_settings = {{"longest_idle_ms", 100}};
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  Cluster::WaitUntil([&] { return cluster.Metric("agent-1", "junctionrail_unloads_total") == 1; });
  cluster.Post("kv", "/control", {{"mode", "down"}});
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(200, reply.status, "a standing grant needs no call: " + reply.body);
}

TEST(FaultsOfKv, AnOutageRefusesWhatHasNoSlotAndSaysSo) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Post("kv", "/control", {{"mode", "down"}});
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(503, reply.status, reply.body);
  EXPECT_TEXT("placement_failed", reply.Code(), reply.body);
  cluster.Post("kv", "/control", {{"mode", "up"}});
  EXPECT_TRUE(
      Cluster::WaitUntil([&] { return cluster.Call("entry-1", Chat("a", false)).status == 200; }),
      "it is placed once the service is back");
}

TEST(FaultsOfKv, ALostAnswerToAGrantIsSettledByReading) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Post("kv", "/control", {{"lose_answers", 1}});
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(200, reply.status, reply.body);
  EXPECT_NUMBER(1, cluster.Metric("entry-1", "junctionrail_grant_writes_total"),
                "the write had taken effect, so none follows it");
}

TEST(FaultsOfKv, ALostAnswerToAChangeIsAcceptedOnce) {
  ClusterOptions options;
  Cluster cluster(options);
  cluster.Post("kv", "/control", {{"lose_answers", 1}});
  const ToolResult applied = cluster.Apply("entry-1", Models({"a"}));
  EXPECT_NUMBER(0, applied.exit_code, applied.err);
  EXPECT_NUMBER(1, json::parse(cluster.Tool("entry-1", {"get"}).out).value("version", 0),
                "one change, one version");
}

TEST(FaultsOfKv, AChangeDuringAnOutageIsRefusedWhole) {
  ClusterOptions options;
  Cluster cluster(options);
  cluster.Post("kv", "/control", {{"mode", "down"}});
  const ToolResult applied = cluster.Apply("entry-1", Models({"a"}));
  EXPECT_TRUE(applied.exit_code == 3 || applied.exit_code == 5,
              "no entry may accept alone: " + applied.out + applied.err);
  EXPECT_TEXT("not_declared", cluster.Call("entry-1", Chat("a", false)).Code(),
              "what was not accepted is not in force");
}

TEST(FaultsOfKv, RacingOperatorsLoseNothing) {
  ClusterOptions options;
  options.entries = 2;
  Cluster cluster(options);
  ToolResult first;
  ToolResult second;
  std::thread one([&] {
    first = cluster.Tool("entry-1", {"apply", "-f", cluster.directory() + "/one"});
  });
  one.join();  // The directory is missing: a complaint, and nothing accepted.
  EXPECT_NUMBER(2, first.exit_code, first.err);
  const std::string a = cluster.WriteDeclarations(Models({"a"}));
  const std::string b = cluster.WriteDeclarations(Models({"b"}));
  std::thread left([&] { first = cluster.Tool("entry-1", {"apply", "-f", a}); });
  second = cluster.Tool("entry-2", {"apply", "-f", b});
  left.join();
  EXPECT_NUMBER(0, first.exit_code, first.err);
  EXPECT_NUMBER(0, second.exit_code, second.err);
  const json now = json::parse(cluster.Tool("entry-1", {"get"}).out);
  EXPECT_NUMBER(2, now["models"].size(), "changes of disjoint names both stand: " + now.dump());
}

TEST(FaultsOfKv, ASilentWatchDoesNotKeepAChangeOut) {
  ClusterOptions options;
  options.entries = 2;
  Cluster cluster(options);
  cluster.Post("kv", "/control", {{"silence_watches", true}});
  const ToolResult applied = cluster.Apply("entry-1", Models({"a"}));
  EXPECT_NUMBER(0, applied.exit_code, "entry-2 must find the version by asking: " + applied.err);
}

TEST(FaultsOfKv, AnEntryThatStartsInAnOutageLearnsFromAnother) {
  ClusterOptions options;
  options.entries = 2;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  cluster.Post("kv", "/control", {{"mode", "down"}});
  cluster.Kill("entry-2");
  cluster.Start("entry-2");
  EXPECT_TRUE(cluster.WaitReady("entry-2"), "entry-1 can tell it all it needs");
  const Reply reply = cluster.Call("entry-2", Chat("a", false));
  EXPECT_NUMBER(200, reply.status, reply.body);
}

TEST(FaultsOfKv, AnAgentThatStartsInAnOutageServesWhatIsLoaded) {
  ClusterOptions options;
  options.declarations = Models({"a", "b"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  cluster.Post("kv", "/control", {{"mode", "down"}});
  cluster.Kill("agent-1");
  cluster.Start("agent-1");
  cluster.WaitReady("agent-1");
  EXPECT_TRUE(
      Cluster::WaitUntil([&] { return cluster.Call("entry-1", Chat("a", false)).status == 200; }),
      "a model in accelerator memory needs no grant read again");
}

TEST(FaultsOfKv, AFreeingByADeadProcessCannotLandLate) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  boost::asio::io_context io(1);
  HttpClient http(io);
  KvClient kv(http, {cluster.HttpOf("kv")});
  GrantRecord held;
  ReadGrantRecord(kv, "a@1", [&](Result<GrantRecord, KvError> read) { held = read.value(); });
  io.run();
  EXPECT_NUMBER(1, held.slots.size(), "the model has its slot");
  cluster.Kill("agent-1");
  cluster.Start("agent-1");
  cluster.WaitReady("agent-1");
  // What the dead process read and would have written lands only now.
  held.slots.clear();
  bool is_written = true;
  WriteGrantRecord(
      kv, held, [&](Result<GrantWrite, KvError> write) { is_written = write.value().is_written; });
  io.restart();
  io.run();
  EXPECT_TRUE(!is_written, "the new process holds the slot and may load under it");
}

TEST(FaultsOfKv, ALoweredCountTakesReplicasDown) {
  ClusterOptions options;
  options.engines = 2;
  options.engine_flags = {"--token_ms=20"};
  options.agent_settings = {{"max_concurrent", 1}};
  options.declarations = Models({"a"}, 2);
  Cluster cluster(options);
  // A queue at the first replica asks for the second.
  const auto loads = [&] {
    return cluster.Metric("agent-1", "junctionrail_loads_ordered_total") +
           cluster.Metric("agent-2", "junctionrail_loads_ordered_total");
  };
  EXPECT_TRUE(Cluster::WaitUntil(
                  [&] {
                    cluster.CallAll(std::vector<std::pair<std::string, CallSpec>>(
                        24, {"entry-1", Chat("a", false, 8)}));
                    return loads() == 2;
                  },
                  30000),
              "a long queue gets the second declared replica");
  EXPECT_NUMBER(0, cluster.Apply("entry-1", Models({"a"}, 1)).exit_code, "one replica is enough");
  EXPECT_TRUE(Cluster::WaitUntil([&] {
                return cluster.Metric("agent-1", "junctionrail_unloads_total") +
                           cluster.Metric("agent-2", "junctionrail_unloads_total") ==
                       1;
              }),
              "the highest slot drains, unloads and is freed");
}

TEST_GROUP(FaultsOfProcesses){};

TEST(FaultsOfProcesses, AKilledAgentsCallsGoElsewhere) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Models({"a"}, 2);
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  const bool is_first = cluster.Metric("agent-1", "junctionrail_loads_ordered_total") == 1;
  cluster.Kill(is_first ? "agent-1" : "agent-2");
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(200, reply.status,
                "the second slot is free and the call did not run: " + reply.body);
}

TEST(FaultsOfProcesses, AVmThatIsGoneGivesItsSlotBack) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  const bool is_first = cluster.Metric("agent-1", "junctionrail_loads_ordered_total") == 1;
  const std::string gone = is_first ? "agent-1" : "agent-2";
  cluster.Kill(gone);
  cluster.Kill(is_first ? "engine-1" : "engine-2");
  const Reply early = cluster.Call("entry-1", Chat("a", false));
  EXPECT_TEXT("no", early.Json()["error"].value("ran", ""),
              "while the list still shows the VM the slot stands: " + early.body);
  cluster.Post("vmlist", "/v1/vms", {{"vm", gone}, {"state", "gone"}});
  EXPECT_TRUE(
      Cluster::WaitUntil([&] { return cluster.Call("entry-1", Chat("a", false)).status == 200; }),
      "the slot is placed on the VM that is left");
}

TEST(FaultsOfProcesses, AnEngineThatDiesInALoadIsRefusedForAndUsedAgain) {
  ClusterOptions options;
  options.engine_flags = {"--disk_ms_per_gb=500", "--on_disk=a@1"};
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Post("engine-1", "/control", {{"die_after_ms", 200}});
  CallSpec call = Chat("a", false);
  call.headers.push_back({"Junctionrail-Deadline-Ms", "1500"});
  const Reply reply = cluster.Call("entry-1", call);
  EXPECT_NUMBER(503, reply.status, reply.body);
  cluster.Signal("engine-1", SIGKILL);
  cluster.Stop("engine-1");
  cluster.Start("engine-1");
  EXPECT_TRUE(
      Cluster::WaitUntil([&] { return cluster.Call("entry-1", Chat("a", false)).status == 200; }),
      "once the engine is back the model is loaded again");
}

TEST(FaultsOfProcesses, ALoadWhoseAnswerIsLostIsNotOrderedTwice) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Post("engine-1", "/control", {{"lose_load_answers", 1}});
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(200, reply.status, reply.body);
  EXPECT_NUMBER(1, cluster.Get("engine-1", "/counters").value("loads", 0),
                "the engine's index settles what became of the order");
}

TEST(FaultsOfProcesses, AnEngineThatRefusesALoadIsToldToTheCaller) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Post("engine-1", "/control", {{"fail_loads", 1}});
  const Reply reply = cluster.Call("entry-1", Chat("a", false));
  EXPECT_TEXT("load_failed", reply.Code(), reply.body);
  EXPECT_NUMBER(200, cluster.Call("entry-1", Chat("a", false)).status, "the next load succeeds");
}

TEST(FaultsOfProcesses, ModelsThatDoNotFitTogetherTakeTurns) {
  ClusterOptions options;
  options.engine_flags = {"--accelerators=1", "--memory_mb=3000"};
  options.declarations = Models({"a", "b"}, 1, 2000);
  Cluster cluster(options);
  for (const char* it : {"a", "b", "a"}) {
    const Reply reply = cluster.Call("entry-1", Chat(it, false));
    EXPECT_NUMBER(200, reply.status, reply.body);
  }
  EXPECT_NUMBER(0, cluster.Get("engine-1", "/counters").value("overcommits_refused", 0),
                "the ledger never orders beyond the accelerator's memory");
}

TEST(FaultsOfProcesses, AFrozenAgentCostsACallerNoMoreThanItsDeadline) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  cluster.Signal("agent-1", SIGSTOP);
  CallSpec call = Chat("a", false);
  call.headers.push_back({"Junctionrail-Deadline-Ms", "500"});
  const Reply reply = cluster.Call("entry-1", call);
  cluster.Signal("agent-1", SIGCONT);
  EXPECT_NUMBER(504, reply.status, reply.body);
  EXPECT_TEXT("unknown", reply.Json()["error"].value("ran", ""), "it may have been sent");
}

TEST(FaultsOfProcesses, BytesThatAreNoFrameCloseOnlyTheirLink) {
  ClusterOptions options;
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  boost::asio::io_context io(1);
  bool is_closed = false;
  LinkClient client(io, LinkClientCallbacks{[](const std::string&) {},
                                            [](const std::string&, std::string_view) {},
                                            [&](const std::string&, bool) { is_closed = true; }});
  client.Send("agent", cluster.LinkOf("agent-1"), "nonsense");
  Cluster::WaitUntil([&] {
    io.run_for(std::chrono::milliseconds(20));
    return is_closed;
  });
  EXPECT_TRUE(is_closed, "the agent closes the link");
  EXPECT_NUMBER(1, cluster.Metric("agent-1", "junctionrail_bad_frames_total{reason=\"not_cbor\"}"),
                "the reason is counted");
  EXPECT_NUMBER(200, cluster.Call("entry-1", Chat("a", false)).status, "other links go on");
}

TEST(FaultsOfProcesses, ASecondAgentOnAVmCannotRun) {
  ClusterOptions options;
  Cluster cluster(options);
  const std::string command = std::string(cluster.BinaryOf("junctionraild")) +
                              " --settings=" + cluster.directory() + "/agent-1.json 2>/dev/null";
  EXPECT_NUMBER(2, WEXITSTATUS(std::system(command.c_str())), "its port is taken");
}

TEST_GROUP(Once){};

TEST(Once, ARepeatThroughAnotherEntryGetsTheFirstAnswer) {
  Cluster cluster(WithServices(2));
  const std::string key = NewKey(1);
  const Reply first = cluster.Call("entry-1", Order("r", key));
  const Reply second = cluster.Call("entry-2", Order("r", key));
  EXPECT_NUMBER(200, first.status, first.body);
  EXPECT_TEXT(first.body, second.body, "the home of the key answers from its table");
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r") + Ran(cluster, "service-2", "r"), "it ran once");
}

TEST(Once, ARepeatWhileTheFirstRunsIsToldSo) {
  Cluster cluster(WithServices(1));
  const std::string key = NewKey(1);
  const auto replies = cluster.CallAll({{"entry-1", Order("r", key, {{"delay_ms", 500}})},
                                        {"entry-1", Order("r", key, {{"delay_ms", 500}})}});
  std::vector<unsigned> statuses = {replies[0].status, replies[1].status};
  std::sort(statuses.begin(), statuses.end());
  EXPECT_NUMBER(200, statuses[0], replies[0].body);
  EXPECT_NUMBER(409, statuses[1], replies[1].body);
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r"), "it ran once");
}

TEST(Once, AKeyWithAnotherBodyIsRefused) {
  Cluster cluster(WithServices(1));
  const std::string key = NewKey(1);
  cluster.Call("entry-1", Order("r", key));
  const Reply reply = cluster.Call("entry-1", Order("other", key));
  EXPECT_NUMBER(422, reply.status, reply.body);
  EXPECT_NUMBER(0, Ran(cluster, "service-1", "other"), "it did not run");
}

TEST(Once, AServiceThatDiesAfterRunningLeavesTheOutcomeUnknown) {
  Cluster cluster(WithServices(1));
  const std::string key = NewKey(1);
  const Reply first = cluster.Call("entry-1", Order("r", key, {{"die", true}}));
  EXPECT_NUMBER(502, first.status, first.body);
  EXPECT_TEXT("unknown", first.Json()["error"].value("ran", ""), first.body);
  cluster.Stop("service-1");
  cluster.Start("service-1");
  cluster.WaitReady("service-1");
  const Reply second = cluster.Call("entry-2", Order("r", key, {{"die", true}}));
  EXPECT_TEXT("outcome_unknown", second.Code(), second.body);
}

TEST(Once, AnAgentThatLostItsTableNeverRunsAnOldKeyAgain) {
  Cluster cluster(WithServices(1));
  const std::string key = NewKey(1);
  EXPECT_NUMBER(200, cluster.Call("entry-1", Order("r", key)).status, "the first runs");
  cluster.Kill("api-agent-1");
  cluster.Start("api-agent-1");
  cluster.WaitReady("api-agent-1");
  Reply second;
  Cluster::WaitUntil([&] {
    second = cluster.Call("entry-1", Order("r", key));
    return second.Code() == "outcome_unknown";
  });
  EXPECT_TEXT("outcome_unknown", second.Code(), second.body);
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r"), "it ran once");
  EXPECT_NUMBER(200, cluster.Call("entry-1", Order("new", NewKey(2))).status,
                "a key made after the restart cannot have run");
}

TEST(Once, AKeyWhoseHomeIsGoneNeverRunsElsewhere) {
  Cluster cluster(WithServices(2));
  const std::string key = NewKey(1);
  EXPECT_NUMBER(200, cluster.Call("entry-1", Order("r", key)).status, "the first runs");
  const bool is_first = Ran(cluster, "service-1", "r") == 1;
  const std::string home = is_first ? "api-agent-1" : "api-agent-2";
  cluster.Kill(home);
  cluster.Post("vmlist", "/v1/vms", {{"vm", home}, {"state", "gone"}});
  Reply second;
  Cluster::WaitUntil([&] {
    second = cluster.Call("entry-2", Order("r", key));
    return second.Code() == "outcome_unknown";
  });
  EXPECT_TEXT("outcome_unknown", second.Code(), second.body);
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r") + Ran(cluster, "service-2", "r"), "it ran once");
}

TEST(Once, ACallWithoutAKeyIsNotRepeatedWhenItsAgentDies) {
  Cluster cluster(WithServices(1));
  Reply reply;
  std::thread caller([&] {
    reply = cluster.Call("entry-1", Order("r", "", {{"delay_ms", 2000}}));
  });
  Cluster::WaitUntil([&] { return Ran(cluster, "service-1", "r") == 1; });
  cluster.Kill("api-agent-1");
  caller.join();
  EXPECT_NUMBER(502, reply.status, reply.body);
  EXPECT_TEXT("unknown", reply.Json()["error"].value("ran", ""), "it may have run, and it did");
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r"), "it ran once");
}

TEST(Once, ACallWhoseEntryDiesRunsOnAndIsRemembered) {
  Cluster cluster(WithServices(1));
  const std::string key = NewKey(1);
  std::thread caller([&] { cluster.Call("entry-1", Order("r", key, {{"delay_ms", 800}})); });
  Cluster::WaitUntil([&] { return Ran(cluster, "service-1", "r") == 1; });
  cluster.Kill("entry-1");
  caller.join();
  Reply second;
  Cluster::WaitUntil([&] {
    second = cluster.Call("entry-2", Order("r", key, {{"delay_ms", 800}}));
    return second.status == 200;
  });
  EXPECT_NUMBER(200, second.status, second.body);
  EXPECT_NUMBER(1, Ran(cluster, "service-1", "r"), "the repeat got the first run's answer");
}

TEST_GROUP(Streams){};

TEST(Streams, ThatBreakSaySo) {
  ClusterOptions options;
  options.engine_flags = {"--token_ms=30"};
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  for (const int cut : {1, 3, 7}) {
    cluster.Post("engine-1", "/control", {{"die_after_pieces", cut}});
    const Reply reply = cluster.Call("entry-1", Chat("a", true, 20));
    EXPECT_TRUE(reply.body.find("[DONE]") == std::string::npos, "the engine died: " + reply.body);
    const bool is_told = !reply.broken.empty() || reply.status != 200;
    EXPECT_TRUE(is_told, "a cut answer must not look whole: " + reply.body);
    EXPECT_TRUE(reply.body.find("\"error\"") != std::string::npos,
                "the caller gets an explicit error: " + reply.body);
    cluster.Stop("engine-1");
    cluster.Start("engine-1");
    EXPECT_TRUE(
        Cluster::WaitUntil([&] { return cluster.Call("entry-1", Chat("a", false)).status == 200; }),
        "the engine is used again");
  }
}

TEST(Streams, OfACallerThatGoesAwayAreCutAtTheEngine) {
  ClusterOptions options;
  options.engine_flags = {"--token_ms=20"};
  options.declarations = Models({"a"});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  boost::asio::io_context io(1);
  HttpClient client(io);
  const CallSpec chat = Chat("a", true, 500);
  HttpCall call;
  call.endpoint = cluster.HttpOf("entry-1");
  call.method = "POST";
  call.target = chat.target;
  call.body = chat.body;
  HttpCallbacks callbacks;
  std::shared_ptr<HttpCallHandle> handle;
  callbacks.piece = [&](const std::string&) {
    handle->Cancel();
    io.stop();
  };
  handle = client.Start(std::move(call), std::move(callbacks));
  io.run_for(std::chrono::seconds(20));
  EXPECT_TRUE(Cluster::WaitUntil(
                  [&] { return cluster.Get("engine-1", "/counters").value("cancelled", 0) == 1; }),
              "the engine must not go on for nobody");
  EXPECT_NUMBER(0, cluster.Metric("entry-1", "junctionrail_present"), "nothing is left behind");
}

}  // namespace junctionrail::test

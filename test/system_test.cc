// The real programs on real sockets: the whole path, what callers and
// operators may get wrong, and planned stops.
#include <algorithm>
#include <thread>

#include "check.h"
#include "cluster.h"

namespace junctionrail::test {
namespace {

using nlohmann::json;

json Model(const std::string& name, int replicas = 1, int memory_mb = 1024) {
  return {{"name", name}, {"version", "1"}, {"replicas", replicas}, {"memory_mb", memory_mb}};
}

json Declared(const std::vector<json>& models) { return {{"models", models}}; }

}  // namespace

TEST_GROUP(Path){};

TEST(Path, StreamsFromAColdModelAndThenFromItWarm) {
  ClusterOptions options;
  options.entries = 2;
  options.engines = 2;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  const Reply cold = cluster.Call("entry-1", Chat("a", true));
  EXPECT_NUMBER(200, cold.status, cold.body);
  EXPECT_TRUE(cold.body.find("data: [DONE]\n\n") != std::string::npos, "the stream must be whole");
  const Reply warm = cluster.Call("entry-2", Chat("a@1", false));
  EXPECT_NUMBER(200, warm.status, warm.body);
  const double loads = cluster.Metric("agent-1", "junctionrail_loads_ordered_total") +
                       cluster.Metric("agent-2", "junctionrail_loads_ordered_total");
  EXPECT_NUMBER(1, loads, "one replica is declared, and it stays warm");
}

TEST(Path, LoadsAnAdapterAfterItsBase) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Declared({Model("a", 2)});
  json adapter = Model("x", 1, 64);
  adapter["base"] = "a@1";
  options.declarations["adapters"] = {adapter};
  Cluster cluster(options);
  const Reply reply = cluster.Call("entry-1", Chat("x", false));
  EXPECT_NUMBER(200, reply.status, reply.body);
}

TEST(Path, OneLoadServesABurstAtEveryEntry) {
  ClusterOptions options;
  options.entries = 3;
  options.engines = 3;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  std::vector<std::pair<std::string, CallSpec>> calls;
  for (int n = 0; n < 60; ++n) {
    calls.push_back({"entry-" + std::to_string(1 + n % 3), Chat("a", true)});
  }
  const auto replies = cluster.CallAll(calls);
  const auto answered = std::count_if(replies.begin(), replies.end(),
                                      [](const Reply& it) { return it.status == 200; });
  EXPECT_NUMBER(60, answered, "every call of the burst can be served in time");
  double loads = 0;
  for (int n = 1; n <= 3; ++n) {
    loads += cluster.Metric("agent-" + std::to_string(n), "junctionrail_loads_ordered_total");
  }
  EXPECT_NUMBER(1, loads, "one replica is declared: one load for all three entries");
}

TEST(Path, RefusesAtOnceWhatCannotBeReadyInTime) {
  ClusterOptions options;
  options.declarations = Declared({Model("a", 1, 20000)});  // About 30 s from remote.
  Cluster cluster(options);
  CallSpec call = Chat("a", false);
  call.headers.push_back({"Junctionrail-Deadline-Ms", "3000"});
  const Reply reply = cluster.Call("entry-1", call);
  EXPECT_NUMBER(503, reply.status, reply.body);
  EXPECT_TEXT("cold_too_late", reply.Code(), reply.body);
  EXPECT_TEXT("no", reply.Json()["error"].value("ran", ""), "it was never sent");
  EXPECT_TRUE(reply.whole_ms < 2500, "the refusal must not wait for the deadline");
}

TEST(Path, UnloadsAModelNobodyUses) {
  ClusterOptions options;
  options.agent_settings = {{"longest_idle_ms", 200}};
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  EXPECT_TRUE(Cluster::WaitUntil(
                  [&] { return cluster.Metric("agent-1", "junctionrail_unloads_total") == 1; }),
              "longest_idle_ms has passed");
  const Reply again = cluster.Call("entry-1", Chat("a", false));
  EXPECT_NUMBER(200, again.status, "the standing grant lets it be loaded again");
  EXPECT_NUMBER(1, cluster.Metric("entry-1", "junctionrail_grant_writes_total"),
                "waking a granted model writes nothing");
}

TEST(Path, TellsHealthReadinessAndModels) {
  ClusterOptions options;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  for (const char* it : {"/healthz", "/readyz", "/metrics", "/v1/models"}) {
    EXPECT_NUMBER(200, cluster.Call("entry-1", CallSpec{"GET", it, "", {}}).status, it);
  }
  EXPECT_TEXT("a@1", cluster.Get("entry-1", "/v1/models")["data"][0].value("id", ""),
              "declared models are listed by key");
}

TEST_GROUP(CallerInput){};

TEST(CallerInput, IsToldWhatIsWrongAndTheEntryGoesOn) {
  ClusterOptions options;
  options.entry_settings = {{"max_body_bytes", 2000}};
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  struct Wrong {
    CallSpec call;
    unsigned status;
    std::string code;
  };
  CallSpec bad_number = Chat("a", false);
  bad_number.headers.push_back({"Junctionrail-Deadline-Ms", "soon"});
  CallSpec bad_class = Chat("a", false);
  bad_class.headers.push_back({"Junctionrail-Priority", "urgent"});
  CallSpec big = Chat("a", false);
  big.body = std::string(5000, ' ');
  CallSpec no_json = Chat("a", false);
  no_json.body = "{";
  CallSpec no_model = Chat("a", false);
  no_model.body = "{\"model\": 5}";
  CallSpec no_path = Chat("a", false);
  no_path.target = "/v2/none";
  CallSpec no_service = Chat("a", false);
  no_service.target = "/services/none/x";
  CallSpec get = Chat("a", false);
  get.method = "GET";
  const std::vector<Wrong> all = {
      {bad_number, 400, "bad_request"}, {bad_class, 400, "bad_request"},
      {big, 413, "bad_request"},        {no_json, 400, "bad_request"},
      {no_model, 400, "bad_request"},   {Chat("none", false), 404, "not_declared"},
      {no_path, 404, "not_found"},      {no_service, 404, "not_declared"},
      {get, 405, "method_not_allowed"}};
  for (const auto& it : all) {
    const Reply reply = cluster.Call("entry-1", it.call);
    EXPECT_NUMBER(it.status, reply.status, it.call.body + " " + reply.body);
    EXPECT_TEXT(it.code, reply.Code(), reply.body);
  }
  EXPECT_NUMBER(200, cluster.Call("entry-1", Chat("a", false)).status, "the entry must go on");
}

TEST(CallerInput, ThatIsNoHttpIsRefused) {
  ClusterOptions options;
  Cluster cluster(options);
  const Endpoint http = cluster.HttpOf("entry-1");
  const std::string command =
      "printf 'NONSENSE\\r\\n\\r\\n' | timeout 5 bash -c 'exec 3<>/dev/tcp/" + http.address + "/" +
      std::to_string(http.port) + "; cat >&3; head -c 12 <&3' > " + cluster.directory() + "/raw";
  const int code = std::system(command.c_str());
  EXPECT_NUMBER(0, code, "the entry must answer and close");
  const std::string check = "grep -q 'HTTP/1.1 400' " + cluster.directory() + "/raw";
  EXPECT_NUMBER(0, std::system(check.c_str()), "bad HTTP is a 400");
}

TEST_GROUP(Tool){};

TEST(Tool, ShowsTheDifferenceAndSaysWhenItIsInForce) {
  ClusterOptions options;
  options.entries = 2;
  Cluster cluster(options);
  const std::string directory = cluster.WriteDeclarations(Declared({Model("a")}));
  const ToolResult diff = cluster.Tool("entry-1", {"diff", "-f", directory});
  EXPECT_TEXT("+ a@1\n", diff.out, diff.err);
  const ToolResult applied = cluster.Tool("entry-1", {"apply", "-f", directory});
  EXPECT_NUMBER(0, applied.exit_code, applied.err);
  EXPECT_TRUE(applied.out.find("in force at all 2 entries") != std::string::npos, applied.out);
  const ToolResult again = cluster.Tool("entry-2", {"apply", "-f", directory});
  EXPECT_TEXT("no difference from version 1\n", again.out, "nothing to accept a second time");
  const ToolResult get = cluster.Tool("entry-2", {"get"});
  EXPECT_NUMBER(1, json::parse(get.out).value("version", 0), get.out);
}

TEST(Tool, DeletesOnlyWhenAskedTo) {
  ClusterOptions options;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  const json other = Declared({Model("b")});
  EXPECT_TEXT("+ b@1\n",
              cluster.Tool("entry-1", {"diff", "-f", cluster.WriteDeclarations(other)}).out,
              "what is not named stays");
  const ToolResult pruned = cluster.Apply("entry-1", other, {"--prune"});
  EXPECT_TRUE(pruned.out.find("- a@1") != std::string::npos, pruned.out);
  EXPECT_TEXT("not_declared", cluster.Call("entry-1", Chat("a", false)).Code(), "a is gone");
}

TEST(Tool, ExitCodesTellScriptsWhatHappened) {
  ClusterOptions options;
  Cluster cluster(options);
  const std::string wrong =
      cluster.WriteDeclarations({{"models", {{{"name", "a"}, {"version", "1"}}}}});
  const ToolResult checked = cluster.Tool("entry-1", {"check", "-f", wrong});
  EXPECT_NUMBER(2, checked.exit_code, "a wrong declaration is bad input");
  EXPECT_TRUE(checked.err.find("all.json: models[0].replicas: expected an integer from 0 to 10000, "
                               "found nothing") != std::string::npos,
              checked.err);
  EXPECT_NUMBER(2, cluster.Tool("entry-1", {"dance"}).exit_code, "an unknown command");
  EXPECT_NUMBER(1, cluster.Tool("entry-1", {"drain", "none"}).exit_code, "an unknown VM");
  EXPECT_NUMBER(1, cluster.Tool("entry-1", {"why", "request", "none"}).exit_code, "no record");
  cluster.Kill("entry-1");
  EXPECT_NUMBER(3, cluster.Tool("entry-1", {"status"}).exit_code, "the entry is away");
}

TEST(Tool, ExplainsAColdStartARefusalAndAPlacement) {
  ClusterOptions options;
  options.entries = 2;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false));
  const ToolResult model = cluster.Tool("entry-2", {"why", "model", "a@1"});
  for (const char* it : {"placed on agent-1", "load ordered for", "loaded"}) {
    EXPECT_TRUE(model.out.find(it) != std::string::npos, model.out);
  }
  const Reply refused = cluster.Call("entry-1", Chat("none", false));
  const std::string id = refused.Json()["error"].value("request_id", "");
  const ToolResult why = cluster.Tool("entry-2", {"why", "request", id});
  EXPECT_TRUE(why.out.find("refused, not_declared") != std::string::npos, why.out + why.err);
}

TEST(Tool, ReportsABurnThatAgreesWithWhatWasSent) {
  ClusterOptions options;
  options.entries = 2;
  options.engine_flags = {"--first_token_ms=60"};
  json model = Model("a");
  model["objectives"] = {{"first_token_ms", 30}};
  options.declarations = Declared({model});
  Cluster cluster(options);
  for (int n = 0; n < 4; ++n) cluster.Call("entry-1", Chat("a", false, 1));
  for (int n = 0; n < 3; ++n) cluster.Call("entry-2", Chat("a", false, 1));
  CallSpec hopeless = Chat("a", false, 1);
  hopeless.headers.push_back({"Junctionrail-Deadline-Ms", "20"});
  cluster.Call("entry-2", hopeless);
  const ToolResult report = cluster.Tool("entry-1", {"report", "burn", "a@1", "--output=json"});
  const json window = json::parse(report.out)["keys"][0]["windows"][0];
  const json causes = window["by_cause"];
  EXPECT_TEXT("0", causes[0].get<std::string>(), "no first token within 30 ms: " + report.out);
  EXPECT_TEXT("1", causes[1].get<std::string>(), "one call waited for the load: " + report.out);
  EXPECT_TEXT("6", causes[2].get<std::string>(), "six were slow and warm: " + report.out);
  EXPECT_TEXT("1", causes[6].get<std::string>(), "one met its deadline: " + report.out);
  DOUBLES_EQUAL(20.0, window.value("first_token_rate", 0.0), 0.001);
  EXPECT_TRUE(cluster.Tool("entry-1", {"report", "burn", "--output=html"}).out.find("<svg") !=
                  std::string::npos,
              "the page carries its plots");
}

TEST_GROUP(Stops){// Stops a process while a stream passes through it; the stream must be whole.
                  static void StopUnderAStream(Cluster & cluster, const std::string& name){
                      cluster.Call("entry-1", Chat("a", false, 1));
Reply reply;
std::thread caller([&] { reply = cluster.Call("entry-1", Chat("a", true, 10)); });
Cluster::WaitUntil([&] { return cluster.Metric("agent-1", "junctionrail_present") == 1; });
const int code = cluster.Stop(name);
caller.join();
EXPECT_NUMBER(0, code, "a planned stop ends well");
EXPECT_TRUE(reply.body.find("[DONE]") != std::string::npos,
            "the stream must be whole: " + reply.body);
}  // namespace junctionrail::test

static ClusterOptions SlowTokens() {
  ClusterOptions options;
  options.engine_flags = {"--token_ms=100"};
  options.declarations = Declared({Model("a")});
  return options;
}
}
;

TEST(Stops, OfAnEntryCutNoRequest) {
  Cluster cluster(SlowTokens());
  StopUnderAStream(cluster, "entry-1");
}

TEST(Stops, OfAnAgentCutNoRequestAndLeaveItsModelsForTheNext) {
  Cluster cluster(SlowTokens());
  StopUnderAStream(cluster, "agent-1");
  cluster.Start("agent-1");
  cluster.WaitReady("agent-1");
  EXPECT_TRUE(Cluster::WaitUntil(
                  [&] { return cluster.Call("entry-1", Chat("a", false, 1)).status == 200; }),
              "the next process serves what is loaded");
  EXPECT_NUMBER(1, cluster.Get("engine-1", "/counters").value("loads", 0),
                "nothing is loaded twice");
}

TEST(Stops, OfAVmThatTheListCallsLeavingGetNoNewWork) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Declared({Model("a", 2)});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false, 1));
  const bool is_first = cluster.Metric("agent-1", "junctionrail_loads_ordered_total") == 1;
  const std::string leaving = is_first ? "agent-1" : "agent-2";
  const std::string engine = is_first ? "engine-1" : "engine-2";
  const auto completions = [&] { return cluster.Get(engine, "/counters").value("completions", 0); };
  cluster.Post("vmlist", "/v1/vms", {{"vm", leaving}, {"state", "leaving"}});
  EXPECT_TRUE(
      Cluster::WaitUntil([&] { return cluster.Get(engine, "/counters").value("unloads", 0) == 1; }),
      "a VM that leaves gives its memory back");
  const int before = completions();
  int answered = 0;
  for (int n = 0; n < 10; ++n) {
    answered += cluster.Call("entry-1", Chat("a", false, 1)).status == 200 ? 1 : 0;
  }
  EXPECT_NUMBER(10, answered, "the other upstream takes over");
  EXPECT_NUMBER(before, completions(), "nothing more reaches the one that leaves");
}

TEST(Stops, OfADrainedUpstreamMoveItsModels) {
  ClusterOptions options;
  options.engines = 2;
  options.declarations = Declared({Model("a")});
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("a", false, 1));
  const bool is_first = cluster.Metric("agent-1", "junctionrail_loads_ordered_total") == 1;
  const std::string leaving = is_first ? "agent-1" : "agent-2";
  EXPECT_NUMBER(0, cluster.Tool("entry-1", {"drain", leaving}).exit_code, "the agent is known");
  EXPECT_TRUE(Cluster::WaitUntil(
                  [&] { return cluster.Call("entry-1", Chat("a", false, 1)).status == 200; }),
              "the slot is freed and placed on the other upstream");
  const std::string engine = is_first ? "engine-1" : "engine-2";
  EXPECT_NUMBER(1, cluster.Get(engine, "/counters").value("unloads", 0),
                "a leaving upstream gives its memory back");
}

}  // namespace junctionrail::test

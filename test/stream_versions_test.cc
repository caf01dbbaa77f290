// Regression tests for an incident with streams that hold events of two software versions.
//
// On one fleet 50 streams in one day went on at another software version of their upstream than the
// one that began them: their callers had taken them up again after a broken connection, through
// other entries. What two versions write does not fit together, and upstreams do not check it.
// An entry did not read the version of an upstream's software, chose any upstream for a stream that
// goes on, within a response too, and nothing told it where another entry's stream had begun.
// The tests below failed before this was fixed.
#include "check.h"
#include "direct_fleet.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::internal {
namespace {

using testing::Chunk;
using testing::DirectFleet;
using testing::HasText;
using testing::RunFor;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::StandinStore;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::uint16_t kPort = 8150;
constexpr std::uint16_t kLinkPort = 8250;
constexpr int kEvents = 8;
constexpr DurationMs kEventMs = 15;
// Enough that a choice by chance does not pass.
constexpr int kStreams = 10;

constexpr char kServices[] = R"("services":[{"name":"s1","maxConns":100,"engine":{
   "weightsMb":100.0,"adapterSlots":2,"diskMb":1000.0,"models":[{"name":"m1","weightsMb":60.0,
   "loadTimeS":6.0,"warmS":0.5,"diskS":0.8}]}},{"name":"s2","maxConns":100,"engine":{
   "weightsMb":100.0,"adapterSlots":2,"diskMb":1000.0,"models":[{"name":"m1","weightsMb":60.0,
   "loadTimeS":6.0,"warmS":0.5,"diskS":0.8}]}}]})";

std::string Configuration(const std::string& target) {
  return R"({"version":1,"routes":[{"name":"r1","hostname":"shop.example","pathPrefix":"/s/",
    "kind":"streaming","timeoutMs":6000,"targetLatencyMs":1000,"gapAimMs":500,"priority":1,)" +
         target + R"(,"maxAttempts":3,"resumable":true}],)" + kServices;
}

// An upstream that a test adds is listed by all entries within this time.
constexpr DurationMs kListedMs = 2500;

// What an entry tells of its streams has arrived within this time.
constexpr DurationMs kReportedMs = 700;

// Engines of several software versions that have the model loaded, each with an agent, and the
// entries that a test adds. Each event of an engine names its service and version.
struct World : DirectFleet {
  explicit World(const std::string& target = R"("service":"s1")") : DirectFleet(kPort, kLinkPort) {
    store.Put("op/config", Configuration(target));
  }
  ~World() override { Stop(); }

  // An engine of that version, and its agent.
  void AddEngine(const std::string& version, const std::string& service = "s1") {
    const std::size_t n = engines.size();
    const std::string label = service + "/" + version;
    engines.push_back(std::make_unique<ScriptedUpstream>(
        io, [this, label](const SeenRequest& it, const Peer& peer) { Handle(label, it, peer); },
        EngineAddress(n)));
    instances.push_back("i-" + std::to_string(n));
    PutRecord(instances.back(), n, service, version);
    AddAgent(n);
  }

  void RemoveEngine(std::size_t n) {
    store.Remove("servers/" + instances[n]);
    engines[n]->Crash();
  }

  void Handle(const std::string& label, const SeenRequest& request, const Peer& peer) {
    if (AnswerReport(request, peer)) return;
    const std::string id = request.Field("Attempt-Id");
    const std::string last = request.Field("Last-Event-Id");
    const int next = last == "(none)" ? 1 : std::atoi(last.c_str()) + 1;
    peer->Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    // A body asks the first upstream to break off.
    Stream(label, next, request.body == kBreaksOff && next == 1, peer);
  }

  void Stream(const std::string& label, int next, bool breaks_off, const Peer& peer) {
    if (peer->IsEnded()) return;
    if (next > kEvents) return peer->Write("0\r\n\r\n");
    if (breaks_off && next > kEvents / 2) return peer->Reset();
    peer->Write(Chunk("id: " + std::to_string(next) + "\ndata: " + label + "\n\n"));
    After(kEventMs,
          [this, label, next, breaks_off, peer] { Stream(label, next + 1, breaks_off, peer); });
  }

  std::string Request(const std::string& id, const std::string& fields,
                      const std::string& body = "x") const {
    return "POST /s/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
           "\r\nModel: m1\r\nDeadline-Ms: 6000\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
           body;
  }

  // Reads the first events of a new stream at that entry and leaves it; returns what came.
  std::string Begin(const Endpoint& entry, const std::string& id) {
    TestCaller caller(io, entry);
    caller.Send(Request(id, ""));
    EXPECT_TRUE(caller.AwaitText("id: 2\ndata: "), "two events of " + id + " arrive");
    caller.Close();
    return caller.received();
  }

  // Returns a new entry's address after all others have ended.
  Endpoint ReplaceEntries() {
    const std::size_t n = places_used_;
    while (!entries.empty()) StopEntry(0);
    ++places_used_;
    AddEntry(EntrySettings(n));
    return EntryAddress(n);
  }

  // An empty name of the request that began the stream is not sent.
  std::string Resume(const Endpoint& entry, const std::string& id, const std::string& begun) {
    const std::string resumes = begun.empty() ? "" : "Resumes: " + begun + "\r\n";
    TestCaller caller(io, entry);
    caller.Send(Request(id, "Last-Event-Id: 2\r\n" + resumes));
    caller.AwaitEnd();
    return caller.received();
  }

  static constexpr char kBreaksOff[] = "breaks off";

  std::vector<std::string> instances;
  std::vector<std::unique_ptr<ScriptedUpstream>> engines;

 private:
  std::size_t places_used_ = 2;  // Of entries; tests add at most two.
};

// The service and version that sent the last event.
std::string LabelOf(const std::string& answer) {
  const std::size_t at = answer.rfind("data: ");
  if (at == std::string::npos) return "";
  return answer.substr(at + 6, answer.find('\n', at) - at - 6);
}

constexpr char kRecordedKey[] = "stream-versions/s1";

bool IsRefusedAsUnknown(const std::string& answer) {
  return HasText(answer, " 503 ") && HasText(answer, "unknown_origin") &&
         HasText(answer, "\"ran\":\"no\"");
}

std::string Name(const std::string& kind, int n) { return kind + std::to_string(n); }

}  // namespace

TEST_GROUP(StreamVersions){};

// Guards against streams that go on at another version within one response.
TEST(StreamVersions, GoOnWithinAResponseOnlyAtTheVersionThatBeganThem) {
  World world;
  for (const char* version : {"v1", "v1", "v2", "v2"}) world.AddEngine(version);
  world.AddEntry();
  for (int n = 0; n < kStreams; ++n) {
    TestCaller caller(world.io, world.EntryAddress(0));
    caller.Send(world.Request(Name("a", n), "", World::kBreaksOff));
    caller.AwaitEnd();
    const std::string& answer = caller.received();
    EXPECT_TRUE(HasText(answer, "id: 8\n"), "expected the whole stream, got " + answer);
    const bool is_mixed = HasText(answer, "s1/v1") && HasText(answer, "s1/v2");
    EXPECT_TRUE(!is_mixed, "expected events of one version, got " + answer);
  }
}

// Guards against streams that go on at another version when callers resume them elsewhere.
TEST(StreamVersions, GoOnThroughAnotherEntryOnlyAtTheVersionThatBeganThem) {
  World world;
  for (const char* version : {"v1", "v1", "v2", "v2"}) world.AddEngine(version);
  world.AddEntry();
  world.AddEntry();
  for (int n = 0; n < kStreams; ++n) {
    const std::string begun = LabelOf(world.Begin(world.EntryAddress(0), Name("a", n)));
    const std::string answer = world.Resume(world.EntryAddress(1), Name("b", n), Name("a", n));
    EXPECT_TRUE(HasText(answer, "id: 8\n"), "expected the rest of the stream, got " + answer);
    EXPECT_TEXT(begun, LabelOf(answer), "goes on at the version that began it");
  }
}

// Guards against origins that only the entry knew which began the stream.
TEST(StreamVersions, GoOnAtTheirVersionAfterTheEntryThatBeganThemHasEnded) {
  World world;
  for (const char* version : {"v1", "v1", "v2", "v2"}) world.AddEngine(version);
  world.AddEntry();
  world.AddEntry();
  std::vector<std::string> begun;
  for (int n = 0; n < kStreams; ++n) {
    begun.push_back(LabelOf(world.Begin(world.EntryAddress(0), Name("a", n))));
  }
  RunFor(world.io, kReportedMs);
  world.StopEntry(0);
  for (int n = 0; n < kStreams; ++n) {
    const std::string answer = world.Resume(world.EntryAddress(1), Name("b", n), Name("a", n));
    EXPECT_TEXT(begun[static_cast<std::size_t>(n)], LabelOf(answer), answer);
  }
}

// Guards against a choice by the versions that serve now, when a stream began before the second.
TEST(StreamVersions, GoOnAtTheFirstVersionIfTheSecondCameAfterTheBreak) {
  World world;
  world.AddEngine("v1");
  world.AddEngine("v1");
  world.AddEntry();
  world.AddEntry();
  for (int n = 0; n < kStreams; ++n) world.Begin(world.EntryAddress(0), Name("a", n));
  RunFor(world.io, kReportedMs);
  world.StopEntry(0);
  for (int n = 0; n < 3; ++n) world.AddEngine("v2");
  RunFor(world.io, kListedMs);
  for (int n = 0; n < kStreams; ++n) {
    const std::string answer = world.Resume(world.EntryAddress(1), Name("b", n), Name("a", n));
    EXPECT_TEXT("s1/v1", LabelOf(answer), answer);
  }
}

// Guards against streams that wait, or go on elsewhere, once their version serves no more.
TEST(StreamVersions, AreRefusedAtOnceOnceTheirVersionHasLeft) {
  World world;
  for (const char* version : {"v1", "v2"}) world.AddEngine(version);
  world.AddEntry();
  world.AddEntry();
  std::string begun;
  for (int n = 0; n < kStreams && begun.empty(); ++n) {
    const std::string label = LabelOf(world.Begin(world.EntryAddress(0), Name("a", n)));
    if (label == "s1/v1") begun = Name("a", n);
  }
  EXPECT_TRUE(!begun.empty(), "a stream begins at v1");
  RunFor(world.io, kReportedMs);
  world.RemoveEngine(0);
  RunFor(world.io, kListedMs);
  const TimeMs began_at = MonotonicMs();
  const std::string answer = world.Resume(world.EntryAddress(1), "b", begun);
  EXPECT_TRUE(HasText(answer, " 503 ") && HasText(answer, "\"ran\":\"no\"") &&
                  HasText(answer, "version_gone"),
              answer);
  EXPECT_TRUE(MonotonicMs() - began_at < 1000, "the refusal does not wait for the deadline");
}

// Guards against an unknown origin that is taken for any.
TEST(StreamVersions, AreRefusedIfTheirOriginIsUnknown) {
  World world;
  for (const char* version : {"v1", "v2"}) world.AddEngine(version);
  world.AddEntry();
  for (const char* begun : {"never-seen", ""}) {
    const std::string answer = world.Resume(world.EntryAddress(0), "b", begun);
    EXPECT_TRUE(HasText(answer, " 503 ") && HasText(answer, "unknown_origin") &&
                    HasText(answer, "Retry-After"),
                answer);
  }
}

// Guards against refusals where all streams began at one version, whoever has forgotten them.
TEST(StreamVersions, GoOnAtTheOnlyVersionThatIsRecorded) {
  World world;
  world.AddEngine("v1");
  world.AddEntry();
  const std::string answer = world.Resume(world.EntryAddress(0), "b", "forgotten");
  EXPECT_TRUE(HasText(answer, "id: 8\n"), answer);
}

// Guards against an entry that has seen one version only because it has been cut off.
TEST(StreamVersions, AreRefusedByAnEntryThatIsCutOffFromThoseWhoKnow) {
  World world;
  world.AddEngine("v1");
  Settings settings = world.EntrySettings(0);
  settings.direct->link_port = kLinkPort + 1;  // No agent listens there.
  world.AddEntry(settings);
  world.store.mood = StandinStore::Mood::kBusy;
  world.AddEngine("v2");
  const std::string answer = world.Resume(world.EntryAddress(0), "b", "a");
  EXPECT_TRUE(HasText(answer, " 503 ") && HasText(answer, "unknown_origin"), answer);
}

// Guards against a new draw of the service by the id of the request that resumes the stream.
TEST(StreamVersions, GoOnAtTheServiceThatBeganThemOnAWeightedRoute) {
  World world(R"("trafficSplit":[{"service":"s1","weight":1},{"service":"s2","weight":1}])");
  for (const char* service : {"s1", "s2"}) world.AddEngine("v1", service);
  world.AddEntry();
  world.AddEntry();
  for (int n = 0; n < kStreams; ++n) {
    const std::string begun = LabelOf(world.Begin(world.EntryAddress(0), Name("a", n)));
    RunFor(world.io, kReportedMs);
    const std::string answer = world.Resume(world.EntryAddress(1), Name("b", n), Name("a", n));
    EXPECT_TEXT(begun, LabelOf(answer), answer);
  }
}

// Guards against entries that start after all others have ended and take any version for the
// stream's.
TEST(StreamVersions, KeepTheirVersionAfterAllEntriesHaveEnded) {
  World world;
  for (const char* version : {"v1", "v2"}) world.AddEngine(version);
  world.AddEntry();
  world.AddEntry();
  std::vector<std::string> begun;
  for (int n = 0; n < kStreams; ++n) {
    begun.push_back(LabelOf(world.Begin(world.EntryAddress(n % 2 == 0 ? 0 : 1), Name("a", n))));
  }
  RunFor(world.io, kReportedMs);
  const Endpoint entry = world.ReplaceEntries();
  for (int n = 0; n < kStreams; ++n) {
    const std::string answer = world.Resume(entry, Name("b", n), Name("a", n));
    EXPECT_TEXT(begun[static_cast<std::size_t>(n)], LabelOf(answer), answer);
    const std::string without_id = world.Resume(entry, Name("c", n), "");
    EXPECT_TRUE(IsRefusedAsUnknown(without_id), without_id);
  }
}

// Guards against an inference from the one version that still serves after all entries have ended.
TEST(StreamVersions, AreRefusedIfTheirVersionLeftBeforeAllEntriesEnded) {
  World world;
  for (const char* version : {"v1", "v2"}) world.AddEngine(version);
  world.AddEntry();
  world.AddEntry();
  RunFor(world.io, kReportedMs);
  world.RemoveEngine(0);
  RunFor(world.io, kListedMs);
  const Endpoint entry = world.ReplaceEntries();
  for (const char* begun : {"forgotten", ""}) {
    const std::string answer = world.Resume(entry, "b", begun);
    EXPECT_TRUE(IsRefusedAsUnknown(answer), answer);
  }
}

// Guards against recorded versions that cannot be read and count as none.
TEST(StreamVersions, AreRefusedIfTheRecordedVersionsAreMalformed) {
  World world;
  world.store.Put(kRecordedKey, R"({"versions":"v1")");
  world.AddEngine("v2");
  world.AddEntry();
  RunFor(world.io, kListedMs);
  for (const char* begun : {"forgotten", ""}) {
    const std::string answer = world.Resume(world.EntryAddress(0), "b", begun);
    EXPECT_TRUE(IsRefusedAsUnknown(answer), answer);
  }
}

// Guards against the service that the route names now being taken for the one that began the
// stream.
TEST(StreamVersions, AreRefusedIfTheServiceOfTheirRouteHasChanged) {
  World world;
  for (const char* service : {"s1", "s2"})
    world.AddEngine(service[1] == '1' ? "v1" : "v2", service);
  world.AddEntry();
  EXPECT_TEXT("s1/v1", LabelOf(world.Begin(world.EntryAddress(0), "a")), "begins at s1");
  RunFor(world.io, kReportedMs);
  std::string changed = Configuration(R"("service":"s2")");
  changed.replace(changed.find("\"version\":1"), 11, "\"version\":2");
  world.store.Put("op/config", changed);
  RunFor(world.io, kListedMs);
  EXPECT_TEXT("s2/v2", LabelOf(world.Begin(world.EntryAddress(0), "c")), "the route has changed");
  const Endpoint entry = world.ReplaceEntries();
  const std::string answer = world.Resume(entry, "b", "");
  EXPECT_TRUE(IsRefusedAsUnknown(answer), answer);
}

}  // namespace junctionrail::internal

// The adapter to the users' platform: its documents, and its store over real
// sockets against the stand-in.
#include "platform.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "check.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::platform {
namespace {

using testing::QuietLog;
using testing::RunFor;
using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::StandinStore;

constexpr char kConfiguration[] = R"({"version":7,
  "routes":[
    {"name":"r1","hostname":"shop.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":15000,
     "targetLatencyMs":400,"priority":1,"trafficSplit":[{"service":"s1","weight":90},
     {"service":"s2","weight":10}],"maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300},
    {"name":"r2","hostname":"shop.example","pathPrefix":"/b/","kind":"non_idempotent",
     "timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"s2","maxAttempts":1}],
  "services":[
    {"name":"s1","healthPath":"/health","maxConns":360,"engine":{"weightsMb":230000.0,
     "adapterSlots":8,"diskMb":1300000.0,"models":[{"name":"m1","weightsMb":72700.0,
     "loadTimeS":6.0,"adapters":28,"adapterMb":66.0,"warmS":0.47,"diskS":0.84}]}},
    {"name":"s2","healthPath":"/health","maxConns":96}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000}, "new_field":1})";

std::string Configuration(int version) {
  std::string text = kConfiguration;
  return text.replace(text.find("7"), 1, std::to_string(version));
}

constexpr char kUpstream[] =
    R"({"service":"s1","address":"10.1.0.40:8145","zone":"hall-1","version":"v1","slots":64,
        "state":"ready","coldRemainingMs":0,"models":[{"name":"m1","version":1,
        "adapters":["a1","a2"]}],"sequence":4})";

}  // namespace

TEST_GROUP(Notices){};

TEST(Notices, TellALimitARestAndThatTheUpstreamLeaves) {
  const auto limit = ReadNotice(200, {{"server-limit", "2.3"}});
  EXPECT_TRUE(limit.limit_per_s == 2.3 && limit.malformed.empty(), "2.3 requests a second");
  const auto rest = ReadNotice(503, {{"Not-Executed", "1"}, {"Retry-After", "0.25"}});
  EXPECT_NUMBER(250, rest.backoff_ms, "milliseconds of rest");
  EXPECT_TRUE(ReadNotice(200, {{"Server-Leaving", "1"}}).is_leaving, "it leaves");
}

TEST(Notices, AreNoneWhereAnAnswerSaysNothing) {
  const auto notice = ReadNotice(200, {{"Retry-After", "3"}, {"Server-Leaving", "0"}});
  EXPECT_TRUE(!notice.limit_per_s && !notice.is_leaving, "neither a limit nor that it leaves");
  EXPECT_NUMBER(0, notice.backoff_ms, "only a refusal asks for a rest");
}

TEST(Notices, ThatCannotBeReadAreNamedAndChangeNothing) {
  for (const char* text : {"", "-1", "two", "1e999", "nan", "3 s", "Wed, 21 Oct 2026 07:28:00"}) {
    const auto limit = ReadNotice(200, {{"Server-Limit", text}});
    EXPECT_TRUE(!limit.limit_per_s, text);
    EXPECT_TRUE(limit.malformed.find("Server-Limit") == 0, limit.malformed);
    const auto rest = ReadNotice(503, {{"Retry-After", text}});
    EXPECT_NUMBER(0, rest.backoff_ms, text);
    EXPECT_TRUE(rest.malformed.find("Retry-After") == 0, rest.malformed);
  }
  EXPECT_NUMBER(3600000, ReadNotice(503, {{"Retry-After", "1e300"}}).backoff_ms, "an hour at most");
}

TEST_GROUP(Documents){};

TEST(Documents, BecomeRoutesServicesAndLimits) {
  const auto decoded = DecodeConfiguration(kConfiguration);
  EXPECT_TRUE(decoded.has_value(), decoded ? "" : decoded.error().sentence);
  const RoutingConfiguration& configuration = decoded.value();
  EXPECT_NUMBER(7, configuration.version, "");
  const Route& stream = configuration.routes.at(0);
  EXPECT_TRUE(stream.kind == RequestKind::kStreaming && stream.is_resumable,
              "a stream that may go on");
  EXPECT_NUMBER(2300, stream.caller_timeout_ms, "eight pauses of 300 ms, less a margin");
  EXPECT_NUMBER(10, stream.traffic_split.at(1).weight, "");
  const Route& once = configuration.routes.at(1);
  EXPECT_TRUE(once.kind == RequestKind::kNonIdempotent && !once.IsRetryable(), "at most once");
  EXPECT_TEXT("s2", once.traffic_split.at(0).service, "a route without a split");
  const ModelSpec& model = configuration.services.at(0).engine->models.at(0);
  EXPECT_NUMBER(72700, model.size_mb, "the model's weights");
  EXPECT_NUMBER(230000, configuration.services.at(0).engine->accelerator_mb, "the engine's room");
  EXPECT_NUMBER(840, model.disk_load_ms, "seconds become milliseconds");
  EXPECT_NUMBER(3000, configuration.limits.header_timeout_ms, "");
}

TEST(Documents, ThatAreMalformedNameTheField) {
  const auto missing =
      DecodeConfiguration(R"({"version":1,"routes":[{"name":"r"}],"services":[]})");
  EXPECT_TEXT("hostname: expected a text", missing.error().sentence, "");
  std::string kind = kConfiguration;
  kind.replace(kind.find("streaming"), 9, "something");
  EXPECT_TEXT("kind: expected idempotent, non_idempotent or streaming",
              DecodeConfiguration(kind).error().sentence, "");
  EXPECT_TEXT("expected a JSON object", DecodeConfiguration("[").error().sentence, "");
  EXPECT_TEXT("address: expected an IP number and a port",
              DecodeUpstream("i", R"({"service":"s","address":"x"})", 1).error().sentence, "");
}

namespace {

std::string WithTenants(const std::string& tenants) {
  std::string text = kConfiguration;
  return text.replace(text.find("\"new_field\":1"), 13, "\"tenants\":" + tenants);
}

std::string TenantsComplaint(const std::string& tenants) {
  const auto decoded = DecodeConfiguration(WithTenants(tenants));
  return decoded ? "" : decoded.error().sentence;
}

}  // namespace

TEST(Documents, BecomeOrganisationsWhoseKeysAreKeptAsDigests) {
  EXPECT_TRUE(!DecodeConfiguration(kConfiguration).value().organisations, "no key is asked for");
  const auto decoded = DecodeConfiguration(WithTenants(
      R"([{"name":"o1","apiKeys":["k1","k2"],"priority":3,"unit":"tokens","plainTokens":200,
           "ratePerS":99468,"burst":1.5},{"name":"o2","apiKeys":[]},{"name":"o3"}])"));
  EXPECT_TRUE(decoded.has_value(), decoded ? "" : decoded.error().sentence);
  const OrganisationTable& table = *decoded.value().organisations;
  const Organisation* first = table.FindByKey(DigestOfKey("k2"));
  EXPECT_TRUE(first != nullptr && first->name == "o1" && first->priority == 3, "its second key");
  EXPECT_TRUE(first->quota.unit == QuotaUnit::kTokens && first->quota.default_tokens == 200 &&
                  first->quota.rate_per_s == 99468 && first->quota.burst == 1.5,
              "its limit");
  const Organisation& second = table.all().at(1);
  EXPECT_TRUE(!second.quota.IsLimited() && !second.priority, "none is none");
  EXPECT_NUMBER(0, DecodeConfiguration(WithTenants("[]")).value().organisations->all().size(),
                "keys are asked for, and there are none");
}

TEST(Documents, WithOrganisationsThatAreMalformedNameTheField) {
  EXPECT_TEXT("tenants: expected an array of tenants", TenantsComplaint("{}"), "");
  EXPECT_TEXT("name: expected a text", TenantsComplaint(R"([{"apiKeys":[]}])"), "");
  EXPECT_TEXT("name: expected printable characters without blanks",
              TenantsComplaint(R"([{"name":"a\r\nb"}])"), "it goes on as a header's value");
  EXPECT_TEXT("apiKeys: expected an array of texts",
              TenantsComplaint(R"([{"name":"a","apiKeys":[7]}])"), "");
  EXPECT_TEXT("apiKeys: expected each key at one tenant",
              TenantsComplaint(R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])"),
              "whose it is cannot be told");
  EXPECT_TEXT("tenants: expected each name once",
              TenantsComplaint(R"([{"name":"a"},{"name":"a"}])"), "");
  for (const char* it : {"-1", "1e300"}) {
    EXPECT_TEXT("ratePerS: expected a number from 0 to 2^53",
                TenantsComplaint(std::string(R"([{"name":"a","ratePerS":)") + it + "}]"), it);
  }
  EXPECT_TEXT("ratePerS: expected a number", TenantsComplaint(R"([{"name":"a","ratePerS":"x"}])"),
              "");
  EXPECT_TEXT(
      "", TenantsComplaint(R"([{"name":"a","apiKeys":[")" + std::string(1 << 20, 'k') + R"("]}])"),
      "a key of 1 MB is a key");
}

TEST(Documents, OfUpstreamsAreEqualWhateverTheOrderOfTheirModels) {
  const auto record = [](const std::string& models, const std::string& copies) {
    return DecodeUpstream("i-1",
                          R"({"service":"s1","address":"10.1.0.40:8145","zone":"hall-1",
        "state":"ready","models":[)" +
                              models + R"(],"atHand":{"inMemory":["m2"],"onDisk":[)" + copies +
                              "]}}",
                          1);
  };
  const auto first =
      record(R"({"name":"m1","adapters":["a1","a2"]},{"name":"m2"})", R"("m1","m3")");
  const auto second =
      record(R"({"name":"m2"},{"name":"m1","adapters":["a2","a1"]})", R"("m3","m1")");
  EXPECT_TRUE(first && second && first.value() == second.value(), "listed by their last use");
  EXPECT_NUMBER(3, first.value().cached_models.size(), "on disk or in memory, each once");
}

TEST(Documents, BecomeUpstreamsAndReports) {
  const auto upstream = DecodeUpstream("i-1", kUpstream, 42);
  EXPECT_TRUE(upstream.has_value(), "");
  EXPECT_TEXT("10.1.0.40:8145", upstream.value().endpoint.ToString(), "");
  EXPECT_NUMBER(42, upstream.value().generation, "");
  EXPECT_TEXT("a2", upstream.value().loaded.at(0).adapters.at(1), "");
  const auto report = DecodeReport(
      R"({"stage":"both","models":[{"name":"m1","version":1,"adapters":[]}],"busyCount":true,
          "sequence":2,"waiting":1,"running":12,"kvUsed":45000,"kvTotal":90000,"handles":0,
          "coming":["m1/a3@2"],"atHand":{"inMemory":["m1"],"onDisk":["m1","m2"]}})");
  EXPECT_TRUE(report.has_value() && report.value().is_busy, "an order is under way");
  EXPECT_TEXT("m1/a3", report.value().loading_adapters.at(0).ToString(), "without its version");
  EXPECT_TEXT("m2", report.value().on_disk.at(1), "");
  EXPECT_TRUE(report.value().kv_cache_usage == 0.5, "a share of the memory for tokens");
}

namespace {

struct World {
  void FollowConfiguration() {
    configuration = std::make_unique<ConfigurationFollower>(
        io, client, log, Freshness::kNewest, [this](const RoutingConfiguration& it) {
          versions.push_back(static_cast<int>(it.version));
        });
    configuration->Start();
  }

  void FollowUpstreams(DurationMs period_ms) {
    upstreams = std::make_unique<UpstreamFollower>(
        io, client, log, Freshness::kNewest, period_ms,
        [this](const UpstreamListing& it) { listings.push_back(it.records); });
    upstreams->Start();
  }

  bool AwaitVersion(int version) {
    return RunUntil(io, [&] { return !versions.empty() && versions.back() == version; });
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  StandinStore store{io};
  HttpClient http{io};
  StoreClient client{http, store.endpoint()};
  std::unique_ptr<ConfigurationFollower> configuration;
  std::unique_ptr<UpstreamFollower> upstreams;
  std::vector<int> versions;
  std::vector<std::vector<UpstreamRecord>> listings;
};

}  // namespace

TEST_GROUP(FollowsConfiguration){};

TEST(FollowsConfiguration, FromItsFirstWritingThroughEachChange) {
  World world;
  world.FollowConfiguration();
  RunFor(world.io, 50);
  world.store.Put("op/config", Configuration(3));
  EXPECT_TRUE(world.AwaitVersion(3), "it did not exist at the start");
  world.store.Put("op/config", Configuration(8));
  EXPECT_TRUE(world.AwaitVersion(8), "a watch sees the change");
}

TEST(FollowsConfiguration, AndKnowsHowOldItsWordIs) {
  World world;
  world.FollowConfiguration();
  world.configuration->SetWatch(100);
  TimeMs confirmed_at = 0;
  world.configuration->OnConfirmed([&](TimeMs as_of) { confirmed_at = as_of; });
  world.store.Put("op/config", Configuration(3));
  EXPECT_TRUE(world.AwaitVersion(3), "");
  const TimeMs read_at = MonotonicMs();
  EXPECT_TRUE(confirmed_at > 0 && confirmed_at <= read_at, "from the beginning of the call");
  EXPECT_TRUE(RunUntil(world.io, [&] { return confirmed_at > read_at; }),
              "a watch that returns with nothing new confirms it");
  world.store.mood = StandinStore::Mood::kSilent;
  world.store.SilenceWatches();
  RunFor(world.io, 50);
  const TimeMs last_at = confirmed_at;
  RunFor(world.io, 400);
  EXPECT_NUMBER(last_at, confirmed_at, "a watch that stands proves nothing");
  EXPECT_TRUE(world.configuration->OfferConfirmation(3, last_at + 300, 100),
              "another entry knows more");
  EXPECT_NUMBER(last_at + 200, confirmed_at, "and its word counts from the question");
  EXPECT_TRUE(!world.configuration->OfferConfirmation(4, last_at + 400, 0), "there is a newer one");
  EXPECT_NUMBER(last_at + 200, confirmed_at, "so this one is not confirmed");
  EXPECT_TRUE(world.configuration->Offer(Configuration(4)) &&
                  world.configuration->OfferConfirmation(4, last_at + 400, 0),
              "once it is in force");
}

TEST(FollowsConfiguration, IsNotConfirmedWhileTheNewestCannotBeRead) {
  World world;
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  world.configuration->SetWatch(50);
  EXPECT_TRUE(world.AwaitVersion(5), "");
  RunFor(world.io, 100);
  world.store.Put("op/config", "{");
  RunFor(world.io, 50);
  const TimeMs before = world.configuration->confirmation().as_of();
  RunFor(world.io, 300);
  EXPECT_NUMBER(before, world.configuration->confirmation().as_of(), "it may have taken keys away");
  world.store.Put("op/config", Configuration(6));
  EXPECT_TRUE(world.AwaitVersion(6), "");
  EXPECT_TRUE(world.configuration->confirmation().as_of() > before, "confirmed again");
}

TEST(FollowsConfiguration, WhenTheStoreForgetsItsHistory) {
  World world;
  world.store.Put("op/config", Configuration(3));
  world.FollowConfiguration();
  EXPECT_TRUE(world.AwaitVersion(3), "");
  world.store.SilenceWatches();
  world.store.Put("op/config", Configuration(4));
  world.store.ForgetHistory();
  world.store.CutWatches();
  EXPECT_TRUE(world.AwaitVersion(4), "the watch was told of nothing and cut");
}

TEST(FollowsConfiguration, PastAMalformedOneAndNeverBack) {
  World world;
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  EXPECT_TRUE(world.AwaitVersion(5), "");
  world.store.Put("op/config", "{");
  RunFor(world.io, 50);
  world.store.Put("op/config", Configuration(4));
  RunFor(world.io, 50);
  EXPECT_NUMBER(1, world.versions.size(), "neither is applied");
  world.store.Put("op/config", Configuration(6));
  EXPECT_TRUE(world.AwaitVersion(6), "the next good one is");
}

TEST(FollowsConfiguration, ThroughAnOutage) {
  World world;
  world.store.mood = StandinStore::Mood::kBusy;
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  RunFor(world.io, 100);
  EXPECT_NUMBER(0, world.versions.size(), "the store refuses");
  EXPECT_TRUE(world.configuration->Offer(Configuration(4)), "another entry knows an older one");
  EXPECT_NUMBER(4, world.versions.back(), "");
  world.store.mood = StandinStore::Mood::kFine;
  EXPECT_TRUE(world.AwaitVersion(5), "the store is back");
  EXPECT_TRUE(!world.configuration->Offer(Configuration(4)), "never back");
}

TEST(FollowsConfiguration, WhenItsWatchDiedUnseen) {
  World world;
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  EXPECT_TRUE(world.AwaitVersion(5), "");
  RunFor(world.io, 50);
  world.store.SilenceWatches();
  world.store.Put("op/config", Configuration(6));
  world.configuration->Reread();
  EXPECT_TRUE(world.AwaitVersion(6), "it is read again once the store is back");
}

namespace {

// This process's connection to a port; -1 when there is none.
int ConnectionTo(std::uint16_t port) {
  constexpr int kMostDescriptors = 1024;
  for (int descriptor = 0; descriptor < kMostDescriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int failed = getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size);
    if (failed == 0 && peer.sin_family == AF_INET && ntohs(peer.sin_port) == port) {
      return descriptor;
    }
  }
  return -1;
}

int TcpOption(int descriptor, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  getsockopt(descriptor, IPPROTO_TCP, name, &value, &size);
  return value;
}

}  // namespace

// Guards against answers of the store that are thrown away because a still later version is told of
// meanwhile: changes in quick succession would then keep all of them from coming into force.
TEST(FollowsConfiguration, WhileNewsOvertakesTheAnswersOfTheStore) {
  constexpr DurationMs kBoundMs = 3000;
  constexpr DurationMs kNewsMs = 150;
  constexpr int kChanges = 30;
  World world;
  world.store.Put("op/config", Configuration(1));
  world.FollowConfiguration();
  world.configuration->RestWhileConfirmed(1800);
  EXPECT_TRUE(world.AwaitVersion(1), "");
  world.store.delay_ms = 400;
  for (int version = 2; version <= kChanges; ++version) {
    world.store.Put("op/config", Configuration(version));
    world.configuration->OfferConfirmation(version, MonotonicMs(), 0);
    RunFor(world.io, kNewsMs);
    const int due = version - static_cast<int>(kBoundMs / kNewsMs);
    EXPECT_TRUE(world.versions.back() >= due, "expected at least version " + std::to_string(due) +
                                                  ", got " + std::to_string(world.versions.back()));
  }
}

TEST(FollowsConfiguration, OverAConnectionWhoseDeathIsNoticedWithinTwoSeconds) {
  // A change must be in force two seconds after it was accepted, and a watch
  // waits for six without a word.
  World world;
  world.store.Put("op/config", Configuration(5));
  world.FollowConfiguration();
  EXPECT_TRUE(world.AwaitVersion(5), "");
  const int connection = ConnectionTo(world.store.endpoint().port);
  int is_on = 0;
  socklen_t size = sizeof(is_on);
  getsockopt(connection, SOL_SOCKET, SO_KEEPALIVE, &is_on, &size);
  EXPECT_TRUE(is_on != 0, "the kernel asks whether the store is there");
  const int seconds = TcpOption(connection, TCP_KEEPIDLE) +
                      TcpOption(connection, TCP_KEEPINTVL) * TcpOption(connection, TCP_KEEPCNT);
  EXPECT_TRUE(seconds <= 2, "expected 2 s at most, got " + std::to_string(seconds));
}

TEST(FollowsConfiguration, AskingAStoreThatIsAwayLessAndLessOften) {
  // Found on the users' grown site: most of a day's calls to the store were
  // made while it was away, four a second by each of 68 processes.
  World world;
  world.store.mood = StandinStore::Mood::kBusy;
  world.FollowConfiguration();
  RunFor(world.io, 4000);
  EXPECT_TRUE(world.store.calls.size() <= 8,
              "expected 8 calls in 4 s at most, got " + std::to_string(world.store.calls.size()));
}

TEST_GROUP(FollowsUpstreams){};

TEST(FollowsUpstreams, AskingAStoreThatIsAwayLessAndLessOften) {
  World world;
  world.store.mood = StandinStore::Mood::kBusy;
  world.FollowUpstreams(1500);
  RunFor(world.io, 4000);
  EXPECT_TRUE(world.store.calls.size() <= 8,
              "expected 8 calls in 4 s at most, got " + std::to_string(world.store.calls.size()));
}

TEST(FollowsUpstreams, OverAllPages) {
  World world;
  world.store.page = 2;
  for (int n = 0; n < 5; ++n) world.store.Put("servers/i-" + std::to_string(n), kUpstream);
  world.FollowUpstreams(20);
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.listings.empty(); }), "");
  EXPECT_NUMBER(5, world.listings[0].size(), "three pages");
  EXPECT_TEXT("i-4", world.listings[0].back().instance, "");
}

TEST(FollowsUpstreams, AndSaysWhenTheStoreWasAwayJustBefore) {
  World world;
  world.store.Put("servers/i-1", kUpstream);
  bool is_regained = false;
  world.FollowUpstreams(20);
  world.upstreams->SetWritePeriod(20);
  world.upstreams->OnRegained([&] { is_regained = true; });
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.size() >= 2; }), "");
  EXPECT_TRUE(!world.listings.back().at(0).is_missing && !is_regained, "all is well");
  world.store.mood = StandinStore::Mood::kBusy;
  RunFor(world.io, 60);
  world.store.Remove("servers/i-1");
  world.store.mood = StandinStore::Mood::kFine;
  EXPECT_TRUE(RunUntil(world.io, [&] { return is_regained; }), "");
  EXPECT_TRUE(world.listings.back().at(0).is_missing, "it may only have lapsed");
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.back().empty(); }),
              "it would be back by now");
}

namespace {

// Blocks the process, as a suspension of its VM or a freeze would.
void StandStill() {
  constexpr useconds_t kStandstillUs = 800 * 1000;
  usleep(kStandstillUs);
}

}  // namespace

// Guards against a process that stood still and takes upstreams that left meanwhile for missing.
TEST(FollowsUpstreams, KeepingNoneThatLeftWhileOnlyThisProcessStoodStill) {
  World world;
  world.store.Put("servers/i-1", kUpstream);
  world.store.Put("servers/i-2", kUpstream);
  world.FollowUpstreams(20);
  world.upstreams->SetWritePeriod(20);
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.size() >= 2; }), "");
  StandStill();
  world.store.Put("servers/i-1", kUpstream);
  world.store.Remove("servers/i-2");
  const std::size_t before = world.listings.size();
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.size() > before + 2; }), "");
  for (std::size_t n = before; n < world.listings.size(); ++n) {
    const auto& records = world.listings[n];
    const bool is_missing = std::any_of(records.begin(), records.end(),
                                        [](const UpstreamRecord& it) { return it.is_missing; });
    EXPECT_TRUE(!is_missing, "i-1 was written meanwhile: the store was there");
  }
  EXPECT_NUMBER(1, world.listings.back().size(), "upstreams");
}

// Guards against upstreams that lapsed in an outage and are dropped by a process that stood still
// meanwhile.
TEST(FollowsUpstreams, KeepingThoseThatMayHaveLapsedWhileItStoodStill) {
  World world;
  world.store.Put("servers/i-1", kUpstream);
  world.store.Put("servers/i-2", kUpstream);
  world.FollowUpstreams(20);
  world.upstreams->SetWritePeriod(20);
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.size() >= 2; }), "");
  StandStill();
  world.store.Remove("servers/i-2");
  EXPECT_TRUE(RunUntil(world.io, [&] { return world.listings.back().back().is_missing; }),
              "nobody has written since, and so the store may have been away");
}

TEST(FollowsUpstreams, PassingOverAMalformedRecord) {
  World world;
  world.store.Put("servers/i-1", kUpstream);
  world.store.Put("servers/i-2", R"({"service":7})");
  world.FollowUpstreams(20);
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.listings.empty(); }), "");
  EXPECT_NUMBER(1, world.listings[0].size(), "the other one stands");
}

TEST(FollowsUpstreams, WithTheLaterOfTwoAtOneAddressHavingTheHigherGeneration) {
  // Found in a recorded day: a restarted engine's old record had not lapsed, and
  // its agent took either for the engine in turn.
  World world;
  world.store.Put("servers/i-2", kUpstream);
  world.store.Put("servers/i-1", kUpstream);
  world.store.Put("servers/i-2", kUpstream);
  world.FollowUpstreams(20);
  EXPECT_TRUE(RunUntil(world.io, [&] { return !world.listings.empty(); }), "");
  const auto kept = KeepLatestAtEachEndpoint(world.listings[0]);
  EXPECT_NUMBER(1, kept.size(), "the address is one process's");
  EXPECT_TEXT("i-1", kept.at(0).instance, "i-2 was written later but made earlier");
}

TEST_GROUP(Engines){};

TEST(Engines, AreGivenOrdersInThePlatformsWords) {
  boost::asio::io_context io;
  int status = 202;
  ScriptedUpstream engine(io, [&](const SeenRequest&, const auto& peer) {
    if (status == 0) return peer->Reset();
    peer->Write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n");
  });
  HttpClient http(io);
  EngineCalls calls(http, engine.endpoint());
  const auto give = [&](const EngineOrder& order) {
    std::optional<EngineOrderResult> answer;
    calls.Give(order, "i-1", {"vm-1", 41}, [&](EngineOrderResult it) { answer = it; });
    RunUntil(io, [&] { return answer.has_value(); });
    return answer.value_or(EngineOrderResult::kRejected);
  };
  const EngineOrder order{OrderKind::kLoad, {"m1", "a1"}, 7, "", ""};
  EXPECT_TRUE(give(order) == EngineOrderResult::kAccepted, "");
  const SeenRequest& seen = engine.seen().at(0);
  EXPECT_TEXT("POST /order HTTP/1.1", seen.Line(), "");
  EXPECT_TEXT("i-1", seen.Field("Expect-Instance"), "");
  EXPECT_TEXT(R"({"adapter":"a1","expected":7,"fence":41,"holder":"vm-1","model":"m1",)"
              R"("operation":"load"})",
              seen.body, "");
  status = 409;
  EXPECT_TRUE(give(order) == EngineOrderResult::kConflict, "");
  status = 412;
  EXPECT_TRUE(give(order) == EngineOrderResult::kStaleFence, "");
  status = 421;
  EXPECT_TRUE(give(order) == EngineOrderResult::kOtherInstance, "");
  status = 0;
  EXPECT_TRUE(give(order) == EngineOrderResult::kUnknown, "it was sent and not answered");
}

}  // namespace junctionrail::platform

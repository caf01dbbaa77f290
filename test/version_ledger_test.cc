// The software versions of services that entries record in the store.
#include "version_ledger.h"

#include "check.h"
#include "loopback.h"
#include "platform_standin.h"
#include "routing_world.h"

namespace junctionrail::internal {
namespace {

using testing::QuietLog;
using testing::RunFor;
using testing::RunUntil;
using testing::StandinStore;

constexpr DurationMs kRetentionMs = 1500;
// A change of the listing is recorded within this time.
constexpr DurationMs kRecordedMs = 500;

struct World {
  // The ledger of an entry that starts.
  std::shared_ptr<VersionLedger> StartLedger(const std::string& entry) {
    return std::make_shared<VersionLedger>(io, client, log, entry, kRetentionMs);
  }

  static void List(VersionLedger& ledger, const VersionLedger::Versions& versions) {
    std::vector<UpstreamRecord> records;
    for (const auto& it : versions) {
      records.push_back(testing::MakeRecord("i-" + it));
      records.back().service = "s1";
      records.back().software_version = it;
    }
    ledger.SetListing(records, {"s1"});
  }

  // The recorded versions, each followed by a blank.
  std::string Recorded() {
    std::optional<std::string> text;
    StartLedger("reader")->Read("s1", [&](const std::optional<VersionLedger::Versions>& versions) {
      text.emplace(versions ? "" : "none read");
      for (const auto& it : versions.value_or(VersionLedger::Versions())) *text += it + " ";
    });
    EXPECT_TRUE(RunUntil(io, [&] { return text.has_value(); }), "the reading ends");
    return text.value_or("");
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  StandinStore store{io};
  HttpClient http{io};
  platform::StoreClient client{http, store.endpoint()};
};

}  // namespace

TEST_GROUP(StreamVersionLedger){};

// Guards against an entry that starts after all others have ended, lists the new version only and
// forgets the one that has just left.
TEST(StreamVersionLedger, KeepsTheVersionsThatEntriesRecordedWhichHaveEnded) {
  World world;
  auto first = world.StartLedger("e1");
  World::List(*first, {"v1", "v2"});
  RunFor(world.io, kRecordedMs);
  first.reset();
  const auto second = world.StartLedger("e2");
  World::List(*second, {"v2"});
  RunFor(world.io, kRecordedMs);
  EXPECT_TEXT("v1 v2 ", world.Recorded(), "streams of v1 may be resumed");
  RunFor(world.io, kRetentionMs);
  World::List(*second, {"v2"});
  RunFor(world.io, kRecordedMs);
  EXPECT_TEXT("v2 ", world.Recorded(), "the time is over");
}

// Guards against a version that is forgotten at once because the store could not be read for long,
// though its upstreams served until then.
TEST(StreamVersionLedger, KeepsAVersionThatServedWhileTheStoreCouldNotBeRead) {
  World world;
  const auto ledger = world.StartLedger("e1");
  World::List(*ledger, {"v1", "v2"});
  RunFor(world.io, kRecordedMs);
  EXPECT_TEXT("v1 v2 ", world.Recorded(), "both are listed");
  RunFor(world.io, kRetentionMs);
  World::List(*ledger, {"v2"});
  RunFor(world.io, kRecordedMs);
  EXPECT_TEXT("v1 v2 ", world.Recorded(), "streams of v1 may be resumed");
}

}  // namespace junctionrail::internal

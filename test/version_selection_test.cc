// Selection of upstreams while several software versions serve in one service.
#include <string>
#include <vector>

#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeView;
using testing::TableFixture;

constexpr int kSlots = 64;  // Of each engine.

// Engines of two versions that have a model loaded: one of v1, the others of v2.
struct VersionsFixture : TableFixture {
  explicit VersionsFixture(int of_v2) {
    AddEngine("old", "v1");
    for (int n = 0; n < of_v2; ++n) AddEngine("new" + std::to_string(n), "v2");
    table.ApplyListing(records, now);
    for (const auto& it : records) SetRunning(it.instance, 0);
  }

  void AddEngine(const std::string& instance, const std::string& version) {
    records.push_back(MakeRecord(instance));
    records.back().endpoint.port = static_cast<std::uint16_t>(records.size());
    records.back().software_version = version;
  }

  void SetRunning(const std::string& instance, int running) {
    EngineView view = MakeView(instance, {{"a", {}}});
    view.running = running;
    view.entries = 1;
    table.ApplyView(view, now);
  }

  PickResult ChooseAt(const std::optional<std::string>& version, const std::string& id = "r") {
    PickRequest request;
    request.service = "engine";
    request.model = ModelRef{"a", {}};
    request.request_id = id;
    request.software_version = version;
    return table.Choose(request, now);
  }

  std::string InstanceAt(const std::optional<std::string>& version, const std::string& id = "r") {
    const PickResult pick = ChooseAt(version, id);
    const auto* to = std::get_if<SendTo>(&pick);
    return to == nullptr ? "none" : to->instance;
  }

  std::vector<UpstreamRecord> records;
};

}  // namespace

TEST_GROUP(VersionSelection){};

TEST(VersionSelection, BoundStreamsGoOnlyToTheirVersion) {
  VersionsFixture fixture(3);
  for (int n = 0; n < 20; ++n) {
    EXPECT_TEXT("old", fixture.InstanceAt("v1", "r" + std::to_string(n)), "the only one of v1");
    EXPECT_TRUE(fixture.InstanceAt("v2", "r" + std::to_string(n)) != "old", "one of v2");
  }
}

TEST(VersionSelection, NamesTheVersionThatIsGone) {
  VersionsFixture fixture(1);
  const PickResult pick = fixture.ChooseAt("v3");
  const auto* none = std::get_if<NoUpstream>(&pick);
  EXPECT_TRUE(none != nullptr, "nothing runs v3");
  EXPECT_TEXT("version_gone", std::string(none->code), none->reason);
}

// Guards against bound streams that queue behind new ones while another version is idle.
TEST(VersionSelection, NewStreamsLeaveTheScarceVersionToThoseItBegan) {
  VersionsFixture fixture(3);
  int at_old = 0;
  constexpr int kStreams = 200;
  for (int n = 0; n < kStreams; ++n) {
    at_old += fixture.InstanceAt(std::nullopt, "r" + std::to_string(n)) == "old" ? 1 : 0;
  }
  EXPECT_TRUE(at_old < kStreams / 8, "expected less than half of an even share, got " +
                                         std::to_string(at_old) + " of " +
                                         std::to_string(kStreams));
}

// Guards against places that new streams take while bound streams have no other upstream.
TEST(VersionSelection, NewStreamsDoNotTakeTheLastPlacesOfAVersion) {
  VersionsFixture fixture(1);
  fixture.SetRunning("old", kSlots * 5 / 4 + 1);
  fixture.SetRunning("new0", kSlots * 5 / 4 + 1);
  fixture.table.OnSent("old", ModelRef{"a", {}}, fixture.now);
  fixture.table.OnSent("new0", ModelRef{"a", {}}, fixture.now);
  EXPECT_TEXT("none", fixture.InstanceAt(std::nullopt), "a new stream waits");
  EXPECT_TEXT("old", fixture.InstanceAt("v1"), "a bound one is queued there");
}

TEST(VersionSelection, InfersTheOriginOnlyFromASingleVersion) {
  VersionsFixture one(0);
  const auto origin = one.table.OnlyOrigin({"engine", "plain"});
  EXPECT_TRUE(origin && origin->service == "engine" && origin->version == "v1", "v1 alone");
  VersionsFixture two(1);
  EXPECT_TRUE(!two.table.OnlyOrigin({"engine"}), "two versions");
}

}  // namespace junctionrail

// Selection of upstreams by the distance of their data halls.
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeSpec;
using testing::MakeView;

constexpr TimeMs kStart = 100000;

// Returns a digest (FNV-1a) of the choices of one entry for random requests, among nine engines and
// three plain upstreams in three data halls.
std::uint64_t DigestOfChoices(const HallRegions& regions, bool has_samples) {
  RoutingOptions options;
  options.topology = Topology("hall-1", regions);
  UpstreamTable table(options);
  table.ApplyServices({{"engine", 100, MakeSpec()}, {"plain", 100, std::nullopt}});
  std::vector<UpstreamRecord> records;
  for (int n = 0; n < 12; ++n) {
    records.push_back(MakeRecord("u" + std::to_string(n), "hall-" + std::to_string(1 + n % 3)));
    records.back().endpoint.port = static_cast<std::uint16_t>(n + 1);
    records.back().slots = 48;
    if (n >= 9) records.back().service = "plain";
  }
  table.ApplyListing(records, kStart);
  std::mt19937_64 random(7);
  std::uint64_t digest = 14695981039346656037ULL;
  const char* const models[] = {"a", "b", "c"};
  for (TimeMs now = kStart; now < kStart + 60000; now += 20) {
    const std::uint64_t draw = random();
    EngineView view = MakeView("u" + std::to_string(draw % 9));
    for (const char* it : models) {
      const std::uint64_t place = random() % 8;
      if (place == 0) view.loaded.push_back({it, {}});
      if (place == 1) view.cached_models.emplace_back(it);
    }
    view.running = static_cast<int>(draw >> 8 & 63);
    table.ApplyView(view, now);
    if (has_samples) table.OnConnected(records[draw % 12].instance, 1 + draw % 300 / 10.0, now);
    PickRequest request;
    const std::string id = "r" + std::to_string(now);
    request.request_id = id;
    request.service = draw >> 16 & 1 ? "plain" : "engine";
    if (request.service == "engine") request.model = ModelRef{models[draw >> 20 & 1], {}};
    if (draw >> 24 & 1 && request.model) request.model->adapter = "x";
    const PickResult pick = table.Choose(request, now);
    std::string text = "none";
    if (const auto* to = std::get_if<SendTo>(&pick)) {
      text = "send " + to->instance;
      table.OnSent(to->instance, request.model, now);
      if (draw >> 32 & 3) {
        table.OnAttemptEnd(to->instance, request.model, AttemptOutcome::kServed, now);
      }
    }
    if (const auto* wait = std::get_if<WaitFor>(&pick)) {
      text = "wait " + wait->instance + " " + std::to_string(wait->estimate_ms);
    }
    for (const char it : text)
      digest = (digest ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
  }
  return digest;
}

const HallRegions kTwoRegions = {{"hall-1", "west"}, {"hall-2", "west"}, {"hall-3", "east"}};

std::string ChooseWith(UpstreamTable* table, const PickRequest& request, TimeMs now) {
  const PickResult pick = table->Choose(request, now);
  if (const auto* to = std::get_if<SendTo>(&pick)) return "send " + to->instance;
  if (const auto* wait = std::get_if<WaitFor>(&pick)) return "wait " + wait->instance;
  return std::get<NoUpstream>(pick).reason;
}

}  // namespace

TEST_GROUP(RegionalSelection){};

namespace {

// An entry in hall-1 before engines in the halls of two regions.
struct RegionalTable {
  explicit RegionalTable(std::string entry_id = "entry-1") : table(Options(std::move(entry_id))) {
    table.ApplyServices({{"engine", 100, MakeSpec()}, {"plain", 100, std::nullopt}});
  }
  static RoutingOptions Options(std::string entry_id) {
    RoutingOptions options;
    options.topology = Topology("hall-1", kTwoRegions);
    options.entry_id = std::move(entry_id);
    return options;
  }

  void Add(const std::string& instance, const std::string& hall, const std::string& loaded = "") {
    records.push_back(MakeRecord(instance, hall));
    records.back().endpoint.port = static_cast<std::uint16_t>(records.size());
    if (!loaded.empty()) records.back().loaded = {{loaded, {}}};
    table.ApplyListing(records, kStart);
  }

  std::string ChooseFor(const std::string& model, std::vector<std::string> tried = {},
                        const std::string& id = "r") {
    PickRequest request;
    request.service = "engine";
    request.model = ModelRef{model, {}};
    request.tried = std::move(tried);
    request.request_id = id;
    return ChooseWith(&table, request, kStart);
  }

  UpstreamTable table;
  std::vector<UpstreamRecord> records;
};

}  // namespace

TEST(RegionalSelection, UsesAnotherRegionWhenTheNearUpstreamsAreTriedOrFull) {
  RegionalTable t;
  t.Add("near", "hall-2", "a");
  t.Add("far", "hall-3", "a");
  t.table.ApplyView(MakeView("near", {{"a", {}}}), kStart);
  t.table.ApplyView(MakeView("far", {{"a", {}}}), kStart);
  EXPECT_TEXT("send near", t.ChooseFor("a"), "both are idle");
  EXPECT_TEXT("send far", t.ChooseFor("a", {"near"}), "the near one was tried");
  EngineView full = MakeView("near", {{"a", {}}});
  full.running = 64;
  full.waiting = 32;
  t.table.ApplyView(full, kStart);
  t.table.OnSent("near", ModelRef{"a", {}}, kStart);
  EXPECT_TEXT("send far", t.ChooseFor("a"), "the near one is full");
}

TEST(RegionalSelection, LoadsModelsNearbyUnlessAnotherRegionIsMuchFaster) {
  for (const char* model : {"a", "b", "c"}) {
    RegionalTable t;
    t.Add("far", "hall-3");
    t.Add("near", "hall-2");
    t.table.ApplyView(MakeView("near", {}, {model}), kStart);
    t.table.ApplyView(MakeView("far", {}, {model}), kStart);
    EXPECT_TEXT("wait near", t.ChooseFor(model), "both have it on disk");
    t.table.ApplyView(MakeView("near"), kStart);
    RegionalTable other;
    other.Add("far", "hall-3");
    other.Add("near", "hall-2");
    other.table.ApplyView(MakeView("near"), kStart);
    other.table.ApplyView(MakeView("far", {}, {model}), kStart);
    EXPECT_TEXT("wait far", other.ChooseFor(model), "it would come from the weight store");
  }
}

// Guards against entries whose few replicas of a widely loaded model are all in other regions.
TEST(RegionalSelection, SpreadsOverNearReplicasWhereAnEntryUsesOnlySome) {
  for (int entry = 0; entry < 20; ++entry) {
    RegionalTable t("entry-" + std::to_string(entry));
    t.table.SetPlanner(false);
    for (int n = 0; n < 4; ++n) t.Add("near" + std::to_string(n), "hall-2", "a");
    for (int n = 0; n < 8; ++n) t.Add("far" + std::to_string(n), "hall-3", "a");
    std::set<std::string> chosen;
    for (int n = 0; n < 50; ++n) chosen.insert(t.ChooseFor("a", {}, "r" + std::to_string(n)));
    EXPECT_NUMBER(3, chosen.size(), "near replicas in use");
    for (const auto& it : chosen) EXPECT_TEXT("send near", it.substr(0, 9), "idle near replicas");
    const std::vector<std::string> near = {"near0", "near1", "near2", "near3"};
    EXPECT_TEXT("send far", t.ChooseFor("a", near).substr(0, 8), "all near ones were tried");
  }
}

TEST_GROUP(OneRegion){};

// Guards against distances that affect the selection where the settings name no region or one. The
// digest is that of selection by data hall alone. If another change of the selection alters it, it
// alters all four alike.
TEST(OneRegion, SelectsAsBeforeDistancesWereMeasured) {
  constexpr std::uint64_t kDigest = 3724677061882860836ULL;
  const HallRegions one = {{"hall-1", "west"}, {"hall-2", "west"}, {"hall-3", "west"}};
  EXPECT_TRUE(DigestOfChoices({}, false) == kDigest, std::to_string(DigestOfChoices({}, false)));
  EXPECT_TRUE(DigestOfChoices(one, false) == kDigest, "one region is named");
  EXPECT_TRUE(DigestOfChoices({}, true) == kDigest, "round trips are measured");
  EXPECT_TRUE(DigestOfChoices(one, true) == kDigest, "in one region too");
}

}  // namespace junctionrail

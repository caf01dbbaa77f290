// Entries and agents together, without sockets: what they decide when many
// engines must load at once. Time goes on in steps; a message takes one.
#include "check.h"
#include "junctionrail/placement.h"
#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

constexpr DurationMs kStepMs = 50;
constexpr int kEngines = 12;
constexpr int kEntries = 3;
constexpr int kModels = 24;
// As on the users' sites: a load alone takes 6 s, and more than four at once
// slow each other down.
constexpr DurationMs kStoreLoadMs = 6000;
constexpr double kLoadsAtFullSpeed = 4;

std::string ModelName(int n) { return "m" + std::to_string(n); }

EngineSpec MakeSpec() {
  EngineSpec spec;
  spec.accelerator_mb = 230;
  spec.adapter_places = 8;
  for (int n = 0; n < kModels; ++n) {
    spec.models.push_back({ModelName(n), 72, 1, kStoreLoadMs, 800, 400});
  }
  return spec;
}

// An engine with an empty disk, which does what it is told.
struct Engine {
  std::string instance;
  PlacementCore core;
  EngineReport report;
  std::string loading;
  double left_ms = 0;  // Of the load, at full speed.

  void Take(const EngineOrder& order) {
    ++report.sequence;
    if (order.kind == OrderKind::kUnload) {
      auto& loaded = report.loaded;
      for (auto it = loaded.begin(); it != loaded.end(); ++it) {
        if (it->name != order.target.model) continue;
        loaded.erase(it);
        break;
      }
      return;
    }
    report.is_busy = true;
    loading = order.target.model;
    left_ms = kStoreLoadMs;
  }

  void GoOn(double speed) {
    if (loading.empty()) return;
    left_ms -= static_cast<double>(kStepMs) * speed;
    if (left_ms > 0) return;
    report.is_busy = false;
    report.loaded.push_back({loading, {}});
    report.on_disk.push_back(loading);
    loading.clear();
  }
};

class Fleet {
 public:
  Fleet() {
    RoutingOptions options;
    options.data_hall = "hall-1";
    options.policy.stages = false;
    std::vector<UpstreamRecord> listing;
    for (int n = 0; n < kEngines; ++n) {
      engines_.emplace_back();
      engines_.back().instance = "e" + std::to_string(n);
      engines_.back().core.Reset(engines_.back().instance);
      engines_.back().core.SetSpec(MakeSpec());
      listing.push_back({engines_.back().instance,
                         "engine",
                         {"10.0.0." + std::to_string(n), 80},
                         "hall-1",
                         64,
                         false,
                         {}});
    }
    for (int n = 0; n < kEntries; ++n) {
      entries_.emplace_back(options);
      entries_.back().ApplyServices({{"engine", 100, MakeSpec()}});
      entries_.back().ApplyListing(listing, now_);
    }
  }

  // Each model that is not up has one request waiting at one entry.
  void Step() {
    now_ += kStepMs;
    for (auto& it : engines_) Serve(it);
    for (int n = 0; n < kEntries; ++n) Ask(n);
    int loads = 0;
    for (const auto& it : engines_) loads += it.loading.empty() ? 0 : 1;
    most_loads_ = std::max(most_loads_, loads);
    const double speed = loads <= kLoadsAtFullSpeed ? 1 : kLoadsAtFullSpeed / loads;
    for (auto& it : engines_) it.GoOn(speed);
  }

  bool IsUp(int model) const {
    for (const auto& engine : engines_) {
      for (const auto& it : engine.report.loaded) {
        if (it.name == ModelName(model)) return true;
      }
    }
    return false;
  }

  int ModelsUp() const {
    int n = 0;
    for (int model = 0; model < kModels; ++model) n += IsUp(model) ? 1 : 0;
    return n;
  }

  int most_loads() const { return most_loads_; }

 private:
  void Serve(Engine& engine) {
    engine.core.OnReport(engine.report, now_);
    const auto order = engine.core.NextOrder(now_);
    if (order) {
      engine.Take(*order);
      engine.core.OnOrderResult(*order, EngineOrderResult::kAccepted, now_);
    }
    const EngineView view = engine.core.BuildView(now_);
    for (auto& it : entries_) it.ApplyView(view, now_);
  }

  void Ask(int entry) {
    UpstreamTable& table = entries_[static_cast<std::size_t>(entry)];
    std::vector<UpstreamTable::Waiting> waiting;
    for (int model = entry; model < kModels; model += kEntries) {
      if (IsUp(model)) continue;
      PickRequest request;
      request.service = "engine";
      request.model = ModelRef{ModelName(model), ""};
      const Pick pick = table.Choose(request, now_);
      const auto* wait = std::get_if<WaitFor>(&pick);
      if (wait == nullptr) continue;
      waiting.push_back({*request.model, "engine", 1, 0, now_, wait->instance});
    }
    const auto demands = table.Demands(waiting, now_);
    for (auto& engine : engines_) {
      const auto demand = demands.find(engine.instance);
      if (demand == demands.end()) continue;
      engine.core.OnDemand(static_cast<std::uint64_t>(entry), demand->second, now_);
    }
  }

  TimeMs now_ = 100000;
  std::vector<Engine> engines_;
  std::vector<UpstreamTable> entries_;
  int most_loads_ = 0;
};

}  // namespace

TEST_GROUP(Fleets){};

TEST(Fleets, ThatLostAllWeightsBringTheFirstModelsUpAsSoonAsTheStoreCan) {
  // after all VMs had lost power each engine loaded from
  // the store at once, and nothing was up for twenty seconds.
  Fleet fleet;
  for (DurationMs ms = 0; ms < kStoreLoadMs + 1000; ms += kStepMs) fleet.Step();
  EXPECT_TRUE(fleet.ModelsUp() >= 4, "four loads at full speed are over after 6 s, got " +
                                         std::to_string(fleet.ModelsUp()));
  EXPECT_TRUE(fleet.most_loads() <= 5,
              "expected four at once and hardly more, got " + std::to_string(fleet.most_loads()));
}

TEST(Fleets, ThatLostAllWeightsKeepTheStoreInFullUseUntilAllModelsAreUp) {
  Fleet fleet;
  const DurationMs at_best = kStoreLoadMs * kModels / static_cast<DurationMs>(kLoadsAtFullSpeed);
  for (DurationMs ms = 0; ms < at_best * 5 / 4; ms += kStepMs) fleet.Step();
  EXPECT_NUMBER(kModels, fleet.ModelsUp(), "in a quarter more than the store needs for all");
}

}  // namespace junctionrail

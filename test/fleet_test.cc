// Simulates entries and agents, without sockets, while many engines must load models at
// once. Time advances in steps; each message takes one step.
#include "check.h"
#include "junctionrail/placement.h"
#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

constexpr DurationMs kStepMs = 50;
constexpr int kEngines = 12;
constexpr int kEntries = 3;
constexpr int kModels = 24;
// As on users' sites: a single load takes 6 s, and more than four concurrent loads slow
// each other down.
constexpr DurationMs kStoreLoadMs = 6000;
constexpr double kLoadsAtFullSpeed = 4;

std::string ModelName(int n) { return "m" + std::to_string(n); }

EngineSpec MakeSpec() {
  EngineSpec spec;
  spec.accelerator_mb = 230;
  spec.adapter_slots = 8;
  for (int n = 0; n < kModels; ++n) {
    spec.models.push_back({ModelName(n), 72, 1, kStoreLoadMs, 800, 400});
  }
  return spec;
}

// An engine with an empty disk that executes every order.
struct Engine {
  std::string instance;
  PlacementCore core;
  EngineReport report;
  std::string loading;
  double load_remaining_ms = 0;  // At full speed.

  void Execute(const EngineOrder& order) {
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
    load_remaining_ms = kStoreLoadMs;
  }

  void Advance(double speed) {
    if (loading.empty()) return;
    load_remaining_ms -= static_cast<double>(kStepMs) * speed;
    if (load_remaining_ms > 0) return;
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
    options.topology = Topology("hall-1", {});
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

  // Advances the simulation by one step. Each model that is not loaded has one request
  // waiting at one entry.
  void Step() {
    now_ += kStepMs;
    for (auto& it : engines_) StepEngine(it);
    for (int n = 0; n < kEntries; ++n) StepEntry(n);
    int loads = 0;
    for (const auto& it : engines_) loads += it.loading.empty() ? 0 : 1;
    peak_loads_ = std::max(peak_loads_, loads);
    const double speed = loads <= kLoadsAtFullSpeed ? 1 : kLoadsAtFullSpeed / loads;
    for (auto& it : engines_) it.Advance(speed);
  }

  bool IsLoaded(int model) const {
    for (const auto& engine : engines_) {
      for (const auto& it : engine.report.loaded) {
        if (it.name == ModelName(model)) return true;
      }
    }
    return false;
  }

  int CountLoadedModels() const {
    int n = 0;
    for (int model = 0; model < kModels; ++model) n += IsLoaded(model) ? 1 : 0;
    return n;
  }

  int peak_loads() const { return peak_loads_; }

 private:
  void StepEngine(Engine& engine) {
    engine.core.OnReport(engine.report, now_);
    const auto order = engine.core.NextOrder(now_);
    if (order) {
      engine.Execute(*order);
      engine.core.OnOrderResult(*order, EngineOrderResult::kAccepted, now_);
    }
    const EngineView view = engine.core.BuildView(now_);
    for (auto& it : entries_) it.ApplyView(view, now_);
  }

  void StepEntry(int entry) {
    UpstreamTable& table = entries_[static_cast<std::size_t>(entry)];
    std::vector<UpstreamTable::WaitingRequests> waiting;
    for (int model = entry; model < kModels; model += kEntries) {
      if (IsLoaded(model)) continue;
      PickRequest request;
      request.service = "engine";
      request.model = ModelRef{ModelName(model), ""};
      const PickResult pick = table.Choose(request, now_);
      const auto* wait = std::get_if<WaitFor>(&pick);
      if (wait == nullptr) continue;
      waiting.push_back({*request.model, "engine", 1, 0, now_, wait->instance});
    }
    const auto demands = table.BuildDemands(waiting, now_);
    for (auto& engine : engines_) {
      const auto demand = demands.find(engine.instance);
      if (demand == demands.end()) continue;
      engine.core.OnDemand(static_cast<std::uint64_t>(entry), demand->second, now_);
    }
  }

  TimeMs now_ = 100000;
  std::vector<Engine> engines_;
  std::vector<UpstreamTable> entries_;
  int peak_loads_ = 0;
};

}  // namespace

TEST_GROUP(FleetLoading){};

TEST(FleetLoading, LoadsFirstModelsAtStoreSpeedAfterTotalLoss) {
  // Guards against overloading the weight store: after a power loss of all VMs, every engine
  // loaded from the store at once, and no model was ready for twenty seconds.
  Fleet fleet;
  for (DurationMs ms = 0; ms < kStoreLoadMs + 1000; ms += kStepMs) fleet.Step();
  EXPECT_TRUE(fleet.CountLoadedModels() >= 4,
              "expected four loads at full speed to be done after 6 s, got " +
                  std::to_string(fleet.CountLoadedModels()));
  EXPECT_TRUE(fleet.peak_loads() <= 5,
              "expected about four concurrent loads, got " + std::to_string(fleet.peak_loads()));
}

TEST(FleetLoading, KeepsStoreBusyUntilAllModelsAreLoaded) {
  Fleet fleet;
  const DurationMs at_best = kStoreLoadMs * kModels / static_cast<DurationMs>(kLoadsAtFullSpeed);
  for (DurationMs ms = 0; ms < at_best * 5 / 4; ms += kStepMs) fleet.Step();
  EXPECT_NUMBER(kModels, fleet.CountLoadedModels(),
                "expected all models within 1.25 times the minimum load time");
}

}  // namespace junctionrail

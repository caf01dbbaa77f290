// An agent's decisions before an engine whose orders are lost, late or refused,
// in random worlds: whatever happens, the engine is never told to hold more
// than it can, and it serves again once the trouble is over.
#include <algorithm>
#include <deque>
#include <optional>

#include "check.h"
#include "junctionrail/placement.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr double kAcceleratorMb = 230;
constexpr int kAdapterSlots = 3;
constexpr int kModels = 6;
constexpr int kAdapters = 5;
constexpr TimeMs kStepMs = 40;

std::string ModelName(int n) { return std::string(1, static_cast<char>('a' + n)); }

// The engine as the platform's pages describe it.
class FakeEngine {
 public:
  struct DelayedOrder {
    EngineOrder order;
    TimeMs arrives_at = 0;
  };

  EngineSpec Spec() const {
    EngineSpec spec;
    spec.accelerator_mb = kAcceleratorMb;
    spec.adapter_places = kAdapterSlots;
    for (int n = 0; n < kModels; ++n) {
      spec.models.push_back({ModelName(n), 72, 1, 600, 120, 80});
    }
    return spec;
  }

  // Takes an order, now or late. Breaches of the engine's room throw.
  EngineOrderResult Execute(const EngineOrder& order, TimeMs now) {
    if (order.expected_sequence != sequence || busy_until > now)
      return EngineOrderResult::kConflict;
    ++sequence;
    if (order.kind == OrderKind::kLoad) Load(order.target, now);
    if (order.kind == OrderKind::kUnload) Unload(order.target, now);
    return EngineOrderResult::kAccepted;
  }

  void DeliverDelayedOrders(TimeMs now) {
    while (!delayed_orders.empty() && delayed_orders.front().arrives_at <= now) {
      const EngineOrder order = delayed_orders.front().order;
      delayed_orders.pop_front();
      Execute(order, now);
    }
  }

  void Restart() {
    loaded.clear();
    sequence = 0;
    busy_until = 0;
    loading_model.reset();
  }

  EngineReport Report(TimeMs now) {
    if (loading_model && busy_until <= now) {
      loaded.push_back({*loading_model, {}});
      loading_model.reset();
    }
    EngineReport report;
    report.loaded = loaded;
    report.is_busy = busy_until > now;
    report.sequence = sequence;
    report.on_disk = on_disk;
    return report;
  }

  std::vector<LoadedModel> loaded;
  std::vector<std::string> on_disk;
  std::optional<std::string> loading_model;
  std::int64_t sequence = 0;
  TimeMs busy_until = 0;
  std::deque<DelayedOrder> delayed_orders;

 private:
  double UsedMb() const {
    double mb = loading_model ? 72 : 0;
    for (const auto& it : loaded) mb += 72 + static_cast<double>(it.adapters.size());
    return mb;
  }

  int UsedAdapterSlots() const {
    std::size_t n = 0;
    for (const auto& it : loaded) n += it.adapters.size();
    return static_cast<int>(n);
  }

  void Load(const ModelRef& target, TimeMs now) {
    if (target.adapter.empty()) {
      Require(UsedMb() + 72 <= kAcceleratorMb, "the engine falls: no room for the model");
      loading_model = target.model;
      busy_until = now + 120;
      on_disk.push_back(target.model);
      return;
    }
    for (auto& it : loaded) {
      if (it.name != target.model) continue;
      Require(UsedAdapterSlots() < kAdapterSlots, "the engine falls: no place for the adapter");
      Require(UsedMb() + 1 <= kAcceleratorMb, "the engine falls: no room for the adapter");
      it.adapters.push_back(target.adapter);
    }
  }

  void Unload(const ModelRef& target, TimeMs now) {
    for (auto it = loaded.begin(); it != loaded.end(); ++it) {
      if (it->name != target.model) continue;
      if (target.adapter.empty()) {
        loaded.erase(it);
        busy_until = now + 30;
        return;
      }
      auto& adapters = it->adapters;
      adapters.erase(std::remove(adapters.begin(), adapters.end(), target.adapter), adapters.end());
      return;
    }
  }
};

class PlacementSimulation {
 public:
  explicit PlacementSimulation(std::uint32_t) { Reset("u0"); }

  void Step(RandomChoices word) {
    now_ += kStepMs;
    engine_.DeliverDelayedOrders(now_);
    const std::uint32_t event = word.Next(100);
    if (event < 3) RestartEngine();
    if (event >= 3 && event < 6) Reset(core_.instance());  // The agent's own process.
    if (event >= 6 && event < 40) SendDemand(&word);
    if (event >= 40 && event < 45) core_.OnEntryDisconnected(1);
    if (word.Next(10) < 8) core_.OnReport(engine_.Report(now_), now_);
    const auto order = core_.NextOrder(now_);
    if (order) GiveOrder(*order, &word);
    core_.BuildView(now_);
  }

  // With no more trouble, what is wanted is loaded within seconds.
  void Drain() {
    const ModelRef wanted{ModelName(0), "x0"};
    for (int n = 0; n < 400; ++n) {
      now_ += kStepMs;
      engine_.DeliverDelayedOrders(now_);
      AgentDemand demand{"e", core_.instance(), {}, {}, {}};
      demand.wanted.push_back({wanted, 5, 0, 5000});
      core_.OnDemand(1, demand, now_);
      core_.OnReport(engine_.Report(now_), now_);
      const auto order = core_.NextOrder(now_);
      if (order) core_.OnOrderResult(*order, engine_.Execute(*order, now_), now_);
      for (const auto& it : engine_.Report(now_).loaded) {
        const bool has_adapter =
            std::find(it.adapters.begin(), it.adapters.end(), "x0") != it.adapters.end();
        if (it.name == wanted.model && has_adapter) return;
      }
    }
    throw InvariantViolation("what is wanted was not loaded in 16 s without trouble");
  }

 private:
  void Reset(const std::string& instance) {
    core_ = PlacementCore();
    core_.Reset(instance);
    core_.SetSpec(engine_.Spec());
  }

  void RestartEngine() {
    engine_.Restart();
    core_.Reset("u" + std::to_string(++restarts_));
    // Orders meant for the instance before are refused by name.
    engine_.delayed_orders.clear();
  }

  void SendDemand(RandomChoices* word) {
    AgentDemand demand{"e", core_.instance(), {}, {}, {}};
    const int n = static_cast<int>(word->Next(4));
    for (int i = 0; i < n; ++i) {
      const std::string model = ModelName(static_cast<int>(word->Next(kModels)));
      const int adapter = static_cast<int>(word->Next(kAdapters + 2));
      const ModelRef ref{model, adapter < kAdapters ? "x" + std::to_string(adapter) : ""};
      demand.wanted.push_back({ref, static_cast<int>(word->Next(3)),
                               static_cast<int>(word->Next(3)),
                               static_cast<int>(word->Next(4000))});
    }
    for (int i = 0; i < kModels; ++i) {
      if (static_cast<int>(word->Next(2)) == 0) continue;
      demand.use.push_back({ModelName(i), static_cast<int>(word->Next(2)), 0.5, 1, 100, {}});
    }
    if (static_cast<int>(word->Next(2)) == 0) demand.stage.push_back(ModelName(kModels - 1));
    demand.may_load_from_store = word->Next(4) != 0;
    core_.OnDemand(1 + word->Next(3), demand, now_);
  }

  void GiveOrder(const EngineOrder& order, RandomChoices* word) {
    const int outcome = static_cast<int>(word->Next(10));
    if (outcome < 6) return core_.OnOrderResult(order, engine_.Execute(order, now_), now_);
    if (outcome == 6)
      return core_.OnOrderResult(order, EngineOrderResult::kRejected, now_);  // Never sent.
    if (outcome == 7) engine_.Execute(order, now_);  // Taken; its answer is lost.
    if (outcome == 9) {
      const TimeMs delay = 200 + static_cast<int>(word->Next(8800));
      engine_.delayed_orders.push_back({order, now_ + delay});
      std::sort(engine_.delayed_orders.begin(), engine_.delayed_orders.end(),
                [](const auto& a, const auto& b) { return a.arrives_at < b.arrives_at; });
    }
    // Else it was lost on its way and never lands.
    core_.OnOrderResult(order, EngineOrderResult::kUnknown, now_);
  }

  FakeEngine engine_;
  PlacementCore core_;
  TimeMs now_ = 100000;
  int restarts_ = 0;
};

}  // namespace

TEST_GROUP(RandomPlacement){};

TEST(RandomPlacement, NeverOverfillsAnEngineAndServesAgainAfterTrouble) {
  EXPECT_TRUE(RunRandomTest<PlacementSimulation>("placement"),
              "RapidCheck printed the shortest run that breaks");
}

}  // namespace junctionrail::test

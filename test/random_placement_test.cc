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

constexpr double kRoomMb = 230;
constexpr int kPlaces = 3;
constexpr int kModels = 6;
constexpr int kAdapters = 5;
constexpr TimeMs kStepMs = 40;

std::string ModelName(int n) { return std::string(1, static_cast<char>('a' + n)); }

// The engine as the platform's pages describe it.
class FakeEngine {
 public:
  struct Flying {
    EngineOrder order;
    TimeMs lands_at = 0;
  };

  EngineSpec Spec() const {
    EngineSpec spec;
    spec.accelerator_mb = kRoomMb;
    spec.adapter_slots = kPlaces;
    for (int n = 0; n < kModels; ++n) {
      spec.models.push_back({ModelName(n), 72, 1, 600, 120, 80});
    }
    return spec;
  }

  // Takes an order, now or late. Breaches of the engine's room throw.
  OrderAnswer Take(const EngineOrder& order, TimeMs now) {
    if (order.expected_sequence != sequence || busy_until > now) return OrderAnswer::kConflict;
    ++sequence;
    if (order.kind == OrderKind::kLoad) Load(order.target, now);
    if (order.kind == OrderKind::kUnload) Unload(order.target, now);
    return OrderAnswer::kAccepted;
  }

  void Land(TimeMs now) {
    while (!flying.empty() && flying.front().lands_at <= now) {
      const EngineOrder order = flying.front().order;
      flying.pop_front();
      Take(order, now);
    }
  }

  void Restart() {
    loaded.clear();
    sequence = 0;
    busy_until = 0;
    pending.reset();
  }

  EngineReport Report(TimeMs now) {
    if (pending && busy_until <= now) {
      loaded.push_back({*pending, {}});
      pending.reset();
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
  std::optional<std::string> pending;
  std::int64_t sequence = 0;
  TimeMs busy_until = 0;
  std::deque<Flying> flying;

 private:
  double UsedMb() const {
    double mb = pending ? 72 : 0;
    for (const auto& it : loaded) mb += 72 + static_cast<double>(it.adapters.size());
    return mb;
  }

  int UsedPlaces() const {
    std::size_t n = 0;
    for (const auto& it : loaded) n += it.adapters.size();
    return static_cast<int>(n);
  }

  void Load(const ModelRef& target, TimeMs now) {
    if (target.adapter.empty()) {
      Require(UsedMb() + 72 <= kRoomMb, "the engine falls: no room for the model");
      pending = target.model;
      busy_until = now + 120;
      on_disk.push_back(target.model);
      return;
    }
    for (auto& it : loaded) {
      if (it.name != target.model) continue;
      Require(UsedPlaces() < kPlaces, "the engine falls: no place for the adapter");
      Require(UsedMb() + 1 <= kRoomMb, "the engine falls: no room for the adapter");
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

class PlacementWorld {
 public:
  explicit PlacementWorld(std::uint32_t) { Reset("u0"); }

  void Step(Word word) {
    now_ += kStepMs;
    engine_.Land(now_);
    const std::uint32_t event = word.Take(100);
    if (event < 3) RestartEngine();
    if (event >= 3 && event < 6) Reset(core_.instance());  // The agent's own process.
    if (event >= 6 && event < 40) Demand(&word);
    if (event >= 40 && event < 45) core_.OnEntryGone(1);
    if (word.Take(10) < 8) core_.OnReport(engine_.Report(now_), now_);
    const auto order = core_.NextOrder(now_);
    if (order) Give(*order, &word);
    core_.View(now_);
  }

  // With no more trouble, what is wanted is loaded within seconds.
  void Drain() {
    const ModelRef wanted{ModelName(0), "x0"};
    for (int n = 0; n < 400; ++n) {
      now_ += kStepMs;
      engine_.Land(now_);
      AgentDemand demand{"e", core_.instance(), {}, {}, {}};
      demand.wanted.push_back({wanted, 5, 0, 5000});
      core_.OnDemand(1, demand, now_);
      core_.OnReport(engine_.Report(now_), now_);
      const auto order = core_.NextOrder(now_);
      if (order) core_.OnAnswer(*order, engine_.Take(*order, now_), now_);
      for (const auto& it : engine_.Report(now_).loaded) {
        const bool has_adapter =
            std::find(it.adapters.begin(), it.adapters.end(), "x0") != it.adapters.end();
        if (it.name == wanted.model && has_adapter) return;
      }
    }
    throw Breach("what is wanted was not loaded in 16 s without trouble");
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
    engine_.flying.clear();
  }

  void Demand(Word* word) {
    AgentDemand demand{"e", core_.instance(), {}, {}, {}};
    const int n = static_cast<int>(word->Take(4));
    for (int i = 0; i < n; ++i) {
      const std::string model = ModelName(static_cast<int>(word->Take(kModels)));
      const int adapter = static_cast<int>(word->Take(kAdapters + 2));
      const ModelRef ref{model, adapter < kAdapters ? "x" + std::to_string(adapter) : ""};
      demand.wanted.push_back({ref, static_cast<int>(word->Take(3)),
                               static_cast<int>(word->Take(3)),
                               static_cast<int>(word->Take(4000))});
    }
    for (int i = 0; i < kModels; ++i) {
      if (static_cast<int>(word->Take(2)) == 0) continue;
      demand.use.push_back({ModelName(i), static_cast<int>(word->Take(2)), 0.5, 1, 100, {}});
    }
    if (static_cast<int>(word->Take(2)) == 0) demand.stage.push_back(ModelName(kModels - 1));
    demand.may_load_from_store = word->Take(4) != 0;
    core_.OnDemand(1 + word->Take(3), demand, now_);
  }

  void Give(const EngineOrder& order, Word* word) {
    const int fate = static_cast<int>(word->Take(10));
    if (fate < 6) return core_.OnAnswer(order, engine_.Take(order, now_), now_);
    if (fate == 6) return core_.OnAnswer(order, OrderAnswer::kRejected, now_);  // Never sent.
    if (fate == 7) engine_.Take(order, now_);  // Taken; its answer is lost.
    if (fate == 9) {
      const TimeMs delay = 200 + static_cast<int>(word->Take(8800));
      engine_.flying.push_back({order, now_ + delay});
      std::sort(engine_.flying.begin(), engine_.flying.end(),
                [](const auto& a, const auto& b) { return a.lands_at < b.lands_at; });
    }
    // Else it was lost on its way and never lands.
    core_.OnAnswer(order, OrderAnswer::kUnknown, now_);
  }

  FakeEngine engine_;
  PlacementCore core_;
  TimeMs now_ = 100000;
  int restarts_ = 0;
};

}  // namespace

TEST_GROUP(RandomPlacement){};

TEST(RandomPlacement, NeverOverfillsAnEngineAndServesAgainAfterTrouble) {
  EXPECT_TRUE(RunAtRandom<PlacementWorld>("placement"),
              "RapidCheck printed the shortest run that breaks");
}

}  // namespace junctionrail::test

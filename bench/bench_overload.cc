// Offered load from half to four times an upstream's capacity, on the agent's
// own decisions in model time: what is served in time, by class, how soon the
// rest is told, and how long calls that were served had waited. Prints Markdown.
#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "junctionrail/agent_core.h"

namespace junctionrail::bench {
namespace {

constexpr std::uint32_t kPlaces = 16;
constexpr DurationMs kServiceMs = 100;
constexpr double kCapacity = kPlaces * 1000.0 / kServiceMs;  // Calls a second.
constexpr DurationMs kDeadlineMs = 1000;
constexpr TimeMs kEndMs = 60000;
constexpr char kKey[] = "a@1";

struct Sent {
  TimeMs at = 0;
  Priority priority = Priority::kNormal;
};

struct Result {
  std::uint64_t sent[3] = {};
  std::uint64_t served[3] = {};
  std::vector<double> refused_after;
  std::vector<double> waited;
  std::uint64_t late = 0;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

class Upstream {
 public:
  explicit Upstream(double jitter) : jitter_(jitter), core_(Options()) {
    core_.Start(now_, &commands_);
    Handle(agent::InventoryArrived{1, {80000}, {Loaded()}});
    Handle(agent::FenceDone{true});
    Handle(agent::InventoryArrived{2, {80000}, {Loaded()}});
    agent::GrantsRead grants;
    grants.held.push_back({kKey, 0, 1});
    Handle(std::move(grants));
  }

  Result Run(double factor) {
    std::exponential_distribution<double> gap(kCapacity * factor / 1000);
    double next = gap(random_);
    while (now_ < kEndMs + 2 * kDeadlineMs) {
      ++now_;
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        const std::string id = ends_.begin()->second;
        ends_.erase(ends_.begin());
        Handle(agent::UpstreamHead{id, 200, "text/plain"});
        Handle(agent::UpstreamEnd{id});
      }
      while (next <= static_cast<double>(now_) && now_ < kEndMs) {
        Arrive();
        next += gap(random_);
      }
      if (now_ % 10 == 0) Handle(agent::Ticked{now_});
    }
    return result_;
  }

 private:
  static AgentOptions Options() {
    AgentOptions options;
    options.max_concurrent = kPlaces;
    options.upstream_checks_fencing = true;
    options.idle_policy = KeepForever{};
    options.started_unix_ms = 1;
    return options;
  }
  static EngineModel Loaded() { return {kKey, ReplicaState::kLoaded, 0, 1000, CacheTier::kDisk}; }

  void Arrive() {
    const double share = std::uniform_real_distribution<double>(0, 1)(random_);
    CallFrame call;
    call.id = std::to_string(++calls_);
    call.key = kKey;
    call.deadline_ms = kDeadlineMs;
    call.priority =
        share < 0.2 ? Priority::kHigh : (share < 0.8 ? Priority::kNormal : Priority::kLow);
    call.grants = {GrantView{kKey, 0, 1, 1000, "", 1}};
    sent_[call.id] = Sent{now_, call.priority};
    ++result_.sent[static_cast<std::size_t>(call.priority)];
    Handle(agent::FrameArrived{1, std::move(call)});
  }

  void Handle(agent::Event event) {
    commands_.clear();
    core_.Handle(now_, std::move(event), &commands_);
    for (auto& it : commands_) {
      if (auto* dispatch = std::get_if<agent::Dispatch>(&it)) {
        result_.waited.push_back(static_cast<double>(now_ - sent_[dispatch->id].at));
        std::uniform_real_distribution<double> any(1 - jitter_, 1 + jitter_);
        ends_.emplace(now_ + static_cast<TimeMs>(kServiceMs * any(random_)), dispatch->id);
      } else if (auto* frame = std::get_if<agent::SendFrame>(&it)) {
        Take(frame->frame);
      }
    }
  }

  void Take(const Frame& frame) {
    if (const auto* refusal = std::get_if<RefusalFrame>(&frame)) {
      result_.refused_after.push_back(static_cast<double>(now_ - sent_[refusal->id].at));
    } else if (const auto* head = std::get_if<HeadFrame>(&frame)) {
      const Sent& sent = sent_[head->id];
      if (now_ - sent.at > kDeadlineMs) {
        ++result_.late;
      } else {
        ++result_.served[static_cast<std::size_t>(sent.priority)];
      }
    }
  }

  double jitter_;
  TimeMs now_ = 0;
  int calls_ = 0;
  AgentCore core_;
  std::mt19937_64 random_{20261202};
  std::vector<agent::Command> commands_;
  std::multimap<TimeMs, std::string> ends_;
  std::map<std::string, Sent> sent_;
  Result result_;
};

}  // namespace
}  // namespace junctionrail::bench

int main() {
  using namespace junctionrail::bench;
  for (const double jitter : {0.0, 0.8}) {
    std::printf("\n### Capacity 160 calls/s, deadline 1 s, service 100 ms +- %.0f%%, 60 s\n\n",
                jitter * 100);
    std::printf(
        "| offered | served in time/s | high | normal | low | late | refused after p50 / p99, "
        "ms | waited p99, ms |\n|---|---|---|---|---|---|---|---|\n");
    for (const double factor : {0.5, 0.9, 1.0, 1.5, 2.0, 3.0, 4.0}) {
      const Result r = Upstream(jitter).Run(factor);
      const auto share = [&r](int n) {
        return r.sent[n] == 0
                   ? 0.0
                   : 100.0 * static_cast<double>(r.served[n]) / static_cast<double>(r.sent[n]);
      };
      const double served = static_cast<double>(r.served[0] + r.served[1] + r.served[2]);
      std::printf("| %.1fx | %.1f | %.1f%% | %.1f%% | %.1f%% | %llu | %.0f / %.0f | %.0f |\n",
                  factor, served / 60, share(2), share(1), share(0),
                  static_cast<unsigned long long>(r.late), Percentile(r.refused_after, 0.5),
                  Percentile(r.refused_after, 0.99), Percentile(r.waited, 0.99));
    }
  }
  return 0;
}

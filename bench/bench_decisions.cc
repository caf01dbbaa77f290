// Slopes of the decision logic at and around the designed size, on the very
// code the daemons run: memory of each table, processor time of each event.
// Prints Markdown for docs/CAPACITY.md; nothing here asserts.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "junctionrail/agent_core.h"
#include "junctionrail/burn.h"
#include "junctionrail/entry_core.h"
#include "junctionrail/platform_types.h"

namespace junctionrail::bench {
namespace {

std::size_t HeapBytes() { return mallinfo2().uordblks; }

double Seconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// Least squares over points; prints the slope and how well the line fits.
struct Fit {
  double slope = 0;
  double intercept = 0;
  double r2 = 0;
};
Fit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
    syy += y[i] * y[i];
  }
  Fit fit;
  fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  fit.intercept = (sy - fit.slope * sx) / n;
  const double top = n * sxy - sx * sy;
  fit.r2 = top * top / ((n * sxx - sx * sx) * (n * syy - sy * sy));
  return fit;
}

ModelDeclaration Declared(int n) {
  ModelDeclaration model;
  model.name = "model-number-" + std::to_string(n);
  model.version = "1";
  model.replicas = 2;
  model.memory_mb = 4096;
  return model;
}

Configuration Declarations(int models) {
  Configuration configuration;
  for (int n = 0; n < models; ++n) configuration.Put(Declared(n));
  configuration.SetVersion(1);
  return configuration;
}

VmList Fleet(int upstreams, int entries) {
  VmList list;
  list.revision = 1;
  for (int n = 0; n < upstreams + entries; ++n) {
    VmInfo info;
    info.vm = (n < upstreams ? "worker-vm-" : "entry-vm-") + std::to_string(n);
    info.incarnation = "incarnation-1";
    info.data_hall = "hall-" + std::to_string(n % 9);
    info.role = n < upstreams ? VmRole::kEngine : VmRole::kEntry;
    info.link = Endpoint{"127.0.0.1", 7000};
    list.vms.push_back(info);
  }
  return list;
}

GrantRecord Granted(int n, int upstreams) {
  GrantRecord record;
  record.key = Declared(n).Key();
  record.revision = 1;
  record.last_token = 2;
  for (std::uint32_t slot = 0; slot < 2; ++slot) {
    record.slots.push_back({slot, "worker-vm-" + std::to_string((n * 7 + slot) % upstreams),
                            "incarnation-1", slot + 1, 1});
  }
  return record;
}

// An entry at a size, and what came of its events.
struct Entry {
  Entry(int models, int upstreams, int entries) : core(Options()) {
    Handle(entry::VmsChanged{Fleet(upstreams, entries)});
    Handle(entry::ConfigurationRead{Declarations(models)});
    for (int n = 0; n < models; ++n) Handle(entry::GrantChanged{Granted(n, upstreams)});
  }
  static EntryOptions Options() {
    EntryOptions options;
    options.vm = "entry-vm-0";
    options.decision_records = 8192;
    return options;
  }
  void Handle(entry::Event event) {
    commands.clear();
    core.Handle(now, std::move(event), &commands);
  }
  // One call from arrival to answer.
  void Call(int n, int models) {
    entry::CallArrived call;
    call.id = "entry-vm-0-1796215592881-" + std::to_string(n);
    call.name = Declared(n % models).Key();
    call.body = std::string(400, 'x');
    call.deadline_ms = 1200;
    const std::string id = call.id;
    Handle(std::move(call));
    for (const auto& it : std::vector<entry::Command>(commands)) {
      const auto* sent = std::get_if<entry::SendFrame>(&it);
      if (sent == nullptr || !std::holds_alternative<CallFrame>(sent->frame)) continue;
      const std::string attempt = std::get<CallFrame>(sent->frame).id;
      const UpstreamReport report{ReplicaState::kLoaded, 0, 0, 1, false, 15, 1000};
      Handle(entry::FrameArrived{sent->vm,
                                 HeadFrame{attempt, 200, "text/event-stream", false, report}});
      Handle(entry::FrameArrived{sent->vm, PieceFrame{attempt, 0, std::string(150, 'y')}});
      Handle(entry::FrameArrived{sent->vm, EndFrame{attempt, 1, report}});
    }
  }
  TimeMs now = 1000;
  std::vector<entry::Command> commands;
  EntryCore core;
};

void PrintFit(const char* what, const char* per, const std::vector<double>& x,
              const std::vector<double>& y, double unit, double at) {
  const Fit fit = FitLine(x, y);
  std::printf("| %s | %.3f %s | %.3f | %.4f | %.2f |\n", what, fit.slope / unit, per, fit.r2,
              fit.intercept / unit, (fit.slope * at + fit.intercept) / unit);
}

void EntryMemory() {
  std::vector<double> models = {100, 1000, 2000, 4100, 10000};
  std::vector<double> by_model;
  for (const double it : models) {
    const std::size_t before = HeapBytes();
    const Entry entry(static_cast<int>(it), 100, 10);
    by_model.push_back(static_cast<double>(HeapBytes() - before));
  }
  PrintFit("entry memory by models and adapters (at 4,100)", "KB each", models, by_model, 1024,
           4100);
  std::vector<double> upstreams = {10, 240, 600, 1200, 2400};
  std::vector<double> by_upstream;
  for (const double it : upstreams) {
    const std::size_t before = HeapBytes();
    const Entry entry(1, static_cast<int>(it), 10);
    by_upstream.push_back(static_cast<double>(HeapBytes() - before));
  }
  PrintFit("entry memory by upstreams (at 2,400)", "KB each", upstreams, by_upstream, 1024, 2400);
  std::vector<double> entries = {1, 40, 80, 160, 320};
  std::vector<double> by_entry;
  for (const double it : entries) {
    const std::size_t before = HeapBytes();
    const Entry entry(1, 10, static_cast<int>(it));
    by_entry.push_back(static_cast<double>(HeapBytes() - before));
  }
  PrintFit("entry memory by entries (at 320)", "KB each", entries, by_entry, 1024, 320);
}

void EntryTimes() {
  constexpr int kModels = 4100;
  constexpr int kUpstreams = 2400;
  constexpr int kCalls = 20000;
  Entry entry(kModels, kUpstreams, 320);
  const std::size_t before = HeapBytes();
  const double warm_up = Seconds([&] {
    for (int n = 0; n < kCalls; ++n) entry.Call(n, kModels);
  });
  const double records = static_cast<double>(HeapBytes() - before);
  const double calls = Seconds([&] {
    for (int n = 0; n < kCalls; ++n) entry.Call(kCalls + n, kModels);
  });
  std::printf("| a call from arrival to answer (4 events) | %.1f us | first %d: %.1f us |\n",
              calls / kCalls * 1e6, kCalls, warm_up / kCalls * 1e6);
  std::printf("| the record ring and reports, full | %.2f MB | 8,192 records |\n",
              records / 1048576);
  constexpr int kTicks = 2000;
  const double ticks = Seconds([&] {
    for (int n = 0; n < kTicks; ++n) {
      entry.now += 10;
      entry.Handle(entry::Ticked{});
    }
  });
  std::printf("| a tick | %.2f us | 100 a second: %.3f%% of a core |\n", ticks / kTicks * 1e6,
              ticks / kTicks * 100 * 100);
  constexpr int kChanges = 200;
  const double changes = Seconds([&] {
    for (int n = 0; n < kChanges; ++n) {
      ConfigChange change;
      change.version = entry.core.configuration().version() + 1;
      change.models.push_back(Declared(n));
      entry.Handle(entry::ConfigurationChanged{change});
      entry.now += 1000;
      entry.Handle(entry::Ticked{});
    }
  });
  std::printf(
      "| a configuration change and the pass over all grants | %.0f us | 12,000 a day: %.4f%% of a "
      "core |\n",
      changes / kChanges * 1e6, changes / kChanges * 12000 / 86400 * 100);
  VmList list = Fleet(kUpstreams, 320);
  constexpr int kLists = 20;
  const double lists = Seconds([&] {
    for (int n = 0; n < kLists; ++n) {
      ++list.revision;
      entry.Handle(entry::VmsChanged{list});
    }
  });
  std::printf("| a change of the VM list | %.0f us | 670 a day: %.5f%% of a core |\n",
              lists / kLists * 1e6, lists / kLists * 670 / 86400 * 100);
  // Placement: every model is new, so that each call asks and writes.
  Entry empty(0, kUpstreams, 320);
  Configuration later = Declarations(kModels);
  later.SetVersion(2);
  empty.Handle(entry::ConfigurationRead{later});
  constexpr int kPlaced = 500;
  const double placed = Seconds([&] {
    for (int n = 0; n < kPlaced; ++n) {
      empty.Call(n, kModels);
      empty.now += 100;
      empty.Handle(entry::Ticked{});
    }
  });
  std::printf("| a placement among 2,400 upstreams, to the asking | %.0f us | |\n",
              placed / kPlaced * 1e6);
}

// The burst of issue 4 in small: one model woken at many entries at once, all
// of them sharing one grant record. Counts the writes of each burst.
void Burst() {
  std::printf("\n### One model woken at many entries at once: grant writes and wait\n\n");
  std::printf(
      "| entries called | first in turn called | writes | conflicts | placed after, ms | "
      "last entry knows after, ms |\n|---|---|---|---|---|---|\n");
  constexpr DurationMs kNetworkMs = 1;  // One way, between any two.
  constexpr DurationMs kServiceMs = 3;  // From a write to its answer and to the watches.
  for (const int called : {1, 4, 16, 64, 320, -1, -4, -16, -64, -319}) {
    // Below zero the entry whose turn is first gets no call.
    const bool is_first_called = called > 0;
    const int entries = is_first_called ? called : 1 - called;
    struct Node {
      EntryCore core;
      std::vector<entry::Command> commands;
    };
    std::vector<Node> nodes;
    for (int n = 0; n < entries; ++n) {
      EntryOptions options;
      options.vm = "entry-vm-" + std::to_string(10 + n);
      options.seed = static_cast<std::uint64_t>(n) + 1;
      nodes.push_back(Node{EntryCore(options), {}});
    }
    struct Due {
      std::size_t node;
      entry::Event event;
    };
    std::multimap<TimeMs, Due> due;
    TimeMs now = 0;
    GrantRecord stored;
    stored.key = Declared(0).Key();
    int writes = 0;
    int conflicts = 0;
    TimeMs placed_at = -1;
    TimeMs known_at = -1;
    std::size_t sent = 0;
    const auto carry = [&](std::size_t n) {
      for (auto& it : nodes[n].commands) {
        if (auto* frame = std::get_if<entry::SendFrame>(&it)) {
          if (std::holds_alternative<CallFrame>(frame->frame)) {
            ++sent;
            known_at = now;
          }
          const auto* ask = std::get_if<AskFrame>(&frame->frame);
          if (ask == nullptr) continue;
          OfferFrame offer;
          offer.key = ask->key;
          offer.fits = true;
          offer.load_ms = 400;
          due.emplace(now + 2 * kNetworkMs, Due{n, entry::FrameArrived{frame->vm, offer}});
        } else if (auto* write = std::get_if<entry::WriteGrant>(&it)) {
          ++writes;
          const bool is_written = write->record.revision == stored.revision;
          if (is_written) {
            stored = write->record;
            ++stored.revision;
            if (placed_at < 0) placed_at = now;
            for (std::size_t other = 0; other < nodes.size(); ++other) {
              due.emplace(now + kServiceMs, Due{other, entry::GrantChanged{stored}});
            }
          } else {
            ++conflicts;
          }
          due.emplace(now + kServiceMs,
                      Due{n, entry::GrantOperationEnded{stored.key, is_written, true, stored}});
        }
      }
    };
    const auto handle = [&](std::size_t n, entry::Event event) {
      nodes[n].commands.clear();
      nodes[n].core.Handle(now, std::move(event), &nodes[n].commands);
      carry(n);
    };
    Configuration configuration = Declarations(1);
    VmList list = Fleet(10, 0);
    for (int n = 0; n < entries; ++n) {
      VmInfo info;
      info.vm = "entry-vm-" + std::to_string(10 + n);
      info.role = VmRole::kEntry;
      list.vms.push_back(info);
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      handle(n, entry::VmsChanged{list});
      handle(n, entry::ConfigurationRead{configuration});
    }
    std::size_t first = 0;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      const auto score = [&](std::size_t it) {
        return RendezvousScore(stored.key, "entry-vm-" + std::to_string(10 + it));
      };
      if (score(n) > score(first)) first = n;
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (!is_first_called && n == first) continue;
      entry::CallArrived call;
      call.id = "r" + std::to_string(n);
      call.name = stored.key;
      call.deadline_ms = 5000;
      handle(n, std::move(call));
    }
    for (now = 1; now < 2000 && sent < static_cast<std::size_t>(std::abs(called)); ++now) {
      while (!due.empty() && due.begin()->first <= now) {
        Due next = std::move(due.begin()->second);
        due.erase(due.begin());
        handle(next.node, std::move(next.event));
      }
      if (now % 10 != 0) continue;
      for (std::size_t n = 0; n < nodes.size(); ++n) handle(n, entry::Ticked{});
    }
    std::printf("| %d | %s | %d | %d | %lld | %lld |\n", std::abs(called),
                is_first_called ? "yes" : "no", writes, conflicts,
                static_cast<long long>(placed_at), static_cast<long long>(known_at));
  }
}

void AgentTimes() {
  AgentOptions options;
  options.vm = "worker-vm-1";
  options.max_concurrent = 64;
  options.upstream_checks_fencing = true;
  options.started_unix_ms = 1;
  const std::size_t before = HeapBytes();
  AgentCore core(options);
  std::vector<agent::Command> commands;
  TimeMs now = 1000;
  const auto handle = [&](agent::Event event) {
    commands.clear();
    core.Handle(now, std::move(event), &commands);
  };
  core.Start(now, &commands);
  // 40 replicas on 4 accelerators: ten times what one of 2,400 upstreams holds.
  agent::InventoryArrived inventory{1, {80000, 80000, 80000, 80000}, {}};
  agent::GrantsRead grants;
  for (int n = 0; n < 40; ++n) {
    inventory.models.push_back({Declared(n).Key(), ReplicaState::kLoaded,
                                static_cast<std::uint32_t>(n % 4), 4096, CacheTier::kDisk});
    grants.held.push_back({Declared(n).Key(), 0, 1});
  }
  for (int n = 0; n < 4100; ++n) grants.seen.push_back({Declared(n).Key(), 1});
  handle(inventory);
  handle(agent::FenceDone{true});
  inventory.query_id = 2;
  handle(inventory);
  handle(std::move(grants));
  std::printf("| agent tables: 40 replicas, 4,100 tokens seen | %.2f MB | |\n",
              static_cast<double>(HeapBytes() - before) / 1048576);
  constexpr int kCalls = 50000;
  const double calls = Seconds([&] {
    for (int n = 0; n < kCalls; ++n) {
      CallFrame call;
      call.id = "entry-vm-0-1796215592881-" + std::to_string(n) + ".1";
      call.key = Declared(n % 40).Key();
      call.body = std::string(400, 'x');
      call.deadline_ms = 1200;
      call.grants = {GrantView{call.key, 0, 1, 4096, "", 1}};
      const std::string id = call.id;
      handle(agent::FrameArrived{1, std::move(call)});
      handle(agent::UpstreamHead{id, 200, "text/event-stream"});
      handle(agent::UpstreamChunk{id, std::string(150, 'y')});
      handle(agent::UpstreamEnd{id});
    }
  });
  std::printf("| an agent's call from arrival to end (4 events) | %.1f us | |\n",
              calls / kCalls * 1e6);
  constexpr int kTicks = 2000;
  const double ticks = Seconds([&] {
    for (int n = 0; n < kTicks; ++n) {
      now += 1;
      handle(agent::Ticked{now});
    }
  });
  std::printf("| an agent's tick, 40 replicas | %.2f us | 100 a second: %.3f%% of a core |\n",
              ticks / kTicks * 1e6, ticks / kTicks * 100 * 100);
}

// Three days of one call a key each three minutes: what an entry's share of the
// peak gives each of 4,100 keys.
void BurnMemory() {
  constexpr int kKeys = 410;  // A tenth of the size.
  constexpr DurationMs kBetweenMs = 180000;
  constexpr DurationMs kThreeDaysMs = 3 * 86400000LL;
  const std::size_t before = HeapBytes();
  BurnTracker ledger;
  std::uint64_t calls = 0;
  const double seconds = Seconds([&] {
    for (TimeMs now = kThreeDaysMs; now < 2 * kThreeDaysMs; now += kBetweenMs) {
      for (int n = 0; n < kKeys; ++n) {
        ledger.Add(now, Declared(n).Key(), ClassifyResponse(Objectives(), 100, false));
        ++calls;
      }
    }
  });
  std::printf(
      "| burn counts after three days, a key | %.2f KB | at 4,100: %.1f MB; %.2f us a call |\n",
      static_cast<double>(HeapBytes() - before) / 1024 / kKeys,
      static_cast<double>(HeapBytes() - before) / 1048576 / kKeys * 4100,
      seconds / static_cast<double>(calls) * 1e6);
}

void Sizes() {
  const std::string snapshot = EncodeConfiguration(Declarations(4100));
  ConfigChange change;
  change.version = 12345;
  change.change_id = "0123456789abcdef";
  change.author = "operator";
  change.models.push_back(Declared(1));
  std::printf("| the snapshot of 4,100 models and adapters | %.0f KB | limit 1,024 KB |\n",
              static_cast<double>(snapshot.size()) / 1024);
  std::printf("| one change of one model in the log | %zu B | |\n", EncodeChange(change).size());
  std::printf("| one grant with two slots | %zu B | |\n", EncodeGrant(Granted(1, 2400)).size());
}

}  // namespace
}  // namespace junctionrail::bench

int main() {
  using namespace junctionrail::bench;
  std::printf("### Memory slopes (least squares over five sizes)\n\n");
  std::printf("| table | slope | r2 | intercept, KB | at the size, KB |\n|---|---|---|---|---|\n");
  EntryMemory();
  std::printf(
      "\n### Times and sizes at 4,100 models and adapters, 2,400 upstreams, 320 entries\n\n");
  std::printf("| what | measured | note |\n|---|---|---|\n");
  EntryTimes();
  AgentTimes();
  BurnMemory();
  Sizes();
  Burst();
  return 0;
}

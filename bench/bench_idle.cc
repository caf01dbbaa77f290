// The idle policy against keep-forever, fixed times and LRU under pressure, on
// arrival traces generated from seeds in the shape of both deployments: about
// 50 models, most idle, bursts at wake. Uses the policy's own code. Prints
// Markdown and, with --svg=FILE, a plot; nothing here asserts.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "junctionrail/idle_policy.h"

ABSL_FLAG(std::string, svg, "", "Where to write the plot.");
ABSL_FLAG(int, seeds, 5, "Traces of each deployment.");

namespace junctionrail::bench {
namespace {

constexpr double kDayS = 86400;
constexpr double kDays = 7;
constexpr double kServiceS = 1.0;

struct Deployment {
  const char* name;
  double cold_weight;
  double idle_weight;
  double busiest_gap_s;  // Between bursts of the busiest model.
  double rarest_gap_s;   // Of the rarest.
  double burst_calls;    // Mean.
  double in_burst_s;     // Mean time between its calls.
};
// Transfers come often and in short bursts; building sites call now and then.
constexpr Deployment kDeployments[] = {{"Hayatsuki", 1.0, 0.005, 60, 14400, 6, 8},
                                       {"CMMC", 1.0, 0.05, 240, 43200, 4, 25}};
constexpr int kModels = 50;

struct ModelTrace {
  double load_s;
  std::vector<double> calls;
};

// Bursts follow a Poisson process that is slower at night; calls in a burst
// are a geometric number apart by exponential times.
std::vector<ModelTrace> MakeTraces(const Deployment& d, unsigned seed) {
  std::mt19937_64 random(seed);
  std::vector<ModelTrace> traces;
  for (int n = 0; n < kModels; ++n) {
    ModelTrace trace;
    trace.load_s = std::uniform_real_distribution<double>(1.0, 8.0)(random);
    const double share = static_cast<double>(n) / (kModels - 1);
    const double gap = d.busiest_gap_s * std::pow(d.rarest_gap_s / d.busiest_gap_s, share);
    std::exponential_distribution<double> next(1 / gap);
    std::exponential_distribution<double> inside(1 / d.in_burst_s);
    std::geometric_distribution<int> more(1 / d.burst_calls);
    for (double at = next(random); at < kDays * kDayS;) {
      double call = at;
      const int calls = 1 + more(random);
      for (int it = 0; it < calls; ++it) {
        trace.calls.push_back(call);
        call += inside(random);
      }
      const double hour = std::fmod(at / 3600, 24);
      const double slow = hour < 7 ? 4.0 : 1.0;
      at = std::max(call, at + next(random) * slow);
    }
    std::sort(trace.calls.begin(), trace.calls.end());
    traces.push_back(std::move(trace));
  }
  return traces;
}

struct Outcome {
  std::vector<double> waits_s;  // Cold start that each call waited for.
  double idle_s = 0;
  double cold_s = 0;
  int colds = 0;

  double Cost(const Deployment& d) const { return d.cold_weight * cold_s + d.idle_weight * idle_s; }
};

// One model under one policy; models are independent without pressure.
void Play(const ModelTrace& trace, const IdlePolicy& policy, Outcome* outcome) {
  ArrivalHistory history;
  const auto load_ms = static_cast<DurationMs>(trace.load_s * 1000);
  double free_at = -1;  // End of the last work; below 0 before the first call.
  DurationMs limit_ms = 0;
  for (const double call : trace.calls) {
    double ready = call;
    if (free_at < 0) {
      ready = call + trace.load_s;
    } else if (call > free_at) {
      const double gap = call - free_at;
      const bool is_held = limit_ms == kNeverUnload || gap * 1000 <= static_cast<double>(limit_ms);
      outcome->idle_s += is_held ? gap : static_cast<double>(limit_ms) / 1000;
      if (!is_held) ready = call + trace.load_s;
      history.AddGap(static_cast<DurationMs>(gap * 1000));
    }
    const double wait = ready - call;
    outcome->waits_s.push_back(wait);
    outcome->cold_s += wait;
    outcome->colds += wait > 0 ? 1 : 0;
    free_at = std::max(free_at, ready + kServiceS);
    limit_ms = IdleLimit(policy, history, load_ms);
  }
  const double rest = std::max(0.0, kDays * kDayS - free_at);
  outcome->idle_s +=
      limit_ms == kNeverUnload ? rest : std::min(rest, static_cast<double>(limit_ms) / 1000);
}

// Every call of all models in time order, with room for `places` models.
Outcome PlayLru(const std::vector<ModelTrace>& traces, std::size_t places) {
  struct Call {
    double at;
    std::size_t model;
  };
  std::vector<Call> calls;
  for (std::size_t n = 0; n < traces.size(); ++n) {
    for (const double it : traces[n].calls) calls.push_back({it, n});
  }
  std::sort(calls.begin(), calls.end(), [](const Call& a, const Call& b) { return a.at < b.at; });
  std::vector<double> free_at(traces.size(), -1);
  std::vector<bool> loaded(traces.size(), false);
  std::size_t held = 0;
  Outcome outcome;
  for (const auto& it : calls) {
    double ready = it.at;
    if (!loaded[it.model]) {
      ready += traces[it.model].load_s;
      if (held == places) {
        std::size_t oldest = traces.size();
        for (std::size_t n = 0; n < traces.size(); ++n) {
          if (loaded[n] && (oldest == traces.size() || free_at[n] < free_at[oldest])) oldest = n;
        }
        loaded[oldest] = false;
        outcome.idle_s += std::max(0.0, it.at - free_at[oldest]);
        --held;
      }
      loaded[it.model] = true;
      ++held;
    } else {
      outcome.idle_s += std::max(0.0, it.at - free_at[it.model]);
    }
    outcome.waits_s.push_back(ready - it.at);
    outcome.cold_s += ready - it.at;
    outcome.colds += ready > it.at ? 1 : 0;
    free_at[it.model] = std::max(free_at[it.model], ready + kServiceS);
  }
  for (std::size_t n = 0; n < traces.size(); ++n) {
    if (loaded[n]) outcome.idle_s += std::max(0.0, kDays * kDayS - free_at[n]);
  }
  return outcome;
}

// The least cost with every gap known beforehand.
double Hindsight(const std::vector<ModelTrace>& traces, const Deployment& d) {
  double cost = 0;
  for (const auto& trace : traces) {
    double free_at = -1;
    for (const double call : trace.calls) {
      const double cold = d.cold_weight * trace.load_s;
      if (free_at < 0) {
        cost += cold;
      } else if (call > free_at) {
        cost += std::min(cold, d.idle_weight * (call - free_at));
      }
      free_at = std::max(free_at, call + kServiceS);
    }
  }
  return cost;
}

double Percentile(std::vector<double>* values, double share) {
  const auto n =
      static_cast<std::ptrdiff_t>(std::lround(share * static_cast<double>(values->size() - 1)));
  std::nth_element(values->begin(), values->begin() + n, values->end());
  return (*values)[static_cast<std::size_t>(n)];
}

struct Row {
  std::string policy;
  double p95, p99, cold_share, idle_hours, cost, over;
};

std::vector<Row> Compare(const Deployment& d) {
  struct Named {
    std::string name;
    IdlePolicy policy;
  };
  const std::vector<Named> policies = {
      {"weighted cost (ours)", WeightedCost{d.cold_weight, d.idle_weight, 3600000}},
      {"keep forever", KeepForever{}},
      {"fixed 60 s", FixedTtl{60000}},
      {"fixed 300 s", FixedTtl{300000}},
      {"fixed 900 s", FixedTtl{900000}}};
  std::vector<Row> rows;
  const int seeds = absl::GetFlag(FLAGS_seeds);
  const auto add = [&](const std::string& name, const auto& play) {
    Outcome all;
    double best = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      const auto traces = MakeTraces(d, static_cast<unsigned>(seed));
      const Outcome one = play(traces);
      all.waits_s.insert(all.waits_s.end(), one.waits_s.begin(), one.waits_s.end());
      all.idle_s += one.idle_s;
      all.cold_s += one.cold_s;
      all.colds += one.colds;
      best += Hindsight(traces, d);
    }
    const double calls = static_cast<double>(all.waits_s.size());
    rows.push_back({name, Percentile(&all.waits_s, 0.95), Percentile(&all.waits_s, 0.99),
                    all.colds / calls, all.idle_s / 3600 / seeds / kDays, all.Cost(d) / seeds,
                    all.Cost(d) / best});
  };
  for (const auto& it : policies) {
    add(it.name, [&it](const std::vector<ModelTrace>& traces) {
      Outcome outcome;
      for (const auto& trace : traces) Play(trace, it.policy, &outcome);
      return outcome;
    });
  }
  for (const std::size_t places : {std::size_t{8}, std::size_t{16}, std::size_t{32}}) {
    add("LRU, room for " + std::to_string(places),
        [places](const std::vector<ModelTrace>& traces) { return PlayLru(traces, places); });
  }
  return rows;
}

void Plot(std::ofstream& out, const Deployment& d, const std::vector<Row>& rows, int top) {
  constexpr int kLeft = 80;
  constexpr int kWide = 420;
  constexpr int kHigh = 220;
  double most_idle = 0;
  double most_cold = 0;
  for (const auto& it : rows) {
    most_idle = std::max(most_idle, it.idle_hours);
    most_cold = std::max(most_cold, it.p99);
  }
  out << "<text x='" << kLeft << "' y='" << top - 12 << "' font-weight='bold'>" << d.name
      << ": p99 cold start, s, against idle accelerator hours a day</text>"
      << "<rect x='" << kLeft << "' y='" << top << "' width='" << kWide << "' height='" << kHigh
      << "' fill='none' stroke='#888'/>";
  for (std::size_t n = 0; n < rows.size(); ++n) {
    const double x = kLeft + rows[n].idle_hours / most_idle * kWide * 0.95;
    const double y = top + kHigh - rows[n].p99 / most_cold * kHigh * 0.95;
    const char* colour = n == 0 ? "#c00" : "#36c";
    out << "<circle cx='" << x << "' cy='" << y << "' r='5' fill='" << colour << "'/>"
        << "<text x='" << kLeft + kWide + 16 << "' y='" << top + 16 + 22 * static_cast<int>(n)
        << "' fill='" << colour << "'>" << static_cast<char>('A' + n) << " " << rows[n].policy
        << "</text><text x='" << x + 7 << "' y='" << y - 6 << "' fill='" << colour << "'>"
        << static_cast<char>('A' + n) << "</text>";
  }
  out << "<text x='" << kLeft << "' y='" << top + kHigh + 18 << "'>0 h</text><text x='"
      << kLeft + kWide - 40 << "' y='" << top + kHigh + 18 << "'>" << std::lround(most_idle)
      << " h</text><text x='30' y='" << top + 12 << "'>" << std::lround(most_cold)
      << " s</text><text x='30' y='" << top + kHigh << "'>0 s</text>";
}

}  // namespace
}  // namespace junctionrail::bench

int main(int argc, char** argv) {
  using namespace junctionrail::bench;
  absl::ParseCommandLine(argc, argv);
  std::ofstream svg(absl::GetFlag(FLAGS_svg));
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='760' height='620' "
         "font-family='sans-serif' "
         "font-size='13'><rect width='760' height='620' fill='white'/>";
  int top = 50;
  for (const auto& d : kDeployments) {
    const auto rows = Compare(d);
    std::printf("\n### %s: cold weight %.3g, idle weight %.3g, %d traces of %.0f days\n\n", d.name,
                d.cold_weight, d.idle_weight, absl::GetFlag(FLAGS_seeds), kDays);
    std::printf(
        "| policy | p95 cold, s | p99 cold, s | calls that met a cold start | idle hours a day | "
        "weighted cost | over hindsight |\n|---|---|---|---|---|---|---|\n");
    for (const auto& it : rows) {
      std::printf("| %s | %.2f | %.2f | %.2f%% | %.1f | %.0f | %.2fx |\n", it.policy.c_str(),
                  it.p95, it.p99, it.cold_share * 100, it.idle_hours, it.cost, it.over);
    }
    Plot(svg, d, rows, top);
    top += 300;
  }
  svg << "</svg>\n";
  return 0;
}

// The direct path's control work at growing sizes: what one view of an engine
// costs an entry, one round of demand, and one choice. Prints; asserts nothing.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "junctionrail/placement.h"
#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

using Clock = std::chrono::steady_clock;

double MicrosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

std::string ModelName(int n) { return "model-" + std::to_string(n); }

EngineView MakeView(int n, int models) {
  EngineView view;
  view.instance = "instance-" + std::to_string(n);
  for (int i = 0; i < 3; ++i)
    view.loaded.push_back({ModelName((n * 3 + i) % models), {"a1", "a2"}});
  for (int i = 0; i < 12; ++i) view.cached_models.push_back(ModelName((n * 7 + i) % models));
  view.running = 20;
  return view;
}

void Measure(int engines, int models) {
  RoutingOptions options;
  options.topology = Topology("hall", {});
  UpstreamTable table(options);
  EngineSpec spec;
  spec.accelerator_mb = 230;
  for (int n = 0; n < models; ++n) spec.models.push_back({ModelName(n), 70, 1, 6000, 800, 400});
  table.ApplyServices({{"engines", 100, spec}});
  std::vector<UpstreamRecord> listing;
  std::vector<std::string> encoded;
  for (int n = 0; n < engines; ++n) {
    listing.push_back(
        {"instance-" + std::to_string(n), "engines", {"10.0.0.1", 80}, "hall", 64, false, {}, n});
    listing.back().endpoint.port = static_cast<std::uint16_t>(n + 1);
    encoded.push_back(EncodeView(MakeView(n, models)));
  }
  TimeMs now = 1000;
  auto start = Clock::now();
  table.ApplyListing(listing, now);
  const double listing_us = MicrosecondsSince(start);
  start = Clock::now();
  for (const auto& it : encoded) {
    EngineView view;
    if (DecodeView(it, &view)) table.ApplyView(view, now);
  }
  const double view_us = MicrosecondsSince(start) / engines;
  for (int n = 0; n < models; ++n) table.OnArrival(ModelRef{ModelName(n), {}}, 1, 300, now);
  start = Clock::now();
  const auto demands = table.BuildDemands({}, now);
  const double demands_us = MicrosecondsSince(start);
  constexpr int kChoices = 200;
  start = Clock::now();
  for (int n = 0; n < kChoices; ++n) {
    PickRequest request;
    request.service = "engines";
    request.model = ModelRef{ModelName(n % models), {}};
    table.Choose(request, now);
  }
  const double choice_us = MicrosecondsSince(start) / kChoices;
  std::printf("%8d %8d %10zu %12.1f %12.0f %14.0f %12.1f\n", engines, models, encoded[0].size(),
              view_us, listing_us, demands_us, choice_us);
}

}  // namespace
}  // namespace junctionrail

int main() {
  std::printf("%8s %8s %10s %12s %12s %14s %12s\n", "engines", "models", "view B", "view us",
              "listing us", "demands us", "choice us");
  junctionrail::Measure(9, 50);
  junctionrail::Measure(50, 280);
  junctionrail::Measure(300, 1000);
  junctionrail::Measure(2400, 1900);
  return 0;
}

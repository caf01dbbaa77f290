// Test fixture: an upstream table for engines with models, without sockets.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_ROUTING_WORLD_H_
#define JUNCTIONRAIL_TEST_SUPPORT_ROUTING_WORLD_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "junctionrail/routing.h"

namespace junctionrail::testing {

inline EngineSpec MakeSpec() {
  EngineSpec spec;
  spec.accelerator_mb = 230;
  spec.adapter_slots = 8;
  for (const char* name : {"a", "b", "c"}) spec.models.push_back({name, 72, 1, 6000, 800, 400});
  return spec;
}

inline UpstreamRecord MakeRecord(const std::string& instance, const std::string& hall = "hall-1") {
  return {instance, "engine", {"10.0.0.1", 80}, hall, 64, false, {}};
}

inline EngineView MakeView(const std::string& instance, std::vector<LoadedModel> loaded = {},
                           std::vector<std::string> at_hand = {}) {
  EngineView view;
  view.instance = instance;
  view.loaded = std::move(loaded);
  view.cached_models = std::move(at_hand);
  return view;
}

// An entry's upstream table, in simulated time.
struct TableFixture {
  // Staging and spare copies are disabled except in their own tests.
  explicit TableFixture(bool stages = false, bool spares = false) : table(Options(stages, spares)) {
    table.ApplyServices({{"engine", 100, MakeSpec()}, {"plain", 100, std::nullopt}});
  }
  static RoutingOptions Options(bool stages, bool spares) {
    RoutingOptions options;
    options.topology = Topology("hall-1", {});
    options.policy.stages = stages;
    options.policy.spares = spares;
    return options;
  }

  // Returns the choice as "send u1" or "wait u1", or the reason why there is none.
  std::string Choose(const std::string& service, std::optional<ModelRef> model = std::nullopt,
                     std::vector<std::string> tried = {}) {
    PickRequest request;
    request.service = service;
    request.model = std::move(model);
    request.tried = std::move(tried);
    const PickResult pick = table.Choose(request, now);
    if (const auto* to = std::get_if<SendTo>(&pick)) return "send " + to->instance;
    if (const auto* wait = std::get_if<WaitFor>(&pick)) {
      estimate_ms = wait->estimate_ms;
      return "wait " + wait->instance;
    }
    retry_after_ms = std::get<NoUpstream>(pick).retry_after_ms;
    return std::get<NoUpstream>(pick).reason;
  }

  UpstreamThrottle& Throttle(const std::string& instance) { return *table.FindThrottle(instance); }

  UpstreamTable table;
  TimeMs now = 100000;
  DurationMs estimate_ms = 0;     // Of the last choice, if it was to wait.
  DurationMs retry_after_ms = 0;  // Of the last choice, if there was none.
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_ROUTING_WORLD_H_

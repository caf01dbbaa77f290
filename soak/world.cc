#include "world.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace junctionrail::soak {
namespace {

using nlohmann::json;

// Less than some pauses of entries, more than any of a caller.
constexpr int kShortIdleMs = 600;

const std::vector<std::string> kRegionsOfRegional = {"north", "south"};

bool Allows(const std::vector<std::string>& regions, const std::string& region) {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

json Organisations(bool has_key) {
  json organisations = json::array();
  for (const char* it : kOrganisations) {
    organisations.push_back({{"name", it}, {"apiKeys", {std::string("key of ") + it}}});
  }
  organisations[1]["ratePerS"] = kLimitedPerS;
  organisations[1]["burst"] = kLimitedBurst;
  if (!has_key) organisations[2]["apiKeys"] = json::array();
  organisations[3]["allowedRegions"] = kRegionsOfRegional;
  return organisations;
}

json RouteDocument(const RouteSpec& route, Random& random) {
  const bool is_resumable = route.is_stream && route.may_repeat;
  const char* plain_kind = route.may_repeat ? "idempotent" : "non_idempotent";
  return {{"name", route.name},
          {"hostname", "soak.example"},
          {"pathPrefix", "/" + route.name + "/"},
          {"kind", route.is_stream ? "streaming" : plain_kind},
          {"timeoutMs", kLeastTimeoutMs + static_cast<DurationMs>(random() % 400)},
          {"targetLatencyMs", 800},
          {"gapAimMs", 300},
          {"priority", 1},
          {"service", route.is_stream ? kEngineService : kPlainService},
          {"maxAttempts", route.may_repeat ? 2 : 1},
          {"resumable", is_resumable},
          {"allowedRegions", route.regions}};
}

json Service(const char* name) {
  return {{"name", name},
          {"maxConns", 200},
          {"coldStartS", static_cast<double>(kColdMs) / 1000},
          {"coldPerS", kColdPerS}};
}

json Models() {
  json models = json::array();
  for (const char* it : kModels) {
    models.push_back({{"name", it},
                      {"weightsMb", 40},
                      {"loadTimeS", 0.5},
                      {"diskS", 0.12},
                      {"warmS", 0.1},
                      {"adapters", 1},
                      {"adapterMb", 1}});
  }
  return models;
}

}  // namespace

const std::vector<Hall>& Halls() {
  static const std::vector<Hall> halls = {
      {"hall-1", "north"}, {"hall-2", "north"}, {"hall-3", "east"}, {"hall-4", "south"}};
  return halls;
}

const std::vector<std::string>& Regions() {
  static const std::vector<std::string> regions = {"north", "east", "south"};
  return regions;
}

const std::vector<RouteSpec>& Routes() {
  static const std::vector<RouteSpec> routes = {{"once", false, false, {}},
                                                {"repeatable", false, true, {}},
                                                {"resumable", true, true, {}},
                                                {"stream", true, false, {}},
                                                {"bound", false, true, {"east", "south"}},
                                                {"bound-stream", true, true, {"north", "east"}}};
  return routes;
}

const RouteSpec& RouteOf(const std::string& request_line) {
  return *std::find_if(Routes().begin(), Routes().end(), [&](const RouteSpec& it) {
    return request_line.find(" /" + it.name + "/") != std::string::npos;
  });
}

std::set<std::string> AllowedHalls(const RouteSpec& route, const std::string& organisation) {
  std::set<std::string> halls;
  for (const Hall& it : Halls()) {
    const bool is_allowed =
        organisation != kOrganisations[3] || Allows(kRegionsOfRegional, it.region);
    if (is_allowed && Allows(route.regions, it.region)) halls.insert(it.name);
  }
  return halls;
}

std::string ConfigurationDocument(int version, bool has_key, Random& random) {
  json routes = json::array();
  for (const RouteSpec& it : Routes()) routes.push_back(RouteDocument(it, random));
  json engines = Service(kEngineService);
  engines["engine"] = {{"weightsMb", 95}, {"adapterSlots", kEnginePlaces}, {"models", Models()}};
  const json configuration = {{"version", version},
                              {"routes", routes},
                              {"tenants", Organisations(has_key)},
                              {"services", {engines, Service(kPlainService)}},
                              {"limits",
                               {{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 65536},
                                {"headerTimeoutMs", 2000},
                                {"idleTimeoutMs", random() % 2 == 0 ? 5000 : kShortIdleMs}}}};
  return configuration.dump();
}

}  // namespace junctionrail::soak

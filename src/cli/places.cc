#include "places.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "entry_call.h"

namespace junctionrail::cli {
namespace {

constexpr double kMsPerS = 1000;

// Entries of earlier versions state no distances.
std::string RoundTripOf(const nlohmann::json& hall) {
  if (!hall.contains("round_trip_ms")) return "-";
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f ms", hall.value("round_trip_ms", 0.0));
  return text;
}

std::string AgeOf(const nlohmann::json& hall) {
  if (!hall.contains("round_trip_ms")) return "-";
  if (!hall.contains("round_trip_age_ms")) return "default";
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f s", hall.value("round_trip_age_ms", 0.0) / kMsPerS);
  return text;
}

std::string StateOf(const nlohmann::json& hall) {
  if (!hall.value("is_evacuated", false)) return "open";
  const long long closes_in_ms = hall.value("closes_in_ms", 0LL);
  return closes_in_ms > 0 ? "evacuated, closes in " + std::to_string(closes_in_ms) + " ms"
                          : "evacuated, closed";
}

void PrintHall(const nlohmann::json& hall) {
  const std::string region = hall.value("region", std::string());
  const std::string reachable =
      hall.contains("reachable") ? std::to_string(hall.value("reachable", 0LL)) : "-";
  std::printf("%-24s %-16s %-12s %10s %8s %10lld %9s %6lld  %s\n",
              hall.value("hall", std::string()).c_str(),
              region.empty() ? "unknown" : region.c_str(),
              hall.value("distance", std::string("-")).c_str(), RoundTripOf(hall).c_str(),
              AgeOf(hall).c_str(), hall.value("upstreams", 0LL), reachable.c_str(),
              hall.value("cold", 0LL), StateOf(hall).c_str());
}

}  // namespace

ExitCode ListPlaces(const Options& options) {
  HttpAnswer answer;
  const ExitCode code = CallEntry(options, "GET", "/places", &answer);
  if (code != kDone) return code;
  const auto page = nlohmann::json::parse(answer.body, nullptr, false);
  const bool is_page = answer.status == 200 && page.is_object() && page.contains("halls");
  if (!is_page) return BadAnswer(options, answer);
  if (options.is_json) {
    std::printf("%s\n", answer.body.c_str());
    return kDone;
  }
  std::printf("%-24s %-16s %-12s %10s %8s %10s %9s %6s  %s\n", "data hall", "region", "distance",
              "round trip", "age", "upstreams", "reachable", "cold", "state");
  for (const auto& it : page["halls"]) PrintHall(it);
  return kDone;
}

}  // namespace junctionrail::cli

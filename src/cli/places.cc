#include "places.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "entry_call.h"

namespace junctionrail::cli {

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
  std::printf("%-24s %-16s %10s %6s  %s\n", "data hall", "region", "upstreams", "cold", "state");
  for (const auto& it : page["halls"]) {
    std::string state = "open";
    const long long closes_in_ms = it.value("closes_in_ms", 0LL);
    if (it.value("is_evacuated", false)) {
      state = closes_in_ms > 0 ? "evacuated, closes in " + std::to_string(closes_in_ms) + " ms"
                               : "evacuated, closed";
    }
    const std::string region = it.value("region", std::string());
    std::printf("%-24s %-16s %10lld %6lld  %s\n", it.value("hall", std::string()).c_str(),
                region.empty() ? "unknown" : region.c_str(),
                static_cast<long long>(it.value("upstreams", 0LL)),
                static_cast<long long>(it.value("cold", 0LL)), state.c_str());
  }
  return kDone;
}

}  // namespace junctionrail::cli

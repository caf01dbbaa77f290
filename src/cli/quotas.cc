#include "quotas.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "entry_call.h"

namespace junctionrail::cli {

ExitCode ListQuotas(const Options& options) {
  HttpAnswer answer;
  const ExitCode code = CallEntry(options, "GET", "/quotas", &answer);
  if (code != kDone) return code;
  const auto page = nlohmann::json::parse(answer.body, nullptr, false);
  const bool is_page = answer.status == 200 && page.is_object() && page.contains("quotas");
  if (!is_page) return BadAnswer(options, answer);
  if (options.is_json) {
    std::printf("%s\n", answer.body.c_str());
    return kDone;
  }
  std::printf("%-24s %12s %12s %9s %14s %9s  %s\n", "organisation", "per s", "burst", "taken",
              "amount", "refused", "giver");
  for (const auto& it : page["quotas"]) {
    const std::string giver = it.value("giver", std::string());
    std::printf("%-24s %12.0f %12.0f %9lld %14.0f %9lld  %s%s\n",
                it.value("organisation", std::string()).c_str(), it.value("per_s", 0.0),
                it.value("burst", 0.0), static_cast<long long>(it.value("taken", 0LL)),
                it.value("amount", 0.0), static_cast<long long>(it.value("refused", 0LL)),
                giver.empty() ? "none" : giver.c_str(),
                it.value("is_silent", false) ? ", silent" : "");
  }
  return kDone;
}

}  // namespace junctionrail::cli

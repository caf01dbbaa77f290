#include "quarantine_page.h"

#include <nlohmann/json.hpp>

namespace junctionrail::internal {
namespace {

constexpr std::string_view kRelease = "/quarantine/release/";

}  // namespace

std::string QuarantinePage(const QuarantineTable& quarantine, TimeMs now) {
  nlohmann::json refused = nlohmann::json::array();
  for (const auto& it : quarantine.Refusals()) {
    refused.push_back(
        {{"digest", it.digest.ToString()}, {"age_ms", now - it.since}, {"ends", it.crashes}});
  }
  return nlohmann::json{{"refused", refused},
                        {"suspects", quarantine.suspect_count()},
                        {"cleared", quarantine.cleared_count()}}
      .dump();
}

bool IsReleaseTarget(std::string_view target) {
  return target.substr(0, kRelease.size()) == kRelease;
}

std::optional<RequestDigest> ReleasedDigest(std::string_view target) {
  return RequestDigest::Parse(target.substr(kRelease.size()));
}

}  // namespace junctionrail::internal

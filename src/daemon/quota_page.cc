#include "quota_page.h"

#include <nlohmann/json.hpp>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {

std::string QuotaPage(const QuotaClient& quotas, TimeMs now) {
  nlohmann::json list = nlohmann::json::array();
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& it : quotas.Usages(now)) {
    if (!it.upstream.empty()) {
      upstreams.push_back({{"upstream", it.upstream},
                           {"per_s", it.limit.rate_per_s},
                           {"taken", it.admitted},
                           {"refused", it.refused},
                           {"giver", it.allocator},
                           {"is_silent", it.is_allocator_silent}});
      continue;
    }
    list.push_back({{"organisation", it.limit.organisation},
                    {"per_s", it.limit.rate_per_s},
                    {"burst", it.limit.burst},
                    {"taken", it.admitted},
                    {"amount", it.admitted_amount},
                    {"refused", it.refused},
                    {"credit", it.credit},
                    {"giver", it.allocator},
                    {"is_silent", it.is_allocator_silent}});
  }
  return DumpJson(nlohmann::json{{"quotas", list}, {"upstreams", upstreams}});
}

}  // namespace junctionrail::internal

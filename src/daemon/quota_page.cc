#include "quota_page.h"

#include <nlohmann/json.hpp>

namespace junctionrail::internal {

std::string QuotaPage(const QuotaTaker& quotas, TimeMs now) {
  nlohmann::json list = nlohmann::json::array();
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& it : quotas.Usages(now)) {
    if (!it.upstream.empty()) {
      upstreams.push_back({{"upstream", it.upstream},
                           {"per_s", it.limit.per_s},
                           {"taken", it.taken},
                           {"refused", it.refused},
                           {"giver", it.giver},
                           {"is_silent", it.is_silent}});
      continue;
    }
    list.push_back({{"organisation", it.limit.organisation},
                    {"per_s", it.limit.per_s},
                    {"burst", it.limit.burst},
                    {"taken", it.taken},
                    {"amount", it.amount},
                    {"refused", it.refused},
                    {"credit", it.credit},
                    {"giver", it.giver},
                    {"is_silent", it.is_silent}});
  }
  return nlohmann::json{{"quotas", list}, {"upstreams", upstreams}}.dump();
}

}  // namespace junctionrail::internal

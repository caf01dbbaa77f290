#include "quota_page.h"

#include <nlohmann/json.hpp>

namespace junctionrail::internal {

std::string QuotaPage(const QuotaTaker& quotas, TimeMs now) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& it : quotas.Usages(now)) {
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
  return nlohmann::json{{"quotas", list}}.dump();
}

}  // namespace junctionrail::internal

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {

bool UpstreamRecord::operator==(const UpstreamRecord& other) const {
  const auto fields = [](const UpstreamRecord& it) {
    return std::tie(it.instance, it.service, it.endpoint, it.data_hall, it.slots, it.is_leaving,
                    it.loaded, it.generation, it.is_missing, it.id, it.started_unix_ms,
                    it.is_unreadable, it.cold_ms, it.cached_models, it.software_version);
  };
  return fields(*this) == fields(other);
}

std::vector<UpstreamRecord> KeepLatestAtEachEndpoint(std::vector<UpstreamRecord> records) {
  std::map<std::string, std::int64_t> latest;
  for (const auto& it : records) {
    std::int64_t& generation = latest[it.endpoint.ToString()];
    generation = std::max(generation, it.generation);
  }
  const auto is_outdated = [&latest](const UpstreamRecord& it) {
    return it.generation < latest[it.endpoint.ToString()];
  };
  records.erase(std::remove_if(records.begin(), records.end(), is_outdated), records.end());
  return records;
}

}  // namespace junctionrail

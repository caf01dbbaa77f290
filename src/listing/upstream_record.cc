#include <algorithm>
#include <map>
#include <utility>

#include "junctionrail/listing.h"

namespace junctionrail {

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

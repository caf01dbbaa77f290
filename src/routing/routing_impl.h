// Helpers shared by the source files of UpstreamTable.
#ifndef JUNCTIONRAIL_ROUTING_ROUTING_IMPL_H_
#define JUNCTIONRAIL_ROUTING_ROUTING_IMPL_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/routing.h"

namespace junctionrail::internal {

inline bool HoldsModel(const std::vector<LoadedModel>& loaded, std::string_view model) {
  return std::any_of(loaded.begin(), loaded.end(),
                     [&](const LoadedModel& it) { return it.name == model; });
}

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_ROUTING_ROUTING_IMPL_H_

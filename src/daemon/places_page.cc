#include "places_page.h"

#include <nlohmann/json.hpp>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {

std::string PlacesPage(const UpstreamTable& upstreams, TimeMs now) {
  nlohmann::json halls = nlohmann::json::array();
  for (const auto& it : upstreams.HallStates(now)) {
    nlohmann::json hall = {{"hall", it.hall},
                           {"region", it.region},
                           {"upstreams", it.upstreams},
                           {"cold", it.cold_upstreams},
                           {"reachable", it.reachable_upstreams},
                           {"distance", NameOf(it.distance)},
                           {"round_trip_ms", it.round_trip.ms},
                           {"is_evacuated", it.closes_in_ms >= 0}};
    if (it.round_trip.age_ms >= 0) hall["round_trip_age_ms"] = it.round_trip.age_ms;
    if (it.closes_in_ms >= 0) hall["closes_in_ms"] = it.closes_in_ms;
    halls.push_back(std::move(hall));
  }
  // Names of halls come from keys of the store, which may hold any bytes.
  return DumpJson(nlohmann::json{{"halls", halls}});
}

}  // namespace junctionrail::internal

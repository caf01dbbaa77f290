// Data halls as an entry knows them, for operators.
#ifndef JUNCTIONRAIL_DAEMON_PLACES_PAGE_H_
#define JUNCTIONRAIL_DAEMON_PLACES_PAGE_H_

#include <string>

#include "junctionrail/routing.h"

namespace junctionrail::internal {

// A JSON document: each data hall with its region, its distance and round-trip time, its upstreams,
// how many of them are cold and reachable, and whether it is evacuated.
std::string PlacesPage(const UpstreamTable& upstreams, TimeMs now);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_PLACES_PAGE_H_

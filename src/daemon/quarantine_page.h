// What operators see of requests that end upstreams, at an entry's address for peers:
// GET /quarantine lists refusals, POST /quarantine/release/DIGEST lifts one.
#ifndef JUNCTIONRAIL_DAEMON_QUARANTINE_PAGE_H_
#define JUNCTIONRAIL_DAEMON_QUARANTINE_PAGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "junctionrail/quarantine.h"

namespace junctionrail::internal {

// As JSON: `refused`, each with its digest, age in ms and the upstreams that ended under
// it; `suspects` and `cleared` as counts.
std::string QuarantinePage(const QuarantineTable& quarantine, TimeMs now);
bool IsReleaseTarget(std::string_view target);
// None when it names no digest.
std::optional<RequestDigest> ReleasedDigest(std::string_view target);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_QUARANTINE_PAGE_H_

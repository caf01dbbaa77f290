// Metrics that both roles tell of their links and of the key-value service.
#ifndef JUNCTIONRAIL_DAEMON_DAEMON_METRICS_H_
#define JUNCTIONRAIL_DAEMON_DAEMON_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "junctionrail/net.h"
#include "junctionrail/store.h"
#include "junctionrail/telemetry.h"

namespace junctionrail::internal {

// Links closed for a frame that could not be taken, by reason.
using BadFrames = std::map<std::string, std::uint64_t>;

void AddShared(std::size_t present, std::size_t links, const BadFrames& bad_frames,
               const KvCounters& kv, MetricsPage* page);

// Of the limits on the clients of an HTTP server.
void AddServer(const HttpServerCounters& server, const ClientMemory& memory, MetricsPage* page);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_DAEMON_METRICS_H_

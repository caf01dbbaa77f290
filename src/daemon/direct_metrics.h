// The metrics pages of the direct path's two roles.
#ifndef JUNCTIONRAIL_DAEMON_DIRECT_METRICS_H_
#define JUNCTIONRAIL_DAEMON_DIRECT_METRICS_H_

#include <cstdint>
#include <string>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "loop_monitor.h"
#include "platform.h"
#include "relay_follower.h"

namespace junctionrail::internal {

struct AgentOrderCounters {
  std::uint64_t orders = 0;
  std::uint64_t orders_not_accepted = 0;
};

// What the page of an entry shows.
struct EntryMetricsSources {
  const Gateway& gateway;
  const RelayUse& relay;
  const platform::ConfigurationFollower& configuration;
  const platform::StoreClient& store;
  const LoopMonitor& loop;
  const EventLog& log;
};

std::string EntryMetrics(const EntryMetricsSources& sources);
std::string AgentMetrics(const AgentOrderCounters& counters, const platform::StoreClient& store,
                         const LoopMonitor& loop, const EventLog& log);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_DIRECT_METRICS_H_

#include "daemon_metrics.h"

namespace junctionrail::internal {

void AddShared(std::size_t present, std::size_t links, const BadFrames& bad_frames,
               const KvCounters& kv, MetricsPage* page) {
  page->Gauge("junctionrail_present", "Calls not answered yet.", static_cast<double>(present));
  page->Gauge("junctionrail_links", "Open links.", static_cast<double>(links));
  for (const auto& [reason, n] : bad_frames) {
    page->Counter("junctionrail_bad_frames_total", "Links closed for a frame, by reason.", n,
                  {{"reason", reason}});
  }
  page->Counter("junctionrail_kv_reads_total", "Reads of the key-value service.", kv.reads);
  page->Counter("junctionrail_kv_writes_total", "Writes to it.", kv.writes);
  page->Counter("junctionrail_kv_watches_total", "Watches begun.", kv.watches);
  page->Counter("junctionrail_kv_failures_total", "Calls to it that failed.", kv.failures);
  AddProcess(page);
}

void AddServer(const HttpServerCounters& server, const ClientMemory& memory, MetricsPage* page) {
  page->Counter("junctionrail_failed_accepts_total",
                "Connections that could not be accepted, mostly for lack of descriptors.",
                server.failed_accepts);
  page->Counter("junctionrail_displaced_connections_total",
                "Connections closed for others, as there were too many.",
                server.displaced_connections);
  page->Counter("junctionrail_refused_connections_total",
                "Connections closed at once, as all others had a request in flight.",
                server.refused_connections);
  page->Counter(
      "junctionrail_memory_refusals_total",
      "Requests refused while they were received, as requests held too many bytes in sum.",
      server.memory_refusals);
  page->Counter("junctionrail_memory_closes_total",
                "Connections closed for answers that were not read, as clients held too many bytes "
                "in sum.",
                server.memory_closes);
  page->Gauge("junctionrail_client_memory_bytes", "What requests of clients hold.",
              static_cast<double>(memory.held_bytes()));
  page->Gauge("junctionrail_client_memory_limit_bytes", "The most that they may hold.",
              static_cast<double>(memory.total_bytes()));
}

}  // namespace junctionrail::internal

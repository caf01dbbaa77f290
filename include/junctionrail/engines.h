// What agents and entries tell each other about engines: agents what their engines hold and do,
// entries which models their requests need. src/placement encodes these messages.
#ifndef JUNCTIONRAIL_ENGINES_H_
#define JUNCTIONRAIL_ENGINES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/listing.h"
#include "junctionrail/routes.h"

namespace junctionrail {

// A load from the weight store that an agent waits for permission to start.
struct StoreLoadRequest {
  bool has_waiting_requests = false;  // Otherwise it is staged or a replica.
  double weight = 0;                  // As computed by PlacementCore; 0: staged.
  DurationMs age_ms = 0;              // Since the agent first asked.
};

// An agent's view of its engine.
struct EngineView {
  std::string instance;
  std::vector<LoadedModel> loaded;         // Ready to serve.
  std::string loading;                     // The model being loaded; empty for none.
  bool is_loading_from_store = false;      // That load reads from the weight store.
  DurationMs load_remaining_ms = 0;        // Estimated time until that load is done.
  std::vector<std::string> queue;          // Models to load next.
  std::vector<std::string> cached_models;  // Models on disk or in host memory.
  int running = 0;
  int waiting = 0;
  double kv_usage = 0;  // Share of the KV cache in use, 0 to 1.
  int entries = 1;      // Entries linked to this agent.
  std::optional<StoreLoadRequest> store_load_request;
  std::map<std::string, double> requests_per_s;  // By loaded model, over all entries.
  // By loaded model: total time beyond their targets that its callers would lose if it were
  // evicted.
  std::map<std::string, double> eviction_cost_ms;
  double model_waits_per_s = 0;  // Rate at which requests start to wait for a model here.
  // The agent accepts entries' reports of ended upstreams and relays them.
  bool relays_upstream_ends = false;
};

// Demand for a model that an entry reports to an agent.
struct ModelDemand {
  ModelRef ref;
  int waiting = 0;        // Requests held for it at this entry; 0: a further replica is wanted.
  int priority = 0;       // Highest priority among them.
  DurationMs age_ms = 0;  // Age of the oldest of them.
  double requests_per_s_per_replica = 0;  // At each existing replica.
  // Average number of callers beyond their target because they queue at the existing replicas.
  double late_callers = 0;
  int late = 0;               // Waiting requests already beyond their targets.
  DurationMs slack_ms = 0;    // Time until the next of the others is late.
  double requests_per_s = 0;  // For the model, as seen by this entry.
  // Requests a second, over all entries, that are expected to find no copy soon because the engines
  // with one leave. Such copies only use free memory.
  double at_risk_requests_per_s = 0;
};
struct ModelUse {
  std::string model;
  int in_flight = 0;          // From this entry, at this upstream.
  double requests_per_s = 0;  // As seen by this entry, at any upstream.
  int replicas = 0;           // Upstreams known to have it loaded.
  DurationMs idle_ms = 0;     // Time since this entry's last request for it; -1: none seen.
  std::vector<std::string> adapters_in_use;
  DurationMs target_ms = 0;  // First-event target of its last request; 0: unknown.
  int priority = 0;          // Priority of its last request.
  // Upstreams in the region of the agent's engine that have it loaded; 0: unknown, or this entry's
  // requests do not belong in that region.
  int region_replicas = 0;
};
struct AgentDemand {
  std::string entry;
  std::string instance;  // The upstream that this is for.
  std::vector<ModelDemand> wanted;
  std::vector<ModelUse> use;
  std::vector<std::string> stage;  // Models to load when idle.
  // Whether the weight store has capacity for a load by this agent; see BuildDemands.
  bool may_load_from_store = true;
  // The entry resends unchanged demand at this interval.
  DurationMs resend_interval_ms = 1000;
  // The entry accepts views that contain only the changed parts.
  bool accepts_view_updates = false;
  // The entry observes all engines, so that it can judge the use of the weight store. Not set for
  // an engine of another region while no view of it arrives.
  bool is_planner = true;
  // The entry wants to be told about ended upstreams.
  bool wants_upstream_ends = false;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ENGINES_H_

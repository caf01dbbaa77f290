// The daemon's settings: one JSON file, checked whole before anything starts.
#ifndef JUNCTIONRAIL_SETTINGS_H_
#define JUNCTIONRAIL_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/checked_json.h"

namespace junctionrail {

// An IP number and a TCP port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  bool operator==(const Endpoint& other) const {
    return address == other.address && port == other.port;
  }
};

enum class Role { kEntry, kAgent };
enum class UpstreamKind { kEngine, kService };
enum class LogFormat { kText, kJson };

// What only an entry needs.
struct EntrySettings {
  Endpoint http;                           // Callers, behind the platform's balancer.
  Endpoint rpc;                            // Operators.
  std::uint64_t max_body_bytes = 1 << 20;  // A larger body is refused with 413.
  DurationMs default_deadline_ms = 30000;  // For calls that name none.
  DurationMs idle_link_ms = 60000;         // An unused link to an agent closes after it.
};

// What only an agent needs.
struct AgentSettings {
  Endpoint link;      // Entries.
  Endpoint http;      // Health and metrics.
  Endpoint upstream;  // The one upstream this agent stands before.
  UpstreamKind upstream_kind = UpstreamKind::kEngine;
  bool upstream_checks_fencing = false;  // Whether it refuses old fencing tokens.
  std::uint32_t max_concurrent = 16;     // Requests at the upstream, for each model.
  std::uint32_t max_queue_requests = 1024;
  std::uint64_t max_queue_bytes = 64 << 20;
  double cold_start_weight = 1.0;       // Cost of one second of cold start.
  double idle_weight = 0.01;            // Cost of one second an idle model is held.
  DurationMs longest_idle_ms = 600000;  // An idle model never stays longer.
  DurationMs clock_skew_ms = 5000;      // The most that callers' clocks may be off.
};

// The mechanisms of the direct path's decisions. Each can be switched off, to
// measure what it is worth or when it does harm.
struct PolicySettings {
  // Of agents.
  bool weighs_closing = true;  // Closes a model only for more than its callers lose.
  bool weighs_classes = true;  // Routes of a higher rank count more.
  bool in_time_first = true;   // Who can still be in time goes before who is late.
  bool interrupts = true;      // Models in use make room too.
  bool settles = true;         // A model just loaded stays for a moment.
  // Of entries.
  bool weighs_occupation = true;   // Counts what a load keeps waiting at its engine.
  bool adds_replicas = true;       // Busy models get further replicas.
  bool stages = true;              // Idle engines bring models onto their disks.
  bool spares = true;              // Free engines load what could soon be nowhere.
  bool shares_store = true;        // Loads from the weight store take turns.
  bool spreads = true;             // Requests go by chance among engines alike in load.
  bool prefers_prompts = true;     // Requests alike go where their prompts were read.
  bool prefers_hall = true;        // The own data hall goes before others.
  bool avoids_late_agents = true;  // Agents that are late with a model are passed over.
  bool avoids_mute = true;         // Upstreams silent with their agents get nothing.
  bool ejects = true;              // Upstreams that fail get nothing for a while.
  bool leaves_silent = true;       // A silent upstream is left for another one.
};

// The switches by the names that they have in a settings file.
struct PolicySwitch {
  const char* name;
  bool PolicySettings::*value;
};
extern const std::vector<PolicySwitch> kPolicySwitches;

// For the direct path, where entries speak with upstreams themselves and the
// platform's store lists them. Takes the place of `kv`, `vm_list`, `entry` and
// `agent`.
struct DirectSettings {
  Endpoint store;
  Endpoint metrics;
  std::uint16_t link_port = 0;  // Of every agent, at its upstream's address.
  // An entry's.
  Endpoint callers;
  Endpoint health;              // `/ready`, for the balancer.
  Endpoint peer;                // What this entry knows, for others that start.
  std::vector<Endpoint> peers;  // Entries to ask at the start.
  double retry_ratio = 0.2;     // The fleet's attempts beyond the first, of its requests.
  double retry_extra = 50;      // And so many more in a window.
  DurationMs retry_window_ms = 10000;
  // The region of each data hall.
  std::map<std::string, std::string> hall_regions;
  // Data halls that the fleet must be able to lose at once. Replicas of busy models are spread over
  // halls if this is at least 1 or if the halls are in several regions.
  std::uint32_t tolerated_hall_losses = 0;
  // An agent's.
  Endpoint link;
  Endpoint upstream;
  // Of both.
  DurationMs leaving_ms = 2000;  // An upstream that leaves gets nothing new after it.
  // The interval at which upstreams write their records.
  DurationMs record_period_ms = 1200;
  // A configuration is in force everywhere within so long of being written; 0: no bound is set.
  DurationMs apply_ms = 0;
  // Nothing is sent for a key later than so long after it was taken away, known here or not.
  // 0: as long as nothing is heard of it.
  DurationMs revoke_ms = 0;
  // A data hall gets nothing new later than so long after its evacuation was asked for.
  // 0: nothing once it is known.
  DurationMs evacuate_ms = 0;
  PolicySettings policy;

  // The shortest time within which what operators write has to be in force; 0: none is set.
  DurationMs OperatorBound() const;
  // For how long an entry may act unconfirmed on what operators can take away; 0: for ever.
  DurationMs ExpiryBound() const;
  // How often the relay polls the list of upstreams, and entries ask it.
  DurationMs RelayPeriod() const;
  // How often the relay confirms what operators write.
  DurationMs RelayWatch() const;
};

struct Settings {
  Role role = Role::kEntry;
  std::string id;           // The VM's name in the platform's list.
  std::string incarnation;  // Differs each time the platform replaces the VM.
  std::string data_hall;
  std::vector<Endpoint> kv;  // The key-value service, tried in turn.
  Endpoint vm_list;
  LogFormat log_format = LogFormat::kText;
  std::string log_level = "info";
  DurationMs drain_ms = 30000;        // A planned stop waits at most this long.
  std::uint32_t memory_mb = 160;      // That this process may use.
  std::uint32_t max_descriptors = 0;  // 0: as many as the kernel allows it.
  EntrySettings entry;
  AgentSettings agent;
  std::optional<DirectSettings> direct;
};

// What clients may make a process with so much memory hold, in bytes.
std::size_t ClientMemoryBytes(std::uint32_t memory_mb);
// The connections of callers, and those to each other address, that a process with these settings
// may have open.
std::size_t MaxCallerConnections(const Settings& settings);
std::size_t MaxServerConnections(const Settings& settings);

// Reads and checks a settings file.
Result<Settings, DocumentError> ReadSettings(const std::string& file);

// Splits `address:port`; false when it is neither IPv4 nor bracketed IPv6.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_SETTINGS_H_

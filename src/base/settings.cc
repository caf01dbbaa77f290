#include "junctionrail/settings.h"

#include <arpa/inet.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>

namespace junctionrail {
namespace {

constexpr std::int64_t kLongestMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMostHalls = 1000;
constexpr std::int64_t kLeastMemoryMb = 64;
constexpr std::int64_t kMostMemoryMb = 1 << 20;
constexpr std::int64_t kMostDescriptors = 1 << 20;
// Of all descriptors. The store, agents and upstreams need the others.
constexpr double kCallersPart = 0.4;
constexpr double kServerPart = 0.06;
// The buffers of callers' sockets may take a fifth of the memory.
constexpr std::size_t kSocketBytes = 16 << 10;
constexpr std::size_t kSocketsPart = 5;
constexpr std::size_t kMostServerConnections = 256;
constexpr std::size_t kBytesPerMb = 1'000'000;
// The process itself, unfinished responses and the buffers of sockets share the rest.
constexpr std::size_t kClientMemoryPart = 4;
// Interval at which the relay polls the list of upstreams and entries ask the relay, as a part of
// `leaving_ms`, the time within which a leaving upstream may still get new requests. At this value,
// what an entry knows stays younger than the age at which it polls the store itself. Also the
// interval at which the relay confirms what operators write, as a part of the bound on that.
constexpr double kRelayPart = 0.2;
constexpr char kEndpointForm[] = "an IP number and a port such as \"127.0.0.1:8080\"";

bool IsAddress(const std::string& text) {
  unsigned char buf[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buf) == 1 || inet_pton(AF_INET6, text.c_str(), buf) == 1;
}

Endpoint ReadEndpoint(ObjectReader& reader, const char* key) {
  Endpoint endpoint;
  const std::string text = reader.String(key, std::nullopt);
  if (!ParseEndpoint(text, &endpoint)) reader.Complain(key, kEndpointForm, "\"" + text + "\"");
  return endpoint;
}

EntrySettings ReadEntry(ObjectReader& r) {
  EntrySettings entry;
  entry.http = ReadEndpoint(r, "http");
  entry.rpc = ReadEndpoint(r, "rpc");
  entry.max_body_bytes =
      static_cast<std::uint64_t>(r.Integer("max_body_bytes", 1, 64 << 20, 1 << 20));
  entry.default_deadline_ms =
      r.Integer("default_deadline_ms", 1, kLongestMs, entry.default_deadline_ms);
  entry.idle_link_ms = r.Integer("idle_link_ms", 100, kLongestMs, entry.idle_link_ms);
  return entry;
}

AgentSettings ReadAgent(ObjectReader& r) {
  AgentSettings agent;
  agent.link = ReadEndpoint(r, "link");
  agent.http = ReadEndpoint(r, "http");
  agent.upstream = ReadEndpoint(r, "upstream");
  agent.upstream_kind = r.Word("upstream_kind", {"engine", "service"}, std::nullopt) == 0
                            ? UpstreamKind::kEngine
                            : UpstreamKind::kService;
  agent.upstream_checks_fencing = r.Boolean("upstream_checks_fencing", false);
  agent.max_concurrent =
      static_cast<std::uint32_t>(r.Integer("max_concurrent", 1, 4096, agent.max_concurrent));
  agent.max_queue_requests = static_cast<std::uint32_t>(
      r.Integer("max_queue_requests", 1, 1 << 20, agent.max_queue_requests));
  agent.max_queue_bytes = static_cast<std::uint64_t>(
      r.Integer("max_queue_bytes", 1, 1LL << 34, static_cast<std::int64_t>(agent.max_queue_bytes)));
  agent.cold_start_weight = r.Number("cold_start_weight", 0, 1e9, agent.cold_start_weight);
  agent.idle_weight = r.Number("idle_weight", 0, 1e9, agent.idle_weight);
  agent.longest_idle_ms = r.Integer("longest_idle_ms", 1, kLongestMs, agent.longest_idle_ms);
  agent.clock_skew_ms = r.Integer("clock_skew_ms", 0, kLongestMs, agent.clock_skew_ms);
  return agent;
}

std::vector<Endpoint> ReadEndpoints(ObjectReader& r, const char* key) {
  std::vector<Endpoint> endpoints;
  for (const auto& it : r.Strings(key)) {
    Endpoint endpoint;
    if (!ParseEndpoint(it, &endpoint)) r.Complain(key, kEndpointForm, "\"" + it + "\"");
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

PolicySettings ReadPolicy(ObjectReader& r) {
  PolicySettings policy;
  for (const auto& it : kPolicySwitches) policy.*it.value = r.Boolean(it.name, true);
  return policy;
}

DirectSettings ReadDirect(ObjectReader& r, Role role) {
  DirectSettings direct;
  r.Object("policy", [&](ObjectReader& it) { direct.policy = ReadPolicy(it); });
  direct.store = ReadEndpoint(r, "store");
  direct.metrics = ReadEndpoint(r, "metrics");
  direct.leaving_ms = r.Integer("leaving_ms", 400, kLongestMs, direct.leaving_ms);
  direct.record_period_ms = r.Integer("record_period_ms", 1, kLongestMs, direct.record_period_ms);
  direct.apply_ms = r.Integer("apply_ms", 0, kLongestMs, direct.apply_ms);
  direct.revoke_ms = r.Integer("revoke_ms", 0, kLongestMs, direct.revoke_ms);
  direct.evacuate_ms = r.Integer("evacuate_ms", 0, kLongestMs, direct.evacuate_ms);
  if (role == Role::kAgent) {
    direct.link = ReadEndpoint(r, "link");
    direct.upstream = ReadEndpoint(r, "upstream");
    return direct;
  }
  direct.link_port = static_cast<std::uint16_t>(r.Integer("link_port", 1, 65535, std::nullopt));
  direct.callers = ReadEndpoint(r, "callers");
  direct.health = ReadEndpoint(r, "health");
  direct.peer = ReadEndpoint(r, "peer");
  direct.peers = ReadEndpoints(r, "peers");
  direct.retry_ratio = r.Number("retry_ratio", 0, 10, direct.retry_ratio);
  direct.retry_extra = r.Number("retry_extra", 0, 1e6, direct.retry_extra);
  direct.retry_window_ms = r.Integer("retry_window_ms", 1, kLongestMs, direct.retry_window_ms);
  direct.hall_regions = r.StringMap("hall_regions");
  direct.tolerated_hall_losses = static_cast<std::uint32_t>(
      r.Integer("tolerated_hall_losses", 0, kMostHalls, direct.tolerated_hall_losses));
  return direct;
}

// Of two bounds of which either may be 0, for none.
DurationMs ShorterBound(DurationMs a, DurationMs b) {
  return a == 0 || b == 0 ? std::max(a, b) : std::min(a, b);
}

// What the path through agents needs and the direct one does not.
void ReadAgentPath(ObjectReader& r, Settings* settings) {
  settings->incarnation = r.String("incarnation", std::nullopt);
  settings->kv = ReadEndpoints(r, "kv");
  if (settings->kv.empty()) r.Complain("kv", "at least one endpoint", "none");
  settings->vm_list = ReadEndpoint(r, "vm_list");
  if (settings->role == Role::kEntry) {
    if (!r.Has("entry")) r.Complain("entry", "an object, as the role is \"entry\"", "nothing");
    r.Object("entry", [&](ObjectReader& it) { settings->entry = ReadEntry(it); });
  } else {
    if (!r.Has("agent")) r.Complain("agent", "an object, as the role is \"agent\"", "nothing");
    r.Object("agent", [&](ObjectReader& it) { settings->agent = ReadAgent(it); });
  }
}

double Descriptors(const Settings& settings) {
  if (settings.max_descriptors > 0) return settings.max_descriptors;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<double>(limit.rlim_cur);
}

}  // namespace

const std::vector<PolicySwitch> kPolicySwitches = {
    {"weighs_closing", &PolicySettings::weighs_closing},
    {"weighs_classes", &PolicySettings::weighs_classes},
    {"in_time_first", &PolicySettings::in_time_first},
    {"interrupts", &PolicySettings::interrupts},
    {"settles", &PolicySettings::settles},
    {"weighs_occupation", &PolicySettings::weighs_occupation},
    {"adds_replicas", &PolicySettings::adds_replicas},
    {"stages", &PolicySettings::stages},
    {"spares", &PolicySettings::spares},
    {"shares_store", &PolicySettings::shares_store},
    {"spreads", &PolicySettings::spreads},
    {"prefers_prompts", &PolicySettings::prefers_prompts},
    {"prefers_hall", &PolicySettings::prefers_hall},
    {"avoids_late_agents", &PolicySettings::avoids_late_agents},
    {"avoids_mute", &PolicySettings::avoids_mute},
    {"ejects", &PolicySettings::ejects},
    {"leaves_silent", &PolicySettings::leaves_silent},
};

std::size_t ClientMemoryBytes(std::uint32_t memory_mb) {
  return memory_mb * kBytesPerMb / kClientMemoryPart;
}

std::size_t MaxCallerConnections(const Settings& settings) {
  const std::size_t by_memory = settings.memory_mb * kBytesPerMb / kSocketsPart / kSocketBytes;
  const double by_descriptors = kCallersPart * Descriptors(settings);
  return static_cast<std::size_t>(std::min(static_cast<double>(by_memory), by_descriptors));
}

std::size_t MaxServerConnections(const Settings& settings) {
  return static_cast<std::size_t>(
      std::min(kServerPart * Descriptors(settings), static_cast<double>(kMostServerConnections)));
}

DurationMs DirectSettings::ExpiryBound() const { return ShorterBound(revoke_ms, evacuate_ms); }

DurationMs DirectSettings::OperatorBound() const { return ShorterBound(apply_ms, ExpiryBound()); }

DurationMs DirectSettings::RelayPeriod() const {
  return static_cast<DurationMs>(kRelayPart * static_cast<double>(leaving_ms));
}

DurationMs DirectSettings::RelayWatch() const {
  const DurationMs bound_ms = OperatorBound();
  const auto part_ms = static_cast<DurationMs>(kRelayPart * static_cast<double>(bound_ms));
  return bound_ms == 0 ? RelayPeriod() : std::min(part_ms, RelayPeriod());
}

bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string address(text.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || !IsAddress(address)) return false;
  *endpoint = Endpoint{std::move(address), port};
  return true;
}

Result<Settings, DocumentError> ReadSettings(const std::string& file) {
  const auto document = ReadJsonFile(file);
  if (!document) return document.error();
  Settings settings;
  ObjectReader r(document.value(), file, "");
  settings.role =
      r.Word("role", {"entry", "agent"}, std::nullopt) == 0 ? Role::kEntry : Role::kAgent;
  settings.id = r.String("id", std::nullopt);
  settings.data_hall = r.String("data_hall", std::nullopt);
  if (settings.id.empty()) r.Complain("id", "a name that is not empty", "\"\"");
  settings.log_format =
      r.Word("log_format", {"text", "json"}, 0) == 0 ? LogFormat::kText : LogFormat::kJson;
  const std::vector<std::string> levels = {"debug", "info", "warning", "error"};
  settings.log_level = levels[r.Word("log_level", levels, 1)];
  settings.memory_mb = static_cast<std::uint32_t>(
      r.Integer("memory_mb", kLeastMemoryMb, kMostMemoryMb, settings.memory_mb));
  settings.max_descriptors = static_cast<std::uint32_t>(
      r.Integer("max_descriptors", 0, kMostDescriptors, settings.max_descriptors));
  settings.drain_ms = r.Integer("drain_ms", 0, kLongestMs, settings.drain_ms);
  if (r.Has("direct")) {
    settings.direct.emplace();
    r.Object("direct", [&](ObjectReader& it) { settings.direct = ReadDirect(it, settings.role); });
  } else {
    ReadAgentPath(r, &settings);
  }
  const auto error = r.Finish();
  if (error) return *error;
  return settings;
}

}  // namespace junctionrail

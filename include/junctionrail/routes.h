// What operators declare for requests: routes, services, and the models of engine services. Finds
// the route of a request.
#ifndef JUNCTIONRAIL_ROUTES_H_
#define JUNCTIONRAIL_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/places.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {

// Whether a request may be executed more than once.
enum class RequestKind {
  kIdempotent,     // Any number of times.
  kNonIdempotent,  // At most once.
  kStreaming,      // Answered by a stream of events; retryable only if the route is resumable.
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

// An operator's rule: which services handle the requests for a host and path, and their latency
// targets and timeouts.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Starts and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  bool is_resumable = false;            // Streams only: may be resumed at another upstream.
  DurationMs timeout_ms = 0;            // Longest time that a request may be held.
  DurationMs first_byte_target_ms = 0;  // Target latency of the first response byte.
  DurationMs stream_gap_target_ms = 0;  // Target for the longest gap in a stream.
  DurationMs caller_timeout_ms = 0;     // Callers give up after this long without data.
  int max_attempts = 1;                 // Upstreams that one request may be sent to.
  int priority = 0;                     // 0 is the highest.
  bool is_public = false;               // No API key required.
  AllowedRegions allowed_regions;       // Apply together with those of the organisation.
  std::vector<WeightedService> traffic_split;

  bool IsRetryable() const { return kind == RequestKind::kIdempotent || is_resumable; }
};

// A model that operators have declared for an engine service.
struct ModelSpec {
  std::string name;
  double size_mb = 0;
  double adapter_mb = 0;
  DurationMs store_load_ms = 0;   // From the weight store at full speed.
  DurationMs disk_load_ms = 0;    // From the upstream's own disk.
  DurationMs memory_load_ms = 0;  // From the upstream's host memory.
};

// The models of a service, with constant-time lookup by name: each load estimate looks up several
// of them, and there may be thousands.
class ModelCatalog {
 public:
  ModelCatalog() = default;
  ModelCatalog(std::initializer_list<ModelSpec> models);

  // If two models share a name, Find returns the one added first.
  void push_back(ModelSpec spec);  // NOLINT(readability-identifier-naming): as in containers.
  // Returns null if there is no model of that name.
  const ModelSpec* Find(std::string_view model) const;
  std::vector<ModelSpec>::const_iterator begin() const { return models_.begin(); }  // NOLINT
  std::vector<ModelSpec>::const_iterator end() const { return models_.end(); }      // NOLINT
  const ModelSpec& at(std::size_t n) const { return models_.at(n); }                // NOLINT
  std::size_t size() const { return models_.size(); }                               // NOLINT

 private:
  std::vector<ModelSpec> models_;
  std::unordered_map<std::string, std::size_t> index_;  // By name.
};

// Capacity and models of a service's engines; the same on all its upstreams.
struct EngineSpec {
  double accelerator_mb = 0;  // Weights and adapters together.
  int adapter_slots = 0;
  double disk_mb = 0;
  ModelCatalog models;

  const ModelSpec* Find(std::string_view model) const { return models.Find(model); }
};

struct ServiceSpec {
  std::string name;
  int max_connections = 0;  // To one upstream, across all callers.
  std::optional<EngineSpec> engine;
  // Requests a second from all entries that a cold upstream accepts; 0: as many as a warm one.
  double cold_requests_per_s = 0;
  DurationMs cold_start_ms = 0;  // An upstream stays cold this long after its start.
};

// Limits on caller input.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  DurationMs header_timeout_ms = 5000;
  DurationMs idle_timeout_ms = 15000;
};

struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  // None: callers need no API key.
  std::optional<OrganisationTable> organisations;

  const ServiceSpec* FindService(std::string_view name) const;
};

// Finds the route of a request by host and longest matching path prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfiguration configuration);

  // `path` excludes the query. Returns null if no route matches.
  const Route* Find(std::string_view host, std::string_view path) const;
  const RoutingConfiguration& configuration() const { return configuration_; }

 private:
  RoutingConfiguration configuration_;
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;  // Longest prefix first.
};

// Picks the service for a request according to the route's weights. The result is deterministic for
// a request id.
std::string_view PickService(const Route& route, std::string_view request_id);

// A model, or an adapter of it.
struct ModelRef {
  std::string model;
  std::string adapter;  // Empty for the base model.

  std::string ToString() const { return adapter.empty() ? model : model + "/" + adapter; }
  bool operator<(const ModelRef& other) const {
    return std::tie(model, adapter) < std::tie(other.model, other.adapter);
  }
  bool operator==(const ModelRef& other) const {
    return model == other.model && adapter == other.adapter;
  }
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ROUTES_H_

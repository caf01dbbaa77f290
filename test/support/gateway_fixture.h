// A gateway in front of scripted upstreams, and helpers that format requests and responses.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_GATEWAY_FIXTURE_H_
#define JUNCTIONRAIL_TEST_SUPPORT_GATEWAY_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "junctionrail/gateway.h"
#include "loopback.h"

namespace junctionrail::testing {

inline Route MakeRoute(const std::string& prefix, RequestKind kind, const std::string& service) {
  Route route;
  route.name = prefix;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout_ms = 5000;
  route.first_byte_target_ms = 5000;
  route.stream_gap_target_ms = 5000;
  route.max_attempts = 2;
  route.priority = 1;
  route.traffic_split = {{service, 1}};
  return route;
}

// Allows all retries of the few requests of a test, from the first request of a new gateway on.
inline RetryBudget::Options AmpleRetries() { return {1000, 100, 10000}; }

// A gateway in front of scripted upstreams, on loopback sockets.
struct GatewayFixture {
  explicit GatewayFixture(GatewayOptions given = {}, RetryBudget::Options retries = AmpleRetries())
      : options(std::move(given)) {
    options.listen_endpoint = {"127.0.0.1", 0};
    options.data_hall = "hall-1";
    options.routing.topology = Topology("hall-1", options.routing.topology.regions());
    options.retry_budget = retries;
    gateway = std::make_unique<Gateway>(io, options, log);
    port = gateway->Listen().value();
  }

  ~GatewayFixture() {
    gateway->Stop(0, [] {});
    RunFor(io, 100);
  }

  void AddUpstream(const std::string& instance, const std::string& service,
                   ScriptedUpstream::Script script) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(io, std::move(script)));
    records.push_back({instance, service, upstreams.back()->endpoint(), "hall-1", 8, false, {}});
    gateway->ApplyListing({records, MonotonicMs()});
  }

  void Configure(std::vector<Route> routes, std::uint64_t version = 1) {
    RoutingConfiguration configuration;
    configuration.version = version;
    configuration.routes = std::move(routes);
    configuration.services = {{"plain", max_connections, std::nullopt},
                              {"engine", max_connections, std::nullopt}};
    configuration.limits = limits;
    gateway->ApplyConfiguration(configuration);
  }

  std::string Fetch(const std::string& request) {
    TestCaller caller(io, port);
    caller.Send(request);
    caller.AwaitEnd();
    return caller.received();
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  GatewayOptions options;
  CallerLimits limits;
  int max_connections = 64;  // To each service, of all entries.
  std::unique_ptr<Gateway> gateway;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  std::vector<UpstreamRecord> records;
  std::uint16_t port = 0;
};

inline std::string MakeRequest(const std::string& line, const std::string& fields = "",
                               const std::string& body = "") {
  return line + " HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: r1\r\n" + fields +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "Connection: close\r\n\r\n" + body;
}

inline std::string MakeKeepAliveRequest(const std::string& line, const std::string& id) {
  return line + " HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: " + id + "\r\n\r\n";
}

inline std::string OkResponse(const std::string& body, const std::string& id = "r1") {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: " + id +
         "\r\nJunctionrail-Proof: p\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string EventStreamHead(const std::string& id = "r1") {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: " + id +
         "\r\nJunctionrail-Proof: p\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string EventChunk(int id) {
  const std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_GATEWAY_FIXTURE_H_

// An HTTP/1.1 reverse proxy between callers and upstreams. It routes requests, retries within a
// budget, resumes event streams at another upstream, holds requests while their model is being
// loaded, and states in each of its own error responses whether the request may have run.
#ifndef JUNCTIONRAIL_GATEWAY_H_
#define JUNCTIONRAIL_GATEWAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/event_log.h"
#include "junctionrail/net.h"
#include "junctionrail/quarantine.h"
#include "junctionrail/routing.h"
#include "junctionrail/stream_origins.h"

namespace junctionrail {

// Names of the HTTP headers that callers, entries and upstreams exchange.
struct HttpHeaderNames {
  std::string request_id = "Junctionrail-Request-Id";
  std::string deadline_ms = "Junctionrail-Deadline-Ms";
  std::string priority = "Junctionrail-Priority";
  std::string instance = "Junctionrail-Instance";                    // In an upstream's response.
  std::string expected_instance = "Junctionrail-Expected-Instance";  // In a request to an upstream.
  std::string not_run = "Junctionrail-Not-Run";
  std::string proof = "Junctionrail-Proof";  // In an upstream's response; required on success.
  std::string model = "Junctionrail-Model";
  std::string prompt_parts = "Junctionrail-Prompt-Parts";
  std::string last_event_id = "Last-Event-ID";
  // The id of the request that began the stream, in a request that resumes it.
  std::string resumed_request = "Junctionrail-Resumed-Request";
  std::string key = "Junctionrail-Key";                    // The caller's key; not forwarded.
  std::string organisation = "Junctionrail-Organisation";  // The key's owner; to an upstream.
  std::string token_usage = "Junctionrail-Token-Usage";    // Prompt tokens, maximum output tokens.
  // Headers that only the system may set; removed from callers' requests.
  std::vector<std::string> reserved;
};

// Extracts an upstream's notice from the head of its response.
using NoticeReader =
    std::function<UpstreamNotice(unsigned status, const std::vector<HttpHeader>& fields)>;

struct GatewayOptions {
  Endpoint listen_endpoint;
  std::string data_hall;
  HttpHeaderNames header_names;
  NoticeReader read_notice;  // Empty: notices are not read.
  RetryBudget::Options retry_budget;
  RoutingOptions routing;
  std::string entry_id;  // Identifies this entry to quota allocators.
  // Requests with a key are refused once the configuration may have been superseded for this
  // long; 0: no limit.
  DurationMs key_revocation_ms = 0;
  // A route or key that is not found counts as unknown only if the configuration was confirmed as
  // the newest within this long; 0: no limit.
  DurationMs configuration_bound_ms = 0;
  // The load balancer may open connections for this long after Stop: it notices after two
  // health checks, one second apart.
  DurationMs balancer_delay_ms = 2500;
  // Of requests; null: one of the gateway's own.
  std::shared_ptr<ClientMemory> client_memory;
  std::size_t max_connections = 2000;  // Of callers.
};

// A stream that a caller resumes at an entry that does not know its origin.
struct UnknownStream {
  std::uint64_t ticket = 0;           // Of the question.
  std::string stream;                 // Empty: the caller does not name the stream.
  std::string route;                  // Its name.
  std::vector<std::string> services;  // That the route leads to now.
};

// A stream that has sent its first event here.
struct BegunStream {
  std::string stream;
  StreamOrigin origin;
  // It could have begun at another service or version: nobody could infer where it did.
  bool is_ambiguous = false;
};

// Traffic with upstreams at one distance.
struct DistanceTraffic {
  std::uint64_t requests_sent = 0;
  std::uint64_t bytes_received = 0;  // Of responses, with their heads.
};

class TrafficByDistance {
 public:
  DistanceTraffic& Of(Distance distance) { return traffic_[static_cast<std::size_t>(distance)]; }
  const DistanceTraffic& Of(Distance distance) const {
    return traffic_[static_cast<std::size_t>(distance)];
  }

 private:
  std::array<DistanceTraffic, kDistances> traffic_;
};

struct GatewayCounters {
  std::uint64_t connections = 0;
  std::uint64_t failed_accepts = 0;         // Mostly for lack of descriptors.
  std::uint64_t displaced_connections = 0;  // Closed for another one, as there were too many.
  std::uint64_t refused_connections = 0;    // All others had a request in flight.
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t relayed_failures = 0;     // Upstream error responses sent on to the caller.
  std::uint64_t refused = 0;              // Known not to have run.
  std::uint64_t unknown_outcomes = 0;     // May have run, without a response to relay.
  std::uint64_t truncated_responses = 0;  // Aborted after the response had begun.
  std::uint64_t cancelled = 0;            // The caller disconnected.
  std::uint64_t bad_requests = 0;
  std::uint64_t dropped_inputs = 0;  // Connections closed over bytes that got no response.
  std::uint64_t slow_bodies = 0;     // Refused, as they arrived below the least rate.
  // Connections with input behind a request, or output that was not read, for which there was no
  // room.
  std::uint64_t memory_closes = 0;
  std::uint64_t memory_refusals = 0;  // There was no room for the request.
  std::uint64_t stop_refusals = 0;    // By a stop, as it could not have completed the requests.
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t resumed_streams = 0;          // By callers, with a known origin.
  std::uint64_t unknown_origin_refusals = 0;  // It was not known where the stream began.
  std::uint64_t version_gone_refusals = 0;    // No upstream runs the version that began the stream.
  std::uint64_t version_changes = 0;          // Streams that went on at another software version.
  std::uint64_t model_waits = 0;
  std::uint64_t invalid_key_refusals = 0;  // Key missing or unknown.
  // A key may have been revoked, or a route or key may have been added.
  std::uint64_t stale_configuration_refusals = 0;
  std::uint64_t over_quota_refusals = 0;         // Organisation's quota used up.
  std::uint64_t quota_unavailable_refusals = 0;  // No quota allocator answered.
  std::uint64_t place_refusals = 0;              // No upstream in a place that is allowed.
  std::uint64_t quarantine_refusals = 0;         // Running them crashes upstreams.
  std::uint64_t upstreams_crashed = 0;           // With requests of this entry in flight.
  std::uint64_t responses_ended_by_close = 0;    // With neither a length nor chunks.
  std::uint64_t rate_limited_sends = 0;          // Sends held back by an upstream's rate limit.
  std::uint64_t backoff_requests = 0;            // Upstream refusals that asked for a backoff.
  std::uint64_t malformed_notices = 0;
  std::uint64_t surplus_responses = 0;
  std::uint64_t excess_responses = 0;  // Ended, as unfinished ones held too many bytes in sum.
  std::uint64_t upstream_connections = 0;
  TrafficByDistance traffic;
};

// Upper bounds of the histogram buckets in ms; the last bucket is unbounded. They are the same in
// every process so that histograms can be summed.
constexpr std::int64_t kLatencyBucketsMs[] = {5,   10,   25,   50,   100,  200,   300,  400,
                                              600, 1000, 1500, 2500, 5000, 10000, 25000};
constexpr std::size_t kLatencyBuckets = sizeof(kLatencyBucketsMs) / sizeof(std::int64_t) + 1;

struct LatencyHistogram {
  std::uint64_t buckets[kLatencyBuckets] = {};
  std::uint64_t count = 0;
  std::int64_t sum_ms = 0;

  void Add(std::int64_t ms);
};

class Gateway {
 public:
  Gateway(boost::asio::io_context& io, GatewayOptions options, EventLog& log);
  ~Gateway();

  Result<std::uint16_t, NetError> Listen();
  // Drains: completes the requests in flight, closes each connection after its next response and
  // then calls `done`, after `most_ms` at the latest. Requests that arrive late are taken only if
  // their deadline is before that, and refused otherwise.
  void Stop(DurationMs most_ms, std::function<void()> done);

  // Applies to requests that arrive from now on. Ignored unless newer than the current version.
  void ApplyConfiguration(RoutingConfiguration configuration);
  // The current configuration was the newest one at `as_of`.
  void ConfirmConfiguration(TimeMs as_of);
  // Another process has this version. Until it is in force here, a route or key that is not found
  // does not count as unknown.
  void ExpectConfiguration(std::uint64_t version);
  void SetRevokeMs(DurationMs revoke_ms);
  void SetConfigurationBound(DurationMs bound_ms);
  void SetRetries(RetryBudget::Options options);
  void SetPolicy(const PolicySettings& policy);
  void ApplyListing(const UpstreamListing& listing);
  // All data halls that are evacuated, as read by a query sent at `as_of`.
  void ApplyEvacuations(const std::set<std::string>& halls, TimeMs as_of);
  void SetEvacuationBound(DurationMs bound_ms);
  void SetRecordPeriod(DurationMs period_ms);
  void ApplyView(const EngineView& view);
  void ForgetView(const std::string& instance);

  const UpstreamTable& upstreams() const;
  bool has_configuration() const;
  const RoutingConfiguration& configuration() const;
  UpstreamTable& upstreams();
  // The current demand, by the instance it is addressed to.
  std::map<std::string, AgentDemand> Demands();
  // The part of it that waiting requests ask of the agent of one instance.
  std::vector<ModelDemand> WaitingDemandFor(const std::string& instance);
  // Called when a request starts to wait for a model, with the instance whose agent should load it.
  void OnNewDemand(std::function<void(const std::string& instance)> call);

  // Called when the VM has resumed from a suspension: state read before it is older than it seems.
  void OnVmResumed(std::function<void()> call);
  // Called when an upstream ended while requests of this entry that may have caused it were in
  // flight.
  void OnUpstreamCrash(std::function<void(const UpstreamCrash&)> call);
  // Called when this entry has found that a request crashes upstreams and refuses it from now on.
  void OnRequestQuarantined(std::function<void(const RequestDigest&)> call);
  // Called when the first event of a resumable stream has arrived.
  void OnStreamBegun(std::function<void(const BegunStream&)> call);
  // Called for a stream whose origin has to be asked of others; ApplyStreamOrigin answers, without
  // an origin if it cannot be found. Without this call, the origin is inferred if upstreams of a
  // single software version are listed.
  void OnOriginNeeded(std::function<void(const UnknownStream&)> call);
  void ApplyStreamOrigin(std::uint64_t ticket, const std::optional<StreamOrigin>& origin);
  // Called when a request was answered although this entry refused it: the refusal was wrong.
  void OnRequestReleased(std::function<void(const RequestDigest&)> call);
  // Exchange with the quota allocators: messages to send, the allocators, and their replies.
  void OnQuotaMessages(std::function<void(const QuotaClient::Message&)> call);
  void SetQuotaAllocators(std::vector<QuotaClient::Allocator> allocators);
  void ApplyQuotaGrant(const QuotaGrant& grant);
  // The link to the quota allocator of that instance has closed.
  void OnQuotaLinkClosed(const std::string& instance);
  const QuotaClient& quotas() const;

  // Findings of other processes.
  void AddUpstreamCrash(const UpstreamCrash& crash);
  void QuarantineRequest(const RequestDigest& digest);
  // Returns false if this entry does not refuse the request.
  bool ReleaseRequest(const RequestDigest& digest);
  const QuarantineTable& quarantine() const;

  const GatewayCounters& counters() const;
  // What unfinished responses of upstreams hold.
  std::size_t held_response_bytes() const;
  // What requests of callers hold.
  const ClientMemory& client_memory() const;
  const LatencyHistogram& first_byte_latency() const;
  // Age of the upstream list at each attempt.
  const LatencyHistogram& listing_age() const;
  // Time since the current configuration was last confirmed as the newest; -1: never confirmed.
  DurationMs ConfigurationAge() const;

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_GATEWAY_H_

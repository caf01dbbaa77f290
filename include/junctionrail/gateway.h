// The direct path: callers' HTTP/1.1 on one side, upstreams' on the other, in
// one process. The gateway routes, retries within a budget, resumes streams,
// holds requests for models that are being loaded, and refuses truthfully.
#ifndef JUNCTIONRAIL_GATEWAY_H_
#define JUNCTIONRAIL_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/event_log.h"
#include "junctionrail/net.h"
#include "junctionrail/quarantine.h"
#include "junctionrail/routing.h"

namespace junctionrail {

// The names of the headers that callers, entries and upstreams share.
struct HttpHeaderNames {
  std::string request_id = "Junctionrail-Request-Id";
  std::string deadline_ms = "Junctionrail-Deadline-Ms";
  std::string priority = "Junctionrail-Priority";
  std::string instance = "Junctionrail-Instance";                    // On an upstream's answer.
  std::string expected_instance = "Junctionrail-Expected-Instance";  // On a request to it.
  std::string not_run = "Junctionrail-Not-Run";
  std::string proof = "Junctionrail-Proof";  // The upstream's seal on its answer.
  std::string model = "Junctionrail-Model";
  std::string prompt_parts = "Junctionrail-Prompt-Parts";
  std::string last_event_id = "Last-Event-ID";
  std::string key = "Junctionrail-Key";                    // Of a caller; goes no further.
  std::string organisation = "Junctionrail-Organisation";  // To an upstream: who holds the key.
  std::string token_usage = "Junctionrail-Token-Usage";    // Two whole numbers, and a comma.
  // Headers that only the system sets; dropped from what callers send.
  std::vector<std::string> reserved;
};

// Reads what an upstream's answer says beside its body.
using NoticeReader =
    std::function<UpstreamNotice(unsigned status, const std::vector<HttpHeader>& fields)>;

struct GatewayOptions {
  Endpoint listen_endpoint;
  std::string data_hall;
  HttpHeaderNames header_names;
  NoticeReader read_notice;  // Empty: upstreams say nothing that is to be read.
  RetryBudget::Options retry_budget;
  RoutingOptions routing;
  std::string entry_id;  // This one, for those that grant quotas.
  // Nothing is sent for a key by a configuration that may have been replaced for so long;
  // 0: any age will do.
  DurationMs key_revocation_ms = 0;
  // After a stop the balancer may send new connections for so long: it notices
  // after two checks, a second apart.
  DurationMs balancer_delay_ms = 2500;
};

struct GatewayCounters {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t relayed_failures = 0;     // Failures of upstreams, passed on.
  std::uint64_t refused = 0;              // Not run.
  std::uint64_t unknown_outcomes = 0;     // May have run.
  std::uint64_t truncated_responses = 0;  // Cut after the answer began.
  std::uint64_t cancelled = 0;            // By the caller.
  std::uint64_t bad_requests = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t model_waits = 0;
  std::uint64_t invalid_key_refusals = 0;          // Refused for a key that is missing or unknown.
  std::uint64_t stale_configuration_refusals = 0;  // Refused, as the key may have been taken away.
  std::uint64_t over_quota_refusals = 0;  // Refused, as the organisation has used up its quota.
  std::uint64_t quota_unavailable_refusals = 0;  // Refused, as nobody grants quotas.
  std::uint64_t quarantine_refusals = 0;         // Refused, as upstreams end when they run them.
  std::uint64_t upstreams_ended = 0;             // With requests of this entry under way.
  std::uint64_t rate_limited_sends = 0;  // Sends that found nothing left of an upstream's limit.
  std::uint64_t backoff_requests = 0;    // Refusals of upstreams that ask for a rest.
  std::uint64_t malformed_notices = 0;
  std::uint64_t surplus_responses = 0;
  std::uint64_t upstream_connections = 0;
};

// Upper bounds of the latency histogram in ms; the last bucket has none. The
// same in every process, so that histograms add up.
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
  // Finishes what is under way, ends each connection with its next answer,
  // then calls `done`; at the latest when `most_ms` are over.
  void Stop(DurationMs most_ms, std::function<void()> done);

  // Takes effect for the next request. An older version than the present one
  // is not applied.
  void ApplyConfiguration(RoutingConfiguration configuration);
  // The configuration in force was the newest one when a question was asked, at `as_of`.
  void ConfirmConfiguration(TimeMs as_of);
  void SetRevokeMs(DurationMs revoke_ms);
  void SetRetries(RetryBudget::Options options);
  void SetPolicy(const PolicySettings& policy);
  void ApplyListing(const UpstreamListing& listing);
  void ApplyView(const EngineView& view);
  void ForgetView(const std::string& instance);

  const UpstreamTable& upstreams() const;
  bool has_configuration() const;
  const RoutingConfiguration& configuration() const;
  UpstreamTable& upstreams();
  // The present demand, by instance.
  std::map<std::string, AgentDemand> Demands();
  // Of it, what requests that wait ask of one agent.
  std::vector<ModelDemand> WaitingDemandFor(const std::string& instance);
  // Called when a request begins to wait for a model, with whose agent is asked.
  void OnNewDemand(std::function<void(const std::string& instance)> call);

  // The VM was suspended until just now: what was read before is older than it seems.
  void OnVmResumed(std::function<void()> call);
  // An upstream ended with requests of this entry under way that may have caused it.
  void OnUpstreamEnd(std::function<void(const UpstreamCrash&)> call);
  // What this entry found out, and refuses from now on.
  void OnRequestQuarantined(std::function<void(const RequestDigest&)> call);
  // What is to be sent to givers of quotas, who they are, and what they answer.
  void OnQuotaMessages(std::function<void(const QuotaClient::Message&)> call);
  void SetQuotaGivers(std::vector<QuotaClient::Allocator> givers);
  void ApplyQuotaGrant(const QuotaGrant& grant);
  // The link to that instance has closed.
  void OnQuotaLinkClosed(const std::string& instance);
  const QuotaClient& quotas() const;

  // What other processes saw and found out.
  void AddUpstreamEnd(const UpstreamCrash& end);
  void QuarantineRequest(const RequestDigest& digest);
  // False when it is not refused here.
  bool ReleaseRequest(const RequestDigest& digest);
  const QuarantineTable& quarantine() const;

  const GatewayCounters& counters() const;
  const LatencyHistogram& first_byte_latency() const;
  // How old the list of upstreams was by which each attempt was sent.
  const LatencyHistogram& listing_age() const;
  // Since the configuration in force is known to have been the newest; -1: it never was.
  DurationMs ConfigurationAge() const;

  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_GATEWAY_H_

#include "direct_metrics.h"

#include <algorithm>

#include "junctionrail/telemetry.h"

namespace junctionrail::internal {
namespace {

void AddStore(const platform::StoreClient& store, const EventLog& log, MetricsPage* page) {
  const auto& counters = store.counters();
  page->Counter("junctionrail_store_reads_total", "Readings of the store.", counters.reads);
  page->Counter("junctionrail_store_waits_total", "Waiting calls to the store.", counters.waits);
  page->Counter("junctionrail_store_failures_total", "Calls without a usable answer.",
                counters.failures);
  const auto& lines = log.counters();
  page->Counter("junctionrail_log_lines_total", "Log lines written.", lines.written);
  page->Counter("junctionrail_log_lines_left_out_total", "Left out by the bound a second.",
                lines.over_bound);
  page->Counter("junctionrail_log_lines_lost_total", "Lost as nobody read.", lines.reader_full);
  AddProcess(page);
}

void AddHistogram(std::string_view name, std::string_view help, const LatencyHistogram& histogram,
                  MetricsPage* page) {
  std::vector<std::pair<std::string, std::uint64_t>> cumulative;
  std::uint64_t n = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    n += histogram.buckets[bucket];
    const bool is_last = bucket + 1 == kLatencyBuckets;
    cumulative.emplace_back(is_last ? "+Inf" : std::to_string(kLatencyBucketsMs[bucket]), n);
  }
  page->Histogram(name, help, cumulative, histogram.count, histogram.sum_ms);
}

void AddLoop(const LoopMonitor& loop, MetricsPage* page) {
  AddHistogram("junctionrail_loop_lag_ms", "Delay of a timer of the event loop.", loop.lag(), page);
}

void AddReplicaTargets(const UpstreamTable& upstreams, MetricsPage* page) {
  const auto add = [&](std::string_view place, ReplicaDomain domain) {
    page->Counter("junctionrail_replica_targets_total",
                  "Engines chosen for a further replica, by where the others are.",
                  upstreams.CountReplicaRequests(domain), {{"place", place}});
  };
  add("same_hall", ReplicaDomain::kSameHall);
  add("other_hall", ReplicaDomain::kOtherHall);
  add("other_region", ReplicaDomain::kOtherRegion);
}

// A page with a line for each of thousands would be read by nobody.
constexpr std::size_t kMostOrganisations = 64;

// Of those that have a limit; the most used ones.
void AddQuotas(const QuotaClient& quotas, MetricsPage* page) {
  auto usages = quotas.Usages(MonotonicMs());
  usages.erase(std::remove_if(usages.begin(), usages.end(),
                              [](const auto& it) { return !it.upstream.empty(); }),
               usages.end());
  std::sort(usages.begin(), usages.end(), [](const auto& a, const auto& b) {
    return a.admitted + a.refused > b.admitted + b.refused;
  });
  if (usages.size() > kMostOrganisations) usages.resize(kMostOrganisations);
  for (const auto& it : usages) {
    page->Counter("junctionrail_quota_taken_total", "Requests within their organisation's quota.",
                  it.admitted, {{"organisation", it.limit.organisation}});
    page->Counter("junctionrail_quota_refused_total", "Requests refused for it.", it.refused,
                  {{"organisation", it.limit.organisation}});
  }
}

void AddTraffic(const TrafficByDistance& traffic, MetricsPage* page) {
  for (const Distance it : {Distance::kSameHall, Distance::kSameRegion, Distance::kOtherRegion}) {
    page->Counter("junctionrail_upstream_requests_total",
                  "Requests sent to upstreams, by distance.", traffic.Of(it).requests_sent,
                  {{"distance", NameOf(it)}});
  }
  for (const Distance it : {Distance::kSameHall, Distance::kSameRegion, Distance::kOtherRegion}) {
    page->Counter("junctionrail_upstream_received_bytes_total",
                  "Bytes of responses received from upstreams, by distance.",
                  traffic.Of(it).bytes_received, {{"distance", NameOf(it)}});
  }
}

void AddRelay(const RelayUse& use, MetricsPage* page) {
  page->Gauge("junctionrail_relay_in_use", "1 for the relay that answered last; 0 for none.",
              use.relay.empty() ? 0 : 1,
              {{"relay", use.relay.empty() ? std::string_view("none") : use.relay}});
  page->Gauge("junctionrail_relay_in_other_region", "Whether that relay is in another region.",
              use.is_in_other_region ? 1 : 0);
  page->Counter("junctionrail_relay_changes_total", "Changes of the relay, its loss included.",
                use.changes);
  const auto replies = [page](std::string_view region, std::uint64_t n) {
    page->Counter("junctionrail_relay_replies_total", "Replies of relays by their region.", n,
                  {{"region", region}});
  };
  replies("own", use.replies_of_own_region);
  replies("other", use.replies_of_other_regions);
}

}  // namespace

std::string EntryMetrics(const EntryMetricsSources& sources) {
  const Gateway& gateway = sources.gateway;
  MetricsPage page;
  const GatewayCounters& it = gateway.counters();
  page.Counter("junctionrail_connections_total", "Connections of callers.", it.connections);
  page.Counter("junctionrail_failed_accepts_total",
               "Connections that could not be accepted, mostly for lack of descriptors.",
               it.failed_accepts);
  page.Counter("junctionrail_displaced_connections_total",
               "Connections closed for others, as there were too many.", it.displaced_connections);
  page.Counter("junctionrail_refused_connections_total",
               "Connections closed at once, as all others had a request in flight.",
               it.refused_connections);
  page.Counter("junctionrail_requests_total", "Requests read.", it.requests);
  const auto outcome = [&page](std::string_view name, std::uint64_t n) {
    page.Counter("junctionrail_outcomes_total", "Requests by their end.", n, {{"outcome", name}});
  };
  outcome("served", it.served);
  outcome("passed_failure", it.relayed_failures);
  outcome("refused", it.refused);
  outcome("unknown", it.unknown_outcomes);
  outcome("broken", it.truncated_responses);
  outcome("cancelled", it.cancelled);
  page.Counter("junctionrail_bad_requests_total", "Not understood.", it.bad_requests);
  page.Counter("junctionrail_dropped_inputs_total",
               "Connections closed over bytes that got no response.", it.dropped_inputs);
  page.Counter("junctionrail_stop_refusals_total",
               "Requests refused, as a stop could not have completed them.", it.stop_refusals);
  page.Counter("junctionrail_retries_total", "Attempts beyond the first.", it.retries);
  page.Counter("junctionrail_resumes_total", "Streams that went on elsewhere.", it.resumes);
  page.Counter("junctionrail_resumed_streams_total",
               "Streams that callers resumed and whose origin was known.", it.resumed_streams);
  page.Counter("junctionrail_unknown_origin_total",
               "Requests to resume a stream that were refused as its origin was unknown.",
               it.unknown_origin_refusals);
  page.Counter("junctionrail_version_gone_total",
               "Streams that could not go on as no upstream runs the version that began them.",
               it.version_gone_refusals);
  page.Counter("junctionrail_version_changes_total",
               "Streams that went on at another software version within one response.",
               it.version_changes);
  page.Counter("junctionrail_model_waits_total", "Requests that waited for a load.",
               it.model_waits);
  page.Counter("junctionrail_surplus_answers_total", "Answers nobody asked for.",
               it.surplus_responses);
  page.Counter("junctionrail_excess_responses_total",
               "Attempts ended, as unfinished responses held too many bytes in sum.",
               it.excess_responses);
  page.Gauge("junctionrail_held_response_bytes", "What unfinished responses of upstreams hold.",
             static_cast<double>(gateway.held_response_bytes()));
  page.Counter("junctionrail_slow_bodies_total", "Refused, as they arrived below the least rate.",
               it.slow_bodies);
  page.Counter("junctionrail_memory_refusals_total",
               "Requests refused while they were received, as requests held too many bytes in sum.",
               it.memory_refusals);
  page.Counter("junctionrail_memory_closes_total",
               "Connections closed for what they sent ahead, or did not read, as clients held too "
               "many bytes in sum.",
               it.memory_closes);
  page.Gauge("junctionrail_client_memory_bytes", "What requests of clients hold.",
             static_cast<double>(gateway.client_memory().held_bytes()));
  page.Gauge("junctionrail_client_memory_limit_bytes", "The most that they may hold.",
             static_cast<double>(gateway.client_memory().total_bytes()));
  page.Counter("junctionrail_upstream_connections_total", "Connections opened to upstreams.",
               it.upstream_connections);
  AddTraffic(it.traffic, &page);
  page.Counter("junctionrail_responses_ended_by_close_total",
               "Responses with neither a length nor chunks.", it.responses_ended_by_close);
  const QuarantineTable& quarantine = gateway.quarantine();
  page.Counter("junctionrail_upstreams_ended_total",
               "Ended with requests under way that may have caused it.", it.upstreams_crashed);
  page.Counter("junctionrail_quarantined_total", "Refused, as upstreams end when they run them.",
               it.quarantine_refusals);
  page.Counter("junctionrail_suspects_cleared_total", "Suspected, and then run without harm.",
               quarantine.cleared_count());
  page.Gauge("junctionrail_suspects", "Requests that are sent on alone.",
             static_cast<double>(quarantine.suspect_count()));
  page.Gauge("junctionrail_refused_digests", "Requests that are sent to no upstream.",
             static_cast<double>(quarantine.Refusals().size()));
  page.Counter("junctionrail_unknown_keys_total", "Refused for a missing or unknown key.",
               it.invalid_key_refusals);
  page.Counter("junctionrail_old_configuration_total",
               "Refused, as a key may have been taken away, or a route or key added.",
               it.stale_configuration_refusals);
  page.Counter("junctionrail_over_quota_total", "Refused, as the quota is used up.",
               it.over_quota_refusals);
  page.Counter("junctionrail_without_giver_total", "Refused, as nobody grants quotas.",
               it.quota_unavailable_refusals);
  page.Gauge("junctionrail_configuration_age_ms",
             "Since the configuration is known to have been the newest; -1: it never was.",
             static_cast<double>(gateway.ConfigurationAge()));
  page.Gauge("junctionrail_configuration_version", "Version of the configuration in force.",
             static_cast<double>(sources.configuration.confirmation().version()));
  page.Gauge("junctionrail_configuration_behind_ms",
             "Since another process told of a later version; 0: none is known of.",
             static_cast<double>(sources.configuration.BehindMs()));
  page.Gauge("junctionrail_limited_upstreams",
             "Upstreams with a limit of requests a second from all entries.",
             gateway.upstreams().CountLimited());
  page.Gauge("junctionrail_cold_upstreams", "Upstreams that bear only a low rate of requests.",
             gateway.upstreams().CountCold(MonotonicMs()));
  page.Gauge("junctionrail_evacuated_halls", "Data halls that operators evacuate.",
             static_cast<double>(gateway.upstreams().evacuated_halls().size()));
  page.Counter("junctionrail_place_refusals_total",
               "Refused, as no upstream is in a place where the request may run.",
               it.place_refusals);
  page.Counter("junctionrail_held_by_limits_total",
               "Sends that found nothing left of an upstream's limit.", it.rate_limited_sends);
  page.Counter("junctionrail_upstream_rests_total", "Refusals of upstreams that ask for a rest.",
               it.backoff_requests);
  page.Counter("junctionrail_malformed_notices_total",
               "Answers of upstreams with a notice that could not be read.", it.malformed_notices);
  AddRelay(sources.relay, &page);
  AddReplicaTargets(gateway.upstreams(), &page);
  AddQuotas(gateway.quotas(), &page);
  AddHistogram("junctionrail_first_answer_ms",
               "From a request's arrival to the first byte of its answer.",
               gateway.first_byte_latency(), &page);
  AddHistogram("junctionrail_listing_age_ms",
               "Age of the list of upstreams by which an attempt was sent.", gateway.listing_age(),
               &page);
  AddLoop(sources.loop, &page);
  AddStore(sources.store, sources.log, &page);
  return page.text();
}

std::string AgentMetrics(const AgentOrderCounters& counters, const platform::StoreClient& store,
                         const LoopMonitor& loop, const EventLog& log) {
  MetricsPage page;
  page.Counter("junctionrail_orders_total", "Orders given to the engine.", counters.orders);
  page.Counter("junctionrail_orders_not_accepted_total", "Of these, not accepted.",
               counters.orders_not_accepted);
  AddLoop(loop, &page);
  AddStore(store, log, &page);
  return page.text();
}

}  // namespace junctionrail::internal

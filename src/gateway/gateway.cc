#include "junctionrail/gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <tuple>
#include <utility>

#include "caller_connection.h"
#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr int kReceiveBytes = 16 << 10;
constexpr DurationMs kAcceptRetryMs = 100;
// The interval of checks of idle connections and waiting requests.
constexpr DurationMs kTickMs = 250;
constexpr DurationMs kStopTickMs = 50;
// What callers had sent before a tick has been read this many ticks later, over any number of
// connections. A process that stands still has no ticks.
constexpr std::size_t kTicksToReadAll = 4;
// Shorter differences between the clocks are no suspension, as they are read one after the other.
constexpr DurationMs kMinSuspensionMs = 200;
// The time from the last check of a configuration's age until the upstream starts on the request.
constexpr DurationMs kKeyCheckMarginMs = 400;
// An entry's share of the connections to an upstream: at most an eighth, as an entry that has just
// started knows no better count of the others, and at least eight, so that none is without.
constexpr int kAssumedEntries = 8;
constexpr int kMinConnections = 8;

std::string_view EventName(UpstreamChangeKind news) {
  switch (news) {
    case UpstreamChangeKind::kListed:
      return "upstream_listed";
    case UpstreamChangeKind::kLeaving:
      return "upstream_leaving";
    case UpstreamChangeKind::kMissing:
      return "upstream_missing";
    case UpstreamChangeKind::kGone:
      return "upstream_gone";
  }
  return "upstream_listed";
}

DurationMs LongestTimeout(const RoutingConfiguration& configuration) {
  DurationMs longest = 0;
  for (const auto& it : configuration.routes) longest = std::max(longest, it.timeout_ms);
  return longest;
}

// With enough digits to tell limits apart.
std::string FormatLimit(const std::optional<RateLimit>& limit) {
  if (!limit) return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", limit->per_s);
  return text;
}

}  // namespace

void LatencyHistogram::Add(std::int64_t ms) {
  std::size_t n = 0;
  while (n + 1 < kLatencyBuckets && ms > kLatencyBucketsMs[n]) ++n;
  ++buckets[n];
  ++count;
  sum_ms += ms;
}

Gateway::Impl::Impl(boost::asio::io_context& io_context, GatewayOptions gateway_options,
                    EventLog& event_log)
    : io(io_context),
      options(std::move(gateway_options)),
      log(event_log),
      upstreams(options.routing),
      retry_budget(options.retry_budget, MonotonicMs()),
      pool(io, options.header_names.request_id),
      client_memory(options.client_memory ? options.client_memory
                                          : std::make_shared<ClientMemory>(ClientMemory::Limits())),
      judge_timer(io),
      crash_detector(io, quarantine,
                     [this](const UpstreamCrash& crash, std::string_view evidence) {
                       OnUpstreamCrashed(crash, evidence);
                     }),
      short_answers(io, quarantine,
                    [this](const std::vector<RequestDigest>& parts) { AddSoundParts(parts); }),
      quotas(options.entry_id),
      quota_timer(io),
      acceptor(io),
      accept_timer(io),
      tick_timer(io),
      tick_times{MonotonicMs()} {}

Result<std::uint16_t, NetError> Gateway::Impl::Listen() {
  error_code ec;
  const auto address = boost::asio::ip::make_address(options.listen_endpoint.address, ec);
  const tcp::endpoint endpoint(address, options.listen_endpoint.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  // Connections inherit it. What is sent behind a request in flight stays in the socket.
  if (!ec) acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBytes), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(kListenBacklog, ec);
  if (ec) return NetError{options.listen_endpoint.ToString() + ": " + ec.message()};
  Accept();
  Tick();
  return acceptor.local_endpoint().port();
}

// To end another exchange from within a callback would change what the callback still uses.
void Gateway::Impl::EndExcessResponsesSoon() {
  if (std::exchange(is_excess_end_scheduled, true)) return;
  boost::asio::post(io, [self = shared_from_this()] {
    self->is_excess_end_scheduled = false;
    self->response_memory.EndExcess();
  });
}

void Gateway::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (ec) return self->OnAcceptFailed(ec);
    self->AddConnection(std::move(socket));
    self->Accept();
  });
}

// Out of file descriptors, or the connection was closed before it was accepted. In the first case
// it stays in the backlog, and the next attempt would fail at once.
void Gateway::Impl::OnAcceptFailed(error_code ec) {
  ++counters.failed_accepts;
  log.Write(MonotonicMs(), "accept_failed", {{"reason", ec.message()}});
  accept_timer.After(kAcceptRetryMs, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->acceptor.is_open()) self->Accept();
  });
}

// The one whose end costs its caller the least; of those, the one that was quiet for longest.
bool Gateway::Impl::MakeRoomForConnection() {
  if (connections.size() < options.max_connections) return true;
  const auto victim =
      std::min_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
        return std::pair(a->cost_of_close(), a->last_activity_at()) <
               std::pair(b->cost_of_close(), b->last_activity_at());
      });
  const internal::CallerConnection::CloseCost cost = (*victim)->cost_of_close();
  const bool may_close = cost < internal::CallerConnection::CloseCost::kResponse;
  ++(may_close ? counters.displaced_connections : counters.refused_connections);
  log.Write(MonotonicMs(), may_close ? "connection_displaced" : "connection_refused",
            {{"connections", static_cast<std::int64_t>(connections.size())},
             {"quiet_ms", MonotonicMs() - (*victim)->last_activity_at()}});
  if (may_close) std::shared_ptr(*victim)->CloseForAnother();
  return may_close;
}

// A single request within the limits is served even if it takes more than requests together may.
void Gateway::Impl::SetLargestRequest(std::size_t bytes) {
  if (client_memory->SetLargestRequest(bytes)) return;
  log.Write(MonotonicMs(), "body_limit_over_memory",
            {{"max_body_bytes", static_cast<std::int64_t>(bytes)},
             {"client_memory_bytes", static_cast<std::int64_t>(client_memory->total_bytes())}});
}

void Gateway::Impl::AddConnection(tcp::socket socket) {
  ++counters.connections;
  if (!MakeRoomForConnection()) return;
  auto connection = std::make_shared<internal::CallerConnection>(*this, std::move(socket));
  connections.insert(connection);
  connection->Start();
  if (stop.has_begun()) connection->Drain(false);
}

void Gateway::Impl::Tick() {
  tick_timer.expires_after(std::chrono::milliseconds(TickInterval()));
  tick_timer.async_wait([self = shared_from_this()](error_code ec) {
    if (ec) return;
    self->CheckForSuspension();
    const TimeMs now = MonotonicMs();
    self->tick_times.push_back(now);
    if (self->tick_times.size() > kTicksToReadAll) self->tick_times.pop_front();
    self->UpdateEntryCount(now);
    self->pool.CloseIdle(now, [&](const std::string& instance) {
      return self->upstreams.Find(instance) != nullptr;
    });
    self->RetryWaiting();
    self->crash_detector.Expire(now);
    self->quarantine.Expire(now);
    self->prompt_parts.Expire(now);
    self->JudgeParts();
    self->ReportQuarantined();
    self->ApplyLimitChanges();
    self->UpdateSharedTurns();
    self->quotas.RetainLimitedUpstreams([&](const std::string& name) {
      return self->shared_turns.count(name) > 0 || self->upstreams.LimitOf(name).has_value();
    });
    self->SendQuotaMessages();
    if (self->stop.has_begun()) {
      self->ContinueStop();
      if (!self->on_stopped) return;
    }
    self->Tick();
  });
}

DurationMs Gateway::Impl::TickInterval() const { return stop.has_begun() ? kStopTickMs : kTickMs; }

void Gateway::Impl::UpdateEntryCount(TimeMs now) {
  const int counted = upstreams.CountEntries(now);
  const int previous = entry_count.value();
  entry_count.Update(counted, now);
  retry_budget.SetEntries(entry_count.value(), now);
  quotas.SetEntryCount(counted, now);
  if (entry_count.value() == previous) return;
  log.Write(now, "entry_count",
            {{"entries", std::int64_t{entry_count.value()}}, {"previous", std::int64_t{previous}}});
}

// Timers do not count a suspension. The timers of requests are set again, so that a request past
// its deadline is answered at once, and `on_vm_resumed` has outdated state read again.
void Gateway::Impl::CheckForSuspension() {
  const DurationMs away_ms = suspension_watch.TakeAwayMs();
  if (away_ms < kMinSuspensionMs) return;
  log.Write(MonotonicMs(), "resumed", {{"away_ms", away_ms}});
  if (on_vm_resumed) on_vm_resumed();
  const auto all = connections;
  for (const auto& it : all) it->OnVmResumed();
}

void Gateway::Impl::ApplyListing(const UpstreamListing& listing) {
  const TimeMs now = MonotonicMs();
  const bool is_first = listing_as_of == 0;
  listing_as_of = listing.as_of;
  const auto changes = upstreams.ApplyListing(listing.records, now);
  for (const auto& it : changes) {
    if (it.kind == UpstreamChangeKind::kLeaving) crash_detector.OnUpstreamLeaving(it.instance);
    if (it.kind == UpstreamChangeKind::kGone)
      crash_detector.OnUpstreamCrashed(it.instance, "record_gone", now);
    // In the first list all upstreams are new.
    if (is_first && it.kind == UpstreamChangeKind::kListed) continue;
    log.Write(now, EventName(it.kind),
              {{"upstream", it.instance},
               {"service", it.service},
               {"version", upstreams.VersionOf(it.instance)},
               {"listing_age_ms", ListingAge(now)}});
  }
  ApplyLimitChanges();
}

void Gateway::Impl::ApplyEvacuations(const std::set<std::string>& halls, TimeMs as_of) {
  const TimeMs now = MonotonicMs();
  const auto changes = upstreams.ApplyEvacuations(halls, as_of, now);
  if (changes.empty()) return;
  for (const auto& it : changes) {
    log.Write(now, it.is_evacuated ? "hall_evacuated" : "hall_returned",
              {{"hall", it.hall}, {"closes_in_ms", it.closes_in_ms}});
  }
  ApplyLimitChanges();
  if (waiting_exchanges.empty()) return;
  boost::asio::post(io, [self = shared_from_this()] { self->RetryWaiting(); });
}

void Gateway::Impl::ApplyLimitChanges() {
  const TimeMs now = MonotonicMs();
  for (const auto& it : upstreams.UpdateLimits(now)) {
    log.Write(
        now, "upstream_limit",
        {{"upstream", it.instance}, {"per_s", FormatLimit(it.limit)}, {"is_cold", it.is_cold}});
    SetUpstreamLimit(it.instance, it.limit);
  }
}

void Gateway::Impl::OnUpstreamResponse(const std::string& instance,
                                       const internal::UpstreamHead& head, TimeMs sent_at) {
  UpstreamThrottle* terms = upstreams.FindThrottle(instance);
  if (!options.read_notice || terms == nullptr) return;
  const TimeMs now = MonotonicMs();
  const UpstreamNotice notice = options.read_notice(head.status, head.fields);
  if (!notice.malformed.empty()) {
    ++counters.malformed_notices;
    log.Write(now, "upstream_notice_malformed",
              {{"upstream", instance}, {"reason", notice.malformed}});
  }
  const bool tells_limit = notice.malformed.empty();
  if (tells_limit && upstreams.OnLimitNotice(instance, notice.limit_per_s, sent_at, now))
    ApplyLimitChanges();
  terms->OnBackoff(notice.backoff_ms, sent_at, now);
  if (notice.backoff_ms > 0) {
    ++counters.backoff_requests;
    log.Write(now, "upstream_rest", {{"upstream", instance}, {"rest_ms", notice.backoff_ms}});
  }
  if (notice.is_leaving && upstreams.OnLeavingNotice(instance, now)) {
    crash_detector.OnUpstreamLeaving(instance);
    log.Write(now, "upstream_says_leaving", {{"upstream", instance}});
  }
}

DurationMs Gateway::Impl::ListingAge(TimeMs now) const {
  return listing_as_of == 0 ? -1 : now - listing_as_of;
}

DurationMs Gateway::Impl::ConfigurationAge(TimeMs now) const {
  return configuration_confirmed_at == 0 ? -1 : now - configuration_confirmed_at;
}

bool Gateway::Impl::AreKeysCurrent(TimeMs now) const {
  if (options.key_revocation_ms == 0) return true;
  return configuration_confirmed_at != 0 &&
         now - configuration_confirmed_at <= options.key_revocation_ms - kKeyCheckMarginMs;
}

bool Gateway::Impl::IsConfigurationCurrent(TimeMs now) const {
  if (expected_configuration > routes->configuration().version) return false;
  if (options.configuration_bound_ms == 0) return true;
  return configuration_confirmed_at != 0 &&
         now - configuration_confirmed_at <= options.configuration_bound_ms;
}

void Gateway::Impl::AskForOrigin(const std::shared_ptr<internal::Exchange>& exchange,
                                 UnknownStream unknown) {
  unknown.ticket = ++last_ticket;
  awaiting_origin.emplace(unknown.ticket, exchange);
  on_origin_needed(unknown);
}

void Gateway::Impl::ApplyStreamOrigin(std::uint64_t ticket,
                                      const std::optional<StreamOrigin>& origin) {
  const auto it = awaiting_origin.find(ticket);
  if (it == awaiting_origin.end()) return;
  const auto exchange = it->second.lock();
  awaiting_origin.erase(it);
  if (exchange) exchange->ApplyOrigin(origin);
}

void Gateway::Impl::OnStreamBegun(const BegunStream& begun) {
  stream_origins.Add(begun.stream, begun.origin, MonotonicMs());
  if (on_stream_begun) on_stream_begun(begun);
}

int Gateway::Impl::MaxConnections(const UpstreamRecord& upstream) const {
  if (!routes) return kMinConnections;
  const ServiceSpec* service = routes->configuration().FindService(upstream.service);
  if (service == nullptr || service->max_connections <= 0) return 0;
  const int entries = std::max(kAssumedEntries, entry_count.value());
  return std::max(kMinConnections, service->max_connections / entries);
}

Gateway::Gateway(boost::asio::io_context& io, GatewayOptions options, EventLog& log)
    : impl_(std::make_shared<Impl>(io, std::move(options), log)) {}
Gateway::~Gateway() = default;

Result<std::uint16_t, NetError> Gateway::Listen() { return impl_->Listen(); }

void Gateway::Stop(DurationMs most_ms, std::function<void()> done) {
  impl_->Stop(most_ms, std::move(done));
}

void Gateway::ApplyConfiguration(RoutingConfiguration configuration) {
  const bool is_old =
      impl_->routes && configuration.version <= impl_->routes->configuration().version;
  if (is_old) return;
  impl_->upstreams.ApplyServices(configuration.services);
  const OrganisationTable organisations = configuration.organisations.value_or(OrganisationTable());
  impl_->quotas.SetOrganisations(organisations.all(), configuration.version, MonotonicMs());
  impl_->SetLargestRequest(configuration.limits.max_body_bytes);
  impl_->longest_timeout_ms = LongestTimeout(configuration);
  impl_->routes = std::make_shared<const RouteTable>(std::move(configuration));
  if (impl_->waiting_exchanges.empty()) return;
  // The key of a waiting request may have been revoked.
  boost::asio::post(impl_->io, [impl = impl_] { impl->RetryWaiting(); });
}

void Gateway::SetRevokeMs(DurationMs revoke_ms) { impl_->options.key_revocation_ms = revoke_ms; }

void Gateway::SetConfigurationBound(DurationMs bound_ms) {
  impl_->options.configuration_bound_ms = bound_ms;
}

void Gateway::ExpectConfiguration(std::uint64_t version) {
  impl_->expected_configuration = std::max(impl_->expected_configuration, version);
}

void Gateway::ConfirmConfiguration(TimeMs as_of) {
  impl_->configuration_confirmed_at = std::max(impl_->configuration_confirmed_at, as_of);
}

void Gateway::SetRetries(RetryBudget::Options options) {
  impl_->retry_budget.SetOptions(options, MonotonicMs());
}

void Gateway::SetPolicy(const PolicySettings& policy) { impl_->upstreams.SetPolicy(policy); }

void Gateway::ApplyListing(const UpstreamListing& listing) { impl_->ApplyListing(listing); }
void Gateway::ApplyEvacuations(const std::set<std::string>& halls, TimeMs as_of) {
  impl_->ApplyEvacuations(halls, as_of);
}
void Gateway::SetEvacuationBound(DurationMs bound_ms) {
  impl_->upstreams.SetEvacuationBound(bound_ms);
}
void Gateway::SetRecordPeriod(DurationMs period_ms) { impl_->upstreams.SetRecordPeriod(period_ms); }

void Gateway::ApplyView(const EngineView& view) {
  impl_->upstreams.ApplyView(view, MonotonicMs());
  if (impl_->waiting_exchanges.empty()) return;
  const bool is_waking = !impl_->changed_instances.empty();
  impl_->changed_instances.insert(view.instance);
  if (is_waking) return;
  boost::asio::post(impl_->io, [impl = impl_] { impl->RetryAffected(); });
}

void Gateway::ForgetView(const std::string& instance) { impl_->upstreams.ForgetView(instance); }

bool Gateway::has_configuration() const { return impl_->routes != nullptr; }
const RoutingConfiguration& Gateway::configuration() const {
  return impl_->routes->configuration();
}
UpstreamTable& Gateway::upstreams() { return impl_->upstreams; }
const UpstreamTable& Gateway::upstreams() const { return impl_->upstreams; }

std::map<std::string, AgentDemand> Gateway::Demands() {
  return impl_->upstreams.BuildDemands(impl_->ModelDemands(), MonotonicMs());
}

std::vector<ModelDemand> Gateway::WaitingDemandFor(const std::string& instance) {
  return impl_->upstreams.ModelDemandsFor(instance, impl_->ModelDemands(), MonotonicMs());
}

void Gateway::OnNewDemand(std::function<void(const std::string& instance)> call) {
  impl_->on_new_demand = std::move(call);
}

void Gateway::OnVmResumed(std::function<void()> call) { impl_->on_vm_resumed = std::move(call); }
void Gateway::OnUpstreamCrash(std::function<void(const UpstreamCrash&)> call) {
  impl_->on_upstream_crash = std::move(call);
}
void Gateway::OnRequestQuarantined(std::function<void(const RequestDigest&)> call) {
  impl_->on_request_quarantined = std::move(call);
}
void Gateway::AddUpstreamCrash(const UpstreamCrash& crash) { impl_->AddUpstreamCrash(crash); }
void Gateway::QuarantineRequest(const RequestDigest& digest) {
  impl_->quarantine.Refuse(digest, MonotonicMs());
  impl_->RetrySuspects();
}
void Gateway::OnRequestReleased(std::function<void(const RequestDigest&)> call) {
  impl_->on_request_released = std::move(call);
}
bool Gateway::ReleaseRequest(const RequestDigest& digest) {
  return impl_->quarantine.Release(digest, MonotonicMs());
}
void Gateway::OnStreamBegun(std::function<void(const BegunStream&)> call) {
  impl_->on_stream_begun = std::move(call);
}
void Gateway::OnOriginNeeded(std::function<void(const UnknownStream&)> call) {
  impl_->on_origin_needed = std::move(call);
}
void Gateway::ApplyStreamOrigin(std::uint64_t ticket, const std::optional<StreamOrigin>& origin) {
  impl_->ApplyStreamOrigin(ticket, origin);
}
void Gateway::OnQuotaMessages(std::function<void(const QuotaClient::Message&)> call) {
  impl_->on_quota_message = std::move(call);
}
void Gateway::SetQuotaAllocators(std::vector<QuotaClient::Allocator> allocators) {
  impl_->quotas.SetAllocators(std::move(allocators), MonotonicMs());
  impl_->DeliverQuotaOutcomes(impl_->quotas.Expire(MonotonicMs()));
  impl_->SendQuotaMessages();
}
void Gateway::ApplyQuotaGrant(const QuotaGrant& grant) {
  impl_->DeliverQuotaOutcomes(impl_->quotas.OnGrant(grant, MonotonicMs()));
  impl_->SendQuotaMessages();
}
void Gateway::OnQuotaLinkClosed(const std::string& instance) {
  impl_->quotas.OnLinkClosed(instance);
}
const QuotaClient& Gateway::quotas() const { return impl_->quotas; }
const QuarantineTable& Gateway::quarantine() const { return impl_->quarantine; }

const GatewayCounters& Gateway::counters() const {
  impl_->counters.surplus_responses = impl_->pool.counters().surplus_responses;
  impl_->counters.traffic = impl_->pool.counters().traffic;
  impl_->counters.excess_responses = impl_->response_memory.ended_attempts();
  impl_->counters.upstream_connections = impl_->pool.counters().opened_connections;
  return impl_->counters;
}
const LatencyHistogram& Gateway::first_byte_latency() const { return impl_->first_byte_latency; }
const LatencyHistogram& Gateway::listing_age() const { return impl_->listing_age; }
std::size_t Gateway::held_response_bytes() const { return impl_->response_memory.held_bytes(); }
const ClientMemory& Gateway::client_memory() const { return *impl_->client_memory; }
DurationMs Gateway::ConfigurationAge() const { return impl_->ConfigurationAge(MonotonicMs()); }

}  // namespace junctionrail

#include "junctionrail/gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <utility>

#include "caller_connection.h"
#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 1024;
// Idle connections and parked requests are looked at so often.
constexpr DurationMs kTickMs = 250;
constexpr DurationMs kStopTickMs = 50;
// Clocks are read one after the other; less is no suspension.
constexpr DurationMs kSuspendedMs = 200;
// From the last look at a configuration's age to the beginning of the upstream's work.
constexpr DurationMs kKeyMarginMs = 400;
// What the fleet shares is divided among the entries that agents count, and
// among so many until they do: today's sites have four to seven.
constexpr int kEntriesAssumed = 8;
constexpr int kLeastConnections = 8;
// A caller that was told to come back does so within seconds; until then the
// load it needs stays wanted.
constexpr DurationMs kTurnedAwayMs = 3000;
// Later than any moment of a process.
constexpr TimeMs kNeverLate = 1LL << 60;

std::string_view EventName(ListingNews news) {
  switch (news) {
    case ListingNews::kListed:
      return "upstream_listed";
    case ListingNews::kLeaving:
      return "upstream_leaving";
    case ListingNews::kMissing:
      return "upstream_missing";
    case ListingNews::kGone:
      return "upstream_gone";
  }
  return "upstream_listed";
}

// With the digits that tell one limit from another.
std::string FormatLimit(std::optional<double> per_s) {
  if (!per_s) return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", *per_s);
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
      retries(options.retries),
      pool(io, options.names.request_id),
      crashes(io, quarantine,
              [this](const UpstreamCrash& end, std::string_view evidence) {
                OnUpstreamEnded(end, evidence);
              }),
      quotas(options.entry),
      quota_timer(io),
      acceptor(io),
      tick(io) {}

Result<std::uint16_t, NetError> Gateway::Impl::Listen() {
  error_code ec;
  const auto address = boost::asio::ip::make_address(options.callers.address, ec);
  const tcp::endpoint endpoint(address, options.callers.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(kBacklog, ec);
  if (ec) return NetError{options.callers.ToString() + ": " + ec.message()};
  Accept();
  Tick();
  return acceptor.local_endpoint().port();
}

void Gateway::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (ec) {
      // Out of descriptors, or the connection went away before it was taken.
      self->log.Write(MonotonicMs(), "accept_failed", {{"reason", ec.message()}});
    } else {
      ++self->counters.connections;
      auto connection = std::make_shared<internal::CallerConnection>(*self, std::move(socket));
      self->connections.insert(connection);
      connection->Start();
      if (self->is_stopping) connection->Leave(false);
    }
    self->Accept();
  });
}

void Gateway::Impl::Tick() {
  tick.expires_after(std::chrono::milliseconds(is_stopping ? kStopTickMs : kTickMs));
  tick.async_wait([self = shared_from_this()](error_code ec) {
    if (ec) return;
    self->NoteSuspension();
    const TimeMs now = MonotonicMs();
    self->retries.SetEntries(std::max(kEntriesAssumed, self->upstreams.Entries(now)));
    self->pool.CloseIdle(now, [&](const std::string& instance) {
      return self->upstreams.Find(instance) != nullptr;
    });
    self->WakeParked();
    self->crashes.Expire(now);
    self->quarantine.Expire(now);
    self->NoteRefused();
    self->quotas.SetEntryCount(self->upstreams.Entries(now), now);
    self->quotas.RetainLimitedUpstreams(
        [&](const std::string& instance) { return self->upstreams.LimitOf(instance).has_value(); });
    self->SendQuotaMessages();
    if (self->is_stopping) {
      self->FinishStop();
      if (!self->on_stopped) return;
    }
    self->Tick();
  });
}

// Timers stood still meanwhile: those of requests are set anew, so that one whose time is over
// is answered at once, and what is believed is asked for.
void Gateway::Impl::NoteSuspension() {
  const DurationMs away_ms = suspension.TakeAwayMs();
  if (away_ms < kSuspendedMs) return;
  log.Write(MonotonicMs(), "resumed", {{"away_ms", away_ms}});
  if (on_resumed) on_resumed();
  const auto all = connections;
  for (const auto& it : all) it->OnResumed();
}

void Gateway::Impl::Stop(DurationMs most_ms, std::function<void()> done) {
  if (is_stopping) return;
  is_stopping = true;
  stop_since = MonotonicMs();
  stop_by = stop_since + most_ms;
  on_stopped = std::move(done);
  const auto all = connections;
  for (const auto& it : all) it->Leave(false);
  Tick();
}

// Until the balancer has noticed, new connections are served. Then none is
// taken, as a request taken late could not be finished before the end.
void Gateway::Impl::FinishStop() {
  const TimeMs now = MonotonicMs();
  if (now - stop_since < options.balancer_ms && now < stop_by) return;
  error_code ec;
  acceptor.close(ec);
  const bool is_late = now >= stop_by;
  const auto all = connections;
  for (const auto& it : all) {
    if (is_late) {
      it->Drop();
    } else {
      it->Leave(true);
    }
  }
  if (!connections.empty() || !on_stopped) return;
  pool.CloseAll();
  std::exchange(on_stopped, nullptr)();
}

void Gateway::Impl::Park(const std::shared_ptr<internal::Exchange>& exchange) {
  parked.insert(exchange);
}

void Gateway::Impl::Unpark(const std::shared_ptr<internal::Exchange>& exchange) {
  parked.erase(exchange);
}

void Gateway::Impl::WakeParked() { Wake({parked.begin(), parked.end()}); }

// Those whose model is up at one of the engines that changed, or that asked one of
// them. The others look again at the next tick: views of a large fleet come so often that
// looking with each would take most of an entry's processor time.
void Gateway::Impl::WakeConcerned() {
  const std::set<std::string> instances = std::exchange(changed, {});
  std::vector<std::shared_ptr<internal::Exchange>> concerned;
  for (const auto& it : parked) {
    const bool is_concerned =
        instances.count(it->asked()) > 0 ||
        std::any_of(instances.begin(), instances.end(), [&](const std::string& instance) {
          return upstreams.HoldsNow(instance, *it->model(), MonotonicMs());
        });
    if (is_concerned) concerned.push_back(it);
  }
  Wake(std::move(concerned));
}

void Gateway::Impl::Wake(std::vector<std::shared_ptr<internal::Exchange>> all) {
  // Most urgent first, then longest waiting.
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    if (a->priority() != b->priority()) return a->priority() < b->priority();
    return a->parked_since() < b->parked_since();
  });
  for (const auto& it : all) it->Retry();
}

void Gateway::Impl::ApplyListing(const UpstreamListing& listing) {
  const TimeMs now = MonotonicMs();
  const bool is_first = listed_as_of == 0;
  listed_as_of = listing.as_of;
  const auto changes = upstreams.ApplyListing(listing.records, now);
  for (const auto& it : changes) {
    if (it.news == ListingNews::kLeaving) crashes.OnLeaving(it.instance);
    if (it.news == ListingNews::kGone) crashes.OnEnded(it.instance, "record_gone", now);
    // All of them are new in the first one.
    if (is_first && it.news == ListingNews::kListed) continue;
    log.Write(
        now, EventName(it.news),
        {{"upstream", it.instance}, {"service", it.service}, {"listing_age_ms", ListingAge(now)}});
  }
}

void Gateway::Impl::OnAnswer(const std::string& instance, const internal::UpstreamHead& head,
                             TimeMs sent_at) {
  UpstreamTerms* terms = upstreams.FindTerms(instance);
  if (!options.read_notice || terms == nullptr) return;
  const TimeMs now = MonotonicMs();
  const UpstreamNotice notice = options.read_notice(head.status, head.fields);
  if (!notice.malformed.empty()) {
    ++counters.malformed_notices;
    log.Write(now, "upstream_notice_malformed",
              {{"upstream", instance}, {"reason", notice.malformed}});
  }
  const bool tells_limit = notice.malformed.empty();
  if (tells_limit && terms->OnLimit(notice.limit_per_s, sent_at, now)) {
    log.Write(now, "upstream_limit",
              {{"upstream", instance}, {"per_s", FormatLimit(notice.limit_per_s)}});
    LimitUpstream(instance, notice.limit_per_s);
  }
  terms->OnRest(notice.rest_ms, sent_at, now);
  if (notice.rest_ms > 0) {
    ++counters.rests_asked;
    log.Write(now, "upstream_rest", {{"upstream", instance}, {"rest_ms", notice.rest_ms}});
  }
  if (notice.is_leaving && upstreams.OnSaidLeaving(instance, now)) {
    crashes.OnLeaving(instance);
    log.Write(now, "upstream_says_leaving", {{"upstream", instance}});
  }
}

// Of an end that this entry saw, or shared with others. The digests are cut to eight digits
// so that the line names all suspects that an end is likely to have.
void Gateway::Impl::OnUpstreamEnded(const UpstreamCrash& end, std::string_view evidence) {
  constexpr std::size_t kShortDigits = 8;
  ++counters.upstreams_ended;
  std::string suspects;
  for (const auto& it : end.suspects) {
    if (!suspects.empty()) suspects += ' ';
    suspects += it.digest.ToString().substr(0, kShortDigits);
    if (it.has_sent_event) suspects += '+';
    if (it.was_isolated) suspects += '!';
  }
  log.Write(MonotonicMs(), "upstream_ended",
            {{"upstream", end.instance},
             {"evidence", evidence},
             {"age_ms", end.age_ms},
             {"count", static_cast<std::int64_t>(end.suspects.size())},
             {"suspects", suspects}});
  quarantine.Add(end, MonotonicMs());
  NoteRefused();
  if (on_upstream_end) on_upstream_end(end);
  WakeSuspects();
}

void Gateway::Impl::AddUpstreamEnd(const UpstreamCrash& end) {
  const TimeMs now = MonotonicMs();
  crashes.OnToldOf(end, now);
  if (!quarantine.Add(end, now)) return;
  NoteRefused();
  WakeSuspects();
}

void Gateway::Impl::NoteRefused() {
  for (const auto& it : quarantine.TakeNewRefusals()) {
    log.Write(MonotonicMs(), "request_quarantined", {{"digest", it.ToString()}});
    if (on_request_refused) on_request_refused(it);
  }
}

void Gateway::Impl::WakeSuspects() {
  if (parked.empty()) return;
  // Not from within an exchange's own call.
  boost::asio::post(io, [self = shared_from_this()] {
    std::vector<std::shared_ptr<internal::Exchange>> suspects;
    for (const auto& it : self->parked) {
      if (it->IsSuspect()) suspects.push_back(it);
    }
    Wake(std::move(suspects));
  });
}

DurationMs Gateway::Impl::ListingAge(TimeMs now) const {
  return listed_as_of == 0 ? -1 : now - listed_as_of;
}

DurationMs Gateway::Impl::ConfigurationAge(TimeMs now) const {
  return confirmed_at == 0 ? -1 : now - confirmed_at;
}

bool Gateway::Impl::MayTrustKeys(TimeMs now) const {
  if (options.revoke_ms == 0) return true;
  return confirmed_at != 0 && now - confirmed_at <= options.revoke_ms - kKeyMarginMs;
}

QuotaClient::Admission Gateway::Impl::TakeQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                                const std::string& organisation, double amount) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.Acquire(organisation, amount, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnQuotaAsked(ticket);
  AwaitGiver(exchange, ticket);
  return verdict;
}

QuotaClient::Admission Gateway::Impl::TakeOfUpstream(
    const std::shared_ptr<internal::Exchange>& exchange, const std::string& instance) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.AcquireForUpstream(instance, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnShareAsked(ticket, instance);
  AwaitGiver(exchange, ticket);
  return verdict;
}

void Gateway::Impl::AwaitGiver(const std::shared_ptr<internal::Exchange>& exchange,
                               std::uint64_t ticket) {
  asking.emplace(ticket, exchange);
  if (std::exchange(is_sending_quotas, true)) return;
  // All requests that come with the same wake-up go into one question.
  boost::asio::post(io, [self = shared_from_this()] {
    self->is_sending_quotas = false;
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::LimitUpstream(const std::string& instance, std::optional<double> per_s) {
  auto outcomes = quotas.SetUpstreamLimit(instance, per_s, MonotonicMs());
  // Not from within an exchange's own call.
  boost::asio::post(io, [self = shared_from_this(), outcomes = std::move(outcomes)] {
    self->TellQuotas(outcomes);
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::CancelQuota(std::uint64_t ticket) {
  if (asking.erase(ticket) > 0) quotas.Cancel(ticket);
}

void Gateway::Impl::TellQuotas(const std::vector<QuotaClient::Outcome>& outcomes) {
  for (const auto& it : outcomes) {
    const auto found = asking.find(it.ticket);
    if (found == asking.end()) continue;
    const auto exchange = found->second.lock();
    asking.erase(found);
    if (exchange) exchange->OnQuota(it.ticket, it.admission);
  }
}

void Gateway::Impl::SendQuotaMessages() {
  if (on_quota_message) {
    for (const auto& it : quotas.TakeMessages(MonotonicMs())) on_quota_message(it);
  }
  const TimeMs next = quotas.NextExpiryAt();
  if (next == 0) return;
  const DurationMs delay = std::max<DurationMs>(1, next - MonotonicMs());
  quota_timer.After(delay, [self = shared_from_this()] {
    self->TellQuotas(self->quotas.Expire(MonotonicMs()));
    self->SendQuotaMessages();
  });
}

UpstreamTable::Waiting Gateway::Impl::WaitingOf(const internal::Exchange& exchange, TimeMs since) {
  UpstreamTable::Waiting waiting;
  waiting.ref = *exchange.model();
  waiting.service = exchange.service();
  waiting.asked = exchange.asked();
  waiting.priority = exchange.priority();
  waiting.since = since;
  waiting.late_at = exchange.late_at();
  waiting.count = 1;
  return waiting;
}

void Gateway::Impl::NoteTurnedAway(const internal::Exchange& exchange) {
  turned_away.push_back(WaitingOf(exchange, MonotonicMs()));
}

std::vector<UpstreamTable::Waiting> Gateway::Impl::WaitingModels() {
  const TimeMs now = MonotonicMs();
  turned_away.erase(
      std::remove_if(turned_away.begin(), turned_away.end(),
                     [now](const auto& it) { return now - it.since > kTurnedAwayMs; }),
      turned_away.end());
  std::vector<UpstreamTable::Waiting> each = turned_away;
  for (const auto& it : parked) each.push_back(WaitingOf(*it, it->parked_since()));
  std::map<ModelRef, UpstreamTable::Waiting> by_model;
  for (auto& it : each) {
    const bool is_late = it.late_at <= now;
    if (is_late) it.late_at = kNeverLate;
    it.late = is_late ? it.count : 0;
    const auto [found, is_first] = by_model.emplace(it.ref, it);
    if (is_first) continue;
    UpstreamTable::Waiting& waiting = found->second;
    waiting.count += it.count;
    waiting.late += it.late;
    waiting.late_at = std::min(waiting.late_at, it.late_at);
    waiting.priority = std::min(waiting.priority, it.priority);
    waiting.since = std::min(waiting.since, it.since);
    waiting.asked = it.asked;
  }
  std::vector<UpstreamTable::Waiting> all;
  for (auto& [ref, waiting] : by_model) all.push_back(std::move(waiting));
  return all;
}

int Gateway::Impl::MostConnections(const UpstreamRecord& upstream) const {
  if (!routes) return kLeastConnections;
  const ServiceSpec* service = routes->configuration().FindService(upstream.service);
  if (service == nullptr || service->max_connections <= 0) return 0;
  const int entries = std::max(kEntriesAssumed, upstreams.Entries(MonotonicMs()));
  return std::max(kLeastConnections, service->max_connections / entries);
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
  impl_->routes = std::make_shared<const RouteTable>(std::move(configuration));
  if (impl_->parked.empty()) return;
  // A key may be gone for which a request waits.
  boost::asio::post(impl_->io, [impl = impl_] { impl->WakeParked(); });
}

void Gateway::SetRevokeMs(DurationMs revoke_ms) { impl_->options.revoke_ms = revoke_ms; }

void Gateway::ConfirmConfiguration(TimeMs as_of) {
  impl_->confirmed_at = std::max(impl_->confirmed_at, as_of);
}

void Gateway::SetRetries(RetryBudget::Options options) { impl_->retries.SetOptions(options); }

void Gateway::SetPolicy(const PolicySettings& policy) { impl_->upstreams.SetPolicy(policy); }

void Gateway::ApplyListing(const UpstreamListing& listing) { impl_->ApplyListing(listing); }

void Gateway::ApplyView(const EngineView& view) {
  impl_->upstreams.ApplyView(view, MonotonicMs());
  if (impl_->parked.empty()) return;
  const bool is_waking = !impl_->changed.empty();
  impl_->changed.insert(view.instance);
  if (is_waking) return;
  boost::asio::post(impl_->io, [impl = impl_] { impl->WakeConcerned(); });
}

void Gateway::ForgetView(const std::string& instance) { impl_->upstreams.ForgetView(instance); }

bool Gateway::has_configuration() const { return impl_->routes != nullptr; }
const RoutingConfiguration& Gateway::configuration() const {
  return impl_->routes->configuration();
}
UpstreamTable& Gateway::upstreams() { return impl_->upstreams; }
const UpstreamTable& Gateway::upstreams() const { return impl_->upstreams; }

std::map<std::string, AgentDemand> Gateway::Demands() {
  return impl_->upstreams.Demands(impl_->WaitingModels(), MonotonicMs());
}

std::vector<ModelDemand> Gateway::WantedFrom(const std::string& instance) {
  return impl_->upstreams.WantedFrom(instance, impl_->WaitingModels(), MonotonicMs());
}

void Gateway::OnNewDemand(std::function<void(const std::string& instance)> call) {
  impl_->on_new_demand = std::move(call);
}

void Gateway::OnResumed(std::function<void()> call) { impl_->on_resumed = std::move(call); }
void Gateway::OnUpstreamEnd(std::function<void(const UpstreamCrash&)> call) {
  impl_->on_upstream_end = std::move(call);
}
void Gateway::OnRequestRefused(std::function<void(const RequestDigest&)> call) {
  impl_->on_request_refused = std::move(call);
}
void Gateway::AddUpstreamEnd(const UpstreamCrash& end) { impl_->AddUpstreamEnd(end); }
void Gateway::RefuseRequest(const RequestDigest& digest) {
  impl_->quarantine.Refuse(digest, MonotonicMs());
  impl_->WakeSuspects();
}
bool Gateway::ReleaseRequest(const RequestDigest& digest) {
  return impl_->quarantine.Release(digest, MonotonicMs());
}
void Gateway::OnQuotaMessages(std::function<void(const QuotaClient::Message&)> call) {
  impl_->on_quota_message = std::move(call);
}
void Gateway::SetQuotaGivers(std::vector<QuotaClient::Allocator> givers) {
  impl_->quotas.SetAllocators(std::move(givers), MonotonicMs());
  impl_->TellQuotas(impl_->quotas.Expire(MonotonicMs()));
  impl_->SendQuotaMessages();
}
void Gateway::ApplyQuotaGrant(const QuotaGrant& grant) {
  impl_->TellQuotas(impl_->quotas.OnGrant(grant, MonotonicMs()));
  impl_->SendQuotaMessages();
}
void Gateway::OnQuotaLinkClosed(const std::string& instance) {
  impl_->quotas.OnLinkClosed(instance);
}
const QuotaClient& Gateway::quotas() const { return impl_->quotas; }
const QuarantineTable& Gateway::quarantine() const { return impl_->quarantine; }

const GatewayCounters& Gateway::counters() const {
  impl_->counters.surplus_answers = impl_->pool.counters().surplus_answers;
  impl_->counters.upstream_connections = impl_->pool.counters().opened;
  return impl_->counters;
}
const LatencyHistogram& Gateway::first_answer() const { return impl_->first_answer; }
const LatencyHistogram& Gateway::listing_age() const { return impl_->listing_age; }
DurationMs Gateway::ConfigurationAge() const { return impl_->ConfigurationAge(MonotonicMs()); }

}  // namespace junctionrail

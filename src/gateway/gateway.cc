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
// The interval of checks of idle connections and waiting requests.
constexpr DurationMs kTickMs = 250;
constexpr DurationMs kStopTickMs = 50;
// Shorter differences between the clocks are no suspension, as they are read one after the other.
constexpr DurationMs kMinSuspensionMs = 200;
// The time from the last check of a configuration's age until the upstream starts on the request.
constexpr DurationMs kKeyCheckMarginMs = 400;
// An entry's share of the connections to an upstream: at most an eighth, as an entry that has just
// started knows no better count of the others, and at least eight, so that none is without.
constexpr int kAssumedEntries = 8;
constexpr int kMinConnections = 8;
// How long a refused request still counts as demand for its model: its caller, told to retry, does
// so within seconds.
constexpr DurationMs kRefusedWaitMs = 3000;
// Requests with a suspected prompt part, over all entries: a crash takes some 100 ms to happen and
// to be reported. The burst is small, as one that is left over would let two go at once.
constexpr double kTurnsPerS = 1;
constexpr double kTurnBurst = 0.01;
// Later than any time a process reaches.
constexpr TimeMs kNeverLate = 1LL << 60;

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

// Contains a space, which names of instances do not.
std::string TurnLimitName(const RequestDigest& part) { return "prompt part " + part.ToString(); }

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
      tick_timer(io) {}

Result<std::uint16_t, NetError> Gateway::Impl::Listen() {
  error_code ec;
  const auto address = boost::asio::ip::make_address(options.listen_endpoint.address, ec);
  const tcp::endpoint endpoint(address, options.listen_endpoint.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(kListenBacklog, ec);
  if (ec) return NetError{options.listen_endpoint.ToString() + ": " + ec.message()};
  Accept();
  Tick();
  return acceptor.local_endpoint().port();
}

void Gateway::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (ec) {
      // Out of file descriptors, or the connection was closed before it was accepted.
      self->log.Write(MonotonicMs(), "accept_failed", {{"reason", ec.message()}});
    } else {
      self->AddConnection(std::move(socket));
    }
    self->Accept();
  });
}

void Gateway::Impl::AddConnection(tcp::socket socket) {
  ++counters.connections;
  auto connection = std::make_shared<internal::CallerConnection>(*this, std::move(socket));
  connections.insert(connection);
  connection->Start();
  if (is_stopping) connection->Drain(false);
}

// Closing the acceptor would reset connections that the kernel has accepted already.
void Gateway::Impl::StopAccepting() {
  if (!acceptor.is_open()) return;
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket = acceptor.accept(ec);
    if (!ec) AddConnection(std::move(socket));
  }
  acceptor.close(ec);
}

void Gateway::Impl::Tick() {
  tick_timer.expires_after(std::chrono::milliseconds(is_stopping ? kStopTickMs : kTickMs));
  tick_timer.async_wait([self = shared_from_this()](error_code ec) {
    if (ec) return;
    self->CheckForSuspension();
    const TimeMs now = MonotonicMs();
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
    if (self->is_stopping) {
      self->ContinueStop();
      if (!self->on_stopped) return;
    }
    self->Tick();
  });
}

void Gateway::Impl::UpdateEntryCount(TimeMs now) {
  const int counted = upstreams.CountEntries(now);
  const int previous = entry_count.value();
  entry_count.Update(counted, now);
  retry_budget.SetEntries(entry_count.value());
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

void Gateway::Impl::Stop(DurationMs most_ms, std::function<void()> done) {
  if (is_stopping) return;
  is_stopping = true;
  stop_started_at = MonotonicMs();
  stop_deadline = stop_started_at + most_ms;
  on_stopped = std::move(done);
  const auto all = connections;
  for (const auto& it : all) it->Drain(false);
  Tick();
}

// Accepts new connections until the load balancer has noticed the stop, and none after that, as a
// late request could not be completed before the process ends.
void Gateway::Impl::ContinueStop() {
  const TimeMs now = MonotonicMs();
  if (now - stop_started_at < options.balancer_delay_ms && now < stop_deadline) return;
  StopAccepting();
  const bool is_late = now >= stop_deadline;
  const auto all = connections;
  for (const auto& it : all) {
    if (is_late) {
      it->ForceClose();
    } else {
      it->Drain(true);
    }
  }
  if (!connections.empty() || !on_stopped) return;
  pool.CloseAll();
  std::exchange(on_stopped, nullptr)();
}

void Gateway::Impl::AddWaiting(const std::shared_ptr<internal::Exchange>& exchange) {
  waiting_exchanges.insert(exchange);
}

void Gateway::Impl::RemoveWaiting(const std::shared_ptr<internal::Exchange>& exchange) {
  waiting_exchanges.erase(exchange);
}

void Gateway::Impl::RetryWaiting() {
  RetryInOrder({waiting_exchanges.begin(), waiting_exchanges.end()});
}

// Retries the requests whose model is loaded at one of the changed engines, or that asked the agent
// of one. The others are retried at the next tick: in a large fleet views arrive so often that
// retrying all with each would take most of an entry's processor time.
void Gateway::Impl::RetryAffected() {
  const std::set<std::string> instances = std::exchange(changed_instances, {});
  std::vector<std::shared_ptr<internal::Exchange>> concerned;
  for (const auto& it : waiting_exchanges) {
    const bool is_concerned =
        instances.count(it->asked_instance()) > 0 ||
        std::any_of(instances.begin(), instances.end(), [&](const std::string& instance) {
          return upstreams.HasModel(instance, *it->model(), MonotonicMs());
        });
    if (is_concerned) concerned.push_back(it);
  }
  RetryInOrder(std::move(concerned));
}

void Gateway::Impl::RetryInOrder(std::vector<std::shared_ptr<internal::Exchange>> all) {
  // Most urgent first, then longest waiting.
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    if (a->priority() != b->priority()) return a->priority() < b->priority();
    return a->waiting_since() < b->waiting_since();
  });
  for (const auto& it : all) it->RetrySelection();
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

// Handles a crash that this entry detected or had suspects in. Digests are truncated to eight
// digits, so that the log line has room for all likely suspects.
void Gateway::Impl::OnUpstreamCrashed(const UpstreamCrash& crash, std::string_view evidence) {
  constexpr std::size_t kShortDigits = 8;
  ++counters.upstreams_crashed;
  std::string suspects;
  std::map<RequestDigest, int> part_counts;
  for (const auto& it : crash.suspects) {
    if (!suspects.empty()) suspects += ' ';
    suspects += it.digest.ToString().substr(0, kShortDigits);
    if (it.has_sent_event) suspects += '+';
    if (it.was_isolated) suspects += '!';
    for (const auto& part : it.parts) ++part_counts[part];
  }
  std::string parts;
  for (const auto& [part, n] : part_counts) {
    if (!parts.empty()) parts += ' ';
    parts += part.ToString().substr(0, kShortDigits) + "x" + std::to_string(n);
  }
  log.Write(MonotonicMs(), "upstream_ended",
            {{"upstream", crash.instance},
             {"evidence", evidence},
             {"age_ms", crash.age_ms},
             {"count", static_cast<std::int64_t>(crash.suspects.size())},
             {"suspects", suspects},
             {"parts", parts}});
  const TimeMs now = MonotonicMs();
  quarantine.Add(crash, now);
  prompt_parts.Add(crash, now);
  ReportQuarantined();
  JudgePartsSoon();
  UpstreamCrash report = crash;
  report.sound_parts = prompt_parts.TakeSoundParts(crash.instance, now);
  if (on_upstream_crash) on_upstream_crash(report);
  RetrySuspects();
}

void Gateway::Impl::AddUpstreamCrash(const UpstreamCrash& crash) {
  const TimeMs now = MonotonicMs();
  crash_detector.OnCrashReported(crash, now);
  const bool is_news = quarantine.Add(crash, now);
  prompt_parts.Add(crash, now);
  // What this entry has seen answered clears parts at the entries that have not.
  const auto sound = prompt_parts.TakeSoundParts(crash.instance, now);
  if (!sound.empty() && on_upstream_crash) {
    on_upstream_crash({crash.instance, crash.age_ms, {}, false, sound});
  }
  if (!is_news) return;
  ReportQuarantined();
  JudgePartsSoon();
  RetrySuspects();
}

void Gateway::Impl::JudgePartsSoon() {
  judge_timer.After(PromptPartLimits().report_window_ms, [self = shared_from_this()] {
    self->JudgeParts();
    self->RetrySuspects();
  });
}

void Gateway::Impl::JudgeParts() {
  if (!prompt_parts.HasCrashes() && !prompt_parts.HasFound()) return;
  const TimeMs now = MonotonicMs();
  const auto found = prompt_parts.Judge(now);
  for (const auto& it : found) {
    const auto n = static_cast<int>(it.crashes.size());
    log.Write(now, "prompt_part_quarantined",
              {{"digest", it.part.ToString()}, {"ends", std::int64_t{n}}});
    quarantine.RefusePart(it.part, n, now);
    for (const auto& crash : it.crashes) quarantine.Explain(crash);
  }
  if (!found.empty()) ReportQuarantined();
  UpdateSharedTurns();
}

void Gateway::Impl::AddSoundParts(const std::vector<RequestDigest>& parts) {
  if (parts.empty()) return;
  const TimeMs now = MonotonicMs();
  const auto shared = prompt_parts.FindShared(parts, now);
  prompt_parts.AddSound(parts, now);
  if (!HasSuspicions()) return;
  if (shared) TellSoundParts(now);
  const auto digests = quarantine.IsEmpty() ? parts : PartsAndCombinations(parts);
  for (const auto& it : digests) {
    if (!quarantine.Release(it, now)) continue;
    log.Write(now, "prompt_part_released", {{"digest", it.ToString()}});
    if (on_request_released) on_request_released(it);
  }
  RetrySuspects();
}

// The others need not wait for their turns any more.
void Gateway::Impl::TellSoundParts(TimeMs now) {
  if (!on_upstream_crash) return;
  for (const auto& it : quarantine.RecentCrashes(now)) {
    const auto sound = prompt_parts.TakeSoundParts(it.instance, now);
    if (!sound.empty()) on_upstream_crash({it.instance, it.age_ms, {}, false, sound});
  }
}

void Gateway::Impl::ReportQuarantined() {
  for (const auto& it : quarantine.TakeNewRefusals()) {
    log.Write(MonotonicMs(), "request_quarantined", {{"digest", it.ToString()}});
    if (on_request_quarantined) on_request_quarantined(it);
  }
}

void Gateway::Impl::RetrySuspects() {
  if (waiting_exchanges.empty()) return;
  // Deferred, as this may run within a call from an exchange.
  boost::asio::post(io, [self = shared_from_this()] {
    std::vector<std::shared_ptr<internal::Exchange>> suspects;
    for (const auto& it : self->waiting_exchanges) {
      if (it->IsSuspect()) suspects.push_back(it);
    }
    RetryInOrder(std::move(suspects));
  });
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

QuotaClient::Admission Gateway::Impl::TakeQuota(const std::shared_ptr<internal::Exchange>& exchange,
                                                const std::string& organisation, double amount) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.Acquire(organisation, amount, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnQuotaRequested(ticket);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

QuotaClient::Admission Gateway::Impl::TakeUpstreamQuota(
    const std::shared_ptr<internal::Exchange>& exchange, const std::string& instance) {
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.AcquireForUpstream(instance, ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnUpstreamQuotaRequested(ticket, instance);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

// Each entry sends its suspects one at a time, but all of them together could crash an upstream for
// each entry before the first reports arrive. A crash is known to all within a turn.
QuotaClient::Admission Gateway::Impl::TakeTurn(const std::shared_ptr<internal::Exchange>& exchange,
                                               const RequestDigest& part) {
  UpdateSharedTurns();
  const std::uint64_t ticket = ++last_ticket;
  const auto verdict = quotas.AcquireForUpstream(TurnLimitName(part), ticket, MonotonicMs());
  if (verdict.decision != QuotaClient::Decision::kPending) return verdict;
  exchange->OnTurnRequested(ticket);
  AwaitQuotaDecision(exchange, ticket);
  return verdict;
}

void Gateway::Impl::UpdateSharedTurns() {
  if (shared_turns.empty() && !prompt_parts.HasCrashes()) return;
  std::set<std::string> names;
  for (const auto& it : prompt_parts.SharedParts(MonotonicMs())) names.insert(TurnLimitName(it));
  for (const auto& it : names) {
    if (shared_turns.count(it) > 0) continue;
    log.Write(MonotonicMs(), "prompt_part_turns", {{"limit", it}});
    SetUpstreamLimit(it, RateLimit{kTurnsPerS, kTurnBurst});
  }
  shared_turns = std::move(names);
}

void Gateway::Impl::AwaitQuotaDecision(const std::shared_ptr<internal::Exchange>& exchange,
                                       std::uint64_t ticket) {
  pending_quota_requests.emplace(ticket, exchange);
  if (std::exchange(is_quota_send_scheduled, true)) return;
  // Batches all requests of this event loop iteration into one message.
  boost::asio::post(io, [self = shared_from_this()] {
    self->is_quota_send_scheduled = false;
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::SetUpstreamLimit(const std::string& instance, std::optional<RateLimit> limit) {
  auto outcomes = quotas.SetUpstreamLimit(instance, limit, MonotonicMs());
  // Deferred, as this may run within a call from an exchange.
  boost::asio::post(io, [self = shared_from_this(), outcomes = std::move(outcomes)] {
    self->DeliverQuotaOutcomes(outcomes);
    self->SendQuotaMessages();
  });
}

void Gateway::Impl::CancelQuotaRequest(std::uint64_t ticket) {
  if (pending_quota_requests.erase(ticket) > 0) quotas.Cancel(ticket);
}

void Gateway::Impl::DeliverQuotaOutcomes(const std::vector<QuotaClient::Outcome>& outcomes) {
  for (const auto& it : outcomes) {
    const auto found = pending_quota_requests.find(it.ticket);
    if (found == pending_quota_requests.end()) continue;
    const auto exchange = found->second.lock();
    pending_quota_requests.erase(found);
    if (exchange) exchange->OnQuotaDecision(it.ticket, it.admission);
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
    self->DeliverQuotaOutcomes(self->quotas.Expire(MonotonicMs()));
    self->SendQuotaMessages();
  });
}

UpstreamTable::WaitingRequests Gateway::Impl::ToWaiting(const internal::Exchange& exchange,
                                                        TimeMs since) {
  UpstreamTable::WaitingRequests waiting;
  waiting.ref = *exchange.model();
  waiting.service = exchange.service();
  waiting.asked_instance = exchange.asked_instance();
  waiting.priority = exchange.priority();
  waiting.since = since;
  waiting.next_late_at = exchange.first_byte_due_at();
  waiting.count = 1;
  waiting.allowed_regions = exchange.AllowedRegionsNow();
  waiting.software_version = exchange.bound_version();
  return waiting;
}

void Gateway::Impl::RecordRefusedWait(const internal::Exchange& exchange) {
  refused_waits.push_back(ToWaiting(exchange, MonotonicMs()));
}

std::vector<UpstreamTable::WaitingRequests> Gateway::Impl::ModelDemands() {
  const TimeMs now = MonotonicMs();
  refused_waits.erase(
      std::remove_if(refused_waits.begin(), refused_waits.end(),
                     [now](const auto& it) { return now - it.since > kRefusedWaitMs; }),
      refused_waits.end());
  std::vector<UpstreamTable::WaitingRequests> each = refused_waits;
  for (const auto& it : waiting_exchanges) each.push_back(ToWaiting(*it, it->waiting_since()));
  // Requests for one model that may run in different regions, or only at one software version, wait
  // for different engines.
  using LoadKey = std::tuple<ModelRef, AllowedRegions, std::optional<std::string>>;
  std::map<LoadKey, UpstreamTable::WaitingRequests> by_model;
  for (auto& it : each) {
    const bool is_late = it.next_late_at <= now;
    if (is_late) it.next_late_at = kNeverLate;
    it.late = is_late ? it.count : 0;
    const auto [found, is_first] =
        by_model.emplace(LoadKey{it.ref, it.allowed_regions, it.software_version}, it);
    if (is_first) continue;
    UpstreamTable::WaitingRequests& waiting = found->second;
    waiting.count += it.count;
    waiting.late += it.late;
    waiting.next_late_at = std::min(waiting.next_late_at, it.next_late_at);
    waiting.priority = std::min(waiting.priority, it.priority);
    waiting.since = std::min(waiting.since, it.since);
    waiting.asked_instance = it.asked_instance;
  }
  std::vector<UpstreamTable::WaitingRequests> all;
  for (auto& [key, waiting] : by_model) all.push_back(std::move(waiting));
  return all;
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
  impl_->counters.upstream_connections = impl_->pool.counters().opened_connections;
  return impl_->counters;
}
const LatencyHistogram& Gateway::first_byte_latency() const { return impl_->first_byte_latency; }
const LatencyHistogram& Gateway::listing_age() const { return impl_->listing_age; }
DurationMs Gateway::ConfigurationAge() const { return impl_->ConfigurationAge(MonotonicMs()); }

}  // namespace junctionrail

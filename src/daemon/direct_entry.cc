#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <utility>

#include "agent_links.h"
#include "direct_daemon.h"
#include "entry_hosting.h"
#include "entry_pages.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "loop_monitor.h"
#include "origin_client.h"
#include "peer_client.h"
#include "platform.h"
#include "quarantine_keeper.h"
#include "relay_follower.h"
#include "version_ledger.h"

namespace junctionrail::internal {
namespace {

// Age of the list of upstreams at which it is polled, as a part of the time within which one that
// leaves may get something new. The rest covers two polls without an answer, which take 750 ms, and
// the way of the last request.
constexpr double kListingPart = 0.45;
constexpr std::uint64_t kMaxPageBodyBytes = 1 << 10;
// Of the fleet's retry budget so much is spent: an entry's requests are not
// spread evenly over the window, and entries may be one more than counted.
constexpr double kBudgetMargin = 0.8;
// A crash is reported to the agent of the upstream that crashed, and to this many others, as that
// VM may be gone.
constexpr std::size_t kOtherRelays = 1;
// Interval at which the store confirms the configuration, as a part of the time for which an entry
// may act on it unconfirmed: a confirmation is at most twice as old, and one may be lost.
constexpr double kConfirmPart = 0.3;
// A giver of quotas is passed over when no view of its engine came for so long.
constexpr DurationMs kAllocatorUnseenMs = 1500;
// A confirmation of the configuration by the relay counts for this long, as a part of the same
// time.
constexpr double kRelayTrustPart = 0.6;
// An entry that starts waits so long for what others have recorded of requests that end
// upstreams, before it calls itself ready.
constexpr DurationMs kQuarantineWaitMs = 1000;
// An engine without a view for this long, twice as long as a view counts as fresh, is checked for
// the reason.
constexpr DurationMs kUnseenMs = 3000;

// In a fleet of at most this many engines, an entry observes all of them: an engine that is judged
// by its record alone looks idle while it swaps models, and requests for rare models would then be
// sent to wait there. In a large fleet an entry has about as many links, to four replicas of each
// of twenty models.
constexpr int kSmallFleetEngines = 80;

// The same after a restart, and spread evenly over entries.
double RetryRounding(const std::string& entry) {
  constexpr double kScoreRange = 18446744073709551616.0;  // 2^64.
  return static_cast<double>(RendezvousScore("retry budget", entry)) / kScoreRange;
}

RetryBudget::Options RetriesOf(const std::string& entry, const DirectSettings& direct) {
  return {direct.retry_ratio * kBudgetMargin, direct.retry_extra * kBudgetMargin,
          direct.retry_window_ms, RetryRounding(entry)};
}

DurationMs RelayTrust(const DirectSettings& direct) {
  return static_cast<DurationMs>(kRelayTrustPart * static_cast<double>(direct.leaving_ms));
}

DurationMs ListingPeriod(const DirectSettings& direct) {
  return static_cast<DurationMs>(kListingPart * static_cast<double>(direct.leaving_ms));
}

// Whether what an entry reads only at its start is alike.
bool IsSamePlace(const Settings& a, const Settings& b) {
  return a.id == b.id && a.data_hall == b.data_hall && a.direct->store == b.direct->store &&
         a.direct->metrics == b.direct->metrics && a.direct->callers == b.direct->callers &&
         a.direct->health == b.direct->health && a.direct->peer == b.direct->peer &&
         a.direct->link_port == b.direct->link_port;
}

GatewayOptions ToGatewayOptions(const Settings& settings) {
  const DirectSettings& direct = *settings.direct;
  GatewayOptions options;
  options.listen_endpoint = direct.callers;
  options.data_hall = settings.data_hall;
  options.header_names = platform::HeaderNames();
  options.read_notice = platform::ReadNotice;
  options.retry_budget = RetriesOf(settings.id, direct);
  options.routing.topology = Topology(settings.data_hall, direct.hall_regions);
  options.routing.spreads_replicas =
      direct.tolerated_hall_losses > 0 || options.routing.topology.HasRegions();
  options.routing.policy = direct.policy;
  options.entry_id = settings.id;
  options.key_revocation_ms = direct.revoke_ms;
  options.configuration_bound_ms = direct.apply_ms;
  options.routing.entry_id = settings.id;
  options.routing.small_fleet_engines = kSmallFleetEngines;
  options.routing.evacuation_bound_ms = direct.evacuate_ms;
  options.routing.record_period_ms = direct.record_period_ms;
  options.max_connections = MaxCallerConnections(settings);
  options.client_memory = std::make_shared<ClientMemory>(
      ClientMemory::Limits{ClientMemoryBytes(settings.memory_mb), 0});
  return options;
}

EntryHosting::Options ToHostingOptions(const Settings& settings) {
  const DirectSettings& direct = *settings.direct;
  return {settings.id, Endpoint{direct.callers.address, direct.link_port}, direct.policy, {}};
}

}  // namespace

class DirectEntry::Impl : public std::enable_shared_from_this<DirectEntry::Impl> {
 public:
  Impl(boost::asio::io_context& io, Settings settings, int log_descriptor)
      : io_(io),
        settings_(std::move(settings)),
        log_(EventLogOptions{settings_.id, log_descriptor}),
        http_(io),
        store_(http_, settings_.direct->store),
        recorder_(std::make_shared<QuarantineRecorder>(io, store_, log_, settings_.id)),
        quarantine_(std::make_shared<QuarantineFollower>(io, store_, log_, QuarantineCallbacks())),
        gateway_(io, ToGatewayOptions(settings_), log_),
        hosting_(std::make_shared<EntryHosting>(io, http_, store_, log_,
                                                ToHostingOptions(settings_), HostingCallbacks())),
        configuration_(io, store_, log_, platform::Freshness::kNewest,
                       [this](RoutingConfiguration it) {
                         hosting_->SetServices(it.services);
                         gateway_.ApplyConfiguration(std::move(it));
                       }),
        upstreams_(io, store_, log_, platform::Freshness::kNewest, ListingPeriod(*settings_.direct),
                   [this](const UpstreamListing& listing) {
                     gateway_.ApplyListing(listing);
                     hosting_->SetListing(listing.records);
                     RecordStreamVersions(listing);
                   }),
        links_(io, gateway_, *hosting_, {settings_.id, settings_.direct->link_port},
               LinkCallbacks()),
        peers_(io, http_, log_, *settings_.direct, {gateway_, configuration_, upstreams_}),
        relay_(io, log_, settings_, {gateway_, configuration_, upstreams_},
               [this](const std::string& instance, std::string bytes) {
                 links_.Send(instance, std::move(bytes));
               }),
        ledger_(std::make_shared<VersionLedger>(io, store_, log_, settings_.id)),
        origins_(io, log_, gateway_, ledger_, OriginCallbacks()),
        loop_(io, log_),
        pages_(log_, {gateway_, store_, configuration_, upstreams_, *recorder_, relay_, loop_,
                      [this] { return IsReady(); }}) {}

  std::optional<ListenError> Start() {
    log_.Write(MonotonicMs(), "start", {{"role", "entry"}, {"data_hall", settings_.data_hall}});
    const auto callers = gateway_.Listen();
    if (!callers) return ListenError{"direct.callers", callers.error().sentence};
    auto error = Serve(settings_.direct->health, "direct.health");
    if (!error) error = Serve(settings_.direct->peer, "direct.peer");
    if (!error) error = Serve(settings_.direct->metrics, "direct.metrics");
    if (error) return error;
    gateway_.OnNewDemand(
        [this](const std::string& instance) { links_.ScheduleUrgentDemand(instance); });
    gateway_.OnVmResumed([this] {
      upstreams_.ReadSoon();
      configuration_.Reread();
      quarantine_->Reread();
    });
    store_.OnNewEra([this] {
      RecordRefusalsAgain();
      ledger_->OnNewEra();
    });
    gateway_.OnUpstreamCrash([this](const UpstreamCrash& end) { ReportCrash(end); });
    gateway_.OnRequestQuarantined([this](const RequestDigest& it) { recorder_->Record(it); });
    gateway_.OnRequestReleased(
        [this](const RequestDigest& it) { recorder_->Release(it, [](bool) {}); });
    upstreams_.OnRegained([this] {
      configuration_.Reread();
      quarantine_->Reread();
    });
    gateway_.OnQuotaMessages([this](const QuotaClient::Message& it) { SendQuotaRequest(it); });
    configuration_.OnEvacuations([this](const std::set<std::string>& halls, TimeMs as_of) {
      gateway_.ApplyEvacuations(halls, as_of);
    });
    configuration_.OnConfirmed([this](TimeMs as_of) { gateway_.ConfirmConfiguration(as_of); });
    configuration_.OnTold([this](std::uint64_t version) { gateway_.ExpectConfiguration(version); });
    gateway_.upstreams().SetPlanner(false);
    SetConfirmationInterval();
    configuration_.RestWhileConfirmed(RelayTrust(*settings_.direct));
    upstreams_.SetWritePeriod(settings_.direct->record_period_ms);
    configuration_.Start();
    upstreams_.Start();
    quarantine_->Start();
    links_.Start();
    relay_.Start();
    origins_.Start();
    peers_.Start();
    loop_.Start();
    return std::nullopt;
  }

  void Stop() {
    log_.Write(MonotonicMs(), "stop", {{"drain_ms", settings_.drain_ms}});
    is_stopping_ = true;
    hosting_->Stop();
    gateway_.Stop(settings_.drain_ms, [this] { io_.stop(); });
  }

  void Reload(const Settings& settings) {
    const bool is_ours = settings.direct && settings.role == settings_.role;
    const bool must_restart = !is_ours || !IsSamePlace(settings, settings_);
    if (is_ours) {
      settings_.drain_ms = settings.drain_ms;
      DirectSettings& direct = *settings_.direct;
      direct.peers = settings.direct->peers;
      direct.retry_ratio = settings.direct->retry_ratio;
      direct.retry_extra = settings.direct->retry_extra;
      direct.retry_window_ms = settings.direct->retry_window_ms;
      direct.leaving_ms = settings.direct->leaving_ms;
      direct.policy = settings.direct->policy;
      direct.revoke_ms = settings.direct->revoke_ms;
      direct.evacuate_ms = settings.direct->evacuate_ms;
      direct.apply_ms = settings.direct->apply_ms;
      gateway_.SetConfigurationBound(direct.apply_ms);
      gateway_.SetRevokeMs(direct.revoke_ms);
      gateway_.SetEvacuationBound(direct.evacuate_ms);
      gateway_.SetRecordPeriod(settings.direct->record_period_ms);
      SetConfirmationInterval();
      gateway_.SetPolicy(direct.policy);
      hosting_->SetPolicy(direct.policy);
      gateway_.SetRetries(RetriesOf(settings_.id, direct));
      direct.record_period_ms = settings.direct->record_period_ms;
      upstreams_.SetPeriod(ListingPeriod(direct));
      configuration_.RestWhileConfirmed(RelayTrust(direct));
      relay_.SetPeriod(direct.RelayPeriod());
      upstreams_.SetWritePeriod(direct.record_period_ms);
    }
    log_.Write(MonotonicMs(), "reload",
               {{"waits_for_restart", must_restart},
                {"drain_ms", settings_.drain_ms},
                {"leaving_ms", settings_.direct->leaving_ms},
                {"retry_ratio", settings_.direct->retry_ratio},
                {"peers", static_cast<std::int64_t>(settings_.direct->peers.size())}});
  }

  void KeepSettings(const std::string& reason) {
    log_.Write(MonotonicMs(), "settings_malformed", {{"reason", reason}});
  }

 private:
  AgentLinks::Callbacks LinkCallbacks() {
    AgentLinks::Callbacks callbacks;
    callbacks.message = [this](const std::string& instance, std::string_view bytes) {
      OnView(instance, bytes);
    };
    callbacks.closed = [this](const std::string& instance) {
      gateway_.ForgetView(instance);
      views_.erase(instance);
      gateway_.OnQuotaLinkClosed(instance);
      origins_.OnLinkClosed(instance);
    };
    callbacks.demands_sent = [this] {
      const TimeMs now = MonotonicMs();
      UpdateQuotaAllocators(now);
      hosting_->Tick(gateway_.upstreams().EnginesWithoutView(kUnseenMs, now));
    };
    return callbacks;
  }

  EntryHosting::Callbacks HostingCallbacks() {
    EntryHosting::Callbacks callbacks;
    callbacks.view = [this](const Endpoint& engine, std::string_view bytes) {
      OnView(engine.ToString(), bytes);
    };
    callbacks.released = [this](const Endpoint& engine) {
      const auto view = views_.find(engine.ToString());
      if (view == views_.end()) return;
      gateway_.ForgetView(view->second.instance);
      views_.erase(view);
    };
    callbacks.list_soon = [this] { upstreams_.ReadSoon(); };
    callbacks.record_end = [this](const UpstreamCrash& end) { recorder_->Record(end); };
    return callbacks;
  }

  OriginClient::Callbacks OriginCallbacks() {
    OriginClient::Callbacks callbacks;
    callbacks.can_send = [this](const std::string& instance) { return links_.CanOpen(instance); };
    callbacks.send = [this](const std::string& instance, std::string bytes) {
      SendOriginMessage(instance, std::move(bytes));
    };
    return callbacks;
  }

  // On the link on which demand is sent to the agent.
  void SendOriginMessage(const std::string& instance, std::string bytes) {
    const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
    if (upstream == nullptr) return;
    if (!hosting_->IsHosting(upstream->endpoint)) return links_.Send(instance, std::move(bytes));
    const auto reply = hosting_->OnOriginMessage(bytes);
    if (reply) origins_.OnReply(instance, *reply);
  }

  // Of the services of routes on which callers may resume streams.
  void RecordStreamVersions(const UpstreamListing& listing) {
    if (!gateway_.has_configuration()) return;
    std::set<std::string> services;
    std::map<std::string, VersionLedger::Services> services_by_route;
    for (const auto& route : gateway_.configuration().routes) {
      if (!route.is_resumable) continue;
      for (const auto& it : route.traffic_split) {
        services.insert(it.service);
        if (it.weight > 0) services_by_route[route.name].insert(it.service);
      }
    }
    ledger_->SetListing(listing.records, services);
    ledger_->SetRouteServices(services_by_route);
  }

  QuarantineFollower::Callbacks QuarantineCallbacks() {
    QuarantineFollower::Callbacks callbacks;
    callbacks.ended = [this](const UpstreamCrash& end) { gateway_.AddUpstreamCrash(end); };
    callbacks.refused = [this](const RequestDigest& it) { gateway_.QuarantineRequest(it); };
    callbacks.released = [this](const RequestDigest& it) { gateway_.ReleaseRequest(it); };
    return callbacks;
  }

  // Sends the crash on links that are open already: an agent passes it on to all entries linked to
  // it and writes it to the store. If the upstream's own agent cannot, this entry writes it.
  // A report without suspects only clears parts, for which no record is kept.
  void ReportCrash(UpstreamCrash end) {
    end.should_record = !end.suspects.empty();
    const std::string ended = QuarantineTable::InstanceOfCrash(end.instance);
    const bool is_sent = SendCrash(ended, end);
    if (!is_sent && end.should_record) recorder_->Record(end);
    end.should_record = false;
    std::vector<std::pair<std::uint64_t, std::string>> others;
    for (const auto& instance : links_.OpenInstances()) {
      if (instance != ended) {
        others.emplace_back(RendezvousScore(end.instance, instance), instance);
      }
    }
    std::sort(others.rbegin(), others.rend());
    // The relay comes first, as it has links to all entries or to all of its region. Entries of
    // other regions learn of the crash from its record.
    const auto relay = std::find_if(others.begin(), others.end(),
                                    [this](const auto& it) { return it.second == relay_.relay(); });
    if (relay != others.end()) std::rotate(others.begin(), relay, relay + 1);
    std::size_t told = 0;
    for (const auto& [score, instance] : others) {
      if (told == kOtherRelays) return;
      if (SendCrash(instance, end)) ++told;
    }
  }

  // The store may have lost them, and an entry that starts later is to know them.
  void RecordRefusalsAgain() {
    for (const auto& it : gateway_.quarantine().Refusals()) {
      if (it.crashes > 0) recorder_->Record(it.digest);
    }
  }

  // Returns false if there is no link to the process that gives that engine its orders, or if it
  // passes nothing on.
  bool SendCrash(const std::string& instance, const UpstreamCrash& end) {
    const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
    if (upstream == nullptr || !links_.IsOpen(instance)) return false;
    if (hosting_->IsHosting(upstream->endpoint)) {
      hosting_->OnEnd(upstream->endpoint, end);
      return true;
    }
    const auto view = views_.find(instance);
    const bool is_relay = view != views_.end() && view->second.relays_upstream_ends &&
                          gateway_.upstreams().HasFreshView(instance, MonotonicMs());
    return is_relay && links_.SendIfOpen(instance, EncodeCrash(end));
  }

  // `source` is the link's instance, or the address of an engine kept here.
  void OnView(const std::string& source, std::string_view bytes) {
    if (IsCrashMessage(bytes)) return OnCrashMessage(source, bytes);
    if (IsQuotaGrant(bytes)) return OnQuotaGrant(source, bytes);
    if (IsRelayReply(bytes)) return relay_.OnReply(source, bytes);
    if (IsOriginReply(bytes)) return origins_.OnReply(source, bytes);
    EngineView& view = views_[source];
    if (!DecodeView(bytes, &view)) {
      log_.Write(MonotonicMs(), "view_malformed", {{"upstream", source}});
      // What follows builds on it; a new link begins with a whole view.
      views_.erase(source);
      links_.Close(source, "view_malformed");
      return;
    }
    gateway_.ApplyView(view);
  }

  void OnCrashMessage(const std::string& source, std::string_view bytes) {
    UpstreamCrash end;
    if (!DecodeCrash(bytes, &end)) {
      log_.Write(MonotonicMs(), "end_malformed", {{"upstream", source}});
      return;
    }
    gateway_.AddUpstreamCrash(end);
  }

  void OnQuotaGrant(const std::string& source, std::string_view bytes) {
    QuotaGrant grant;
    if (!DecodeQuotaGrant(bytes, &grant)) {
      log_.Write(MonotonicMs(), "grant_malformed", {{"upstream", source}});
      return;
    }
    gateway_.ApplyQuotaGrant(grant);
  }

  // On the link on which demand is sent to the agent.
  void SendQuotaRequest(const QuotaClient::Message& message) {
    const UpstreamRecord* upstream = gateway_.upstreams().Find(message.instance);
    if (upstream == nullptr || !links_.CanOpen(message.instance)) return;
    if (hosting_->IsHosting(upstream->endpoint)) {
      gateway_.upstreams().Observe(message.instance, MonotonicMs());
      return hosting_->OnQuotaAsk(upstream->endpoint, message.request);
    }
    links_.Send(message.instance, EncodeQuotaRequest(message.request));
  }

  // Agents that entries are in touch with, or have no reason to doubt: all entries that read
  // the same list choose the same ones.
  void UpdateQuotaAllocators(TimeMs now) {
    const bool has_limits =
        gateway_.has_configuration() && (gateway_.configuration().organisations.has_value() ||
                                         gateway_.upstreams().CountLimited() > 0);
    if (!has_limits) return;
    const auto unseen = gateway_.upstreams().EnginesWithoutView(kAllocatorUnseenMs, now);
    std::set<std::string> unseen_addresses;
    for (const auto& it : unseen) unseen_addresses.insert(it.ToString());
    std::vector<QuotaClient::Allocator> givers;
    for (auto& it : gateway_.upstreams().ListAgents()) {
      const bool is_giver = links_.CanOpen(it.instance) && unseen_addresses.count(it.address) == 0;
      if (is_giver) givers.push_back(std::move(it));
    }
    gateway_.SetQuotaAllocators(std::move(givers));
  }

  void SetConfirmationInterval() {
    const auto bound_ms = static_cast<double>(settings_.direct->OperatorBound());
    if (bound_ms > 0) configuration_.SetWatch(static_cast<DurationMs>(kConfirmPart * bound_ms));
  }

  std::optional<ListenError> Serve(const Endpoint& endpoint, const char* path) {
    HttpServerOptions options;
    options.endpoint = endpoint;
    // Their requests have no body.
    options.max_body_bytes = kMaxPageBodyBytes;
    options.max_connections = MaxServerConnections(settings_);
    options.on_limit = [this, path](std::string_view event) {
      log_.Write(MonotonicMs(), event, {{"server", std::string_view(path)}});
    };
    auto server = std::make_unique<HttpServer>(
        io_, options, [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
          pages_.Answer(request, std::move(responder));
        });
    const auto port = server->Listen();
    if (!port) return ListenError{path, port.error().sentence};
    servers_.push_back(std::move(server));
    return std::nullopt;
  }

  bool IsReady() const {
    const bool knows_refusals =
        quarantine_->has_read() || MonotonicMs() - started_at_ >= kQuarantineWaitMs;
    return !is_stopping_ && gateway_.has_configuration() && knows_refusals;
  }

  boost::asio::io_context& io_;
  Settings settings_;
  EventLog log_;
  HttpClient http_;
  platform::StoreClient store_;
  std::shared_ptr<QuarantineRecorder> recorder_;
  std::shared_ptr<QuarantineFollower> quarantine_;
  Gateway gateway_;
  std::shared_ptr<EntryHosting> hosting_;
  platform::ConfigurationFollower configuration_;
  platform::UpstreamFollower upstreams_;
  AgentLinks links_;
  PeerClient peers_;
  RelayFollower relay_;
  std::shared_ptr<VersionLedger> ledger_;
  OriginClient origins_;
  LoopMonitor loop_;
  EntryPages pages_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, EngineView> views_;  // The last of each link, which updates change.
  TimeMs started_at_ = MonotonicMs();
  bool is_stopping_ = false;
};

DirectEntry::DirectEntry(boost::asio::io_context& io, Settings settings, int log_descriptor)
    : impl_(std::make_shared<Impl>(io, std::move(settings), log_descriptor)) {}
DirectEntry::~DirectEntry() = default;
std::optional<ListenError> DirectEntry::Start() { return impl_->Start(); }
void DirectEntry::Stop() { impl_->Stop(); }
void DirectEntry::Reload(const Settings& settings) { impl_->Reload(settings); }
void DirectEntry::KeepSettings(const std::string& reason) { impl_->KeepSettings(reason); }

}  // namespace junctionrail::internal

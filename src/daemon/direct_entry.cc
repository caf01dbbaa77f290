#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <utility>

#include "confirmation_message.h"
#include "direct_daemon.h"
#include "direct_metrics.h"
#include "entry_hosting.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "places_page.h"
#include "platform.h"
#include "quarantine_keeper.h"
#include "quarantine_page.h"
#include "quota_page.h"

namespace junctionrail::internal {
namespace {

// Age of the list of upstreams at which it is polled, as a part of the time within which one that
// leaves may get something new. The rest covers two polls without an answer, which take 750 ms, and
// the way of the last request.
constexpr double kListingPart = 0.45;
// Interval at which changed demand is sent to agents. It is sent at once when a request begins to
// wait for a model that no agent was asked for.
constexpr DurationMs kDemandMs = 250;
constexpr DurationMs kUrgentDemandMs = 5;
// Unchanged demand is sent again after a second or, with many links, after so long that these
// messages stay within a hundred a second.
constexpr DurationMs kRepeatDemandMs = 1000;
constexpr DurationMs kRepeatDemandEachMs = 10;
// Entries to ask, while neither the store nor one of them has answered.
constexpr DurationMs kAskPeerMs = 300;
constexpr DurationMs kPeerAnswerMs = 500;
// Of the fleet's retry budget so much is spent: an entry's requests are not
// spread evenly over the window, and entries may be one more than counted.
constexpr double kBudgetMargin = 0.8;
// A crash is reported to the agent of the upstream that crashed, and to this many others, as that
// VM may be gone.
constexpr std::size_t kOtherRelays = 1;
// Interval at which the store confirms the configuration, as a part of the time for which an entry
// may act on it unconfirmed: a confirmation is at most twice as old, and one may be lost.
constexpr double kConfirmPart = 0.3;
// Age of the last confirmation, as a part of the same time, from which other entries are asked.
constexpr double kAskPeersPart = 0.65;
constexpr DurationMs kAskPeersMs = 500;
// A giver of quotas is passed over when no view of its engine came for so long.
constexpr DurationMs kAllocatorUnseenMs = 1500;
// The relay polls the list of upstreams, and entries ask it, this often, as a part of the time
// within which one that leaves may get something new. What an entry knows is then younger than the
// age at which it polls the store itself.
constexpr double kRelayPart = 0.2;
// A confirmation of the configuration by the relay counts for this long, as a part of the same
// time.
constexpr double kRelayTrustPart = 0.6;
// How often it is checked whether the relay is to be asked.
constexpr DurationMs kAskRelayMs = 100;
// Agents that may be asked for the list, one after the other; some engines may have none.
constexpr std::size_t kRelayCandidates = 16;
// Without a relay for this long, an entry plans for the fleet itself.
constexpr DurationMs kNoRelayMs = 5000;
// An entry that starts waits so long for what others have recorded of requests that end
// upstreams, before it calls itself ready.
constexpr DurationMs kQuarantineWaitMs = 1000;

// An entry has as many links in a large fleet, to the replicas of twenty models. In a fleet of no
// more engines it observes all: an engine that is judged by its record alone looks idle while it
// swaps models, and requests for rare models are then sent to wait there.
constexpr int kSmallFleetEngines = 80;

RetryBudget::Options RetriesOf(const DirectSettings& direct) {
  return {direct.retry_ratio * kBudgetMargin, direct.retry_extra * kBudgetMargin,
          direct.retry_window_ms};
}

DurationMs RelayPeriod(const DirectSettings& direct) {
  return static_cast<DurationMs>(kRelayPart * static_cast<double>(direct.leaving_ms));
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
  options.retry_budget = RetriesOf(direct);
  options.routing.topology = Topology(settings.data_hall, direct.hall_regions);
  options.routing.policy = direct.policy;
  options.entry_id = settings.id;
  options.key_revocation_ms = direct.revoke_ms;
  options.routing.entry_id = settings.id;
  options.routing.small_fleet_engines = kSmallFleetEngines;
  options.routing.evacuation_bound_ms = direct.evacuate_ms;
  options.routing.record_period_ms = direct.record_period_ms;
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
        links_(io, LinkCallbacks()),
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
                   }),
        relay_client_(settings_.id, RelayPeriod(*settings_.direct)),
        demand_timer_(io),
        relay_timer_(io),
        urgent_timer_(io),
        peer_timer_(io),
        confirmation_timer_(io) {}

  std::optional<ListenError> Start() {
    log_.Write(MonotonicMs(), "start", {{"role", "entry"}, {"data_hall", settings_.data_hall}});
    const auto callers = gateway_.Listen();
    if (!callers) return ListenError{"direct.callers", callers.error().sentence};
    auto error = Serve(settings_.direct->health, "direct.health");
    if (!error) error = Serve(settings_.direct->peer, "direct.peer");
    if (!error) error = Serve(settings_.direct->metrics, "direct.metrics");
    if (error) return error;
    gateway_.OnNewDemand([this](const std::string& instance) { ScheduleUrgentDemand(instance); });
    gateway_.OnVmResumed([this] {
      upstreams_.ReadSoon();
      configuration_.Reread();
      quarantine_->Reread();
    });
    store_.OnNewEra([this] { RecordRefusalsAgain(); });
    gateway_.OnUpstreamCrash([this](const UpstreamCrash& end) { ReportCrash(end); });
    gateway_.OnRequestQuarantined([this](const RequestDigest& it) { recorder_->Record(it); });
    upstreams_.OnRegained([this] {
      configuration_.Reread();
      quarantine_->Reread();
    });
    gateway_.OnQuotaMessages([this](const QuotaClient::Message& it) { SendQuotaRequest(it); });
    configuration_.OnEvacuations([this](const std::set<std::string>& halls, TimeMs as_of) {
      gateway_.ApplyEvacuations(halls, as_of);
    });
    configuration_.OnConfirmed([this](TimeMs as_of) { gateway_.ConfirmConfiguration(as_of); });
    gateway_.upstreams().SetPlanner(false);
    SetConfirmationInterval();
    configuration_.RestWhileConfirmed(RelayTrust(*settings_.direct));
    upstreams_.SetWritePeriod(settings_.direct->record_period_ms);
    configuration_.Start();
    upstreams_.Start();
    quarantine_->Start();
    demand_timer_.Every(kDemandMs, [this] { SendDemands(); });
    relay_timer_.Every(kAskRelayMs, [this] { AskRelay(); });
    peer_timer_.After(kAskPeerMs, [this] { AskPeer(0); });
    confirmation_timer_.Every(kAskPeersMs, [this] { AskPeersForConfirmation(); });
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
      gateway_.SetRevokeMs(direct.revoke_ms);
      gateway_.SetEvacuationBound(direct.evacuate_ms);
      gateway_.SetRecordPeriod(settings.direct->record_period_ms);
      SetConfirmationInterval();
      gateway_.SetPolicy(direct.policy);
      hosting_->SetPolicy(direct.policy);
      gateway_.SetRetries(RetriesOf(direct));
      direct.record_period_ms = settings.direct->record_period_ms;
      upstreams_.SetPeriod(ListingPeriod(direct));
      configuration_.RestWhileConfirmed(RelayTrust(direct));
      relay_client_.SetPeriod(RelayPeriod(direct));
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
  LinkClientCallbacks LinkCallbacks() {
    LinkClientCallbacks callbacks;
    callbacks.opened = [](const std::string&) {};
    callbacks.message = [this](const std::string& instance, std::string_view bytes) {
      OnView(instance, bytes);
    };
    callbacks.closed = [this](const std::string& instance, bool was_open) {
      gateway_.ForgetView(instance);
      views_.erase(instance);
      agent_links_.erase(instance);
      gateway_.OnQuotaLinkClosed(instance);
      if (!was_open) reopen_at_[instance] = MonotonicMs() + kReopenMs;
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

  QuarantineFollower::Callbacks QuarantineCallbacks() {
    QuarantineFollower::Callbacks callbacks;
    callbacks.ended = [this](const UpstreamCrash& end) { gateway_.AddUpstreamCrash(end); };
    callbacks.refused = [this](const RequestDigest& it) { gateway_.QuarantineRequest(it); };
    callbacks.released = [this](const RequestDigest& it) { gateway_.ReleaseRequest(it); };
    return callbacks;
  }

  // Sends the crash on links that are open already: an agent passes it on to all entries linked to
  // it and writes it to the store. If the upstream's own agent cannot, this entry writes it.
  void ReportCrash(UpstreamCrash end) {
    end.should_record = true;
    const std::string ended = QuarantineTable::InstanceOfCrash(end.instance);
    const bool is_recorded = SendCrash(ended, end);
    if (!is_recorded) recorder_->Record(end);
    end.should_record = false;
    std::vector<std::pair<std::uint64_t, std::string>> others;
    for (const auto& [instance, link] : agent_links_) {
      if (instance != ended) {
        others.emplace_back(RendezvousScore(end.instance, instance), instance);
      }
    }
    std::sort(others.rbegin(), others.rend());
    // The relay has links to all entries.
    const auto relay = std::find_if(others.begin(), others.end(), [this](const auto& it) {
      return it.second == relay_client_.relay();
    });
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
    const auto link = agent_links_.find(instance);
    const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
    if (link == agent_links_.end() || upstream == nullptr) return false;
    if (hosting_->IsHosting(upstream->endpoint)) {
      hosting_->OnEnd(upstream->endpoint, end);
      return true;
    }
    const auto view = views_.find(instance);
    const bool is_relay = view != views_.end() && view->second.relays_upstream_ends &&
                          gateway_.upstreams().HasFreshView(instance, MonotonicMs());
    if (!is_relay) return false;
    links_.Send(instance, link->second.endpoint, EncodeCrash(end));
    return true;
  }

  // `source` is the link's instance, or the address of an engine kept here.
  void OnView(const std::string& source, std::string_view bytes) {
    if (IsCrashMessage(bytes)) return OnCrashMessage(source, bytes);
    if (IsQuotaGrant(bytes)) return OnQuotaGrant(source, bytes);
    if (IsRelayReply(bytes)) return OnRelayReply(source, bytes);
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
    if (upstream == nullptr || reopen_at_.count(message.instance) > 0) return;
    gateway_.upstreams().Observe(message.instance, MonotonicMs());
    if (hosting_->IsHosting(upstream->endpoint)) {
      return hosting_->OnQuotaAsk(upstream->endpoint, message.request);
    }
    links_.Send(message.instance, LinkTo(*upstream), EncodeQuotaRequest(message.request));
  }

  // To the engine's agent, or to the entry that gives orders in its place.
  Endpoint LinkTo(const UpstreamRecord& upstream) const {
    const Endpoint agent{upstream.endpoint.address, settings_.direct->link_port};
    return hosting_->LinkOf(upstream.endpoint).value_or(agent);
  }

  // Asks the relay what changed in the list of upstreams and in what operators wrote.
  void AskRelay() {
    const TimeMs now = MonotonicMs();
    if (now - relay_answered_at_ > kNoRelayMs) SetPlanner(true, "none");
    const auto ranked = gateway_.upstreams().RankAgents(kRelayCandidates);
    const auto ask = relay_client_.NextAsk(ranked, now);
    if (!ask) return;
    const UpstreamRecord* upstream = gateway_.upstreams().Find(ask->instance);
    if (upstream == nullptr || reopen_at_.count(ask->instance) > 0) return;
    gateway_.upstreams().Observe(ask->instance, now);
    links_.Send(ask->instance, LinkTo(*upstream), EncodeRelayRequest(ask->request));
  }

  void OnRelayReply(const std::string& source, std::string_view bytes) {
    const TimeMs now = MonotonicMs();
    RelayReply reply;
    if (!DecodeRelayReply(bytes, &reply)) {
      log_.Write(now, "relay_reply_malformed", {{"upstream", source}});
      return;
    }
    const DurationMs max_age_ms = 2 * RelayPeriod(*settings_.direct);
    const auto news = relay_client_.OnReply(source, reply, max_age_ms, now);
    if (!news) return;  // Late, or malformed: another relay is asked then.
    relay_answered_at_ = now;
    SetPlanner(news->is_planner, source);
    if (news->configuration_as_of != 0) {
      gateway_.ApplyEvacuations(news->evacuated_halls, news->configuration_as_of);
      configuration_.OfferConfirmation(news->configuration_version, news->configuration_as_of, 0);
    }
    if (news->listing) upstreams_.OfferRelayed(*news->listing);
  }

  void SetPlanner(bool is_planner, const std::string& relay) {
    if (!gateway_.upstreams().SetPlanner(is_planner)) return;
    log_.Write(MonotonicMs(), "planner", {{"is_planner", is_planner}, {"relay", relay}});
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
      const bool is_giver =
          reopen_at_.count(it.instance) == 0 && unseen_addresses.count(it.address) == 0;
      if (is_giver) givers.push_back(std::move(it));
    }
    gateway_.SetQuotaAllocators(std::move(givers));
  }

  void SetConfirmationInterval() {
    const auto bound_ms = static_cast<double>(settings_.direct->OperatorBound());
    if (bound_ms > 0) configuration_.SetWatch(static_cast<DurationMs>(kConfirmPart * bound_ms));
  }

  // The store cannot be reached, or is slow: another entry may have a later confirmation. All are
  // asked, as some may be gone, and their confirmations differ in age.
  void AskPeersForConfirmation() {
    const auto bound_ms = static_cast<double>(settings_.direct->OperatorBound());
    const DurationMs age_ms = gateway_.ConfigurationAge();
    const bool is_old = age_ms < 0 || static_cast<double>(age_ms) > kAskPeersPart * bound_ms;
    if (bound_ms <= 0 || !is_old) return;
    for (const auto& peer : settings_.direct->peers) {
      if (peer == settings_.direct->peer) continue;
      Ask(peer, "/known/word", [this, peer, asked_at = MonotonicMs()](const std::string& text) {
        OnPeerConfirmation(peer, asked_at, text);
      });
    }
  }

  void OnPeerConfirmation(const Endpoint& peer, TimeMs asked_at, const std::string& text) {
    const auto told = ParseConfirmation(text);
    if (!told) return log_.Write(MonotonicMs(), "word_malformed", {{"peer", peer.ToString()}});
    gateway_.ApplyEvacuations(told->evacuated_halls, asked_at - told->age_ms);
    if (configuration_.OfferConfirmation(told->version, asked_at, told->age_ms)) return;
    Ask(peer, "/known/configuration", [this, told = *told, asked_at](const std::string& document) {
      if (configuration_.Offer(document)) {
        configuration_.OfferConfirmation(told.version, asked_at, told.age_ms);
      }
    });
  }

  std::optional<ListenError> Serve(const Endpoint& endpoint, const char* path) {
    HttpServerOptions options;
    options.endpoint = endpoint;
    auto server = std::make_unique<HttpServer>(
        io_, options, [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
          Answer(request, std::move(responder));
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

  void Answer(const HttpRequest& request, std::shared_ptr<HttpResponder> shared) {
    HttpResponder& responder = *shared;
    if (request.target == "/ready") return responder.Whole(IsReady() ? 200 : 503, {}, "");
    if (request.target == "/metrics") {
      return responder.Whole(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                             EntryMetrics(gateway_, store_, log_));
    }
    if (request.target == "/quarantine") {
      return responder.Whole(200, {{"Content-Type", "application/json"}},
                             QuarantinePage(gateway_.quarantine(), MonotonicMs()));
    }
    if (IsReleaseTarget(request.target)) return Release(request, std::move(shared));
    if (request.target == "/known/configuration") {
      return responder.Whole(200, {}, configuration_.document());
    }
    if (request.target == "/known/word") {
      const DurationMs age_ms = gateway_.ConfigurationAge();
      if (age_ms < 0) return responder.Whole(404, {}, "");
      return responder.Whole(200, {},
                             FormatConfirmation({configuration_.confirmation().version(), age_ms,
                                                 gateway_.upstreams().evacuated_halls()}));
    }
    if (request.target == "/quotas") {
      return responder.Whole(200, {{"Content-Type", "application/json"}},
                             QuotaPage(gateway_.quotas(), MonotonicMs()));
    }
    if (request.target == "/places") {
      return responder.Whole(200, {{"Content-Type", "application/json"}},
                             PlacesPage(gateway_.upstreams(), MonotonicMs()));
    }
    if (request.target == "/known/upstreams") {
      return responder.Whole(200, {}, upstreams_.Document());
    }
    responder.Whole(404, {}, "");
  }

  // An operator lets a refused request be tried again: here at once, and at the other
  // entries as its record goes from the store.
  void Release(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
    const auto digest = ReleasedDigest(request.target);
    if (request.method != "POST") return responder->Whole(405, {{"Allow", "POST"}}, "");
    if (!digest) return responder->Whole(400, {}, "expected 32 hexadecimal digits\n");
    const bool was_refused = gateway_.ReleaseRequest(*digest);
    log_.Write(MonotonicMs(), "request_released",
               {{"digest", digest->ToString()}, {"was_refused", was_refused}});
    recorder_->Release(*digest, [responder, was_refused](bool is_done) {
      if (!is_done) return responder->Whole(503, {}, "the store did not confirm it\n");
      if (!was_refused) return responder->Whole(404, {}, "not refused here\n");
      responder->Whole(200, {}, "");
    });
  }

  // Starting while the store is away: another entry knows what it last read,
  // which may only be behind.
  void AskPeer(std::size_t n) {
    const auto& peers = settings_.direct->peers;
    if (gateway_.has_configuration() || peers.empty()) return;
    const Endpoint peer = peers[n % peers.size()];
    Ask(peer, "/known/configuration", [this, peer](const std::string& document) {
      if (!configuration_.Offer(document)) return;
      log_.Write(MonotonicMs(), "configuration_from_peer", {{"peer", peer.ToString()}});
      Ask(peer, "/known/upstreams", [this](const std::string& it) { upstreams_.Offer(it); });
    });
    peer_timer_.After(kAskPeerMs, [this, n] { AskPeer(n + 1); });
  }

  void Ask(const Endpoint& peer, std::string target, std::function<void(const std::string&)> take) {
    HttpCall call;
    call.endpoint = peer;
    call.target = std::move(target);
    call.connect_ms = kPeerAnswerMs;
    call.quiet_ms = kPeerAnswerMs;
    FetchWhole(http_, std::move(call), [take = std::move(take)](const HttpAnswer& answer) {
      if (answer.status == 200 && !answer.body.empty()) take(answer.body);
    });
  }

  void ScheduleUrgentDemand(const std::string& instance) {
    const bool is_armed = !urgent_.empty();
    urgent_.insert(instance);
    if (is_armed) return;
    urgent_timer_.After(kUrgentDemandMs, [this] {
      const auto all = std::exchange(urgent_, {});
      for (const auto& it : all) SendUrgentDemand(it);
    });
  }

  // Only the demand of waiting requests there has changed: building the demand for all agents each
  // time a request begins to wait would take milliseconds.
  void SendUrgentDemand(const std::string& instance) {
    const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
    if (upstream == nullptr || reopen_at_.count(instance) > 0) return;
    const auto [link, is_new] = agent_links_.try_emplace(instance);
    AgentDemand& demand = link->second.demand;
    if (is_new) SetSender(instance, kRepeatDemandMs, &demand);
    auto& wanted = demand.wanted;
    wanted.erase(std::remove_if(wanted.begin(), wanted.end(),
                                [](const ModelDemand& it) { return it.waiting > 0; }),
                 wanted.end());
    auto waiting = gateway_.WaitingDemandFor(instance);
    wanted.insert(wanted.begin(), waiting.begin(), waiting.end());
    link->second.demand_sent_at = MonotonicMs();
    SendDemand(*upstream, demand, &link->second);
  }

  struct AgentLink {
    AgentDemand demand;
    Endpoint endpoint;
    TimeMs demand_sent_at = 0;
    TimeMs opened_at = MonotonicMs();
  };

  void SetSender(const std::string& instance, DurationMs repeat_ms, AgentDemand* demand) const {
    demand->entry = settings_.id;
    demand->instance = instance;
    demand->accepts_view_updates = true;
    demand->wants_upstream_ends = true;
    demand->is_planner = gateway_.upstreams().is_planner();
    demand->resend_interval_ms = repeat_ms;
  }

  void SendDemands() {
    const TimeMs now = MonotonicMs();
    auto demands = gateway_.Demands();
    const DurationMs repeat_ms =
        std::max(kRepeatDemandMs, kRepeatDemandEachMs * static_cast<DurationMs>(demands.size()));
    for (auto& [instance, demand] : demands) {
      SetSender(instance, repeat_ms, &demand);
      const UpstreamRecord* upstream = gateway_.upstreams().Find(instance);
      if (upstream == nullptr || reopen_at_.count(instance) > 0) continue;
      AgentLink& link = agent_links_[instance];
      // Ages grow by themselves; what is wanted is compared without them.
      const bool is_same = IsSame(link.demand, demand);
      if (is_same && now - link.demand_sent_at < repeat_ms) continue;
      link.demand_sent_at = now;
      SendDemand(*upstream, demand, &link);
      link.demand = std::move(demand);
    }
    CloseUnused(demands);
    CloseSilent(now);
    UpdateQuotaAllocators(now);
    for (auto it = reopen_at_.begin(); it != reopen_at_.end();) {
      it = it->second <= now ? reopen_at_.erase(it) : std::next(it);
    }
    hosting_->Tick(gateway_.upstreams().EnginesWithoutView(kUnseenMs, now));
  }

  void SendDemand(const UpstreamRecord& upstream, const AgentDemand& demand, AgentLink* link) {
    if (hosting_->IsHosting(upstream.endpoint)) {
      links_.Close(upstream.instance, "hosted_here");
      return hosting_->OnDemand(upstream.endpoint, demand);
    }
    const Endpoint to = LinkTo(upstream);
    if (!(link->endpoint == to) && link->endpoint.port != 0)
      links_.Close(upstream.instance, "moved");
    link->endpoint = to;
    links_.Send(upstream.instance, to, EncodeDemand(demand));
  }

  static bool IsSame(const AgentDemand& a, const AgentDemand& b) {
    if (a.stage != b.stage || a.wanted.size() != b.wanted.size()) return false;
    if (a.may_load_from_store != b.may_load_from_store) return false;
    if (a.is_planner != b.is_planner) return false;
    for (std::size_t n = 0; n < a.wanted.size(); ++n) {
      const bool is_same = a.wanted[n].ref == b.wanted[n].ref &&
                           (a.wanted[n].waiting > 0) == (b.wanted[n].waiting > 0);
      if (!is_same) return false;
    }
    if (a.use.size() != b.use.size()) return false;
    for (std::size_t n = 0; n < a.use.size(); ++n) {
      const bool is_same =
          a.use[n].model == b.use[n].model && (a.use[n].in_flight > 0) == (b.use[n].in_flight > 0);
      if (!is_same) return false;
    }
    return true;
  }

  // Links to agents of engines that are not observed any more.
  void CloseUnused(const std::map<std::string, AgentDemand>& demands) {
    for (auto it = agent_links_.begin(); it != agent_links_.end();) {
      if (demands.count(it->first) > 0) {
        ++it;
        continue;
      }
      links_.Close(it->first, "unused");
      it = agent_links_.erase(it);
    }
  }

  // A link that has carried nothing for long may have been cut without either end noticing. The
  // next demand opens it again.
  void CloseSilent(TimeMs now) {
    for (auto it = agent_links_.begin(); it != agent_links_.end();) {
      const bool is_gone = gateway_.upstreams().Find(it->first) == nullptr;
      const bool is_silent = !gateway_.upstreams().HasFreshView(it->first, now) &&
                             now - it->second.opened_at > kSilentLinkMs;
      if (is_gone || is_silent) {
        it->second.opened_at = now;
        links_.Close(it->first, "silent");
      }
      it = is_gone ? agent_links_.erase(it) : std::next(it);
    }
  }

  // Above the time in which a view counts as fresh.
  static constexpr DurationMs kSilentLinkMs = 2000;
  // A link that could not be opened is tried again so much later.
  static constexpr DurationMs kReopenMs = 500;
  // Twice as long as a view counts as fresh: then it is found out why none comes.
  static constexpr DurationMs kUnseenMs = 3000;

  boost::asio::io_context& io_;
  Settings settings_;
  EventLog log_;
  HttpClient http_;
  platform::StoreClient store_;
  std::shared_ptr<QuarantineRecorder> recorder_;
  std::shared_ptr<QuarantineFollower> quarantine_;
  Gateway gateway_;
  LinkClient links_;
  std::shared_ptr<EntryHosting> hosting_;
  platform::ConfigurationFollower configuration_;
  platform::UpstreamFollower upstreams_;
  RelayClient relay_client_;
  TimeMs relay_answered_at_ = MonotonicMs();  // Or the start.
  Timer demand_timer_;
  Timer relay_timer_;
  Timer urgent_timer_;
  Timer peer_timer_;
  Timer confirmation_timer_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, AgentLink> agent_links_;
  std::map<std::string, TimeMs> reopen_at_;  // Of links that could not be opened.
  std::map<std::string, EngineView> views_;  // The last of each link, which updates change.
  std::set<std::string> urgent_;             // Instances whose agents get demand soon.
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

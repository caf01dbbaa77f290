#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <set>
#include <utility>

#include "direct_daemon.h"
#include "direct_metrics.h"
#include "engine_keeper.h"
#include "entry_hosting.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "junctionrail/stream_origins.h"
#include "loop_monitor.h"
#include "platform.h"
#include "quarantine_keeper.h"

namespace junctionrail::internal {
namespace {

// The engine's record in the store tells its instance; one that restarted
// refuses orders meant for the one before.
constexpr DurationMs kListingMs = 2500;
// An entry that gave this engine orders looks each second whether an agent listens;
// from its last order on, engines must see no other holder for the lease's three.
constexpr DurationMs kHandBackMs = 5000;
constexpr DurationMs kCheckRelayMs = 1000;

}  // namespace

class DirectAgent::Impl : public std::enable_shared_from_this<DirectAgent::Impl> {
 public:
  Impl(boost::asio::io_context& io, Settings settings, int log_descriptor)
      : io_(io),
        settings_(std::move(settings)),
        log_(EventLogOptions{settings_.id, log_descriptor}),
        http_(io),
        store_(http_, settings_.direct->store),
        recorder_(std::make_shared<QuarantineRecorder>(io, store_, log_, settings_.id)),
        keeper_(std::make_shared<EngineKeeper>(
            io, http_, log_, KeeperOptions{settings_.id, settings_.direct->upstream},
            MakeKeeperCallbacks())),
        links_(io, LinkCallbacks()),
        configuration_(
            io, store_, log_, platform::Freshness::kMayLag,
            [this](const RoutingConfiguration& it) { keeper_->SetServices(it.services); }),
        upstreams_(io, store_, log_, platform::Freshness::kMayLag, kListingMs,
                   [this](const UpstreamListing& listing) { OnListing(listing); }),
        relay_(settings_.id + "@" + std::to_string(UnixMs())),
        relay_timer_(io),
        loop_(io, log_) {}

  std::optional<ListenError> Start() {
    log_.Write(MonotonicMs(), "start",
               {{"role", "agent"}, {"upstream", settings_.direct->upstream.ToString()}});
    const auto port = links_.Listen(settings_.direct->link);
    if (!port) return ListenError{"direct.link", port.error().sentence};
    HttpServerOptions options;
    options.endpoint = settings_.direct->metrics;
    metrics_ = std::make_unique<HttpServer>(
        io_, options, [this](const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
          if (request.target != "/metrics") return responder->Whole(404, {}, "");
          responder->Whole(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                           AgentMetrics(keeper_->counters(), store_, loop_, log_));
        });
    const auto metrics = metrics_->Listen();
    if (!metrics) return ListenError{"direct.metrics", metrics.error().sentence};
    keeper_->SetPolicy(settings_.direct->policy);
    configuration_.SetWatch(settings_.direct->RelayWatch());
    configuration_.OnConfirmed([this](TimeMs as_of) {
      if (!is_relaying_) return;
      relay_.ConfirmConfiguration(configuration_.confirmation().version(),
                                  configuration_.document(), as_of);
    });
    configuration_.OnEvacuations([this](const std::set<std::string>& halls, TimeMs) {
      relay_.ApplyEvacuations({halls.begin(), halls.end()});
    });
    upstreams_.SetWritePeriod(settings_.direct->record_period_ms);
    configuration_.Start();
    upstreams_.Start();
    relay_timer_.Every(kCheckRelayMs, [this] { StopUnusedRelay(); });
    keeper_->Start();
    loop_.Start();
    return std::nullopt;
  }

  // The engine goes on by itself; the next process finds what it holds.
  void Stop() {
    log_.Write(MonotonicMs(), "stop", {});
    keeper_->Stop();
    links_.Stop();
    io_.stop();
  }

  void Reload(const Settings& settings) {
    const DirectSettings& direct = *settings_.direct;
    const bool must_restart =
        !settings.direct || settings.role != settings_.role || settings.id != settings_.id ||
        !(settings.direct->store == direct.store) ||
        !(settings.direct->metrics == direct.metrics) || !(settings.direct->link == direct.link) ||
        !(settings.direct->upstream == direct.upstream);
    if (settings.direct) {
      keeper_->SetPolicy(settings.direct->policy);
      settings_.direct->leaving_ms = settings.direct->leaving_ms;
      settings_.direct->record_period_ms = settings.direct->record_period_ms;
      settings_.direct->revoke_ms = settings.direct->revoke_ms;
      settings_.direct->evacuate_ms = settings.direct->evacuate_ms;
      settings_.direct->apply_ms = settings.direct->apply_ms;
      configuration_.SetWatch(settings_.direct->RelayWatch());
      upstreams_.SetWritePeriod(settings_.direct->record_period_ms);
      if (is_relaying_) upstreams_.SetPeriod(settings_.direct->RelayPeriod());
    }
    log_.Write(MonotonicMs(), "reload", {{"waits_for_restart", must_restart}});
  }

  void KeepSettings(const std::string& reason) {
    log_.Write(MonotonicMs(), "settings_malformed", {{"reason", reason}});
  }

 private:
  LinkServerCallbacks LinkCallbacks() {
    LinkServerCallbacks callbacks;
    callbacks.opened = [this](std::uint64_t link) { keeper_->OnLinkOpened(link); };
    callbacks.message = [this](std::uint64_t link, std::string_view bytes) {
      OnDemand(link, bytes);
    };
    callbacks.closed = [this](std::uint64_t link) { keeper_->OnLinkClosed(link); };
    return callbacks;
  }

  // Without a token from the store no order is given.
  KeeperCallbacks MakeKeeperCallbacks() {
    KeeperCallbacks callbacks;
    callbacks.send = [this](std::uint64_t link, const std::string& bytes) {
      links_.Send(link, bytes);
    };
    callbacks.fence = [this] { return MonotonicMs() < may_order_at_ ? 0 : fence_; };
    callbacks.raise_fence = [this] { fence_ = std::max(fence_ + 1, upstreams_.place().ToToken()); };
    callbacks.list_soon = [this] { upstreams_.ReadSoon(); };
    callbacks.record = [this](const UpstreamCrash& end) { recorder_->Record(end); };
    return callbacks;
  }

  void OnListing(const UpstreamListing& listing) {
    if (fence_ == 0) ReadHostClaim();
    if (is_relaying_) relay_.ApplyListing(listing);
    keeper_->SetListing(listing.records);
    // Once its record is known, the others matter only to a relay.
    upstreams_.Narrow(is_relaying_ ? std::string() : keeper_->engine_id());
  }

  // An entry asks for what changed in the list. As long as some do, this agent polls the list and
  // the configuration for all of them.
  void OnRelayRequest(std::uint64_t link, std::string_view bytes) {
    RelayRequest request;
    if (!DecodeRelayRequest(bytes, &request)) {
      log_.Write(MonotonicMs(), "relay_request_malformed", {});
      return;
    }
    const RelayReply reply = relay_.Answer(request, MonotonicMs());
    if (!is_relaying_) StartRelay();
    links_.Send(link, EncodeRelayReply(reply));
  }

  void StartRelay() {
    log_.Write(MonotonicMs(), "relay_started", {});
    SetRelaying(true, platform::Freshness::kNewest, settings_.direct->RelayPeriod());
    upstreams_.ReadSoon();
  }

  void StopUnusedRelay() {
    if (!is_relaying_ || relay_.IsInUse(MonotonicMs())) return;
    log_.Write(MonotonicMs(), "relay_stopped", {});
    SetRelaying(false, platform::Freshness::kMayLag, kListingMs);
  }

  void SetRelaying(bool is_relaying, platform::Freshness freshness, DurationMs period_ms) {
    is_relaying_ = is_relaying;
    configuration_.SetFreshness(freshness);
    upstreams_.SetFreshness(freshness);
    upstreams_.SetPeriod(period_ms);
    upstreams_.Narrow({});
  }

  // While this agent was away an entry may have taken its place. It stops when it
  // finds this process listening, which was so before the claim is read; a later one
  // would find it too and give no order. Until this is answered none is given here.
  void ReadHostClaim() {
    if (is_asking_host_) return;
    is_asking_host_ = true;
    const std::string key = HostKey(settings_.direct->upstream);
    platform::ReadOptions options;
    options.limit_ms = platform::kRepeatedCallMs;
    // Unlike a reading of the key, this one tells the store's revision where there is no claim.
    store_.ReadBelow(key, options, [this, key](auto read) {
      is_asking_host_ = false;
      if (!read || fence_ != 0) return;
      const auto& items = read.value().items;
      const bool has_host =
          std::any_of(items.begin(), items.end(), [&key](const auto& it) { return it.key == key; });
      if (has_host) {
        may_order_at_ = MonotonicMs() + kHandBackMs;
        log_.Write(MonotonicMs(), "engine_taken_back", {{"wait_ms", kHandBackMs}});
      }
      fence_ = std::max(upstreams_.place().ToToken(), read.value().place().ToToken());
    });
  }

  void OnDemand(std::uint64_t link, std::string_view bytes) {
    if (IsCrashMessage(bytes)) return OnEnd(bytes);
    if (IsQuotaRequest(bytes)) return OnQuotaAsk(link, bytes);
    if (IsRelayRequest(bytes)) return OnRelayRequest(link, bytes);
    if (StreamOriginHolder::IsForHolder(bytes)) return OnOriginMessage(link, bytes);
    AgentDemand demand;
    if (!DecodeDemand(bytes, &demand)) {
      log_.Write(MonotonicMs(), "demand_malformed", {});
      return;
    }
    keeper_->OnDemand(link, std::move(demand));
  }

  void OnOriginMessage(std::uint64_t link, std::string_view bytes) {
    const TimeMs now = MonotonicMs();
    bool is_valid = false;
    auto reply = stream_origins_.OnMessage(bytes, now, &is_valid);
    if (!is_valid) return log_.Write(now, "origin_malformed", {});
    if (reply) links_.Send(link, std::move(*reply));
  }

  void OnQuotaAsk(std::uint64_t link, std::string_view bytes) {
    QuotaRequest ask;
    if (!DecodeQuotaRequest(bytes, &ask)) return log_.Write(MonotonicMs(), "quota_malformed", {});
    keeper_->OnQuotaAsk(link, ask);
  }

  void OnEnd(std::string_view bytes) {
    UpstreamCrash end;
    if (!DecodeCrash(bytes, &end)) return log_.Write(MonotonicMs(), "end_malformed", {});
    keeper_->OnEnd(end);
  }

  boost::asio::io_context& io_;
  Settings settings_;
  EventLog log_;
  HttpClient http_;
  platform::StoreClient store_;
  std::shared_ptr<QuarantineRecorder> recorder_;
  std::shared_ptr<EngineKeeper> keeper_;
  LinkServer links_;
  platform::ConfigurationFollower configuration_;
  platform::UpstreamFollower upstreams_;
  std::unique_ptr<HttpServer> metrics_;
  std::int64_t fence_ = 0;  // The store's revision at the start.
  TimeMs may_order_at_ = 0;
  bool is_asking_host_ = false;
  StreamOriginHolder stream_origins_;
  ListingRelay relay_;
  Timer relay_timer_;
  LoopMonitor loop_;
  bool is_relaying_ = false;
};

DirectAgent::DirectAgent(boost::asio::io_context& io, Settings settings, int log_descriptor)
    : impl_(std::make_shared<Impl>(io, std::move(settings), log_descriptor)) {}
DirectAgent::~DirectAgent() = default;
std::optional<ListenError> DirectAgent::Start() { return impl_->Start(); }
void DirectAgent::Stop() { impl_->Stop(); }
void DirectAgent::Reload(const Settings& settings) { impl_->Reload(settings); }
void DirectAgent::KeepSettings(const std::string& reason) { impl_->KeepSettings(reason); }

}  // namespace junctionrail::internal

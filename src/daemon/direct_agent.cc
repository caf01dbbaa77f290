#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <iterator>
#include <map>
#include <utility>

#include "direct_daemon.h"
#include "direct_metrics.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "platform.h"

namespace junctionrail::internal {
namespace {

// The engine is asked so often while something is under way, else as often as
// views go out: each asking costs processor time here, and nothing else.
constexpr DurationMs kActiveReportMs = 50;
constexpr DurationMs kQuietReportMs = 500;
constexpr DurationMs kUnusedReportMs = 1000;
// Entries take a view for fresh a little over three times as long.
constexpr DurationMs kRepeatViewMs = 500;
// The engine's record in the store tells its instance; one that restarted
// refuses orders meant for the one before.
constexpr DurationMs kListingMs = 2500;

}  // namespace

class DirectAgent::Impl : public std::enable_shared_from_this<DirectAgent::Impl> {
 public:
  Impl(boost::asio::io_context& io, Settings settings, int log_descriptor)
      : io_(io),
        settings_(std::move(settings)),
        log_(EventLogOptions{settings_.id, log_descriptor}),
        http_(io),
        store_(http_, settings_.direct->store),
        engine_(http_, settings_.direct->upstream),
        links_(io, LinkCallbacks()),
        configuration_(io, store_, log_, platform::Freshness::kMayLag,
                       [this](const RoutingConfiguration& it) { OnConfiguration(it); }),
        upstreams_(io, store_, log_, platform::Freshness::kMayLag, kListingMs,
                   [this](const auto& listing, bool) { OnListing(listing); }),
        report_timer_(io) {}

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
                           AgentMetrics(counters_, store_, log_));
        });
    const auto metrics = metrics_->Listen();
    if (!metrics) return ListenError{"direct.metrics", metrics.error().sentence};
    core_.SetPolicy(settings_.direct->policy);
    configuration_.Start();
    upstreams_.Start();
    AskReport();
    return std::nullopt;
  }

  // The engine goes on by itself; the next process finds what it holds.
  void Stop() {
    log_.Write(MonotonicMs(), "stop", {});
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
    if (settings.direct) core_.SetPolicy(settings.direct->policy);
    log_.Write(MonotonicMs(), "reload", {{"waits_for_restart", must_restart}});
  }

  void KeepSettings(const std::string& reason) {
    log_.Write(MonotonicMs(), "settings_malformed", {{"reason", reason}});
  }

 private:
  LinkServerCallbacks LinkCallbacks() {
    LinkServerCallbacks callbacks;
    callbacks.opened = [this](std::uint64_t link) {
      links_open_[link] = OpenLink();
      SendView(link);
    };
    callbacks.message = [this](std::uint64_t link, std::string_view bytes) {
      OnDemand(link, bytes);
    };
    callbacks.closed = [this](std::uint64_t link) {
      links_open_.erase(link);
      core_.OnEntryGone(link);
    };
    return callbacks;
  }

  void OnConfiguration(const RoutingConfiguration& configuration) {
    services_ = configuration.services;
    ApplySpec();
  }

  void ApplySpec() {
    for (const auto& it : services_) {
      if (it.name == service_ && it.engine) core_.SetSpec(*it.engine);
    }
  }

  void OnListing(const std::vector<UpstreamRecord>& listing) {
    if (fence_ == 0) fence_ = upstreams_.revision();
    bool is_listed = false;
    // A record whose instance has ended may lapse late, or even be written again.
    std::vector<UpstreamRecord> present;
    std::copy_if(listing.begin(), listing.end(), std::back_inserter(present),
                 [this](const UpstreamRecord& it) { return it.instance != replaced_; });
    for (const auto& it : KeepLatestAtEachAddress(std::move(present))) {
      const bool is_ours = it.endpoint.address == settings_.direct->upstream.address &&
                           it.endpoint.port == settings_.direct->upstream.port;
      if (!is_ours || (it.is_leaving && it.instance != core_.instance())) continue;
      is_listed = true;
      is_leaving_ = it.is_leaving;
      service_ = it.service;
      ApplySpec();
      if (it.instance == core_.instance()) continue;
      log_.Write(MonotonicMs(), "engine_found", {{"instance", it.instance}});
      core_.Reset(it.instance);
      AskReportSoon();
    }
    if (!is_listed && has_engine_) upstreams_.ReadSoon();
  }

  void OnDemand(std::uint64_t link, std::string_view bytes) {
    AgentDemand demand;
    if (!DecodeDemand(bytes, &demand)) {
      log_.Write(MonotonicMs(), "demand_malformed", {});
      return;
    }
    // An entry that reads the store sooner knows of a new instance first.
    const TimeMs now = MonotonicMs();
    const bool has_work = !demand.wanted.empty() || !demand.stage.empty();
    core_.OnDemand(link, std::move(demand), now);
    if (has_work) AskReportSoon();
  }

  void AskReportSoon() {
    if (is_asking_) return;
    AskReport();
  }

  void AskReport() {
    is_asking_ = true;
    report_timer_.Cancel();
    engine_.Report([this](Result<EngineReport, platform::DecodeError> report) {
      is_asking_ = false;
      const TimeMs now = MonotonicMs();
      Note(report.has_value(), report ? std::string() : report.error().sentence);
      if (report) {
        core_.OnReport(std::move(report.value()), now);
        GiveOrder();
        SendViews();
      }
      const DurationMs delay = core_.IsActive()    ? kActiveReportMs
                               : core_.HasDemand() ? kQuietReportMs
                                                   : kUnusedReportMs;
      if (!is_asking_) report_timer_.After(delay, [this] { AskReport(); });
    });
  }

  void Note(bool is_in_touch, const std::string& reason) {
    if (is_in_touch == has_engine_) return;
    has_engine_ = is_in_touch;
    // It may have started anew, as another instance.
    if (is_in_touch) upstreams_.ReadSoon();
    log_.Write(MonotonicMs(), is_in_touch ? "engine_regained" : "engine_lost",
               {{"reason", reason}});
  }

  void GiveOrder() {
    // Without a token from the store no order is given: it could be older than
    // one that was given before.
    if (is_ordering_ || fence_ == 0 || core_.instance().empty() || is_leaving_) return;
    const auto order = core_.NextOrder(MonotonicMs());
    if (!order) return;
    is_ordering_ = true;
    ++counters_.orders;
    const platform::OrderSender sender{settings_.id, fence_};
    engine_.Give(*order, core_.instance(), sender,
                 [this, order = *order, since = MonotonicMs()](OrderAnswer answer) {
                   is_ordering_ = false;
                   OnAnswer(order, answer, since);
                 });
  }

  void OnAnswer(const EngineOrder& order, OrderAnswer answer, TimeMs since) {
    const TimeMs now = MonotonicMs();
    const bool is_accepted = answer == OrderAnswer::kAccepted;
    if (!is_accepted) ++counters_.orders_not_accepted;
    log_.Write(now, "order",
               {{"operation", order.kind == OrderKind::kLoad ? "load" : "unload"},
                {"target", order.target.ToString()},
                {"instance", core_.instance()},
                {"sequence", order.expected_sequence},
                {"fence", fence_},
                {"reason", order.reason},
                {"answer", AnswerName(answer)},
                {"took_ms", now - since}});
    if (answer == OrderAnswer::kOtherInstance) {
      // Until its record is read nothing is known of the one that answered.
      replaced_ = core_.instance();
      core_.Reset({});
      upstreams_.ReadSoon();
      return;
    }
    if (answer == OrderAnswer::kStaleFence) fence_ = std::max(fence_ + 1, upstreams_.revision());
    core_.OnAnswer(order, answer, now);
    SendViews();
    AskReportSoon();
  }

  static std::string_view AnswerName(OrderAnswer answer) {
    switch (answer) {
      case OrderAnswer::kAccepted:
        return "accepted";
      case OrderAnswer::kAlreadyHolds:
        return "already_holds";
      case OrderAnswer::kConflict:
        return "conflict";
      case OrderAnswer::kStaleFence:
        return "stale_fence";
      case OrderAnswer::kOtherInstance:
        return "other_instance";
      case OrderAnswer::kRejected:
        return "rejected";
      case OrderAnswer::kUnknown:
        return "unknown";
    }
    return "unknown";
  }

  // A change goes at once to the entries that it concerns and to the others with the
  // next view that is due. With 103 entries and 180 engines each carried out some two
  // changes a second, and most entries had no request for most of them.
  void SendViews() {
    if (core_.instance().empty()) return;
    const TimeMs now = MonotonicMs();
    const EngineView view = core_.View(now);
    const bool is_new = view.instance != sent_view_.instance;
    const ViewParts changed = ChangedParts(sent_view_, view);
    const bool is_due = is_new || now - repeated_at_ >= kRepeatViewMs;
    const bool has_news =
        !changed.IsEmpty() || view.store_want.has_value() != sent_view_.store_want.has_value();
    if (!has_news && !is_due) return;
    const std::vector<std::string> gone = GoneModels(sent_view_, view);
    if (is_due) repeated_at_ = now;
    EncodedViews encoded(view);
    for (auto& [link, it] : links_open_) {
      it.owed.Add(changed);
      it.is_whole_owed |= is_new;
      if (is_due || core_.IsConcerned(link, gone)) SendOwed(link, &it, &encoded);
    }
    sent_view_ = view;
  }

  void SendView(std::uint64_t link) {
    if (core_.instance().empty()) return;
    EncodedViews encoded(core_.View(MonotonicMs()));
    SendOwed(link, &links_open_[link], &encoded);
  }

  // What an entry has not been told yet.
  struct OpenLink {
    ViewParts owed;
    bool is_whole_owed = true;
  };

  // The messages for one view, each made once however many links it goes to.
  class EncodedViews {
   public:
    explicit EncodedViews(EngineView view) : view_(std::move(view)) {}

    const std::string& Whole() {
      if (whole_.empty()) whole_ = EncodeView(view_);
      return whole_;
    }
    const std::string& Update(const ViewParts& parts) {
      std::string& bytes = updates_[(parts.has_loaded ? 1 : 0) + (parts.has_orders ? 2 : 0) +
                                    (parts.has_at_hand ? 4 : 0)];
      if (bytes.empty()) bytes = EncodeViewUpdate(view_, parts);
      return bytes;
    }

   private:
    EngineView view_;
    std::string whole_;
    std::array<std::string, 8> updates_;  // By which of the three parts they hold.
  };

  void SendOwed(std::uint64_t link, OpenLink* open, EncodedViews* encoded) {
    const bool is_whole = open->is_whole_owed || !core_.TakesUpdates(link);
    links_.Send(link, is_whole ? encoded->Whole() : encoded->Update(open->owed));
    *open = OpenLink{{}, false};
  }

  boost::asio::io_context& io_;
  Settings settings_;
  EventLog log_;
  HttpClient http_;
  platform::StoreClient store_;
  platform::EngineCalls engine_;
  LinkServer links_;
  platform::ConfigurationFollower configuration_;
  platform::UpstreamFollower upstreams_;
  Timer report_timer_;
  std::unique_ptr<HttpServer> metrics_;
  PlacementCore core_;
  AgentOrderCounters counters_;
  std::vector<ServiceSpec> services_;
  std::string service_;
  std::string replaced_;  // The last instance in whose place another one answered.
  std::map<std::uint64_t, OpenLink> links_open_;
  EngineView sent_view_;  // The last that changes were told of.
  TimeMs repeated_at_ = 0;
  std::int64_t fence_ = 0;
  bool is_asking_ = false;
  bool is_ordering_ = false;
  bool is_leaving_ = false;
  bool has_engine_ = false;
};

DirectAgent::DirectAgent(boost::asio::io_context& io, Settings settings, int log_descriptor)
    : impl_(std::make_shared<Impl>(io, std::move(settings), log_descriptor)) {}
DirectAgent::~DirectAgent() = default;
std::optional<ListenError> DirectAgent::Start() { return impl_->Start(); }
void DirectAgent::Stop() { impl_->Stop(); }
void DirectAgent::Reload(const Settings& settings) { impl_->Reload(settings); }
void DirectAgent::KeepSettings(const std::string& reason) { impl_->KeepSettings(reason); }

}  // namespace junctionrail::internal

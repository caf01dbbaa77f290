#include "engine_keeper.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace junctionrail::internal {
namespace {

// Entries take a view for fresh a little over three times as long.
constexpr DurationMs kRepeatViewMs = 500;
// All entries see an upstream end at about the same moment; what they say of it goes on as one
// message to each.
constexpr DurationMs kGatherEndsMs = 4;

constexpr double kPercent = 100;

std::string_view AnswerName(EngineOrderResult answer) {
  switch (answer) {
    case EngineOrderResult::kAccepted:
      return "accepted";
    case EngineOrderResult::kAlreadyHolds:
      return "already_holds";
    case EngineOrderResult::kConflict:
      return "conflict";
    case EngineOrderResult::kStaleFence:
      return "stale_fence";
    case EngineOrderResult::kOtherInstance:
      return "other_instance";
    case EngineOrderResult::kRejected:
      return "rejected";
    case EngineOrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

const std::string& EngineKeeper::EncodedViews::Whole() {
  if (whole_.empty()) whole_ = EncodeView(view_);
  return whole_;
}

const std::string& EngineKeeper::EncodedViews::Update(const ViewParts& parts) {
  std::string& bytes = updates_[(parts.has_loaded ? 1 : 0) + (parts.has_load_state ? 2 : 0) +
                                (parts.has_local_models ? 4 : 0)];
  if (bytes.empty()) bytes = EncodeViewUpdate(view_, parts);
  return bytes;
}

EngineKeeper::EngineKeeper(boost::asio::io_context& io, HttpClient& http, EventLog& log,
                           KeeperOptions options, KeeperCallbacks callbacks)
    : log_(log),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      engine_(http, options_.engine),
      report_timer_(io),
      ends_timer_(io) {}

void EngineKeeper::Start() { AskReport(); }

void EngineKeeper::Stop() {
  is_stopped_ = true;
  report_timer_.Cancel();
  ends_timer_.Cancel();
}

void EngineKeeper::SetServices(std::vector<ServiceSpec> services) {
  services_ = std::move(services);
  ApplySpec();
}

void EngineKeeper::ApplySpec() {
  for (const auto& it : services_) {
    if (it.name == service_ && it.engine) core_.SetSpec(*it.engine);
  }
}

void EngineKeeper::SetListing(const std::vector<UpstreamRecord>& listing) {
  bool is_listed = false;
  // A record whose instance has ended may lapse late, or even be written again.
  std::vector<UpstreamRecord> present;
  std::copy_if(listing.begin(), listing.end(), std::back_inserter(present),
               [this](const UpstreamRecord& it) { return it.instance != replaced_; });
  for (const auto& it : KeepLatestAtEachAddress(std::move(present))) {
    const bool is_ours = it.endpoint == options_.engine;
    if (!is_ours || (it.is_leaving && it.instance != core_.instance())) continue;
    is_listed = true;
    is_leaving_ = it.is_leaving;
    service_ = it.service;
    ApplySpec();
    if (it.instance == core_.instance()) continue;
    log_.Write(MonotonicMs(), "engine_found", {{"instance", it.instance}});
    core_.Reset(it.instance);
    engine_id_ = it.WireId();
    born_ms_ = it.born_ms;
    AskReportSoon();
  }
  if (!is_listed && has_engine_) callbacks_.list_soon();
}

void EngineKeeper::OnLinkOpened(std::uint64_t link) {
  OpenLink& open = links_[link];
  if (core_.instance().empty()) return;
  EncodedViews encoded(core_.BuildView(MonotonicMs()));
  SendOwed(link, &open, &encoded);
}

void EngineKeeper::OnLinkClosed(std::uint64_t link) {
  const auto it = links_.find(link);
  if (it != links_.end()) quotas_.OnLinkClosed(it->second.entry, MonotonicMs());
  links_.erase(link);
  core_.OnEntryDisconnected(link);
}

void EngineKeeper::OnDemand(std::uint64_t link, AgentDemand demand) {
  // An entry that reads the store sooner knows of a new instance first.
  const bool has_work = !demand.wanted.empty() || !demand.stage.empty();
  OpenLink& open = links_[link];
  open.entry = demand.entry;
  quotas_.OnHeartbeat(demand.entry, demand.repeat_ms, MonotonicMs());
  const bool is_to_catch_up = demand.takes_ends && !open.takes_ends;
  open.takes_ends = demand.takes_ends;
  if (is_to_catch_up) {
    for (const auto& it : quarantine_.RecentCrashes(MonotonicMs()))
      callbacks_.send(link, EncodeCrash(it));
  }
  core_.OnDemand(link, std::move(demand), MonotonicMs());
  if (has_work) AskReportSoon();
}

void EngineKeeper::OnQuotaAsk(std::uint64_t link, const QuotaRequest& ask) {
  if (is_stopped_) return;
  const QuotaGrant grant = quotas_.OnRequest(ask, MonotonicMs());
  if (!grant.allocations.empty()) callbacks_.send(link, EncodeQuotaGrant(grant));
  LogQuotaParts();
}

void EngineKeeper::LogQuotaParts() {
  for (const auto& it : quotas_.TakeChanges()) {
    log_.Write(MonotonicMs(), "quota_part",
               {{"organisation", it.organisation},
                {"holders", it.registered_count},
                {"entries", it.entry_count},
                {"percent", static_cast<std::int64_t>(kPercent * it.fraction)}});
  }
}

void EngineKeeper::OnEnd(const UpstreamCrash& end) {
  const TimeMs now = MonotonicMs();
  quarantine_.Expire(now);
  const bool is_news = quarantine_.Add(end, now);
  quarantine_.TakeNewRefusals();  // The entries judge.
  if (!is_news || is_stopped_) return;
  const bool is_armed = !unsent_ends_.empty();
  unsent_ends_.insert(end.instance);
  if (end.should_record) unrecorded_ends_.insert(end.instance);
  if (is_armed) return;
  ends_timer_.After(kGatherEndsMs, [self = shared_from_this()] { self->SendEnds(); });
}

void EngineKeeper::SendEnds() {
  const auto unrecorded = std::exchange(unrecorded_ends_, {});
  for (const auto& instance : std::exchange(unsent_ends_, {})) {
    const auto end = quarantine_.Find(instance, MonotonicMs());
    if (!end) continue;
    const std::string bytes = EncodeCrash(*end);
    for (const auto& [link, it] : links_) {
      if (it.takes_ends) callbacks_.send(link, bytes);
    }
    if (unrecorded.count(instance) > 0) callbacks_.record(*end);
  }
}

void EngineKeeper::AskReportSoon() {
  if (!is_asking_) AskReport();
}

void EngineKeeper::AskReport() {
  if (is_stopped_) return;
  quotas_.Tick(MonotonicMs());
  LogQuotaParts();
  report_timer_.Cancel();
  const DurationMs rest_ms = engine_.rest_until() - MonotonicMs();
  if (rest_ms > 0) {
    // Entries' quotas are counted on meanwhile.
    const DurationMs delay = std::min(rest_ms, options_.quiet_report_ms);
    return report_timer_.After(delay, [self = shared_from_this()] { self->AskReport(); });
  }
  is_asking_ = true;
  engine_.Report([self = shared_from_this()](Result<EngineReport, platform::DecodeError> report) {
    self->is_asking_ = false;
    if (self->is_stopped_) return;
    const TimeMs now = MonotonicMs();
    self->Note(report.has_value(), report ? std::string() : report.error().sentence);
    const bool is_other = report && self->IsBornLater(report.value());
    if (is_other) self->OnOtherInstance();
    if (report && !is_other) {
      self->core_.OnReport(std::move(report.value()), now);
      self->GiveOrder();
      self->SendViews();
    }
    const KeeperOptions& options = self->options_;
    const DurationMs delay = self->core_.IsActive()    ? options.active_report_ms
                             : self->core_.HasDemand() ? options.quiet_report_ms
                                                       : options.unused_report_ms;
    if (!self->is_asking_) self->report_timer_.After(delay, [self] { self->AskReport(); });
  });
}

void EngineKeeper::Note(bool is_in_touch, const std::string& reason) {
  if (is_in_touch == has_engine_) return;
  has_engine_ = is_in_touch;
  // It may have started anew, as another instance.
  if (is_in_touch) callbacks_.list_soon();
  log_.Write(MonotonicMs(), is_in_touch ? "engine_regained" : "engine_lost",
             {{"engine", options_.engine.ToString()}, {"reason", reason}});
}

void EngineKeeper::GiveOrder() {
  // Without a token no order is given: it could be older than one given before.
  const std::int64_t fence = callbacks_.fence();
  const bool is_resting = engine_.rest_until() > MonotonicMs();
  const bool may_order = fence != 0 && !core_.instance().empty() && !is_leaving_ && !is_resting;
  if (is_ordering_ || !may_order) return;
  const auto order = core_.NextOrder(MonotonicMs());
  if (!order) return;
  is_ordering_ = true;
  ++counters_.orders;
  engine_.Give(*order, engine_id_, {options_.holder, fence},
               [self = shared_from_this(), order = *order, fence,
                since = MonotonicMs()](EngineOrderResult answer) {
                 self->is_ordering_ = false;
                 self->OnAnswer(order, fence, answer, since);
               });
}

void EngineKeeper::OnAnswer(const EngineOrder& order, std::int64_t fence, EngineOrderResult answer,
                            TimeMs since) {
  const TimeMs now = MonotonicMs();
  const bool is_accepted = answer == EngineOrderResult::kAccepted;
  if (!is_accepted) ++counters_.orders_not_accepted;
  log_.Write(now, "order",
             {{"operation", order.kind == OrderKind::kLoad ? "load" : "unload"},
              {"target", order.target.ToString()},
              {"instance", core_.instance()},
              {"sequence", order.expected_sequence},
              {"fence", fence},
              {"reason", order.reason},
              {"answer", AnswerName(answer)},
              {"took_ms", now - since}});
  if (answer == EngineOrderResult::kOtherInstance) return OnOtherInstance();
  if (answer == EngineOrderResult::kStaleFence) callbacks_.raise_fence();
  core_.OnOrderResult(order, answer, now);
  SendViews();
  AskReportSoon();
}

// Until its record is read nothing is known of the one that answered.
void EngineKeeper::OnOtherInstance() {
  replaced_ = core_.instance();
  core_.Reset({});
  callbacks_.list_soon();
}

// It started again under its id, and its record of before is what was read last.
bool EngineKeeper::IsBornLater(const EngineReport& report) const {
  return !core_.instance().empty() && born_ms_ != 0 && report.started_unix_ms > born_ms_;
}

// A change goes at once to the entries that it concerns and to the others with the
// next view that is due: most entries have no request for most models.
void EngineKeeper::SendViews() {
  if (core_.instance().empty()) return;
  const TimeMs now = MonotonicMs();
  const EngineView view = core_.BuildView(now);
  const bool is_new = view.instance != sent_view_.instance;
  const ViewParts changed = ChangedParts(sent_view_, view);
  const bool is_due = is_new || now - repeated_at_ >= kRepeatViewMs;
  const bool has_news =
      !changed.IsEmpty() || view.store_want.has_value() != sent_view_.store_want.has_value();
  if (!has_news && !is_due) return;
  const std::vector<std::string> gone = RemovedModels(sent_view_, view);
  if (is_due) repeated_at_ = now;
  EncodedViews encoded(view);
  for (auto& [link, it] : links_) {
    it.owed.Merge(changed);
    it.is_whole_owed |= is_new;
    if (is_due || core_.IsAffected(link, gone)) SendOwed(link, &it, &encoded);
  }
  sent_view_ = view;
}

void EngineKeeper::SendOwed(std::uint64_t link, OpenLink* open, EncodedViews* encoded) {
  const bool is_whole = open->is_whole_owed || !core_.AcceptsViewUpdates(link);
  callbacks_.send(link, is_whole ? encoded->Whole() : encoded->Update(open->owed));
  open->owed = {};
  open->is_whole_owed = false;
}

}  // namespace junctionrail::internal

// The state of each upstream, and the choice among them.
#include <algorithm>
#include <cmath>
#include <iterator>

#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

// An upstream is ejected after this many consecutive failures; healthy upstreams
// occasionally fail once.
constexpr int kFailuresToEject = 3;
// Duration of the first ejection; doubles with each further one. Long enough for a process
// restart, and short compared to the quarter hour that an outage may last.
constexpr DurationMs kEjectMs = 1000;
constexpr DurationMs kMaxEjectMs = 8000;
// An upstream that sends nothing for this long while its agent is silent too is suspended,
// cut off by a network partition, or has ended. Upstreams normally start to answer within
// some hundred milliseconds, and views arrive twice a second.
constexpr DurationMs kUnresponsiveMs = 1000;
// An upstream answered that a model listed by its agent is not loaded; the agent's next
// view arrives well within this time.
constexpr DurationMs kNotLoadedMs = 400;
// Within this time of its start, an agent has links with all entries and has heard from them.
constexpr DurationMs kEntriesLinkMs = 2500;
// Bonus, in units of queued requests, for the upstream that has processed the prompt before.
constexpr double kAffinityLoad = 8;
// All entries see the same views, which are up to half a second old. A random load of up
// to this much is added per request and engine; otherwise all entries would send to the
// least loaded engine until the next view, and some twenty prompts processed at once
// cause a gap in every stream on that engine.
constexpr double kSpreadLoad = 24;
// The maximum of that load in fleets of several regions, as a share of the engine's slots: with
// more, the random load of engines with few slots would outweigh the cost of another region.
constexpr double kMaxSpreadShare = 0.5;
// An engine serves as many concurrent requests as it has slots; half as many more may
// queue there, so that no slot stays empty between two views.
constexpr double kQueueFactor = 1.5;
// The same for streams that may run anywhere while several software versions serve: the rest is
// left to streams that can only go on at the engine's version.
constexpr double kSeveralVersionsQueueFactor = 1.25;
// The most that is added to the load of an upstream, for new streams, because few others run its
// software version: these upstreams are needed for the streams that the version has begun.
constexpr double kScarceVersionLoad = 16;
// The minimum that an entry may send to an engine that is not full between two views.
constexpr double kMinEntryShare = 3;
// The next view of a full engine arrives within this time.
constexpr DurationMs kFullRetryMs = 500;
// A suspected request frees the upstream for the next one within this time: see
// QuarantineLimits::harmless_after_ms, and the wait for the first event.
constexpr DurationMs kOccupiedRetryMs = 500;
// KV cache usage above which an engine soon preempts requests.
constexpr double kFullKvShare = 0.9;
constexpr double kFullKvLoad = 64;
// An upstream that is cold is slower, and bears fewer requests than a warm one.
constexpr double kColdLoad = 16;
// A suspected request is running at the engine; if it crashes the engine, other requests
// there lose their attempt. An engine with half a batch more load is preferred.
constexpr double kRiskyLoad = 32;

// Time constant of the exponential average of a model's request rate, as demand changes
// within seconds. A shorter history counts as at least kMinObservedShare of it.
constexpr double kRateTimeConstantMs = 5000;
constexpr double kMinObservedShare = 0.2;

// Weight of the newest request in the average wait for the first event; the average
// follows a growing queue within ten requests.
constexpr double kFirstEventWeight = 0.15;

// A hash of the pair in [0, 1), the same in all processes.
double HashFraction(std::string_view key, std::string_view instance) {
  return static_cast<double>(RendezvousScore(key, instance) >> 11) /
         static_cast<double>(1ULL << 53);
}

}  // namespace

std::vector<UpstreamChange> UpstreamTable::ApplyListing(const std::vector<UpstreamRecord>& listing,
                                                        TimeMs now) {
  departed_.Expire(now);
  std::vector<UpstreamChange> changes;
  const auto add_change = [&](UpstreamChangeKind kind, const UpstreamRecord& it) {
    changes.push_back({kind, it.instance, it.service});
    const bool leaves = kind == UpstreamChangeKind::kLeaving ||
                        (kind == UpstreamChangeKind::kGone && !it.is_leaving);
    if (leaves) RecordDeparture(it.service, now);
  };
  std::set<std::string> listed_instances;
  // An instance whose place was taken by another one has ended, whatever its record says:
  // the record may expire late, or even be written again.
  std::vector<UpstreamRecord> present;
  for (const auto& it : listing) {
    const auto row = rows_.find(it.instance);
    const bool was_replaced = row != rows_.end() && row->second.was_replaced;
    const bool is_listed = row != rows_.end() && !row->second.is_gone;
    if (was_replaced) {
      listed_instances.insert(it.instance);  // Remembered while it is listed.
    } else if (is_listed || departed_.IsBack(it, now)) {
      present.push_back(it);
    }
  }
  for (const auto& it : KeepLatestAtEachEndpoint(std::move(present))) {
    listed_instances.insert(it.instance);
    Row& row = rows_[it.instance];
    const bool was_missing = row.record.is_missing;
    const bool is_new = row.listed_at == 0 || row.is_gone || (was_missing && !it.is_missing);
    if (row.listed_at == 0) row.listed_at = now;
    row.record_at = now;
    // A store restored from an older copy may list a leaving upstream as ready.
    const bool was_leaving = row.record.is_leaving || departed_.HasAnnounced(it.instance);
    const std::string known_version = row.record.software_version;
    row.record = it;
    // An instance runs one version, whoever overwrites its record without it.
    if (row.record.software_version.empty()) row.record.software_version = known_version;
    // Until a view comes, the record is the best that is known.
    if (row.view_at == 0) {
      row.view.loaded = it.loaded;
      row.view.cached_models = it.cached_models;
    }
    row.record.is_leaving = it.is_leaving || was_leaving;
    if (is_new) add_change(UpstreamChangeKind::kListed, row.record);
    if (it.is_missing && !was_missing) add_change(UpstreamChangeKind::kMissing, row.record);
    if (row.record.is_leaving && !was_leaving) add_change(UpstreamChangeKind::kLeaving, row.record);
    row.is_gone = false;
    Index(&row);
    UpdateCold(&row, now);
  }
  for (auto it = rows_.begin(); it != rows_.end();) {
    Row& row = it->second;
    if (listed_instances.count(it->first) == 0 && !row.is_gone) {
      row.is_gone = true;
      departed_.Add(row.record, now);
      add_change(UpstreamChangeKind::kGone, row.record);
    }
    // Requests in flight still refer to the row.
    const bool is_over = row.is_gone && row.in_flight == 0;
    if (is_over) Unindex(&row);
    it = is_over ? rows_.erase(it) : std::next(it);
  }
  is_small_fleet_ = CountEngines() <= options_.small_fleet_engines;
  CountVersions();
  return changes;
}

void UpstreamTable::RecordDeparture(const std::string& service, TimeMs now) {
  constexpr std::size_t kMaxRemembered = 1024;
  auto& left = departures_[service];
  left.push_back(now);
  if (left.size() > kMaxRemembered) left.pop_front();
}

void UpstreamTable::Index(Row* row) {
  std::vector<std::string> models;
  for (const auto* loaded : {&row->record.loaded, &row->view.loaded}) {
    for (const auto& it : *loaded) {
      if (!Contains(models, it.name)) models.push_back(it.name);
    }
  }
  if (models == row->indexed_models) return;
  Unindex(row);
  for (const auto& it : models) holders_[it].push_back(row);
  row->indexed_models = std::move(models);
}

void UpstreamTable::Unindex(Row* row) {
  for (const auto& it : row->indexed_models) {
    auto& rows = holders_[it];
    rows.erase(std::remove(rows.begin(), rows.end(), row), rows.end());
    if (rows.empty()) holders_.erase(it);
  }
  row->indexed_models.clear();
}

void UpstreamTable::ApplyServices(const std::vector<ServiceSpec>& services) {
  services_.clear();
  for (const auto& it : services) services_[it.name] = it;
  for (auto& [instance, row] : rows_) UpdateCold(&row, row.record_at);
  is_small_fleet_ = CountEngines() <= options_.small_fleet_engines;
}

void UpstreamTable::ApplyView(const EngineView& view, TimeMs now) {
  const auto it = rows_.find(view.instance);
  if (it == rows_.end()) return;
  if (!IsFresh(it->second, now)) it->second.viewed_since = now;
  it->second.view = view;
  it->second.view_at = now;
  it->second.sent_since_view = 0;
  Index(&it->second);
}

void UpstreamTable::ForgetView(const std::string& instance) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  it->second.view = EngineView();
  it->second.view.loaded = it->second.record.loaded;
  it->second.view.cached_models = it->second.record.cached_models;
  it->second.view_at = 0;
}

bool UpstreamTable::IsFresh(const Row& row, TimeMs now) const {
  return row.view_at != 0 && now - row.view_at <= RoutingTimes::kViewMaxAgeMs;
}

bool UpstreamTable::IsUnresponsive(const Row& row, TimeMs now) const {
  if (!options_.policy.avoids_mute) return false;
  return row.unanswered_since != 0 && now - row.unanswered_since > kUnresponsiveMs &&
         !IsFresh(row, now);
}

bool UpstreamTable::HasFreshView(const std::string& instance, TimeMs now) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && IsFresh(it->second, now);
}

std::vector<Endpoint> UpstreamTable::EnginesWithoutView(DurationMs ms, TimeMs now) const {
  std::vector<Endpoint> engines;
  for (const auto& [instance, row] : rows_) {
    const auto service = services_.find(row.record.service);
    const bool is_engine = service != services_.end() && service->second.engine.has_value();
    if (!is_engine || !IsPresent(row, row.record.service) || !IsObserved(row, now)) continue;
    const TimeMs expected_since = std::max({row.view_at, row.listed_at, row.observed_at});
    if (now - expected_since >= ms) engines.push_back(row.record.endpoint);
  }
  return engines;
}

int UpstreamTable::CountEntries(TimeMs now) const {
  int entries = 0;
  for (const auto& [instance, row] : rows_) {
    const bool counts_all = IsFresh(row, now) && now - row.viewed_since >= kEntriesLinkMs;
    if (counts_all) entries = std::max(entries, row.view.entries);
  }
  return entries;
}

// Whether the upstream is listed for new requests, healthy or not.
bool UpstreamTable::IsPresent(const Row& row, std::string_view service) {
  return row.record.service == service && !row.record.is_leaving && !row.was_replaced &&
         !row.is_gone && !row.record.is_unreadable;
}

void UpstreamTable::CountVersions() {
  version_counts_.clear();
  for (const auto& [instance, row] : rows_) {
    const UpstreamRecord& record = row.record;
    if (IsPresent(row, record.service)) ++version_counts_[record.service][record.software_version];
  }
}

bool UpstreamTable::HasSeveralVersions(std::string_view service) const {
  const auto it = version_counts_.find(service);
  return it != version_counts_.end() && it->second.size() > 1;
}

std::optional<StreamOrigin> UpstreamTable::OnlyOrigin(
    const std::vector<std::string>& services) const {
  std::optional<StreamOrigin> only;
  for (const auto& name : services) {
    const auto counts = version_counts_.find(name);
    if (counts == version_counts_.end()) continue;
    if (only || counts->second.size() > 1) return std::nullopt;
    only = StreamOrigin{name, counts->second.begin()->first};
  }
  return only;
}

double UpstreamTable::ScarceVersionLoad(const Row& row, const PickRequest& request) const {
  if (request.software_version || !HasSeveralVersions(request.service)) return 0;
  const auto& counts = version_counts_.find(request.service)->second;
  const auto own = counts.find(row.record.software_version);
  if (own == counts.end()) return kScarceVersionLoad;
  int all = 0;
  for (const auto& [version, n] : counts) all += n;
  return kScarceVersionLoad * (all - own->second) / all;
}

bool UpstreamTable::IsVersionAllowed(const Row& row, const PickRequest& request) {
  return !request.software_version || *request.software_version == row.record.software_version;
}

bool UpstreamTable::IsHealthy(const Row& row, std::string_view service, TimeMs now) const {
  return IsPresent(row, service) && row.ejected_until <= now && !IsUnresponsive(row, now);
}

bool UpstreamTable::IsUsable(const Row& row, std::string_view service, TimeMs now) const {
  return IsHealthy(row, service, now) && !IsEvacuated(row);
}

void UpstreamTable::Candidates::Add(Row* row, bool is_evacuated, TimeMs now) {
  if (row->throttle.AvailableAt() > now) {
    if (!is_evacuated) unavailable.push_back(row);
  } else {
    (is_evacuated ? evacuated : available).push_back(row);
  }
}

const UpstreamTable::Row* UpstreamTable::SoonestAvailable(const std::vector<Row*>& unavailable) {
  const auto first =
      std::min_element(unavailable.begin(), unavailable.end(), [](const Row* a, const Row* b) {
        return a->throttle.AvailableAt() < b->throttle.AvailableAt();
      });
  return first == unavailable.end() ? nullptr : *first;
}

bool UpstreamTable::Holds(const Row& row, const ModelRef& model, TimeMs now) const {
  const auto denied = row.not_loaded_until.find(model);
  if (denied != row.not_loaded_until.end() && denied->second > now) return false;
  const auto& loaded = IsFresh(row, now) ? row.view.loaded : row.record.loaded;
  for (const auto& it : loaded) {
    if (it.name != model.model) continue;
    if (model.adapter.empty()) return true;
    return std::find(it.adapters.begin(), it.adapters.end(), model.adapter) != it.adapters.end();
  }
  return false;
}

bool UpstreamTable::IsListed(const std::string& instance) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && IsPresent(it->second, it->second.record.service);
}

bool UpstreamTable::HasModel(const std::string& instance, const ModelRef& model, TimeMs now) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && Holds(it->second, model, now);
}

double UpstreamTable::LoadScore(const Row& row, const PickRequest& request, TimeMs now) const {
  double load = row.in_flight;
  if (IsFresh(row, now)) {
    load = row.view.running + row.view.waiting + row.sent_since_view;
    if (row.view.kv_usage > kFullKvShare) load += kFullKvLoad;
  }
  const bool is_shared = IsFresh(row, now) || !IsObserved(row, now);
  if (is_shared && options_.policy.spreads) {
    const double spread = options_.topology.HasRegions()
                              ? std::min(kSpreadLoad, kMaxSpreadShare * row.record.slots)
                              : kSpreadLoad;
    load += spread * HashFraction(request.request_id, row.record.instance);
  }
  load = load * 64 / std::max(1, row.record.slots);
  if (options_.policy.prefers_hall) load += DistanceLoad(row, is_shared, now);
  if (Contains(request.risky, row.record.instance)) load += kRiskyLoad;
  if (row.cold_until > now) load += kColdLoad;
  load += ScarceVersionLoad(row, request);
  // Upstreams without recent failures are preferred.
  load += 16.0 * row.failures;
  if (!request.affinity.empty() && options_.policy.prefers_prompts) {
    load -= kAffinityLoad * HashFraction(request.affinity, row.record.instance);
  }
  return load;
}

// Whether an engine has as many requests as it can serve soon. An entry sees the other
// entries' requests only in the next view, so it uses only its share of the slots that
// were free in the last one.
bool UpstreamTable::IsFull(const Row& row, const PickRequest& request, TimeMs now) const {
  if (!IsFresh(row, now) || row.record.slots <= 0) return false;
  const bool leaves_places = !request.software_version && HasSeveralVersions(request.service);
  const double places =
      (leaves_places ? kSeveralVersionsQueueFactor : kQueueFactor) * row.record.slots;
  const double free = places - row.view.running - row.view.waiting;
  const double entry_share = std::max(kMinEntryShare, free / std::max(1, row.view.entries));
  return free <= 0 ? row.sent_since_view >= 1 : row.sent_since_view >= entry_share;
}

// The least loaded upstream with the model. Waits if all of them are full or occupied;
// NoUpstream if none of them can be used.
PickResult UpstreamTable::ChooseHolder(const PickRequest& request, const std::vector<Row*>& holders,
                                       TimeMs now) const {
  const Row* best = nullptr;
  const Row* full = nullptr;
  const Row* taken = nullptr;
  double best_load = 0;
  for (const Row* it : holders) {
    if (request.model && !Holds(*it, *request.model, now)) continue;
    if (request.model && IsFull(*it, request, now)) {
      full = it;
      continue;
    }
    if (Contains(request.occupied, it->record.instance)) {
      taken = it;
      continue;
    }
    const double load = LoadScore(*it, request, now);
    const bool is_better = best == nullptr || load < best_load ||
                           (load == best_load && it->record.instance < best->record.instance);
    if (!is_better) continue;
    best = it;
    best_load = load;
  }
  if (best != nullptr) return SendTo{best->record.instance};
  if (full != nullptr) return WaitFor{full->record.instance, kFullRetryMs, "place", 0};
  // Only requests for models can wait; other suspected requests share an upstream.
  if (taken != nullptr && !request.model) return SendTo{taken->record.instance};
  if (taken != nullptr) return WaitFor{taken->record.instance, kOccupiedRetryMs, "alone", 0};
  return NoUpstream{"all_tried"};
}

UpstreamTable::Candidates UpstreamTable::FindHolders(const PickRequest& request, TimeMs now) {
  Candidates holders;
  for (Row* it : FindSpreadHolders(request.model->model, request.allowed_regions, now)) {
    const bool is_untried = !Contains(request.tried, it->record.instance);
    const bool may_serve = is_untried && IsHealthy(*it, request.service, now) &&
                           IsPlaceAllowed(*it, request, now) && IsVersionAllowed(*it, request) &&
                           Holds(*it, *request.model, now);
    if (may_serve) holders.Add(it, IsEvacuated(*it), now);
  }
  return holders;
}

// If all are ejected, any listed upstream that accepts requests is better than a refusal.
UpstreamTable::Candidates UpstreamTable::FindUsable(const PickRequest& request, TimeMs now) {
  Candidates usable;
  Candidates ejected;
  for (auto& [instance, row] : rows_) {
    const bool may_serve = IsPresent(row, request.service) && IsVersionAllowed(row, request) &&
                           IsPlaceAllowed(row, request, now);
    if (!may_serve) continue;
    const bool is_healthy = IsHealthy(row, request.service, now);
    (is_healthy ? usable : ejected).Add(&row, IsEvacuated(row), now);
  }
  if (!usable.available.empty() || !usable.evacuated.empty()) return usable;
  ejected.unavailable.insert(ejected.unavailable.end(), usable.unavailable.begin(),
                             usable.unavailable.end());
  return ejected;
}

PickResult UpstreamTable::Choose(const PickRequest& request, TimeMs now) {
  std::optional<WaitFor> reopening;  // Until an upstream with the model accepts requests again.
  if (request.model) {
    const Candidates holders = FindHolders(request, now);
    const PickResult pick = ChooseHolder(request, holders.available, now);
    if (!std::holds_alternative<NoUpstream>(pick)) return pick;
    const PickResult last_resort = ChooseHolder(request, holders.evacuated, now);
    if (std::holds_alternative<SendTo>(last_resort)) return last_resort;
    const Row* row = SoonestAvailable(holders.unavailable);
    if (row != nullptr)
      reopening = WaitFor{row->record.instance, row->throttle.AvailableAt() - now, "closed", 0};
  }
  const Candidates usable = FindUsable(request, now);
  const auto untried_of = [&request](const std::vector<Row*>& rows) {
    std::vector<Row*> untried;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(untried),
                 [&](const Row* it) { return !Contains(request.tried, it->record.instance); });
    return untried;
  };
  const std::vector<Row*> untried = untried_of(usable.available);
  const PickResult pick = ChooseHolder(request, untried, now);
  if (!std::holds_alternative<NoUpstream>(pick)) return pick;
  if (request.model && !untried.empty()) {
    const auto targets = FindLoadCandidates(request.model->model, untried, now);
    return ChooseLoadTarget(request, targets, reopening, now);
  }
  if (!request.model) {
    const PickResult last_resort = ChooseHolder(request, untried_of(usable.evacuated), now);
    if (!std::holds_alternative<NoUpstream>(last_resort)) return last_resort;
  }
  if (reopening) return *reopening;
  const Row* row = SoonestAvailable(usable.unavailable);
  if (row != nullptr)
    return NoUpstream{"no upstream accepts requests now", row->throttle.AvailableAt() - now};
  const bool has_any = !usable.available.empty() || (!request.model && !usable.evacuated.empty());
  return has_any ? NoUpstream{"all_tried", 0} : ExplainNone(request, "no_upstream");
}

void UpstreamTable::OnArrival(const std::optional<ModelRef>& model, int priority,
                              DurationMs target_ms, TimeMs now, const AllowedRegions& allowed) {
  if (!model) return;
  if (first_arrival_ == 0) first_arrival_ = now;
  ModelRate& rate = rates_[model->model];
  const double elapsed = static_cast<double>(now - rate.at);
  rate.requests_per_s =
      rate.requests_per_s * std::exp(-elapsed / kRateTimeConstantMs) + 1000.0 / kRateTimeConstantMs;
  rate.at = now;
  rate.last_request = now;
  rate.priority = priority;
  rate.target_ms = target_ms;
  rate.regions.Add(allowed, now);
  if (is_planner()) return;
  for (Row* it : FindSpreadHolders(model->model, allowed, now)) Observe(it, now);
}

double UpstreamTable::RequestRate(const std::string& model, TimeMs now) const {
  const auto it = rates_.find(model);
  if (it == rates_.end()) return 0;
  const double average = it->second.requests_per_s *
                         std::exp(-static_cast<double>(now - it->second.at) / kRateTimeConstantMs);
  // A recently started entry has observed only part of the averaging window.
  const double observed =
      1 - std::exp(-static_cast<double>(now - first_arrival_) / kRateTimeConstantMs);
  return average / std::max(observed, kMinObservedShare);
}

void UpstreamTable::OnFirstEvent(const ModelRef& model, DurationMs waited_ms) {
  double& average = rates_[model.model].first_event_ms;
  const auto waited = static_cast<double>(waited_ms);
  average = average == 0 ? waited : average + kFirstEventWeight * (waited - average);
}

DurationMs UpstreamTable::FirstEventMs(const ModelRef& model) const {
  const auto it = rates_.find(model.model);
  return it == rates_.end() ? 0 : static_cast<DurationMs>(it->second.first_event_ms);
}

void UpstreamTable::OnSent(const std::string& instance, const std::optional<ModelRef>& model,
                           TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  if (it->second.unanswered_since == 0) it->second.unanswered_since = now;
  ++it->second.in_flight;
  ++it->second.sent_since_view;
  it->second.throttle.OnSent(now);
  if (model) ++it->second.in_flight_by_model[*model];
}

void UpstreamTable::OnResponseData(const std::string& instance, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  it->second.unanswered_since = it->second.in_flight > 1 ? now : 0;
  it->second.received_at = now;
}

void UpstreamTable::OnAttemptEnd(const std::string& instance, const std::optional<ModelRef>& model,
                                 AttemptOutcome end, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  Row& row = it->second;
  row.in_flight = std::max(0, row.in_flight - 1);
  if (model) {
    int& n = row.in_flight_by_model[*model];
    if (--n <= 0) row.in_flight_by_model.erase(*model);
  }
  // A caller's disconnect says nothing about the upstream, unless it is unresponsive.
  const bool was_unresponsive = end == AttemptOutcome::kCallerLeft && IsUnresponsive(row, now);
  if (row.in_flight == 0) row.unanswered_since = 0;
  if (end == AttemptOutcome::kServed) {
    row.failures = 0;
    row.ejections = 0;
    return;
  }
  const bool is_fault = end == AttemptOutcome::kFailed || end == AttemptOutcome::kUnreachable ||
                        end == AttemptOutcome::kTimedOut || was_unresponsive;
  if (!is_fault) return;
  ++row.failures;
  // A refused connection is certain at once, unlike a failed answer.
  const bool is_ejected =
      row.failures >= kFailuresToEject || end == AttemptOutcome::kUnreachable || was_unresponsive;
  if (!is_ejected || !options_.policy.ejects) return;
  const DurationMs out = std::min(kMaxEjectMs, kEjectMs << std::min(row.ejections, 6));
  row.ejected_until = now + out;
  ++row.ejections;
  row.failures = kFailuresToEject - 1;
}

UpstreamThrottle* UpstreamTable::FindThrottle(const std::string& instance) {
  const auto it = rows_.find(instance);
  return it == rows_.end() ? nullptr : &it->second.throttle;
}

bool UpstreamTable::IsBackingOff(const std::string& instance, TimeMs now) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && it->second.throttle.IsBackingOff(now);
}

bool UpstreamTable::OnLeavingNotice(const std::string& instance, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end() || it->second.record.is_leaving) return false;
  it->second.record.is_leaving = true;
  RecordDeparture(it->second.record.service, now);
  CountVersions();
  return true;
}

void UpstreamTable::OnInstanceReplaced(const std::string& instance) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  it->second.was_replaced = true;
  CountVersions();
}

void UpstreamTable::OnModelNotLoaded(const std::string& instance, const ModelRef& model,
                                     TimeMs now) {
  const auto it = rows_.find(instance);
  if (it != rows_.end()) it->second.not_loaded_until[model] = now + kNotLoadedMs;
}

std::string UpstreamTable::VersionOf(const std::string& instance) const {
  const UpstreamRecord* upstream = Find(instance);
  return upstream == nullptr ? std::string() : upstream->software_version;
}

const UpstreamRecord* UpstreamTable::Find(const std::string& instance) const {
  const auto it = rows_.find(instance);
  return it == rows_.end() ? nullptr : &it->second.record;
}

}  // namespace junctionrail

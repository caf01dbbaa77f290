// Which model an engine loads next and what makes room for it.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

// An entry that was silent for so many times as long as it repeats its demand has
// gone, or will not be heard before its requests are lost.
constexpr double kSilentRepeats = 2.5;
// An entry that has sent a request for a model within this may send the next one
// before it hears that the model is gone.
constexpr DurationMs kRecentUseMs = 5000;
// A model just loaded is kept so long for the requests that waited for it.
constexpr DurationMs kSettleMs = 800;
// After an order whose answer was waited for in vain another is given so soon,
// under the same sequence, of which only one can be carried out.
constexpr DurationMs kOrderLostMs = 60;
// An unload takes about so long once no request uses the model.
constexpr DurationMs kUnloadMs = 400;
// An accepted order shows in the next report, unless the engine lost it.
constexpr DurationMs kReportLostMs = 2000;
// After a conflict the report is read again before the next order.
constexpr DurationMs kAfterConflictMs = 60;
// When all models are in use, the one that is to go is closed to new requests
// after so long: its runs take as long to end whether it is closed or not, and
// new ones would keep it for ever. The wait lets a newer report show an idle one.
constexpr DurationMs kInterruptAfterMs = 150;
// An answer beyond the target is worth less to its caller than one within it, and
// hardly less when it comes still later: those that can be in time go first.
constexpr double kLatePart = 0.25;
// Staging closes only what hardly anybody asks for: milliseconds of callers.
constexpr double kStageMost = 100;
// Staging must not take a model that was asked for as lately as this.
constexpr DurationMs kStageIdleMs = 1500;
// The rate of wants is an average over about so long.
constexpr double kWantsMemoryMs = 5000;
// The end of the requests on a model that makes room, and another unload where
// one was not enough, are over in so long.
constexpr DurationMs kRoomKeptMs = 2500;
// Demand moves within seconds: what a model is worth to its callers is counted
// over so long.
constexpr double kHorizonMs = 1000;
// Between a request for a model that was closed and its return lie, besides the
// load, the demand, two reports and the unload of another model.
constexpr DurationMs kSwapOverheadMs = 300;
// Adapters that an engine fetches at the same time.
constexpr std::size_t kAdaptersAtOnce = 4;
// Operators rank their routes: one caller of a rank counts as so many of the next
// below. Thirty callers still outweigh one of the rank above, none is starved.
constexpr double kClassWeight = 8;

// What a caller loses by a wait, in milliseconds: all of it beyond the target, and
// less the shorter it is within, as it uses up the time for what else may delay.
double LossOfOne(DurationMs wait_ms, DurationMs target_ms) {
  const auto wait = static_cast<double>(wait_ms);
  return wait * std::min(1.0, wait / static_cast<double>(std::max<DurationMs>(1, target_ms)));
}

// What callers lose that arrive at one a millisecond in so long and all wait for
// its end: the integral of the above.
double LossOfArrivals(DurationMs time_ms, DurationMs target_ms) {
  const auto time = static_cast<double>(time_ms);
  const auto target = static_cast<double>(target_ms);
  if (time <= target) return time * time * time / (3 * target);
  return target * target / 3 + (time * time - target * target) / 2;
}

}  // namespace

double PlacementCore::ClassWeight(int priority) const {
  return policy_.weighs_classes ? std::pow(kClassWeight, -priority) : 1;
}

void PlacementCore::Reset(std::string instance) {
  instance_ = std::move(instance);
  report_ = {};
  has_report_ = false;
  open_.reset();
  loading_.clear();
  is_unloading_ = false;
  loaded_at_.clear();
  room_for_.clear();
  adapter_used_at_.clear();
  store_want_.reset();
  store_want_since_ = 0;
}

const LoadedModel* PlacementCore::FindLoaded(std::string_view model) const {
  for (const auto& it : report_.loaded) {
    if (it.name == model) return &it;
  }
  return nullptr;
}

bool PlacementCore::IsNear(std::string_view model) const {
  return Contains(report_.on_disk, model) || Contains(report_.in_memory, model);
}

void PlacementCore::OnReport(EngineReport report, TimeMs now) {
  for (const auto& it : report.loaded) {
    const bool is_new = has_report_ && FindLoaded(it.name) == nullptr;
    if (is_new) loaded_at_[it.name] = now;
  }
  report_ = std::move(report);
  has_report_ = true;
  // The engine took an order since: this one, or it can no longer be taken.
  if (open_ && report_.sequence != open_->expected_sequence) open_.reset();
  if (!report_.is_busy && !open_) {
    loading_.clear();
    is_unloading_ = false;
  }
  if (report_.is_busy && loading_.empty()) {
    // An order of the process before this one; which is not reported.
    loading_ = "unknown";
    loading_since_ = now;
    is_from_store_ = false;
  }
}

void PlacementCore::OnDemand(std::uint64_t link, AgentDemand demand, TimeMs now) {
  if (demand.instance != instance_) return;
  for (const auto& it : demand.wanted) {
    if (!it.ref.adapter.empty()) adapter_used_at_[it.ref] = now;
  }
  for (const auto& it : demand.use) {
    for (const auto& adapter : it.adapters_in_use) adapter_used_at_[{it.model, adapter}] = now;
  }
  demands_[link] = Demand{std::move(demand), now};
  CountWants(now);
}

// The average rate at which requests begin to wait for a further model.
void PlacementCore::CountWants(TimeMs now) {
  std::set<std::string> waited_for;
  for (const auto& [link, it] : demands_) {
    for (const auto& wanted : it.demand.wanted) {
      if (wanted.waiting > 0 && wanted.ref.adapter.empty()) waited_for.insert(wanted.ref.model);
    }
  }
  wants_per_s_ *= std::exp(-static_cast<double>(now - wants_at_) / kWantsMemoryMs);
  wants_at_ = now;
  for (const auto& it : waited_for) {
    if (waited_for_.count(it) == 0) wants_per_s_ += 1000.0 / kWantsMemoryMs;
  }
  waited_for_ = std::move(waited_for);
}

void PlacementCore::OnEntryGone(std::uint64_t link) { demands_.erase(link); }

void PlacementCore::ExpireDemands(TimeMs now) {
  for (auto it = demands_.begin(); it != demands_.end();) {
    const auto most = kSilentRepeats * static_cast<double>(it->second.demand.resend_interval_ms);
    const bool is_silent = static_cast<double>(now - it->second.at) > most;
    it = is_silent ? demands_.erase(it) : std::next(it);
  }
}

const AgentDemand* PlacementCore::DemandOf(std::uint64_t link) const {
  const auto it = demands_.find(link);
  return it == demands_.end() ? nullptr : &it->second.demand;
}

bool PlacementCore::TakesUpdates(std::uint64_t link) const {
  const AgentDemand* demand = DemandOf(link);
  return demand != nullptr && demand->accepts_view_updates;
}

bool PlacementCore::IsConcerned(std::uint64_t link, const std::vector<std::string>& gone) const {
  const AgentDemand* demand = DemandOf(link);
  if (demand == nullptr) return false;
  if (!demand->wanted.empty()) return true;
  return std::any_of(demand->use.begin(), demand->use.end(), [&](const ModelUse& it) {
    const bool is_recent = it.in_flight > 0 || (it.idle_ms >= 0 && it.idle_ms < kRecentUseMs);
    return is_recent && Contains(gone, it.model);
  });
}

std::vector<PlacementCore::Want> PlacementCore::Wants() const {
  std::map<ModelRef, Want> by_ref;
  for (const auto& [link, it] : demands_) {
    for (const auto& wanted : it.demand.wanted) {
      Want& want = by_ref[wanted.ref];
      const bool is_first = want.ref.model.empty();
      want.ref = wanted.ref;
      want.waiting += wanted.waiting;
      want.priority = is_first ? wanted.priority : std::min(want.priority, wanted.priority);
      want.age_ms = std::max(want.age_ms, wanted.age_ms);
      want.replica_per_s = std::max(want.replica_per_s, wanted.requests_per_s_per_replica);
      want.callers_late = std::max(want.callers_late, wanted.late_callers);
      want.late += wanted.late;
      if (wanted.waiting > wanted.late) want.left_ms = std::min(want.left_ms, wanted.slack_ms);
      want.per_s += wanted.requests_per_s;
      want.at_risk_per_s = std::max(want.at_risk_per_s, wanted.at_risk_requests_per_s);
    }
  }
  std::vector<Want> wants;
  for (auto& [ref, want] : by_ref) {
    want.weight = WeightOf(want);
    wants.push_back(std::move(want));
  }
  // Where most callers would be late first, then the one with the least time left.
  std::sort(wants.begin(), wants.end(), [](const Want& a, const Want& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    if ((a.waiting > 0) != (b.waiting > 0)) return a.waiting > 0;
    return a.left_ms < b.left_ms;
  });
  return wants;
}

// How many callers are in time if this model is the next and are not if another
// is: those that wait and have just enough time left, those that come within the
// horizon, and those in the queue of too few replicas. One that is late in any
// case counts for a part. Over the time that the engine would spend on it, as
// that keeps all others waiting.
double PlacementCore::WeightOf(const Want& want) const {
  const DurationMs swap = LoadEstimate(want.ref.model) + kSwapOverheadMs;
  if (!policy_.in_time_first) return want.waiting * ClassWeight(want.priority);
  const DurationMs slack = want.left_ms - swap;
  double part = kLatePart;
  if (slack >= 0) part = static_cast<double>(swap) / static_cast<double>(swap + slack);
  const double coming_per_s = (want.waiting > 0 ? want.per_s : 0) + want.at_risk_per_s;
  const double coming = coming_per_s * kHorizonMs / 1000;
  const double callers =
      (want.waiting - want.late) * part + want.late * kLatePart + coming + want.callers_late;
  return callers * ClassWeight(want.priority) / static_cast<double>(swap);
}

// Callers a second that a load from the weight store will serve. It takes longer than
// most of those who wait now stay, so they count by the rate at which more like them
// come; a further replica counts by what each one that there is gets. By waiting
// requests alone, 48 rare models asked for once in some seconds kept the store from a
// busy one whose callers came 60 a second to engines for 55.
double PlacementCore::StoreWeightOf(const Want& want) const {
  return (want.per_s + want.replica_per_s + want.at_risk_per_s) * ClassWeight(want.priority);
}

bool PlacementCore::IsInUse(const ModelRef& adapter) const {
  for (const auto& [link, it] : demands_) {
    for (const auto& use : it.demand.use) {
      if (use.model == adapter.model && Contains(use.adapters_in_use, adapter.adapter)) return true;
    }
  }
  return false;
}

PlacementCore::Use PlacementCore::UseOf(const std::string& model) const {
  Use use;
  for (const auto& [link, it] : demands_) {
    for (const auto& entry : it.demand.use) {
      if (entry.model != model) continue;
      use.in_flight += entry.in_flight;
      use.per_s += entry.requests_per_s;
      use.replicas = std::max(use.replicas, entry.replicas);
      if (entry.idle_ms < 0) continue;
      use.priority = use.idle_ms < 0 ? entry.priority : std::min(use.priority, entry.priority);
      use.target_ms = use.idle_ms < 0 ? entry.target_ms : std::min(use.target_ms, entry.target_ms);
      use.idle_ms = use.idle_ms < 0 ? entry.idle_ms : std::min(use.idle_ms, entry.idle_ms);
    }
  }
  return use;
}

double PlacementCore::UsedMb() const {
  double mb = 0;
  for (const auto& it : report_.loaded) {
    const ModelSpec* spec = spec_.Find(it.name);
    if (spec == nullptr) continue;
    mb += spec->size_mb + spec->adapter_mb * static_cast<double>(it.adapters.size());
  }
  for (const auto& it : report_.adapters_coming) {
    const ModelSpec* spec = spec_.Find(it.model);
    if (spec != nullptr) mb += spec->adapter_mb;
  }
  return mb;
}

int PlacementCore::UsedAdapterPlaces() const {
  std::size_t n = report_.adapters_coming.size();
  for (const auto& it : report_.loaded) n += it.adapters.size();
  return static_cast<int>(n);
}

double PlacementCore::MissingMb(const ModelSpec& spec) const {
  return UsedMb() + spec.size_mb - spec_.accelerator_mb;
}

EngineOrder PlacementCore::Make(OrderKind kind, ModelRef target, std::string reason) const {
  if (kind == OrderKind::kLoad) {
    const ModelSpec* spec = spec_.Find(target.model);
    const double mb = spec == nullptr          ? 0
                      : target.adapter.empty() ? spec->size_mb
                                               : spec->adapter_mb;
    CheckInvariant(spec != nullptr && UsedMb() + mb <= spec_.accelerator_mb,
                   "an order to load fits the accelerator's memory");
    CheckInvariant(target.adapter.empty() || UsedAdapterPlaces() < spec_.adapter_slots,
                   "an order to load an adapter finds a free place");
  }
  return EngineOrder{kind, std::move(target), report_.sequence, std::move(reason), {}};
}

DurationMs PlacementCore::LoadEstimate(const std::string& model) const {
  const ModelSpec* spec = spec_.Find(model);
  if (spec == nullptr) return kUnloadMs;
  if (Contains(report_.in_memory, model)) return spec->memory_load_ms;
  if (Contains(report_.on_disk, model)) return spec->disk_load_ms;
  return spec->store_load_ms;
}

// What closing a model costs its callers. It comes back with the next request,
// if one comes soon; that one waits for all of the time it takes, and those that
// arrive until then for the rest. Where there are other replicas they take its
// share of the requests, and the cost is what that share would have waited.
double PlacementCore::ClosingCost(const std::string& model) const {
  if (!policy_.weighs_closing) return 0;
  const Use use = UseOf(model);
  DurationMs away = LoadEstimate(model) + kSwapOverheadMs;
  if (use.in_flight > 0) away += kUnloadMs;
  const double per_ms = use.per_s / std::max(1, use.replicas) / 1000;
  double cost = per_ms * LossOfArrivals(away, use.target_ms);
  if (use.replicas <= 1) {
    cost += (1 - std::exp(-per_ms * kHorizonMs)) * LossOfOne(away, use.target_ms);
  }
  return cost * ClassWeight(use.priority);
}

// Of the models that may go, the one whose absence costs least. Among those that
// cost the same: one that makes room alone, then the least asked for, then the
// one asked for longest ago. None when all cost more than `most_ms`.
std::optional<std::string> PlacementCore::Victim(const std::vector<Want>& wants, double missing_mb,
                                                 double most_ms, bool may_interrupt,
                                                 TimeMs now) const {
  using Rank = std::tuple<double, bool, double, DurationMs>;
  const LoadedModel* best = nullptr;
  Rank best_rank;
  for (const auto& it : report_.loaded) {
    const bool is_wanted = std::any_of(wants.begin(), wants.end(), [&](const Want& want) {
      return want.waiting > 0 && want.ref.model == it.name;
    });
    const auto loaded = loaded_at_.find(it.name);
    const bool is_settling =
        policy_.settles && loaded != loaded_at_.end() && now - loaded->second < kSettleMs;
    if (is_wanted || is_settling) continue;
    const Use use = UseOf(it.name);
    if (use.in_flight > 0 && !(may_interrupt && policy_.interrupts)) continue;
    const double cost = ClosingCost(it.name);
    if (cost > most_ms) continue;
    double value = use.per_s / std::max(1, use.replicas) + use.in_flight;
    // Many replicas and no request yet: operators expect it to be busy.
    if (use.idle_ms < 0 && use.replicas > 1) value += 0.1 * use.replicas;
    const ModelSpec* spec = spec_.Find(it.name);
    const bool is_small = spec == nullptr || spec->size_mb < missing_mb;
    const Rank rank(cost, is_small, value, -use.idle_ms);
    if (best != nullptr && rank >= best_rank) continue;
    best = &it;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  return best->name;
}

// Entries see the same views at different moments and give the weight store's places
// out by them. What most of them say is what the fleet means; any one of them alone
// let ten loads begin where four were meant.
bool PlacementCore::MayLoadFromStore() const {
  const auto n = std::count_if(demands_.begin(), demands_.end(),
                               [](const auto& it) { return it.second.demand.may_load_from_store; });
  return n > 0 && static_cast<std::size_t>(n) * 2 >= demands_.size();
}

bool PlacementCore::AwaitsStore(const std::string& model, bool is_waited_for, double weight,
                                TimeMs now) {
  if (IsNear(model) || MayLoadFromStore()) return false;
  if (store_want_since_ == 0) store_want_since_ = now;
  if (!store_want_) store_want_.emplace();
  store_want_->has_waiting_requests |= is_waited_for;
  store_want_->weight = std::max(store_want_->weight, weight);
  store_want_->age_ms = now - store_want_since_;
  return true;
}

std::optional<EngineOrder> PlacementCore::OrderAdapter(const Want& want,
                                                       const std::vector<Want>& wants) {
  const LoadedModel* base = FindLoaded(want.ref.model);
  if (base == nullptr || Contains(base->adapters, want.ref.adapter)) return std::nullopt;
  const auto& coming = report_.adapters_coming;
  if (std::find(coming.begin(), coming.end(), want.ref) != coming.end()) return std::nullopt;
  const ModelSpec* spec = spec_.Find(want.ref.model);
  if (spec == nullptr || coming.size() >= kAdaptersAtOnce) return std::nullopt;
  const bool fits = UsedAdapterPlaces() < spec_.adapter_slots &&
                    UsedMb() + spec->adapter_mb <= spec_.accelerator_mb;
  if (fits) return Make(OrderKind::kLoad, want.ref, "requests wait for the adapter");
  // Least recently asked for first.
  std::optional<ModelRef> oldest;
  TimeMs oldest_at = 0;
  for (const auto& model : report_.loaded) {
    for (const auto& it : model.adapters) {
      const ModelRef ref{model.name, it};
      const bool is_wanted = std::any_of(wants.begin(), wants.end(),
                                         [&](const Want& other) { return other.ref == ref; });
      // An unload waits for the requests that use it, and they keep coming.
      if (is_wanted || IsInUse(ref)) continue;
      const auto used = adapter_used_at_.find(ref);
      const TimeMs at = used == adapter_used_at_.end() ? 0 : used->second;
      if (oldest && at >= oldest_at) continue;
      oldest = ref;
      oldest_at = at;
    }
  }
  if (!oldest) return std::nullopt;
  return Make(OrderKind::kUnload, *oldest, "its place is needed for another adapter");
}

std::optional<EngineOrder> PlacementCore::OrderModel(const Want& want,
                                                     const std::vector<Want>& wants, TimeMs now) {
  const ModelSpec* spec = spec_.Find(want.ref.model);
  if (spec == nullptr || FindLoaded(want.ref.model) != nullptr) return std::nullopt;
  const bool is_waited_for = want.waiting > 0;
  if (AwaitsStore(want.ref.model, is_waited_for, StoreWeightOf(want), now)) return std::nullopt;
  const double missing_mb = MissingMb(*spec);
  if (missing_mb <= 0) {
    return Make(OrderKind::kLoad, ModelRef{want.ref.model, {}},
                is_waited_for ? "requests wait for it" : "another replica is needed");
  }
  const bool may_interrupt =
      is_waited_for ? want.age_ms > kInterruptAfterMs : want.callers_late > 0;
  // Room is made when those who wait will have lost as much by the time it is up
  // as those who would then.
  const DurationMs waited = want.age_ms + LoadEstimate(want.ref.model) + kSwapOverheadMs;
  const auto lost_ms = static_cast<double>(want.waiting * waited);
  const double most_ms =
      (is_waited_for ? lost_ms : want.callers_late * kHorizonMs) * ClassWeight(want.priority);
  const auto victim = Victim(wants, missing_mb, most_ms, may_interrupt, now);
  if (!victim) return std::nullopt;
  EngineOrder order =
      Make(OrderKind::kUnload, ModelRef{*victim, {}}, "makes room for " + want.ref.model);
  order.room_for = want.ref.model;
  return order;
}

std::optional<EngineOrder> PlacementCore::OrderStaging(const std::vector<Want>& wants, TimeMs now) {
  for (const auto& [link, it] : demands_) {
    for (const auto& model : it.demand.stage) {
      const ModelSpec* spec = spec_.Find(model);
      if (spec == nullptr || FindLoaded(model) != nullptr || IsNear(model)) continue;
      if (AwaitsStore(model, false, 0, now)) return std::nullopt;
      const double missing_mb = MissingMb(*spec);
      if (missing_mb <= 0) return Make(OrderKind::kLoad, ModelRef{model, {}}, "staged to disk");
      const auto victim = Victim(wants, missing_mb, kStageMost, false, now);
      if (!victim) return std::nullopt;
      const DurationMs idle_ms = UseOf(*victim).idle_ms;
      if (idle_ms >= 0 && idle_ms < kStageIdleMs) return std::nullopt;
      return Make(OrderKind::kUnload, ModelRef{*victim, {}}, "makes room to stage " + model);
    }
  }
  return std::nullopt;
}

std::optional<EngineOrder> PlacementCore::NextOrder(TimeMs now) {
  ExpireDemands(now);
  if (!has_report_ || !has_spec() || now < hold_until_) return std::nullopt;
  if (open_) {
    // Whichever order is given now has the same sequence, so only one is taken.
    const DurationMs patience = is_open_unknown_ ? kOrderLostMs : kReportLostMs;
    if (now - open_since_ < patience) return std::nullopt;
    open_.reset();
  }
  if (report_.is_busy) return std::nullopt;
  store_want_.reset();
  auto order = ChooseOrder(now);
  if (!store_want_) store_want_since_ = 0;
  return order;
}

std::optional<EngineOrder> PlacementCore::ChooseOrder(TimeMs now) {
  const std::vector<Want> wants = Wants();
  for (const auto& it : wants) {
    if (it.ref.adapter.empty()) continue;
    auto order = OrderAdapter(it, wants);
    if (order) return order;
  }
  // Room that others lost a model for goes to the one that was weighed against it.
  if (!room_for_.empty() && now - room_at_ < kRoomKeptMs) {
    for (const auto& it : wants) {
      if (it.ref.model != room_for_) continue;
      auto order = OrderModel(it, wants, now);
      if (order) return order;
    }
  }
  for (const auto& it : wants) {
    auto order = OrderModel(it, wants, now);
    if (order) return order;
  }
  if (std::any_of(wants.begin(), wants.end(), [](const Want& it) { return it.waiting > 0; })) {
    return std::nullopt;
  }
  return OrderStaging(wants, now);
}

void PlacementCore::OnAnswer(const EngineOrder& order, OrderAnswer answer, TimeMs now) {
  const bool was_given = answer == OrderAnswer::kAccepted || answer == OrderAnswer::kUnknown;
  if (!was_given) {
    hold_until_ = now + kAfterConflictMs;
    return;
  }
  open_ = order;
  is_open_unknown_ = answer == OrderAnswer::kUnknown;
  open_since_ = now;
  if (!order.target.adapter.empty()) return;
  if (order.kind == OrderKind::kLoad && order.target.model == room_for_) room_for_.clear();
  if (!order.room_for.empty()) {
    room_for_ = order.room_for;
    room_at_ = now;
  }
  loading_ = order.target.model;
  is_unloading_ = order.kind == OrderKind::kUnload;
  is_from_store_ = !is_unloading_ && !IsNear(loading_);
  loading_since_ = now;
}

EngineView PlacementCore::View(TimeMs now) const {
  EngineView view;
  view.instance = instance_;
  view.relays_upstream_ends = true;
  for (const auto& it : report_.loaded) {
    if (it.name == loading_) continue;
    view.loaded.push_back(it);
    view.requests_per_s[it.name] = UseOf(it.name).per_s;
    view.eviction_cost_ms[it.name] = ClosingCost(it.name);
    const bool has_leaving = open_ && open_->kind == OrderKind::kUnload &&
                             open_->target.model == it.name && !open_->target.adapter.empty();
    if (!has_leaving) continue;
    auto& adapters = view.loaded.back().adapters;
    adapters.erase(std::remove(adapters.begin(), adapters.end(), open_->target.adapter),
                   adapters.end());
  }
  const bool is_changing = report_.is_busy || (open_ && open_->target.adapter.empty());
  if (is_changing) {
    view.loading = is_unloading_ ? "unloading" : loading_;
    view.is_loading_from_store = is_from_store_;
    const DurationMs whole = is_unloading_ ? kUnloadMs : LoadEstimate(loading_);
    view.load_remaining_ms = std::max<DurationMs>(kAfterConflictMs, whole - (now - loading_since_));
  }
  for (const auto& it : Wants()) {
    const bool is_queued = it.waiting > 0 && FindLoaded(it.ref.model) == nullptr &&
                           it.ref.model != loading_ && !Contains(view.queue, it.ref.model);
    if (is_queued) view.queue.push_back(it.ref.model);
  }
  view.cached_models = report_.on_disk;
  for (const auto& it : report_.in_memory) {
    if (!Contains(view.cached_models, it)) view.cached_models.push_back(it);
  }
  view.model_waits_per_s =
      wants_per_s_ * std::exp(-static_cast<double>(now - wants_at_) / kWantsMemoryMs);
  view.running = report_.running;
  view.waiting = report_.waiting;
  view.kv_usage = report_.kv_share;
  view.entries = std::max<int>(1, static_cast<int>(demands_.size()));
  if (!is_changing) view.store_load_request = store_want_;
  return view;
}

bool PlacementCore::IsActive() const {
  if (report_.is_busy || open_ || !report_.adapters_coming.empty()) return true;
  for (const auto& [link, it] : demands_) {
    if (!it.demand.wanted.empty() || !it.demand.stage.empty()) return true;
  }
  return false;
}

}  // namespace junctionrail

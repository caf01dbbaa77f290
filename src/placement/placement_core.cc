// Chooses what an engine loads next and what it unloads to free memory.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

// An entry's demand expires after this many of its resend intervals without a message: the entry
// has ended, or will not reach this process again before its requests time out.
constexpr double kDemandExpiryPeriods = 2.5;
// An entry that sent a request for a model within this time may send another before it
// learns that the model was removed.
constexpr DurationMs kRecentUseMs = 5000;
// A newly loaded model is not evicted for this long, so that the requests that waited for it
// are served.
constexpr DurationMs kMinResidencyMs = 800;
// Delay before the next order if the engine did not answer the last one. Both carry the same
// sequence number, so the engine executes at most one of them.
constexpr DurationMs kUnansweredOrderRetryMs = 60;
// Estimated time of an unload once no request uses the model.
constexpr DurationMs kUnloadEstimateMs = 400;
// How long to wait for a report to show an accepted order. The next report normally does,
// unless the engine lost the order.
constexpr DurationMs kAcceptedOrderTimeoutMs = 2000;
// Delay before the next order after a refused one, so that a new report is read first.
constexpr DurationMs kConflictBackoffMs = 60;
// If all models are in use, one of them may be unloaded, and so closed to new requests, once
// a request has waited this long. The running requests take as long to finish either way, and
// without the unload new ones would keep the model in use forever. The delay gives a newer
// report the chance to show an idle model.
constexpr DurationMs kInterruptAfterMs = 150;
// Weight of a caller that will miss its target in any case. A late answer is worth less than a
// timely one, but little is lost if it is delayed further, so callers that can still be served
// in time come first.
constexpr double kLateCallerWeight = 0.25;
// Maximum EvictionCost of a model that staging may evict: one with almost no demand.
constexpr double kMaxStagingEvictionCostMs = 100;
// Staging does not evict a model that was requested within this time.
constexpr DurationMs kStagingMinIdleMs = 1500;
// Averaging period of `new_waits_per_s_`.
constexpr double kNewWaitRateWindowMs = 5000;
// How long freed memory stays reserved for the model that it was freed for. This covers the
// remaining requests on the evicted model, and a second unload if one was not enough.
constexpr DurationMs kReservationMs = 2500;
// The period over which future requests count towards a model's value. Demand shifts within
// seconds, so it is short.
constexpr double kDemandHorizonMs = 1000;
// Time from a request for an evicted model until the model is loaded again, without the load
// itself: the demand message, two reports and the unload of another model.
constexpr DurationMs kSwapOverheadMs = 300;
// Number of adapters that an engine loads at the same time.
constexpr std::size_t kMaxConcurrentAdapterLoads = 4;
// Operators give routes priorities: one caller counts as this many of the next lower priority.
// With this ratio thirty callers still outweigh one of the next higher priority, so no priority
// is starved.
constexpr double kPriorityWeightRatio = 8;

// The cost of a wait to one caller, in milliseconds. A wait beyond the target counts in full.
// A shorter one counts for a share that grows with its length, as it uses up the time left for
// other delays.
double WaitCost(DurationMs wait_ms, DurationMs target_ms) {
  const auto wait = static_cast<double>(wait_ms);
  return wait * std::min(1.0, wait / static_cast<double>(std::max<DurationMs>(1, target_ms)));
}

// The total cost to callers that arrive one per millisecond during `time_ms` and all wait
// until its end: the integral of WaitCost.
double ArrivalWaitCost(DurationMs time_ms, DurationMs target_ms) {
  const auto time = static_cast<double>(time_ms);
  const auto target = static_cast<double>(target_ms);
  if (time <= target) return time * time * time / (3 * target);
  return target * target / 3 + (time * time - target * target) / 2;
}

}  // namespace

double PlacementCore::PriorityWeight(int priority) const {
  return policy_.weighs_classes ? std::pow(kPriorityWeightRatio, -priority) : 1;
}

void PlacementCore::Reset(std::string instance) {
  instance_ = std::move(instance);
  report_ = {};
  has_report_ = false;
  pending_order_.reset();
  changing_model_.clear();
  is_unloading_ = false;
  loaded_at_.clear();
  reserved_for_.clear();
  adapter_used_at_.clear();
  blocked_store_load_.reset();
  blocked_since_ = 0;
}

const LoadedModel* PlacementCore::FindLoaded(std::string_view model) const {
  for (const auto& it : report_.loaded) {
    if (it.name == model) return &it;
  }
  return nullptr;
}

bool PlacementCore::IsStoredLocally(std::string_view model) const {
  return Contains(report_.on_disk, model) || Contains(report_.in_memory, model);
}

void PlacementCore::OnReport(EngineReport report, TimeMs now) {
  for (const auto& it : report.loaded) {
    const bool is_new = has_report_ && FindLoaded(it.name) == nullptr;
    if (is_new) loaded_at_[it.name] = now;
  }
  report_ = std::move(report);
  has_report_ = true;
  // The engine has accepted an order since: either this one, or one that makes this one invalid.
  if (pending_order_ && report_.sequence != pending_order_->expected_sequence)
    pending_order_.reset();
  if (!report_.is_busy && !pending_order_) {
    changing_model_.clear();
    is_unloading_ = false;
  }
  if (report_.is_busy && changing_model_.empty()) {
    // An order of the process that gave orders before this process. Reports do not name its model.
    changing_model_ = "unknown";
    changing_since_ = now;
    is_loading_from_store_ = false;
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
  demands_[link] = ReceivedDemand{std::move(demand), now};
  UpdateNewWaitRate(now);
}

// Updates the average rate at which models get a first waiting request.
void PlacementCore::UpdateNewWaitRate(TimeMs now) {
  std::set<std::string> waited_for;
  for (const auto& [link, it] : demands_) {
    for (const auto& wanted : it.demand.wanted) {
      if (wanted.waiting > 0 && wanted.ref.adapter.empty()) waited_for.insert(wanted.ref.model);
    }
  }
  new_waits_per_s_ *=
      std::exp(-static_cast<double>(now - new_waits_updated_at_) / kNewWaitRateWindowMs);
  new_waits_updated_at_ = now;
  for (const auto& it : waited_for) {
    if (awaited_models_.count(it) == 0) new_waits_per_s_ += 1000.0 / kNewWaitRateWindowMs;
  }
  awaited_models_ = std::move(waited_for);
}

void PlacementCore::OnEntryDisconnected(std::uint64_t link) { demands_.erase(link); }

void PlacementCore::ExpireDemands(TimeMs now) {
  for (auto it = demands_.begin(); it != demands_.end();) {
    const auto max_age_ms =
        kDemandExpiryPeriods * static_cast<double>(it->second.demand.resend_interval_ms);
    const bool is_silent = static_cast<double>(now - it->second.received_at) > max_age_ms;
    it = is_silent ? demands_.erase(it) : std::next(it);
  }
}

const AgentDemand* PlacementCore::FindDemand(std::uint64_t link) const {
  const auto it = demands_.find(link);
  return it == demands_.end() ? nullptr : &it->second.demand;
}

bool PlacementCore::AcceptsViewUpdates(std::uint64_t link) const {
  const AgentDemand* demand = FindDemand(link);
  return demand != nullptr && demand->accepts_view_updates;
}

bool PlacementCore::IsAffected(std::uint64_t link, const std::vector<std::string>& gone) const {
  const AgentDemand* demand = FindDemand(link);
  if (demand == nullptr) return false;
  if (!demand->wanted.empty()) return true;
  return std::any_of(demand->use.begin(), demand->use.end(), [&](const ModelUse& it) {
    const bool is_recent = it.in_flight > 0 || (it.idle_ms >= 0 && it.idle_ms < kRecentUseMs);
    return is_recent && Contains(gone, it.model);
  });
}

std::vector<PlacementCore::CombinedDemand> PlacementCore::CombineDemands() const {
  std::map<ModelRef, CombinedDemand> by_ref;
  for (const auto& [link, it] : demands_) {
    for (const auto& wanted : it.demand.wanted) {
      CombinedDemand& demand = by_ref[wanted.ref];
      const bool is_first = demand.ref.model.empty();
      demand.ref = wanted.ref;
      demand.waiting += wanted.waiting;
      demand.priority = is_first ? wanted.priority : std::min(demand.priority, wanted.priority);
      demand.age_ms = std::max(demand.age_ms, wanted.age_ms);
      demand.requests_per_s_per_replica =
          std::max(demand.requests_per_s_per_replica, wanted.requests_per_s_per_replica);
      demand.expected_late = std::max(demand.expected_late, wanted.late_callers);
      demand.already_late += wanted.late;
      if (wanted.waiting > wanted.late)
        demand.ms_until_late = std::min(demand.ms_until_late, wanted.slack_ms);
      demand.requests_per_s += wanted.requests_per_s;
      demand.at_risk_requests_per_s =
          std::max(demand.at_risk_requests_per_s, wanted.at_risk_requests_per_s);
    }
  }
  std::vector<CombinedDemand> demands;
  for (auto& [ref, demand] : by_ref) {
    demand.weight = WeightOf(demand);
    demands.push_back(std::move(demand));
  }
  // By descending weight; ties go to waiting requests first, then to the least time left.
  std::sort(demands.begin(), demands.end(), [](const CombinedDemand& a, const CombinedDemand& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    if ((a.waiting > 0) != (b.waiting > 0)) return a.waiting > 0;
    return a.ms_until_late < b.ms_until_late;
  });
  return demands;
}

// Returns the number of callers that are served in time only if this model is loaded next,
// weighted by priority and divided by the load time in milliseconds, as the load delays all
// other models. The callers are the waiting ones with just enough time left, those that arrive
// within the horizon, and those that queue at too few replicas. A caller that is late in any
// case counts for a fraction.
double PlacementCore::WeightOf(const CombinedDemand& demand) const {
  const DurationMs swap_ms = EstimateLoadMs(demand.ref.model) + kSwapOverheadMs;
  if (!policy_.in_time_first) return demand.waiting * PriorityWeight(demand.priority);
  const DurationMs slack_ms = demand.ms_until_late - swap_ms;
  double in_time_weight = kLateCallerWeight;
  if (slack_ms >= 0)
    in_time_weight = static_cast<double>(swap_ms) / static_cast<double>(swap_ms + slack_ms);
  const double arriving_per_s =
      (demand.waiting > 0 ? demand.requests_per_s : 0) + demand.at_risk_requests_per_s;
  const double arriving = arriving_per_s * kDemandHorizonMs / 1000;
  const double callers = (demand.waiting - demand.already_late) * in_time_weight +
                         demand.already_late * kLateCallerWeight + arriving + demand.expected_late;
  return callers * PriorityWeight(demand.priority) / static_cast<double>(swap_ms);
}

// Returns the callers per second that a load from the weight store will serve. The load takes
// longer than most waiting callers stay, so they count by the rate at which such requests
// arrive; a further replica counts by the request rate of each existing one. Weighing by
// waiting requests alone let 48 rare models, each requested once in several seconds, keep the
// weight store from a busy model that received 60 requests per second at engines with capacity
// for 55.
double PlacementCore::StoreLoadWeightOf(const CombinedDemand& demand) const {
  return (demand.requests_per_s + demand.requests_per_s_per_replica +
          demand.at_risk_requests_per_s) *
         PriorityWeight(demand.priority);
}

bool PlacementCore::IsAdapterInUse(const ModelRef& adapter) const {
  for (const auto& [link, it] : demands_) {
    for (const auto& use : it.demand.use) {
      if (use.model == adapter.model && Contains(use.adapters_in_use, adapter.adapter)) return true;
    }
  }
  return false;
}

PlacementCore::CombinedUse PlacementCore::CombineUse(const std::string& model) const {
  CombinedUse use;
  for (const auto& [link, it] : demands_) {
    for (const auto& entry_use : it.demand.use) {
      if (entry_use.model != model) continue;
      use.in_flight += entry_use.in_flight;
      use.requests_per_s += entry_use.requests_per_s;
      use.replicas = std::max(use.replicas, entry_use.replicas);
      use.region_replicas = std::max(use.region_replicas, entry_use.region_replicas);
      if (entry_use.idle_ms < 0) continue;
      use.priority =
          use.idle_ms < 0 ? entry_use.priority : std::min(use.priority, entry_use.priority);
      use.target_ms =
          use.idle_ms < 0 ? entry_use.target_ms : std::min(use.target_ms, entry_use.target_ms);
      use.idle_ms = use.idle_ms < 0 ? entry_use.idle_ms : std::min(use.idle_ms, entry_use.idle_ms);
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
  for (const auto& it : report_.loading_adapters) {
    const ModelSpec* spec = spec_.Find(it.model);
    if (spec != nullptr) mb += spec->adapter_mb;
  }
  return mb;
}

int PlacementCore::UsedAdapterSlots() const {
  std::size_t n = report_.loading_adapters.size();
  for (const auto& it : report_.loaded) n += it.adapters.size();
  return static_cast<int>(n);
}

double PlacementCore::MemoryShortfallMb(const ModelSpec& spec) const {
  return UsedMb() + spec.size_mb - spec_.accelerator_mb;
}

EngineOrder PlacementCore::MakeOrder(OrderKind kind, ModelRef target, std::string reason) const {
  if (kind == OrderKind::kLoad) {
    const ModelSpec* spec = spec_.Find(target.model);
    const double mb = spec == nullptr          ? 0
                      : target.adapter.empty() ? spec->size_mb
                                               : spec->adapter_mb;
    CheckInvariant(spec != nullptr && UsedMb() + mb <= spec_.accelerator_mb,
                   "a load order fits into the accelerator's memory");
    CheckInvariant(target.adapter.empty() || UsedAdapterSlots() < spec_.adapter_slots,
                   "a load order for an adapter finds a free adapter slot");
  }
  return EngineOrder{kind, std::move(target), report_.sequence, std::move(reason), {}};
}

DurationMs PlacementCore::EstimateLoadMs(const std::string& model) const {
  const ModelSpec* spec = spec_.Find(model);
  if (spec == nullptr) return kUnloadEstimateMs;
  if (Contains(report_.in_memory, model)) return spec->memory_load_ms;
  if (Contains(report_.on_disk, model)) return spec->disk_load_ms;
  return spec->store_load_ms;
}

// Returns the cost to its callers of evicting a model. The model is reloaded on the next
// request, if one arrives soon: that request waits for the whole reload, and those that arrive
// meanwhile wait for the rest of it. If other replicas exist they take over this replica's
// share of the requests, and the cost is what that share would have waited. The last replica of a
// region with requests counts like the last one of all: callers bound to the region would wait for
// a reload, and the others' answers would come from another region.
double PlacementCore::EvictionCost(const std::string& model) const {
  if (!policy_.weighs_closing) return 0;
  const CombinedUse use = CombineUse(model);
  DurationMs absence_ms = EstimateLoadMs(model) + kSwapOverheadMs;
  if (use.in_flight > 0) absence_ms += kUnloadEstimateMs;
  const double per_ms = use.requests_per_s / std::max(1, use.replicas) / 1000;
  double cost = per_ms * ArrivalWaitCost(absence_ms, use.target_ms);
  if (use.replicas <= 1 || use.region_replicas == 1) {
    cost += (1 - std::exp(-per_ms * kDemandHorizonMs)) * WaitCost(absence_ms, use.target_ms);
  }
  return cost * PriorityWeight(use.priority);
}

// Returns the evictable model with the lowest eviction cost, or nothing if all cost more than
// `max_cost_ms`. Ties go to a model that frees enough memory alone, then to the one with the
// least demand, then to the least recently requested one.
std::optional<std::string> PlacementCore::ChooseVictim(const std::vector<CombinedDemand>& demands,
                                                       double missing_mb, double max_cost_ms,
                                                       bool may_interrupt, TimeMs now) const {
  using Rank = std::tuple<double, bool, double, DurationMs>;
  const LoadedModel* best = nullptr;
  Rank best_rank;
  for (const auto& it : report_.loaded) {
    const bool is_wanted =
        std::any_of(demands.begin(), demands.end(), [&](const CombinedDemand& demand) {
          return demand.waiting > 0 && demand.ref.model == it.name;
        });
    const auto loaded = loaded_at_.find(it.name);
    const bool is_recently_loaded =
        policy_.settles && loaded != loaded_at_.end() && now - loaded->second < kMinResidencyMs;
    if (is_wanted || is_recently_loaded) continue;
    const CombinedUse use = CombineUse(it.name);
    if (use.in_flight > 0 && !(may_interrupt && policy_.interrupts)) continue;
    const double cost = EvictionCost(it.name);
    if (cost > max_cost_ms) continue;
    double value = use.requests_per_s / std::max(1, use.replicas) + use.in_flight;
    // A model with many replicas and no request yet: operators expect it to be busy.
    if (use.idle_ms < 0 && use.replicas > 1) value += 0.1 * use.replicas;
    const ModelSpec* spec = spec_.Find(it.name);
    const bool is_too_small = spec == nullptr || spec->size_mb < missing_mb;
    const Rank rank(cost, is_too_small, value, -use.idle_ms);
    if (best != nullptr && rank >= best_rank) continue;
    best = &it;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  return best->name;
}

// Each planner grants the weight store's capacity by the views it has, and views reach planners at
// different moments. At least half of them must agree: when any single one was enough, ten loads
// began where four were intended. Without a planner the other entries' demand is enough.
bool PlacementCore::MayLoadFromStore() const {
  std::size_t planners = 0;
  std::size_t grants = 0;
  for (const auto& [link, it] : demands_) {
    planners += it.demand.is_planner ? 1 : 0;
    grants += it.demand.is_planner && it.demand.may_load_from_store ? 1 : 0;
  }
  if (planners == 0) return !demands_.empty();
  return grants > 0 && grants * 2 >= planners;
}

bool PlacementCore::MustWaitForStore(const std::string& model, bool is_waited_for, double weight,
                                     TimeMs now) {
  if (IsStoredLocally(model) || MayLoadFromStore()) return false;
  if (blocked_since_ == 0) blocked_since_ = now;
  if (!blocked_store_load_) blocked_store_load_.emplace();
  blocked_store_load_->has_waiting_requests |= is_waited_for;
  blocked_store_load_->weight = std::max(blocked_store_load_->weight, weight);
  blocked_store_load_->age_ms = now - blocked_since_;
  return true;
}

std::optional<EngineOrder> PlacementCore::ChooseAdapterOrder(
    const CombinedDemand& demand, const std::vector<CombinedDemand>& demands) {
  const LoadedModel* base = FindLoaded(demand.ref.model);
  if (base == nullptr || Contains(base->adapters, demand.ref.adapter)) return std::nullopt;
  const auto& coming = report_.loading_adapters;
  if (std::find(coming.begin(), coming.end(), demand.ref) != coming.end()) return std::nullopt;
  const ModelSpec* spec = spec_.Find(demand.ref.model);
  if (spec == nullptr || coming.size() >= kMaxConcurrentAdapterLoads) return std::nullopt;
  const bool fits = UsedAdapterSlots() < spec_.adapter_slots &&
                    UsedMb() + spec->adapter_mb <= spec_.accelerator_mb;
  if (fits) return MakeOrder(OrderKind::kLoad, demand.ref, "requests wait for the adapter");
  // Evict the least recently used adapter.
  std::optional<ModelRef> oldest;
  TimeMs oldest_at = 0;
  for (const auto& model : report_.loaded) {
    for (const auto& it : model.adapters) {
      const ModelRef ref{model.name, it};
      const bool is_wanted =
          std::any_of(demands.begin(), demands.end(),
                      [&](const CombinedDemand& other) { return other.ref == ref; });
      // Unloading an adapter in use would wait for its requests, and new ones keep arriving.
      if (is_wanted || IsAdapterInUse(ref)) continue;
      const auto used = adapter_used_at_.find(ref);
      const TimeMs at = used == adapter_used_at_.end() ? 0 : used->second;
      if (oldest && at >= oldest_at) continue;
      oldest = ref;
      oldest_at = at;
    }
  }
  if (!oldest) return std::nullopt;
  return MakeOrder(OrderKind::kUnload, *oldest, "its slot is needed for another adapter");
}

std::optional<EngineOrder> PlacementCore::ChooseModelOrder(
    const CombinedDemand& demand, const std::vector<CombinedDemand>& demands, TimeMs now) {
  const ModelSpec* spec = spec_.Find(demand.ref.model);
  if (spec == nullptr || FindLoaded(demand.ref.model) != nullptr) return std::nullopt;
  const bool is_waited_for = demand.waiting > 0;
  if (MustWaitForStore(demand.ref.model, is_waited_for, StoreLoadWeightOf(demand), now))
    return std::nullopt;
  const double missing_mb = MemoryShortfallMb(*spec);
  if (missing_mb <= 0) {
    return MakeOrder(OrderKind::kLoad, ModelRef{demand.ref.model, {}},
                     is_waited_for ? "requests wait for it" : "another replica is needed");
  }
  const bool may_interrupt =
      is_waited_for ? demand.age_ms > kInterruptAfterMs : demand.expected_late > 0;
  // A model is evicted once the time that the waiting callers will have lost when their model is
  // loaded is at least what the eviction costs the callers of the evicted model.
  const DurationMs waited = demand.age_ms + EstimateLoadMs(demand.ref.model) + kSwapOverheadMs;
  const auto lost_ms = static_cast<double>(demand.waiting * waited);
  const double max_cost_ms = (is_waited_for ? lost_ms : demand.expected_late * kDemandHorizonMs) *
                             PriorityWeight(demand.priority);
  const auto victim = ChooseVictim(demands, missing_mb, max_cost_ms, may_interrupt, now);
  if (!victim) return std::nullopt;
  EngineOrder order =
      MakeOrder(OrderKind::kUnload, ModelRef{*victim, {}}, "makes room for " + demand.ref.model);
  order.reserve_for = demand.ref.model;
  return order;
}

std::optional<EngineOrder> PlacementCore::ChooseStagingOrder(
    const std::vector<CombinedDemand>& demands, TimeMs now) {
  for (const auto& [link, it] : demands_) {
    for (const auto& model : it.demand.stage) {
      const ModelSpec* spec = spec_.Find(model);
      if (spec == nullptr || FindLoaded(model) != nullptr || IsStoredLocally(model)) continue;
      if (MustWaitForStore(model, false, 0, now)) return std::nullopt;
      const double missing_mb = MemoryShortfallMb(*spec);
      if (missing_mb <= 0)
        return MakeOrder(OrderKind::kLoad, ModelRef{model, {}}, "staged to disk");
      const auto victim = ChooseVictim(demands, missing_mb, kMaxStagingEvictionCostMs, false, now);
      if (!victim) return std::nullopt;
      const DurationMs idle_ms = CombineUse(*victim).idle_ms;
      if (idle_ms >= 0 && idle_ms < kStagingMinIdleMs) return std::nullopt;
      return MakeOrder(OrderKind::kUnload, ModelRef{*victim, {}}, "makes room to stage " + model);
    }
  }
  return std::nullopt;
}

std::optional<EngineOrder> PlacementCore::NextOrder(TimeMs now) {
  ExpireDemands(now);
  if (!has_report_ || !has_spec() || now < next_order_at_) return std::nullopt;
  if (pending_order_) {
    // A new order carries the same sequence number, so the engine accepts only one of the two.
    const DurationMs timeout_ms =
        is_pending_unconfirmed_ ? kUnansweredOrderRetryMs : kAcceptedOrderTimeoutMs;
    if (now - pending_since_ < timeout_ms) return std::nullopt;
    pending_order_.reset();
  }
  if (report_.is_busy) return std::nullopt;
  blocked_store_load_.reset();
  auto order = ChooseOrder(now);
  if (!blocked_store_load_) blocked_since_ = 0;
  return order;
}

std::optional<EngineOrder> PlacementCore::ChooseOrder(TimeMs now) {
  const std::vector<CombinedDemand> demands = CombineDemands();
  for (const auto& it : demands) {
    if (it.ref.adapter.empty()) continue;
    auto order = ChooseAdapterOrder(it, demands);
    if (order) return order;
  }
  // Memory freed by an eviction goes to the model whose demand justified the eviction.
  if (!reserved_for_.empty() && now - reserved_at_ < kReservationMs) {
    for (const auto& it : demands) {
      if (it.ref.model != reserved_for_) continue;
      auto order = ChooseModelOrder(it, demands, now);
      if (order) return order;
    }
  }
  for (const auto& it : demands) {
    auto order = ChooseModelOrder(it, demands, now);
    if (order) return order;
  }
  if (std::any_of(demands.begin(), demands.end(),
                  [](const CombinedDemand& it) { return it.waiting > 0; })) {
    return std::nullopt;
  }
  return ChooseStagingOrder(demands, now);
}

void PlacementCore::OnOrderResult(const EngineOrder& order, EngineOrderResult answer, TimeMs now) {
  const bool may_be_executed =
      answer == EngineOrderResult::kAccepted || answer == EngineOrderResult::kUnknown;
  if (!may_be_executed) {
    next_order_at_ = now + kConflictBackoffMs;
    return;
  }
  pending_order_ = order;
  is_pending_unconfirmed_ = answer == EngineOrderResult::kUnknown;
  pending_since_ = now;
  if (!order.target.adapter.empty()) return;
  if (order.kind == OrderKind::kLoad && order.target.model == reserved_for_) reserved_for_.clear();
  if (!order.reserve_for.empty()) {
    reserved_for_ = order.reserve_for;
    reserved_at_ = now;
  }
  changing_model_ = order.target.model;
  is_unloading_ = order.kind == OrderKind::kUnload;
  is_loading_from_store_ = !is_unloading_ && !IsStoredLocally(changing_model_);
  changing_since_ = now;
}

EngineView PlacementCore::BuildView(TimeMs now) const {
  EngineView view;
  view.instance = instance_;
  view.relays_upstream_ends = true;
  for (const auto& it : report_.loaded) {
    if (it.name == changing_model_) continue;
    view.loaded.push_back(it);
    view.requests_per_s[it.name] = CombineUse(it.name).requests_per_s;
    view.eviction_cost_ms[it.name] = EvictionCost(it.name);
    const bool has_unloading_adapter =
        pending_order_ && pending_order_->kind == OrderKind::kUnload &&
        pending_order_->target.model == it.name && !pending_order_->target.adapter.empty();
    if (!has_unloading_adapter) continue;
    auto& adapters = view.loaded.back().adapters;
    adapters.erase(std::remove(adapters.begin(), adapters.end(), pending_order_->target.adapter),
                   adapters.end());
  }
  const bool is_changing =
      report_.is_busy || (pending_order_ && pending_order_->target.adapter.empty());
  if (is_changing) {
    view.loading = is_unloading_ ? "unloading" : changing_model_;
    view.is_loading_from_store = is_loading_from_store_;
    const DurationMs total_ms = is_unloading_ ? kUnloadEstimateMs : EstimateLoadMs(changing_model_);
    view.load_remaining_ms =
        std::max<DurationMs>(kConflictBackoffMs, total_ms - (now - changing_since_));
  }
  for (const auto& it : CombineDemands()) {
    const bool is_queued = it.waiting > 0 && FindLoaded(it.ref.model) == nullptr &&
                           it.ref.model != changing_model_ && !Contains(view.queue, it.ref.model);
    if (is_queued) view.queue.push_back(it.ref.model);
  }
  view.cached_models = report_.on_disk;
  for (const auto& it : report_.in_memory) {
    if (!Contains(view.cached_models, it)) view.cached_models.push_back(it);
  }
  view.model_waits_per_s =
      new_waits_per_s_ *
      std::exp(-static_cast<double>(now - new_waits_updated_at_) / kNewWaitRateWindowMs);
  view.running = report_.running;
  view.waiting = report_.waiting;
  view.kv_usage = report_.kv_cache_usage;
  view.entries = std::max<int>(1, static_cast<int>(demands_.size()));
  if (!is_changing) view.store_load_request = blocked_store_load_;
  return view;
}

bool PlacementCore::IsActive() const {
  if (report_.is_busy || pending_order_ || !report_.loading_adapters.empty()) return true;
  for (const auto& [link, it] : demands_) {
    if (!it.demand.wanted.empty() || !it.demand.stage.empty()) return true;
  }
  return false;
}

}  // namespace junctionrail

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
constexpr double kDemandExpiryPeriods = 2.5;
// An entry that has sent a request for a model within this may send the next one
// before it hears that the model is gone.
constexpr DurationMs kRecentUseMs = 5000;
// A model just loaded is kept so long for the requests that waited for it.
constexpr DurationMs kMinResidencyMs = 800;
// After an order whose answer was waited for in vain another is given so soon,
// under the same sequence, of which only one can be carried out.
constexpr DurationMs kUnansweredOrderRetryMs = 60;
// An unload takes about so long once no request uses the model.
constexpr DurationMs kUnloadEstimateMs = 400;
// An accepted order shows in the next report, unless the engine lost it.
constexpr DurationMs kAcceptedOrderTimeoutMs = 2000;
// After a conflict the report is read again before the next order.
constexpr DurationMs kConflictBackoffMs = 60;
// When all models are in use, the one that is to go is closed to new requests
// after so long: its runs take as long to end whether it is closed or not, and
// new ones would keep it for ever. The wait lets a newer report show an idle one.
constexpr DurationMs kInterruptAfterMs = 150;
// An answer beyond the target is worth less to its caller than one within it, and
// hardly less when it comes still later: those that can be in time go first.
constexpr double kLateCallerWeight = 0.25;
// Staging closes only what hardly anybody asks for: milliseconds of callers.
constexpr double kMaxStagingEvictionCostMs = 100;
// Staging must not take a model that was asked for as lately as this.
constexpr DurationMs kStagingMinIdleMs = 1500;
// The rate of wants is an average over about so long.
constexpr double kNewWaitRateWindowMs = 5000;
// The end of the requests on a model that makes room, and another unload where
// one was not enough, are over in so long.
constexpr DurationMs kReservationMs = 2500;
// Demand moves within seconds: what a model is worth to its callers is counted
// over so long.
constexpr double kDemandHorizonMs = 1000;
// Between a request for a model that was closed and its return lie, besides the
// load, the demand, two reports and the unload of another model.
constexpr DurationMs kSwapOverheadMs = 300;
// Adapters that an engine fetches at the same time.
constexpr std::size_t kMaxConcurrentAdapterLoads = 4;
// Operators rank their routes: one caller of a rank counts as so many of the next
// below. Thirty callers still outweigh one of the rank above, none is starved.
constexpr double kPriorityWeightRatio = 8;

// What a caller loses by a wait, in milliseconds: all of it beyond the target, and
// less the shorter it is within, as it uses up the time for what else may delay.
double WaitCost(DurationMs wait_ms, DurationMs target_ms) {
  const auto wait = static_cast<double>(wait_ms);
  return wait * std::min(1.0, wait / static_cast<double>(std::max<DurationMs>(1, target_ms)));
}

// What callers lose that arrive at one a millisecond in so long and all wait for
// its end: the integral of the above.
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
  // The engine took an order since: this one, or it can no longer be taken.
  if (pending_order_ && report_.sequence != pending_order_->expected_sequence)
    pending_order_.reset();
  if (!report_.is_busy && !pending_order_) {
    changing_model_.clear();
    is_unloading_ = false;
  }
  if (report_.is_busy && changing_model_.empty()) {
    // An order of the process before this one; which is not reported.
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

// The average rate at which requests begin to wait for a further model.
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
    const auto max_age_ms = kDemandExpiryPeriods * static_cast<double>(it->second.demand.repeat_ms);
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
  return demand != nullptr && demand->takes_updates;
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
          std::max(demand.requests_per_s_per_replica, wanted.replica_per_s);
      demand.expected_late = std::max(demand.expected_late, wanted.callers_late);
      demand.already_late += wanted.late;
      if (wanted.waiting > wanted.late)
        demand.ms_until_late = std::min(demand.ms_until_late, wanted.left_ms);
      demand.requests_per_s += wanted.per_s;
      demand.at_risk_requests_per_s = std::max(demand.at_risk_requests_per_s, wanted.at_risk_per_s);
    }
  }
  std::vector<CombinedDemand> demands;
  for (auto& [ref, demand] : by_ref) {
    demand.weight = WeightOf(demand);
    demands.push_back(std::move(demand));
  }
  // Where most callers would be late first, then the one with the least time left.
  std::sort(demands.begin(), demands.end(), [](const CombinedDemand& a, const CombinedDemand& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    if ((a.waiting > 0) != (b.waiting > 0)) return a.waiting > 0;
    return a.ms_until_late < b.ms_until_late;
  });
  return demands;
}

// How many callers are in time if this model is the next and are not if another
// is: those that wait and have just enough time left, those that come within the
// horizon, and those in the queue of too few replicas. One that is late in any
// case counts for a part. Over the time that the engine would spend on it, as
// that keeps all others waiting.
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

// Callers a second that a load from the weight store will serve. It takes longer than
// most of those who wait now stay, so they count by the rate at which more like them
// come; a further replica counts by what each one that there is gets. By waiting
// requests alone, 48 rare models asked for once in some seconds kept the store from a
// busy one whose callers came 60 a second to engines for 55.
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
      use.requests_per_s += entry_use.per_s;
      use.replicas = std::max(use.replicas, entry_use.replicas);
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
                   "an order to load fits the accelerator's memory");
    CheckInvariant(target.adapter.empty() || UsedAdapterSlots() < spec_.adapter_places,
                   "an order to load an adapter finds a free place");
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

// What closing a model costs its callers. It comes back with the next request,
// if one comes soon; that one waits for all of the time it takes, and those that
// arrive until then for the rest. Where there are other replicas they take its
// share of the requests, and the cost is what that share would have waited.
double PlacementCore::EvictionCost(const std::string& model) const {
  if (!policy_.weighs_closing) return 0;
  const CombinedUse use = CombineUse(model);
  DurationMs absence_ms = EstimateLoadMs(model) + kSwapOverheadMs;
  if (use.in_flight > 0) absence_ms += kUnloadEstimateMs;
  const double per_ms = use.requests_per_s / std::max(1, use.replicas) / 1000;
  double cost = per_ms * ArrivalWaitCost(absence_ms, use.target_ms);
  if (use.replicas <= 1) {
    cost += (1 - std::exp(-per_ms * kDemandHorizonMs)) * WaitCost(absence_ms, use.target_ms);
  }
  return cost * PriorityWeight(use.priority);
}

// Of the models that may go, the one whose absence costs least. Among those that
// cost the same: one that makes room alone, then the least asked for, then the
// one asked for longest ago. None when all cost more than `most_ms`.
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
    // Many replicas and no request yet: operators expect it to be busy.
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

// Entries see the same views at different moments and give the weight store's places
// out by them. What most of them say is what the fleet means; any one of them alone
// let ten loads begin where four were meant.
bool PlacementCore::MayLoadFromStore() const {
  const auto n = std::count_if(demands_.begin(), demands_.end(),
                               [](const auto& it) { return it.second.demand.may_load_from_store; });
  return n > 0 && static_cast<std::size_t>(n) * 2 >= demands_.size();
}

bool PlacementCore::MustWaitForStore(const std::string& model, bool is_waited_for, double weight,
                                     TimeMs now) {
  if (IsStoredLocally(model) || MayLoadFromStore()) return false;
  if (blocked_since_ == 0) blocked_since_ = now;
  if (!blocked_store_load_) blocked_store_load_.emplace();
  blocked_store_load_->is_waited_for |= is_waited_for;
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
  const bool fits = UsedAdapterSlots() < spec_.adapter_places &&
                    UsedMb() + spec->adapter_mb <= spec_.accelerator_mb;
  if (fits) return MakeOrder(OrderKind::kLoad, demand.ref, "requests wait for the adapter");
  // Least recently asked for first.
  std::optional<ModelRef> oldest;
  TimeMs oldest_at = 0;
  for (const auto& model : report_.loaded) {
    for (const auto& it : model.adapters) {
      const ModelRef ref{model.name, it};
      const bool is_wanted =
          std::any_of(demands.begin(), demands.end(),
                      [&](const CombinedDemand& other) { return other.ref == ref; });
      // An unload waits for the requests that use it, and they keep coming.
      if (is_wanted || IsAdapterInUse(ref)) continue;
      const auto used = adapter_used_at_.find(ref);
      const TimeMs at = used == adapter_used_at_.end() ? 0 : used->second;
      if (oldest && at >= oldest_at) continue;
      oldest = ref;
      oldest_at = at;
    }
  }
  if (!oldest) return std::nullopt;
  return MakeOrder(OrderKind::kUnload, *oldest, "its place is needed for another adapter");
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
  // Room is made when those who wait will have lost as much by the time it is up
  // as those who would then.
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
    // Whichever order is given now has the same sequence, so only one is taken.
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
  // Room that others lost a model for goes to the one that was weighed against it.
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
  view.relays_ends = true;
  for (const auto& it : report_.loaded) {
    if (it.name == changing_model_) continue;
    view.loaded.push_back(it);
    view.per_s[it.name] = CombineUse(it.name).requests_per_s;
    view.closing_ms[it.name] = EvictionCost(it.name);
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
    view.is_from_store = is_loading_from_store_;
    const DurationMs total_ms = is_unloading_ ? kUnloadEstimateMs : EstimateLoadMs(changing_model_);
    view.remaining_ms =
        std::max<DurationMs>(kConflictBackoffMs, total_ms - (now - changing_since_));
  }
  for (const auto& it : CombineDemands()) {
    const bool is_queued = it.waiting > 0 && FindLoaded(it.ref.model) == nullptr &&
                           it.ref.model != changing_model_ && !Contains(view.queue, it.ref.model);
    if (is_queued) view.queue.push_back(it.ref.model);
  }
  view.at_hand = report_.on_disk;
  for (const auto& it : report_.in_memory) {
    if (!Contains(view.at_hand, it)) view.at_hand.push_back(it);
  }
  view.wants_per_s = new_waits_per_s_ * std::exp(-static_cast<double>(now - new_waits_updated_at_) /
                                                 kNewWaitRateWindowMs);
  view.running = report_.running;
  view.waiting = report_.waiting;
  view.kv_share = report_.kv_cache_usage;
  view.entries = std::max<int>(1, static_cast<int>(demands_.size()));
  if (!is_changing) view.store_want = blocked_store_load_;
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

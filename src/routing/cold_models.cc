// Models that no upstream has loaded: which agent is asked to load them, the estimated
// load time, and the demand reported to agents.
#include <algorithm>
#include <cmath>

#include "overdue_loads.h"
#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// Time for the unload before a load, and for the reports of both.
constexpr DurationMs kSwapOverheadMs = 150;
// An adapter loads within milliseconds once its base model is loaded.
constexpr DurationMs kAdapterLoadMs = 30;
// A model stays with the agent already asked unless another is this much faster, so that requests
// for one model do not start two loads. A second load from the weight store slows all others.
constexpr DurationMs kKeepStoreLoadMs = 1500;
// Shorter for models on disk: with 1,500 ms, requests stayed in the queue of an engine that was
// swapping other models while another engine with a copy was free.
constexpr DurationMs kKeepDiskLoadMs = 800;
// An agent that was overdue is avoided for this long.
constexpr DurationMs kOverdueAvoidMs = 5000;
// Added to the estimate of an overdue agent: more than a load from the weight store takes at
// another agent.
constexpr DurationMs kOverdueCostMs = 10000;
// Waiting requests retry the choice four times a second; after this long without a retry
// the load request is considered abandoned.
constexpr DurationMs kLoadRequestExpiryMs = 1000;

// Whether the engine has the model loaded, or will once the current order is done. In
// either case no other model is evicted or delayed for it.
bool IsLoadedOrLoading(const EngineView& view, const std::string& model) {
  return HoldsModel(view.loaded, model) || view.loading == model;
}

// Identifies a load by its model, the software version and the allowed regions: requests that may
// run at different engines wait for different loads.
std::string LoadKey(const PickRequest& request) {
  std::string key = request.model->ToString();
  if (request.software_version) key += '#' + *request.software_version;
  if (!request.allowed_regions) return key;
  for (const auto& it : *request.allowed_regions) key += '@' + it;
  return key;
}

std::string_view SourceOf(const EngineView& view, const ModelRef& model) {
  if (HoldsModel(view.loaded, model.model)) return "adapter";
  if (view.loading == model.model) return "under_load";
  return Contains(view.cached_models, model.model) ? "disk" : "store";
}

}  // namespace

const ModelSpec* UpstreamTable::FindModelSpec(const Row& row, std::string_view model) const {
  const auto it = services_.find(row.record.service);
  if (it == services_.end() || !it->second.engine) return nullptr;
  return it->second.engine->Find(model);
}

DurationMs UpstreamTable::EstimateLoad(const Row& row, const ModelRef& model, const StoreUse& store,
                                       TimeMs now) const {
  const ModelSpec* spec = FindModelSpec(row, model.model);
  if (spec == nullptr) return RoutingTimes::kViewMaxAgeMs;
  const EngineView& view = row.view;
  const DurationMs since_view = now - row.view_at;
  const DurationMs busy =
      view.loading.empty() ? 0 : std::max<DurationMs>(100, view.load_remaining_ms - since_view);
  // Engines do not load adapters while an order for a model is in progress.
  if (HoldsModel(view.loaded, model.model)) return busy + kAdapterLoadMs;
  if (view.loading == model.model) return busy;
  const auto cost = [&](const std::string& name) {
    const ModelSpec* it = FindModelSpec(row, name);
    if (it == nullptr) return DurationMs{0};
    if (Contains(view.cached_models, name)) return it->disk_load_ms + kSwapOverheadMs;
    // Loads beyond the store's parallel capacity wait for their turn.
    const int ahead = store.active_loads + store.waiting_loads;
    const double slowdown = std::max(1.0, (ahead + 1.0) / options_.parallel_store_loads);
    return static_cast<DurationMs>(static_cast<double>(it->store_load_ms) * slowdown) +
           kSwapOverheadMs;
  };
  DurationMs estimate = busy;
  for (const auto& it : view.queue) {
    if (it == model.model) break;
    estimate += cost(it);
  }
  return estimate + cost(model.model);
}

// The total time, in milliseconds, that callers of other models lose when the engine
// evicts models for this one: the cheapest loaded models are evicted until this model
// and those queued before it fit. 0 if the agent reports no costs.
double UpstreamTable::EvictionCost(const Row& row, const ModelRef& model) const {
  const EngineView& view = row.view;
  if (IsLoadedOrLoading(view, model.model)) return 0;
  const auto size = [&](const std::string& name) {
    const ModelSpec* spec = FindModelSpec(row, name);
    return spec == nullptr ? 0.0 : spec->size_mb;
  };
  double missing_mb = size(model.model) + size(view.loading);
  for (const auto& it : view.queue) {
    if (it == model.model) break;
    missing_mb += size(it);
  }
  const auto service = services_.find(row.record.service);
  if (service != services_.end() && service->second.engine) {
    missing_mb -= service->second.engine->accelerator_mb;
  }
  std::vector<std::pair<double, double>> evictable;  // Cost and size.
  for (const auto& it : view.loaded) {
    const ModelSpec* spec = FindModelSpec(row, it.name);
    if (spec == nullptr) continue;
    missing_mb += spec->size_mb + spec->adapter_mb * static_cast<double>(it.adapters.size());
    const auto cost = view.eviction_cost_ms.find(it.name);
    evictable.emplace_back(cost == view.eviction_cost_ms.end() ? 0 : cost->second, spec->size_mb);
  }
  std::sort(evictable.begin(), evictable.end());
  double total = 0;
  for (const auto& [cost, mb] : evictable) {
    if (missing_mb <= 0) break;
    total += cost;
    missing_mb -= mb;
  }
  return total;
}

// The total time, in milliseconds, that callers of other models wait because the engine
// executes one order at a time. During the load, requests for further models start to wait
// there; each of these models waits half of the load time on average.
double UpstreamTable::BlockingCost(const Row& row, const ModelRef& model) const {
  if (!options_.policy.weighs_occupation) return 0;
  const EngineView& view = row.view;
  if (IsLoadedOrLoading(view, model.model)) return 0;
  const ModelSpec* spec = FindModelSpec(row, model.model);
  if (spec == nullptr) return 0;
  const auto load = static_cast<double>(
      Contains(view.cached_models, model.model) ? spec->disk_load_ms : spec->store_load_ms);
  return view.model_waits_per_s / 1000 * load * load / 2;
}

double UpstreamTable::CostToOthers(const Row& row, const ModelRef& model) const {
  return EvictionCost(row, model) + BlockingCost(row, model);
}

// The instance whose agent has a pending load request for the model; empty if none. If that agent
// is overdue, records this so that other agents are preferred for a while.
std::string UpstreamTable::PendingLoadInstance(const PickRequest& request, TimeMs now) {
  const auto asked = load_requests_.find(LoadKey(request));
  if (asked == load_requests_.end() || now - asked->second.last_waited_at > kLoadRequestExpiryMs)
    return {};
  const auto row = rows_.find(asked->second.instance);
  const bool is_at_work = row != rows_.end() && IsFresh(row->second, now);
  const DurationMs margin =
      is_at_work ? internal::WorkMargin(row->second.view, request.model->model) : DurationMs{0};
  if (now < asked->second.overdue_at + margin) return asked->second.instance;
  if (row != rows_.end() && options_.policy.avoids_late_agents) {
    row->second.load_overdue_until[*request.model] = now + kOverdueAvoidMs;
  }
  return {};
}

void UpstreamTable::RecordLoadRequest(const PickRequest& request, const std::string& instance,
                                      DurationMs estimate, bool is_pending, TimeMs now) {
  LoadRequest& asked = load_requests_[LoadKey(request)];
  if (!is_pending)
    asked = LoadRequest{instance, now + estimate + internal::OverdueMargin(estimate), now};
  asked.last_waited_at = now;
}

PickResult UpstreamTable::ChooseLoadTarget(const PickRequest& request,
                                           const std::vector<Row*>& usable,
                                           const std::optional<WaitFor>& reopening, TimeMs now) {
  Row* best = nullptr;
  DurationMs best_ms = 0;
  std::uint64_t best_score = 0;
  const std::string key = request.model->ToString();
  const std::string asked = PendingLoadInstance(request, now);
  const bool wants_adapter = !request.model->adapter.empty();
  const StoreUse store = CurrentStoreUse(now);
  const bool has_regions = options_.topology.HasRegions();
  for (Row* row : usable) {
    if (!IsJudgeable(*row, now)) continue;
    DurationMs estimate = EstimateLoad(*row, *request.model, store, now);
    if (row->record.instance == asked) {
      // The cost to others was considered when the agent was asked, and by now includes
      // the wait for this model.
      estimate -= Contains(row->view.cached_models, request.model->model) ? kKeepDiskLoadMs
                                                                          : kKeepStoreLoadMs;
    } else if (best == nullptr || estimate <= best_ms) {
      // The agent evicts a model once the waiting callers have lost as much time as the
      // eviction would cost the callers of that model: the cost to others is therefore also
      // a delay.
      estimate += static_cast<DurationMs>(CostToOthers(*row, *request.model));
    }
    const auto overdue = row->load_overdue_until.find(*request.model);
    if (overdue != row->load_overdue_until.end() && overdue->second > now)
      estimate += kOverdueCostMs;
    // Adapters are spread by rendezvous hashing over upstreams with the base model loaded.
    if (wants_adapter && estimate <= kAdapterLoadMs) estimate = 0;
    // Rounded to milliseconds, so that engines in one hall, and mostly those in different halls of
    // a region, remain equal and all entries choose the same one.
    if (has_regions)
      estimate += std::llround(options_.topology.RoundTripTo(row->record.data_hall, now).ms);
    const std::uint64_t score = RendezvousScore(key, row->record.instance);
    const bool is_better =
        best == nullptr || estimate < best_ms || (estimate == best_ms && score > best_score);
    if (!is_better) continue;
    best = row;
    best_ms = estimate;
    best_score = score;
  }
  if (best == nullptr && reopening) return *reopening;
  if (best == nullptr) return WaitFor{{}, 0, {}, 0};
  const DurationMs estimate = EstimateLoad(*best, *request.model, store, now);
  if (reopening && reopening->estimate_ms <= estimate) return *reopening;
  Observe(best, now);
  RecordLoadRequest(request, best->record.instance, estimate, best->record.instance == asked, now);
  return WaitFor{best->record.instance, estimate, SourceOf(best->view, *request.model),
                 CostToOthers(*best, *request.model)};
}

void UpstreamTable::AddModelUse(AgentDemand* demand, const Row& row, TimeMs now) const {
  const auto& loaded = IsFresh(row, now) ? row.view.loaded : row.record.loaded;
  for (const auto& it : loaded) {
    ModelUse use;
    use.model = it.name;
    for (const auto& [ref, n] : row.in_flight_by_model) {
      if (ref.model != it.name) continue;
      use.in_flight += n;
      if (!ref.adapter.empty()) use.adapters_in_use.push_back(ref.adapter);
    }
    const AllowedRegions allowed = RegionsOf(it.name);
    use.replicas = CountReplicasOf(it.name, allowed, now);
    // Requests that may not run at this engine are no use of the model here.
    if (IsRegionAllowed(row, allowed))
      use.requests_per_s = ReportedRate(it.name, use.replicas, now);
    use.region_replicas = CountRegionReplicas(row, it.name, now);
    const auto rate = rates_.find(it.name);
    use.idle_ms = rate == rates_.end() ? -1 : now - rate->second.last_request;
    if (rate != rates_.end()) {
      use.target_ms = rate->second.target_ms;
      use.priority = rate->second.priority;
    }
    demand->use.push_back(std::move(use));
  }
}

ModelDemand UpstreamTable::ToModelDemand(const WaitingRequests& waiting, TimeMs now) const {
  ModelDemand wanted{waiting.ref, waiting.count, waiting.priority, now - waiting.since};
  wanted.late = waiting.late;
  wanted.slack_ms = waiting.next_late_at - now;
  wanted.requests_per_s = RequestRate(waiting.ref.model, now);
  return wanted;
}

std::vector<ModelDemand> UpstreamTable::ModelDemandsFor(const std::string& instance,
                                                        const std::vector<WaitingRequests>& waiting,
                                                        TimeMs now) const {
  std::vector<ModelDemand> wanted;
  for (const auto& it : waiting) {
    if (it.asked_instance == instance) wanted.push_back(ToModelDemand(it, now));
  }
  return wanted;
}

std::map<std::string, AgentDemand> UpstreamTable::BuildDemands(
    const std::vector<WaitingRequests>& waiting, TimeMs now) {
  std::map<std::string, AgentDemand> demands;
  for (const auto& [instance, row] : rows_) {
    if (!IsObserved(row, now)) continue;
    const auto service = services_.find(row.record.service);
    if (service == services_.end() || !service->second.engine) continue;
    if (!IsPresent(row, row.record.service)) continue;
    AgentDemand& demand = demands[instance];
    demand.instance = instance;
    // A planner that is cut off from another region cannot grant loads there. Agents need the grant
    // of at least half of the planners, so those that still receive its demand must not count it as
    // one.
    const bool is_other_region =
        options_.topology.DistanceTo(row.record.data_hall) == Distance::kOtherRegion;
    demand.is_planner = is_planner() && (!is_other_region || IsFresh(row, now));
    AddModelUse(&demand, row, now);
  }
  for (const auto& it : waiting) {
    const auto demand = demands.find(it.asked_instance);
    if (demand != demands.end()) demand->second.wanted.push_back(ToModelDemand(it, now));
  }
  if (options_.policy.adds_replicas) AddReplicas(&demands, now);
  if (!is_planner()) return demands;
  if (options_.policy.stages || options_.policy.spares) AddPreloads(&demands, now);
  if (options_.policy.shares_store) ShareWeightStore(&demands, now);
  return demands;
}

}  // namespace junctionrail

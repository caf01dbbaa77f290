// The weight store: which agents may load from it, and which models are loaded or staged
// on disk ahead of demand.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// Lower weights count as this, which is practically zero: the weight of one caller an hour
// whose priority is six levels below the highest.
constexpr double kMinWeight = 1e-9;
// The probability that an engine leaves before its models could be loaded elsewhere: the
// number of departures in this window divided by the number of engines, within these
// bounds. It is never zero, as an engine may always leave.
constexpr DurationMs kDepartureWindowMs = 10000;
constexpr double kMinDepartureProbability = 0.1;
constexpr double kMaxDepartureProbability = 0.5;
// From this rate of requests that would find no copy, a load is worth its cost: a load
// from the store costs as much as a late answer, and the copy lasts for minutes.
constexpr double kMinAtRiskPerS = 0.05;
// What one request adds to a rate, which is averaged over five seconds.
constexpr double kOneRequestPerS = 0.2;
// One caller counts as much as eight callers of the next lower priority, which is 2 to the
// power of this.
constexpr double kDoublingsPerPriority = 3;

double SmallestMb(const ModelCatalog& models) {
  const auto smallest = std::min_element(
      models.begin(), models.end(),
      [](const ModelSpec& a, const ModelSpec& b) { return a.size_mb < b.size_mb; });
  return smallest == models.end() ? 0 : smallest->size_mb;
}

}  // namespace

UpstreamTable::StoreUse UpstreamTable::CurrentStoreUse(TimeMs now) const {
  StoreUse use;
  for (const auto& [instance, row] : rows_) {
    if (!IsFresh(row, now)) continue;
    if (!row.view.loading.empty() && row.view.is_loading_from_store) ++use.active_loads;
    const auto& want = row.view.store_load_request;
    if (want && want->has_waiting_requests) ++use.waiting_loads;
  }
  return use;
}

// When more loads run than the weight store serves at full speed, all of them finish
// later and block their engines from other orders until then. The free places therefore
// go to the agents that ask, by the weight of the load and then by how long the agent
// has asked. All entries see the same views and mostly choose the same agents; one load
// too many only costs speed.
void UpstreamTable::ShareWeightStore(std::map<std::string, AgentDemand>* demands,
                                     TimeMs now) const {
  using Rank = std::tuple<int, DurationMs, std::string>;
  std::vector<Rank> asking;
  for (const auto& [instance, row] : rows_) {
    const auto& want = row.view.store_load_request;
    if (!IsFresh(row, now) || !want) continue;
    // Weights are rounded to whole priority levels: they change with each request, and if
    // the order of agents changed with them, two agents would use one place.
    const double ranks =
        std::log2(std::max(want->weight, kMinWeight) / kOneRequestPerS) / kDoublingsPerPriority;
    const int weight = static_cast<int>(std::lround(ranks));
    asking.emplace_back(-weight, -(want->age_ms + now - row.view_at), instance);
  }
  std::sort(asking.begin(), asking.end());
  const int free = std::max(0, options_.parallel_store_loads - CurrentStoreUse(now).active_loads);
  if (asking.size() > static_cast<std::size_t>(free)) asking.resize(free);
  for (auto& [instance, demand] : *demands) demand.may_load_from_store = false;
  for (const auto& [weight, age, instance] : asking) {
    const auto demand = demands->find(instance);
    if (demand != demands->end()) demand->second.may_load_from_store = true;
  }
}

// State of a service's engines that staging needs.
struct UpstreamTable::StagingSurvey {
  std::string_view service;
  // Models on any engine, now or soon; the names point into the rows.
  std::unordered_set<std::string_view> available_models;
  std::vector<const Row*> idle;  // Engines without loads in progress or queued.
  int engines = 0;
  int fresh = 0;  // Engines with a fresh view.
};

UpstreamTable::StagingSurvey UpstreamTable::SurveyForStaging(std::string_view service,
                                                             TimeMs now) const {
  StagingSurvey survey;
  survey.service = service;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now)) continue;
    ++survey.engines;
    if (!IsFresh(row, now)) continue;
    ++survey.fresh;
    const EngineView& view = row.view;
    survey.available_models.insert(view.cached_models.begin(), view.cached_models.end());
    for (const auto& it : view.loaded) survey.available_models.insert(it.name);
    survey.available_models.insert(view.loading);
    survey.available_models.insert(view.queue.begin(), view.queue.end());
    if (view.loading.empty() && view.queue.empty()) survey.idle.push_back(&row);
  }
  return survey;
}

// Accelerator memory of the engine that is not in use.
double UpstreamTable::FreeMb(const Row& row) const {
  const auto service = services_.find(row.record.service);
  if (service == services_.end() || !service->second.engine) return 0;
  double free_mb = service->second.engine->accelerator_mb;
  for (const auto& it : row.view.loaded) {
    const ModelSpec* spec = FindModelSpec(row, it.name);
    if (spec == nullptr) continue;
    free_mb -= spec->size_mb + spec->adapter_mb * static_cast<double>(it.adapters.size());
  }
  return free_mb;
}

// Number of engines that have the model loaded or on disk, or will soon.
int UpstreamTable::CountCopies(std::string_view service, std::string_view model,
                               const AllowedRegions& allowed, TimeMs now) const {
  int copies = 0;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    if (!IsRegionAllowed(row, allowed)) continue;
    const EngineView& view = row.view;
    const bool is_there = HoldsModel(view.loaded, model) || view.loading == model ||
                          Contains(view.cached_models, model) || Contains(view.queue, model);
    copies += is_there ? 1 : 0;
  }
  return copies;
}

// Asks idle engines with free memory to load requested models that would have no nearby
// copy if the engines that have them left. When all engines of a service are replaced one
// by one, the new engines and the weight store would otherwise stay idle until the last
// old engines leave. With nine engines replaced within 14 s, 3.2% of requests were refused
// with spare copies and 8.4% without (four days each).
void UpstreamTable::AddSpareCopies(std::string_view service, const StagingSurvey& survey,
                                   std::map<std::string, AgentDemand>* demands, TimeMs now) const {
  const double smallest_mb = SmallestMb(services_.at(std::string(service)).engine->models);
  std::vector<const Row*> with_room;
  std::copy_if(survey.idle.begin(), survey.idle.end(), std::back_inserter(with_room),
               [&](const Row* it) { return FreeMb(*it) >= smallest_mb; });
  if (with_room.empty()) return;
  const double chance = DepartureProbability(service, survey.engines, now);
  std::vector<std::tuple<double, std::uint64_t, std::string_view>> spares;
  for (const auto& [model, per_s] : FleetRates(service, now)) {
    if (per_s < kMinAtRiskPerS) continue;
    const AllowedRegions allowed = RegionsOf(std::string(model));
    const double at_risk = per_s * std::pow(chance, CountCopies(service, model, allowed, now));
    if (at_risk < kMinAtRiskPerS) continue;
    spares.emplace_back(-at_risk, RendezvousScore(model, "spare"), model);
  }
  std::sort(spares.begin(), spares.end());
  for (const auto& [at_risk, score, model] : spares) {
    const auto has_room = [&, name = model,
                           allowed = RegionsOf(std::string(model))](const Row* row) {
      const ModelSpec* spec = FindModelSpec(*row, name);
      return spec != nullptr && IsRegionAllowed(*row, allowed) && FreeMb(*row) >= spec->size_mb &&
             !HoldsModel(row->view.loaded, name);
    };
    const auto target = std::find_if(with_room.begin(), with_room.end(), has_room);
    if (target == with_room.end()) continue;
    const auto demand = demands->find((*target)->record.instance);
    with_room.erase(target);
    if (demand == demands->end()) continue;
    ModelDemand wanted;
    wanted.ref.model = std::string(model);
    const auto rate = rates_.find(wanted.ref.model);
    if (rate != rates_.end()) wanted.priority = rate->second.priority;
    wanted.at_risk_requests_per_s = -at_risk;
    demand->second.wanted.push_back(std::move(wanted));
  }
}

double UpstreamTable::DepartureProbability(std::string_view service, int engines,
                                           TimeMs now) const {
  const auto left = departures_.find(std::string(service));
  if (left == departures_.end() || engines == 0) return kMinDepartureProbability;
  const auto n = std::count_if(left->second.begin(), left->second.end(),
                               [&](TimeMs at) { return now - at < kDepartureWindowMs; });
  return std::clamp(static_cast<double>(n) / engines, kMinDepartureProbability,
                    kMaxDepartureProbability);
}

// Adds loads ahead of requests: spare copies and staging.
void UpstreamTable::AddPreloads(std::map<std::string, AgentDemand>* demands, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    const StagingSurvey survey = SurveyForStaging(name, now);
    // With too many views missing, a model that seems absent may be present.
    if (survey.fresh * 4 < survey.engines * 3) continue;
    if (options_.policy.spares) AddSpareCopies(name, survey, demands, now);
    if (options_.policy.stages) AddStaging(*service.engine, survey, demands, now);
  }
}

// Assigns models that no engine has to idle engines for staging. Entries that see the
// same views assign the same ones.
void UpstreamTable::AddStaging(const EngineSpec& spec, const StagingSurvey& survey,
                               std::map<std::string, AgentDemand>* demands, TimeMs now) const {
  std::vector<std::pair<std::uint64_t, std::string>> missing;
  for (const auto& it : spec.models) {
    const AllowedRegions allowed = RegionsOf(it.name);
    const bool is_available = allowed ? CountCopies(survey.service, it.name, allowed, now) > 0
                                      : survey.available_models.count(it.name) > 0;
    if (is_available) continue;
    missing.emplace_back(RendezvousScore(it.name, "stage"), it.name);
  }
  std::sort(missing.begin(), missing.end());
  int free_loads = options_.parallel_store_loads - CurrentStoreUse(now).active_loads;
  std::vector<const Row*> idle = survey.idle;
  for (const auto& [score, model] : missing) {
    if (free_loads <= 0 || idle.empty()) break;
    const AllowedRegions allowed = RegionsOf(model);
    // Moves engines in the allowed regions to the front, without changing their order.
    const auto end = std::stable_partition(
        idle.begin(), idle.end(), [&](const Row* row) { return IsRegionAllowed(*row, allowed); });
    if (end == idle.begin()) continue;
    --free_loads;
    // The engine with the fewest cached models, then by rendezvous hashing.
    const std::string_view wanted = model;
    const auto rank = [wanted](const Row* row) {
      return std::make_pair(row->view.cached_models.size(),
                            ~RendezvousScore(wanted, row->record.instance));
    };
    const auto best = std::min_element(
        idle.begin(), end, [&](const Row* a, const Row* b) { return rank(a) < rank(b); });
    const auto demand = demands->find((*best)->record.instance);
    if (demand != demands->end()) demand->second.stage.push_back(model);
    idle.erase(best);
  }
}

}  // namespace junctionrail

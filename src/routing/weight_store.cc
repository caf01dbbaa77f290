// The weight store: who may load from it now, and what is staged onto disks
// ahead of demand.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "routing_impl.h"

namespace junctionrail {

using internal::HoldsModel;

namespace {

// Below it a want is as good as none: one caller in an hour, six ranks down.
constexpr double kMinWeight = 1e-9;
// The chance that an engine leaves before what it holds could be brought elsewhere: as
// many as left in the last seconds, of those that there are. Some always may.
constexpr DurationMs kDepartureWindowMs = 10000;
constexpr double kMinDepartureProbability = 0.1;
constexpr double kMaxDepartureProbability = 0.5;
// From so many requests a second on that would find no copy, a load is worth its price: a
// load from the store costs as much as a late answer, and its copy lasts for minutes.
constexpr double kMinAtRiskPerS = 0.05;
// What one request adds to a rate, which is an average over five seconds.
constexpr double kOneRequestPerS = 0.2;
// A caller of one rank counts as eight of the next below: three doublings.
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

// More loads at once than the weight store serves at full speed end later all
// together, and each keeps its engine from other orders until then. So the free
// places go to the agents that ask: by the weight of who wants the load, then to
// the one that has asked longest. All entries see the same views and mostly name the
// same agents; one load too many only costs speed.
void UpstreamTable::ShareWeightStore(std::map<std::string, AgentDemand>* demands,
                                     TimeMs now) const {
  using Rank = std::tuple<int, DurationMs, std::string>;
  std::vector<Rank> asking;
  for (const auto& [instance, row] : rows_) {
    const auto& want = row.view.store_load_request;
    if (!IsFresh(row, now) || !want) continue;
    // Weights within a rank of each other count alike: they move with each request, and a
    // place that moves with them is taken by two agents.
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

// What staging must know of a service's engines.
struct UpstreamTable::StagingSurvey {
  // Models that are somewhere, or soon will be; names in the rows.
  std::unordered_set<std::string_view> available_models;
  std::vector<const Row*> idle;  // Engines with nothing to load.
  int engines = 0;
  int fresh = 0;  // Engines whose view is.
};

UpstreamTable::StagingSurvey UpstreamTable::SurveyForStaging(std::string_view service,
                                                             TimeMs now) const {
  StagingSurvey survey;
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

// Memory of the engine that holds no model.
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

// On how many engines the model is, or soon will be.
int UpstreamTable::CountCopies(std::string_view service, std::string_view model, TimeMs now) const {
  int copies = 0;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    const EngineView& view = row.view;
    const bool is_there = HoldsModel(view.loaded, model) || view.loading == model ||
                          Contains(view.cached_models, model) || Contains(view.queue, model);
    copies += is_there ? 1 : 0;
  }
  return copies;
}

// Asks engines with room, of which nothing else is asked, for models that requests come
// for and that would be far away if the engines that have them left. While all engines of
// a service are replaced one by one the fresh ones stand idle, and so does the weight
// store, until the last old ones go: with nine engines replaced in 14 s, 3.2 in 100 requests were
// refused with this and 8.4 without (four days each).
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
    const double at_risk = per_s * std::pow(chance, CountCopies(service, model, now));
    if (at_risk < kMinAtRiskPerS) continue;
    spares.emplace_back(-at_risk, RendezvousScore(model, "spare"), model);
  }
  std::sort(spares.begin(), spares.end());
  for (const auto& [at_risk, score, model] : spares) {
    const auto has_room = [&, name = model](const Row* row) {
      const ModelSpec* spec = FindModelSpec(*row, name);
      return spec != nullptr && FreeMb(*row) >= spec->size_mb &&
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

// What is loaded ahead of requests.
void UpstreamTable::AddPreloads(std::map<std::string, AgentDemand>* demands, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    const StagingSurvey survey = SurveyForStaging(name, now);
    // With views missing, what seems to be nowhere may be there.
    if (survey.fresh * 4 < survey.engines * 3) continue;
    if (options_.policy.spares) AddSpareCopies(name, survey, demands, now);
    if (options_.policy.stages) AddStaging(*service.engine, survey, demands, now);
  }
}

// Names, for engines with nothing to do, models that are at hand nowhere. All
// entries that see the same views name the same ones.
void UpstreamTable::AddStaging(const EngineSpec& spec, const StagingSurvey& survey,
                               std::map<std::string, AgentDemand>* demands, TimeMs now) const {
  std::vector<std::pair<std::uint64_t, std::string>> missing;
  for (const auto& it : spec.models) {
    if (survey.available_models.count(it.name) > 0) continue;
    missing.emplace_back(RendezvousScore(it.name, "stage"), it.name);
  }
  std::sort(missing.begin(), missing.end());
  int free_loads = options_.parallel_store_loads - CurrentStoreUse(now).active_loads;
  std::vector<const Row*> idle = survey.idle;
  for (const auto& [score, model] : missing) {
    if (free_loads-- <= 0 || idle.empty()) break;
    // The emptiest disk, then by rendezvous.
    const std::string_view wanted = model;
    const auto rank = [wanted](const Row* row) {
      return std::make_pair(row->view.cached_models.size(),
                            ~RendezvousScore(wanted, row->record.instance));
    };
    const auto best = std::min_element(
        idle.begin(), idle.end(), [&](const Row* a, const Row* b) { return rank(a) < rank(b); });
    const auto demand = demands->find((*best)->record.instance);
    if (demand != demands->end()) demand->second.stage.push_back(model);
    idle.erase(best);
  }
}

}  // namespace junctionrail

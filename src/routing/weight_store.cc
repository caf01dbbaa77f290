// The weight store: who may load from it now, and what is staged onto disks
// ahead of demand.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "routing_impl.h"

namespace junctionrail {
namespace {

// Below it a want is as good as none: one caller in an hour, six ranks down.
constexpr double kLeastWeight = 1e-9;
// What one request adds to a rate, which is an average over five seconds.
constexpr double kOneCallerPerS = 0.2;
// A caller of one rank counts as eight of the next below: three doublings.
constexpr double kRankOctaves = 3;

}  // namespace

UpstreamTable::StoreUse UpstreamTable::StoreUseNow(TimeMs now) const {
  StoreUse use;
  for (const auto& [instance, row] : rows_) {
    if (!IsFresh(row, now)) continue;
    if (!row.view.loading.empty() && row.view.is_from_store) ++use.loads;
    const auto& want = row.view.store_want;
    if (want && want->is_waited_for) ++use.wants;
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
    const auto& want = row.view.store_want;
    if (!IsFresh(row, now) || !want) continue;
    // Weights within a rank of each other count alike: they move with each request, and a
    // place that moves with them is taken by two agents.
    const double ranks =
        std::log2(std::max(want->weight, kLeastWeight) / kOneCallerPerS) / kRankOctaves;
    const int weight = static_cast<int>(std::lround(ranks));
    asking.emplace_back(-weight, -(want->age_ms + now - row.view_at), instance);
  }
  std::sort(asking.begin(), asking.end());
  const int free = std::max(0, options_.parallel_store_loads - StoreUseNow(now).loads);
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
  std::unordered_set<std::string_view> at_hand;
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
    survey.at_hand.insert(view.at_hand.begin(), view.at_hand.end());
    for (const auto& it : view.loaded) survey.at_hand.insert(it.name);
    survey.at_hand.insert(view.loading);
    survey.at_hand.insert(view.queue.begin(), view.queue.end());
    if (view.loading.empty() && view.queue.empty()) survey.idle.push_back(&row);
  }
  return survey;
}

// Names, for engines with nothing to do, models that are at hand nowhere. All
// entries that see the same views name the same ones.
void UpstreamTable::AddStaging(std::map<std::string, AgentDemand>* demands, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    StagingSurvey survey = SurveyForStaging(name, now);
    // With views missing, what seems to be nowhere may be there.
    if (survey.fresh * 4 < survey.engines * 3) continue;
    std::vector<std::pair<std::uint64_t, std::string>> missing;
    for (const auto& it : service.engine->models) {
      if (survey.at_hand.count(it.name) > 0) continue;
      missing.emplace_back(RendezvousScore(it.name, "stage"), it.name);
    }
    std::sort(missing.begin(), missing.end());
    int free_loads = options_.parallel_store_loads - StoreUseNow(now).loads;
    for (const auto& [score, model] : missing) {
      if (free_loads-- <= 0 || survey.idle.empty()) break;
      // The emptiest disk, then by rendezvous.
      const std::string_view wanted = model;
      const auto rank = [wanted](const Row* row) {
        return std::make_pair(row->view.at_hand.size(),
                              ~RendezvousScore(wanted, row->record.instance));
      };
      const auto best =
          std::min_element(survey.idle.begin(), survey.idle.end(),
                           [&](const Row* a, const Row* b) { return rank(a) < rank(b); });
      const auto demand = demands->find((*best)->record.instance);
      if (demand != demands->end()) demand->second.stage.push_back(model);
      survey.idle.erase(best);
    }
  }
}

}  // namespace junctionrail

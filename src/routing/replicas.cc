// Further replicas of busy models.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "routing_impl.h"

namespace junctionrail {

using internal::Contains;
using internal::HoldsModel;

namespace {

// Requests of one model that an upstream serves at once without its pauses
// growing noticeably; more make another replica worth its memory.
constexpr double kInFlightPerReplica = 20;
// A request holds its place for about two seconds on the sheets.
constexpr double kServiceS = 2.0;
// From this many requests a second on, a model keeps a second replica, so that
// the loss of one upstream interrupts no stream of new requests.
constexpr double kSecondReplicaPerS = 1.5;

}  // namespace

std::map<std::string, int> UpstreamTable::CountReplicas(TimeMs now) const {
  std::map<std::string, int> replicas;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, row.record.service, now)) continue;
    const auto& loaded = IsFresh(row, now) ? row.view.loaded : row.record.loaded;
    for (const auto& it : loaded) {
      if (Holds(row, ModelRef{it.name, {}}, now)) ++replicas[it.name];
    }
  }
  return replicas;
}

// Each entry tells every agent that holds a model how many requests for it come
// here, so each of those agents knows the sum. One entry's own requests say too
// little: with 28 entries a single one would look like six a second.
std::map<std::string, double> UpstreamTable::FleetRates(std::string_view service,
                                                        TimeMs now) const {
  std::map<std::string, double> rates;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    for (const auto& [model, per_s] : row.view.per_s) {
      rates[model] = std::max(rates[model], per_s);
    }
  }
  return rates;
}

// A busy model gets as many replicas as its requests need, and one to spare.
void UpstreamTable::AddReplicas(std::map<std::string, AgentDemand>* demands,
                                const std::map<std::string, int>& replicas, TimeMs now) {
  for (const auto& [name, service] : services_) {
    if (!service.engine) continue;
    int engines = 0;
    for (const auto& [instance, row] : rows_) engines += IsUsable(row, name, now) ? 1 : 0;
    for (const auto& [model, per_s] : FleetRates(name, now)) {
      if (per_s < kSecondReplicaPerS || service.engine->Find(model) == nullptr) continue;
      const auto rate = rates_.find(model);
      if (rate == rates_.end()) continue;  // Entries that see its requests ask.
      const int needed = 1 + static_cast<int>(std::ceil(per_s * kServiceS / kInFlightPerReplica));
      const int wanted = std::min(needed, std::max(1, engines / 2));
      const auto count = replicas.find(model);
      const int have = count == replicas.end() ? 0 : count->second;
      // With none at all the requests that wait for it bring the first.
      if (have == 0 || have + ComingReplicas(name, model, now) >= wanted) continue;
      const Row* place = PlaceForReplica(name, model, now);
      const auto demand = place == nullptr ? demands->end() : demands->find(place->record.instance);
      if (demand == demands->end()) continue;
      demand->second.wanted.push_back(
          ModelDemand{ModelRef{model, {}}, 0, rate->second.priority, 0, per_s / have});
    }
  }
}

int UpstreamTable::ComingReplicas(std::string_view service, const std::string& model,
                                  TimeMs now) const {
  int n = 0;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    if (row.view.loading == model || Contains(row.view.queue, model)) ++n;
  }
  return n;
}

// Where the weights are at hand, then where no order is under way, then by
// rendezvous; the same for all entries.
const UpstreamTable::Row* UpstreamTable::PlaceForReplica(std::string_view service,
                                                         const std::string& model,
                                                         TimeMs now) const {
  const Row* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> best_rank;
  for (const auto& [instance, row] : rows_) {
    if (!IsUsable(row, service, now) || !IsFresh(row, now)) continue;
    if (HoldsModel(row.view.loaded, model) || row.view.loading == model) continue;
    const std::tuple<bool, bool, std::uint64_t> rank(Contains(row.view.at_hand, model),
                                                     row.view.loading.empty(),
                                                     RendezvousScore(model, instance));
    if (best != nullptr && rank <= best_rank) continue;
    best = &row;
    best_rank = rank;
  }
  return best;
}

}  // namespace junctionrail

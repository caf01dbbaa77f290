// What the place of an upstream means for its requests: regions that are not allowed, data halls
// that are evacuated, and upstreams that are cold.
#include <algorithm>
#include <utility>

#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

// A record written before a data hall was given back may still say that its upstream is warm. Two
// periods cover the next write and a late reading of it.
constexpr int kAssumedColdPeriods = 2;
constexpr double kMsPerS = 1000;

// Cost of sending a request to another data hall, in units of queued requests at an upstream with
// 64 slots: traffic between halls is charged for, while one more request in a batch hardly slows
// it.
constexpr double kOtherDataHallLoad = 10;
// Further cost of another region, in the same unit: traffic between regions costs far more, and
// each request waits for the round trip. At 40 ms the sum is 64, a full batch: half of the requests
// leave the region when all slots there are in use, none while fewer than half of them are.
constexpr double kOtherRegionLoad = 32;
constexpr double kLoadPerRoundTripMs = 0.55;
// The maximum of that cost. With a higher one, near upstreams would queue as many requests as they
// may, half as many as they have slots, while those of other regions are idle.
constexpr double kMaxOtherRegionLoad = 62;
// The part of that cost that applies to upstreams of which only this entry's own requests are
// known: other entries of the region send about as many, so that the real load is several times as
// high. With five entries in each of two halls, each near upstream has 64 requests before those of
// other regions are used.
constexpr double kOwnLoadShare = 1.0 / 40;

// An upstream of which nothing was received for this long does not count as reachable. Views arrive
// twice a second; idle plain upstreams get a request every few seconds.
constexpr DurationMs kReachableMs = 10000;

}  // namespace

double UpstreamTable::DistanceLoad(const Row& row, bool is_load_shared, TimeMs now) const {
  const std::string& hall = row.record.data_hall;
  const Distance distance = options_.topology.DistanceTo(hall);
  if (distance == Distance::kSameHall) return 0;
  if (distance == Distance::kSameRegion) return kOtherDataHallLoad;
  const double round_trip_ms = options_.topology.RoundTripTo(hall, now).ms;
  const double region_load =
      std::min(kOtherRegionLoad + kLoadPerRoundTripMs * round_trip_ms, kMaxOtherRegionLoad);
  return kOtherDataHallLoad + (is_load_shared ? region_load : region_load * kOwnLoadShare);
}

void UpstreamTable::OnConnected(const std::string& instance, double round_trip_ms, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end()) return;
  it->second.received_at = now;
  options_.topology.AddRoundTrip(it->second.record.data_hall, round_trip_ms, now);
}

bool UpstreamTable::IsPlaceAllowed(const Row& row, const PickRequest& request, TimeMs now) const {
  return IsRegionAllowed(row, request.allowed_regions) &&
         !evacuated_halls_.IsClosed(row.record.data_hall, now);
}

bool UpstreamTable::IsRegionAllowed(const Row& row, const AllowedRegions& allowed) const {
  return IsHallAllowed(allowed, options_.topology.regions(), row.record.data_hall);
}

AllowedRegions UpstreamTable::RegionsOf(const std::string& model) const {
  const auto rate = rates_.find(model);
  return rate == rates_.end() ? std::nullopt : rate->second.regions.Union();
}

bool UpstreamTable::MayReceive(const std::string& instance, TimeMs now) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && IsPresent(it->second, it->second.record.service) &&
         !evacuated_halls_.IsClosed(it->second.record.data_hall, now);
}

bool UpstreamTable::IsInRegions(const std::string& instance, const AllowedRegions& allowed) const {
  const auto it = rows_.find(instance);
  return it != rows_.end() && IsRegionAllowed(it->second, allowed);
}

// Says whether the service has upstreams in places where the request may not run.
NoUpstream UpstreamTable::ExplainNone(const PickRequest& request, std::string reason) const {
  bool has_version = false;
  bool has_evacuated = false;
  bool has_other_region = false;
  for (const auto& [instance, row] : rows_) {
    if (!IsPresent(row, request.service) || !IsVersionAllowed(row, request)) continue;
    has_version = true;
    const bool is_allowed = IsRegionAllowed(row, request.allowed_regions);
    has_other_region |= !is_allowed;
    has_evacuated |= is_allowed && IsEvacuated(row);
  }
  if (request.software_version && !has_version) {
    return {"no upstream runs the software version that began the stream", 0, kVersionGone};
  }
  if (has_evacuated) return {"all data halls with upstreams are evacuated", 0, "evacuated"};
  if (has_other_region) return {"no upstream in an allowed region", 0, "no_allowed_region"};
  return {std::move(reason), 0};
}

std::vector<EvacuatedHalls::Change> UpstreamTable::ApplyEvacuations(
    const std::set<std::string>& halls, TimeMs as_of, TimeMs now) {
  auto changes = evacuated_halls_.Apply(halls, as_of, now);
  for (const auto& change : changes) {
    if (change.is_evacuated) continue;
    for (auto& [instance, row] : rows_) {
      if (row.record.data_hall != change.hall) continue;
      row.assumed_cold_until = now + kAssumedColdPeriods * options_.record_period_ms;
      UpdateCold(&row, now);
    }
  }
  return changes;
}

void UpstreamTable::UpdateCold(Row* row, TimeMs now) {
  const auto service = services_.find(row->record.service);
  if (service == services_.end() || service->second.cold_requests_per_s <= 0) return;
  const auto& cold_ms = row->record.cold_ms;
  const TimeMs until = cold_ms ? now + *cold_ms : row->listed_at + service->second.cold_start_ms;
  row->cold_until = std::max(until, row->assumed_cold_until);
  if (row->cold_until > now) limited_.insert(row->record.instance);
}

std::optional<RateLimit> UpstreamTable::CurrentLimit(const Row& row, TimeMs now) const {
  std::optional<RateLimit> limit;
  const auto stated = row.throttle.limit_per_s();
  if (stated) limit = RateLimit{*stated};
  const auto service = services_.find(row.record.service);
  if (row.cold_until <= now || service == services_.end()) return limit;
  const double cold_per_s = service->second.cold_requests_per_s;
  if (cold_per_s <= 0 || (limit && limit->per_s <= cold_per_s)) return limit;
  return ColdLimit(cold_per_s);
}

bool UpstreamTable::OnLimitNotice(const std::string& instance, std::optional<double> per_s,
                                  TimeMs sent_at, TimeMs now) {
  const auto it = rows_.find(instance);
  if (it == rows_.end() || !it->second.throttle.OnLimit(per_s, sent_at, now)) return false;
  limited_.insert(instance);
  return true;
}

std::optional<RateLimit> UpstreamTable::LimitOf(const std::string& instance) const {
  const auto it = rows_.find(instance);
  return it == rows_.end() ? std::nullopt : it->second.limit;
}

std::vector<UpstreamTable::LimitChange> UpstreamTable::UpdateLimits(TimeMs now) {
  std::vector<LimitChange> changes;
  for (auto it = limited_.begin(); it != limited_.end();) {
    const auto found = rows_.find(*it);
    if (found == rows_.end()) {
      it = limited_.erase(it);
      continue;
    }
    Row& row = found->second;
    const auto limit = CurrentLimit(row, now);
    if (limit != row.limit) {
      row.limit = limit;
      row.throttle.OnLimitExhausted(0);
      changes.push_back({*it, limit, row.cold_until > now});
    }
    it = limit ? std::next(it) : limited_.erase(it);
  }
  return changes;
}

int UpstreamTable::CountLimited() const {
  return static_cast<int>(
      std::count_if(limited_.begin(), limited_.end(), [this](const std::string& instance) {
        const auto row = rows_.find(instance);
        return row != rows_.end() && row->second.limit && !row->second.is_gone;
      }));
}

int UpstreamTable::CountCold(TimeMs now) const {
  return static_cast<int>(
      std::count_if(limited_.begin(), limited_.end(), [&](const std::string& instance) {
        const auto row = rows_.find(instance);
        return row != rows_.end() && row->second.cold_until > now && !row->second.is_gone;
      }));
}

std::vector<UpstreamTable::HallState> UpstreamTable::HallStates(TimeMs now) const {
  std::map<std::string, HallState> halls;
  for (const auto& [hall, region] : options_.topology.regions()) halls[hall].region = region;
  for (const auto& hall : evacuated_halls_.halls()) halls[hall];
  for (const auto& [instance, row] : rows_) {
    if (!IsPresent(row, row.record.service)) continue;
    HallState& state = halls[row.record.data_hall];
    ++state.upstreams;
    if (row.cold_until > now) ++state.cold_upstreams;
    const TimeMs received_at = std::max(row.received_at, row.view_at);
    if (received_at != 0 && now - received_at <= kReachableMs) ++state.reachable_upstreams;
  }
  std::vector<HallState> states;
  for (auto& [hall, state] : halls) {
    state.hall = hall;
    state.distance = options_.topology.DistanceTo(hall);
    state.round_trip = options_.topology.RoundTripTo(hall, now);
    state.closes_in_ms = evacuated_halls_.ClosesIn(hall, now);
    states.push_back(std::move(state));
  }
  return states;
}

// Asks for a replica elsewhere of each model that only evacuated halls have loaded, the most
// requested first: when the halls close, its requests would wait for the whole load.
void UpstreamTable::AddEvacuatedModels(const std::string& service,
                                       std::map<std::string, AgentDemand>* demands, TimeMs now) {
  if (evacuated_halls_.halls().empty()) return;
  const CountByModel replicas = CountReplicas(service, now);
  const auto is_served = [&](const std::string& model) {
    const AllowedRegions allowed = RegionsOf(model);
    return allowed ? CountReplicasOf(model, allowed, now) > 0 : replicas.count(model) > 0;
  };
  RateByModel rates;
  for (const auto& [instance, row] : rows_) {
    if (!IsEvacuated(row) || !IsHealthy(row, service, now) || !IsFresh(row, now)) continue;
    for (const auto& [model, per_s] : row.view.requests_per_s) {
      const bool is_only_there = per_s > 0 && !is_served(model);
      if (is_only_there) rates[model] = std::max(rates[model], per_s);
    }
  }
  std::vector<std::pair<double, std::string_view>> by_rate;
  for (const auto& [model, per_s] : rates) by_rate.emplace_back(-per_s, model);
  std::sort(by_rate.begin(), by_rate.end());
  const CountByModel pending = CountPendingReplicas(service, std::nullopt, now);
  for (const auto& [negative_per_s, model_name] : by_rate) {
    const std::string model(model_name);
    const auto rate = rates_.find(model);
    const ModelSpec* spec = services_.at(service).engine->Find(model);
    // Left to entries that get its requests.
    if (spec == nullptr || rate == rates_.end()) continue;
    const AllowedRegions allowed = rate->second.regions.Union();
    const bool is_pending = allowed ? CountPendingReplicas(service, allowed, now).count(model) > 0
                                    : pending.count(model_name) > 0;
    if (is_pending) continue;
    const Row* target = ChooseReplicaTarget(service, model, allowed, now);
    const auto demand = target == nullptr ? demands->end() : demands->find(target->record.instance);
    if (demand == demands->end()) continue;
    const double per_s = -negative_per_s;
    const double late_callers = per_s * static_cast<double>(spec->store_load_ms) / kMsPerS;
    demand->second.wanted.push_back(
        ModelDemand{ModelRef{model, {}}, 0, rate->second.priority, 0, per_s, late_callers});
  }
}

}  // namespace junctionrail

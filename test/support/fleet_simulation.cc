#include "fleet_simulation.h"

#include <algorithm>
#include <utility>

namespace junctionrail::testing {
namespace {

constexpr DurationMs kStepMs = 10;
constexpr TimeMs kStartMs = 100000;
constexpr char kService[] = "engine";
// From a request's start at an engine to its first event, as if it ran alone.
constexpr DurationMs kFirstEventMs = 60;
// Intervals as in the daemons.
constexpr DurationMs kDemandMs = 250;
constexpr DurationMs kRepeatViewMs = 500;
constexpr DurationMs kActiveReportMs = 50;
constexpr DurationMs kIdleReportMs = 500;
constexpr double kModelMb = 72;

std::string HallName(int n) { return "hall-" + std::to_string(n + 1); }

std::string ModelName(int n) { return "m" + std::to_string(n); }

EngineSpec SpecOf(const FleetConfig& fleet) {
  EngineSpec spec;
  spec.accelerator_mb = kModelMb * fleet.model_capacity + 1;
  spec.adapter_slots = 8;
  for (int n = 0; n < fleet.models; ++n) {
    spec.models.push_back(
        {ModelName(n), kModelMb, 1, fleet.store_load_ms, fleet.disk_load_ms, fleet.disk_load_ms});
  }
  return spec;
}

}  // namespace

FleetSimulation::FleetSimulation(FleetConfig fleet)
    : fleet_(std::move(fleet)), random_(fleet_.seed), now_(kStartMs) {
  for (const auto& it : fleet_.loads) outcomes_[it.name] = {};
  engines_.resize(static_cast<std::size_t>(fleet_.engines));
  for (int n = 0; n < fleet_.engines; ++n) ReplaceEngine(n);
  // Models are loaded on the engines as far as they fit, busy ones on several engines. The others
  // are placed on disks below.
  std::vector<int> first;
  for (int n = 0; n < fleet_.busy_models * fleet_.busy_replicas; ++n) {
    first.push_back(n % fleet_.busy_models);
  }
  int next = fleet_.busy_models;
  for (auto& engine : engines_) {
    for (int n = 0; n < fleet_.model_capacity; ++n) {
      const bool is_busy = !first.empty() && n == 0;
      const int model = is_busy ? first.back() : next++;
      if (is_busy) first.pop_back();
      if (model >= fleet_.models) break;
      engine.report.loaded.push_back({ModelName(model), {}});
      PutOnDisk(engine, ModelName(model));
    }
  }
  // Spread the copies of a model over the engines.
  for (int copy = 0; copy < fleet_.disk_copies; ++copy) {
    for (int n = copy == 0 ? next : 0; n < fleet_.models; ++n) {
      PutOnDisk(engines_[static_cast<std::size_t>((n + copy * 53) % fleet_.engines)], ModelName(n));
    }
  }
  RoutingOptions options;
  options.policy = fleet_.policy;
  for (int n = 0; n < fleet_.entries; ++n) {
    options.topology = Topology(HallName(n % fleet_.halls), fleet_.hall_regions);
    entries_.push_back(
        Entry{UpstreamTable(options), {}, now_ + DurationMs{n} * 17 % kDemandMs, false, {}});
    entries_.back().table.ApplyServices({{kService, 100, SpecOf(fleet_)}});
  }
  PublishListing();
}

void FleetSimulation::ReplaceEngine(int n) {
  Engine& engine = engines_[static_cast<std::size_t>(n)];
  AbandonRequests(engine);
  by_instance_.erase(engine.instance);
  engine = Engine();
  engine.hall = HallName(n % fleet_.halls);
  engine.instance = "e" + std::to_string(n) + "-" + std::to_string(++generation_);
  engine.next_report_at = now_ + DurationMs{n} * 13 % kIdleReportMs;
  engine.view_repeated_at = now_ - DurationMs{n} * 29 % kRepeatViewMs;
  engine.core.Reset(engine.instance);
  engine.core.SetSpec(SpecOf(fleet_));
  by_instance_[engine.instance] = n;
  if (!entries_.empty()) PublishListing();
}

void FleetSimulation::AbandonRequests(const Engine& engine) {
  for (const auto& it : engine.running) RecordOutcome(it, &WorkloadOutcome::abandoned);
  for (const auto& it : engine.queue) RecordOutcome(it, &WorkloadOutcome::abandoned);
}

void FleetSimulation::LoseHall(const std::string& hall) {
  for (auto& engine : engines_) {
    if (engine.hall != hall) continue;
    AbandonRequests(engine);
    by_instance_.erase(engine.instance);
    engine = Engine();
    engine.hall = hall;
    engine.is_lost = true;
  }
  PublishListing();
}

std::map<std::string, int> FleetSimulation::ReplicasByHall(int model) const {
  std::map<std::string, int> replicas;
  for (const auto& engine : engines_) {
    const auto& loaded = engine.report.loaded;
    const bool has_model = std::any_of(loaded.begin(), loaded.end(), [&](const LoadedModel& it) {
      return it.name == ModelName(model);
    });
    if (has_model) ++replicas[engine.hall];
  }
  return replicas;
}

void FleetSimulation::AddEngine() {
  engines_.emplace_back();
  ++fleet_.engines;
  ReplaceEngine(fleet_.engines - 1);
}

void FleetSimulation::MarkLeaving(int n) {
  engines_[static_cast<std::size_t>(n)].is_leaving = true;
  PublishListing();
}

void FleetSimulation::PublishListing() {
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < fleet_.engines; ++n) {
    const Engine& it = engines_[static_cast<std::size_t>(n)];
    if (it.is_lost) continue;
    UpstreamRecord record{it.instance,  kService,      {"10.0.0.1", 80}, it.hall,
                          fleet_.slots, it.is_leaving, it.report.loaded};
    record.endpoint.port = static_cast<std::uint16_t>(n + 1);
    listing.push_back(std::move(record));
  }
  for (auto& it : entries_) it.table.ApplyListing(listing, now_);
}

void FleetSimulation::Run(DurationMs ms) {
  for (const TimeMs until = now_ + ms; now_ < until;) {
    now_ += kStepMs;
    AddArrivals();
    int loads = 0;
    for (auto& it : engines_) loads += it.is_from_store ? 1 : 0;
    const double speed =
        std::min(1.0, static_cast<double>(fleet_.store_loads) / std::max(1, loads));
    for (auto& it : engines_) {
      if (it.is_lost) continue;
      Advance(it, it.is_from_store ? speed : 1);
      RunAgent(it);
    }
    for (int n = 0; n < fleet_.entries; ++n) {
      RetryParked(n);
      SendDemands(n);
    }
    changed_.clear();
  }
}

void FleetSimulation::AddArrivals() {
  std::uniform_real_distribution<double> chance(0, 1);
  for (const auto& load : fleet_.loads) {
    double expected = load.per_s * kStepMs / 1000;
    for (; expected > 0; expected -= 1) {
      if (chance(random_) >= expected) continue;
      Request request;
      request.load = &load;
      request.id = "r" + std::to_string(++last_id_);
      request.arrived_at = now_;
      std::uniform_int_distribution<int> n(load.first_model, load.last_model - 1);
      const auto shifts =
          load.shift_ms == 0 ? 0 : static_cast<int>((now_ - kStartMs) / load.shift_ms);
      request.model =
          ModelRef{ModelName((n(random_) + shifts * load.shift_models) % fleet_.models), {}};
      request.entry = std::uniform_int_distribution<int>(0, fleet_.entries - 1)(random_);
      ++outcomes_[load.name].requests;
      entries_[static_cast<std::size_t>(request.entry)].table.OnArrival(
          request.model, load.priority, load.target_ms, now_, load.allowed_regions);
      Dispatch(std::move(request), true);
    }
  }
}

// Like Exchange in the gateway: sends the request, parks it, or refuses it if the wait would be too
// long.
void FleetSimulation::Dispatch(Request request, bool is_new) {
  Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
  PickRequest pick;
  pick.service = kService;
  pick.model = request.model;
  pick.request_id = request.id;
  pick.allowed_regions = request.load->allowed_regions;
  const PickResult choice = entry.table.Choose(pick, now_);
  if (const auto* to = std::get_if<SendTo>(&choice)) return Send(to->instance, std::move(request));
  const auto* wait = std::get_if<WaitFor>(&choice);
  const DurationMs patience = request.arrived_at + request.load->patience_ms - now_ -
                              entry.table.FirstEventMs(request.model);
  if (wait == nullptr || wait->estimate_ms > patience) {
    return RecordOutcome(request, &WorkloadOutcome::refused);
  }
  if (is_new) request.parked_at = now_;
  entry.has_new_target |= request.asked != wait->instance;
  request.asked = wait->instance;
  entry.parked.push_back(std::move(request));
}

void FleetSimulation::RecordOutcome(const Request& request, int WorkloadOutcome::*what) {
  ++(outcomes_[request.load->name].*what);
}

void FleetSimulation::RetryParked(int n) {
  Entry& entry = entries_[static_cast<std::size_t>(n)];
  const bool is_tick = (now_ / kStepMs + n) % (kDemandMs / kStepMs) == 0;
  std::list<Request> all;
  all.swap(entry.parked);
  for (auto& it : all) {
    const bool is_affected =
        is_tick || changed_.count(it.asked) > 0 ||
        std::any_of(changed_.begin(), changed_.end(), [&](const std::string& instance) {
          return entry.table.HasModel(instance, it.model, now_);
        });
    if (is_affected) {
      Dispatch(std::move(it), false);
    } else {
      entry.parked.push_back(std::move(it));
    }
  }
}

void FleetSimulation::SendDemands(int n) {
  Entry& entry = entries_[static_cast<std::size_t>(n)];
  if (now_ < entry.next_demand_at && !entry.has_new_target) return;
  if (now_ >= entry.next_demand_at) entry.next_demand_at = now_ + kDemandMs;
  entry.has_new_target = false;
  std::map<std::pair<ModelRef, AllowedRegions>, UpstreamTable::WaitingRequests> waiting;
  for (const auto& it : entry.parked) {
    UpstreamTable::WaitingRequests& wait = waiting[{it.model, it.load->allowed_regions}];
    const bool is_first = wait.count++ == 0;
    const TimeMs late_at = it.arrived_at + it.load->target_ms;
    wait.ref = it.model;
    wait.service = kService;
    wait.priority = is_first ? it.load->priority : std::min(wait.priority, it.load->priority);
    wait.since = is_first ? it.parked_at : std::min(wait.since, it.parked_at);
    wait.asked_instance = it.asked;
    if (late_at <= now_) {
      ++wait.late;
    } else {
      wait.next_late_at = wait.next_late_at == 0 ? late_at : std::min(wait.next_late_at, late_at);
    }
  }
  std::vector<UpstreamTable::WaitingRequests> list;
  for (auto& [key, it] : waiting) list.push_back(std::move(it));
  for (auto& [instance, demand] : entry.table.BuildDemands(list, now_)) {
    const auto engine = by_instance_.find(instance);
    if (engine == by_instance_.end()) continue;
    Engine& it = engines_[static_cast<std::size_t>(engine->second)];
    if (!demand.wanted.empty()) it.next_report_at = now_;
    it.core.OnDemand(static_cast<std::uint64_t>(n), demand, now_);
  }
}

void FleetSimulation::Send(const std::string& instance, Request request) {
  Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
  const auto found = by_instance_.find(instance);
  if (found == by_instance_.end()) return RecordOutcome(request, &WorkloadOutcome::refused);
  Engine& engine = engines_[static_cast<std::size_t>(found->second)];
  const auto& loaded = engine.report.loaded;
  const bool is_loaded = std::any_of(loaded.begin(), loaded.end(), [&](const LoadedModel& it) {
    return it.name == request.model.model && it.name != engine.unloading;
  });
  if (!is_loaded) {
    entry.table.OnModelNotLoaded(instance, request.model, now_);
    return Dispatch(std::move(request), false);
  }
  entry.table.OnSent(instance, request.model, now_);
  request.sent_at = now_;
  engine.queue.push_back(std::move(request));
  StartQueued(engine);
}

void FleetSimulation::StartQueued(Engine& engine) {
  while (!engine.queue.empty() && static_cast<int>(engine.running.size()) < fleet_.slots) {
    Request request = std::move(engine.queue.front());
    engine.queue.pop_front();
    Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
    const DurationMs first = now_ + kFirstEventMs - request.arrived_at;
    if (first > request.load->patience_ms) {
      entry.table.OnAttemptEnd(engine.instance, request.model, AttemptOutcome::kCallerLeft, now_);
      RecordOutcome(request, &WorkloadOutcome::abandoned);
      continue;
    }
    entry.table.OnFirstEvent(request.model, now_ + kFirstEventMs - request.sent_at);
    entry.table.OnResponseData(engine.instance, now_);
    request.ends_at = now_ + request.load->service_ms;
    RecordOutcome(request, first <= request.load->target_ms ? &WorkloadOutcome::on_time
                                                            : &WorkloadOutcome::late);
    engine.running.push_back(std::move(request));
  }
}

void FleetSimulation::Advance(Engine& engine, double speed) {
  for (auto it = engine.running.begin(); it != engine.running.end();) {
    if (it->ends_at > now_) {
      ++it;
      continue;
    }
    entries_[static_cast<std::size_t>(it->entry)].table.OnAttemptEnd(engine.instance, it->model,
                                                                     AttemptOutcome::kServed, now_);
    it = engine.running.erase(it);
  }
  StartQueued(engine);
  if (!engine.unloading.empty()) {
    const auto uses = [&](const Request& it) { return it.model.model == engine.unloading; };
    const bool is_used = std::any_of(engine.running.begin(), engine.running.end(), uses) ||
                         std::any_of(engine.queue.begin(), engine.queue.end(), uses);
    if (is_used) return;
    auto& loaded = engine.report.loaded;
    loaded.erase(std::remove_if(loaded.begin(), loaded.end(),
                                [&](const LoadedModel& it) { return it.name == engine.unloading; }),
                 loaded.end());
    engine.unloading.clear();
    engine.report.is_busy = false;
    return;
  }
  if (engine.loading.empty()) return;
  engine.left_ms -= static_cast<double>(kStepMs) * speed;
  if (engine.left_ms > 0) return;
  engine.report.is_busy = false;
  engine.report.loaded.push_back({engine.loading, {}});
  PutOnDisk(engine, engine.loading);
  engine.loading.clear();
  engine.is_from_store = false;
}

// Evicts the model that was put on the disk longest ago if the disk is full.
void FleetSimulation::PutOnDisk(Engine& engine, const std::string& model) {
  auto& disk = engine.report.on_disk;
  disk.erase(std::remove(disk.begin(), disk.end(), model), disk.end());
  disk.push_back(model);
  if (static_cast<int>(disk.size()) > fleet_.disk_capacity) disk.erase(disk.begin());
}

void FleetSimulation::ExecuteOrder(Engine& engine, const EngineOrder& order) {
  ++engine.report.sequence;
  engine.report.is_busy = true;
  if (order.kind == OrderKind::kUnload) {
    engine.unloading = order.target.model;
    ++unloads_;
    return;
  }
  engine.loading = order.target.model;
  engine.is_from_store = !Contains(engine.report.on_disk, engine.loading);
  engine.left_ms =
      static_cast<double>(engine.is_from_store ? fleet_.store_load_ms : fleet_.disk_load_ms);
  ++(engine.is_from_store ? loads_from_store_ : loads_from_disk_);
}

void FleetSimulation::RunAgent(Engine& engine) {
  if (now_ < engine.next_report_at) return;
  engine.report.running = static_cast<int>(engine.running.size());
  engine.report.waiting = static_cast<int>(engine.queue.size());
  engine.core.OnReport(engine.report, now_);
  const auto order = engine.core.NextOrder(now_);
  if (order) {
    ExecuteOrder(engine, *order);
    engine.core.OnOrderResult(*order, EngineOrderResult::kAccepted, now_);
  }
  engine.next_report_at = now_ + (engine.core.IsActive() ? kActiveReportMs : kIdleReportMs);
  SendViews(engine);
}

void FleetSimulation::SendViews(Engine& engine) {
  const EngineView view = engine.core.BuildView(now_);
  const bool is_due = now_ - engine.view_repeated_at >= kRepeatViewMs;
  const bool has_news =
      !ChangedParts(engine.sent_view, view).IsEmpty() ||
      engine.sent_view.store_load_request.has_value() != view.store_load_request.has_value();
  if (!is_due && !has_news) return;
  const auto gone = RemovedModels(engine.sent_view, view);
  if (is_due) engine.view_repeated_at = now_;
  for (int n = 0; n < fleet_.entries; ++n) {
    const bool is_told = is_due || engine.core.IsAffected(static_cast<std::uint64_t>(n), gone);
    if (is_told) entries_[static_cast<std::size_t>(n)].table.ApplyView(view, now_);
  }
  changed_.insert(engine.instance);
  engine.sent_view = view;
}

}  // namespace junctionrail::testing

#include "model_fleet.h"

#include <algorithm>
#include <utility>

namespace junctionrail::testing {
namespace {

constexpr DurationMs kStepMs = 10;
constexpr char kService[] = "engine";
// From a request's start at an engine to its first event, alone.
constexpr DurationMs kFirstEventMs = 60;
// As the daemons have them.
constexpr DurationMs kDemandMs = 250;
constexpr DurationMs kRepeatViewMs = 500;
constexpr DurationMs kActiveReportMs = 50;
constexpr DurationMs kQuietReportMs = 500;
constexpr double kModelMb = 72;

std::string ModelName(int n) { return "m" + std::to_string(n); }

EngineSpec SpecOf(const ModelledFleet& fleet) {
  EngineSpec spec;
  spec.accelerator_mb = kModelMb * fleet.places + 1;
  spec.adapter_slots = 8;
  for (int n = 0; n < fleet.models; ++n) {
    spec.models.push_back(
        {ModelName(n), kModelMb, 1, fleet.store_load_ms, fleet.disk_load_ms, fleet.disk_load_ms});
  }
  return spec;
}

}  // namespace

ModelFleet::ModelFleet(ModelledFleet fleet) : fleet_(std::move(fleet)), random_(fleet_.seed) {
  for (const auto& it : fleet_.loads) outcomes_[it.name] = {};
  engines_.resize(static_cast<std::size_t>(fleet_.engines));
  for (int n = 0; n < fleet_.engines; ++n) Replace(n);
  // Each model is loaded on an engine as far as there is room, busy ones on several;
  // the others are on the disk of one.
  std::vector<int> first;
  for (int n = 0; n < fleet_.busy_models * fleet_.busy_replicas; ++n) {
    first.push_back(n % fleet_.busy_models);
  }
  int next = fleet_.busy_models;
  for (auto& engine : engines_) {
    for (int n = 0; n < fleet_.places; ++n) {
      const bool is_busy = !first.empty() && n == 0;
      const int model = is_busy ? first.back() : next++;
      if (is_busy) first.pop_back();
      if (model >= fleet_.models) break;
      engine.report.loaded.push_back({ModelName(model), {}});
      PutOnDisk(engine, ModelName(model));
    }
  }
  // Copies of a model are spread over the engines.
  for (int copy = 0; copy < fleet_.disk_copies; ++copy) {
    for (int n = copy == 0 ? next : 0; n < fleet_.models; ++n) {
      PutOnDisk(engines_[static_cast<std::size_t>((n + copy * 53) % fleet_.engines)], ModelName(n));
    }
  }
  RoutingOptions options;
  options.data_hall = "hall-1";
  options.policy = fleet_.policy;
  for (int n = 0; n < fleet_.entries; ++n) {
    entries_.push_back(
        Entry{UpstreamTable(options), {}, now_ + DurationMs{n} * 17 % kDemandMs, false, {}});
    entries_.back().table.ApplyServices({{kService, 100, SpecOf(fleet_)}});
  }
  List();
}

void ModelFleet::Replace(int n) {
  Engine& engine = engines_[static_cast<std::size_t>(n)];
  for (const auto& it : engine.runs) End(it, &ModelledOutcome::abandoned);
  for (const auto& it : engine.queue) End(it, &ModelledOutcome::abandoned);
  by_instance_.erase(engine.instance);
  engine = Engine();
  engine.instance = "e" + std::to_string(n) + "-" + std::to_string(++generation_);
  engine.report_at = now_ + DurationMs{n} * 13 % kQuietReportMs;
  engine.repeated_at = now_ - DurationMs{n} * 29 % kRepeatViewMs;
  engine.core.Reset(engine.instance);
  engine.core.SetSpec(SpecOf(fleet_));
  by_instance_[engine.instance] = n;
  if (!entries_.empty()) List();
}

void ModelFleet::Add() {
  engines_.emplace_back();
  ++fleet_.engines;
  Replace(fleet_.engines - 1);
}

void ModelFleet::Leave(int n) {
  engines_[static_cast<std::size_t>(n)].is_leaving = true;
  List();
}

void ModelFleet::List() {
  std::vector<UpstreamRecord> listing;
  for (int n = 0; n < fleet_.engines; ++n) {
    const Engine& it = engines_[static_cast<std::size_t>(n)];
    UpstreamRecord record{it.instance,  kService,      {"10.0.0.1", 80}, "hall-1",
                          fleet_.slots, it.is_leaving, it.report.loaded};
    record.endpoint.port = static_cast<std::uint16_t>(n + 1);
    listing.push_back(std::move(record));
  }
  for (auto& it : entries_) it.table.ApplyListing(listing, now_);
}

void ModelFleet::Run(DurationMs ms) {
  for (const TimeMs until = now_ + ms; now_ < until;) {
    now_ += kStepMs;
    Arrive();
    int loads = 0;
    for (auto& it : engines_) loads += it.is_from_store ? 1 : 0;
    const double speed =
        std::min(1.0, static_cast<double>(fleet_.store_loads) / std::max(1, loads));
    for (auto& it : engines_) {
      GoOn(it, it.is_from_store ? speed : 1);
      Serve(it);
    }
    for (int n = 0; n < fleet_.entries; ++n) {
      WakeParked(n);
      Tell(n);
    }
    changed_.clear();
  }
}

void ModelFleet::Arrive() {
  std::uniform_real_distribution<double> chance(0, 1);
  for (const auto& load : fleet_.loads) {
    double expected = load.per_s * kStepMs / 1000;
    for (; expected > 0; expected -= 1) {
      if (chance(random_) >= expected) continue;
      Request request;
      request.load = &load;
      request.id = "r" + std::to_string(++last_id_);
      request.came_at = now_;
      std::uniform_int_distribution<int> n(load.first_model, load.last_model - 1);
      request.model = ModelRef{ModelName(n(random_)), {}};
      request.entry = std::uniform_int_distribution<int>(0, fleet_.entries - 1)(random_);
      ++outcomes_[load.name].requests;
      entries_[static_cast<std::size_t>(request.entry)].table.OnArrival(
          request.model, load.priority, load.target_ms, now_);
      Offer(std::move(request), true);
    }
  }
}

// As Exchange does: sent, kept waiting, or refused when the wait is too long.
void ModelFleet::Offer(Request request, bool is_new) {
  Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
  PickRequest pick;
  pick.service = kService;
  pick.model = request.model;
  pick.request_id = request.id;
  const PickResult choice = entry.table.Choose(pick, now_);
  if (const auto* to = std::get_if<SendTo>(&choice)) return Send(to->instance, std::move(request));
  const auto* wait = std::get_if<WaitFor>(&choice);
  const DurationMs patience =
      request.came_at + request.load->patience_ms - now_ - entry.table.FirstEventMs(request.model);
  if (wait == nullptr || wait->estimate_ms > patience) {
    return End(request, &ModelledOutcome::refused);
  }
  if (is_new) request.parked_at = now_;
  entry.has_new_ask |= request.asked != wait->instance;
  request.asked = wait->instance;
  entry.parked.push_back(std::move(request));
}

void ModelFleet::End(const Request& request, int ModelledOutcome::*what) {
  ++(outcomes_[request.load->name].*what);
}

void ModelFleet::WakeParked(int n) {
  Entry& entry = entries_[static_cast<std::size_t>(n)];
  const bool is_tick = (now_ / kStepMs + n) % (kDemandMs / kStepMs) == 0;
  std::list<Request> all;
  all.swap(entry.parked);
  for (auto& it : all) {
    const bool is_concerned =
        is_tick || changed_.count(it.asked) > 0 ||
        std::any_of(changed_.begin(), changed_.end(), [&](const std::string& instance) {
          return entry.table.HasModel(instance, it.model, now_);
        });
    if (is_concerned) {
      Offer(std::move(it), false);
    } else {
      entry.parked.push_back(std::move(it));
    }
  }
}

void ModelFleet::Tell(int n) {
  Entry& entry = entries_[static_cast<std::size_t>(n)];
  if (now_ < entry.demand_at && !entry.has_new_ask) return;
  if (now_ >= entry.demand_at) entry.demand_at = now_ + kDemandMs;
  entry.has_new_ask = false;
  std::map<ModelRef, UpstreamTable::WaitingRequests> waiting;
  for (const auto& it : entry.parked) {
    UpstreamTable::WaitingRequests& wait = waiting[it.model];
    const bool is_first = wait.count++ == 0;
    const TimeMs late_at = it.came_at + it.load->target_ms;
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
  for (auto& [ref, it] : waiting) list.push_back(std::move(it));
  for (auto& [instance, demand] : entry.table.BuildDemands(list, now_)) {
    const auto engine = by_instance_.find(instance);
    if (engine == by_instance_.end()) continue;
    Engine& it = engines_[static_cast<std::size_t>(engine->second)];
    if (!demand.wanted.empty()) it.report_at = now_;
    it.core.OnDemand(static_cast<std::uint64_t>(n), demand, now_);
  }
}

void ModelFleet::Send(const std::string& instance, Request request) {
  Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
  const auto found = by_instance_.find(instance);
  if (found == by_instance_.end()) return End(request, &ModelledOutcome::refused);
  Engine& engine = engines_[static_cast<std::size_t>(found->second)];
  const auto& loaded = engine.report.loaded;
  const bool is_loaded = std::any_of(loaded.begin(), loaded.end(), [&](const LoadedModel& it) {
    return it.name == request.model.model && it.name != engine.unloading;
  });
  if (!is_loaded) {
    entry.table.OnModelNotLoaded(instance, request.model, now_);
    return Offer(std::move(request), false);
  }
  entry.table.OnSent(instance, request.model, now_);
  request.sent_at = now_;
  engine.queue.push_back(std::move(request));
  StartRuns(engine);
}

void ModelFleet::StartRuns(Engine& engine) {
  while (!engine.queue.empty() && static_cast<int>(engine.runs.size()) < fleet_.slots) {
    Request request = std::move(engine.queue.front());
    engine.queue.pop_front();
    Entry& entry = entries_[static_cast<std::size_t>(request.entry)];
    const DurationMs first = now_ + kFirstEventMs - request.came_at;
    if (first > request.load->patience_ms) {
      entry.table.OnAttemptEnd(engine.instance, request.model, AttemptOutcome::kCallerLeft, now_);
      End(request, &ModelledOutcome::abandoned);
      continue;
    }
    entry.table.OnFirstEvent(request.model, now_ + kFirstEventMs - request.sent_at);
    entry.table.OnResponseData(engine.instance, now_);
    request.ends_at = now_ + request.load->runs_ms;
    End(request,
        first <= request.load->target_ms ? &ModelledOutcome::in_target : &ModelledOutcome::late);
    engine.runs.push_back(std::move(request));
  }
}

void ModelFleet::GoOn(Engine& engine, double speed) {
  for (auto it = engine.runs.begin(); it != engine.runs.end();) {
    if (it->ends_at > now_) {
      ++it;
      continue;
    }
    entries_[static_cast<std::size_t>(it->entry)].table.OnAttemptEnd(engine.instance, it->model,
                                                                     AttemptOutcome::kServed, now_);
    it = engine.runs.erase(it);
  }
  StartRuns(engine);
  if (!engine.unloading.empty()) {
    const auto uses = [&](const Request& it) { return it.model.model == engine.unloading; };
    const bool is_used = std::any_of(engine.runs.begin(), engine.runs.end(), uses) ||
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

// The one unused for longest gives way.
void ModelFleet::PutOnDisk(Engine& engine, const std::string& model) {
  auto& disk = engine.report.on_disk;
  disk.erase(std::remove(disk.begin(), disk.end(), model), disk.end());
  disk.push_back(model);
  if (static_cast<int>(disk.size()) > fleet_.disk_models) disk.erase(disk.begin());
}

void ModelFleet::Take(Engine& engine, const EngineOrder& order) {
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

void ModelFleet::Serve(Engine& engine) {
  if (now_ < engine.report_at) return;
  engine.report.running = static_cast<int>(engine.runs.size());
  engine.report.waiting = static_cast<int>(engine.queue.size());
  engine.core.OnReport(engine.report, now_);
  const auto order = engine.core.NextOrder(now_);
  if (order) {
    Take(engine, *order);
    engine.core.OnAnswer(*order, OrderAnswer::kAccepted, now_);
  }
  engine.report_at = now_ + (engine.core.IsActive() ? kActiveReportMs : kQuietReportMs);
  SendViews(engine);
}

void ModelFleet::SendViews(Engine& engine) {
  const EngineView view = engine.core.View(now_);
  const bool is_due = now_ - engine.repeated_at >= kRepeatViewMs;
  const bool has_news =
      !ChangedParts(engine.sent, view).IsEmpty() ||
      engine.sent.store_load_request.has_value() != view.store_load_request.has_value();
  if (!is_due && !has_news) return;
  const auto gone = GoneModels(engine.sent, view);
  if (is_due) engine.repeated_at = now_;
  for (int n = 0; n < fleet_.entries; ++n) {
    const bool is_told = is_due || engine.core.IsConcerned(static_cast<std::uint64_t>(n), gone);
    if (is_told) entries_[static_cast<std::size_t>(n)].table.ApplyView(view, now_);
  }
  changed_.insert(engine.instance);
  engine.sent = view;
}

}  // namespace junctionrail::testing

// Simulates the entries, agents and engines of a fleet in virtual time, without sockets. Entries
// and agents use the production decision code; engines and callers are simple models. Counts
// the outcomes of requests under load.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_FLEET_SIMULATION_H_
#define JUNCTIONRAIL_TEST_SUPPORT_FLEET_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "junctionrail/placement.h"
#include "junctionrail/routing.h"

namespace junctionrail::testing {

// Requests that arrive at random for models drawn uniformly from a range.
struct Workload {
  std::string name;
  double per_s = 0;
  int first_model = 0;
  int last_model = 0;          // One past the last model.
  DurationMs target_ms = 0;    // For the first event of the answer.
  DurationMs patience_ms = 0;  // Callers cancel after this long without an event.
  DurationMs service_ms = 0;   // From the start at the engine to the last event of the answer.
  int priority = 0;
  // The range moves by `shift_models` each `shift_ms`, past the last model to the first one.
  DurationMs shift_ms = 0;  // 0: it does not move.
  int shift_models = 0;
  AllowedRegions allowed_regions = {};
};

struct FleetConfig {
  int engines = 12;
  int entries = 4;
  int models = 24;
  int slots = 16;          // Requests that an engine runs concurrently.
  int model_capacity = 3;  // Models that fit into an engine's memory.
  int disk_capacity = 18;  // Models that fit on an engine's disk.
  DurationMs disk_load_ms = 640;
  DurationMs store_load_ms = 13200;
  int store_loads = 2;  // Concurrent loads that the weight store serves at full speed.
  int disk_copies = 1;  // Copies of each model on the engines' disks at the start.
  int busy_models = 0;  // The first models, which start on `busy_replicas` engines each.
  int busy_replicas = 1;
  int halls = 1;  // "hall-1" and so on; engines and entries are spread over them in turn.
  HallRegions hall_regions;  // What the entries know of the halls' regions.
  std::vector<Workload> loads;
  PolicySettings policy;
  std::uint64_t seed = 1;
};

struct WorkloadOutcome {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;    // Refused at once or while waiting.
  int abandoned = 0;  // Canceled by the caller, or lost with an engine.

  // Returns the percentage of requests that were on time.
  int OnTimePercent() const { return requests == 0 ? 0 : on_time * 100 / requests; }
};

class FleetSimulation {
 public:
  explicit FleetSimulation(FleetConfig fleet);

  // Simulates the next `ms` milliseconds.
  void Run(DurationMs ms);
  // Replaces an engine at once by a new one with an empty disk.
  void ReplaceEngine(int engine);
  // Adds an engine with an empty disk.
  void AddEngine();
  // Makes an engine leave. Entries learn of it at once; the engine serves the requests it has.
  void MarkLeaving(int engine);
  // Ends all engines of the hall at once. Entries learn of it at once; those in the hall go on.
  void LoseHall(const std::string& hall);

  const WorkloadOutcome& Outcome(const std::string& load) const { return outcomes_.at(load); }
  // Counts since the start.
  int loads_from_disk() const { return loads_from_disk_; }
  int loads_from_store() const { return loads_from_store_; }
  int unloads() const { return unloads_; }
  // Number of engines in each hall that have the model loaded.
  std::map<std::string, int> ReplicasByHall(int model) const;
  TimeMs now() const { return now_; }

 private:
  struct Request {
    const Workload* load = nullptr;
    std::string id;
    ModelRef model;
    TimeMs arrived_at = 0;
    TimeMs parked_at = 0;
    TimeMs sent_at = 0;
    TimeMs ends_at = 0;  // 0 while in the engine's queue.
    int entry = 0;
    std::string asked;
  };
  struct Engine {
    std::string instance;
    std::string hall;
    bool is_leaving = false;
    bool is_lost = false;
    PlacementCore core;
    EngineReport report;
    std::string loading;
    bool is_from_store = false;
    double left_ms = 0;  // Remaining time of the load at full speed.
    std::string unloading;
    std::list<Request> running;
    std::deque<Request> queue;
    TimeMs next_report_at = 0;
    EngineView sent_view;
    TimeMs view_repeated_at = 0;
  };
  struct Entry {
    UpstreamTable table;
    std::list<Request> parked;
    TimeMs next_demand_at = 0;
    bool has_new_target = false;
    std::map<std::string, AgentDemand> told;
  };

  void AddArrivals();
  // Sends a request, parks it, or refuses it.
  void Dispatch(Request request, bool is_new);
  void Send(const std::string& instance, Request request);
  void RecordOutcome(const Request& request, int WorkloadOutcome::*what);
  void AbandonRequests(const Engine& engine);
  void RetryParked(int entry);
  void SendDemands(int entry);
  void RunAgent(Engine& engine);
  void StartQueued(Engine& engine);
  void Advance(Engine& engine, double speed);
  void ExecuteOrder(Engine& engine, const EngineOrder& order);
  void PutOnDisk(Engine& engine, const std::string& model);
  void SendViews(Engine& engine);
  void PublishListing();

  FleetConfig fleet_;
  std::mt19937_64 random_;
  TimeMs now_ = 0;
  std::vector<Engine> engines_;
  std::map<std::string, int> by_instance_;
  std::vector<Entry> entries_;
  std::map<std::string, WorkloadOutcome> outcomes_;
  std::set<std::string> changed_;
  int generation_ = 0;
  std::uint64_t last_id_ = 0;
  int loads_from_disk_ = 0;
  int loads_from_store_ = 0;
  int unloads_ = 0;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_FLEET_SIMULATION_H_

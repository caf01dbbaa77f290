// Routing for entries that connect to upstreams directly: the table of upstreams, the choice among
// them, and the demand for models that agents are told. Pure decision logic: the caller passes the
// time in, and nothing here opens a socket.
#ifndef JUNCTIONRAIL_ROUTING_H_
#define JUNCTIONRAIL_ROUTING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/engines.h"
#include "junctionrail/listing.h"
#include "junctionrail/places.h"
#include "junctionrail/region_demand.h"
#include "junctionrail/routes.h"
#include "junctionrail/settings.h"
#include "junctionrail/stream_origins.h"
#include "junctionrail/tenancy.h"
#include "junctionrail/throttling.h"

namespace junctionrail {
namespace internal {
class ReplicaSpread;
}  // namespace internal

// How a listing changed the state of an upstream.
enum class UpstreamChangeKind {
  kListed,   // New, or listed again.
  kLeaving,  // It announced that it is leaving.
  kMissing,  // Its record is missing but may only have expired.
  kGone,     // Its record is gone.
};
struct UpstreamChange {
  UpstreamChangeKind kind = UpstreamChangeKind::kListed;
  std::string instance;
  std::string service;
};

struct RoutingOptions {
  Topology topology;
  // Concurrent loads that the weight store serves at full speed. The store does not
  // report this: too low a value delays loads, too high a value slows each of them.
  int parallel_store_loads = 4;
  PolicySettings policy;
  // A data hall receives nothing once its evacuation was requested this long ago; 0: as soon as
  // it is known.
  DurationMs evacuation_bound_ms = 0;
  DurationMs record_period_ms = 1200;  // Upstreams write their records this often.
  std::string entry_id;  // Spreads the entries over the engines that each of them observes.
  // In a fleet with at most this many engines, every entry observes all of them and is a planner.
  int small_fleet_engines = 0;
  // Replicas of busy models are spread over data halls and regions.
  bool spreads_replicas = true;
};

// Times that upstream selection depends on.
struct RoutingTimes {
  static constexpr DurationMs kViewMaxAgeMs = 1600;
};

// Input to the choice of an upstream for a request.
struct PickRequest {
  std::string_view service;
  std::optional<ModelRef> model;
  std::string_view affinity;       // Requests with equal values share prompts.
  std::string_view request_id;     // Spreads requests over upstreams with similar load.
  std::vector<std::string> tried;  // Instances already tried.
  // Instances to avoid for now; a request for a model waits for one of them if no other
  // has the model.
  std::vector<std::string> occupied;
  // Instances that may end soon: chosen only if the others are much busier.
  std::vector<std::string> risky;
  AllowedRegions allowed_regions;
  // The software version that began the stream which the request resumes; none: any will do.
  std::optional<std::string> software_version = {};
};
struct SendTo {
  std::string instance;
};
struct WaitFor {
  std::string instance;        // Whose agent is asked to load; empty if none can be.
  DurationMs estimate_ms = 0;  // Until the model is ready.
  std::string_view source;     // Where the model comes from, for logs.
  double cost_ms = 0;          // Total delay to callers of other models, in milliseconds.
};
struct NoUpstream {
  std::string reason;
  DurationMs retry_after_ms = 0;  // Until an upstream accepts requests again; 0: unknown.
  std::string_view code = {};     // Names a cause other than the upstreams' state, for callers.
};
// The code of NoUpstream if no upstream runs the required software version.
constexpr std::string_view kVersionGone = "version_gone";
using PickResult = std::variant<SendTo, WaitFor, NoUpstream>;

// Where a further replica of a model was requested, compared with the existing ones.
enum class ReplicaDomain { kSameHall, kOtherHall, kOtherRegion };

// How an attempt ended, as far as it matters for the upstream's health.
enum class AttemptOutcome { kServed, kRefused, kFailed, kUnreachable, kTimedOut, kCallerLeft };

// An entry's state of all upstreams, and the choice among them.
class UpstreamTable {
 public:
  explicit UpstreamTable(RoutingOptions options)
      : options_(std::move(options)), departed_(options_.record_period_ms) {
    evacuated_halls_.SetBound(options_.evacuation_bound_ms);
  }
  // Movable: `holders_` points to rows, whose addresses survive a move of the table.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable(UpstreamTable&&) = default;

  // A planner observes all engines: it has links to their agents and gets their views. Other
  // entries observe only engines that serve their requests or may do so soon, and judge the rest by
  // their records. Returns whether the call changed the setting.
  bool SetPlanner(bool is_planner) {
    return std::exchange(is_designated_planner_, is_planner) != is_planner;
  }
  // In a small fleet every entry is a planner.
  bool is_planner() const { return is_designated_planner_ || is_small_fleet_; }
  // Observes the engine for a while.
  void Observe(const std::string& instance, TimeMs now);
  // Instances of engines whose agents may act for the fleet, best first: those of the entry's own
  // region before the others. All entries of a region rank them alike. At most `n`.
  std::vector<std::string> RankAgents(std::size_t n) const;
  std::vector<QuotaClient::Allocator> ListAgents() const;

  std::set<std::string> evacuated_halls() const { return evacuated_halls_.halls(); }
  void SetEvacuationBound(DurationMs bound_ms) { evacuated_halls_.SetBound(bound_ms); }
  void SetRecordPeriod(DurationMs period_ms) {
    options_.record_period_ms = period_ms;
    departed_.SetWritePeriod(period_ms);
  }

  void SetPolicy(const PolicySettings& policy) { options_.policy = policy; }
  const PolicySettings& policy() const { return options_.policy; }

  // Applies a complete listing, as returned by ExpiredRecordKeeper. Returns the changes.
  std::vector<UpstreamChange> ApplyListing(const std::vector<UpstreamRecord>& listing, TimeMs now);
  void ApplyServices(const std::vector<ServiceSpec>& services);
  // Applies all evacuated data halls, as read by a query sent at `as_of`. Upstreams of a hall that
  // is given back count as cold until their records have been written and read again.
  std::vector<EvacuatedHalls::Change> ApplyEvacuations(const std::set<std::string>& halls,
                                                       TimeMs as_of, TimeMs now);
  void ApplyView(const EngineView& view, TimeMs now);
  void ForgetView(const std::string& instance);

  PickResult Choose(const PickRequest& request, TimeMs now);

  // `priority` and `target_ms`, the first-event target, are those of the request's route.
  void OnArrival(const std::optional<ModelRef>& model, int priority, DurationMs target_ms,
                 TimeMs now, const AllowedRegions& allowed = {});
  void OnSent(const std::string& instance, const std::optional<ModelRef>& model, TimeMs now);
  // Opening a connection to the upstream took `round_trip_ms`.
  void OnConnected(const std::string& instance, double round_trip_ms, TimeMs now);
  const Topology& topology() const { return options_.topology; }
  // The upstream sent any part of an answer.
  void OnResponseData(const std::string& instance, TimeMs now);
  // A request waited this long at an upstream for its first event, whether or not it came.
  void OnFirstEvent(const ModelRef& model, DurationMs waited_ms);
  // Average wait at upstreams for the first event; 0: unknown.
  DurationMs FirstEventMs(const ModelRef& model) const;
  void OnAttemptEnd(const std::string& instance, const std::optional<ModelRef>& model,
                    AttemptOutcome end, TimeMs now);
  // Returns null if the upstream is not in the table.
  UpstreamThrottle* FindThrottle(const std::string& instance);
  // An answer to a request sent at `sent_at` states this limit, or none. Returns whether that is
  // new; UpdateLimits then returns the change.
  bool OnLimitNotice(const std::string& instance, std::optional<double> per_s, TimeMs sent_at,
                     TimeMs now);
  // The rate limit in force: the one that the upstream states or, if that is lower, the one that
  // applies while it is cold.
  std::optional<RateLimit> LimitOf(const std::string& instance) const;
  struct LimitChange {
    std::string instance;
    std::optional<RateLimit> limit;
    bool is_cold = false;
  };
  // Returns the limits that changed since the last call. To be called a few times a second.
  std::vector<LimitChange> UpdateLimits(TimeMs now);
  bool IsBackingOff(const std::string& instance, TimeMs now) const;
  // Number of upstreams with a limit in force.
  int CountLimited() const;
  int CountCold(TimeMs now) const;
  // The upstream announced that it is leaving, whatever its record says. Returns whether
  // that is new.
  bool OnLeavingNotice(const std::string& instance, TimeMs now);
  // The upstream answered that it is another instance, or that the model is not loaded.
  void OnInstanceReplaced(const std::string& instance);
  void OnModelNotLoaded(const std::string& instance, const ModelRef& model, TimeMs now);

  // Requests that wait for a model.
  struct WaitingRequests {
    ModelRef ref;
    std::string service;
    int count = 0;
    int priority = 0;
    TimeMs since = 0;
    std::string asked_instance;  // Instance whose agent was asked to load it.
    int late = 0;                // Requests beyond their targets.
    TimeMs next_late_at = 0;     // When the next of the others becomes late.
    AllowedRegions allowed_regions = {};
    std::optional<std::string> software_version = {};  // As in PickRequest.
  };

  // The demand to send to the agents of observed engines, by instance.
  std::map<std::string, AgentDemand> BuildDemands(const std::vector<WaitingRequests>& waiting,
                                                  TimeMs now);
  // The part of that demand that comes from waiting requests, for one instance.
  std::vector<ModelDemand> ModelDemandsFor(const std::string& instance,
                                           const std::vector<WaitingRequests>& waiting,
                                           TimeMs now) const;

  const UpstreamRecord* Find(const std::string& instance) const;
  // The version of the upstream's software; empty if it is not stated.
  std::string VersionOf(const std::string& instance) const;
  // Whether upstreams of the service run several software versions.
  bool HasSeveralVersions(std::string_view service) const;
  // Where any stream of these services began, if all upstreams that are listed are of one service
  // and software version.
  std::optional<StreamOrigin> OnlyOrigin(const std::vector<std::string>& services) const;
  // Whether the upstream is listed for new requests, healthy or not.
  bool IsListed(const std::string& instance) const;
  // Whether a request may be sent there now: it is listed, and its data hall is not closed.
  bool MayReceive(const std::string& instance, TimeMs now) const;
  bool IsInRegions(const std::string& instance, const AllowedRegions& allowed) const;
  // What operators see of a data hall.
  struct HallState {
    std::string hall;
    std::string region;  // Empty if unknown.
    Distance distance = Distance::kSameHall;
    RoundTrip round_trip;
    int upstreams = 0;
    int cold_upstreams = 0;
    int reachable_upstreams = 0;   // Connected, answered or viewed in the last 10 s.
    DurationMs closes_in_ms = -1;  // -1: not evacuated; 0: closed.
  };
  // All data halls that the settings name, that have upstreams, or that are evacuated.
  std::vector<HallState> HallStates(TimeMs now) const;
  // Whether the upstream is known to have the model loaded.
  bool HasModel(const std::string& instance, const ModelRef& model, TimeMs now) const;
  bool HasFreshView(const std::string& instance, TimeMs now) const;
  // Observed engines without a view for `ms`.
  std::vector<Endpoint> EnginesWithoutView(DurationMs ms, TimeMs now) const;
  // Further replicas requested since the start.
  std::uint64_t CountReplicaRequests(ReplicaDomain domain) const;
  // Number of entries, from the counts of agents that have been in reach for long enough to know
  // all of them; 0: there is none.
  int CountEntries(TimeMs now) const;

 private:
  struct Row {
    UpstreamRecord record;
    TimeMs listed_at = 0;       // When first listed.
    TimeMs record_at = 0;       // When last listed.
    TimeMs observed_at = 0;     // When its observation began.
    TimeMs observed_until = 0;  // Does not matter to a planner.
    bool is_gone = false;       // No longer listed.
    bool was_replaced = false;
    EngineView view;
    TimeMs view_at = 0;       // 0: no view.
    TimeMs viewed_since = 0;  // When the first of its latest views without a gap arrived.
    int in_flight = 0;
    int sent_since_view = 0;
    TimeMs unanswered_since = 0;  // No data for requests in flight since then; 0: none expected.
    std::map<ModelRef, int> in_flight_by_model;
    std::map<ModelRef, TimeMs> not_loaded_until;
    std::map<ModelRef, TimeMs> load_overdue_until;  // The agent was asked and is overdue.
    std::vector<std::string> indexed_models;  // Models whose `holders_` entry contains the row.
    UpstreamThrottle throttle;
    std::optional<RateLimit> limit;  // As last returned by UpdateLimits.
    TimeMs cold_until = 0;           // At the latest.
    TimeMs assumed_cold_until = 0;   // Its hall was given back; the record may be from before.
    TimeMs received_at = 0;          // When it last accepted a connection or answered.
    int failures = 0;                // Consecutive.
    TimeMs ejected_until = 0;
    int ejections = 0;
  };
  struct ModelRate {
    double requests_per_s = 0;
    TimeMs at = 0;
    TimeMs last_request = 0;
    int priority = 0;           // Of the last request.
    DurationMs target_ms = 0;   // Of the last request.
    double first_event_ms = 0;  // Average wait at upstreams for the first event.
    RegionDemand regions;

    double LateShare() const;
    double LateCallers(double fleet_per_s) const;
  };

  // Use of the weight store, according to the fleet's views.
  struct StoreUse {
    int active_loads = 0;   // In progress.
    int waiting_loads = 0;  // Further loads that requests wait for.
  };

  static bool IsPresent(const Row& row, std::string_view service);
  // Whether it is present and responds.
  bool IsHealthy(const Row& row, std::string_view service, TimeMs now) const;
  // Whether it is healthy, and its hall is not evacuated: for models to be loaded, and to count.
  bool IsUsable(const Row& row, std::string_view service, TimeMs now) const;
  bool IsEvacuated(const Row& row) const {
    return evacuated_halls_.IsEvacuated(row.record.data_hall);
  }
  // Whether the request may run there: its region is allowed, and the hall is not closed.
  bool IsPlaceAllowed(const Row& row, const PickRequest& request, TimeMs now) const;
  bool IsRegionAllowed(const Row& row, const AllowedRegions& allowed) const;
  static bool IsVersionAllowed(const Row& row, const PickRequest& request);
  // The load that new streams see on upstreams of a version which few upstreams run.
  double ScarceVersionLoad(const Row& row, const PickRequest& request) const;
  void CountVersions();
  // The regions in which requests for the model may run, judged by those that this entry received.
  AllowedRegions RegionsOf(const std::string& model) const;
  NoUpstream ExplainNone(const PickRequest& request, std::string reason) const;
  void UpdateCold(Row* row, TimeMs now);
  std::optional<RateLimit> CurrentLimit(const Row& row, TimeMs now) const;
  struct Candidates {
    std::vector<Row*> available;
    std::vector<Row*> unavailable;  // Limited or backing off.
    std::vector<Row*> evacuated;    // In halls that are evacuated and not closed yet.

    void Add(Row* row, bool is_evacuated, TimeMs now);
  };
  Candidates FindHolders(const PickRequest& request, TimeMs now);
  Candidates FindUsable(const PickRequest& request, TimeMs now);
  // The one that accepts requests again first; null if the list is empty.
  static const Row* SoonestAvailable(const std::vector<Row*>& unavailable);
  bool IsFresh(const Row& row, TimeMs now) const;
  bool IsObserved(const Row& row, TimeMs now) const {
    return is_planner() || row.observed_until > now || row.in_flight > 0;
  }
  // Whether the state of the engine is known well enough to choose it for a load: by a view or, if
  // no view has been asked for, by its record.
  bool IsJudgeable(const Row& row, TimeMs now) const;
  void Observe(Row* row, TimeMs now);
  // The rows among which requests for the model are spread: with many replicas, only some.
  std::vector<Row*> FindSpreadHolders(const std::string& model, const AllowedRegions& allowed,
                                      TimeMs now) const;
  // Engines that may be chosen to load the model.
  std::vector<Row*> FindLoadCandidates(const std::string& model, const std::vector<Row*>& usable,
                                       TimeMs now) const;
  // The rate that this entry reports to each of the `replicas` that it observes, so that the sums
  // over all entries are rates of the whole fleet.
  double ReportedRate(const std::string& model, int replicas, TimeMs now) const;
  bool IsUnresponsive(const Row& row, TimeMs now) const;
  bool Holds(const Row& row, const ModelRef& model, TimeMs now) const;
  bool IsFull(const Row& row, const PickRequest& request, TimeMs now) const;
  void RecordDeparture(const std::string& service, TimeMs now);
  void Index(Row* row);
  void Unindex(Row* row);
  PickResult ChooseHolder(const PickRequest& request, const std::vector<Row*>& holders,
                          TimeMs now) const;
  double LoadScore(const Row& row, const PickRequest& request, TimeMs now) const;
  double DistanceLoad(const Row& row, bool is_load_shared, TimeMs now) const;
  // Returns `reopening` if that is sooner than any load.
  PickResult ChooseLoadTarget(const PickRequest& request, const std::vector<Row*>& usable,
                              const std::optional<WaitFor>& reopening, TimeMs now);
  std::string PendingLoadInstance(const PickRequest& request, TimeMs now);
  // `is_pending`: the instance was asked before and is not overdue.
  void RecordLoadRequest(const PickRequest& request, const std::string& instance,
                         DurationMs estimate, bool is_pending, TimeMs now);
  DurationMs EstimateLoad(const Row& row, const ModelRef& model, const StoreUse& store,
                          TimeMs now) const;
  double EvictionCost(const Row& row, const ModelRef& model) const;
  double BlockingCost(const Row& row, const ModelRef& model) const;
  double CostToOthers(const Row& row, const ModelRef& model) const;
  const ModelSpec* FindModelSpec(const Row& row, std::string_view model) const;
  StoreUse CurrentStoreUse(TimeMs now) const;
  void ShareWeightStore(std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double RequestRate(const std::string& model, TimeMs now) const;
  // Requests a second for each loaded model over all entries, as summed by the agents;
  // ordered by name, so that repeated demand is identical.
  using RateByModel = std::map<std::string_view, double>;
  RateByModel FleetRates(std::string_view service, TimeMs now) const;
  // Number of usable upstreams that have each model loaded, or will soon. The keys
  // point into the rows and are valid until a row changes.
  using CountByModel = std::unordered_map<std::string_view, int>;
  CountByModel CountReplicas(std::string_view service, TimeMs now) const;
  int CountReplicasOf(const std::string& model, const AllowedRegions& allowed, TimeMs now) const;
  CountByModel CountPendingReplicas(std::string_view service, const AllowedRegions& allowed,
                                    TimeMs now) const;
  ModelDemand ToModelDemand(const WaitingRequests& waiting, TimeMs now) const;
  void AddModelUse(AgentDemand* demand, const Row& row, TimeMs now) const;
  int CountRegionReplicas(const Row& row, const std::string& model, TimeMs now) const;
  void AddReplicas(std::map<std::string, AgentDemand>* demands, TimeMs now);
  // Returns whether a replica is requested or pending.
  bool AddReplica(const std::string& service, const std::string& model, double fleet_per_s,
                  const RegionDemand::Scope& scope, std::map<std::string, AgentDemand>* demands,
                  TimeMs now);
  // The model's replicas in the allowed regions.
  internal::ReplicaSpread FindReplicas(const std::string& model, const AllowedRegions& allowed,
                                       TimeMs now) const;
  void AddEvacuatedModels(const std::string& service, std::map<std::string, AgentDemand>* demands,
                          TimeMs now);
  // Whether the engines that have the model loaded are nearly full.
  bool IsNearCapacity(const std::string& model, const AllowedRegions& allowed, TimeMs now) const;
  int CountEngines() const;
  Row* ChooseReplicaTarget(std::string_view service, const std::string& model,
                           const AllowedRegions& allowed, TimeMs now);
  struct StagingSurvey;
  StagingSurvey SurveyForStaging(std::string_view service, TimeMs now) const;
  void AddPreloads(std::map<std::string, AgentDemand>* demands, TimeMs now);
  void AddStaging(const EngineSpec& spec, const StagingSurvey& survey,
                  std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double FreeMb(const Row& row) const;
  int CountCopies(std::string_view service, std::string_view model, const AllowedRegions& allowed,
                  TimeMs now) const;
  void AddSpareCopies(std::string_view service, const StagingSurvey& survey,
                      std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double DepartureProbability(std::string_view service, int engines, TimeMs now) const;

  RoutingOptions options_;
  std::map<std::string, ServiceSpec> services_;
  std::map<std::string, Row> rows_;  // By instance.
  // Upstreams that may receive requests, by service and software version.
  std::map<std::string, std::map<std::string, int>, std::less<>> version_counts_;
  // By model, the rows whose record or last view has it loaded: selection looks only at
  // these while one of them can take the request.
  std::unordered_map<std::string, std::vector<Row*>> holders_;

  bool is_designated_planner_ = true;
  bool is_small_fleet_ = false;
  EvacuatedHalls evacuated_halls_;
  std::set<std::string> limited_;  // Instances that have, had or may have a limit.

  DepartedUpstreams departed_;
  std::map<std::string, std::deque<TimeMs>> departures_;  // Departure times, by service.
  std::map<std::string, ModelRate> rates_;
  TimeMs first_arrival_ = 0;  // First request for any model; 0: none yet.
  // The agent last asked to load a model.
  struct LoadRequest {
    std::string instance;
    TimeMs overdue_at = 0;      // Extended while its view shows work on the load.
    TimeMs last_waited_at = 0;  // When a request last waited for the model.
  };
  std::map<std::string, LoadRequest> load_requests_;  // By model and allowed regions.
  // Where a further replica was requested.
  struct ReplicaRequest {
    std::string instance;
    TimeMs at = 0;
  };
  std::map<std::string, ReplicaRequest> replica_requests_;  // By model.
  std::map<ReplicaDomain, std::uint64_t> replica_request_counts_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ROUTING_H_

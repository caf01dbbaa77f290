// Which upstream a request goes to when entries speak with upstreams
// themselves: routes, the table of upstreams, the choice among them, the
// retry budget, and what cold models are asked for. Decisions only; the time
// is handed in and nothing here opens a socket.
#ifndef JUNCTIONRAIL_ROUTING_H_
#define JUNCTIONRAIL_ROUTING_H_

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/listing.h"
#include "junctionrail/settings.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {

// How often a request may run.
enum class RequestKind {
  kIdempotent,     // Any number of times.
  kNonIdempotent,  // At most once.
  kStreaming,      // An answer in events; repeatable only where the route says so.
};

struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

// One rule of the operators: which service takes the requests of a host and
// path, and how they are held to time.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  bool is_resumable = false;            // Streams only: may go on at another upstream.
  DurationMs timeout_ms = 0;            // The longest a request may be held.
  DurationMs first_byte_target_ms = 0;  // The target for the first byte of the answer.
  DurationMs stream_gap_target_ms = 0;  // The target for the longest pause in a stream.
  DurationMs caller_timeout_ms = 0;     // Callers leave after so much silence.
  int max_attempts = 1;                 // Upstreams that one request may be sent to.
  int priority = 0;                     // 0 is the most urgent.
  bool is_public = false;               // Callers need no key.
  std::vector<WeightedService> traffic_split;

  bool IsRetryable() const { return kind == RequestKind::kIdempotent || is_resumable; }
};

// A model that operators declare for an engine service.
struct ModelSpec {
  std::string name;
  double size_mb = 0;
  double adapter_mb = 0;
  DurationMs store_load_ms = 0;   // From the weight store, undisturbed.
  DurationMs disk_load_ms = 0;    // From the upstream's own disk.
  DurationMs memory_load_ms = 0;  // From the upstream's host memory.
};

// The models of a service. Found by name in constant time: each estimate of a
// load looks some of them up, and there may be thousands.
class ModelCatalog {
 public:
  ModelCatalog() = default;
  ModelCatalog(std::initializer_list<ModelSpec> models);

  // The first of two models with one name is the one that is found.
  void push_back(ModelSpec spec);  // NOLINT(readability-identifier-naming): as in containers.
  // Null when there is none of that name.
  const ModelSpec* Find(std::string_view model) const;
  std::vector<ModelSpec>::const_iterator begin() const { return models_.begin(); }  // NOLINT
  std::vector<ModelSpec>::const_iterator end() const { return models_.end(); }      // NOLINT
  const ModelSpec& at(std::size_t n) const { return models_.at(n); }                // NOLINT
  std::size_t size() const { return models_.size(); }                               // NOLINT

 private:
  std::vector<ModelSpec> models_;
  std::unordered_map<std::string, std::size_t> index_;  // By name.
};

// What the engines of a service hold; alike on all its upstreams.
struct EngineSpec {
  double accelerator_mb = 0;  // Weights and adapters together.
  int adapter_slots = 0;
  double disk_mb = 0;
  ModelCatalog models;

  const ModelSpec* Find(std::string_view model) const { return models.Find(model); }
};

struct ServiceSpec {
  std::string name;
  int max_connections = 0;  // Of all callers together, to one upstream.
  std::optional<EngineSpec> engine;
};

// Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  DurationMs header_timeout_ms = 5000;
  DurationMs idle_timeout_ms = 15000;
};

struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  // None: callers are asked for no key.
  std::optional<OrganisationTable> organisations;

  const ServiceSpec* FindService(std::string_view name) const;
};

// Finds the route of a request: the longest prefix of its host.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfiguration configuration);

  // `path` is without its query. Null when no route matches.
  const Route* Find(std::string_view host, std::string_view path) const;
  const RoutingConfiguration& configuration() const { return configuration_; }

 private:
  RoutingConfiguration configuration_;
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;  // Longest prefix first.
};

// The service that takes a request, by the route's weights. The same request
// id always gives the same service.
std::string_view PickService(const Route& route, std::string_view request_id);

// A model, or an adapter of it.
struct ModelRef {
  std::string model;
  std::string adapter;  // Empty for the model itself.

  std::string ToString() const { return adapter.empty() ? model : model + "/" + adapter; }
  bool operator<(const ModelRef& other) const {
    return std::tie(model, adapter) < std::tie(other.model, other.adapter);
  }
  bool operator==(const ModelRef& other) const {
    return model == other.model && adapter == other.adapter;
  }
};

// What a listing changed in what is believed of one upstream.
enum class UpstreamChangeKind {
  kListed,   // For the first time, or again.
  kLeaving,  // It says that it leaves.
  kMissing,  // Its record is not there, and may only have lapsed.
  kGone,     // Its record is not there.
};
struct UpstreamChange {
  UpstreamChangeKind kind = UpstreamChangeKind::kListed;
  std::string instance;
  std::string service;
};

// A load from the weight store that an agent would order if it might.
struct StoreLoadRequest {
  bool has_waiting_requests = false;  // Requests wait for it; else it is staged or a replica.
  double weight = 0;                  // Of who wants it, as PlacementCore weighs; 0: staged.
  DurationMs age_ms = 0;              // Since the agent first wanted one.
};

// What the agent beside an engine says of it.
struct EngineView {
  std::string instance;
  std::vector<LoadedModel> loaded;         // Ready for requests.
  std::string loading;                     // The model under load; empty for none.
  bool is_loading_from_store = false;      // That load takes from the weight store.
  DurationMs load_remaining_ms = 0;        // Until that load is done, as estimated.
  std::vector<std::string> queue;          // Models to load next.
  std::vector<std::string> cached_models;  // Models on its disk or in its host memory.
  int running = 0;
  int waiting = 0;
  double kv_usage = 0;  // Of the memory for tokens, what is in use; 0 to 1.
  int entries = 1;      // Entries that have a link to this agent.
  std::optional<StoreLoadRequest> store_load_request;
  std::map<std::string, double> requests_per_s;  // Of what is loaded: requests at all entries.
  // Of what is loaded: what its callers lose, in milliseconds beyond their
  // targets over all of them, if it makes room for another model.
  std::map<std::string, double> eviction_cost_ms;
  double model_waits_per_s = 0;  // Models that requests begin to wait for here.
  // The agent takes what entries say of upstreams that ended, and passes it on.
  bool relays_upstream_ends = false;
};

// What an entry asks of one agent.
struct ModelDemand {
  ModelRef ref;
  int waiting = 0;        // Requests held for it here; 0: another replica is wanted.
  int priority = 0;       // Of the most urgent of them.
  DurationMs age_ms = 0;  // Of the oldest of them.
  double requests_per_s_per_replica = 0;  // Requests a second at each replica that there is.
  // Callers beyond their target at any moment, as they queue at the replicas
  // that there are.
  double late_callers = 0;
  int late = 0;               // Of those waiting, beyond their targets already.
  DurationMs slack_ms = 0;    // Of the others, until the first is late.
  double requests_per_s = 0;  // Requests a second for the model that this entry sees.
  // Requests a second at all entries that are expected to find no copy soon, as the
  // engines that have one leave. Only free memory is used for them.
  double at_risk_requests_per_s = 0;
};
struct ModelUse {
  std::string model;
  int in_flight = 0;          // Of this entry, at this upstream.
  double requests_per_s = 0;  // Requests a second that this entry sees, anywhere.
  int replicas = 0;           // Upstreams that hold it, as this entry knows.
  DurationMs idle_ms = 0;     // Since this entry last saw a request for it.
  std::vector<std::string> adapters_in_use;
  DurationMs target_ms = 0;  // For the first event, of its last request; 0: unknown.
  int priority = 0;          // Of its last request.
};
struct AgentDemand {
  std::string entry;
  std::string instance;  // The upstream meant.
  std::vector<ModelDemand> wanted;
  std::vector<ModelUse> use;
  std::vector<std::string> stage;  // To load when nothing else is to do.
  // The weight store has room for a load by this agent: see Demands.
  bool may_load_from_store = true;
  // The entry says the same again after so long, if nothing has changed.
  DurationMs resend_interval_ms = 1000;
  // The entry understands views that hold only what has changed.
  bool accepts_view_updates = false;
  // The entry is to be told of upstreams that ended.
  bool wants_upstream_ends = false;
};

struct RoutingOptions {
  std::string data_hall;
  // Loads that the weight store serves at once before they slow each other. It
  // says so nowhere; too few delays loads, too many slows each.
  int parallel_store_loads = 4;
  PolicySettings policy;
};

// The times and weights of the choice; see routing.cc for where each is from.
struct RoutingTimes {
  static constexpr DurationMs kViewMaxAgeMs = 1600;
};

// Whom a request may go to.
struct PickRequest {
  std::string_view service;
  std::optional<ModelRef> model;
  std::string_view affinity;       // Requests alike in this share prompts.
  std::string_view request_id;     // Spreads requests over upstreams alike in load.
  std::vector<std::string> tried;  // Instances not to choose again.
  // Instances not to choose now; a request for a model waits for one of them where no
  // other holds it.
  std::vector<std::string> occupied;
  // Instances that may end soon: chosen only where the others are much busier.
  std::vector<std::string> risky;
};
struct SendTo {
  std::string instance;
};
struct WaitFor {
  std::string instance;        // Whose agent is asked; empty when none can be.
  DurationMs estimate_ms = 0;  // Until the model is up.
  std::string_view source;     // Where it comes from, for logs.
  double cost_ms = 0;          // What callers of other models lose by it, all together.
};
struct NoUpstream {
  std::string reason;
  DurationMs retry_after_ms = 0;  // When one of them takes requests again; 0: not known.
};
using PickResult = std::variant<SendTo, WaitFor, NoUpstream>;

// What an upstream says in an answer of how it is to be used from then on.
struct UpstreamNotice {
  // Requests a second that it takes from all entries together; none: as many as come.
  std::optional<double> limit_per_s;
  // It wants nothing from this entry for so long; 0: it asks for no rest.
  DurationMs backoff_ms = 0;
  bool is_leaving = false;
  std::string malformed;  // What could not be read, with the field's name; empty: nothing.
};

// What an upstream has said of how it is to be used, and from when on it takes requests.
class UpstreamThrottle {
 public:
  // An answer to a request sent at `sent_at` names this limit, or none. Whether that is news.
  bool OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now);
  // All entries together have sent what the limit allows, for so long.
  void OnLimitExhausted(TimeMs until) { limit_exhausted_until_ = until; }
  // An answer to a request sent at `sent_at` asks for a rest, or for none: 0.
  void OnBackoff(DurationMs backoff_ms, TimeMs sent_at, TimeMs now);
  void OnSent(TimeMs now) { sent_at_ = now; }

  std::optional<double> limit_per_s() const { return limit_per_s_; }
  // Whether it has asked for a rest that lasts still.
  bool IsBackingOff(TimeMs now) const { return backoff_until_ > now; }
  // From when on it takes requests.
  TimeMs AvailableAt() const;

 private:
  std::optional<double> limit_per_s_;  // From all entries together.
  TimeMs limit_at_ = 0;                // When it last named one.
  TimeMs limit_exhausted_until_ = 0;   // Nothing is left of the limit.
  TimeMs backoff_until_ = 0;           // It wants nothing until then.
  bool needs_probe_ = false;           // It has taken nothing since that rest.
  TimeMs sent_at_ = 0;                 // When it was last sent a request.
};

// How an attempt at an upstream ended, as far as it tells of its health.
enum class AttemptOutcome { kServed, kRefused, kFailed, kUnreachable, kTimedOut, kCallerLeft };

// All that an entry believes of upstreams.
class UpstreamTable {
 public:
  explicit UpstreamTable(RoutingOptions options) : options_(std::move(options)) {}
  // `holders_` points to rows, which stay where they are when the table is moved.
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable(UpstreamTable&&) = default;

  void SetPolicy(const PolicySettings& policy) { options_.policy = policy; }
  const PolicySettings& policy() const { return options_.policy; }

  // A whole listing, completed by ExpiredRecordKeeper. Returns what it changed.
  std::vector<UpstreamChange> ApplyListing(const std::vector<UpstreamRecord>& listing, TimeMs now);
  void ApplyServices(const std::vector<ServiceSpec>& services);
  void ApplyView(const EngineView& view, TimeMs now);
  void ForgetView(const std::string& instance);

  PickResult Choose(const PickRequest& request, TimeMs now);

  // `priority` and `target_ms`, for the first event, are those of the request's
  // route.
  void OnArrival(const std::optional<ModelRef>& model, int priority, DurationMs target_ms,
                 TimeMs now);
  void OnSent(const std::string& instance, const std::optional<ModelRef>& model, TimeMs now);
  // The upstream answered something.
  void OnResponseData(const std::string& instance, TimeMs now);
  // A request waited so long at an upstream for its first event, or in vain.
  void OnFirstEvent(const ModelRef& model, DurationMs waited_ms);
  // Average wait at upstreams for the first event; 0 while unknown.
  DurationMs FirstEventMs(const ModelRef& model) const;
  void OnAttemptEnd(const std::string& instance, const std::optional<ModelRef>& model,
                    AttemptOutcome end, TimeMs now);
  // Of an upstream in the table, else null.
  UpstreamThrottle* FindThrottle(const std::string& instance);
  std::optional<double> LimitOf(const std::string& instance) const;
  bool IsBackingOff(const std::string& instance, TimeMs now) const;
  // How many upstreams name a limit.
  int CountLimited() const;
  // The upstream says that it leaves, whatever its record says. Whether that is news.
  bool OnLeavingNotice(const std::string& instance, TimeMs now);
  // The upstream says that it is another instance, or does not hold the model.
  void OnInstanceReplaced(const std::string& instance);
  void OnModelNotLoaded(const std::string& instance, const ModelRef& model, TimeMs now);

  // Which models waiting requests are for.
  struct WaitingRequests {
    ModelRef ref;
    std::string service;
    int count = 0;
    int priority = 0;
    TimeMs since = 0;
    std::string asked_instance;  // The instance whose agent was asked.
    int late = 0;                // Beyond their targets.
    TimeMs next_late_at = 0;     // When the first of the others will be.
  };

  // What to tell each agent now, by instance.
  std::map<std::string, AgentDemand> BuildDemands(const std::vector<WaitingRequests>& waiting,
                                                  TimeMs now);
  // Of that, what the waiting requests ask of one of them.
  std::vector<ModelDemand> ModelDemandsFor(const std::string& instance,
                                           const std::vector<WaitingRequests>& waiting,
                                           TimeMs now) const;

  const UpstreamRecord* Find(const std::string& instance) const;
  // Whether the upstream is there for new requests, healthy or not.
  bool IsListed(const std::string& instance) const;
  // Whether the upstream can take requests for the model, as far as is known.
  bool HasModel(const std::string& instance, const ModelRef& model, TimeMs now) const;
  bool HasFreshView(const std::string& instance, TimeMs now) const;
  // Engines that are listed, and of which no view has come for `ms`.
  std::vector<Endpoint> EnginesWithoutView(DurationMs ms, TimeMs now) const;
  // How many entries there are, as the agents count their links; at least 1.
  int CountEntries(TimeMs now) const;

 private:
  struct Row {
    UpstreamRecord record;
    TimeMs listed_at = 0;  // For the first time.
    bool is_gone = false;  // No longer listed.
    bool was_replaced = false;
    EngineView view;
    TimeMs view_at = 0;  // 0: none.
    int in_flight = 0;
    int sent_since_view = 0;
    TimeMs unanswered_since = 0;  // Of requests under way; 0: none, or all was answered.
    std::map<ModelRef, int> in_flight_by_model;
    std::map<ModelRef, TimeMs> not_loaded_until;
    std::map<ModelRef, TimeMs> load_overdue_until;  // Asked for it in vain.
    std::vector<std::string> indexed_models;        // Models under which `holders_` has the row.
    UpstreamThrottle throttle;
    int failures = 0;  // In a row.
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

    double LateShare() const;
    double LateCallers(double fleet_per_s) const;
  };

  // The weight store's use, by the views of the fleet.
  struct StoreUse {
    int active_loads = 0;   // Under way.
    int waiting_loads = 0;  // Requests wait for so many more.
  };

  static bool IsPresent(const Row& row, std::string_view service);
  bool IsUsable(const Row& row, std::string_view service, TimeMs now) const;
  struct Candidates {
    std::vector<Row*> available;
    std::vector<Row*> unavailable;  // They want no requests now.
  };
  Candidates FindHolders(const PickRequest& request, TimeMs now);
  Candidates FindUsable(std::string_view service, TimeMs now);
  // The first of these to take requests again; null where there is none.
  static const Row* SoonestAvailable(const std::vector<Row*>& unavailable);
  bool IsFresh(const Row& row, TimeMs now) const;
  bool IsUnresponsive(const Row& row, TimeMs now) const;
  bool Holds(const Row& row, const ModelRef& model, TimeMs now) const;
  bool IsFull(const Row& row, TimeMs now) const;
  void RecordDeparture(const std::string& service, TimeMs now);
  void ForgetOldDepartures(TimeMs now);
  void Index(Row* row);
  void Unindex(Row* row);
  PickResult ChooseHolder(const PickRequest& request, const std::vector<Row*>& holders,
                          TimeMs now) const;
  double LoadScore(const Row& row, const PickRequest& request, TimeMs now) const;
  // `opening`, where that is sooner than any load.
  PickResult ChooseLoadTarget(const PickRequest& request, const std::vector<Row*>& usable,
                              const std::optional<WaitFor>& reopening, TimeMs now);
  std::string PendingLoadInstance(const ModelRef& model, TimeMs now);
  void RecordLoadRequest(const ModelRef& model, const std::string& instance, DurationMs estimate,
                         TimeMs now);
  DurationMs EstimateLoad(const Row& row, const ModelRef& model, const StoreUse& store,
                          TimeMs now) const;
  double EvictionCost(const Row& row, const ModelRef& model) const;
  double BlockingCost(const Row& row, const ModelRef& model) const;
  double CostToOthers(const Row& row, const ModelRef& model) const;
  const ModelSpec* FindModelSpec(const Row& row, std::string_view model) const;
  StoreUse CurrentStoreUse(TimeMs now) const;
  void ShareWeightStore(std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double RequestRate(const std::string& model, TimeMs now) const;
  // Requests a second of each loaded model over all entries, as agents add up; in
  // the order of names, so that two rounds of demand say the same in the same order.
  using RateByModel = std::map<std::string_view, double>;
  RateByModel FleetRates(std::string_view service, TimeMs now) const;
  // Of each model, how many usable upstreams hold it, or load it soon. The names
  // are those in the rows: for use until one of them changes.
  using CountByModel = std::unordered_map<std::string_view, int>;
  CountByModel CountReplicas(TimeMs now) const;
  CountByModel CountPendingReplicas(std::string_view service, TimeMs now) const;
  ModelDemand ToModelDemand(const WaitingRequests& waiting, TimeMs now) const;
  void AddModelUse(AgentDemand* demand, const Row& row, const CountByModel& replicas,
                   TimeMs now) const;
  void AddReplicas(std::map<std::string, AgentDemand>* demands, const CountByModel& replicas,
                   TimeMs now);
  // Whether the engines that hold the model are nearly full.
  bool IsNearCapacity(const std::string& model, TimeMs now) const;
  const Row* ChooseReplicaTarget(std::string_view service, const std::string& model, TimeMs now);
  struct StagingSurvey;
  StagingSurvey SurveyForStaging(std::string_view service, TimeMs now) const;
  void AddPreloads(std::map<std::string, AgentDemand>* demands, TimeMs now);
  void AddStaging(const EngineSpec& spec, const StagingSurvey& survey,
                  std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double FreeMb(const Row& row) const;
  int CountCopies(std::string_view service, std::string_view model, TimeMs now) const;
  void AddSpareCopies(std::string_view service, const StagingSurvey& survey,
                      std::map<std::string, AgentDemand>* demands, TimeMs now) const;
  double DepartureProbability(std::string_view service, int engines, TimeMs now) const;

  RoutingOptions options_;
  std::map<std::string, ServiceSpec> services_;
  std::map<std::string, Row> rows_;  // By instance.
  // By model, the rows whose record or last view has it loaded: a choice looks at
  // these alone while one of them can take the request.
  std::unordered_map<std::string, std::vector<Row*>> holders_;

  std::map<std::string, TimeMs> gone_after_leaving_;      // Instances that are gone, and when.
  std::map<std::string, std::deque<TimeMs>> departures_;  // When upstreams left, by service.
  std::map<std::string, ModelRate> rates_;
  TimeMs first_arrival_ = 0;  // Of any request for a model; 0: none yet.
  // Whose agent was asked last for a model.
  struct LoadRequest {
    std::string instance;
    TimeMs overdue_at = 0;      // It should have had it long before.
    TimeMs last_waited_at = 0;  // When a request last waited for it.
  };
  std::map<std::string, LoadRequest> load_requests_;  // By model.
  // Where a further replica was asked for.
  struct ReplicaRequest {
    std::string instance;
    TimeMs at = 0;
  };
  std::map<std::string, ReplicaRequest> replica_requests_;  // By model.
};

// Limits attempts beyond the first to a share of the requests of a service.
// Every entry spends only its own share, so that the fleet keeps the bound
// without talk.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.15;        // Of this entry's requests in the window.
    double fixed_attempts = 4;  // Attempts in any window regardless of requests.
    DurationMs window_ms = 10000;
  };
  explicit RetryBudget(Options options) : options_(options) {}

  void SetOptions(Options options) { options_ = options; }
  void OnRequest(const std::string& service, TimeMs now);
  // How many entries share the fixed allowance.
  void SetEntries(int entries) { entries_ = entries; }
  // Takes one attempt if the budget allows it.
  bool TryConsume(const std::string& service, TimeMs now);

 private:
  struct Window {
    std::deque<TimeMs> requests;
    std::deque<TimeMs> retries;
  };
  void Expire(Window* window, TimeMs now) const;

  Options options_;
  int entries_ = 1;
  std::map<std::string, Window> windows_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ROUTING_H_

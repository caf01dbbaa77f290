// Decides which models and adapters one engine loads and unloads, and which process
// gives the engine its orders: its agent or, while it has none, one entry.
// Pure decision logic: callers pass in the time, and nothing here does I/O.
#ifndef JUNCTIONRAIL_PLACEMENT_H_
#define JUNCTIONRAIL_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/routing.h"

namespace junctionrail {

// The state that an engine reports about itself.
struct EngineReport {
  std::vector<LoadedModel> loaded;
  std::vector<std::string> in_memory;      // Models whose weights are in host memory.
  std::vector<std::string> on_disk;        // Models whose weights are on the local disk.
  std::vector<ModelRef> loading_adapters;  // Adapters being loaded.
  bool is_busy = false;                    // The engine is executing an order on a model.
  std::int64_t sequence = 0;               // Number of orders accepted since the engine started.
  std::int64_t started_unix_ms = 0;        // Start of the engine, Unix time; 0 if not reported.
  int running = 0;
  int waiting = 0;
  double kv_cache_usage = 0;  // Used share of the KV cache, 0 to 1.
};

enum class OrderKind { kLoad, kUnload };

// An order to the engine. The engine executes it only while its sequence number equals
// `expected_sequence`, so an order that arrives late has no effect.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelRef target;
  std::int64_t expected_sequence = 0;
  std::string reason;       // For logs.
  std::string reserve_for;  // For an unload: the model that the freed memory is reserved for.
};

enum class EngineOrderResult {
  kAccepted,
  kAlreadyHolds,
  kConflict,    // Another order is in progress, or the sequence has advanced.
  kStaleFence,  // The engine has seen a higher fencing token.
  kOtherInstance,
  kRejected,
  kUnknown,  // No answer: the engine may still execute the order.
};

// Decides the orders to one engine from the engine's reports and the entries' demand.
class PlacementCore {
 public:
  // Starts over for the engine instance `instance`, which has just started or was just
  // discovered.
  void Reset(std::string instance);
  const std::string& instance() const { return instance_; }

  void SetSpec(EngineSpec spec) { spec_ = std::move(spec); }
  void SetPolicy(const PolicySettings& policy) { policy_ = policy; }
  bool has_spec() const { return spec_.accelerator_mb > 0; }

  void OnReport(EngineReport report, TimeMs now);
  // Replaces the demand of the entry connected by `link`.
  void OnDemand(std::uint64_t link, AgentDemand demand, TimeMs now);
  void OnEntryDisconnected(std::uint64_t link);

  // Returns the order to send now, if any. The caller sends it and passes the result to
  // OnOrderResult.
  std::optional<EngineOrder> NextOrder(TimeMs now);
  void OnOrderResult(const EngineOrder& order, EngineOrderResult answer, TimeMs now);

  EngineView BuildView(TimeMs now) const;
  // Returns whether the entry connected by `link` needs a changed view at once: it has
  // unmet demand, or has recently sent requests for one of the removed models `gone`.
  bool IsAffected(std::uint64_t link, const std::vector<std::string>& gone) const;
  bool AcceptsViewUpdates(std::uint64_t link) const;
  // Returns whether an order or a demand is outstanding, so that the next report may show
  // progress.
  bool IsActive() const;
  bool HasDemand() const { return !demands_.empty(); }

 private:
  struct ReceivedDemand {
    AgentDemand demand;
    TimeMs received_at = 0;
  };
  const AgentDemand* FindDemand(std::uint64_t link) const;
  static constexpr DurationMs kNoDeadlineMs = 1LL << 40;
  struct CombinedDemand {
    ModelRef ref;
    int waiting = 0;
    int priority = 0;
    DurationMs age_ms = 0;
    double requests_per_s_per_replica = 0;
    double expected_late = 0;
    int already_late = 0;
    DurationMs ms_until_late = kNoDeadlineMs;
    double requests_per_s = 0;
    double at_risk_requests_per_s = 0;
    double weight = 0;  // Urgency of loading this model next; see WeightOf.
  };
  struct CombinedUse {
    int in_flight = 0;
    double requests_per_s = 0;
    int replicas = 1;
    int region_replicas = 0;   // In the engine's region; 0: unknown, or no request belongs there.
    DurationMs idle_ms = -1;   // Since the last request; -1 if there was none.
    int priority = 0;          // The most urgent among the entries' last requests.
    DurationMs target_ms = 0;  // The shortest among the entries' last requests; 0 if unknown.
  };
  // Returns whether any entry reports requests that use the adapter.
  bool IsAdapterInUse(const ModelRef& adapter) const;
  double WeightOf(const CombinedDemand& demand) const;
  double StoreLoadWeightOf(const CombinedDemand& demand) const;

  void ExpireDemands(TimeMs now);
  void UpdateNewWaitRate(TimeMs now);
  std::vector<CombinedDemand> CombineDemands() const;
  CombinedUse CombineUse(const std::string& model) const;
  const LoadedModel* FindLoaded(std::string_view model) const;
  bool IsStoredLocally(std::string_view model) const;
  double UsedMb() const;
  int UsedAdapterSlots() const;
  // Returns by how much the model exceeds the free accelerator memory; it fits if the result
  // is 0 or less.
  double MemoryShortfallMb(const ModelSpec& spec) const;
  bool MayLoadFromStore() const;
  // Returns whether the load has to wait for capacity at the weight store, and records it as
  // blocked if so.
  bool MustWaitForStore(const std::string& model, bool is_waited_for, double weight, TimeMs now);
  std::optional<EngineOrder> ChooseAdapterOrder(const CombinedDemand& demand,
                                                const std::vector<CombinedDemand>& demands);
  std::optional<EngineOrder> ChooseModelOrder(const CombinedDemand& demand,
                                              const std::vector<CombinedDemand>& demands,
                                              TimeMs now);
  std::optional<EngineOrder> ChooseOrder(TimeMs now);
  std::optional<EngineOrder> ChooseStagingOrder(const std::vector<CombinedDemand>& demands,
                                                TimeMs now);
  std::optional<std::string> ChooseVictim(const std::vector<CombinedDemand>& demands,
                                          double missing_mb, double max_cost_ms, bool may_interrupt,
                                          TimeMs now) const;
  EngineOrder MakeOrder(OrderKind kind, ModelRef target, std::string reason) const;
  DurationMs EstimateLoadMs(const std::string& model) const;
  double EvictionCost(const std::string& model) const;
  double PriorityWeight(int priority) const;

  std::string instance_;
  EngineSpec spec_;
  PolicySettings policy_;
  EngineReport report_;
  bool has_report_ = false;
  std::map<std::uint64_t, ReceivedDemand> demands_;
  std::optional<EngineOrder> pending_order_;  // Sent; no report shows its effect yet.
  bool is_pending_unconfirmed_ = false;       // The engine did not answer it.
  TimeMs pending_since_ = 0;
  std::string changing_model_;  // The model being loaded or unloaded.
  bool is_unloading_ = false;
  bool is_loading_from_store_ = false;
  TimeMs changing_since_ = 0;
  // The model that another one was evicted for, until it is loaded.
  std::string reserved_for_;
  TimeMs reserved_at_ = 0;
  std::map<std::string, TimeMs> loaded_at_;
  std::set<std::string> awaited_models_;  // Models with waiting requests.
  double new_waits_per_s_ = 0;            // Average rate at which models join `awaited_models_`.
  TimeMs new_waits_updated_at_ = 0;
  std::map<ModelRef, TimeMs> adapter_used_at_;
  TimeMs next_order_at_ = 0;  // No order is sent earlier; set when an order is refused.
  std::optional<StoreLoadRequest> blocked_store_load_;
  TimeMs blocked_since_ = 0;  // 0 if no load is blocked.
};

// An entry's claim, in the store, to be the one that gives orders to an engine. Claims are
// created conditionally, so an engine has at most one, and expire with the entry's lease.
struct HostClaim {
  std::string engine;  // The engine's address.
  std::string entry;
  Endpoint demand_endpoint;   // Where the entry accepts demand for the engine.
  std::int64_t revision = 0;  // Store revision that created the claim; the fencing token.
};

// Intervals of the election; host_election.cc gives the reasons for the values.
struct HostElectionTiming {
  // How long connections to the agent must be refused before a claim.
  DurationMs refused_before_claim_ms = 6000;
  // Each entry adds its own delay of up to this to a claim.
  DurationMs claim_jitter_ms = 20000;
  // Delay from a claim to the first order.
  DurationMs takeover_delay_ms = 3500;
  // Between probes of the agent's port: for an unclaimed engine, and for a hosted one.
  DurationMs probe_interval_ms = 2500;
  DurationMs hosted_probe_interval_ms = 1000;
};

// Decides which engines without an agent this entry hosts, that is, gives orders to.
// Pure decision logic: the caller probes ports, reads and writes claims, and renews the
// lease.
class HostElection {
 public:
  // The result of connecting to an agent's port.
  enum class ProbeResult {
    kOpen,      // A process is listening.
    kRefused,   // The VM is up and no process is listening.
    kNoAnswer,  // Says nothing about the agent.
  };

  explicit HostElection(std::string entry, HostElectionTiming timing = {})
      : entry_(std::move(entry)), timing_(timing) {}

  // Sets the engines from which no view arrives.
  void SetEnginesWithoutView(const std::vector<std::string>& engines, TimeMs now);
  // Returns the engines whose agent ports are due to be probed. Each is returned once per
  // probe interval.
  std::vector<std::string> EnginesToProbe(TimeMs now);
  void OnProbe(const std::string& engine, ProbeResult result, TimeMs now);

  // Returns whether the caller should read the claims: an engine is hosted here, is claimed,
  // or refuses connections at its agent port.
  bool NeedsClaims() const;
  // Takes all claims of all entries, as read from the store at `requested_at`. The read must
  // be up to date while this entry holds a claim; otherwise it may lag by seconds.
  void OnClaims(std::vector<HostClaim> claims, TimeMs requested_at);
  const HostClaim* FindClaim(const std::string& engine) const;

  // The lease that claims are written under is valid for `ttl_ms` from `requested_at`.
  void OnLeaseRenewed(TimeMs requested_at, DurationMs ttl_ms) {
    lease_until_ = requested_at + ttl_ms;
  }
  void OnLeaseEnded();

  // Returns the engines to claim now.
  std::vector<std::string> EnginesToClaim(TimeMs now) const;
  // Returns the hosted engines whose agent is back.
  std::vector<std::string> EnginesToRelease() const;
  void OnClaimed(const HostClaim& claim, TimeMs now);
  void OnReleased(const std::string& engine);

  std::vector<std::string> HostedEngines() const;
  // Returns the fencing token for orders to the engine, or 0 while this entry may give none.
  std::int64_t FencingTokenFor(const std::string& engine, TimeMs now) const;

 private:
  struct EngineState {
    bool lacks_view = false;
    TimeMs probed_at = 0;
    TimeMs refused_since = 0;  // Start of an unbroken run of refusals; 0 if there is none.
    TimeMs refused_at = 0;     // The last refusal.
    bool is_open = false;
    std::int64_t revision = 0;  // Of the claim held by this entry; 0 if there is none.
    TimeMs claimed_at = 0;
  };

  std::string entry_;
  HostElectionTiming timing_;
  std::map<std::string, EngineState> engines_;  // By engine.
  std::map<std::string, HostClaim> claims_;     // By engine.
  TimeMs lease_until_ = 0;
};

// The parts of a view that change seldom and make up most of its size.
struct ViewParts {
  bool has_loaded = false;        // `loaded`.
  bool has_load_state = false;    // `loading`, `is_loading_from_store`, `queue`.
  bool has_local_models = false;  // `cached_models`.

  bool IsEmpty() const { return !has_loaded && !has_load_state && !has_local_models; }
  void Merge(const ViewParts& other);
};
// Returns the parts in which two views of the same instance differ.
ViewParts ChangedParts(const EngineView& before, const EngineView& after);
// Returns the models that are no longer loaded, or have lost an adapter.
std::vector<std::string> RemovedModels(const EngineView& before, const EngineView& after);

// The messages between entries and agents, in CBOR. The first view on a link and the first
// of a new instance are sent in full; later ones are updates that contain the given parts
// and the engine's load.
std::string EncodeView(const EngineView& view);
std::string EncodeViewUpdate(const EngineView& view, const ViewParts& parts);
// Decodes a full view, or applies an update to `view`, the previous one on the same link.
// Returns false if the bytes are neither, or are an update and `view` is empty; `view` may
// then be partly changed.
bool DecodeView(std::string_view bytes, EngineView* view);
std::string EncodeDemand(const AgentDemand& demand);
bool DecodeDemand(std::string_view bytes, AgentDemand* demand);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_PLACEMENT_H_

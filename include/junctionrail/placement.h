// What one engine holds: the agent beside it is the only giver of its orders.
// Decisions only; the time is handed in and nothing here opens a socket.
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

// The engine's own account of itself.
struct EngineReport {
  std::vector<LoadedModel> loaded;
  std::vector<std::string> in_memory;  // Weights copied in host memory.
  std::vector<std::string> on_disk;
  std::vector<ModelRef> loading_adapters;
  bool is_busy = false;              // Carries out an order on a model.
  std::int64_t sequence = 0;         // Orders taken since the engine started.
  std::int64_t started_unix_ms = 0;  // Its start, since 1970; 0: it does not tell.
  int running = 0;
  int waiting = 0;
  double kv_cache_usage = 0;  // Of the memory for tokens, what is in use.
};

enum class OrderKind { kLoad, kUnload };

// An order to the engine. It is carried out only while the engine's sequence
// is `expected_sequence`, so that one which arrives late changes nothing.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelRef target;
  std::int64_t expected_sequence = 0;
  std::string reason;       // For logs.
  std::string reserve_for;  // The model that an unload makes room for.
};

enum class EngineOrderResult {
  kAccepted,
  kAlreadyHolds,
  kConflict,    // Another order is under way, or the sequence has moved on.
  kStaleFence,  // A higher fencing token was seen.
  kOtherInstance,
  kRejected,
  kUnknown,  // No answer: it may yet be carried out.
};

class PlacementCore {
 public:
  // The engine is `instance`, which has just started or was just found.
  void Reset(std::string instance);
  const std::string& instance() const { return instance_; }

  void SetSpec(EngineSpec spec) { spec_ = std::move(spec); }
  void SetPolicy(const PolicySettings& policy) { policy_ = policy; }
  bool has_spec() const { return spec_.accelerator_mb > 0; }

  void OnReport(EngineReport report, TimeMs now);
  // What the entry behind `link` asks for; replaces what it asked before.
  void OnDemand(std::uint64_t link, AgentDemand demand, TimeMs now);
  void OnEntryDisconnected(std::uint64_t link);

  // The order to give now. The caller gives it and reports the answer.
  std::optional<EngineOrder> NextOrder(TimeMs now);
  void OnOrderResult(const EngineOrder& order, EngineOrderResult answer, TimeMs now);

  EngineView BuildView(TimeMs now) const;
  // Whether the entry behind `link` acts on it now that something changes here:
  // it waits for something, or has lately sent requests for one of `gone`.
  bool IsAffected(std::uint64_t link, const std::vector<std::string>& gone) const;
  bool AcceptsViewUpdates(std::uint64_t link) const;
  // Whether anything is under way that the next report may show finished.
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
    double weight = 0;  // Callers late if another model goes first; see WeightOf.
  };
  struct CombinedUse {
    int in_flight = 0;
    double requests_per_s = 0;
    int replicas = 1;
    DurationMs idle_ms = -1;   // -1: never asked for.
    int priority = 0;          // Of the last request of an entry; the most urgent.
    DurationMs target_ms = 0;  // The shortest that an entry names; 0: none does.
  };
  // What an adapter's use is known by.
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
  // What the model is larger than the free memory; 0 or less: it fits.
  double MemoryShortfallMb(const ModelSpec& spec) const;
  bool MayLoadFromStore() const;
  // Whether the load is to wait for the weight store; notes that it is wanted.
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
  std::optional<EngineOrder> pending_order_;  // Given; its effect is not yet reported.
  bool is_pending_unconfirmed_ = false;       // No answer came to it.
  TimeMs pending_since_ = 0;
  std::string changing_model_;  // The model under load or unload.
  bool is_unloading_ = false;
  bool is_loading_from_store_ = false;
  TimeMs changing_since_ = 0;
  // The model that room was made for, until it is loaded.
  std::string reserved_for_;
  TimeMs reserved_at_ = 0;
  std::map<std::string, TimeMs> loaded_at_;
  std::set<std::string> awaited_models_;  // Models that requests wait for.
  double new_waits_per_s_ = 0;            // How often one is added to them.
  TimeMs new_waits_updated_at_ = 0;
  std::map<ModelRef, TimeMs> adapter_used_at_;
  TimeMs next_order_at_ = 0;  // No order before; set after a conflict.
  std::optional<StoreWant> blocked_store_load_;
  TimeMs blocked_since_ = 0;  // 0: none is wanted.
};

// An entry's claim to give an engine its orders, as it stands in the store: created
// under a condition, so that there is one at the most, and gone with the entry's lease.
struct HostClaim {
  std::string engine;  // Its address.
  std::string entry;
  Endpoint demand_endpoint;   // Where the entry takes demand for the engine.
  std::int64_t revision = 0;  // Of its creation: the fencing token.
};

// In milliseconds; where each is from stands with the decisions.
struct HostElectionTiming {
  DurationMs refused_before_claim_ms = 6000;   // So long nothing has listened before a claim.
  DurationMs claim_jitter_ms = 20000;          // Entries claim at a time by chance within this.
  DurationMs takeover_delay_ms = 3500;         // From a claim to the first order.
  DurationMs probe_interval_ms = 2500;         // Between two looks at a port,
  DurationMs hosted_probe_interval_ms = 1000;  // and at that of an engine which is held.
};

// Which engines without an agent this entry gives orders to. Decisions only: the
// caller looks at ports, reads and writes claims, and keeps the lease.
class HostElection {
 public:
  // What is found at an agent's port.
  enum class ProbeResult {
    kOpen,      // Something listens.
    kRefused,   // The VM lives and nothing listens.
    kNoAnswer,  // No answer: nothing can be told.
  };

  explicit HostElection(std::string entry, HostElectionTiming timing = {})
      : entry_(std::move(entry)), timing_(timing) {}

  // All engines of which no view comes.
  void SetEnginesWithoutView(const std::vector<std::string>& engines, TimeMs now);
  // Those whose ports to look at now; each is named once a period.
  std::vector<std::string> EnginesToProbe(TimeMs now);
  void OnProbe(const std::string& engine, ProbeResult result, TimeMs now);

  // Whether claims are of use now: an engine is held, or nothing listens for one.
  bool NeedsClaims() const;
  // All claims of all entries, asked for at `asked_at`; the store's newest while one is
  // held here, else they may lag by seconds.
  void OnClaims(std::vector<HostClaim> claims, TimeMs requested_at);
  const HostClaim* FindClaim(const std::string& engine) const;

  // The lease under which claims are written holds for `ttl_ms` from `asked_at`.
  void OnLeaseRenewed(TimeMs requested_at, DurationMs ttl_ms) {
    lease_until_ = requested_at + ttl_ms;
  }
  void OnLeaseEnded();

  // Those to claim now, and to give up as an agent is there.
  std::vector<std::string> EnginesToClaim(TimeMs now) const;
  std::vector<std::string> EnginesToRelease() const;
  void OnClaimed(const HostClaim& claim, TimeMs now);
  void OnReleased(const std::string& engine);

  std::vector<std::string> HostedEngines() const;
  // The fencing token for orders to the engine; 0 while none may be given.
  std::int64_t FencingTokenFor(const std::string& engine, TimeMs now) const;

 private:
  struct EngineState {
    bool lacks_view = false;
    TimeMs probed_at = 0;
    TimeMs refused_since = 0;  // Without anything else in between; 0: not refused last.
    TimeMs refused_at = 0;     // The last time.
    bool is_open = false;
    std::int64_t revision = 0;  // Of the claim held; 0: none is.
    TimeMs claimed_at = 0;
  };

  std::string entry_;
  HostElectionTiming timing_;
  std::map<std::string, EngineState> engines_;  // By engine.
  std::map<std::string, HostClaim> claims_;     // By engine.
  TimeMs lease_until_ = 0;
};

// The parts of a view that stay as they are for seconds, and are most of its bytes.
struct ViewParts {
  bool has_loaded = false;        // `loaded`.
  bool has_load_state = false;    // `loading`, `is_from_store` and `queue`.
  bool has_local_models = false;  // `at_hand`.

  bool IsEmpty() const { return !has_loaded && !has_load_state && !has_local_models; }
  void Merge(const ViewParts& other);
};
// In which parts two views of one instance differ.
ViewParts ChangedParts(const EngineView& before, const EngineView& after);
// What was loaded before and is not now, or has lost an adapter.
std::vector<std::string> RemovedModels(const EngineView& before, const EngineView& after);

// The messages between entries and agents, as CBOR. A view is sent whole first on
// a link and with each new instance, then as updates that hold these parts and the
// engine's load.
std::string EncodeView(const EngineView& view);
std::string EncodeViewUpdate(const EngineView& view, const ViewParts& parts);
// Reads a whole view, or brings `view`, the one before on the same link, up to date.
// False, with `view` in part changed, when the bytes are neither, or `view` is empty
// and they are an update.
bool DecodeView(std::string_view bytes, EngineView* view);
std::string EncodeDemand(const AgentDemand& demand);
bool DecodeDemand(std::string_view bytes, AgentDemand* demand);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_PLACEMENT_H_

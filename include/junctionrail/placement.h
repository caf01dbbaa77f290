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
  std::vector<ModelRef> adapters_coming;
  bool is_busy = false;       // Carries out an order on a model.
  std::int64_t sequence = 0;  // Orders taken since the engine started.
  std::int64_t born_ms = 0;   // Its start, since 1970; 0: it does not tell.
  int running = 0;
  int waiting = 0;
  double kv_share = 0;  // Of the memory for tokens, what is in use.
};

enum class OrderKind { kLoad, kUnload };

// An order to the engine. It is carried out only while the engine's sequence
// is `expected_sequence`, so that one which arrives late changes nothing.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  ModelRef target;
  std::int64_t expected_sequence = 0;
  std::string reason;    // For logs.
  std::string room_for;  // The model that an unload makes room for.
};

enum class OrderAnswer {
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
  void OnEntryGone(std::uint64_t link);

  // The order to give now. The caller gives it and reports the answer.
  std::optional<EngineOrder> NextOrder(TimeMs now);
  void OnAnswer(const EngineOrder& order, OrderAnswer answer, TimeMs now);

  EngineView View(TimeMs now) const;
  // Whether the entry behind `link` acts on it now that something changes here:
  // it waits for something, or has lately sent requests for one of `gone`.
  bool IsConcerned(std::uint64_t link, const std::vector<std::string>& gone) const;
  bool TakesUpdates(std::uint64_t link) const;
  // Whether anything is under way that the next report may show finished.
  bool IsActive() const;
  bool HasDemand() const { return !demands_.empty(); }

 private:
  struct Demand {
    AgentDemand demand;
    TimeMs at = 0;
  };
  const AgentDemand* DemandOf(std::uint64_t link) const;
  static constexpr DurationMs kNever = 1LL << 40;
  struct Want {
    ModelRef ref;
    int waiting = 0;
    int priority = 0;
    DurationMs age_ms = 0;
    double replica_per_s = 0;
    double callers_late = 0;
    int late = 0;
    DurationMs left_ms = kNever;
    double per_s = 0;
    double at_risk_per_s = 0;
    double weight = 0;  // Callers late if another model goes first; see WeightOf.
  };
  struct Use {
    int in_flight = 0;
    double per_s = 0;
    int replicas = 1;
    DurationMs idle_ms = -1;   // -1: never asked for.
    int priority = 0;          // Of the last request of an entry; the most urgent.
    DurationMs target_ms = 0;  // The shortest that an entry names; 0: none does.
  };
  // What an adapter's use is known by.
  bool IsInUse(const ModelRef& adapter) const;
  double WeightOf(const Want& want) const;
  double StoreWeightOf(const Want& want) const;

  void ExpireDemands(TimeMs now);
  void CountWants(TimeMs now);
  std::vector<Want> Wants() const;
  Use UseOf(const std::string& model) const;
  const LoadedModel* FindLoaded(std::string_view model) const;
  bool IsNear(std::string_view model) const;
  double UsedMb() const;
  int UsedAdapterPlaces() const;
  // What the model is larger than the free memory; 0 or less: it fits.
  double MissingMb(const ModelSpec& spec) const;
  bool MayLoadFromStore() const;
  // Whether the load is to wait for the weight store; notes that it is wanted.
  bool AwaitsStore(const std::string& model, bool is_waited_for, double weight, TimeMs now);
  std::optional<EngineOrder> OrderAdapter(const Want& want, const std::vector<Want>& wants);
  std::optional<EngineOrder> OrderModel(const Want& want, const std::vector<Want>& wants,
                                        TimeMs now);
  std::optional<EngineOrder> ChooseOrder(TimeMs now);
  std::optional<EngineOrder> OrderStaging(const std::vector<Want>& wants, TimeMs now);
  std::optional<std::string> Victim(const std::vector<Want>& wants, double missing_mb,
                                    double most_ms, bool may_interrupt, TimeMs now) const;
  EngineOrder Make(OrderKind kind, ModelRef target, std::string reason) const;
  DurationMs LoadEstimate(const std::string& model) const;
  double ClosingCost(const std::string& model) const;
  double ClassWeight(int priority) const;

  std::string instance_;
  EngineSpec spec_;
  PolicySettings policy_;
  EngineReport report_;
  bool has_report_ = false;
  std::map<std::uint64_t, Demand> demands_;
  std::optional<EngineOrder> open_;  // Given; its effect is not yet reported.
  bool is_open_unknown_ = false;     // No answer came to it.
  TimeMs open_since_ = 0;
  std::string loading_;  // The model under load or unload.
  bool is_unloading_ = false;
  bool is_from_store_ = false;
  TimeMs loading_since_ = 0;
  // The model that room was made for, until it is loaded.
  std::string room_for_;
  TimeMs room_at_ = 0;
  std::map<std::string, TimeMs> loaded_at_;
  std::set<std::string> waited_for_;  // Models that requests wait for.
  double wants_per_s_ = 0;            // How often one is added to them.
  TimeMs wants_at_ = 0;
  std::map<ModelRef, TimeMs> adapter_used_at_;
  TimeMs hold_until_ = 0;  // No order before; set after a conflict.
  std::optional<StoreLoadRequest> store_want_;
  TimeMs store_want_since_ = 0;  // 0: none is wanted.
};

// An entry's claim to give an engine its orders, as it stands in the store: created
// under a condition, so that there is one at the most, and gone with the entry's lease.
struct HostClaim {
  std::string engine;  // Its address.
  std::string entry;
  Endpoint link;              // Where the entry takes demand for the engine.
  std::int64_t revision = 0;  // Of its creation: the fencing token.
};

// In milliseconds; where each is from stands with the decisions.
struct HostTimes {
  DurationMs refused_ms = 6000;    // So long nothing has listened before a claim.
  DurationMs spread_ms = 20000;    // Entries claim at a time by chance within this.
  DurationMs take_over_ms = 3500;  // From a claim to the first order.
  DurationMs look_ms = 2500;       // Between two looks at a port,
  DurationMs host_look_ms = 1000;  // and at that of an engine which is held.
};

// Which engines without an agent this entry gives orders to. Decisions only: the
// caller looks at ports, reads and writes claims, and keeps the lease.
class HostElection {
 public:
  // What is found at an agent's port.
  enum class Port {
    kOpen,     // Something listens.
    kRefused,  // The VM lives and nothing listens.
    kSilent,   // No answer: nothing can be told.
  };

  explicit HostElection(std::string entry, HostTimes times = {})
      : entry_(std::move(entry)), times_(times) {}

  // All engines of which no view comes.
  void SetUnseen(const std::vector<std::string>& engines, TimeMs now);
  // Those whose ports to look at now; each is named once a period.
  std::vector<std::string> PortsToLookAt(TimeMs now);
  void OnPort(const std::string& engine, Port port, TimeMs now);

  // Whether claims are of use now: an engine is held, or nothing listens for one.
  bool WantsClaims() const;
  // All claims of all entries, asked for at `asked_at`; the store's newest while one is
  // held here, else they may lag by seconds.
  void OnClaims(std::vector<HostClaim> claims, TimeMs asked_at);
  const HostClaim* ClaimOf(const std::string& engine) const;

  // The lease under which claims are written holds for `ttl_ms` from `asked_at`.
  void OnLeaseKept(TimeMs asked_at, DurationMs ttl_ms) { lease_until_ = asked_at + ttl_ms; }
  void OnLeaseEnded();

  // Those to claim now, and to give up as an agent is there.
  std::vector<std::string> EnginesToClaim(TimeMs now) const;
  std::vector<std::string> EnginesToRelease() const;
  void OnClaimed(const HostClaim& claim, TimeMs now);
  void OnReleased(const std::string& engine);

  std::vector<std::string> Hosted() const;
  // The fencing token for orders to the engine; 0 while none may be given.
  std::int64_t FenceFor(const std::string& engine, TimeMs now) const;

 private:
  struct Row {
    bool is_unseen = false;
    TimeMs looked_at = 0;
    TimeMs refused_since = 0;  // Without anything else in between; 0: not refused last.
    TimeMs refused_at = 0;     // The last time.
    bool is_open = false;
    std::int64_t revision = 0;  // Of the claim held; 0: none is.
    TimeMs claimed_at = 0;
  };

  std::string entry_;
  HostTimes times_;
  std::map<std::string, Row> rows_;          // By engine.
  std::map<std::string, HostClaim> claims_;  // By engine.
  TimeMs lease_until_ = 0;
};

// The parts of a view that stay as they are for seconds, and are most of its bytes.
struct ViewParts {
  bool has_loaded = false;   // `loaded`.
  bool has_orders = false;   // `loading`, `is_from_store` and `queue`.
  bool has_at_hand = false;  // `at_hand`.

  bool IsEmpty() const { return !has_loaded && !has_orders && !has_at_hand; }
  void Add(const ViewParts& other);
};
// In which parts two views of one instance differ.
ViewParts ChangedParts(const EngineView& before, const EngineView& after);
// What was loaded before and is not now, or has lost an adapter.
std::vector<std::string> GoneModels(const EngineView& before, const EngineView& after);

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

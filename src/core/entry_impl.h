// State and implementation of EntryCore. The sources are split by concern:
// entry_requests.cc (calls, attempts, responses, retries), entry_routing.cc
// (candidates, reports, ejection), entry_placement.cc (offers, writing a slot,
// tick), entry_grants.cc (configuration, grants, retired slots).
#ifndef JUNCTIONRAIL_CORE_ENTRY_IMPL_H_
#define JUNCTIONRAIL_CORE_ENTRY_IMPL_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "junctionrail/entry_core.h"

namespace junctionrail::internal {

// State of a call. In kSent an upstream may have run it.
enum class CallState { kWaiting, kSent };

struct EntryCall {
  entry::CallArrived call;
  std::string key;  // Key that the name resolved to.
  CallState state = CallState::kWaiting;
  TimeMs arrived_at = 0;
  TimeMs deadline_at = 0;
  std::uint32_t attempts = 0;
  std::string vm;  // Upstream of the current attempt.
  std::uint64_t next_sequence = 0;
  TimeMs head_at = 0;
  bool was_cold = false;      // The call waited for a load.
  bool has_head = false;      // The upstream has begun to respond.
  bool is_delivered = false;  // The response head was sent to the caller.
  std::uint32_t status = 0;
  std::string content_type;
  std::string buffer;            // Response data not forwarded yet.
  std::set<std::string> tried;   // Upstreams already tried.
  bool may_have_run = false;     // An attempt ended with an unknown outcome.
  bool requires_loaded = false;  // A cold start is known to be too slow.
  std::optional<Refusal> last_refusal;
  TimeMs wait_until = 0;  // Limit of the wait for a slot to be released.
};

// The last report of an upstream about one key, and the number of calls sent since.
struct LastReport {
  UpstreamReport report;
  std::uint32_t sent_since = 0;
};

// State of one upstream as known to this entry.
struct Upstream {
  VmInfo info;
  bool is_listed = true;
  TimeMs leaving_until = 0;  // It reported that it is leaving; tried again after this.
  std::uint32_t in_flight = 0;
  std::uint32_t failures = 0;   // Consecutive.
  std::uint32_t ejections = 0;  // Consecutive.
  TimeMs ejected_until = 0;
  std::map<std::string, LastReport, std::less<>> reports;  // By key.
};

enum class PlacementState { kDelayed, kAwaitingBase, kCollectingOffers, kWriting, kReading };

// The search for one more slot of a key.
struct Placement {
  PlacementState state = PlacementState::kDelayed;
  TimeMs until = 0;
  std::uint32_t offer_batches = 0;
  TimeMs late_offers_until = 0;  // 0 as long as other upstreams can be asked.
  std::uint32_t conflicts = 0;
  std::set<std::string> queried;
  std::set<std::string> pending_offers;
  std::vector<OfferFrame> offers;      // In order of arrival.
  std::vector<std::string> offer_vms;  // The VM of each offer.
  std::vector<RejectedCandidate> rejected;
};

// A candidate with its estimated time to the first token.
struct Candidate {
  const Upstream* upstream = nullptr;
  DurationMs estimate_ms = 0;
  ReplicaState state = ReplicaState::kAbsent;
};

class EntryImpl {
 public:
  explicit EntryImpl(EntryOptions options);

  void Handle(TimeMs now, entry::Event event, std::vector<entry::Command>* commands);

  const EntryCounters& counters() const { return counters_; }
  const DecisionLog& decisions() const { return decisions_; }
  const Configuration& configuration() const { return configuration_; }
  const VmList& vms() const { return list_; }
  std::size_t open_calls() const { return calls_.size(); }
  bool IsStopping() const { return stopping_; }
  std::uint32_t InFlight(std::string_view vm) const;
  std::vector<UpstreamStatus> Upstreams(TimeMs now) const;
  std::vector<GrantRecord> Grants() const;

 private:
  // entry_requests.cc
  void On(entry::CallArrived event);
  void On(entry::CallerDisconnected event);
  void On(entry::FrameArrived event);
  void On(entry::LinkClosed event);
  void On(entry::StopRequested event);
  void On(entry::Ticked event);
  void OnFrame(const std::string& vm, HeadFrame head);
  void OnFrame(const std::string& vm, PieceFrame piece);
  void OnFrame(const std::string& vm, const EndFrame& end);
  void OnFrame(const std::string& vm, RefusalFrame refusal);
  void OnFrame(const std::string& vm, OfferFrame offer);
  // Ignores frames that only entries send, and hello.
  template <class OtherFrame>
  void OnFrame(const std::string&, const OtherFrame&) {}
  EntryCall* FindCall(const std::string& attempt, const std::string& vm);
  std::optional<Refusal> ResolveName(EntryCall& call);
  void SendAttempt(EntryCall& call, const Upstream& upstream);
  void EndAttempt(EntryCall& call);
  void AttemptRefused(EntryCall& call, Refusal refusal);
  void AttemptLost(EntryCall& call, Refusal refusal);
  bool ConsumeRetryToken();
  void Refuse(EntryCall& call, const Refusal& refusal);
  void EraseCall(const std::string& id);
  void ExpireCalls();
  void CheckConservation() const;

  // entry_routing.cc
  void On(entry::VmsChanged event);
  void Route(EntryCall& call);
  void RouteToService(EntryCall& call);
  void RouteToModel(EntryCall& call);
  const Upstream* KeyOwnerOf(const EntryCall& call) const;
  std::vector<Candidate> CandidatesFor(const EntryCall& call,
                                       std::vector<RejectedCandidate>* rejected) const;
  std::optional<std::string> UnusableReason(const EntryCall& call, const Upstream& upstream) const;
  Candidate Estimate(const std::string& key, const Upstream& upstream) const;
  const Candidate& Pick(const std::vector<Candidate>& candidates);
  const GrantSlot* SlotOn(const std::string& key, const VmInfo& vm) const;
  bool IsEjected(const Upstream& upstream) const { return upstream.ejected_until > now_; }
  bool IsLeaving(const Upstream& upstream) const {
    return upstream.info.is_leaving || upstream.leaving_until > now_;
  }
  void SetReportedLeaving(const std::string& vm, bool is_leaving);
  void StoreReport(const std::string& vm, const std::string& key, const UpstreamReport& report);
  void RecordSuccess(const std::string& vm);
  void RecordFailure(const std::string& vm, std::string_view reason);

  // entry_placement.cc
  void On(entry::ConfigurationRead event);
  void On(entry::ConfigurationChanged event);
  void On(entry::GrantChanged event);
  void On(entry::GrantOperationEnded event);
  void WaitForPlacement(EntryCall& call);
  void BeginPlacement(const std::string& key);
  void ContinuePlacement(const std::string& key, Placement& placement);
  void RequestNextOffers(const std::string& key, Placement& placement);
  bool AwaitLateOffers(Placement& placement) const;
  void ChooseOffer(const std::string& key, Placement& placement);
  void OfferFailed(const std::string& vm);
  void WriteSlot(const std::string& key, Placement& placement, const std::string& vm);
  void EndPlacement(const std::string& key, const Refusal& refusal);
  void ForEachWaiter(const std::string& key, const std::function<void(EntryCall&)>& action);
  void RouteWaiters(const std::string& key);
  void StoreGrant(GrantRecord record);
  void RetireExcess();
  void RetireExcessOf(const GrantRecord& record);
  bool IsHolderGone(const GrantSlot& slot) const;
  std::vector<GrantSlot> LiveSlots(const std::string& key) const;
  std::uint32_t DeclaredReplicas(std::string_view key) const;
  std::uint32_t RankOf(std::string_view key) const;
  std::vector<const Upstream*> PlacementOrder(const std::string& key) const;
  bool CanAddSlot(const std::string& key) const;

  template <class C>
  void Emit(C command) {
    commands_->emplace_back(std::move(command));
  }
  void RecordDecision(std::string request, std::string key, std::string vm, std::string message,
                      std::string inputs = {}, std::vector<RejectedCandidate> rejected = {});

  EntryOptions options_;
  EntryCounters counters_;
  DecisionLog decisions_;
  Configuration configuration_;
  VmList list_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, EntryCall> calls_;
  std::set<std::pair<TimeMs, std::string>> deadlines_;       // Of calls without a response head.
  std::map<std::string, std::vector<std::string>> waiters_;  // Waiting calls by key.
  std::map<std::string, Upstream, std::less<>> upstreams_;
  std::map<std::string, GrantRecord, std::less<>> grants_;
  std::map<std::string, Placement> placements_;
  std::vector<entry::Command>* commands_ = nullptr;
  TimeMs now_ = 0;
  std::map<std::string, TimeMs> excess_since_;
  TimeMs next_retire_at_ = 0;
  bool may_have_excess_ = false;  // A record may hold more slots than declared.
  double retry_tokens_ = 0;
  std::uint64_t attempts_ = 0;
  bool stopping_ = false;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_CORE_ENTRY_IMPL_H_

// The choice of an upstream: who may hold the key, who says what, who is
// ejected, and the estimate of the time to the first token.
#include <algorithm>
#include <utility>

#include "entry_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kAssumedColdStartMs = 5000;  // Of a replica nobody reported on.
constexpr DurationMs kOtherDataHallMs = 2;        // What leaving the data hall costs.
constexpr DurationMs kEqualEstimateMs = 5;        // Estimates this close count as equal.
constexpr DurationMs kUsPerMs = 1000;
constexpr double kPerCallMs = 0.5;  // Breaks ties by own calls in flight.
constexpr DurationMs kShortRetryMs = 200;
constexpr DurationMs kReportedLeavingMs = 500;
constexpr std::uint32_t kMaxEjectionDoublings = 10;

std::string_view StateName(ReplicaState state) {
  switch (state) {
    case ReplicaState::kAbsent:
      return "cold";
    case ReplicaState::kLoading:
      return "loading";
    case ReplicaState::kLoaded:
      return "loaded";
    case ReplicaState::kUnloading:
      return "unloading";
  }
  return "unknown";
}

}  // namespace

void EntryImpl::On(entry::VmsChanged event) {
  if (event.list.revision < list_.revision) return;
  list_ = std::move(event.list);
  for (auto& [vm, it] : upstreams_) it.is_listed = false;
  std::vector<std::string> gone;
  for (const auto& info : list_.vms) {
    if (info.role == VmRole::kEntry) continue;
    Upstream& upstream = upstreams_[info.vm];
    const bool is_replaced =
        !upstream.info.vm.empty() && upstream.info.incarnation != info.incarnation;
    if (is_replaced) gone.push_back(info.vm);
    if (is_replaced) upstream = Upstream{{}, true, 0, upstream.in_flight, 0, 0, 0, {}};
    upstream.info = info;
    upstream.is_listed = true;
  }
  for (const auto& [vm, it] : upstreams_) {
    if (!it.is_listed) gone.push_back(vm);
  }
  // Whatever was sent to a VM that no longer exists has an unknown outcome.
  for (const auto& vm : gone) On(entry::LinkClosed{vm, true});
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    it = it->second.is_listed ? std::next(it) : upstreams_.erase(it);
  }
}

void EntryImpl::Route(EntryCall& call) {
  if (call.call.is_service) return RouteToService(call);
  RouteToModel(call);
}

// Why an upstream cannot take this call now; nothing when it can.
std::optional<std::string> EntryImpl::UnusableReason(const EntryCall& call,
                                                     const Upstream& upstream) const {
  if (!upstream.is_listed) return "gone from the platform's list";
  if (IsLeaving(upstream)) return "leaving";
  if (call.tried.count(upstream.info.vm) > 0) return "did not run this call before";
  return std::nullopt;
}

const GrantSlot* EntryImpl::SlotOn(const std::string& key, const VmInfo& vm) const {
  const auto record = grants_.find(key);
  if (record == grants_.end()) return nullptr;
  for (const auto& it : record->second.slots) {
    if (it.vm == vm.vm && it.incarnation == vm.incarnation) return &it;
  }
  return nullptr;
}

Candidate EntryImpl::Estimate(const std::string& key, const Upstream& upstream) const {
  Candidate candidate{&upstream, kAssumedColdStartMs, ReplicaState::kAbsent};
  const auto report = upstream.reports.find(key);
  if (report != upstream.reports.end()) {
    const UpstreamReport& last = report->second.report;
    candidate.state = last.state;
    // The report lags: what this entry has sent since stands in line too.
    const std::uint32_t excess =
        report->second.sent_since - std::min(report->second.sent_since, last.free_places);
    candidate.estimate_ms =
        last.wait_ms + static_cast<DurationMs>(excess) * last.per_call_us / kUsPerMs;
  }
  if (upstream.info.data_hall != options_.data_hall) candidate.estimate_ms += kOtherDataHallMs;
  candidate.estimate_ms += static_cast<DurationMs>(kPerCallMs * upstream.in_flight);
  return candidate;
}

std::vector<Candidate> EntryImpl::CandidatesFor(const EntryCall& call,
                                                std::vector<RejectedCandidate>* rejected) const {
  std::vector<Candidate> found;
  std::vector<Candidate> ejected;
  const auto consider = [&](const Upstream& upstream) {
    const auto unusable = UnusableReason(call, upstream);
    if (unusable) return rejected->push_back({upstream.info.vm, *unusable});
    const Candidate candidate = Estimate(call.key, upstream);
    if (call.requires_loaded && candidate.state != ReplicaState::kLoaded) {
      return rejected->push_back({upstream.info.vm, "cold, and a cold start is too late"});
    }
    (IsEjected(upstream) ? ejected : found).push_back(candidate);
  };
  if (call.call.is_service) {
    for (const auto& [vm, it] : upstreams_) {
      if (it.info.role == VmRole::kService && it.info.service == call.call.name) consider(it);
    }
  } else {
    const ModelDeclaration* model = configuration_.Resolve(call.key);
    const auto record = grants_.find(call.key);
    if (model == nullptr || record == grants_.end()) return found;
    for (const auto& slot : record->second.slots) {
      const auto it = upstreams_.find(slot.vm);
      if (it == upstreams_.end() || it->second.info.incarnation != slot.incarnation) {
        rejected->push_back({slot.vm, "this incarnation is not on the platform's list"});
      } else if (model->IsAdapter() && SlotOn(model->base, it->second.info) == nullptr) {
        rejected->push_back({slot.vm, "holds no grant for the base"});
      } else {
        consider(it->second);
      }
    }
  }
  // With every replica ejected, the least bad is better than none.
  if (found.empty()) return ejected;
  for (const auto& it : ejected) rejected->push_back({it.upstream->info.vm, "ejected"});
  return found;
}

// The least estimate; among those as good, the less busy of two at random.
const Candidate& EntryImpl::Pick(const std::vector<Candidate>& candidates) {
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.estimate_ms < b.estimate_ms; });
  std::vector<const Candidate*> equal;
  for (const auto& it : candidates) {
    if (it.estimate_ms <= best->estimate_ms + kEqualEstimateMs) equal.push_back(&it);
  }
  if (equal.size() < 2) return *best;
  std::uniform_int_distribution<std::size_t> any(0, equal.size() - 1);
  const Candidate* first = equal[any(random_)];
  const Candidate* second = equal[any(random_)];
  return second->upstream->in_flight < first->upstream->in_flight ? *second : *first;
}

// The upstream whose agent remembers this idempotency key.
const Upstream* EntryImpl::KeyOwnerOf(const EntryCall& call) const {
  const Upstream* owner = nullptr;
  std::uint64_t most = 0;
  for (const auto& [vm, it] : upstreams_) {
    const bool serves = it.info.role == VmRole::kService && it.info.service == call.call.name &&
                        it.is_listed && !it.info.is_leaving;
    if (!serves) continue;
    const std::uint64_t score = RendezvousScore(call.call.idempotency_key, vm);
    if (owner != nullptr && score <= most) continue;
    owner = &it;
    most = score;
  }
  return owner;
}

void EntryImpl::RouteToService(EntryCall& call) {
  std::vector<RejectedCandidate> rejected;
  const Upstream* chosen = nullptr;
  std::string why = "the least loaded";
  if (!call.call.idempotency_key.empty()) {
    chosen = KeyOwnerOf(call);
    why = "the home of its idempotency key";
  } else {
    const auto candidates = CandidatesFor(call, &rejected);
    if (!candidates.empty()) chosen = Pick(candidates).upstream;
  }
  if (chosen == nullptr) {
    const Refusal none{RefusalCode::kNoUpstream, "no upstream of this service can take it",
                       Ran::kNo, kShortRetryMs};
    RecordDecision(call.call.id, call.key, {}, "no upstream is left", {}, std::move(rejected));
    return Refuse(call, call.last_refusal.value_or(none));
  }
  RecordDecision(call.call.id, call.key, chosen->info.vm, "sent to " + chosen->info.vm + ": " + why,
                 {}, std::move(rejected));
  SendAttempt(call, *chosen);
}

void EntryImpl::RouteToModel(EntryCall& call) {
  std::vector<RejectedCandidate> rejected;
  const auto candidates = CandidatesFor(call, &rejected);
  if (!candidates.empty()) {
    const Candidate& chosen = Pick(candidates);
    for (const auto& it : candidates) {
      if (it.upstream == chosen.upstream) continue;
      rejected.push_back({it.upstream->info.vm, std::string(StateName(it.state)) + ", estimated " +
                                                    std::to_string(it.estimate_ms) + " ms"});
    }
    const bool is_slow =
        chosen.state == ReplicaState::kLoaded && chosen.estimate_ms > options_.scale_up_wait_ms;
    if (is_slow && CanAddSlot(call.key)) BeginPlacement(call.key);
    RecordDecision(
        call.call.id, call.key, chosen.upstream->info.vm,
        "sent to " + chosen.upstream->info.vm + ": " + std::string(StateName(chosen.state)) +
            ", estimated " + std::to_string(chosen.estimate_ms) + " ms",
        "deadline_left_ms=" + std::to_string(call.deadline_at - now_), std::move(rejected));
    return SendAttempt(call, *chosen.upstream);
  }
  if (!rejected.empty()) {
    RecordDecision(call.call.id, call.key, {}, "no replica can take it now", {},
                   std::move(rejected));
  }
  if (!call.requires_loaded && CanAddSlot(call.key)) return WaitForPlacement(call);
  // A slot may be on its way back; it is worth a short wait, but only once.
  const bool may_be_released =
      call.last_refusal && (call.last_refusal->code == RefusalCode::kNoMemory ||
                            call.last_refusal->code == RefusalCode::kNotGranted);
  if (may_be_released && call.wait_until == 0)
    call.wait_until = now_ + options_.slot_release_wait_ms;
  if (may_be_released && now_ < call.wait_until) {
    waiters_[call.key].push_back(call.call.id);
    return;
  }
  const Refusal none{RefusalCode::kNoUpstream, "every replica's upstream is leaving or away",
                     Ran::kNo, kShortRetryMs};
  Refuse(call, call.last_refusal.value_or(none));
}

void EntryImpl::StoreReport(const std::string& vm, const std::string& key,
                            const UpstreamReport& report) {
  const auto it = upstreams_.find(vm);
  if (it == upstreams_.end()) return;
  it->second.reports[key] = LastReport{report, 0};
  SetReportedLeaving(vm, report.leaving);
}

// The platform's list lags, so an agent's own word counts for a while; then it
// is tried again, for its process may only have been restarted.
void EntryImpl::SetReportedLeaving(const std::string& vm, bool is_leaving) {
  upstreams_[vm].leaving_until = is_leaving ? now_ + kReportedLeavingMs : 0;
}

void EntryImpl::RecordSuccess(const std::string& vm) {
  const auto it = upstreams_.find(vm);
  if (it == upstreams_.end()) return;
  it->second.failures = 0;
  it->second.ejections = 0;
}

void EntryImpl::RecordFailure(const std::string& vm, std::string_view reason) {
  const auto it = upstreams_.find(vm);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  if (++upstream.failures < options_.ejection_threshold || IsEjected(upstream)) return;
  const std::uint32_t doublings = std::min(upstream.ejections, kMaxEjectionDoublings);
  const DurationMs time =
      std::min(options_.base_ejection_ms << doublings, options_.max_ejection_ms);
  upstream.ejected_until = now_ + time;
  ++upstream.ejections;
  ++counters_.ejections;
  RecordDecision({}, {}, vm,
                 vm + " is ejected for " + std::to_string(time) + " ms: " + std::string(reason),
                 "failures_in_a_row=" + std::to_string(upstream.failures));
}

std::uint32_t EntryImpl::InFlight(std::string_view vm) const {
  const auto it = upstreams_.find(vm);
  return it == upstreams_.end() ? 0 : it->second.in_flight;
}

std::vector<UpstreamStatus> EntryImpl::Upstreams(TimeMs now) const {
  std::vector<UpstreamStatus> all;
  for (const auto& [vm, it] : upstreams_) {
    all.push_back(
        UpstreamStatus{it.info, it.ejected_until > now, it.leaving_until > now, it.in_flight});
  }
  return all;
}

}  // namespace junctionrail::internal

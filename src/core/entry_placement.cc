// Placement of the next slot of a key: which entry places it, which upstreams are
// asked for an offer, and which offer is chosen. Also the periodic tick.
#include <algorithm>
#include <iterator>
#include <utility>

#include "entry_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kShortRetryMs = 200;
constexpr DurationMs kLateOffersMs = 1000;  // For those that are asked last to answer, too.
constexpr DurationMs kKvRetryMs = 1000;     // After a failure of the key-value service.
constexpr DurationMs kKvTimeoutMs = 10000;  // Longer than the client's own timeout.
constexpr std::uint32_t kMaxConflicts = 8;
constexpr double kEqualLoadRatio = 1.2;  // Load times within this ratio count as equal.

std::string_view TierName(CacheTier tier) {
  switch (tier) {
    case CacheTier::kMemory:
      return "memory";
    case CacheTier::kDisk:
      return "disk";
    case CacheTier::kRemote:
      return "remote";
  }
  return "unknown";
}

}  // namespace

// ---- Placement -------------------------------------------------------------

void EntryImpl::WaitForPlacement(EntryCall& call) {
  const std::string key = call.key;
  waiters_[key].push_back(call.call.id);
  RecordDecision(call.call.id, key, {}, "waits for a replica slot",
                 "slots=" + std::to_string(LiveSlots(key).size()) +
                     " declared=" + std::to_string(DeclaredReplicas(key)));
  BeginPlacement(key);
}

// The rank of this entry among the live entries, in rendezvous order for the key.
std::uint32_t EntryImpl::RankOf(std::string_view key) const {
  const std::uint64_t own = RendezvousScore(key, options_.vm);
  std::uint32_t before = 0;
  for (const auto& it : list_.vms) {
    const bool is_other = it.role == VmRole::kEntry && !it.is_leaving && it.vm != options_.vm;
    if (is_other && RendezvousScore(key, it.vm) > own) ++before;
  }
  return before;
}

void EntryImpl::BeginPlacement(const std::string& key) {
  const auto [it, is_new] = placements_.try_emplace(key);
  if (!is_new) return;
  ++counters_.placements;
  Placement& placement = it->second;
  const std::uint32_t rank = RankOf(key);
  placement.until = now_;
  if (rank > 0) {
    // The delays are spread wider with a growing number of entries, so that in a
    // burst most entries see the grant of the first instead of writing their own.
    const DurationMs spread = std::min<DurationMs>(rank, options_.placement_jitter_ms);
    std::uniform_int_distribution<DurationMs> jitter(0, spread);
    placement.until = now_ + options_.placement_delay_ms + jitter(random_);
  }
  ContinuePlacement(key, placement);
}

void EntryImpl::ContinuePlacement(const std::string& key, Placement& placement) {
  switch (placement.state) {
    case PlacementState::kDelayed: {
      if (now_ < placement.until) return;
      const ModelDeclaration* model = configuration_.Resolve(key);
      if (model == nullptr) {
        return EndPlacement(
            key, Refusal{RefusalCode::kNotDeclared, "it is no longer declared", Ran::kNo, 0});
      }
      if (model->IsAdapter() && LiveSlots(model->base).empty()) {
        // The base is placed first; this placement continues after its grant.
        placement.state = PlacementState::kAwaitingBase;
        placement.until = now_ + kKvTimeoutMs;
        const std::string base = model->base;
        if (CanAddSlot(base)) BeginPlacement(base);
        return;
      }
      placement.state = PlacementState::kCollectingOffers;
      return RequestNextOffers(key, placement);
    }
    case PlacementState::kAwaitingBase: {
      const ModelDeclaration* model = configuration_.Resolve(key);
      const bool is_placed = model != nullptr && !LiveSlots(model->base).empty();
      const bool is_failed =
          !is_placed && (model == nullptr || placements_.count(model->base) == 0);
      if (is_placed) {
        placement.state = PlacementState::kCollectingOffers;
        return RequestNextOffers(key, placement);
      }
      if (!is_failed && now_ < placement.until) return;
      return EndPlacement(key, Refusal{RefusalCode::kPlacementFailed,
                                       "its base could not be placed", Ran::kNo, kKvRetryMs});
    }
    case PlacementState::kCollectingOffers:
      if (placement.pending_offers.empty() || now_ >= placement.until) ChooseOffer(key, placement);
      return;
    case PlacementState::kWriting:
    case PlacementState::kReading:
      if (now_ < placement.until) return;
      return EndPlacement(
          key, Refusal{RefusalCode::kPlacementFailed, "the key-value service did not answer",
                       Ran::kNo, kKvRetryMs});
  }
}

// Upstreams that can be asked for an offer: first those that have reported on the
// key, because they are likely to have it cached, then in rendezvous order.
std::vector<const Upstream*> EntryImpl::PlacementOrder(const std::string& key) const {
  const ModelDeclaration* model = configuration_.Resolve(key);
  struct Ranked {
    bool has_report;
    std::uint64_t score;
    const Upstream* upstream;
  };
  std::vector<Ranked> ranking;
  for (const auto& [vm, it] : upstreams_) {
    const bool is_eligible = it.info.role == VmRole::kEngine && it.is_listed && !IsLeaving(it) &&
                             !IsEjected(it) && SlotOn(key, it.info) == nullptr;
    const bool has_base = !model->IsAdapter() || SlotOn(model->base, it.info) != nullptr;
    if (!is_eligible || !has_base) continue;
    ranking.push_back({it.reports.count(key) > 0, RendezvousScore(key, vm), &it});
  }
  std::sort(ranking.begin(), ranking.end(), [](const Ranked& a, const Ranked& b) {
    if (a.has_report != b.has_report) return a.has_report;
    return a.score > b.score;
  });
  std::vector<const Upstream*> order;
  for (const auto& it : ranking) order.push_back(it.upstream);
  return order;
}

void EntryImpl::RequestNextOffers(const std::string& key, Placement& placement) {
  const ModelDeclaration* model = configuration_.Resolve(key);
  std::vector<std::string> batch;
  if (model != nullptr && placement.offer_batches < options_.max_offer_batches) {
    for (const Upstream* it : PlacementOrder(key)) {
      if (batch.size() >= options_.offer_batch_size) break;
      if (placement.queried.count(it->info.vm) == 0) batch.push_back(it->info.vm);
    }
  }
  if (batch.empty()) {
    if (AwaitLateOffers(placement)) return;
    const bool any_answered = !placement.offers.empty();
    RecordDecision({}, key, {},
                   any_answered ? "no upstream that was asked has enough memory"
                                : "no upstream could be asked, or none answered",
                   "asked=" + std::to_string(placement.queried.size()), placement.rejected);
    const Refusal refusal =
        any_answered
            ? Refusal{RefusalCode::kNoMemory, "no upstream that was asked has enough memory for it",
                      Ran::kNo, kKvRetryMs}
            : Refusal{RefusalCode::kNoUpstream,
                      "no upstream could be asked to hold it, or none answered", Ran::kNo,
                      kKvRetryMs};
    return EndPlacement(key, refusal);
  }
  ++placement.offer_batches;
  placement.until = now_ + options_.offer_timeout_ms;
  for (const auto& vm : batch) {
    placement.queried.insert(vm);
    placement.pending_offers.insert(vm);
  }
  for (const auto& vm : batch) {
    Emit(entry::SendFrame{vm, AskFrame{key, key, model->base, model->memory_mb}});
  }
}

// An upstream that is short of processor time answers later than offer_timeout_ms, which is no
// reason to refuse calls: once nobody else can be asked, the placement waits for it.
bool EntryImpl::AwaitLateOffers(Placement& placement) const {
  if (placement.pending_offers.empty()) return false;
  if (placement.late_offers_until == 0) placement.late_offers_until = now_ + kLateOffersMs;
  placement.until = placement.late_offers_until;
  return now_ < placement.until;
}

void EntryImpl::OnFrame(const std::string& vm, OfferFrame offer) {
  const auto it = placements_.find(offer.key);
  if (it == placements_.end() || it->second.pending_offers.erase(vm) == 0) return;
  Placement& placement = it->second;
  // Until a call was sent there, the offer is the best estimate of the cold start.
  const auto upstream = upstreams_.find(vm);
  if (upstream != upstreams_.end()) {
    UpstreamReport expected;
    expected.wait_ms = offer.load_ms;
    upstream->second.reports.try_emplace(offer.key, LastReport{expected, 0});
  }
  placement.offers.push_back(std::move(offer));
  placement.offer_vms.push_back(vm);
  if (placement.state != PlacementState::kCollectingOffers) return;
  if (placement.late_offers_until != 0) placement.until = now_;
  const std::string key = it->first;
  ContinuePlacement(key, placement);
}

void EntryImpl::OfferFailed(const std::string& vm) {
  std::vector<std::string> keys;
  for (auto& [key, it] : placements_) {
    if (it.pending_offers.erase(vm) == 0) continue;
    it.rejected.push_back({vm, "accepted no connection"});
    if (it.state == PlacementState::kCollectingOffers && it.pending_offers.empty())
      keys.push_back(key);
  }
  for (const auto& key : keys) {
    const auto it = placements_.find(key);
    if (it != placements_.end()) ContinuePlacement(key, it->second);
  }
}

// Chooses the offer with the shortest load time. Among equal ones it prefers a data
// hall without a slot, then rendezvous order, so that models requested at the same
// time do not all go to the upstream that replies first.
void EntryImpl::ChooseOffer(const std::string& key, Placement& placement) {
  std::set<std::string> used_halls;
  for (const auto& slot : LiveSlots(key)) used_halls.insert(upstreams_.at(slot.vm).info.data_hall);
  struct Choice {
    std::size_t n;
    bool is_new_hall;
  };
  std::optional<Choice> best;
  for (std::size_t n = 0; n < placement.offers.size(); ++n) {
    const OfferFrame& offer = placement.offers[n];
    const std::string& vm = placement.offer_vms[n];
    const auto upstream = upstreams_.find(vm);
    const bool is_eligible = offer.fits && !offer.leaving && upstream != upstreams_.end() &&
                             upstream->second.is_listed && !IsLeaving(upstream->second);
    if (!is_eligible) {
      placement.rejected.push_back({vm, offer.leaving ? "leaving" : "no room"});
      continue;
    }
    const Choice choice{n, used_halls.count(upstream->second.info.data_hall) == 0};
    if (!best) {
      best = choice;
      continue;
    }
    const OfferFrame& other = placement.offers[best->n];
    const auto load = static_cast<double>(offer.load_ms);
    const auto other_load = static_cast<double>(other.load_ms);
    const bool is_equal =
        load <= other_load * kEqualLoadRatio && other_load <= load * kEqualLoadRatio;
    const bool is_better =
        !is_equal ? load < other_load
        : choice.is_new_hall != best->is_new_hall
            ? choice.is_new_hall
            : RendezvousScore(key, vm) > RendezvousScore(key, placement.offer_vms[best->n]);
    if (is_better) best = choice;
  }
  if (!best) return RequestNextOffers(key, placement);
  for (std::size_t n = 0; n < placement.offers.size(); ++n) {
    const OfferFrame& offer = placement.offers[n];
    if (n == best->n || !offer.fits) continue;
    placement.rejected.push_back(
        {placement.offer_vms[n],
         std::string(TierName(offer.tier)) + ", load " + std::to_string(offer.load_ms) + " ms"});
  }
  const OfferFrame& offer = placement.offers[best->n];
  RecordDecision({}, key, placement.offer_vms[best->n], "placed on " + placement.offer_vms[best->n],
                 "tier=" + std::string(TierName(offer.tier)) + " load_ms=" +
                     std::to_string(offer.load_ms) + " free_mb=" + std::to_string(offer.free_mb),
                 placement.rejected);
  WriteSlot(key, placement, placement.offer_vms[best->n]);
}

void EntryImpl::WriteSlot(const std::string& key, Placement& placement, const std::string& vm) {
  const VmInfo& info = upstreams_.at(vm).info;
  GrantRecord record = grants_[key];
  record.key = key;
  record.slots = LiveSlots(key);
  if (record.slots.size() >= DeclaredReplicas(key)) {
    return EndPlacement(key, Refusal{RefusalCode::kNoReplicas, "every declared replica is placed",
                                     Ran::kNo, kShortRetryMs});
  }
  std::set<std::uint32_t> used;
  for (const auto& it : record.slots) used.insert(it.index);
  std::uint32_t index = 0;
  while (used.count(index) > 0) ++index;
  ++record.last_token;
  record.slots.push_back(GrantSlot{index, vm, info.incarnation, record.last_token, list_.revision});
  CheckInvariant(record.slots.size() <= DeclaredReplicas(key),
                 "slots granted never exceed the replicas declared in the version the writer saw");
  placement.state = PlacementState::kWriting;
  placement.until = now_ + kKvTimeoutMs;
  ++counters_.grant_writes;
  Emit(entry::WriteGrant{std::move(record)});
}

void EntryImpl::On(entry::GrantOperationEnded event) {
  const auto it = placements_.find(event.key);
  const bool is_placing =
      it != placements_.end() && (it->second.state == PlacementState::kWriting ||
                                  it->second.state == PlacementState::kReading);
  if (event.is_known) StoreGrant(std::move(event.record));
  if (!is_placing) return RouteWaiters(event.key);
  Placement& placement = it->second;
  if (!event.is_known) {
    if (placement.state == PlacementState::kReading) {
      return EndPlacement(
          event.key, Refusal{RefusalCode::kPlacementFailed, "the key-value service did not answer",
                             Ran::kNo, kKvRetryMs});
    }
    // The write may have taken effect. A read resolves this: either the slot is
    // there, or the next write depends on the revision read, which excludes the
    // earlier write.
    placement.state = PlacementState::kReading;
    placement.until = now_ + kKvTimeoutMs;
    ++counters_.grant_reads;
    return Emit(entry::ReadGrant{event.key});
  }
  const bool was_read = placement.state == PlacementState::kReading;
  if (!event.is_written && !was_read) ++counters_.grant_conflicts;
  const bool may_write_again =
      !event.is_written && CanAddSlot(event.key) && ++placement.conflicts < kMaxConflicts;
  if (may_write_again && LiveSlots(event.key).empty()) {
    placement.state = PlacementState::kCollectingOffers;
    placement.queried.clear();
    placement.offers.clear();
    placement.offer_vms.clear();
    placement.offer_batches = 0;
    placement.late_offers_until = 0;
    return RequestNextOffers(event.key, placement);
  }
  placements_.erase(it);
  RouteWaiters(event.key);
}

// Ends a placement without a slot and refuses the waiting calls.
void EntryImpl::EndPlacement(const std::string& key, const Refusal& refusal) {
  placements_.erase(key);
  ForEachWaiter(key, [&](EntryCall& call) { Refuse(call, refusal); });
}

// ---- The tick --------------------------------------------------------------

void EntryImpl::On(entry::Ticked) {
  ExpireCalls();
  std::vector<std::string> keys;
  for (const auto& [key, it] : placements_) keys.push_back(key);
  for (const auto& key : keys) {
    const auto it = placements_.find(key);
    if (it != placements_.end()) ContinuePlacement(key, it->second);
  }
  std::vector<std::string> overdue;
  for (auto& [key, ids] : waiters_) {
    const auto is_over = [this](const std::string& id) {
      const auto call = calls_.find(id);
      return call == calls_.end() ||
             (call->second.wait_until > 0 && call->second.wait_until <= now_);
    };
    for (const auto& id : ids) {
      if (is_over(id)) overdue.push_back(id);
    }
    ids.erase(std::remove_if(ids.begin(), ids.end(), is_over), ids.end());
  }
  for (const auto& id : overdue) {
    const auto call = calls_.find(id);
    if (call != calls_.end() && call->second.state == CallState::kWaiting) Route(call->second);
  }
  RetireExcess();
}

}  // namespace junctionrail::internal

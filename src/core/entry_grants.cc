// Grants as known to an entry: the current configuration, the grant records, and
// the retirement of slots above the declared number of replicas.
#include <algorithm>
#include <utility>

#include "entry_impl.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kRetireCheckPeriodMs = 1000;
constexpr DurationMs kRetireDelayPerRankMs = 2000;  // Additional delay per rank.
constexpr std::uint32_t kMaxRetireRank = 8;         // Higher ranks share one delay.

}  // namespace

// ---- Configuration ---------------------------------------------------------

void EntryImpl::On(entry::ConfigurationRead event) {
  if (event.configuration.version() < configuration_.version()) return;
  if (event.configuration.version() == configuration_.version() && configuration_.version() > 0) {
    return;
  }
  CheckInvariant(event.configuration.version() >= configuration_.version(),
                 "the configuration version never decreases");
  configuration_ = std::move(event.configuration);
  may_have_excess_ = true;
  RecordDecision({}, {}, {},
                 "configuration " + std::to_string(configuration_.version()) + " is in force");
}

void EntryImpl::On(entry::ConfigurationChanged event) {
  if (event.change.version <= configuration_.version()) return;
  const std::uint64_t before = configuration_.version();
  if (!configuration_.Apply(event.change)) return Emit(entry::ReadConfiguration{});
  CheckInvariant(configuration_.version() > before, "the configuration version never decreases");
  may_have_excess_ = true;
  RecordDecision({}, {}, {},
                 "configuration " + std::to_string(configuration_.version()) + " is in force",
                 "change=" + event.change.change_id + " author=" + event.change.author);
}

std::uint32_t EntryImpl::DeclaredReplicas(std::string_view key) const {
  const auto it = configuration_.models().find(key);
  return it == configuration_.models().end() ? 0 : it->second.replicas;
}

// ---- Grants ----------------------------------------------------------------

std::vector<GrantRecord> EntryImpl::Grants() const {
  std::vector<GrantRecord> all;
  for (const auto& [key, it] : grants_) all.push_back(it);
  return all;
}

// Whether the VM that holds a slot is known to be gone. A VM list older than the one
// used for placing the slot cannot tell.
bool EntryImpl::IsHolderGone(const GrantSlot& slot) const {
  if (list_.revision < slot.list_revision) return false;
  const auto it = upstreams_.find(slot.vm);
  return it == upstreams_.end() || it->second.info.incarnation != slot.incarnation;
}

std::vector<GrantSlot> EntryImpl::LiveSlots(const std::string& key) const {
  std::vector<GrantSlot> live;
  const auto record = grants_.find(key);
  if (record == grants_.end()) return live;
  for (const auto& it : record->second.slots) {
    if (!IsHolderGone(it)) live.push_back(it);
  }
  return live;
}

bool EntryImpl::CanAddSlot(const std::string& key) const {
  return LiveSlots(key).size() < DeclaredReplicas(key);
}

void EntryImpl::StoreGrant(GrantRecord record) {
  GrantRecord& known = grants_[record.key];
  if (record.revision < known.revision) return;
  if (record.slots.size() > DeclaredReplicas(record.key)) may_have_excess_ = true;
  // When a base is removed from a VM, its adapters there can no longer be served.
  const auto still_exists = [&record](const GrantSlot& old) {
    return std::any_of(record.slots.begin(), record.slots.end(),
                       [&old](const GrantSlot& it) { return it.token == old.token; });
  };
  const bool has_lost = !std::all_of(known.slots.begin(), known.slots.end(), still_exists);
  may_have_excess_ = may_have_excess_ || has_lost;
  known = std::move(record);
}

void EntryImpl::On(entry::GrantChanged event) {
  const std::string key = event.record.key;
  StoreGrant(std::move(event.record));
  const auto placement = placements_.find(key);
  // A write by this entry ends with its own result, not with the watch event.
  const bool is_writing =
      placement != placements_.end() && (placement->second.state == PlacementState::kWriting ||
                                         placement->second.state == PlacementState::kReading);
  if (is_writing) return;
  if (placement != placements_.end() && !CanAddSlot(key)) placements_.erase(placement);
  RouteWaiters(key);
}

// Removes the calls waiting for a slot of a key from the list and runs `action` on
// each that still waits. The action may end the call or make it wait again.
void EntryImpl::ForEachWaiter(const std::string& key,
                              const std::function<void(EntryCall&)>& action) {
  const auto it = waiters_.find(key);
  if (it == waiters_.end()) return;
  const std::vector<std::string> ids = std::move(it->second);
  waiters_.erase(it);
  for (const auto& id : ids) {
    const auto call = calls_.find(id);
    if (call != calls_.end() && call->second.state == CallState::kWaiting) action(call->second);
  }
}

void EntryImpl::RouteWaiters(const std::string& key) {
  ForEachWaiter(key, [this](EntryCall& call) { Route(call); });
}

// ---- Slots above the declared number of replicas ---------------------------

void EntryImpl::RetireExcess() {
  if (!may_have_excess_ || now_ < next_retire_at_) return;
  next_retire_at_ = now_ + kRetireCheckPeriodMs;
  may_have_excess_ = false;
  for (const auto& [key, record] : grants_) RetireExcessOf(record);
}

void EntryImpl::RetireExcessOf(const GrantRecord& record) {
  std::vector<GrantSlot> slots = LiveSlots(record.key);
  const std::size_t declared = DeclaredReplicas(record.key);
  std::sort(slots.begin(), slots.end(),
            [](const GrantSlot& a, const GrantSlot& b) { return a.index < b.index; });
  std::vector<GrantSlot> excess;
  if (slots.size() > declared) {
    excess.assign(slots.begin() + static_cast<std::ptrdiff_t>(declared), slots.end());
    slots.resize(declared);
  }
  const ModelDeclaration* model = configuration_.Resolve(record.key);
  if (model != nullptr && model->IsAdapter()) {
    for (const auto& it : slots) {
      const auto upstream = upstreams_.find(it.vm);
      const bool is_orphan =
          upstream != upstreams_.end() && SlotOn(model->base, upstream->second.info) == nullptr;
      if (is_orphan) excess.push_back(it);
    }
  }
  if (excess.empty()) {
    excess_since_.erase(record.key);
    return;
  }
  may_have_excess_ = true;
  const TimeMs since = excess_since_.try_emplace(record.key, now_).first->second;
  if (now_ < since + static_cast<DurationMs>(std::min(RankOf(record.key), kMaxRetireRank)) *
                         kRetireDelayPerRankMs)
    return;
  for (const auto& it : excess) {
    ++counters_.retires_sent;
    RecordDecision(
        {}, record.key, it.vm,
        it.vm + " is asked to release slot " + std::to_string(it.index) + " of the key",
        "declared=" + std::to_string(declared) + " granted=" + std::to_string(record.slots.size()));
    Emit(entry::SendFrame{it.vm,
                          RetireFrame{record.key, it.index, it.token, configuration_.version()}});
  }
}

}  // namespace junctionrail::internal

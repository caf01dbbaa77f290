#include "memory_ledger.h"

#include <algorithm>

#include "junctionrail/base.h"

namespace junctionrail::internal {

void MemoryLedger::SetCapacities(const std::vector<std::uint64_t>& capacities_mb) {
  capacities_ = capacities_mb;
  used_.resize(std::max(used_.size(), capacities_.size()), 0);
}

std::uint64_t MemoryLedger::FreeOn(std::uint32_t accelerator) const {
  if (accelerator >= capacities_.size()) return 0;
  const std::uint64_t used = used_[accelerator];
  return used >= capacities_[accelerator] ? 0 : capacities_[accelerator] - used;
}

std::uint64_t MemoryLedger::LargestFree() const {
  std::uint64_t most = 0;
  for (std::uint32_t n = 0; n < capacities_.size(); ++n) most = std::max(most, FreeOn(n));
  return most;
}

std::optional<std::uint32_t> MemoryLedger::AcceleratorOf(std::string_view key) const {
  const auto it = rows_.find(key);
  if (it == rows_.end()) return std::nullopt;
  return it->second.accelerator;
}

std::uint64_t MemoryLedger::MemoryOf(std::string_view key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? 0 : it->second.memory_mb;
}

std::optional<std::uint32_t> MemoryLedger::Reserve(const std::string& key,
                                                   std::uint64_t memory_mb) {
  std::optional<std::uint32_t> best;
  for (std::uint32_t n = 0; n < capacities_.size(); ++n) {
    if (FreeOn(n) < memory_mb) continue;
    if (!best || FreeOn(n) < FreeOn(*best)) best = n;
  }
  if (best) ReserveOn(*best, key, memory_mb);
  return best;
}

bool MemoryLedger::ReserveOn(std::uint32_t accelerator, const std::string& key,
                             std::uint64_t memory_mb) {
  if (FreeOn(accelerator) < memory_mb) return false;
  CheckInvariant(!Holds(key), "a key is reserved once on an upstream");
  rows_[key] = Row{accelerator, memory_mb};
  used_[accelerator] += memory_mb;
  CheckInvariant(used_[accelerator] <= capacities_[accelerator],
                 "reserved and loaded memory never exceeds an accelerator's memory");
  return true;
}

void MemoryLedger::Adopt(std::uint32_t accelerator, const std::string& key,
                         std::uint64_t memory_mb) {
  if (Holds(key)) return;
  if (accelerator >= used_.size()) used_.resize(accelerator + 1, 0);
  rows_[key] = Row{accelerator, memory_mb};
  used_[accelerator] += memory_mb;
}

void MemoryLedger::Release(std::string_view key) {
  const auto it = rows_.find(key);
  if (it == rows_.end()) return;
  used_[it->second.accelerator] -= it->second.memory_mb;
  rows_.erase(it);
}

}  // namespace junctionrail::internal

// Accounts for the accelerator memory of an upstream. Memory is reserved before a
// load starts and released only after the model is confirmed to be absent.
#ifndef JUNCTIONRAIL_CORE_MEMORY_LEDGER_H_
#define JUNCTIONRAIL_CORE_MEMORY_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace junctionrail::internal {

class MemoryLedger {
 public:
  // Sets the accelerator sizes in MB. Keeps the reservations.
  void SetCapacities(const std::vector<std::uint64_t>& capacities_mb);

  // Reserves on the accelerator with the least free memory that fits, to keep large
  // free blocks. Returns nullopt if none fits.
  std::optional<std::uint32_t> Reserve(const std::string& key, std::uint64_t memory_mb);

  // Reserves on one accelerator. Returns false if it does not fit.
  bool ReserveOn(std::uint32_t accelerator, const std::string& key, std::uint64_t memory_mb);

  // Records a model that the engine already holds, even beyond the capacity: the
  // memory is in use whatever the ledger contains.
  void Adopt(std::uint32_t accelerator, const std::string& key, std::uint64_t memory_mb);

  void Release(std::string_view key);

  bool Holds(std::string_view key) const { return rows_.find(key) != rows_.end(); }
  // The accelerator that holds the key's memory, or nullopt.
  std::optional<std::uint32_t> AcceleratorOf(std::string_view key) const;
  std::uint64_t MemoryOf(std::string_view key) const;

  std::uint64_t FreeOn(std::uint32_t accelerator) const;
  std::uint64_t LargestFree() const;
  std::size_t accelerators() const { return capacities_.size(); }

 private:
  struct Row {
    std::uint32_t accelerator;
    std::uint64_t memory_mb;
  };

  std::vector<std::uint64_t> capacities_;
  std::vector<std::uint64_t> used_;
  std::map<std::string, Row, std::less<>> rows_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_CORE_MEMORY_LEDGER_H_

// Error-budget burn rates of each declared name over several windows, and the
// causes of the burn.
#ifndef JUNCTIONRAIL_BURN_H_
#define JUNCTIONRAIL_BURN_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/declarations.h"

namespace junctionrail {

// Outcome of a call with respect to its objectives. Each call has exactly one.
enum class BurnCause : std::uint8_t {
  kGood,         // Answered, with the first token in time.
  kSlowCold,     // Answered late after waiting for a load.
  kSlowWarm,     // Answered late by a loaded replica.
  kRefusedCold,  // Refused because a load would be too late, or failed.
  kQueue,        // Refused because the queue was full or too slow.
  kCapacity,     // Refused for lack of a replica, memory or slot.
  kUpstream,     // Failed at the upstream or on the way to it.
  kOther,        // Refused for any other reason.
  kCount,
};
constexpr std::size_t kBurnCauseCount = static_cast<std::size_t>(BurnCause::kCount);
std::string_view BurnCauseName(BurnCause cause);

// Counts of one key in one window. The counts of several entries can be added
// exactly, because each call is classified once, when it ends.
struct BurnCounts {
  std::array<std::uint64_t, kBurnCauseCount> by_cause = {};
  std::uint64_t cold_starts = 0;       // Calls that waited for a load.
  std::uint64_t cold_starts_late = 0;  // Of those, the ones that missed the cold-start objective.

  std::uint64_t Total() const;
  void Add(const BurnCounts& other);
};

struct BurnWindow {
  std::string_view name;
  DurationMs length_ms;
  DurationMs bucket_ms;  // The start of the window is accurate to within this.
};
// Twelve buckets per window: at the design size every key of an entry is in use,
// and finer buckets would take more memory than all other tables of the entry.
constexpr std::array<BurnWindow, 4> kBurnWindows = {{{"5m", 300000, 25000},
                                                     {"1h", 3600000, 300000},
                                                     {"6h", 21600000, 1800000},
                                                     {"3d", 259200000, 21600000}}};

// Burn rates: at 1, exactly the error budget is used up over the window.
struct BurnRates {
  double first_token = 0;
  double availability = 0;
  double cold_start = 0;   // Uses the share of the first-token objective.
  double budget_left = 1;  // Of the first-token budget in this window; negative if overspent.
};
BurnRates ComputeBurnRates(const BurnCounts& counts, const Objectives& objectives);

// Counts the calls of one process. Keys beyond `max_keys` are counted together
// under "(others)".
class BurnTracker {
 public:
  explicit BurnTracker(std::size_t max_keys = 5000) : max_keys_(max_keys) {}

  void Add(TimeMs now, std::string_view key, const BurnCounts& one);

  // The counts of one key in each window.
  struct Entry {
    std::string key;
    std::array<BurnCounts, kBurnWindows.size()> windows;
  };
  std::vector<Entry> Report(TimeMs now, std::string_view only_key = {}) const;

 private:
  // One bucket of a window, half as large as BurnCounts.
  struct Bucket {
    std::int64_t number = 0;
    std::array<std::uint32_t, kBurnCauseCount> by_cause = {};
    std::uint32_t cold_starts = 0;
    std::uint32_t cold_starts_late = 0;

    void Add(const BurnCounts& one);
    void AddTo(BurnCounts* sum) const;
  };
  using Buckets = std::vector<Bucket>;  // Oldest first; only buckets that have calls.
  using Series = std::array<Buckets, kBurnWindows.size()>;

  std::map<std::string, Series, std::less<>> keys_;
  std::size_t max_keys_;
};

// Classify one call. `first_byte_ms` is the time to the first byte.
BurnCounts ClassifyResponse(const Objectives& objectives, DurationMs first_byte_ms, bool was_cold);
BurnCounts ClassifyFailure(std::string_view refusal_name);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_BURN_H_

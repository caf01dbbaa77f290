// Service-level burn: how fast each declared name uses its error budget up,
// over several windows, and what used it.
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

// What became of a call, as far as its objectives care. Each call is exactly
// one of these.
enum class BurnCause : std::uint8_t {
  kGood,         // Answered, the first token in time.
  kSlowCold,     // Answered late, having waited for a load.
  kSlowWarm,     // Answered late by a loaded replica.
  kRefusedCold,  // Refused: a load would be, or was, too late.
  kQueue,        // Refused: the queue.
  kCapacity,     // Refused: no replica, no memory, no slot.
  kUpstream,     // Failed at the upstream or on the way.
  kOther,        // Refused for any other reason.
  kCount,
};
constexpr std::size_t kBurnCauseCount = static_cast<std::size_t>(BurnCause::kCount);
std::string_view BurnCauseName(BurnCause cause);

// Counts of one window of one key. They add up across entries without error,
// since each call is judged when it ends.
struct BurnCounts {
  std::array<std::uint64_t, kBurnCauseCount> by_cause = {};
  std::uint64_t cold_starts = 0;       // Calls that waited for a load.
  std::uint64_t cold_starts_late = 0;  // Of those, past the cold-start objective.

  std::uint64_t Total() const;
  void Add(const BurnCounts& other);
};

struct BurnWindow {
  std::string_view name;
  DurationMs length_ms;
  DurationMs bucket_ms;  // The window's end is known to within this.
};
// Twelve buckets a window: at the designed size every key of an entry is in use,
// and finer ones would take more memory than all its other tables.
constexpr std::array<BurnWindow, 4> kBurnWindows = {{{"5m", 300000, 25000},
                                                     {"1h", 3600000, 300000},
                                                     {"6h", 21600000, 1800000},
                                                     {"3d", 259200000, 21600000}}};

// How fast a budget burns: 1 uses exactly the budget up over the window.
struct BurnRates {
  double first_token = 0;
  double availability = 0;
  double cold_start = 0;   // Judged against the first token's share.
  double budget_left = 1;  // Of first token's, over this window; below 0 when overdrawn.
};
BurnRates ComputeBurnRates(const BurnCounts& counts, const Objectives& objectives);

// Counts the calls of one process. Keys beyond `max_keys` are counted
// together under "(others)".
class BurnTracker {
 public:
  explicit BurnTracker(std::size_t max_keys = 5000) : max_keys_(max_keys) {}

  void Add(TimeMs now, std::string_view key, const BurnCounts& one);

  // The counts of each window, by key.
  struct Entry {
    std::string key;
    std::array<BurnCounts, kBurnWindows.size()> windows;
  };
  std::vector<Entry> Report(TimeMs now, std::string_view only_key = {}) const;

 private:
  // One bucket of a window, in half the space of BurnCounts.
  struct Bucket {
    std::int64_t number = 0;
    std::array<std::uint32_t, kBurnCauseCount> by_cause = {};
    std::uint32_t cold_starts = 0;
    std::uint32_t cold_starts_late = 0;

    void Add(const BurnCounts& one);
    void AddTo(BurnCounts* sum) const;
  };
  using Buckets = std::vector<Bucket>;  // Oldest first; only those with calls.
  using Series = std::array<Buckets, kBurnWindows.size()>;

  std::map<std::string, Series, std::less<>> keys_;
  std::size_t max_keys_;
};

// Judges one call by its objectives. `first_byte_ms` is the time to the first byte.
BurnCounts ClassifyResponse(const Objectives& objectives, DurationMs first_byte_ms, bool was_cold);
BurnCounts ClassifyFailure(std::string_view refusal_name);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_BURN_H_

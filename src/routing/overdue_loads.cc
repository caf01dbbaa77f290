#include "overdue_loads.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

// The margin is half the estimate, but at least this long.
constexpr DurationMs kMinOverdueMs = 1000;
constexpr double kOverdueFactor = 0.5;
// Covers the time until the requests that use the evicted model have ended. Bounded, as the view of
// an agent whose engine was replaced also shows work.
constexpr DurationMs kWorkMarginMs = 3000;

}  // namespace

DurationMs OverdueMargin(DurationMs estimate) {
  return std::max(kMinOverdueMs,
                  static_cast<DurationMs>(kOverdueFactor * static_cast<double>(estimate)));
}

DurationMs WorkMargin(const EngineView& view, std::string_view model) {
  const bool is_at_work = view.loading == model || Contains(view.queue, model);
  return is_at_work ? kWorkMarginMs : 0;
}

}  // namespace junctionrail::internal

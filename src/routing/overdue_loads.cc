#include "overdue_loads.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

constexpr DurationMs kMinOverdueMs = 1000;
constexpr double kOverdueFactor = 0.5;
// Covers the end of the requests that use the evicted model. An agent whose engine was replaced
// also shows work, so callers must not wait there for long.
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

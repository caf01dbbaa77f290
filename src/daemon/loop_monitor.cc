#include "loop_monitor.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

constexpr DurationMs kPeriodMs = 250;
// A shorter delay is part of ordinary work.
constexpr DurationMs kStallMs = 200;

}  // namespace

void LoopMonitor::Arm() {
  due_at_ = MonotonicMs() + kPeriodMs;
  timer_.After(kPeriodMs, [this] { Measure(); });
}

void LoopMonitor::Measure() {
  const TimeMs now = MonotonicMs();
  const DurationMs lag_ms = std::max<DurationMs>(0, now - due_at_);
  lag_.Add(lag_ms);
  if (lag_ms >= kStallMs) log_.Write(now, "loop_stalled", {{"lag_ms", lag_ms}});
  Arm();
}

}  // namespace junctionrail::internal

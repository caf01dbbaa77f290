#include <algorithm>

#include "junctionrail/places.h"

namespace junctionrail {
namespace {

// Six slots of this length cover the last 30 s.
constexpr DurationMs kSlotMs = 5000;
// A sample above the default counts once there is another one.
constexpr int kMinSlowSamples = 2;

}  // namespace

TimeMs RoundTripWindow::NumberAt(TimeMs now) { return now / kSlotMs; }

bool RoundTripWindow::IsCurrent(const Slot& slot, TimeMs now) {
  return slot.samples > 0 && slot.number > NumberAt(now) - static_cast<TimeMs>(kSlots);
}

void RoundTripWindow::Add(double ms, TimeMs now) {
  const TimeMs number = NumberAt(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) slot = Slot{number, 0, ms, now};
  slot.samples = std::min(slot.samples + 1, kMinSlowSamples);
  if (ms > slot.smallest_ms) return;
  slot.smallest_ms = ms;
  slot.measured_at = now;
}

std::optional<RoundTrip> RoundTripWindow::Smallest(double default_ms, TimeMs now) const {
  const Slot* smallest = nullptr;
  int samples = 0;
  for (const Slot& slot : slots_) {
    if (!IsCurrent(slot, now)) continue;
    samples += slot.samples;
    if (smallest == nullptr || slot.smallest_ms < smallest->smallest_ms) smallest = &slot;
  }
  const bool is_known =
      smallest != nullptr && (samples >= kMinSlowSamples || smallest->smallest_ms <= default_ms);
  if (!is_known) return std::nullopt;
  return RoundTrip{smallest->smallest_ms, now - smallest->measured_at};
}

bool RoundTripWindow::IsExpired(TimeMs now) const {
  return std::none_of(slots_.begin(), slots_.end(),
                      [now](const Slot& slot) { return IsCurrent(slot, now); });
}

}  // namespace junctionrail

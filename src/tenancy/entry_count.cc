#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

// A lower count is adopted once no agent has counted as many for this long.
constexpr DurationMs kHoldMs = 60000;

}  // namespace

void EntryCount::Update(int counted, TimeMs now) {
  if (counted == 0) return;
  if (counted < value_ && now - counted_at_ < kHoldMs) return;
  value_ = counted;
  counted_at_ = now;
}

}  // namespace junctionrail

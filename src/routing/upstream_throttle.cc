#include <algorithm>

#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

// The request that finds out whether an upstream takes requests again is answered within this,
// or is no reason to hold up others.
constexpr DurationMs kProbeTimeoutMs = 1000;

}  // namespace

// Answers on different connections overtake one another: only one to a request that was sent
// after the limit was last named can tell that there is none any more.
bool UpstreamThrottle::OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now) {
  if (!per_s && sent_at < limit_at_) return false;
  if (per_s) limit_at_ = now;
  if (limit_per_s_ == per_s) return false;
  limit_per_s_ = per_s;
  return true;
}

void UpstreamThrottle::OnBackoff(DurationMs backoff_ms, TimeMs sent_at, TimeMs now) {
  if (backoff_ms > 0) {
    backoff_until_ = std::max(backoff_until_, now + backoff_ms);
    needs_probe_ = true;
  } else if (sent_at >= backoff_until_) {
    needs_probe_ = false;
  }
}

// After a rest one request goes ahead of the others: what waited for its end would all be
// turned away together.
TimeMs UpstreamThrottle::AvailableAt() const {
  TimeMs opens_at = backoff_until_;
  if (limit_per_s_) opens_at = std::max(opens_at, limit_exhausted_until_);
  const bool is_probe_in_flight = needs_probe_ && sent_at_ >= backoff_until_;
  if (is_probe_in_flight) opens_at = std::max(opens_at, sent_at_ + kProbeTimeoutMs);
  return opens_at;
}

}  // namespace junctionrail

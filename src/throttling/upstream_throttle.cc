#include <algorithm>

#include "junctionrail/throttling.h"

namespace junctionrail {
namespace {

// The request that probes whether an upstream accepts requests again holds up other requests for at
// most this long.
constexpr DurationMs kProbeTimeoutMs = 1000;
// Burst of a cold upstream, in seconds at its rate. Grants that arrive late can add up to as much
// as half a second more.
constexpr double kColdBurstS = 0.1;

}  // namespace

RateLimit ColdLimit(double requests_per_s) {
  return {requests_per_s, std::max(1.0, kColdBurstS * requests_per_s)};
}

// Answers on different connections may arrive out of order: only an answer to a request sent after
// the limit was last stated can remove the limit.
bool UpstreamThrottle::OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now) {
  if (!per_s && sent_at < limit_at_) return false;
  if (per_s) limit_at_ = now;
  if (limit_per_s_ == per_s) return false;
  limit_per_s_ = per_s;
  limit_exhausted_until_ = 0;
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

// After a backoff a single request is sent first as a probe; otherwise all requests that
// waited for its end could be rejected together.
TimeMs UpstreamThrottle::AvailableAt() const {
  TimeMs opens_at = std::max(backoff_until_, limit_exhausted_until_);
  const bool is_probe_in_flight = needs_probe_ && sent_at_ >= backoff_until_;
  if (is_probe_in_flight) opens_at = std::max(opens_at, sent_at_ + kProbeTimeoutMs);
  return opens_at;
}

}  // namespace junctionrail

#include <algorithm>

#include "junctionrail/routing.h"

namespace junctionrail {
namespace {

// The request that finds out whether an upstream takes requests again is answered within this,
// or is no reason to hold up others.
constexpr DurationMs kProofMs = 1000;

}  // namespace

// Answers on different connections overtake one another: only one to a request that was sent
// after the limit was last named can tell that there is none any more.
bool UpstreamTerms::OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now) {
  if (!per_s && sent_at < limit_at_) return false;
  if (per_s) limit_at_ = now;
  if (limit_per_s_ == per_s) return false;
  limit_per_s_ = per_s;
  return true;
}

void UpstreamTerms::OnRest(DurationMs rest_ms, TimeMs sent_at, TimeMs now) {
  if (rest_ms > 0) {
    rest_until_ = std::max(rest_until_, now + rest_ms);
    is_unproven_ = true;
  } else if (sent_at >= rest_until_) {
    is_unproven_ = false;
  }
}

// After a rest one request goes ahead of the others: what waited for its end would all be
// turned away together.
TimeMs UpstreamTerms::OpensAt() const {
  TimeMs opens_at = rest_until_;
  if (limit_per_s_) opens_at = std::max(opens_at, limited_until_);
  const bool is_one_ahead = is_unproven_ && sent_at_ >= rest_until_;
  if (is_one_ahead) opens_at = std::max(opens_at, sent_at_ + kProofMs);
  return opens_at;
}

}  // namespace junctionrail

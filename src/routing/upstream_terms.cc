#include "junctionrail/routing.h"

namespace junctionrail {

// Answers on different connections overtake one another: only one to a request that was sent
// after the limit was last named can tell that there is none any more.
bool UpstreamTerms::OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now) {
  if (!per_s && sent_at < limit_at_) return false;
  if (per_s) limit_at_ = now;
  if (limit_per_s_ == per_s) return false;
  limit_per_s_ = per_s;
  return true;
}

TimeMs UpstreamTerms::OpensAt() const { return limit_per_s_ ? limited_until_ : 0; }

}  // namespace junctionrail

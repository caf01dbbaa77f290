// Delays and partitions between the regions of a soak, applied by its proxies.
#ifndef JUNCTIONRAIL_SOAK_NETWORK_H_
#define JUNCTIONRAIL_SOAK_NETWORK_H_

#include <functional>
#include <string>
#include <string_view>

#include "junctionrail/base.h"

namespace junctionrail::soak {

// The place of the platform's store, which is in no region: paths to it are not delayed.
constexpr char kStorePlace[] = "store";

class Network {
 public:
  void SetDelay(DurationMs one_way_ms) { delay_ms_ = one_way_ms; }
  // Nothing passes between the region and the others, nor the store if `with_store`.
  void Partition(const std::string& region, bool with_store) {
    partitioned_ = region;
    with_store_ = with_store;
  }
  void Heal() { partitioned_.clear(); }

  // No delay while the region of one side is not known yet (empty).
  DurationMs DelayBetween(const std::string& a, const std::string& b) const {
    const bool is_far = a != b && !a.empty() && a != kStorePlace && b != kStorePlace;
    return is_far ? delay_ms_ : 0;
  }
  bool IsCut(const std::string& a, const std::string& b) const {
    const bool is_severed = a != b && (a == partitioned_ || b == partitioned_);
    const bool has_store = a == kStorePlace || b == kStorePlace;
    return !partitioned_.empty() && !a.empty() && is_severed && (with_store_ || !has_store);
  }

 private:
  DurationMs delay_ms_ = 0;
  std::string partitioned_;  // Empty: none.
  bool with_store_ = false;
};

// The regions at both ends of a proxy's connections.
struct Way {
  const Network* network = nullptr;
  std::string to;
  // The region from which a connection comes, by the bytes it began with; empty if they don't tell.
  std::function<std::string(std::string_view)> origin;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_NETWORK_H_

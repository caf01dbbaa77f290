#include "response_memory.h"

#include <algorithm>
#include <utility>

namespace junctionrail::internal {

ResponseMemory::AttemptId ResponseMemory::Add(const std::string& instance, EndCallback end) {
  attempts_[++last_id_] = {instance, 0, std::move(end)};
  ++upstreams_[instance].attempts;
  return last_id_;
}

void ResponseMemory::Remove(AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  SetBytes(id, 0);
  const auto upstream = upstreams_.find(it->second.instance);
  if (--upstream->second.attempts == 0) upstreams_.erase(upstream);
  attempts_.erase(it);
}

bool ResponseMemory::SetBytes(AttemptId id, std::size_t bytes) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return false;
  Attempt& attempt = it->second;
  Upstream& upstream = upstreams_[attempt.instance];
  upstream.bytes += bytes - attempt.bytes;
  held_bytes_ += bytes - attempt.bytes;
  attempt.bytes = bytes;
  return held_bytes_ > kMaxResponseBytes || upstream.bytes > kMaxUpstreamResponseBytes;
}

void ResponseMemory::EndExcess() {
  while (const auto excess = FindExcess()) {
    const AttemptId id = FindLargest(excess->instance);
    const EndCallback end = std::move(attempts_.at(id).end);
    Remove(id);
    ++ended_attempts_;
    end(excess->reason);
  }
}

// The upstream that holds the most, if a bound is exceeded: a response of a sound upstream does not
// fail for many smaller ones of a faulty upstream.
std::optional<ResponseMemory::Excess> ResponseMemory::FindExcess() const {
  const auto largest = std::max_element(
      upstreams_.begin(), upstreams_.end(),
      [](const auto& a, const auto& b) { return a.second.bytes < b.second.bytes; });
  if (largest == upstreams_.end()) return std::nullopt;
  const auto& [instance, upstream] = *largest;
  if (upstream.bytes > kMaxUpstreamResponseBytes) {
    return Excess{instance, kUpstreamResponsesTooLong};
  }
  if (held_bytes_ > kMaxResponseBytes) return Excess{instance, kResponsesTooLong};
  return std::nullopt;
}

ResponseMemory::AttemptId ResponseMemory::FindLargest(const std::string& instance) const {
  AttemptId largest = 0;
  std::size_t most_bytes = 0;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.instance != instance || attempt.bytes <= most_bytes) continue;
    largest = id;
    most_bytes = attempt.bytes;
  }
  return largest;
}

}  // namespace junctionrail::internal

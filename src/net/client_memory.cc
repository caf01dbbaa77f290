#include <algorithm>
#include <utility>

#include "junctionrail/net.h"

namespace junctionrail {
namespace {

// Ordinary requests are smaller. A part of the total is left to those, so that large ones cannot
// keep them out.
constexpr std::size_t kSmallBytes = 64 << 10;
constexpr std::size_t kSmallPart = 4;
// A client makes progress if it sends this much within that time.
constexpr std::size_t kProgressBytes = 16 << 10;
constexpr DurationMs kStalledMs = 1000;
// What a connection holds beside the body of its request.
constexpr std::size_t kFramingBytes = 128 << 10;

bool IsSmall(std::size_t bytes) { return bytes <= kSmallBytes; }

}  // namespace

ClientMemory::Reservation::Reservation(std::shared_ptr<ClientMemory> memory, std::uint64_t id)
    : memory_(std::move(memory)), id_(id) {}

ClientMemory::Reservation::Reservation(Reservation&& other) noexcept
    : memory_(std::move(other.memory_)), id_(std::exchange(other.id_, 0)) {}

ClientMemory::Reservation& ClientMemory::Reservation::operator=(Reservation&& other) noexcept {
  std::swap(memory_, other.memory_);
  std::swap(id_, other.id_);
  return *this;
}

ClientMemory::Reservation::~Reservation() {
  if (memory_) memory_->Remove(id_);
}

bool ClientMemory::Reservation::Resize(std::size_t bytes, TimeMs now) {
  return !memory_ || memory_->Resize(id_, bytes, now);
}

void ClientMemory::Reservation::SetEvictable(bool is_evictable) {
  if (memory_) memory_->clients_.at(id_).is_evictable = is_evictable;
}

ClientMemory::Reservation ClientMemory::Reserve(EvictCallback evict, TimeMs now) {
  Client& client = clients_[++last_id_];
  client.evict = std::move(evict);
  client.progressed_at = now;
  return {shared_from_this(), last_id_};
}

bool ClientMemory::SetLargestRequest(std::size_t bytes) {
  limits_.largest_request_bytes = bytes;
  return LargeLimit() <= limits_.total_bytes;
}

std::size_t ClientMemory::LargeLimit() const {
  const std::size_t large_part = limits_.total_bytes - limits_.total_bytes / kSmallPart;
  return std::max(large_part, limits_.largest_request_bytes + kFramingBytes);
}

std::size_t ClientMemory::total_bytes() const {
  return std::max(limits_.total_bytes, LargeLimit() + limits_.total_bytes / kSmallPart);
}

bool ClientMemory::Resize(std::uint64_t id, std::size_t bytes, TimeMs now) {
  Client& client = clients_.at(id);
  // What is called may need room as well.
  const bool was_evictable = std::exchange(client.is_evictable, false);
  const bool has_room = MakeRoom(client, bytes, now);
  client.is_evictable = was_evictable;
  if (!has_room) {
    ++refusals_;
    return false;
  }
  SetBytes(&client, bytes);
  const bool has_restarted = bytes < client.bytes_at_progress;
  if (has_restarted || bytes >= client.bytes_at_progress + kProgressBytes) {
    client.bytes_at_progress = bytes;
    client.progressed_at = now;
  }
  return true;
}

bool ClientMemory::MakeRoom(const Client& client, std::size_t bytes, TimeMs now) {
  while (bytes > client.bytes && !Fits(client, bytes)) {
    const auto victim = FindVictim(client, bytes, now);
    if (victim == clients_.end()) return false;
    ++evictions_;
    SetBytes(&victim->second, 0);
    victim->second.is_evictable = false;
    // The call may remove the victim.
    const EvictCallback evict = victim->second.evict;
    evict();
  }
  return true;
}

void ClientMemory::Remove(std::uint64_t id) {
  const auto it = clients_.find(id);
  SetBytes(&it->second, 0);
  clients_.erase(it);
}

void ClientMemory::SetBytes(Client* client, std::size_t bytes) {
  if (!IsSmall(client->bytes)) large_bytes_ -= client->bytes;
  if (!IsSmall(bytes)) large_bytes_ += bytes;
  held_bytes_ = held_bytes_ - client->bytes + bytes;
  client->bytes = bytes;
}

bool ClientMemory::Fits(const Client& client, std::size_t bytes) const {
  if (held_bytes_ - client.bytes + bytes > total_bytes()) return false;
  if (IsSmall(bytes)) return true;
  const std::size_t large_bytes = IsSmall(client.bytes) ? 0 : client.bytes;
  return large_bytes_ - large_bytes + bytes <= LargeLimit();
}

// The largest of those that make no progress: the fewest give way, and a body that arrives is not
// given up for one that does not. A small request needs no such reason to go before a large one,
// as it is soon whole.
ClientMemory::Clients::iterator ClientMemory::FindVictim(const Client& client, std::size_t bytes,
                                                         TimeMs now) {
  const bool is_total_full = held_bytes_ - client.bytes + bytes > total_bytes();
  auto victim = clients_.end();
  bool is_victim_stalled = false;
  for (auto it = clients_.begin(); it != clients_.end(); ++it) {
    const Client& other = it->second;
    if (&other == &client || !other.is_evictable || other.bytes == 0) continue;
    const bool is_stalled = now - other.progressed_at >= kStalledMs;
    const bool goes_before = IsSmall(bytes) && other.bytes > 2 * bytes;
    // If there is room in all, a large request needs the room of another large one.
    const bool helps = is_total_full || !IsSmall(other.bytes);
    const bool may_give_way = helps && (is_stalled || goes_before);
    if (!may_give_way) continue;
    const bool is_better = victim == clients_.end() || (is_stalled && !is_victim_stalled) ||
                           (is_stalled == is_victim_stalled && other.bytes > victim->second.bytes);
    if (!is_better) continue;
    victim = it;
    is_victim_stalled = is_stalled;
  }
  return victim;
}

}  // namespace junctionrail

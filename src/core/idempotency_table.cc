#include "idempotency_table.h"

#include <cctype>
#include <charconv>

namespace junctionrail::internal {

IdempotencyRow* IdempotencyTable::Find(std::string_view key) {
  const auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

IdempotencyRow* IdempotencyTable::Insert(const std::string& key, std::uint64_t fingerprint,
                                         TimeMs expires_at) {
  if (rows_.size() >= max_rows_ || bytes_ >= max_bytes_) return nullptr;
  IdempotencyRow& row = rows_[key];
  row.fingerprint = fingerprint;
  row.expires_at = expires_at;
  return &row;
}

bool IdempotencyTable::Append(IdempotencyRow* row, std::string_view data) {
  if (bytes_ + data.size() > max_bytes_) {
    bytes_ -= row->body.size();
    row->body.clear();
    row->state = IdempotencyState::kUnknown;
    return false;
  }
  row->body += data;
  bytes_ += data.size();
  return true;
}

void IdempotencyTable::Erase(std::string_view key) {
  const auto it = rows_.find(key);
  if (it == rows_.end()) return;
  bytes_ -= it->second.body.size();
  rows_.erase(it);
}

void IdempotencyTable::EraseExpired(TimeMs now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    const bool keep = it->second.state == IdempotencyState::kRunning || it->second.expires_at > now;
    if (keep) {
      ++it;
      continue;
    }
    bytes_ -= it->second.body.size();
    it = rows_.erase(it);
  }
}

std::optional<std::int64_t> UuidV7Time(std::string_view text) {
  constexpr std::size_t kLength = 36;
  constexpr std::size_t kVersionAt = 14;
  if (text.size() != kLength || text[kVersionAt] != '7') return std::nullopt;
  std::string hex;
  for (std::size_t n = 0; n < kLength; ++n) {
    const bool dash = n == 8 || n == 13 || n == 18 || n == 23;
    if (dash != (text[n] == '-')) return std::nullopt;
    if (!dash && std::isxdigit(static_cast<unsigned char>(text[n])) == 0) return std::nullopt;
    if (!dash && hex.size() < 12) hex += text[n];
  }
  std::int64_t ms = 0;
  std::from_chars(hex.data(), hex.data() + hex.size(), ms, 16);
  return ms;
}

}  // namespace junctionrail::internal

// The at-most-once table of a plain service's agent: for each idempotency key
// the call that came first and, once known, its answer.
#ifndef JUNCTIONRAIL_CORE_IDEMPOTENCY_TABLE_H_
#define JUNCTIONRAIL_CORE_IDEMPOTENCY_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "junctionrail/base.h"

namespace junctionrail::internal {

enum class IdempotencyState { kRunning, kCompleted, kUnknown };

struct IdempotencyRow {
  IdempotencyState state = IdempotencyState::kRunning;
  std::uint64_t fingerprint = 0;  // Of method, path and body.
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  TimeMs expires_at = 0;
};

class IdempotencyTable {
 public:
  IdempotencyTable(std::size_t max_rows, std::size_t max_bytes)
      : max_rows_(max_rows), max_bytes_(max_bytes) {}

  IdempotencyRow* Find(std::string_view key);

  // Opens a row for a call about to be sent. Null when the table is full: the
  // call must then be refused, as evicting a row would let a repeat run.
  IdempotencyRow* Insert(const std::string& key, std::uint64_t fingerprint, TimeMs expires_at);

  // Adds to a running row's answer. False when the answer is too big to keep:
  // the row is then of unknown outcome to repeats.
  bool Append(IdempotencyRow* row, std::string_view data);

  // Takes back a row whose call is known not to have run.
  void Erase(std::string_view key);

  void EraseExpired(TimeMs now);

  std::size_t rows() const { return rows_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  std::map<std::string, IdempotencyRow, std::less<>> rows_;
  std::size_t bytes_ = 0;
  std::size_t max_rows_;
  std::size_t max_bytes_;
};

// The time at which a UUID version 7 (RFC 9562 section 5.7) was made, in Unix
// milliseconds; nothing for any other text.
std::optional<std::int64_t> UuidV7Time(std::string_view text);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_CORE_IDEMPOTENCY_TABLE_H_

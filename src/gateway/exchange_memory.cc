// The bytes of unfinished responses that the attempts of an exchange hold.
#include "exchange.h"

namespace junctionrail::internal {
namespace {

std::size_t SizeOf(const std::optional<UpstreamHead>& head) {
  std::size_t bytes = 0;
  if (!head) return bytes;
  for (const auto& it : head->fields) bytes += it.name.size() + it.value.size();
  return bytes;
}

}  // namespace

void Exchange::AddToResponseMemory(Attempt* attempt) {
  attempt->memory_id = gateway_.response_memory.Add(
      attempt->instance, [self = weak_from_this(), n = attempt->number](std::string_view reason) {
        const auto exchange = self.lock();
        if (exchange) exchange->EndForMemory(n, reason);
      });
}

// An attempt that is over holds nothing.
void Exchange::RemoveFromResponseMemory(Attempt* attempt) {
  attempt->response_body = std::string();
  attempt->partial_event = std::string();
  if (attempt == &attempt_) events_.TakePartialEvent();
  gateway_.response_memory.Remove(attempt->memory_id);
}

void Exchange::RecordHeldBytes(const Attempt& attempt) {
  const std::size_t in_reader = &attempt == &attempt_ ? events_.partial_event().size() : 0;
  const std::size_t bytes = attempt.unread_bytes + SizeOf(attempt.response_head) +
                            attempt.response_body.size() + attempt.partial_event.size() + in_reader;
  const bool is_excess = gateway_.response_memory.SetBytes(attempt.memory_id, bytes);
  if (is_excess) gateway_.EndExcessResponsesSoon();
}

void Exchange::OnUnread(int number, std::size_t bytes) {
  Attempt* silent = FindSilent(number);
  if (silent == nullptr && !IsCurrent(number)) return;
  Attempt* attempt = silent == nullptr ? &attempt_ : silent;
  attempt->unread_bytes = bytes;
  RecordHeldBytes(*attempt);
}

// Its upstream, or all upstreams, have sent more than this process may hold.
void Exchange::EndForMemory(int number, std::string_view reason) {
  Attempt* silent = FindSilent(number);
  if (silent != nullptr) {
    if (silent->call) silent->call->Cancel();
    return OnSilentFailed(silent, AttemptOutcome::kFailed, Execution::kMayHaveRun, reason);
  }
  if (IsCurrent(number)) OnTooLong(reason);
}

}  // namespace junctionrail::internal

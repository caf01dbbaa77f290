// The decision logic of an entry: routing and retries of calls, placement of
// replica slots, and responses to callers. It performs no I/O: the caller passes
// in events and the current time, and executes the returned commands.
#ifndef JUNCTIONRAIL_ENTRY_CORE_H_
#define JUNCTIONRAIL_ENTRY_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/decision_log.h"
#include "junctionrail/declarations.h"
#include "junctionrail/platform_types.h"
#include "junctionrail/wire.h"

namespace junctionrail {

struct EntryOptions {
  std::string vm;
  std::string data_hall;
  std::uint64_t seed = 1;
  double retry_ratio = 0.2;  // Retry tokens added per call.
  double retry_burst = 20;   // Maximum number of retry tokens.
  std::uint32_t max_attempts = 4;
  DurationMs placement_delay_ms = 10;   // Delay of every entry but the one ranked first.
  DurationMs placement_jitter_ms = 40;  // Maximum random addition to that delay.
  DurationMs offer_timeout_ms = 100;    // Time to wait for the offers of one batch.
  std::uint32_t offer_batch_size = 6;   // Upstreams asked for an offer at the same time.
  std::uint32_t max_offer_batches = 4;
  DurationMs slot_release_wait_ms = 1000;  // Time to wait for a slot that is being released.
  DurationMs refusal_grace_ms = 50;  // Time after the deadline for the agent's own reply to arrive.
  DurationMs scale_up_wait_ms = 500;     // A longer estimated wait adds a replica.
  std::uint32_t ejection_threshold = 3;  // Consecutive failures.
  DurationMs base_ejection_ms = 1000;    // First ejection; doubles with each further one.
  DurationMs max_ejection_ms = 60000;
  std::uint64_t max_buffered_bytes = 4 << 20;  // Response bytes buffered before they are forwarded.
  std::size_t decision_records = 8192;
};

namespace entry {

// Events.
struct CallArrived {
  std::string id;
  std::string name;  // Name of a model, adapter or service.
  bool is_service = false;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  DurationMs deadline_ms = 0;
  Priority priority = Priority::kNormal;
  bool is_repeatable = true;
  bool is_stream = false;
  std::string idempotency_key;
};
struct CallerDisconnected {
  std::string id;
};
struct FrameArrived {
  std::string vm;
  Frame frame;
};
// The link to an agent was lost or, with `was_open` false, failed to open, so that
// nothing was sent on it.
struct LinkClosed {
  std::string vm;
  bool was_open = false;
};
struct ConfigurationRead {
  Configuration configuration;
};
struct ConfigurationChanged {
  ConfigChange change;
};
struct GrantChanged {
  GrantRecord record;
};
// Result of a WriteGrant or ReadGrant. With `is_known` false the key-value service
// did not answer, and a write may or may not have taken effect.
struct GrantOperationEnded {
  std::string key;
  bool is_written = false;
  bool is_known = false;
  GrantRecord record;
};
struct VmsChanged {
  VmList list;
};
struct StopRequested {};
struct Ticked {};

using Event = std::variant<CallArrived, CallerDisconnected, FrameArrived, LinkClosed,
                           ConfigurationRead, ConfigurationChanged, GrantChanged,
                           GrantOperationEnded, VmsChanged, StopRequested, Ticked>;

// Commands.
struct SendFrame {
  std::string vm;
  Frame frame;
};
struct SendResponseHead {
  std::string id;
  std::uint32_t status = 0;
  std::string content_type;
};
struct SendResponseChunk {
  std::string id;
  std::string data;
};
struct EndResponse {
  std::string id;
};
// Sends the complete response at once.
struct SendResponse {
  std::string id;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};
// Refuses a call whose response head has not been sent.
struct SendRefusal {
  std::string id;
  Refusal refusal;
};
// Fails a call whose response head has been sent: the caller must be able to see
// that the response is incomplete.
struct AbortResponse {
  std::string id;
  Refusal refusal;
};
struct WriteGrant {
  GrantRecord record;  // The write succeeds only if the stored revision equals its revision.
};
struct ReadGrant {
  std::string key;
};
// Reads the whole configuration, because versions are missing between the current
// one and the change received.
struct ReadConfiguration {};

// Reports the end of a call for the service-level counts. Not emitted for a call to
// an undeclared name, which no objective covers.
struct CallEnded {
  std::string key;
  bool is_answered = false;
  DurationMs first_byte_ms = 0;  // Time until the upstream began to respond.
  bool was_cold = false;         // It waited for a load.
  RefusalCode code = RefusalCode::kNoUpstream;
};

using Command = std::variant<CallEnded, SendFrame, SendResponseHead, SendResponseChunk, EndResponse,
                             SendResponse, SendRefusal, AbortResponse, WriteGrant, ReadGrant,
                             ReadConfiguration>;

}  // namespace entry

// Monotonic counters. After every event, `received` equals the sum of the next
// four counters and the number of open calls.
struct EntryCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t placements = 0;
  std::uint64_t grant_writes = 0;
  std::uint64_t grant_conflicts = 0;
  std::uint64_t grant_reads = 0;
  std::uint64_t ejections = 0;
  std::uint64_t retires_sent = 0;
  std::uint64_t stale_frames = 0;
  std::uint64_t refused_by_code[static_cast<std::size_t>(RefusalCode::kCount)] = {};
};

// The state of one upstream as known to this entry.
struct UpstreamStatus {
  VmInfo vm;
  bool is_ejected = false;
  bool reported_leaving = false;
  std::uint32_t in_flight = 0;
};

namespace internal {
class EntryImpl;
}

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);
  ~EntryCore();
  EntryCore(EntryCore&&) noexcept;

  // Handles one event. `now` must not decrease between calls.
  void Handle(TimeMs now, entry::Event event, std::vector<entry::Command>* commands);

  const EntryCounters& counters() const;
  const DecisionLog& decisions() const;
  const Configuration& configuration() const;
  const VmList& vms() const;
  std::size_t open_calls() const;
  bool IsStopping() const;
  std::uint32_t InFlight(std::string_view vm) const;  // Attempts in flight at one upstream.
  std::vector<UpstreamStatus> Upstreams(TimeMs now) const;
  std::vector<GrantRecord> Grants() const;

 private:
  std::unique_ptr<internal::EntryImpl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ENTRY_CORE_H_

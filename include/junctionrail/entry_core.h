// The decisions of an entry: which upstream a call goes to, when a call is
// tried again, where a replica slot is placed, and what the caller is told. No
// I/O: the caller hands in events and the time, and carries the commands out.
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
  double retry_ratio = 0.2;  // Retries for each first attempt.
  double retry_burst = 20;   // Most retries saved up.
  std::uint32_t max_attempts = 4;
  DurationMs placement_delay_ms = 10;   // Head start of the first entry to place a key.
  DurationMs placement_jitter_ms = 40;  // Most that the others' turns are spread over.
  DurationMs offer_timeout_ms = 100;    // An offer later than this is not waited for.
  std::uint32_t offer_batch_size = 6;   // Upstreams asked at a time.
  std::uint32_t max_offer_batches = 4;
  DurationMs slot_release_wait_ms = 1000;  // Waiting for a slot that is being given back.
  DurationMs refusal_grace_ms = 50;        // For the agent's own word at the deadline.
  DurationMs scale_up_wait_ms = 500;       // A queue longer than this asks for one more replica.
  std::uint32_t ejection_threshold = 3;    // Failures in a row.
  DurationMs base_ejection_ms = 1000;      // First ejection; doubles.
  DurationMs max_ejection_ms = 60000;
  std::uint64_t max_buffered_bytes = 4
                                     << 20;  // Bytes of a whole answer held before it is passed on.
  std::size_t decision_records = 8192;
};

namespace entry {

// Events.
struct CallArrived {
  std::string id;
  std::string name;  // Of a model, an adapter or a service.
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
// The link to an agent failed to open (nothing was sent on it) or was lost.
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
// The end of a WriteGrant or ReadGrant. Without a record the service did not
// answer, and a write may or may not have taken effect.
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
// The whole answer at once.
struct SendResponse {
  std::string id;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};
// A refusal before the head went out.
struct SendRefusal {
  std::string id;
  Refusal refusal;
};
// A failure after it: the caller must see that the answer is not whole.
struct AbortResponse {
  std::string id;
  Refusal refusal;
};
struct WriteGrant {
  GrantRecord record;  // Its revision is the one the write depends on.
};
struct ReadGrant {
  std::string key;
};
// Versions are missing between the configuration in force and the log.
struct ReadConfiguration {};

// A call has ended, for the service-level counts. A call to a name that is not
// declared is nobody's objective and has no such command.
struct CallEnded {
  std::string key;
  bool is_answered = false;
  DurationMs first_byte_ms = 0;  // Until the upstream began to answer.
  bool was_cold = false;         // It waited for a load.
  RefusalCode code = RefusalCode::kNoUpstream;
};

using Command = std::variant<CallEnded, SendFrame, SendResponseHead, SendResponseChunk, EndResponse,
                             SendResponse, SendRefusal, AbortResponse, WriteGrant, ReadGrant,
                             ReadConfiguration>;

}  // namespace entry

// Counters only grow. `received` equals the sum of the next four and what is
// present, after every event.
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

// What an entry knows of one upstream.
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

  // Handles one event. `now` never falls from call to call.
  void Handle(TimeMs now, entry::Event event, std::vector<entry::Command>* commands);

  const EntryCounters& counters() const;
  const DecisionLog& decisions() const;
  const Configuration& configuration() const;
  const VmList& vms() const;
  std::size_t open_calls() const;
  bool IsStopping() const;
  std::uint32_t InFlight(std::string_view vm) const;  // Attempts at one upstream.
  std::vector<UpstreamStatus> Upstreams(TimeMs now) const;
  std::vector<GrantRecord> Grants() const;

 private:
  std::unique_ptr<internal::EntryImpl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_ENTRY_CORE_H_

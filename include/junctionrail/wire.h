// The frames between an entry and an agent: CBOR (RFC 8949) arrays carried one
// to a WebSocket message. A frame names its request; pieces of an answer are
// numbered from 0 and the end frame gives their count, so that a gap shows.
#ifndef JUNCTIONRAIL_WIRE_H_
#define JUNCTIONRAIL_WIRE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

constexpr std::uint32_t kWireVersion = 1;
constexpr std::size_t kMaxFrameBytes = 65 << 20;

// Higher goes first.
enum class Priority : std::uint8_t { kLow = 0, kNormal = 1, kHigh = 2 };

// Whether a call that was not answered has run at the upstream.
enum class Ran : std::uint8_t { kNo = 0, kUnknown = 1 };

// Why a call was not served. The names callers see are in RefusalName.
enum class RefusalCode : std::uint8_t {
  kNotDeclared,
  kNoReplicas,    // Declared with zero replicas, or all in use elsewhere.
  kNoMemory,      // No accelerator has room and nothing idle can make it.
  kColdTooLate,   // The load would end after the deadline.
  kQueueTooLate,  // The queue would end after the deadline.
  kQueueFull,
  kLeaving,
  kDeadlinePassed,
  kNotGranted,       // The agent does not hold this grant.
  kGrantUnverified,  // The agent cannot ask the key-value service whether it does.
  kLoadFailed,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kLinkLost,
  kInProgress,  // The first call with this idempotency key still runs.
  kOutcomeUnknown,
  kPlacementFailed,
  kNoUpstream,
  kStopping,
  kKeyMismatch,  // The idempotency key came before with another call.
  kCount,
};

// The stable name of a code, as in `cold_too_late`.
std::string_view RefusalName(RefusalCode code);

// A refusal as it travels towards the caller.
struct Refusal {
  RefusalCode code = RefusalCode::kNoUpstream;
  std::string sentence;
  Ran ran = Ran::kNo;
  DurationMs retry_after_ms = 0;
};

enum class ReplicaState : std::uint8_t { kAbsent, kLoading, kLoaded, kUnloading };

// Where an upstream has a checkpoint, fastest first.
enum class CacheTier : std::uint8_t { kMemory, kDisk, kRemote };

// One replica slot as its holder's entry saw it, with what the declaration says.
struct GrantView {
  std::string key;  // `name@version`.
  std::uint32_t slot = 0;
  std::int64_t token = 0;  // Fencing token: grows with every grant of the service.
  std::uint64_t memory_mb = 0;
  std::string base;  // Empty for a model.
  std::uint64_t config_version = 0;
};

// What rides on an agent's replies, about the key of the call.
struct UpstreamReport {
  ReplicaState state = ReplicaState::kAbsent;
  DurationMs wait_ms = 0;  // Until a call arriving now would start.
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  bool leaving = false;
  std::uint32_t free_places = 0;  // Calls that could start at once.
  std::uint32_t per_call_us = 0;  // What each call beyond those adds to the wait.
};

// Entry to agent.
struct HelloFrame {
  std::uint32_t wire_version = kWireVersion;
  std::string sender;
  std::uint64_t config_version = 0;
};
struct CallFrame {
  std::string id;   // Unique for each attempt.
  std::string key;  // `name@version` or `services/<name>`.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  DurationMs deadline_ms = 0;  // What is left of it.
  Priority priority = Priority::kNormal;
  bool is_repeatable = true;
  bool is_stream = false;
  std::string idempotency_key;
  DurationMs idempotency_window_ms = 0;
  std::vector<GrantView> grants;  // The base's first, then the adapter's.
  std::uint64_t config_version = 0;
};
struct CancelFrame {
  std::string id;
};
struct AskFrame {
  std::string id;
  std::string key;
  std::string base;
  std::uint64_t memory_mb = 0;
};
// A slot above the declared count: drain it, unload it, free it.
struct RetireFrame {
  std::string key;
  std::uint32_t slot = 0;
  std::int64_t token = 0;
  std::uint64_t config_version = 0;
};
struct WhyFrame {
  std::string id;
  std::string subject;
};
struct DrainFrame {
  std::string reason;
};

// Agent to entry.
struct HeadFrame {
  std::string id;
  std::uint32_t status = 0;
  std::string content_type;
  bool was_cold = false;  // The call waited for a load.
  UpstreamReport report;
};
struct PieceFrame {
  std::string id;
  std::uint64_t sequence = 0;
  std::string data;
};
struct EndFrame {
  std::string id;
  std::uint64_t count = 0;
  UpstreamReport report;
};
struct RefusalFrame {
  std::string id;
  Refusal refusal;
  UpstreamReport report;
};
struct OfferFrame {
  std::string id;
  std::string key;
  bool fits = false;          // Free memory, or memory that idle models would give back.
  std::uint64_t free_mb = 0;  // On the emptiest accelerator.
  CacheTier tier = CacheTier::kRemote;
  DurationMs load_ms = 0;  // Estimated from order to ready, waiting loads included.
  bool holds_base = false;
  bool leaving = false;
};
struct WhyAnswerFrame {
  std::string id;
  std::string records;  // A JSON array.
};

using Frame =
    std::variant<HelloFrame, CallFrame, CancelFrame, AskFrame, RetireFrame, WhyFrame, DrainFrame,
                 HeadFrame, PieceFrame, EndFrame, RefusalFrame, OfferFrame, WhyAnswerFrame>;

// Why bytes are no frame. The link they came on is closed and the reason counted.
enum class WireError { kTooLarge, kNotCbor, kBadShape, kUnknownType };
std::string_view WireErrorName(WireError error);

std::string EncodeFrame(const Frame& frame);
Result<Frame, WireError> DecodeFrame(std::string_view bytes);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_WIRE_H_

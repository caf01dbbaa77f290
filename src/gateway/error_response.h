// The gateway's own error responses.
#ifndef JUNCTIONRAIL_GATEWAY_ERROR_RESPONSE_H_
#define JUNCTIONRAIL_GATEWAY_ERROR_RESPONSE_H_

#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/net.h"

namespace junctionrail::internal {

// Whether a request may have run at an upstream that sent no complete response.
enum class Execution { kNotRun, kMayHaveRun };

// Of requests that a stopping process refuses.
constexpr char kStoppingCode[] = "stopping";
constexpr char kStoppingSentence[] = "the entry is shutting down";
// Another entry can be reached at once.
constexpr DurationMs kStoppingRetryAfterMs = 200;

// Of requests for which there is no room.
constexpr char kMemoryFullCode[] = "memory_full";
constexpr char kMemoryFullSentence[] = "the entry holds as many requests as it has memory for";
// Requests are whole, or have given way, within about this time.
constexpr DurationMs kMemoryFullRetryAfterMs = 1000;

// Of requests that are received on a connection that is closed for another one.
constexpr char kConnectionsFullCode[] = "connections_full";
constexpr char kConnectionsFullSentence[] = "the entry has as many connections as it may have";
constexpr DurationMs kConnectionsFullRetryAfterMs = 1000;

struct ErrorResponse {
  unsigned status = 0;
  std::string_view code;
  std::string_view sentence;
  Execution ran = Execution::kNotRun;
  DurationMs retry_after_ms = 0;  // 0: not told.
};

std::vector<HttpHeader> FieldsOf(const ErrorResponse& response);
// A JSON object.
std::string BodyOf(const ErrorResponse& response);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_ERROR_RESPONSE_H_

// What callers send and see: the HTTP interface of an entry, apart from its
// sockets. docs/CALLERS.md is its page.
#ifndef JUNCTIONRAIL_DAEMON_CALLER_API_H_
#define JUNCTIONRAIL_DAEMON_CALLER_API_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "junctionrail/declarations.h"
#include "junctionrail/entry_core.h"
#include "junctionrail/net.h"

namespace junctionrail::internal {

// A request that is wrong in itself: it goes nowhere.
struct BadRequest {
  unsigned status = 400;
  std::string code;
  std::string sentence;
};

// Reads a call out of an HTTP request. The name stays as the caller wrote it;
// the body of a model's call names the key it resolves to.
std::variant<entry::CallArrived, BadRequest> ReadCall(HttpRequest request,
                                                      const Configuration& configuration,
                                                      DurationMs default_deadline_ms);

// The HTTP status, headers and JSON body of a refusal.
unsigned RefusalStatus(const Refusal& refusal);
std::vector<HttpHeader> RefusalHeaders(const Refusal& refusal, std::string_view id);
std::string RefusalBody(const Refusal& refusal, std::string_view id);
std::string BadRequestBody(const BadRequest& bad);

// The body of GET /v1/models.
std::string ModelsBody(const Configuration& configuration);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_CALLER_API_H_

#include "error_response.h"

#include <algorithm>

namespace junctionrail::internal {
namespace {

constexpr DurationMs kMinRetryAfterMs = 200;

std::string FormatSeconds(DurationMs ms) {
  const DurationMs rounded = std::max(ms, kMinRetryAfterMs);
  std::string text = std::to_string(rounded / 1000) + ".";
  const std::string part = std::to_string(rounded % 1000);
  return text + std::string(3 - part.size(), '0') + part;
}

}  // namespace

std::vector<HttpHeader> FieldsOf(const ErrorResponse& response) {
  std::vector<HttpHeader> fields = {{"Content-Type", "application/json"}};
  if (response.retry_after_ms > 0)
    fields.push_back({"Retry-After", FormatSeconds(response.retry_after_ms)});
  return fields;
}

std::string BodyOf(const ErrorResponse& response) {
  std::string body = "{\"error\":{\"code\":\"" + std::string(response.code) + "\",\"message\":\"";
  for (const char c : response.sentence)
    body.push_back(c == '"' || c == '\\' || c < ' ' ? '\'' : c);
  body += "\",\"ran\":\"";
  body += response.ran == Execution::kNotRun ? "no" : "unknown";
  body += "\",\"retry_after_ms\":" + std::to_string(response.retry_after_ms) + "}}";
  return body;
}

}  // namespace junctionrail::internal

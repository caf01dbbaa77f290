#include "caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

constexpr DurationMs kLongestDeadlineMs = 24LL * 3600 * 1000;
constexpr std::size_t kLongestKey = 255;
constexpr std::string_view kServices = "/services/";
// More than schemas of tools need. The writer of JSON calls itself for each level.
constexpr int kMaxBodyDepth = 128;

BadRequest Bad(std::string sentence) { return {400, "bad_request", std::move(sentence)}; }

std::optional<BadRequest> ReadDeadline(const HttpRequest& request, DurationMs fallback,
                                       DurationMs* deadline) {
  *deadline = fallback;
  const std::string* text = request.Find("Junctionrail-Deadline-Ms");
  if (text == nullptr) return std::nullopt;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, *deadline);
  const bool fits = parsed.ec == std::errc() && parsed.ptr == end && *deadline >= 1 &&
                    *deadline <= kLongestDeadlineMs;
  if (fits) return std::nullopt;
  return Bad("header Junctionrail-Deadline-Ms: expected an integer from 1 to 86400000, found \"" +
             *text + "\"");
}

std::optional<BadRequest> ReadPriority(const HttpRequest& request, Priority* priority) {
  const std::string* text = request.Find("Junctionrail-Priority");
  if (text == nullptr || *text == "normal") return std::nullopt;
  if (*text == "high") {
    *priority = Priority::kHigh;
  } else if (*text == "low") {
    *priority = Priority::kLow;
  } else {
    return Bad("header Junctionrail-Priority: expected low, normal or high, found \"" + *text +
               "\"");
  }
  return std::nullopt;
}

std::optional<BadRequest> ReadRepeatable(const HttpRequest& request, bool* is_repeatable) {
  const std::string* text = request.Find("Junctionrail-Repeatable");
  if (text == nullptr) return std::nullopt;
  if (*text != "yes" && *text != "no") {
    return Bad("header Junctionrail-Repeatable: expected yes or no, found \"" + *text + "\"");
  }
  *is_repeatable = *text == "yes";
  return std::nullopt;
}

std::optional<BadRequest> ReadIdempotencyKey(const HttpRequest& request, std::string* key) {
  const std::string* text = request.Find("Idempotency-Key");
  if (text == nullptr) return std::nullopt;
  *key = *text;
  // The published draft writes the key as a quoted string; both forms mean the same.
  const bool is_quoted = key->size() >= 2 && key->front() == '"' && key->back() == '"';
  if (is_quoted) *key = key->substr(1, key->size() - 2);
  const bool is_printable =
      std::all_of(key->begin(), key->end(), [](unsigned char c) { return c > ' ' && c < 127; });
  if (!key->empty() && key->size() <= kLongestKey && is_printable) return std::nullopt;
  return Bad("header Idempotency-Key: expected 1 to 255 printable characters without spaces");
}

std::optional<BadRequest> ReadModelBody(const Configuration& configuration,
                                        entry::CallArrived* call) {
  bool is_too_deep = false;
  const auto is_kept = [&is_too_deep](int depth, json::parse_event_t, const json&) {
    is_too_deep |= depth > kMaxBodyDepth;
    return !is_too_deep;
  };
  json body = json::parse(call->body, is_kept, false);
  if (is_too_deep) {
    return Bad("body: expected JSON of at most " + std::to_string(kMaxBodyDepth) + " levels");
  }
  if (body.is_discarded()) return Bad("body: expected well-formed JSON");
  if (!body.is_object()) return Bad("body: expected a JSON object");
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) return Bad("body.model: expected a string");
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return Bad("body.stream: expected true or false");
  }
  call->is_stream = stream != body.end() && stream->get<bool>();
  call->name = model->get<std::string>();
  const ModelDeclaration* declared = configuration.Resolve(call->name);
  if (declared == nullptr) return std::nullopt;  // The core refuses it, and records so.
  body["model"] = declared->Key();
  call->body = DumpJson(body);
  return std::nullopt;
}

}  // namespace

std::variant<entry::CallArrived, BadRequest> ReadCall(HttpRequest request,
                                                      const Configuration& configuration,
                                                      DurationMs default_deadline_ms) {
  entry::CallArrived call;
  auto bad = ReadDeadline(request, default_deadline_ms, &call.deadline_ms);
  if (!bad) bad = ReadPriority(request, &call.priority);
  if (bad) return *bad;
  const std::string* content_type = request.Find("Content-Type");
  if (content_type != nullptr) call.content_type = *content_type;
  call.method = request.method;
  call.body = std::move(request.body);
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    if (call.method != "POST") return BadRequest{405, "method_not_allowed", "use POST"};
    call.path = path;
    bad = ReadRepeatable(request, &call.is_repeatable);
    if (!bad) bad = ReadModelBody(configuration, &call);
    if (bad) return *bad;
    return call;
  }
  if (path.compare(0, kServices.size(), kServices) != 0) {
    return BadRequest{404, "not_found", "no such path: " + path};
  }
  const std::size_t slash = request.target.find('/', kServices.size());
  const std::size_t name_end = slash == std::string::npos ? path.size() : slash;
  call.is_service = true;
  call.name = path.substr(kServices.size(), name_end - kServices.size());
  call.path = slash == std::string::npos ? "/" : request.target.substr(slash);
  // Only the methods RFC 9110 calls safe may be repeated unless the caller says so.
  call.is_repeatable = call.method == "GET" || call.method == "HEAD" || call.method == "OPTIONS";
  bad = ReadRepeatable(request, &call.is_repeatable);
  if (!bad) bad = ReadIdempotencyKey(request, &call.idempotency_key);
  if (bad) return *bad;
  return call;
}

unsigned RefusalStatus(const Refusal& refusal) {
  switch (refusal.code) {
    case RefusalCode::kNotDeclared:
      return 404;
    case RefusalCode::kKeyMismatch:
      return 422;
    case RefusalCode::kInProgress:
      return 409;
    case RefusalCode::kQueueFull:
      return 429;
    case RefusalCode::kDeadlinePassed:
      return refusal.ran == Ran::kNo ? 503 : 504;
    default:
      return refusal.ran == Ran::kNo ? 503 : 502;
  }
}

std::vector<HttpHeader> RefusalHeaders(const Refusal& refusal, std::string_view id) {
  std::vector<HttpHeader> headers = {{"Content-Type", "application/json"},
                                     {"Junctionrail-Request-Id", std::string(id)}};
  const unsigned status = RefusalStatus(refusal);
  if (status == 429 || status == 503 || status == 409) {
    const DurationMs seconds = (refusal.retry_after_ms + 999) / 1000;
    headers.push_back({"Retry-After", std::to_string(std::max<DurationMs>(1, seconds))});
  }
  return headers;
}

std::string RefusalBody(const Refusal& refusal, std::string_view id) {
  const json error = {{"code", RefusalName(refusal.code)},
                      {"message", refusal.sentence},
                      {"type", "junctionrail_refusal"},
                      {"ran", refusal.ran == Ran::kNo ? "no" : "unknown"},
                      {"retry_after_ms", refusal.retry_after_ms},
                      {"request_id", id}};
  return DumpJson(json{{"error", error}});
}

std::string BadRequestBody(const BadRequest& bad) {
  const json error = {{"code", bad.code},
                      {"message", bad.sentence},
                      {"type", "invalid_request_error"},
                      {"ran", "no"},
                      {"retry_after_ms", 0}};
  return DumpJson(json{{"error", error}});
}

std::string ModelsBody(const Configuration& configuration) {
  json list = json::array();
  for (const auto& [key, model] : configuration.models()) {
    list.push_back({{"id", key},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", "junctionrail"},
                    {"replicas", model.replicas}});
  }
  return json{{"object", "list"}, {"data", std::move(list)}}.dump();
}

}  // namespace junctionrail::internal

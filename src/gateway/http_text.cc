#include "http_text.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <charconv>

namespace junctionrail::internal {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields = {"connection",
                                                                "keep-alive",
                                                                "proxy-connection",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade",
                                                                "content-length"};
constexpr std::size_t kMaxDigits = 15;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool ListContains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (EqualsNoCase(Trim(list.substr(0, comma)), token)) return true;
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool EqualsNoCase(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t n = 0; n < a.size(); ++n) {
    const int x = std::tolower(static_cast<unsigned char>(a[n]));
    if (x != std::tolower(static_cast<unsigned char>(b[n]))) return false;
  }
  return true;
}

const std::string* FindField(const std::vector<HttpHeader>& fields, std::string_view name) {
  for (const auto& it : fields) {
    if (EqualsNoCase(it.name, name)) return &it.value;
  }
  return nullptr;
}

bool IsConnectionField(const std::vector<HttpHeader>& fields, std::string_view name) {
  return std::any_of(fields.begin(), fields.end(), [name](const HttpHeader& it) {
    return EqualsNoCase(it.name, "connection") && ListContains(it.value, name);
  });
}

std::vector<HttpHeader> EndToEndFields(const std::vector<HttpHeader>& fields) {
  std::vector<HttpHeader> kept;
  kept.reserve(fields.size());
  for (const auto& it : fields) {
    bool is_dropped = false;
    for (const auto name : kConnectionFields) is_dropped |= EqualsNoCase(it.name, name);
    is_dropped |= IsConnectionField(fields, it.name);
    if (!is_dropped) kept.push_back(it);
  }
  return kept;
}

void AppendField(std::string_view name, std::string_view value, std::string* text) {
  text->append(name).append(": ").append(value).append("\r\n");
}

void AppendFields(const std::vector<HttpHeader>& fields, std::string* text) {
  for (const auto& it : fields) AppendField(it.name, it.value, text);
}

void AppendStatusLine(unsigned status, std::string* text) {
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  text->append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text->append(reason.data(), reason.size()).append("\r\n");
}

void AppendChunk(std::string_view data, std::string* text) {
  char buf[20];
  const auto end = std::to_chars(buf, buf + sizeof(buf), data.size(), 16);
  text->append(buf, end.ptr).append("\r\n").append(data).append("\r\n");
}

bool ParseWholeNumber(std::string_view text, std::int64_t* value) {
  if (text.empty() || text.size() > kMaxDigits) return false;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *value);
  return parsed.ec == std::errc() && parsed.ptr == end && *value >= 0;
}

std::optional<std::int64_t> ParseTokenUsage(std::string_view text) {
  const std::size_t comma = text.find(',');
  if (comma == std::string_view::npos) return std::nullopt;
  std::int64_t prompt = 0;
  std::int64_t most = 0;
  const bool is_usage = ParseWholeNumber(Trim(text.substr(0, comma)), &prompt) &&
                        ParseWholeNumber(Trim(text.substr(comma + 1)), &most);
  return is_usage ? std::optional<std::int64_t>(prompt + most) : std::nullopt;
}

}  // namespace junctionrail::internal

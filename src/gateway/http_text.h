// Heads of HTTP/1.1 messages as text, and which of their fields go on.
#ifndef JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_
#define JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::internal {

bool EqualsNoCase(std::string_view a, std::string_view b);

// The value of the first field of that name; null when there is none.
const std::string* FindField(const std::vector<HttpHeader>& fields, std::string_view name);

// Leaves out what concerns one connection only (RFC 9110, section 7.6.1): the
// fixed set, what Connection names, and the framing.
std::vector<HttpHeader> EndToEndFields(const std::vector<HttpHeader>& fields);

void AppendField(std::string_view name, std::string_view value, std::string* text);
void AppendFields(const std::vector<HttpHeader>& fields, std::string* text);

// "HTTP/1.1 503 Service Unavailable\r\n".
void AppendStatusLine(unsigned status, std::string* text);

// One chunk of the chunked coding.
void AppendChunk(std::string_view data, std::string* text);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Parses a whole number of at most 15 digits; false for anything else.
bool ParseWholeNumber(std::string_view text, std::int64_t* value);

// The sum of two whole numbers with a comma between; none for anything else.
std::optional<std::int64_t> ParseTokenUsage(std::string_view text);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_

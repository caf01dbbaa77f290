// Formats and parses HTTP/1.1 message heads.
#ifndef JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_
#define JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::internal {

bool EqualsNoCase(std::string_view a, std::string_view b);

// Returns the value of the first field of that name, or null.
const std::string* FindField(const std::vector<HttpHeader>& fields, std::string_view name);

// Whether a Connection field names that field, which then ends at the next hop.
bool IsConnectionField(const std::vector<HttpHeader>& fields, std::string_view name);

// Removes hop-by-hop fields (RFC 9110, section 7.6.1): the known ones, those that Connection
// names, and the framing fields.
std::vector<HttpHeader> EndToEndFields(const std::vector<HttpHeader>& fields);

void AppendField(std::string_view name, std::string_view value, std::string* text);
void AppendFields(const std::vector<HttpHeader>& fields, std::string* text);

// "HTTP/1.1 503 Service Unavailable\r\n".
void AppendStatusLine(unsigned status, std::string* text);

// Appends one chunk of the chunked transfer coding.
void AppendChunk(std::string_view data, std::string* text);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Parses an unsigned decimal integer of at most 15 digits; returns false for anything else.
bool ParseWholeNumber(std::string_view text, std::int64_t* value);

// Returns the sum of two comma-separated unsigned integers; none for anything else.
std::optional<std::int64_t> ParseTokenUsage(std::string_view text);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_HTTP_TEXT_H_

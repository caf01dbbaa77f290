// Checks the fields of a caller's head that the gateway acts on.
#ifndef JUNCTIONRAIL_GATEWAY_REQUEST_FIELDS_H_
#define JUNCTIONRAIL_GATEWAY_REQUEST_FIELDS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/gateway.h"

namespace junctionrail::internal {

// What a caller may name a request, a stream or a model: any UTF-8 text without control
// characters. Names reach other processes in CBOR, engines and the store in JSON, which hold
// nothing else.
bool IsName(std::string_view text);

struct FieldError {
  std::string_view code;
  std::string sentence;
};

// Why a head is refused, whatever its route; none if it is sound. A missing field is no error here.
std::optional<FieldError> FindFieldError(const std::vector<HttpHeader>& fields,
                                         const HttpHeaderNames& names);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_REQUEST_FIELDS_H_

#include "request_fields.h"

#include <algorithm>

#include "../base/text.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

constexpr char kDelete = 0x7f;

bool IsControl(char c) { return (c >= 0 && c < ' ') || c == kDelete; }

// A model without a name would be asked of agents, and no engine has it.
bool IsModelName(std::string_view text) {
  return IsName(text) && !text.substr(0, text.find('/')).empty();
}

}  // namespace

bool IsName(std::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControl) && IsUtf8(text);
}

std::optional<FieldError> FindFieldError(const std::vector<HttpHeader>& fields,
                                         const HttpHeaderNames& names) {
  struct NameField {
    const std::string& field;
    bool (*is_valid)(std::string_view);
    std::string_view code;
  };
  const NameField name_fields[] = {{names.request_id, IsName, "bad_request_id"},
                                   {names.model, IsModelName, "bad_model"},
                                   {names.resumed_request, IsName, "bad_resumed_request"}};
  for (const auto& it : name_fields) {
    const std::string* value = FindField(fields, it.field);
    if (value == nullptr || it.is_valid(*value)) continue;
    return FieldError{it.code,
                      "expected a name in UTF-8 without control characters in " + it.field};
  }
  return std::nullopt;
}

}  // namespace junctionrail::internal

#include "request_fields.h"

#include <algorithm>
#include <array>

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

// The fields that the gateway acts on and upstreams may read. Host is checked with the framing, and
// the key, which no upstream gets, where it is read.
std::array<const std::string*, 7> ReadFields(const HttpHeaderNames& names) {
  return {&names.request_id,    &names.deadline_ms,     &names.model,      &names.prompt_parts,
          &names.last_event_id, &names.resumed_request, &names.token_usage};
}

auto CountFields(const std::vector<HttpHeader>& fields, std::string_view name) {
  return std::count_if(fields.begin(), fields.end(),
                       [name](const HttpHeader& it) { return EqualsNoCase(it.name, name); });
}

}  // namespace

bool IsName(std::string_view text) {
  return std::none_of(text.begin(), text.end(), IsControl) && IsUtf8(text);
}

std::optional<FieldError> FindFieldError(const std::vector<HttpHeader>& fields,
                                         const HttpHeaderNames& names) {
  for (const std::string* name : ReadFields(names)) {
    if (CountFields(fields, *name) > 1) {
      return FieldError{"repeated_field", "expected one header " + *name + ", found more"};
    }
  }
  for (const std::string* name : ReadFields(names)) {
    if (FindField(fields, *name) != nullptr && IsConnectionField(fields, *name)) {
      return FieldError{"connection_field", "expected no " + *name + " in Connection, found one"};
    }
  }
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

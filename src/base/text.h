// Checks of text that comes from outside. Internal to the libraries.
#ifndef JUNCTIONRAIL_BASE_TEXT_H_
#define JUNCTIONRAIL_BASE_TEXT_H_

#include <string_view>

namespace junctionrail::internal {

// Whether the text is UTF-8 as RFC 3629 defines it: without overlong forms and surrogates.
bool IsUtf8(std::string_view text);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_BASE_TEXT_H_

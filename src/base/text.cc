#include "text.h"

#include <algorithm>
#include <cstddef>

namespace junctionrail::internal {
namespace {

// The bytes that may begin a character, how long it then is, and the range of its second byte;
// see the table in section 4 of RFC 3629.
struct Lead {
  unsigned char first;
  unsigned char last;
  std::size_t length;
  unsigned char second_first;
  unsigned char second_last;
};

constexpr Lead kLeads[] = {
    {0x00, 0x7f, 1, 0x80, 0xbf}, {0xc2, 0xdf, 2, 0x80, 0xbf}, {0xe0, 0xe0, 3, 0xa0, 0xbf},
    {0xe1, 0xec, 3, 0x80, 0xbf}, {0xed, 0xed, 3, 0x80, 0x9f}, {0xee, 0xef, 3, 0x80, 0xbf},
    {0xf0, 0xf0, 4, 0x90, 0xbf}, {0xf1, 0xf3, 4, 0x80, 0xbf}, {0xf4, 0xf4, 4, 0x80, 0x8f},
};

bool IsBetween(char c, unsigned char first, unsigned char last) {
  const auto byte = static_cast<unsigned char>(c);
  return first <= byte && byte <= last;
}

// The length of the character at the beginning of a text that is not empty; 0: there is none.
std::size_t CharacterLength(std::string_view text) {
  const auto lead = std::find_if(std::begin(kLeads), std::end(kLeads), [&](const Lead& it) {
    return IsBetween(text[0], it.first, it.last);
  });
  if (lead == std::end(kLeads) || text.size() < lead->length) return 0;
  if (lead->length == 1) return 1;
  if (!IsBetween(text[1], lead->second_first, lead->second_last)) return 0;
  const std::string_view rest = text.substr(2, lead->length - 2);
  const bool is_whole =
      std::all_of(rest.begin(), rest.end(), [](char c) { return IsBetween(c, 0x80, 0xbf); });
  return is_whole ? lead->length : 0;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t n = CharacterLength(text);
    if (n == 0) return false;
    text.remove_prefix(n);
  }
  return true;
}

}  // namespace junctionrail::internal

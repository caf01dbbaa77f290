#include "word_message.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace junctionrail::internal {

std::string FormatWord(const WordMessage& word) {
  return std::to_string(word.version) + " " + std::to_string(word.age_ms);
}

std::optional<WordMessage> ParseWord(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), ' ');
  WordMessage word;
  const bool is_word = parts.size() == 2 && absl::SimpleAtoi(parts[0], &word.version) &&
                       absl::SimpleAtoi(parts[1], &word.age_ms) && word.age_ms >= 0;
  return is_word ? std::optional<WordMessage>(word) : std::nullopt;
}

}  // namespace junctionrail::internal

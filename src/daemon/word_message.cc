#include "word_message.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace junctionrail::internal {

std::string FormatWord(const WordMessage& word) {
  std::string text = std::to_string(word.version) + " " + std::to_string(word.age_ms);
  for (const auto& it : word.evacuated_halls) text += " " + EncodeBase64(it);
  return text;
}

std::optional<WordMessage> ParseWord(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), ' ');
  WordMessage word;
  bool is_word = parts.size() >= 2 && absl::SimpleAtoi(parts[0], &word.version) &&
                 absl::SimpleAtoi(parts[1], &word.age_ms) && word.age_ms >= 0;
  for (std::size_t n = 2; n < parts.size(); ++n) {
    std::string hall;
    is_word = is_word && DecodeBase64(parts[n], &hall) && !hall.empty();
    word.evacuated_halls.insert(std::move(hall));
  }
  return is_word ? std::optional<WordMessage>(word) : std::nullopt;
}

}  // namespace junctionrail::internal

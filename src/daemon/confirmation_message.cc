#include "confirmation_message.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace junctionrail::internal {

std::string FormatConfirmation(const ConfirmationMessage& message) {
  std::string text = std::to_string(message.version) + " " + std::to_string(message.age_ms);
  for (const auto& it : message.evacuated_halls) text += " " + EncodeBase64(it);
  return text;
}

std::optional<ConfirmationMessage> ParseConfirmation(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), ' ');
  ConfirmationMessage message;
  bool is_valid = parts.size() >= 2 && absl::SimpleAtoi(parts[0], &message.version) &&
                  absl::SimpleAtoi(parts[1], &message.age_ms) && message.age_ms >= 0;
  for (std::size_t n = 2; n < parts.size(); ++n) {
    std::string hall;
    is_valid = is_valid && DecodeBase64(parts[n], &hall) && !hall.empty();
    message.evacuated_halls.insert(std::move(hall));
  }
  return is_valid ? std::optional<ConfirmationMessage>(message) : std::nullopt;
}

}  // namespace junctionrail::internal

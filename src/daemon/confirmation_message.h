// What one entry tells another of the age of its configuration and of evacuated data halls.
#ifndef JUNCTIONRAIL_DAEMON_CONFIRMATION_MESSAGE_H_
#define JUNCTIONRAIL_DAEMON_CONFIRMATION_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "junctionrail/base.h"

namespace junctionrail::internal {

struct ConfirmationMessage {
  std::uint64_t version = 0;                   // Of the configuration in force.
  DurationMs age_ms = 0;                       // Since it is known to have been the newest.
  std::set<std::string> evacuated_halls = {};  // At that time.
};

// Two whole numbers, and the names of evacuated halls in base64, separated by blanks.
std::string FormatConfirmation(const ConfirmationMessage& message);
std::optional<ConfirmationMessage> ParseConfirmation(std::string_view text);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_CONFIRMATION_MESSAGE_H_

#include "log_line.h"

namespace junctionrail::cli {

std::optional<nlohmann::json> ParseLogLine(std::string_view text) {
  const std::size_t begin = text.find('{');
  if (begin == std::string_view::npos) return std::nullopt;
  nlohmann::json line = nlohmann::json::parse(text.substr(begin), nullptr, false);
  const bool is_event = line.is_object() && line.contains("t") && line.contains("event") &&
                        line.contains("process") && line["t"].is_number_integer();
  if (!is_event) return std::nullopt;
  return line;
}

}  // namespace junctionrail::cli

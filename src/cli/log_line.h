// One line of the daemons' event log.
#ifndef JUNCTIONRAIL_CLI_LOG_LINE_H_
#define JUNCTIONRAIL_CLI_LOG_LINE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace junctionrail::cli {

// The object on the line; none when it is no line of the event log. Collectors
// put their own words before it.
std::optional<nlohmann::json> ParseLogLine(std::string_view text);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_LOG_LINE_H_

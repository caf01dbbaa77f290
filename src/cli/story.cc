#include "story.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "log_line.h"

namespace junctionrail::cli {
namespace {

using nlohmann::json;

// Processes' clocks differ by less than this; what an agent decided just before
// a request came may still explain it.
constexpr std::int64_t kMarginMs = 2000;

std::string Plain(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// A model without its adapter, as requests for either wait for the same load.
std::string ModelOf(const std::string& target) { return target.substr(0, target.find('/')); }

}  // namespace

void Story::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) Take(text);
}

void Story::Take(std::string_view text) {
  const std::optional<json> parsed = ParseLogLine(text);
  if (!parsed) {
    if (!text.empty()) ++passed_over_;
    return;
  }
  const json& line = *parsed;
  Entry entry;
  entry.line.wall_ms = line["t"].get<std::int64_t>();
  entry.line.process = Plain(line["process"]);
  entry.line.event = Plain(line["event"]);
  for (const auto& [name, value] : line.items()) {
    if (name == "t" || name == "mono" || name == "process" || name == "event") continue;
    const std::string plain = Plain(value);
    if (name == "request") {
      entry.is_of_request = plain == request_;
      if (!entry.is_of_request) return;
      continue;
    }
    const bool is_subject = name == "upstream" || name == "asked" || name == "instance" ||
                            name == "model" || name == "target";
    if (is_subject && !plain.empty()) {
      entry.subjects.push_back(
          name == "instance" || name == "upstream" || name == "asked" ? plain : ModelOf(plain));
    }
    entry.line.details += (entry.line.details.empty() ? "" : " ") + name + "=" + plain;
  }
  entries_.push_back(std::move(entry));
}

std::vector<StoryLine> Story::Lines() const {
  std::set<std::string> subjects;
  std::int64_t first_ms = INT64_MAX;
  std::int64_t last_ms = INT64_MIN;
  for (const auto& it : entries_) {
    if (!it.is_of_request) continue;
    subjects.insert(it.subjects.begin(), it.subjects.end());
    first_ms = std::min(first_ms, it.line.wall_ms);
    last_ms = std::max(last_ms, it.line.wall_ms);
  }
  std::vector<StoryLine> lines;
  for (const auto& it : entries_) {
    const bool is_near =
        it.line.wall_ms >= first_ms - kMarginMs && it.line.wall_ms <= last_ms + kMarginMs;
    const bool is_related = is_near && std::any_of(it.subjects.begin(), it.subjects.end(),
                                                   [&](const std::string& subject) {
                                                     return subjects.count(subject) > 0;
                                                   });
    if (it.is_of_request || is_related) lines.push_back(it.line);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const StoryLine& a, const StoryLine& b) { return a.wall_ms < b.wall_ms; });
  return lines;
}

}  // namespace junctionrail::cli

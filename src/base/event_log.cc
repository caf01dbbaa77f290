#include "junctionrail/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <utility>

namespace junctionrail {
namespace {

// A pipe takes a line of up to PIPE_BUF bytes whole or not at all, so a line
// that fits never waits once the descriptor is ready.
constexpr std::size_t kLongestLine = 4000;
constexpr std::size_t kLongestText = 300;
constexpr TimeMs kSecondMs = 1000;

void AppendText(std::string_view text, std::string* line) {
  line->push_back('"');
  for (const char c : text.substr(0, kLongestText)) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line->push_back('\\');
      line->push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      char buf[8];
      std::snprintf(buf, sizeof(buf), "\\u%04x", byte);
      line->append(buf);
    } else {
      line->push_back(c);
    }
  }
  line->push_back('"');
}

struct AppendValue {
  std::string* line;
  void operator()(std::int64_t value) const { line->append(std::to_string(value)); }
  void operator()(double value) const {
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.3f", value);
    line->append(buf);
  }
  void operator()(bool value) const { line->append(value ? "true" : "false"); }
  void operator()(std::string_view value) const { AppendText(value, line); }
};

// The time of day is for people who compare machines; nothing is decided by it.
std::int64_t WallMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

EventLog::EventLog(EventLogOptions options) : options_(std::move(options)) {}

void EventLog::Write(TimeMs now, std::string_view event, const std::vector<LogField>& fields) {
  auto it = bounds_.find(event);
  if (it == bounds_.end()) it = bounds_.emplace(std::string(event), Bound{}).first;
  Bound& bound = it->second;
  if (now - bound.second >= kSecondMs) {
    const std::uint64_t left_out = std::exchange(bound.left_out, 0);
    bound.second = now;
    bound.written = 0;
    if (left_out > 0) {
      Emit(now, "lines_left_out", {{"of", event}, {"count", static_cast<std::int64_t>(left_out)}});
    }
  }
  if (is_bounded_ && bound.written >= options_.lines_per_second) {
    ++bound.left_out;
    ++counters_.over_bound;
    return;
  }
  ++bound.written;
  Emit(now, event, fields);
}

void EventLog::Emit(TimeMs now, std::string_view event, const std::vector<LogField>& fields) {
  pollfd ready{options_.file_descriptor, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    ++counters_.reader_full;
    return;
  }
  std::string line =
      "{\"t\":" + std::to_string(WallMs()) + ",\"mono\":" + std::to_string(now) + ",\"process\":";
  AppendText(options_.process, &line);
  line += ",\"event\":";
  AppendText(event, &line);
  for (const auto& it : fields) {
    if (line.size() + kLongestText > kLongestLine) break;
    line.push_back(',');
    AppendText(it.name, &line);
    line.push_back(':');
    std::visit(AppendValue{&line}, it.value);
  }
  line += "}\n";
  const ssize_t n = write(options_.file_descriptor, line.data(), line.size());
  if (n == static_cast<ssize_t>(line.size())) {
    ++counters_.written;
  } else {
    ++counters_.reader_full;
  }
}

}  // namespace junctionrail

// Structured log lines for the on-call engineer: one JSON object a line on
// standard output. Never blocks: a reader that stops reading loses lines and
// nothing else. Each kind of line has a bound a second; what was left out is
// counted and said.
#ifndef JUNCTIONRAIL_EVENT_LOG_H_
#define JUNCTIONRAIL_EVENT_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

struct LogField {
  std::string_view name;
  std::variant<std::int64_t, double, bool, std::string_view> value;
};

struct EventLogOptions {
  std::string process;
  int file_descriptor = 1;
  int lines_per_second = 40;  // Of each kind.
};

struct EventLogCounters {
  std::uint64_t written = 0;
  std::uint64_t over_bound = 0;   // Left out by the bound a second.
  std::uint64_t reader_full = 0;  // Lost as the reader did not read.
};

class EventLog {
 public:
  explicit EventLog(EventLogOptions options);

  // Writes a line of kind `event`. `now` is the monotonic time of the bound.
  void Write(TimeMs now, std::string_view event, const std::vector<LogField>& fields);
  // From now on the bound a second leaves nothing out: for the end of a process, as no later line
  // says what was left out.
  void LiftBound() { is_bounded_ = false; }
  const EventLogCounters& counters() const { return counters_; }

 private:
  struct Bound {
    TimeMs second = 0;
    int written = 0;
    std::uint64_t left_out = 0;
  };

  void Emit(TimeMs now, std::string_view event, const std::vector<LogField>& fields);

  EventLogOptions options_;
  std::map<std::string, Bound, std::less<>> bounds_;
  bool is_bounded_ = true;
  EventLogCounters counters_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_EVENT_LOG_H_

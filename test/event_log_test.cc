// The event log: its lines, its bound, and a reader that stops reading.
#include "junctionrail/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>

#include "check.h"

namespace junctionrail {
namespace {

struct Pipe {
  Pipe() { EXPECT_NUMBER(0, pipe2(ends.data(), O_CLOEXEC), "a pipe"); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string Read() {
    std::array<char, 65536> buf;
    const auto n = read(ends[0], buf.data(), buf.size());
    return std::string(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  }
  std::array<int, 2> ends;
};

EventLogOptions To(const Pipe& pipe, int lines_per_second = 40) {
  EventLogOptions options;
  options.process = "p";
  options.file_descriptor = pipe.ends[1];
  options.lines_per_second = lines_per_second;
  return options;
}

}  // namespace

TEST_GROUP(EventLogs){};

TEST(EventLogs, WriteOneJsonObjectALineWhateverAFieldHolds) {
  Pipe pipe;
  EventLog log(To(pipe));
  const std::string odd = "a\"b\\c\n\x01\xff";
  log.Write(5, "something", {{"text", odd}, {"number", std::int64_t{7}}, {"flag", true}});
  const std::string text = pipe.Read();
  EXPECT_TRUE(text.find('\n') == text.size() - 1, "one line");
  const auto line = nlohmann::json::parse(text, nullptr, false);
  EXPECT_TRUE(line.is_object(), text);
  EXPECT_NUMBER(7, line.at("number").get<int>(), "");
  EXPECT_TEXT("something", line.at("event").get<std::string>(), "");
  EXPECT_NUMBER(5, line.at("mono").get<int>(), "");
}

TEST(EventLogs, BoundEachKindASecondAndSayWhatWasLeftOut) {
  Pipe pipe;
  EventLog log(To(pipe, 2));
  for (int n = 0; n < 5; ++n) log.Write(1000, "often", {});
  log.Write(1000, "rare", {});
  EXPECT_NUMBER(3, log.counters().written, "two of the one, one of the other");
  log.Write(2000, "often", {});
  EXPECT_TRUE(
      pipe.Read().find("\"lines_left_out\",\"of\":\"often\",\"count\":3") != std::string::npos,
      "the next second says so");
}

// Guards against requests that the end of a process cuts and that no line names, as there are more
// of them than the bound a second.
TEST(EventLogs, LeaveNothingOutOnceTheBoundIsLifted) {
  Pipe pipe;
  EventLog log(To(pipe, 2));
  for (int n = 0; n < 3; ++n) log.Write(1000, "often", {});
  log.LiftBound();
  for (int n = 0; n < 3; ++n) log.Write(1000, "often", {});
  EXPECT_NUMBER(5, log.counters().written, "two before, all three after");
  EXPECT_NUMBER(1, log.counters().over_bound, "left out before");
}

TEST(EventLogs, LoseLinesAndNothingElseWhenNobodyReads) {
  Pipe pipe;
  EventLog log(To(pipe, 1000000));
  const std::string text(250, 'x');
  // More than any pipe holds; a write that waited would never return.
  for (int n = 0; n < 20000; ++n) log.Write(n, "e", {{"text", text}});
  EXPECT_TRUE(log.counters().reader_full > 0, "lines were lost and counted");
  EXPECT_TRUE(log.counters().written > 0, "those that fitted were written");
}

}  // namespace junctionrail

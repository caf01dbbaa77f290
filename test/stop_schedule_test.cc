// When a stop ends what, in model time.
#include "../src/gateway/stop_schedule.h"

#include "check.h"

namespace junctionrail::internal {
namespace {

constexpr TimeMs kBegin = 100000;
constexpr DurationMs kMostMs = 7500;
constexpr DurationMs kBalancerMs = 2500;
constexpr DurationMs kTickMs = 250;

StopSchedule Begun() {
  StopSchedule stop;
  stop.Begin(kBegin, kBegin, kMostMs, kBalancerMs);
  return stop;
}

PendingRequest Arriving(TimeMs arrived_at, TimeMs deadline_at, bool is_retryable = false) {
  return {arrived_at, deadline_at, is_retryable};
}

}  // namespace

TEST_GROUP(StopSchedules){};

TEST(StopSchedules, AllowAllRequestsBeforeTheyBegin) {
  const StopSchedule stop;
  EXPECT_TRUE(stop.MayBegin(Arriving(kBegin, kBegin + 60000), kBegin), "any deadline");
  EXPECT_TRUE(stop.AcceptsConnections(kBegin), "connections");
}

// Guards against refusals of all that callers send until they have gone to other entries.
TEST(StopSchedules, AllowAllRequestsAtFirst) {
  const StopSchedule stop = Begun();
  const TimeMs early = kBegin + kMostMs / 3 - 1;
  EXPECT_TRUE(stop.MayBegin(Arriving(early, kBegin + 60000), early), "any deadline");
}

// Guards against requests that the end of the process cuts.
TEST(StopSchedules, AllowLaterOnlyWhatEndsInTime) {
  const StopSchedule stop = Begun();
  const TimeMs late = kBegin + kMostMs / 3;
  EXPECT_TRUE(!stop.MayBegin(Arriving(late, kBegin + kMostMs, true), late),
              "a deadline at the end");
  EXPECT_TRUE(stop.MayBegin(Arriving(late, stop.answer_at()), late),
              "a deadline before the last answers");
  EXPECT_TRUE(stop.answer_at() < stop.ends_at(), "answers come before the close");
}

TEST(StopSchedules, AcceptConnectionsUntilTheBalancerHasNoticed) {
  const StopSchedule stop = Begun();
  EXPECT_TRUE(stop.AcceptsConnections(kBegin + kBalancerMs - 1), "before");
  EXPECT_TRUE(!stop.AcceptsConnections(kBegin + kBalancerMs), "after");
  StopSchedule brief;
  brief.Begin(kBegin, kBegin, 0, kBalancerMs);
  EXPECT_TRUE(!brief.AcceptsConnections(kBegin), "a stop without time");
}

// Guards against refusals of requests that wait for a model in a stop and could be served, and
// against a request that may not be repeated and is cut.
TEST(StopSchedules, AllowRetryableRequestsThatWaitForAWhile) {
  const StopSchedule stop = Begun();
  const TimeMs far = kBegin + 60000;
  const TimeMs until = kBegin + kMostMs * 2 / 3;
  EXPECT_TRUE(stop.MayBegin(Arriving(kBegin, far, true), until - 1), "it came early");
  EXPECT_TRUE(!stop.MayBegin(Arriving(kBegin, far, true), until), "little time is left");
  EXPECT_TRUE(!stop.MayBegin(Arriving(kBegin, far, false), until - 1), "it may not be repeated");
}

// Guards against a close right behind the last answers, as the process stood still before them.
TEST(StopSchedules, CloseAfterTheLastAnswers) {
  StopSchedule stop = Begun();
  const TimeMs late = stop.ends_at() + 1000;
  stop.BeginAnswers(late);
  EXPECT_TRUE(stop.ends_at() > late, "the close comes later");
}

// Guards against requests that are begun or answered too late, as the signal waited for long: the
// platform kills the process 8 s after it was sent.
TEST(StopSchedules, BeginAndAnswerInTimeAfterALongStandstill) {
  for (const DurationMs standstill : {1050, 2750}) {
    const TimeMs sent_at = kBegin - standstill;
    StopSchedule stop;
    stop.Begin(EarliestSignalTime({sent_at - kTickMs}, kTickMs, kBegin), kBegin, kMostMs,
               kBalancerMs);
    const TimeMs late = sent_at + 3001;
    EXPECT_TRUE(!stop.MayBegin(Arriving(late, kBegin + 60000, true), late), "sent late");
    EXPECT_TRUE(stop.answer_at() < sent_at + 8000, "answers come before the kill");
  }
}

// Guards against a process that is killed before its stop has ended, as it was away when the signal
// came.
TEST(StopSchedules, BeginBeforeAStandstill) {
  EXPECT_NUMBER(kBegin, EarliestSignalTime({kBegin - 300, kBegin - 50}, kTickMs, kBegin),
                "in time");
  EXPECT_NUMBER(kBegin - 350, EarliestSignalTime({kBegin - 600}, kTickMs, kBegin),
                "handled before the late tick");
  EXPECT_NUMBER(kBegin - 360, EarliestSignalTime({kBegin - 610, kBegin - 10}, kTickMs, kBegin),
                "handled after the late tick");
  StopSchedule stop;
  stop.Begin(kBegin - 9000, kBegin, kMostMs, kBalancerMs);
  EXPECT_NUMBER(kBegin - 500 + kMostMs, stop.ends_at(), "shortened by half a second at most");
}

}  // namespace junctionrail::internal

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
  stop.Begin(kBegin, kMostMs, kBalancerMs);
  return stop;
}

}  // namespace

TEST_GROUP(StopSchedules){};

TEST(StopSchedules, AllowAllRequestsBeforeTheyBegin) {
  const StopSchedule stop;
  EXPECT_TRUE(stop.MayBegin(kBegin + 60000, kBegin), "any deadline");
  EXPECT_TRUE(stop.AcceptsConnections(kBegin), "connections");
}

// Guards against refusals of all that callers send until they have gone to other entries.
TEST(StopSchedules, AllowAllRequestsAtFirst) {
  const StopSchedule stop = Begun();
  EXPECT_TRUE(stop.MayBegin(kBegin + 60000, kBegin + kMostMs / 3 - 1), "any deadline");
}

// Guards against requests that the end of the process cuts.
TEST(StopSchedules, AllowLaterOnlyWhatEndsInTime) {
  const StopSchedule stop = Begun();
  const TimeMs late = kBegin + kMostMs / 3;
  EXPECT_TRUE(!stop.MayBegin(kBegin + kMostMs, late), "a deadline at the end");
  EXPECT_TRUE(stop.MayBegin(stop.answer_at(), late), "a deadline before the last answers");
  EXPECT_TRUE(stop.answer_at() < stop.ends_at(), "answers come before the close");
}

TEST(StopSchedules, AcceptConnectionsUntilTheBalancerHasNoticed) {
  const StopSchedule stop = Begun();
  EXPECT_TRUE(stop.AcceptsConnections(kBegin + kBalancerMs - 1), "before");
  EXPECT_TRUE(!stop.AcceptsConnections(kBegin + kBalancerMs), "after");
  StopSchedule brief;
  brief.Begin(kBegin, 0, kBalancerMs);
  EXPECT_TRUE(!brief.AcceptsConnections(kBegin), "a stop without time");
}

// Guards against a stop that outlasts the platform's: the clock does not count a suspension.
TEST(StopSchedules, EndSoonerByASuspension) {
  StopSchedule stop = Begun();
  stop.OnVmResumed(1000);
  EXPECT_NUMBER(kBegin + kMostMs - 1000, stop.ends_at(), "the end");
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
  EXPECT_NUMBER(kBegin - 500, EarliestSignalTime({kBegin - 9000}, kTickMs, kBegin), "at most");
}

}  // namespace junctionrail::internal

// Tests of upstreams that accept no requests for now: those whose stated limit is used up,
// and those that requested a backoff.
#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeView;
using testing::TableFixture;

}  // namespace

TEST_GROUP(ThrottledUpstreams){};

TEST(ThrottledUpstreams, SkippedWhileLimitIsExhausted) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.OnSent("u2", std::nullopt, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "u1 is less busy");
  t.Throttle("u1").OnLimit(2, t.now, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "a limit alone blocks no requests");
  t.Throttle("u1").OnLimitExhausted(t.now + 500);
  EXPECT_TEXT("send u2", t.Choose("engine"), "u1's limit is used up");
  t.now += 500;
  EXPECT_TEXT("send u1", t.Choose("engine"), "u1's limit allows requests again");
}

TEST(ThrottledUpstreams, NotUsedAsLastResortAndReportRetryDelay) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u1").OnLimitExhausted(t.now + 700);
  t.table.OnSent("u2", std::nullopt, t.now);
  t.table.OnAttemptEnd("u2", std::nullopt, AttemptOutcome::kUnreachable, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "an ejected upstream is preferred to a limited one");
  EXPECT_TEXT("no upstream accepts requests now", t.Choose("engine", std::nullopt, {"u2"}), "");
  EXPECT_NUMBER(700, t.retry_after_ms, "until the first upstream accepts requests");
}

TEST(ThrottledUpstreams, WaitedForOnlyWhenNoLoadIsSooner) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  t.table.ApplyView(MakeView("u2", {}, {"a"}), t.now);
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u1").OnLimitExhausted(t.now + 400);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}),
              "u1 accepts requests before a load is done");
  EXPECT_NUMBER(400, t.estimate_ms, "");
  t.Throttle("u1").OnLimitExhausted(t.now + 3000);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "a load from u2's disk is faster");
}

TEST(ThrottledUpstreams, LimitSurvivesAnswerToEarlierRequest) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  EXPECT_TRUE(t.table.OnLimitNotice("u1", 2, t.now, t.now + 100), "the limit is new");
  EXPECT_NUMBER(1, t.table.UpdateLimits(t.now + 100).size(), "one change");
  EXPECT_TRUE(!t.table.OnLimitNotice("u1", std::nullopt, t.now + 50, t.now + 200),
              "request sent before the limit was stated");
  EXPECT_NUMBER(0, t.table.UpdateLimits(t.now + 200).size(), "no change");
  EXPECT_TRUE(t.table.LimitOf("u1") == RateLimit{2}, "the limit still applies");
  EXPECT_TRUE(t.table.OnLimitNotice("u1", std::nullopt, t.now + 150, t.now + 200),
              "request sent after the limit was stated");
  EXPECT_NUMBER(1, t.table.UpdateLimits(t.now + 200).size(), "one change");
  EXPECT_TRUE(!t.table.LimitOf("u1"), "the limit is removed");
}

TEST(ThrottledUpstreams, SkippedDuringBackoffThenProbedWithOneRequest) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.OnSent("u2", std::nullopt, t.now);
  const TimeMs sent_at = t.now;
  t.Throttle("u1").OnBackoff(3000, sent_at, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "u1 is backing off");
  t.now += 2999;
  EXPECT_TEXT("send u2", t.Choose("engine"), "u1 is still backing off");
  t.now += 1;
  EXPECT_TEXT("send u1", t.Choose("engine"), "the backoff is over");
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.OnAttemptEnd("u1", std::nullopt, AttemptOutcome::kCallerLeft, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "only one request probes u1");
  t.Throttle("u1").OnBackoff(0, sent_at, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "the answer is to a request sent before the backoff");
  t.Throttle("u1").OnBackoff(0, t.now, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "u1 accepts requests again");
}

TEST(ThrottledUpstreams, BackOffAgainWhenProbeIsRejected) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  t.Throttle("u1").OnBackoff(1000, t.now, t.now);
  t.now += 1000;
  t.table.OnSent("u1", std::nullopt, t.now);
  t.Throttle("u1").OnBackoff(1000, t.now, t.now + 10);
  t.now += 1009;
  EXPECT_TEXT("no upstream accepts requests now", t.Choose("engine"), "second backoff");
  EXPECT_NUMBER(1, t.retry_after_ms, "remaining time of the second backoff");
  t.now += 1;
  EXPECT_TEXT("send u1", t.Choose("engine"), "the second backoff is over");
}

TEST(ThrottledUpstreams, CauseAnotherReplicaOfTheirModels) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyServices({{"engine", 100, testing::MakeSpec()}});
  EngineView holder = MakeView("u1", {{"a", {}}});
  holder.requests_per_s["a"] = 6;
  EngineView second = holder;
  second.instance = "u3";
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2"), MakeRecord("u3")}, t.now);
  t.table.ApplyView(holder, t.now);
  t.table.ApplyView(second, t.now);
  t.table.ApplyView(MakeView("u2", {}, {"a"}), t.now);
  t.table.OnArrival(ModelRef{"a", ""}, 0, 400, t.now);
  EXPECT_TRUE(t.table.BuildDemands({}, t.now)["u2"].wanted.empty(),
              "two replicas can serve six a second");
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u3").OnLimit(1, t.now, t.now);
  EXPECT_NUMBER(1, t.table.BuildDemands({}, t.now)["u2"].wanted.size(),
                "requests beyond the limits need another replica");
}

}  // namespace junctionrail

// Upstreams that want no requests just now: those that named a limit which is used up, and
// those that asked for a rest.
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
  EXPECT_TEXT("send u1", t.Choose("engine"), "the less busy one");
  t.Throttle("u1").OnLimit(2, t.now, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "a limit alone keeps nothing back");
  t.Throttle("u1").OnLimitExhausted(t.now + 500);
  EXPECT_TEXT("send u2", t.Choose("engine"), "nothing is left");
  t.now += 500;
  EXPECT_TEXT("send u1", t.Choose("engine"), "something is left again");
}

TEST(ThrottledUpstreams, NotUsedAsLastResortAndReportRetryDelay) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u1").OnLimitExhausted(t.now + 700);
  t.table.OnSent("u2", std::nullopt, t.now);
  t.table.OnAttemptEnd("u2", std::nullopt, AttemptOutcome::kUnreachable, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "one that is ejected goes before one that is closed");
  EXPECT_TEXT("upstreams take nothing now", t.Choose("engine", std::nullopt, {"u2"}), "");
  EXPECT_NUMBER(700, t.retry_after_ms, "until the first of them opens");
}

TEST(ThrottledUpstreams, WaitedForOnlyWhenNoLoadIsSooner) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.ApplyView(MakeView("u1", {{"a", {}}}), t.now);
  t.table.ApplyView(MakeView("u2", {}, {"a"}), t.now);
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u1").OnLimitExhausted(t.now + 400);
  EXPECT_TEXT("wait u1", t.Choose("engine", ModelRef{"a", ""}), "it opens before a load is done");
  EXPECT_NUMBER(400, t.estimate_ms, "");
  t.Throttle("u1").OnLimitExhausted(t.now + 3000);
  EXPECT_TEXT("wait u2", t.Choose("engine", ModelRef{"a", ""}), "from its disk it is up sooner");
}

TEST(ThrottledUpstreams, LimitSurvivesAnswerToEarlierRequest) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  EXPECT_TRUE(t.Throttle("u1").OnLimit(2, t.now, t.now + 100), "it is news");
  EXPECT_TRUE(!t.Throttle("u1").OnLimit(std::nullopt, t.now + 50, t.now + 200), "sent before");
  EXPECT_TRUE(t.table.LimitOf("u1") == 2, "the limit stands");
  EXPECT_TRUE(t.Throttle("u1").OnLimit(std::nullopt, t.now + 150, t.now + 200), "sent after");
  EXPECT_TRUE(!t.table.LimitOf("u1"), "it has ended");
}

TEST(ThrottledUpstreams, SkippedDuringBackoffThenProbedWithOneRequest) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1"), MakeRecord("u2")}, t.now);
  t.table.OnSent("u2", std::nullopt, t.now);
  const TimeMs sent_at = t.now;
  t.Throttle("u1").OnBackoff(3000, sent_at, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "it rests");
  t.now += 2999;
  EXPECT_TEXT("send u2", t.Choose("engine"), "still");
  t.now += 1;
  EXPECT_TEXT("send u1", t.Choose("engine"), "the rest is over");
  t.table.OnSent("u1", std::nullopt, t.now);
  t.table.OnAttemptEnd("u1", std::nullopt, AttemptOutcome::kCallerLeft, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "one request finds out first");
  t.Throttle("u1").OnBackoff(0, sent_at, t.now);
  EXPECT_TEXT("send u2", t.Choose("engine"), "an answer to one sent before the rest tells nothing");
  t.Throttle("u1").OnBackoff(0, t.now, t.now);
  EXPECT_TEXT("send u1", t.Choose("engine"), "it takes requests again");
}

TEST(ThrottledUpstreams, BackOffAgainWhenProbeIsRejected) {
  TableFixture t;
  t.table.ApplyListing({MakeRecord("u1")}, t.now);
  t.Throttle("u1").OnBackoff(1000, t.now, t.now);
  t.now += 1000;
  t.table.OnSent("u1", std::nullopt, t.now);
  t.Throttle("u1").OnBackoff(1000, t.now, t.now + 10);
  t.now += 1009;
  EXPECT_TEXT("upstreams take nothing now", t.Choose("engine"), "the second rest");
  EXPECT_NUMBER(1, t.retry_after_ms, "of it");
  t.now += 1;
  EXPECT_TEXT("send u1", t.Choose("engine"), "is over too");
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
              "two replicas bear six a second");
  t.Throttle("u1").OnLimit(1, t.now, t.now);
  t.Throttle("u3").OnLimit(1, t.now, t.now);
  EXPECT_NUMBER(1, t.table.BuildDemands({}, t.now)["u2"].wanted.size(),
                "what they do not take needs a place");
}

}  // namespace junctionrail

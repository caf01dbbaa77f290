// Tests of the poll schedule for data with a bounded age, in simulated time.
#include <algorithm>
#include <set>

#include "check.h"
#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// As for an entry's upstream list: leaving upstreams may get requests for at most 2 s.
constexpr DurationMs kPeriodMs = 900;
constexpr DurationMs kBoundMs = 2000;

// A store, and a client that follows the schedule to the millisecond.
struct SimulatedStore {
  // Runs until `until`; polls whose number is in `lost` get no answer.
  void Run(TimeMs until) {
    for (; now < until; ++now) {
      DeliverAnswers();
      if (schedule.NextAt() <= now) StartPoll();
      if (schedule.as_of() != 0) max_age_ms = std::max(max_age_ms, now - schedule.as_of());
    }
  }
  void StartPoll() {
    polls.push_back(schedule.Begin(now));
    const bool is_lost = is_away || lost.count(polls.back().number) > 0;
    if (!is_lost) pending.push_back({polls.back(), now + answer_ms});
  }
  void DeliverAnswers() {
    for (const auto& it : pending) {
      if (it.at == now) schedule.OnAnswer(it.poll, now);
    }
  }

  struct PendingAnswer {
    PollSchedule::Poll poll;
    TimeMs at = 0;
  };
  PollSchedule schedule{kPeriodMs};
  TimeMs now = 1000;
  DurationMs answer_ms = 10;
  bool is_away = false;
  std::set<std::uint64_t> lost;
  std::vector<PollSchedule::Poll> polls;
  std::vector<PendingAnswer> pending;
  DurationMs max_age_ms = 0;  // Maximum age of the list so far.
};

}  // namespace

TEST_GROUP(PollSchedule){};

TEST(PollSchedule, StartsOnePeriodAfterPreviousStart) {
  SimulatedStore store;
  store.Run(1000 + 3 * kPeriodMs);
  EXPECT_NUMBER(3, store.polls.size(), "");
  EXPECT_NUMBER(1000 + 2 * kPeriodMs, store.polls[2].begun_at,
                "independent of the answers' latency");
}

TEST(PollSchedule, RetriesUnansweredPoll) {
  SimulatedStore store;
  store.lost = {2};
  store.Run(4000);
  EXPECT_NUMBER(store.polls[1].begun_at + 250, store.polls[2].begun_at, "");
  EXPECT_TRUE(!store.polls[1].is_retry && store.polls[2].is_retry,
              "the first poll's connection may be dead");
  EXPECT_NUMBER(store.polls[2].begun_at + kPeriodMs, store.polls[3].begun_at,
                "normal operation again");
}

TEST(PollSchedule, KeepsListWithinBoundAfterTwoUnansweredPolls) {
  // Guards against sending to a leaving upstream for longer than the bound: an unanswered
  // poll delayed the next one by 1.15 s.
  SimulatedStore store;
  store.lost = {3, 4, 7, 8};
  store.Run(20000);
  EXPECT_TRUE(store.max_age_ms < kBoundMs - 200,
              "expected 200 ms of margin for sending a request; the oldest list was " +
                  std::to_string(store.max_age_ms) + " ms old");
}

// Guards against a store that sends the whole list again and again to processes that all started at
// once.
TEST(PollSchedule, RepeatsTheFirstPollOnceASecond) {
  PollSchedule schedule(900);
  schedule.Begin(1000);
  EXPECT_NUMBER(2000, schedule.NextAt(), "no answer yet");
  const auto second = schedule.Begin(2000);
  EXPECT_NUMBER(3000, schedule.NextAt(), "no answer yet");
  schedule.OnAnswer(second, 2600);
  schedule.Begin(2900);
  EXPECT_TRUE(schedule.NextAt() - 2900 >= 250 && schedule.NextAt() - 2900 <= 1000, "as usual");
}

TEST(PollSchedule, WaitsForSlowStore) {
  SimulatedStore store;
  store.answer_ms = 1200;
  store.Run(20000);
  const auto retries = std::count_if(store.polls.begin(), store.polls.end(),
                                     [](const auto& it) { return it.is_retry; });
  EXPECT_TRUE(store.schedule.as_of() > 17000, "expected every answer to count");
  EXPECT_TRUE(2 * retries <= static_cast<long>(store.polls.size()) + 2,
              "expected at most one poll in two to be a retry; got " + std::to_string(retries) +
                  " of " + std::to_string(store.polls.size()));
}

TEST(PollSchedule, SlowsDownDuringOutageAndDetectsRecoverySoon) {
  SimulatedStore store;
  store.Run(3000);
  store.is_away = true;
  const std::size_t before = store.polls.size();
  store.Run(13000);
  const std::size_t calls = store.polls.size() - before;
  EXPECT_TRUE(calls <= 18, "expected 18 polls in 10 s at most, got " + std::to_string(calls));
  store.is_away = false;
  store.Run(13000 + 620);
  EXPECT_TRUE(store.schedule.as_of() >= 13000,
              "expected an answered poll within 620 ms of the store's return");
  EXPECT_TRUE(store.schedule.was_unreadable(), "");
  store.Run(16000);
  EXPECT_TRUE(!store.schedule.was_unreadable(), "normal operation again");
}

TEST(PollSchedule, IgnoresAnswerOlderThanLatest) {
  PollSchedule schedule(kPeriodMs);
  const auto first = schedule.Begin(1000);
  const auto second = schedule.Begin(1250);
  EXPECT_TRUE(schedule.OnAnswer(second, 1260), "");
  EXPECT_TRUE(!schedule.OnAnswer(first, 1300), "a later poll was answered first");
  EXPECT_NUMBER(1250, schedule.as_of(), "");
}

TEST(PollSchedule, PollByNeverDelaysPoll) {
  PollSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.PollBy(1350);
  schedule.PollBy(1700);
  EXPECT_NUMBER(1350, schedule.NextAt(), "");
}

TEST(PollSchedule, DetectsProcessStall) {
  PollSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.OnAnswer(schedule.Begin(6000), 6010);
  EXPECT_TRUE(schedule.was_stalled(), "the state in between is unknown");
  EXPECT_TRUE(!schedule.was_unreadable(), "no poll was left unanswered");
  schedule.OnAnswer(schedule.Begin(6900), 6910);
  EXPECT_TRUE(!schedule.was_stalled() && !schedule.was_unreadable(), "");
}

// Guards against a process that stood still with a poll under way and takes the answer, which
// waited for it, for one that the store did not give.
TEST(PollSchedule, BlamesNoStoreForAnswersThatWaitedForTheProcess) {
  PollSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.Begin(1900);
  schedule.OnAnswer(schedule.Begin(6000), 6010);
  EXPECT_TRUE(schedule.was_stalled() && !schedule.was_unreadable(), "the timer was late too");
  schedule.Begin(6900);
  schedule.Begin(7150);
  schedule.OnAnswer(schedule.Begin(7650), 7660);
  EXPECT_TRUE(schedule.was_unreadable() && !schedule.was_stalled(), "polls had their time");
}

TEST(PollSchedule, PollsSoonAfterWatchIsLost) {
  PollSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.OnConnectionLost(30000);
  EXPECT_NUMBER(30250, schedule.NextAt(), "");
  EXPECT_TRUE(schedule.Begin(30250).is_retry, "expected a new connection");
}

}  // namespace junctionrail

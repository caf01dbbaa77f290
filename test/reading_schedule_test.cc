// When a list is read that must not be older than a bound, in model time.
#include <algorithm>
#include <set>

#include "check.h"
#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

// As an entry reads the list where upstreams that leave may get requests for 2 s.
constexpr DurationMs kPeriodMs = 900;
constexpr DurationMs kBoundMs = 2000;

// A store, and a schedule that is followed to the millisecond.
struct Store {
  // Runs until `until`; calls whose number is in `lost` get no answer.
  void Run(TimeMs until) {
    for (; now < until; ++now) {
      Answer();
      if (schedule.NextAt() <= now) Call();
      if (schedule.as_of() != 0) oldest = std::max(oldest, now - schedule.as_of());
    }
  }
  void Call() {
    calls.push_back(schedule.Begin(now));
    const bool is_lost = is_away || lost.count(calls.back().number) > 0;
    if (!is_lost) open.push_back({calls.back(), now + answer_ms});
  }
  void Answer() {
    for (const auto& it : open) {
      if (it.at == now) schedule.OnAnswer(it.call, now);
    }
  }

  struct Open {
    ReadingSchedule::Call call;
    TimeMs at = 0;
  };
  ReadingSchedule schedule{kPeriodMs};
  TimeMs now = 1000;
  DurationMs answer_ms = 10;
  bool is_away = false;
  std::set<std::uint64_t> lost;
  std::vector<ReadingSchedule::Call> calls;
  std::vector<Open> open;
  DurationMs oldest = 0;  // The list was never older.
};

}  // namespace

TEST_GROUP(Readings){};

TEST(Readings, BeginAPeriodAfterTheOneBeforeBegan) {
  Store store;
  store.Run(1000 + 3 * kPeriodMs);
  EXPECT_NUMBER(3, store.calls.size(), "");
  EXPECT_NUMBER(1000 + 2 * kPeriodMs, store.calls[2].begun_at, "whatever the answers took");
}

TEST(Readings, AreMadeAgainBesideOneThatGetsNoAnswer) {
  Store store;
  store.lost = {2};
  store.Run(4000);
  EXPECT_NUMBER(store.calls[1].begun_at + 250, store.calls[2].begun_at, "");
  EXPECT_TRUE(!store.calls[1].is_repeated && store.calls[2].is_repeated,
              "the connection of the first may be dead");
  EXPECT_NUMBER(store.calls[2].begun_at + kPeriodMs, store.calls[3].begun_at, "all is well again");
}

TEST(Readings, KeepAListYoungerThanItsBoundThoughTwoCallsInARowGetNoAnswer) {
  // An upstream that said it leaves was sent requests for longer than the bound, as a
  // call without an answer held up the next one for 1.15 s.
  Store store;
  store.lost = {3, 4, 7, 8};
  store.Run(20000);
  EXPECT_TRUE(store.oldest < kBoundMs - 200,
              "expected 200 ms for the way of a request; the oldest list was " +
                  std::to_string(store.oldest) + " ms old");
}

TEST(Readings, OfASlowStoreAreWaitedFor) {
  Store store;
  store.answer_ms = 1200;
  store.Run(20000);
  const auto repeated = std::count_if(store.calls.begin(), store.calls.end(),
                                      [](const auto& it) { return it.is_repeated; });
  EXPECT_TRUE(store.schedule.as_of() > 17000, "each answer is taken");
  EXPECT_TRUE(2 * repeated <= static_cast<long>(store.calls.size()) + 2,
              "expected one call in two to be a repeated one at most; got " +
                  std::to_string(repeated) + " of " + std::to_string(store.calls.size()));
}

TEST(Readings, AreMadeLessOftenWhileTheStoreIsAwayAndItsReturnIsSeenSoon) {
  Store store;
  store.Run(3000);
  store.is_away = true;
  const std::size_t before = store.calls.size();
  store.Run(13000);
  const std::size_t calls = store.calls.size() - before;
  EXPECT_TRUE(calls <= 18, "expected 18 calls in 10 s at most, got " + std::to_string(calls));
  store.is_away = false;
  store.Run(13000 + 620);
  EXPECT_TRUE(store.schedule.as_of() >= 13000, "it was read within 620 ms of its return");
  EXPECT_TRUE(store.schedule.was_unreadable(), "");
  store.Run(16000);
  EXPECT_TRUE(!store.schedule.was_unreadable(), "all is well again");
}

TEST(Readings, AnsweredLateAreOutOfDate) {
  ReadingSchedule schedule(kPeriodMs);
  const auto first = schedule.Begin(1000);
  const auto second = schedule.Begin(1250);
  EXPECT_TRUE(schedule.OnAnswer(second, 1260), "");
  EXPECT_TRUE(!schedule.OnAnswer(first, 1300), "the later call was answered before");
  EXPECT_NUMBER(1250, schedule.as_of(), "");
}

TEST(Readings, AreBroughtForwardAndNeverPutOff) {
  ReadingSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.ReadBy(1350);
  schedule.ReadBy(1700);
  EXPECT_NUMBER(1350, schedule.NextAt(), "");
}

TEST(Readings, KnowThatTheProcessStoodStill) {
  ReadingSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.OnAnswer(schedule.Begin(6000), 6010);
  EXPECT_TRUE(schedule.was_unreadable(), "nothing is known of the time between");
  schedule.OnAnswer(schedule.Begin(6900), 6910);
  EXPECT_TRUE(!schedule.was_unreadable(), "");
}

TEST(Readings, BeginSoonAfterWhatWatchedTheStoreLostIt) {
  ReadingSchedule schedule(kPeriodMs);
  schedule.OnAnswer(schedule.Begin(1000), 1010);
  schedule.OnLost(30000);
  EXPECT_NUMBER(30250, schedule.NextAt(), "");
  EXPECT_TRUE(schedule.Begin(30250).is_repeated, "on another connection");
}

}  // namespace junctionrail

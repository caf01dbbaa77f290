// The soak's own checks and proxies: each check reports a violation that is planted here, and
// none where the promise is kept.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "../soak/judge.h"
#include "../soak/proxy.h"
#include "check.h"
#include "loopback.h"

namespace junctionrail::soak {
namespace {

constexpr TimeMs kStart = 1000000;
const std::set<std::string> kNorth = {"hall-1", "hall-2"};
const std::set<std::string> kEverywhere = {"hall-1", "hall-2", "hall-3", "hall-4"};

// A judge with a clock that the test sets, and an upstream in hall-1.
struct Bench {
  Bench() { judge.OnStarted("p1", "hall-1"); }

  void Arrive(const std::string& request, int entry = 0,
              const std::set<std::string>& halls = kEverywhere) {
    judge.OnSent(request, entry, "open", halls);
    judge.OnArrival(request, "p1");
  }
  // Requests that arrive 50 ms apart.
  void ArriveOften(int count, int entry = 0) {
    for (int n = 0; n < count; ++n, now += 50) Arrive("r" + std::to_string(n), entry);
  }
  // Returns the first complaint, without its time.
  std::string Complaint() {
    const auto complaints = judge.Finish();
    return complaints.empty() ? "" : complaints[0].substr(complaints[0].find(": ") + 2);
  }

  TimeMs now = kStart;
  Judge judge{[this] { return now; }};
};

}  // namespace

TEST_GROUP(SoakJudge){};

// Guards against a check of retries that never reports a violation.
TEST(SoakJudge, ReportsAWindowWithMoreRetriesThanItsRequestsAllow) {
  constexpr int kRequests = 50;
  constexpr int kAllowed = 10 + kRetryExtra;
  Bench t;
  for (int n = 0; n < kRequests; ++n) {
    t.judge.retries.OnRequest("plain");
    t.judge.retries.OnArrival("plain", "r" + std::to_string(n));
  }
  t.now += kRetryWindowMs - 1;
  for (int n = 0; n < kAllowed; ++n) t.judge.retries.OnArrival("plain", "r0");
  t.judge.retries.OnArrival("engines", "r0");
  EXPECT_TEXT("", t.Complaint(), "a fifth of the requests of the window before, and 20");
  t.now += kRetryWindowMs - 1;
  t.judge.retries.OnArrival("plain", "r1");
  EXPECT_TEXT("service plain had 31 retries from 1009999 on, of 30.000000 allowed", t.Complaint(),
              "one more, at the end of the same window");
}

// Guards against a check of regions that never reports a violation.
TEST(SoakJudge, ReportsARequestThatReachesAnUpstreamOutsideItsRegions) {
  Bench allowed;
  allowed.Arrive("r1", 0, kNorth);
  EXPECT_TEXT("", allowed.Complaint(), "hall-1 is allowed");
  Bench t;
  t.Arrive("r1", 0, {"hall-4"});
  EXPECT_TEXT("request r1 of open reached upstream p1 in hall-1, where it may not run",
              t.Complaint(), "whatever excuses other checks");
}

// Guards against a check of evacuations that never reports a violation, or reports one before the
// bound.
TEST(SoakJudge, ReportsARequestThatReachesAClosedHall) {
  Bench t;
  t.judge.OnEvacuation("hall-1", true);
  t.now += kEvacuateMs;
  t.Arrive("r1");
  EXPECT_TEXT("", t.Complaint(), "within the bound");
  t.now += 1;
  t.Arrive("r2", 3);
  EXPECT_TEXT("upstream p1 got request r2 from entry 3 3001 ms after the evacuation of hall-1",
              t.Complaint(), "after the bound");
}

// Guards against false reports of what an entry could not know, and of a hall that was given back.
TEST(SoakJudge, ExcusesAnEntryThatCannotKnowOfAnEvacuation) {
  Bench t;
  t.judge.OnEvacuation("hall-1", true);
  t.now += 2 * kEvacuateMs;
  t.judge.OnEntryTroubled(0);
  t.Arrive("r1", 0);
  t.judge.OnWayTroubled(1, "p1");
  t.Arrive("r2", 1);
  EXPECT_TEXT("", t.Complaint(), "both were in trouble");
  t.judge.OnEvacuation("hall-1", false);
  t.Arrive("r3", 2);
  EXPECT_TEXT("", t.Complaint(), "the hall is open again");
}

// Guards against a check of cold upstreams that never reports a violation.
TEST(SoakJudge, ReportsAColdUpstreamThatReceivesMoreThanItsRate) {
  Bench t;
  t.judge.OnCold("p1", kColdMs, false);
  t.ArriveOften(8);
  EXPECT_TEXT("", t.Complaint(), "1.5 times 2, and 5 more");
  t.Arrive("r9");
  EXPECT_TEXT("cold upstream p1 got 9 requests in a second", t.Complaint(), "one more");
}

// Guards against false reports once an upstream is warm, of requests that a stopped entry sends all
// at once, and of entries that had not heard that a hall was given back.
TEST(SoakJudge, CountsOnlyWhatEntriesCouldHoldBackFromAColdUpstream) {
  Bench warm;
  warm.judge.OnCold("p1", kColdMs, false);
  warm.now += kColdMs;
  warm.ArriveOften(15);
  EXPECT_TEXT("", warm.Complaint(), "it is warm");
  Bench stopped;
  stopped.judge.OnCold("p1", kColdMs, false);
  stopped.judge.OnEntryStopped(0);
  stopped.ArriveOften(15);
  EXPECT_TEXT("", stopped.Complaint(), "the entry was stopped");
  Bench returned;
  returned.judge.OnCold("p1", kColdMs, true);
  returned.judge.OnEntryTroubled(0);
  returned.ArriveOften(15);
  EXPECT_TEXT("", returned.Complaint(), "the entry had no way to the store");
  returned.ArriveOften(9, 1);
  EXPECT_TEXT("cold upstream p1 got 9 requests in a second", returned.Complaint(),
              "another entry had");
}

// Guards against a check of spoiled records that never reports a violation.
TEST(SoakJudge, ReportsARequestThatEndsBecauseARecordWasSpoiled) {
  Bench t;
  t.Arrive("r1");
  t.judge.OnRun("r1", "p1", true);
  t.judge.OnFailed("r1", "resumable");
  EXPECT_TEXT("", t.Complaint(), "no record was spoiled");
  t.judge.OnSpoiledRecord("p1");
  t.now += 100;
  t.judge.OnFailed("r1", "resumable");
  EXPECT_TEXT(
      "request r1 ended while it ran at upstream p1, whose record another writer had spoiled",
      t.Complaint(), "nothing else had happened");
}

// Guards against blaming a spoiled record for what another fault did.
TEST(SoakJudge, ExcusesARequestThatAnotherFaultEndsBesideASpoiledRecord) {
  const auto ends_with = [](const std::function<void(Bench&)>& fault) {
    Bench t;
    t.Arrive("r1");
    t.judge.OnRun("r1", "p1", true);
    t.judge.OnSpoiledRecord("p1");
    t.now += 100;
    fault(t);
    t.judge.OnFailed("r1", "resumable");
    return t.Complaint();
  };
  EXPECT_TEXT("", ends_with([](Bench& t) { t.judge.OnHarmed("p1"); }), "the upstream ended");
  EXPECT_TEXT("", ends_with([](Bench& t) { t.judge.OnEntryTroubled(0); }), "the entry ended");
  EXPECT_TEXT("", ends_with([](Bench& t) { t.judge.OnWayTroubled(0, "p1"); }), "a partition");
  EXPECT_TEXT("", ends_with([](Bench& t) { t.now += 4000; }), "its deadline");
}

// A request to entry 0 that gets no answer: what came of it until its connection ended.
struct Unanswered {
  using Step = std::function<void(Bench&)>;

  // Returns the complaint. `before` is told to the judge before the request is sent.
  std::string Judged(const Step& before, const Step& after) {
    Bench t;
    before(t);
    t.judge.OnSent("r1", 0, "open", kEverywhere);
    if (was_passed_on) t.judge.OnArrival("r1", "p1");
    t.now += age_ms;
    after(t);
    t.judge.OnUnanswered("r1", ending);
    return t.Complaint();
  }

  bool was_passed_on = true;
  DurationMs age_ms = 100;
  Judge::Ending ending = Judge::Ending::kClosed;
};

void Nothing(Bench&) {}
void Stop(Bench& t) { t.judge.OnStop(0); }
void Configure(Bench& t) { t.judge.OnConfiguration(); }

const std::string kLost =
    "request r1 was lost: entry 0 closed its connection 100 ms after it was sent, passed on to p1";

// Guards against a check of lost requests that misses one kind of planned work.
TEST(SoakJudge, ReportsARequestThatIsLostBesidePlannedWork) {
  Unanswered t;
  EXPECT_TEXT(kLost, t.Judged(Nothing, Stop), "a stop");
  EXPECT_TEXT(kLost, t.Judged(Configure, Nothing), "a configuration");
  EXPECT_TEXT(kLost, t.Judged([](Bench& b) { b.judge.OnReload(0); }, Nothing), "settings");
}

// Guards against a check that overlooks requests which an entry read and threw away.
TEST(SoakJudge, ReportsARequestThatWaitsAndIsNotPassedOn) {
  Unanswered t{false, 201};
  EXPECT_TEXT(
      "request r1 was lost: entry 0 closed its connection 201 ms after it was sent, "
      "not passed on",
      t.Judged(Nothing, Stop), "too old to have crossed the close");
}

// Guards against false reports of requests that nobody had read when the connection was closed.
TEST(SoakJudge, ExcusesARequestThatCrossesTheClose) {
  EXPECT_TEXT("", (Unanswered{false, 200}.Judged(Nothing, Stop)), "sent just before");
}

// Guards against reports of what ends requests at any time.
TEST(SoakJudge, CountsLostRequestsOnlyBesidePlannedWork) {
  Unanswered t;
  const auto ago = [](DurationMs ms, const Unanswered::Step& work) {
    return [ms, work](Bench& b) {
      work(b);
      b.now += ms;
    };
  };
  const auto reload = [](Bench& b) { b.judge.OnReload(0); };
  EXPECT_TEXT("", t.Judged(Nothing, Nothing), "none");
  EXPECT_TEXT("", t.Judged([](Bench& b) { b.judge.OnStop(1); }, Nothing), "at another entry");
  EXPECT_TEXT("", t.Judged(ago(4000, Stop), Nothing), "after the grace time");
  EXPECT_TEXT(kLost, t.Judged(ago(2900, Configure), Nothing), "it may still be applied");
  EXPECT_TEXT("", t.Judged(ago(2901, Configure), Nothing), "long since applied");
  EXPECT_TEXT(kLost, t.Judged(ago(2000, reload), Nothing), "sent within the bound");
  EXPECT_TEXT("", t.Judged(ago(2001, reload), Nothing), "sent after the bound");
}

// Guards against blaming an entry for what an upstream did.
TEST(SoakJudge, ExcusesARequestThatItsUpstreamBreaksOff) {
  Unanswered t;
  EXPECT_TEXT("", t.Judged(Configure, [](Bench& b) { b.judge.OnHarmed("p1"); }), "it broke off");
  EXPECT_TEXT(kLost, t.Judged(Configure, [](Bench& b) { b.judge.OnHarmed("p2"); }), "another did");
}

// Guards against false reports of requests whose time was up.
TEST(SoakJudge, ExcusesARequestThatReachesItsTimeout) {
  EXPECT_TEXT("", (Unanswered{true, kLeastTimeoutMs}.Judged(Nothing, Configure)), "its timeout");
}

// Guards against false reports of streams that last longer than a stop, and against excusing those
// that had ended in time.
TEST(SoakJudge, ExcusesARequestAtWorkInTheLastPartOfTheGraceTime) {
  constexpr DurationMs kLastPartMs = kGraceMs * 5 / 6;
  const auto until = [](DurationMs done_ms) {
    return [done_ms](Bench& b) {
      if (done_ms > 0) b.judge.OnDone("r1", "p1", kStart + done_ms);
    };
  };
  Unanswered t{true, kLastPartMs};
  EXPECT_TEXT("", t.Judged(Stop, until(0)), "the upstream is at work");
  EXPECT_TEXT("", t.Judged(Stop, until(kLastPartMs)), "it was until now");
  EXPECT_TRUE(!t.Judged(Stop, until(kLastPartMs - 1)).empty(), "it had ended");
  EXPECT_TRUE(!(Unanswered{true, kLastPartMs - 1}.Judged(Stop, until(0))).empty(), "cut too early");
}

// Guards against excusing requests that a stopping entry took although it could not complete them.
TEST(SoakJudge, ReportsARequestThatIsTakenLateInAStopAndCut) {
  constexpr DurationMs kSentByMs = kGraceMs * 3 / 8;
  const auto sent_after = [](DurationMs ms) {
    return [ms](Bench& b) {
      b.judge.OnStop(0);
      b.now += ms;
    };
  };
  EXPECT_TEXT("", (Unanswered{true, kGraceMs - kSentByMs}.Judged(sent_after(kSentByMs), Nothing)),
              "sent in time");
  const DurationMs late = kSentByMs + 1;
  EXPECT_TRUE(!(Unanswered{true, kGraceMs - late}.Judged(sent_after(late), Nothing)).empty(),
              "sent late");
}

// Guards against false reports of what an unplanned fault ended, which may be over by then.
TEST(SoakJudge, ExcusesARequestBesideAnUnplannedFault) {
  const auto with = [](const Unanswered::Step& fault, DurationMs ago_ms, bool was_passed_on) {
    return Unanswered{was_passed_on, 300}.Judged(
        [&](Bench& b) {
          fault(b);
          b.now += ago_ms;
        },
        Configure);
  };
  const auto kill = [](Bench& b) { b.judge.OnEntryHarmed(0); };
  const auto cut = [](Bench& b) { b.judge.OnWayTroubled(0, "p1"); };
  const auto slow = [](Bench& b) { b.judge.OnUpstreamTroubled("p1"); };
  for (const auto& fault : std::vector<Unanswered::Step>{kill, cut, slow}) {
    EXPECT_TEXT("", with(fault, 3000, true), "passed on");
    EXPECT_TEXT("", with(fault, 3000, false), "not passed on");
    EXPECT_TRUE(!with(fault, 3001, true).empty(), "long over");
  }
  const auto busy = [](Bench& b) { b.judge.OnBusyMachine(); };
  EXPECT_TEXT("", with(busy, 0, true), "the machine is too busy to tell");
}

// Guards against excusing a request by a pause after which the entry read it and threw it away.
TEST(SoakJudge, ExcusesByAPauseOnlyARequestThatWasNotRead) {
  const auto pause = [](Bench& b) { b.judge.OnEntryPaused(0); };
  const auto judged = [&](bool was_passed_on, Judge::Ending ending) {
    return Unanswered{was_passed_on, 300, ending}.Judged(pause, Configure);
  };
  EXPECT_TEXT("", judged(false, Judge::Ending::kReset), "a reset tells that it was not read");
  EXPECT_TRUE(!judged(false, Judge::Ending::kClosed).empty(), "it was read");
  EXPECT_TRUE(!judged(true, Judge::Ending::kReset).empty(), "it was passed on");
}

// Guards against false reports of what an entry that is paused in its stop cannot finish.
TEST(SoakJudge, ExcusesARequestWhoseEntryIsPausedInItsStop) {
  const auto stop_and_pause = [](Bench& b) {
    b.judge.OnStop(0);
    b.now += 1;
    b.judge.OnEntryPaused(0);
  };
  EXPECT_TEXT("", (Unanswered{true, 300}.Judged(stop_and_pause, Nothing)), "it took grace time");
}

TEST_GROUP(SoakSilence) {
  boost::asio::io_context io;
  testing::ScriptedUpstream upstream{io, [](const auto&, const auto& peer) {
                                       peer->Write("one ");
                                       peer->Write("two");
                                       peer->Close();
                                     }};
};

// Guards against silences that let an answer or an end through, or lose one.
TEST(SoakSilence, HoldsAnswersAndEndsUntilItIsOver) {
  upstream.SetSilent(true);
  testing::TestCaller caller(io, upstream.endpoint());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(testing::RunUntil(io, [&] { return upstream.seen().size() == 1; }), "it arrives");
  EXPECT_TEXT("", caller.received(), "while it is silent");
  upstream.SetSilent(false);
  EXPECT_TRUE(caller.AwaitEnd(), "closed afterwards");
  EXPECT_TEXT("one two", caller.received(), "all of the answer");
}

TEST_GROUP(SoakNetwork) {
  boost::asio::io_context io;
  Network network;
  testing::ScriptedUpstream upstream{io, [](const auto&, const auto& peer) {
                                       peer->Write("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
                                     }};
  Proxy proxy{io,
              {"127.0.0.1", 0},
              [this] { return upstream.endpoint(); },
              Way{&network, "east", [](std::string_view bytes) {
                    return bytes.find("north") == std::string_view::npos ? "" : "north";
                  }}};

  // How long an answer takes; -1 if there is none within `limit_ms`.
  DurationMs Answer(testing::TestCaller & caller, const std::string& from, DurationMs limit_ms) {
    caller.Forget();
    const TimeMs sent_at = MonotonicMs();
    caller.Send("GET /" + from + " HTTP/1.1\r\n\r\n");
    while (MonotonicMs() - sent_at < limit_ms) {
      testing::RunFor(io, 5);
      if (caller.received().find("200 X") != std::string::npos) return MonotonicMs() - sent_at;
    }
    return -1;
  }
};

// Guards against regions without a delay between them.
TEST(SoakNetwork, DelaysWhatCrossesRegionsBothWays) {
  network.SetDelay(60);
  testing::TestCaller far(io, proxy.endpoint());
  const DurationMs took_ms = Answer(far, "north", 2000);
  EXPECT_TRUE(took_ms >= 120, std::to_string(took_ms));
  testing::TestCaller near(io, proxy.endpoint());
  const DurationMs near_ms = Answer(near, "east", 2000);
  EXPECT_TRUE(near_ms >= 0 && near_ms < 60, std::to_string(near_ms));
}

// Guards against partitions that let requests through, or never end.
TEST(SoakNetwork, PassesNothingBetweenRegionsThatArePartitioned) {
  testing::TestCaller caller(io, proxy.endpoint());
  EXPECT_TRUE(Answer(caller, "north", 2000) >= 0, "before");
  network.Partition("north", false);
  EXPECT_NUMBER(-1, Answer(caller, "north", 200), "the regions are cut");
  EXPECT_NUMBER(1, upstream.seen().size(), "nothing arrived");
  testing::TestCaller near(io, proxy.endpoint());
  EXPECT_TRUE(Answer(near, "east", 2000) >= 0, "within the region");
  EXPECT_TRUE(!network.IsCut("north", kStorePlace), "the store is not cut off");
  network.Partition("north", true);
  EXPECT_TRUE(network.IsCut("north", kStorePlace), "with the store");
  network.Heal();
  EXPECT_TRUE(testing::RunUntil(io, [&] { return upstream.seen().size() == 3; }), "it arrives");
}

// Guards against requests that reach an upstream after a partition although their sender had
// reset its connection, which no network would deliver.
TEST(SoakNetwork, DropsWhatASenderHasResetMeanwhile) {
  network.Partition("north", false);
  Proxy sender{io, {"127.0.0.1", 0}, [this] { return proxy.endpoint(); }};
  testing::TestCaller caller(io, sender.endpoint());
  EXPECT_NUMBER(-1, Answer(caller, "north", 100), "the regions are cut");
  sender.Reset();
  testing::RunFor(io, 50);
  network.Heal();
  testing::RunFor(io, 200);
  EXPECT_NUMBER(0, upstream.seen().size(), "nothing arrived");
}

}  // namespace junctionrail::soak

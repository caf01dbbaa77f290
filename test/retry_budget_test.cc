// Budget of retries: what an entry may spend, over windows, starts of processes, and the number of
// entries that share it.
#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/throttling.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::GatewayFixture;
using testing::MakeRoute;
using testing::MakeView;
using testing::SeenRequest;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr DurationMs kWindowMs = 1000;
// Before any window of these tests.
constexpr TimeMs kLongAgo = -10 * kWindowMs;

RetryBudget MakeBudget(double ratio, double fixed_attempts, int entries = 1) {
  RetryBudget budget({ratio, fixed_attempts, kWindowMs}, kLongAgo);
  budget.SetEntries(entries, kLongAgo);
  return budget;
}

void AddRequests(int n, TimeMs now, RetryBudget* budget) {
  for (int k = 0; k < n; ++k) budget->OnRequest("s", now, now);
}

// Takes all retries that the budget allows now, and returns their number. They arrive later.
int TakeAllUnanswered(TimeMs now, RetryBudget* budget) {
  int n = 0;
  while (budget->TryConsume("s", now)) ++n;
  return n;
}

// The same; each arrives at once.
int TakeAll(TimeMs now, RetryBudget* budget) {
  int n = 0;
  while (budget->TryConsume("s", now)) {
    budget->OnArrived("s", now, now);
    ++n;
  }
  return n;
}

}  // namespace

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, GrowsWithRequestsOfThisWindowAndTheLast) {
  RetryBudget budget = MakeBudget(0.5, 1);
  EXPECT_NUMBER(1, TakeAll(0, &budget), "the fixed allowance");
  AddRequests(8, 10, &budget);
  EXPECT_NUMBER(2, TakeAll(10, &budget), "a quarter of the requests, as this window's");
  EXPECT_NUMBER(0, TakeAll(900, &budget), "the retries are still in the window");
  EXPECT_NUMBER(1, TakeAll(1011, &budget), "both windows have expired");
  AddRequests(8, 2500, &budget);
  EXPECT_NUMBER(3, TakeAll(3499, &budget), "a quarter, as the last window's, and the fixed one");
}

TEST(RetryBudget, AppliesNewOptionsImmediately) {
  RetryBudget budget = MakeBudget(0, 1);
  EXPECT_NUMBER(1, TakeAll(100, &budget), "the first allowance");
  budget.SetOptions({0, 2, kWindowMs}, 100);
  EXPECT_NUMBER(1, TakeAll(100, &budget), "one of two is left");
}

TEST(RetryBudget, DividesFixedAllowanceAmongEntries) {
  RetryBudget budget = MakeBudget(0, 40, 20);
  EXPECT_NUMBER(2, TakeAll(0, &budget), "a twentieth of 40");
}

// Guards against an entry that takes the whole fixed allowance as no agent tells it of the others.
TEST(RetryBudget, HasNoFixedAllowanceWhileTheNumberOfEntriesIsUnknown) {
  RetryBudget budget = MakeBudget(0.5, 40, 0);
  EXPECT_NUMBER(0, TakeAll(0, &budget), "no request, and no known part of the allowance");
  AddRequests(8, 10, &budget);
  EXPECT_NUMBER(2, TakeAll(10, &budget), "a quarter of the requests");
}

// Guards against an entry that takes a part of the allowance before the others count it.
TEST(RetryBudget, HasNoFixedAllowanceInWindowsThatBeganBeforeTheNumberOfEntriesWasKnown) {
  RetryBudget budget = MakeBudget(0, 40, 0);
  budget.SetEntries(4, 500);
  EXPECT_NUMBER(0, TakeAll(1400, &budget), "the others divided by three until 500");
  EXPECT_NUMBER(10, TakeAll(1500, &budget), "a quarter of 40");
}

// Guards against entries that start again and again, each time with a part of a retry of their own.
TEST(RetryBudget, DoesNotRoundUpInWindowsThatBeganBeforeTheNumberOfEntriesWasKnown) {
  RetryBudget budget({0.5, 0, kWindowMs, 0.9}, 0);
  budget.SetEntries(4, 300);
  AddRequests(1, 500, &budget);
  EXPECT_NUMBER(0, TakeAll(900, &budget), "a quarter of a retry");
  AddRequests(1, 1200, &budget);
  EXPECT_NUMBER(1, TakeAll(1300, &budget), "a quarter, rounded up");
}

// Guards against a budget that begins anew with each start of an entry: the process before it may
// have spent the allowance of the window.
TEST(RetryBudget, HasNoFixedAllowanceInWindowsThatBeganBeforeItsStart) {
  RetryBudget budget({0.5, 10, kWindowMs}, 0);
  budget.SetEntries(1, 0);
  EXPECT_NUMBER(0, TakeAll(1, &budget), "at the start");
  AddRequests(8, 10, &budget);
  EXPECT_NUMBER(2, TakeAll(10, &budget), "a quarter of this process's requests");
  EXPECT_NUMBER(0, TakeAll(999, &budget), "the window before the start is not over");
  EXPECT_NUMBER(10, TakeAll(1005, &budget), "the fixed allowance, beside the retries of before");
}

// Guards against retries that are allowed by two groups of requests which no window holds together.
TEST(RetryBudget, DoesNotAddUpGroupsOfRequestsAcrossWindows) {
  RetryBudget budget = MakeBudget(0.5, 0);
  AddRequests(40, 0, &budget);
  AddRequests(40, 900, &budget);
  // The window that begins at 10 holds the second group, the one before it the first.
  EXPECT_NUMBER(20, TakeAll(990, &budget), "half of 40");
}

// Guards against an entry that stood still, and counts the requests that it then reads as requests
// of that moment.
TEST(RetryBudget, CountsARequestAtTheEarliestTimeOfItsSending) {
  RetryBudget early = MakeBudget(0.5, 0);
  RetryBudget late = MakeBudget(0.5, 0);
  for (int n = 0; n < 40; ++n) early.OnRequest("s", 600, 900);
  for (int n = 0; n < 40; ++n) late.OnRequest("s", 600, 900);
  EXPECT_NUMBER(10, TakeAll(1050, &early), "a quarter");
  EXPECT_NUMBER(0, TakeAll(1200, &late), "too late for requests from 600");
}

// Guards against a search that expects times in order, which the requests that resume a stream are
// not: they count once the stream's origin is known.
TEST(RetryBudget, CountsRequestsThatAreKnownLate) {
  RetryBudget budget = MakeBudget(0.5, 0);
  AddRequests(8, 1900, &budget);
  for (int n = 0; n < 40; ++n) budget.OnRequest("s", 100, 1950);
  EXPECT_NUMBER(2, TakeAll(2000, &budget), "a quarter of those in the last window");
}

TEST(RetryBudget, HasNoFixedAllowanceInAWindowLongerThanItsHistory) {
  RetryBudget budget = MakeBudget(0, 10);
  EXPECT_NUMBER(10, TakeAll(0, &budget), "the fixed allowance");
  budget.SetOptions({0, 10, 3 * kWindowMs}, 1500);
  EXPECT_NUMBER(0, TakeAll(1500, &budget), "what was spent before 500 is not known any more");
  EXPECT_NUMBER(10, TakeAll(3500, &budget), "the whole window is known");
}

// Guards against retries that wait for a model and count in the window in which they were chosen.
TEST(RetryBudget, CountsAPostponedRetryWhenItIsSent) {
  RetryBudget budget = MakeBudget(0, 2);
  EXPECT_NUMBER(2, TakeAllUnanswered(0, &budget), "the fixed allowance");
  budget.OnArrived("s", 0, 0);
  EXPECT_TRUE(budget.Postpone("s", 0, 1500), "the window of the choice is over");
  EXPECT_NUMBER(1, TakeAll(1600, &budget), "one of two is left in the window of the sending");
  EXPECT_TRUE(!budget.Postpone("s", 0, 1700), "the window of the sending is used up");
}

// Guards against retries that are read seconds after they were sent, as the upstream stood still,
// together with those that were sent then.
TEST(RetryBudget, CountsARetryUntilAWindowAfterItsArrival) {
  RetryBudget budget = MakeBudget(0, 4);
  EXPECT_NUMBER(4, TakeAllUnanswered(0, &budget), "the fixed allowance");
  EXPECT_NUMBER(0, TakeAllUnanswered(1500, &budget), "all four may still arrive");
  for (int n = 0; n < 4; ++n) budget.OnArrived("s", 0, 1600);
  EXPECT_NUMBER(0, TakeAllUnanswered(2599, &budget), "all four may have arrived at 1600");
  EXPECT_NUMBER(4, TakeAllUnanswered(2601, &budget), "the window of their arrival is over");
}

// Guards against retries that arrive in a window whose requests, and those of the window before it,
// are not those that allowed them.
TEST(RetryBudget, AllowsOnlyAsManyRetriesUnderWayAsALaterWindowDoes) {
  RetryBudget budget = MakeBudget(0.5, 0);
  AddRequests(40, 0, &budget);
  AddRequests(8, 700, &budget);
  EXPECT_NUMBER(2, TakeAllUnanswered(800, &budget), "a quarter of the second group");
  budget.OnArrived("s", 800, 850);
  EXPECT_NUMBER(1, TakeAllUnanswered(850, &budget), "one of the two is still under way");
}

// Guards against a large fleet in which no entry ever has a whole retry to spend.
TEST(RetryBudget, LetsEntriesWithAPartOfARetryUseThemTogether) {
  constexpr int kEntries = 400;
  constexpr double kFixed = 100;
  int retries = 0;
  for (int n = 0; n < kEntries; ++n) {
    const double rounding = static_cast<double>(n) / kEntries;
    RetryBudget budget({0, kFixed, kWindowMs, rounding}, kLongAgo);
    budget.SetEntries(kEntries, kLongAgo);
    retries += TakeAll(0, &budget);
  }
  EXPECT_NUMBER(100, retries, "the allowance of all entries");
}

TEST_GROUP(EntryCount){};

// Guards against an entry that takes the part of others as it is cut off from the agents that count
// them, or as these have just started.
TEST(EntryCount, HoldsAHigherCountForAMinute) {
  EntryCount count;
  EXPECT_NUMBER(0, count.value(), "unknown");
  count.Update(25, 1000);
  count.Update(3, 2000);
  EXPECT_NUMBER(25, count.value(), "the others may be running");
  count.Update(26, 3000);
  EXPECT_NUMBER(26, count.value(), "a higher count applies at once");
  count.Update(3, 62999);
  EXPECT_NUMBER(26, count.value(), "not yet a minute");
  count.Update(3, 63000);
  EXPECT_NUMBER(3, count.value(), "no agent has counted more for a minute");
}

// Guards against the count of an agent that has just started, and knows only the first entries that
// have linked to it.
TEST(EntryCount, IsTakenFromAgentsThatHaveHadTimeToMeetAllEntries) {
  UpstreamTable table{RoutingOptions()};
  table.ApplyListing({testing::MakeRecord("u1")}, 0);
  EngineView view = MakeView("u1");
  view.entries = 1;
  table.ApplyView(view, 1000);
  EXPECT_NUMBER(0, table.CountEntries(1000), "the agent has just started, or this entry has");
  table.ApplyView(view, 2200);
  EXPECT_NUMBER(0, table.CountEntries(3499), "the others may still be on their way");
  view.entries = 25;
  table.ApplyView(view, 3500);
  EXPECT_NUMBER(25, table.CountEntries(3500), "all have linked to it");
  table.ForgetView("u1");
  table.ApplyView(view, 4000);
  EXPECT_NUMBER(0, table.CountEntries(4000), "the agent may be another process");
}

TEST(EntryCount, KeepsTheLastCountWithoutAnAgent) {
  EntryCount count;
  count.Update(25, 1000);
  count.Update(0, 500000);
  EXPECT_NUMBER(25, count.value(), "no agent tells otherwise");
}

TEST_GROUP(RestartedEntries){};

namespace {

// Requests served by one process, and the attempts that they led to.
struct Load {
  int requests = 0;
  int attempts = 0;
};

constexpr char kFailure[] =
    "HTTP/1.1 500 Failed\r\nJunctionrail-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
constexpr char kRejection[] =
    "HTTP/1.1 503 Full\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

// Starts a gateway in front of upstreams that answer all requests so, in a fleet of eight entries.
void RunProcess(int requests, RetryBudget::Options retries, const char* answer, Load* load) {
  constexpr int kUpstreams = 6;
  GatewayFixture fixture({}, retries);
  const auto respond = [load, answer](const SeenRequest&, const Peer& peer) {
    ++load->attempts;
    peer->Write(answer);
  };
  for (int n = 0; n < kUpstreams; ++n)
    fixture.AddUpstream("u" + std::to_string(n), "plain", respond);
  fixture.Configure({MakeRoute("/a/", RequestKind::kIdempotent, "plain")});
  EngineView view = MakeView("u1");
  view.entries = 8;
  fixture.gateway->ApplyView(view);
  testing::RunFor(fixture.io, 300);  // The count of entries is applied.
  for (int n = 0; n < requests; ++n) {
    ++load->requests;
    fixture.Fetch(testing::MakeRequest("GET /a/"));
  }
}

// Judges three processes of an entry, one after the other.
void CheckThreeProcesses(const char* answer) {
  constexpr double kRatio = 0.2;
  constexpr double kFixed = 32;
  Load load;
  for (int start = 0; start < 3; ++start) RunProcess(5, {kRatio, kFixed, 60000}, answer, &load);
  const double allowed = kRatio * load.requests + kFixed / 8;
  const int retries = load.attempts - load.requests;
  EXPECT_TRUE(retries <= allowed, "expected at most " + std::to_string(allowed) + " retries, got " +
                                      std::to_string(retries));
}

}  // namespace

// Guards against retries that add up over the processes of one entry.
TEST(RestartedEntries, SpendTheBudgetOfOneEntry) { CheckThreeProcesses(kFailure); }

// The same, where each request leads to several retries at once, as its upstreams reject it.
TEST(RestartedEntries, SpendTheBudgetOfOneEntryOnRejections) { CheckThreeProcesses(kRejection); }

}  // namespace junctionrail

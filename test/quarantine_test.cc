// Unit tests that identify requests that crash upstreams among those that merely ran there, without
// sockets and in simulated time.
#include "junctionrail/quarantine.h"

#include "check.h"

namespace junctionrail {
namespace {

constexpr TimeMs kStart = 1000000;

RequestDigest DigestFor(const std::string& body) {
  return DigestOf({"POST", "shop.example", "/s/x", "", body});
}

Suspect WithoutEvent(const std::string& body) { return {DigestFor(body), false, false}; }
Suspect WithEvent(const std::string& body) { return {DigestFor(body), true, false}; }
Suspect Isolated(const std::string& body) { return {DigestFor(body), false, true}; }

std::string Name(QuarantineStatus status) {
  switch (status) {
    case QuarantineStatus::kClear:
      return "clear";
    case QuarantineStatus::kSuspect:
      return "suspect";
    case QuarantineStatus::kRefused:
      return "refused";
  }
  return "";
}

struct TestTable {
  // Adds a crash of `instance` that happened `age_ms` ago, while `suspects` were running.
  bool Add(const std::string& instance, std::vector<Suspect> suspects, DurationMs age_ms = 0) {
    return table.Add({instance, age_ms, std::move(suspects)}, now);
  }
  // Waits until all entries have reported the last crash.
  void AwaitReports() {
    now += QuarantineLimits().report_window_ms;
    table.Expire(now);
  }
  std::string StatusOf(const std::string& body) const {
    return Name(table.StatusOf(DigestFor(body), now));
  }

  QuarantineTable table;
  TimeMs now = kStart;
};

}  // namespace

TEST_GROUP(RequestDigests){};

TEST(RequestDigests, AreEqualOnlyForEqualMethodHostTargetCredentialAndBody) {
  const RequestIdentity identity{"POST", "h", "/a?b", "Bearer x", "body"};
  const RequestDigest digest = DigestOf(identity);
  EXPECT_TEXT(digest.ToString(), DigestOf(identity).ToString(), "equal request");
  for (int part = 0; part < 5; ++part) {
    RequestIdentity other = identity;
    std::string_view* const parts[] = {&other.method, &other.host, &other.target, &other.credential,
                                       &other.body};
    *parts[part] = "other";
    EXPECT_TRUE(!(DigestOf(other) == digest),
                "request with a different part " + std::to_string(part));
  }
  EXPECT_TRUE(!(DigestOf({"PO", "STh", "/a?b", "Bearer x", "body"}) == digest),
              "same bytes with different boundaries");
}

TEST(RequestDigests, ParseOnlyTheirTextForm) {
  const RequestDigest digest = DigestFor("x");
  const auto read = RequestDigest::Parse(digest.ToString());
  EXPECT_TRUE(read && *read == digest, "32 digits");
  EXPECT_TRUE(!RequestDigest::Parse("12"), "too short");
  EXPECT_TRUE(!RequestDigest::Parse(std::string(32, 'g')), "not hexadecimal");
}

TEST_GROUP(Suspicion){};

TEST(Suspicion, AppliesToRequestsWithoutAnEvent) {
  TestTable it;
  EXPECT_TRUE(it.Add("i-1", {WithoutEvent("a"), WithoutEvent("b"), WithEvent("c")}),
              "the first report is new");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "no part of its response had arrived");
  EXPECT_TEXT("clear", it.StatusOf("c"), "a part of its response had arrived");
  EXPECT_TEXT("clear", it.StatusOf("d"), "it did not run there");
}

TEST(Suspicion, BecomesARefusalAfterASecondCrashInIsolation) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a"), WithoutEvent("b")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly"), WithoutEvent("c")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "at two crashes, isolated at the second");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "at one crash");
  EXPECT_TEXT("suspect", it.StatusOf("c"), "at one crash");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "other entries may still report a suspect");
  it.AwaitReports();
  EXPECT_NUMBER(1, it.table.TakeNewRefusals().size(), "new refusals");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "the refusal is returned once");
}

TEST(Suspicion, RemainsIfTwoIsolatedSuspectsWereAtTheSecondCrash) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "one entry reported an isolated suspect");
  TestTable shared;
  shared.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  shared.now += 60;
  shared.Add("i-2", {Isolated("deadly"), Isolated("a")});
  EXPECT_TEXT("suspect", shared.StatusOf("deadly"),
              "two entries reported one isolated suspect each");
  shared.now += 60;
  shared.Add("i-3", {Isolated("deadly")});
  EXPECT_TEXT("refused", shared.StatusOf("deadly"), "a third crash identifies it");
  EXPECT_TEXT("suspect", shared.StatusOf("a"), "the other one is still sent in isolation");
}

// Guards against the refusal of a request that was interrupted twice by the same other one, which
// was not isolated as its responses had begun.
TEST(Suspicion, RemainsIfAnotherRequestWasAtBothCrashes) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("a"), WithEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("a"), WithEvent("deadly")});
  EXPECT_TEXT("suspect", it.StatusOf("a"), "the other one explains both crashes as well");
  it.AwaitReports();
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "no lasting refusal");
  it.Add("i-3", {WithEvent("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "a third crash identifies it");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "the other one is still sent in isolation");
}

// Guards against the refusal of a stream that another request interrupted three times, since its
// caller resumed it as often as the other caller.
TEST(Suspicion, RemainsIfAnotherRequestWasAtThreeCrashesAndIsolatedMoreOften) {
  TestTable it;
  it.Add("i-1", {WithEvent("a"), WithEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {WithEvent("a"), Isolated("deadly")});
  it.AwaitReports();
  it.Add("i-3", {Isolated("a")});
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "other entries may still report a suspect");
  EXPECT_TRUE(it.table.AwaitsReports(DigestFor("a"), it.now), "refused provisionally");
  it.now += 5;
  it.Add("i-3", {Isolated("deadly")}, 5);
  EXPECT_TRUE(!it.table.AwaitsReports(DigestFor("a"), it.now), "no longer");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "isolated once at the three crashes");
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "isolated twice");
  it.AwaitReports();
  const auto refusals = it.table.TakeNewRefusals();
  EXPECT_TRUE(refusals.size() == 1 && refusals.front() == DigestFor("deadly"), "only the cause");
}

// Guards against the refusal of a request beside the cause at both crashes, if the report that the
// cause was at the second one is late.
TEST(Suspicion, RemainsIfAnotherRequestWasIsolatedAtTheFirstCrash) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("a"), Isolated("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("a")});
  EXPECT_TEXT("suspect", it.StatusOf("a"), "the first crash says little about it");
  it.AwaitReports();
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "no lasting refusal");
  it.Add("i-3", {Isolated("a")});
  EXPECT_TEXT("refused", it.StatusOf("a"), "a third crash identifies it");
}

TEST(Suspicion, IsNotProvenBeforeOtherEntriesHaveReported) {
  // Found by the property tests: an entry refused its own suspect permanently although another
  // entry had a suspect on the same upstream.
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.now += 60;
  it.Add("i-2", {Isolated("a")});
  EXPECT_TEXT("refused", it.StatusOf("a"), "refused provisionally");
  it.now += 5;
  it.Add("i-2", {Isolated("deadly")}, 5);
  EXPECT_TEXT("suspect", it.StatusOf("a"), "two isolated suspects");
  it.now += 200;
  it.table.Expire(it.now);
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "no lasting refusal");
}

TEST(Suspicion, AccumulatesCrashesThatDifferentEntriesReport) {
  TestTable it;
  for (int n = 0; n < 3; ++n) {
    it.Add("i-" + std::to_string(n), {WithEvent("deadly"), WithoutEvent("x" + std::to_string(n))});
    it.now += 40;
  }
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "three crashes, regardless of other requests");
}

TEST(Suspicion, CountsSimultaneousCrashesOnce) {
  // The loss of a data hall or rack takes down many upstreams, several of which may be running the
  // same request if its caller sends it often.
  TestTable it;
  for (int n = 0; n < 4; ++n) it.Add("i-" + std::to_string(n), {WithoutEvent("often")});
  EXPECT_TEXT("suspect", it.StatusOf("often"), "one common cause");
}

TEST(Suspicion, RecognizesAnIsolatedSuspectAmongSimultaneousCrashes) {
  // The caller sends it to three entries at once, twice. Each entry forwards it in isolation.
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.Add("i-2", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-3", {Isolated("deadly"), Isolated("b")});
  it.Add("i-4", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "the only isolated suspect at one of them");
}

TEST(Suspicion, IsClearedWhenTheRequestRunsWithoutACrash) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("a"), WithoutEvent("deadly")});
  it.now += 60;
  it.table.Clear(DigestFor("a"), it.now);
  EXPECT_TEXT("clear", it.StatusOf("a"), "it ran without a crash");
  EXPECT_TRUE(!it.Add("i-1", {WithoutEvent("a")}, 60),
              "a late report of the same crash is not new");
  EXPECT_TEXT("clear", it.StatusOf("a"), "a late report of the same crash has no effect");
  it.now += 60;
  it.Add("i-2", {WithoutEvent("a")});
  EXPECT_TEXT("suspect", it.StatusOf("a"), "a later crash counts");
}

TEST(Suspicion, IsNotProvenByAnUnconfirmedCrash) {
  TestTable it;
  it.table.AddPending({"i-1", 0, {WithoutEvent("a")}}, it.now);
  EXPECT_TEXT("suspect", it.StatusOf("a"), "isolated until the crash is confirmed");
  it.now += 60;
  it.Add("i-2", {Isolated("a")});
  EXPECT_TEXT("refused", it.StatusOf("a"), "refused provisionally");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "only one crash is confirmed");
  it.table.Withdraw("i-1");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "one crash remains");
  it.table.Withdraw("i-2");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "a confirmed crash cannot be withdrawn");
}

TEST(Suspicion, CountsAConfirmedCrashFromTheTimeOfTheCrash) {
  TestTable it;
  it.table.AddPending({"i-1", 0, {WithoutEvent("deadly")}}, it.now);
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  it.now += 5;
  EXPECT_TRUE(it.Add("i-1", {}, 65), "the confirmation is new");
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "two crashes, isolated at the second");
}

TEST(Suspicion, CountsCrashesOfARestartWhoseRecordHasNotBeenRead) {
  // Observed under many crashing requests: engines that had restarted, but were still listed with
  // their previous records, crashed five more times without being counted by any entry.
  TestTable it;
  const auto name = [&] { return it.table.CrashName("i-1", it.now); };
  EXPECT_TEXT("i-1", name(), "no crash yet");
  it.Add("i-1", {WithoutEvent("deadly")});
  EXPECT_TEXT("i-1", name(), "an attempt that started before or at the crash");
  it.now += 60;
  EXPECT_TEXT("i-1+1", name(), "a later attempt ran after the restart");
  EXPECT_TEXT("i-1", QuarantineTable::InstanceOfCrash(name()), "instance of the crash");
  it.Add(name(), {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "two crashes");
  it.now += 60;
  EXPECT_TEXT("i-1+2", name(), "the next restart");
}

TEST(Suspicion, ExpiresAndSoDoesARefusal) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly"), WithoutEvent("a")});
  it.AwaitReports();
  it.now += 61000;
  it.table.Expire(it.now);
  EXPECT_TEXT("clear", it.StatusOf("a"), "suspicion expires after a minute");
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "a refusal lasts ten minutes");
  it.now += 600000;
  it.table.Expire(it.now);
  EXPECT_TEXT("clear", it.StatusOf("deadly"), "the refusal has expired");
  EXPECT_TRUE(it.table.IsEmpty(), "no data remains");
}

TEST(Suspicion, IsBoundedAndAFloodOfSuspectsEvictsNoRefusal) {
  QuarantineLimits limits;
  limits.max_crashes = 8;
  limits.max_suspects = 4;
  QuarantineTable table(limits);
  TimeMs now = kStart;
  table.Add({"i-1", 0, {WithoutEvent("deadly")}}, now);
  table.Add({"i-2", 0, {Isolated("deadly")}}, now + 60);
  table.Expire(now + 60 + limits.report_window_ms);
  for (int n = 0; n < 100; ++n) {
    now += 60;
    std::vector<Suspect> suspects;
    for (int k = 0; k < 10; ++k) suspects.push_back(WithoutEvent(std::to_string(n * 10 + k)));
    table.Add({"j-" + std::to_string(n), 0, std::move(suspects)}, now);
  }
  EXPECT_TRUE(table.suspect_count() <= 32,
              "expected at most 32, got " + std::to_string(table.suspect_count()));
  EXPECT_TEXT("refused", Name(table.StatusOf(DigestFor("deadly"), now)), "the refusal is kept");
}

TEST(Suspicion, CoversAllRequestsThatAnUpstreamRanAndQueued) {
  TestTable it;
  std::vector<Suspect> others;
  for (int n = 0; n < 95; ++n) others.push_back(WithoutEvent(std::to_string(n)));
  it.Add("i-1", others);
  it.Add("i-1", {WithoutEvent("deadly")});
  EXPECT_TEXT("suspect", it.StatusOf("deadly"), "the last of 64 running and 32 queued requests");
}

TEST(Suspicion, AllowsOneIsolatedAttemptAfterARelease) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  it.AwaitReports();
  EXPECT_TRUE(it.table.Release(DigestFor("deadly"), it.now), "the request was refused");
  EXPECT_TRUE(!it.table.Release(DigestFor("a"), it.now), "the request was not refused");
  EXPECT_TEXT("suspect", it.StatusOf("deadly"), "sent in isolation");
  it.now += 60;
  it.Add("i-3", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "refused after one more crash");
}

TEST_GROUP(CrashMessages){};

TEST(CrashMessages, RoundTrip) {
  const UpstreamCrash crash{"i-1", 7, {WithoutEvent("a"), WithEvent("b"), Isolated("c")}};
  const std::string bytes = EncodeCrash(crash);
  UpstreamCrash read;
  EXPECT_TRUE(IsCrashMessage(bytes) && DecodeCrash(bytes, &read), "encoded crash");
  EXPECT_TEXT("i-1", read.instance, "instance");
  EXPECT_NUMBER(7, read.age_ms, "age");
  EXPECT_TRUE(read.suspects.size() == 3 && read.suspects[1].has_sent_event &&
                  read.suspects[2].was_isolated && read.suspects[0].digest == DigestFor("a"),
              "suspects");
  UpstreamCrash stored;
  EXPECT_TRUE(CrashFromText(CrashToText(crash), &stored) && stored.suspects.size() == 3,
              "stored crash");
}

TEST(CrashMessages, RejectMalformedInput) {
  UpstreamCrash crash;
  EXPECT_TRUE(!IsCrashMessage("") && !IsCrashMessage("\xa1\x61i"), "other messages");
  EXPECT_TRUE(!DecodeCrash("\xa1\x63"
                           "end",
                           &crash),
              "truncated");
  for (const char* it : {"", "7", "[]", "{}", R"({"i":"x"})", R"({"i":7,"s":[]})",
                         R"({"i":"x","s":[["zz",false,false]]})", R"({"i":"x","s":[[1]]})",
                         R"({"i":"","s":[]})", R"({"i":"x","s":{"a":1}})", "\xff\xfe"}) {
    EXPECT_TRUE(!CrashFromText(it, &crash), it);
  }
}

}  // namespace junctionrail

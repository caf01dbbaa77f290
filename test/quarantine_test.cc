// Which request ends upstreams, told from those that were only there: without sockets, in
// model time.
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

std::string Name(QuarantineStatus standing) {
  switch (standing) {
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
  // Upstream `instance` ended `age_ms` ago, with these under way.
  bool Add(const std::string& instance, std::vector<Suspect> suspects, DurationMs age_ms = 0) {
    return table.Add({instance, age_ms, std::move(suspects)}, now);
  }
  // All entries have told of the last end.
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

TEST(RequestDigests, AreAlikeOnlyForTheSameMethodHostTargetCredentialAndBody) {
  const RequestIdentity identity{"POST", "h", "/a?b", "Bearer x", "body"};
  const RequestDigest digest = DigestOf(identity);
  EXPECT_TEXT(digest.ToString(), DigestOf(identity).ToString(), "the same request again");
  for (int part = 0; part < 5; ++part) {
    RequestIdentity other = identity;
    std::string_view* const parts[] = {&other.method, &other.host, &other.target, &other.credential,
                                       &other.body};
    *parts[part] = "other";
    EXPECT_TRUE(!(DigestOf(other) == digest), "another one, part " + std::to_string(part));
  }
  EXPECT_TRUE(!(DigestOf({"PO", "STh", "/a?b", "Bearer x", "body"}) == digest),
              "the same bytes divided otherwise");
}

TEST(RequestDigests, AreReadBackFromTheirDigitsAndFromNothingElse) {
  const RequestDigest digest = DigestFor("x");
  const auto read = RequestDigest::Parse(digest.ToString());
  EXPECT_TRUE(read && *read == digest, "32 digits");
  EXPECT_TRUE(!RequestDigest::Parse("12"), "too short");
  EXPECT_TRUE(!RequestDigest::Parse(std::string(32, 'g')), "not hexadecimal");
}

TEST_GROUP(Suspicion){};

TEST(Suspicion, FallsOnWhatHadJustBegunAndIsNoGuilt) {
  TestTable it;
  EXPECT_TRUE(it.Add("i-1", {WithoutEvent("a"), WithoutEvent("b"), WithEvent("c")}),
              "the first end is news");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "no part of its answer had come");
  EXPECT_TEXT("clear", it.StatusOf("c"), "a part of its answer had come");
  EXPECT_TEXT("clear", it.StatusOf("d"), "it was not there");
}

TEST(Suspicion, BecomesARefusalWithTheSecondEndOfOneThatWasSentAlone) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a"), WithoutEvent("b")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly"), WithoutEvent("c")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "it was there twice, the second time alone");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "it was there once");
  EXPECT_TEXT("suspect", it.StatusOf("c"), "it was there once");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "others may yet tell of a suspect there");
  it.AwaitReports();
  EXPECT_NUMBER(1, it.table.TakeNewRefusals().size(), "one refusal is told");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "once");
}

TEST(Suspicion, StaysSuspicionWhereTwoSuspectsSharedTheSecondEnd) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "as far as one entry knows");
  TestTable shared;
  shared.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  shared.now += 60;
  shared.Add("i-2", {Isolated("deadly"), Isolated("a")});
  EXPECT_TEXT("suspect", shared.StatusOf("deadly"), "two entries had each sent one there");
  shared.now += 60;
  shared.Add("i-3", {Isolated("deadly")});
  EXPECT_TEXT("refused", shared.StatusOf("deadly"), "a third end tells them apart");
  EXPECT_TEXT("suspect", shared.StatusOf("a"), "the innocent one is still sent, alone");
}

TEST(Suspicion, IsNotProvenBeforeOtherEntriesHaveToldWhoElseWasThere) {
  // Found by the random runs: an entry refused its own suspect for good, which had been
  // beside another entry's.
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.now += 60;
  it.Add("i-2", {Isolated("a")});
  EXPECT_TEXT("refused", it.StatusOf("a"), "no attempt is made for now");
  it.now += 5;
  it.Add("i-2", {Isolated("deadly")}, 5);
  EXPECT_TEXT("suspect", it.StatusOf("a"), "two were there");
  it.now += 200;
  it.table.Expire(it.now);
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "neither is refused for good");
}

TEST(Suspicion, AddsUpOverThreeEntriesThatEachSawOneEnd) {
  TestTable it;
  for (int n = 0; n < 3; ++n) {
    it.Add("i-" + std::to_string(n), {WithEvent("deadly"), WithoutEvent("x" + std::to_string(n))});
    it.now += 40;
  }
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "three ends, whoever else was there");
}

TEST(Suspicion, CountsUpstreamsThatEndAtTheSameMomentOnce) {
  // A hall or a rack that is lost ends many upstreams, with the same request at several of
  // them if its caller sends it often.
  TestTable it;
  for (int n = 0; n < 4; ++n) it.Add("i-" + std::to_string(n), {WithoutEvent("often")});
  EXPECT_TEXT("suspect", it.StatusOf("often"), "one cause");
}

TEST(Suspicion, SeesOneThatWasAloneAmongUpstreamsThatEndAtTheSameMoment) {
  // Its caller comes to three entries at once, and again: each entry sends it on alone.
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly"), WithoutEvent("a")});
  it.Add("i-2", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-3", {Isolated("deadly"), Isolated("b")});
  it.Add("i-4", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "alone at one of them");
}

TEST(Suspicion, IsTakenBackFromARequestThatRunsWithoutHarm) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("a"), WithoutEvent("deadly")});
  it.now += 60;
  it.table.Clear(DigestFor("a"), it.now);
  EXPECT_TEXT("clear", it.StatusOf("a"), "it ran and ended nothing");
  EXPECT_TRUE(!it.Add("i-1", {WithoutEvent("a")}, 60),
              "what another process says late of it is no news");
  EXPECT_TEXT("clear", it.StatusOf("a"), "and changes nothing");
  it.now += 60;
  it.Add("i-2", {WithoutEvent("a")});
  EXPECT_TEXT("suspect", it.StatusOf("a"), "a later end counts");
}

TEST(Suspicion, OfAnEndThatIsNotSureProvesNothing) {
  TestTable it;
  it.table.AddPending({"i-1", 0, {WithoutEvent("a")}}, it.now);
  EXPECT_TEXT("suspect", it.StatusOf("a"), "it is sent alone meanwhile");
  it.now += 60;
  it.Add("i-2", {Isolated("a")});
  EXPECT_TEXT("refused", it.StatusOf("a"), "no attempt is made until it is sure");
  EXPECT_NUMBER(0, it.table.TakeNewRefusals().size(), "but only one end is sure");
  it.table.Withdraw("i-1");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "one end is left");
  it.table.Withdraw("i-2");
  EXPECT_TEXT("suspect", it.StatusOf("a"), "what is sure is not withdrawn");
}

TEST(Suspicion, OfAnEndThatTurnsOutToBeSureCountsFromWhenItHappened) {
  TestTable it;
  it.table.AddPending({"i-1", 0, {WithoutEvent("deadly")}}, it.now);
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  it.now += 5;
  EXPECT_TRUE(it.Add("i-1", {}, 65), "it is news that it was an end");
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "two ends, alone at the second");
}

TEST(Suspicion, CountsTheEndsOfAnUpstreamThatStartsAgainBeforeItsRecordIsRead) {
  // Seen in a storm of such requests: engines that started again under records of before ended
  // five times more, and no entry counted it.
  TestTable it;
  const auto name = [&] { return it.table.CrashName("i-1", it.now); };
  EXPECT_TEXT("i-1", name(), "it has not ended yet");
  it.Add("i-1", {WithoutEvent("deadly")});
  EXPECT_TEXT("i-1", name(), "an attempt of before, or of that moment");
  it.now += 60;
  EXPECT_TEXT("i-1+1", name(), "what was sent there later met its next start");
  EXPECT_TEXT("i-1", QuarantineTable::InstanceOfCrash(name()), "at the same instance");
  it.Add(name(), {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "two ends");
  it.now += 60;
  EXPECT_TEXT("i-1+2", name(), "and so on");
}

TEST(Suspicion, FadesAndARefusalEndsToo) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly"), WithoutEvent("a")});
  it.AwaitReports();
  it.now += 61000;
  it.table.Expire(it.now);
  EXPECT_TEXT("clear", it.StatusOf("a"), "after a minute");
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "for ten");
  it.now += 600000;
  it.table.Expire(it.now);
  EXPECT_TEXT("clear", it.StatusOf("deadly"), "then it is tried again");
  EXPECT_TRUE(it.table.IsEmpty(), "and nothing is left of it");
}

TEST(Suspicion, IsBoundedAndAFloodOfRequestsPushesOutNoRefusal) {
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
  EXPECT_TRUE(table.suspect_count() <= 32, "got " + std::to_string(table.suspect_count()));
  EXPECT_TEXT("refused", Name(table.StatusOf(DigestFor("deadly"), now)), "the refusal stays");
}

TEST(Suspicion, FallsOnAllThatAnUpstreamRanAndQueuedWhoeverTellsOfItLast) {
  TestTable it;
  std::vector<Suspect> others;
  for (int n = 0; n < 95; ++n) others.push_back(WithoutEvent(std::to_string(n)));
  it.Add("i-1", others);
  it.Add("i-1", {WithoutEvent("deadly")});
  EXPECT_TEXT("suspect", it.StatusOf("deadly"), "64 places, and half as many wait");
}

TEST(Suspicion, LetsAReleasedRequestBeTriedOnceMoreAlone) {
  TestTable it;
  it.Add("i-1", {WithoutEvent("deadly")});
  it.now += 60;
  it.Add("i-2", {Isolated("deadly")});
  it.AwaitReports();
  EXPECT_TRUE(it.table.Release(DigestFor("deadly"), it.now), "it was refused");
  EXPECT_TRUE(!it.table.Release(DigestFor("a"), it.now), "this one was not");
  EXPECT_TEXT("suspect", it.StatusOf("deadly"), "it is sent alone");
  it.now += 60;
  it.Add("i-3", {Isolated("deadly")});
  EXPECT_TEXT("refused", it.StatusOf("deadly"), "one end more is enough");
}

TEST_GROUP(EndMessages){};

TEST(EndMessages, SayTheSameAfterTheWay) {
  const UpstreamCrash crash{"i-1", 7, {WithoutEvent("a"), WithEvent("b"), Isolated("c")}};
  const std::string bytes = EncodeCrash(crash);
  UpstreamCrash read;
  EXPECT_TRUE(IsCrashMessage(bytes) && DecodeCrash(bytes, &read), "it is one");
  EXPECT_TEXT("i-1", read.instance, "the upstream");
  EXPECT_NUMBER(7, read.age_ms, "how long ago");
  EXPECT_TRUE(read.suspects.size() == 3 && read.suspects[1].has_sent_event &&
                  read.suspects[2].was_isolated && read.suspects[0].digest == DigestFor("a"),
              "the suspects");
  UpstreamCrash stored;
  EXPECT_TRUE(CrashFromText(CrashToText(crash), &stored) && stored.suspects.size() == 3,
              "in the store");
}

TEST(EndMessages, OfAnotherShapeAreNotTaken) {
  UpstreamCrash crash;
  EXPECT_TRUE(!IsCrashMessage("") && !IsCrashMessage("\xa1\x61i"), "another message");
  EXPECT_TRUE(!DecodeCrash("\xa1\x63"
                           "end",
                           &crash),
              "cut short");
  for (const char* it : {"", "7", "[]", "{}", R"({"i":"x"})", R"({"i":7,"s":[]})",
                         R"({"i":"x","s":[["zz",false,false]]})", R"({"i":"x","s":[[1]]})",
                         R"({"i":"","s":[]})", R"({"i":"x","s":{"a":1}})", "\xff\xfe"}) {
    EXPECT_TRUE(!CrashFromText(it, &crash), it);
  }
}

}  // namespace junctionrail

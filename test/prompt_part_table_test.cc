// Which prompt parts are found to crash upstreams, in model time.
#include <algorithm>

#include "check.h"
#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

constexpr TimeMs kStart = 100000;
// All reports of a crash have arrived.
constexpr DurationMs kReportedMs = 60;
// Those over slow paths, too.
constexpr DurationMs kLateReportsMs = 500;

std::vector<RequestDigest> Parts(const std::string& ids) {
  return DigestsOfSharedParts(ids + ",own:1");
}

struct Table {
  // A crash of a new upstream under requests with these parts and another one that is sound; the
  // first one was sent alone if `is_first_isolated`.
  void Crash(const std::vector<std::string>& requests, bool is_first_isolated = false) {
    UpstreamCrash crash;
    crash.instance = "i-" + std::to_string(++crashes);
    for (const auto& it : requests) {
      const auto digest = DigestOf({"", "", "", "", std::to_string(++sent)});
      crash.suspects.push_back({digest, false, is_first_isolated && crash.suspects.empty(),
                                table.WithoutSound(Parts(it), now), true});
    }
    table.Add(crash, now);
    now += kReportedMs;
  }

  // The parts found, as ids of those in `ids`.
  std::string Found(const std::vector<std::string>& ids) {
    std::string found;
    for (const auto& finding : table.Judge(now)) {
      for (const auto& it : ids) {
        if (finding.part == Parts(it).front()) found += (found.empty() ? "" : " ") + it;
      }
    }
    return found;
  }

  bool IsSuspected(const std::string& ids) const {
    return !table.Suspected(Parts(ids), now).empty();
  }

  PromptPartTable table;
  TimeMs now = kStart;
  int crashes = 0;
  int sent = 0;
};

const std::vector<std::string> kIds = {"f", "k", "q", "z1", "z2", "z3"};

}  // namespace

TEST_GROUP(PromptPartTable){};

TEST(PromptPartTable, ReadsAllPartsButTheLast) {
  EXPECT_NUMBER(2, DigestsOfSharedParts("a:1,b:2,c:3").size(), "the last one is left out");
  EXPECT_NUMBER(1, DigestsOfSharedParts("a:1, a:2,c:3").size(), "by id, each once");
  EXPECT_NUMBER(0, DigestsOfSharedParts("a:1").size(), "only its own");
  EXPECT_NUMBER(0, DigestsOfSharedParts("").size(), "none");
  EXPECT_NUMBER(0, DigestsOfSharedParts(",:,").size(), "without ids");
  std::string many;
  for (int n = 0; n < 100; ++n) many += "p" + std::to_string(n) + ":1,";
  EXPECT_NUMBER(kMaxPromptParts, DigestsOfSharedParts(many).size(), "bounded");
}

TEST(PromptPartTable, FindsThePartOfRequestsThatCrashUpstreamsAlone) {
  Table table;
  table.table.AddSound(Parts("f:1,q:1"), table.now);
  table.Crash({"f:1,k:1", "f:1,q:1"});
  EXPECT_TEXT("", table.Found(kIds), "one crash may have any cause");
  EXPECT_TRUE(table.IsSuspected("f:1,k:1") && !table.IsSuspected("f:1,q:1"), "k alone");
  table.Crash({"k:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "so may two");
  table.Crash({"k:1", "f:1,q:1"}, true);
  EXPECT_TEXT("k", table.Found(kIds), "at three crashes, two of them under requests sent alone");
}

// Guards against the refusal of a part as one request that has it crashes upstreams.
TEST(PromptPartTable, DoesNotFindAPartOfOneRequestThatIsRepeated) {
  Table table;
  for (int n = 0; n < 6; ++n) {
    table.sent = 0;
    table.Crash({"k:1"}, true);
  }
  EXPECT_TEXT("", table.Found(kIds), "the request explains it");
  table.sent = 7;
  table.Crash({"k:1"}, true);
  table.Crash({"k:1"}, true);
  EXPECT_TEXT("k", table.Found(kIds), "two other requests, too");
}

// Guards against the refusal of a sound part that is also in a request which crashes upstreams, as
// other requests with it were there.
TEST(PromptPartTable, DoesNotFindAPartIfTwoRequestsExplainItsCrashes) {
  Table table;
  table.Crash({"q:1"});
  const auto repeated = DigestOf({"", "", "", "", "repeated"});
  for (const char* other : {"a", "b"}) {
    UpstreamCrash crash;
    crash.instance = std::string("i-") + other;
    crash.suspects.push_back({repeated, false, true, Parts("q:1"), true});
    crash.suspects.push_back({DigestOf({"", "", "", "", other}), false, true, Parts("q:1"), true});
    table.table.Add(crash, table.now);
    table.now += kReportedMs;
  }
  EXPECT_TEXT("", table.Found(kIds), "the repeated request and the one at the first crash");
  table.Crash({"q:1"}, true);
  EXPECT_TEXT("q", table.Found(kIds), "a third request, too");
}

// Guards against the refusal of a part that all requests share, before any was answered.
TEST(PromptPartTable, DoesNotFindAPartOfRequestsOfWhichNoneIsSound) {
  Table table;
  for (int n = 0; n < 6; ++n) {
    UpstreamCrash crash;
    crash.instance = "i-" + std::to_string(n);
    const auto digest = DigestOf({"", "", "", "", std::to_string(n)});
    crash.suspects.push_back(
        {digest, false, true, Parts("f:1,z" + std::to_string(n) + ":1"), false});
    table.table.Add(crash, table.now);
    table.now += kReportedMs;
  }
  EXPECT_TEXT("", table.Found(kIds), "f is in all of them, and so may another part be");
}

// Guards against the refusal of a part whose requests several entries sent alone beside those that
// crash upstreams.
TEST(PromptPartTable, DoesNotFindAPartThatWasBesideTheCause) {
  Table table;
  table.Crash({"q:1"});
  for (int n = 0; n < 2; ++n) {
    UpstreamCrash crash;
    crash.instance = "i-shared-" + std::to_string(n);
    for (const char* it : {"k:1", "q:1"}) {
      const auto digest = DigestOf({"", "", "", "", it + std::to_string(n)});
      crash.suspects.push_back({digest, false, true, Parts(it), true});
    }
    table.table.Add(crash, table.now);
    table.now += kReportedMs;
  }
  EXPECT_TEXT("", table.Found(kIds), "k and q are at as many crashes, or q at more");
  for (int n = 0; n < 2; ++n) table.Crash({"k:1"}, true);
  EXPECT_TEXT("k", table.Found(kIds), "k is at more crashes, and alone");
}

namespace {

// Crashes of k's requests, each at an upstream to which another entry has sent a request alone. No
// part of the latter is known to be sound when it crashes.
struct CrowdedTable : Table {
  void CrashBeside(const std::string& request, const std::string& parts) {
    UpstreamCrash crash;
    crash.instance = "i-" + std::to_string(++crashes);
    const auto digest = DigestOf({"", "", "", "", std::to_string(++sent)});
    crash.suspects.push_back({digest, false, true, Parts("k:1"), true});
    const auto other = DigestOf({"", "", "", "", request});
    crash.suspects.push_back({other, false, true, table.WithoutSound(Parts(parts), now), true});
    table.Add(crash, now);
    now += kReportedMs;
  }
};

}  // namespace

// Guards against a part that is not found, as each of its requests crashed an upstream to which
// another entry had sent a request alone, although those have been cleared since.
TEST(PromptPartTable, FindsAPartOnceThoseThatWereAloneBesideItAreCleared) {
  CrowdedTable table;
  for (const char* it : {"z1", "z2", "z3"}) table.CrashBeside(it, "f:1," + std::string(it) + ":1");
  EXPECT_TEXT("", table.Found(kIds), "each of the others may be the cause of its crash");
  for (const char* it : {"z1", "z2"})
    table.table.AddSound(Parts(std::string(it) + ":1"), table.now);
  EXPECT_TEXT("", table.Found(kIds), "f may still be the cause");
  table.table.AddSound(Parts("f:1"), table.now);
  EXPECT_TEXT("k", table.Found(kIds), "two others are cleared");
}

// Guards against the refusal of a part whose requests were alone at upstreams to which others had
// sent requests with the cause, before that was suspected.
TEST(PromptPartTable, DoesNotFindAPartIfAnotherOneWasAtAllItsCrashes) {
  Table table;
  table.Crash({"q:1"});
  for (int n = 0; n < 2; ++n) table.Crash({"q:1", "k:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "k may be the cause of both");
  table.Crash({"q:1", "z1:1"}, true);
  EXPECT_TEXT("q", table.Found(kIds), "k was not at the last one");
}

// Guards against the refusal of a part that was beside a request which crashes upstreams itself,
// though its parts are sound.
TEST(PromptPartTable, DoesNotFindAPartBesideARequestThatWasAloneForItself) {
  CrowdedTable table;
  for (int n = 0; n < 3; ++n) table.CrashBeside("repeated", "q:1");
  table.table.AddSound(Parts("q:1"), table.now);
  EXPECT_TEXT("", table.Found(kIds), "it was at several crashes");
  for (const char* it : {"a", "b", "c"}) table.CrashBeside(it, "q:1");
  EXPECT_TEXT("", table.Found(kIds), "no part of it was suspected");
}

// Guards against a request that is repeated and counts for its part, as others crash with it.
TEST(PromptPartTable, CountsARepeatedRequestOnce) {
  Table table;
  for (int n = 0; n < 3; ++n) {
    table.sent = 0;
    table.Crash({"q:1"}, true);
  }
  table.sent = 1;
  table.Crash({"q:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "two requests, one of them at three crashes");
}

// Guards against the refusal of a new part whose requests were there as upstreams crashed of
// themselves.
TEST(PromptPartTable, DoesNotFindAPartByCrashesUnderMixedRequests) {
  Table table;
  for (int n = 0; n < 6; ++n) table.Crash({"f:1,q:1"});
  EXPECT_TEXT("", table.Found(kIds), "none was sent alone");
}

// Guards against the refusal of an innocent part that another entry's report would have cleared.
TEST(PromptPartTable, AwaitsTheReportsOfACrash) {
  Table table;
  for (int n = 0; n < 3; ++n) table.Crash({"k:1"}, true);
  table.now -= kReportedMs;
  EXPECT_TRUE(table.table.AwaitsReports(Parts("k:1"), table.now), "not sent meanwhile");
  EXPECT_TEXT("", table.Found(kIds), "not found yet");
  table.now += kReportedMs;
  EXPECT_TEXT("k", table.Found(kIds), "found then");
}

TEST(PromptPartTable, TellsPartsApartByRequestsThatWereSentAlone) {
  Table table;
  table.Crash({"f:1,k:1", "f:1,z1:1", "f:1,z2:1"});
  table.table.AddSound(Parts("f:1,z3:1"), table.now);
  table.Crash({"f:1,k:1", "f:1,z1:1"}, true);
  table.Crash({"f:1,k:1"}, true);
  EXPECT_TEXT("k", table.Found(kIds), "the only one in the requests that were sent alone");
  EXPECT_TRUE(!table.IsSuspected("z1:1"), "the crashes are explained");
}

TEST(PromptPartTable, FindsThePartThatIsAtMoreCrashesThanAnyOther) {
  Table table;
  table.Crash({"k:1,z1:1"}, true);
  table.Crash({"k:1,z2:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "two candidates each time");
  table.Crash({"k:1,z3:1"}, true);
  EXPECT_TEXT("k", table.Found(kIds), "at three crashes, the others at one");
}

// Guards against the refusal of a part that all requests share, as upstreams crash of themselves.
TEST(PromptPartTable, NeverFindsAPartThatWasAnswered) {
  Table table;
  table.Crash({"f:1,z1:1"});
  table.table.AddSound(Parts("f:1"), table.now);
  for (int n = 0; n < 10; ++n) table.Crash({"f:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "f is sound");
  EXPECT_TRUE(!table.IsSuspected("f:1"), "f is sound");
}

// Guards against the refusal of parts that came along: neither f nor k is at more crashes.
TEST(PromptPartTable, DoesNotFindOneOfTwoThatAlwaysComeTogether) {
  Table table;
  for (int n = 0; n < 6; ++n) table.Crash({"f:1,k:1"}, true);
  EXPECT_TEXT("", table.Found(kIds), "either may be the cause");
  table.table.AddSound(Parts("f:1"), table.now);
  EXPECT_TEXT("k", table.Found(kIds), "f was answered since");
}

namespace {

// Crashes under requests that were sent alone, of whose parts none is known to be sound.
struct UnclearedTable : Table {
  void CrashAlone(const std::string& parts, bool does_model_answer) {
    const RequestDigest model = DigestOfModel(does_model_answer ? "m1" : "silent");
    if (does_model_answer) table.OnModelAnswered(model, now);
    UpstreamCrash crash;
    crash.instance = "i-" + std::to_string(++crashes);
    const auto digest = DigestOf({"", "", "", "", std::to_string(++sent)});
    crash.suspects.push_back(
        {digest, false, true, table.WithoutSound(Parts(parts), now), false, model});
    table.Add(crash, now);
    now += kReportedMs;
  }
  // Whether the parts are found as a combination, once late reports have arrived.
  bool IsFound(const std::vector<std::string>& ids) {
    now += kLateReportsMs;
    std::vector<RequestDigest> parts;
    for (const auto& it : ids) parts.push_back(Parts(it + ":1").front());
    for (const auto& it : table.Judge(now)) found.push_back(it.part);
    return std::find(found.begin(), found.end(), CombinationOf(parts)) != found.end();
  }

  std::vector<RequestDigest> found;
};

}  // namespace

// Guards against a part that crashes one upstream after the other, as no request has a sound part
// beside it.
TEST(PromptPartTable, FindsAPartWithoutASoundOneBesideItIfItsModelAnswersOthers) {
  UnclearedTable table;
  for (int n = 0; n < 2; ++n) table.CrashAlone("k:1", true);
  EXPECT_TRUE(!table.IsFound({"k"}), "so far two requests explain the crashes");
  table.CrashAlone("k:1", true);
  EXPECT_TRUE(table.IsFound({"k"}), "three crashes under requests that were sent alone");
}

// Guards against the refusal of a part that all requests share, as the report that another entry's
// request was alone at the same crash came late.
TEST(PromptPartTable, AwaitsLateReportsIfNoPartIsKnownToBeSound) {
  UnclearedTable table;
  for (int n = 0; n < 3; ++n) table.CrashAlone("f:1", true);
  UpstreamCrash late;
  late.instance = "i-" + std::to_string(table.crashes);
  late.suspects.push_back({DigestOf({"", "", "", "", "other"}), false, true, Parts("k:1")});
  EXPECT_NUMBER(0, table.table.Judge(table.now).size(), "found before");
  table.now += 200;
  table.table.Add(late, table.now);
  EXPECT_TRUE(!table.IsFound({"f"}), "k may be the cause of the third crash");
}

// Guards against the refusal of a part of all requests of a model, as upstreams crash of themselves
// before any was answered.
TEST(PromptPartTable, DoesNotFindAPartWithoutASoundOneBesideItIfItsModelIsSilent) {
  UnclearedTable table;
  for (int n = 0; n < 10; ++n) table.CrashAlone("k:1", false);
  EXPECT_TRUE(!table.IsFound({"k"}), "nothing speaks for the model");
}

// Guards against two parts of the same prompts that are not told apart, while their requests crash
// one upstream after the other.
TEST(PromptPartTable, FindsTwoPartsThatAlwaysComeTogetherAsACombination) {
  UnclearedTable table;
  for (int n = 0; n < 3; ++n) table.CrashAlone("f:1,k:1", true);
  EXPECT_TRUE(table.IsFound({"f", "k"}), "as a combination");
  EXPECT_TRUE(!table.IsFound({"f"}) && !table.IsFound({"k"}), "neither alone");
  EXPECT_TRUE(!table.IsSuspected("f:1,z1:1"), "requests with one of them go on");
  table.table.AddSound(Parts("f:1"), table.now);
  EXPECT_TRUE(table.IsFound({"k"}), "f was answered since: k is the cause");
}

// Guards against a combination that is not known again in a prompt with further parts.
TEST(PromptPartTable, KnowsACombinationInAnyOrderAmongOthers) {
  const auto digests = PartsAndCombinations(Parts("z1:1,k:1,z2:1,f:1"));
  const auto has = [&digests](const std::string& ids) {
    return std::find(digests.begin(), digests.end(), CombinationOf(Parts(ids))) != digests.end();
  };
  EXPECT_TRUE(has("f:1,k:1") && has("k:1,f:1"), "two of four");
  EXPECT_TRUE(has("z2:1,f:1,z1:1") && has("k:1"), "three, and one");
  EXPECT_TRUE(!has("f:1,q:1"), "one that is not there");
  EXPECT_NUMBER(4 + 6 + 4, digests.size(), "parts, pairs and triples");
}

// Guards against entries that each send one of the requests whose common part crashes upstreams.
TEST(PromptPartTable, SharesTurnsOnceDifferentRequestsWereAtTwoCrashes) {
  UnclearedTable table;
  table.CrashAlone("k:1", true);
  EXPECT_TRUE(!table.table.FindShared(Parts("k:1"), table.now), "one crash");
  table.CrashAlone("k:1", true);
  EXPECT_TRUE(!table.table.FindShared(Parts("k:1"), table.now), "two requests explain both");
  table.CrashAlone("k:1", false);
  EXPECT_TRUE(table.table.FindShared(Parts("k:1"), table.now).has_value(), "three do not");
  EXPECT_NUMBER(1, table.table.SharedParts(table.now).size(), "parts");
  table.table.AddSound(Parts("k:1"), table.now);
  EXPECT_TRUE(!table.table.FindShared(Parts("k:1"), table.now), "it was answered");
}

// Guards against two causes at the same moment that count as one request's.
TEST(PromptPartTable, CountsCrashesAtTheSameTimeAsOne) {
  Table table;
  for (int n = 0; n < 4; ++n) {
    table.Crash({"k:1"}, true);
    table.now -= kReportedMs;
  }
  table.now += kReportedMs;
  EXPECT_TEXT("", table.Found(kIds), "one cause");
}

TEST(PromptPartTable, TellsOthersOnceWhichPartsAreSound) {
  Table table;
  UpstreamCrash crash;
  crash.instance = "i-9";
  crash.suspects.push_back({DigestOf({"", "", "", "", "x"}), false, false, Parts("f:1,k:1")});
  table.table.AddSound(Parts("f:1"), table.now);
  table.table.Add(crash, table.now);
  EXPECT_NUMBER(1, table.table.TakeSoundParts("i-9", table.now).size(), "f");
  EXPECT_NUMBER(0, table.table.TakeSoundParts("i-9", table.now).size(), "told before");
  UpstreamCrash told;
  UpstreamCrash received;
  told.instance = "i-9";
  told.sound_parts = Parts("k:1");
  EXPECT_TRUE(DecodeCrash(EncodeCrash(told), &received), "the message is read");
  table.table.Add(received, table.now);
  EXPECT_TRUE(!table.IsSuspected("k:1"), "another process has seen it answered");
}

// Guards against callers who invent parts: memory is bounded, and what is answered often stays.
TEST(PromptPartTable, KeepsPartsThatAreAnsweredOftenAmongMany) {
  PromptPartLimits limits;
  limits.max_sound_parts = 100;
  PromptPartTable table(limits);
  for (int n = 0; n < 1000; ++n) {
    table.AddSound(Parts("invented" + std::to_string(n) + ":1"), kStart + n);
    if (n % 10 == 0) table.AddSound(Parts("f:1"), kStart + n);
  }
  EXPECT_NUMBER(0, table.WithoutSound(Parts("f:1"), kStart + 1000).size(), "f stays");
  EXPECT_NUMBER(1, table.WithoutSound(Parts("invented0:1"), kStart + 1000).size(), "long gone");
}

TEST(PromptPartTable, ForgetsSuspicionsAfterTheirTime) {
  Table table;
  table.Crash({"k:1"});
  table.now += PromptPartLimits().suspicion_ttl_ms;
  table.table.Expire(table.now);
  EXPECT_TRUE(!table.IsSuspected("k:1") && !table.table.HasCrashes(), "a minute later");
}

}  // namespace junctionrail

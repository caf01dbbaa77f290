// Whose key a caller shows, how old a configuration may be, and what quotas let through,
// without sockets and in model time.
#include "junctionrail/tenancy.h"

#include "check.h"

namespace junctionrail {
namespace {

constexpr TimeMs kStart = 1000000;

using Decision = QuotaClient::Decision;

Organisation Shop(double rate_per_s, double burst) {
  Organisation shop;
  shop.name = "shop";
  shop.keys = {DigestOfKey("secret")};
  shop.quota.rate_per_s = rate_per_s;
  shop.quota.burst = burst;
  return shop;
}

QuotaRegistration RegistrationOf(double rate_per_s, double burst, std::uint64_t version = 1) {
  return {version, {{"shop", rate_per_s, burst}}};
}

// An entry that asks a giver by hand.
struct TestEntry {
  std::size_t Request(QuotaAllocator* allocator, std::vector<double> amounts, TimeMs now) {
    QuotaRequest request;
    request.entry = name;
    request.id = ++last_id;
    request.registration = registration;
    request.demands = {{"shop", std::move(amounts)}};
    const QuotaGrant grant = allocator->OnRequest(request, now);
    last = grant.allocations.at(0);
    advance += last.advance;
    return last.granted;
  }

  std::string name = "entry-1";
  QuotaRegistration registration = RegistrationOf(100, 50);
  std::uint64_t last_id = 0;
  QuotaAllocation last;
  double advance = 0;
};

// Time passes for a giver that is called as often as it wants to be, and told by the entry
// that it is the one.
void Advance(TestEntry* entry, QuotaAllocator* allocator, DurationMs ms, TimeMs* now) {
  for (DurationMs elapsed = 0; elapsed < ms; elapsed += 100) {
    *now += 100;
    entry->Request(allocator, {}, *now);
    allocator->Tick(*now);
  }
}

}  // namespace

TEST_GROUP(Keys){};

TEST(Keys, NameTheirHolderAndNobodyElse) {
  Organisation other = Shop(0, 0);
  other.name = "other";
  other.keys = {DigestOfKey("third"), DigestOfKey("")};
  const OrganisationTable table({Shop(0, 0), other});
  EXPECT_TEXT("shop", table.FindByKey(DigestOfKey("secret"))->name, "its key");
  EXPECT_TEXT("other", table.FindByKey(DigestOfKey("third"))->name, "another one's");
  EXPECT_TRUE(table.FindByKey(DigestOfKey("secre")) == nullptr, "part of a key is none");
  EXPECT_TRUE(table.FindByKey(DigestOfKey(std::string(1 << 20, 'x'))) == nullptr, "1 MB is none");
}

TEST_GROUP(AgeOfAConfiguration){};

TEST(AgeOfAConfiguration, IsCountedFromTheQuestionAndNotFromTheAnswer) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(7);
  EXPECT_NUMBER(0, freshness.as_of(), "nobody has vouched for it");
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart), "the store shows it");
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart - 500), "an older question is answered late");
  EXPECT_NUMBER(kStart, freshness.as_of(), "and makes it no older");
}

TEST(AgeOfAConfiguration, IsNotRenewedByWordOfALaterVersion) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(7);
  EXPECT_TRUE(!freshness.OnConfirmed(8, kStart), "it is to be read first");
  EXPECT_NUMBER(0, freshness.as_of(), "and this one is not the newest");
  freshness.OnApplied(8);
  EXPECT_TRUE(freshness.OnConfirmed(8, kStart), "then it is confirmed");
}

TEST(AgeOfAConfiguration, IsRenewedByAStoreThatLostTheLaterVersion) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(8);
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart), "nothing newer is written there");
  EXPECT_NUMBER(kStart, freshness.as_of(), "");
}

TEST_GROUP(GivesQuotas){};

TEST(GivesQuotas, UpToTheBurstAtOnceAndThenAtTheRate) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now), "what was given before, another has given");
  Advance(&entry, &allocator, 2000, &now);
  std::size_t granted = 0;
  for (int n = 0; n < 200; ++n) granted += entry.Request(&allocator, {1}, now);
  EXPECT_NUMBER(50, static_cast<double>(granted) + entry.advance, "the burst");
  EXPECT_TRUE(entry.last.retry_ms <= 11, "one more in a hundredth of a second at most");
  entry.advance = 0;
  granted = 0;
  for (int n = 0; n < 100; ++n) {
    now += 10;
    granted += entry.Request(&allocator, {1, 1}, now);
  }
  EXPECT_NUMBER(100, static_cast<double>(granted) + entry.advance, "a second's rate");
}

TEST(GivesQuotas, ToLargeRequestsAsToSmallOnesWhileAnythingIsLeft) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  EXPECT_NUMBER(1, entry.Request(&allocator, {80}, now), "larger than the burst");
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now), "it owes 30");
  EXPECT_NUMBER(301, entry.last.retry_ms, "and then something is left");
}

TEST(GivesQuotas, ToTheFirstOfThoseAskedFor) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  EXPECT_NUMBER(3, entry.Request(&allocator, {20, 20, 20, 1}, now), "the order is kept");
  EXPECT_NUMBER(101, entry.last.retry_ms, "ten are owed");
}

TEST(GivesQuotas, OnlyThePartThatItsEntriesAreOfAll) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  allocator.OnHeartbeat("entry-2", 1000, now);
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 10000, &now);
  const std::size_t granted = entry.Request(&allocator, std::vector<double>(100, 1), now);
  EXPECT_NUMBER(25, granted, "the other entry may use the other half, elsewhere or by itself");
}

TEST(GivesQuotas, TheWholeAgainOnceAnEntryIsGoneForLong) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  allocator.OnHeartbeat("entry-2", 1000, now);
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 21000, &now);
  EXPECT_NUMBER(50, entry.Request(&allocator, std::vector<double>(100, 1), now), "it was replaced");
}

TEST(GivesQuotas, NothingForTheTimeInWhichItWasStopped) {
  QuotaAllocator allocator;
  TestEntry entry;
  entry.registration = RegistrationOf(10, 50);
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 10000, &now);
  EXPECT_NUMBER(50, entry.Request(&allocator, std::vector<double>(100, 1), now), "the burst");
  now += 60000;
  const std::size_t granted = entry.Request(&allocator, std::vector<double>(100, 1), now);
  EXPECT_TRUE(granted <= 10, "another was the giver meanwhile, got " + std::to_string(granted));
}

TEST(GivesQuotas, ByTheLimitOfTheNewestConfiguration) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  TestEntry updated;
  updated.name = "entry-2";
  updated.registration = RegistrationOf(5, 5, 2);
  EXPECT_NUMBER(5, updated.Request(&allocator, std::vector<double>(100, 1), now), "a lower one");
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now), "whoever has not heard of it");
}

TEST_GROUP(TakesQuotas){};

namespace {

// One entry of four and their giver, with messages that arrive at once.
struct EntryAndAllocator {
  EntryAndAllocator() {
    client.SetEntryCount(4, now);
    client.SetOrganisations({Shop(100, 50)}, 1, now);
    client.SetAllocators({{"i-1", "10.0.0.1:1"}}, now);
    Exchange();
    for (int n = 0; n < 10; ++n) {
      now += 100;
      Exchange();
    }
  }

  void Exchange() {
    for (const char* other : {"entry-2", "entry-3", "entry-4"}) {
      TestEntry other_entry;
      other_entry.name = other;
      other_entry.Request(&allocator, {}, now);
    }
    for (const auto& it : client.TakeMessages(now)) {
      const QuotaGrant grant = allocator.OnRequest(it.request, now);
      for (const auto& outcome : client.OnGrant(grant, now)) outcomes.push_back(outcome);
    }
    allocator.Tick(now);
  }

  // The decision, after the giver's word where that is asked for.
  Decision Acquire(double amount = 1) {
    const auto admission = client.Acquire("shop", amount, ++last_ticket, now);
    if (admission.decision != Decision::kPending) return admission.decision;
    outcomes.clear();
    Exchange();
    return outcomes.empty() ? Decision::kPending : outcomes.back().admission.decision;
  }

  QuotaClient client{"entry-1"};
  QuotaAllocator allocator;
  TimeMs now = kStart;
  std::uint64_t last_ticket = 0;
  std::vector<QuotaClient::Outcome> outcomes;
};

}  // namespace

TEST(TakesQuotas, OfOrganisationsThatHaveOneOnly) {
  EntryAndAllocator it;
  EXPECT_TRUE(it.client.Acquire("other", 1e9, 1, it.now).decision == Decision::kAdmitted,
              "no limit");
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "below its limit");
}

TEST(TakesQuotas, AndRefusesAtOnceWhileItKnowsThatNothingIsLeft) {
  EntryAndAllocator it;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_TRUE(admitted == 49 || admitted == 50,
              "the burst, less what was granted ahead and is less than a request; got " +
                  std::to_string(admitted));
  const auto admission = it.client.Acquire("shop", 1, 999, it.now);
  EXPECT_TRUE(admission.decision == Decision::kOverQuota && admission.retry_ms > 0,
              "without a question");
  EXPECT_TRUE(it.client.RefuseIfOverQuota("shop", 1, it.now).has_value(),
              "a request that would wait is told");
  it.now += admission.retry_ms;
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "then it is let in");
}

TEST(TakesQuotas, AndTakesBackWhatHasNotRun) {
  EntryAndAllocator it;
  while (it.Acquire() == Decision::kAdmitted) continue;
  it.client.Refund("shop", 1, it.now);
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "another request has it");
  EXPECT_TRUE(it.Acquire() == Decision::kOverQuota, "once");
}

TEST(TakesQuotas, AnEqualShareByItselfWhileNoGiverAnswers) {
  EntryAndAllocator it;
  it.client.SetAllocators({}, it.now);
  EXPECT_TRUE(it.Acquire() == Decision::kNoAllocator, "its part may be given elsewhere");
  it.now += 2000;
  EXPECT_TRUE(it.Acquire() == Decision::kNoAllocator, "for as long as it counts there");
  it.now += 1650;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(12, admitted, "a quarter of the burst for each of four entries");
  it.now += 1000;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(24, admitted, "and at a quarter of the rate, up to that");
}

TEST(TakesQuotas, NotByItselfBeforeItKnowsHowManyEntriesThereAre) {
  QuotaClient client{"entry-1"};
  TimeMs now = kStart;
  client.SetOrganisations({Shop(100, 50)}, 1, now);
  client.SetEntryCount(1, now);
  now += 10000;
  EXPECT_TRUE(client.Acquire("shop", 1, 1, now).decision == Decision::kNoAllocator,
              "it has reached no agent since its start");
}

TEST(TakesQuotas, AShareAmongTheEntriesThatWereCountedBeforeItWasCutOff) {
  EntryAndAllocator it;
  it.client.SetAllocators({}, it.now);
  it.client.SetEntryCount(1, it.now);  // Nobody is in reach who counts another.
  it.now += 10000;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(12, admitted, "a quarter of the burst, as there were four");
}

TEST(TakesQuotas, ByItselfWhereAQuestionIsNotAnsweredInTime) {
  EntryAndAllocator it;
  while (it.Acquire() == Decision::kAdmitted) continue;
  it.now += 1000;
  while (it.client.Acquire("shop", 1, 1, it.now).decision == Decision::kAdmitted) continue;
  EXPECT_NUMBER(1, it.client.TakeMessages(it.now).size(), "the question is out");
  it.now = it.client.NextExpiryAt();
  const auto outcomes = it.client.Expire(it.now);
  EXPECT_NUMBER(1, outcomes.size(), "it is decided");
  EXPECT_TRUE(it.client.Acquire("shop", 1, 2, it.now).decision != Decision::kPending,
              "the next one does not wait for the same answer");
}

TEST(TakesQuotas, FromTheNextGiverWhatTheFormerOneWasAskedFor) {
  EntryAndAllocator it;
  while (it.client.Acquire("shop", 1, 7, it.now).decision == Decision::kAdmitted) continue;
  it.client.TakeMessages(it.now);
  it.client.SetAllocators({{"i-2", "10.0.0.2:1"}}, it.now);
  const auto messages = it.client.TakeMessages(it.now);
  bool is_requested = false;
  for (const auto& message : messages)
    is_requested |= message.instance == "i-2" && !message.request.demands.empty();
  EXPECT_TRUE(is_requested, "the request still waits");
}

TEST(TakesQuotas, NothingForARequestThatIsOverBeforeTheAnswer) {
  EntryAndAllocator it;
  while (it.client.Acquire("shop", 10, 7, it.now).decision == Decision::kAdmitted) continue;
  const auto messages = it.client.TakeMessages(it.now);
  it.client.Cancel(7);
  const auto outcomes =
      it.client.OnGrant(it.allocator.OnRequest(messages.at(0).request, it.now), it.now);
  EXPECT_NUMBER(0, outcomes.size(), "nobody is told");
  EXPECT_TRUE(it.client.Acquire("shop", 10, 8, it.now).decision == Decision::kAdmitted,
              "what it got is for the next one");
}

TEST_GROUP(QuotaMessages){};

TEST(QuotaMessages, SayTheSameAfterTheWay) {
  QuotaRequest request;
  request.entry = "entry-1";
  request.id = 9;
  request.entry_count = 25;
  request.demands = {{"shop", {1, 250.5}}};
  request.registration = RegistrationOf(100, 50, 3);
  QuotaRequest read;
  const std::string bytes = EncodeQuotaRequest(request);
  EXPECT_TRUE(IsQuotaRequest(bytes) && !IsQuotaGrant(bytes) && DecodeQuotaRequest(bytes, &read),
              "");
  EXPECT_TRUE(read.entry == "entry-1" && read.id == 9 && read.entry_count == 25 &&
                  read.registration == request.registration &&
                  read.demands.at(0).amounts == request.demands[0].amounts,
              "a question");
  QuotaGrant grant{9, {{"shop", 1, 2.5, 40}}};
  QuotaGrant read_grant;
  const std::string answer = EncodeQuotaGrant(grant);
  EXPECT_TRUE(IsQuotaGrant(answer) && DecodeQuotaGrant(answer, &read_grant), "");
  EXPECT_TRUE(read_grant.allocations.at(0).granted == 1 &&
                  read_grant.allocations.at(0).advance == 2.5 &&
                  read_grant.allocations.at(0).retry_ms == 40,
              "an answer");
}

TEST(QuotaMessages, OfAnotherShapeAreNotTaken) {
  QuotaRequest request;
  EXPECT_TRUE(!IsQuotaRequest("") && !DecodeQuotaRequest("", &request), "nothing");
  EXPECT_TRUE(!DecodeQuotaRequest("\xa1\x65quota\xa0", &request), "no fields");
  request = {};
  request.demands = {{"shop", {-1}}};
  QuotaRequest read;
  EXPECT_TRUE(!DecodeQuotaRequest(EncodeQuotaRequest(request), &read), "an amount below nothing");
  request.demands = {{"shop", {1e300}}};
  EXPECT_TRUE(!DecodeQuotaRequest(EncodeQuotaRequest(request), &read), "or beyond all measure");
}

}  // namespace junctionrail

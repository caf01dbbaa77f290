// Unit tests of key lookup, configuration freshness and quotas, without sockets and in simulated
// time.
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

// An entry whose requests to an allocator are issued by the test.
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

// Advances the time in steps of 100 ms, in each of which the allocator ticks and the entry renews
// its registration.
void Advance(TestEntry* entry, QuotaAllocator* allocator, DurationMs ms, TimeMs* now) {
  for (DurationMs elapsed = 0; elapsed < ms; elapsed += 100) {
    *now += 100;
    entry->Request(allocator, {}, *now);
    allocator->Tick(*now);
  }
}

}  // namespace

TEST_GROUP(Keys){};

TEST(Keys, IdentifyOnlyTheirOrganisation) {
  Organisation other = Shop(0, 0);
  other.name = "other";
  other.keys = {DigestOfKey("third"), DigestOfKey("")};
  const OrganisationTable table({Shop(0, 0), other});
  EXPECT_TEXT("shop", table.FindByKey(DigestOfKey("secret"))->name,
              "key of the first organisation");
  EXPECT_TEXT("other", table.FindByKey(DigestOfKey("third"))->name,
              "key of the second organisation");
  EXPECT_TRUE(table.FindByKey(DigestOfKey("secre")) == nullptr, "a prefix of a key is unknown");
  EXPECT_TRUE(table.FindByKey(DigestOfKey(std::string(1 << 20, 'x'))) == nullptr,
              "a key of 1 MB is unknown");
}

TEST_GROUP(ConfigurationFreshness){};

TEST(ConfigurationFreshness, IsMeasuredFromTheTimeOfTheQuery) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(7);
  EXPECT_NUMBER(0, freshness.as_of(), "not confirmed yet");
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart), "the store reports the active version");
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart - 500), "a late response to an earlier query");
  EXPECT_NUMBER(kStart, freshness.as_of(), "does not move the confirmation back");
}

TEST(ConfigurationFreshness, IsNotRenewedByALaterVersion) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(7);
  EXPECT_TRUE(!freshness.OnConfirmed(8, kStart), "the later version has to be read first");
  EXPECT_NUMBER(0, freshness.as_of(), "the active version is not confirmed");
  freshness.OnApplied(8);
  EXPECT_TRUE(freshness.OnConfirmed(8, kStart), "the later version is confirmed once active");
}

TEST(ConfigurationFreshness, IsRenewedByAStoreThatLostTheLaterVersion) {
  ConfigurationFreshness freshness;
  freshness.OnApplied(8);
  EXPECT_TRUE(freshness.OnConfirmed(7, kStart), "the store holds nothing newer");
  EXPECT_NUMBER(kStart, freshness.as_of(), "confirmation time");
}

TEST_GROUP(QuotaAllocation){};

TEST(QuotaAllocation, GrantsTheBurstAtOnceAndThenTheRate) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now), "a new bucket is empty");
  Advance(&entry, &allocator, 2000, &now);
  std::size_t granted = 0;
  for (int n = 0; n < 200; ++n) granted += entry.Request(&allocator, {1}, now);
  EXPECT_NUMBER(50, static_cast<double>(granted) + entry.advance,
                "grants and advances up to the burst");
  EXPECT_TRUE(entry.last.retry_ms <= 11, "one more within 11 ms");
  entry.advance = 0;
  granted = 0;
  for (int n = 0; n < 100; ++n) {
    now += 10;
    granted += entry.Request(&allocator, {1, 1}, now);
  }
  EXPECT_NUMBER(100, static_cast<double>(granted) + entry.advance,
                "grants and advances of one second");
}

TEST(QuotaAllocation, AllowsARequestToOverdrawAPositiveLevel) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  EXPECT_NUMBER(1, entry.Request(&allocator, {80}, now), "a request larger than the burst");
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now), "the level is -30");
  EXPECT_NUMBER(301, entry.last.retry_ms, "time until the level is positive");
}

TEST(QuotaAllocation, AdmitsOneRequestOnceAnythingHasAccrued) {
  QuotaAllocator allocator;
  TestEntry entry;
  entry.registration = RegistrationOf(2, 1);
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, kStart), "the bucket starts empty");
  EXPECT_NUMBER(1, entry.Request(&allocator, {1}, kStart + 1), "the level is positive");
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, kStart + 2), "and overdrawn now");
  EXPECT_NUMBER(499, entry.last.retry_ms, "until the rate has made up for it");
}

TEST(QuotaAllocation, GrantsAmountsInOrder) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  EXPECT_NUMBER(3, entry.Request(&allocator, {20, 20, 20, 1}, now), "the first three amounts");
  EXPECT_NUMBER(101, entry.last.retry_ms, "time until the level of -10 is positive");
}

TEST(QuotaAllocation, IsLimitedToTheFractionOfRegisteredEntries) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  allocator.OnHeartbeat("entry-2", 1000, now);
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 10000, &now);
  const std::size_t granted = entry.Request(&allocator, std::vector<double>(100, 1), now);
  EXPECT_NUMBER(25, granted, "half of the burst is left to the unregistered entry");
}

TEST(QuotaAllocation, IsCompleteAgainAfterASilentEntryIsForgotten) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  allocator.OnHeartbeat("entry-2", 1000, now);
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 21000, &now);
  EXPECT_NUMBER(50, entry.Request(&allocator, std::vector<double>(100, 1), now),
                "the burst, after 20 s of silence");
}

TEST(QuotaAllocation, DoesNotAccrueWhileTheProcessIsSuspended) {
  QuotaAllocator allocator;
  TestEntry entry;
  entry.registration = RegistrationOf(10, 50);
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 10000, &now);
  EXPECT_NUMBER(50, entry.Request(&allocator, std::vector<double>(100, 1), now), "the burst");
  now += 60000;
  const std::size_t granted = entry.Request(&allocator, std::vector<double>(100, 1), now);
  EXPECT_TRUE(granted <= 10,
              "expected at most 10 after 60 s without a tick, got " + std::to_string(granted));
}

TEST(QuotaAllocation, AppliesTheLimitOfTheNewestConfiguration) {
  QuotaAllocator allocator;
  TestEntry entry;
  TimeMs now = kStart;
  entry.Request(&allocator, {}, now);
  Advance(&entry, &allocator, 1000, &now);
  TestEntry updated;
  updated.name = "entry-2";
  updated.registration = RegistrationOf(5, 5, 2);
  EXPECT_NUMBER(5, updated.Request(&allocator, std::vector<double>(100, 1), now),
                "the lower limit of version 2");
  EXPECT_NUMBER(0, entry.Request(&allocator, {1}, now),
                "also applies to an entry that still has version 1");
}

TEST_GROUP(QuotaAcquisition){};

namespace {

// One of four entries and their allocator, with immediate delivery of messages.
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

  // Returns the decision, after an exchange with the allocator if the request is pending.
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

TEST(QuotaAcquisition, IsUnlimitedWithoutAQuota) {
  EntryAndAllocator it;
  EXPECT_TRUE(it.client.Acquire("other", 1e9, 1, it.now).decision == Decision::kAdmitted,
              "organisation without a quota");
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "organisation below its quota");
}

TEST(QuotaAcquisition, IsRefusedLocallyWhileTheQuotaIsKnownToBeExhausted) {
  EntryAndAllocator it;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_TRUE(admitted == 49 || admitted == 50,
              "expected the burst, less an advance below the amount of one request, got " +
                  std::to_string(admitted));
  const auto admission = it.client.Acquire("shop", 1, 999, it.now);
  EXPECT_TRUE(admission.decision == Decision::kOverQuota && admission.retry_ms > 0,
              "refused without a message to the allocator");
  EXPECT_TRUE(it.client.RefuseIfOverQuota("shop", 1, it.now).has_value(),
              "a request that would wait is refused first");
  it.now += admission.retry_ms;
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "admitted after the retry time");
}

TEST(QuotaAcquisition, IsRefundedForARequestThatDidNotRun) {
  EntryAndAllocator it;
  while (it.Acquire() == Decision::kAdmitted) continue;
  it.client.Refund("shop", 1, it.now);
  EXPECT_TRUE(it.Acquire() == Decision::kAdmitted, "the refund admits another request");
  EXPECT_TRUE(it.Acquire() == Decision::kOverQuota, "only one");
}

TEST(QuotaAcquisition, UsesAnEqualLocalShareWithoutAnAllocator) {
  EntryAndAllocator it;
  it.client.SetAllocators({}, it.now);
  EXPECT_TRUE(it.Acquire() == Decision::kNoAllocator,
              "the last allocator may hand out its share elsewhere");
  it.now += 2000;
  EXPECT_TRUE(it.Acquire() == Decision::kNoAllocator, "until the registration expires");
  it.now += 1650;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(12, admitted, "a quarter of the burst with four entries");
  it.now += 1000;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(24, admitted, "refilled at a quarter of the rate");
}

TEST(QuotaAcquisition, HasNoLocalShareBeforeTheFirstRegistration) {
  QuotaClient client{"entry-1"};
  TimeMs now = kStart;
  client.SetOrganisations({Shop(100, 50)}, 1, now);
  client.SetEntryCount(1, now);
  now += 10000;
  EXPECT_TRUE(client.Acquire("shop", 1, 1, now).decision == Decision::kNoAllocator,
              "no agent reached since the start");
}

TEST(QuotaAcquisition, KeepsTheEntryCountFromBeforeAPartition) {
  EntryAndAllocator it;
  it.client.SetAllocators({}, it.now);
  it.client.SetEntryCount(1, it.now);  // No reachable agent counts the others.
  it.now += 10000;
  int admitted = 0;
  while (it.Acquire() == Decision::kAdmitted) ++admitted;
  EXPECT_NUMBER(12, admitted, "a quarter of the burst, as for four entries");
}

TEST(QuotaAcquisition, IsDecidedLocallyAfterATimeout) {
  EntryAndAllocator it;
  while (it.Acquire() == Decision::kAdmitted) continue;
  it.now += 1000;
  while (it.client.Acquire("shop", 1, 1, it.now).decision == Decision::kAdmitted) continue;
  EXPECT_NUMBER(1, it.client.TakeMessages(it.now).size(), "one request to the allocator");
  it.now = it.client.NextExpiryAt();
  const auto outcomes = it.client.Expire(it.now);
  EXPECT_NUMBER(1, outcomes.size(), "outcomes of the timeout");
  EXPECT_TRUE(it.client.Acquire("shop", 1, 2, it.now).decision != Decision::kPending,
              "the next request does not wait for the allocator");
}

TEST(QuotaAcquisition, IsRequestedAgainFromTheNextAllocator) {
  EntryAndAllocator it;
  while (it.client.Acquire("shop", 1, 7, it.now).decision == Decision::kAdmitted) continue;
  it.client.TakeMessages(it.now);
  it.client.SetAllocators({{"i-2", "10.0.0.2:1"}}, it.now);
  const auto messages = it.client.TakeMessages(it.now);
  bool is_requested = false;
  for (const auto& message : messages)
    is_requested |= message.instance == "i-2" && !message.request.demands.empty();
  EXPECT_TRUE(is_requested, "the pending demand is sent to the next allocator");
}

TEST(QuotaAcquisition, HasNoOutcomeForACancelledRequest) {
  EntryAndAllocator it;
  while (it.client.Acquire("shop", 10, 7, it.now).decision == Decision::kAdmitted) continue;
  const auto messages = it.client.TakeMessages(it.now);
  it.client.Cancel(7);
  const auto outcomes =
      it.client.OnGrant(it.allocator.OnRequest(messages.at(0).request, it.now), it.now);
  EXPECT_NUMBER(0, outcomes.size(), "outcomes");
  EXPECT_TRUE(it.client.Acquire("shop", 10, 8, it.now).decision == Decision::kAdmitted,
              "its grant admits the next request");
}

TEST_GROUP(QuotaMessages){};

TEST(QuotaMessages, RoundTrip) {
  QuotaRequest request;
  request.entry = "entry-1";
  request.id = 9;
  request.entry_count = 25;
  request.demands = {{"shop", {1, 250.5}}};
  request.registration = RegistrationOf(100, 50, 3);
  QuotaRequest read;
  const std::string bytes = EncodeQuotaRequest(request);
  EXPECT_TRUE(IsQuotaRequest(bytes) && !IsQuotaGrant(bytes) && DecodeQuotaRequest(bytes, &read),
              "encoded request");
  EXPECT_TRUE(read.entry == "entry-1" && read.id == 9 && read.entry_count == 25 &&
                  read.registration == request.registration &&
                  read.demands.at(0).amounts == request.demands[0].amounts,
              "decoded request");
  QuotaGrant grant{9, {{"shop", 1, 2.5, 40}}};
  QuotaGrant read_grant;
  const std::string answer = EncodeQuotaGrant(grant);
  EXPECT_TRUE(IsQuotaGrant(answer) && DecodeQuotaGrant(answer, &read_grant), "encoded grant");
  EXPECT_TRUE(read_grant.allocations.at(0).granted == 1 &&
                  read_grant.allocations.at(0).advance == 2.5 &&
                  read_grant.allocations.at(0).retry_ms == 40,
              "decoded grant");
}

TEST(QuotaMessages, RejectMalformedInput) {
  QuotaRequest request;
  EXPECT_TRUE(!IsQuotaRequest("") && !DecodeQuotaRequest("", &request), "empty");
  EXPECT_TRUE(!DecodeQuotaRequest("\xa1\x65quota\xa0", &request), "missing fields");
  request = {};
  request.demands = {{"shop", {-1}}};
  QuotaRequest read;
  EXPECT_TRUE(!DecodeQuotaRequest(EncodeQuotaRequest(request), &read), "negative amount");
  request.demands = {{"shop", {1e300}}};
  EXPECT_TRUE(!DecodeQuotaRequest(EncodeQuotaRequest(request), &read), "amount above the maximum");
}

}  // namespace junctionrail

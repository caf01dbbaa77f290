// Small parts of the decision logic: the idle policy, the memory ledger, the
// at-most-once table and the record ring.
#include "check.h"
#include "idempotency_table.h"
#include "junctionrail/base.h"
#include "junctionrail/burn.h"
#include "junctionrail/decision_log.h"
#include "junctionrail/idle_policy.h"
#include "memory_ledger.h"

namespace junctionrail {

TEST_GROUP(IdleLimits) {
  WeightedCost policy{1.0, 0.01, 600000};
  ArrivalHistory history;
};

TEST(IdleLimits, EqualTheBreakEvenTimeWithoutHistory) {
  // A cold start of 0.4 s costs as much as holding for 40 s.
  EXPECT_NUMBER(40000, IdleLimit(policy, history, 400), "rent or buy");
}

TEST(IdleLimits, CoverTheUsualGaps) {
  for (int n = 0; n < 20; ++n) history.AddGap(30000);
  EXPECT_TRUE(IdleLimit(policy, history, 400) >= 30000, "calls every 30 s must stay warm");
}

TEST(IdleLimits, AreZeroWhenGapsAreLong) {
  for (int n = 0; n < 20; ++n) history.AddGap(3600000);
  EXPECT_NUMBER(0, IdleLimit(policy, history, 400), "holding never pays for hourly calls");
}

TEST(IdleLimits, AreBoundedByTheLongestIdleTime) {
  policy.cold_start_weight = 1e6;
  EXPECT_NUMBER(600000, IdleLimit(policy, history, 400), "longest_idle_ms bounds every limit");
}

TEST_GROUP(MemoryLedger) {
  internal::MemoryLedger ledger;
  void setup() override { ledger.SetCapacities({1000, 1000}); }
};

TEST(MemoryLedger, ReservesOnTheTightestFit) {
  EXPECT_TRUE(ledger.ReserveOn(1, "a", 600), "an empty accelerator has room");
  EXPECT_NUMBER(1, ledger.Reserve("b", 300).value_or(9), "the tighter one keeps the other whole");
  EXPECT_NUMBER(0, ledger.Reserve("c", 500).value_or(9), "only accelerator 0 has room");
}

TEST(MemoryLedger, RefusesWhatDoesNotFit) {
  EXPECT_TRUE(!ledger.Reserve("a", 1001).has_value(), "nothing is larger than an accelerator");
  EXPECT_NUMBER(1000, ledger.LargestFree(), "a refusal reserves nothing");
}

TEST(MemoryLedger, AdoptsMemoryBeyondCapacity) {
  ledger.Adopt(0, "a", 1500);
  EXPECT_NUMBER(0, ledger.FreeOn(0), "memory in use is in use");
  ledger.Release("a");
  EXPECT_NUMBER(1000, ledger.FreeOn(0), "a confirmed unload gives all of it back");
}

TEST_GROUP(IdempotencyTable){};

TEST(IdempotencyTable, RejectsNewRowsWhenFull) {
  internal::IdempotencyTable table(1, 100);
  EXPECT_TRUE(table.Insert("a", 1, 10) != nullptr, "the first row fits");
  EXPECT_TRUE(table.Insert("b", 1, 10) == nullptr, "evicting a row would let its repeat run");
}

TEST(IdempotencyTable, KeepsRunningRowsPastTheirExpiry) {
  internal::IdempotencyTable table(10, 100);
  table.Insert("a", 1, 10);
  table.EraseExpired(1000);
  EXPECT_NUMBER(1, table.rows(), "a call that still runs must be remembered");
}

TEST(IdempotencyTable, ReadsTheTimeOfAVersion7Uuid) {
  const auto time = internal::UuidV7Time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  EXPECT_NUMBER(1645557742000LL, time.value_or(0), "RFC 9562, appendix A.6");
  EXPECT_TRUE(!internal::UuidV7Time("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value(),
              "a version 4 UUID carries no time");
}

TEST_GROUP(BurnRates) {
  Objectives objectives;  // 1200 ms for 95 in 100.
  BurnTracker ledger;
};

TEST(BurnRates, AreOneWhenExactlyTheBudgetIsUsed) {
  for (int n = 0; n < 95; ++n)
    ledger.Add(1000000, "a@1", ClassifyResponse(objectives, 1200, false));
  for (int n = 0; n < 5; ++n) ledger.Add(1000000, "a@1", ClassifyResponse(objectives, 1201, false));
  const auto report = ledger.Report(1000000);
  const BurnRates rates = ComputeBurnRates(report.at(0).windows[0], objectives);
  DOUBLES_EQUAL(1.0, rates.first_token, 1e-9);
  DOUBLES_EQUAL(0.0, rates.availability, 1e-9);
}

TEST(BurnRates, ExcludeCallsOutsideTheWindow) {
  ledger.Add(1000000, "a@1", ClassifyFailure("queue_full"));
  const TimeMs later = 1000000 + 310000;
  const auto report = ledger.Report(later);
  EXPECT_NUMBER(0, report.at(0).windows[0].Total(), "five minutes have passed");
  EXPECT_NUMBER(1, report.at(0).windows[1].Total(), "an hour has not");
}

TEST(BurnRates, GroupKeysBeyondTheLimit) {
  BurnTracker small(1);
  for (const char* it : {"a@1", "b@1", "c@1"})
    small.Add(1000, it, ClassifyResponse(objectives, 1, false));
  EXPECT_NUMBER(2, small.Report(1000).size(), "a@1 and the others");
}

TEST_GROUP(DecisionLogRecords){};

TEST(DecisionLogRecords, AreCountedWhenEvicted) {
  DecisionLog log(2);
  for (const char* it : {"r1", "r2", "r3"}) {
    DecisionRecord record;
    record.request = it;
    log.Add(record);
  }
  EXPECT_NUMBER(0, log.RecordsAbout("r1").size(), "the oldest goes first");
  EXPECT_NUMBER(1, log.RecordsAbout("r3").size(), "the newest stays");
  EXPECT_NUMBER(1, log.evicted(), "an evicted record is counted");
}

TEST(DecisionLogRecords, AreFoundForEveryAttemptOfARequest) {
  DecisionLog log(4);
  DecisionRecord record;
  record.request = "e-1-12.1";
  log.Add(record);
  EXPECT_NUMBER(1, log.RecordsAbout("e-1-12").size(), "an attempt belongs to its request");
  EXPECT_NUMBER(0, log.RecordsAbout("e-1-1").size(), "a prefix is another request");
}

}  // namespace junctionrail

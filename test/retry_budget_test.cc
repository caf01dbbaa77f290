// The number of entries that limits of the fleet are divided by.
#include "check.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {

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

TEST(EntryCount, KeepsTheLastCountWithoutAnAgent) {
  EntryCount count;
  count.Update(25, 1000);
  count.Update(0, 500000);
  EXPECT_NUMBER(25, count.value(), "no agent tells otherwise");
}

}  // namespace junctionrail

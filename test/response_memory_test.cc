// Which attempts end when unfinished responses hold too many bytes in sum.
#include "../src/gateway/response_memory.h"

#include <functional>
#include <string>
#include <string_view>

#include "check.h"

namespace junctionrail::internal {
namespace {

constexpr std::size_t kMiB = 1 << 20;

struct Ends {
  ResponseMemory::EndCallback Note(const std::string& name) {
    return [this, name](std::string_view reason) {
      names += name;
      last_reason = reason;
    };
  }

  std::string names;
  std::string last_reason;
};

}  // namespace

TEST_GROUP(ResponseMemories){};

// Guards against bytes that count after their attempt, until nothing may be held.
TEST(ResponseMemories, GiveBackWhatAnAttemptHeld) {
  ResponseMemory memory;
  Ends ends;
  const auto a = memory.Add("u1", ends.Note("a"));
  const auto b = memory.Add("u1", ends.Note("b"));
  memory.SetBytes(a, 3000);
  memory.SetBytes(b, 200);
  memory.SetBytes(a, 1000);
  EXPECT_NUMBER(1200, memory.held_bytes(), "held by both");
  memory.Remove(a);
  memory.Remove(a);
  EXPECT_NUMBER(200, memory.held_bytes(), "held by the second");
  memory.Remove(b);
  EXPECT_TRUE(!memory.SetBytes(b, 100 * kMiB), "an attempt that is over holds nothing");
  EXPECT_NUMBER(0, memory.held_bytes(), "held by none");
}

// Guards against attempts that end although no bound is exceeded.
TEST(ResponseMemories, EndNoneWithinTheBounds) {
  ResponseMemory memory;
  Ends ends;
  EXPECT_TRUE(!memory.SetBytes(memory.Add("u1", ends.Note("a")), 32 * kMiB), "within");
  EXPECT_TRUE(!memory.SetBytes(memory.Add("u2", ends.Note("b")), 32 * kMiB), "within");
  memory.EndExcess();
  EXPECT_TEXT("", ends.names, "ended attempts");
  EXPECT_NUMBER(0, memory.ended_attempts(), "ended attempts");
}

// Guards against a small response that fails for the bytes of a large one.
TEST(ResponseMemories, EndTheLargestOfTheUpstream) {
  ResponseMemory memory;
  Ends ends;
  memory.SetBytes(memory.Add("u2", ends.Note("x")), 20 * kMiB);
  memory.SetBytes(memory.Add("u1", ends.Note("a")), 10 * kMiB);
  memory.SetBytes(memory.Add("u1", ends.Note("b")), 15 * kMiB);
  EXPECT_TRUE(memory.SetBytes(memory.Add("u1", ends.Note("c")), 8 * kMiB), "a bound is exceeded");
  memory.EndExcess();
  EXPECT_TEXT("b", ends.names, "ended attempts");
  EXPECT_TEXT(kUpstreamResponsesTooLong, ends.last_reason, "the reason");
  EXPECT_NUMBER(38 * kMiB, memory.held_bytes(), "held by the others");
  EXPECT_NUMBER(1, memory.ended_attempts(), "ended attempts");
}

// Guards against a large response of a sound upstream that ends for many smaller ones of a faulty
// upstream.
TEST(ResponseMemories, EndThoseOfTheUpstreamThatHoldsMost) {
  ResponseMemory memory;
  Ends ends;
  memory.SetBytes(memory.Add("sound", ends.Note("s")), 9 * kMiB);
  for (int i = 0; i < 7; ++i) memory.SetBytes(memory.Add("u1", ends.Note("a")), 4 * kMiB);
  for (int i = 0; i < 9; ++i) memory.SetBytes(memory.Add("u2", ends.Note("b")), 3 * kMiB);
  EXPECT_NUMBER(64 * kMiB, memory.held_bytes(), "held");
  EXPECT_TRUE(memory.SetBytes(memory.Add("u3", ends.Note("c")), 1), "a bound is exceeded");
  memory.EndExcess();
  EXPECT_TEXT("a", ends.names, "ended attempts");
  EXPECT_TEXT(kResponsesTooLong, ends.last_reason, "the reason");
}

// Guards against a bound that one ended attempt is taken to restore.
TEST(ResponseMemories, EndAsManyAsExceedTheBound) {
  ResponseMemory memory;
  Ends ends;
  for (int i = 0; i < 5; ++i) memory.SetBytes(memory.Add("u1", ends.Note("a")), 15 * kMiB);
  memory.EndExcess();
  EXPECT_TEXT("aaa", ends.names, "ended attempts");
  EXPECT_NUMBER(30 * kMiB, memory.held_bytes(), "held by the others");
}

// Guards against an attempt that ends twice: its end removes it, or begins another attempt.
TEST(ResponseMemories, LetTheEndOfAnAttemptChangeThem) {
  ResponseMemory memory;
  ResponseMemory::AttemptId first = 0;
  int ends = 0;
  first = memory.Add("u1", [&](std::string_view) {
    ++ends;
    memory.Remove(first);
    memory.SetBytes(memory.Add("u2", [](std::string_view) {}), kMiB);
  });
  memory.SetBytes(first, 33 * kMiB);
  memory.EndExcess();
  EXPECT_NUMBER(1, ends, "ends of the first");
  EXPECT_NUMBER(kMiB, memory.held_bytes(), "held by the second");
}

}  // namespace junctionrail::internal

// Which clients give way when they hold too many bytes in sum.
#include <string>
#include <vector>

#include "check.h"
#include "junctionrail/net.h"

namespace junctionrail {
namespace {

constexpr std::size_t kKiB = 1 << 10;
constexpr std::size_t kMiB = 1 << 20;
constexpr DurationMs kLongMs = 60000;

struct Crowd {
  explicit Crowd(std::size_t total_bytes = 8 * kMiB, std::size_t largest_request_bytes = kMiB)
      : memory(std::make_shared<ClientMemory>(
            ClientMemory::Limits{total_bytes, largest_request_bytes})) {}

  // Adds a client that may have to give way; returns whether it found room.
  bool Add(const std::string& name, std::size_t bytes, TimeMs now) {
    clients.push_back(memory->Reserve([this, name] { evicted += name; }, now));
    clients.back().SetEvictable(true);
    return clients.back().Resize(bytes, now);
  }

  std::shared_ptr<ClientMemory> memory;
  std::vector<ClientMemory::Reservation> clients;
  std::string evicted;
};

}  // namespace

TEST_GROUP(ClientMemories){};

// Guards against bytes that count for ever after their client has gone.
TEST(ClientMemories, GetBackWhatAClientHeld) {
  Crowd crowd;
  crowd.Add("a", 3000, 0);
  crowd.Add("b", 200, 0);
  EXPECT_NUMBER(3200, crowd.memory->held_bytes(), "held by both");
  crowd.clients[0].Resize(1000, 0);
  EXPECT_NUMBER(1200, crowd.memory->held_bytes(), "after one became smaller");
  crowd.clients.clear();
  EXPECT_NUMBER(0, crowd.memory->held_bytes(), "after both have gone");
}

// Guards against bodies that arrive and are all given up for each other before one is whole.
TEST(ClientMemories, RefuseTheLastLargeRequestWhileTheOthersMakeProgress) {
  Crowd crowd;
  for (int n = 0; n < 6; ++n) EXPECT_TRUE(crowd.Add("a", kMiB, 0), std::to_string(n));
  EXPECT_TRUE(!crowd.Add("b", kMiB, 0), "no room");
  EXPECT_TEXT("", crowd.evicted, "others gave way");
  EXPECT_NUMBER(1, crowd.memory->refusals(), "refused");
}

// Guards against a crowd that stops just short of the end, and keeps everybody out for good.
TEST(ClientMemories, GiveUpThoseThatMakeNoProgress) {
  Crowd crowd;
  for (int n = 0; n < 6; ++n) crowd.Add(std::to_string(n), kMiB, 0);
  EXPECT_TRUE(crowd.Add("late", kMiB, kLongMs), "a large request");
  EXPECT_NUMBER(1, crowd.evicted.size(), "one gave way: " + crowd.evicted);
}

// Guards against clients that send a byte now and then, and so seem to make progress.
TEST(ClientMemories, TakeAFewBytesForNoProgress) {
  Crowd crowd;
  for (int n = 0; n < 5; ++n) crowd.Add("slow", kMiB, 0);
  for (TimeMs now = 0; now < 2000; now += 100) {
    for (auto& it : crowd.clients) it.Resize(kMiB + static_cast<std::size_t>(now) / 100, now);
  }
  EXPECT_TRUE(crowd.Add("late", kMiB, 2000), "a large request");
  EXPECT_TEXT("slow", crowd.evicted, "gave way");
}

// Guards against large bodies that take the room of ordinary requests.
TEST(ClientMemories, LeaveAPartToSmallRequests) {
  Crowd crowd;
  while (crowd.Add("large", kMiB, 0)) continue;
  for (int n = 0; n < 20; ++n) EXPECT_TRUE(crowd.Add("small", 10 * kKiB, 0), std::to_string(n));
  EXPECT_TEXT("", crowd.evicted, "gave way");
}

// Guards against a small request that is refused while large bodies are received.
TEST(ClientMemories, LetALargeBodyGiveWayToASmallRequest) {
  Crowd crowd;
  for (int n = 0; n < 6; ++n) crowd.Add("large", kMiB, 0);
  while (crowd.evicted.empty() && crowd.Add("small", 64 * kKiB, 0)) continue;
  EXPECT_TEXT("large", crowd.evicted, "gave way");
}

// Guards against many small clients that make no progress and keep a large request out.
TEST(ClientMemories, GiveUpSmallOnesWithoutProgressForALargeRequest) {
  Crowd crowd;
  while (crowd.Add("s", 60 * kKiB, 0)) continue;
  EXPECT_TRUE(crowd.Add("late", kMiB, kLongMs), "a large request");
  EXPECT_TRUE(crowd.evicted.size() >= 16 && crowd.evicted.size() <= 18, crowd.evicted);
}

// Guards against a whole request, which may run already, that gives way.
TEST(ClientMemories, NeverGiveUpWhatIsNotEvictable) {
  Crowd crowd;
  for (int n = 0; n < 6; ++n) crowd.Add("whole", kMiB, 0);
  for (auto& it : crowd.clients) it.SetEvictable(false);
  EXPECT_TRUE(!crowd.Add("late", kMiB, kLongMs), "no room");
  EXPECT_TEXT("", crowd.evicted, "gave way");
}

// Guards against a connection that holds nothing and is closed for another's memory.
TEST(ClientMemories, NeverGiveUpThoseThatHoldNothing) {
  Crowd crowd;
  crowd.Add("empty", 0, 0);
  for (int n = 0; n < 6; ++n) crowd.Add("whole", kMiB, 0);
  for (std::size_t n = 1; n < crowd.clients.size(); ++n) crowd.clients[n].SetEvictable(false);
  EXPECT_TRUE(!crowd.Add("late", 3 * kMiB, kLongMs), "no room");
  EXPECT_TEXT("", crowd.evicted, "gave way");
}

// Guards against a limit of one request that is larger than the memory of all: it could never be
// served.
TEST(ClientMemories, HaveRoomForASingleRequestOfTheLegalSize) {
  Crowd crowd(kMiB, 4 * kMiB);
  EXPECT_TRUE(!crowd.memory->SetLargestRequest(4 * kMiB), "within the total");
  EXPECT_TRUE(crowd.Add("single", 4 * kMiB, 0), "the single request");
  EXPECT_TRUE(!crowd.Add("second", 4 * kMiB, 0), "a second one");
  EXPECT_TRUE(crowd.Add("small", 10 * kKiB, 0), "a small one beside it");
}

}  // namespace junctionrail

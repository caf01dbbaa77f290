// Regression tests for an incident with a prompt part that crashes the upstreams that answer it.
//
// On one fleet each upstream that began to write an answer on one part of a prompt crashed, and
// such requests, no two alike, came through all entries: 28 of them were sent on after the fifth
// crash, and 42 upstreams crashed in all, each with the requests of other callers. An entry knew a
// request again by its method, target, caller and whole body, so that no two of these had anything
// in common, and a response that ends with its connection hid the crash under it. The tests below
// failed before this was fixed.

#include "check.h"
#include "direct_fleet.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::internal {
namespace {

using testing::Chunk;
using testing::CrashingFleet;
using testing::HasText;
using testing::RunFor;
using testing::SeenRequest;
using testing::TestCaller;

constexpr std::uint16_t kPort = 8170;
constexpr std::uint16_t kLinkPort = 8270;
constexpr char kCrashingPart[] = "dead";
constexpr DurationMs kEventMs = 15;
constexpr int kEvents = 4;
constexpr DurationMs kCrashAfterAnswerMs = 20;
constexpr DurationMs kRestartMs = 600;
// By then all entries know of a crash.
constexpr DurationMs kKnownMs = 3000;
// The users' rule: from kKnownMs after so many crashes on, at most three requests with the part are
// sent to upstreams.
constexpr int kCrashesToKnow = 5;
constexpr int kMaxLate = 3;

// How an engine frames its streams.
enum class Framing { kChunks, kClose };

// Engines that crash when they begin to answer a request with kCrashingPart, each with an agent;
// and the entries that a test adds.
struct World : CrashingFleet {
  explicit World(int engine_count, Framing engine_framing = Framing::kChunks)
      : CrashingFleet(kPort, kLinkPort), framing(engine_framing) {
    restart_ms = kRestartMs;
    AddEngines(engine_count, true);
  }
  ~World() override { Stop(); }

  void Handle(std::size_t n, const SeenRequest& request, const Peer& peer) override {
    const bool is_crashing = HasText(request.Field("Prompt-Prefix"), kCrashingPart);
    if (is_crashing && crashes >= kCrashesToKnow && MonotonicMs() - fifth_crash_at > kKnownMs) {
      ++late_runs;
    }
    const bool is_chunked = framing == Framing::kChunks;
    peer->Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Field("Attempt-Id") +
                "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n" +
                (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
    Stream(n, 1, is_crashing, peer);
  }

  void OnCrash() override {
    if (crashes == kCrashesToKnow) fifth_crash_at = MonotonicMs();
  }

  void Stream(std::size_t n, int next, bool is_crashing, const Peer& peer) {
    if (peer->IsEnded()) return;
    const bool is_chunked = framing == Framing::kChunks;
    if (next > kEvents) {
      if (is_crashing)
        After(kCrashAfterAnswerMs, [this, n, name = InstanceAt(n)] { Crash(n, name); });
      return is_chunked ? peer->Write("0\r\n\r\n") : peer->Close();
    }
    // Between two events, and with the connection closed in order.
    if (is_crashing && next > 2 && !crashes_after_answers) {
      if (!is_chunked) peer->Close();
      return Crash(n, InstanceAt(n));
    }
    const std::string event = "id: " + std::to_string(next) + "\ndata: x\n\n";
    peer->Write(is_chunked ? Chunk(event) : event);
    After(kEventMs, [this, n, next, is_crashing, peer] { Stream(n, next + 1, is_crashing, peer); });
  }

  // Sends a request whose prompt has these parts before its own; no two requests are alike.
  std::unique_ptr<TestCaller> Send(std::size_t entry, const std::string& parts) {
    const std::string id = "r" + std::to_string(++requests);
    auto caller = std::make_unique<TestCaller>(io, EntryAddress(entry % entries.size()));
    caller->Send("POST /s/" + id + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
                 "\r\nModel: m1\r\nDeadline-Ms: 6000\r\nPrompt-Prefix: " + parts + ",o" + id +
                 ":20\r\nContent-Length: " + std::to_string(id.size()) +
                 "\r\nConnection: close\r\n\r\n" + id);
    return caller;
  }

  std::string Call(std::size_t entry, const std::string& parts) {
    const auto caller = Send(entry, parts);
    caller->AwaitEnd();
    return caller->received();
  }

  Framing framing;
  int requests = 0;
  int late_runs = 0;  // Of requests with the part, when all entries must know it.
  // Whether engines crash soon after a whole answer to the part, in place of during one.
  bool crashes_after_answers = false;
  TimeMs fifth_crash_at = 0;
};

constexpr char kCrashing[] = "f1:100,dead:50";

// One of three prompts that share their first part, and one of them another, with the crashing one.
std::string SoundParts(int n) {
  constexpr const char* kParts[] = {"f1:100,g1:30", "f1:100,g2:30", "f1:100,g3:30"};
  return kParts[n % 3];
}

bool IsWhole(const std::string& answer) {
  return HasText(answer, "id: 4\n") && HasText(answer, "\r\n0\r\n\r\n");
}

// Requests with the crashing part through all entries in turn, among sound ones, for some seconds.
struct Attack {
  explicit Attack(World* attacked) : world(*attacked) {}

  void Run(DurationMs duration_ms) {
    const TimeMs until = MonotonicMs() + duration_ms;
    const TimeMs late_from = until - kLastMs;
    for (std::size_t n = 0; MonotonicMs() < until; ++n) {
      const bool is_late = MonotonicMs() > late_from;
      crashing.push_back(world.Send(n, kCrashing));
      for (int i = 0; i < 2; ++i) {
        auto& sound = is_late ? last_sound : first_sound;
        sound.push_back(world.Send(n + static_cast<std::size_t>(i), SoundParts(i + sent++)));
      }
      RunFor(world.io, kPaceMs);
    }
    for (const auto* all : {&crashing, &first_sound, &last_sound}) {
      for (const auto& it : *all) it->AwaitEnd();
    }
  }

  void ExpectFewLateRuns() const {
    EXPECT_TRUE(world.late_runs <= kMaxLate, "expected at most 3 late sends, got " +
                                                 std::to_string(world.late_runs) + "; " +
                                                 std::to_string(world.crashes) + " crashes");
  }

  // Of the sound requests of the last seconds, 9 in 10.
  void ExpectSoundServed() const {
    const int all = static_cast<int>(last_sound.size());
    const int whole = CountWhole(last_sound);
    EXPECT_TRUE(whole >= all * 9 / 10, "expected 9 in 10 sound requests to be served, got " +
                                           std::to_string(whole) + " of " + std::to_string(all));
  }

  static int CountWhole(const std::vector<std::unique_ptr<TestCaller>>& callers) {
    int n = 0;
    for (const auto& it : callers) n += IsWhole(it->received()) ? 1 : 0;
    return n;
  }

  static constexpr DurationMs kPaceMs = 60;
  static constexpr DurationMs kLastMs = 1500;
  World& world;
  int sent = 0;
  std::vector<std::unique_ptr<TestCaller>> crashing;
  std::vector<std::unique_ptr<TestCaller>> first_sound;
  std::vector<std::unique_ptr<TestCaller>> last_sound;
};

}  // namespace

TEST_GROUP(PromptParts){};

// Guards against requests, no two alike, whose common prompt part crashes one upstream after the
// other.
TEST(PromptParts, ThatCrashUpstreamsAreRefusedAndThoseBesideThemServed) {
  World world(6);
  for (int n = 0; n < 3; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 9; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  Attack attack(&world);
  attack.Run(8000);
  attack.ExpectFewLateRuns();
  EXPECT_TRUE(HasText(attack.crashing.back()->received(), "ends_upstreams"),
              attack.crashing.back()->received());
  attack.ExpectSoundServed();
  for (const auto* callers : {&attack.first_sound, &attack.last_sound}) {
    for (const auto& it : *callers) {
      EXPECT_TRUE(!HasText(it->received(), "ends_upstreams"), "a sound request is refused");
    }
  }
}

// Guards against a crash that is taken for the end of the response which caused it, and clears it.
TEST(PromptParts, ThatCrashUpstreamsAreRefusedIfResponsesEndWithTheirConnection) {
  World world(6, Framing::kClose);
  for (int n = 0; n < 3; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 9; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  Attack attack(&world);
  attack.Run(8000);
  attack.ExpectFewLateRuns();
  for (const auto& it : attack.crashing) {
    EXPECT_TRUE(!HasText(it->received(), "\r\n0\r\n\r\n"),
                "a stream that a crash cut off looks complete: " + it->received());
  }
  attack.ExpectSoundServed();
}

// Guards against a shared first part that is refused as no entry has seen it answered yet.
TEST(PromptParts, ThatNoEntryHasSeenAnsweredAreToldApart) {
  World world(6);
  for (int n = 0; n < 3; ++n) world.AddEntry();
  Attack attack(&world);
  attack.Run(8000);
  attack.ExpectFewLateRuns();
  attack.ExpectSoundServed();
}

// Guards against a part that is taken for a sound one as a short answer to it was whole before its
// upstream crashed.
TEST(PromptParts, ThatCrashUpstreamsAreRefusedThoughShortAnswersToThemWereWhole) {
  World world(6);
  for (int n = 0; n < 3; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 9; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  world.crashes_after_answers = true;
  for (std::size_t n = 0; n < 3; ++n) world.Call(n, kCrashing);
  RunFor(world.io, kRestartMs);
  EXPECT_NUMBER(3, world.crashes, "crashes after whole answers");
  world.crashes_after_answers = false;
  Attack attack(&world);
  attack.Run(8000);
  attack.ExpectFewLateRuns();
  attack.ExpectSoundServed();
}

namespace {

// Requests with a crashing part reach all entries at the same moment, again and again, among sound
// ones without it.
struct Pulses {
  Pulses(World* attacked, std::string parts) : world(*attacked), crashing_parts(std::move(parts)) {}

  void Run(int count) {
    constexpr DurationMs kPulseMs = 2000;
    for (int n = 0; n < count; ++n) {
      for (std::size_t k = 0; k < world.entries.size(); ++k) {
        crashing.push_back(world.Send(k, crashing_parts));
      }
      const TimeMs until = MonotonicMs() + kPulseMs;
      for (std::size_t k = 0; MonotonicMs() < until; ++k) {
        sound.push_back(world.Send(k, SoundParts(static_cast<int>(k))));
        RunFor(world.io, kPaceMs);
      }
    }
    for (const auto* callers : {&crashing, &sound}) {
      for (const auto& it : *callers) it->AwaitEnd();
    }
    EXPECT_TRUE(world.crashes >= kCrashesToKnow, "crashes: " + std::to_string(world.crashes));
    EXPECT_TRUE(world.late_runs <= kMaxLate, "expected at most 3 late sends, got " +
                                                 std::to_string(world.late_runs) + "; " +
                                                 std::to_string(world.crashes) + " crashes");
    for (const auto& it : sound) {
      EXPECT_TRUE(!HasText(it->received(), "ends_upstreams"), "a sound request is refused");
    }
  }

  static constexpr DurationMs kPaceMs = 80;
  World& world;
  std::string crashing_parts;
  std::vector<std::unique_ptr<TestCaller>> crashing;
  std::vector<std::unique_ptr<TestCaller>> sound;
};

}  // namespace

// Guards against a part that is not found as it is the only one of its prompts, and against entries
// that each send one such request at the same moment.
TEST(PromptParts, ThatAreAloneInTheirPromptsAreRefusedByAllEntries) {
  World world(6);
  for (int n = 0; n < 4; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 8; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  Pulses(&world, "dead:50").Run(6);
}

// Guards against two parts that always come together and are never told apart.
TEST(PromptParts, ThatAlwaysComeTogetherAreRefusedTogether) {
  World world(6);
  for (int n = 0; n < 4; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 8; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  Pulses(&world, "h1:100,dead:50").Run(6);
}

// Guards against an entry that starts later, or is told by the store alone, and tries again.
TEST(PromptParts, ThatCrashUpstreamsAreRefusedByAnEntryThatStartsLater) {
  World world(6);
  for (int n = 0; n < 2; ++n) world.AddEntry();
  for (std::size_t n = 0; n < 6; ++n) world.Call(n, SoundParts(static_cast<int>(n)));
  Attack attack(&world);
  attack.Run(2000);
  const int crashes = world.crashes;
  world.AddEntry();
  const std::string answer = world.Call(2, kCrashing);
  EXPECT_TRUE(HasText(answer, "ends_upstreams"), answer);
  EXPECT_NUMBER(crashes, world.crashes, "no further crash");
}

}  // namespace junctionrail::internal

// Many unfinished responses at once: what they hold in sum has a bound, however many upstreams send
// without an end.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/gateway.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::EventChunk;
using testing::EventStreamHead;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::size_t kMiB = 1 << 20;
constexpr std::size_t kMaxBytes = 64 * kMiB;
constexpr std::size_t kMaxUpstreamBytes = 32 * kMiB;
// Each connection is read once more before an attempt ends.
constexpr std::size_t kReadBytes = 8 << 10;
constexpr std::size_t kPieceBytes = 16 << 10;
// Beyond the bound of one response.
constexpr std::size_t kMostBytes = 20 * kMiB;
// Of all entries; this one opens an eighth of them.
constexpr int kMaxConnections = 1024;
constexpr char kUnframedHead[] =
    "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n\r\n";

// Requests at upstreams that answer them as the test says, and one sound upstream of another
// service.
struct ManyRequests {
  explicit ManyRequests(const Route& route) : route(route) {
    fixture.max_connections = kMaxConnections;
    fixture.AddUpstream("sound", SoundService(), [](const SeenRequest&, const Peer& peer) {
      peer->Write(OkResponse("sound"));
    });
    fixture.Configure({route, MakeRoute("/sound/", RequestKind::kNonIdempotent, SoundService())});
  }

  std::string SoundService() const {
    return route.traffic_split[0].service == "plain" ? "engine" : "plain";
  }

  void AddUpstream(const std::string& instance, std::vector<Peer>* peers) {
    fixture.AddUpstream(instance, route.traffic_split[0].service,
                        [peers](const SeenRequest&, const Peer& peer) { peers->push_back(peer); });
  }

  void Begin(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
      callers.back()->Send(MakeRequest("POST " + route.path_prefix, "", "order"));
    }
  }

  void Await(const std::function<bool()>& is_done, const std::string& what) {
    EXPECT_TRUE(RunUntil(fixture.io, is_done), what);
  }

  void Poll() {
    fixture.io.restart();
    fixture.io.poll();
    most_held = std::max(most_held, fixture.gateway->held_response_bytes());
  }

  // Each upstream's connection sends up to `most_bytes`, unless it is closed.
  void WriteToAll(const std::vector<Peer>& peers, std::size_t most_bytes) {
    const std::string piece(kPieceBytes, 'x');
    for (std::size_t n = 0; n < most_bytes; n += kPieceBytes) {
      for (const auto& it : peers) {
        if (it->IsEnded()) continue;
        it->Write(piece);
        Poll();
      }
      if (n % kMiB == 0) ExpectSoundUpstreamServes();
    }
  }

  void ExpectSoundUpstreamServes() {
    const std::string answer = fixture.Fetch(MakeRequest("POST /sound/", "", "order"));
    EXPECT_TRUE(Contains(answer, "200 OK"), answer);
  }

  void ExpectHeldAtMost(std::size_t bytes) const {
    EXPECT_TRUE(most_held > bytes / 2, "held: " + std::to_string(most_held));
    EXPECT_TRUE(most_held <= bytes + callers.size() * kReadBytes,
                "held: " + std::to_string(most_held));
  }

  void ExpectNothingHeld() {
    Await([&] { return fixture.gateway->held_response_bytes() == 0; }, "nothing is held");
  }

  std::size_t CountAnswers(const std::string& text) {
    return std::count_if(callers.begin(), callers.end(), [&](const auto& it) {
      it->AwaitEnd();
      return Contains(it->received(), text);
    });
  }

  Route route;
  testing::GatewayFixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
  std::size_t most_held = 0;
};

std::size_t CountEnded(const std::vector<Peer>& peers) {
  return std::count_if(peers.begin(), peers.end(), [](const Peer& it) { return it->IsEnded(); });
}

void WriteAll(const std::vector<Peer>& peers, const std::string& bytes) {
  for (const auto& it : peers) it->Write(bytes);
}

}  // namespace

TEST_GROUP(ManyEndlessResponses){};

// Guards against unfinished bodies of one upstream that use up the memory of the process, each
// within its own bound.
TEST(ManyEndlessResponses, OfOneUpstreamStayWithinItsBound) {
  constexpr std::size_t kRequests = 24;
  std::vector<Peer> peers;
  ManyRequests test(MakeRoute("/a/", RequestKind::kNonIdempotent, "plain"));
  test.AddUpstream("faulty", &peers);
  test.Begin(kRequests);
  test.Await([&] { return peers.size() == kRequests; }, "the requests are sent");
  WriteAll(peers, kUnframedHead);
  test.WriteToAll(peers, kMostBytes);
  test.ExpectHeldAtMost(kMaxUpstreamBytes);
  EXPECT_NUMBER(kRequests, CountEnded(peers), "connections that were closed");
  EXPECT_NUMBER(kRequests, test.CountAnswers(R"("ran":"unknown")"), "unknown outcomes");
  EXPECT_NUMBER(test.fixture.gateway->counters().excess_responses,
                test.CountAnswers("more than 32 MiB of unfinished responses of one upstream"),
                "answers that name the bound");
  EXPECT_NUMBER(0, test.fixture.gateway->counters().upstreams_crashed, "crashes");
  test.ExpectNothingHeld();
}

// Guards against the same with several upstreams, each within its bound, and against a large
// response of a sound upstream that fails for theirs.
TEST(ManyEndlessResponses, OfSeveralUpstreamsStayWithinTheBoundOfAll) {
  constexpr std::size_t kRequests = 30;
  constexpr std::size_t kSoundBytes = 4 * kMiB;
  std::vector<Peer> peers;
  std::vector<Peer> large;
  ManyRequests test(MakeRoute("/a/", RequestKind::kNonIdempotent, "plain"));
  test.AddUpstream("large", &large);
  test.Begin(1);
  test.Await([&] { return !large.empty(); }, "the first request is sent");
  large[0]->Write(kUnframedHead);
  test.WriteToAll(large, kSoundBytes);
  for (const char* it : {"faulty1", "faulty2", "faulty3"}) test.AddUpstream(it, &peers);
  test.Begin(kRequests);
  test.Await([&] { return peers.size() + large.size() == kRequests + 1; }, "the requests are sent");
  WriteAll(peers, kUnframedHead);
  test.WriteToAll(peers, 8 * kMiB);
  test.ExpectHeldAtMost(kMaxBytes);
  EXPECT_TRUE(CountEnded(peers) > 0, "connections that were closed");
  EXPECT_TRUE(!large[0]->IsEnded(), "the large response goes on");
  for (const auto& it : large) it->Close();
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.callers[0]->received(), "200 OK"), "the large response");
  EXPECT_TRUE(test.callers[0]->received().size() > kSoundBytes, "the large response is whole");
  for (const auto& it : peers) it->Close();
  test.ExpectNothingHeld();
}

// Guards against repeatable requests that are not sent elsewhere.
TEST(ManyEndlessResponses, LetRepeatableRequestsGoElsewhere) {
  constexpr std::size_t kRequests = 12;
  std::vector<Peer> peers;
  ManyRequests test(MakeRoute("/a/", RequestKind::kIdempotent, "plain"));
  test.AddUpstream("faulty", &peers);
  test.Begin(kRequests);
  test.Await([&] { return peers.size() == kRequests; }, "the requests are sent");
  test.fixture.AddUpstream(
      "other", "plain", [](const SeenRequest&, const Peer& it) { it->Write(OkResponse("two")); });
  WriteAll(peers, kUnframedHead);
  test.WriteToAll(peers, kMostBytes);
  test.ExpectHeldAtMost(kMaxUpstreamBytes);
  EXPECT_TRUE(test.fixture.gateway->counters().excess_responses > 0, "attempts ended");
  EXPECT_NUMBER(kRequests, test.CountAnswers("200 OK"), "answers");
  test.ExpectNothingHeld();
}

// Guards against unfinished events that use up the memory of the process at attempts that are kept
// beside others.
TEST(ManyEndlessResponses, OfKeptAttemptsStayWithinTheBound) {
  constexpr std::size_t kRequests = 40;
  std::vector<Peer> faulty;
  std::vector<Peer> sound;
  Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  route.timeout_ms = 30000;
  route.is_resumable = true;
  route.first_byte_target_ms = 100;
  ManyRequests test(route);
  test.AddUpstream("faulty", &faulty);
  test.Begin(kRequests);
  test.Await([&] { return faulty.size() == kRequests; }, "the requests are sent");
  WriteAll(faulty, EventStreamHead() + "fffff\r\n");
  test.AddUpstream("other", &sound);
  test.Await([&] { return sound.size() == kRequests; }, "the requests are sent beside");
  test.WriteToAll(faulty, kMiB - 2 * kPieceBytes);
  test.ExpectHeldAtMost(kMaxUpstreamBytes);
  EXPECT_TRUE(CountEnded(faulty) > 0, "connections that were closed");
  WriteAll(sound, EventStreamHead() + EventChunk(1) + "0\r\n\r\n");
  EXPECT_NUMBER(kRequests, test.CountAnswers("id: 1"), "streams");
  test.ExpectNothingHeld();
}

TEST_GROUP(HeldResponseBytes){};

namespace {

// One request, and what is held of its response.
struct HeldRequest : ManyRequests {
  explicit HeldRequest(RequestKind kind) : ManyRequests(MakeRoute("/a/", kind, "engine")) {
    AddUpstream("u1", &peers);
    Begin(1);
    Await([&] { return !peers.empty(); }, "the request is sent");
  }

  void Write(const std::string& bytes) {
    peers[0]->Write(bytes);
    RunFor(fixture.io, 20);
  }

  std::size_t held() const { return fixture.gateway->held_response_bytes(); }

  std::vector<Peer> peers;
};

}  // namespace

// Guards against a part of a head that does not count, and against a response that counts once it
// was relayed.
TEST(HeldResponseBytes, AreThoseOfAHeadAndABodyUntilTheyAreRelayed) {
  HeldRequest test(RequestKind::kNonIdempotent);
  const std::string field = "X: " + std::string(3000, 'x');
  test.Write("HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n" + field);
  EXPECT_TRUE(test.held() > 3000, "a part of a head");
  test.Write("\r\nContent-Length: 5000\r\n\r\n" + std::string(4999, 'y'));
  EXPECT_TRUE(test.held() > 7999 && test.held() < 9000, "a head and a part of a body");
  test.Write("y");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the response");
  EXPECT_NUMBER(0, test.held(), "held bytes");
}

// Guards against framing that does not count.
TEST(HeldResponseBytes, AreThoseOfTheFramingOfABody) {
  HeldRequest test(RequestKind::kNonIdempotent);
  test.Write(
      "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5;x=" +
      std::string(3000, 'x'));
  EXPECT_TRUE(test.held() > 3000, "a part of a chunk header");
  test.Write("\r\nhello\r\n");
  EXPECT_TRUE(test.held() < 1000, "the chunk header was read");
  test.Write("0\r\n\r\n");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the response");
  EXPECT_NUMBER(0, test.held(), "held bytes");
}

// Guards against whole events that count after they were relayed.
TEST(HeldResponseBytes, AreThoseOfAnEventUntilItIsRelayed) {
  HeldRequest test(RequestKind::kStreaming);
  test.Write(EventStreamHead());
  const std::size_t of_head = test.held();
  test.Write("1000\r\nid: 1\ndata: " + std::string(4000, 'x'));
  EXPECT_TRUE(test.held() > of_head + 4000, "a part of an event");
  test.Write(std::string(0x1000 - 4000 - 14, 'x') + "\n\n\r\n");
  // The end of a chunk is read with the next one.
  EXPECT_NUMBER(of_head + 2, test.held(), "held bytes after the event");
  test.Write("0\r\n\r\n");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the response");
  EXPECT_NUMBER(0, test.held(), "held bytes");
}

// Guards against bytes that count after the upstream has ended within a response.
TEST(HeldResponseBytes, AreGivenBackByABrokenResponse) {
  HeldRequest test(RequestKind::kNonIdempotent);
  test.Write(
      "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
      "Content-Length: 5000\r\n\r\n" +
      std::string(4000, 'x'));
  EXPECT_TRUE(test.held() > 4000, "a part of a body");
  test.peers[0]->Reset();
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the response");
  EXPECT_NUMBER(0, test.held(), "held bytes");
}

// Guards against bytes that count after the caller has left.
TEST(HeldResponseBytes, AreGivenBackAsTheCallerLeaves) {
  HeldRequest test(RequestKind::kNonIdempotent);
  test.Write(kUnframedHead + std::string(4000, 'x'));
  EXPECT_TRUE(test.held() > 4000, "a part of a body");
  test.callers[0]->Close();
  test.ExpectNothingHeld();
}

}  // namespace junctionrail

// An upstream that falls silent for a second or so and then goes on, as a sound one may.
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <functional>
#include <memory>
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
using Fixture = testing::GatewayFixture;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr char kLastChunk[] = "0\r\n\r\n";
constexpr char kNotRunResponse[] =
    "HTTP/1.1 503 Full\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
// Of the silence after which another upstream is tried: 2.5 times the target for pauses.
constexpr DurationMs kPauseTargetMs = 40;
constexpr DurationMs kSilenceMs = 100;
constexpr DurationMs kUpstreamSilenceMs = 400;
// Of a process that is away; longer than the set-up of many callers takes.
constexpr DurationMs kAwayMs = 1500;
// More than the event loop takes from the kernel in one turn, 128: it runs timers before it has
// seen the rest.
constexpr int kManyCallers = 200;

// Upstreams "silent" and "other". The first to get the request sends a head and one event and then
// is silent until the test says more; the script of the other one is the test's.
struct SilentStream {
  explicit SilentStream(testing::ScriptedUpstream::Script script) : other(std::move(script)) {
    for (const char* name : {"u1", "u2"}) {
      fixture.AddUpstream(name, "engine", [this](const SeenRequest& request, const Peer& peer) {
        if (silent != nullptr) return other(request, peer);
        silent = peer;
        peer->Write(EventStreamHead() + EventChunk(1) + "9\r\nid: 2\ndat\r\n");
      });
    }
    Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
    route.is_resumable = true;
    route.stream_gap_target_ms = kPauseTargetMs;
    fixture.Configure({route});
    caller = std::make_unique<TestCaller>(fixture.io, fixture.port);
    caller->Send(MakeRequest("POST /s/"));
    EXPECT_TRUE(caller->AwaitText("id: 1"), "the stream begins");
  }

  // Ends the event that the silence cut, and the stream.
  void SilentGoesOn() { silent->Write("6\r\na: x\n\n\r\n" + EventChunk(3) + kLastChunk); }

  void ExpectWholeStream() {
    EXPECT_TRUE(caller->AwaitEnd(), "the caller's connection ends");
    const std::string& got = caller->received();
    for (const char* event : {"id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 3\ndata: x\n\n"}) {
      EXPECT_TRUE(Contains(got, event), event + (" is missing in " + got));
      EXPECT_TRUE(got.find(event) == got.rfind(event), event + (" stands twice in " + got));
    }
    EXPECT_TRUE(Contains(got, kLastChunk), "expected the last chunk, got " + got);
  }

  Fixture fixture;
  testing::ScriptedUpstream::Script other;
  Peer silent;
  std::unique_ptr<TestCaller> caller;
};

}  // namespace

TEST_GROUP(SilentUpstreams){};

// Guards against a begun stream that is given up for the silence of a sound upstream, as the
// upstream that was to take it over refused: callers got a stream without its end.
TEST(SilentUpstreams, KeepTheirStreamIfTheOtherOneRefuses) {
  SilentStream test([](const SeenRequest&, const Peer& peer) { peer->Write(kNotRunResponse); });
  RunFor(test.fixture.io, kUpstreamSilenceMs);
  test.SilentGoesOn();
  test.ExpectWholeStream();
}

// Guards against the same where the connection to the other upstream breaks.
TEST(SilentUpstreams, KeepTheirStreamIfTheOtherOneBreaksOff) {
  SilentStream test([](const SeenRequest&, const Peer& peer) { peer->Reset(); });
  RunFor(test.fixture.io, kUpstreamSilenceMs);
  test.SilentGoesOn();
  test.ExpectWholeStream();
}

// Guards against a stream that its upstream goes on with before the other one has begun, and that
// is lost as the other one then fails.
TEST(SilentUpstreams, GoOnWithTheirStreamIfTheyAreFirst) {
  Peer other;
  SilentStream test([&](const SeenRequest&, const Peer& peer) { other = peer; });
  RunUntil(test.fixture.io, [&] { return other != nullptr; });
  test.SilentGoesOn();
  test.ExpectWholeStream();
  EXPECT_TRUE(RunUntil(test.fixture.io, [&] { return other->IsEnded(); }),
              "the other upstream's connection is closed");
}

// Guards against two upstreams at work on one stream.
TEST(SilentUpstreams, LoseTheirStreamOnceTheOtherOneHasBegun) {
  SilentStream test([](const SeenRequest& request, const Peer& peer) {
    EXPECT_TEXT("1", request.Field("Last-Event-ID"), "the last complete event");
    peer->Write(EventStreamHead() + EventChunk(2) + EventChunk(3) + kLastChunk);
  });
  test.ExpectWholeStream();
  EXPECT_TRUE(RunUntil(test.fixture.io, [&] { return test.silent->IsEnded(); }),
              "the silent upstream's connection is closed");
}

// Guards against a begun stream that is given up, while its upstream is silent, as the
// configuration has changed meanwhile and lets no attempt follow.
TEST(SilentUpstreams, KeepTheirStreamBesideAChangeOfTheConfiguration) {
  Peer other;
  SilentStream test([&](const SeenRequest&, const Peer& peer) { other = peer; });
  RunUntil(test.fixture.io, [&] { return other != nullptr; });
  Route elsewhere = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  elsewhere.allowed_regions = std::set<std::string>{"elsewhere"};
  test.fixture.Configure({elsewhere}, 2);
  other->Reset();
  RunFor(test.fixture.io, kUpstreamSilenceMs);
  test.SilentGoesOn();
  test.ExpectWholeStream();
}

// Guards against a request that is answered with an unknown outcome while its upstream, silent
// before its response, still works on it.
TEST(SilentUpstreams, KeepTheirRequestIfTheOtherOneRefuses) {
  Fixture fixture;
  Peer silent;
  for (const char* name : {"u1", "u2"}) {
    fixture.AddUpstream(name, "plain", [&](const SeenRequest&, const Peer& peer) {
      if (silent != nullptr) return peer->Write(kNotRunResponse);
      silent = peer;
    });
  }
  Route route = MakeRoute("/a/", RequestKind::kIdempotent, "plain");
  route.first_byte_target_ms = 100;
  fixture.Configure({route});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /a/"));
  RunFor(fixture.io, kUpstreamSilenceMs);
  for (const auto& it : fixture.upstreams) EXPECT_TRUE(!it->seen().empty(), "each got the request");
  silent->Write(OkResponse("late"));
  EXPECT_TRUE(caller.AwaitEnd() && Contains(caller.received(), "200 OK"), caller.received());
}

namespace {

// Requests of as many callers at one upstream.
struct ManyRequests {
  ManyRequests(const Route& route, const std::string& line,
               std::function<void(const Peer& peer)> begin) {
    for (const char* name : {"u1", "u2"}) {
      fixture.AddUpstream(name, route.traffic_split[0].service,
                          [this, begin](const SeenRequest&, const Peer& peer) {
                            peers.push_back(peer);
                            begin(peer);
                          });
    }
    fixture.max_connections = 100 * kManyCallers;
    fixture.Configure({route});
    for (int i = 0; i < kManyCallers; ++i) {
      callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
      callers.back()->Send(MakeRequest(line));
    }
    EXPECT_TRUE(RunUntil(fixture.io, [&] { return peers.size() == callers.size(); }),
                "each request is at an upstream");
  }

  // The process neither reads nor runs a timer, while the upstreams write.
  void WriteDuringStandstill(const std::string& bytes) {
    usleep(kAwayMs * 1000);
    for (const auto& it : peers) it->Write(bytes);
  }

  int CountWhole(const std::string& end) {
    int whole = 0;
    for (const auto& it : callers) whole += it->AwaitText(end) ? 1 : 0;
    return whole;
  }

  Fixture fixture;
  std::vector<Peer> peers;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

}  // namespace

// Guards against an upstream that is held to be silent as this process was away: the rest of its
// response waits in the socket.
TEST(SilentUpstreams, AreNotThoseThatThisProcessDidNotReadFrom) {
  Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  route.is_resumable = true;
  route.stream_gap_target_ms = kAwayMs / 4;
  ManyRequests test(route, "POST /s/",
                    [](const Peer& peer) { peer->Write(EventStreamHead() + EventChunk(1)); });
  for (const auto& it : test.callers) EXPECT_TRUE(it->AwaitText("id: 1"), "the stream begins");
  test.WriteDuringStandstill(EventChunk(2) + kLastChunk);
  EXPECT_NUMBER(kManyCallers, test.CountWhole(kLastChunk), "whole streams");
  EXPECT_NUMBER(kManyCallers, test.peers.size(), "attempts");
}

// Guards against a response that is thrown away at the deadline, though it has arrived and this
// process only was late.
TEST(SilentUpstreams, AreNotThoseWhoseResponseWaitsAtTheDeadline) {
  Route route = MakeRoute("/a/", RequestKind::kNonIdempotent, "plain");
  route.timeout_ms = kAwayMs;
  ManyRequests test(route, "POST /a/", [](const Peer&) {});
  test.WriteDuringStandstill(OkResponse("hello"));
  EXPECT_NUMBER(kManyCallers, test.CountWhole("hello"), "responses");
}

// Guards against an upstream that is held to be silent as it is not read from: its caller is slow.
TEST(SilentUpstreams, AreNotThoseWhoseCallerIsSlow) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  // More than the sockets to the caller and the gateway's own limit take together.
  constexpr std::size_t kStreamBytes = 8 << 20;
  constexpr std::size_t kEventBytes = 32 << 10;
  Fixture fixture;
  const auto loopback = asio::ip::make_address("127.0.0.1");
  tcp::acceptor acceptor(fixture.io, tcp::endpoint(loopback, 0));
  tcp::socket upstream(fixture.io);
  bool is_accepted = false;
  acceptor.async_accept(upstream, [&](boost::system::error_code ec) { is_accepted = !ec; });
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  fixture.records.push_back({"u1", "engine", endpoint, "hall-1", 8, false, {}});
  fixture.gateway->ApplyListing({fixture.records, MonotonicMs()});
  Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  route.is_resumable = true;
  route.stream_gap_target_ms = kPauseTargetMs;
  fixture.Configure({route});
  tcp::socket slow(fixture.io, tcp::v4());
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  slow.connect({loopback, fixture.port});
  asio::write(slow, asio::buffer(MakeRequest("POST /s/")));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return is_accepted; }), "the request is sent");
  fixture.AddUpstream("u2", "engine", [](const SeenRequest&, const Peer&) {});

  char size[16];
  const std::string event = "data: " + std::string(kEventBytes, 'x') + "\n\n";
  std::snprintf(size, sizeof(size), "%zx", event.size());
  std::string stream = EventStreamHead();
  while (stream.size() < kStreamBytes) stream += std::string(size) + "\r\n" + event + "\r\n";
  upstream.non_blocking(true);
  std::string_view unsent = stream;
  for (TimeMs until = MonotonicMs() + 6 * kSilenceMs; MonotonicMs() < until;) {
    boost::system::error_code ec;
    unsent.remove_prefix(upstream.write_some(asio::buffer(unsent), ec));
    RunFor(fixture.io, 1);
  }
  EXPECT_TRUE(!unsent.empty(), "the gateway has stopped to read");
  EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(), "attempts at the other upstream");
}

}  // namespace junctionrail

// Attempts that are kept beside another one, and bytes that have arrived but were not read, each
// where a request would be lost.
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
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
using testing::MakeKeepAliveRequest;
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
constexpr char kErrorResponse[] =
    "HTTP/1.1 500 Failed\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
    "Content-Length: 0\r\n\r\n";
// Without framing: the response ends with its connection.
constexpr char kUnframedStreamHead[] =
    "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
constexpr DurationMs kTargetMs = 100;
constexpr DurationMs kPauseTargetMs = 40;
constexpr int kAwayMs = 300;
// More than the event loop takes from the kernel in one turn, 128.
constexpr int kManyCallers = 200;

Route WholeRoute(int max_attempts) {
  Route route = MakeRoute("/a/", RequestKind::kIdempotent, "plain");
  route.first_byte_target_ms = kTargetMs;
  route.max_attempts = max_attempts;
  return route;
}

Route StreamRoute() {
  Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  route.is_resumable = true;
  route.stream_gap_target_ms = kPauseTargetMs;
  return route;
}

// Upstreams that take requests and say nothing but what the test has them say, by the order in
// which they got the request.
struct Upstreams {
  Upstreams(int n, const Route& route, const std::string& begin = {}) {
    for (int i = 0; i < n; ++i) {
      fixture.AddUpstream("u" + std::to_string(i), route.traffic_split[0].service,
                          [this, begin](const SeenRequest&, const Peer& peer) {
                            if (peers.empty() && !begin.empty()) peer->Write(begin);
                            peers.push_back(peer);
                          });
    }
    fixture.Configure({route});
    caller = std::make_unique<TestCaller>(fixture.io, fixture.port);
    caller->Send(MakeRequest("POST " + route.path_prefix));
  }

  void AwaitAttempts(std::size_t n) {
    EXPECT_TRUE(RunUntil(fixture.io, [&] { return peers.size() >= n; }), "so many attempts");
  }

  Fixture fixture;
  std::vector<Peer> peers;
  std::unique_ptr<TestCaller> caller;
};

}  // namespace

TEST_GROUP(KeptAttempts){};

// Guards against an attempt at a sound upstream that is cancelled as the silent one before it says
// that it did not run the request.
TEST(KeptAttempts, ASilentUpstreamThatRefusesLeavesTheOtherAtWork) {
  Upstreams test(2, WholeRoute(2));
  test.AwaitAttempts(2);
  test.peers[0]->Write(kNotRunResponse);
  RunFor(test.fixture.io, 50);
  test.peers[1]->Write(OkResponse("hello"));
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), "hello"), test.caller->received());
}

// Guards against the same as the silent one fails.
TEST(KeptAttempts, ASilentUpstreamThatFailsLeavesTheOtherAtWork) {
  Upstreams test(2, WholeRoute(2));
  test.AwaitAttempts(2);
  test.peers[0]->Write(kErrorResponse);
  RunFor(test.fixture.io, 50);
  test.peers[1]->Write(OkResponse("hello"));
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), "hello"), test.caller->received());
}

// Guards against a stream that is given up as its silent upstream ends within an event, while
// another upstream is at work on it.
TEST(KeptAttempts, ASilentStreamThatEndsWithinAnEventLeavesTheOtherAtWork) {
  Upstreams test(2, StreamRoute(),
                 std::string(kUnframedStreamHead) + "id: 1\ndata: x\n\nid: 2\ndat");
  test.AwaitAttempts(2);
  test.peers[0]->Close();
  RunFor(test.fixture.io, 50);
  test.peers[1]->Write(EventStreamHead() + EventChunk(2) + kLastChunk);
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), kLastChunk), test.caller->received());
}

// Guards against a stream whose sound upstream is cancelled for the head of another one, which then
// breaks off without an event.
TEST(KeptAttempts, ASilentStreamIsKeptUntilTheOtherHasSentAnEvent) {
  Upstreams test(2, StreamRoute(), EventStreamHead() + EventChunk(1));
  test.AwaitAttempts(2);
  test.peers[1]->Write(EventStreamHead());
  RunFor(test.fixture.io, 50);
  test.peers[1]->Reset();
  RunFor(test.fixture.io, 50);
  test.peers[0]->Write(EventChunk(2) + kLastChunk);
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), kLastChunk), test.caller->received());
}

// Guards against a second attempt, silent for a moment, that is cancelled before a third upstream
// has taken the request: that one refuses, and the first never answers.
TEST(KeptAttempts, ASecondSilentUpstreamIsKeptUntilAThirdHasTakenTheRequest) {
  Route route = WholeRoute(3);
  route.timeout_ms = 2000;
  Upstreams test(3, route);
  test.AwaitAttempts(3);
  test.peers[2]->Write(kNotRunResponse);
  RunFor(test.fixture.io, 50);
  test.peers[1]->Write(OkResponse("hello"));
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), "hello"), test.caller->received());
}

// Guards against a stream that is given up with its upstream, as the only other one was tried
// beside it, cancelled when it went on, and is not tried again.
TEST(KeptAttempts, AnAttemptCancelledForAStreamThatGoesOnMayBeMadeAgain) {
  Route route = StreamRoute();
  route.max_attempts = 3;
  Upstreams test(2, route, EventStreamHead() + EventChunk(1));
  test.AwaitAttempts(2);
  test.peers[0]->Write(EventChunk(2));
  EXPECT_TRUE(test.caller->AwaitText("id: 2"), "the stream goes on");
  test.peers[0]->Reset();
  RunFor(test.fixture.io, 100);
  EXPECT_NUMBER(3, test.peers.size(), "attempts");
  if (test.peers.size() > 2) test.peers[2]->Write(EventStreamHead() + EventChunk(3) + kLastChunk);
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), kLastChunk), test.caller->received());
}

namespace {

// The attempts at a sound upstream while another one, which got the request first, sends `head` and
// then `bytes` without end, for at most 3 s: twenty times the silence timeout.
std::size_t CountAttemptsBesideEndlessBytes(const Route& route, const std::string& head,
                                            const std::string& bytes) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  constexpr std::size_t kBytesPerTurn = 128 << 10;
  constexpr DurationMs kMostMs = 3000;
  const std::string& service = route.traffic_split[0].service;
  Fixture fixture;
  tcp::acceptor acceptor(fixture.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket upstream(fixture.io);
  bool is_accepted = false;
  acceptor.async_accept(upstream, [&](boost::system::error_code ec) { is_accepted = !ec; });
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  fixture.records.push_back({"u1", service, endpoint, "hall-1", 8, false, {}});
  fixture.gateway->ApplyListing({fixture.records, MonotonicMs()});
  fixture.Configure({route});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("POST " + route.path_prefix));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return is_accepted; }), "the request is sent");
  fixture.AddUpstream("u2", service, [](const SeenRequest&, const Peer&) {});
  asio::write(upstream, asio::buffer(head));
  std::string stream;
  while (stream.size() < kBytesPerTurn) stream += bytes;
  upstream.non_blocking(true);
  std::string_view unsent = stream;
  const auto& seen = fixture.upstreams[0]->seen();
  // One handler at a time, as the upstream writes faster than it is read from.
  for (const TimeMs until = MonotonicMs() + kMostMs; seen.empty() && MonotonicMs() < until;) {
    boost::system::error_code ec;
    unsent.remove_prefix(upstream.write_some(asio::buffer(unsent), ec));
    if (unsent.empty()) unsent = stream;
    fixture.io.restart();
    fixture.io.run_one_for(std::chrono::milliseconds(1));
  }
  return seen.size();
}

}  // namespace

// Guards against an upstream that is not held to be silent as it sends, without end, bytes that are
// no answer: its request is tried nowhere else.
TEST(KeptAttempts, AnUpstreamWhoseBytesAreNoAnswerIsSilent) {
  const auto attempts =
      CountAttemptsBesideEndlessBytes(WholeRoute(2), "", "HTTP/1.1 102 Processing\r\n\r\n");
  EXPECT_NUMBER(1, attempts, "attempts at the other upstream");
}

// Guards against the same within a stream, whose bytes make no event, and are kept without bound.
TEST(KeptAttempts, AStreamWhoseBytesMakeNoEventIsSilent) {
  const auto attempts = CountAttemptsBesideEndlessBytes(
      StreamRoute(), EventStreamHead() + EventChunk(1), "10\r\nxxxxxxxxxxxxxxxx\r\n");
  EXPECT_NUMBER(1, attempts, "attempts at the other upstream");
}

TEST_GROUP(ArrivedBytes){};

// Guards against responses that are thrown away at the deadline, though they have arrived, as they
// take more than one read.
TEST(ArrivedBytes, ALongResponseThatWaitsAtTheDeadlineIsRead) {
  constexpr std::size_t kBodyBytes = 12 << 10;  // Two reads.
  constexpr int kTimeoutMs = 1500;  // Long, so that a busy machine sends all requests in time.
  Route route = MakeRoute("/a/", RequestKind::kNonIdempotent, "plain");
  route.timeout_ms = kTimeoutMs;
  Fixture fixture;
  std::vector<Peer> peers;
  fixture.max_connections = 100 * kManyCallers;
  for (const char* name : {"u1", "u2"}) {
    fixture.AddUpstream(name, "plain",
                        [&](const SeenRequest&, const Peer& peer) { peers.push_back(peer); });
  }
  fixture.Configure({route});
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < kManyCallers; ++i) {
    callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
    callers.back()->Send(MakeRequest("POST /a/"));
  }
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return peers.size() == callers.size(); }),
              "each request is at an upstream");
  for (const auto& it : callers) EXPECT_TEXT("", it->received(), "received before the standstill");
  usleep(kTimeoutMs * 1000);
  for (const auto& it : peers) it->Write(OkResponse(std::string(kBodyBytes, 'x') + "end"));
  int whole = 0;
  for (const auto& it : callers) whole += it->AwaitText("xend") ? 1 : 0;
  EXPECT_NUMBER(kManyCallers, whole, "responses");
}

// Guards against requests on connections that the kernel has accepted, and that a stop resets as
// this process was away.
TEST(ArrivedBytes, ConnectionsThatWaitToBeAcceptedAreServedByAStop) {
  constexpr int kWaiting = 20;
  GatewayOptions options;
  options.balancer_delay_ms = kAwayMs / 2;
  Fixture fixture(options);
  fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
    peer->Write(OkResponse("hello", request.Field("Junctionrail-Request-Id")));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  fixture.gateway->Stop(5000, [] {});
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < kWaiting; ++i) {
    callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
    callers.back()->Send(MakeRequest("POST /a/"));
  }
  usleep(kAwayMs * 1000);
  int answered = 0;
  for (const auto& it : callers) answered += it->AwaitText("HTTP/1.1 ") ? 1 : 0;
  EXPECT_NUMBER(kWaiting, answered, "requests with an answer or a refusal");
}

// Guards against a request that is read and thrown away as it crosses the close after a response
// that announced none.
TEST(ArrivedBytes, ARequestThatCrossesAnUnannouncedCloseIsNotRead) {
  GatewayOptions options;
  options.balancer_delay_ms = 1;
  Fixture fixture(options);
  Peer stream;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest& request, const Peer& peer) {
    peer->Write(EventStreamHead(request.Field("Junctionrail-Request-Id")) + EventChunk(1));
    stream = peer;
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("POST /s/", "first"));
  EXPECT_TRUE(caller.AwaitText("id: 1"), "the stream begins");
  bool is_stopped = false;
  fixture.gateway->Stop(5000, [&] { is_stopped = true; });
  RunFor(fixture.io, 200);
  stream->Write(kLastChunk);
  EXPECT_TRUE(caller.AwaitText(kLastChunk), "the stream ends");
  caller.Send(MakeKeepAliveRequest("POST /s/", "second"));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return is_stopped; }), "the stop completes");
  EXPECT_NUMBER(0, fixture.gateway->counters().dropped_inputs, "connections with dropped input");
}

// Guards against a request that was read behind another one, and of which no line or counter tells
// when that one's response is broken off.
TEST(ArrivedBytes, ARequestBehindABrokenResponseIsCounted) {
  Fixture fixture;
  Peer stream;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest& request, const Peer& peer) {
    peer->Write(EventStreamHead(request.Field("Junctionrail-Request-Id")) + EventChunk(1));
    stream = peer;
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("POST /s/", "first"));
  EXPECT_TRUE(caller.AwaitText("id: 1"), "the stream begins");
  caller.Send(MakeKeepAliveRequest("POST /s/", "second"));
  RunFor(fixture.io, 50);
  stream->Reset();
  EXPECT_TRUE(caller.AwaitEnd(), "the caller's connection ends");
  EXPECT_NUMBER(1, fixture.gateway->counters().dropped_inputs, "connections with dropped input");
}

}  // namespace junctionrail

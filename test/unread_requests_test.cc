// Whole requests that wait in a caller's socket while the process is away or busy, as the
// connection is about to be closed.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::EventChunk;
using testing::EventStreamHead;
using testing::MakeKeepAliveRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using Fixture = testing::GatewayFixture;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

// Longer than the set-up of many callers takes.
constexpr DurationMs kIdleMs = 1000;
constexpr DurationMs kAwayMs = 1500;
// More than the event loop takes from the kernel in one turn, 128: it runs timers before it has
// seen the rest.
constexpr int kManyCallers = 200;
constexpr char kLastChunk[] = "0\r\n\r\n";

GatewayOptions WithoutBalancerDelay() {
  GatewayOptions options;
  options.balancer_delay_ms = 1;
  return options;
}

// A few are served, and most are refused as the upstream takes no more connections; either will do,
// but for a refusal as late.
bool HasAnswer(TestCaller* caller) {
  return caller->AwaitText("HTTP/1.1 ") && !Contains(caller->received(), "408 ");
}

// Callers whose first requests were answered on connections that are kept.
struct KeptConnections {
  explicit KeptConnections(int n, GatewayOptions options = {}) : fixture(std::move(options)) {
    fixture.limits.idle_timeout_ms = kIdleMs;
    fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
      peer->Write(OkResponse("hello", request.Field("Junctionrail-Request-Id")));
    });
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
    for (int i = 0; i < n; ++i) {
      callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
      callers.back()->Send(MakeKeepAliveRequest("POST /a/", "first"));
    }
    for (const auto& it : callers) {
      EXPECT_TRUE(it->AwaitText("HTTP/1.1 "), "the first response");
      it->Forget();
    }
  }

  // The process neither reads nor runs a timer, while its callers send.
  void SendDuringStandstill() {
    usleep(kAwayMs * 1000);
    for (const auto& it : callers) it->Send(MakeKeepAliveRequest("POST /a/", "second"));
  }

  void ExpectAnswers() {
    int answered = 0;
    for (const auto& it : callers) answered += HasAnswer(it.get()) ? 1 : 0;
    EXPECT_NUMBER(callers.size(), answered, "requests with an answer or a refusal");
    EXPECT_NUMBER(0, fixture.gateway->counters().dropped_inputs, "connections with dropped input");
  }

  Fixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

}  // namespace

TEST_GROUP(UnreadRequests){};

// Guards against whole requests that are read and thrown away, as the idle timeout lapsed while
// the process stood still: their callers got neither an answer nor a refusal.
TEST(UnreadRequests, AreServedThoughTheIdleTimeoutHasLapsed) {
  KeptConnections test(kManyCallers);
  test.SendDuringStandstill();
  test.ExpectAnswers();
}

// Guards against the same where the process is told to stop.
TEST(UnreadRequests, AreServedBeforeAStopClosesTheirConnections) {
  KeptConnections test(kManyCallers, WithoutBalancerDelay());
  bool is_stopped = false;
  test.fixture.gateway->Stop(5000, [&] { is_stopped = true; });
  test.SendDuringStandstill();
  test.ExpectAnswers();
  EXPECT_TRUE(Contains(test.callers.back()->received(), "Connection: close"),
              test.callers.back()->received());
  EXPECT_TRUE(RunUntil(test.fixture.io, [&] { return is_stopped; }), "the stop completes");
}

// Guards against a request that was read behind another one and is dropped by a stop, though the
// response before it did not announce a close.
TEST(UnreadRequests, AreServedBehindAStreamThatAnnouncedNoClose) {
  Fixture fixture(WithoutBalancerDelay());
  Peer stream;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest& request, const Peer& peer) {
    const std::string id = request.Field("Junctionrail-Request-Id");
    peer->Write(EventStreamHead(id) + EventChunk(id == "second" ? 2 : 1));
    if (id == "second") return peer->Write(kLastChunk);
    stream = peer;
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("POST /s/", "first"));
  EXPECT_TRUE(caller.AwaitText("id: 1"), "the stream begins");
  fixture.gateway->Stop(5000, [] {});
  RunFor(fixture.io, 200);
  caller.Send(MakeKeepAliveRequest("POST /s/", "second"));
  RunFor(fixture.io, 50);
  stream->Write(kLastChunk);
  EXPECT_TRUE(caller.AwaitText("id: 2"), "expected the second response, got " + caller.received());
}

// Guards against requests whose heads are refused as late, though the rest of them has arrived and
// only was not read.
TEST(UnreadRequests, AreNotRefusedAsLate) {
  Fixture fixture;
  fixture.limits.header_timeout_ms = kIdleMs;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
    peer->Write(OkResponse("hello", request.Field("Junctionrail-Request-Id")));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string request = MakeKeepAliveRequest("POST /a/", "r");
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int i = 0; i < kManyCallers; ++i) {
    callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
    callers.back()->Send(request.substr(0, 10));
  }
  RunFor(fixture.io, kIdleMs / 2);
  usleep(kAwayMs * 1000);
  for (const auto& it : callers) it->Send(request.substr(10));
  int answered = 0;
  for (const auto& it : callers) answered += HasAnswer(it.get()) ? 1 : 0;
  EXPECT_NUMBER(kManyCallers, answered, "requests with an answer or a refusal");
}

// Guards against a connection that is closed by the idle timeout of an older configuration, which
// was shorter.
TEST(UnreadRequests, ArriveWithinTheIdleTimeoutOfTheNewestConfiguration) {
  KeptConnections test(1);
  test.fixture.limits.idle_timeout_ms = 10 * kIdleMs;
  test.fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")}, 2);
  RunFor(test.fixture.io, 2 * kIdleMs);
  test.callers[0]->Send(MakeKeepAliveRequest("POST /a/", "second"));
  test.ExpectAnswers();
}

// Guards against a request to a server of ours that is dropped by its stop, as it has not been read
// or not been read whole.
TEST(UnreadRequests, AreAnsweredByAServerThatStops) {
  boost::asio::io_context io;
  HttpServerOptions options;
  options.endpoint = {"127.0.0.1", 0};
  HttpServer server(io, options, [](const HttpRequest&, std::shared_ptr<HttpResponder> responder) {
    responder->Whole(200, {}, "hello");
  });
  const std::uint16_t port = server.Listen().value();
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  TestCaller unread(io, port);
  TestCaller half_read(io, port);
  for (TestCaller* it : {&unread, &half_read}) {
    it->Send(request);
    EXPECT_TRUE(it->AwaitText("hello"), "the first answer");
    it->Forget();
  }
  half_read.Send(request.substr(0, 10));
  RunFor(io, 20);
  unread.Send(request);
  server.Stop();
  half_read.Send(request.substr(10));
  for (TestCaller* it : {&unread, &half_read}) {
    EXPECT_TRUE(it->AwaitText("hello"), "expected an answer, got " + it->received());
    EXPECT_TRUE(Contains(it->received(), "Connection: close"), it->received());
  }
}

}  // namespace junctionrail

// Which connections close when there are too many, and what becomes of one that cannot be accepted.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "check.h"
#include "descriptor_limit.h"
#include "gateway_fixture.h"
#include "junctionrail/net.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeKeepAliveRequest;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunFor;
using testing::ScopedDescriptorLimit;
using testing::SeenRequest;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr int kMaxConnections = 3;
constexpr DurationMs kSettleMs = 150;

// A gateway that takes three connections, and whose upstream answers only on "/a/".
struct SmallGateway {
  static GatewayOptions Options() {
    GatewayOptions options;
    options.max_connections = kMaxConnections;
    return options;
  }

  SmallGateway() : fixture(Options()) {
    fixture.AddUpstream("u1", "plain", [this](const SeenRequest& request, const Peer& peer) {
      if (Contains(request.Line(), "/a/")) return peer->Write(OkResponse("hello"));
      waiting.push_back(peer);
    });
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain"),
                       MakeRoute("/later/", RequestKind::kNonIdempotent, "plain")});
  }

  // Each connection that is allowed, with `bytes` sent on it.
  void AddCallers(const std::string& bytes) {
    for (int n = 0; n < kMaxConnections; ++n) {
      callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
      callers.back()->Send(bytes);
      RunFor(fixture.io, kSettleMs);
    }
  }

  std::string FetchOnAnother() { return fixture.Fetch(MakeRequest("POST /a/")); }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
  std::vector<Peer> waiting;
};

}  // namespace

TEST_GROUP(ConnectionLimit){};

// Guards against idle connections that keep ordinary callers out.
TEST(ConnectionLimit, ClosesTheConnectionThatIsIdleForLongest) {
  SmallGateway test;
  test.AddCallers("");
  EXPECT_TRUE(Contains(test.FetchOnAnother(), "200 OK"), "served on another connection");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the first one is closed");
  test.callers[1]->Send(MakeRequest("POST /a/"));
  EXPECT_TRUE(test.callers[1]->AwaitText("hello"), "the second one is open");
  EXPECT_NUMBER(1, test.fixture.gateway->counters().displaced_connections, "counted");
}

// Guards against connections that begin a request and never end it.
TEST(ConnectionLimit, RefusesAnUnfinishedRequestIfNoneIsIdle) {
  SmallGateway test;
  test.AddCallers("POST /a/ HTTP/1.1\r\nHost: shop.example\r\n");
  EXPECT_TRUE(Contains(test.FetchOnAnother(), "200 OK"), "served on another connection");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the first one is closed");
  const std::string& response = test.callers[0]->received();
  for (const char* it : {"503", "connections_full", "Retry-After", "\"ran\":\"no\""}) {
    EXPECT_TRUE(Contains(response, it), it + (" in " + response));
  }
}

// Guards against a response that is lost as another caller connects.
TEST(ConnectionLimit, KeepsRequestsInFlight) {
  SmallGateway test;
  test.AddCallers(MakeKeepAliveRequest("POST /later/", "r1"));
  TestCaller another(test.fixture.io, test.fixture.port);
  EXPECT_TRUE(another.AwaitEnd(), "another connection is closed");
  EXPECT_TEXT("", another.received(), "without a response");
  EXPECT_NUMBER(1, test.fixture.gateway->counters().refused_connections, "counted");
  for (const auto& it : test.waiting) it->Write(OkResponse("hello"));
  for (const auto& it : test.callers) EXPECT_TRUE(it->AwaitText("hello"), it->received());
}

// Guards against callers that send more and more behind a request that takes long.
TEST(ConnectionLimit, ClosesAConnectionThatHasSentMoreThanItsRequest) {
  SmallGateway test;
  const std::string request = MakeKeepAliveRequest("POST /later/", "r1");
  test.AddCallers(request + request);
  EXPECT_TRUE(Contains(test.FetchOnAnother(), "200 OK"), "served on another connection");
  EXPECT_TRUE(test.callers[0]->AwaitEnd(), "the first one is closed");
}

namespace {

// Handlers that the event loop runs in this time are few unless it is busy with nothing.
constexpr std::chrono::milliseconds kBusyCheck(300);
constexpr std::size_t kFewHandlers = 60;
// Less than any process has open.
constexpr rlim_t kNoDescriptors = 3;

// Runs `io` while no descriptor is left for the connection that waits.
std::size_t CountHandlersWithoutDescriptors(boost::asio::io_context& io) {
  const ScopedDescriptorLimit limit(kNoDescriptors);
  io.restart();
  return io.run_for(kBusyCheck);
}

}  // namespace

TEST_GROUP(FailedAccepts){};

// Guards against an event loop that does nothing but try to accept one connection.
TEST(FailedAccepts, LeaveTheGatewayIdle) {
  SmallGateway test;
  RunFor(test.fixture.io, kSettleMs);
  TestCaller caller(test.fixture.io, test.fixture.port);
  const std::size_t n = CountHandlersWithoutDescriptors(test.fixture.io);
  EXPECT_TRUE(n <= kFewHandlers, std::to_string(n) + " handlers");
  EXPECT_TRUE(test.fixture.gateway->counters().failed_accepts > 0, "counted");
  caller.Send(MakeRequest("POST /a/"));
  EXPECT_TRUE(caller.AwaitText("hello"), "served once there is a descriptor");
}

// Likewise, at an HTTP server.
TEST(FailedAccepts, LeaveAnHttpServerIdle) {
  boost::asio::io_context io;
  HttpServerOptions options;
  options.endpoint = {"127.0.0.1", 0};
  HttpServer server(io, options, [](const HttpRequest&, const auto& responder) {
    responder->Whole(200, {}, "hello");
  });
  const std::uint16_t port = server.Listen().value();
  TestCaller caller(io, port);
  const std::size_t n = CountHandlersWithoutDescriptors(io);
  EXPECT_TRUE(n <= kFewHandlers, std::to_string(n) + " handlers");
  EXPECT_TRUE(server.counters().failed_accepts > 0, "counted");
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(caller.AwaitText("hello"), "served once there is a descriptor");
}

namespace {

constexpr DurationMs kIdleMs = 300;
constexpr std::size_t kBodyBytes = 1000;

// A caller that sends a byte of its body within each idle timeout.
struct SlowCaller {
  // The route holds requests for `timeout_ms`.
  explicit SlowCaller(DurationMs timeout_ms) {
    gateway.fixture.limits.idle_timeout_ms = kIdleMs;
    gateway.fixture.limits.header_timeout_ms = kIdleMs;
    Route route = MakeRoute("/a/", RequestKind::kNonIdempotent, "plain");
    route.timeout_ms = timeout_ms;
    gateway.fixture.Configure({route}, 2);
    caller.Send(request.substr(0, request.size() - kBodyBytes));
  }

  // Sends `bytes` of the body, until a response comes.
  void SendSlowly(int bytes) {
    for (; bytes > 0 && caller.received().empty(); --bytes) {
      caller.Send("x");
      ++sent_bytes;
      RunFor(gateway.fixture.io, 50);
    }
  }

  SmallGateway gateway;
  std::string request = MakeRequest("POST /a/", "", std::string(kBodyBytes, 'x'));
  std::size_t sent_bytes = 0;
  TestCaller caller{gateway.fixture.io, gateway.fixture.port};
};

}  // namespace

TEST_GROUP(SlowBodies){};

// Guards against a client that sends a byte now and then, and keeps its connection for good.
TEST(SlowBodies, AreRefusedOnceNoRequestCouldStillBeAnswered) {
  SlowCaller test(2 * kIdleMs);
  test.SendSlowly(100);
  const std::string& response = test.caller.received();
  EXPECT_TRUE(Contains(response, "408") && Contains(response, "body_too_slow"), response);
  EXPECT_NUMBER(1, test.gateway.fixture.gateway->counters().slow_bodies, "counted");
}

// Guards against a rate that refuses a caller within the limits, which name only its silence.
TEST(SlowBodies, AreTakenWithinTheTimeOfARequest) {
  SlowCaller test(10 * kIdleMs);
  test.SendSlowly(30);
  test.caller.Send(std::string(kBodyBytes - test.sent_bytes, 'x'));
  EXPECT_TRUE(test.caller.AwaitText("hello"), test.caller.received());
}

// Guards against a caller that is refused as this process stood still.
TEST(SlowBodies, AreNotMeasuredWhileTheProcessStandsStill) {
  SlowCaller test(2 * kIdleMs);
  test.SendSlowly(2);
  std::this_thread::sleep_for(std::chrono::milliseconds(4 * kIdleMs));
  test.SendSlowly(3);
  test.caller.Send(std::string(kBodyBytes - test.sent_bytes, 'x'));
  EXPECT_TRUE(test.caller.AwaitText("hello"), test.caller.received());
}

// Guards against a rate that refuses a slow line.
TEST(SlowBodies, AreTakenAboveTheLeastRate) {
  constexpr std::size_t kPartBytes = 1000;
  SlowCaller test(kIdleMs);
  const std::string request = MakeRequest("POST /a/", "", std::string(20 * kPartBytes, 'x'));
  TestCaller caller(test.gateway.fixture.io, test.gateway.fixture.port);
  for (std::size_t at = 0; at < request.size(); at += kPartBytes) {
    caller.Send(request.substr(at, kPartBytes));
    RunFor(test.gateway.fixture.io, 60);
  }
  EXPECT_TRUE(caller.AwaitText("hello"), caller.received());
}

}  // namespace junctionrail

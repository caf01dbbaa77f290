// Which connections close when there are too many, and what becomes of one that cannot be accepted.
#include <memory>
#include <string>
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
using testing::RunUntil;
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

TEST_GROUP(SlowBodies){};

// Guards against a client that sends a byte now and then, and keeps its connection for good.
TEST(SlowBodies, AreRefusedBelowTheLeastRate) {
  SmallGateway test;
  test.fixture.limits.idle_timeout_ms = 300;
  test.fixture.limits.header_timeout_ms = 300;
  test.fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")}, 2);
  TestCaller caller(test.fixture.io, test.fixture.port);
  const std::string request = MakeRequest("POST /a/", "", std::string(1000, 'x'));
  caller.Send(request.substr(0, request.size() - 900));
  for (int n = 0; n < 100 && caller.received().empty(); ++n) {
    caller.Send("x");
    RunFor(test.fixture.io, 50);
  }
  EXPECT_TRUE(Contains(caller.received(), "408") && Contains(caller.received(), "body_too_slow"),
              caller.received());
  EXPECT_NUMBER(1, test.fixture.gateway->counters().slow_bodies, "counted");
}

// Guards against a rate that refuses a slow line: this one needs several times the idle timeout.
TEST(SlowBodies, AreTakenAboveTheLeastRate) {
  SmallGateway test;
  test.fixture.limits.idle_timeout_ms = 300;
  test.fixture.limits.header_timeout_ms = 300;
  test.fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")}, 2);
  TestCaller caller(test.fixture.io, test.fixture.port);
  const std::string request = MakeRequest("POST /a/", "", std::string(20000, 'x'));
  for (std::size_t at = 0; at < request.size(); at += 1000) {
    caller.Send(request.substr(at, 1000));
    RunFor(test.fixture.io, 60);
  }
  EXPECT_TRUE(caller.AwaitText("hello"), caller.received());
}

}  // namespace junctionrail

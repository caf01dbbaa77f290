// Guards against callers who fail at the first attempt as a load balancer hands most new
// connections of a data hall to one entry.
#include <string>
#include <vector>

#include "check.h"
#include "gateway_fixture.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using testing::UpstreamPeer;
using Peer = std::shared_ptr<UpstreamPeer>;

// More than are accepted in one turn of the event loop, and within the backlog of the listener.
constexpr int kConnections = 800;

}  // namespace

TEST_GROUP(ConnectionSurge){};

TEST(ConnectionSurge, ServesAllConnectionsOpenedAtOnceAtTheFirstAttempt) {
  GatewayFixture fixture;
  fixture.AddUpstream("u1", "plain",
                      [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("hi")); });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (int n = 0; n < kConnections; ++n) {
    callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
    EXPECT_TRUE(callers.back()->is_connected(), "connection " + std::to_string(n));
    callers.back()->Send(MakeRequest("POST /a/b"));
  }
  const auto count_served = [&] {
    int n = 0;
    for (const auto& it : callers) n += Contains(it->received(), " 200 ") ? 1 : 0;
    return n;
  };
  RunUntil(fixture.io, [&] { return count_served() == kConnections; });
  EXPECT_NUMBER(kConnections, count_served(), "served at the first attempt");
  EXPECT_NUMBER(kConnections, fixture.gateway->counters().connections, "accepted");
}

}  // namespace junctionrail

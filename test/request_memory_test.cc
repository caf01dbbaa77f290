// What a caller gets when requests hold too many bytes in sum.
#include <memory>
#include <string>
#include <vector>

#include "check.h"
#include "gateway_fixture.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::size_t kTotalBytes = 1 << 20;
constexpr std::size_t kBodyBytes = 256 << 10;
// Of bodies, three quarters of the total.
constexpr int kFitting = 2;

GatewayOptions WithMemory() {
  GatewayOptions options;
  options.client_memory =
      std::make_shared<ClientMemory>(ClientMemory::Limits{kTotalBytes, kBodyBytes});
  return options;
}

// A gateway whose upstream answers only on "/a/".
struct SmallGateway {
  SmallGateway() : fixture(WithMemory()) {
    fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
      if (Contains(request.Line(), "/a/")) peer->Write(OkResponse("hello"));
    });
    fixture.limits.max_body_bytes = kBodyBytes;
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain"),
                       MakeRoute("/silent/", RequestKind::kNonIdempotent, "plain")});
  }

  // Callers whose bodies of the legal size lack the last `missing` bytes.
  void AddCallers(int n, std::size_t missing, const std::string& path = "/silent/") {
    const std::string request = MakeRequest("POST " + path, "", std::string(kBodyBytes, 'x'));
    for (; n > 0; --n) {
      callers.push_back(std::make_unique<TestCaller>(fixture.io, fixture.port));
      callers.back()->Send(request.substr(0, request.size() - missing));
      RunFor(fixture.io, 20);
    }
  }

  int CountRefused() const {
    int n = 0;
    for (const auto& it : callers) n += Contains(it->received(), " 503 ") ? 1 : 0;
    return n;
  }

  std::size_t held_bytes() const { return fixture.gateway->client_memory().held_bytes(); }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

}  // namespace

TEST_GROUP(RequestMemory){};

// Guards against a refusal that does not say that the request has not run, or when to come back.
TEST(RequestMemory, RefusesWithAPromiseWhatFindsNoRoom) {
  SmallGateway test;
  test.AddCallers(kFitting + 1, 0);
  TestCaller& last = *test.callers.back();
  EXPECT_TRUE(last.AwaitText("retry_after_ms"), last.received());
  for (const char* it : {"HTTP/1.1 503", "Retry-After: 1.000", "Connection: close",
                         "Junctionrail-Request-Id: r1", "\"memory_full\"", "\"ran\":\"no\""}) {
    EXPECT_TRUE(Contains(last.received(), it), it + (" in " + last.received()));
  }
  EXPECT_NUMBER(1, test.fixture.gateway->counters().memory_refusals, "counted");
  EXPECT_NUMBER(kFitting, test.fixture.upstreams[0]->seen().size(), "sent on");
}

// Guards against memory of a request that counts on behind its answer, on either connection.
TEST(RequestMemory, IsGivenBackWithTheAnswer) {
  SmallGateway test;
  for (int n = 0; n < 3 * kFitting; ++n) {
    test.AddCallers(1, 0, "/a/");
    EXPECT_TRUE(test.callers.back()->AwaitText("hello"), "request " + std::to_string(n));
  }
  const auto is_free = [&] { return test.held_bytes() == 0; };
  RunUntil(test.fixture.io, is_free);
  EXPECT_NUMBER(0, test.held_bytes(), "held without a request");
}

// Guards against memory of callers that have left while their request was received or in flight.
TEST(RequestMemory, IsGivenBackWhenTheCallerLeaves) {
  SmallGateway test;
  test.AddCallers(1, 0);
  test.AddCallers(1, 1);
  EXPECT_TRUE(test.held_bytes() >= 2 * kBodyBytes, std::to_string(test.held_bytes()));
  for (const auto& it : test.callers) it->Close();
  const auto is_free = [&] { return test.held_bytes() == 0; };
  RunUntil(test.fixture.io, is_free);
  EXPECT_NUMBER(0, test.held_bytes(), "held without a caller");
}

// Guards against callers that stop just short of the end and keep the others out for good.
TEST(RequestMemory, OfCallersThatStopShortGoesToOthers) {
  SmallGateway test;
  test.AddCallers(kFitting, 1);
  RunFor(test.fixture.io, 1100);
  EXPECT_NUMBER(0, test.CountRefused(), "refused without need");
  test.AddCallers(1, 0, "/a/");
  EXPECT_TRUE(test.callers.back()->AwaitText("hello"), test.callers.back()->received());
  EXPECT_NUMBER(1, test.CountRefused(), "gave way");
}

// Guards against ordinary callers that are refused as large bodies take all of the memory.
TEST(RequestMemory, IsLeftToSmallRequests) {
  SmallGateway test;
  test.AddCallers(2 * kFitting, 1);
  const std::string response = test.fixture.Fetch(MakeRequest("POST /a/", "", "small"));
  EXPECT_TRUE(Contains(response, "200 OK"), response);
}

}  // namespace junctionrail

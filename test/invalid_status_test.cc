// Upstreams, engines and the store that send a status that HTTP does not have: it is no answer, and
// says nothing about whether the request ran.
#include <optional>
#include <string>

#include "check.h"
#include "engine_client.h"
#include "gateway_fixture.h"
#include "junctionrail/net.h"
#include "platform.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::GatewayFixture;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr const char* kInvalidStatuses[] = {"000", "001", "099", "600", "999"};

std::string ResponseWith(const std::string& status) {
  return "HTTP/1.1 " + status +
         " Trouble\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
         "Content-Length: 7\r\n\r\ntrouble";
}

ScriptedUpstream::Script Answering(const std::string& response) {
  return [response](const SeenRequest&, const Peer& peer) { peer->Write(response); };
}

}  // namespace

TEST_GROUP(InvalidStatus){};

// Guards against a status that a caller gets as an answer, or for which it waits out its time.
TEST(InvalidStatus, OfAnUpstreamFailsTheRequestAtOnce) {
  for (const std::string status : kInvalidStatuses) {
    GatewayFixture fixture;
    fixture.AddUpstream("u1", "plain", Answering(ResponseWith(status)));
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
    const std::string response = fixture.Fetch(MakeRequest("POST /a/"));
    EXPECT_TRUE(Contains(response, "HTTP/1.1 502"), status + ": " + response);
    EXPECT_TRUE(Contains(response, "\"ran\":\"unknown\""), status + ": " + response);
    EXPECT_TRUE(!Contains(response, "trouble") && !Contains(response, "Junctionrail-Proof"),
                status + ": " + response);
  }
}

// Guards against a request that may be repeated and is not.
TEST(InvalidStatus, OfAnUpstreamIsRetriedAtAnother) {
  GatewayFixture fixture;
  bool is_first = true;
  const auto answer = [&is_first](const SeenRequest&, const Peer& peer) {
    peer->Write(std::exchange(is_first, false) ? ResponseWith("000") : OkResponse("hello"));
  };
  fixture.AddUpstream("u1", "plain", answer);
  fixture.AddUpstream("u2", "plain", answer);
  fixture.Configure({MakeRoute("/a/", RequestKind::kIdempotent, "plain")});
  const std::string response = fixture.Fetch(MakeRequest("GET /a/"));
  EXPECT_TRUE(Contains(response, "200 OK"), response);
}

// Guards against a check that takes a rare status for an invalid one.
TEST(InvalidStatus, IsNoneFrom200To599) {
  for (const std::string status : {"299", "404", "499", "599"}) {
    GatewayFixture fixture;
    fixture.AddUpstream("u1", "plain", Answering(ResponseWith(status)));
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
    const std::string response = fixture.Fetch(MakeRequest("POST /a/"));
    EXPECT_TRUE(Contains(response, "HTTP/1.1 " + status + " "), response);
    EXPECT_TRUE(Contains(response, "trouble"), response);
  }
}

// Guards against an answer of the store or an engine whose status is taken for one.
TEST(InvalidStatus, OfACallIsNoAnswer) {
  for (const std::string status : kInvalidStatuses) {
    boost::asio::io_context io;
    ScriptedUpstream server(io, Answering(ResponseWith(status)));
    HttpClient client(io);
    HttpCall call;
    call.endpoint = server.endpoint();
    std::optional<HttpAnswer> answer;
    FetchWhole(client, std::move(call), [&](HttpAnswer it) { answer = std::move(it); });
    EXPECT_TRUE(RunUntil(io, [&] { return answer.has_value(); }), status);
    EXPECT_NUMBER(0, answer->status, "status " + status);
    EXPECT_TRUE(answer->was_sent && Contains(answer->reason, status.substr(status.size() - 1)),
                status + ": " + answer->reason);
  }
}

// Guards against an order that counts as done, or as not accepted, while nobody knows.
TEST(InvalidStatus, OfAnEngineLeavesAnOrderUnknown) {
  for (const std::string status : kInvalidStatuses) {
    boost::asio::io_context io;
    ScriptedUpstream engine(io, Answering(ResponseWith(status)));
    HttpClient client(io);
    internal::EngineClient orders(client, engine.endpoint());
    std::optional<internal::OrderResult> result;
    agent::UnloadModel unload;
    unload.key = "m@1";
    orders.Unload(unload, [&](const internal::OrderResult& it) { result = it; });
    EXPECT_TRUE(RunUntil(io, [&] { return result.has_value(); }), status);
    EXPECT_TRUE(result->outcome == OperationOutcome::kUnknown, status);
    EXPECT_TRUE(!result->was_answered, status);
  }
}

}  // namespace junctionrail

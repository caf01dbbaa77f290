// An upstream that sends responses that no request waits for, in the place of the one that is due.
#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/gateway.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::MakeKeepAliveRequest;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::SeenRequest;
using testing::TestCaller;
using Fixture = testing::GatewayFixture;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr char kRequestId[] = "Junctionrail-Request-Id";

std::string UnframedResponse(const std::string& body, const std::string& id) {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: " + id + "\r\nJunctionrail-Proof: p\r\n\r\n" +
         body;
}

std::string HeadResponse(const std::string& id, const std::string& proof) {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: " + id + "\r\nJunctionrail-Proof: " + proof +
         "\r\nContent-Length: 5\r\n\r\n";
}

// A caller whose first request was answered, so that its entry has an idle connection to u1.
struct SecondRequest {
  SecondRequest(RequestKind kind, testing::ScriptedUpstream::Script second) {
    fixture.AddUpstream("u1", "plain", [second](const SeenRequest& request, const Peer& peer) {
      if (request.Field(kRequestId) == "first") return peer->Write(OkResponse("one", "first"));
      second(request, peer);
    });
    fixture.Configure({MakeRoute("/a/", kind, "plain")});
    caller = std::make_unique<TestCaller>(fixture.io, fixture.port);
    caller->Send(MakeKeepAliveRequest("GET /a/", "first"));
    EXPECT_TRUE(caller->AwaitText("one"), "the first response");
    caller->Forget();
  }

  const std::string& Send(const std::string& line, const std::string& awaited) {
    caller->Send(MakeKeepAliveRequest(line, "second"));
    caller->AwaitText(awaited);
    return caller->received();
  }

  Fixture fixture;
  std::unique_ptr<TestCaller> caller;
};

}  // namespace

TEST_GROUP(SurplusResponses){};

// Guards against the end of a connection that is taken for the end of a response that had not
// begun: callers got responses to other requests, and the process ended by a signal.
TEST(SurplusResponses, WithoutALengthDoNotEndTheResponseInTheirPlace) {
  SecondRequest test(RequestKind::kNonIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write(UnframedResponse("one", "first"));
    peer->Close();
  });
  const std::string answer = test.Send("POST /a/", "\"ran\"");
  EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, R"("ran":"unknown")"), answer);
  EXPECT_TRUE(!Contains(answer, "200 OK") && !Contains(answer, "one"), answer);
}

// Guards against a repeatable request that is not sent elsewhere after such a response.
TEST(SurplusResponses, WithoutALengthLetARepeatableRequestGoElsewhere) {
  SecondRequest test(RequestKind::kIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write(UnframedResponse("one", "first"));
    peer->Close();
  });
  test.fixture.AddUpstream("u2", "plain", [](const SeenRequest& request, const Peer& peer) {
    peer->Write(OkResponse("two", request.Field(kRequestId)));
  });
  const std::string answer = test.Send("GET /a/", "two");
  EXPECT_TRUE(Contains(answer, "200 OK") && !Contains(answer, "one"), answer);
}

// Guards against a request that waits until its deadline on a connection whose rest is another
// response.
TEST(SurplusResponses, WithoutALengthNorAnEndAreNotWaitedOut) {
  SecondRequest test(RequestKind::kNonIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write(UnframedResponse("one", "first"));
  });
  const std::string answer = test.Send("POST /a/", "\"ran\"");
  EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, R"("ran":"unknown")"), answer);
  EXPECT_NUMBER(0, test.fixture.gateway->counters().upstreams_crashed,
                "crashes, as the upstream is still there");
}

// Guards against the body of a surplus response that is read as the head of the awaited one, since
// a response to HEAD has no body.
TEST(SurplusResponses, DoNotBecomeTheResponseToAHeadRequest) {
  SecondRequest test(RequestKind::kNonIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write(OkResponse(HeadResponse("second", "forged"), "first") +
                HeadResponse("second", "own"));
  });
  const std::string answer = test.Send("HEAD /a/", "\r\n\r\n");
  EXPECT_TRUE(Contains(answer, "Junctionrail-Proof: own"), answer);
}

// Guards against a surplus response to a HEAD request whose length swallows the next response.
TEST(SurplusResponses, ToAHeadRequestHaveNoRequestBehindThem) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
    const std::string id = request.Field(kRequestId);
    if (id == "first") return peer->Write(HeadResponse(id, "own"));
    peer->Write(OkResponse("two", id));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("HEAD /a/", "first"));
  EXPECT_TRUE(caller.AwaitText("\r\n\r\n"), "the first response");
  caller.Send(MakeKeepAliveRequest("GET /a/", "second"));
  EXPECT_TRUE(caller.AwaitText("two"), caller.received());
  EXPECT_NUMBER(2, fixture.upstreams[0]->connections(), "connections");
}

// Guards against a response that names two requests and is relayed to one of them.
TEST(SurplusResponses, ThatNameTheRequestAndAnotherOneAreNotRelayed) {
  SecondRequest test(RequestKind::kNonIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write(
        "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: second\r\nJunctionrail-Request-Id: first\r\n"
        "Junctionrail-Proof: p\r\nContent-Length: 3\r\n\r\none");
    peer->Close();
  });
  const std::string answer = test.Send("POST /a/", "\"ran\"");
  EXPECT_TRUE(Contains(answer, "502 ") && !Contains(answer, "200 OK"), answer);
}

// Guards against an interim response that is taken for a surplus one, or for the response.
TEST(SurplusResponses, AreNotThoseThatAnnounceAResponse) {
  SecondRequest test(RequestKind::kNonIdempotent, [](const SeenRequest&, const Peer& peer) {
    peer->Write("HTTP/1.1 103 Early Hints\r\nJunctionrail-Request-Id: second\r\n\r\n" +
                OkResponse("one", "first") + "HTTP/1.1 103 Early Hints\r\n\r\n" +
                OkResponse("two", "second"));
  });
  const std::string answer = test.Send("POST /a/", "two");
  EXPECT_TRUE(Contains(answer, "200 OK") && !Contains(answer, "one"), answer);
  EXPECT_NUMBER(1, test.fixture.gateway->counters().surplus_responses, "surplus responses");
}

TEST_GROUP(AnnouncedLengths){};

// Guards against memory that is set aside for as many bytes as an upstream announces: the process
// ended, as there is no such memory.
TEST(AnnouncedLengths, OfATerabyteEndNoProcess) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest&, const Peer& peer) {
    peer->Write(
        "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
        "Content-Length: 1000000000000\r\n\r\nx");
    peer->Close();
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string answer = fixture.Fetch(MakeRequest("POST /a/", "", "order"));
  EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, R"("ran":"unknown")"), answer);
}

}  // namespace junctionrail

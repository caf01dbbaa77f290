// Callers and peers that send bytes which no sound one sends: each process lives, says what was
// wrong, and passes none of it on.
#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "caller_api.h"
#include "check.h"
#include "direct_daemon.h"
#include "gateway_fixture.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "junctionrail/quarantine.h"
#include "loopback.h"
#include "platform.h"
#include "platform_standin.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using Fixture = testing::GatewayFixture;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr char kNotUtf8[] = "m\xff\xfe";

// A gateway with one upstream, which answers every request.
struct OneUpstream {
  OneUpstream() {
    fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
      peer->Write(OkResponse("hello", request.Field("Junctionrail-Request-Id")));
    });
    fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  }

  // Expects that the request is refused with `code` and sent nowhere.
  void ExpectRefused(const std::string& request, const std::string& code) {
    const std::string answer = fixture.Fetch(request);
    EXPECT_TRUE(Contains(answer, "400 Bad Request") && Contains(answer, code), answer);
    EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(), "requests at the upstream");
  }

  Fixture fixture;
};

}  // namespace

TEST_GROUP(HostileNames){};

// Guards against a model's name that no process can encode as JSON: it reached agents, and ended
// them.
TEST(HostileNames, OfModelsThatAreNotUtf8AreRefused) {
  OneUpstream test;
  const std::string field = std::string("Junctionrail-Model: ") + kNotUtf8 + "\r\n";
  test.ExpectRefused(MakeRequest("POST /a/", field), "bad_model");
}

// Guards against a surrogate, an overlong form and a control character, which a laxer check lets
// pass.
TEST(HostileNames, OfModelsHoldNoTextThatADecoderRefuses) {
  for (const std::string name : {"m\xed\xa0\x80", "m\xc0\xaf", "m\xf5\x80\x80\x80", "m\xe2\x82"}) {
    OneUpstream test;
    test.ExpectRefused(MakeRequest("POST /a/", "Junctionrail-Model: " + name + "\r\n"),
                       "bad_model");
  }
}

// Guards against an empty name, which no model has, that is asked of agents.
TEST(HostileNames, OfModelsAreNotEmpty) {
  OneUpstream test;
  test.ExpectRefused(MakeRequest("POST /a/", "Junctionrail-Model: /adapter\r\n"), "bad_model");
}

// Guards against a request id that reaches the holders of the origins of streams.
TEST(HostileNames, OfRequestsThatAreNotUtf8AreRefused) {
  OneUpstream test;
  test.ExpectRefused(std::string("POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
                                 "Junctionrail-Request-Id: ") +
                         kNotUtf8 + "\r\nConnection: close\r\n\r\n",
                     "bad_request_id");
  test.ExpectRefused(
      MakeRequest("POST /a/", std::string("Junctionrail-Resumed-Request: ") + kNotUtf8 + "\r\n"),
      "bad_resumed_request");
}

// Guards against a check that takes names of other scripts for wrong.
TEST(HostileNames, MayBeOfAnyScript) {
  OneUpstream test;
  const std::string name = "mod\xc3\xa8le/\xe6\xa8\xa1\xf0\x9f\x9a\x82";
  const std::string answer =
      test.fixture.Fetch(MakeRequest("POST /a/", "Junctionrail-Model: " + name + "\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"), answer);
  EXPECT_TEXT(name, test.fixture.upstreams[0]->seen()[0].Field("Junctionrail-Model"), "relayed");
}

}  // namespace junctionrail

// The gateway between a caller and scripted upstreams, over loopback sockets.
#include "junctionrail/gateway.h"

#include <unistd.h>

#include <array>

#include "check.h"
#include "gateway_fixture.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::RunFor;
using testing::RunUntil;
using testing::SeenRequest;
using testing::TestCaller;
using testing::UpstreamPeer;
using Peer = std::shared_ptr<UpstreamPeer>;
using boost::asio::ip::tcp;

using testing::Contains;
using testing::EventChunk;
using testing::EventStreamHead;
using testing::MakeKeepAliveRequest;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using Fixture = testing::GatewayFixture;

}  // namespace

TEST_GROUP(GatewayRelay){};

TEST(GatewayRelay, RelaysRequestAndResponseUnchanged) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest&, const Peer& peer) {
    peer->Write(OkResponse("hello"));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string answer = fixture.Fetch(MakeRequest("POST /a/b?q=1", "X-Own: v\r\n", "body"));
  EXPECT_TRUE(Contains(answer, "200 OK") && Contains(answer, "hello"), answer);
  EXPECT_TRUE(Contains(answer, "Junctionrail-Proof: p"),
              "the upstream's header fields are relayed");
  const SeenRequest& seen = fixture.upstreams[0]->seen().at(0);
  EXPECT_TEXT("POST /a/b?q=1 HTTP/1.1", seen.Line(), "method and target are relayed unchanged");
  EXPECT_TEXT("body", seen.body, "the body is relayed");
  EXPECT_TEXT("v", seen.Field("X-Own"), "the caller's header fields are relayed");
  EXPECT_TEXT("u1", seen.Field("Junctionrail-Expected-Instance"), "the expected instance is set");
}

TEST(GatewayRelay, Returns503WithoutConfigurationAnd404WithoutRoute) {
  Fixture fixture;
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/b")), "503 "), "no configuration yet");
  fixture.Configure({MakeRoute("/a/", RequestKind::kIdempotent, "plain")});
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /other")), "404 "),
              "no route matches this path");
}

TEST(GatewayRelay, RemovesReservedFieldsOfCallers) {
  GatewayOptions options;
  options.header_names.reserved = {"Junctionrail-Hold"};
  Fixture fixture(options);
  fixture.AddUpstream("u1", "plain",
                      [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("")); });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  fixture.Fetch(
      MakeRequest("GET /a/", "Junctionrail-Hold: 7\r\nJunctionrail-Expected-Instance: u9\r\n"));
  const SeenRequest& seen = fixture.upstreams[0]->seen().at(0);
  EXPECT_TEXT("(none)", seen.Field("Junctionrail-Hold"), "a reserved field is removed");
  EXPECT_TEXT("u1", seen.Field("Junctionrail-Expected-Instance"),
              "a forged expected instance is replaced");
}

TEST(GatewayRelay, RelaysEventsAsTheyArrive) {
  Fixture fixture;
  Peer stream;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead() + EventChunk(1));
    stream = peer;
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("POST /s/"));
  EXPECT_TRUE(caller.AwaitText("id: 1"), "the first event arrives before the second is sent");
  stream->Write(EventChunk(2) + "0\r\n\r\n");
  EXPECT_TRUE(caller.AwaitEnd() && Contains(caller.received(), "0\r\n\r\n"), caller.received());
}

TEST_GROUP(GatewayRetries){};

TEST(GatewayRetries, RetriesRepeatableRequestAfterFailure) {
  Fixture fixture;
  const auto fail = [](const SeenRequest&, const Peer& peer) { peer->Close(); };
  const auto serve = [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("ok")); };
  int calls = 0;
  const auto script = [&](const SeenRequest& request, const Peer& peer) {
    ++calls == 1 ? fail(request, peer) : serve(request, peer);
  };
  fixture.AddUpstream("u1", "plain", script);
  fixture.AddUpstream("u2", "plain", script);
  fixture.Configure({MakeRoute("/a/", RequestKind::kIdempotent, "plain")});
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/")), "200 OK"), "the retry succeeds");
  EXPECT_NUMBER(2, calls, "one failed and one successful attempt");
}

// Guards against a second crash of an upstream that is counted, and held against the request, as a
// connection from before the crash breaks late.
TEST(GatewayRetries, TakeALateResetForTheCrashThatOthersReport) {
  Fixture fixture;
  int calls = 0;
  fixture.AddUpstream("u1", "plain", [&](const SeenRequest&, const Peer& peer) {
    if (++calls == 1) peer->Write(OkResponse("ok"));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kIdempotent, "plain")});
  fixture.Fetch(MakeRequest("GET /a/"));
  RunFor(fixture.io, 100);
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /a/"));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return calls == 2; }), "sent on the idle connection");
  EXPECT_NUMBER(1, fixture.upstreams[0]->connections(), "connections");
  fixture.gateway->AddUpstreamCrash({"u1", 50, {}});
  fixture.upstreams[0]->Crash();
  caller.AwaitEnd();
  RunFor(fixture.io, 50);
  EXPECT_NUMBER(1, fixture.gateway->counters().upstreams_crashed, "crashes");
}

TEST(GatewayRetries, DoesNotRetryAtMostOnceRequestAndReportsUnknownOutcome) {
  Fixture fixture;
  int calls = 0;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Reset();
  };
  fixture.AddUpstream("u1", "plain", script);
  fixture.AddUpstream("u2", "plain", script);
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string answer = fixture.Fetch(MakeRequest("POST /a/", "", "order"));
  EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, "\"ran\":\"unknown\""), answer);
  EXPECT_NUMBER(1, calls, "attempts");
}

TEST(GatewayRetries, RetriesAtMostOnceRequestThatDidNotRun) {
  Fixture fixture;
  int calls = 0;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    const bool is_first = ++calls == 1;
    peer->Write(is_first ? "HTTP/1.1 503 Service Unavailable\r\nJunctionrail-Request-Id: r1\r\n"
                           "Junctionrail-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                         : OkResponse("ok"));
  };
  fixture.AddUpstream("u1", "plain", script);
  fixture.AddUpstream("u2", "plain", script);
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("POST /a/", "", "order")), "200 OK"),
              "the retry succeeds");
}

TEST(GatewayRetries, ReportsUnknownOutcomeFor503WithoutNotRunHeader) {
  // A 503 implies that the request did not run, which only the upstream's header can confirm.
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest&, const Peer& peer) {
    peer->Write(
        "HTTP/1.1 503 Service Unavailable\r\nJunctionrail-Request-Id: r1\r\n"
        "Junctionrail-Proof: p\r\nContent-Length: 0\r\n\r\n");
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string answer = fixture.Fetch(MakeRequest("POST /a/", "", "order"));
  EXPECT_TRUE(Contains(answer, "502 ") && !Contains(answer, "Junctionrail-Proof"), answer);
}

TEST(GatewayRetries, WaitsForSilentUpstreamWhenBudgetIsSpent) {
  // With the retry budget spent, the gateway cancelled 100 requests at slow engines and answered
  // 502 instead of waiting for them.
  Fixture fixture({}, {0, 0, 10000});
  Timer timer(fixture.io);
  int calls = 0;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    timer.After(600, [peer] { peer->Write(OkResponse("late")); });
  };
  fixture.AddUpstream("u1", "plain", script);
  fixture.AddUpstream("u2", "plain", script);
  Route route = MakeRoute("/a/", RequestKind::kIdempotent, "plain");
  route.first_byte_target_ms = 100;
  fixture.Configure({route});
  const std::string answer = fixture.Fetch(MakeRequest("GET /a/"));
  EXPECT_TRUE(Contains(answer, "200 OK") && Contains(answer, "late"), answer);
  EXPECT_NUMBER(1, calls, "attempts");
}

TEST(GatewayRetries, ResumesStreamAfterLastCompleteEvent) {
  Fixture fixture;
  int calls = 0;
  const auto script = [&](const SeenRequest& request, const Peer& peer) {
    if (++calls == 1) {
      peer->Write(EventStreamHead() + EventChunk(1) + EventChunk(2) + "9\r\nid: 3\ndat\r\n");
      return peer->Close();
    }
    EXPECT_TEXT("2", request.Field("Last-Event-ID"), "the last complete event is named");
    peer->Write(EventStreamHead() + EventChunk(3) + "0\r\n\r\n");
  };
  fixture.AddUpstream("u1", "engine", script);
  fixture.AddUpstream("u2", "engine", script);
  Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
  route.is_resumable = true;
  fixture.Configure({route});
  const std::string answer = fixture.Fetch(MakeRequest("POST /s/"));
  EXPECT_TRUE(Contains(answer, "id: 2\n") && Contains(answer, "id: 3\ndata: x\n\n"), answer);
  EXPECT_TRUE(Contains(answer, "0\r\n\r\n"), "the stream ends with the last chunk");
  EXPECT_TRUE(answer.find("id: 3") == answer.rfind("id: 3"), "the partial event is not relayed");
}

TEST(GatewayRetries, AbortsNonResumableStreamWithoutLastChunk) {
  Fixture fixture;
  fixture.AddUpstream("u1", "engine", [](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead() + EventChunk(1));
    peer->Close();
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  const std::string answer = fixture.Fetch(MakeRequest("POST /s/"));
  EXPECT_TRUE(Contains(answer, "id: 1"), answer);
  EXPECT_TRUE(!Contains(answer, "0\r\n\r\n"), "no last chunk");
}

TEST_GROUP(GatewayResponseMatching){};

TEST(GatewayResponseMatching, IgnoresLateResponseToPreviousRequest) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
    const std::string id = request.Field("Junctionrail-Request-Id");
    if (id == "first") return peer->Write(OkResponse("one", "first"));
    peer->Write(OkResponse("one", "first") + OkResponse("two", id));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("GET /a/", "first"));
  EXPECT_TRUE(caller.AwaitText("one"), "the first answer");
  caller.Forget();
  caller.Send(MakeKeepAliveRequest("GET /a/", "second"));
  EXPECT_TRUE(caller.AwaitText("two"), "the second request gets its own response");
  EXPECT_TRUE(!Contains(caller.received(), "one"), caller.received());
  EXPECT_NUMBER(1, fixture.gateway->counters().surplus_responses, "late responses counted");
}

TEST(GatewayResponseMatching, DoesNotReuseConnectionWithSurplusBytes) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest& request, const Peer& peer) {
    const std::string id = request.Field("Junctionrail-Request-Id");
    peer->Write(OkResponse("own", id) + OkResponse("surplus", id));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("GET /a/", "first"));
  EXPECT_TRUE(caller.AwaitText("own"), "the first answer");
  caller.Send(MakeKeepAliveRequest("GET /a/", "second"));
  RunUntil(fixture.io, [&] { return fixture.upstreams[0]->seen().size() == 2; });
  EXPECT_NUMBER(2, fixture.upstreams[0]->connections(),
                "connections: a new one for the second request");
  EXPECT_TRUE(!Contains(caller.received(), "surplus"), caller.received());
}

TEST(GatewayResponseMatching, AcceptsResponseWithoutLengthOnlyAtOrderlyClose) {
  Fixture fixture;
  bool is_reset = false;
  fixture.AddUpstream("u1", "plain", [&](const SeenRequest&, const Peer& peer) {
    peer->Write(
        "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n\r\nall");
    is_reset ? peer->Reset() : peer->Close();
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/")), "Content-Length: 3"),
              "complete after an orderly close");
  is_reset = true;
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/")), "502 "),
              "possibly incomplete after a reset");
}

TEST_GROUP(GatewayRequestValidation){};

TEST(GatewayRequestValidation, RejectsAmbiguousFraming) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain",
                      [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("")); });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  for (const std::string fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "Host: other.example\r\n"}) {
    const std::string answer =
        fixture.Fetch(MakeRequest("POST /a/", fields) + "0\r\n\r\nGET /a/ HTTP/1.1\r\n");
    EXPECT_TRUE(Contains(answer, "400 "), fields + " got " + answer);
  }
  EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(), "requests received by the upstream");
}

TEST(GatewayRequestValidation, RejectsOversizedHeadsAndBodies) {
  Fixture fixture;
  fixture.limits.max_header_bytes = 512;
  fixture.limits.max_body_bytes = 16;
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  const std::string long_field = "X-Long: " + std::string(600, 'x') + "\r\n";
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("GET /a/", long_field)), "431 "),
              "the head exceeds its limit");
  EXPECT_TRUE(Contains(fixture.Fetch(MakeRequest("POST /a/", "", std::string(17, 'x'))), "413 "),
              "the body exceeds its limit");
}

TEST(GatewayRequestValidation, RejectsIncompleteHeadAtTimeout) {
  Fixture fixture;
  fixture.limits.header_timeout_ms = 50;
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send("GET /a/ HT");
  EXPECT_TRUE(caller.AwaitEnd() && Contains(caller.received(), "408 "), caller.received());
}

TEST_GROUP(GatewayModelWait){};

namespace {

// One engine service with the models a and b.
struct EngineFixture : Fixture {
  EngineFixture() {
    RoutingConfiguration configuration;
    configuration.version = 1;
    Route route = MakeRoute("/s/", RequestKind::kStreaming, "engine");
    route.caller_timeout_ms = 2000;
    configuration.routes = {route};
    EngineSpec spec;
    spec.accelerator_mb = 100;
    spec.models = {{"a", 60, 1, 6000, 300, 200}, {"b", 60, 1, 60000, 300, 200}};
    configuration.services = {{"engine", 64, spec}};
    gateway->ApplyConfiguration(configuration);
  }

  void Show(std::vector<LoadedModel> loaded) {
    EngineView view;
    view.instance = "u1";
    view.loaded = std::move(loaded);
    view.cached_models = {"a"};
    gateway->ApplyView(view);
  }

  std::vector<ModelDemand> Wanted() { return gateway->Demands()["u1"].wanted; }
};

std::string ModelRequest(const std::string& model) {
  return MakeRequest("POST /s/", "Junctionrail-Model: " + model + "\r\n");
}

}  // namespace

TEST(GatewayModelWait, WaitsUntilModelIsLoaded) {
  EngineFixture fixture;
  fixture.AddUpstream("u1", "engine", [](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead() + EventChunk(1) + "0\r\n\r\n");
  });
  fixture.Show({});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(ModelRequest("a"));
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return !fixture.Wanted().empty(); }),
              "the agent is asked to load the model");
  EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(), "requests received by the upstream");
  fixture.Show({{"a", {}}});
  EXPECT_TRUE(caller.AwaitText("id: 1"), "sent once the agent reports the model as loaded");
}

TEST(GatewayModelWait, RefusesWhenLoadTakesTooLongAndStillRequestsIt) {
  // Each request for a busy model, 25 a second for five seconds, was refused, and no agent was ever
  // asked to load it.
  EngineFixture fixture;
  fixture.AddUpstream("u1", "engine", [](const SeenRequest&, const Peer&) {});
  fixture.Show({});
  const std::string answer = fixture.Fetch(ModelRequest("b"));
  EXPECT_TRUE(Contains(answer, "503 ") && Contains(answer, "Retry-After"), answer);
  EXPECT_NUMBER(1, fixture.Wanted().size(), "models that the agent is asked for");
}

TEST(GatewayModelWait, RefusesOnceEstimateExceedsRemainingTime) {
  EngineFixture fixture;
  fixture.AddUpstream("u1", "engine", [](const SeenRequest&, const Peer&) {});
  fixture.Show({});
  TestCaller caller(fixture.io, fixture.port);
  // The load of model a is estimated at 0.45 s and never happens. With a deadline of 1.2 s the
  // request can be served until 0.75 s have passed. Timers of one event loop run in the order of
  // their expiry, however late.
  caller.Send(
      MakeRequest("POST /s/", "Junctionrail-Model: a\r\nJunctionrail-Deadline-Ms: 1200\r\n"));
  RunUntil(fixture.io, [&] { return fixture.gateway->counters().model_waits == 1; });
  std::optional<std::uint64_t> refused_early;
  std::optional<std::uint64_t> refused;
  Timer early(fixture.io);
  early.After(650, [&] { refused_early = fixture.gateway->counters().refused; });
  Timer between(fixture.io);
  between.After(1100, [&] { refused = fixture.gateway->counters().refused; });
  RunUntil(fixture.io, [&] { return refused.has_value(); });
  EXPECT_NUMBER(0, refused_early.value_or(1), "refusals while it can still be served");
  EXPECT_NUMBER(1, refused.value_or(0),
                "refusals after the load has become too late, before the deadline");
  EXPECT_TRUE(caller.AwaitEnd() && Contains(caller.received(), "503 "), caller.received());
  EXPECT_TRUE(Contains(caller.received(), "Retry-After"), "Retry-After is set");
}

TEST_GROUP(GatewayCancellation){};

TEST(GatewayCancellation, ResetsConnectionToSuspendedUpstream) {
  // A suspended upstream that resumes reads what its kernel has received: after an orderly close
  // it would run a request whose caller disconnected long before.
  Fixture fixture;
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  tcp::acceptor paused(fixture.io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  UpstreamRecord record;
  record.instance = "u1";
  record.service = "plain";
  record.endpoint = {"127.0.0.1", paused.local_endpoint().port()};
  record.data_hall = "hall-1";
  record.slots = 4;
  fixture.gateway->ApplyListing({{record}, MonotonicMs()});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /a/"));
  tcp::socket socket(fixture.io);
  bool is_accepted = false;
  paused.async_accept(socket, [&](boost::system::error_code) { is_accepted = true; });
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return is_accepted; }),
              "the gateway connects to the upstream");
  boost::system::error_code ec;
  const auto bytes = [&] { return socket.available(ec); };
  RunUntil(fixture.io, [&] { return bytes() > 0; });
  caller.Close();
  std::array<char, 4096> buf;
  socket.non_blocking(true);
  const bool is_reset = RunUntil(fixture.io, [&] {
    while (!ec) socket.receive(boost::asio::buffer(buf), 0, ec);
    if (ec == boost::asio::error::would_block) ec.clear();
    return ec == boost::asio::error::connection_reset;
  });
  EXPECT_TRUE(is_reset, "expected a reset, got " + ec.message());
}

TEST(GatewayModelWait, ReportsUnknownOutcomeAfterEarlierAttempt) {
  // The refusal of a request that waits for a model did not consider whether an earlier attempt had
  // been sent.
  EngineFixture fixture;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest&, const Peer& peer) {
    fixture.Show({});
    peer->Reset();
  });
  fixture.AddUpstream("u2", "engine", [](const SeenRequest&, const Peer&) {});
  RoutingConfiguration configuration = fixture.gateway->configuration();
  configuration.version = 2;
  configuration.routes[0].is_resumable = true;
  configuration.routes[0].caller_timeout_ms = 300;
  fixture.gateway->ApplyConfiguration(configuration);
  fixture.Show({{"b", {}}});
  EngineView other;
  other.instance = "u2";
  fixture.gateway->ApplyView(other);
  const std::string answer = fixture.Fetch(ModelRequest("b"));
  EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, "\"ran\":\"unknown\""), answer);
}

TEST_GROUP(GatewayLeavingUpstreams){};

TEST(GatewayLeavingUpstreams, SkipsUpstreamThatLeftDuringConnect) {
  // A connection may take half a second to open. Without a second check the request went to an
  // upstream that was known to be leaving.
  Fixture fixture;
  const auto answer = [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("x")); };
  fixture.AddUpstream("u1", "plain", answer);
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("POST /a/b", "", "body"));
  EXPECT_TRUE(
      RunUntil(fixture.io, [&] { return fixture.gateway->counters().upstream_connections == 1; }),
      "");
  fixture.records[0].is_leaving = true;
  fixture.AddUpstream("u2", "plain", answer);
  EXPECT_TRUE(caller.AwaitText("x"), "the other upstream responds");
  EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(),
                "requests received by the leaving upstream");
  EXPECT_NUMBER(1, fixture.upstreams[1]->seen().size(), "requests received by the other upstream");
}

TEST(GatewayLeavingUpstreams, ReportsNotRunWhenOnlyUpstreamLeftDuringConnect) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain",
                      [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("x")); });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("POST /a/b", "", "body"));
  EXPECT_TRUE(
      RunUntil(fixture.io, [&] { return fixture.gateway->counters().upstream_connections == 1; }),
      "");
  fixture.gateway->ApplyListing({{}, MonotonicMs()});
  EXPECT_TRUE(caller.AwaitText(R"("ran":"no")"), "the request is reported as not run");
  EXPECT_TRUE(Contains(caller.received(), "503"), caller.received());
  EXPECT_NUMBER(0, fixture.upstreams[0]->seen().size(),
                "requests received by the upstream that left");
}

TEST_GROUP(GatewayConnectionEnd){};

TEST(GatewayConnectionEnd, ServesRequestThatArrivesAtIdleTimeout) {
  // The received bytes and the expired idle timer are ready at once: the bytes are handled first
  // and must restart the timer.
  Fixture fixture;
  fixture.limits.idle_timeout_ms = 100;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest&, const Peer& peer) {
    peer->Write(OkResponse("hello"));
  });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  TestCaller caller(fixture.io, fixture.port);
  RunFor(fixture.io, 20);
  const std::string request = MakeRequest("GET /a/1");
  caller.Send(request.substr(0, 10));
  usleep(200 * 1000);
  RunFor(fixture.io, 20);
  caller.Send(request.substr(10));
  EXPECT_TRUE(caller.AwaitText("hello"), "got " + caller.received());
}

TEST(GatewayConnectionEnd, SendsNothingForDisconnectedCaller) {
  // A process short of processor time finds a request and its caller's close at the same time.
  Fixture fixture;
  fixture.AddUpstream(
      "u1", "plain", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("late")); });
  fixture.Configure({MakeRoute("/a/", RequestKind::kNonIdempotent, "plain")});
  fixture.Fetch(MakeRequest("GET /a/1"));
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("GET /a/2"));
  caller.Close();
  RunFor(fixture.io, 200);
  EXPECT_NUMBER(1, fixture.upstreams[0]->seen().size(),
                "requests received by the upstream, to which a connection was open");
  EXPECT_NUMBER(1, fixture.gateway->counters().cancelled, "");
}

TEST(GatewayConnectionEnd, ClosesUpstreamConnectionWhenCallerDisconnects) {
  Fixture fixture;
  fixture.AddUpstream("u1", "engine", [](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead() + EventChunk(1));
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeRequest("POST /s/"));
  caller.AwaitText("id: 1");
  caller.Close();
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return fixture.upstreams[0]->closed_by_peer() == 1; }),
              "the upstream's connection is closed at once");
}

TEST(GatewayConnectionEnd, RespondsAtRouteTimeout) {
  Fixture fixture;
  fixture.AddUpstream("u1", "plain", [](const SeenRequest&, const Peer&) {});
  Route route = MakeRoute("/a/", RequestKind::kNonIdempotent, "plain");
  route.timeout_ms = 60;
  fixture.Configure({route});
  const std::string answer = fixture.Fetch(MakeRequest("POST /a/", "", "order"));
  EXPECT_TRUE(Contains(answer, "504 ") && Contains(answer, "\"ran\":\"unknown\""), answer);
}

TEST(GatewayConnectionEnd, AcceptsNoConnectionAfterBalancerDelay) {
  // A request accepted 7 s after SIGTERM was aborted when the process ended.
  GatewayOptions options;
  options.balancer_delay_ms = 50;
  Fixture fixture(options);
  Peer stream;
  fixture.AddUpstream("u1", "engine", [&](const SeenRequest&, const Peer& peer) {
    peer->Write(EventStreamHead("s") + EventChunk(1));
    stream = peer;
  });
  fixture.Configure({MakeRoute("/s/", RequestKind::kStreaming, "engine")});
  TestCaller caller(fixture.io, fixture.port);
  caller.Send(MakeKeepAliveRequest("POST /s/", "s"));
  caller.AwaitText("id: 1");
  bool is_stopped = false;
  fixture.gateway->Stop(60000, [&] { is_stopped = true; });
  TestCaller early(fixture.io, fixture.port);
  EXPECT_TRUE(early.is_connected(), "the load balancer has not noticed the stop yet");
  RunFor(fixture.io, 300);
  TestCaller late(fixture.io, fixture.port);
  EXPECT_TRUE(!late.is_connected(), "connections after the delay are refused");
  EXPECT_TRUE(!is_stopped, "the stop waits for the stream in flight");
  stream->Write(EventChunk(2) + "0\r\n\r\n");
  EXPECT_TRUE(caller.AwaitText("0\r\n\r\n"), "the stream is completed");
  EXPECT_TRUE(caller.AwaitEnd(), "its connection is closed");
  EXPECT_TRUE(RunUntil(fixture.io, [&] { return is_stopped; }), "the stop completes");
}

}  // namespace junctionrail

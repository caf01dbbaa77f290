// Callers and peers that send bytes which no sound one sends: each process lives, says what was
// wrong, and passes none of it on.
#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "caller_api.h"
#include "check.h"
#include "direct_daemon.h"
#include "engine_client.h"
#include "gateway_fixture.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "junctionrail/quarantine.h"
#include "junctionrail/wire.h"
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

namespace {

constexpr std::uint16_t kLinkPort = 8200;
constexpr char kModels[] = R"({"version":1,"routes":[],
  "services":[{"name":"s1","engine":{"weightsMb":100.0,"adapterSlots":2,"diskMb":1000.0,
    "models":[{"name":"m1","weightsMb":60.0,"loadTimeS":6.0,"warmS":0.5,"diskS":0.8}]}}]})";
constexpr char kReport[] =
    R"({"models":[{"name":"m1"}],"busyCount":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":9})";

std::string Answer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An agent with its engine, and a peer on its link that sends what it likes.
struct AgentWorld {
  AgentWorld()
      : engine(io,
               [this](const SeenRequest& request, const Peer& peer) {
                 const bool is_order = request.Line() != "GET /report HTTP/1.1";
                 ++(is_order ? orders : reports);
                 peer->Write(is_order ? Answer(202, "") : Answer(200, kReport));
               }),
        peer(io, LinkClientCallbacks{[](const std::string&) {},
                                     [](const std::string&, std::string_view) {},
                                     [this](const std::string&, bool) { ++closed_links; }}) {
    EXPECT_NUMBER(0, pipe2(log.data(), O_CLOEXEC | O_NONBLOCK), "a pipe");
    link = {testing::OwnAddress(13), kLinkPort};
    store.Put("op/config", kModels);
    store.Put("servers/i-1", R"({"service":"s1","address":")" + engine.endpoint().ToString() +
                                 R"(","zone":"hall-1","slots":8,"state":"ready"})");
    Settings settings;
    settings.role = Role::kAgent;
    settings.id = "vm-1";
    settings.direct.emplace();
    settings.direct->store = store.endpoint();
    settings.direct->metrics = {"127.0.0.1", 0};
    settings.direct->link = link;
    settings.direct->upstream = engine.endpoint();
    agent = std::make_unique<internal::DirectAgent>(io, settings, log[1]);
    const auto error = agent->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
    EXPECT_TRUE(AwaitReports(2), "the agent finds its engine");
  }
  ~AgentWorld() {
    agent.reset();
    close(log[0]);
    close(log[1]);
  }

  bool AwaitReports(int n) {
    const int until = reports + n;
    return RunUntil(io, [&] { return reports >= until; });
  }

  // Sends bytes, and expects that the agent logs `event` and serves a sound demand behind them.
  void ExpectRefused(const std::string& bytes, const std::string& event) {
    peer.Send("agent", link, bytes);
    const bool is_logged = RunUntil(io, [&] {
      std::array<char, 4096> buf;
      const auto n = read(log[0], buf.data(), buf.size());
      if (n > 0) lines.append(buf.data(), static_cast<std::size_t>(n));
      return Contains(lines, event);
    });
    EXPECT_TRUE(is_logged, "expected a line " + event + ", got " + lines);
    EXPECT_NUMBER(0, orders, "orders");
    peer.Send("agent", link, EncodeDemand(DemandFor("m1", "a1")));
    EXPECT_TRUE(RunUntil(io, [&] { return orders > 0; }), "a sound demand is served");
    EXPECT_NUMBER(0, closed_links, "links closed");
  }

  static AgentDemand DemandFor(const std::string& model, const std::string& adapter) {
    AgentDemand demand;
    demand.entry = "entry-1";
    demand.instance = "i-1";
    demand.wanted.push_back(ModelDemand{{model, adapter}, 1, 0, 0});
    return demand;
  }

  std::array<int, 2> log{};
  std::string lines;
  boost::asio::io_context io;
  testing::StandinStore store{io};
  Endpoint link;
  int reports = 0;
  int orders = 0;
  int closed_links = 0;
  testing::ScriptedUpstream engine;
  LinkClient peer;
  std::unique_ptr<internal::DirectAgent> agent;
};

}  // namespace

TEST_GROUP(HostilePeers){};

// Guards against an agent that ends by an exception when it orders an adapter whose name is
// not UTF-8.
TEST(HostilePeers, SendNoNameToAnEngineThatIsNotUtf8) {
  AgentWorld world;
  world.ExpectRefused(EncodeDemand(AgentWorld::DemandFor("m1", kNotUtf8)), "demand_malformed");
}

// Guards against an order that throws out of its handler, whoever gave the name.
TEST(HostilePeers, AreNotNeededForAnOrderWithSuchAName) {
  boost::asio::io_context io;
  HttpClient http(io);
  std::string body;
  testing::ScriptedUpstream engine(io, [&](const SeenRequest& request, const Peer& peer) {
    body = request.body;
    peer->Write(Answer(202, ""));
  });
  platform::EngineCalls calls(http, engine.endpoint());
  EngineOrder order;
  order.target.model = kNotUtf8;
  std::optional<EngineOrderResult> result;
  calls.Give(order, "i-1", {"vm-1", 1}, [&](EngineOrderResult answer) { result = answer; });
  EXPECT_TRUE(RunUntil(io, [&] { return result.has_value(); }), "an answer");
  EXPECT_TRUE(Contains(body, "m\xef\xbf\xbd"), "expected replacement characters, got " + body);
}

// Guards against records with text that is not UTF-8, which were read from a peer and ended the
// process when it wrote them to the store.
TEST(HostilePeers, ReportNoCrashOfAnUpstreamWhoseNameIsNotUtf8) {
  UpstreamCrash crash;
  crash.instance = kNotUtf8;
  UpstreamCrash read;
  EXPECT_TRUE(!DecodeCrash(EncodeCrash(crash), &read), "refused");
  EXPECT_TRUE(Contains(CrashToText(crash), "\xef\xbf\xbd"), "replacement characters");
}

// Guards against a count of elements that no message of its size holds: the reader threw, and the
// process ended.
TEST(HostilePeers, AnnounceMoreElementsThanTheySend) {
  AgentWorld world;
  world.ExpectRefused("\x9b\x61\x61\x61\x61\x61\x61\x61\x61", "demand_malformed");
}

// Guards against the same in a map, and in a message of another kind.
TEST(HostilePeers, AnnounceMoreEntriesOfAMapThanTheySend) {
  AgentWorld world;
  world.ExpectRefused("\xa1\x65quota\xbb\x61\x61\x61\x61\x61\x61\x61\x61", "quota_malformed");
}

// Guards against a nest whose reader calls itself until the stack is used up.
TEST(HostilePeers, SendNestsWithoutEnd) {
  AgentWorld world;
  world.ExpectRefused("\xa1\x61n" + std::string(1000000, '\x81'), "demand_malformed");
}

// Guards against parts of a text within parts of a text, which the reader follows by calling itself
// until the stack is used up.
TEST(HostilePeers, SendTextsInPartsWithoutEnd) {
  AgentWorld world;
  world.ExpectRefused("\xa1\x61n" + std::string(1000000, '\x7f'), "demand_malformed");
}

// Guards against the same in frames, and in bytes.
TEST(HostilePeers, SendFramesOfPartsWithoutEnd) {
  for (const char part : {'\x7f', '\x5f'}) {
    const auto frame = DecodeFrame("\x81" + std::string(1000000, part));
    EXPECT_TRUE(!frame && frame.error() == WireError::kNotCbor, "refused");
  }
}

// Guards against an engine whose answer is JSON of another shape: the reader threw out of its
// handler, and the agent ended.
TEST(HostilePeers, MayBeAnEngineThatAnswersJsonOfAnotherShape) {
  for (const std::string index : {R"([{"name":5}])", R"([{"name":"m","memory_mb":"x"}])"}) {
    boost::asio::io_context io;
    HttpClient http(io);
    testing::ScriptedUpstream engine(io, [&](const SeenRequest& request, const Peer& peer) {
      const bool is_index = Contains(request.Line(), "/index");
      peer->Write(Answer(200, is_index ? index : R"({"accelerators_mb":[1]})"));
    });
    internal::EngineClient client(http, engine.endpoint());
    std::optional<bool> has_inventory;
    client.Inventory([&](const std::optional<internal::EngineInventory>& inventory) {
      has_inventory = inventory.has_value();
    });
    EXPECT_TRUE(RunUntil(io, [&] { return has_inventory.has_value(); }), "an end");
    EXPECT_TRUE(!*has_inventory, "expected no inventory of " + index);
  }
}

TEST_GROUP(HostileBodies){};

// Guards against a nest in a caller's JSON, which the writer of JSON follows by calling itself
// until the stack is used up.
TEST(HostileBodies, ThatNestWithoutEndAreRefused) {
  constexpr std::size_t kDepth = 1000000;
  ModelDeclaration model;
  model.name = "a";
  model.version = "1";
  model.is_default = true;
  Configuration configuration;
  configuration.Put(model);
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = R"({"model":"a","x":)" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  const auto call = internal::ReadCall(request, configuration, 1000);
  const auto* bad = std::get_if<internal::BadRequest>(&call);
  EXPECT_TRUE(bad != nullptr, "refused");
  EXPECT_NUMBER(400, bad->status, bad->sentence);
}

// Guards against a bound that refuses what callers send.
TEST(HostileBodies, MayNestAsDeepAsSchemasDo) {
  const std::string nest = std::string(100, '[') + std::string(100, ']');
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = R"({"model":"a","x":)" + nest + "}";
  const auto call = internal::ReadCall(request, Configuration(), 1000);
  EXPECT_TRUE(std::holds_alternative<entry::CallArrived>(call), "taken");
}

namespace {

std::string ChunkedRequest(const std::string& fields, const std::string& trailer) {
  return "POST /a/ HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: r1\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + trailer + "\r\n";
}

}  // namespace

TEST_GROUP(HostileTrailers){};

// Guards against fields behind a body that reach the upstream as if its head had held them.
TEST(HostileTrailers, ReachNoUpstream) {
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  caller.Send(
      ChunkedRequest("Junctionrail-Model: a\r\n", "Junctionrail-Model: b\r\nX-Late: 1\r\n"));
  EXPECT_TRUE(caller.AwaitText("hello"), "expected a response");
  const SeenRequest& seen = test.fixture.upstreams[0]->seen().at(0);
  EXPECT_TRUE(Contains(seen.head, "Junctionrail-Model: a\r\n"), seen.head);
  EXPECT_TRUE(!Contains(seen.head, "Junctionrail-Model: b") && !Contains(seen.head, "X-Late"),
              seen.head);
  EXPECT_TEXT("hello", seen.body, "the body");
}

// Guards against a trailer whose host is taken for a second one of the head.
TEST(HostileTrailers, NameNoHost) {
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  caller.Send(ChunkedRequest("", "Host: other.example\r\n"));
  EXPECT_TRUE(caller.AwaitText("hello"), "expected a response");
}

// Guards against a trailer that stands in for a field which the head lacks.
TEST(HostileTrailers, NameNoRequest) {
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  caller.Send(
      "POST /a/ HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nJunctionrail-Request-Id: r1\r\n\r\n");
  EXPECT_TRUE(caller.AwaitText("\"ran\""), "expected a refusal");
  EXPECT_TRUE(Contains(caller.received(), "no_request_id"), caller.received());
}

// Guards against a trailer that closes the connection over the next request, however its bytes
// are cut.
TEST(HostileTrailers, DoNotCloseTheConnection) {
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  const std::string request = ChunkedRequest("", "Connection: close\r\n");
  for (const char c : request) {
    caller.Send(std::string(1, c));
    testing::RunFor(test.fixture.io, 1);
  }
  EXPECT_TRUE(caller.AwaitText("hello"), "expected a response");
  caller.Forget();
  caller.Send(testing::MakeKeepAliveRequest("POST /a/", "second"));
  EXPECT_TRUE(caller.AwaitText("hello"), "expected the second response");
}

// Guards against a caller that waits for leave to send its body and gets none, as its head is read
// apart from the body.
TEST(HostileTrailers, DoNotKeepABodyFromBeingAskedFor) {
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  const std::string request = ChunkedRequest("Expect: 100-continue\r\n", "X-Late: 1\r\n");
  const std::size_t head = request.find("\r\n\r\n") + 4;
  caller.Send(request.substr(0, head));
  EXPECT_TRUE(caller.AwaitText("100 Continue\r\n\r\n"), "expected the interim response");
  caller.Send(request.substr(head));
  EXPECT_TRUE(caller.AwaitText("hello"), "expected a response");
}

namespace {

// A chunked request whose end never comes: `start` and then as much as the gateway takes.
void ExpectEndlessRefused(const std::string& start) {
  constexpr int kMaxPieces = 64;
  OneUpstream test;
  TestCaller caller(test.fixture.io, test.fixture.port);
  caller.Send(
      "POST /a/ HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      start);
  for (int i = 0; i < kMaxPieces && caller.received().empty(); ++i) {
    caller.Send(std::string(8 << 10, 'x'));
    testing::RunFor(test.fixture.io, 2);
  }
  EXPECT_TRUE(
      Contains(caller.received(), "431 ") && Contains(caller.received(), "trailer_too_large"),
      "got \"" + caller.received() + "\"");
}

}  // namespace

// Guards against fields behind a body that take memory without a bound.
TEST(HostileTrailers, WithoutEndAreRefused) { ExpectEndlessRefused("0\r\nX-Late: "); }

// Guards against the same in what may follow a chunk's size.
TEST(HostileTrailers, AreNotTheOnlyEndlessLines) { ExpectEndlessRefused("5;name="); }

TEST_GROUP(RepeatedFields){};

// Guards against a request on whose first field this gateway acts and on whose second one the
// upstream does.
TEST(RepeatedFields, ThatTheGatewayActsOnAreRefused) {
  for (const std::string name :
       {"Junctionrail-Request-Id", "Junctionrail-Model", "Junctionrail-Deadline-Ms",
        "Junctionrail-Prompt-Parts", "Last-Event-ID", "Junctionrail-Resumed-Request",
        "Junctionrail-Token-Usage"}) {
    OneUpstream test;
    const std::string fields = name + ": 1\r\nX-Between: 1\r\n" + name + ": 1\r\n";
    test.ExpectRefused(MakeRequest("POST /a/", fields), "repeated_field");
  }
}

// Guards against a comparison of names that takes two cases of one for two fields.
TEST(RepeatedFields, AreTheSameInAnyCase) {
  OneUpstream test;
  test.ExpectRefused(MakeRequest("POST /a/", "Junctionrail-Model: a\r\njunctionrail-MODEL: b\r\n"),
                     "repeated_field");
}

// Guards against a refusal of fields that are the upstream's alone.
TEST(RepeatedFields, ThatTheGatewayDoesNotReadAreRelayed) {
  OneUpstream test;
  const std::string answer =
      test.fixture.Fetch(MakeRequest("POST /a/", "Accept: a/b\r\nAccept: c/d\r\n"));
  EXPECT_TRUE(Contains(answer, "200 OK"), answer);
  const std::string& head = test.fixture.upstreams[0]->seen().at(0).head;
  EXPECT_TRUE(Contains(head, "Accept: a/b\r\n") && Contains(head, "Accept: c/d\r\n"), head);
}

// Guards against a field that the gateway acts on and, as Connection names it, does not relay.
TEST(RepeatedFields, AreNotTheOnlyOnesThatAnUpstreamCouldReadOtherwise) {
  OneUpstream test;
  test.ExpectRefused(
      "POST /a/ HTTP/1.1\r\nHost: shop.example\r\nJunctionrail-Request-Id: r1\r\n"
      "Junctionrail-Model: a\r\nConnection: close, junctionrail-model\r\n\r\n",
      "connection_field");
}

}  // namespace junctionrail

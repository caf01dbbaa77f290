// The client of HTTP that speaks to the store, to other entries and to engines.
#include <boost/asio/io_context.hpp>
#include <optional>

#include "check.h"
#include "junctionrail/net.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr std::size_t kAnswerBytes = 128 << 10;

}  // namespace

TEST_GROUP(LargeAnswers){};

// Guards against a document that arrives in hundreds of small pieces: on a busy process each piece
// waits for a turn of the event loop.
TEST(LargeAnswers, TakeFewTurnsOfTheLoop) {
  constexpr int kMostPieces = 32;
  boost::asio::io_context io;
  ScriptedUpstream server(io, [](const SeenRequest&, const Peer& peer) {
    peer->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n" +
                std::string(kAnswerBytes, 'x'));
  });
  HttpClient client(io);
  HttpCall call;
  call.endpoint = server.endpoint();
  call.target = "/document";
  std::size_t bytes = 0;
  int pieces = 0;
  bool is_done = false;
  HttpCallbacks callbacks;
  callbacks.piece = [&](const std::string& data) {
    bytes += data.size();
    ++pieces;
  };
  callbacks.done = [&] { is_done = true; };
  client.Start(std::move(call), std::move(callbacks));
  EXPECT_TRUE(RunUntil(io, [&] { return is_done; }), "");
  EXPECT_NUMBER(kAnswerBytes, bytes, "of the answer");
  EXPECT_TRUE(pieces <= kMostPieces, "expected at most " + std::to_string(kMostPieces) +
                                         " pieces, got " + std::to_string(pieces));
}

TEST_GROUP(AnswersOfCalls){};

namespace {

// Calls one server, one call after the other.
struct Caller {
  explicit Caller(ScriptedUpstream::Script script) : server(io, std::move(script)) {}

  HttpAnswer Call(const std::string& target) {
    HttpCall call;
    call.endpoint = server.endpoint();
    call.target = target;
    std::optional<HttpAnswer> answer;
    FetchWhole(client, std::move(call), [&](HttpAnswer it) { answer = std::move(it); });
    RunUntil(io, [&] { return answer.has_value(); });
    return answer.value_or(HttpAnswer{});
  }

  boost::asio::io_context io;
  ScriptedUpstream server;
  HttpClient client{io};
};

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

// Guards against an interim response that is taken for the answer: the answer itself was then taken
// for that of the next call on the connection.
TEST(AnswersOfCalls, AreNotInterimOnes) {
  Caller caller([](const SeenRequest& request, const Peer& peer) {
    peer->Write("HTTP/1.1 103 Early Hints\r\n\r\n" + Answer(request.Line()));
  });
  const HttpAnswer first = caller.Call("/first");
  EXPECT_NUMBER(200, first.status, "of the first call");
  EXPECT_TEXT("GET /first HTTP/1.1", first.body, "of the first call");
  EXPECT_TEXT("GET /second HTTP/1.1", caller.Call("/second").body, "of the second call");
}

// Guards against a connection that is kept although its far end has sent more than the answer.
TEST(AnswersOfCalls, AreNotTheRestOfWhatCameWithAnEarlierOne) {
  Caller caller([](const SeenRequest& request, const Peer& peer) {
    const bool is_first = request.Line() == "GET /first HTTP/1.1";
    if (!is_first) return peer->Write(Answer(request.Line()));
    // The rest of the surplus answer comes with the next call.
    peer->Write(Answer("first") + "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n");
  });
  EXPECT_TEXT("first", caller.Call("/first").body, "of the first call");
  EXPECT_TEXT("GET /second HTTP/1.1", caller.Call("/second").body, "of the second call");
  EXPECT_NUMBER(2, caller.server.connections(), "connections");
}

}  // namespace junctionrail

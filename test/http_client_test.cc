// The client of HTTP that speaks to the store, to other entries and to engines.
#include <boost/asio/io_context.hpp>

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

}  // namespace junctionrail

// Peers that send bytes without an end which no answer needs: the process has bounds for them.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include <websocketpp/base64/base64.hpp>
#include <websocketpp/sha1/sha1.hpp>

#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "junctionrail/store.h"
#include "loopback.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::EventChunk;
using testing::EventStreamHead;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::OkResponse;
using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::TestCaller;
using Fixture = testing::GatewayFixture;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

// Less than a socket takes: a write blocks the thread that reads.
constexpr std::size_t kPieceBytes = 16 << 10;
// Beyond each of the bounds.
constexpr std::size_t kMostBytes = 24 << 20;
// Beyond the bound of an event.
constexpr std::size_t kBeyondEventBytes = 2 << 20;
constexpr char kUnframedHead[] =
    "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

const std::string& PlainPiece() {
  static const std::string piece(kPieceBytes, 'x');
  return piece;
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

// Writes `piece` again and again until the far end closes the connection. Returns whether it did.
bool WriteUntilClosed(boost::asio::io_context& io, const Peer& peer, const std::string& piece,
                      std::size_t most_bytes = kMostBytes) {
  for (std::size_t n = 0; n < most_bytes && !peer->IsEnded(); n += piece.size()) {
    peer->Write(piece);
    io.restart();
    io.poll();
  }
  return peer->IsEnded();
}

// One request, at an upstream that answers as the test says.
struct OneRequest {
  explicit OneRequest(RequestKind kind, const std::string& service = "plain") {
    fixture.AddUpstream("u1", service, [this](const SeenRequest&, const Peer& it) { peer = it; });
    fixture.Configure({MakeRoute("/a/", kind, service)});
    caller = std::make_unique<TestCaller>(fixture.io, fixture.port);
    caller->Send(MakeRequest("POST /a/", "", "order"));
    EXPECT_TRUE(RunUntil(fixture.io, [&] { return peer != nullptr; }), "the request is sent");
  }

  // The upstream sends `begin`, and then `piece` without an end.
  void Send(const std::string& begin, const std::string& piece,
            std::size_t most_bytes = kMostBytes) {
    peer->Write(begin);
    EXPECT_TRUE(WriteUntilClosed(fixture.io, peer, piece, most_bytes), "the connection is closed");
    EXPECT_TRUE(caller->AwaitEnd(), "the caller's connection ends");
    EXPECT_NUMBER(0, fixture.gateway->counters().upstreams_crashed, "crashes");
  }

  void ExpectUnknownOutcome(const std::string& bound) {
    const std::string& answer = caller->received();
    EXPECT_TRUE(Contains(answer, "502 ") && Contains(answer, R"("ran":"unknown")"), answer);
    EXPECT_TRUE(Contains(answer, bound), answer);
  }

  Fixture fixture;
  Peer peer;
  std::unique_ptr<TestCaller> caller;
};

}  // namespace

TEST_GROUP(EndlessResponses){};

// Guards against a body that is kept until the memory of the process is used up.
TEST(EndlessResponses, WithOneBodyEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send(kUnframedHead, PlainPiece());
  test.ExpectUnknownOutcome("a response longer than 16 MiB");
}

// Guards against a repeatable request that is not sent elsewhere after such a response.
TEST(EndlessResponses, LetARepeatableRequestGoElsewhere) {
  OneRequest test(RequestKind::kIdempotent);
  test.fixture.AddUpstream(
      "u2", "plain", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("two")); });
  test.Send(kChunkedHead, Chunk(PlainPiece()));
  EXPECT_TRUE(Contains(test.caller->received(), "200 OK"), test.caller->received());
}

// Guards against a bound that takes a large response for an endless one.
TEST(EndlessResponses, AreNotLargeOnes) {
  constexpr std::size_t kLargeBytes = 8 << 20;
  OneRequest test(RequestKind::kNonIdempotent);
  test.peer->Write(kUnframedHead);
  for (std::size_t n = 0; n < kLargeBytes; n += kPieceBytes) {
    test.peer->Write(PlainPiece());
    test.fixture.io.restart();
    test.fixture.io.poll();
  }
  test.peer->Close();
  EXPECT_TRUE(test.caller->AwaitEnd(), "the caller's connection ends");
  EXPECT_TRUE(Contains(test.caller->received(), "200 OK"), "the response");
  EXPECT_TRUE(test.caller->received().size() > kLargeBytes, "the response is whole");
}

// Guards against an event that is kept until the memory of the process is used up.
TEST(EndlessResponses, WithOneEventEndAtABound) {
  OneRequest test(RequestKind::kStreaming, "engine");
  test.Send(EventStreamHead(), Chunk(PlainPiece()), kBeyondEventBytes);
  test.ExpectUnknownOutcome("an event longer than 1 MiB");
}

// Guards against the same within a stream that has begun.
TEST(EndlessResponses, WithALaterEventBreakTheStreamAtABound) {
  OneRequest test(RequestKind::kStreaming, "engine");
  test.Send(EventStreamHead() + EventChunk(1), Chunk(PlainPiece()), kBeyondEventBytes);
  const std::string& got = test.caller->received();
  EXPECT_TRUE(Contains(got, "id: 1") && !Contains(got, "\r\n0\r\n"), "the stream has no end");
}

// Guards against a bound on the length of a whole stream.
TEST(EndlessResponses, AreNotStreamsOfManyEvents) {
  OneRequest test(RequestKind::kStreaming, "engine");
  const std::string event = Chunk("data: " + PlainPiece() + "\n\n");
  test.peer->Write(EventStreamHead());
  EXPECT_TRUE(!WriteUntilClosed(test.fixture.io, test.peer, event), "the stream goes on");
  test.peer->Write("0\r\n\r\n");
  EXPECT_TRUE(test.caller->AwaitText("\r\n0\r\n\r\n"), "the stream ends");
}

// Guards against an upstream that announces a response for as long as the request may take.
TEST(EndlessResponses, ThatAreInterimEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send("", "HTTP/1.1 103 Early Hints\r\nLink: " + PlainPiece() + "\r\n\r\n");
  test.ExpectUnknownOutcome("more than 16 MiB before the response");
}

// Guards against the same with responses that no request waits for.
TEST(EndlessResponses, ThatAreSurplusEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send("", OkResponse(PlainPiece(), "earlier"));
  test.ExpectUnknownOutcome("more than 16 MiB before the response");
}

// Guards against the same with one of them, whose body does not end.
TEST(EndlessResponses, WithABodyThatIsSurplusEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send(
      "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n",
      Chunk(PlainPiece()));
  test.ExpectUnknownOutcome("more than 16 MiB before the response");
}

// Guards against skipped bytes that count as the upstream's progress: the request was not sent
// elsewhere.
TEST(EndlessResponses, ThatAreInterimLetARepeatableRequestGoElsewhere) {
  OneRequest test(RequestKind::kIdempotent);
  test.fixture.AddUpstream(
      "u2", "plain", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse("two")); });
  test.Send("", "HTTP/1.1 103 Early Hints\r\nLink: " + PlainPiece() + "\r\n\r\n");
  EXPECT_TRUE(Contains(test.caller->received(), "200 OK"), test.caller->received());
}

// Guards against the framing of a body that is kept until the memory of the process is used up.
TEST(EndlessResponses, WithAChunkExtensionEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send(kChunkedHead + std::string("5;x="), PlainPiece());
  test.ExpectUnknownOutcome("a chunk header or trailer longer than 64 KiB");
}

// Guards against the same at the end of a body.
TEST(EndlessResponses, WithATrailerEndAtABound) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.Send(kChunkedHead + std::string("5\r\nhello\r\n0\r\n"), "X: " + PlainPiece() + "\r\n");
  test.ExpectUnknownOutcome("a chunk header or trailer longer than 64 KiB");
}

// Guards against a bound that takes framing which is unusual for framing that does not end.
TEST(EndlessResponses, AreNotThoseWithLongFraming) {
  OneRequest test(RequestKind::kNonIdempotent);
  test.peer->Write(kChunkedHead + ("5;x=" + PlainPiece()) + "\r\nhello\r\n0\r\nX: " + PlainPiece() +
                   "\r\n\r\n");
  EXPECT_TRUE(test.caller->AwaitText("hello"), "the response");
}

TEST_GROUP(EndlessAnswers){};

namespace {

// A call to a server that answers as the test says.
struct OneCall {
  explicit OneCall(std::uint64_t max_answer_bytes = HttpCall().max_answer_bytes) {
    HttpCall call;
    call.endpoint = server.endpoint();
    call.max_answer_bytes = max_answer_bytes;
    FetchWhole(client, std::move(call), [&](HttpAnswer it) {
      answer = std::move(it);
      is_done = true;
    });
    EXPECT_TRUE(RunUntil(io, [&] { return peer != nullptr; }), "the call is sent");
  }

  // The server sends `begin`, and then `piece` without an end.
  void Send(const std::string& begin, const std::string& piece, const std::string& bound) {
    peer->Write(begin);
    EXPECT_TRUE(WriteUntilClosed(io, peer, piece), "the connection is closed");
    EXPECT_TRUE(is_done && answer.status == 0 && answer.was_sent, "the call may have been run");
    EXPECT_TRUE(Contains(answer.reason, bound), answer.reason);
  }

  boost::asio::io_context io;
  Peer peer;
  ScriptedUpstream server{io, [this](const SeenRequest&, const Peer& it) { peer = it; }};
  HttpClient client{io};
  HttpAnswer answer;
  bool is_done = false;
};

}  // namespace

// Guards against an answer that is kept until the memory of the process is used up.
TEST(EndlessAnswers, WithOneBodyEndAtABound) {
  OneCall().Send("HTTP/1.1 200 OK\r\n\r\n", PlainPiece(), "an answer longer than 16777216 bytes");
}

// Guards against the same where the answer is in chunks, and its call names a bound of its own.
TEST(EndlessAnswers, WithChunksEndAtTheBoundOfTheirCall) {
  OneCall(1000).Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunk(PlainPiece()),
                     "an answer longer than 1000 bytes");
}

// Guards against a server that announces an answer for as long as its call may take.
TEST(EndlessAnswers, ThatAreInterimEndAtABound) {
  constexpr int kManyResponses = 500;
  std::string piece;
  for (int i = 0; i < kManyResponses; ++i) piece += "HTTP/1.1 103 Early Hints\r\n\r\n";
  OneCall().Send("", piece, "more than 100 interim responses");
}

// Guards against framing that is kept until the memory of the process is used up.
TEST(EndlessAnswers, WithAChunkExtensionEndAtABound) {
  OneCall().Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", PlainPiece(),
                 "a chunk header or trailer longer than 64 KiB");
}

// Guards against the same at the end of an answer.
TEST(EndlessAnswers, WithATrailerEndAtABound) {
  OneCall().Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X: " + PlainPiece() + "\r\n", "a chunk header or trailer longer than 64 KiB");
}

TEST_GROUP(EndlessRequests){};

// Guards against framing of a request that is kept until the memory of the process is used up.
TEST(EndlessRequests, WithAChunkExtensionEndAtABound) {
  boost::asio::io_context io;
  bool is_handled = false;
  HttpServer server(io, {{"127.0.0.1", 0}},
                    [&](HttpRequest, std::shared_ptr<HttpResponder>) { is_handled = true; });
  TestCaller caller(io, server.Listen().value());
  caller.Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=");
  for (std::size_t n = 0; n < kMostBytes && caller.received().empty(); n += kPieceBytes) {
    caller.Send(PlainPiece());
    io.restart();
    io.poll();
  }
  EXPECT_TRUE(Contains(caller.received(), "431 "), "expected a refusal, got " + caller.received());
  EXPECT_TRUE(!is_handled, "no request was handled");
  server.Stop();
}

// Guards against a body that is kept although the handshake of a link has none.
TEST(EndlessRequests, ForALinkHaveNoBody) {
  boost::asio::io_context io;
  LinkServer server(io, {});
  TestCaller caller(io, server.Listen({"127.0.0.1", 0}).value());
  caller.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000000\r\n\r\n" + PlainPiece());
  EXPECT_TRUE(caller.AwaitText("413 "), "expected a refusal, got " + caller.received());
  server.Stop();
  testing::RunFor(io, 10);
}

TEST_GROUP(EndlessWatches){};

// Guards against a change that is kept until the memory of the process is used up, and against a
// watch that asks for the same change again.
TEST(EndlessWatches, WithOneLineEndAtABound) {
  boost::asio::io_context io;
  Peer peer;
  ScriptedUpstream server(io, [&](const SeenRequest&, const Peer& it) { peer = it; });
  HttpClient client(io);
  KvClient store(client, {server.endpoint()});
  int ends = 0;
  bool must_read = false;
  const auto watch = store.Watch(
      "key", 1, [](const std::vector<KvEvent>&) {},
      [&](bool must) {
        ++ends;
        must_read = must;
      });
  EXPECT_TRUE(RunUntil(io, [&] { return peer != nullptr; }), "the watch is sent");
  peer->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE(WriteUntilClosed(io, peer, Chunk(PlainPiece())), "the connection is closed");
  EXPECT_NUMBER(1, ends, "ends of the watch");
  EXPECT_TRUE(must_read, "what was missed is read");
}

TEST_GROUP(EndlessMessages){};

namespace {

// Begins a message of 66 MiB.
std::string LongMessage(bool is_masked) {
  constexpr unsigned char kMaskBit = 0x80;
  const unsigned char head[] = {0x82, 0x7f, 0, 0, 0, 0, 4, 0x20, 0, 0};
  std::string bytes(std::begin(head), std::end(head));
  if (!is_masked) return bytes;
  bytes[1] = static_cast<char>(static_cast<unsigned char>(bytes[1]) | kMaskBit);
  return bytes + "mask";
}

// Of the field by which a server accepts a link.
std::string AcceptanceOf(const std::string& key) {
  const std::string text = key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  std::array<unsigned char, 20> digest{};
  websocketpp::sha1::calc(text.data(), text.size(), digest.data());
  return websocketpp::base64_encode(digest.data(), digest.size());
}

constexpr char kCloseFrame[] = "\x88";
// The entry's first message of one byte, behind its head and mask.
constexpr std::size_t kFirstFrameBytes = 7;

}  // namespace

// Guards against a message that is kept until the memory of an agent is used up.
TEST(EndlessMessages, ToAnAgentEndAtABound) {
  boost::asio::io_context io;
  LinkServer server(
      io, {[](std::uint64_t) {}, [](std::uint64_t, std::string_view) {}, [](std::uint64_t) {}});
  TestCaller entry(io, server.Listen({"127.0.0.1", 0}).value());
  entry.Send(
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
  EXPECT_TRUE(entry.AwaitText("\r\n\r\n"), "the link is open");
  entry.Forget();
  entry.Send(LongMessage(true));
  EXPECT_TRUE(entry.AwaitText(kCloseFrame), "the link is closed");
  entry.Close();
  server.Stop();
  testing::RunFor(io, 10);
}

// Guards against the same at the entry's end.
TEST(EndlessMessages, ToAnEntryEndAtABound) {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket agent(io);
  bool is_open = false;
  bool is_closed = false;
  acceptor.async_accept(agent, [](boost::system::error_code) {});
  LinkClient client(
      io, {[&](const std::string&) { is_open = true; }, [](const std::string&, std::string_view) {},
           [&](const std::string&, bool) { is_closed = true; }});
  client.Send("agent", {"127.0.0.1", acceptor.local_endpoint().port()}, "x");
  SeenRequest request;
  const auto read_until = [&](const std::function<bool()>& is_read) {
    return RunUntil(io, [&] {
      std::array<char, 4096> buf{};
      boost::system::error_code ec;
      const bool has_bytes = agent.is_open() && agent.available(ec) > 0;
      if (has_bytes) request.head.append(buf.data(), agent.read_some(asio::buffer(buf), ec));
      return is_read();
    });
  };
  EXPECT_TRUE(read_until([&] { return Contains(request.head, "\r\n\r\n"); }),
              "the entry opens a link");
  asio::write(agent, asio::buffer("HTTP/1.1 101 x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                  "Sec-WebSocket-Accept: " +
                                  AcceptanceOf(request.Field("Sec-WebSocket-Key")) + "\r\n\r\n"));
  EXPECT_TRUE(RunUntil(io, [&] { return is_open; }), "the link is open");
  request.head.clear();
  asio::write(agent, asio::buffer(LongMessage(false)));
  const auto has_two_frames = [&] { return request.head.size() > kFirstFrameBytes; };
  EXPECT_TRUE(read_until(has_two_frames), "the link is closed");
  EXPECT_TRUE(request.head[kFirstFrameBytes] == kCloseFrame[0], "a close frame");
  agent.close();
  EXPECT_TRUE(RunUntil(io, [&] { return is_closed; }), "the entry knows");
}

}  // namespace junctionrail

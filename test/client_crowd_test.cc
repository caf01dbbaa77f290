// Crowds of clients that send more than the process could hold: it lives, stays within the memory
// and the descriptors of the smallest VM, and answers an ordinary caller meanwhile.
#include "client_crowd.h"

#include <string>

#include "check.h"
#include "cluster.h"
#include "entry_process.h"

namespace junctionrail {
namespace {

using testing::AnnouncedBody;
using testing::ClientCrowd;
using testing::ClientPayload;
using testing::EntryProcess;
using testing::RequestHead;
using testing::UnfinishedChunkedBody;
using testing::UsageMonitor;

// Of the smallest VM that runs an entry.
constexpr std::size_t kVmMemoryBytes = 160'000'000;
// The longest body that the configuration allows.
constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr std::size_t kFarTooLong = 16 * kMaxBodyBytes;
constexpr std::size_t kOrdinaryBytes = 1000;
// So many of the longest bodies are half as much again as the memory of the VM.
constexpr std::size_t kCrowd = 60;
// For a large response to be whole before the next one is asked for.
constexpr DurationMs kLargeResponseMs = 60;

// A socket that is not read holds some 128 KiB by default.
constexpr std::size_t kLargeCrowd = 3000;

std::string SilentHead() { return RequestHead("POST /silent/a", "crowd"); }

ClientPayload RequestsBehindOneInFlight() {
  const std::string head = SilentHead() + "Content-Length: 0\r\n\r\n" + SilentHead();
  return AnnouncedBody(head, kFarTooLong, kFarTooLong);
}

// Requests for a large response, with further fields.
ClientPayload LargeResponses(const std::string& fields = "") {
  ClientPayload payload;
  payload.head = RequestHead("GET /quick/large", "crowd") + fields + "\r\n";
  return payload;
}

// An entry that a crowd calls.
struct CrowdedEntry {
  // Checks what has to hold while the clients stay.
  void ExpectWell(const std::string& hint) {
    EXPECT_TRUE(entry.IsRunning(), hint);
    const std::size_t most = usage.peak().memory_bytes;
    EXPECT_TRUE(most <= kVmMemoryBytes, hint + ": " + std::to_string(most) + " bytes of memory");
    const std::string response = entry.Fetch(kOrdinaryBytes);
    EXPECT_TRUE(response.find("200 OK") != std::string::npos, hint + ": " + response);
  }

  // As before, and a request of the longest legal body once they have left.
  void ExpectCalm(const std::string& hint) {
    ExpectWell(hint);
    const std::string response = entry.Fetch(kMaxBodyBytes);
    EXPECT_TRUE(response.find("200 OK") != std::string::npos, hint + ": " + response);
  }

  EntryProcess entry;
  UsageMonitor usage{entry.io, entry.pid(), entry.address()};
};

}  // namespace

TEST_GROUP(ClientCrowd){};

// Guards against an entry that a crowd with bodies far over the limit brings down.
TEST(ClientCrowd, WithBodiesFarOverTheLimitThatAreAnnounced) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.Send(AnnouncedBody(SilentHead(), kFarTooLong, kFarTooLong));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against bodies that are kept up to the limit, each of them, before they are refused.
TEST(ClientCrowd, WithBodiesFarOverTheLimitThatAreJustSent) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.SendInRounds(UnfinishedChunkedBody(SilentHead(), 2 * kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against whole requests without a bound on their sum, which wait for their upstream.
TEST(ClientCrowd, WithWholeBodiesThatNoUpstreamAnswers) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.Send(AnnouncedBody(SilentHead(), kMaxBodyBytes, kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against bodies without a bound on their sum while they are received.
TEST(ClientCrowd, WithBodiesThatArrivePieceByPiece) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.SendInRounds(AnnouncedBody(SilentHead(), kMaxBodyBytes, kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against bodies that never become whole and whose memory is held for as long as their
// clients like.
TEST(ClientCrowd, WithBodiesThatStopOneByteShort) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.Send(AnnouncedBody(SilentHead(), kMaxBodyBytes - 1, kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// As above; a body without a length takes up to twice its size while it grows.
TEST(ClientCrowd, WithChunkedBodiesThatStopShort) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
  crowd.Send(UnfinishedChunkedBody(SilentHead(), kMaxBodyBytes - 1));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against a first crowd that takes the room for good.
TEST(ClientCrowd, ThatComesAgain) {
  CrowdedEntry test;
  for (int n = 0; n < 3; ++n) {
    ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd);
    crowd.SendInRounds(AnnouncedBody(SilentHead(), kMaxBodyBytes - 1, kMaxBodyBytes));
    test.ExpectWell("with crowd " + std::to_string(n));
    crowd.Leave();
    test.ExpectCalm("after crowd " + std::to_string(n));
  }
}

// Guards against a process that bears each kind of crowd alone, and not one after the other: what
// the allocator kept of the first is missing for the next.
TEST(ClientCrowd, OfEachKindAtOnceRepeatedly) {
  CrowdedEntry test;
  for (int n = 0; n < 3; ++n) {
    ClientCrowd short_of_end(test.entry.io, test.entry.callers(), kCrowd);
    short_of_end.SendInRounds(AnnouncedBody(SilentHead(), kMaxBodyBytes - 1, kMaxBodyBytes));
    ClientCrowd chunked(test.entry.io, test.entry.callers(), kCrowd);
    chunked.SendInRounds(UnfinishedChunkedBody(SilentHead(), kMaxBodyBytes));
    ClientCrowd unread(test.entry.io, test.entry.callers(), kCrowd, false);
    unread.SendInTurn(LargeResponses(), kLargeResponseMs);
    ClientCrowd ahead(test.entry.io, test.entry.callers(), kLargeCrowd);
    ahead.Send(RequestsBehindOneInFlight());
    test.ExpectWell("with crowd " + std::to_string(n));
  }
}

// Guards against what clients send behind a request in flight: it waits in sockets, which the VM
// counts as memory of the process.
TEST(ClientCrowd, ThatGoesOnSendingBehindARequestInFlight) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kLargeCrowd);
  crowd.Send(RequestsBehindOneInFlight());
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against whole responses that their clients do not read.
TEST(ClientCrowd, ThatDoesNotReadItsResponses) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd, false);
  crowd.SendInTurn(LargeResponses(), kLargeResponseMs);
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Likewise, on connections that close behind the response.
TEST(ClientCrowd, ThatDoesNotReadItsLastResponses) {
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kCrowd, false);
  crowd.SendInTurn(LargeResponses("Connection: close\r\n"), kLargeResponseMs);
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

// Guards against bodies at the addresses for health checks, other entries and metrics.
TEST(ClientCrowd, AtTheOtherAddressesOfAnEntry) {
  constexpr std::size_t kServerBodyBytes = 1 << 20;
  constexpr std::size_t kManyClients = 240;
  CrowdedEntry test;
  ClientCrowd crowd(test.entry.io, test.entry.health(), kManyClients);
  crowd.Send(AnnouncedBody("POST /ready HTTP/1.1\r\nHost: entry\r\n", kServerBodyBytes - 1,
                           kServerBodyBytes));
  test.ExpectWell("with the crowd");
  EXPECT_TRUE(test.entry.Metrics().find("200 OK") != std::string::npos, "the metrics page");
  crowd.Leave();
  test.ExpectCalm("without the crowd");
}

namespace {

constexpr std::size_t kFewDescriptors = 100;
constexpr std::size_t kManyConnections = 200;

struct EntryWithFewDescriptors {
  void ExpectWell(const std::string& hint) {
    EXPECT_TRUE(entry.IsRunning(), hint);
    const std::size_t most = usage.peak().descriptors;
    // Some have to be left for the store and for upstreams.
    EXPECT_TRUE(most < kFewDescriptors, hint + ": " + std::to_string(most) + " descriptors");
    const std::string response = entry.Fetch(kOrdinaryBytes);
    EXPECT_TRUE(response.find("200 OK") != std::string::npos, hint + ": " + response);
  }

  EntryProcess entry{{kFewDescriptors}};
  UsageMonitor usage{entry.io, entry.pid(), entry.address()};
};

}  // namespace

TEST_GROUP(ConnectionCrowd){};

// Guards against idle connections that take the last descriptors: nobody could connect any more.
TEST(ConnectionCrowd, ThatSendsNothing) {
  EntryWithFewDescriptors test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kManyConnections);
  crowd.Send(ClientPayload());
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

// Likewise, by connections that are not idle.
TEST(ConnectionCrowd, WithUnfinishedHeads) {
  EntryWithFewDescriptors test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kManyConnections);
  ClientPayload payload;
  payload.head = SilentHead();
  crowd.Send(payload);
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

// Likewise, by connections whose small requests no upstream answers.
TEST(ConnectionCrowd, WithUnfinishedBodies) {
  EntryWithFewDescriptors test;
  ClientCrowd crowd(test.entry.io, test.entry.callers(), kManyConnections);
  crowd.Send(AnnouncedBody(SilentHead(), 99, 100));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

// Likewise, at an address that is not meant for callers.
TEST(ConnectionCrowd, AtTheOtherAddressesOfAnEntry) {
  EntryWithFewDescriptors test;
  ClientCrowd crowd(test.entry.io, test.entry.health(), kManyConnections);
  crowd.Send(ClientPayload());
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

namespace {

// Of the VM of an agent.
constexpr std::size_t kAgentMemoryBytes = 192'000'000;

// The product's own interface: an entry, and a service behind its agent, each its own process.
struct CrowdedCluster {
  static test::ClusterOptions Options() {
    test::ClusterOptions options;
    options.engines = 0;
    options.services = 1;
    options.entry_settings = {{"max_body_bytes", kMaxBodyBytes}};
    options.declarations = {{"services", {{{"name", "orders"}, {"idempotency_window_ms", 60000}}}}};
    return options;
  }

  void ExpectWell(const std::string& hint) {
    for (const char* it : {"entry-1", "api-agent-1"}) {
      EXPECT_TRUE(cluster.Metric(it, "process_resident_memory_bytes") > 0, hint + ": " + it);
    }
    const std::size_t most = entry_usage.peak().memory_bytes;
    EXPECT_TRUE(most <= kVmMemoryBytes, hint + ": " + std::to_string(most) + " bytes of memory");
    const std::size_t most_of_agent = agent_usage.peak().memory_bytes;
    EXPECT_TRUE(most_of_agent <= kAgentMemoryBytes,
                hint + ": " + std::to_string(most_of_agent) + " bytes of the agent's memory");
    test::CallSpec call;
    call.target = "/services/orders/confirm";
    call.body = R"({"ref":"ordinary"})";
    EXPECT_NUMBER(200, cluster.Call("entry-1", call).status, hint);
  }

  boost::asio::io_context io;
  test::Cluster cluster{Options()};
  UsageMonitor entry_usage{io, cluster.PidOf("entry-1"), "127.0.0.1"};
  UsageMonitor agent_usage{io, cluster.PidOf("api-agent-1"), "127.0.0.1"};
};

std::string OwnHead() {
  return "POST /services/orders/confirm HTTP/1.1\r\nHost: entry\r\n"
         "Content-Type: application/json\r\nJunctionrail-Deadline-Ms: 120000\r\n";
}

// A whole request that the service answers only after two minutes.
ClientPayload SlowRequest() {
  constexpr std::size_t kPieces = 60;
  const std::string begin = R"({"ref":"crowd","delay_ms":120000,"text":")";
  const std::string end = "\"}";
  const std::string piece(64 << 10, 'x');
  ClientPayload payload;
  payload.head = OwnHead() + "Content-Length: " +
                 std::to_string(begin.size() + kPieces * piece.size() + end.size()) + "\r\n\r\n" +
                 begin;
  payload.piece = piece;
  payload.pieces = kPieces;
  payload.tail = end;
  return payload;
}

}  // namespace

TEST_GROUP(OwnInterfaceCrowd){};

// Guards against an entry of the product's own interface that a crowd brings down.
TEST(OwnInterfaceCrowd, WithBodiesThatStopOneByteShort) {
  CrowdedCluster test;
  ClientCrowd crowd(test.io, test.cluster.HttpOf("entry-1"), kCrowd);
  crowd.Send(AnnouncedBody(OwnHead(), kMaxBodyBytes - 1, kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

// Likewise, with requests that wait for their answer.
TEST(OwnInterfaceCrowd, WithWholeBodiesThatAreAnsweredLate) {
  CrowdedCluster test;
  ClientCrowd crowd(test.io, test.cluster.HttpOf("entry-1"), kCrowd);
  crowd.Send(SlowRequest());
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

// Likewise, without a length.
TEST(OwnInterfaceCrowd, WithChunkedBodiesThatArrivePieceByPiece) {
  CrowdedCluster test;
  ClientCrowd crowd(test.io, test.cluster.HttpOf("entry-1"), kCrowd);
  crowd.SendInRounds(UnfinishedChunkedBody(OwnHead(), 2 * kMaxBodyBytes));
  test.ExpectWell("with the crowd");
  crowd.Leave();
  test.ExpectWell("without the crowd");
}

}  // namespace junctionrail

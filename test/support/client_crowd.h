// Many clients of one process that send more than it could hold, and what the process uses
// meanwhile. All of it runs on the test's io_context.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_CLIENT_CROWD_H_
#define JUNCTIONRAIL_TEST_SUPPORT_CLIENT_CROWD_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::testing {

// What a process holds: its resident memory, and what has arrived at the sockets of its address but
// was not read.
struct ProcessUsage {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

// Samples the usage of a process while the io_context runs, and keeps the peaks.
class UsageMonitor {
 public:
  // `address` is the one that the process listens at; no other process may have sockets there.
  UsageMonitor(boost::asio::io_context& io, pid_t process, std::string address);

  ProcessUsage peak() const { return peak_; }

 private:
  void Sample();

  pid_t process_;
  std::string address_;
  ProcessUsage peak_;
  Timer timer_;
};

// What each client of a crowd sends: a head, a number of equal pieces, and a last one.
struct ClientPayload {
  std::string head;
  std::string piece;
  std::size_t pieces = 0;
  std::string tail;
};

// A body of `bytes` for a request line and further fields. `announced` is its Content-Length.
ClientPayload AnnouncedBody(const std::string& head, std::size_t bytes, std::size_t announced);
// A body in chunks of 64 KiB, without the last chunk.
ClientPayload UnfinishedChunkedBody(const std::string& head, std::size_t bytes);

class ClientCrowd {
 public:
  // `reads`: whether the clients read what they are sent.
  ClientCrowd(boost::asio::io_context& io, const Endpoint& endpoint, std::size_t size,
              bool reads = true);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Each client sends all of it as fast as it is taken. Runs until nothing moves any more.
  void Send(const ClientPayload& payload);
  // Likewise, but no client sends its next piece before all have sent theirs.
  void SendInRounds(const ClientPayload& payload);
  // Likewise, but one client after the other, with a pause that lets the process respond.
  void SendInTurn(const ClientPayload& payload, DurationMs pause_ms);
  // Closes all connections.
  void Leave();

  // Those whose connection was not accepted or has ended.
  std::size_t CountEnded() const;
  // Those that were sent a response with this in its first bytes.
  std::size_t CountAnswered(const std::string& text) const;

  class Client;

 private:
  void SettleAfterWrites();

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_CLIENT_CROWD_H_

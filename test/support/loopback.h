// In-process ends of HTTP/1.1 connections for tests of the direct path: an
// upstream whose answers a test scripts byte by byte, and a caller that shows
// exactly what came back. All of it runs on the test's io_context.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_LOOPBACK_H_
#define JUNCTIONRAIL_TEST_SUPPORT_LOOPBACK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/event_log.h"
#include "junctionrail/settings.h"

namespace junctionrail::testing {

// A loopback address of this process's own, so that its fixed ports are free.
std::string OwnAddress(int last);
// No lines of the log in the output of tests.
int SilentLog();
EventLogOptions QuietLog();

// Runs `io` until `is_done` or ten seconds have passed; true when done.
bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& is_done);
// Runs `io` for so long, whatever happens.
void RunFor(boost::asio::io_context& io, std::int64_t ms);

struct SeenRequest {
  std::string head;  // With the blank line.
  std::string body;

  // The value of a field, or "(none)".
  std::string Field(const std::string& name) const;
  std::string Line() const { return head.substr(0, head.find("\r\n")); }
};

// One connection an upstream accepted; a script writes to it or ends it.
class UpstreamPeer {
 public:
  virtual ~UpstreamPeer() = default;
  virtual void Write(const std::string& bytes) = 0;
  virtual void Close() = 0;
  virtual void Reset() = 0;
  // Whether either end has ended the connection.
  virtual bool IsEnded() const = 0;
};

class ScriptedUpstream {
 public:
  using Script = std::function<void(const SeenRequest&, const std::shared_ptr<UpstreamPeer>&)>;

  ScriptedUpstream(boost::asio::io_context& io, Script script,
                   const Endpoint& endpoint = {"127.0.0.1", 0});
  ~ScriptedUpstream();

  Endpoint endpoint() const;
  const std::vector<SeenRequest>& seen() const;
  int connections() const;
  // Connections that the far end closed or reset.
  int closed_by_peer() const;
  // Resets all connections and stops listening.
  void Crash();
  // While silent, nothing is sent or closed; it follows in order once that ends.
  void SetSilent(bool is_silent);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// A caller's connection.
class TestCaller {
 public:
  TestCaller(boost::asio::io_context& io, std::uint16_t port);
  // From the address `from`; from any where it is empty.
  TestCaller(boost::asio::io_context& io, const Endpoint& endpoint, const std::string& from = "");

  // False when the connection was refused.
  bool is_connected() const { return is_connected_; }
  void Send(const std::string& bytes);
  // Runs until `text` has come or the connection has ended.
  bool AwaitText(const std::string& text);
  bool AwaitEnd();
  // Whether the far end reset the connection, as it had not read all that was sent.
  bool WasReset() const { return *was_reset_; }
  void Close();
  const std::string& received() const { return *received_; }
  void Forget() { received_->clear(); }

 private:
  void Read();

  boost::asio::io_context& io_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  std::shared_ptr<std::string> received_ = std::make_shared<std::string>();
  std::shared_ptr<bool> is_ended_ = std::make_shared<bool>(false);
  std::shared_ptr<bool> was_reset_ = std::make_shared<bool>(false);
  bool is_connected_ = false;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_LOOPBACK_H_

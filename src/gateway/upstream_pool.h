// Pool of persistent connections to upstreams, without pipelining. A response is matched to its
// request by request id, as a faulty upstream may send a response that was not requested.
#ifndef JUNCTIONRAIL_GATEWAY_UPSTREAM_POOL_H_
#define JUNCTIONRAIL_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "junctionrail/routing.h"
#include "response_reader.h"

namespace junctionrail::internal {

enum class UpstreamFailure {
  kNoConnection,  // Nothing was sent.
  kWithheld,      // Nothing was sent, as the listener asked.
  kBroken,        // Closed, reset or malformed after the request was sent.
  // After the request was sent, a response to another one took the rest of the connection, or more
  // was sent than any response needs. The request may have run, and the upstream is still there.
  kMismatched,
};

// Receives the progress of a call. OnEnd or OnFailed is the last callback. OnEnd only follows
// OnHead.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  // Called when a new connection is established, with the time that it took.
  virtual void OnConnected(double round_trip_ms) = 0;
  // Called once there is a connection, which may take 500 ms: whether to still send the request.
  // The connection was established at `connected_at`, and may have been used since.
  virtual bool MaySend(TimeMs connected_at) = 0;
  virtual void OnHead(UpstreamHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // How many bytes are kept that were received and that no other callback has told of: a part of a
  // head, or of the framing of a body. Called when that changes.
  virtual void OnUnread(std::size_t bytes) = 0;
  virtual void OnEnd(ResponseEnd end) = 0;
  virtual void OnFailed(UpstreamFailure failure, std::string_view reason) = 0;
};

struct UpstreamMessage {
  std::string head;  // Including the blank line.
  std::shared_ptr<const std::string> body;
  std::string request_id;
  bool is_head_method = false;  // The response has no body.
};

class UpstreamCall {
 public:
  virtual ~UpstreamCall() = default;
  // Resets the connection, which tells the upstream to stop. The listener is not called again.
  virtual void Cancel() = 0;
  // Pauses or resumes reading the response.
  virtual void Pause(bool is_paused) = 0;
  // Whether bytes of the response have arrived and were not read yet.
  virtual bool HasUnread() = 0;
};

struct UpstreamPoolCounters {
  TrafficByDistance traffic;
  std::uint64_t opened_connections = 0;
  std::uint64_t surplus_responses = 0;
};

class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, std::string request_id_field);
  ~UpstreamPool();

  // Does not call the listener before returning. The traffic is counted under `distance`.
  std::shared_ptr<UpstreamCall> Start(const UpstreamRecord& upstream, Distance distance,
                                      int max_connections, UpstreamMessage message,
                                      std::shared_ptr<UpstreamListener> listener);
  // Closes connections that have been idle for too long, were closed by the upstream, or lead to
  // instances for which `is_known` is false.
  void CloseIdle(TimeMs now, const std::function<bool(const std::string&)>& is_known);
  void CloseAll();

  const UpstreamPoolCounters& counters() const;

  class Connection;
  class Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_UPSTREAM_POOL_H_

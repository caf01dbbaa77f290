// Connections to upstreams, each used for one request at a time and kept for
// the next. An answer is matched to its request by id, since a faulty upstream
// may send one more answer than it was asked for.
#ifndef JUNCTIONRAIL_GATEWAY_UPSTREAM_POOL_H_
#define JUNCTIONRAIL_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/net.h"
#include "junctionrail/routing.h"

namespace junctionrail::internal {

enum class UpstreamFailure {
  kNoConnection,  // Not one byte was sent.
  kWithheld,      // Not one byte was sent, as the listener asked.
  kBroken,        // Closed, reset or malformed after the request was sent.
};

struct UpstreamHead {
  unsigned status = 0;
  std::vector<HttpHeader> fields;
};

// What becomes of one call. After OnEnd or OnFailed nothing more is called.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  // Asked once the connection stands, which may take half a second: whether the
  // request is still to be sent there.
  virtual bool MaySend() = 0;
  virtual void OnHead(UpstreamHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailed(UpstreamFailure failure, std::string_view reason) = 0;
};

struct UpstreamMessage {
  std::string head;  // With the blank line.
  std::shared_ptr<const std::string> body;
  std::string request_id;
  bool is_head_method = false;  // The answer has no body.
};

class UpstreamCall {
 public:
  virtual ~UpstreamCall() = default;
  // Closes the connection, which tells the upstream to stop. The listener is
  // not called any more.
  virtual void Cancel() = 0;
  // Stops or resumes reading the answer.
  virtual void Pause(bool is_paused) = 0;
};

struct UpstreamPoolCounters {
  std::uint64_t opened_connections = 0;
  std::uint64_t surplus_responses = 0;
};

class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, std::string request_id_field);
  ~UpstreamPool();

  // Never calls the listener before it returns.
  std::shared_ptr<UpstreamCall> Start(const UpstreamRecord& upstream, int max_connections,
                                      UpstreamMessage message,
                                      std::shared_ptr<UpstreamListener> listener);
  // Closes connections that have rested too long, and those to instances that
  // are not among `known`.
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

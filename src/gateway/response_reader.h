// Reads the responses on a connection to an upstream, and tells the one to the current request from
// those that no request waits for. Free of I/O: the caller adds the received bytes.
#ifndef JUNCTIONRAIL_GATEWAY_RESPONSE_READER_H_
#define JUNCTIONRAIL_GATEWAY_RESPONSE_READER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_dynamic_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::internal {

struct UpstreamHead {
  unsigned status = 0;
  std::vector<HttpHeader> fields;
};

// How the end of a response is known.
enum class ResponseEnd {
  kFramed,  // By its length, or its last chunk.
  kClosed,  // It has neither: by the end of its connection.
};

// The head of the response to the current request.
struct ResponseHeadRead {
  UpstreamHead head;
};
// A part of its body.
struct ResponseBodyRead {
  std::string data;
};
// It is whole. Follows its head.
struct ResponseComplete {
  ResponseEnd end = ResponseEnd::kFramed;
};
// The connection no longer yields the response to the current request, or its rest.
struct ResponseUnreadable {
  enum class Cause {
    kClosed,     // The upstream closed the connection before the end of the response.
    kMalformed,  // It sent bytes that are no response.
    kSurplus,    // A response to another request takes the rest of the connection.
    kTooLong,    // More was sent than any response needs, and the upstream is still there.
  };
  Cause cause = Cause::kClosed;
  std::string reason;
};
using ResponseEvent =
    std::variant<ResponseHeadRead, ResponseBodyRead, ResponseComplete, ResponseUnreadable>;

// For one connection, on which one request follows the other. After ResponseComplete or
// ResponseUnreadable, Begin() must be called before the next event is taken.
class ResponseReader {
 public:
  // `request_id_field` names the field by which a response states which request it is for.
  explicit ResponseReader(std::string request_id_field)
      : request_id_field_(std::move(request_id_field)) {}

  // The response to this request is awaited from now on.
  void Begin(std::string request_id, bool is_head_method);

  // Where up to `size` further bytes go, and how many of them were received.
  boost::asio::mutable_buffer Prepare(std::size_t size) { return buffer_.prepare(size); }
  void Commit(std::size_t size) { buffer_.commit(size); }

  // The next event in what was received; none until more is.
  std::optional<ResponseEvent> Next();
  // The upstream has closed the connection, and Next() has returned none.
  ResponseEvent OnClosed();

  // Whether bytes were received that no event has told of.
  bool HasUnread() const { return unread_bytes() > 0; }
  std::size_t unread_bytes() const { return buffer_.size(); }
  // After ResponseComplete: whether the connection may carry another request.
  bool MayReuse() const;
  std::uint64_t surplus_responses() const { return surplus_responses_; }

 private:
  // This kind of body does not allocate what a Content-Length announces.
  using Body = boost::beast::http::basic_dynamic_body<boost::beast::flat_buffer>;
  using Parser = boost::beast::http::response_parser<Body>;

  // Which response is being read.
  enum class Subject {
    kUnknown,  // Its head is not whole.
    kAwaited,  // The one to the current request.
    kInterim,  // A 1xx response, which another one follows.
    kSurplus,  // One that no request waits for.
  };

  std::optional<ResponseEvent> Parse();
  std::optional<ResponseEvent> OnHead();
  bool IsSkipping() const { return subject_ == Subject::kInterim || subject_ == Subject::kSurplus; }
  std::optional<ResponseEvent> NextOfAwaited();
  Subject SubjectOf(const UpstreamHead& head) const;
  bool IsForCurrentRequest(const UpstreamHead& head) const;

  std::string request_id_field_;
  std::string request_id_;
  bool is_head_method_ = false;
  bool has_sent_head_method_ = false;  // On this connection.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Subject subject_ = Subject::kUnknown;
  std::uint64_t surplus_responses_ = 0;
  std::uint64_t skipped_bytes_ = 0;  // Before the awaited response.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_RESPONSE_READER_H_

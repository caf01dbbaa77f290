#include "response_reader.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <utility>

#include "http_text.h"

namespace junctionrail::internal {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeadBytes = 64 << 10;
// Received, and not enough to be taken: a part of a head, which has its own limit, or of the chunk
// header or trailer of a body.
constexpr std::size_t kMaxFramingBytes = kMaxHeadBytes;
// Of interim and surplus responses before the awaited one: as long as the longest response.
constexpr std::uint64_t kMaxSkippedBytes = 16 << 20;
constexpr unsigned kFirstFinalStatus = 200;

template <typename Parser>
UpstreamHead HeadOf(const Parser& parser) {
  UpstreamHead head{parser.get().result_int(), {}};
  for (const auto& it : parser.get().base()) {
    head.fields.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  return head;
}

ResponseUnreadable Malformed(const error_code& ec) {
  return {ResponseUnreadable::Cause::kMalformed, "malformed response: " + ec.message()};
}

ResponseUnreadable TooLong(std::string reason) {
  return {ResponseUnreadable::Cause::kTooLong, std::move(reason)};
}

}  // namespace

void ResponseReader::Begin(std::string request_id, bool is_head_method) {
  request_id_ = std::move(request_id);
  is_head_method_ = is_head_method;
  has_sent_head_method_ |= is_head_method;
  parser_.reset();
  subject_ = Subject::kUnknown;
  skipped_bytes_ = 0;
}

std::optional<ResponseEvent> ResponseReader::Next() {
  while (true) {
    if (subject_ == Subject::kAwaited) {
      auto event = NextOfAwaited();
      if (event) return event;
    } else if (IsSkipping()) {
      parser_->get().body().consume(parser_->get().body().size());
      if (parser_->is_done()) {
        parser_.reset();
        subject_ = Subject::kUnknown;
      }
    }
    if (!HasUnread()) return std::nullopt;
    const std::size_t unread = buffer_.size();
    auto event = Parse();
    if (event) return event;
    if (buffer_.size() < unread) continue;
    if (unread <= kMaxFramingBytes) return std::nullopt;
    return TooLong("a chunk header or trailer longer than 64 KiB");
  }
}

// Takes in one step a head, or a part of a body.
std::optional<ResponseEvent> ResponseReader::Parse() {
  if (!parser_) {
    parser_.emplace();
    // A stream may go on without a bound. What is kept of a response has one, where it is kept.
    parser_->body_limit(boost::none);
    parser_->header_limit(kMaxHeadBytes);
  }
  error_code ec;
  const std::size_t n = parser_->put(buffer_.data(), ec);
  buffer_.consume(n);
  if (ec && ec != http::error::need_more) return Malformed(ec);
  const bool is_head_read = subject_ == Subject::kUnknown && parser_->is_header_done();
  auto event = is_head_read ? OnHead() : std::nullopt;
  if (IsSkipping()) skipped_bytes_ += n;
  if (event || skipped_bytes_ <= kMaxSkippedBytes) return event;
  return TooLong("more than 16 MiB before the response");
}

std::optional<ResponseEvent> ResponseReader::OnHead() {
  UpstreamHead head = HeadOf(*parser_);
  if (!IsHttpStatus(head.status)) {
    return ResponseUnreadable{ResponseUnreadable::Cause::kMalformed,
                              "malformed response: status " + std::to_string(head.status)};
  }
  subject_ = SubjectOf(head);
  if (subject_ == Subject::kAwaited) return ResponseHeadRead{std::move(head)};
  if (subject_ == Subject::kInterim) return std::nullopt;
  ++surplus_responses_;
  if (!parser_->need_eof()) return std::nullopt;
  // The awaited response cannot follow it.
  return ResponseUnreadable{ResponseUnreadable::Cause::kSurplus,
                            "a response to another request takes the rest of the connection"};
}

ResponseReader::Subject ResponseReader::SubjectOf(const UpstreamHead& head) const {
  if (head.status < kFirstFinalStatus) return Subject::kInterim;
  return IsForCurrentRequest(head) ? Subject::kAwaited : Subject::kSurplus;
}

// A head that names two requests is evidence for neither.
bool ResponseReader::IsForCurrentRequest(const UpstreamHead& head) const {
  bool is_named = false;
  for (const auto& it : head.fields) {
    if (!EqualsNoCase(it.name, request_id_field_)) continue;
    if (it.value != request_id_) return false;
    is_named = true;
  }
  return is_named;
}

std::optional<ResponseEvent> ResponseReader::NextOfAwaited() {
  // Its framing fields are those of a body that is not sent.
  if (is_head_method_) return ResponseComplete{ResponseEnd::kFramed};
  boost::beast::flat_buffer& body = parser_->get().body();
  if (body.size() > 0) {
    ResponseBodyRead part{boost::beast::buffers_to_string(body.data())};
    body.consume(body.size());
    return part;
  }
  if (parser_->is_done()) return ResponseComplete{ResponseEnd::kFramed};
  return std::nullopt;
}

ResponseEvent ResponseReader::OnClosed() {
  using Cause = ResponseUnreadable::Cause;
  if (subject_ != Subject::kAwaited) {
    return ResponseUnreadable{Cause::kClosed, "closed before the response"};
  }
  if (!parser_->need_eof()) {
    return ResponseUnreadable{Cause::kClosed, "closed before the end of the response"};
  }
  error_code ec;
  parser_->put_eof(ec);
  if (ec) return Malformed(ec);
  return ResponseComplete{ResponseEnd::kClosed};
}

// Whether a response to a HEAD request has a body cannot be read off it: a late one would be taken
// for the beginning of another. Nor is an upstream trusted that has sent what no request waits for.
bool ResponseReader::MayReuse() const {
  const bool is_whole = parser_ && parser_->is_done() && parser_->keep_alive();
  return is_whole && !HasUnread() && surplus_responses_ == 0 && !has_sent_head_method_;
}

}  // namespace junctionrail::internal

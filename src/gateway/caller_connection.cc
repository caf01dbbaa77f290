#include "caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "../net/socket_peek.h"
#include "http_text.h"
#include "request_fields.h"

namespace junctionrail::internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 8 << 10;
// The maximum of unsent output to a slow caller before reading from its upstream is paused.
constexpr std::size_t kMaxUnsentBytes = 256 << 10;
// Until a configuration, with its own limit, is known.
constexpr DurationMs kDefaultIdleTimeoutMs = 15000;
// How long to wait for the caller's close after the last response. Closing with unread data would
// reset the connection and could lose the response.
constexpr DurationMs kLingerMs = 1000;

// A timer that finds unread bytes of the caller lets them be read within this time.
constexpr DurationMs kReadFirstMs = 10;
// How often a caller that has sent its next request is checked for having closed.
constexpr DurationMs kWatchIntervalMs = 100;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

// Of a body that takes longer than any request may be held.
constexpr std::int64_t kMinBodyBytesPerS = 1 << 10;
constexpr std::int64_t kMsPerS = 1000;
constexpr DurationMs kBodyCheckMs = 250;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerConnection::CallerConnection(Gateway::Impl& gateway, asio::ip::tcp::socket socket)
    : gateway_(gateway), socket_(std::move(socket)), timer_(gateway.io) {
  error_code ec;
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
}

void CallerConnection::Start() {
  last_activity_at_ = MonotonicMs();
  BeginReservation();
  ArmTimer(IdleTimeout());
  Read();
}

DurationMs CallerConnection::IdleTimeout() const {
  return gateway_.routes ? gateway_.routes->configuration().limits.idle_timeout_ms
                         : kDefaultIdleTimeoutMs;
}

// Bytes stay in the socket until they are handled, so that HasUnread() tells of all of them.
void CallerConnection::Read() {
  if (is_reading_ || is_closed_) return;
  is_reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->is_reading_ = false;
    if (self->is_closed_) return;
    ec ? self->Close() : self->OnReadable();
  });
}

void CallerConnection::OnReadable() {
  // What crosses the close stays unread: its caller may then send it again, whatever its kind.
  if (is_closing_idle_) {
    if (!HasUnread()) Close();
    return;
  }
  if (exchange_) return WatchForEnd();
  if (is_last_response_done_) return DropInput();
  error_code ec;
  peeked_bytes_ = socket_.receive(asio::buffer(buffer_.prepare(kReadBytes)),
                                  asio::ip::tcp::socket::message_peek, ec);
  if (ec == asio::error::would_block) return Read();
  if (ec) return Close();
  last_activity_at_ = MonotonicMs();
  buffer_.commit(peeked_bytes_);
  Parse();
  if (is_closed_) return;
  ConsumeFromSocket(std::exchange(peeked_bytes_, 0));
  if (parser_ && !ReserveReceived()) return;
  Read();
}

// What follows a whole request stays in the socket until the request is answered.
void CallerConnection::ConsumeParsed() {
  const std::size_t behind = std::min(buffer_.size(), peeked_bytes_);
  ConsumeFromSocket(std::exchange(peeked_bytes_, 0) - behind);
  buffer_.consume(behind);
}

void CallerConnection::ConsumeFromSocket(std::size_t n) {
  std::array<char, kReadBytes> consumed;
  error_code ec;
  while (n > 0 && !ec) n -= socket_.read_some(asio::buffer(consumed.data(), n), ec);
}

void CallerConnection::DropInput() {
  std::array<char, kReadBytes> dropped;
  error_code ec;
  const std::size_t n = socket_.read_some(asio::buffer(dropped), ec);
  if (ec && ec != asio::error::would_block) return Close();
  dropped_bytes_ += n;
  Read();
}

// The next request stays unread until the one in flight is answered: if the connection ends before
// that, it has certainly not run, and its caller may send it again.
void CallerConnection::WatchForEnd() {
  const SocketPeek peek = Peek(socket_);
  if (peek.has_ended || IsFarEndClosed(socket_)) return Close();
  if (!peek.has_input) return Read();
  error_code ec;
  ahead_bytes_ = socket_.available(ec);
  if (!Reserve()) return CloseForMemory();
  ArmTimer(kWatchIntervalMs);
}

bool CallerConnection::HasUnread() { return Peek(socket_).has_input; }

bool CallerConnection::HasInput() { return parser_ || buffer_.size() > 0 || HasUnread(); }

void CallerConnection::Parse() {
  while (!exchange_ && !is_closed_ && !is_last_response_done_ && buffer_.size() > 0) {
    if (!parser_) {
      parser_.emplace();
      const CallerLimits limits =
          gateway_.routes ? gateway_.routes->configuration().limits : CallerLimits();
      parser_->header_limit(limits.max_header_bytes);
      parser_->body_limit(limits.max_body_bytes);
      head_bytes_ = 0;
      body_ms_ = 0;
      body_checked_at_ = 0;
      request_started_at_ = MonotonicMs();
      ArmTimer(limits.header_timeout_ms);
    }
    const bool had_header = parser_->is_header_done();
    if (had_header) GrowBody();
    error_code ec;
    const std::size_t n = parser_->put(buffer_.data(), ec);
    buffer_.consume(n);
    if (!had_header) head_bytes_ += n;
    if (ec && ec != http::error::need_more) return OnParseError(ec);
    if (!had_header && parser_->is_header_done()) {
      if (!IsFramingUnambiguous()) return Reject(kBadRequest, "bad_framing");
      TakeHead();
      const auto expect = parser_->get().find(http::field::expect);
      const bool is_body_awaited = !parser_->is_done() && buffer_.size() == 0;
      if (expect != parser_->get().end() && is_body_awaited) Write(kContinue);
    }
    if (parser_->is_done()) {
      ConsumeParsed();
      return Dispatch();
    }
    if (ec == http::error::need_more && IsLineTooLong())
      return Reject(kHeaderFieldsTooLarge, "trailer_too_large");
    if (ec == http::error::need_more || n == 0) return;
  }
}

// The parser's limit holds for the head alone. Behind it, only a trailer or the line of a chunk's
// size is kept until it is whole.
bool CallerConnection::IsLineTooLong() const {
  const CallerLimits limits =
      gateway_.routes ? gateway_.routes->configuration().limits : CallerLimits();
  return parser_->is_header_done() && buffer_.size() > limits.max_header_bytes;
}

// A message whose length two parsers may interpret differently could smuggle a second request.
bool CallerConnection::IsFramingUnambiguous() const {
  const auto& fields = parser_->get().base();
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  const auto n = std::distance(codings.first, codings.second);
  if (n > 1) return false;
  if (n == 1 && !EqualsNoCase(codings.first->value(), "chunked")) return false;
  const auto hosts = fields.equal_range(http::field::host);
  return std::distance(hosts.first, hosts.second) == 1;
}

void CallerConnection::OnParseError(error_code ec) {
  if (ec == http::error::body_limit) return Reject(kContentTooLarge, "body_too_large");
  if (ec == http::error::header_limit) return Reject(kHeaderFieldsTooLarge, "head_too_large");
  Reject(kBadRequest, "malformed_request");
}

// Rejects malformed input and closes, as the boundary of the next request is unknown.
void CallerConnection::Reject(unsigned status, std::string_view code) {
  ++gateway_.counters.bad_requests;
  gateway_.log.Write(MonotonicMs(), "bad_request",
                     {{"status", static_cast<std::int64_t>(status)}, {"code", code}});
  is_keep_alive_ = false;
  is_head_method_ = false;
  SendResponse(status, {{"Content-Type", "application/json"}},
               "{\"error\":{\"code\":\"" + std::string(code) + "\",\"ran\":\"no\"}}");
}

// The parser, which has stopped behind the head, adds the fields of a trailer to those of its
// message. A trailer may be anything, so none of it counts.
void CallerConnection::TakeHead() {
  const auto& message = parser_->get();
  request_ = CallerRequest();
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  for (const auto& it : message.base()) {
    request_.fields.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  is_keep_alive_ = message.keep_alive();
  is_head_method_ = message.method() == http::verb::head;
  parser_->eager(true);
}

void CallerConnection::Dispatch() {
  if (!ReserveReceived()) return;
  CallerRequest request = std::move(request_);
  request.body = TakeBody();
  request.arrived_at = MonotonicMs();
  request.sent_after = gateway_.ReadUpTo();
  is_keep_alive_ = is_keep_alive_ && !is_draining_;
  parser_.reset();
  buffer_.shrink_to_fit();
  request_started_at_ = 0;
  timer_.Cancel();
  exchange_ = std::make_shared<Exchange>(gateway_, std::move(request),
                                         std::weak_ptr<CallerSink>(shared_from_this()));
  // Start may finish the exchange and reset `exchange_`.
  const auto exchange = exchange_;
  exchange->Start();
}

void CallerConnection::SendResponse(unsigned status, std::vector<HttpHeader> fields,
                                    std::string body) {
  const bool must_close = !is_keep_alive_ || is_draining_;
  std::string text;
  text.reserve(body.size() + 512);
  AppendStatusLine(status, &text);
  AppendFields(fields, &text);
  const bool has_length = status != kNoContent && status != kNotModified && !is_head_method_;
  if (has_length) AppendField("Content-Length", std::to_string(body.size()), &text);
  if (must_close) AppendField("Connection", "close", &text);
  text += "\r\n";
  if (has_length) text += body;
  Write(text);
  FinishResponse(must_close);
}

void CallerConnection::SendHead(unsigned status, std::vector<HttpHeader> fields) {
  std::string text;
  AppendStatusLine(status, &text);
  AppendFields(fields, &text);
  AppendField("Transfer-Encoding", "chunked", &text);
  if (!is_keep_alive_ || is_draining_) {
    is_keep_alive_ = false;
    AppendField("Connection", "close", &text);
  }
  text += "\r\n";
  pending_output_ += text;  // Sent with the first event.
}

void CallerConnection::SendBodyPart(std::string_view data) {
  AppendChunk(data, &pending_output_);
  Flush();
  ReserveOutput();
}

void CallerConnection::SendEnd() {
  Write(kLastChunk);
  FinishResponse(!is_keep_alive_);
}

void CallerConnection::Abort() {
  exchange_.reset();
  error_code ec;
  dropped_bytes_ += buffer_.size();
  unread_bytes_ = socket_.available(ec);
  Close();
}

bool CallerConnection::IsSendQueueFull() const { return UnsentBytes() > kMaxUnsentBytes; }

// Peeks at the socket: if this process was short of processor time, a close may be queued there
// behind the request that it cancels.
bool CallerConnection::HasDisconnected() {
  return is_closed_ || Peek(socket_).has_ended || IsFarEndClosed(socket_);
}

void CallerConnection::FinishResponse(bool must_close) {
  exchange_.reset();
  last_activity_at_ = MonotonicMs();
  if (must_close) {
    is_last_response_done_ = true;
    ReleaseInput();
    ArmTimer(IdleTimeout());
    if (output_in_flight_.empty() && pending_output_.empty()) Linger();
    return;
  }
  ahead_bytes_ = 0;
  Reserve();
  ArmTimer(IdleTimeout());
  // Deferred, as this runs within a call from the exchange.
  asio::post(gateway_.io, [self = shared_from_this()] {
    if (self->is_closed_ || self->exchange_) return;
    self->Parse();
    self->Read();
  });
}

void CallerConnection::ReleaseInput() {
  dropped_bytes_ += buffer_.size();
  buffer_.consume(buffer_.size());
  buffer_.shrink_to_fit();
  parser_.reset();
  request_ = CallerRequest();
  ahead_bytes_ = 0;
  Reserve();
}

void CallerConnection::Write(std::string_view data) {
  pending_output_ += data;
  Flush();
  ReserveOutput();
}

void CallerConnection::Flush() {
  if (is_closed_ || pending_output_.empty() || !output_in_flight_.empty()) return;
  output_in_flight_ = std::exchange(pending_output_, std::string());
  written_bytes_ = 0;
  WriteSome();
}

// Each part that the caller takes is progress.
void CallerConnection::WriteSome() {
  const std::string_view output = output_in_flight_;
  const std::string_view rest = output.substr(written_bytes_);
  socket_.async_write_some(asio::buffer(rest.data(), rest.size()),
                           [self = shared_from_this()](error_code ec, std::size_t n) {
                             if (self->is_closed_) return;
                             if (ec) return self->Close();
                             self->OnWritten(n);
                           });
}

void CallerConnection::OnWritten(std::size_t n) {
  written_bytes_ += n;
  if (!exchange_) last_activity_at_ = MonotonicMs();
  if (written_bytes_ < output_in_flight_.size()) {
    ReserveOutput();
    return WriteSome();
  }
  output_in_flight_ = std::string();
  written_bytes_ = 0;
  Reserve();
  Flush();
  if (!output_in_flight_.empty()) return;
  if (is_last_response_done_) return Linger();
  if (exchange_) exchange_->OnCallerWritable();
}

void CallerConnection::Linger() {
  if (is_lingering_ || is_closed_) return;
  is_lingering_ = true;
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  ArmTimer(kLingerMs);
  Read();
}

// Nothing is due to the caller.
void CallerConnection::CloseIdle() {
  if (is_closing_idle_) return;
  is_closing_idle_ = true;
  is_last_response_done_ = true;
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  ArmTimer(kLingerMs);
  Read();
}

void CallerConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  timer_.Cancel();
  RecordDroppedInput();
  error_code ec;
  socket_.close(ec);
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange) exchange->OnCallerDisconnected();
  gateway_.connections.erase(shared_from_this());
}

void CallerConnection::RecordDroppedInput() {
  if (dropped_bytes_ + unread_bytes_ == 0) return;
  ++gateway_.counters.dropped_inputs;
  gateway_.log.Write(MonotonicMs(), "input_dropped",
                     {{"bytes", static_cast<std::int64_t>(dropped_bytes_)},
                      {"unread", static_cast<std::int64_t>(unread_bytes_)}});
}

void CallerConnection::Drain(bool closes_idle) {
  is_draining_ = true;
  // A request that is being received, or waits to be read, is still served.
  if (closes_idle && IsIdle() && !HasInput() && !is_last_response_done_) CloseIdle();
}

void CallerConnection::AnswerStop() {
  const bool is_answerable = exchange_ && !exchange_->is_response_begun();
  if (is_answerable) return exchange_->OnStop();
  const bool is_receiving = !exchange_ && parser_ && !is_last_response_done_;
  if (!is_receiving) return;
  ++gateway_.counters.stop_refusals;
  gateway_.log.Write(MonotonicMs(), "request_incomplete",
                     {{"received_ms", MonotonicMs() - request_started_at_}});
  RefuseReceiving(
      {kUnavailable, kStoppingCode, kStoppingSentence, Execution::kNotRun, kStoppingRetryAfterMs});
}

// The rest of the request is dropped, and the connection closes: nothing can follow it.
void CallerConnection::RefuseReceiving(const ErrorResponse& response) {
  is_keep_alive_ = false;
  is_head_method_ = false;
  std::vector<HttpHeader> fields = FieldsOf(response);
  const std::string& name = gateway_.options.header_names.request_id;
  const std::string* id = FindField(request_.fields, name);
  if (id != nullptr && IsName(*id)) fields.push_back({name, *id});
  ReleaseInput();
  SendResponse(response.status, std::move(fields), BodyOf(response));
}

void CallerConnection::ForceClose() {
  if (exchange_) exchange_->OnStop();
  // One non-blocking write passes what OnStop wrote to the kernel.
  if (!output_in_flight_.empty() || !pending_output_.empty()) {
    error_code ec;
    if (output_in_flight_.empty()) socket_.write_some(asio::buffer(pending_output_), ec);
  }
  if (!is_closed_) RecordUnsentOutput();
  Close();
}

// Part of it may have been written.
void CallerConnection::RecordUnsentOutput() {
  const std::size_t n = UnsentBytes();
  if (n == 0) return;
  gateway_.log.Write(MonotonicMs(), "output_dropped", {{"bytes", static_cast<std::int64_t>(n)}});
}

void CallerConnection::CountWork(OpenWork* work) {
  if (parser_) ++work->receiving;
  if (!exchange_) return;
  ++work->in_flight;
  if (exchange_->is_response_begun()) ++work->begun;
  if (buffer_.size() > 0 || HasUnread()) ++work->ahead;
}

void CallerConnection::OnVmResumed() {
  if (exchange_) exchange_->OnVmResumed();
}

void CallerConnection::ArmTimer(DurationMs delay) {
  timer_.After(std::max<DurationMs>(delay, 1), [self = shared_from_this()] {
    if (!self->is_closed_) self->OnTimer();
  });
}

void CallerConnection::OnTimer() {
  if (exchange_) return WatchForEnd();
  if (is_lingering_ || is_closing_idle_) return Close();
  if (is_last_response_done_) return OnOutputTimer();
  // It is this process that was late.
  if (HasUnread()) return ArmTimer(kReadFirstMs);
  if (parser_) return OnRequestTimer();
  const DurationMs quiet = MonotonicMs() - last_activity_at_;
  if (quiet < IdleTimeout()) return ArmTimer(IdleTimeout() - quiet);
  // The caller does not read its response.
  if (UnsentBytes() > 0) return OnOutputTimer();
  CloseIdle();
}

// While the last response is being written.
void CallerConnection::OnOutputTimer() {
  const DurationMs quiet = MonotonicMs() - last_activity_at_;
  if (quiet < IdleTimeout()) return ArmTimer(IdleTimeout() - quiet);
  RecordUnsentOutput();
  Close();
}

// While a request is being received.
void CallerConnection::OnRequestTimer() {
  if (!parser_->is_header_done()) return Reject(kRequestTimeout, "header_timeout");
  // While a body is being received, the idle timeout applies between its parts.
  const TimeMs now = MonotonicMs();
  const TimeMs idle_at = last_activity_at_ + IdleTimeout();
  if (now >= idle_at) return Reject(kRequestTimeout, "body_timeout");
  CountBodyTime(now);
  if (IsBodyTooSlow()) return RejectSlowBody();
  ArmTimer(std::min(idle_at - now, kBodyCheckMs));
}

// A check that is late counts as one in time: this process stood still, and not the caller.
void CallerConnection::CountBodyTime(TimeMs now) {
  if (body_checked_at_ != 0) body_ms_ += std::min(now - body_checked_at_, kBodyCheckMs);
  body_checked_at_ = now;
}

// The body has as long as any request may be held, and longer by the least rate for what has
// arrived of it. A client that sends a byte now and then is never idle.
bool CallerConnection::IsBodyTooSlow() const {
  const auto received = static_cast<DurationMs>(parser_->get().body().size());
  const DurationMs longest = std::max(IdleTimeout(), gateway_.longest_timeout_ms);
  return body_ms_ >= longest + received * kMsPerS / kMinBodyBytesPerS;
}

void CallerConnection::RejectSlowBody() {
  ++gateway_.counters.slow_bodies;
  Reject(kRequestTimeout, "body_too_slow");
}

}  // namespace junctionrail::internal

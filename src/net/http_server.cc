#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "junctionrail/net.h"
#include "socket_peek.h"

namespace junctionrail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kBacklog = 1024;
constexpr auto kIdleTimeout = std::chrono::seconds(75);
// Received, and not enough to be taken: a part of a head, which has its own limit, or of the chunk
// header or trailer of a body.
constexpr std::size_t kMaxFramingBytes = 64 << 10;
constexpr char kServerName[] = "junctionrail";
constexpr DurationMs kAcceptRetryMs = 100;
// How long the rest of a refused request is dropped, so that its client reads the refusal: closing
// with unread bytes would reset the connection.
constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kDropBytes = 8 << 10;
// So much of an answer is not counted: ordinary ones are soon in the socket.
constexpr std::size_t kMinCountedOutputBytes = 8 << 10;
// What a connection takes beside the body of its request.
constexpr std::size_t kConnectionBytes = 2 << 10;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderFieldsTooLarge = 431;
constexpr unsigned kUnavailable = 503;
constexpr DurationMs kMemoryFullRetryAfterMs = 1000;

// Why a request is refused before it is handled.
struct RequestError {
  unsigned status = 0;
  std::string code;
  std::string sentence;
  DurationMs retry_after_ms = 0;  // 0: not told.
};

using Parser = http::request_parser<http::string_body>;
using WholeResponse = http::response<http::string_body>;
using EmptyResponse = http::response<http::empty_body>;

HttpRequest TakeRequest(Parser& parser) {
  auto message = parser.release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& it : message) {
    request.headers.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

const std::string* HttpRequest::Find(std::string_view name) const {
  for (const auto& it : headers) {
    if (beast::iequals(it.name, beast::string_view(name.data(), name.size()))) return &it.value;
  }
  return nullptr;
}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& io, HttpServerOptions options, HttpHandler handler)
      : acceptor_(io),
        options_(std::move(options)),
        handler_(std::move(handler)),
        accept_timer_(io) {}

  Result<std::uint16_t, NetError> Listen();
  void Accept();
  void OnAcceptFailed();
  void AddSession(tcp::socket socket);
  // Returns false if there are too many connections and none may be closed.
  bool MakeRoomForSession();
  void Stop();

  void ReportLimit(std::string_view event) const {
    if (options_.on_limit) options_.on_limit(event);
  }
  const HttpServerOptions& options() const { return options_; }
  bool stopping() const { return stopping_; }

  // One connection; it answers one request at a time.
  class Session;

  tcp::acceptor acceptor_;
  HttpServerOptions options_;
  HttpHandler handler_;
  std::set<Session*> sessions_;
  HttpServerCounters counters_;
  Timer accept_timer_;
  bool stopping_ = false;
};

class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> server)
      : stream_(std::move(socket)), server_(std::move(server)) {
    server_->sessions_.insert(this);
  }
  ~Session() { server_->sessions_.erase(this); }

  void Start() {
    if (server_->options().client_memory) {
      reservation_ = server_->options().client_memory->Reserve(
          [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self) self->OnEvicted();
          },
          MonotonicMs());
    }
    ReadNext();
  }

  void ReadNext() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(server_->options().max_body_bytes);
    parser_->header_limit(server_->options().max_header_bytes);
    request_bytes_ = 0;
    reservation_.Resize(0, MonotonicMs());
    is_idle_ = true;
    quiet_since_ = MonotonicMs();
    stream_.expires_after(kIdleTimeout);
    ReadMore();
  }

  void Close() {
    if (is_closed_) return;
    is_closed_ = true;
    beast::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream_.close();
    // Posted, as whoever holds the responder may be in the middle of using it.
    if (gone_) asio::post(stream_.get_executor(), std::exchange(gone_, nullptr));
  }

  // Whether no request waits for its answer.
  bool MayClose() const { return is_idle_ || is_refused_; }
  TimeMs quiet_since() const { return quiet_since_; }
  // A request that is being received, or waits in the socket, is still answered.
  void CloseIfIdle() {
    if (is_idle_ && !HasInput()) Close();
  }

  void Whole(std::uint64_t request, unsigned status, std::vector<HttpHeader> headers,
             std::string body) {
    if (!IsCurrent(request)) return;
    auto message = std::make_shared<WholeResponse>(http::int_to_status(status), version_);
    Fill(*message, headers);
    message->body() = std::move(body);
    message->prepare_payload();
    is_answered_ = true;
    request_bytes_ = 0;
    if (!ReserveOutput(message->body().size())) return;
    ArmWrite();
    http::async_write(stream_, *message,
                      [self = shared_from_this(), message](beast::error_code ec, std::size_t) {
                        self->OnAnswered(ec);
                      });
  }

  void Begin(std::uint64_t request, unsigned status, const std::vector<HttpHeader>& headers) {
    if (!IsCurrent(request)) return;
    EmptyResponse message(http::int_to_status(status), version_);
    Fill(message, headers);
    message.chunked(true);
    std::ostringstream buf;
    buf << message.base();
    Queue(buf.str());
  }

  void Piece(std::uint64_t request, const std::string& data) {
    if (!IsCurrent(request) || data.empty()) return;
    std::ostringstream buf;
    buf << std::hex << data.size() << "\r\n";
    Queue(buf.str() + data + "\r\n");
  }

  void End(std::uint64_t request) {
    if (!IsCurrent(request)) return;
    is_answered_ = true;
    Queue("0\r\n\r\n");
  }

  void Break(std::uint64_t request) {
    if (!IsCurrent(request)) return;
    is_answered_ = true;
    is_broken_ = true;
    gone_ = nullptr;
    if (unsent_.empty()) Close();
  }

  void OnGone(std::uint64_t request, std::function<void()> gone) {
    if (!IsCurrent(request)) return;
    gone_ = std::move(gone);
    WatchForGone();
  }

 private:
  // The handler's view of one request on this connection.
  class Responder : public HttpResponder {
   public:
    Responder(std::shared_ptr<Session> session, std::uint64_t request)
        : session_(std::move(session)), request_(request) {}
    void Whole(unsigned status, std::vector<HttpHeader> headers, std::string body) override {
      session_->Whole(request_, status, std::move(headers), std::move(body));
    }
    void Begin(unsigned status, std::vector<HttpHeader> headers) override {
      session_->Begin(request_, status, headers);
    }
    void Piece(std::string data) override { session_->Piece(request_, data); }
    void End() override { session_->End(request_); }
    void Break() override { session_->Break(request_); }
    void OnGone(std::function<void()> gone) override {
      session_->OnGone(request_, std::move(gone));
    }

   private:
    std::shared_ptr<Session> session_;
    std::uint64_t request_;
  };

  bool HasInput() {
    return buffer_.size() > 0 || parser_->got_some() || internal::Peek(stream_.socket()).has_input;
  }

  void ReadMore() {
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) { self->OnReadSome(ec); });
  }

  void OnReadSome(beast::error_code ec) {
    if (is_closed_) return;
    if (is_evicted_) return RefuseForMemory();
    if (ec) return OnRead(ec);
    quiet_since_ = MonotonicMs();
    reservation_.SetEvictable(true);
    if (!reservation_.Resize(ReceivedBytes(), quiet_since_)) return RefuseForMemory();
    if (!parser_->is_done()) return ReadMore();
    // It is handled, and may be sent on.
    reservation_.SetEvictable(false);
    request_bytes_ = ReceivedBytes();
    OnRead(ec);
  }

  // For an answer that its client does not read. Returns false if there is no room, and the
  // connection was closed.
  bool ReserveOutput(std::size_t bytes) {
    if (bytes <= kMinCountedOutputBytes) return true;
    reservation_.SetEvictable(true);
    if (reservation_.Resize(request_bytes_ + bytes, MonotonicMs())) return true;
    CloseForMemory();
    return false;
  }

  void CloseForMemory() {
    ++server_->counters_.memory_closes;
    server_->ReportLimit("connection_memory_full");
    Close();
  }

  // A length that was announced is set aside at once, but not used before the body arrives.
  std::size_t ReceivedBytes() const {
    const std::string& body = parser_->get().body();
    return kConnectionBytes + buffer_.capacity() +
           (parser_->content_length() ? body.size() : body.capacity());
  }

  // The read under way uses what is to be released, and ends first.
  void OnEvicted() {
    if (!is_idle_) return CloseForMemory();
    is_evicted_ = true;
    beast::error_code ec;
    stream_.socket().cancel(ec);
  }

  void RefuseForMemory() {
    ++server_->counters_.memory_refusals;
    server_->ReportLimit("request_memory_full");
    Refuse({kUnavailable, "memory_full", "this server holds as many requests as it has memory for",
            kMemoryFullRetryAfterMs});
  }

  bool IsCurrent(std::uint64_t request) const {
    return request == request_ && !is_answered_ && !is_closed_;
  }

  template <class Message>
  void Fill(Message& message, const std::vector<HttpHeader>& headers) {
    message.set(http::field::server, kServerName);
    for (const auto& it : headers) message.set(it.name, it.value);
    message.keep_alive(keep_alive_ && !server_->stopping());
  }

  void OnRead(beast::error_code ec) {
    is_idle_ = false;
    if (ec == http::error::body_limit)
      return Reject(kContentTooLarge, "the body is larger than this server takes");
    if (ec == http::error::buffer_overflow)
      return Reject(kHeaderFieldsTooLarge,
                    "a chunk header or trailer is larger than this server takes");
    if (ec == http::error::header_limit)
      return Reject(kHeaderFieldsTooLarge, "the header is larger than this server takes");
    const bool is_bad_http =
        ec && ec.category() == http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message;
    if (is_bad_http) return Reject(kBadRequest, "this is not HTTP/1.1: " + ec.message());
    if (ec) return Close();
    version_ = parser_->get().version();
    keep_alive_ = parser_->get().keep_alive();
    is_answered_ = false;
    ++request_;
    stream_.expires_never();
    auto responder = std::make_shared<Responder>(shared_from_this(), request_);
    server_->handler_(TakeRequest(*parser_), std::move(responder));
  }

  void Reject(unsigned status, const std::string& sentence) {
    ++server_->counters_.bad_requests;
    Refuse({status, "bad_request", sentence, 0});
  }

  // Nothing that was received is needed any more, and the boundary of the next request is unknown.
  void Refuse(const RequestError& error) {
    is_idle_ = false;
    is_refused_ = true;
    parser_.reset();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    reservation_ = ClientMemory::Reservation();
    ++request_;
    version_ = 11;
    keep_alive_ = false;
    is_answered_ = false;
    std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
    if (error.retry_after_ms > 0)
      headers.push_back({"Retry-After", std::to_string(error.retry_after_ms / 1000)});
    Whole(request_, error.status, std::move(headers),
          "{\"error\":{\"code\":\"" + error.code + "\",\"message\":\"" + error.sentence +
              "\",\"ran\":\"no\",\"retry_after_ms\":" + std::to_string(error.retry_after_ms) +
              "}}");
  }

  void Linger() {
    beast::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream_.expires_after(kLingerTimeout);
    DropInput();
  }

  void DropInput() {
    stream_.async_read_some(buffer_.prepare(kDropBytes),
                            [self = shared_from_this()](beast::error_code ec, std::size_t) {
                              ec ? self->Close() : self->DropInput();
                            });
  }

  void ArmWrite() { stream_.expires_after(kIdleTimeout); }

  void Queue(std::string bytes) {
    unsent_bytes_ += bytes.size();
    unsent_.push_back(std::move(bytes));
    if (unsent_bytes_ > server_->options().max_unsent_bytes) return Close();
    if (!ReserveOutput(unsent_bytes_)) return;
    if (unsent_.size() == 1) WriteNext();
  }

  void WriteNext() {
    ArmWrite();
    asio::async_write(stream_, asio::buffer(unsent_.front()),
                      [self = shared_from_this()](beast::error_code ec, std::size_t) {
                        self->OnPieceWritten(ec);
                      });
  }

  void OnPieceWritten(beast::error_code ec) {
    if (ec || is_closed_) return Close();
    unsent_bytes_ -= unsent_.front().size();
    unsent_.pop_front();
    if (!unsent_.empty()) return WriteNext();
    reservation_.SetEvictable(false);
    reservation_.Resize(request_bytes_, MonotonicMs());
    stream_.expires_never();
    if (is_broken_) return Close();
    if (is_answered_) OnAnswered(ec);
  }

  void OnAnswered(beast::error_code ec) {
    gone_ = nullptr;
    if (!ec && is_refused_) return Linger();
    if (ec || !keep_alive_ || server_->stopping()) return Close();
    ReadNext();
  }

  // Notices a client that goes away while its answer is still being made.
  void WatchForGone() {
    if (is_watching_) return;
    is_watching_ = true;
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this()](beast::error_code ec) {
                                  self->is_watching_ = false;
                                  if (ec || self->is_closed_ || self->is_answered_ || !self->gone_)
                                    return;
                                  // A byte to read is the next request; only an end is a going
                                  // away.
                                  if (internal::Peek(self->stream_.socket()).has_ended)
                                    self->Close();
                                });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<Impl> server_;
  beast::flat_buffer buffer_{kMaxFramingBytes};
  std::optional<Parser> parser_;
  ClientMemory::Reservation reservation_;
  std::size_t request_bytes_ = 0;  // Of the request until it is answered.
  TimeMs quiet_since_ = 0;         // While no request waits for its answer.
  std::deque<std::string> unsent_;
  std::size_t unsent_bytes_ = 0;
  std::function<void()> gone_;
  std::uint64_t request_ = 0;
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool is_idle_ = false;
  bool is_answered_ = true;
  bool is_broken_ = false;
  bool is_evicted_ = false;  // The request being received has to give way.
  bool is_refused_ = false;  // The rest of what arrives is dropped.
  bool is_closed_ = false;
  bool is_watching_ = false;
};

Result<std::uint16_t, NetError> HttpServer::Impl::Listen() {
  beast::error_code ec;
  const auto address = asio::ip::make_address(options_.endpoint.address, ec);
  const tcp::endpoint endpoint(address, options_.endpoint.port);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (ec) return NetError{options_.endpoint.ToString() + ": " + ec.message()};
  Accept();
  return acceptor_.local_endpoint().port();
}

void HttpServer::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
    if (self->stopping_) return;
    if (ec) return self->OnAcceptFailed();
    self->AddSession(std::move(socket));
    self->Accept();
  });
}

// Out of file descriptors, or the connection was closed before it was accepted. In the first case
// it stays in the backlog, and the next attempt would fail at once.
void HttpServer::Impl::OnAcceptFailed() {
  ++counters_.failed_accepts;
  ReportLimit("accept_failed");
  accept_timer_.After(kAcceptRetryMs, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopping_) self->Accept();
  });
}

void HttpServer::Impl::AddSession(tcp::socket socket) {
  if (!MakeRoomForSession()) return;
  beast::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  std::make_shared<Session>(std::move(socket), shared_from_this())->Start();
}

bool HttpServer::Impl::MakeRoomForSession() {
  if (sessions_.size() < options_.max_connections) return true;
  Session* victim = nullptr;
  for (Session* it : sessions_) {
    const bool is_quieter = victim == nullptr || it->quiet_since() < victim->quiet_since();
    if (it->MayClose() && is_quieter) victim = it;
  }
  const bool may_close = victim != nullptr;
  ++(may_close ? counters_.displaced_connections : counters_.refused_connections);
  ReportLimit(may_close ? "connection_displaced" : "connection_refused");
  if (may_close) victim->Close();
  return may_close;
}

void HttpServer::Impl::Stop() {
  if (stopping_) return;
  stopping_ = true;
  beast::error_code ec;
  acceptor_.close(ec);
  const std::vector<Session*> all(sessions_.begin(), sessions_.end());
  for (Session* it : all) it->CloseIfIdle();
}

HttpServer::HttpServer(asio::io_context& io, HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}
HttpServer::~HttpServer() { impl_->Stop(); }
Result<std::uint16_t, NetError> HttpServer::Listen() { return impl_->Listen(); }
void HttpServer::Stop() { impl_->Stop(); }
const HttpServerCounters& HttpServer::counters() const { return impl_->counters_; }

}  // namespace junctionrail

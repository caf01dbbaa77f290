#include <netinet/tcp.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

#include "junctionrail/net.h"
#include "socket_peek.h"

namespace junctionrail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kPieceBytes = 16 << 10;
constexpr std::size_t kMostIdle = 64;  // Connections kept for each endpoint.
constexpr unsigned kFirstFinalStatus = 200;
constexpr int kMostInterimResponses = 100;  // Before one answer.
// Received, and not enough to be taken; a head has a lower limit.
constexpr std::size_t kMostFramingBytes = 64 << 10;

// A connection may die without a word while a call waits on it for seconds, as one that
// watches does. The kernel asks the far end after a second of silence and gives the
// connection up a second later, which costs no call.
constexpr int kProbeAfterS = 1;
constexpr int kProbeEachS = 1;
constexpr int kMostProbes = 1;

using Stream = beast::tcp_stream;
using Parser = http::response_parser<http::buffer_body>;

// Whether the far end has closed, or sent what nobody asked for.
bool IsStale(Stream& stream) {
  const internal::SocketPeek peek = internal::Peek(stream.socket());
  return peek.has_input || peek.has_ended;
}

void ProbeFarEnd(tcp::socket& socket) {
  beast::error_code ec;
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  const int descriptor = socket.native_handle();
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeAfterS, sizeof(kProbeAfterS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeEachS, sizeof(kProbeEachS));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kMostProbes, sizeof(kMostProbes));
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  explicit Impl(asio::io_context& io) : io_(io) {}

  std::unique_ptr<Stream> TakeIdle(const Endpoint& endpoint) {
    auto& list = idle_[endpoint.ToString()];
    while (!list.empty()) {
      auto stream = std::move(list.back());
      list.pop_back();
      if (!IsStale(*stream)) return stream;
    }
    return nullptr;
  }

  void Keep(const Endpoint& endpoint, std::unique_ptr<Stream> stream) {
    auto& list = idle_[endpoint.ToString()];
    if (list.size() < kMostIdle) list.push_back(std::move(stream));
  }

  void DropIdle(const Endpoint& endpoint) { idle_.erase(endpoint.ToString()); }

  class Call;
  asio::io_context& io_;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> idle_;
};

class HttpClient::Impl::Call : public HttpCallHandle, public std::enable_shared_from_this<Call> {
 public:
  // Without room set aside, the buffer takes 512 bytes from the socket in each turn of the loop.
  Call(std::shared_ptr<Impl> client, HttpCall call, HttpCallbacks callbacks)
      : client_(std::move(client)), call_(std::move(call)), callbacks_(std::move(callbacks)) {
    buffer_.reserve(kPieceBytes);
  }

  void Begin() {
    request_.method_string(call_.method);
    request_.target(call_.target);
    request_.version(11);
    request_.set(http::field::host, call_.endpoint.ToString());
    for (const auto& it : call_.headers) request_.set(it.name, it.value);
    request_.body() = std::move(call_.body);
    request_.prepare_payload();
    if (call_.closes_idle) client_->DropIdle(call_.endpoint);
    if (!call_.is_fresh) stream_ = client_->TakeIdle(call_.endpoint);
    if (stream_) return Write();
    Connect();
  }

  void Cancel() override {
    is_over_ = true;
    if (stream_) stream_->close();
  }

 private:
  void Connect() {
    stream_ = std::make_unique<Stream>(client_->io_);
    beast::error_code ec;
    const auto address = asio::ip::make_address(call_.endpoint.address, ec);
    if (ec) return Fail(false, ec.message());
    stream_->expires_after(std::chrono::milliseconds(call_.connect_ms));
    stream_->async_connect(tcp::endpoint(address, call_.endpoint.port),
                           [self = shared_from_this()](beast::error_code connect_ec) {
                             if (self->is_over_) return;
                             if (connect_ec) return self->Fail(false, connect_ec.message());
                             beast::error_code option_ec;
                             self->stream_->socket().set_option(tcp::no_delay(true), option_ec);
                             ProbeFarEnd(self->stream_->socket());
                             self->Write();
                           });
  }

  void Write() {
    stream_->expires_after(std::chrono::milliseconds(call_.quiet_ms));
    http::async_write(*stream_, request_,
                      [self = shared_from_this()](beast::error_code ec, std::size_t n) {
                        if (self->is_over_) return;
                        if (ec) return self->Fail(n > 0, ec.message());
                        self->ReadHead();
                      });
  }

  void ReadHead() {
    parser_.emplace();
    if (call_.max_answer_bytes == 0) {
      parser_->body_limit(boost::none);
    } else {
      parser_->body_limit(call_.max_answer_bytes);
    }
    http::async_read_header(*stream_, buffer_, *parser_,
                            [self = shared_from_this()](beast::error_code ec, std::size_t) {
                              if (self->is_over_) return;
                              if (ec) return self->Fail(true, self->ReasonOf(ec));
                              self->OnHead();
                            });
  }

  void OnHead() {
    const auto& message = parser_->get();
    const unsigned status = message.result_int();
    if (!IsHttpStatus(status)) return Fail(true, "an invalid status, " + std::to_string(status));
    const bool is_interim = message.result_int() < kFirstFinalStatus;
    if (is_interim) return OnInterim();
    if (callbacks_.head) {
      callbacks_.head(message.result_int(), std::string(message[http::field::content_type]));
    }
    for (const auto& it : message.base()) {
      if (callbacks_.header) {
        callbacks_.header({std::string(it.name_string()), std::string(it.value())});
      }
    }
    if (!is_over_) ReadPiece();
  }

  void OnInterim() {
    if (++interim_responses_ <= kMostInterimResponses) return ReadHead();
    Fail(true, "more than " + std::to_string(kMostInterimResponses) + " interim responses");
  }

  std::string ReasonOf(beast::error_code ec) const {
    if (ec == http::error::body_limit)
      return "an answer longer than " + std::to_string(call_.max_answer_bytes) + " bytes";
    if (ec == http::error::buffer_overflow) return "a chunk header or trailer longer than 64 KiB";
    return ec.message();
  }

  void ReadPiece() {
    if (parser_->is_done()) return Finish();
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    stream_->expires_after(std::chrono::milliseconds(call_.quiet_ms));
    http::async_read_some(*stream_, buffer_, *parser_,
                          [self = shared_from_this()](beast::error_code ec, std::size_t) {
                            if (self->is_over_) return;
                            self->OnPiece(ec);
                          });
  }

  void OnPiece(beast::error_code ec) {
    if (ec == http::error::need_buffer) ec = {};
    if (ec) return Fail(true, ReasonOf(ec));
    const std::size_t n = piece_.size() - parser_->get().body().size;
    if (n > 0 && callbacks_.piece) callbacks_.piece(std::string(piece_.data(), n));
    if (!is_over_) ReadPiece();
  }

  void Finish() {
    is_over_ = true;
    stream_->expires_never();
    // What came beyond the answer would be lost with this call's buffer, and its rest read as the
    // answer to the next call.
    const bool may_keep = parser_->keep_alive() && buffer_.size() == 0;
    if (may_keep) client_->Keep(call_.endpoint, std::move(stream_));
    if (callbacks_.done) callbacks_.done();
  }

  void Fail(bool was_sent, const std::string& reason) {
    is_over_ = true;
    if (stream_) stream_->close();
    if (callbacks_.failed) callbacks_.failed(was_sent, reason);
  }

  std::shared_ptr<Impl> client_;
  HttpCall call_;
  HttpCallbacks callbacks_;
  std::unique_ptr<Stream> stream_;
  http::request<http::string_body> request_;
  beast::flat_buffer buffer_{kMostFramingBytes};
  std::optional<Parser> parser_;
  std::array<char, kPieceBytes> piece_;
  int interim_responses_ = 0;
  bool is_over_ = false;
};

HttpClient::HttpClient(asio::io_context& io) : impl_(std::make_shared<Impl>(io)) {}
HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCallHandle> HttpClient::Start(HttpCall call, HttpCallbacks callbacks) {
  auto started = std::make_shared<Impl::Call>(impl_, std::move(call), std::move(callbacks));
  // Callbacks never come from inside Start.
  asio::post(impl_->io_, [started] { started->Begin(); });
  return started;
}

const std::string* HttpAnswer::Find(std::string_view name) const {
  const auto it = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& header) {
    return boost::beast::iequals(header.name, name);
  });
  return it == headers.end() ? nullptr : &it->value;
}

std::shared_ptr<HttpCallHandle> FetchWhole(HttpClient& client, HttpCall call,
                                           std::function<void(HttpAnswer)> done) {
  auto answer = std::make_shared<HttpAnswer>();
  auto finish = std::make_shared<std::function<void(HttpAnswer)>>(std::move(done));
  HttpCallbacks callbacks;
  callbacks.head = [answer](unsigned status, const std::string&) { answer->status = status; };
  callbacks.header = [answer](const HttpHeader& header) { answer->headers.push_back(header); };
  callbacks.piece = [answer](std::string data) { answer->body += data; };
  callbacks.done = [answer, finish] {
    answer->was_sent = true;
    (*finish)(std::move(*answer));
  };
  callbacks.failed = [finish](bool was_sent, const std::string& reason) {
    (*finish)(HttpAnswer{0, {}, {}, was_sent, reason});
  };
  return client.Start(std::move(call), std::move(callbacks));
}

class Timer::Impl : public std::enable_shared_from_this<Timer::Impl> {
 public:
  explicit Impl(asio::io_context& io) : timer_(io) {}

  void Arm(DurationMs delay, DurationMs period, std::function<void()> call) {
    const std::uint64_t armed = ++times_armed_;
    timer_.expires_after(std::chrono::milliseconds(delay));
    timer_.async_wait([self = shared_from_this(), period, armed,
                       call = std::move(call)](boost::system::error_code ec) mutable {
      // One whose time was over when it was cancelled or set anew is called
      // back without an error.
      if (ec || self->cancelled_ || self->times_armed_ != armed) return;
      call();
      // The call may itself have cancelled the timer or set it anew.
      const bool goes_on = period > 0 && !self->cancelled_ && self->times_armed_ == armed;
      if (goes_on) self->Arm(period, period, std::move(call));
    });
  }

  asio::steady_timer timer_;
  std::uint64_t times_armed_ = 0;
  bool cancelled_ = false;
};

Timer::Timer(asio::io_context& io) : impl_(std::make_shared<Impl>(io)) {}
Timer::~Timer() { Cancel(); }
void Timer::After(DurationMs delay, std::function<void()> call) {
  impl_->cancelled_ = false;
  impl_->Arm(delay, 0, std::move(call));
}
void Timer::Every(DurationMs period, std::function<void()> call) {
  impl_->cancelled_ = false;
  impl_->Arm(period, period, std::move(call));
}
void Timer::Cancel() {
  impl_->cancelled_ = true;
  impl_->timer_.cancel();
}

namespace {

std::function<TimeMs()>& MonotonicSource() {
  static std::function<TimeMs()> source;
  return source;
}

// Stands still while the VM is suspended.
std::int64_t RunningMs() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

// A lease, a listing or a deadline is as old as others count it, asleep or not.
TimeMs MonotonicMs() {
  if (MonotonicSource()) return MonotonicSource()();
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) return RunningMs();
  return TimeMs{1000} * now.tv_sec + now.tv_nsec / 1000000;
}

void SetMonotonicSource(std::function<TimeMs()> source) { MonotonicSource() = std::move(source); }

SuspensionWatch::SuspensionWatch() : counted_ms_(MonotonicMs()), running_ms_(RunningMs()) {}

DurationMs SuspensionWatch::TakeAwayMs() {
  const TimeMs counted = MonotonicMs();
  const std::int64_t running = RunningMs();
  const DurationMs away = (counted - counted_ms_) - (running - running_ms_);
  counted_ms_ = counted;
  running_ms_ = running;
  return std::max<DurationMs>(0, away);
}

std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace junctionrail

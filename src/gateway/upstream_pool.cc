#include "upstream_pool.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "../net/socket_peek.h"
#include "http_text.h"

namespace junctionrail::internal {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Within a region a connection is established in a few milliseconds. After a lost packet it would
// take a second, and another upstream responds sooner.
constexpr DurationMs kConnectTimeoutMs = 500;
// TCP_USER_TIMEOUT: the kernel drops a connection whose data stays unacknowledged for this long.
constexpr unsigned kUserTimeoutMs = 4000;
// For upstreams that do not state their own idle timeout, and the maximum for all.
constexpr DurationMs kDefaultIdleTimeoutMs = 4000;
// Closed this much before the upstream's own timeout, so that it does not close during a request.
constexpr DurationMs kIdleMarginMs = 700;
constexpr std::size_t kMaxIdleConnections = 16;
constexpr std::size_t kReadBytes = 8 << 10;

UpstreamFailure FailureOf(ResponseUnreadable::Cause cause) {
  using Cause = ResponseUnreadable::Cause;
  const bool is_upstream_there = cause == Cause::kSurplus || cause == Cause::kTooLong;
  return is_upstream_there ? UpstreamFailure::kMismatched : UpstreamFailure::kBroken;
}

}  // namespace

class UpstreamPool::Impl : public std::enable_shared_from_this<UpstreamPool::Impl> {
 public:
  Impl(asio::io_context& io, std::string request_id_field)
      : io_(io), request_id_field_(std::move(request_id_field)) {}

  struct Upstream {
    std::deque<std::shared_ptr<Connection>> idle;  // Most recently used at the back.
    int open = 0;
  };

  std::shared_ptr<Connection> TakeIdle(const std::string& instance, TimeMs now);

  asio::io_context& io_;
  std::string request_id_field_;
  std::map<std::string, Upstream> upstreams_;
  UpstreamPoolCounters counters_;
};

class UpstreamPool::Connection : public UpstreamCall,
                                 public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> pool, const UpstreamRecord& upstream, Distance distance)
      : pool_(std::move(pool)),
        instance_(upstream.instance),
        endpoint_(upstream.endpoint),
        distance_(distance),
        socket_(pool_->io_),
        timer_(pool_->io_),
        reader_(pool_->request_id_field_) {
    ++pool_->upstreams_[instance_].open;
  }

  ~Connection() override {
    const auto it = pool_->upstreams_.find(instance_);
    if (it != pool_->upstreams_.end()) --it->second.open;
  }

  void Begin(UpstreamMessage message, std::shared_ptr<UpstreamListener> listener) {
    message_ = std::move(message);
    listener_ = std::move(listener);
    is_paused_ = false;
    has_sent_all_ = false;
    reader_.Begin(message_.request_id, message_.is_head_method);
    reported_unread_ = 0;
    ++generation_;
    if (is_connected_) {
      asio::post(pool_->io_, [self = shared_from_this(), use = generation_] {
        if (self->IsCurrent(use)) self->Send();
      });
    } else {
      Connect();
    }
  }

  void Cancel() override {
    listener_ = nullptr;
    Reset();
  }

  void Pause(bool is_paused) override {
    is_paused_ = is_paused;
    if (!is_paused && !is_reading_ && listener_ != nullptr && is_connected_) Read();
  }

  bool HasUnread() override { return is_connected_ && Peek(socket_).has_input; }

  // Whether the upstream has neither closed the connection nor sent unrequested data.
  bool IsCleanlyIdle() {
    const SocketPeek peek = Peek(socket_);
    return !peek.has_input && !peek.has_ended;
  }

  void Close() {
    is_connected_ = false;
    timer_.cancel();
    error_code ec;
    socket_.close(ec);
  }

  TimeMs idle_until() const { return idle_until_; }

 private:
  // Discards a request that the upstream has not read yet. A suspended upstream would otherwise
  // start on it long after its caller has disconnected.
  void Reset() {
    error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  bool IsCurrent(std::uint64_t use) const { return use == generation_ && listener_ != nullptr; }

  DistanceTraffic& Traffic() { return pool_->counters_.traffic.Of(distance_); }

  void Connect() {
    ++pool_->counters_.opened_connections;
    error_code ec;
    const auto address = asio::ip::make_address(endpoint_.address, ec);
    connect_started_at_ = std::chrono::steady_clock::now();
    timer_.expires_after(std::chrono::milliseconds(kConnectTimeoutMs));
    timer_.async_wait([self = shared_from_this(), use = generation_](error_code timer_ec) {
      if (timer_ec || !self->IsCurrent(use) || self->is_connected_) return;
      self->Fail(UpstreamFailure::kNoConnection, "connect timeout");
    });
    socket_.async_connect(tcp::endpoint(address, endpoint_.port),
                          [self = shared_from_this(), use = generation_](error_code connect_ec) {
                            if (!self->IsCurrent(use)) return;
                            self->OnConnected(connect_ec);
                          });
  }

  void OnConnected(error_code ec) {
    timer_.cancel();
    if (ec) return Fail(UpstreamFailure::kNoConnection, ec.message());
    is_connected_ = true;
    connected_at_ = MonotonicMs();
    const std::chrono::duration<double, std::milli> round_trip =
        std::chrono::steady_clock::now() - connect_started_at_;
    listener_->OnConnected(round_trip.count());
    error_code option_ec;
    socket_.set_option(tcp::no_delay(true), option_ec);
    socket_.non_blocking(true, option_ec);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
    Send();
  }

  void Send() {
    if (!listener_->MaySend(connected_at_))
      return Fail(UpstreamFailure::kWithheld, "withdrawn before it was sent");
    ++Traffic().requests_sent;
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(message_.head),
                                                     asio::buffer(*message_.body)};
    asio::async_write(socket_, parts,
                      [self = shared_from_this(), use = generation_, body = message_.body](
                          error_code ec, std::size_t) {
                        if (!self->IsCurrent(use)) return;
                        if (ec) return self->Fail(UpstreamFailure::kBroken, ec.message());
                        self->has_sent_all_ = true;
                      });
    Read();
  }

  // Bytes stay in the socket until they are handled, so that HasUnread() tells of all of them.
  void Read() {
    if (is_reading_ || is_paused_) return;
    is_reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), use = generation_](error_code ec) {
                         self->is_reading_ = false;
                         if (!self->IsCurrent(use) || self->is_paused_) return;
                         if (ec) return self->Fail(UpstreamFailure::kBroken, ec.message());
                         self->OnReadable();
                       });
  }

  void OnReadable() {
    error_code ec;
    const std::size_t n = socket_.read_some(reader_.Prepare(kReadBytes), ec);
    if (ec == asio::error::would_block) return Read();
    reader_.Commit(n);
    Traffic().bytes_received += n;
    if (ec == asio::error::eof) return Handle(reader_.OnClosed());
    if (ec) return Fail(UpstreamFailure::kBroken, ec.message());
    HandleReceived();
  }

  void HandleReceived() {
    const std::uint64_t use = generation_;
    while (IsCurrent(use)) {
      const std::uint64_t surplus_before = reader_.surplus_responses();
      auto event = reader_.Next();
      pool_->counters_.surplus_responses += reader_.surplus_responses() - surplus_before;
      if (!event) return ReadOn();
      Handle(std::move(*event));
    }
  }

  void ReadOn() {
    const std::size_t unread = reader_.unread_bytes();
    if (std::exchange(reported_unread_, unread) != unread) listener_->OnUnread(unread);
    Read();
  }

  void Handle(ResponseEvent event) {
    std::visit([this](auto& it) { On(it); }, event);
  }

  void On(ResponseHeadRead& it) {
    ReadKeepAlive(it.head);
    listener_->OnHead(std::move(it.head));
  }
  void On(ResponseBodyRead& it) { listener_->OnBody(it.data); }
  void On(ResponseComplete& it) { Finish(it.end); }
  void On(ResponseUnreadable& it) { Fail(FailureOf(it.cause), it.reason); }

  void ReadKeepAlive(const UpstreamHead& head) {
    idle_timeout_ms_ = kDefaultIdleTimeoutMs;
    const std::string* field = FindField(head.fields, "Keep-Alive");
    if (field == nullptr) return;
    const std::size_t at = field->find("timeout=");
    if (at == std::string::npos) return;
    std::int64_t seconds = 0;
    const std::string digits = field->substr(at + 8, field->find_first_of(", ;", at) - at - 8);
    if (!ParseWholeNumber(digits, &seconds)) return;
    idle_timeout_ms_ = std::min(kDefaultIdleTimeoutMs, seconds * 1000 - kIdleMarginMs);
  }

  void Finish(ResponseEnd end) {
    const bool may_keep =
        end == ResponseEnd::kFramed && has_sent_all_ && reader_.MayReuse() && idle_timeout_ms_ > 0;
    if (reader_.HasUnread()) ++pool_->counters_.surplus_responses;
    const auto listener = std::exchange(listener_, nullptr);
    if (may_keep) {
      ReturnToPool();
    } else {
      Close();
    }
    listener->OnEnd(end);
  }

  void ReturnToPool() {
    auto& upstream = pool_->upstreams_[instance_];
    if (upstream.idle.size() >= kMaxIdleConnections) return Close();
    idle_until_ = MonotonicMs() + idle_timeout_ms_;
    message_.body = nullptr;
    upstream.idle.push_back(shared_from_this());
  }

  void Fail(UpstreamFailure failure, std::string_view reason) {
    const auto listener = std::exchange(listener_, nullptr);
    const std::string text(reason);
    // The upstream may still be at work on a request whose response cannot be read.
    failure == UpstreamFailure::kMismatched ? Reset() : Close();
    listener->OnFailed(failure, text);
  }

  std::shared_ptr<Impl> pool_;
  std::string instance_;
  Endpoint endpoint_;
  Distance distance_;
  std::chrono::steady_clock::time_point connect_started_at_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  ResponseReader reader_;
  UpstreamMessage message_;
  std::shared_ptr<UpstreamListener> listener_;
  std::uint64_t generation_ = 0;  // Number of requests begun; handlers of earlier ones do nothing.
  DurationMs idle_timeout_ms_ = kDefaultIdleTimeoutMs;
  TimeMs connected_at_ = 0;
  TimeMs idle_until_ = 0;
  std::size_t reported_unread_ = 0;
  bool is_connected_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool has_sent_all_ = false;
};

std::shared_ptr<UpstreamPool::Connection> UpstreamPool::Impl::TakeIdle(const std::string& instance,
                                                                       TimeMs now) {
  auto& idle = upstreams_[instance].idle;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle_until() > now && connection->IsCleanlyIdle()) return connection;
    connection->Close();
  }
  return nullptr;
}

UpstreamPool::UpstreamPool(asio::io_context& io, std::string request_id_field)
    : impl_(std::make_shared<Impl>(io, std::move(request_id_field))) {}
UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamCall> UpstreamPool::Start(const UpstreamRecord& upstream, Distance distance,
                                                  int max_connections, UpstreamMessage message,
                                                  std::shared_ptr<UpstreamListener> listener) {
  auto connection = impl_->TakeIdle(upstream.instance, MonotonicMs());
  if (!connection) {
    const bool is_full =
        max_connections > 0 && impl_->upstreams_[upstream.instance].open >= max_connections;
    if (is_full) {
      asio::post(impl_->io_, [listener = std::move(listener)] {
        listener->OnFailed(UpstreamFailure::kNoConnection, "connection limit reached");
      });
      return nullptr;
    }
    connection = std::make_shared<Connection>(impl_, upstream, distance);
  }
  connection->Begin(std::move(message), std::move(listener));
  return connection;
}

void UpstreamPool::CloseIdle(TimeMs now, const std::function<bool(const std::string&)>& is_known) {
  for (auto it = impl_->upstreams_.begin(); it != impl_->upstreams_.end();) {
    auto& idle = it->second.idle;
    const bool is_gone = !is_known(it->first);
    for (auto connection = idle.begin(); connection != idle.end();) {
      const bool is_over =
          is_gone || (*connection)->idle_until() <= now || !(*connection)->IsCleanlyIdle();
      if (is_over) (*connection)->Close();
      connection = is_over ? idle.erase(connection) : std::next(connection);
    }
    it = is_gone && it->second.open == 0 ? impl_->upstreams_.erase(it) : std::next(it);
  }
}

void UpstreamPool::CloseAll() {
  for (auto& [instance, upstream] : impl_->upstreams_) {
    for (const auto& it : upstream.idle) it->Close();
    upstream.idle.clear();
  }
}

const UpstreamPoolCounters& UpstreamPool::counters() const { return impl_->counters_; }

}  // namespace junctionrail::internal

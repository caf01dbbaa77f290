#include "proxy.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace junctionrail::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr DurationMs kSlowMs = 120;
constexpr DurationMs kHeldCheckMs = 20;
constexpr DurationMs kTargetCheckMs = 10;

bool WasReset(tcp::socket& socket) {
  error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec && ec != asio::error::would_block && ec != asio::error::eof;
}

}  // namespace

class Proxy::Impl : public std::enable_shared_from_this<Proxy::Impl> {
 public:
  Impl(asio::io_context& io, const Endpoint& listen, std::function<Endpoint()> target, Way way)
      : io_(io),
        target_(std::move(target)),
        way_(std::move(way)),
        acceptor_(io, tcp::endpoint(asio::ip::make_address(listen.address), listen.port)),
        endpoint_(acceptor_.local_endpoint()),
        listen_timer_(io) {}

  // One direction of one connection: read, hold as the path says, write.
  class Pump : public std::enable_shared_from_this<Pump> {
   public:
    Pump(std::shared_ptr<Impl> owner, std::shared_ptr<tcp::socket> from,
         std::shared_ptr<tcp::socket> to, std::shared_ptr<std::string> origin, bool is_back)
        : owner_(std::move(owner)),
          from_(std::move(from)),
          to_(std::move(to)),
          origin_(std::move(origin)),
          timer_(owner_->io_),
          is_back_(is_back) {}

    void Die() { is_dead_ = true; }

    void Read() {
      from_->async_read_some(asio::buffer(chunk_),
                             [self = shared_from_this()](error_code ec, std::size_t n) {
                               self->length_ = n;
                               self->ends_ = static_cast<bool>(ec);
                               self->is_reset_ = ec && ec != asio::error::eof;
                               self->Pass();
                             });
    }

   private:
    bool IsHeld() const {
      const PathState state = owner_->state_;
      const bool is_silent =
          state == PathState::kSilent || (state == PathState::kOneWay && is_back_);
      const Network* network = owner_->way_.network;
      return is_silent || (network != nullptr && network->IsCut(*origin_, owner_->way_.to));
    }

    // How long to wait before the chunk may pass; each is delayed once.
    DurationMs HoldMs() {
      if (IsHeld()) {
        was_held_ = true;
        return kHeldCheckMs;
      }
      if (was_delayed_) return 0;
      was_delayed_ = true;
      const Network* network = owner_->way_.network;
      return (owner_->state_ == PathState::kSlow ? kSlowMs : 0) +
             (network == nullptr ? 0 : network->DelayBetween(*origin_, owner_->way_.to));
    }

    void FindOrigin() {
      if (is_back_ || !origin_->empty() || !owner_->way_.origin) return;
      *origin_ = owner_->way_.origin({chunk_.data(), length_});
    }

    void Pass() {
      // The sockets stay open, so that neither end hears of it.
      if (is_dead_) return owner_->dead_.push_back(from_);
      FindOrigin();
      const DurationMs hold_ms = HoldMs();
      if (hold_ms > 0) {
        timer_.expires_after(std::chrono::milliseconds(hold_ms));
        timer_.async_wait([self = shared_from_this()](error_code ec) {
          if (!ec) self->Pass();
        });
        return;
      }
      was_delayed_ = false;
      // Data that has not arrived is lost when its sender resets the connection.
      if (std::exchange(was_held_, false) && WasReset(*from_)) return ResetSocket(*to_);
      if (is_reset_) {
        owner_->RefuseWhileTargetIsDown();
        return ResetSocket(*to_);
      }
      error_code ec;
      if (ends_) {
        to_->shutdown(tcp::socket::shutdown_send, ec);
        return;
      }
      asio::async_write(*to_, asio::buffer(chunk_.data(), length_),
                        [self = shared_from_this()](error_code write_ec, std::size_t) {
                          if (!write_ec) return self->Read();
                          error_code close_ec;
                          self->from_->close(close_ec);
                        });
    }

    std::shared_ptr<Impl> owner_;
    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    std::shared_ptr<std::string> origin_;  // Of the connection; both directions share it.
    asio::steady_timer timer_;
    std::array<char, 8192> chunk_;
    std::size_t length_ = 0;
    bool ends_ = false;
    bool is_reset_ = false;
    bool is_back_;
    bool was_held_ = false;
    bool was_delayed_ = false;
    bool is_dead_ = false;
  };

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
      if (ec) return;
      self->Connect(std::make_shared<tcp::socket>(std::move(socket)));
      self->Accept();
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& near) {
    const auto far = std::make_shared<tcp::socket>(io_);
    const Endpoint target = target_();
    far->async_connect(tcp::endpoint(asio::ip::make_address(target.address), target.port),
                       [self = shared_from_this(), near, far](error_code ec) {
                         if (ec) {
                           self->RefuseWhileTargetIsDown();
                           return ResetSocket(*near);
                         }
                         self->sockets_.push_back(near);
                         self->sockets_.push_back(far);
                         const auto origin = std::make_shared<std::string>();
                         self->StartPump(near, far, origin, false);
                         self->StartPump(far, near, origin, true);
                       });
  }

  // Whether the target accepts connections; on loopback the answer is immediate.
  bool IsTargetUp() {
    const Endpoint target = target_();
    tcp::socket probe(io_);
    error_code ec;
    probe.connect(tcp::endpoint(asio::ip::make_address(target.address), target.port), ec);
    return !ec;
  }

  // As the port of a process that has ended.
  void RefuseWhileTargetIsDown() {
    if (is_closed_ || !acceptor_.is_open() || IsTargetUp()) return;
    error_code ec;
    acceptor_.close(ec);
    ListenOnceTargetIsUp();
  }

  void ListenOnceTargetIsUp() {
    listen_timer_.expires_after(std::chrono::milliseconds(kTargetCheckMs));
    listen_timer_.async_wait([self = shared_from_this()](error_code timer_ec) {
      if (timer_ec || self->is_closed_) return;
      if (!self->IsTargetUp()) return self->ListenOnceTargetIsUp();
      error_code ec;
      self->acceptor_.open(self->endpoint_.protocol(), ec);
      self->acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
      self->acceptor_.bind(self->endpoint_, ec);
      self->acceptor_.listen(asio::socket_base::max_listen_connections, ec);
      if (ec) return self->ListenOnceTargetIsUp();
      self->Accept();
    });
  }

  void Close() {
    is_closed_ = true;
    listen_timer_.cancel();
    error_code ec;
    acceptor_.close(ec);
    Reset();
  }

  void StartPump(const std::shared_ptr<tcp::socket>& from, const std::shared_ptr<tcp::socket>& to,
                 const std::shared_ptr<std::string>& origin, bool is_back) {
    const auto pump = std::make_shared<Pump>(shared_from_this(), from, to, origin, is_back);
    pumps_.push_back(pump);
    pump->Read();
  }

  void SilenceOpen() {
    for (const auto& it : pumps_) {
      const auto pump = it.lock();
      if (pump) pump->Die();
    }
    pumps_.clear();
  }

  static void ResetSocket(tcp::socket& socket) {
    error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  }

  void Reset() {
    for (const auto& it : sockets_) {
      const auto socket = it.lock();
      if (socket) ResetSocket(*socket);
    }
    sockets_.clear();
  }

  asio::io_context& io_;
  std::function<Endpoint()> target_;
  Way way_;
  tcp::acceptor acceptor_;
  tcp::endpoint endpoint_;
  asio::steady_timer listen_timer_;
  bool is_closed_ = false;
  std::vector<std::weak_ptr<tcp::socket>> sockets_;
  std::vector<std::weak_ptr<Pump>> pumps_;
  std::vector<std::shared_ptr<tcp::socket>> dead_;
  PathState state_ = PathState::kOpen;
};

Proxy::Proxy(asio::io_context& io, const Endpoint& listen, std::function<Endpoint()> target,
             Way way)
    : impl_(std::make_shared<Impl>(io, listen, std::move(target), std::move(way))) {
  impl_->Accept();
}
Proxy::~Proxy() { impl_->Close(); }
Endpoint Proxy::endpoint() const {
  return {impl_->endpoint_.address().to_string(), impl_->endpoint_.port()};
}
void Proxy::Set(PathState state) { impl_->state_ = state; }
bool Proxy::is_open() const { return impl_->state_ == PathState::kOpen; }
void Proxy::Reset() { impl_->Reset(); }
void Proxy::SilenceOpen() { impl_->SilenceOpen(); }

}  // namespace junctionrail::soak

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "junctionrail/net.h"

namespace junctionrail {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct PortLook : std::enable_shared_from_this<PortLook> {
  explicit PortLook(boost::asio::io_context& io) : socket(io), timer(io) {}

  void Start(const Endpoint& endpoint, DurationMs limit_ms, std::function<void(PortState)> call) {
    done = std::move(call);
    error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    if (ec) return End(PortState::kSilent);
    timer.expires_after(std::chrono::milliseconds(limit_ms));
    timer.async_wait([self = shared_from_this()](error_code timer_ec) {
      if (!timer_ec) self->End(PortState::kSilent);
    });
    socket.async_connect({address, endpoint.port}, [self = shared_from_this()](error_code result) {
      const bool is_refused = result == boost::asio::error::connection_refused ||
                              result == boost::asio::error::connection_reset;
      self->End(!result ? PortState::kOpen : is_refused ? PortState::kRefused : PortState::kSilent);
    });
  }

  void End(PortState state) {
    if (!done) return;
    timer.cancel();
    error_code ec;
    socket.close(ec);
    std::exchange(done, nullptr)(state);
  }

  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(PortState)> done;
};

}  // namespace

void LookAtPort(boost::asio::io_context& io, const Endpoint& endpoint, DurationMs limit_ms,
                std::function<void(PortState)> done) {
  std::make_shared<PortLook>(io)->Start(endpoint, limit_ms, std::move(done));
}

}  // namespace junctionrail

#include "socket_peek.h"

#include <poll.h>

#include <boost/asio/buffer.hpp>

namespace junctionrail::internal {

SocketPeek Peek(boost::asio::ip::tcp::socket& socket) {
  using boost::asio::ip::tcp;
  boost::system::error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  if (ec) return {false, true};
  socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  if (!ec) return {true, false};
  const bool is_idle = ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
  return {false, !is_idle};
}

// A signal that arrives now makes poll() fail, which tells nothing of the connection.
bool IsFarEndClosed(boost::asio::ip::tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

}  // namespace junctionrail::internal

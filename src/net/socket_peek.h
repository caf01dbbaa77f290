// A look at what a socket holds without reading it. Internal to the libraries.
#ifndef JUNCTIONRAIL_NET_SOCKET_PEEK_H_
#define JUNCTIONRAIL_NET_SOCKET_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

namespace junctionrail::internal {

// With neither, the connection is open and nothing has arrived.
struct SocketPeek {
  bool has_input = false;
  bool has_ended = false;  // The far end has closed or reset it, or it is not open.
};

// Makes the socket non-blocking.
SocketPeek Peek(boost::asio::ip::tcp::socket& socket);

// Whether the far end has closed or reset the connection, also behind input that was not read.
bool IsFarEndClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_NET_SOCKET_PEEK_H_

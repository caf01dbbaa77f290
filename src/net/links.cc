// Both ends of the entry-agent links. websocketpp is included here alone: it
// is the heaviest header of the project and needs C++17 or older.
#include <boost/asio/io_context.hpp>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "junctionrail/net.h"
#include "junctionrail/wire.h"

namespace junctionrail {
namespace {

// Links to many upstreams stand open at once, so a link's buffer is small.
constexpr std::size_t kReadBuffer = 4096;
// Of the handshake, which has none.
constexpr std::size_t kMaxBodyBytes = 1;

template <class Base>
struct SmallBuffers : public Base {
  // Names that websocketpp looks for.
  static const std::size_t connection_read_buffer_size = kReadBuffer;  // NOLINT
  static const std::size_t max_message_size = kMaxFrameBytes;          // NOLINT
  static const std::size_t max_http_body_size = kMaxBodyBytes;         // NOLINT
};

using ServerEndpoint = websocketpp::server<SmallBuffers<websocketpp::config::asio>>;
using ClientEndpoint = websocketpp::client<SmallBuffers<websocketpp::config::asio_client>>;
using Handle = websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;

constexpr auto kClosedByUs = websocketpp::close::status::going_away;

template <class EndpointType>
void Quiet(EndpointType& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

// Small frames must not wait for each other's acknowledgement. The handshake
// is already such a frame, so the option is set as soon as TCP stands.
template <class EndpointType>
void SendSmallFramesAtOnce(EndpointType& endpoint) {
  endpoint.set_tcp_post_init_handler([&endpoint](const Handle& handle) {
    websocketpp::lib::error_code ec;
    auto connection = endpoint.get_con_from_hdl(handle, ec);
    if (ec) return;
    boost::system::error_code option_ec;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), option_ec);
  });
}

}  // namespace

class LinkServer::Impl : public std::enable_shared_from_this<LinkServer::Impl> {
 public:
  Impl(boost::asio::io_context& io, LinkServerCallbacks callbacks)
      : callbacks_(std::move(callbacks)) {
    Quiet(endpoint_);
    endpoint_.init_asio(&io);
    endpoint_.set_reuse_addr(true);
    SendSmallFramesAtOnce(endpoint_);
    endpoint_.set_open_handler([this](const Handle& handle) { OnOpen(handle); });
    endpoint_.set_message_handler(
        [this](const Handle& handle, const ServerEndpoint::message_ptr& message) {
          const auto it = ids_.find(handle);
          if (it != ids_.end()) callbacks_.message(it->second, message->get_payload());
        });
    endpoint_.set_close_handler([this](const Handle& handle) { OnClose(handle); });
  }

  void OnOpen(const Handle& handle) {
    const std::uint64_t id = ++last_id_;
    ids_[handle] = id;
    handles_[id] = handle;
    callbacks_.opened(id);
  }

  void OnClose(const Handle& handle) {
    const auto it = ids_.find(handle);
    if (it == ids_.end()) return;
    const std::uint64_t id = it->second;
    ids_.erase(it);
    handles_.erase(id);
    callbacks_.closed(id);
  }

  ServerEndpoint endpoint_;
  LinkServerCallbacks callbacks_;
  std::map<Handle, std::uint64_t, std::owner_less<Handle>> ids_;
  std::map<std::uint64_t, Handle> handles_;
  std::uint64_t last_id_ = 0;
};

LinkServer::LinkServer(boost::asio::io_context& io, LinkServerCallbacks callbacks)
    : impl_(std::make_shared<Impl>(io, std::move(callbacks))) {}
LinkServer::~LinkServer() = default;

Result<std::uint16_t, NetError> LinkServer::Listen(const Endpoint& endpoint) {
  websocketpp::lib::error_code ec;
  boost::system::error_code address_ec;
  const auto address = boost::asio::ip::make_address(endpoint.address, address_ec);
  if (address_ec) return NetError{endpoint.ToString() + ": " + address_ec.message()};
  impl_->endpoint_.listen(boost::asio::ip::tcp::endpoint(address, endpoint.port), ec);
  if (ec) return NetError{endpoint.ToString() + ": " + ec.message()};
  impl_->endpoint_.start_accept(ec);
  if (ec) return NetError{endpoint.ToString() + ": " + ec.message()};
  boost::system::error_code local_ec;
  const auto local = impl_->endpoint_.get_local_endpoint(local_ec);
  return local.port();
}

void LinkServer::Send(std::uint64_t link, std::string bytes) {
  const auto it = impl_->handles_.find(link);
  if (it == impl_->handles_.end()) return;
  websocketpp::lib::error_code ec;
  impl_->endpoint_.send(it->second, bytes, binary, ec);
}

void LinkServer::Close(std::uint64_t link, std::string_view reason) {
  const auto it = impl_->handles_.find(link);
  if (it == impl_->handles_.end()) return;
  websocketpp::lib::error_code ec;
  impl_->endpoint_.close(it->second, kClosedByUs, std::string(reason), ec);
}

void LinkServer::Stop() {
  websocketpp::lib::error_code ec;
  impl_->endpoint_.stop_listening(ec);
  const auto all = impl_->handles_;
  for (const auto& [id, handle] : all) Close(id, "stopping");
}

std::size_t LinkServer::open_links() const { return impl_->handles_.size(); }

class LinkClient::Impl {
 public:
  Impl(boost::asio::io_context& io, LinkClientCallbacks callbacks)
      : callbacks_(std::move(callbacks)) {
    Quiet(endpoint_);
    endpoint_.init_asio(&io);
    SendSmallFramesAtOnce(endpoint_);
  }

  struct Link {
    ClientEndpoint::connection_ptr connection;
    std::vector<std::string> waiting;  // Until the link is open.
    bool is_open = false;
    TimeMs used_at = 0;
  };

  void Open(const std::string& peer, const Endpoint& endpoint) {
    websocketpp::lib::error_code ec;
    auto connection = endpoint_.get_connection("ws://" + endpoint.ToString() + "/", ec);
    if (ec) return;
    connection->set_open_handshake_timeout(kOpenMs);
    connection->set_open_handler([this, peer](const Handle&) { OnOpen(peer); });
    connection->set_fail_handler([this, peer](const Handle&) { OnClosed(peer, false); });
    connection->set_close_handler([this, peer](const Handle&) { OnClosed(peer, true); });
    connection->set_message_handler(
        [this, peer](const Handle&, const ClientEndpoint::message_ptr& message) {
          const auto it = links_.find(peer);
          if (it != links_.end()) it->second.used_at = MonotonicMs();
          callbacks_.message(peer, message->get_payload());
        });
    links_[peer].connection = connection;
    endpoint_.connect(connection);
  }

  void OnOpen(const std::string& peer) {
    const auto it = links_.find(peer);
    if (it == links_.end()) return;
    it->second.is_open = true;
    callbacks_.opened(peer);
    for (const auto& bytes : it->second.waiting) SendOn(it->second, bytes);
    it->second.waiting.clear();
  }

  void OnClosed(const std::string& peer, bool was_open) {
    if (links_.erase(peer) > 0) callbacks_.closed(peer, was_open);
  }

  static void SendOn(Link& link, const std::string& bytes) {
    link.used_at = MonotonicMs();
    link.connection->send(bytes, binary);
  }

  static constexpr long kOpenMs = 1000;
  ClientEndpoint endpoint_;
  LinkClientCallbacks callbacks_;
  std::map<std::string, Link> links_;
};

LinkClient::LinkClient(boost::asio::io_context& io, LinkClientCallbacks callbacks)
    : impl_(std::make_shared<Impl>(io, std::move(callbacks))) {}
LinkClient::~LinkClient() = default;

void LinkClient::Send(const std::string& peer, const Endpoint& endpoint, std::string bytes) {
  const auto it = impl_->links_.find(peer);
  if (it != impl_->links_.end() && it->second.is_open) return impl_->SendOn(it->second, bytes);
  const bool is_new = it == impl_->links_.end();
  impl_->links_[peer].waiting.push_back(std::move(bytes));
  impl_->links_[peer].used_at = MonotonicMs();
  if (is_new) impl_->Open(peer, endpoint);
}

void LinkClient::Close(const std::string& peer, std::string_view reason) {
  const auto it = impl_->links_.find(peer);
  if (it == impl_->links_.end() || !it->second.is_open) return;
  websocketpp::lib::error_code ec;
  it->second.connection->close(kClosedByUs, std::string(reason), ec);
}

void LinkClient::CloseIdle(DurationMs idle_ms,
                           const std::function<bool(const std::string&)>& is_busy) {
  const TimeMs now = MonotonicMs();
  std::vector<std::string> idle;
  for (const auto& [peer, it] : impl_->links_) {
    const bool is_idle = it.is_open && now - it.used_at >= idle_ms;
    if (is_idle && !is_busy(peer)) idle.push_back(peer);
  }
  for (const auto& it : idle) Close(it, "idle");
}

void LinkClient::Stop() {
  CloseIdle(0, [](const std::string&) { return false; });
}

std::size_t LinkClient::open_links() const { return impl_->links_.size(); }

}  // namespace junctionrail

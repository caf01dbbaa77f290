#include "crowd.h"

#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

namespace junctionrail::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kMembers = 160;

}  // namespace

Crowd::Crowd(asio::io_context& io, Judge& judge, std::string name, int entry,
             const Endpoint& endpoint)
    : io_(io), judge_(judge), name_(std::move(name)), entry_(entry), endpoint_(endpoint) {}

void Crowd::Arrive() {
  const tcp::endpoint to(asio::ip::make_address(endpoint_.address), endpoint_.port);
  for (int n = 0; n < kMembers; ++n) {
    members_.push_back(std::make_shared<Member>(io_, name_ + "-" + std::to_string(n)));
    const auto member = members_.back();
    member->socket.async_connect(to, [self = shared_from_this(), member](error_code ec) {
      if (ec) return;
      self->Send(member);
      self->Read(member);
    });
  }
}

void Crowd::SendAgain() {
  for (const auto& it : members_) {
    if (!it->socket.is_open() || it->is_awaiting) continue;
    it->request += "-again";
    Send(it);
  }
}

void Crowd::Leave() {
  for (const auto& it : members_) Close(it);
}

void Crowd::Close(const std::shared_ptr<Member>& member) {
  error_code ec;
  member->socket.close(ec);
}

void Crowd::Send(const std::shared_ptr<Member>& member) {
  member->is_awaiting = true;
  judge_.OnSent(member->request, entry_, kOrganisations[0], {});
  const std::string text =
      "GET /nowhere/ HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + member->request + "\r\n\r\n";
  error_code ec;
  asio::write(member->socket, asio::buffer(text), ec);
}

void Crowd::Read(const std::shared_ptr<Member>& member) {
  member->socket.async_read_some(asio::buffer(member->chunk), [self = shared_from_this(), member](
                                                                  error_code ec, std::size_t n) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) {
      member->is_awaiting = false;
      // The answer is the connection's last: nothing may be sent behind it.
      const std::string_view text(member->chunk.data(), n);
      if (text.find("Connection: close") != text.npos) return Close(member);
      return self->Read(member);
    }
    const bool is_reset = ec != asio::error::eof;
    if (std::exchange(member->is_awaiting, false)) {
      self->judge_.OnUnanswered(member->request,
                                is_reset ? Judge::Ending::kReset : Judge::Ending::kClosed);
    }
    Close(member);
  });
}

}  // namespace junctionrail::soak

// Many callers of one entry at once, each with a connection that it keeps: more than an entry takes
// from the kernel in one turn. Their requests are of no route, so that they cost no upstream.
#ifndef JUNCTIONRAIL_SOAK_CROWD_H_
#define JUNCTIONRAIL_SOAK_CROWD_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "judge.h"
#include "junctionrail/settings.h"

namespace junctionrail::soak {

class Crowd : public std::enable_shared_from_this<Crowd> {
 public:
  // `name` begins its requests' ids.
  Crowd(boost::asio::io_context& io, Judge& judge, std::string name, int entry,
        const Endpoint& endpoint);

  // Opens the connections; each sends its first request.
  void Arrive();
  // Those whose first request was answered send another.
  void SendAgain();
  // Ends the connections that are left.
  void Leave();

 private:
  struct Member {
    Member(boost::asio::io_context& io, std::string id) : socket(io), request(std::move(id)) {}

    boost::asio::ip::tcp::socket socket;
    std::string request;
    bool is_awaiting = false;
    std::array<char, 1024> chunk;
  };

  void Send(const std::shared_ptr<Member>& member);
  static void Close(const std::shared_ptr<Member>& member);
  void Read(const std::shared_ptr<Member>& member);

  boost::asio::io_context& io_;
  Judge& judge_;
  std::string name_;
  int entry_;
  Endpoint endpoint_;
  std::vector<std::shared_ptr<Member>> members_;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_CROWD_H_

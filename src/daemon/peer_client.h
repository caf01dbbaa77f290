// Asks other entries while the store cannot be reached: at the start for the configuration and the
// upstreams, later whether the configuration is still the newest.
#ifndef JUNCTIONRAIL_DAEMON_PEER_CLIENT_H_
#define JUNCTIONRAIL_DAEMON_PEER_CLIENT_H_

#include <functional>
#include <string>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "junctionrail/settings.h"
#include "platform.h"

namespace junctionrail::internal {

class PeerClient {
 public:
  // What answers are applied to.
  struct Targets {
    Gateway& gateway;
    platform::ConfigurationFollower& configuration;
    platform::UpstreamFollower& upstreams;
  };

  // `direct` may change until this object ends.
  PeerClient(boost::asio::io_context& io, HttpClient& http, EventLog& log,
             const DirectSettings& direct, Targets targets);

  void Start();

 private:
  void AskAtStart(std::size_t n);
  void AskForConfirmation();
  void OnConfirmation(const Endpoint& peer, TimeMs asked_at, const std::string& text);
  void Ask(const Endpoint& peer, std::string target, std::function<void(const std::string&)> take);

  HttpClient& http_;
  EventLog& log_;
  const DirectSettings& direct_;
  Targets targets_;
  Timer start_timer_;
  Timer confirmation_timer_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_PEER_CLIENT_H_

// The two roles on the direct path: an entry that speaks with upstreams
// itself, and an agent that is the only giver of its engine's orders.
#ifndef JUNCTIONRAIL_DAEMON_DIRECT_DAEMON_H_
#define JUNCTIONRAIL_DAEMON_DIRECT_DAEMON_H_

#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

#include "daemon.h"
#include "junctionrail/settings.h"

namespace junctionrail::internal {

class DirectEntry {
 public:
  // Event lines go to `log_descriptor`.
  DirectEntry(boost::asio::io_context& io, Settings settings, int log_descriptor = STDOUT_FILENO);
  ~DirectEntry();
  std::optional<ListenError> Start();
  // Not ready at once; serves what comes until the balancer has noticed, and
  // finishes what is under way.
  void Stop();
  // The settings file was read again. Takes over the retry budget, the peers,
  // and the bounds of leaving and draining; the rest waits for the next start.
  void Reload(const Settings& settings);
  // It was read again and is malformed.
  void KeepSettings(const std::string& reason);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

class DirectAgent {
 public:
  DirectAgent(boost::asio::io_context& io, Settings settings, int log_descriptor = STDOUT_FILENO);
  ~DirectAgent();
  std::optional<ListenError> Start();
  void Stop();
  // Nothing of an agent's settings can change before the next start.
  void Reload(const Settings& settings);
  void KeepSettings(const std::string& reason);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_DIRECT_DAEMON_H_

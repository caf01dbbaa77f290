// The two roles of the daemon. Each owns its sockets and its decision core:
// it turns what arrives into events and carries the core's commands out.
#ifndef JUNCTIONRAIL_DAEMON_DAEMON_H_
#define JUNCTIONRAIL_DAEMON_DAEMON_H_

#include <memory>
#include <optional>
#include <string>

#include "junctionrail/net.h"
#include "junctionrail/settings.h"

namespace junctionrail::internal {

// Deadlines are kept to within a tick.
constexpr DurationMs kTickMs = 10;
// The platform's list lags by more than this anyway.
constexpr DurationMs kVmListPeriodMs = 1000;

// An address of the settings that could not be listened at.
struct ListenError {
  std::string path;      // JSON path of the setting.
  std::string sentence;  // The address and what is wrong with it.
};

class EntryDaemon {
 public:
  EntryDaemon(boost::asio::io_context& io, Settings settings);
  ~EntryDaemon();
  // Binds and starts.
  std::optional<ListenError> Start();
  // A planned stop: refuses new calls, finishes the present ones, then stops
  // the io_context.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

class AgentDaemon {
 public:
  AgentDaemon(boost::asio::io_context& io, Settings settings);
  ~AgentDaemon();
  std::optional<ListenError> Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_DAEMON_H_

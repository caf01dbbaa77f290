// The operators' RPC of an entry. gRPC calls arrive on its own threads; each
// is carried to the entry's thread, and waits there for the answer.
#ifndef JUNCTIONRAIL_DAEMON_OPERATOR_SERVICE_H_
#define JUNCTIONRAIL_DAEMON_OPERATOR_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "junctionrail/decision_log.h"
#include "junctionrail/declarations.h"
#include "junctionrail/net.h"
#include "junctionrail/store.h"

namespace boost::asio {
class io_context;
}

namespace junctionrail {
class BurnTracker;
class EntryCore;
}  // namespace junctionrail

namespace junctionrail::internal {

// The records of `why` as an agent sent them, or nothing when it did not.
using AgentRecords = std::optional<std::string>;

// What the service needs of the entry. Everything is called on the entry's
// thread, and every `done` is called once, on any thread.
struct OperatorHooks {
  std::function<const EntryCore&()> core;
  std::function<const BurnTracker&()> burn;
  std::function<bool()> is_kv_reachable;
  std::function<void(ConfigChange, AcceptDone)> accept;
  std::function<bool(const std::string& vm, const std::string& reason)> drain;
  std::function<void(const std::string& vm, const std::string& subject,
                     std::function<void(AgentRecords)> done)>
      ask_agent;
};

class OperatorServer {
 public:
  OperatorServer(boost::asio::io_context& io, std::string vm, OperatorHooks hooks);
  ~OperatorServer();

  // Binds and serves until destroyed.
  std::optional<NetError> Start(const Endpoint& endpoint);
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// What a restarted entry may learn from another while the key-value service is
// away. Blocks for at most a second; nothing when the peer does not answer.
struct Recalled {
  Configuration configuration;
  std::vector<GrantRecord> grants;
};
std::optional<Recalled> RecallFrom(const Endpoint& peer);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_OPERATOR_SERVICE_H_

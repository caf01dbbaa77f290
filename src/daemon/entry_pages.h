// The HTTP pages of an entry: readiness, metrics, pages for operators, and its configuration and
// upstreams for other entries that start or cannot reach the store.
#ifndef JUNCTIONRAIL_DAEMON_ENTRY_PAGES_H_
#define JUNCTIONRAIL_DAEMON_ENTRY_PAGES_H_

#include <functional>
#include <memory>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "loop_monitor.h"
#include "platform.h"
#include "quarantine_keeper.h"
#include "relay_follower.h"

namespace junctionrail::internal {

class EntryPages {
 public:
  // What the pages show.
  struct Sources {
    Gateway& gateway;
    const platform::StoreClient& store;
    const platform::ConfigurationFollower& configuration;
    const platform::UpstreamFollower& upstreams;
    QuarantineRecorder& recorder;
    const RelayFollower& relay;
    const LoopMonitor& loop;
    std::function<bool()> is_ready;
  };

  EntryPages(EventLog& log, Sources sources);

  void Answer(const HttpRequest& request, std::shared_ptr<HttpResponder> shared);

 private:
  void AnswerOperator(const HttpRequest& request, std::shared_ptr<HttpResponder> shared);
  void AnswerPeer(const HttpRequest& request, HttpResponder* responder);
  void Release(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);

  EventLog& log_;
  Sources sources_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_ENTRY_PAGES_H_

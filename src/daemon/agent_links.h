// An entry's links to the agents of the engines that it observes, and the demand that it sends on
// them.
#ifndef JUNCTIONRAIL_DAEMON_AGENT_LINKS_H_
#define JUNCTIONRAIL_DAEMON_AGENT_LINKS_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "entry_hosting.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "junctionrail/routing.h"

namespace junctionrail::internal {

class AgentLinks {
 public:
  struct Callbacks {
    std::function<void(const std::string& instance, std::string_view bytes)> message;
    std::function<void(const std::string& instance)> closed;
    // Demand was sent to all agents for which it was due.
    std::function<void()> demands_sent;
  };
  struct Options {
    std::string entry;
    std::uint16_t link_port = 0;  // Of every agent.
  };

  AgentLinks(boost::asio::io_context& io, Gateway& gateway, EntryHosting& hosting, Options options,
             Callbacks callbacks);

  void Start();
  // Sends demand soon, as a request waits for a model that no agent has been asked for yet.
  void ScheduleUrgentDemand(const std::string& instance);

  // Whether the upstream is listed and the last attempt to open a link to its agent has not just
  // failed.
  bool CanOpen(const std::string& instance) const;
  // Observes the engine and sends to its agent, or to the entry that gives orders in its place.
  void Send(const std::string& instance, std::string bytes);
  // Sends only if demand was sent on that link before; returns false otherwise.
  bool SendIfOpen(const std::string& instance, std::string bytes);
  bool IsOpen(const std::string& instance) const { return links_.count(instance) > 0; }
  std::vector<std::string> OpenInstances() const;
  void Close(const std::string& instance, std::string_view reason);

 private:
  struct Link {
    AgentDemand demand;
    Endpoint endpoint;
    TimeMs demand_sent_at = 0;
    TimeMs opened_at = MonotonicMs();
  };

  LinkClientCallbacks ClientCallbacks();
  Endpoint LinkTo(const UpstreamRecord& upstream) const;
  void SendUrgentDemand(const std::string& instance);
  void SetSender(const std::string& instance, DurationMs repeat_ms, AgentDemand* demand) const;
  void SendDemands();
  void SendDemand(const UpstreamRecord& upstream, const AgentDemand& demand, Link* link);
  void CloseUnused(const std::map<std::string, AgentDemand>& demands);
  void CloseSilent(TimeMs now);

  Gateway& gateway_;
  EntryHosting& hosting_;
  Options options_;
  Callbacks callbacks_;
  LinkClient client_;
  Timer demand_timer_;
  Timer urgent_timer_;
  std::map<std::string, Link> links_;
  std::map<std::string, TimeMs> reopen_at_;  // Of links that could not be opened.
  std::set<std::string> urgent_;             // Instances whose agents get demand soon.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_AGENT_LINKS_H_

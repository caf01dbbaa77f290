// Gives orders, from an entry, to engines that have no agent: claims them in the
// store, keeps each with an EngineKeeper, and takes other entries' demand for them.
#ifndef JUNCTIONRAIL_DAEMON_ENTRY_HOSTING_H_
#define JUNCTIONRAIL_DAEMON_ENTRY_HOSTING_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine_keeper.h"
#include "junctionrail/event_log.h"
#include "junctionrail/net.h"
#include "junctionrail/placement.h"
#include "junctionrail/stream_origins.h"
#include "platform.h"

namespace junctionrail::internal {

// The key of the claim on an engine.
std::string HostKey(const Endpoint& engine);

class EntryHosting : public std::enable_shared_from_this<EntryHosting> {
 public:
  struct Options {
    std::string entry;
    Endpoint link;  // Taken once an engine is claimed; every agent's has its port.
    PolicySettings policy;
    HostElectionTiming times;
  };
  struct Callbacks {
    // A view for this entry itself.
    std::function<void(const Endpoint& engine, std::string_view bytes)> view;
    // No view of the engine comes from here any more.
    std::function<void(const Endpoint& engine)> released;
    std::function<void()> list_soon;
    std::function<void(const UpstreamCrash&)> record_end;
  };

  EntryHosting(boost::asio::io_context& io, HttpClient& http, platform::StoreClient& store,
               EventLog& log, Options options, Callbacks callbacks);

  void Stop();
  void SetPolicy(const PolicySettings& policy);
  void SetServices(const std::vector<ServiceSpec>& services);
  void SetListing(const std::vector<UpstreamRecord>& listing);
  // Engines of which no view comes; called often, and drives all else.
  void Tick(const std::vector<Endpoint>& unseen);

  bool IsHosting(const Endpoint& engine) const;
  // Demand of this entry for an engine that it hosts.
  void OnDemand(const Endpoint& engine, const AgentDemand& demand);
  void OnEnd(const Endpoint& engine, const UpstreamCrash& end);
  void OnQuotaAsk(const Endpoint& engine, const QuotaRequest& ask);
  // A message about the origins of streams, to the agent of an engine that is hosted here. Returns
  // the reply, if there is one.
  std::optional<std::string> OnOriginMessage(std::string_view bytes);
  // Where demand for the engine goes in place of its agent.
  std::optional<Endpoint> LinkOf(const Endpoint& engine) const;

 private:
  struct Hosted {
    Endpoint engine;
    std::shared_ptr<EngineKeeper> keeper;
  };

  LinkServerCallbacks LinkCallbacks();
  void OnLinkDemand(std::uint64_t link, std::string_view bytes);
  void OnLinkEnd(std::uint64_t link, std::string_view bytes);
  void OnLinkQuotaAsk(std::uint64_t link, std::string_view bytes);
  // Of the engine that a link is for; null where none is hosted here.
  EngineKeeper* KeeperOf(std::uint64_t link);
  void Look(const std::string& engine);
  void ReadClaims(TimeMs now);
  void KeepLease(TimeMs now);
  void OpenLease(TimeMs now);
  void LeaveLease();
  void Claim(const std::string& engine);
  void Release(const std::string& engine);
  void Host(const HostClaim& claim);
  void DropLost();
  bool Listen();

  boost::asio::io_context& io_;
  HttpClient& http_;
  platform::StoreClient& store_;
  EventLog& log_;
  Options options_;
  Callbacks callbacks_;
  HostElection election_;
  StreamOriginHolder stream_origins_;
  LinkServer links_;
  std::map<std::string, Hosted> hosted_;              // By engine.
  std::map<std::uint64_t, std::string> link_engine_;  // Which engine a link is for.
  std::vector<ServiceSpec> services_;
  std::vector<UpstreamRecord> listing_;
  std::int64_t lease_ = 0;
  TimeMs lease_asked_at_ = 0;
  TimeMs claims_asked_at_ = 0;
  bool is_reading_claims_ = false;
  bool is_calling_lease_ = false;
  bool is_claiming_ = false;
  bool is_listening_ = false;
  bool is_stopped_ = false;
  // What the store calls after this object does nothing.
  std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_ENTRY_HOSTING_H_

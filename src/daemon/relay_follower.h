// An entry's client of the relay: chooses the agent that is asked for the list of upstreams and for
// what operators wrote, applies its replies, and makes the entry a planner when no relay answers.
#ifndef JUNCTIONRAIL_DAEMON_RELAY_FOLLOWER_H_
#define JUNCTIONRAIL_DAEMON_RELAY_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "junctionrail/listing.h"
#include "junctionrail/net.h"
#include "junctionrail/places.h"
#include "junctionrail/settings.h"
#include "platform.h"

namespace junctionrail::internal {

// The relay in use, for metrics.
struct RelayUse {
  std::string relay;  // The last one that answered; empty if none does.
  bool is_in_other_region = false;
  std::uint64_t replies_of_own_region = 0;
  std::uint64_t replies_of_other_regions = 0;
  std::uint64_t changes = 0;  // Of the relay; losing the only one counts too.
};

class RelayFollower {
 public:
  // What replies are applied to.
  struct Targets {
    Gateway& gateway;
    platform::ConfigurationFollower& configuration;
    platform::UpstreamFollower& upstreams;
  };
  // Sends to the agent of that instance; does nothing if it cannot be reached now.
  using Send = std::function<void(const std::string& instance, std::string bytes)>;

  RelayFollower(boost::asio::io_context& io, EventLog& log, const Settings& settings,
                Targets targets, Send send);

  void Start();
  void SetPeriod(DurationMs period_ms);
  // `source` is the instance whose agent sent the reply.
  void OnReply(const std::string& source, std::string_view bytes);
  // The relay that was asked last; empty: none.
  const std::string& relay() const { return client_.relay(); }
  const RelayUse& use() const { return use_; }

 private:
  void AskIfDue();
  void SetPlanner(bool is_planner, const std::string& relay);
  bool IsInOtherRegion(const std::string& instance) const;
  void SetInUse(const std::string& relay, bool is_in_other_region);

  EventLog& log_;
  Targets targets_;
  Send send_;
  Topology topology_;
  DurationMs period_ms_;
  RelayUse use_;
  RelayClient client_;
  TimeMs answered_at_ = MonotonicMs();  // Or the start.
  Timer timer_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_RELAY_FOLLOWER_H_

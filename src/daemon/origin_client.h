// An entry's part in knowing where streams began: reports the streams that begin here to their
// holders, and asks for the origins of those that callers resume here.
#ifndef JUNCTIONRAIL_DAEMON_ORIGIN_CLIENT_H_
#define JUNCTIONRAIL_DAEMON_ORIGIN_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/event_log.h"
#include "junctionrail/gateway.h"
#include "junctionrail/net.h"
#include "junctionrail/stream_origins.h"
#include "version_ledger.h"

namespace junctionrail::internal {

class OriginClient {
 public:
  struct Callbacks {
    // Whether a message can be sent to the agent of that instance.
    std::function<bool(const std::string& instance)> can_send;
    std::function<void(const std::string& instance, std::string bytes)> send;
  };

  OriginClient(boost::asio::io_context& io, EventLog& log, Gateway& gateway,
               std::shared_ptr<VersionLedger> ledger, Callbacks callbacks);

  void Start();
  // `source`: the instance whose agent sent it.
  void OnReply(const std::string& source, std::string_view bytes);
  // The link to that agent has closed: its replies do not come any more.
  void OnLinkClosed(const std::string& instance);

 private:
  // A question of the gateway, until it is answered.
  struct Question {
    UnknownStream unknown;
    std::set<std::string> asked;  // Instances whose replies are outstanding.
    std::shared_ptr<Timer> timer;
  };

  std::vector<std::string> HoldersOf(const std::string& stream, std::size_t n);
  void Report(const BegunStream& begun);
  void SendReports();
  void Ask(const UnknownStream& unknown);
  void OnNotHeld(std::uint64_t ticket, const std::string& instance);
  void InferFromLedger(const UnknownStream& unknown);
  void InferVersion(std::uint64_t ticket, const std::string& service);
  void Answer(std::uint64_t ticket, const std::optional<StreamOrigin>& origin,
              std::string_view source);

  boost::asio::io_context& io_;
  EventLog& log_;
  Gateway& gateway_;
  std::shared_ptr<VersionLedger> ledger_;
  Callbacks callbacks_;
  Timer report_timer_;
  std::map<std::string, OriginReport> reports_;  // By the holder's instance.
  TimeMs reports_due_at_ = 0;                    // 0: there are none.
  std::map<std::uint64_t, Question> questions_;  // By ticket.
  std::vector<OriginHolderSite> candidates_;
  TimeMs candidates_as_of_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_ORIGIN_CLIENT_H_

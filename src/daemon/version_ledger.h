// The software versions of each service that may lately have begun streams, as recorded in the
// platform's store: what outlives all processes that knew where a stream began. With a single
// version recorded, any stream of the service began there. The services that each route lately led
// to are recorded likewise, as a stream of the route may have begun at an earlier one.
#ifndef JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_
#define JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/event_log.h"
#include "junctionrail/listing.h"
#include "junctionrail/net.h"
#include "junctionrail/stream_origins.h"
#include "platform.h"

namespace junctionrail::internal {

class VersionLedger : public std::enable_shared_from_this<VersionLedger> {
 public:
  using Versions = std::set<std::string>;
  using Services = std::set<std::string>;
  // Recorded among the names while others may be missing there: no origin follows from them.
  static constexpr char kUnknownName[] = "(unknown)";
  // A name stays recorded for so long after it was last listed: a stream may be resumed within
  // the lifetime of its origin, and upstreams serve for some seconds after their records have gone.
  static constexpr DurationMs kRetentionMs = StreamOriginLimits().ttl_ms + 30000;

  // What is recorded: versions of a service, or services of a route. nullopt: the store did not
  // answer.
  using Names = std::set<std::string>;
  using Done = std::function<void(const std::optional<Names>& names)>;

  // `entry` spreads the writes of several entries over a short time.
  VersionLedger(boost::asio::io_context& io, platform::StoreClient& store, EventLog& log,
                std::string entry, DurationMs retention_ms = kRetentionMs);

  // Records the versions that these upstreams of services with resumable streams run.
  void SetListing(const std::vector<UpstreamRecord>& records,
                  const std::set<std::string>& services);
  // Records the services that each of these routes leads to.
  void SetRouteServices(const std::map<std::string, Services>& services_by_route);
  // The store may have lost what was recorded.
  void OnNewEra();
  // Reads what is recorded of the service, by a call that begins now or later.
  void Read(const std::string& service, Done done);
  void ReadRouteServices(const std::string& route, Done done);

 private:
  // The names below one key of the store.
  struct Record {
    // When a listing first lacked a name; nullopt: the last listing has it.
    std::map<std::string, std::optional<TimeMs>> missing_since;
    Names recorded;  // As far as this process knows.
    bool is_writing = false;
    std::vector<Done> waiting;       // For the reading that is under way.
    std::vector<Done> waiting_next;  // For the one after it.
  };

  // Names that are listed now, by key; all other keys with the prefix have none.
  void ApplyListing(std::string_view prefix, std::map<std::string, Names> listed);
  void ApplyListed(const Names& listed, TimeMs now, Record* record) const;
  bool IsExpired(const std::optional<TimeMs>& missing_since, TimeMs now) const;
  bool NeedsWrite(const Record& record, TimeMs now) const;
  Names Expected(const Record& record, TimeMs now) const;
  void ScheduleWrite(const std::string& key, DurationMs delay);
  void Write(const std::string& key);
  void OnWritten(const std::string& key, const Names& names, platform::CommitOutcome outcome);
  void ReadRecord(const std::string& key, Done done);
  void BeginReading(const std::string& key);

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  EventLog& log_;
  std::string entry_;
  DurationMs retention_ms_;
  std::map<std::string, Record> records_;  // By key.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_

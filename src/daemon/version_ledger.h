// The software versions of each service that may lately have begun streams, as recorded in the
// platform's store: what outlives all processes that knew where a stream began. With a single
// version recorded, any stream of the service began there.
#ifndef JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_
#define JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
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
  // Recorded among the versions while others may be missing there: no origin follows from them.
  static constexpr char kUnknownVersion[] = "(unknown)";
  // A version stays recorded for so long after it was last listed: a stream may be resumed within
  // the lifetime of its origin, and upstreams serve for some seconds after their records have gone.
  static constexpr DurationMs kRetentionMs = StreamOriginLimits().ttl_ms + 30000;

  // nullopt: the store did not answer.
  using Done = std::function<void(const std::optional<Versions>& versions)>;

  // `entry` spreads the writes of several entries over a short time.
  VersionLedger(boost::asio::io_context& io, platform::StoreClient& store, EventLog& log,
                std::string entry, DurationMs retention_ms = kRetentionMs);

  // Records the versions that these upstreams of services with resumable streams run.
  void SetListing(const std::vector<UpstreamRecord>& records,
                  const std::set<std::string>& services);
  // The store may have lost what was recorded.
  void OnNewEra();
  // Reads what is recorded of the service, by a call that begins now or later.
  void Read(const std::string& service, Done done);

 private:
  struct Service {
    // When a listing first lacked a version; nullopt: the last listing has it.
    std::map<std::string, std::optional<TimeMs>> missing_since;
    Versions recorded;  // As far as this process knows.
    bool is_writing = false;
    std::vector<Done> waiting;       // For the reading that is under way.
    std::vector<Done> waiting_next;  // For the one after it.
  };

  void ApplyListed(const Versions& listed, TimeMs now, Service* service) const;
  bool IsExpired(const std::optional<TimeMs>& missing_since, TimeMs now) const;
  bool NeedsWrite(const Service& service, TimeMs now) const;
  Versions Expected(const Service& service, TimeMs now) const;
  void ScheduleWrite(const std::string& name, DurationMs delay);
  void Write(const std::string& name);
  void OnWritten(const std::string& name, const Versions& versions,
                 platform::CommitOutcome outcome);
  void BeginReading(const std::string& name);

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  EventLog& log_;
  std::string entry_;
  DurationMs retention_ms_;
  std::map<std::string, Service> services_;  // By name.
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_VERSION_LEDGER_H_

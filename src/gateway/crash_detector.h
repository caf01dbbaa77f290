// Detects that an upstream has ended and which requests of this entry had just begun there. A
// broken connection alone is no proof: a check of the upstream's port, or later data from the
// upstream or other processes, decides.
#ifndef JUNCTIONRAIL_GATEWAY_CRASH_DETECTOR_H_
#define JUNCTIONRAIL_GATEWAY_CRASH_DETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "junctionrail/net.h"
#include "junctionrail/quarantine.h"

namespace junctionrail::internal {

class Exchange;

class CrashDetector {
 public:
  // Called when an upstream has ended, with the kind of evidence. The suspects are those of this
  // entry; `age_ms` of the crash is the time since the upstream ended.
  using CrashCallback = std::function<void(const UpstreamCrash& crash, std::string_view evidence)>;

  CrashDetector(boost::asio::io_context& io, QuarantineTable& quarantine, CrashCallback on_crash)
      : io_(io), quarantine_(quarantine), on_crash_(std::move(on_crash)) {}

  // Registers and removes an attempt of the exchange in flight at the upstream.
  void OnAttemptBegun(const std::string& instance, Exchange* exchange);
  void OnAttemptOver(const std::string& instance, Exchange* exchange);

  // The connection of an attempt, established at `connected_at`, broke. The upstream is listed, and
  // the attempt is still registered.
  void OnConnectionBroken(const std::string& instance, const Endpoint& endpoint,
                          TimeMs connected_at, TimeMs now);
  // The upstream sent data.
  void OnDataReceived(const std::string& instance, TimeMs now);
  // The upstream has ended, by other evidence, or is leaving as planned.
  void OnUpstreamCrashed(const std::string& instance, std::string_view evidence, TimeMs now);
  void OnUpstreamLeaving(const std::string& instance);
  // Another process saw the upstream end: attempts of this entry in flight there are suspects too.
  void OnCrashReported(const UpstreamCrash& crash, TimeMs now);
  void Expire(TimeMs now);

 private:
  struct PendingCrash {
    std::string name;  // Identifies the crash; see QuarantineTable::CrashName.
    TimeMs since = 0;
    UpstreamCrash crash;
  };
  // Ports found open are not checked again at once, so that an upstream that breaks off some of
  // its responses is not checked for each of them.
  struct OpenPort {
    TimeMs next_check_at = 0;
    DurationMs pause_ms = 0;
  };

  // The attempts of this entry that may have caused the crash of that name.
  UpstreamCrash CollectSuspects(const std::string& instance, const std::string& name,
                                TimeMs now) const;
  // Withdraws the pending end, as the upstream has not ended or is leaving. Returns the next one.
  std::map<std::string, PendingCrash>::iterator DiscardPendingCrash(
      std::map<std::string, PendingCrash>::iterator it);
  void CheckPort(const std::string& instance, const Endpoint& endpoint);
  void OnPortChecked(const std::string& instance, PortState state);

  boost::asio::io_context& io_;
  QuarantineTable& quarantine_;
  CrashCallback on_crash_;
  std::map<std::string, std::set<Exchange*>> attempts_;  // By instance.
  std::map<std::string, PendingCrash> pending_crashes_;  // By instance.
  std::map<std::string, OpenPort> open_ports_;
  // Lets a port check that completes after the destruction of this object do nothing.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_CRASH_DETECTOR_H_

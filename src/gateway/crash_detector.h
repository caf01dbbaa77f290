// Notices that an upstream has ended and which requests of this entry had just
// begun there. One broken connection may be no more than that: whether a process still
// listens at the upstream's port, or what is heard of it later, tells.
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
  // `ended`: an upstream has ended, by which evidence, and so long ago; the suspects are those of
  // this entry.
  using EndCallback = std::function<void(const UpstreamCrash& end, std::string_view evidence)>;

  CrashDetector(boost::asio::io_context& io, QuarantineTable& quarantine, EndCallback ended)
      : io_(io), quarantine_(quarantine), on_end_(std::move(ended)) {}

  // The exchange has an attempt under way at the upstream, until it is over.
  void OnAttemptBegun(const std::string& instance, Exchange* exchange);
  void OnAttemptOver(const std::string& instance, Exchange* exchange);

  // An attempt that began at `begun_at` at an upstream that is listed broke off; it is still
  // under way here.
  void OnConnectionBroken(const std::string& instance, const Endpoint& endpoint, TimeMs begun_at,
                          TimeMs now);
  // The upstream sent something.
  void OnDataReceived(const std::string& instance, TimeMs now);
  // It is known by other means to have ended, or to end as planned.
  void OnUpstreamEnded(const std::string& instance, std::string_view evidence, TimeMs now);
  void OnUpstreamLeaving(const std::string& instance);
  // Another process saw it end: what this entry had under way there counts.
  void OnEndReported(const UpstreamCrash& end, TimeMs now);
  void Expire(TimeMs now);

 private:
  struct PendingEnd {
    std::string name;  // Of the end; see QuarantineTable::CrashName.
    TimeMs since = 0;
    UpstreamCrash end;
  };
  // Ports found open, so that an upstream which breaks off some of its answers is not
  // looked at for each.
  struct OpenPort {
    TimeMs next_check_at = 0;
    DurationMs pause_ms = 0;
  };

  // What of this entry an end of that name may have been under.
  UpstreamCrash CollectSuspects(const std::string& instance, const std::string& name,
                                TimeMs now) const;
  // The upstream has not ended.
  std::map<std::string, PendingEnd>::iterator DiscardPendingEnd(
      std::map<std::string, PendingEnd>::iterator it);
  void CheckPort(const std::string& instance, const Endpoint& endpoint);
  void OnPortChecked(const std::string& instance, PortState state);

  boost::asio::io_context& io_;
  QuarantineTable& quarantine_;
  EndCallback on_end_;
  std::map<std::string, std::set<Exchange*>> attempts_;  // By instance.
  std::map<std::string, PendingEnd> pending_ends_;       // By instance.
  std::map<std::string, OpenPort> open_ports_;
  // A look that ends after this object does nothing.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_CRASH_DETECTOR_H_

// Notices that an upstream has ended and which requests of this entry had just
// begun there. One broken connection may be no more than that: whether a process still
// listens at the upstream's port, or what is heard of it later, tells.
#ifndef JUNCTIONRAIL_GATEWAY_CRASH_WATCH_H_
#define JUNCTIONRAIL_GATEWAY_CRASH_WATCH_H_

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

class CrashWatch {
 public:
  // `ended`: an upstream has ended, by which evidence, and so long ago; the suspects are those of
  // this entry.
  using Ended = std::function<void(const UpstreamCrash& end, std::string_view evidence)>;

  CrashWatch(boost::asio::io_context& io, QuarantineTable& quarantine, Ended ended)
      : io_(io), quarantine_(quarantine), ended_(std::move(ended)) {}

  // The exchange has an attempt under way at the upstream, until it is over.
  void Begin(const std::string& instance, Exchange* exchange);
  void Over(const std::string& instance, Exchange* exchange);

  // An attempt that began at `begun_at` at an upstream that is listed broke off; it is still
  // under way here.
  void OnBroken(const std::string& instance, const Endpoint& endpoint, TimeMs begun_at, TimeMs now);
  // The upstream sent something.
  void OnHeard(const std::string& instance, TimeMs now);
  // It is known by other means to have ended, or to end as planned.
  void OnEnded(const std::string& instance, std::string_view evidence, TimeMs now);
  void OnLeaving(const std::string& instance);
  // Another process saw it end: what this entry had under way there counts.
  void OnToldOf(const UpstreamCrash& end, TimeMs now);
  void Expire(TimeMs now);

 private:
  struct Case {
    std::string name;  // Of the end; see QuarantineTable::CrashName.
    TimeMs since = 0;
    UpstreamCrash end;
  };
  // Ports found open, so that an upstream which breaks off some of its answers is not
  // looked at for each.
  struct Open {
    TimeMs until = 0;
    DurationMs pause_ms = 0;
  };

  // What of this entry an end of that name may have been under.
  UpstreamCrash Collect(const std::string& instance, const std::string& name, TimeMs now) const;
  // The upstream has not ended.
  std::map<std::string, Case>::iterator Drop(std::map<std::string, Case>::iterator it);
  void Look(const std::string& instance, const Endpoint& endpoint);
  void OnLook(const std::string& instance, PortState state);

  boost::asio::io_context& io_;
  QuarantineTable& quarantine_;
  Ended ended_;
  std::map<std::string, std::set<Exchange*>> under_way_;  // By instance.
  std::map<std::string, Case> cases_;                     // By instance.
  std::map<std::string, Open> open_;
  // A look that ends after this object does nothing.
  std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_CRASH_WATCH_H_

#include "crash_detector.h"

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace junctionrail::internal {
namespace {

// Within a region a port responds within a few milliseconds; a lost packet costs a second.
constexpr DurationMs kPortCheckTimeoutMs = 400;
// Data read this long after the first connection broke was sent after the break: the connections
// of an ended upstream broke within 4 ms of each other in 17 recorded cases.
constexpr DurationMs kSentAfterBreakMs = 100;
// By then the upstream list has shown whether the upstream ended: its record expires after three
// write periods, 3.6 s.
constexpr DurationMs kPendingCrashMs = 5000;
// The interval between port checks of one upstream grows to a second, so that one that breaks off
// some of its responses is not checked for each. An end within the interval is learned from other
// entries or from the upstream's record.
constexpr DurationMs kMinCheckIntervalMs = 250;
constexpr DurationMs kMaxCheckIntervalMs = 1000;

}  // namespace

void CrashDetector::OnAttemptBegun(const std::string& instance, Exchange* exchange) {
  attempts_[instance].insert(exchange);
}

void CrashDetector::OnAttemptOver(const std::string& instance, Exchange* exchange) {
  const auto it = attempts_.find(instance);
  if (it == attempts_.end()) return;
  it->second.erase(exchange);
  if (it->second.empty()) attempts_.erase(it);
}

UpstreamCrash CrashDetector::CollectSuspects(const std::string& instance, const std::string& name,
                                             TimeMs now) const {
  UpstreamCrash crash;
  crash.instance = name;
  const auto it = attempts_.find(instance);
  if (it == attempts_.end()) return crash;
  for (Exchange* exchange : it->second) {
    const Attempt& attempt = exchange->AttemptAt(instance);
    if (quarantine_.CrashName(instance, attempt.connected_at) != name) continue;
    const auto suspect = exchange->AsSuspect(attempt, now);
    if (suspect) crash.suspects.push_back(*suspect);
  }
  return crash;
}

// A restarted upstream is sent requests under its old instance until its new record is read, and
// may end again before that; CrashName tells the two ends apart. The process that an attempt ran on
// is the one that accepted its connection: a connection from before a crash may break long after
// it.
void CrashDetector::OnConnectionBroken(const std::string& instance, const Endpoint& endpoint,
                                       TimeMs connected_at, TimeMs now) {
  const std::string name = quarantine_.CrashName(instance, connected_at);
  if (pending_crashes_.count(instance) > 0 || quarantine_.IsKnown(name)) return;
  const auto open = open_ports_.find(instance);
  if (open != open_ports_.end() && now < open->second.next_check_at) return;
  UpstreamCrash crash = CollectSuspects(instance, name, now);
  if (crash.suspects.empty()) return;
  quarantine_.AddPending(crash, now);
  pending_crashes_.emplace(instance, PendingCrash{name, now, std::move(crash)});
  CheckPort(instance, endpoint);
}

void CrashDetector::CheckPort(const std::string& instance, const Endpoint& endpoint) {
  LookAtPort(io_, endpoint, kPortCheckTimeoutMs,
             [this, instance, life = std::weak_ptr<bool>(lifetime_)](PortState state) {
               if (!life.expired()) OnPortChecked(instance, state);
             });
}

// An open port proves nothing: if this check was slow, it may belong to the next instance.
void CrashDetector::OnPortChecked(const std::string& instance, PortState state) {
  const TimeMs now = MonotonicMs();
  if (state == PortState::kRefused) return OnUpstreamCrashed(instance, "port_closed", now);
  if (state == PortState::kSilent) return;
  OpenPort& open = open_ports_[instance];
  open.pause_ms = std::clamp(2 * open.pause_ms, kMinCheckIntervalMs, kMaxCheckIntervalMs);
  open.next_check_at = now + open.pause_ms;
}

void CrashDetector::OnDataReceived(const std::string& instance, TimeMs now) {
  if (pending_crashes_.empty()) return;
  const auto it = pending_crashes_.find(instance);
  if (it == pending_crashes_.end() || now - it->second.since < kSentAfterBreakMs) return;
  DiscardPendingCrash(it);
}

void CrashDetector::OnUpstreamLeaving(const std::string& instance) {
  const auto it = pending_crashes_.find(instance);
  if (it != pending_crashes_.end()) DiscardPendingCrash(it);
}

std::map<std::string, CrashDetector::PendingCrash>::iterator CrashDetector::DiscardPendingCrash(
    std::map<std::string, PendingCrash>::iterator it) {
  quarantine_.Withdraw(it->second.name);
  return pending_crashes_.erase(it);
}

void CrashDetector::OnUpstreamCrashed(const std::string& instance, std::string_view evidence,
                                      TimeMs now) {
  const auto it = pending_crashes_.find(instance);
  if (it == pending_crashes_.end()) return;
  UpstreamCrash crash = std::move(it->second.crash);
  crash.age_ms = now - it->second.since;
  pending_crashes_.erase(it);
  on_crash_(crash, evidence);
}

void CrashDetector::OnCrashReported(const UpstreamCrash& report, TimeMs now) {
  const std::string instance = QuarantineTable::InstanceOfCrash(report.instance);
  const auto it = pending_crashes_.find(instance);
  if (it != pending_crashes_.end() && it->second.name == report.instance) {
    return OnUpstreamCrashed(instance, "told", now);
  }
  // Its connections from here have not broken yet, or never will because of a network partition.
  UpstreamCrash crash = CollectSuspects(instance, report.instance, now);
  const bool is_known = quarantine_.IsKnown(report.instance);
  if (crash.suspects.empty() || is_known) return;
  crash.age_ms = report.age_ms;
  on_crash_(crash, "told");
}

void CrashDetector::Expire(TimeMs now) {
  for (auto it = pending_crashes_.begin(); it != pending_crashes_.end();) {
    const bool is_over = now - it->second.since >= kPendingCrashMs;
    it = is_over ? DiscardPendingCrash(it) : std::next(it);
  }
  for (auto it = open_ports_.begin(); it != open_ports_.end();) {
    it = now - it->second.next_check_at >= kMaxCheckIntervalMs ? open_ports_.erase(it)
                                                               : std::next(it);
  }
}

}  // namespace junctionrail::internal

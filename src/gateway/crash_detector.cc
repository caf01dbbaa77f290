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
constexpr DurationMs kPendingEndMs = 5000;
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

UpstreamEnd CrashDetector::CollectSuspects(const std::string& instance, const std::string& name,
                                           TimeMs now) const {
  UpstreamEnd end;
  end.instance = name;
  const auto it = attempts_.find(instance);
  if (it == attempts_.end()) return end;
  for (Exchange* exchange : it->second) {
    if (quarantine_.NameOfEnd(instance, exchange->attempt_started_at()) != name) continue;
    const auto suspect = exchange->AsSuspect(now);
    if (suspect) end.suspects.push_back(*suspect);
  }
  return end;
}

// A restarted upstream is sent requests under its old instance until its new record is read, and
// may end again before that; NameOfEnd tells the two ends apart.
void CrashDetector::OnConnectionBroken(const std::string& instance, const Endpoint& endpoint,
                                       TimeMs begun_at, TimeMs now) {
  const std::string name = quarantine_.NameOfEnd(instance, begun_at);
  if (pending_ends_.count(instance) > 0 || quarantine_.IsKnown(name)) return;
  const auto open = open_ports_.find(instance);
  if (open != open_ports_.end() && now < open->second.next_check_at) return;
  UpstreamEnd end = CollectSuspects(instance, name, now);
  if (end.suspects.empty()) return;
  quarantine_.AddPending(end, now);
  pending_ends_.emplace(instance, PendingEnd{name, now, std::move(end)});
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
  if (state == PortState::kRefused) return OnUpstreamEnded(instance, "port_closed", now);
  if (state == PortState::kSilent) return;
  OpenPort& open = open_ports_[instance];
  open.pause_ms = std::clamp(2 * open.pause_ms, kMinCheckIntervalMs, kMaxCheckIntervalMs);
  open.next_check_at = now + open.pause_ms;
}

void CrashDetector::OnDataReceived(const std::string& instance, TimeMs now) {
  if (pending_ends_.empty()) return;
  const auto it = pending_ends_.find(instance);
  if (it == pending_ends_.end() || now - it->second.since < kSentAfterBreakMs) return;
  DiscardPendingEnd(it);
}

void CrashDetector::OnUpstreamLeaving(const std::string& instance) {
  const auto it = pending_ends_.find(instance);
  if (it != pending_ends_.end()) DiscardPendingEnd(it);
}

std::map<std::string, CrashDetector::PendingEnd>::iterator CrashDetector::DiscardPendingEnd(
    std::map<std::string, PendingEnd>::iterator it) {
  quarantine_.Withdraw(it->second.name);
  return pending_ends_.erase(it);
}

void CrashDetector::OnUpstreamEnded(const std::string& instance, std::string_view evidence,
                                    TimeMs now) {
  const auto it = pending_ends_.find(instance);
  if (it == pending_ends_.end()) return;
  UpstreamEnd end = std::move(it->second.end);
  end.age_ms = now - it->second.since;
  pending_ends_.erase(it);
  on_end_(end, evidence);
}

void CrashDetector::OnEndReported(const UpstreamEnd& told, TimeMs now) {
  const std::string instance = QuarantineTable::InstanceOfEnd(told.instance);
  const auto it = pending_ends_.find(instance);
  if (it != pending_ends_.end() && it->second.name == told.instance) {
    return OnUpstreamEnded(instance, "told", now);
  }
  // Its connections from here have not broken yet, or never will because of a network partition.
  UpstreamEnd end = CollectSuspects(instance, told.instance, now);
  const bool is_known = quarantine_.IsKnown(told.instance);
  if (end.suspects.empty() || is_known) return;
  end.age_ms = told.age_ms;
  on_end_(end, "told");
}

void CrashDetector::Expire(TimeMs now) {
  for (auto it = pending_ends_.begin(); it != pending_ends_.end();) {
    const bool is_over = now - it->second.since >= kPendingEndMs;
    it = is_over ? DiscardPendingEnd(it) : std::next(it);
  }
  for (auto it = open_ports_.begin(); it != open_ports_.end();) {
    it = now - it->second.next_check_at >= kMaxCheckIntervalMs ? open_ports_.erase(it)
                                                               : std::next(it);
  }
}

}  // namespace junctionrail::internal

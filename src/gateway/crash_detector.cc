#include "crash_detector.h"

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace junctionrail::internal {
namespace {

// Within a region a port answers within some ms; a lost packet costs a second.
constexpr DurationMs kPortCheckTimeoutMs = 400;
// What was read so long after the first connection broke was sent after it: connections
// of one upstream that ended broke within 4 ms, over 17 recorded ends.
constexpr DurationMs kSentAfterBreakMs = 100;
// By then the list of upstreams has shown whether it has ended: a record lapses after
// three periods of writing, 3.6 s.
constexpr DurationMs kPendingEndMs = 5000;
// An upstream that breaks off some of its answers is looked at once a second; one that ends
// within that time is known by other entries' word or by its record.
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
  UpstreamCrash end;
  end.instance = name;
  const auto it = attempts_.find(instance);
  if (it == attempts_.end()) return end;
  for (Exchange* exchange : it->second) {
    if (quarantine_.CrashName(instance, exchange->attempt_started_at()) != name) continue;
    const auto suspect = exchange->AsSuspect(now);
    if (suspect) end.suspects.push_back(*suspect);
  }
  return end;
}

// An upstream that starts again is sent to before its new record is read, under its old
// instance; that start may end too.
void CrashDetector::OnConnectionBroken(const std::string& instance, const Endpoint& endpoint,
                                       TimeMs begun_at, TimeMs now) {
  const std::string name = quarantine_.CrashName(instance, begun_at);
  if (pending_ends_.count(instance) > 0 || quarantine_.IsKnown(name)) return;
  const auto open = open_ports_.find(instance);
  if (open != open_ports_.end() && now < open->second.next_check_at) return;
  UpstreamCrash end = CollectSuspects(instance, name, now);
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

// An open port may be that of the next instance, where this process was slow to look.
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
  UpstreamCrash end = std::move(it->second.end);
  end.age_ms = now - it->second.since;
  pending_ends_.erase(it);
  on_end_(end, evidence);
}

void CrashDetector::OnEndReported(const UpstreamCrash& told, TimeMs now) {
  const std::string instance = QuarantineTable::InstanceOfCrash(told.instance);
  const auto it = pending_ends_.find(instance);
  if (it != pending_ends_.end() && it->second.name == told.instance) {
    return OnUpstreamEnded(instance, "told", now);
  }
  // Its connections here have not broken yet, or never will, behind a cut.
  UpstreamCrash end = CollectSuspects(instance, told.instance, now);
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

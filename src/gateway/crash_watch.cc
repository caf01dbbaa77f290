#include "crash_watch.h"

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace junctionrail::internal {
namespace {

// Within a region a port answers within some ms; a lost packet costs a second.
constexpr DurationMs kLookMs = 400;
// What was read so long after the first connection broke was sent after it: connections
// of one upstream that ended broke within 4 ms, over 17 recorded ends.
constexpr DurationMs kHeardAfterMs = 100;
// By then the list of upstreams has shown whether it has ended: a record lapses after
// three periods of writing, 3.6 s.
constexpr DurationMs kUndecidedMs = 5000;
// An upstream that breaks off some of its answers is looked at once a second; one that ends
// within that time is known by other entries' word or by its record.
constexpr DurationMs kFirstPauseMs = 250;
constexpr DurationMs kLongestPauseMs = 1000;

}  // namespace

void CrashWatch::Begin(const std::string& instance, Exchange* exchange) {
  under_way_[instance].insert(exchange);
}

void CrashWatch::Over(const std::string& instance, Exchange* exchange) {
  const auto it = under_way_.find(instance);
  if (it == under_way_.end()) return;
  it->second.erase(exchange);
  if (it->second.empty()) under_way_.erase(it);
}

UpstreamCrash CrashWatch::Collect(const std::string& instance, const std::string& name,
                                  TimeMs now) const {
  UpstreamCrash end;
  end.instance = name;
  const auto it = under_way_.find(instance);
  if (it == under_way_.end()) return end;
  for (Exchange* exchange : it->second) {
    if (quarantine_.CrashName(instance, exchange->attempt_at()) != name) continue;
    const auto suspect = exchange->AsSuspect(now);
    if (suspect) end.suspects.push_back(*suspect);
  }
  return end;
}

// An upstream that starts again is sent to before its new record is read, under its old
// instance; that start may end too.
void CrashWatch::OnBroken(const std::string& instance, const Endpoint& endpoint, TimeMs begun_at,
                          TimeMs now) {
  const std::string name = quarantine_.CrashName(instance, begun_at);
  if (cases_.count(instance) > 0 || quarantine_.IsKnown(name)) return;
  const auto open = open_.find(instance);
  if (open != open_.end() && now < open->second.until) return;
  UpstreamCrash end = Collect(instance, name, now);
  if (end.suspects.empty()) return;
  quarantine_.AddPending(end, now);
  cases_.emplace(instance, Case{name, now, std::move(end)});
  Look(instance, endpoint);
}

void CrashWatch::Look(const std::string& instance, const Endpoint& endpoint) {
  LookAtPort(io_, endpoint, kLookMs,
             [this, instance, life = std::weak_ptr<bool>(life_)](PortState state) {
               if (!life.expired()) OnLook(instance, state);
             });
}

// An open port may be that of the next instance, where this process was slow to look.
void CrashWatch::OnLook(const std::string& instance, PortState state) {
  const TimeMs now = MonotonicMs();
  if (state == PortState::kRefused) return OnEnded(instance, "port_closed", now);
  if (state == PortState::kSilent) return;
  Open& open = open_[instance];
  open.pause_ms = std::clamp(2 * open.pause_ms, kFirstPauseMs, kLongestPauseMs);
  open.until = now + open.pause_ms;
}

void CrashWatch::OnHeard(const std::string& instance, TimeMs now) {
  if (cases_.empty()) return;
  const auto it = cases_.find(instance);
  if (it == cases_.end() || now - it->second.since < kHeardAfterMs) return;
  Drop(it);
}

void CrashWatch::OnLeaving(const std::string& instance) {
  const auto it = cases_.find(instance);
  if (it != cases_.end()) Drop(it);
}

std::map<std::string, CrashWatch::Case>::iterator CrashWatch::Drop(
    std::map<std::string, Case>::iterator it) {
  quarantine_.Withdraw(it->second.name);
  return cases_.erase(it);
}

void CrashWatch::OnEnded(const std::string& instance, std::string_view evidence, TimeMs now) {
  const auto it = cases_.find(instance);
  if (it == cases_.end()) return;
  UpstreamCrash end = std::move(it->second.end);
  end.age_ms = now - it->second.since;
  cases_.erase(it);
  ended_(end, evidence);
}

void CrashWatch::OnToldOf(const UpstreamCrash& told, TimeMs now) {
  const std::string instance = QuarantineTable::InstanceOfCrash(told.instance);
  const auto it = cases_.find(instance);
  if (it != cases_.end() && it->second.name == told.instance) {
    return OnEnded(instance, "told", now);
  }
  // Its connections here have not broken yet, or never will, behind a cut.
  UpstreamCrash end = Collect(instance, told.instance, now);
  const bool is_known = quarantine_.IsKnown(told.instance);
  if (end.suspects.empty() || is_known) return;
  end.age_ms = told.age_ms;
  ended_(end, "told");
}

void CrashWatch::Expire(TimeMs now) {
  for (auto it = cases_.begin(); it != cases_.end();) {
    const bool is_over = now - it->second.since >= kUndecidedMs;
    it = is_over ? Drop(it) : std::next(it);
  }
  for (auto it = open_.begin(); it != open_.end();) {
    it = now - it->second.until >= kLongestPauseMs ? open_.erase(it) : std::next(it);
  }
}

}  // namespace junctionrail::internal

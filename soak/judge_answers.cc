// The promise that planned work costs no caller a request: one that an entry has taken is answered
// or refused.
#include <algorithm>

#include "judge.h"

namespace junctionrail::soak {
namespace {

// A request that was sent this shortly before its connection ended may have crossed the close.
constexpr DurationMs kCrossingMs = 200;
// Connections end with the process of a stopped entry, a little after the grace time.
constexpr DurationMs kAfterGraceMs = 1000;
// A request that an upstream was still at work on in the last part of the grace time may be cut.
constexpr DurationMs kLastOfGraceMs = kGraceMs / 6;
// That holds for requests which were sent by then: a stopping entry knows what it can complete.
constexpr DurationMs kSentByMs = kGraceMs * 3 / 8;
// Bound on applying changed settings, and a configuration with the drains that follow it.
constexpr DurationMs kReloadMs = 2000;
constexpr DurationMs kConfigureMs = 3000;
// What a fault leaves behind may end a request that is sent afterwards.
constexpr DurationMs kAfterFaultMs = 3000;

}  // namespace

void Judge::OnConfiguration() { configured_at_ = clock_(); }
void Judge::OnStop(int entry) { stopped_at_[entry] = clock_(); }
void Judge::OnReload(int entry) { reloaded_at_[entry] = clock_(); }
void Judge::OnEntryPaused(int entry) { entry_paused_[entry] = clock_(); }
void Judge::OnEntryHarmed(int entry) {
  entry_harmed_[entry] = clock_();
  OnEntryTroubled(entry);
}

void Judge::OnDone(const std::string& request, const std::string& instance, TimeMs at) {
  for (Attempt& it : attempts_[request]) {
    if (it.instance == instance && it.done_at == 0) it.done_at = at;
  }
}

bool Judge::IsBesidePlannedWork(int entry, TimeMs sent_at) const {
  const TimeMs now = clock_();
  const bool is_stop = now <= TimeOf(stopped_at_, entry) + kGraceMs + kAfterGraceMs;
  const TimeMs reloaded_at = TimeOf(reloaded_at_, entry);
  const bool is_reload = now >= reloaded_at && sent_at <= reloaded_at + kReloadMs;
  return is_stop || is_reload || now <= configured_at_ + kConfigureMs;
}

// The way to any upstream may hold up a request that none has seen.
bool Judge::WasHarmed(const std::string& request) const {
  const Sent& sent = sent_.at(request);
  TimeMs harmed_at = TimeOf(entry_harmed_, sent.entry);
  const auto attempts = attempts_.find(request);
  if (attempts == attempts_.end()) {
    for (const auto& [instance, hall] : halls_) {
      harmed_at = std::max(harmed_at, WayTroubledAt(sent.entry, instance));
    }
  } else {
    for (const Attempt& it : attempts->second) {
      harmed_at = std::max(
          {harmed_at, WayTroubledAt(sent.entry, it.instance), TimeOf(harmed_, it.instance)});
    }
  }
  return harmed_at >= sent.at - kAfterFaultMs || busy_at_ >= sent.at;
}

bool Judge::IsCutOffAtWork(const std::string& request) const {
  const Sent& sent = sent_.at(request);
  const TimeMs stopped_at = TimeOf(stopped_at_, sent.entry);
  const TimeMs last_part_at = stopped_at + kGraceMs - kLastOfGraceMs;
  const auto attempts = attempts_.find(request);
  const bool ends_in_stop = stopped_at != 0 && clock_() >= last_part_at;
  if (!ends_in_stop || attempts == attempts_.end()) return false;
  return sent.at <= stopped_at + kSentByMs &&
         std::any_of(attempts->second.begin(), attempts->second.end(), [&](const Attempt& it) {
           return it.done_at == 0 || it.done_at >= last_part_at;
         });
}

// A pause excuses only what the entry had no time to read, or to finish as it took up grace time.
bool Judge::WasPausedUnread(const std::string& request, Ending ending) const {
  const Sent& sent = sent_.at(request);
  const TimeMs paused_at = TimeOf(entry_paused_, sent.entry);
  const TimeMs stopped_at = TimeOf(stopped_at_, sent.entry);
  const bool is_unread = ending == Ending::kReset && attempts_.count(request) == 0;
  const bool took_grace = stopped_at != 0 && paused_at > stopped_at;
  return paused_at >= sent.at - kAfterFaultMs && (is_unread || took_grace);
}

void Judge::OnUnanswered(const std::string& request, Ending ending) {
  const Sent& sent = sent_.at(request);
  const TimeMs now = clock_();
  const DurationMs age = now - sent.at;
  const bool was_passed_on = attempts_.count(request) > 0;
  if (!IsBesidePlannedWork(sent.entry, sent.at)) return;
  ++checked_.unanswered;
  if ((!was_passed_on && age <= kCrossingMs) || age >= kLeastTimeoutMs) return;
  if (WasHarmed(request) || IsCutOffAtWork(request) || WasPausedUnread(request, ending)) return;
  Complain(
      "request " + request + " was lost: entry " + std::to_string(sent.entry) +
      (ending == Ending::kReset ? " reset" : " closed") + " its connection " + std::to_string(age) +
      " ms after it was sent, " +
      (was_passed_on ? "passed on to " + attempts_.at(request).back().instance : "not passed on"));
}

}  // namespace junctionrail::soak

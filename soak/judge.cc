#include "judge.h"

#include <algorithm>
#include <utility>

namespace junctionrail::soak {
namespace {

// An upstream that leaves gets nothing new after the entries' `leaving_ms`; what is on
// its way then is let pass.
constexpr DurationMs kLeavingMs = 2000;
constexpr DurationMs kOnItsWayMs = 500;
// A request that has ended three engines, or requests with a prompt part that has ended five, reach
// others three times more at most.
constexpr int kEndsToKnow = 3;
constexpr int kEndsToKnowPart = 5;
constexpr int kMostDeadlyLate = 3;
// As on the users' sheet.
constexpr DurationMs kQuotaWindowMs = 8000;
constexpr double kQuotaOver = 0.1;
// An upstream's limit holds from so long after it was first named, over each such window, for
// entries that were told so long before.
constexpr DurationMs kLimitFromMs = 3000;
constexpr DurationMs kLimitWindowMs = 4000;
constexpr DurationMs kLimitToldMs = 500;
constexpr double kLimitTimes = 1.5;
constexpr double kLimitExtra = 5;
// Of a rest, what is on its way is let pass, and so many more.
constexpr DurationMs kRestFromMs = 500;
constexpr int kMostInRest = 2;

}  // namespace

void Judge::OnRun(const std::string& request, const std::string& instance, bool may_repeat) {
  CheckLeaving(request, instance);
  last_runs_[request] = {instance, clock_()};
  const int n = ++runs_[request];
  if (may_repeat) return;
  at_most_once_.insert(request);
  if (n > 1) Complain("request " + request + " ran again, at " + instance);
}

void Judge::OnLimitNamed(const std::string& request, const std::string& instance, double per_s) {
  Limit& limit = limits_[instance];
  if (limit.since == 0) {
    ++limits_named_;
    limit.since = clock_();
    limit.per_s = per_s;
  }
  limit.told.emplace(sent_[request].entry, clock_());
}

void Judge::OnLimitLifted(const std::string& instance) { limits_.erase(instance); }

void Judge::OnRestAsked(const std::string& request, const std::string& instance,
                        DurationMs rest_ms) {
  ++rests_asked_;
  const TimeMs now = clock_();
  Rest& rest = rests_[{instance, sent_[request].entry}];
  if (now < rest.until) return;
  rest = {now, now + rest_ms, 0};
}

void Judge::OnSaidLeaving(const std::string& request, const std::string& instance) {
  said_leaving_.emplace(AtEntry{instance, sent_[request].entry}, clock_());
}

void Judge::OnEntryStopped(int entry) { entry_stopped_[entry] = clock_(); }

bool Judge::WasStopped(int entry, DurationMs within_ms) const {
  const TimeMs now = clock_();
  const auto stopped = entry_stopped_.find(entry);
  const bool was_stopped = stopped != entry_stopped_.end() && now - stopped->second <= within_ms;
  return was_stopped || now - busy_at_ <= within_ms;
}

void Judge::OnArrival(const std::string& request, const std::string& instance) {
  const int entry = sent_[request].entry;
  attempts_[request].push_back({instance, 0});
  CheckLimit(instance, entry);
  CheckRest(instance, entry);
  CheckSaidLeaving(request, instance);
  CheckRegion(request, instance);
  CheckHall(request, instance);
  CheckCold(instance, entry);
}

void Judge::CheckLimit(const std::string& instance, int entry) {
  const auto found = limits_.find(instance);
  if (found == limits_.end()) return;
  Limit& limit = found->second;
  const TimeMs now = clock_();
  const auto told = limit.told.find(entry);
  const bool is_told = told != limit.told.end() && now - told->second >= kLimitToldMs;
  if (!is_told || now - limit.since < kLimitFromMs) return;
  limit.came.emplace_back(now, entry);
  while (limit.came.front().first <= now - kLimitWindowMs) limit.came.pop_front();
  // What a harmed way held up comes all at once.
  if (now - upstream_troubled_[instance] <= kLimitWindowMs) return;
  const auto n = std::count_if(limit.came.begin(), limit.came.end(), [&](const auto& it) {
    const auto way = way_troubled_.find({instance, it.second});
    const bool was_cut = way != way_troubled_.end() && now - way->second <= kLimitWindowMs;
    return !was_cut && !WasStopped(it.second, kLimitWindowMs);
  });
  const double allowed = kLimitTimes * limit.per_s * kLimitWindowMs / 1000.0 + kLimitExtra;
  if (static_cast<double>(n) <= allowed) return;
  Complain("upstream " + instance + ", which takes " + std::to_string(limit.per_s) +
           " a second, got " + std::to_string(n) + " in a window");
}

void Judge::CheckRest(const std::string& instance, int entry) {
  const auto found = rests_.find({instance, entry});
  const TimeMs now = clock_();
  if (found == rests_.end() || now >= found->second.until) return;
  Rest& rest = found->second;
  if (now - rest.since < kRestFromMs || WasStopped(entry, now - rest.since)) return;
  if (++rest.came <= kMostInRest) return;
  Complain("upstream " + instance + " got " + std::to_string(rest.came) + " requests from entry " +
           std::to_string(entry) + " in a rest");
}

void Judge::CheckSaidLeaving(const std::string& request, const std::string& instance) {
  const int entry = sent_[request].entry;
  const auto said = said_leaving_.find({instance, entry});
  if (said == said_leaving_.end()) return;
  const DurationMs late = sent_[request].at - said->second;
  if (late <= kLeavingMs || WasStopped(entry, clock_() - said->second)) return;
  Complain("upstream " + instance + " got request " + request + " from entry " +
           std::to_string(entry) + ", sent " + std::to_string(late) +
           " ms after it had told it that it leaves");
}

void Judge::OnLeaving(const std::string& instance) { leaving_.emplace(instance, clock_()); }
void Judge::OnEntryTroubled(int entry) { entry_troubled_[entry] = clock_(); }
void Judge::OnUpstreamTroubled(const std::string& instance) {
  upstream_troubled_[instance] = clock_();
}
void Judge::OnBusyMachine() { busy_at_ = clock_(); }
void Judge::OnSent(const std::string& request, int entry, const std::string& organisation,
                   std::set<std::string> halls) {
  sent_[request] = {entry, organisation, std::move(halls), clock_()};
}
int Judge::EntryOf(const std::string& request) const {
  const auto sent = sent_.find(request);
  return sent == sent_.end() ? -1 : sent->second.entry;
}
void Judge::OnKey(bool is_there) {
  if (is_there) {
    key_gone_at_ = 0;
  } else if (key_gone_at_ == 0) {
    key_gone_at_ = clock_();
  }
}

void Judge::OnAccess(const std::string& request, const std::string& organisation, bool has_key) {
  const Sent& sent = sent_[request];
  if (has_key) Complain("an upstream got the key of request " + request);
  if (organisation != sent.organisation) {
    Complain("request " + request + " of " + sent.organisation + " ran as one of " + organisation);
  }
  if (sent.organisation == kOrganisations[1]) CheckQuota(request);
  const DurationMs late = sent.at - key_gone_at_;
  if (sent.organisation == kOrganisations[2] && key_gone_at_ != 0 && late > kRevokeMs) {
    Complain("request " + request + " ran from entry " + std::to_string(sent.entry) + ", sent " +
             std::to_string(late) + " ms after its key had gone");
  }
}

void Judge::CheckQuota(const std::string& request) {
  if (!limited_.insert(request).second) return;
  const TimeMs now = clock_();
  limited_at_.push_back(now);
  while (limited_at_.front() <= now - kQuotaWindowMs) limited_at_.pop_front();
  const double allowed = kLimitedPerS * kQuotaWindowMs / 1000.0 + kLimitedBurst;
  if (static_cast<double>(limited_at_.size()) <= allowed * (1 + kQuotaOver)) return;
  Complain("an organisation had " + std::to_string(limited_at_.size()) +
           " requests run in a window");
}

void Judge::CheckLeaving(const std::string& request, const std::string& instance) {
  const auto leaving = leaving_.find(instance);
  if (leaving == leaving_.end()) return;
  const TimeMs now = clock_();
  const DurationMs late = now - leaving->second;
  const int entry = sent_[request].entry;
  const TimeMs troubled = TroubledAt(entry, instance);
  if (late <= kLeavingMs + kOnItsWayMs || now - troubled <= kInTouchMs) return;
  Complain("upstream " + instance + " got request " + request + " from entry " +
           std::to_string(entry) + " " + std::to_string(late) + " ms after it left");
}

void Judge::OnOrder(const std::string& engine, const std::string& holder, std::int64_t fence) {
  const auto [it, is_first] = holders_.emplace(engine, holder);
  if (!is_first && it->second != holder) {
    Complain("engine " + engine + " had orders from " + it->second + " and " + holder);
  }
  std::int64_t& highest = fences_[engine];
  if (fence < highest) Complain("engine " + engine + " had a fencing token that fell");
  highest = fence;
}

void Judge::OnOverfilled(const std::string& engine) {
  Complain("engine " + engine + " was told to hold more than it can");
}

void Judge::OnResumed(bool goes_on) {
  ++resumed_;
  if (goes_on) ++went_on_;
}

void Judge::OnDeadlyEnd(Deadly kind) {
  Ends& ends = ends_[kind];
  const int to_know = kind == Deadly::kPart ? kEndsToKnowPart : kEndsToKnow;
  if (++ends.count == to_know) ends.known_from = clock_();
}

void Judge::OnDeadlyRun(Deadly kind, const std::string& request) {
  const TimeMs now = clock_();
  const int entry = sent_[request].entry;
  const TimeMs troubled = std::max(entry_troubled_[entry], busy_at_);
  Ends& ends = ends_[kind];
  const bool is_known = ends.known_from != 0 && now - ends.known_from > kInTouchMs;
  if (!is_known || now - troubled <= kInTouchMs) return;
  if (++ends.late_runs > kMostDeadlyLate) {
    const char* what = kind == Deadly::kPart ? "a request with the part" : "the request";
    Complain(std::string(what) + " that ends engines ran again at an engine, from entry " +
             std::to_string(entry) + ", " + std::to_string(now - ends.known_from) +
             " ms after enough had ended");
  }
}

void Judge::OnServed(const std::string& request, const std::string& kind) {
  ++served_[kind];
  if (RanBesideSpoiledRecord(request)) ++checked_.unreadable;
}
void Judge::OnFailed(const std::string& request, const std::string& kind) {
  ++failed_[kind];
  CheckSpoiled(request);
}

void Judge::OnRefused(const std::string& request) { refused_.insert(request); }

// Adds the time of the clock that the logs of the processes show as `mono`.
void Judge::Complain(const std::string& sentence) {
  complaints_.push_back("at " + std::to_string(clock_()) + ": " + sentence);
}

std::vector<std::string> Judge::Finish() {
  for (const auto& it : refused_) {
    const bool has_run = at_most_once_.count(it) > 0 && runs_[it] > 0;
    if (has_run) Complain("request " + it + " was said not to have run, and ran");
  }
  for (const auto& it : retries.Violations()) Complain(it);
  return complaints_;
}

std::string Judge::Summary() const {
  std::string text;
  for (const auto& [kind, n] : served_) text += " " + kind + " served " + std::to_string(n);
  for (const auto& [kind, n] : failed_) text += " " + kind + " failed " + std::to_string(n);
  text += ", streams taken up " + std::to_string(resumed_) + " (went on " +
          std::to_string(went_on_) + ")";
  const auto count = [this](Deadly kind) {
    const auto it = ends_.find(kind);
    return std::to_string(it == ends_.end() ? 0 : it->second.count);
  };
  text += ", ended by a request " + count(Deadly::kRequest) + ", by a part " + count(Deadly::kPart);
  text += ", limits named " + std::to_string(limits_named_);
  text += ", rests asked " + std::to_string(rests_asked_);
  text += ", bound requests " + std::to_string(checked_.bound);
  text += ", evacuations past the bound " + std::to_string(checked_.evacuated);
  text += ", at cold upstreams " + std::to_string(checked_.cold);
  text += ", beside spoiled records " + std::to_string(checked_.unreadable);
  text += ", unanswered beside planned work " + std::to_string(checked_.unanswered);
  text += ", retries " + std::to_string(retries.CountRetries());
  return text + ", refused " + std::to_string(refused_.size());
}

}  // namespace junctionrail::soak

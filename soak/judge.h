// What callers and upstreams saw, and the promises it is held against.
#ifndef JUNCTIONRAIL_SOAK_JUDGE_H_
#define JUNCTIONRAIL_SOAK_JUDGE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/net.h"
#include "retry_windows.h"
#include "world.h"

namespace junctionrail::soak {

// The entries' `revoke_ms` and `evacuate_ms`.
constexpr DurationMs kRevokeMs = 3000;
constexpr DurationMs kEvacuateMs = 3000;
// Bounds on what an entry sends to an upstream are checked only if its connections to the store and
// the upstream had no fault for this long.
constexpr DurationMs kInTouchMs = 3000;

// 0: never.
template <class Key>
TimeMs TimeOf(const std::map<Key, TimeMs>& times, const Key& key) {
  const auto it = times.find(key);
  return it == times.end() ? 0 : it->second;
}

class Judge {
 public:
  explicit Judge(std::function<TimeMs()> clock = MonotonicMs) : retries(clock), clock_(clock) {}

  // --- What upstreams see ---
  // `may_repeat` is what the request's route says.
  void OnRun(const std::string& request, const std::string& instance, bool may_repeat);
  // With that run: whose it is by the entry's word, and whether the caller's key came along.
  void OnAccess(const std::string& request, const std::string& organisation, bool has_key);
  // It says that it leaves, or its record goes and it serves on.
  void OnLeaving(const std::string& instance);
  // Its answer to the request named a limit of requests a second from all entries.
  void OnLimitNamed(const std::string& request, const std::string& instance, double per_s);
  void OnLimitLifted(const std::string& instance);
  // It turned the request away and asked its entry for a rest.
  void OnRestAsked(const std::string& request, const std::string& instance, DurationMs rest_ms);
  // Its answer to the request said that it leaves.
  void OnSaidLeaving(const std::string& request, const std::string& instance);
  // A request came, to be run or not.
  void OnArrival(const std::string& request, const std::string& instance);
  // Its whole answer to the request has left it by `at`.
  void OnDone(const std::string& request, const std::string& instance, TimeMs at);
  void OnOrder(const std::string& engine, const std::string& holder, std::int64_t fence);
  void OnOverfilled(const std::string& engine);
  // What ends engines: one request that is repeated, or a part of the prompts of many.
  enum class Deadly { kRequest, kPart };
  // Such a request begins to run, and ends an engine.
  void OnDeadlyRun(Deadly kind, const std::string& request);
  void OnDeadlyEnd(Deadly kind);
  // The upstream starts in that hall.
  void OnStarted(const std::string& instance, const std::string& hall);
  // The upstream is cold for `cold_ms`, after its start or because its hall was given back.
  void OnCold(const std::string& instance, DurationMs cold_ms, bool is_return);

  // --- What operators and other writers write to the store ---
  void OnEvacuation(const std::string& hall, bool is_evacuated);
  // The record of the upstream is overwritten by one that cannot be read or lacks a field.
  void OnSpoiledRecord(const std::string& instance);

  // --- Planned work ---
  void OnConfiguration();
  void OnStop(int entry);
  void OnReload(int entry);

  // --- What excuses an entry ---
  // Its process is killed, or its way to the store is harmed. To be told again while that lasts.
  void OnEntryHarmed(int entry);
  // Its process is paused. To be told again while that lasts.
  void OnEntryPaused(int entry);
  // Its way to the store, or to `instance`, is harmed, or its process is. To be told
  // again while that lasts.
  void OnEntryTroubled(int entry);
  // Its process does not run, or is paused. To be told again while that lasts.
  void OnEntryStopped(int entry);
  void OnUpstreamTroubled(const std::string& instance);
  // The path from that entry to the upstream is cut; other entries' paths need not be.
  void OnWayTroubled(int entry, const std::string& instance);
  // The upstream ends, or spoils an answer.
  void OnHarmed(const std::string& instance);
  // The machine is too busy for times to tell anything.
  void OnBusyMachine();

  // --- What callers see ---
  // `halls`: where it may run.
  void OnSent(const std::string& request, int entry, const std::string& organisation,
              std::set<std::string> halls);
  // The key of "fleeting" is taken away, or comes back.
  void OnKey(bool is_there);
  void OnServed(const std::string& request, const std::string& kind);
  // A caller takes up a stream of which it has events; it goes on, or not.
  void OnResumed(bool goes_on);
  void OnRefused(const std::string& request);  // Said not to have run.
  // Ended in any other way.
  void OnFailed(const std::string& request, const std::string& kind);
  // Its connection has ended without a whole answer, not by the caller: with all that it sent read
  // (closed) or not (reset).
  enum class Ending { kClosed, kReset };
  void OnUnanswered(const std::string& request, Ending ending);
  void Complain(const std::string& sentence);

  // What callers send to services, and what arrives there.
  RetryWindows retries;

  // Checks what only the end of a run shows. Returns all that was broken.
  std::vector<std::string> Finish();
  std::string Summary() const;

  // The entry that the request was sent to; -1 if there is no such request.
  int EntryOf(const std::string& request) const;

 private:
  void CheckLeaving(const std::string& request, const std::string& instance);
  void CheckQuota(const std::string& request);
  void CheckLimit(const std::string& instance, int entry);
  void CheckRest(const std::string& instance, int entry);
  void CheckSaidLeaving(const std::string& request, const std::string& instance);
  void CheckRegion(const std::string& request, const std::string& instance);
  void CheckHall(const std::string& request, const std::string& instance);
  void CheckCold(const std::string& instance, int entry);
  void CheckSpoiled(const std::string& request);
  // Its last run was at an upstream whose record another writer has spoiled.
  bool RanBesideSpoiledRecord(const std::string& request) const;
  bool IsBesidePlannedWork(int entry, TimeMs sent_at) const;
  // A fault that nobody planned may have ended the request.
  bool WasHarmed(const std::string& request) const;
  bool IsCutOffAtWork(const std::string& request) const;
  bool WasPausedUnread(const std::string& request, Ending ending) const;
  bool WasStopped(int entry, DurationMs within_ms) const;
  // When the upstream or the path from the entry to it last had a fault.
  TimeMs WayTroubledAt(int entry, const std::string& instance) const;
  // When the entry, the upstream, the path between them or the machine last had a fault.
  TimeMs TroubledAt(int entry, const std::string& instance) const;

  std::function<TimeMs()> clock_;
  struct Sent {
    int entry = 0;
    std::string organisation;
    std::set<std::string> halls;
    TimeMs at = 0;
  };
  struct Cold {
    TimeMs until = 0;
    bool is_return = false;
    std::deque<TimeMs> came;
  };
  // How often the checks of places applied: a run in which one never did shows nothing about it.
  struct Checked {
    int bound = 0;       // Requests bound to regions that arrived.
    int evacuated = 0;   // Evacuations that lasted longer than their bound.
    int cold = 0;        // Requests that arrived at cold upstreams.
    int unreadable = 0;  // Runs that ended while the record of their upstream was spoiled.
    int unanswered = 0;  // Requests that got no answer beside planned work, excused or not.
  };
  struct LastRun {
    std::string instance;
    TimeMs at = 0;
  };
  struct Attempt {
    std::string instance;
    TimeMs done_at = 0;  // 0: it is at work.
  };
  struct Limit {
    double per_s = 0;
    TimeMs since = 0;
    std::map<int, TimeMs> told;               // Entries that passed it on.
    std::deque<std::pair<TimeMs, int>> came;  // Requests of those, by entry.
  };
  struct Rest {
    TimeMs since = 0;
    TimeMs until = 0;
    int came = 0;
  };
  using AtEntry = std::pair<std::string, int>;  // An upstream and an entry.
  std::map<std::string, Limit> limits_;         // By upstream.
  std::map<AtEntry, Rest> rests_;
  std::map<AtEntry, TimeMs> said_leaving_;
  std::map<AtEntry, TimeMs> way_troubled_;
  std::map<std::string, std::string> halls_;  // By upstream.
  std::map<std::string, TimeMs> evacuated_;   // By hall.
  std::map<std::string, Cold> cold_;
  std::map<std::string, TimeMs> spoiled_;
  std::map<std::string, TimeMs> harmed_;
  std::map<std::string, LastRun> last_runs_;              // By request.
  std::map<std::string, std::vector<Attempt>> attempts_;  // By request.
  std::map<int, TimeMs> entry_harmed_;
  std::map<int, TimeMs> entry_paused_;
  std::map<int, TimeMs> stopped_at_;
  std::map<int, TimeMs> reloaded_at_;
  TimeMs configured_at_ = 0;
  Checked checked_;
  std::map<int, TimeMs> entry_stopped_;
  int limits_named_ = 0;
  int rests_asked_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, TimeMs> leaving_;
  std::map<std::string, TimeMs> upstream_troubled_;
  std::map<int, TimeMs> entry_troubled_;
  std::map<std::string, Sent> sent_;  // By request.
  TimeMs key_gone_at_ = 0;            // 0: it is there.
  std::set<std::string> limited_;     // Requests of "limited" that ran,
  std::deque<TimeMs> limited_at_;     // and when they first did, within a window.
  TimeMs busy_at_ = 0;
  int resumed_ = 0;  // Streams that callers took up, and those that went on.
  int went_on_ = 0;
  struct Ends {
    int count = 0;
    int late_runs = 0;      // From entries in touch, once all must know of them.
    TimeMs known_from = 0;  // When enough had ended; 0: not yet.
  };
  std::map<Deadly, Ends> ends_;
  std::set<std::string> at_most_once_;
  std::set<std::string> refused_;
  std::map<std::string, std::string> holders_;
  std::map<std::string, std::int64_t> fences_;
  std::map<std::string, int> served_;
  std::map<std::string, int> failed_;
  std::vector<std::string> complaints_;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_JUDGE_H_

// What callers and upstreams saw, and the promises it is held against.
#ifndef JUNCTIONRAIL_SOAK_JUDGE_H_
#define JUNCTIONRAIL_SOAK_JUDGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail::soak {

// Organisations of callers: one without a limit, one that sends more than its limit, and one
// whose key is taken away now and then.
constexpr const char* kOrganisations[] = {"open", "limited", "fleeting"};
constexpr double kLimitedPerS = 8;
constexpr double kLimitedBurst = 8;
// The entries' `revoke_ms`.
constexpr DurationMs kRevokeMs = 3000;

class Judge {
 public:
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
  void OnOrder(const std::string& engine, const std::string& holder, std::int64_t fence);
  void OnOverfilled(const std::string& engine);
  // The request that ends engines begins to run, and ends one.
  void OnDeadlyRun(const std::string& request);
  void OnDeadlyEnd();

  // --- What excuses an entry ---
  // Its way to the store, or to `instance`, is harmed, or its process is. To be told
  // again while that lasts.
  void OnEntryTroubled(int entry);
  // Its process does not run, or is paused. To be told again while that lasts.
  void OnEntryStopped(int entry);
  void OnUpstreamTroubled(const std::string& instance);
  // The machine is too busy for times to tell anything.
  void OnBusyMachine();

  // --- What callers see ---
  void OnSent(const std::string& request, int entry, const std::string& organisation);
  // The key of "fleeting" is taken away, or comes back.
  void OnKey(bool is_there);
  void OnServed(const std::string& kind);
  void OnRefused(const std::string& request);  // Said not to have run.
  void OnFailed(const std::string& kind);      // Ended in any other way.
  void Complain(const std::string& sentence);

  // Checks what only the end of a run shows. Returns all that was broken.
  std::vector<std::string> Finish();
  std::string Summary() const;

 private:
  void CheckLeaving(const std::string& request, const std::string& instance);
  void CheckQuota(const std::string& request);
  void CheckLimit(const std::string& instance, int entry);
  void CheckRest(const std::string& instance, int entry);
  void CheckSaidLeaving(const std::string& request, const std::string& instance);
  bool WasStopped(int entry, DurationMs within_ms) const;

  struct Sent {
    int entry = 0;
    std::string organisation;
    TimeMs at = 0;
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
  int deadly_ends_ = 0;
  int deadly_late_ = 0;  // Runs from entries in touch, once all must know it.
  TimeMs third_end_at_ = 0;
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

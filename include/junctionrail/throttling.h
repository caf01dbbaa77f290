// How much an entry may send to upstreams: the limits and backoffs that upstreams request, the
// limit of cold upstreams, and the budget for retries. Pure decision logic: the caller passes the
// time in.
#ifndef JUNCTIONRAIL_THROTTLING_H_
#define JUNCTIONRAIL_THROTTLING_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "junctionrail/base.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {

// Flow-control information that an upstream attaches to an answer.
struct UpstreamNotice {
  // Requests a second it accepts from all entries together; none: unlimited.
  std::optional<double> limit_per_s;
  // How long this entry should send it nothing; 0: no backoff requested.
  DurationMs backoff_ms = 0;
  bool is_leaving = false;
  std::string malformed;  // The field that could not be parsed, with its name; empty: none.
};

// The rate limit and backoff that an upstream has requested, and when it accepts requests again.
class UpstreamThrottle {
 public:
  // An answer to a request sent at `sent_at` states this limit, or none. Returns whether
  // the limit changed.
  bool OnLimit(std::optional<double> per_s, TimeMs sent_at, TimeMs now);
  // All entries together have used up the limit in force until then; 0: they have not.
  void OnLimitExhausted(TimeMs until) { limit_exhausted_until_ = until; }
  // An answer to a request sent at `sent_at` requests a backoff; 0: none.
  void OnBackoff(DurationMs backoff_ms, TimeMs sent_at, TimeMs now);
  void OnSent(TimeMs now) { sent_at_ = now; }

  std::optional<double> limit_per_s() const { return limit_per_s_; }
  // Whether a requested backoff is still in effect.
  bool IsBackingOff(TimeMs now) const { return backoff_until_ > now; }
  // When it accepts requests again.
  TimeMs AvailableAt() const;

 private:
  std::optional<double> limit_per_s_;  // For all entries together.
  TimeMs limit_at_ = 0;                // When it last stated one.
  TimeMs limit_exhausted_until_ = 0;   // The limit is used up until then.
  TimeMs backoff_until_ = 0;           // End of the requested backoff.
  bool needs_probe_ = false;           // No request has succeeded since that backoff.
  TimeMs sent_at_ = 0;                 // When it was last sent a request.
};

// The rate limit of a cold upstream that accepts `requests_per_s` from all entries.
RateLimit ColdLimit(double requests_per_s);

// Limits retries to a share of a service's requests. Each entry spends only its own share, so that
// the bound holds for the fleet without coordination, also while entries start again: a process
// does not know what the one before it has spent.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.15;        // Retries per request of this entry in the window.
    double fixed_attempts = 4;  // Retries of all entries in any window, regardless of requests.
    DurationMs window_ms = 10000;
    // By which this entry rounds its allowance up, below 1. Spread evenly over entries, it lets
    // those use the allowance that each have a part of one retry.
    double rounding = 0;
  };
  // What the budget of a service is decided by, for logs.
  struct Usage {
    std::size_t requests = 0;  // That count towards the allowance.
    std::size_t retries = 0;   // In the last window, those under way among them.
    std::size_t under_way = 0;
    double left = 0;  // Retries that the budget allows now.
    int entries = 0;  // That share the fixed allowance; 0: unknown.
  };

  // `started_at`: retries and requests before then are not known.
  RetryBudget(Options options, TimeMs started_at) : options_(options), known_since_(started_at) {}

  void SetOptions(Options options, TimeMs now);
  // The caller sent a request no earlier than `sent_after`, which may be before that of a request
  // counted earlier.
  void OnRequest(const std::string& service, TimeMs sent_after, TimeMs now);
  // Sets how many entries share the fixed allowance; 0: unknown, there is none then. It applies to
  // windows that begin after the number is known: the other entries count this one by then.
  void SetEntries(int entries, TimeMs now);
  // Consumes one retry if the budget allows it. It is under way until OnArrived.
  bool TryConsume(const std::string& service, TimeMs now);
  // Counts a retry consumed at `consumed_at` as one of now, as it is sent only now. Returns whether
  // the budget allows it; it is not consumed otherwise.
  bool Postpone(const std::string& service, TimeMs consumed_at, TimeMs now);
  // The upstream has answered the retry consumed at `consumed_at`, or will not read it any more.
  void OnArrived(const std::string& service, TimeMs consumed_at, TimeMs now);
  Usage UsageOf(const std::string& service, TimeMs now);

 private:
  struct History {
    std::deque<TimeMs> requests;      // Of the last two windows, in order.
    std::deque<TimeMs> retries;       // That have arrived, in the last window, at the latest then.
    std::multiset<TimeMs> under_way;  // Retries that may still arrive, by when they were sent.
  };
  void Expire(History* history, TimeMs now) const;
  double Allowed(const History& history, TimeMs begin) const;
  double Left(const History& history, TimeMs now) const;
  // Windows that began before then have no fixed allowance.
  TimeMs FixedSince() const;

  Options options_;
  TimeMs known_since_ = 0;    // Retries are.
  TimeMs entries_since_ = 0;  // `entries_` are known.
  int entries_ = 0;
  std::map<std::string, History> histories_;  // By service.
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_THROTTLING_H_

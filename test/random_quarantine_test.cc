// Entries and what they tell each other of upstreams that end, in random worlds: a request that
// ends whoever runs it is soon sent by nobody, and no other one is refused for it.
#include <algorithm>
#include <optional>
#include <set>

#include "check.h"
#include "junctionrail/quarantine.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr TimeMs kStepMs = 10;
constexpr int kEntries = 4;
constexpr int kUpstreams = 6;
// A deadly run takes as long as in the record; another streams for longer than it takes to be
// cleared.
constexpr DurationMs kDeadlyRunMs = 60;
constexpr DurationMs kRunMs = 400;
constexpr DurationMs kFirstEventMs = 30;
constexpr DurationMs kRestartMs = 700;
// Word of an end is with all other entries that are not cut off within this.
constexpr DurationMs kMaxDelayMs = 40;
// The users' bound: later than so long after the third end, three sends more at most.
constexpr DurationMs kPropagationMs = 3000;
constexpr int kMaxLateSends = 3;
constexpr int kCrashesToPropagate = 3;

RequestDigest DigestFor(int n) { return {1, static_cast<std::uint64_t>(n)}; }

struct Run {
  int request = 0;
  int entry = 0;
  TimeMs since = 0;
  bool was_isolated = false;
};

struct Upstream {
  int starts = 1;
  TimeMs down_until = 0;
  std::vector<Run> runs;
};

struct Entry {
  QuarantineTable table;
  SuspectIsolation isolation;
  TimeMs partitioned_until = 0;
  TimeMs connected_since = 0;
};

struct Notice {
  int to = 0;
  TimeMs at = 0;
  UpstreamCrash crash;
};

// `cuts`: entries are cut off from all word for a time, and told of all when that is over. Other
// requests may be refused then: an entry that knows of no suspect sends one beside them.
template <bool has_partitions>
class World {
 public:
  explicit World(std::uint32_t) : entries_(kEntries), upstreams_(kUpstreams) {}

  void Step(RandomChoices word) {
    now_ += kStepMs;
    const auto choice = word.Next(16);
    if (choice == 0 && has_partitions) Partition(entries_[word.Next(kEntries)], word);
    if (choice <= 3) return ResendDeadly(word);
    if (choice <= 9) Send(++requests_, static_cast<int>(word.Next(kEntries)), word);
    Advance(word);
  }

  void Drain() {
    for (int n = 0; n < 100; ++n) {
      now_ += kStepMs;
      Advance(RandomChoices(static_cast<std::uint32_t>(n)));
    }
  }

 private:
  static constexpr int kDeadly = 0;

  static std::string Name(std::size_t upstream, int start) {
    return "u" + std::to_string(upstream) + "-" + std::to_string(start);
  }

  void Partition(Entry& entry, RandomChoices word) {
    entry.partitioned_until = now_ + 500 + static_cast<TimeMs>(word.Next(3000));
  }

  // Not sooner than word of the last end: that is another test's matter.
  void ResendDeadly(RandomChoices word) {
    if (now_ - last_crash_at_ > kMaxDelayMs + kStepMs && !IsRunning(kDeadly)) {
      Send(kDeadly, static_cast<int>(word.Next(kEntries)), word);
    }
    Advance(word);
  }

  bool IsRunning(int request) const {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const Upstream& it) {
      return std::any_of(it.runs.begin(), it.runs.end(),
                         [&](const Run& run) { return run.request == request; });
    });
  }

  void Send(int request, int from, RandomChoices word) {
    Entry& entry = entries_[static_cast<std::size_t>(from)];
    const RequestDigest digest = DigestFor(request);
    const QuarantineStatus standing = entry.table.StatusOf(digest, now_);
    if (standing == QuarantineStatus::kRefused) return;
    const auto occupied = standing == QuarantineStatus::kSuspect
                              ? entry.isolation.OccupiedByOthers(digest)
                              : std::vector<std::string>();
    std::vector<std::size_t> free;
    for (std::size_t n = 0; n < upstreams_.size(); ++n) {
      const bool is_free =
          upstreams_[n].down_until <= now_ && !Contains(occupied, Name(n, upstreams_[n].starts));
      if (is_free) free.push_back(n);
    }
    if (free.empty()) return;
    const std::size_t to = free[word.Next(static_cast<std::uint32_t>(free.size()))];
    Upstream& upstream = upstreams_[to];
    const bool was_isolated = standing == QuarantineStatus::kSuspect &&
                              entry.isolation.Reserve(Name(to, upstream.starts), digest);
    upstream.runs.push_back({request, from, now_, was_isolated});
    if (request == kDeadly) CheckLateSend(entry);
  }

  void CheckLateSend(const Entry& entry) {
    const bool is_propagated = third_crash_at_ != 0 && now_ - third_crash_at_ > kPropagationMs;
    const bool is_connected =
        now_ - entry.connected_since > kPropagationMs && entry.partitioned_until <= now_;
    if (!is_propagated || !is_connected) return;
    Require(++late_sends_ <= kMaxLateSends,
            "expected three sends at most once all entries know, got more");
  }

  void Advance(RandomChoices word) {
    Deliver();
    for (std::size_t n = 0; n < upstreams_.size(); ++n) Serve(n, word);
    for (auto& it : entries_) {
      it.table.Expire(now_);
      for (const auto& refused : it.table.TakeNewRefusals()) {
        Require(
            refused == DigestFor(kDeadly) || has_partitions,
            "expected no other request to be refused, got request " + std::to_string(refused.low));
      }
      if (it.partitioned_until == 0 || it.partitioned_until > now_) continue;
      it.partitioned_until = 0;
      it.connected_since = now_;
      for (const auto& other : entries_) {
        for (const auto& crash : other.table.RecentCrashes(now_)) it.table.Add(crash, now_);
      }
    }
  }

  void Deliver() {
    for (const auto& it : notices_) {
      Entry& to = entries_[static_cast<std::size_t>(it.to)];
      // What a cut keeps is told when it is over.
      if (it.at <= now_ && to.partitioned_until == 0) to.table.Add(it.crash, now_);
    }
    notices_.erase(std::remove_if(notices_.begin(), notices_.end(),
                                  [this](const Notice& it) { return it.at <= now_; }),
                   notices_.end());
  }

  void Serve(std::size_t n, RandomChoices word) {
    Upstream& upstream = upstreams_[n];
    const bool is_crashing = std::any_of(
        upstream.runs.begin(), upstream.runs.end(),
        [&](const Run& it) { return it.request == kDeadly && now_ - it.since >= kDeadlyRunMs; });
    if (is_crashing) return Crash(n, word);
    for (const auto& it : upstream.runs) {
      if (now_ - it.since < kRunMs) continue;
      Entry& entry = entries_[static_cast<std::size_t>(it.entry)];
      entry.table.Clear(DigestFor(it.request), now_);
      entry.isolation.Release(Name(n, upstream.starts), DigestFor(it.request));
    }
    upstream.runs.erase(std::remove_if(upstream.runs.begin(), upstream.runs.end(),
                                       [this](const Run& it) { return now_ - it.since >= kRunMs; }),
                        upstream.runs.end());
  }

  void Crash(std::size_t n, RandomChoices word) {
    Upstream& upstream = upstreams_[n];
    const std::string name = Name(n, upstream.starts);
    if (++crashes_ == kCrashesToPropagate) third_crash_at_ = now_;
    last_crash_at_ = now_;
    for (int k = 0; k < kEntries; ++k) {
      UpstreamCrash crash{name, 0, {}, false};
      for (const auto& it : upstream.runs) {
        const DurationMs ran_ms = now_ - it.since;
        const bool is_harmless = ran_ms >= kFirstEventMs + QuarantineLimits().harmless_after_ms;
        const bool has_sent_event = it.request != kDeadly && ran_ms >= kFirstEventMs;
        if (it.entry != k || is_harmless) continue;
        crash.suspects.push_back({DigestFor(it.request), has_sent_event, it.was_isolated});
      }
      Notify(k, crash, word);
    }
    const auto interrupted = std::exchange(upstream.runs, {});
    for (const auto& it : interrupted) {
      entries_[static_cast<std::size_t>(it.entry)].isolation.Release(name, DigestFor(it.request));
    }
    ++upstream.starts;
    upstream.down_until = now_ + kRestartMs;
    // Callers of the others come back once, after the word.
    for (const auto& it : interrupted) {
      if (it.request != kDeadly && retried_.insert(it.request).second)
        Send(it.request, it.entry, word);
    }
  }

  void Notify(int from, const UpstreamCrash& crash, RandomChoices word) {
    if (crash.suspects.empty()) return;
    entries_[static_cast<std::size_t>(from)].table.Add(crash, now_);
    for (int k = 0; k < kEntries; ++k) {
      const auto delay = 1 + static_cast<DurationMs>(word.Next(kMaxDelayMs));
      if (k != from) notices_.push_back({k, now_ + delay, crash});
    }
  }

  std::vector<Entry> entries_;
  std::vector<Upstream> upstreams_;
  std::vector<Notice> notices_;
  std::set<int> retried_;
  TimeMs now_ = 1000000;
  TimeMs last_crash_at_ = 0;
  TimeMs third_crash_at_ = 0;
  int requests_ = 0;
  int crashes_ = 0;
  int late_sends_ = 0;
};

}  // namespace

TEST_GROUP(RandomQuarantine){};

TEST(RandomQuarantine, RefusesNoOtherRequestAndIsQuick) {
  CHECK(RunRandomTest<World<false>>("quarantine"));
}

TEST(RandomQuarantine, HoldsItsBoundWithEntriesCutOff) {
  CHECK(RunRandomTest<World<true>>("quarantine with cuts"));
}

}  // namespace junctionrail::test

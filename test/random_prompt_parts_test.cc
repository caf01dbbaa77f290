// Property tests of prompt parts that crash upstreams, in model time: entries exchange reports,
// send suspects alone and in turns, while requests with drawn parts arrive. Requests with a part
// that crashes upstreams must soon stop, and no part of a sound request may be refused because of
// it.
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "check.h"
#include "junctionrail/quarantine.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr TimeMs kStepMs = 20;
constexpr DurationMs kDeadlyRunMs = 60;
// A sound answer, and when its parts count as sound.
constexpr DurationMs kRunMs = 400;
constexpr DurationMs kRestartMs = 1500;
constexpr DurationMs kMaxDelayMs = 40;
constexpr DurationMs kTurnMs = 1000;
constexpr DurationMs kPatienceMs = 2000;
// By way of the store.
constexpr DurationMs kRefusalDelayMs = 100;
constexpr DurationMs kJudgeMs = 600;
// The users' bound: at most kMaxLateSends sends from kKnownMs after so many crashes.
constexpr DurationMs kKnownMs = 3000;
constexpr int kCrashesToKnow = 5;
constexpr int kMaxLateSends = 3;

struct Request {
  int id = 0;
  std::vector<RequestDigest> parts;
  bool is_deadly = false;
  TimeMs arrived_at = 0;
};

struct Run {
  Request request;
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
  PromptPartTable table;
  SuspectIsolation isolation;
  std::set<RequestDigest> refused;
  std::vector<Request> waiting;
};

struct Notice {
  int to = 0;
  TimeMs at = 0;
  UpstreamCrash crash;
  std::optional<RequestDigest> refusal;  // In place of a crash: found by another entry.
};

RequestDigest PartDigest(int n) { return {7, static_cast<std::uint64_t>(n)}; }

// What the crashing requests hold besides the part that crashes upstreams.
enum class Beside { kNothing, kPartOfOwnKind, kSharedPart };

class PromptPartSimulation {
 public:
  explicit PromptPartSimulation(std::uint32_t seed)
      : entries_(seed % 3 == 0 ? 12 : 4),
        upstreams_(9),
        beside_(static_cast<Beside>(seed / 3 % 3)),
        deadly_parts_(seed / 9 % 4 == 0 ? 2 : 1) {}

  void Step(RandomChoices choices) {
    now_ += kStepMs;
    const auto kind = choices.Next(16);
    if (kind == 0) Arrive(DeadlyRequest(choices), choices);
    // Several entries get one at the same moment.
    if (kind == 1) {
      for (int n = 0; n < 4; ++n) Arrive(DeadlyRequest(choices), choices);
    }
    if (kind >= 2 && kind <= 9) Arrive(SoundRequest(choices), choices);
    Advance(choices);
  }

  void Drain() const {}

 private:
  Request DeadlyRequest(RandomChoices& choices) {
    Request request{++requests_, {}, true, now_};
    const int which = static_cast<int>(choices.Next(static_cast<std::uint32_t>(deadly_parts_)));
    if (beside_ == Beside::kSharedPart) request.parts.push_back(PartDigest(1));
    if (beside_ == Beside::kPartOfOwnKind) request.parts.push_back(PartDigest(90 + which));
    request.parts.push_back(PartDigest(100 + which));
    return request;
  }

  Request SoundRequest(RandomChoices& choices) {
    const int group = 10 + static_cast<int>(choices.Next(3));
    return {++requests_, {PartDigest(1), PartDigest(group)}, false, now_};
  }

  static bool IsRefused(const Entry& entry, const Request& request) {
    if (entry.refused.empty()) return false;
    const auto digests = PartsAndCombinations(request.parts);
    return std::any_of(digests.begin(), digests.end(),
                       [&](const RequestDigest& it) { return entry.refused.count(it) > 0; });
  }

  void Arrive(const Request& request, RandomChoices& choices) {
    const auto n = choices.Next(static_cast<std::uint32_t>(entries_.size()));
    entries_[n].waiting.push_back(request);
  }

  // Sends what may be sent now, at most once a suspect and entry.
  void SendWaiting(int n, RandomChoices& choices) {
    Entry& entry = entries_[static_cast<std::size_t>(n)];
    std::vector<Request> rest;
    for (const auto& it : entry.waiting) {
      if (IsRefused(entry, it)) {
        Require(it.is_deadly, "a sound request is refused");
        continue;
      }
      if (now_ - it.arrived_at > kPatienceMs || TrySend(n, it, choices)) continue;
      rest.push_back(it);
    }
    entry.waiting = std::move(rest);
  }

  bool TrySend(int n, const Request& request, RandomChoices& choices) {
    Entry& entry = entries_[static_cast<std::size_t>(n)];
    const auto suspected = entry.table.Suspected(request.parts, now_);
    std::optional<RequestDigest> key;
    if (!suspected.empty()) key = suspected.front();
    if (key && (entry.isolation.Find(*key) || entry.table.AwaitsReports(request.parts, now_))) {
      return false;
    }
    const auto instance = Choose(entry, key, choices);
    if (!instance) return false;
    const auto shared = entry.table.FindShared(request.parts, now_);
    if (shared) {
      TimeMs& next = next_turn_[*shared];
      if (now_ < next) return false;
      next = now_ + kTurnMs;
    }
    if (key) entry.isolation.Reserve(std::to_string(*instance), *key);
    upstreams_[static_cast<std::size_t>(*instance)].runs.push_back(
        {request, n, now_, key.has_value()});
    if (!request.is_deadly) return true;
    const int which = static_cast<int>(request.parts.back().low);
    const auto known = known_from_.find(which);
    const bool is_late = known != known_from_.end() && now_ > known->second;
    if (is_late) {
      Require(++late_sends_[which] <= kMaxLateSends, "requests with the part are sent late");
    }
    return true;
  }

  std::optional<int> Choose(const Entry& entry, const std::optional<RequestDigest>& key,
                            RandomChoices& choices) const {
    const auto occupied = key ? entry.isolation.OccupiedByOthers(*key) : std::vector<std::string>();
    std::vector<int> up;
    for (std::size_t n = 0; n < upstreams_.size(); ++n) {
      const auto name = std::to_string(n);
      const bool is_occupied = std::find(occupied.begin(), occupied.end(), name) != occupied.end();
      if (upstreams_[n].down_until <= now_ && !is_occupied) up.push_back(static_cast<int>(n));
    }
    if (up.empty()) return std::nullopt;
    return up[choices.Next(static_cast<std::uint32_t>(up.size()))];
  }

  void Advance(RandomChoices& choices) {
    for (auto it = notices_.begin(); it != notices_.end();) {
      if (it->at > now_) {
        ++it;
        continue;
      }
      Take(*it);
      it = notices_.erase(it);
    }
    for (std::size_t n = 0; n < upstreams_.size(); ++n) RunUpstream(static_cast<int>(n), choices);
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      // Nothing changes later than the report window after the last news.
      if (now_ - last_news_at_ <= kJudgeMs) Judge(static_cast<int>(n));
      SendWaiting(static_cast<int>(n), choices);
    }
  }

  void Take(const Notice& notice) {
    Entry& entry = entries_[static_cast<std::size_t>(notice.to)];
    if (notice.refusal) {
      entry.refused.insert(*notice.refusal);
      return;
    }
    entry.table.Add(notice.crash, now_);
    last_news_at_ = now_;
  }

  void Judge(int n) {
    for (const auto& it : entries_[static_cast<std::size_t>(n)].table.Judge(now_)) {
      entries_[static_cast<std::size_t>(n)].refused.insert(it.part);
      for (std::size_t to = 0; to < entries_.size(); ++to) {
        notices_.push_back({static_cast<int>(to), now_ + kRefusalDelayMs, {}, it.part});
      }
    }
  }

  void RunUpstream(int n, RandomChoices& choices) {
    Upstream& upstream = upstreams_[static_cast<std::size_t>(n)];
    const auto crashing = std::find_if(
        upstream.runs.begin(), upstream.runs.end(),
        [&](const Run& it) { return it.request.is_deadly && now_ - it.since >= kDeadlyRunMs; });
    if (crashing != upstream.runs.end()) {
      const int which = static_cast<int>(crashing->request.parts.back().low);
      return Crash(n, which, choices);
    }
    for (auto it = upstream.runs.begin(); it != upstream.runs.end();) {
      if (now_ - it->since < kRunMs) {
        ++it;
        continue;
      }
      Entry& entry = entries_[static_cast<std::size_t>(it->entry)];
      entry.table.AddSound(it->request.parts, now_);
      entry.table.OnModelAnswered(DigestOfModel("m1"), now_);
      Release(n, *it);
      it = upstream.runs.erase(it);
    }
  }

  void Release(int n, const Run& run) {
    if (!run.was_isolated) return;
    Entry& entry = entries_[static_cast<std::size_t>(run.entry)];
    for (const auto& it : run.request.parts) entry.isolation.Release(std::to_string(n), it);
  }

  void Crash(int n, int which, RandomChoices& choices) {
    Upstream& upstream = upstreams_[static_cast<std::size_t>(n)];
    if (++crashes_[which] == kCrashesToKnow) known_from_[which] = now_ + kKnownMs;
    const std::string name = std::to_string(n) + "-" + std::to_string(upstream.starts++);
    upstream.down_until = now_ + kRestartMs;
    for (std::size_t k = 0; k < entries_.size(); ++k) {
      Entry& entry = entries_[k];
      UpstreamCrash crash;
      crash.instance = name;
      for (const auto& it : upstream.runs) {
        if (it.entry != static_cast<int>(k)) continue;
        auto parts = entry.table.WithoutSound(it.request.parts, now_);
        const bool has_sound = parts.size() < it.request.parts.size();
        crash.suspects.push_back({{1, static_cast<std::uint64_t>(it.request.id)},
                                  false,
                                  it.was_isolated,
                                  std::move(parts),
                                  has_sound,
                                  DigestOfModel("m1")});
        Release(n, it);
      }
      if (crash.suspects.empty()) continue;
      last_news_at_ = now_;
      entry.table.Add(crash, now_);
      crash.sound_parts = entry.table.TakeSoundParts(name, now_);
      for (std::size_t to = 0; to < entries_.size(); ++to) {
        const auto delay = 1 + static_cast<DurationMs>(choices.Next(kMaxDelayMs));
        if (to != k) notices_.push_back({static_cast<int>(to), now_ + delay, crash, std::nullopt});
      }
    }
    upstream.runs.clear();
  }

  std::vector<Entry> entries_;
  std::vector<Upstream> upstreams_;
  std::vector<Notice> notices_;
  std::map<RequestDigest, TimeMs> next_turn_;
  std::map<int, int> crashes_;  // By deadly part.
  std::map<int, int> late_sends_;
  std::map<int, TimeMs> known_from_;
  TimeMs now_ = 1000000;
  TimeMs last_news_at_ = 0;
  int requests_ = 0;
  Beside beside_;
  int deadly_parts_;
};

}  // namespace

TEST_GROUP(RandomPromptParts){};

TEST(RandomPromptParts, AreFoundInTimeAndSoundOnesAreNot) {
  CHECK(RunRandomTest<PromptPartSimulation>("prompt parts"));
}

}  // namespace junctionrail::test

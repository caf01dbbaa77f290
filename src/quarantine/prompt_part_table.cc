#include <algorithm>

#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

// A part is found to cause crashes once it was at this many, of as many different requests. Fewer
// requests that are repeated explain their crashes by themselves.
constexpr int kCausesToFind = 3;
// So many of them happened to requests that were sent alone. Upstreams crash of themselves too, and
// a part that is new may be in the only request there.
constexpr int kIsolatedCrashesToFind = 2;
// From so many crashes on, further requests wait for the reports of the last one.
constexpr int kCausesToWait = 2;
// When there are too many sound parts, the least recently answered ones of so many are dropped.
constexpr std::size_t kDroppedShare = 4;

bool Contains(const std::vector<RequestDigest>& parts, const RequestDigest& part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

void PromptPartTable::AddSound(const std::vector<RequestDigest>& parts, TimeMs now) {
  for (const auto& it : parts) AddSound(it, now);
}

void PromptPartTable::AddSound(const RequestDigest& part, TimeMs now) {
  sound_[part] = now;
  if (sound_.size() <= limits_.max_sound_parts) return;
  std::vector<TimeMs> times;
  for (const auto& [it, answered_at] : sound_) times.push_back(answered_at);
  const auto last_dropped =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / kDroppedShare);
  std::nth_element(times.begin(), last_dropped, times.end());
  for (auto it = sound_.begin(); it != sound_.end();) {
    it = it->second <= *last_dropped ? sound_.erase(it) : std::next(it);
  }
}

bool PromptPartTable::IsSound(const RequestDigest& part, TimeMs now) const {
  const auto it = sound_.find(part);
  return it != sound_.end() && now - it->second < limits_.sound_ttl_ms;
}

PromptPartTable::Crash* PromptPartTable::Find(const std::string& name) {
  const auto it = std::find_if(crashes_.begin(), crashes_.end(),
                               [&](const Crash& crash) { return crash.name == name; });
  return it == crashes_.end() ? nullptr : &*it;
}

void PromptPartTable::Add(const UpstreamCrash& crash, TimeMs now) {
  const TimeMs crashed_at = now - std::max<DurationMs>(0, crash.age_ms);
  if (now - crashed_at >= limits_.suspicion_ttl_ms) return;
  for (const auto& it : crash.sound_parts) AddSound(it, now);
  Crash* known = Find(crash.instance);
  const bool has_parts = std::any_of(crash.suspects.begin(), crash.suspects.end(),
                                     [](const Suspect& it) { return !it.parts.empty(); });
  if (known == nullptr && !has_parts) return;
  if (known == nullptr) {
    crashes_.push_back({crash.instance, crashed_at, {}, {}, 0, false});
    if (crashes_.size() > limits_.max_crashes) crashes_.pop_front();
    known = &crashes_.back();
  }
  known->crashed_at = std::min(known->crashed_at, crashed_at);
  for (const auto& it : crash.sound_parts) {
    if (!Contains(known->reported_sound, it)) known->reported_sound.push_back(it);
  }
  for (const auto& it : crash.suspects) {
    const bool is_known =
        std::any_of(known->suspects.begin(), known->suspects.end(),
                    [&](const SuspectParts& other) { return other.request == it.digest; });
    if (is_known || known->part_count + it.parts.size() > limits_.max_parts) continue;
    known->part_count += it.parts.size();
    known->suspects.push_back({it.digest, it.parts, it.was_isolated, it.has_sound_part});
    known->is_explained |= std::any_of(it.parts.begin(), it.parts.end(),
                                       [this](const auto& part) { return found_.count(part) > 0; });
  }
}

std::vector<RequestDigest> PromptPartTable::TakeSoundParts(const std::string& crash, TimeMs now) {
  std::vector<RequestDigest> sound;
  Crash* known = Find(crash);
  if (known == nullptr) return sound;
  for (const auto& suspect : known->suspects) {
    for (const auto& it : suspect.parts) {
      if (!IsSound(it, now) || Contains(known->reported_sound, it)) continue;
      known->reported_sound.push_back(it);
      sound.push_back(it);
    }
  }
  return sound;
}

std::vector<RequestDigest> PromptPartTable::WithoutSound(const std::vector<RequestDigest>& parts,
                                                         TimeMs now) const {
  std::vector<RequestDigest> others;
  for (const auto& it : parts) {
    if (!IsSound(it, now)) others.push_back(it);
  }
  return others;
}

PromptPartTable::Parts PromptPartTable::AllPartsOf(const Crash& crash, TimeMs now) const {
  Parts parts;
  for (const auto& suspect : crash.suspects) {
    for (const auto& it : suspect.parts) {
      if (!IsSound(it, now)) parts.insert(it);
    }
  }
  return parts;
}

std::vector<const PromptPartTable::Crash*> PromptPartTable::CrashesWith(const RequestDigest& part,
                                                                        TimeMs now) const {
  std::vector<const Crash*> with;
  for (const auto& it : crashes_) {
    if (it.is_explained || now - it.crashed_at >= limits_.suspicion_ttl_ms) continue;
    const bool has_part =
        std::any_of(it.suspects.begin(), it.suspects.end(),
                    [&](const SuspectParts& suspect) { return Contains(suspect.parts, part); });
    if (has_part) with.push_back(&it);
  }
  return with;
}

int PromptPartTable::CountCauses(const std::vector<const Crash*>& crashes) const {
  std::vector<TimeMs> times;
  for (const Crash* it : crashes) times.push_back(it->crashed_at);
  std::sort(times.begin(), times.end());
  int causes = 0;
  for (std::size_t n = 0; n < times.size(); ++n) {
    const bool is_same = n > 0 && times[n] - times[n - 1] < limits_.common_cause_window_ms;
    if (!is_same) ++causes;
  }
  return causes;
}

std::vector<RequestDigest> PromptPartTable::Suspected(const std::vector<RequestDigest>& parts,
                                                      TimeMs now) const {
  std::vector<std::pair<int, RequestDigest>> suspected;
  for (const auto& it : parts) {
    const int causes = IsSound(it, now) ? 0 : CountCauses(CrashesWith(it, now));
    if (causes > 0) suspected.emplace_back(causes, it);
  }
  std::stable_sort(suspected.begin(), suspected.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<RequestDigest> ordered;
  for (const auto& [causes, it] : suspected) ordered.push_back(it);
  return ordered;
}

bool PromptPartTable::AwaitsReports(const std::vector<RequestDigest>& parts, TimeMs now) const {
  return std::any_of(parts.begin(), parts.end(), [&](const RequestDigest& part) {
    if (IsSound(part, now)) return false;
    const auto crashes = CrashesWith(part, now);
    if (CountCauses(crashes) < kCausesToWait) return false;
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash* it) {
      return now - it->crashed_at < limits_.report_window_ms;
    });
  });
}

// Requests that are repeated and were at all crashes of their part explain them by themselves, be
// it one or a pair; what becomes of those is up to QuarantineTable.
bool PromptPartTable::AreExplainedByRequests(const std::vector<const Crash*>& crashes,
                                             const RequestDigest& part) {
  using CrashSet = std::vector<bool>;  // By position in `crashes`.
  std::map<RequestDigest, CrashSet> by_request;
  for (std::size_t n = 0; n < crashes.size(); ++n) {
    for (const auto& it : crashes[n]->suspects) {
      if (!Contains(it.parts, part)) continue;
      CrashSet& set = by_request[it.request];
      set.resize(crashes.size());
      set[n] = true;
    }
  }
  std::set<CrashSet> sets;
  for (const auto& [request, set] : by_request) sets.insert(set);
  const auto cover = [&](const CrashSet& a, const CrashSet& b) {
    for (std::size_t n = 0; n < crashes.size(); ++n) {
      if (!a[n] && !b[n]) return false;
    }
    return true;
  };
  return std::any_of(sets.begin(), sets.end(), [&](const CrashSet& a) {
    return std::any_of(sets.begin(), sets.end(), [&](const CrashSet& b) { return cover(a, b); });
  });
}

// The requests with the part that were sent alone, if the crash says something about it: entries
// may each have sent a request alone to one upstream, and any of them may be the cause. As long as
// none of a request's parts is known to be sound, a part that all requests share looks like the
// cause.
std::vector<RequestDigest> PromptPartTable::ExplainedRequests(const Crash& crash,
                                                              const RequestDigest& part, int causes,
                                                              TimeMs now) const {
  std::vector<RequestDigest> requests;
  for (const auto& it : crash.suspects) {
    if (!it.was_isolated) continue;
    if (!Contains(it.parts, part)) return {};
    const auto candidates = WithoutSound(it.parts, now);
    const bool has_sound_part = it.has_sound_part || candidates.size() < it.parts.size();
    const bool is_explained =
        std::all_of(candidates.begin(), candidates.end(), [&](const RequestDigest& other) {
          return other == part || CountCauses(CrashesWith(other, now)) < causes;
        });
    if (has_sound_part && is_explained) requests.push_back(it.request);
  }
  return requests;
}

bool PromptPartTable::IsProven(const RequestDigest& part, TimeMs now) const {
  std::vector<const Crash*> reported;
  for (const Crash* it : CrashesWith(part, now)) {
    if (now - it->crashed_at >= limits_.report_window_ms) reported.push_back(it);
  }
  const int causes = CountCauses(reported);
  if (causes < kCausesToFind || AreExplainedByRequests(reported, part)) return false;
  std::vector<const Crash*> isolated;
  std::set<RequestDigest> isolated_requests;
  for (const Crash* it : reported) {
    const auto alone = ExplainedRequests(*it, part, causes, now);
    if (!alone.empty()) isolated.push_back(it);
    isolated_requests.insert(alone.begin(), alone.end());
  }
  return CountCauses(isolated) >= kIsolatedCrashesToFind &&
         isolated_requests.size() >= kIsolatedCrashesToFind;
}

std::vector<PromptPartTable::Finding> PromptPartTable::Judge(TimeMs now) {
  Parts all;
  for (const auto& crash : crashes_) {
    if (crash.is_explained) continue;
    const Parts parts = AllPartsOf(crash, now);
    all.insert(parts.begin(), parts.end());
  }
  std::vector<Finding> found;
  for (const auto& it : all) {
    if (!IsProven(it, now)) continue;
    found.push_back({it, {}});
    for (const Crash* crash : CrashesWith(it, now)) found.back().crashes.push_back(crash->name);
  }
  for (const auto& finding : found) {
    found_[finding.part] = now;
    for (auto& crash : crashes_) {
      crash.is_explained |= AllPartsOf(crash, now).count(finding.part) > 0;
    }
  }
  return found;
}

void PromptPartTable::Expire(TimeMs now) {
  while (!crashes_.empty() && now - crashes_.front().crashed_at >= limits_.suspicion_ttl_ms) {
    crashes_.pop_front();
  }
  for (auto it = found_.begin(); it != found_.end();) {
    it = now - it->second >= limits_.suspicion_ttl_ms ? found_.erase(it) : std::next(it);
  }
}

}  // namespace junctionrail

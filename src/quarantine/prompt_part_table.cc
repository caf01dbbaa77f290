#include <algorithm>
#include <iterator>

#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

// A part is found to cause crashes once it was at this many, of as many different requests. Fewer
// requests that are repeated explain their crashes by themselves.
constexpr int kCausesToFind = 3;
// So many of them happened to requests that were sent alone. Upstreams crash of themselves too, and
// a part that is new may be in the only request there.
constexpr int kIsolatedCrashesToFind = 2;
// One more if none of their other parts is known to be sound, and what speaks against the part is
// that its model answers other requests.
constexpr int kIsolatedCrashesWithoutSoundPart = 3;
constexpr std::size_t kIsolatedRequestsToFind = 2;
constexpr std::size_t kIsolatedRequestsWithoutSoundPart = 3;
// Such crashes count once reports over slow paths have arrived, too: one that another entry's
// request was alone at says nothing.
constexpr DurationMs kLateReportsMs = 500;
// From so many crashes on, further requests wait for the reports of the last one.
constexpr int kCausesToWait = 2;
// When there are too many sound parts, the least recently answered ones of so many are dropped.
constexpr std::size_t kDroppedShare = 4;

bool Contains(const std::vector<RequestDigest>& parts, const RequestDigest& part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool ContainsAll(const std::vector<RequestDigest>& parts,
                 const std::vector<RequestDigest>& combination) {
  return std::all_of(combination.begin(), combination.end(),
                     [&parts](const RequestDigest& it) { return Contains(parts, it); });
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

void PromptPartTable::OnModelAnswered(const RequestDigest& model, TimeMs now) {
  answered_models_[model] = now;
  if (answered_models_.size() <= limits_.max_models) return;
  const auto oldest =
      std::min_element(answered_models_.begin(), answered_models_.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  answered_models_.erase(oldest);
}

bool PromptPartTable::HasAnswered(const RequestDigest& model, TimeMs crashed_at) const {
  const auto it = answered_models_.find(model);
  return it != answered_models_.end() && it->second >= crashed_at - limits_.model_answer_ms;
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
    known->suspects.push_back({it.digest, it.parts, it.was_isolated, it.has_sound_part, it.model});
    known->is_explained |= std::any_of(found_.begin(), found_.end(), [&it](const Found& found) {
      return ContainsAll(it.parts, found.parts);
    });
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

bool PromptPartTable::IsShared(const RequestDigest& part, TimeMs now) const {
  if (IsSound(part, now)) return false;
  const auto crashes = CrashesWith(part, now);
  return CountCauses(crashes) >= kCausesToWait && !AreExplainedByRequests(crashes, part);
}

std::optional<RequestDigest> PromptPartTable::FindShared(const std::vector<RequestDigest>& parts,
                                                         TimeMs now) const {
  for (const auto& it : Suspected(parts, now)) {
    if (IsShared(it, now)) return it;
  }
  return std::nullopt;
}

std::vector<RequestDigest> PromptPartTable::SharedParts(TimeMs now) const {
  Parts all;
  for (const auto& crash : crashes_) {
    if (crash.is_explained) continue;
    const Parts parts = AllPartsOf(crash, now);
    all.insert(parts.begin(), parts.end());
  }
  std::vector<RequestDigest> shared;
  for (const auto& it : Suspected({all.begin(), all.end()}, now)) {
    if (shared.size() == limits_.max_shared_parts) break;
    if (IsShared(it, now)) shared.push_back(it);
  }
  return shared;
}

std::vector<const PromptPartTable::Crash*> PromptPartTable::ReportedCrashesWith(
    const RequestDigest& part, TimeMs now) const {
  std::vector<const Crash*> reported;
  for (const Crash* it : CrashesWith(part, now)) {
    if (now - it->crashed_at >= limits_.report_window_ms) reported.push_back(it);
  }
  return reported;
}

// Those of its companions that were at as many crashes, and in each of its requests that was sent
// alone, cannot be told apart from it.
std::vector<RequestDigest> PromptPartTable::WithCompanions(const RequestDigest& part,
                                                           const std::vector<const Crash*>& crashes,
                                                           int causes, TimeMs now) const {
  std::optional<std::vector<RequestDigest>> common;
  for (const Crash* crash : crashes) {
    for (const auto& it : crash->suspects) {
      if (!it.was_isolated || !Contains(it.parts, part)) continue;
      if (!common) common = WithoutSound(it.parts, now);
      common->erase(std::remove_if(common->begin(), common->end(),
                                   [&](const RequestDigest& o) { return !Contains(it.parts, o); }),
                    common->end());
    }
  }
  std::vector<RequestDigest> combination = {part};
  for (const auto& it : common.value_or(std::vector<RequestDigest>())) {
    const bool is_companion = !(it == part) && CountCauses(CrashesWith(it, now)) >= causes;
    if (is_companion && combination.size() < kMaxCombinedParts) combination.push_back(it);
  }
  std::sort(combination.begin(), combination.end());
  return combination;
}

// A request that was sent alone because of a part that has been answered since is not the cause.
// One that was at several crashes, or of which no part was suspected, was sent alone for itself.
bool PromptPartTable::IsCleared(const SuspectParts& suspect, TimeMs now) const {
  if (suspect.parts.empty() || !WithoutSound(suspect.parts, now).empty()) return false;
  const auto crashes = std::count_if(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [&](const SuspectParts& it) { return it.request == suspect.request; });
  });
  return crashes == 1;
}

// Entries may each have sent a request alone to one upstream, and any of them may be the cause. A
// part that all requests share looks like the cause as long as no other part of them is known to be
// sound; what tells it apart then is that the model answers requests without it.
PromptPartTable::Evidence PromptPartTable::EvidenceOf(const Crash& crash,
                                                      const std::vector<RequestDigest>& combination,
                                                      int causes, TimeMs now) const {
  Evidence evidence;
  for (const auto& it : crash.suspects) {
    if (!it.was_isolated || IsCleared(it, now)) continue;
    if (!ContainsAll(it.parts, combination)) return {};
    const auto candidates = WithoutSound(it.parts, now);
    const bool is_explained =
        std::all_of(candidates.begin(), candidates.end(), [&](const RequestDigest& other) {
          return Contains(combination, other) || CountCauses(CrashesWith(other, now)) < causes;
        });
    if (!is_explained) continue;
    const bool is_beside_sound_part = it.has_sound_part || candidates.size() < it.parts.size();
    if (is_beside_sound_part) evidence.beside_sound_parts.push_back(it.request);
    if (is_beside_sound_part || HasAnswered(it.model, crash.crashed_at)) {
      evidence.requests.push_back(it.request);
    }
  }
  return evidence;
}

// A part of other requests, which were not suspected when they were sent, explains the crashes as
// well if it was at all of them.
bool PromptPartTable::HaveOtherPart(const std::vector<const Crash*>& crashes,
                                    const std::vector<RequestDigest>& combination,
                                    TimeMs now) const {
  std::optional<Parts> common;
  for (const Crash* crash : crashes) {
    Parts others;
    for (const auto& it : crash->suspects) {
      if (it.was_isolated || ContainsAll(it.parts, combination)) continue;
      for (const auto& part : WithoutSound(it.parts, now)) {
        if (!common || common->count(part) > 0) others.insert(part);
      }
    }
    common = std::move(others);
  }
  return common && !common->empty();
}

std::vector<RequestDigest> PromptPartTable::FindCause(const RequestDigest& part, TimeMs now) const {
  const auto reported = ReportedCrashesWith(part, now);
  const int causes = CountCauses(reported);
  if (causes < kCausesToFind || AreExplainedByRequests(reported, part)) return {};
  const auto combination = WithCompanions(part, reported, causes, now);
  std::vector<const Crash*> isolated;
  std::vector<const Crash*> beside_sound_parts;
  std::set<RequestDigest> requests;
  std::set<RequestDigest> requests_beside_sound_parts;
  for (const Crash* it : reported) {
    const Evidence evidence = EvidenceOf(*it, combination, causes, now);
    if (!evidence.beside_sound_parts.empty()) beside_sound_parts.push_back(it);
    requests_beside_sound_parts.insert(evidence.beside_sound_parts.begin(),
                                       evidence.beside_sound_parts.end());
    if (evidence.requests.empty() || now - it->crashed_at < kLateReportsMs) continue;
    isolated.push_back(it);
    requests.insert(evidence.requests.begin(), evidence.requests.end());
  }
  const bool is_single_cause = combination.size() == 1 &&
                               CountCauses(beside_sound_parts) >= kIsolatedCrashesToFind &&
                               requests_beside_sound_parts.size() >= kIsolatedRequestsToFind &&
                               !HaveOtherPart(beside_sound_parts, combination, now);
  const bool is_cause = CountCauses(isolated) >= kIsolatedCrashesWithoutSoundPart &&
                        requests.size() >= kIsolatedRequestsWithoutSoundPart &&
                        !HaveOtherPart(isolated, combination, now);
  return is_single_cause || is_cause ? combination : std::vector<RequestDigest>();
}

bool PromptPartTable::HasSuspectWith(const Crash& crash,
                                     const std::vector<RequestDigest>& combination) {
  return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                     [&](const SuspectParts& it) { return ContainsAll(it.parts, combination); });
}

// If a part of a combination has been answered since it was found, the others are the cause.
std::vector<PromptPartTable::Finding> PromptPartTable::NarrowCombinations(TimeMs now) {
  std::vector<Finding> narrowed;
  for (auto& it : found_) {
    auto rest = WithoutSound(it.parts, now);
    if (rest.empty() || rest.size() == it.parts.size()) continue;
    it.parts = std::move(rest);
    narrowed.push_back({CombinationOf(it.parts), {}});
  }
  return narrowed;
}

std::vector<PromptPartTable::Finding> PromptPartTable::Judge(TimeMs now) {
  std::vector<Finding> found = NarrowCombinations(now);
  Parts all;
  for (const auto& crash : crashes_) {
    if (crash.is_explained) continue;
    const Parts parts = AllPartsOf(crash, now);
    all.insert(parts.begin(), parts.end());
  }
  std::set<std::vector<RequestDigest>> causes;
  for (const auto& it : all) {
    auto cause = FindCause(it, now);
    if (!cause.empty()) causes.insert(std::move(cause));
  }
  for (const auto& it : causes) {
    found.push_back({CombinationOf(it), {}});
    for (const auto& crash : crashes_) {
      if (!crash.is_explained && HasSuspectWith(crash, it))
        found.back().crashes.push_back(crash.name);
    }
  }
  for (const auto& it : causes) {
    found_.push_back({it, now});
    for (auto& crash : crashes_) crash.is_explained |= HasSuspectWith(crash, it);
  }
  return found;
}

void PromptPartTable::Expire(TimeMs now) {
  while (!crashes_.empty() && now - crashes_.front().crashed_at >= limits_.suspicion_ttl_ms) {
    crashes_.pop_front();
  }
  found_.erase(std::remove_if(found_.begin(), found_.end(),
                              [&](const Found& it) { return now - it.at >= limits_.sound_ttl_ms; }),
               found_.end());
}

}  // namespace junctionrail

#include <algorithm>
#include <utility>

#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

// Two crashes identify a request only if it was the only likely suspect at the second one; three
// are sufficient unless another request is the likelier cause of all of them.
constexpr int kCrashesIfIsolated = 2;
constexpr int kCrashesToRefuse = 3;
// Separates an instance from the number of its restarts since it was listed.
constexpr char kRestartSeparator[] = "+";

const Suspect* FindSuspect(const std::vector<Suspect>& suspects, const RequestDigest& digest) {
  const auto it = std::find_if(suspects.begin(), suspects.end(),
                               [&](const Suspect& suspect) { return suspect.digest == digest; });
  return it == suspects.end() ? nullptr : &*it;
}

}  // namespace

void QuarantineTable::AddPending(const UpstreamCrash& crash, TimeMs now) {
  if (!IsKnown(crash.instance)) AddCrash(crash, true, now);
}

void QuarantineTable::Withdraw(const std::string& instance) {
  const auto it = crashes_.find(instance);
  if (it != crashes_.end() && it->second.is_pending) RemoveCrash(instance);
}

bool QuarantineTable::Add(const UpstreamCrash& crash, TimeMs now) {
  return AddCrash(crash, false, now);
}

bool QuarantineTable::AddCrash(const UpstreamCrash& crash, bool is_pending, TimeMs now) {
  const TimeMs crashed_at = now - std::max<DurationMs>(0, crash.age_ms);
  if (now - crashed_at >= limits_.suspicion_ttl_ms) return false;
  const auto [it, is_new] = crashes_.emplace(crash.instance, Crash{crashed_at, is_pending, {}, {}});
  Crash& known = it->second;
  if (is_new) crash_order_.push_back(crash.instance);
  bool is_new_information = known.is_pending && !is_pending;
  known.is_pending = known.is_pending && is_pending;
  known.crashed_at = std::min(known.crashed_at, crashed_at);
  for (const auto& suspect : crash.suspects) {
    const auto cleared = cleared_.find(suspect.digest);
    const bool was_cleared = cleared != cleared_.end() && cleared->second >= known.crashed_at;
    const bool is_full = known.suspects.size() >= limits_.max_suspects;
    if (was_cleared || is_full || FindSuspect(known.suspects, suspect.digest) != nullptr) continue;
    known.suspects.push_back(suspect);
    is_new_information = true;
  }
  for (const auto& part : crash.sound_parts) {
    auto& sound = known.sound_parts;
    if (std::find(sound.begin(), sound.end(), part) != sound.end()) continue;
    if (sound.size() >= limits_.max_suspects) break;
    sound.push_back(part);
    is_new_information = true;
  }
  for (const auto& suspect : known.suspects) {
    auto& evidence = evidence_[suspect.digest];
    auto item = std::find_if(evidence.begin(), evidence.end(), [&](const Evidence& other) {
      return other.instance == crash.instance;
    });
    if (item == evidence.end()) item = evidence.insert(evidence.end(), Evidence{});
    *item = {crash.instance, known.crashed_at, known.is_pending, suspect.has_sent_event,
             suspect.was_isolated};
  }
  const std::vector<Suspect> suspects = known.suspects;
  for (const auto& suspect : suspects) RefuseIfProven(suspect.digest, now);
  if (crashes_.size() > limits_.max_crashes) RemoveCrash(crash_order_.front());
  return is_new_information;
}

void QuarantineTable::RemoveCrash(const std::string& instance) {
  const auto it = crashes_.find(instance);
  if (it == crashes_.end()) return;
  for (const auto& suspect : it->second.suspects) RemoveEvidence(suspect.digest, instance);
  crashes_.erase(it);
  crash_order_.erase(std::remove(crash_order_.begin(), crash_order_.end(), instance),
                     crash_order_.end());
}

void QuarantineTable::RemoveEvidence(const RequestDigest& digest, const std::string& instance) {
  const auto it = evidence_.find(digest);
  if (it == evidence_.end()) return;
  auto& evidence = it->second;
  evidence.erase(std::remove_if(evidence.begin(), evidence.end(),
                                [&](const Evidence& item) { return item.instance == instance; }),
                 evidence.end());
  if (evidence.empty()) evidence_.erase(it);
}

void QuarantineTable::Clear(const RequestDigest& digest, TimeMs now) {
  const auto it = evidence_.find(digest);
  if (it == evidence_.end()) return;
  ++cleared_count_;
  cleared_[digest] = now;
  for (const auto& item : it->second) {
    auto& suspects = crashes_[item.instance].suspects;
    suspects.erase(std::remove_if(suspects.begin(), suspects.end(),
                                  [&](const Suspect& other) { return other.digest == digest; }),
                   suspects.end());
  }
  evidence_.erase(it);
}

// A suspect is proven if it was present at a crash with another cause and then was the only likely
// suspect at a later one, which it was sent to in isolation. What other entries report counts
// within report_window_ms. Three crashes are sufficient even if it was never alone: each further
// crash interrupts up to 64 unrelated streams, while a wrong refusal affects a single request. Only
// a suspect that is likelier, and thus refused, keeps it from being refused.
bool QuarantineTable::IsProven(const RequestDigest& digest, const std::vector<Evidence>& evidence,
                               Proof proof, TimeMs now) const {
  const bool is_final = proof == Proof::kFinal;
  std::vector<const Evidence*> crashes;
  for (const auto& it : evidence) {
    const bool is_reported = now - it.crashed_at >= limits_.report_window_ms;
    if (!is_final || (is_reported && !it.is_pending)) crashes.push_back(&it);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Evidence* a, const Evidence* b) { return a->crashed_at < b->crashed_at; });
  if (IsProvenByIsolation(digest, crashes)) return true;
  return CountCauses(crashes) >= kCrashesToRefuse && !HasLikelierSuspect(digest, crashes);
}

// A crash at which only another suspect was isolated says little about this one.
bool QuarantineTable::IsProvenByIsolation(const RequestDigest& digest,
                                          const std::vector<const Evidence*>& crashes) const {
  std::vector<const Evidence*> so_far;
  for (const Evidence* it : crashes) {
    if (!it->was_isolated && HasOtherIsolatedSuspect(digest, it->instance)) continue;
    so_far.push_back(it);
    const bool was_only_one = it->was_isolated && IsOnlyLikelySuspect(digest, it->instance);
    if (was_only_one && CountCauses(so_far) >= kCrashesIfIsolated) return true;
  }
  return false;
}

int QuarantineTable::CountCauses(const std::vector<const Evidence*>& crashes) const {
  int causes = 0;
  TimeMs last_at = 0;
  for (const Evidence* it : crashes) {
    const bool is_same = causes > 0 && it->crashed_at - last_at < limits_.common_cause_window_ms;
    last_at = it->crashed_at;
    if (!is_same) ++causes;
  }
  return causes;
}

bool QuarantineTable::HasOtherIsolatedSuspect(const RequestDigest& digest,
                                              const std::string& instance) const {
  const auto crash = crashes_.find(instance);
  if (crash == crashes_.end()) return false;
  const auto& suspects = crash->second.suspects;
  return std::any_of(suspects.begin(), suspects.end(),
                     [&](const Suspect& it) { return it.was_isolated && !(it.digest == digest); });
}

// Callers that send a stream again after each crash may meet the cause three times.
bool QuarantineTable::HasLikelierSuspect(const RequestDigest& digest,
                                         const std::vector<const Evidence*>& crashes) const {
  const auto first = crashes_.find(crashes.front()->instance);
  if (first == crashes_.end()) return false;
  const int isolations = CountIsolations(digest, crashes);
  const auto& suspects = first->second.suspects;
  return std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& it) {
    return CountIsolations(it.digest, crashes) > isolations;
  });
}

int QuarantineTable::CountIsolations(const RequestDigest& digest,
                                     const std::vector<const Evidence*>& crashes) const {
  const auto evidence = evidence_.find(digest);
  if (evidence == evidence_.end()) return 0;
  int isolations = 0;
  for (const Evidence* crash : crashes) {
    const auto it = std::find_if(evidence->second.begin(), evidence->second.end(),
                                 [&](const Evidence& o) { return o.instance == crash->instance; });
    if (it == evidence->second.end()) return 0;
    isolations += it->was_isolated ? 1 : 0;
  }
  return isolations;
}

bool QuarantineTable::AwaitsReports(const RequestDigest& digest, TimeMs now) const {
  const auto it = evidence_.find(digest);
  if (it == evidence_.end() || IsRefused(digest, now)) return false;
  if (!IsProven(digest, it->second, Proof::kProvisional, now)) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const Evidence& crash) {
    const DurationMs window =
        crash.is_pending ? limits_.confirmation_window_ms : limits_.report_window_ms;
    return now - crash.crashed_at < window;
  });
}

// Another suspect is as likely a cause if its entry isolated it too, or if it was at other crashes
// as well: requests whose responses had started are not isolated for a single crash.
bool QuarantineTable::IsOnlyLikelySuspect(const RequestDigest& digest,
                                          const std::string& instance) const {
  const auto crash = crashes_.find(instance);
  if (crash == crashes_.end() || HasOtherIsolatedSuspect(digest, instance)) return false;
  const auto& suspects = crash->second.suspects;
  return std::none_of(suspects.begin(), suspects.end(), [&](const Suspect& it) {
    return !(it.digest == digest) && HasRepeated(it.digest);
  });
}

bool QuarantineTable::HasRepeated(const RequestDigest& digest) const {
  const auto it = evidence_.find(digest);
  return it != evidence_.end() && it->second.size() >= kCrashesIfIsolated;
}

void QuarantineTable::RefuseIfProven(const RequestDigest& digest, TimeMs now) {
  const auto it = evidence_.find(digest);
  if (it == evidence_.end() || refused_.count(digest) > 0) return;
  if (!IsProven(digest, it->second, Proof::kFinal, now)) return;
  Refuse(digest, now);
  refused_[digest].crashes = static_cast<int>(it->second.size());
  newly_refused_.push_back(digest);
}

void QuarantineTable::Refuse(const RequestDigest& digest, TimeMs now) {
  if (refused_.size() >= limits_.max_refusals && refused_.count(digest) == 0) {
    const auto oldest = std::min_element(
        refused_.begin(), refused_.end(),
        [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
    refused_.erase(oldest);
  }
  refused_.emplace(digest, Refusal{digest, now, 0});
}

void QuarantineTable::RefusePart(const RequestDigest& part, int crashes, TimeMs now) {
  if (refused_.count(part) > 0) return;
  Refuse(part, now);
  refused_[part].crashes = crashes;
  newly_refused_.push_back(part);
}

bool QuarantineTable::IsRefused(const RequestDigest& digest, TimeMs now) const {
  const auto it = refused_.find(digest);
  return it != refused_.end() && now - it->second.since < limits_.refusal_ttl_ms;
}

bool QuarantineTable::Release(const RequestDigest& digest, TimeMs now) {
  if (refused_.erase(digest) == 0) return false;
  // One crash is kept on record, so that the request is isolated and the next crash refuses it.
  Clear(digest, now);
  cleared_.erase(digest);
  UpstreamCrash crash;
  crash.instance = "released " + digest.ToString();
  crash.suspects.push_back({digest, false, false});
  AddCrash(crash, false, now);
  return true;
}

void QuarantineTable::Expire(TimeMs now) {
  for (const auto& [digest, evidence] : evidence_) RefuseIfProven(digest, now);
  while (!crash_order_.empty() &&
         now - crashes_[crash_order_.front()].crashed_at >= limits_.suspicion_ttl_ms) {
    RemoveCrash(std::string(crash_order_.front()));
  }
  for (auto it = cleared_.begin(); it != cleared_.end();) {
    it = now - it->second >= limits_.suspicion_ttl_ms ? cleared_.erase(it) : std::next(it);
  }
  for (auto it = refused_.begin(); it != refused_.end();) {
    it = now - it->second.since >= limits_.refusal_ttl_ms ? refused_.erase(it) : std::next(it);
  }
}

QuarantineStatus QuarantineTable::StatusOf(const RequestDigest& digest, TimeMs now) const {
  if (IsRefused(digest, now)) return QuarantineStatus::kRefused;
  const auto it = evidence_.find(digest);
  if (it == evidence_.end()) return QuarantineStatus::kClear;
  const auto& evidence = it->second;
  // Whether the last upstream has crashed, and which other suspects it had, is not settled until
  // report_window_ms has passed. Until then the request is refused, as another attempt would most
  // likely crash another upstream.
  if (IsProven(digest, evidence, Proof::kProvisional, now)) return QuarantineStatus::kRefused;
  // A request whose response had started is an unlikely cause: no response to a recorded cause had
  // started. It is not isolated for a single crash.
  const bool is_suspect =
      HasRepeated(digest) || std::any_of(evidence.begin(), evidence.end(),
                                         [](const Evidence& item) { return !item.has_sent_event; });
  return is_suspect ? QuarantineStatus::kSuspect : QuarantineStatus::kClear;
}

std::string QuarantineTable::CrashName(const std::string& instance, TimeMs connected_at) const {
  std::string name = instance;
  for (int restarts = 1;; ++restarts) {
    const auto it = crashes_.find(name);
    if (it == crashes_.end() || connected_at <= it->second.crashed_at) return name;
    name = instance + kRestartSeparator + std::to_string(restarts);
  }
}

std::string QuarantineTable::InstanceOfCrash(const std::string& name) {
  return name.substr(0, name.find(kRestartSeparator));
}

std::vector<UpstreamCrash> QuarantineTable::RecentCrashes(TimeMs now) const {
  std::vector<UpstreamCrash> crashes;
  for (const auto& it : crash_order_) {
    auto crash = Find(it, now);
    if (crash && !crash->suspects.empty()) crashes.push_back(std::move(*crash));
  }
  return crashes;
}

std::optional<UpstreamCrash> QuarantineTable::Find(const std::string& instance, TimeMs now) const {
  const auto it = crashes_.find(instance);
  if (it == crashes_.end() || it->second.is_pending) return std::nullopt;
  const Crash& crash = it->second;
  return UpstreamCrash{instance, now - crash.crashed_at, crash.suspects, false, crash.sound_parts};
}

std::vector<RequestDigest> QuarantineTable::TakeNewRefusals() {
  return std::exchange(newly_refused_, {});
}

std::vector<QuarantineTable::Refusal> QuarantineTable::Refusals() const {
  std::vector<Refusal> all;
  for (const auto& [digest, it] : refused_) all.push_back(it);
  return all;
}

std::vector<std::string> SuspectIsolation::OccupiedByOthers(const RequestDigest& digest) const {
  std::vector<std::string> occupied;
  for (const auto& [instance, at] : suspects_) {
    if (!(at == digest)) occupied.push_back(instance);
  }
  return occupied;
}

std::vector<std::string> SuspectIsolation::Occupied() const {
  std::vector<std::string> occupied;
  for (const auto& [instance, at] : suspects_) occupied.push_back(instance);
  return occupied;
}

std::optional<std::string> SuspectIsolation::Find(const RequestDigest& digest) const {
  const auto it = std::find_if(suspects_.begin(), suspects_.end(),
                               [&](const auto& entry) { return entry.second == digest; });
  return it == suspects_.end() ? std::nullopt : std::optional<std::string>(it->first);
}

bool SuspectIsolation::Reserve(const std::string& instance, const RequestDigest& digest) {
  return suspects_.emplace(instance, digest).first->second == digest;
}

void SuspectIsolation::Release(const std::string& instance, const RequestDigest& digest) {
  const auto it = suspects_.find(instance);
  if (it != suspects_.end() && it->second == digest) suspects_.erase(it);
}

}  // namespace junctionrail

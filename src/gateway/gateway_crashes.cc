// Crashes of upstreams: the requests and prompt parts that are suspected of them, and their
// release.
#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail {

// Handles a crash that this entry detected or had suspects in. Digests are truncated to eight
// digits, so that the log line has room for all likely suspects.
void Gateway::Impl::OnUpstreamCrashed(const UpstreamCrash& crash, std::string_view evidence) {
  constexpr std::size_t kShortDigits = 8;
  ++counters.upstreams_crashed;
  std::string suspects;
  std::map<RequestDigest, int> part_counts;
  for (const auto& it : crash.suspects) {
    if (!suspects.empty()) suspects += ' ';
    suspects += it.digest.ToString().substr(0, kShortDigits);
    if (it.has_sent_event) suspects += '+';
    if (it.was_isolated) suspects += '!';
    for (const auto& part : it.parts) ++part_counts[part];
  }
  std::string parts;
  for (const auto& [part, n] : part_counts) {
    if (!parts.empty()) parts += ' ';
    parts += part.ToString().substr(0, kShortDigits) + "x" + std::to_string(n);
  }
  log.Write(MonotonicMs(), "upstream_ended",
            {{"upstream", crash.instance},
             {"evidence", evidence},
             {"age_ms", crash.age_ms},
             {"count", static_cast<std::int64_t>(crash.suspects.size())},
             {"suspects", suspects},
             {"parts", parts}});
  const TimeMs now = MonotonicMs();
  quarantine.Add(crash, now);
  prompt_parts.Add(crash, now);
  ReportQuarantined();
  JudgePartsSoon();
  UpstreamCrash report = crash;
  report.sound_parts = prompt_parts.TakeSoundParts(crash.instance, now);
  if (on_upstream_crash) on_upstream_crash(report);
  RetrySuspects();
}

void Gateway::Impl::AddUpstreamCrash(const UpstreamCrash& crash) {
  const TimeMs now = MonotonicMs();
  crash_detector.OnCrashReported(crash, now);
  const bool is_news = quarantine.Add(crash, now);
  prompt_parts.Add(crash, now);
  // What this entry has seen answered clears parts at the entries that have not.
  const auto sound = prompt_parts.TakeSoundParts(crash.instance, now);
  if (!sound.empty() && on_upstream_crash) {
    on_upstream_crash({crash.instance, crash.age_ms, {}, false, sound});
  }
  if (!is_news) return;
  ReportQuarantined();
  JudgePartsSoon();
  RetrySuspects();
}

void Gateway::Impl::JudgePartsSoon() {
  judge_timer.After(PromptPartLimits().report_window_ms, [self = shared_from_this()] {
    self->JudgeParts();
    self->RetrySuspects();
  });
}

void Gateway::Impl::JudgeParts() {
  if (!prompt_parts.HasCrashes() && !prompt_parts.HasFound()) return;
  const TimeMs now = MonotonicMs();
  const auto found = prompt_parts.Judge(now);
  for (const auto& it : found) {
    const auto n = static_cast<int>(it.crashes.size());
    log.Write(now, "prompt_part_quarantined",
              {{"digest", it.part.ToString()}, {"ends", std::int64_t{n}}});
    quarantine.RefusePart(it.part, n, now);
    for (const auto& crash : it.crashes) quarantine.Explain(crash);
  }
  if (!found.empty()) ReportQuarantined();
  UpdateSharedTurns();
}

void Gateway::Impl::AddSoundParts(const std::vector<RequestDigest>& parts) {
  if (parts.empty()) return;
  const TimeMs now = MonotonicMs();
  const auto shared = prompt_parts.FindShared(parts, now);
  prompt_parts.AddSound(parts, now);
  if (!HasSuspicions()) return;
  if (shared) TellSoundParts(now);
  const auto digests = quarantine.IsEmpty() ? parts : PartsAndCombinations(parts);
  for (const auto& it : digests) {
    if (!quarantine.Release(it, now)) continue;
    log.Write(now, "prompt_part_released", {{"digest", it.ToString()}});
    if (on_request_released) on_request_released(it);
  }
  RetrySuspects();
}

// The others need not wait for their turns any more.
void Gateway::Impl::TellSoundParts(TimeMs now) {
  if (!on_upstream_crash) return;
  for (const auto& it : quarantine.RecentCrashes(now)) {
    const auto sound = prompt_parts.TakeSoundParts(it.instance, now);
    if (!sound.empty()) on_upstream_crash({it.instance, it.age_ms, {}, false, sound});
  }
}

void Gateway::Impl::ReportQuarantined() {
  for (const auto& it : quarantine.TakeNewRefusals()) {
    log.Write(MonotonicMs(), "request_quarantined", {{"digest", it.ToString()}});
    if (on_request_quarantined) on_request_quarantined(it);
  }
}

void Gateway::Impl::RetrySuspects() {
  if (waiting_exchanges.empty()) return;
  // Deferred, as this may run within a call from an exchange.
  boost::asio::post(io, [self = shared_from_this()] {
    std::vector<std::shared_ptr<internal::Exchange>> suspects;
    for (const auto& it : self->waiting_exchanges) {
      if (it->IsSuspect()) suspects.push_back(it);
    }
    RetryInOrder(std::move(suspects));
  });
}

}  // namespace junctionrail

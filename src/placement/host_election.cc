// Which entry gives orders to an engine that has no agent.
#include <algorithm>
#include <utility>

#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

// The times, and where they are from. refused_before_claim_ms: an agent's process that ended is
// started again within a few seconds; one that is away for longer is taken not to be
// there. claim_jitter_ms: of a hundred entries the first has claimed an engine before others
// try, and four take some seconds. takeover_delay_ms: no other holder may have given an order
// within three seconds, and an agent that starts meanwhile is found listening.

// What an order relies on must be as new as this: the last look at the port.
constexpr DurationMs kProbeFreshMs = 3000;
// The lease ends here this much sooner than in the store, as clocks tick apart and
// an order takes its time.
constexpr DurationMs kLeaseMarginMs = 500;
// A claim that is missing from a reading asked for so soon after it was made may
// only have come later.
constexpr DurationMs kClaimVisibilityMs = 1000;

}  // namespace

void HostElection::SetEnginesWithoutView(const std::vector<std::string>& engines, TimeMs now) {
  for (auto& [engine, state] : engines_) state.lacks_view = false;
  for (const auto& it : engines) {
    EngineState& state = engines_[it];
    state.lacks_view = true;
    if (state.probed_at == 0) state.probed_at = now - timing_.probe_interval_ms;
  }
  for (auto it = engines_.begin(); it != engines_.end();) {
    const bool is_obsolete = !it->second.lacks_view && it->second.revision == 0;
    it = is_obsolete ? engines_.erase(it) : std::next(it);
  }
}

std::vector<std::string> HostElection::EnginesToProbe(TimeMs now) {
  std::vector<std::string> engines;
  for (auto& [engine, state] : engines_) {
    const bool is_hosted = state.revision != 0;
    if (!is_hosted && FindClaim(engine) != nullptr) continue;
    if (now - state.probed_at <
        (is_hosted ? timing_.hosted_probe_interval_ms : timing_.probe_interval_ms))
      continue;
    state.probed_at = now;
    engines.push_back(engine);
  }
  return engines;
}

void HostElection::OnProbe(const std::string& engine, ProbeResult result, TimeMs now) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  EngineState& state = it->second;
  state.is_open = result == ProbeResult::kOpen;
  if (result != ProbeResult::kRefused) {
    state.refused_since = 0;
    return;
  }
  if (state.refused_since == 0) state.refused_since = now;
  state.refused_at = now;
}

bool HostElection::NeedsClaims() const {
  return std::any_of(engines_.begin(), engines_.end(), [this](const auto& it) {
    return it.second.revision != 0 || it.second.refused_since != 0 ||
           FindClaim(it.first) != nullptr;
  });
}

void HostElection::OnClaims(std::vector<HostClaim> claims, TimeMs requested_at) {
  claims_.clear();
  for (auto& it : claims) {
    std::string engine = it.engine;
    claims_[std::move(engine)] = std::move(it);
  }
  for (auto& [engine, state] : engines_) {
    if (state.revision == 0 || requested_at < state.claimed_at + kClaimVisibilityMs) continue;
    const HostClaim* claim = FindClaim(engine);
    // An agent that came back removes it.
    if (claim == nullptr || claim->revision != state.revision) state.revision = 0;
  }
}

const HostClaim* HostElection::FindClaim(const std::string& engine) const {
  const auto it = claims_.find(engine);
  return it == claims_.end() ? nullptr : &it->second;
}

void HostElection::OnLeaseEnded() {
  lease_until_ = 0;
  for (auto& [engine, state] : engines_) state.revision = 0;
}

std::vector<std::string> HostElection::EnginesToClaim(TimeMs now) const {
  std::vector<std::string> engines;
  for (const auto& [engine, state] : engines_) {
    const bool is_free = state.lacks_view && state.revision == 0 && FindClaim(engine) == nullptr;
    const bool is_refused = state.refused_since != 0 && now - state.refused_at < kProbeFreshMs;
    if (!is_free || !is_refused) continue;
    const auto jitter_range =
        static_cast<std::uint64_t>(std::max<DurationMs>(1, timing_.claim_jitter_ms));
    const auto jitter = static_cast<DurationMs>(RendezvousScore(engine, entry_) % jitter_range);
    const TimeMs due = state.refused_since + timing_.refused_before_claim_ms + jitter;
    if (now >= due) engines.push_back(engine);
  }
  return engines;
}

std::vector<std::string> HostElection::EnginesToRelease() const {
  std::vector<std::string> engines;
  for (const auto& [engine, state] : engines_) {
    if (state.revision != 0 && state.is_open) engines.push_back(engine);
  }
  return engines;
}

void HostElection::OnClaimed(const HostClaim& claim, TimeMs now) {
  EngineState& state = engines_[claim.engine];
  state.revision = claim.revision;
  state.claimed_at = now;
  claims_[claim.engine] = claim;
}

void HostElection::OnReleased(const std::string& engine) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.revision = 0;
  claims_.erase(engine);
}

std::vector<std::string> HostElection::HostedEngines() const {
  std::vector<std::string> engines;
  for (const auto& [engine, state] : engines_) {
    if (state.revision != 0) engines.push_back(engine);
  }
  return engines;
}

std::int64_t HostElection::FencingTokenFor(const std::string& engine, TimeMs now) const {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return 0;
  const EngineState& state = it->second;
  const bool has_lease = now < lease_until_ - kLeaseMarginMs;
  const bool is_settled = now >= state.claimed_at + timing_.takeover_delay_ms;
  // A look that began after the wait was over.
  const bool is_refused = state.refused_since != 0 &&
                          state.refused_at >= state.claimed_at + timing_.takeover_delay_ms &&
                          now - state.refused_at < kProbeFreshMs;
  return has_lease && is_settled && is_refused ? state.revision : 0;
}

}  // namespace junctionrail

// Which entry gives orders to an engine that has no agent.
#include <algorithm>
#include <utility>

#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

// The times, and where they are from. refused_ms: an agent's process that ended is
// started again within a few seconds; one that is away for longer is taken not to be
// there. spread_ms: of a hundred entries the first has claimed an engine before others
// try, and four take some seconds. take_over_ms: no other holder may have given an order
// within three seconds, and an agent that starts meanwhile is found listening.

// What an order relies on must be as new as this: the last look at the port.
constexpr DurationMs kLookFreshMs = 3000;
// The lease ends here this much sooner than in the store, as clocks tick apart and
// an order takes its time.
constexpr DurationMs kLeaseMarginMs = 500;
// A claim that is missing from a reading asked for so soon after it was made may
// only have come later.
constexpr DurationMs kClaimSettlesMs = 1000;

}  // namespace

void HostElection::SetUnseen(const std::vector<std::string>& engines, TimeMs now) {
  for (auto& [engine, row] : rows_) row.is_unseen = false;
  for (const auto& it : engines) {
    Row& row = rows_[it];
    row.is_unseen = true;
    if (row.looked_at == 0) row.looked_at = now - times_.look_ms;
  }
  for (auto it = rows_.begin(); it != rows_.end();) {
    const bool is_over = !it->second.is_unseen && it->second.revision == 0;
    it = is_over ? rows_.erase(it) : std::next(it);
  }
}

std::vector<std::string> HostElection::PortsToLookAt(TimeMs now) {
  std::vector<std::string> engines;
  for (auto& [engine, row] : rows_) {
    const bool is_ours = row.revision != 0;
    if (!is_ours && ClaimOf(engine) != nullptr) continue;
    if (now - row.looked_at < (is_ours ? times_.host_look_ms : times_.look_ms)) continue;
    row.looked_at = now;
    engines.push_back(engine);
  }
  return engines;
}

void HostElection::OnPort(const std::string& engine, Port port, TimeMs now) {
  const auto it = rows_.find(engine);
  if (it == rows_.end()) return;
  Row& row = it->second;
  row.is_open = port == Port::kOpen;
  if (port != Port::kRefused) {
    row.refused_since = 0;
    return;
  }
  if (row.refused_since == 0) row.refused_since = now;
  row.refused_at = now;
}

bool HostElection::WantsClaims() const {
  return std::any_of(rows_.begin(), rows_.end(), [this](const auto& it) {
    return it.second.revision != 0 || it.second.refused_since != 0 || ClaimOf(it.first) != nullptr;
  });
}

void HostElection::OnClaims(std::vector<HostClaim> claims, TimeMs asked_at) {
  claims_.clear();
  for (auto& it : claims) {
    std::string engine = it.engine;
    claims_[std::move(engine)] = std::move(it);
  }
  for (auto& [engine, row] : rows_) {
    if (row.revision == 0 || asked_at < row.claimed_at + kClaimSettlesMs) continue;
    const HostClaim* claim = ClaimOf(engine);
    // An agent that came back removes it.
    if (claim == nullptr || claim->revision != row.revision) row.revision = 0;
  }
}

const HostClaim* HostElection::ClaimOf(const std::string& engine) const {
  const auto it = claims_.find(engine);
  return it == claims_.end() ? nullptr : &it->second;
}

void HostElection::OnLeaseEnded() {
  lease_until_ = 0;
  for (auto& [engine, row] : rows_) row.revision = 0;
}

std::vector<std::string> HostElection::EnginesToClaim(TimeMs now) const {
  std::vector<std::string> engines;
  for (const auto& [engine, row] : rows_) {
    const bool is_free = row.is_unseen && row.revision == 0 && ClaimOf(engine) == nullptr;
    const bool is_refused = row.refused_since != 0 && now - row.refused_at < kLookFreshMs;
    if (!is_free || !is_refused) continue;
    const auto spread = static_cast<std::uint64_t>(std::max<DurationMs>(1, times_.spread_ms));
    const auto by_chance = static_cast<DurationMs>(RendezvousScore(engine, entry_) % spread);
    const TimeMs due = row.refused_since + times_.refused_ms + by_chance;
    if (now >= due) engines.push_back(engine);
  }
  return engines;
}

std::vector<std::string> HostElection::EnginesToRelease() const {
  std::vector<std::string> engines;
  for (const auto& [engine, row] : rows_) {
    if (row.revision != 0 && row.is_open) engines.push_back(engine);
  }
  return engines;
}

void HostElection::OnClaimed(const HostClaim& claim, TimeMs now) {
  Row& row = rows_[claim.engine];
  row.revision = claim.revision;
  row.claimed_at = now;
  claims_[claim.engine] = claim;
}

void HostElection::OnReleased(const std::string& engine) {
  const auto it = rows_.find(engine);
  if (it != rows_.end()) it->second.revision = 0;
  claims_.erase(engine);
}

std::vector<std::string> HostElection::Hosted() const {
  std::vector<std::string> engines;
  for (const auto& [engine, row] : rows_) {
    if (row.revision != 0) engines.push_back(engine);
  }
  return engines;
}

std::int64_t HostElection::FenceFor(const std::string& engine, TimeMs now) const {
  const auto it = rows_.find(engine);
  if (it == rows_.end()) return 0;
  const Row& row = it->second;
  const bool has_lease = now < lease_until_ - kLeaseMarginMs;
  const bool is_settled = now >= row.claimed_at + times_.take_over_ms;
  // A look that began after the wait was over.
  const bool is_refused = row.refused_since != 0 &&
                          row.refused_at >= row.claimed_at + times_.take_over_ms &&
                          now - row.refused_at < kLookFreshMs;
  return has_lease && is_settled && is_refused ? row.revision : 0;
}

}  // namespace junctionrail

// Which entry gives orders to an engine that has no agent, without sockets.
#include <map>
#include <random>
#include <set>

#include "check.h"
#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

using ProbeResult = HostElection::ProbeResult;

constexpr char kEngine[] = "10.0.0.1:80";
constexpr DurationMs kStepMs = 250;
constexpr DurationMs kTtlMs = 3000;

// One entry before one engine whose agent is away.
struct Entry {
  explicit Entry(const std::string& name = "entry-1") : election(name, Timing()) {}

  static HostElectionTiming Timing() {
    HostElectionTiming timing;
    timing.claim_jitter_ms = 1;
    return timing;
  }

  // Looks at the port as often as is asked for.
  void RunFor(DurationMs ms, ProbeResult result) {
    for (const TimeMs until = now + ms; now < until; now += kStepMs) {
      election.SetEnginesWithoutView({kEngine}, now);
      for (const auto& it : election.EnginesToProbe(now)) election.OnProbe(it, result, now);
      if (renews_lease) election.OnLeaseRenewed(now, kTtlMs);
    }
  }

  bool WantsToClaim() const { return !election.EnginesToClaim(now).empty(); }

  void Claim(std::int64_t revision) {
    election.OnClaimed({kEngine, "entry-1", {"10.0.0.9", 90}, revision}, now);
  }

  HostElection election;
  TimeMs now = 100000;
  bool renews_lease = true;
};

}  // namespace

TEST_GROUP(HostElections){};

TEST(HostElections, ClaimAnEngineOnceNothingHasListenedForSixSeconds) {
  Entry entry;
  entry.RunFor(5000, ProbeResult::kRefused);
  EXPECT_TRUE(!entry.WantsToClaim(), "its agent may only be starting again");
  entry.RunFor(3500, ProbeResult::kRefused);
  EXPECT_TRUE(entry.WantsToClaim(), "");
}

TEST(HostElections, ClaimNothingThatIsOnlySilent) {
  // A cut between this entry and the engine's VM, or a paused VM.
  Entry entry;
  entry.RunFor(20000, ProbeResult::kNoAnswer);
  EXPECT_TRUE(!entry.WantsToClaim(), "an agent may well be there");
  entry.RunFor(5000, ProbeResult::kRefused);
  entry.RunFor(2500, ProbeResult::kNoAnswer);
  entry.RunFor(4000, ProbeResult::kRefused);
  EXPECT_TRUE(!entry.WantsToClaim(), "nothing is known of the time in between");
}

TEST(HostElections, ClaimNothingThatAnotherEntryHolds) {
  Entry entry;
  entry.RunFor(9000, ProbeResult::kRefused);
  entry.election.OnClaims({{kEngine, "entry-2", {"10.0.0.8", 90}, 7}}, entry.now);
  EXPECT_TRUE(!entry.WantsToClaim(), "");
  EXPECT_TRUE(entry.election.FindClaim(kEngine)->demand_endpoint.address == "10.0.0.8",
              "demand goes there");
  entry.election.OnClaims({}, entry.now);
  entry.RunFor(3000, ProbeResult::kRefused);
  EXPECT_TRUE(entry.WantsToClaim(), "the other's lease has ended");
}

TEST(HostElections, GiveNoOrderUntilAnEarlierHolderCanHaveGivenNoneForThreeSeconds) {
  Entry entry;
  entry.RunFor(9000, ProbeResult::kRefused);
  entry.Claim(41);
  EXPECT_NUMBER(0, entry.election.FencingTokenFor(kEngine, entry.now), "just claimed");
  entry.RunFor(3250, ProbeResult::kRefused);
  EXPECT_NUMBER(0, entry.election.FencingTokenFor(kEngine, entry.now), "3.25 s later");
  entry.RunFor(1500, ProbeResult::kRefused);
  EXPECT_NUMBER(41, entry.election.FencingTokenFor(kEngine, entry.now), "the claim's revision");
}

TEST(HostElections, StopBeforeTheirLeaseEnds) {
  Entry entry;
  entry.RunFor(9000, ProbeResult::kRefused);
  entry.Claim(41);
  entry.RunFor(5000, ProbeResult::kRefused);
  entry.renews_lease = false;
  entry.RunFor(2000, ProbeResult::kRefused);
  EXPECT_NUMBER(41, entry.election.FencingTokenFor(kEngine, entry.now), "2 s after it was kept");
  entry.RunFor(750, ProbeResult::kRefused);
  EXPECT_NUMBER(0, entry.election.FencingTokenFor(kEngine, entry.now),
                "half a second before its end");
  EXPECT_NUMBER(0, entry.election.FencingTokenFor(kEngine, entry.now + 60000),
                "after a minute in which this process stood still");
}

TEST(HostElections, StopWhenAnAgentListensOrTheClaimIsGone) {
  Entry entry;
  entry.RunFor(9000, ProbeResult::kRefused);
  entry.Claim(41);
  entry.RunFor(5000, ProbeResult::kRefused);
  entry.RunFor(1250, ProbeResult::kOpen);
  EXPECT_NUMBER(0, entry.election.FencingTokenFor(kEngine, entry.now), "an agent is there");
  EXPECT_NUMBER(1, entry.election.EnginesToRelease().size(), "");

  Entry other;
  other.RunFor(9000, ProbeResult::kRefused);
  other.Claim(41);
  other.RunFor(5000, ProbeResult::kRefused);
  other.election.OnClaims({}, other.now);
  EXPECT_NUMBER(0, other.election.FencingTokenFor(kEngine, other.now),
                "an agent removed the claim");
  EXPECT_TRUE(other.election.HostedEngines().empty(), "");
}

namespace {

// A store with one key under a lease, and entries that freeze, are cut off from it, and
// take time for each call.
class HostElectionSimulation {
 public:
  explicit HostElectionSimulation(std::uint64_t seed) : random_(seed) {
    for (int n = 0; n < kEntries; ++n) {
      entries_.push_back(Member{HostElection("entry-" + std::to_string(n)), 0, 0, 0, 0});
    }
  }

  void Run(DurationMs ms) {
    for (const TimeMs until = now_ + ms; now_ < until; now_ += kStepMs) {
      ExpireLeases();
      for (int n = 0; n < kEntries; ++n) Step(n);
    }
  }

  // The shortest time between orders of two holders; and whether a token ever fell.
  DurationMs shortest_gap() const { return shortest_gap_; }
  bool has_token_decreased() const { return has_token_decreased_; }
  int handovers() const { return handovers_; }

 private:
  static constexpr int kEntries = 5;
  struct Member {
    HostElection election;
    TimeMs frozen_until = 0;
    TimeMs partitioned_until = 0;
    TimeMs called_at = 0;
    std::int64_t lease = 0;
  };

  bool WithProbability(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  void ExpireLeases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      const bool is_expired = now_ >= it->second;
      if (is_expired && holder_lease_ == it->first) claim_.reset();
      it = is_expired ? leases_.erase(it) : std::next(it);
    }
  }

  void Step(int n) {
    Member& it = entries_[static_cast<std::size_t>(n)];
    if (now_ < it.frozen_until) return;
    if (WithProbability(0.004))
      it.frozen_until = now_ + 1000 + static_cast<DurationMs>(random_() % 9000);
    if (WithProbability(0.004))
      it.partitioned_until = now_ + 1000 + static_cast<DurationMs>(random_() % 9000);
    it.election.SetEnginesWithoutView({kEngine}, now_);
    for (const auto& engine : it.election.EnginesToProbe(now_)) {
      it.election.OnProbe(engine, ProbeResult::kRefused, now_);
    }
    if (now_ >= it.partitioned_until && now_ - it.called_at >= 1000) CallStore(n, &it);
    GiveOrder(n, it);
  }

  void CallStore(int n, Member* it) {
    it->called_at = now_;
    it->election.OnClaims(claim_ ? std::vector<HostClaim>{*claim_} : std::vector<HostClaim>{},
                          now_);
    if (leases_.count(it->lease) == 0) {
      it->election.OnLeaseEnded();
      it->lease = ++revision_;
    }
    leases_[it->lease] = now_ + kTtlMs;
    it->election.OnLeaseRenewed(now_, kTtlMs);
    if (it->election.EnginesToClaim(now_).empty() || claim_) return;
    claim_ = HostClaim{kEngine, "entry-" + std::to_string(n), {}, ++revision_};
    holder_lease_ = it->lease;
    if (!WithProbability(0.2)) return it->election.OnClaimed(*claim_, now_);
    // The answer is lost: the lease is left.
    it->election.OnLeaseEnded();
    it->lease = 0;
  }

  void GiveOrder(int n, const Member& it) {
    const std::int64_t fence = it.election.FencingTokenFor(kEngine, now_);
    if (fence == 0) return;
    has_token_decreased_ |= fence < last_fence_;
    if (last_holder_ != n && last_holder_ >= 0) {
      shortest_gap_ = std::min(shortest_gap_, now_ - last_order_);
      ++handovers_;
    }
    last_holder_ = n;
    last_fence_ = fence;
    last_order_ = now_;
  }

  std::mt19937_64 random_;
  TimeMs now_ = 100000;
  std::vector<Member> entries_;
  std::optional<HostClaim> claim_;
  std::map<std::int64_t, TimeMs> leases_;  // When each ends in the store.
  std::int64_t holder_lease_ = 0;
  std::int64_t revision_ = 0;
  int last_holder_ = -1;
  std::int64_t last_fence_ = 0;
  TimeMs last_order_ = 0;
  DurationMs shortest_gap_ = 1LL << 40;
  bool has_token_decreased_ = false;
  int handovers_ = 0;
};

}  // namespace

TEST(HostElections, NeverLetTwoEntriesGiveOrdersWithinThreeSeconds) {
  int handovers = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    HostElectionSimulation simulation(seed);
    simulation.Run(300000);
    EXPECT_TRUE(simulation.shortest_gap() >= 3000,
                "seed " + std::to_string(seed) +
                    ": expected 3000 ms or more between two holders, got " +
                    std::to_string(simulation.shortest_gap()));
    EXPECT_TRUE(!simulation.has_token_decreased(),
                "a fencing token fell, seed " + std::to_string(seed));
    handovers += simulation.handovers();
  }
  EXPECT_TRUE(handovers > 100,
              "holders change under such faults, got " + std::to_string(handovers));
}

}  // namespace junctionrail

// Which entry gives orders to an engine that has no agent, without sockets.
#include <map>
#include <random>
#include <set>

#include "check.h"
#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

using Port = HostElection::Port;

constexpr char kEngine[] = "10.0.0.1:80";
constexpr DurationMs kStepMs = 250;
constexpr DurationMs kTtlMs = 3000;

// One entry before one engine whose agent is away.
struct Entry {
  explicit Entry(const std::string& name = "entry-1") : election(name, Times()) {}

  static HostTimes Times() {
    HostTimes times;
    times.spread_ms = 1;
    return times;
  }

  // Looks at the port as often as is asked for.
  void Go(DurationMs ms, Port port) {
    for (const TimeMs until = now + ms; now < until; now += kStepMs) {
      election.SetUnseen({kEngine}, now);
      for (const auto& it : election.PortsToLookAt(now)) election.OnPort(it, port, now);
      if (keeps_lease) election.OnLeaseKept(now, kTtlMs);
    }
  }

  bool WantsToClaim() const { return !election.EnginesToClaim(now).empty(); }

  void Claim(std::int64_t revision) {
    election.OnClaimed({kEngine, "entry-1", {"10.0.0.9", 90}, revision}, now);
  }

  HostElection election;
  TimeMs now = 100000;
  bool keeps_lease = true;
};

}  // namespace

TEST_GROUP(HostElections){};

TEST(HostElections, ClaimAnEngineOnceNothingHasListenedForSixSeconds) {
  Entry entry;
  entry.Go(5000, Port::kRefused);
  EXPECT_TRUE(!entry.WantsToClaim(), "its agent may only be starting again");
  entry.Go(3500, Port::kRefused);
  EXPECT_TRUE(entry.WantsToClaim(), "");
}

TEST(HostElections, ClaimNothingThatIsOnlySilent) {
  // A cut between this entry and the engine's VM, or a paused VM.
  Entry entry;
  entry.Go(20000, Port::kSilent);
  EXPECT_TRUE(!entry.WantsToClaim(), "an agent may well be there");
  entry.Go(5000, Port::kRefused);
  entry.Go(2500, Port::kSilent);
  entry.Go(4000, Port::kRefused);
  EXPECT_TRUE(!entry.WantsToClaim(), "nothing is known of the time in between");
}

TEST(HostElections, ClaimNothingThatAnotherEntryHolds) {
  Entry entry;
  entry.Go(9000, Port::kRefused);
  entry.election.OnClaims({{kEngine, "entry-2", {"10.0.0.8", 90}, 7}}, entry.now);
  EXPECT_TRUE(!entry.WantsToClaim(), "");
  EXPECT_TRUE(entry.election.ClaimOf(kEngine)->link.address == "10.0.0.8", "demand goes there");
  entry.election.OnClaims({}, entry.now);
  entry.Go(3000, Port::kRefused);
  EXPECT_TRUE(entry.WantsToClaim(), "the other's lease has ended");
}

TEST(HostElections, GiveNoOrderUntilAnEarlierHolderCanHaveGivenNoneForThreeSeconds) {
  Entry entry;
  entry.Go(9000, Port::kRefused);
  entry.Claim(41);
  EXPECT_NUMBER(0, entry.election.FenceFor(kEngine, entry.now), "just claimed");
  entry.Go(3250, Port::kRefused);
  EXPECT_NUMBER(0, entry.election.FenceFor(kEngine, entry.now), "3.25 s later");
  entry.Go(1500, Port::kRefused);
  EXPECT_NUMBER(41, entry.election.FenceFor(kEngine, entry.now), "the claim's revision");
}

TEST(HostElections, StopBeforeTheirLeaseEnds) {
  Entry entry;
  entry.Go(9000, Port::kRefused);
  entry.Claim(41);
  entry.Go(5000, Port::kRefused);
  entry.keeps_lease = false;
  entry.Go(2000, Port::kRefused);
  EXPECT_NUMBER(41, entry.election.FenceFor(kEngine, entry.now), "2 s after it was kept");
  entry.Go(750, Port::kRefused);
  EXPECT_NUMBER(0, entry.election.FenceFor(kEngine, entry.now), "half a second before its end");
  EXPECT_NUMBER(0, entry.election.FenceFor(kEngine, entry.now + 60000),
                "after a minute in which this process stood still");
}

TEST(HostElections, StopWhenAnAgentListensOrTheClaimIsGone) {
  Entry entry;
  entry.Go(9000, Port::kRefused);
  entry.Claim(41);
  entry.Go(5000, Port::kRefused);
  entry.Go(1250, Port::kOpen);
  EXPECT_NUMBER(0, entry.election.FenceFor(kEngine, entry.now), "an agent is there");
  EXPECT_NUMBER(1, entry.election.EnginesToRelease().size(), "");

  Entry other;
  other.Go(9000, Port::kRefused);
  other.Claim(41);
  other.Go(5000, Port::kRefused);
  other.election.OnClaims({}, other.now);
  EXPECT_NUMBER(0, other.election.FenceFor(kEngine, other.now), "an agent removed the claim");
  EXPECT_TRUE(other.election.Hosted().empty(), "");
}

namespace {

// A store with one key under a lease, and entries that freeze, are cut off from it, and
// take time for each call.
class HostWorld {
 public:
  explicit HostWorld(std::uint64_t seed) : random_(seed) {
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
  bool has_fallen() const { return has_fallen_; }
  int turns() const { return turns_; }

 private:
  static constexpr int kEntries = 5;
  struct Member {
    HostElection election;
    TimeMs frozen_until = 0;
    TimeMs cut_until = 0;
    TimeMs asked_at = 0;
    std::int64_t lease = 0;
  };

  bool Happens(double chance) { return std::uniform_real_distribution<>(0, 1)(random_) < chance; }

  void ExpireLeases() {
    for (auto it = leases_.begin(); it != leases_.end();) {
      const bool is_over = now_ >= it->second;
      if (is_over && holder_lease_ == it->first) claim_.reset();
      it = is_over ? leases_.erase(it) : std::next(it);
    }
  }

  void Step(int n) {
    Member& it = entries_[static_cast<std::size_t>(n)];
    if (now_ < it.frozen_until) return;
    if (Happens(0.004)) it.frozen_until = now_ + 1000 + static_cast<DurationMs>(random_() % 9000);
    if (Happens(0.004)) it.cut_until = now_ + 1000 + static_cast<DurationMs>(random_() % 9000);
    it.election.SetUnseen({kEngine}, now_);
    for (const auto& engine : it.election.PortsToLookAt(now_)) {
      it.election.OnPort(engine, Port::kRefused, now_);
    }
    if (now_ >= it.cut_until && now_ - it.asked_at >= 1000) Call(n, &it);
    Order(n, it);
  }

  void Call(int n, Member* it) {
    it->asked_at = now_;
    it->election.OnClaims(claim_ ? std::vector<HostClaim>{*claim_} : std::vector<HostClaim>{},
                          now_);
    if (leases_.count(it->lease) == 0) {
      it->election.OnLeaseEnded();
      it->lease = ++revision_;
    }
    leases_[it->lease] = now_ + kTtlMs;
    it->election.OnLeaseKept(now_, kTtlMs);
    if (it->election.EnginesToClaim(now_).empty() || claim_) return;
    claim_ = HostClaim{kEngine, "entry-" + std::to_string(n), {}, ++revision_};
    holder_lease_ = it->lease;
    if (!Happens(0.2)) return it->election.OnClaimed(*claim_, now_);
    // The answer is lost: the lease is left.
    it->election.OnLeaseEnded();
    it->lease = 0;
  }

  void Order(int n, const Member& it) {
    const std::int64_t fence = it.election.FenceFor(kEngine, now_);
    if (fence == 0) return;
    has_fallen_ |= fence < last_fence_;
    if (last_holder_ != n && last_holder_ >= 0) {
      shortest_gap_ = std::min(shortest_gap_, now_ - last_order_);
      ++turns_;
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
  bool has_fallen_ = false;
  int turns_ = 0;
};

}  // namespace

TEST(HostElections, NeverLetTwoEntriesGiveOrdersWithinThreeSeconds) {
  int turns = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    HostWorld world(seed);
    world.Run(300000);
    EXPECT_TRUE(world.shortest_gap() >= 3000,
                "seed " + std::to_string(seed) +
                    ": expected 3000 ms or more between two holders, got " +
                    std::to_string(world.shortest_gap()));
    EXPECT_TRUE(!world.has_fallen(), "a fencing token fell, seed " + std::to_string(seed));
    turns += world.turns();
  }
  EXPECT_TRUE(turns > 100, "holders change under such faults, got " + std::to_string(turns));
}

}  // namespace junctionrail

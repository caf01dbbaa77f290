// Entries and givers of quotas in random worlds: entries and agents that are cut off, stopped,
// killed and started again, messages that are lost or late, limits that change. What all entries
// take of one organisation stays within its limit in every window.
#include <algorithm>
#include <deque>
#include <memory>

#include "check.h"
#include "junctionrail/tenancy.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr DurationMs kStepMs = 25;
constexpr int kAgents = 3;

// What is limited, and the bounds as the users have them.
struct OrganisationPlan {
  static constexpr int kEntries = 4;
  static constexpr double kPerS = 100;
  static constexpr double kBurst = 100;
  static constexpr DurationMs kWindowMs = 8000;
  static constexpr double kMost = (kPerS * kWindowMs / 1000 + kBurst) * 1.1 + 0.17 * kPerS;

  static void Limit(QuotaTaker* taker, TimeMs now) {
    Organisation shop;
    shop.name = "shop";
    shop.quota.per_s = kPerS;
    shop.quota.burst = kBurst;
    taker->SetOrganisations({shop}, 1, now);
  }
  static QuotaTaker::Verdict Take(QuotaTaker* taker, std::uint64_t ticket, TimeMs now) {
    return taker->Take("shop", 1, ticket, now);
  }
};

// An upstream that takes one request a second: much less than the entries together want.
template <int n>
struct UpstreamPlan {
  static constexpr int kEntries = n;
  static constexpr double kPerS = 1;
  static constexpr DurationMs kWindowMs = 4000;
  static constexpr double kMost = 1.5 * kPerS * kWindowMs / 1000 + 5;

  static void Limit(QuotaTaker* taker, TimeMs now) { taker->LimitUpstream("i-up", kPerS, now); }
  static QuotaTaker::Verdict Take(QuotaTaker* taker, std::uint64_t ticket, TimeMs now) {
    return taker->TakeOfUpstream("i-up", ticket, now);
  }
};

// An agent whose view is not heard for so long is no giver, as an entry sees it.
constexpr DurationMs kUnseenMs = 1500;
constexpr DurationMs kSayMs = 250;
constexpr DurationMs kLongestWayMs = 60;

struct Node {
  TimeMs stopped_until = 0;
  TimeMs cut_until = 0;
};

struct Entry : Node {
  std::unique_ptr<QuotaTaker> taker;
  std::vector<TimeMs> seen_at;  // By agent.
  TimeMs said_at = 0;
};

struct Agent : Node {
  std::unique_ptr<QuotaGiver> giver;
};

// Of an entry to an agent, or back.
struct Letter {
  TimeMs at = 0;
  int entry = 0;
  int agent = 0;
  std::optional<QuotaAsk> ask;
  std::optional<QuotaGrant> grant;
};

template <class Plan>
class World {
 public:
  explicit World(std::uint32_t) : entries_(Plan::kEntries), agents_(kAgents) {
    for (int n = 0; n < Plan::kEntries; ++n) StartEntry(n);
    for (auto& it : agents_) it.giver = std::make_unique<QuotaGiver>();
  }

  void Step(RandomChoices word) {
    Trouble(word);
    for (int n = 0; n < 10; ++n) Pass(word);
  }

  void Drain() {
    RandomChoices word(7);
    for (int n = 0; n < 100; ++n) Pass(word);
  }

 private:
  void StartEntry(int n) {
    Entry& it = entries_[static_cast<std::size_t>(n)];
    it.taker = std::make_unique<QuotaTaker>("entry-" + std::to_string(n));
    it.taker->SetEntries(Plan::kEntries, now_);
    Plan::Limit(it.taker.get(), now_);
    it.seen_at.assign(kAgents, now_);
    it.said_at = 0;
  }

  void Trouble(RandomChoices& word) {
    const auto for_ms = 200 + static_cast<DurationMs>(word.Next(6000));
    auto& entry = entries_[word.Next(Plan::kEntries)];
    auto& agent = agents_[word.Next(kAgents)];
    switch (word.Next(12)) {
      case 0:
        entry.stopped_until = now_ + for_ms;
        break;
      case 1:
        entry.cut_until = now_ + for_ms;
        break;
      case 2:
        agent.stopped_until = now_ + for_ms;
        break;
      case 3:
        agent.cut_until = now_ + for_ms;
        break;
      case 4:
        StartEntry(static_cast<int>(word.Next(Plan::kEntries)));
        break;
      case 5:
        RestartAgent(word.Next(kAgents));
        break;
      case 6:
        hot_until_ = now_ + for_ms;
        break;
      default:
        break;
    }
  }

  void RestartAgent(std::size_t n) {
    agents_[n].giver = std::make_unique<QuotaGiver>();
    for (auto& it : entries_) it.taker->OnClosed(Instance(n));
  }

  static std::string Instance(std::size_t n) { return "i-" + std::to_string(n); }

  bool MayTalk(int entry, int agent) const {
    const Entry& from = entries_[static_cast<std::size_t>(entry)];
    const Agent& to = agents_[static_cast<std::size_t>(agent)];
    return std::max({from.stopped_until, from.cut_until, to.stopped_until, to.cut_until}) <= now_;
  }

  void Pass(RandomChoices& word) {
    now_ += kStepMs;
    Deliver(word);
    for (int n = 0; n < Plan::kEntries; ++n) {
      if (entries_[static_cast<std::size_t>(n)].stopped_until <= now_) Run(n, word);
    }
    for (auto& it : agents_) {
      if (it.stopped_until <= now_) it.giver->Tick(now_);
    }
    Judge();
  }

  void Run(int n, RandomChoices& word) {
    Entry& entry = entries_[static_cast<std::size_t>(n)];
    if (now_ - entry.said_at >= kSayMs) Say(n);
    Decide(n, entry.taker->Expire(now_));
    const std::uint32_t most = now_ < hot_until_ ? 12 : 3;
    const auto requests = word.Next(most);
    for (std::uint32_t k = 0; k < requests; ++k) {
      const auto verdict = Plan::Take(entry.taker.get(), ++tickets_, now_);
      if (verdict.decision == QuotaTaker::Decision::kTaken) Count(1);
    }
    for (auto& it : entry.taker->TakeMessages(now_)) {
      const int agent = it.instance.back() - '0';
      const bool is_lost = !MayTalk(n, agent) || word.Next(50) == 0;
      const DurationMs way = 1 + static_cast<DurationMs>(word.Next(kLongestWayMs));
      if (!is_lost) letters_.push_back({now_ + way, n, agent, std::move(it.ask), std::nullopt});
    }
  }

  // As with demand and views: each agent in reach hears that the entry is there, and the entry
  // hears of it.
  void Say(int n) {
    Entry& entry = entries_[static_cast<std::size_t>(n)];
    entry.said_at = now_;
    std::vector<QuotaTaker::Giver> givers;
    for (int k = 0; k < kAgents; ++k) {
      const auto agent = static_cast<std::size_t>(k);
      if (MayTalk(n, k)) {
        agents_[agent].giver->OnHeard("entry-" + std::to_string(n), 1000, now_);
        entry.seen_at[agent] = now_;
      }
      if (now_ - entry.seen_at[agent] < kUnseenMs) {
        givers.push_back({Instance(agent), "10.0.0." + std::to_string(k) + ":1"});
      }
    }
    entry.taker->SetGivers(std::move(givers), now_);
  }

  void Deliver(RandomChoices& word) {
    std::vector<Letter> due;
    const auto is_due = [this](const Letter& it) { return it.at <= now_; };
    std::copy_if(letters_.begin(), letters_.end(), std::back_inserter(due), is_due);
    letters_.erase(std::remove_if(letters_.begin(), letters_.end(), is_due), letters_.end());
    for (auto& it : due) {
      if (!MayTalk(it.entry, it.agent)) continue;
      if (it.grant) {
        Decide(it.entry,
               entries_[static_cast<std::size_t>(it.entry)].taker->OnGrant(*it.grant, now_));
        continue;
      }
      QuotaGrant grant = agents_[static_cast<std::size_t>(it.agent)].giver->OnAsk(*it.ask, now_);
      const DurationMs way = 1 + static_cast<DurationMs>(word.Next(kLongestWayMs));
      letters_.push_back({now_ + way, it.entry, it.agent, std::nullopt, std::move(grant)});
    }
  }

  void Decide(int, const std::vector<QuotaTaker::Outcome>& outcomes) {
    for (const auto& it : outcomes) {
      if (it.verdict.decision == QuotaTaker::Decision::kTaken) Count(1);
    }
  }

  void Count(double amount) {
    taken_.push_back({now_, amount});
    in_window_ += amount;
  }

  void Judge() {
    while (!taken_.empty() && taken_.front().first <= now_ - Plan::kWindowMs) {
      in_window_ -= taken_.front().second;
      taken_.pop_front();
    }
    Require(in_window_ <= Plan::kMost, "expected " + std::to_string(Plan::kMost) +
                                           " in a window at most, got " +
                                           std::to_string(in_window_));
  }

  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::deque<Letter> letters_;
  std::deque<std::pair<TimeMs, double>> taken_;
  double in_window_ = 0;
  TimeMs now_ = 1000000;
  TimeMs hot_until_ = 0;
  std::uint64_t tickets_ = 0;
};

// All is well: what is allowed is used to the full, and below it nobody is refused.
struct Calm {
  Calm() {
    for (int n = 0; n < OrganisationPlan::kEntries; ++n) {
      takers.push_back(std::make_unique<QuotaTaker>("entry-" + std::to_string(n)));
      takers.back()->SetEntries(OrganisationPlan::kEntries, now);
      OrganisationPlan::Limit(takers.back().get(), now);
      takers.back()->SetGivers({{"i-0", "10.0.0.1:1"}}, now);
    }
  }

  // One step, with so many requests at each entry a second; how many were taken.
  void Pass(double per_s) {
    now += kStepMs;
    giver.Tick(now);
    for (auto& taker : takers) {
      owed += per_s * kStepMs / 1000.0;
      for (; owed >= 1; owed -= 1) {
        ++asked;
        const auto verdict = taker->Take("shop", 1, ++tickets, now);
        taken += verdict.decision == QuotaTaker::Decision::kTaken ? 1 : 0;
      }
      for (const auto& it : taker->TakeMessages(now)) {
        for (const auto& outcome : taker->OnGrant(giver.OnAsk(it.ask, now), now)) {
          taken += outcome.verdict.decision == QuotaTaker::Decision::kTaken ? 1 : 0;
        }
      }
    }
  }

  std::vector<std::unique_ptr<QuotaTaker>> takers;
  QuotaGiver giver;
  TimeMs now = 1000000;
  double owed = 0;
  std::uint64_t tickets = 0;
  int asked = 0;
  int taken = 0;
};

}  // namespace

TEST_GROUP(RandomQuota){};

TEST(RandomQuota, KeepsAllEntriesTogetherWithinTheLimit) {
  CHECK(RunRandomTest<World<OrganisationPlan>>("quotas"));
}

// Guards against entries that each keep an upstream's limit for themselves.
TEST(RandomQuota, KeepsAllEntriesTogetherWithinWhatAnUpstreamTakes) {
  CHECK(RunRandomTest<World<UpstreamPlan<4>>>("upstream limits, few entries"));
  CHECK(RunRandomTest<World<UpstreamPlan<25>>>("upstream limits, many entries"));
}

TEST(RandomQuota, UsesWhatIsAllowedToTheFullAtManyTimesTheLimit) {
  Calm calm;
  for (int n = 0; n < 40; ++n) calm.Pass(0);
  for (int n = 0; n < 400; ++n)
    calm.Pass(7.5 * OrganisationPlan::kPerS / OrganisationPlan::kEntries);
  const double allowed = OrganisationPlan::kPerS * 10 + OrganisationPlan::kBurst;
  EXPECT_TRUE(
      calm.taken >= 0.97 * allowed && calm.taken <= allowed + 1,
      "expected 97 in 100 of " + std::to_string(allowed) + ", got " + std::to_string(calm.taken));
}

TEST(RandomQuota, RefusesNobodyBelowTheLimit) {
  Calm calm;
  for (int n = 0; n < 40; ++n) calm.Pass(0);
  for (int n = 0; n < 400; ++n)
    calm.Pass(0.9 * OrganisationPlan::kPerS / OrganisationPlan::kEntries);
  EXPECT_NUMBER(calm.asked, calm.taken, "requests asked for and taken");
}

}  // namespace junctionrail::test

// Property test of the retry budget under random faults: entries are killed and start again, alone
// or all at once, or stand still, agents lose their links, requests come in groups and bursts,
// upstreams fail or stand still, and retries wait for models.
// The retries of all entries together must stay within the fleet's allowance in every window.
#include <algorithm>
#include <memory>

#include "check.h"
#include "junctionrail/routing.h"
#include "junctionrail/throttling.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr DurationMs kStepMs = 50;
constexpr DurationMs kWindowMs = 10000;
constexpr double kRatio = 0.2;
constexpr double kExtra = 90;
// A new link is counted by all agents within this time.
constexpr DurationMs kLinkMs = 500;
constexpr DurationMs kViewIntervalMs = 500;
constexpr char kAgent[] = "u1";
constexpr DurationMs kMaxWaitMs = 12000;  // For a model.
constexpr DurationMs kMaxPauseMs = 9000;  // Of an entry.
constexpr DurationMs kMaxCutMs = 40000;   // Between all entries and all agents.
constexpr DurationMs kMaxStallMs = 5000;  // Of upstreams.

struct Entry {
  std::unique_ptr<RetryBudget> budget;
  std::unique_ptr<EntryCount> count;
  std::unique_ptr<UpstreamTable> table;  // Lists one upstream, whose agent counts the entries.
  TimeMs linked_at = 0;                  // In the future: cut off from the agents.
  TimeMs cut_at = 0;                     // Cut off again then; 0: it stays in reach.
  TimeMs back_at = 0;                    // After that.
  TimeMs next_view_at = 0;
  int starts = 0;
  TimeMs paused_until = 0;   // Stands still until then.
  TimeMs read_up_to = 0;     // What callers had sent by then has been read.
  std::uint32_t unread = 0;  // Requests.
};

// A retry that waits for a model, or is under way to an upstream.
struct PendingRetry {
  std::size_t entry = 0;
  int starts = 0;  // Of the entry when it was chosen; another process knows nothing of it.
  TimeMs consumed_at = 0;
};

template <int kEntries>
class RetrySimulation {
 public:
  explicit RetrySimulation(std::uint32_t) : entries_(kEntries) {
    for (auto& it : entries_) Start(&it);
  }

  void Step(RandomChoices choices) {
    InjectFault(choices);
    for (int n = 0; n < 20; ++n) Advance(choices);
  }

  void Drain() const {
    for (std::size_t n = 0; n < retries_.size(); ++n) {
      const TimeMs begin = retries_[n];
      const std::size_t requests =
          std::max({Count(requests_, begin), Count(requests_, begin - kWindowMs),
                    Count(requests_, begin - kWindowMs / 2)});
      const double allowed = kRatio * static_cast<double>(requests) + kExtra;
      const std::size_t retries = Count(retries_, begin);
      Require(static_cast<double>(retries) <= allowed,
              "expected at most " + std::to_string(allowed) + " retries from " +
                  std::to_string(begin) + " on, got " + std::to_string(retries));
    }
  }

 private:
  // Number of `times` in the window that begins then.
  static std::size_t Count(const std::vector<TimeMs>& times, TimeMs begin) {
    const auto from = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<std::size_t>(std::lower_bound(from, times.end(), begin + kWindowMs) - from);
  }

  void Start(Entry* entry) {
    entry->budget =
        std::make_unique<RetryBudget>(RetryBudget::Options{kRatio, kExtra, kWindowMs}, now_);
    entry->count = std::make_unique<EntryCount>();
    entry->table = std::make_unique<UpstreamTable>(RoutingOptions());
    entry->table->ApplyListing({{kAgent, "s", {}, "hall-1", 8, false, {}}}, now_);
    entry->linked_at = now_ + kLinkMs;
    entry->cut_at = 0;
    ++entry->starts;
    entry->paused_until = 0;
    entry->read_up_to = now_;
    entry->unread = 0;
  }

  void InjectFault(RandomChoices& choices) {
    Entry& one = entries_[choices.Next(kEntries)];
    switch (choices.Next(15)) {
      case 0:
        return Start(&one);
      case 1:
        for (auto& it : entries_) Start(&it);
        return;
      case 2:
        one.linked_at = now_ + static_cast<DurationMs>(choices.Next(8000));
        return;
      case 3:  // The agents start again, and count their first links.
        for (auto& it : entries_)
          it.linked_at = now_ + kLinkMs + static_cast<DurationMs>(choices.Next(4000));
        return;
      case 4:
        requests_per_step_ = choices.Next(30);
        return;
      case 5:
        requests_per_step_ = 0;
        return;
      case 6:  // A group of requests within one step.
        group_ = choices.Next(400);
        return;
      case 7:  // All retries wait for a model, or none does.
        waiting_percent_ = choices.Next(2) * 100;
        return;
      case 8:
        return SendWaiting();
      case 9:
        return Pause(&one, choices);
      case 10:
        for (auto& it : entries_) Pause(&it, choices);
        return;
      case 11:
        return StartAllAndCutOff(choices);
      case 12:
        upstreams_stalled_until_ = now_ + static_cast<DurationMs>(choices.Next(kMaxStallMs));
        return;
      default:
        failed_percent_ = choices.Next(2) == 0 ? 0 : choices.Next(101);
    }
  }

  // Entries and agents start, and lose each other before all of them have met.
  void StartAllAndCutOff(RandomChoices& choices) {
    const TimeMs back_at = now_ + static_cast<DurationMs>(choices.Next(kMaxCutMs));
    for (auto& it : entries_) {
      Start(&it);
      it.linked_at = now_ + static_cast<DurationMs>(choices.Next(kLinkMs));
      it.cut_at = now_ + kLinkMs;
      it.back_at = back_at;
    }
  }

  static void CutOff(Entry* entry) {
    entry->cut_at = 0;
    entry->linked_at = entry->back_at;
  }

  void CountEntries() {
    const auto linked = std::count_if(entries_.begin(), entries_.end(),
                                      [this](const Entry& it) { return it.linked_at <= now_; });
    EngineView view;
    view.instance = kAgent;
    view.entries = static_cast<int>(linked);
    for (auto& it : entries_) {
      if (it.linked_at > now_) {
        it.table->ForgetView(kAgent);
        it.next_view_at = 0;
      } else if (it.next_view_at <= now_) {
        it.table->ApplyView(view, now_);
        it.next_view_at = now_ + kViewIntervalMs;
      }
      it.count->Update(it.table->CountEntries(now_), now_);
      it.budget->SetEntries(it.count->value(), now_);
    }
  }

  void Pause(Entry* entry, RandomChoices& choices) const {
    entry->paused_until = now_ + static_cast<DurationMs>(choices.Next(kMaxPauseMs));
  }

  void Advance(RandomChoices& choices) {
    now_ += kStepMs;
    if (upstreams_stalled_until_ <= now_) Arrive();
    for (auto& it : entries_) {
      if (it.cut_at != 0 && it.cut_at <= now_) CutOff(&it);
    }
    CountEntries();
    const std::uint32_t n = requests_per_step_ + std::exchange(group_, 0);
    for (std::uint32_t request = 0; request < n; ++request) {
      ++entries_[choices.Next(kEntries)].unread;
      requests_.push_back(now_);
    }
    for (std::size_t k = 0; k < entries_.size(); ++k) {
      if (entries_[k].paused_until <= now_) ReadRequests(k, choices);
    }
  }

  void ReadRequests(std::size_t k, RandomChoices& choices) {
    Entry& entry = entries_[k];
    for (std::uint32_t n = std::exchange(entry.unread, 0); n > 0; --n) Serve(k, choices);
    entry.read_up_to = now_;
  }

  void Serve(std::size_t k, RandomChoices& choices) {
    Entry& entry = entries_[k];
    entry.budget->OnRequest("s", entry.read_up_to, now_);
    const bool is_failed = choices.Next(100) < failed_percent_;
    if (!is_failed || !entry.budget->TryConsume("s", now_)) return;
    if (choices.Next(100) < waiting_percent_) {
      waiting_.push_back({k, entry.starts, now_});
    } else {
      Send(k);
    }
  }

  void Send(std::size_t k) {
    under_way_.push_back({k, entries_[k].starts, now_});
    if (upstreams_stalled_until_ <= now_) Arrive();
  }

  // Upstreams read all that was sent to them, and answer.
  void Arrive() {
    for (const auto& it : std::exchange(under_way_, {})) {
      retries_.push_back(now_);
      Entry& entry = entries_[it.entry];
      if (entry.starts == it.starts) entry.budget->OnArrived("s", it.consumed_at, now_);
    }
  }

  // The model that they wait for is loaded.
  void SendWaiting() {
    for (const auto& it : std::exchange(waiting_, {})) {
      Entry& entry = entries_[it.entry];
      if (entry.starts != it.starts) continue;
      if (now_ - it.consumed_at > kMaxWaitMs) {
        entry.budget->OnArrived("s", it.consumed_at, now_);
        continue;
      }
      const bool is_sent = entry.budget->Postpone("s", it.consumed_at, now_);
      if (is_sent) Send(it.entry);
    }
  }

  TimeMs now_ = 1000000;
  std::vector<Entry> entries_;
  std::vector<TimeMs> requests_;
  std::vector<TimeMs> retries_;
  std::uint32_t requests_per_step_ = 8;
  std::uint32_t group_ = 0;
  std::uint32_t failed_percent_ = 50;
  std::uint32_t waiting_percent_ = 0;  // Of the retries.
  std::vector<PendingRetry> waiting_;
  std::vector<PendingRetry> under_way_;
  TimeMs upstreams_stalled_until_ = 0;
};

}  // namespace

TEST_GROUP(RandomRetryBudget){};

// Guards against budgets that begin anew with each start of an entry, and against entries that
// share the fixed allowance by too low a count, or count a retry long before it is sent or arrives,
// or a request long after.
TEST(RandomRetryBudget, BoundsTheRetriesOfAllEntries) {
  CHECK(RunRandomTest<RetrySimulation<4>>("retries, few entries"));
  CHECK(RunRandomTest<RetrySimulation<25>>("retries, many entries"));
}

}  // namespace junctionrail::test

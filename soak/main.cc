// soak: real entries and agents as processes on one machine, stand-ins for the
// platform and its upstreams, and faults from outside that come in series and
// overlap. soak --seed=N [--runs=M] [--seconds=S]; each run's faults follow from
// its seed. Exits 1 when a promise was broken, with the seed and what it was.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "callers.h"
#include "faults.h"
#include "site.h"

ABSL_FLAG(std::uint64_t, seed, 1, "The first run's seed; each further run adds one.");
ABSL_FLAG(int, runs, 1, "How many runs.");
ABSL_FLAG(int, seconds, 15, "How long faults go on in each run.");
ABSL_FLAG(std::string, daemon, "", "The junctionraild to run; by default the build's.");
ABSL_FLAG(std::string, keep, "", "A directory for the logs of runs that broke a promise.");

namespace junctionrail::soak {
namespace {

constexpr int kCallers = 10;
// The other callers alone send less than the rate of a cold upstream.
constexpr int kEagerCallers = 4;
// Their connections are seldom idle: a stop finds them busy, and their next requests follow late.
constexpr int kPersistentCallers = 2;
constexpr DurationMs kStartMs = 1500;
// After the faults, planned work without any of them: for so long, once so much time has passed.
constexpr DurationMs kPlannedMs = 8000;
constexpr DurationMs kCalmMs = 3000;
// The shortest partition. Runs at least this long wait until a partition ends by itself.
constexpr DurationMs kPartitionMs = 10000;

class Run {
 public:
  Run(std::uint64_t seed, const std::string& directory)
      : site_(seed, absl::GetFlag(FLAGS_daemon), directory),
        faults_(site_, directory + "/faults.log") {
    for (int n = 0; n < kCallers; ++n) {
      AddCaller("c" + std::to_string(n), kOrganisations[n % std::size(kOrganisations)],
                CallerHabit::kMixed);
    }
    for (int n = 0; n < kEagerCallers; ++n) {
      AddCaller("eager" + std::to_string(n), kOrganisations[0], CallerHabit::kEager);
    }
    for (int n = 0; n < kPersistentCallers; ++n) {
      AddCaller("persistent" + std::to_string(n), kOrganisations[0], CallerHabit::kPersistent);
    }
    AddCaller("deadly", kOrganisations[0], CallerHabit::kDeadly);
    AddCaller("deadly-part", kOrganisations[0], CallerHabit::kDeadlyPart);
  }

  // Returns what was broken.
  std::vector<std::string> Play(DurationMs fault_ms) {
    site_.Start();
    testing::RunFor(site_.io, kStartMs);
    for (auto& it : callers_) it->Start();
    const TimeMs until = MonotonicMs() + fault_ms;
    while (MonotonicMs() < until || (fault_ms >= kPartitionMs && IsPartitioned())) {
      faults_.Begin();
      testing::RunFor(site_.io, static_cast<std::int64_t>(80 + site_.random() % 350));
    }
    Settle("the faults");
    testing::RunFor(site_.io, kCalmMs);
    const TimeMs planned_until = MonotonicMs() + kPlannedMs;
    while (MonotonicMs() < planned_until) {
      faults_.BeginPlanned();
      testing::RunFor(site_.io, static_cast<std::int64_t>(80 + site_.random() % 350));
    }
    Settle("planned work");
    for (auto& it : callers_) it->Stop();
    site_.Stop();
    return site_.judge.Finish();
  }

  std::string Summary() const {
    return site_.judge.Summary() + ", partitions " + std::to_string(faults_.partitions());
  }

 private:
  void AddCaller(const std::string& name, const char* organisation, CallerHabit habit) {
    callers_.push_back(std::make_shared<Caller>(site_.io, site_.judge, site_.random, name,
                                                site_.entry_endpoints(), organisation, habit));
  }

  void Settle(const std::string& what) {
    faults_.Heal();
    for (auto& it : callers_) it->TakeServed();
    if (!Recovers()) {
      site_.judge.Complain("some callers were not served after " + what + " had ended");
    }
  }

  bool IsPartitioned() const { return faults_.partitioned_until() > MonotonicMs(); }

  // After the last fault, whether each mixed caller has three requests served within twenty
  // seconds.
  bool Recovers() {
    std::vector<int> served(kCallers);
    return testing::RunUntil(site_.io, [&] { return AllServed(&served); }) ||
           testing::RunUntil(site_.io, [&] { return AllServed(&served); });
  }

  bool AllServed(std::vector<int>* served) {
    for (std::size_t n = 0; n < served->size(); ++n) (*served)[n] += callers_[n]->TakeServed();
    return std::all_of(served->begin(), served->end(), [](int n) { return n >= 3; });
  }

  Site site_;
  Faults faults_;
  std::vector<std::shared_ptr<Caller>> callers_;  // The mixed ones first.
};

// Plays one run; prints how it went. False when a promise was broken.
bool PlayOne(std::uint64_t seed) {
  char pattern[] = "/tmp/soak-XXXXXX";
  const std::string directory = mkdtemp(pattern);
  std::vector<std::string> broken;
  std::string summary;
  {
    Run run(seed, directory);
    broken = run.Play(DurationMs{1000} * absl::GetFlag(FLAGS_seconds));
    summary = run.Summary();
  }
  std::printf("seed %llu: %s;%s\n", static_cast<unsigned long long>(seed),
              broken.empty() ? "every promise kept" : "BROKEN", summary.c_str());
  for (const auto& it : broken) std::printf("  %s\n", it.c_str());
  std::fflush(stdout);
  const std::string keep = absl::GetFlag(FLAGS_keep);
  if (!broken.empty() && !keep.empty()) {
    std::filesystem::create_directories(keep);
    std::filesystem::copy(directory, keep + "/seed-" + std::to_string(seed),
                          std::filesystem::copy_options::recursive);
  }
  std::filesystem::remove_all(directory);
  return broken.empty();
}

}  // namespace
}  // namespace junctionrail::soak

int main(int argc, char** argv) {
  // Programs inherit this until they handle the signal themselves: while one is being loaded,
  // SIGHUP ends it whatever its code does.
  std::signal(SIGHUP, SIG_IGN);
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (absl::GetFlag(FLAGS_daemon).empty()) {
    absl::SetFlag(&FLAGS_daemon, std::string(JUNCTIONRAIL_BINARY_DIR) + "/junctionraild");
  }
  bool is_kept = true;
  for (int n = 0; n < absl::GetFlag(FLAGS_runs); ++n) {
    const auto seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(n);
    is_kept = junctionrail::soak::PlayOne(seed) && is_kept;
  }
  return is_kept ? 0 : 1;
}

// soak: real entries and agents as processes on one machine, stand-ins for the
// platform and its upstreams, and faults from outside that come in series and
// overlap. soak --seed=N [--runs=M] [--seconds=S]; each run's faults follow from
// its seed. Exits 1 when a promise was broken, with the seed and what it was.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "callers.h"
#include "fleet.h"
#include "judge.h"
#include "proxy.h"
#include "upstreams.h"

ABSL_FLAG(std::uint64_t, seed, 1, "The first run's seed; each further run adds one.");
ABSL_FLAG(int, runs, 1, "How many runs.");
ABSL_FLAG(int, seconds, 6, "How long faults go on in each run.");
ABSL_FLAG(std::string, daemon, "", "The junctionraild to run; by default the build's.");
ABSL_FLAG(std::string, keep, "", "A directory for the logs of runs that broke a promise.");

namespace junctionrail::soak {
namespace {

using nlohmann::json;

constexpr int kEntries = 3;
constexpr int kEngines = 3;
constexpr int kPlains = 2;
constexpr int kCallers = 8;
constexpr std::uint16_t kPort = 8100;
constexpr std::uint16_t kLinkPort = 8200;
constexpr DurationMs kStartMs = 1500;
constexpr DurationMs kPollMs = 20;
// A poll that comes so late says that the machine is busy with something else.
constexpr DurationMs kBusyPollMs = 200;
// After the last fault everything is back; then requests of all callers are
// served again within this.
constexpr DurationMs kRecoverMs = 20000;

class Run {
 public:
  Run(std::uint64_t seed, std::string directory)
      : random_(seed), seed_(seed), directory_(std::move(directory)) {
    // Loopback addresses of this process's own, so that runs do not meet.
    net_ = "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(seed % 250) + ".";
    for (int n = 0; n < kEngines + kPlains; ++n) AddUpstream(n);
    for (int n = 0; n < kEntries; ++n) AddEntry(n);
    for (int n = 0; n < kCallers; ++n) {
      const char* organisation = kOrganisations[n % std::size(kOrganisations)];
      callers_.push_back(std::make_shared<Caller>(io_, judge_, random_, "c" + std::to_string(n),
                                                  entry_endpoints_, organisation));
    }
    deadly_ = std::make_shared<Caller>(io_, judge_, random_, "deadly", entry_endpoints_,
                                       kOrganisations[0], true);
  }

  // Returns what was broken.
  std::vector<std::string> Play(DurationMs fault_ms) {
    Configure();
    for (auto& it : upstreams_) it->Start();
    for (auto& it : processes_) it->Start();
    poll_.Every(kPollMs, [this] { Poll(); });
    testing::RunFor(io_, kStartMs);
    for (auto& it : callers_) it->Start();
    deadly_->Start();
    const TimeMs until = MonotonicMs() + fault_ms;
    while (MonotonicMs() < until) {
      Harm();
      testing::RunFor(io_, static_cast<std::int64_t>(80 + random_() % 350));
    }
    Heal();
    if (!Recovers()) judge_.Complain("some callers were not served after the faults were over");
    for (auto& it : callers_) it->Stop();
    deadly_->Stop();
    poll_.Cancel();
    for (auto& it : upstreams_) it->Crash();
    return judge_.Finish();
  }

  std::string Summary() const { return judge_.Summary(); }

 private:
  std::string Address(int n) const { return net_ + std::to_string(n); }

  // A VM with an upstream behind a proxy at its address, and an agent if it is
  // an engine.
  void AddUpstream(int n) {
    const bool is_engine = n < kEngines;
    const Endpoint inner{Address(100 + n), kPort};
    const Endpoint outer{Address(10 + n), kPort};
    auto upstream =
        std::make_unique<Upstream>(io_, store_, judge_, random_,
                                   (is_engine ? "e" : "p") + std::to_string(n), is_engine, inner);
    upstream->SetAddress(outer);
    upstreams_.push_back(std::move(upstream));
    paths_.push_back({std::make_unique<Proxy>(io_, outer, [inner] { return inner; }), -1, n});
    if (!is_engine) return;
    const json direct = {{"store", AddStorePath(-1).ToString()},
                         {"metrics", outer.address + ":8300"},
                         {"link", outer.address + ":" + std::to_string(kLinkPort)},
                         {"upstream", outer.ToString()}};
    AddProcess("agent-" + std::to_string(n), "agent", direct);
  }

  void AddEntry(int n) {
    const std::string address = Address(50 + n);
    const Endpoint callers{address, kPort};
    entry_endpoints_.push_back(callers);
    json peers = json::array();
    for (int other = 0; other < kEntries; ++other) peers.push_back(Address(50 + other) + ":8102");
    const json direct = {{"store", AddStorePath(n).ToString()},
                         {"metrics", address + ":8300"},
                         {"link_port", kLinkPort},
                         {"callers", callers.ToString()},
                         {"health", address + ":8101"},
                         {"peer", address + ":8102"},
                         {"peers", peers},
                         {"revoke_ms", kRevokeMs}};
    AddProcess("entry-" + std::to_string(n), "entry", direct);
    entry_processes_.push_back(processes_.back().get());
  }

  // `entry` is -1 for an agent's.
  Endpoint AddStorePath(int entry) {
    paths_.push_back({std::make_unique<Proxy>(io_, Endpoint{"127.0.0.1", 0},
                                              [this] { return store_.endpoint(); }),
                      entry, -1});
    return paths_.back().proxy->endpoint();
  }

  void AddProcess(const std::string& name, const std::string& role, const json& direct) {
    const json settings = {{"role", role},
                           {"id", name},
                           {"data_hall", "hall-1"},
                           {"drain_ms", 3000},
                           {"direct", direct}};
    const std::string file = directory_ + "/" + name + ".json";
    std::ofstream(file) << settings.dump(2);
    processes_.push_back(std::make_unique<Process>(name, absl::GetFlag(FLAGS_daemon), file,
                                                   directory_ + "/" + name + ".log"));
  }

  // `has_key`: the organisation "fleeting" has its key.
  void Configure(bool has_key = true) {
    json organisations = json::array();
    for (const char* it : kOrganisations) {
      organisations.push_back({{"name", it}, {"apiKeys", {std::string("key of ") + it}}});
    }
    organisations[1]["ratePerS"] = kLimitedPerS;
    organisations[1]["burst"] = kLimitedBurst;
    if (!has_key) organisations[2]["apiKeys"] = json::array();
    json routes = json::array();
    const auto add = [&](const char* kind, const char* path, const char* service, bool resumable) {
      routes.push_back({{"name", path},
                        {"hostname", "soak.example"},
                        {"pathPrefix", std::string("/") + path + "/"},
                        {"kind", kind},
                        {"timeoutMs", 3500 + static_cast<int>(random_() % 400)},
                        {"targetLatencyMs", 800},
                        {"gapAimMs", 300},
                        {"priority", 1},
                        {"service", service},
                        {"maxAttempts", resumable ? 2 : 1},
                        {"resumable", resumable}});
    };
    add("non_idempotent", "once", kPlainService, false);
    add("idempotent", "repeatable", kPlainService, false);
    routes.back()["maxAttempts"] = 2;
    add("streaming", "resumable", kEngineService, true);
    add("streaming", "stream", kEngineService, false);
    json models = json::array();
    for (const char* it : kModels) {
      models.push_back({{"name", it},
                        {"weightsMb", 40},
                        {"loadTimeS", 0.5},
                        {"diskS", 0.12},
                        {"warmS", 0.1},
                        {"adapters", 1},
                        {"adapterMb", 1}});
    }
    const json engine = {{"weightsMb", 95}, {"adapterSlots", kEnginePlaces}, {"models", models}};
    const json configuration = {{"version", ++version_},
                                {"routes", routes},
                                {"tenants", organisations},
                                {"services",
                                 {{{"name", kEngineService}, {"maxConns", 200}, {"engine", engine}},
                                  {{"name", kPlainService}, {"maxConns", 200}}}},
                                {"limits",
                                 {{"maxHeaderBytes", 16384},
                                  {"maxBodyBytes", 65536},
                                  {"headerTimeoutMs", 2000},
                                  {"idleTimeoutMs", 5000}}}};
    store_.Put("op/config", configuration.dump());
    judge_.OnKey(has_key);
  }

  void Poll() {
    const TimeMs now = MonotonicMs();
    for (auto& it : processes_) {
      const std::string sentence = it->Poll(now);
      if (!sentence.empty()) judge_.Complain(sentence);
    }
    for (auto& it : upstreams_) it->StartIfDue();
    if (now - polled_at_ > kBusyPollMs) judge_.OnBusyMachine();
    polled_at_ = now;
    for (const auto& it : paths_) {
      if (!it.proxy->is_open()) Excuse(it);
    }
    const bool is_store_away = store_.mood != testing::StandinStore::Mood::kFine;
    for (int n = 0; n < kEntries; ++n) {
      const bool is_well = entry_processes_[static_cast<std::size_t>(n)]->is_well();
      if (is_store_away || !is_well) judge_.OnEntryTroubled(n);
      if (!is_well) judge_.OnEntryStopped(n);
    }
  }

  struct Path {
    std::unique_ptr<Proxy> proxy;
    int entry = -1;     // Whose way to the store it is.
    int upstream = -1;  // Whose way from all entries it is.
  };

  void Excuse(const Path& path) {
    if (path.entry >= 0) judge_.OnEntryTroubled(path.entry);
    if (path.upstream < 0) return;
    judge_.OnUpstreamTroubled(upstreams_[static_cast<std::size_t>(path.upstream)]->instance());
  }

  Path& AnyPath() { return paths_[random_() % paths_.size()]; }

  template <class T>
  T& Any(std::vector<std::unique_ptr<T>>& list) {
    return *list[random_() % list.size()];
  }

  void Later(DurationMs delay, std::function<void()> call) {
    auto timer = std::make_shared<Timer>(io_);
    timer->After(delay, [timer, call = std::move(call)] { call(); });
  }

  DurationMs Between(int low, int high) {
    return low + static_cast<DurationMs>(random_() % static_cast<std::uint64_t>(high - low));
  }

  // One fault; it may begin while earlier ones last.
  void Harm() {
    switch (random_() % 14) {
      case 0:
        return HarmProcess(SIGKILL);
      case 1:
        return HarmProcess(SIGTERM);
      case 2:
        return Any(processes_).Signal(SIGHUP);
      case 3: {
        Process& process = Any(processes_);
        process.Pause();
        return Later(Between(100, 2500), [&process] { process.Resume(); });
      }
      case 4:
        return HarmPath(PathState::kSlow);
      case 5:
        return HarmPath(PathState::kSilent);
      case 6:
        return HarmPath(PathState::kOneWay);
      case 7: {
        const Path& path = AnyPath();
        Excuse(path);
        return path.proxy->Reset();
      }
      case 8: {
        store_.mood = random_() % 2 == 0 ? testing::StandinStore::Mood::kBusy
                                         : testing::StandinStore::Mood::kSilent;
        return Later(Between(300, 2500),
                     [this] { store_.mood = testing::StandinStore::Mood::kFine; });
      }
      case 9:
        store_.SilenceWatches();
        Configure(random_() % 3 != 0);
        store_.ForgetHistory();
        return store_.CutWatches();
      case 10:
        return HarmUpstream();
      case 11: {
        const Path& path = AnyPath();
        Excuse(path);
        return path.proxy->SilenceOpen();
      }
      case 12: {
        Upstream& upstream = Any(upstreams_);
        const bool is_limit = random_() % 2 == 0;
        upstream.SetNeed(is_limit ? 0.25 * static_cast<double>(1 + random_() % 3) : 0,
                         is_limit ? 0 : 60);
        return Later(Between(3000, 9000), [&upstream] { upstream.SetNeed(0, 0); });
      }
      default: {
        Upstream& upstream = Any(upstreams_);
        upstream.misbehaviour = {10, 10, 10, 30};
        return Later(Between(500, 3000), [&upstream] { upstream.misbehaviour = {}; });
      }
    }
  }

  void HarmProcess(int signal) {
    Process& process = Any(processes_);
    process.HoldDown(MonotonicMs() + Between(0, 800));
    process.Signal(signal);
  }

  void HarmPath(PathState state) {
    const Path& harmed = AnyPath();
    Excuse(harmed);
    Proxy& path = *harmed.proxy;
    path.Set(state);
    Later(Between(200, 2500), [&path] { path.Set(PathState::kOpen); });
  }

  void HarmUpstream() {
    Upstream& upstream = Any(upstreams_);
    if (random_() % 2 == 0) return upstream.Drain(random_() % 2 == 0);
    upstream.Crash();
    Later(Between(100, 1500), [&upstream] {
      if (!upstream.is_running()) upstream.Start();
    });
  }

  void Heal() {
    for (auto& it : processes_) it->Resume();
    for (auto& it : paths_) it.proxy->Set(PathState::kOpen);
    store_.mood = testing::StandinStore::Mood::kFine;
    Configure();
    for (auto& it : upstreams_) {
      it->misbehaviour = {};
      it->SetNeed(0, 0);
      if (!it->is_running()) it->Start();
    }
    for (auto& it : callers_) it->TakeServed();
  }

  bool Recovers() {
    std::vector<int> served(callers_.size());
    return testing::RunUntil(io_, [&] { return AllServed(&served); }) ||
           testing::RunUntil(io_, [&] { return AllServed(&served); });
  }

  bool AllServed(std::vector<int>* served) {
    for (std::size_t n = 0; n < callers_.size(); ++n) (*served)[n] += callers_[n]->TakeServed();
    return std::all_of(served->begin(), served->end(), [](int n) { return n >= 3; });
  }

  boost::asio::io_context io_;
  Random random_;
  std::uint64_t seed_;
  std::string directory_;
  std::string net_;
  Judge judge_;
  testing::StandinStore store_{io_};
  Timer poll_{io_};
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<Path> paths_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Process*> entry_processes_;
  TimeMs polled_at_ = MonotonicMs();
  std::vector<Endpoint> entry_endpoints_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::shared_ptr<Caller> deadly_;
  int version_ = 0;
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
    std::filesystem::copy(directory, keep + "/seed-" + std::to_string(seed),
                          std::filesystem::copy_options::recursive);
  }
  std::filesystem::remove_all(directory);
  return broken.empty();
}

}  // namespace
}  // namespace junctionrail::soak

int main(int argc, char** argv) {
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

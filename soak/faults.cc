#include "faults.h"

#include <csignal>
#include <iterator>
#include <string_view>
#include <utility>

namespace junctionrail::soak {
namespace {

using Mood = testing::StandinStore::Mood;

constexpr int kAgentPauseMs = 4000;
// From the beginning of that pause until the upstream that leaves meanwhile has ended.
constexpr DurationMs kQuietMs = 9000;
constexpr std::uint64_t kQuietDepartureOneIn = 3;

// Enough for a crowd's first answers; and, from its next requests on, for the others.
constexpr DurationMs kCrowdMs = 150;
constexpr DurationMs kCrowdLeavesMs = 5000;
// Requests that wait for so long have not crossed the close of their connection.
constexpr DurationMs kUnreadMs = 300;

// Bytes that are no text and no document.
const std::string kUnreadable("\xff\x00{[\xc3", 5);

}  // namespace

Faults::Faults(Site& site, const std::string& log_file)
    : site_(site),
      random_(site.random),
      log_(log_file),
      has_quiet_departure_(random_() % kQuietDepartureOneIn == 0) {
  planned_kinds_ = {
      {"silence", [this] { Silence(); }},
      {"work beside silence", [this] { WorkBesideSilence(); }},
      {"work after a pause", [this] { WorkAfterPause(); }},
      {"limit or rest", [this] { LimitUpstream(); }},
  };
  kinds_ = {
      {"kill", [this] { HarmProcess(SIGKILL); }},
      {"term", [this] { HarmProcess(SIGTERM); }},
      {"hup", [this] { site_.Signal(Any(site_.processes), SIGHUP); }},
      {"pause", [this] { PauseProcess(); }},
      {"slow path", [this] { HarmPath(PathState::kSlow); }},
      {"silent path", [this] { HarmPath(PathState::kSilent); }},
      {"one-way path", [this] { HarmPath(PathState::kOneWay); }},
      {"reset", [this] { HarmConnections(&Proxy::Reset); }},
      {"silent connections", [this] { HarmConnections(&Proxy::SilenceOpen); }},
      {"store", [this] { HarmStore(); }},
      {"configuration", [this] { ChangeConfiguration(); }},
      {"upstream", [this] { HarmUpstream(); }},
      {"departure beside paused agents", [this] { LetLeaveBesidePausedAgents(); }},
      {"limit or rest", [this] { LimitUpstream(); }},
      {"misbehaviour", [this] { MisguideUpstream(); }},
      {"evacuation", [this] { Evacuate(); }},
      {"partition", [this] { Partition(); }},
      {"slow regions", [this] { SlowRegions(); }},
      {"spoiled record", [this] { Any(site_.upstreams).SpoilRecord(); }},
      {"spoiled record", [this] { Any(site_.upstreams).SpoilRecord(); }},
      {"stray key", [this] { WriteStrayKeys(); }},
      {"spoiled configuration", [this] { SpoilConfiguration(); }},
  };
  kinds_.insert(kinds_.end(), planned_kinds_.begin(), planned_kinds_.end());
}

void Faults::Begin() {
  if (MonotonicMs() < quiet_until_) return;
  Begin(kinds_[random_() % kinds_.size()]);
}

void Faults::BeginPlanned() { Begin(planned_kinds_[random_() % planned_kinds_.size()]); }

void Faults::Begin(const Kind& kind) {
  log_ << MonotonicMs() << ' ' << kind.name << std::endl;
  kind.begin();
  site_.ExcuseEntries();
}

void Faults::Later(DurationMs delay, std::function<void()> call) {
  auto timer = std::make_shared<Timer>(site_.io);
  timer->After(delay, [timer, call = std::move(call)] { call(); });
}

void Faults::HarmProcess(int signal) {
  Process& process = Any(site_.processes);
  process.HoldDown(MonotonicMs() + Between(0, 800));
  site_.Signal(process, signal);
}

void Faults::PauseProcess() {
  Process& process = Any(site_.processes);
  process.Pause();
  Later(Between(100, 2500), [&process] { process.Resume(); });
}

// Of one upstream, or of several at once.
void Faults::Silence() {
  const std::uint64_t n = random_() % 2 == 0 ? 1 : 1 + random_() % site_.upstreams.size();
  for (std::uint64_t i = 0; i < n; ++i) Any(site_.upstreams).FallSilent(Between(300, 1500));
}

void Faults::WorkBesideSilence() {
  Silence();
  Later(Between(0, 1000), [this] { Work(AnyEntry()); });
}

void Faults::WorkAfterPause() {
  const auto n = static_cast<std::size_t>(random_() % site_.entry_processes().size());
  Process& entry = *site_.entry_processes()[n];
  const auto crowd =
      std::make_shared<Crowd>(site_.io, site_.judge, "crowd" + std::to_string(++crowds_),
                              static_cast<int>(n), site_.entry_endpoints()[n]);
  crowd->Arrive();
  Later(kCrowdMs, [this, &entry, crowd] {
    entry.Pause();
    Later(Between(300, 1500), [this, &entry, crowd] { SendAndWork(entry, crowd); });
  });
}

// The timers of the entry lapse before its callers send: it learns of these first.
void Faults::SendAndWork(Process& entry, const std::shared_ptr<Crowd>& crowd) {
  crowd->SendAgain();
  Later(kUnreadMs, [this, &entry] {
    Work(entry);
    entry.Resume();
  });
  Later(kCrowdLeavesMs, [crowd] { crowd->Leave(); });
}

void Faults::Work(Process& entry) {
  switch (random_() % 3) {
    case 0:
      return site_.Signal(entry, SIGTERM);
    case 1:
      return site_.Signal(entry, SIGHUP);
    default:
      site_.Configure();
  }
}

void Faults::HarmPath(PathState state) {
  const Path& harmed = AnyPath();
  site_.Excuse(harmed);
  Proxy& path = *harmed.proxy;
  path.Set(state);
  Later(Between(200, 2500), [&path] { path.Set(PathState::kOpen); });
}

void Faults::HarmConnections(void (Proxy::*harm)()) {
  const Path& path = AnyPath();
  site_.Excuse(path);
  (path.proxy.get()->*harm)();
}

void Faults::HarmStore() {
  site_.store.mood = random_() % 2 == 0 ? Mood::kBusy : Mood::kSilent;
  Later(Between(300, 2500), [this] { site_.store.mood = Mood::kFine; });
}

void Faults::ChangeConfiguration() {
  site_.store.SilenceWatches();
  site_.Configure(random_() % 3 != 0);
  site_.store.ForgetHistory();
  site_.store.CutWatches();
}

void Faults::HarmUpstream() {
  Upstream& upstream = Any(site_.upstreams);
  if (random_() % 2 == 0) return upstream.Drain(random_() % 2 == 0);
  upstream.Crash();
  Later(Between(100, 1500), [&upstream] {
    if (!upstream.is_running()) upstream.Start();
  });
}

// An upstream takes its record away while all agents, one of which relays the list of upstreams,
// stand still for longer than a record takes to lapse.
void Faults::LetLeaveBesidePausedAgents() {
  constexpr std::string_view kAgent = "agent";
  for (auto& it : site_.processes) {
    if (it->name().compare(0, kAgent.size(), kAgent) != 0) continue;
    it->Pause();
    Later(kAgentPauseMs, [process = it.get()] { process->Resume(); });
  }
  Upstream& upstream = Any(site_.upstreams);
  Later(Between(kAgentPauseMs / 2, kAgentPauseMs * 3 / 4), [&upstream] { upstream.Drain(false); });
  if (std::exchange(has_quiet_departure_, false)) quiet_until_ = MonotonicMs() + kQuietMs;
}

void Faults::LimitUpstream() {
  Upstream& upstream = Any(site_.upstreams);
  const bool is_limit = random_() % 2 == 0;
  upstream.SetNeed(is_limit ? 0.25 * static_cast<double>(1 + random_() % 3) : 0, is_limit ? 0 : 60);
  Later(Between(3000, 9000), [&upstream] { upstream.SetNeed(0, 0); });
}

void Faults::MisguideUpstream() {
  Upstream& upstream = Any(site_.upstreams);
  upstream.misbehaviour = {10, 10, 10, 20, 30};
  Later(Between(500, 3000), [&upstream] { upstream.misbehaviour = {}; });
}

// In three of four cases the evacuation lasts until the hall is closed; in half of these its
// upstreams are cold when it is given back.
void Faults::Evacuate() {
  const std::string hall = Halls()[random_() % Halls().size()].name;
  if (!evacuated_.insert(hall).second) return;
  site_.judge.OnEvacuation(hall, true);
  site_.store.Put("op/evacuate/" + hall, random_() % 2 == 0 ? "" : kUnreadable);
  const bool closes = random_() % 4 != 0;
  const bool is_cold = closes && random_() % 2 == 0;
  Later(closes ? Between(4000, 8000) : Between(200, 3000),
        [this, hall, is_cold] { GiveBack(hall, is_cold); });
}

// `hall` is passed by value, as the element of `evacuated_` that it may come from is erased.
void Faults::GiveBack(std::string hall, bool is_cold) {
  if (evacuated_.erase(hall) == 0) return;
  for (auto& it : site_.upstreams) {
    if (is_cold && it->is_running() && it->hall() == hall) it->GoCold(true);
  }
  site_.store.Remove("op/evacuate/" + hall);
  site_.judge.OnEvacuation(hall, false);
}

// Cuts a region off from the others and, in half of the cases, from the store too.
void Faults::Partition() {
  if (partitioned_until_ != 0) return;
  const DurationMs lasts_ms = Between(10000, 13000);
  partitioned_until_ = MonotonicMs() + lasts_ms;
  ++partitions_;
  site_.network.Partition(Regions()[random_() % Regions().size()], random_() % 2 == 0);
  Later(lasts_ms, [this] {
    site_.network.Heal();
    partitioned_until_ = 0;
  });
}

void Faults::SlowRegions() {
  site_.network.SetDelay(Between(40, 150));
  Later(Between(500, 4000), [this] { site_.network.SetDelay(kRegionDelayMs); });
}

// Keys that name no upstream, hall, end or claim.
void Faults::WriteStrayKeys() {
  constexpr const char* kPrefixes[] = {"servers/", "op/", "op/evacuate/", "quarantine/", "hosts/"};
  const std::string values[] = {kUnreadable,
                                "",
                                "[]",
                                "null",
                                "{}",
                                R"({"service":"plain"})",
                                R"({"address":"127.0.0.1:1","state":17,"slots":1e300})"};
  const std::string key = kPrefixes[random_() % std::size(kPrefixes)];
  site_.store.Put(key + "stray-" + std::to_string(++stray_keys_),
                  values[random_() % std::size(values)]);
}

void Faults::SpoilConfiguration() {
  site_.store.Put("op/config", random_() % 2 == 0 ? kUnreadable : R"({"version":"next"})");
  Later(Between(200, 1500), [this] { site_.Configure(); });
}

void Faults::Heal() {
  site_.network.Heal();
  site_.network.SetDelay(kRegionDelayMs);
  while (!evacuated_.empty()) GiveBack(*evacuated_.begin(), false);
  for (auto& it : site_.processes) it->Resume();
  for (auto& it : site_.paths) it.proxy->Set(PathState::kOpen);
  site_.store.mood = Mood::kFine;
  site_.Configure();
  for (auto& it : site_.upstreams) {
    it->misbehaviour = {};
    it->SetNeed(0, 0);
    if (!it->is_running()) it->Start();
  }
}

}  // namespace junctionrail::soak

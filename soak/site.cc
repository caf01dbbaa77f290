#include "site.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace junctionrail::soak {
namespace {

using nlohmann::json;

constexpr std::uint16_t kPort = 8100;
// Port of agents for links. Entry n uses this plus n, with a proxy of its own in between, so that
// the proxy knows whose link it carries.
constexpr std::uint16_t kLinkPort = 8200;
constexpr DurationMs kPollMs = 20;
// A poll that is later than this means that the machine is overloaded.
constexpr DurationMs kBusyPollMs = 200;

const Hall& HallOf(int n) { return Halls()[static_cast<std::size_t>(n) % Halls().size()]; }

std::uint16_t LinkPort(int entry) { return static_cast<std::uint16_t>(kLinkPort + entry); }

json HallRegions() {
  json regions;
  for (const Hall& it : Halls()) regions[it.name] = it.region;
  return regions;
}

}  // namespace

Site::Site(std::uint64_t seed, std::string daemon, std::string directory)
    : random(seed), daemon_(std::move(daemon)), directory_(std::move(directory)) {
  // Loopback addresses of its own for each process and seed, so that concurrent runs do not
  // conflict.
  net_ = "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(seed % 250) + ".";
  network.SetDelay(kRegionDelayMs);
  for (int n = 0; n < kEngines + kPlains; ++n) AddUpstream(n);
  for (int n = 0; n < kEntries; ++n) AddEntry(n);
}

// A VM with an upstream behind a proxy at its address, and an agent if it is an engine.
void Site::AddUpstream(int n) {
  const bool is_engine = n < kEngines;
  const Hall& hall = HallOf(n);
  const Endpoint inner{Address(100 + n), kPort};
  const Endpoint outer{Address(10 + n), kPort};
  auto upstream = std::make_unique<Upstream>(io, store, judge, random,
                                             (is_engine ? "e" : "p") + std::to_string(n), is_engine,
                                             inner, hall.name);
  upstream->SetAddress(outer);
  upstreams.push_back(std::move(upstream));
  const Way way{&network, hall.region, [this](std::string_view bytes) { return OriginOf(bytes); }};
  paths.push_back({std::make_unique<Proxy>(
                       io, outer, [inner] { return inner; }, way),
                   -1, n});
  if (is_engine) AddAgent(n, inner, outer);
}

void Site::AddAgent(int n, const Endpoint& inner, const Endpoint& outer) {
  const Hall& hall = HallOf(n);
  const Endpoint link{inner.address, kLinkPort};
  for (int entry = 0; entry < kEntries; ++entry) {
    AddLink({outer.address, LinkPort(entry)}, link, HallOf(entry), hall);
  }
  AddProcess("agent-" + std::to_string(n), "agent", hall,
             {{"store", AddStorePath(-1, hall).ToString()},
              {"metrics", outer.address + ":8300"},
              {"link", link.ToString()},
              {"upstream", outer.ToString()}});
}

void Site::AddEntry(int n) {
  const Hall& hall = HallOf(n);
  const std::string address = Address(50 + n);
  const Endpoint callers{address, kPort};
  entry_endpoints_.push_back(callers);
  json peers = json::array();
  for (int other = 0; other < kEntries; ++other) {
    if (other == n) continue;
    const Endpoint peer{Address(50 + other), 8102};
    peers.push_back(AddLink({"127.0.0.1", 0}, peer, hall, HallOf(other)).ToString());
  }
  AddProcess("entry-" + std::to_string(n), "entry", hall,
             {{"store", AddStorePath(n, hall).ToString()},
              {"metrics", address + ":8300"},
              {"link_port", LinkPort(n)},
              {"callers", callers.ToString()},
              {"health", address + ":8101"},
              {"peer", address + ":8102"},
              {"peers", peers},
              {"hall_regions", HallRegions()},
              {"revoke_ms", kRevokeMs},
              {"retry_ratio", kRetryRatio},
              {"retry_extra", kRetryExtra},
              {"retry_window_ms", kRetryWindowMs}});
  entry_processes_.push_back(processes.back().get());
}

Endpoint Site::AddStorePath(int entry, const Hall& hall) {
  const Way way{&network, kStorePlace, [region = hall.region](auto) { return region; }};
  const auto target = [this] { return store.endpoint(); };
  paths.push_back({std::make_unique<Proxy>(io, Endpoint{"127.0.0.1", 0}, target, way), entry, -1});
  return paths.back().proxy->endpoint();
}

Endpoint Site::AddLink(const Endpoint& listen, const Endpoint& target, const Hall& from,
                       const Hall& to) {
  const Way way{&network, to.region, [region = from.region](auto) { return region; }};
  links_.push_back(std::make_unique<Proxy>(
      io, listen, [target] { return target; }, way));
  return links_.back()->endpoint();
}

// All connections come from one address. Those of entries to upstreams carry requests of callers,
// or orders that name the entry.
std::string Site::OriginOf(std::string_view bytes) const {
  constexpr std::string_view kId = "Attempt-Id: ";
  const std::size_t at = bytes.find(kId);
  if (at != std::string_view::npos) {
    const std::size_t begin = at + kId.size();
    const int entry =
        judge.EntryOf(std::string(bytes.substr(begin, bytes.find('\r', begin) - begin)));
    return entry < 0 ? "" : HallOf(entry).region;
  }
  for (int n = 0; n < kEntries; ++n) {
    const std::string holder = "\"entry-" + std::to_string(n);
    if (bytes.find(holder) != std::string_view::npos) return HallOf(n).region;
  }
  return "";
}

void Site::AddProcess(const std::string& name, const std::string& role, const Hall& hall,
                      json direct) {
  direct["evacuate_ms"] = kEvacuateMs;
  const json settings = {{"role", role},
                         {"id", name},
                         {"data_hall", hall.name},
                         {"drain_ms", kGraceMs},
                         {"direct", std::move(direct)}};
  const std::string file = directory_ + "/" + name + ".json";
  std::ofstream(file) << settings.dump(2);
  processes.push_back(
      std::make_unique<Process>(name, daemon_, file, directory_ + "/" + name + ".log"));
}

void Site::Start() {
  Configure();
  for (auto& it : upstreams) it->Start();
  for (auto& it : processes) it->Start();
  poll_.Every(kPollMs, [this] { Poll(); });
}

void Site::Stop() {
  poll_.Cancel();
  for (auto& it : upstreams) it->Crash();
}

void Site::Configure(bool has_key) {
  store.Put("op/config", ConfigurationDocument(++version_, has_key, random));
  judge.OnKey(has_key);
  judge.OnConfiguration();
}

void Site::Signal(Process& process, int signal) {
  const auto it = std::find(entry_processes_.begin(), entry_processes_.end(), &process);
  const auto entry = static_cast<int>(it - entry_processes_.begin());
  const bool is_entry = it != entry_processes_.end() && process.is_running();
  if (is_entry && signal == SIGKILL) judge.OnEntryHarmed(entry);
  if (is_entry && signal == SIGHUP) judge.OnReload(entry);
  // A further one does not move the end of the grace time.
  if (is_entry && signal == SIGTERM && !process.is_to_end()) judge.OnStop(entry);
  process.Signal(signal);
}

void Site::Poll() {
  const TimeMs now = MonotonicMs();
  for (auto& it : processes) {
    const std::string sentence = it->Poll(now);
    if (!sentence.empty()) judge.Complain(sentence);
  }
  for (auto& it : upstreams) it->StartIfDue();
  if (now - polled_at_ > kBusyPollMs) judge.OnBusyMachine();
  polled_at_ = now;
  for (const auto& it : paths) {
    if (!it.proxy->is_open()) Excuse(it);
  }
  ExcuseEntries();
}

void Site::Excuse(const Path& path) {
  if (path.entry >= 0) judge.OnEntryHarmed(path.entry);
  if (path.upstream < 0) return;
  judge.OnUpstreamTroubled(upstreams[static_cast<std::size_t>(path.upstream)]->instance());
}

void Site::ExcuseEntries() {
  const bool is_store_away = store.mood != testing::StandinStore::Mood::kFine;
  for (int n = 0; n < kEntries; ++n) {
    const std::string& region = HallOf(n).region;
    const Process& process = *entry_processes_[static_cast<std::size_t>(n)];
    const bool is_well = process.is_well();
    const bool is_cut_off = is_store_away || network.IsCut(region, kStorePlace);
    if (is_cut_off || process.is_killed()) judge.OnEntryHarmed(n);
    if (process.is_paused()) judge.OnEntryPaused(n);
    if (!is_well) judge.OnEntryTroubled(n);
    if (!is_well) judge.OnEntryStopped(n);
    for (int upstream = 0; upstream < kEngines + kPlains; ++upstream) {
      if (!network.IsCut(region, HallOf(upstream).region)) continue;
      judge.OnWayTroubled(n, upstreams[static_cast<std::size_t>(upstream)]->instance());
    }
  }
}

}  // namespace junctionrail::soak

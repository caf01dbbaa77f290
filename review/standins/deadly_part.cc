// One part of prompts crashes each model worker that begins to write an answer on it. Requests with
// that part come at every entry, no two alike, among sound ones.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

#include "trial.h"

namespace review {
namespace {

constexpr int kEntries = 4;
constexpr int kEngines = 6;
constexpr int kSoundClientsPerEntry = 5;
constexpr std::int64_t kReadyMs = 15000;
constexpr std::int64_t kSettleMs = 4000;
// `poison` lasts for 20 s.
constexpr std::int64_t kTroubleMs = 20000;
constexpr std::int64_t kDeadlineMs = 6000;
constexpr std::int64_t kAnswerMs = 7000;
constexpr std::int64_t kSoundPauseMs = 100;
// At each entry: under 0.03 of the requests, as long as the sound ones are served.
constexpr std::int64_t kDeadlyPauseMs = 4000;
constexpr std::int64_t kDeadlyRunMs = 60;
constexpr std::int64_t kRestartMs = 3000;
constexpr std::int64_t kLapseMs = 3600;
constexpr std::int64_t kDiskLoadMs = 840;
constexpr int kEvents = 20;
constexpr std::int64_t kEventMs = 20;
constexpr std::int64_t kPollMs = 20;
constexpr char kDeadlyPart[] = "dead0001";
constexpr char kCommonPart[] = "c0110001";
// Last parts, which sound and deadly requests have alike.
constexpr int kSessions = 40;
// Rule BUDGET: so many requests with the part at most, later than `contactMs` after so many
// crashes.
constexpr int kCrashesToBound = 5;
constexpr std::int64_t kContactMs = 3000;
constexpr int kMostAfterBound = 3;

std::atomic<bool>& IsOver() {
  static std::atomic<bool> is_over{false};
  return is_over;
}

class Findings {
 public:
  void OnCrash(const std::string& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++crashes_;
    Record("CRASH " + std::to_string(crashes_) + " of " + worker);
    if (crashes_ == kCrashesToBound) bound_at_ = NowMs() + kContactMs;
  }
  void OnDeadlyArrival(const std::string& id, const std::string& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++deadly_;
    if (bound_at_ == 0 || NowMs() <= bound_at_) return;
    ++after_bound_;
    Record("AFTER THE BOUND " + id + " reached " + worker);
  }
  void OnServed() { ++served_; }
  void OnFailure() { ++failures_; }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    char line[256];
    std::snprintf(line, sizeof(line),
                  "served %d, failures %d; deadly requests that reached workers %d, crashes %d; "
                  "later than %lld ms after crash %d: %d",
                  served_.load(), failures_.load(), deadly_, crashes_,
                  static_cast<long long>(kContactMs), kCrashesToBound, after_bound_);
    Record(line);
    std::puts(line);
    const bool has_run = served_ > 0 && (crashes_ > 0 || !HasTrouble());
    if (!has_run) return kNotRun;
    return after_bound_ > kMostAfterBound ? kBroken : kHeld;
  }

 private:
  std::mutex mutex_;
  std::int64_t bound_at_ = 0;
  int crashes_ = 0;
  int deadly_ = 0;
  int after_bound_ = 0;
  std::atomic<int> served_{0};
  std::atomic<int> failures_{0};
};

Findings& Found() {
  static Findings findings;
  return findings;
}

// A model worker at one address, with the incarnations that follow each other there. It has one
// model, which it loads when it is ordered to.
class Engine {
 public:
  Engine(Store& store, int number, std::string zone, const Address& address)
      : store_(store), number_(number), zone_(std::move(zone)), address_(address) {
    Start(true);
  }

  // Starts again if its time has come. Called often.
  void Tick() {
    std::unique_lock<std::mutex> lock(mutex_);
    if (restart_at_ == 0 || NowMs() < restart_at_) return;
    restart_at_ = 0;
    lock.unlock();
    Start(false);
  }

  // An entry lapses some heartbeats after a crash.
  void RemoveLapsed() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lapsed_.empty() || NowMs() < lapses_at_) return;
    store_.Remove("servers/" + lapsed_);
    lapsed_.clear();
  }

 private:
  void Start(bool is_loaded) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int life = ++life_;
    id_ = "i-risk" + std::to_string(number_) + "-" + std::to_string(life);
    sequence_ = 0;
    is_loaded_ = is_loaded;
    loaded_at_ = 0;
    Record("started " + id_);
    WriteEntry();
    server_ = std::make_unique<Server>(
        address_, [this, life](Connection& connection) { Serve(life, connection); });
  }

  void Crash(int life) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (life != life_ || restart_at_ != 0) return;
    Found().OnCrash(id_);
    server_->Stop();
    lapsed_ = id_;
    lapses_at_ = NowMs() + kLapseMs;
    restart_at_ = NowMs() + kRestartMs;
    ++life_;
  }

  bool IsAlive(int life) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return life == life_;
  }

  nlohmann::json Models() const {
    nlohmann::json models = nlohmann::json::array();
    if (is_loaded_) {
      models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    }
    return models;
  }

  void WriteEntry() {
    const nlohmann::json entry = {{"service", kEngineService},
                                  {"address", address_.ToString()},
                                  {"zone", zone_},
                                  {"version", "v1"},
                                  {"slots", 64},
                                  {"state", "ready"},
                                  {"coldRemainingMs", 0},
                                  {"stage", "both"},
                                  {"models", Models()},
                                  {"sequence", sequence_}};
    store_.Put("servers/" + id_, entry.dump());
  }

  // With the lock held.
  void FinishLoad() {
    if (loaded_at_ == 0 || NowMs() < loaded_at_) return;
    loaded_at_ = 0;
    is_loaded_ = true;
    WriteEntry();
  }

  std::string Report() {
    const std::lock_guard<std::mutex> lock(mutex_);
    FinishLoad();
    const nlohmann::json report = {
        {"stage", "both"},
        {"models", Models()},
        {"atHand", {{"inMemory", nlohmann::json::array()}, {"onDisk", {"m0"}}}},
        {"busyCount", loaded_at_ != 0},
        {"sequence", sequence_},
        {"waiting", 0},
        {"running", 0},
        {"kvUsed", 0},
        {"kvTotal", 135497},
        {"handles", 0}};
    return Answer(200, "Content-Type: application/json\r\n", report.dump());
  }

  std::string Order(const Message& request) {
    const auto order = nlohmann::json::parse(request.body, nullptr, false);
    const std::lock_guard<std::mutex> lock(mutex_);
    FinishLoad();
    if (request.Field("Expect-Instance") != id_ || !order.is_object()) {
      return Answer(421, "Instance-Id: " + id_ + "\r\n", "");
    }
    if (loaded_at_ != 0 || order.value("expected", -1) != sequence_) return Answer(409, "", "");
    if (is_loaded_ || order.value("operation", "") != "load") return Answer(200, "", "");
    ++sequence_;
    loaded_at_ = NowMs() + kDiskLoadMs;
    return Answer(202, "", "");
  }

  // The refusal of a request that is not run; empty if it is.
  std::string Refusal(const Message& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    FinishLoad();
    const bool is_meant = request.Field("Expect-Instance") == id_;
    if (is_meant && is_loaded_) return "";
    return Answer(
        421, "Attempt-Id: " + request.Field("Attempt-Id") + "\r\nInstance-Id: " + id_ + "\r\n", "");
  }

  void Serve(int life, Connection& connection) {
    while (IsAlive(life)) {
      if (!connection.AwaitBytes(kPollMs)) continue;
      Message request;
      if (connection.ReadRequest(&request, kAnswerMs) != ReadEnd::kWhole) return;
      if (!IsAlive(life)) break;
      const std::string target = request.Target();
      bool goes_on = false;
      if (target == "/report") {
        goes_on = connection.Send(Report());
      } else if (target == "/order") {
        goes_on = connection.Send(Order(request));
      } else {
        goes_on = RunRequest(life, request, connection);
      }
      if (!goes_on) break;
    }
    if (!IsAlive(life)) connection.Reset();
  }

  bool RunRequest(int life, const Message& request, Connection& connection) {
    const std::string refusal = Refusal(request);
    if (!refusal.empty()) return connection.Send(refusal);
    const std::string id = request.Field("Attempt-Id");
    const std::string worker = "worker " + std::to_string(number_);
    Record("arrived " + id + " at " + worker);
    const std::string parts = request.Field("Prompt-Prefix");
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                             "\r\nResponse-Seal: " + SealOf(id) +
                             "\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    if (parts.find(kDeadlyPart) != std::string::npos) {
      Found().OnDeadlyArrival(id, worker);
      SleepMs(kDeadlyRunMs);
      Crash(life);
      return false;
    }
    if (!connection.Send(head)) return false;
    for (int n = 1; n <= kEvents; ++n) {
      SleepMs(kEventMs);
      if (!IsAlive(life)) return false;
      const std::string event = "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!connection.Send(size + event + "\r\n")) return false;
    }
    Record("ran " + id);
    return connection.Send("0\r\n\r\n");
  }

  Store& store_;
  int number_;
  std::string zone_;
  Address address_;
  std::mutex mutex_;
  std::unique_ptr<Server> server_;
  std::string id_;
  int life_ = 0;
  std::int64_t sequence_ = 0;
  bool is_loaded_ = false;
  std::int64_t loaded_at_ = 0;   // 0: no load is under way.
  std::int64_t restart_at_ = 0;  // 0: it runs.
  std::string lapsed_;           // The id of the one before, whose entry stands.
  std::int64_t lapses_at_ = 0;
};

// Each request on a connection of its own, until all is over.
void RunClient(const Machine& entry, const std::string& name, const std::string& parts,
               std::int64_t pause_ms) {
  for (int n = 0; !IsOver(); ++n) {
    SleepMs(pause_ms);
    const auto connection = Connect(FrontOf(entry), kAnswerMs);
    if (!connection) continue;
    const std::string id = entry.name + "-" + name + "-" + std::to_string(n);
    const std::string session = "5e5510" + std::to_string(10 + n % kSessions);
    Record("sent " + id);
    connection->Send("POST /explain/x HTTP/1.1\r\nHost: " + std::string(kHost) +
                     "\r\nAttempt-Id: " + id +
                     "\r\nModel: m0\r\nToken-Usage: 826,58\r\nPrompt-Prefix: " + parts + session +
                     ":628\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) +
                     "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    Message answer;
    const ReadEnd end = connection->ReadAnswer(&answer, kAnswerMs);
    Record("answer " + std::to_string(answer.Status()) + " to " + id + ": " + NameOf(end));
    const bool is_served = end == ReadEnd::kWhole && answer.Status() == 200;
    is_served ? Found().OnServed() : Found().OnFailure();
  }
}

int Run() {
  const char* const zones[] = {"fukuoka-a", "fukuoka-b", "kumamoto"};
  const Address store_address{OwnIp(1), 8142};
  Store store(store_address);
  nlohmann::json configuration = Configuration();
  configuration["routes"].push_back({{"name", "r-explain"},
                                     {"hostname", kHost},
                                     {"pathPrefix", "/explain/"},
                                     {"kind", "streaming"},
                                     {"timeoutMs", 15000},
                                     {"targetLatencyMs", 400},
                                     {"gapAimMs", 300},
                                     {"priority", 1},
                                     {"service", kEngineService},
                                     {"maxAttempts", 2},
                                     {"sticky", true},
                                     {"resumable", true}});
  store.Put("op/config", configuration.dump());
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Process>> processes;
  for (int n = 0; n < kEngines; ++n) {
    const Machine side{"side-" + std::to_string(n), zones[n % 3], OwnIp(50 + n)};
    const Address app{side.ip, 8145};
    engines.push_back(std::make_unique<Engine>(store, n, side.zone, app));
    processes.push_back(std::make_unique<Process>(side.name, "deploy/agent.json",
                                                  AgentFields(side, store_address, app)));
  }
  std::vector<Machine> machines;
  std::vector<std::string> ips;
  for (int n = 0; n < kEntries; ++n) {
    machines.push_back({"edge-" + std::to_string(n), zones[n % 3], OwnIp(10 + n)});
    ips.push_back(machines.back().ip);
  }
  for (const auto& it : machines) {
    processes.push_back(std::make_unique<Process>(it.name, "deploy/entry.json",
                                                  EntryFields(it, store_address, ips)));
  }
  for (const auto& it : processes) it->Start();
  for (const auto& it : machines) {
    if (AwaitReady(it, kReadyMs)) continue;
    Record("NOT RUN: " + it.name + " is not ready");
    return kNotRun;
  }
  const auto wait = [&engines](std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      for (const auto& it : engines) {
        it->Tick();
        it->RemoveLapsed();
      }
      SleepMs(kPollMs);
    }
  };
  std::vector<std::thread> clients;
  const std::string common = std::string(kCommonPart) + ":198,";
  for (const auto& it : machines) {
    for (int n = 0; n < kSoundClientsPerEntry; ++n) {
      const std::string other = "50d0000" + std::to_string(n) + ":100,";
      clients.emplace_back(RunClient, it, "sound" + std::to_string(n), common + other,
                           kSoundPauseMs);
    }
  }
  wait(kSettleMs);
  if (HasTrouble()) {
    for (const auto& it : machines) {
      clients.emplace_back(RunClient, it, "deadly", std::string(kDeadlyPart) + ":100,",
                           kDeadlyPauseMs);
    }
  }
  wait(kTroubleMs);
  IsOver() = true;
  for (auto& it : clients) it.join();
  return Found().Judge();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int code = review::kNotRun;
  try {
    review::OpenRecord(argc > 1 ? argv[1] : "record.txt");
    code = review::Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(stdout);
  // Threads of stand-ins may still wait for requests.
  std::_Exit(code);
}

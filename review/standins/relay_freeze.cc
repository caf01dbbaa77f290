// A worker leaves without a word: its entry goes from the store, and it serves on for some seconds.
// Meanwhile the agent that relays the list of workers to the entries stands still and wakes again.
#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "trial.h"

namespace review {
namespace {

constexpr int kEntries = 2;
constexpr int kEngines = 3;
constexpr int kSteadyWorkers = 2;
constexpr int kClientsPerEntry = 4;
constexpr std::int64_t kReadyMs = 15000;
constexpr std::int64_t kWorkMs = 20;
constexpr std::int64_t kPauseMs = 15;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kAnswerMs = 3000;
constexpr int kRounds = 3;
// Longer than contactMs, so that all is calm again before each freeze.
constexpr std::int64_t kCalmMs = 6000;
// `node_freeze` of the site lasts for 4 s.
constexpr std::int64_t kFreezeMs = 4000;
// From the beginning of the freeze until the worker's entry goes.
constexpr std::int64_t kLeaveAfterMs = 2000;
// The bound drainMs, and how much longer the worker serves: "at times many seconds".
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kServesOnMs = 6000;

// When each worker's entry has gone from the store.
class Departures {
 public:
  void Add(const std::string& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    gone_at_[worker] = NowMs();
  }
  // Time since then; -1 for a worker that is listed.
  std::int64_t Since(const std::string& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = gone_at_.find(worker);
    return it == gone_at_.end() ? -1 : NowMs() - it->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::int64_t> gone_at_;
};

Departures& Gone() {
  static Departures departures;
  return departures;
}

struct Totals {
  std::atomic<int> requests{0};
  std::atomic<int> served{0};
  std::atomic<int> late{0};  // Reached a worker later than drainMs after its entry had gone.
};

Totals& Total() {
  static Totals totals;
  return totals;
}

std::atomic<bool>& IsOver() {
  static std::atomic<bool> is_over{false};
  return is_over;
}

void RunClient(const Machine& entry, int client) {
  std::unique_ptr<Connection> connection;
  for (int n = 0; !IsOver(); ++n) {
    if (!connection) connection = Connect(FrontOf(entry), kAnswerMs);
    if (!connection) {
      SleepMs(kPauseMs);
      continue;
    }
    const std::string id = entry.name + "-c" + std::to_string(client) + "-" + std::to_string(n);
    ++Total().requests;
    Record("sent " + id);
    connection->Send("GET /lookup/x HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nAttempt-Id: " +
                     id + "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n");
    Message answer;
    const ReadEnd end = connection->ReadAnswer(&answer, kAnswerMs);
    const bool is_served = end == ReadEnd::kWhole && answer.Status() == 200;
    if (is_served) ++Total().served;
    Record("answer " + std::to_string(answer.Status()) + " to " + id + ": " + NameOf(end));
    if (end != ReadEnd::kWhole || answer.Field("Connection") == "close") connection.reset();
    SleepMs(kPauseMs);
  }
}

bool RunRequest(const std::string& worker, const ArrivedRequest& request, Connection& connection) {
  const std::int64_t since_ms = Gone().Since(worker);
  if (since_ms > kDrainMs) {
    Record("BROKEN DRAIN " + request.id + " reached " + worker + " " + std::to_string(since_ms) +
           " ms after its entry had gone");
    ++Total().late;
  }
  SleepMs(kWorkMs);
  Record("ran " + request.id);
  return connection.Send(AnswerTo(request.id));
}

// A model worker that only reports: there are no requests for models.
void ServeEngine(Connection& connection) {
  constexpr char kReport[] =
      R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busyCount":false,)"
      R"("sequence":2,"waiting":0,"running":0,"kvUsed":0,"kvTotal":135497,"handles":0})";
  Message request;
  while (connection.ReadRequest(&request, 75000) == ReadEnd::kWhole) {
    const bool is_report = request.start_line == "GET /report HTTP/1.1";
    if (!connection.Send(is_report ? Answer(200, "", kReport) : Answer(400, "", ""))) return;
  }
}

std::string EngineEntry(const std::string& zone, const Address& address) {
  const nlohmann::json models = {
      {{"name", "m0"}, {"version", 1}, {"adapters", nlohmann::json::array()}}};
  return nlohmann::json{{"service", kEngineService},
                        {"address", address.ToString()},
                        {"zone", zone},
                        {"version", "v1"},
                        {"slots", 64},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"stage", "both"},
                        {"models", models},
                        {"sequence", 2}}
      .dump();
}

// The agent that entries last took as their relay, by its log; -1: none.
int FindRelay(const std::vector<std::string>& logs) {
  int relay = -1;
  for (std::size_t n = 0; n < logs.size(); ++n) {
    std::ifstream in(logs[n]);
    std::string line;
    bool is_relay = false;
    while (std::getline(in, line)) {
      if (line.find("relay_started") != std::string::npos) is_relay = true;
      if (line.find("relay_stopped") != std::string::npos) is_relay = false;
    }
    if (is_relay) relay = static_cast<int>(n);
  }
  return relay;
}

class Trial {
 public:
  Trial() : store_address_{OwnIp(1), 8142}, store_(store_address_) {}

  int Run() {
    store_.Put("op/config", Configuration().dump());
    for (int n = 0; n < kSteadyWorkers; ++n) AddWorker(n);
    for (int n = 0; n < kEngines; ++n) AddEngine(n);
    AddEntries();
    for (const auto& it : agents_) it->Start();
    for (const auto& it : entries_) it->Start();
    for (const auto& it : machines_) {
      if (AwaitReady(it, kReadyMs)) continue;
      Record("NOT RUN " + it.name + " is not ready");
      return kNotRun;
    }
    std::vector<std::thread> clients;
    for (const auto& it : machines_) {
      for (int n = 0; n < kClientsPerEntry; ++n) clients.emplace_back(RunClient, it, n);
    }
    bool has_run = true;
    for (int n = 0; n < kRounds && has_run; ++n) has_run = RunRound(n);
    IsOver() = true;
    for (auto& it : clients) it.join();
    char line[256];
    std::snprintf(line, sizeof(line), "requests %d served %d late %d", Total().requests.load(),
                  Total().served.load(), Total().late.load());
    Record(line);
    std::puts(line);
    if (!has_run || Total().served == 0) return kNotRun;
    return Total().late > 0 ? kBroken : kHeld;
  }

 private:
  static const char* ZoneOf(int n) {
    constexpr const char* kZones[] = {"fukuoka-a", "fukuoka-b", "kumamoto"};
    return kZones[n % 3];
  }

  Worker& AddWorker(int n) {
    const std::string id = "i-transfer" + std::to_string(n);
    workers_.push_back(
        std::make_unique<Worker>(id, kPlainService, ZoneOf(n), Address{OwnIp(30 + n), 8080},
                                 [id](const ArrivedRequest& request, Connection& connection) {
                                   return RunRequest(id, request, connection);
                                 }));
    store_.Put("servers/" + id, workers_.back()->Entry("ready"));
    return *workers_.back();
  }

  void AddEngine(int n) {
    const Machine machine{"side-" + std::string(ZoneOf(n)) + "-1", ZoneOf(n), OwnIp(50 + n)};
    const Address app{machine.ip, 8145};
    engines_.push_back(std::make_unique<Server>(app, ServeEngine));
    store_.Put("servers/i-risk" + std::to_string(n), EngineEntry(machine.zone, app));
    agents_.push_back(std::make_unique<Process>(machine.name, "deploy/agent.json",
                                                AgentFields(machine, store_address_, app)));
  }

  void AddEntries() {
    std::vector<std::string> ips;
    for (int n = 0; n < kEntries; ++n) {
      machines_.push_back({"edge-" + std::string(ZoneOf(n)) + "-1", ZoneOf(n), OwnIp(10 + n)});
      ips.push_back(machines_.back().ip);
    }
    for (const auto& it : machines_) {
      entries_.push_back(std::make_unique<Process>(it.name, "deploy/entry.json",
                                                   EntryFields(it, store_address_, ips)));
    }
  }

  // A worker comes, is used, and leaves while the relay stands still.
  bool RunRound(int round) {
    Worker& worker = AddWorker(kSteadyWorkers + round);
    SleepMs(kCalmMs);
    std::vector<std::string> logs;
    for (const auto& it : agents_) logs.push_back(it->log_file());
    const int relay = FindRelay(logs);
    if (relay < 0) {
      Record("NOT RUN no agent relays the list");
      return false;
    }
    Process& agent = *agents_[static_cast<std::size_t>(relay)];
    const std::int64_t frozen_at = NowMs();
    if (HasTrouble()) agent.Signal(SIGSTOP);
    SleepMs(kLeaveAfterMs);
    Gone().Add(worker.id());
    store_.Remove("servers/" + worker.id());
    Record("entry of " + worker.id() + " has gone");
    const std::int64_t gone_at = NowMs();
    SleepMs(frozen_at + kFreezeMs - NowMs());
    if (HasTrouble()) agent.Signal(SIGCONT);
    SleepMs(gone_at + kServesOnMs - NowMs());
    worker.Stop();
    Record("ended " + worker.id());
    return true;
  }

  Address store_address_;
  Store store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Server>> engines_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int code = review::kNotRun;
  try {
    review::OpenRecord(argc > 1 ? argv[1] : "record.txt");
    review::Trial trial;
    code = trial.Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(stdout);
  // Threads of stand-ins may still wait for requests.
  std::_Exit(code);
}

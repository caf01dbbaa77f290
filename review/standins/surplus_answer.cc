// A faulty worker sends the answer to a request a second time, late, in the place of the answer
// that is due next on its connection. The second answer has no length: it ends with its connection.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "trial.h"

namespace review {
namespace {

constexpr int kEntries = 2;
constexpr int kWorkers = 3;
constexpr int kClientsPerEntry = 8;
constexpr std::int64_t kReadyMs = 15000;
constexpr std::int64_t kWorkMs = 60;
constexpr std::int64_t kPauseMs = 40;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kAnswerMs = 3000;
// The largest doses of `garble` in the site file: up to 0.6 of the workers, 0.03 of their answers,
// for 5 s. Here it is one worker of three, three times.
constexpr int kFaultyWorker = 0;
constexpr double kFaultyShare = 0.03;
constexpr int kPeriods = 3;
constexpr std::int64_t kPeriodMs = 5000;
constexpr std::int64_t kCalmMs = 2000;
// Rule LOST: more often than this, an entry shuts a kept connection on a request that it has passed
// on to a sound worker.
constexpr int kMostShut = 3;

std::atomic<bool>& IsOver() {
  static std::atomic<bool> is_over{false};
  return is_over;
}
std::atomic<bool>& IsFaulty() {
  static std::atomic<bool> is_faulty{false};
  return is_faulty;
}

// What clients and workers have seen.
class Findings {
 public:
  void OnArrived(const std::string& id, int worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    workers_[id].insert(worker);
  }
  void OnSurplus() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++surplus_;
  }
  void OnServed() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++served_;
  }
  void OnFailure() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++failures_;
  }
  // A success without the worker's seal or body, or an answer of another request.
  void OnMixed() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++mixed_;
  }
  // Not counted: the worker broke off.
  void OnNoMessage() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++no_messages_;
  }
  void OnEnded() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++ended_;
  }
  // The entry shut a kept connection without an answer.
  void OnShut(const std::string& id, const std::string& entry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++shut_;
    const auto it = workers_.find(id);
    const bool was_at_sound_worker = it != workers_.end() && it->second.count(kFaultyWorker) == 0;
    if (was_at_sound_worker) ++shut_by_entry_[entry];
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int most_shut = 0;
    for (const auto& [entry, n] : shut_by_entry_) most_shut = std::max(most_shut, n);
    char line[256];
    std::snprintf(
        line, sizeof(line),
        "served %d, failures %d, surplus answers %d; MIXED %d; no answer in the protocol %d; "
        "processes that ended by themselves %d; connections shut %d, most for sound "
        "workers by one entry %d",
        served_, failures_, surplus_, mixed_, no_messages_, ended_, shut_, most_shut);
    Record(line);
    std::puts(line);
    const bool has_run = served_ > 0 && (surplus_ > 0 || !HasTrouble());
    if (!has_run) return kNotRun;
    return mixed_ > 0 || most_shut > kMostShut ? kBroken : kHeld;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::set<int>> workers_;  // By request.
  std::map<std::string, int> shut_by_entry_;
  int surplus_ = 0;
  int served_ = 0;
  int failures_ = 0;
  int mixed_ = 0;
  int no_messages_ = 0;
  int ended_ = 0;
  int shut_ = 0;
};

Findings& Found() {
  static Findings findings;
  return findings;
}

void CheckAnswer(const std::string& id, const Message& answer) {
  const bool is_success = answer.Status() / 100 == 2;
  const std::string seal = answer.Field("Response-Seal");
  const std::string named = answer.Field("Attempt-Id");
  Record("answer " + std::to_string(answer.Status()) + " to " + id + ": names " +
         (named.empty() ? "none" : named) + ", seal " + (seal.empty() ? "none" : seal) + ", " +
         std::to_string(answer.body.size()) + " bytes");
  const bool is_own = named == id && seal == SealOf(id) && answer.body == BodyOf(id);
  const bool is_foreign = !named.empty() && named != id;
  if (is_success && is_own) return Found().OnServed();
  if (!is_success && !is_foreign) return Found().OnFailure();
  Record("BROKEN MIXED: " + id + " got an answer that is not its own");
  Found().OnMixed();
}

// Sends requests on a kept connection, one after the other.
void RunClient(const Machine& entry, int client) {
  std::unique_ptr<Connection> connection;
  for (int n = 0; !IsOver(); ++n) {
    if (!connection) connection = Connect(FrontOf(entry), kAnswerMs);
    if (!connection) {
      SleepMs(kPauseMs);
      continue;
    }
    const std::string id = entry.name + "-c" + std::to_string(client) + "-" + std::to_string(n);
    const bool is_lookup = n % 3 == 0;
    const std::string line = is_lookup ? "GET /lookup/x" : "POST /confirm/x";
    Record("sent " + line + " " + id);
    connection->Send(line + " HTTP/1.1\r\nHost: " + kHost + "\r\nAttempt-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n" +
                     (is_lookup ? "\r\n" : "Content-Length: 4\r\n\r\npay!"));
    Message answer;
    const ReadEnd end = connection->ReadAnswer(&answer, kAnswerMs);
    if (end == ReadEnd::kWhole) {
      CheckAnswer(id, answer);
    } else if (end == ReadEnd::kNoMessage) {
      Record(id + " got bytes that are no answer: " + answer.start_line);
      Found().OnNoMessage();
    } else {
      Record("no answer to " + id + ": " + NameOf(end));
      Found().OnShut(id, entry.name);
    }
    if (end != ReadEnd::kWhole || answer.Field("Connection") == "close") connection.reset();
    SleepMs(kPauseMs);
  }
}

// Answers each request once. In a share of the cases, the faulty worker answers a second time, in
// the place of the next answer, and closes the connection.
bool RunRequest(int worker, const ArrivedRequest& request, Connection& connection) {
  thread_local std::string surplus_id;
  static std::mutex mutex;
  static double due = 0;
  Found().OnArrived(request.id, worker);
  if (!surplus_id.empty()) {
    Record("surplus answer to " + surplus_id + " in the place of that to " + request.id);
    Found().OnSurplus();
    connection.Send(UnframedAnswerTo(surplus_id));
    connection.Close();
    return false;
  }
  SleepMs(kWorkMs);
  Record("ran " + request.id);
  if (worker == kFaultyWorker && IsFaulty()) {
    const std::lock_guard<std::mutex> lock(mutex);
    due += kFaultyShare;
    if (due >= 1) {
      due -= 1;
      surplus_id = request.id;
    }
  }
  return connection.Send(AnswerTo(request.id));
}

// For so long; a process that ends by itself is started again, as by the platform.
void Watch(const std::vector<std::unique_ptr<Process>>& entries, std::int64_t ms) {
  constexpr std::int64_t kPollMs = 20;
  constexpr std::int64_t kRestartMs = 500;
  const std::int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    for (const auto& it : entries) {
      std::string how;
      if (!it->HasEndedByItself(&how)) continue;
      Record("ENDED BY ITSELF: " + how);
      Found().OnEnded();
      SleepMs(kRestartMs);
      it->Start();
    }
    SleepMs(kPollMs);
  }
}

int Run() {
  const char* const zones[] = {"fukuoka-a", "fukuoka-b", "kumamoto"};
  const Address store_address{OwnIp(1), 8142};
  Store store(store_address);
  store.Put("op/config", Configuration().dump());
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    workers.push_back(std::make_unique<Worker>(
        "i-transfer" + std::to_string(n), kPlainService, zones[n], Address{OwnIp(30 + n), 8080},
        [n](const ArrivedRequest& request, Connection& connection) {
          return RunRequest(n, request, connection);
        }));
    store.Put("servers/" + workers.back()->id(), workers.back()->Entry("ready"));
  }
  std::vector<Machine> machines;
  std::vector<std::string> ips;
  for (int n = 0; n < kEntries; ++n) {
    machines.push_back({"edge-" + std::string(zones[n]) + "-1", zones[n], OwnIp(10 + n)});
    ips.push_back(machines.back().ip);
  }
  std::vector<std::unique_ptr<Process>> entries;
  for (const auto& it : machines) {
    entries.push_back(std::make_unique<Process>(it.name, "deploy/entry.json",
                                                EntryFields(it, store_address, ips)));
    entries.back()->Start();
  }
  for (const auto& it : machines) {
    if (AwaitReady(it, kReadyMs)) continue;
    Record("NOT RUN: " + it.name + " is not ready");
    return kNotRun;
  }
  std::vector<std::thread> clients;
  for (const auto& it : machines) {
    for (int n = 0; n < kClientsPerEntry; ++n) clients.emplace_back(RunClient, it, n);
  }
  for (int n = 0; n < kPeriods; ++n) {
    Watch(entries, kCalmMs);
    IsFaulty() = HasTrouble();
    Record(IsFaulty() ? "the faulty worker begins" : "nothing is faulty");
    Watch(entries, kPeriodMs);
    IsFaulty() = false;
  }
  Watch(entries, kCalmMs);
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

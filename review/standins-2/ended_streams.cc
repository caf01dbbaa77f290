// Streams at a worker that is taken away at short notice, and that sends its answers without a
// length: whether what the callers get looks complete. "ended_streams worker ADDRESS ID BORN" is
// such a worker; "ended_streams DAEMON RECORD" starts a small deployment, sends requests and
// judges. With TROUBLE=0 no worker is taken away. Exits with 1 if a stream ended as complete before
// its last event, 0 if none did, and 2 if the trial could not run.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../../test/support/loopback.h"
#include "../../test/support/platform_standin.h"
#include "junctionrail/net.h"
#include "junctionrail/settings.h"
#include "process.h"

namespace junctionrail::review {
namespace {

using nlohmann::json;
using testing::SeenRequest;
using testing::TestCaller;
using Peer = std::shared_ptr<testing::UpstreamPeer>;

constexpr char kModel[] = "model0";
constexpr int kEvents = 40;
constexpr DurationMs kEventMs = 100;
constexpr int kStreams = 56;
constexpr DurationMs kBetweenStreamsMs = 20;
// Of the sheet: how long before its end a worker says that it is taken away.
constexpr DurationMs kNoticeMs = 2000;
constexpr DurationMs kHeartbeatMs = 1200;
constexpr DurationMs kReadyMs = 4000;
constexpr DurationMs kUntilNoticeMs = 300;
// For all streams to end.
constexpr DurationMs kUntilEndMs = 9000;
// One in seven is taken away.
constexpr std::size_t kWorkers = 7;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// --- The worker ---

std::string Whole(const std::string& id, int status, const std::string& fields,
                  const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt-Id: " + id + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Worker {
 public:
  Worker(boost::asio::io_context& io, const Endpoint& endpoint, std::string id, std::int64_t born)
      : io_(io),
        id_(std::move(id)),
        born_(born),
        listener_(
            io, [this](const SeenRequest& request, const Peer& peer) { OnRequest(request, peer); },
            endpoint) {}

 private:
  void OnRequest(const SeenRequest& request, const Peer& peer) {
    const std::string line = request.Line();
    const std::string attempt = request.Field("Attempt-Id");
    if (line.rfind("GET /report", 0) == 0) return peer->Write(Whole("", 200, "", Report().dump()));
    if (line.rfind("GET /health", 0) == 0) {
      return peer->Write(Whole("", 200, "Instance-Id: " + id_ + "\r\n", ""));
    }
    const std::string expected = request.Field("Expect-Instance");
    const bool is_other = expected != "(none)" && expected != id_;
    if (is_other) return peer->Write(Whole(attempt, 421, "Instance-Id: " + id_ + "\r\n", ""));
    // It holds the only model that there is.
    if (line.rfind("POST /order", 0) == 0) return peer->Write(Whole("", 200, "", ""));
    std::printf("%s runs %s\n", id_.c_str(), attempt.c_str());
    std::fflush(stdout);
    peer->Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: " + id_ + "." +
                attempt + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    const std::string last = request.Field("Last-Event-Id");
    Stream(peer, last == "(none)" ? 1 : std::atoi(last.c_str()) + 1);
  }

  json Report() const {
    return {{"stage", "both"},
            {"born", born_},
            {"models", {{{"name", kModel}, {"version", 1}, {"adapters", json::array()}}}},
            {"busyCount", false},
            {"sequence", 0},
            {"waiting", 0},
            {"running", 0},
            {"kvUsed", 0},
            {"kvTotal", 90000},
            {"handles", 0}};
  }

  // Without a length, the answer ends with its connection.
  void Stream(const Peer& peer, int next) {
    if (peer->IsEnded()) return;
    if (next > kEvents) return peer->Close();
    peer->Write("id: " + std::to_string(next) + "\ndata: " + std::to_string(next) + " of " +
                std::to_string(kEvents) + " by " + id_ + "\n\n");
    const auto timer = std::make_shared<Timer>(io_);
    timer->After(kEventMs, [this, timer, peer, next] { Stream(peer, next + 1); });
  }

  boost::asio::io_context& io_;
  std::string id_;
  std::int64_t born_;
  testing::ScriptedUpstream listener_;
};

int RunWorker(const std::string& address, const std::string& id, const std::string& born) {
  Endpoint endpoint;
  if (!ParseEndpoint(address, &endpoint)) return kCouldNotRun;
  boost::asio::io_context io;
  const Worker worker(io, endpoint, id, std::strtoll(born.c_str(), nullptr, 10));
  io.run();
  return kHeld;
}

// --- The answers ---

// What came of one request.
struct Answer {
  bool is_success = false;
  bool is_complete = false;  // It ended with its last chunk.
  std::vector<int> events;   // Their ids.
  std::string text;
};

// Reads an answer in chunks.
Answer ReadAnswer(const std::string& received) {
  Answer answer;
  const std::size_t head_end = received.find("\r\n\r\n");
  if (head_end == std::string::npos) return answer;
  answer.is_success = received.rfind("HTTP/1.1 200", 0) == 0 &&
                      received.substr(0, head_end).find("Response-Seal: ") != std::string::npos;
  std::size_t at = head_end + 4;
  while (true) {
    const std::size_t line_end = received.find("\r\n", at);
    if (line_end == std::string::npos) break;
    const std::size_t size = std::strtoul(received.c_str() + at, nullptr, 16);
    answer.is_complete = size == 0;
    const bool is_whole = line_end + 2 + size + 2 <= received.size();
    if (size == 0 || !is_whole) break;
    answer.text += received.substr(line_end + 2, size);
    at = line_end + 2 + size + 2;
  }
  constexpr char kId[] = "id: ";
  for (std::size_t n = answer.text.find(kId); n != std::string::npos;
       n = answer.text.find(kId, n + 1)) {
    answer.events.push_back(std::atoi(answer.text.c_str() + n + 4));
  }
  return answer;
}

bool IsWhole(const Answer& answer) {
  if (answer.events.size() != kEvents) return false;
  for (int n = 0; n < kEvents; ++n) {
    if (answer.events[static_cast<std::size_t>(n)] != n + 1) return false;
  }
  return true;
}

// --- The trial ---

json Configuration() {
  const json route = {{"name", "r-chat"},    {"hostname", "chat.example"}, {"pathPrefix", "/chat/"},
                      {"kind", "streaming"}, {"timeoutMs", 15000},         {"targetLatencyMs", 400},
                      {"priority", 1},       {"service", "models"},        {"maxAttempts", 2},
                      {"sticky", true},      {"resumable", true},          {"gapAimMs", 300}};
  const json model = {{"name", kModel}, {"weightsMb", 65100.0}, {"loadTimeS", 6.0},
                      {"adapters", 0},  {"adapterMb", 66.0},    {"warmS", 0.45},
                      {"diskS", 0.76}};
  const json service = {{"name", "models"},
                        {"healthPath", "/health"},
                        {"maxConns", 360},
                        {"engine",
                         {{"slots", 64},
                          {"models", json::array({model})},
                          {"weightsMb", 230000.0},
                          {"adapterSlots", 8},
                          {"loadsPerS", 3.1}}}};
  return {{"version", 7},
          {"routes", json::array({route})},
          {"services", json::array({service})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

class Trial {
 public:
  Trial(std::string self, std::string daemon, const std::string& record_file)
      : self_(std::move(self)), daemon_(std::move(daemon)), record_(record_file), store_(io_) {
    std::string name = std::filesystem::temp_directory_path() / "ended-streams-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    folder_ = name;
  }
  ~Trial() {
    daemons_.clear();
    workers_.clear();
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
  Trial(const Trial&) = delete;
  Trial& operator=(const Trial&) = delete;

  int Play(bool has_trouble) {
    begun_at_ = MonotonicMs();
    store_.Put("op/config", Configuration().dump());
    for (std::size_t n = 0; n < kWorkers; ++n) StartWorker(n);
    heartbeat_.Every(kHeartbeatMs, [this] { WriteRecords(); });
    for (std::size_t n = 0; n < kWorkers; ++n) StartAgent(n);
    StartEntry();
    testing::RunFor(io_, kReadyMs);
    for (int n = 0; n < kStreams; ++n) {
      SendRequest("s" + std::to_string(n));
      testing::RunFor(io_, kBetweenStreamsMs);
    }
    testing::RunFor(io_, kUntilNoticeMs);
    if (has_trouble) TakeAway(0);
    testing::RunFor(io_, kUntilEndMs);
    return Judge(has_trouble);
  }

 private:
  struct Caller {
    std::string id;
    std::unique_ptr<TestCaller> connection;
  };
  struct WorkerState {
    std::string id;
    std::int64_t born = 0;
    std::string address;
    std::optional<DurationMs> remaining_ms;
    std::unique_ptr<Process> process;
  };

  void Write(const std::string& line) {
    record_ << MonotonicMs() - begun_at_ << " ms  " << line << std::endl;
  }

  std::string LogOf(const std::string& name) const { return folder_ + "/" + name + ".log"; }
  static std::string WorkerAddress(std::size_t n) {
    return testing::OwnAddress(40 + static_cast<int>(n));
  }

  void StartWorker(std::size_t n) {
    WorkerState& worker = workers_.emplace_back();
    worker.id = "i-" + std::to_string(n);
    worker.born = UnixMs();
    worker.address = WorkerAddress(n) + ":8145";
    worker.process =
        std::make_unique<Process>(std::vector<std::string>{self_, "worker", worker.address,
                                                           worker.id, std::to_string(worker.born)},
                                  std::vector<std::string>{}, LogOf("workers"));
    WriteRecords();
  }

  void WriteRecords() {
    ++sequence_;
    for (auto& it : workers_) {
      if (!it.process->is_running()) continue;
      json entry = {{"service", "models"},
                    {"address", it.address},
                    {"born", it.born},
                    {"zone", "a"},
                    {"version", "v1"},
                    {"slots", 64},
                    {"state", it.remaining_ms ? "draining" : "ready"},
                    {"coldRemainingMs", 0},
                    {"stage", "both"},
                    {"models", {{{"name", kModel}, {"version", 1}, {"adapters", json::array()}}}},
                    {"sequence", sequence_}};
      if (it.remaining_ms) entry["remainingMs"] = *it.remaining_ms;
      store_.Put("servers/" + it.id, entry.dump());
    }
  }

  void StartDaemon(const std::string& name, const json& settings) {
    const std::string file = folder_ + "/" + name + ".json";
    std::ofstream(file) << settings.dump(2);
    daemons_.emplace_back(std::vector<std::string>{daemon_},
                          std::vector<std::string>{"JUNCTIONRAIL_CONFIG=" + file}, LogOf(name));
  }

  void StartAgent(std::size_t n) {
    const std::string address = WorkerAddress(n);
    StartDaemon("side-" + std::to_string(n), {{"role", "agent"},
                                              {"id", "side-" + std::to_string(n)},
                                              {"data_hall", "a"},
                                              {"direct",
                                               {{"store", store_.endpoint().ToString()},
                                                {"metrics", address + ":9464"},
                                                {"leaving_ms", 2000},
                                                {"apply_ms", 2000},
                                                {"record_period_ms", kHeartbeatMs},
                                                {"link", address + ":7380"},
                                                {"upstream", address + ":8145"}}}});
  }

  void StartEntry() {
    const std::string address = testing::OwnAddress(10);
    entry_ = {address, 8149};
    StartDaemon("edge-1", {{"role", "entry"},
                           {"id", "edge-1"},
                           {"data_hall", "a"},
                           {"drain_ms", 7500},
                           {"direct",
                            {{"store", store_.endpoint().ToString()},
                             {"metrics", address + ":9464"},
                             {"link_port", 7380},
                             {"callers", entry_.ToString()},
                             {"health", address + ":8141"},
                             {"peer", address + ":8144"},
                             {"peers", {address + ":8144"}},
                             {"retry_ratio", 0.2},
                             {"retry_extra", 52},
                             {"retry_window_ms", 10000},
                             {"leaving_ms", 2000},
                             {"apply_ms", 2000},
                             {"tolerated_hall_losses", 0},
                             {"hall_regions", {{"a", "r"}}},
                             {"record_period_ms", kHeartbeatMs}}}});
  }

  void SendRequest(const std::string& id) {
    auto connection = std::make_unique<TestCaller>(io_, entry_);
    connection->Send("POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: " + id +
                     "\r\nModel: " + kModel +
                     "\r\nToken-Usage: 600,200\r\nPrompt-Prefix: 5c1e07a2:500," + id +
                     ":100\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi");
    Write("sent " + id);
    callers_.push_back({id, std::move(connection)});
  }

  // It says how long it stays, and is gone then, whatever it is running.
  void TakeAway(std::size_t n) {
    WorkerState& worker = workers_[n];
    worker.remaining_ms = kNoticeMs;
    WriteRecords();
    Write(worker.id + " is draining, 2000 ms remain");
    testing::RunFor(io_, kNoticeMs);
    worker.process->Kill();
    Write(worker.id + " is gone");
  }

  int Judge(bool has_trouble) {
    int complete = 0;
    int cut = 0;
    int answered = 0;
    for (const auto& it : callers_) {
      const Answer answer = ReadAnswer(it.connection->received());
      const bool is_cut = answer.is_success && answer.is_complete && !IsWhole(answer);
      answered += answer.is_success ? 1 : 0;
      complete += answer.is_complete ? 1 : 0;
      cut += is_cut ? 1 : 0;
      Write("answered " + it.id + ": " + (answer.is_success ? "200, sealed, " : "no success, ") +
            std::to_string(answer.events.size()) + " of " + std::to_string(kEvents) + " events, " +
            (answer.is_complete ? "ended as complete" : "not ended") + ", last: " +
            LastLine(answer) + (is_cut ? "  <-- ends as complete before its last event" : ""));
    }
    std::ifstream log(LogOf("workers"));
    for (std::string line; std::getline(log, line);) record_ << line << std::endl;
    record_ << (has_trouble ? "a worker was taken away: " : "no worker was taken away: ")
            << callers_.size() << " streams, " << answered << " answered with success, " << complete
            << " ended as complete, " << cut << " of these before their last event" << std::endl;
    if (answered < static_cast<int>(callers_.size()) / 2) return kCouldNotRun;
    return cut > 0 ? kBroken : kHeld;
  }

  static std::string LastLine(const Answer& answer) {
    const std::size_t last = answer.text.rfind("data: ");
    if (last == std::string::npos) return "none";
    return answer.text.substr(last, answer.text.find('\n', last) - last);
  }

  std::string self_;
  std::string daemon_;
  std::ofstream record_;
  std::string folder_;
  TimeMs begun_at_ = 0;
  boost::asio::io_context io_;
  testing::StandinStore store_;
  Timer heartbeat_{io_};
  Endpoint entry_;
  int sequence_ = 0;
  std::vector<WorkerState> workers_;
  std::vector<Process> daemons_;
  std::vector<Caller> callers_;
};

int RunTrial(const std::string& self, const std::string& daemon, const std::string& record_file) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    return Trial(self, daemon, record_file).Play(has_trouble);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace
}  // namespace junctionrail::review

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  if (arguments.size() == 5 && arguments[1] == "worker") {
    return junctionrail::review::RunWorker(arguments[2], arguments[3], arguments[4]);
  }
  if (arguments.size() != 3) return 2;
  return junctionrail::review::RunTrial(arguments[0], arguments[1], arguments[2]);
}

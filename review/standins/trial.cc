#include "trial.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr char kDaemon[] = "target/junctionraild";
constexpr std::uint16_t kFrontPort = 8149;
constexpr std::uint16_t kReadyPort = 8141;
constexpr std::uint16_t kControlPort = 8144;
constexpr std::uint16_t kFirstOwnPort = 7380;
constexpr std::uint16_t kLastOwnPort = 7395;
constexpr std::int64_t kIdleMs = 75000;

std::mutex& RecordMutex() {
  static std::mutex mutex;
  return mutex;
}
std::ofstream& RecordStream() {
  static std::ofstream stream;
  return stream;
}

std::string Directory() {
  const char* directory = std::getenv("REVIEW_DIRECTORY");
  return directory == nullptr ? "." : directory;
}

// The gaps that the templates of DEPLOY.md may hold, in a text with these fields.
class TemplateText {
 public:
  explicit TemplateText(std::string text) : text_(std::move(text)) {}

  std::string Fill(const json& fields) {
    at_ = 0;
    return FillUntil("", {&fields}, true, "", false);
  }

 private:
  using Scope = std::vector<const json*>;

  static const json* Find(const Scope& scope, const std::string& path) {
    if (path == ".") return scope.back();
    for (auto it = scope.rbegin(); it != scope.rend(); ++it) {
      const json* found = FindIn(**it, path);
      if (found != nullptr) return found;
    }
    return nullptr;
  }

  static const json* FindIn(const json& document, const std::string& path) {
    const json* at = &document;
    std::istringstream parts(path);
    std::string part;
    while (std::getline(parts, part, '.')) {
      if (at->is_object() && at->contains(part)) {
        at = &at->at(part);
      } else if (at->is_array() && !part.empty() && std::isdigit(part[0]) != 0 &&
                 std::stoul(part) < at->size()) {
        at = &at->at(std::stoul(part));
      } else {
        return nullptr;
      }
    }
    return at;
  }

  static bool IsGiven(const json* value) {
    if (value == nullptr || value->is_null()) return false;
    if (value->is_boolean()) return value->get<bool>();
    if (value->is_array() || value->is_object()) return !value->empty();
    return true;
  }

  static std::string Plain(const json* value) {
    if (value == nullptr || value->is_null()) return "";
    return value->is_string() ? value->get<std::string>() : value->dump();
  }

  // Up to the end of the section `name`.
  std::string FillUntil(const std::string& name, const Scope& scope, bool is_shown,
                        const std::string& key, bool is_last) {
    std::string filled;
    while (at_ < text_.size()) {
      const std::size_t gap = text_.find("{{", at_);
      if (is_shown) filled += text_.substr(at_, gap - at_);
      if (gap == std::string::npos) {
        at_ = text_.size();
        break;
      }
      const std::size_t end = text_.find("}}", gap);
      const std::string word = text_.substr(gap + 2, end - gap - 2);
      at_ = end + 2;
      if (word == "/" + name) return filled;
      if (word[0] == '#' || word[0] == '^') {
        filled += FillSection(word, scope, is_shown);
      } else if (is_shown && word == ",") {
        filled += is_last ? "" : ",";
      } else if (is_shown && word == "@") {
        filled += key;
      } else if (is_shown) {
        const std::size_t bar = word.find('|');
        const json* value = Find(scope, word.substr(0, bar));
        const bool is_json = bar != std::string::npos;
        filled += is_json ? (value == nullptr ? "null" : value->dump()) : Plain(value);
      }
    }
    return filled;
  }

  std::string FillSection(const std::string& word, const Scope& scope, bool is_shown) {
    const std::string name = word.substr(1);
    const json* value = is_shown ? Find(scope, name) : nullptr;
    const bool is_given = IsGiven(value);
    const std::size_t begin = at_;
    const bool has_entries = word[0] == '#' && is_given && !value->is_primitive();
    if (!has_entries) {
      const bool is_section_shown = is_shown && is_given == (word[0] == '#');
      return FillUntil(name, scope, is_section_shown, "", true);
    }
    std::string filled;
    std::size_t n = 0;
    for (const auto& [key, entry] : value->items()) {
      at_ = begin;
      Scope inner = scope;
      inner.push_back(&entry);
      filled += FillUntil(name, inner, true, key, ++n == value->size());
    }
    return filled;
  }

  std::string text_;
  std::size_t at_ = 0;
};

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot read " + file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

json CommonFields(const Machine& machine, const Address& store) {
  return {{"nodeName", machine.name},
          {"ip", machine.ip},
          {"zone", machine.zone},
          {"region", "kyushu"},
          {"zones", {{"fukuoka-a", "kyushu"}, {"fukuoka-b", "kyushu"}, {"kumamoto", "kyushu"}}},
          {"portRange", {kFirstOwnPort, kLastOwnPort}},
          {"heartbeatMs", 1200},
          {"faultTolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
          {"bounds",
           {{"drainMs", 2000},
            {"graceS", 8},
            {"configApplyMs", 2000},
            {"budgetRatio", 0.2},
            {"budgetWindowS", 10},
            {"budgetExtra", 52}}},
          {"platform", {{"address", store.ToString()}}}};
}

}  // namespace

void OpenRecord(const std::string& file) {
  RecordStream().open(file, std::ios::trunc);
  if (!RecordStream()) throw std::runtime_error("cannot write " + file);
}

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(RecordMutex());
  RecordStream() << NowMs() << " " << line << std::endl;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string OwnIp(int last) {
  return "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) +
         "." + std::to_string(last);
}

Process::Process(std::string name, const std::string& template_file, const json& fields)
    : name_(std::move(name)),
      settings_file_(Directory() + "/" + name_ + ".conf"),
      log_file_(Directory() + "/" + name_ + ".log") {
  std::ofstream(settings_file_) << TemplateText(ReadFile(template_file)).Fill(fields);
}

Process::~Process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Start() {
  const std::string variable = "JUNCTIONRAIL_CONFIG=" + settings_file_;
  const std::string path = std::string("PATH=") + std::getenv("PATH");
  char* const arguments[] = {const_cast<char*>(kDaemon), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()),
                               nullptr};
  is_told_to_end_ = false;
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork");
  if (pid_ > 0) return Record("started " + name_);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_file_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execve(kDaemon, arguments, environment);
  _exit(127);
}

void Process::Signal(int signal) {
  if (pid_ <= 0) return;
  is_told_to_end_ |= signal == SIGKILL || signal == SIGTERM;
  Record("signal " + std::to_string(signal) + " to " + name_);
  kill(pid_, signal);
}

bool Process::HasEndedByItself(std::string* how) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  *how = name_ + " ended " +
         (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                              : "with " + std::to_string(WEXITSTATUS(status)));
  return !is_told_to_end_;
}

json EntryFields(const Machine& machine, const Address& store,
                 const std::vector<std::string>& entry_ips) {
  json fields = CommonFields(machine, store);
  const auto at = [&machine](std::uint16_t port) { return Address{machine.ip, port}.ToString(); };
  fields["machineClass"] = "edge";
  fields["listen"] = {
      {"front", at(kFrontPort)}, {"ready", at(kReadyPort)}, {"control", at(kControlPort)}};
  fields["seeds"] = json::array();
  for (const auto& ip : entry_ips) fields["seeds"].push_back(Address{ip, kControlPort}.ToString());
  return fields;
}

json AgentFields(const Machine& machine, const Address& store, const Address& app) {
  json fields = CommonFields(machine, store);
  fields["machineClass"] = "side";
  fields["app"] = app.ToString();
  return fields;
}

Address FrontOf(const Machine& machine) { return {machine.ip, kFrontPort}; }
Address ReadyOf(const Machine& machine) { return {machine.ip, kReadyPort}; }

bool AwaitReady(const Machine& machine, std::int64_t timeout_ms) {
  constexpr std::int64_t kAskMs = 100;
  constexpr std::int64_t kAnswerMs = 1000;
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const auto connection = Connect(ReadyOf(machine), kAnswerMs);
    Message answer;
    const bool is_ready =
        connection && connection->Send("GET /ready HTTP/1.1\r\nHost: " + machine.ip + "\r\n\r\n") &&
        connection->ReadAnswer(&answer, kAnswerMs) == ReadEnd::kWhole && answer.Status() == 200;
    if (is_ready) return true;
    SleepMs(kAskMs);
  }
  return false;
}

Worker::Worker(std::string id, std::string service, std::string zone, const Address& address,
               Run run)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(address),
      run_(std::move(run)),
      server_(std::make_unique<Server>(address,
                                       [this](Connection& connection) { Serve(connection); })) {}

std::string Worker::Entry(const std::string& state) const {
  return json{{"service", service_},  {"address", address_.ToString()},
              {"zone", zone_},        {"version", "v1"},
              {"slots", 6},           {"state", state},
              {"coldRemainingMs", 0}, {"sequence", 0}}
      .dump();
}

void Worker::Serve(Connection& connection) {
  Message message;
  while (connection.ReadRequest(&message, kIdleMs) == ReadEnd::kWhole) {
    const std::string id = message.Field("Attempt-Id");
    if (message.Field("Expect-Instance") != id_) {
      if (!connection.Send(Answer(421, "Instance-Id: " + id_ + "\r\n", ""))) return;
      continue;
    }
    Record("arrived " + id + " at " + id_);
    if (!run_({id, message}, connection)) return;
  }
}

std::string SealOf(const std::string& request_id) { return "seal-" + request_id; }
std::string BodyOf(const std::string& request_id) { return "answer to " + request_id; }

std::string AnswerTo(const std::string& request_id) {
  return Answer(200,
                "Attempt-Id: " + request_id + "\r\nResponse-Seal: " + SealOf(request_id) + "\r\n",
                BodyOf(request_id));
}

std::string UnframedAnswerTo(const std::string& request_id) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id +
         "\r\nResponse-Seal: " + SealOf(request_id) + "\r\nConnection: close\r\n\r\n" +
         BodyOf(request_id);
}

json Configuration() {
  const json models = {{{"name", "m0"},
                        {"weightsMb", 72700.0},
                        {"loadTimeS", 6.0},
                        {"adapters", 2},
                        {"adapterMb", 66.0},
                        {"warmS", 0.47},
                        {"diskS", 0.84}}};
  const json route = {{"hostname", kHost}, {"timeoutMs", 1500},        {"targetLatencyMs", 300},
                      {"priority", 2},     {"service", kPlainService}, {"maxAttempts", 2}};
  json confirm = route;
  confirm.update({{"name", "r-confirm"}, {"pathPrefix", "/confirm/"}, {"kind", "non_idempotent"}});
  json lookup = route;
  lookup.update({{"name", "r-lookup"}, {"pathPrefix", "/lookup/"}, {"kind", "idempotent"}});
  return {{"version", 7},
          {"routes", {confirm, lookup}},
          {"services",
           {{{"name", kEngineService},
             {"healthPath", "/health"},
             {"maxConns", 360},
             {"protocol", "h1"},
             {"tls", false},
             {"engine",
              {{"slots", 64},
               {"kvCapacity", 135497},
               {"weightsMb", 230000.0},
               {"adapterSlots", 8},
               {"loadsPerS", 3.1},
               {"hostMb", 150000.0},
               {"diskMb", 1300000.0},
               {"models", models}}}},
            {{"name", kPlainService},
             {"healthPath", "/health"},
             {"maxConns", 96},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

}  // namespace review

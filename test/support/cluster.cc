#include "cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace junctionrail::test {
namespace {

using nlohmann::json;

constexpr char kLoopback[] = "127.0.0.1";
constexpr DurationMs kLongestCallMs = 60000;

// A port that was free a moment ago. Ports below the ephemeral range are not
// handed to outgoing connections meanwhile.
Endpoint FreePort() {
  static std::set<int> used;
  static int next = 10000 + static_cast<int>(getpid() % 400) * 50;
  while (true) {
    const int port = next++;
    if (next > 32000) next = 10000;
    if (!used.insert(port).second) continue;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, kLoopback, &address.sin_addr);
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) return Endpoint{kLoopback, static_cast<std::uint16_t>(port)};
  }
}

pid_t Spawn(const std::vector<std::string>& command, const std::string& out,
            const std::string& err) {
  std::vector<char*> argv;
  for (const auto& it : command) argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  const int flags = O_CREAT | O_WRONLY | O_APPEND;
  dup2(open(out.c_str(), flags, 0644), STDOUT_FILENO);
  dup2(open(err.c_str(), flags, 0644), STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(127);
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

// The build's directory, which the build passes in.
std::string Binary(const std::string& name) {
  return std::string(JUNCTIONRAIL_BINARY_DIR) + "/" + name;
}

double MsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace

std::string Reply::Code() const {
  const json document = Json();
  if (!document.is_object() || !document.contains("error")) return "";
  return document["error"].value("code", "");
}

CallSpec Chat(const std::string& model, bool is_stream, int tokens) {
  CallSpec call;
  call.body = json{{"model", model}, {"stream", is_stream}, {"max_tokens", tokens}}.dump();
  call.headers = {{"Content-Type", "application/json"}};
  return call;
}

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  std::string pattern = "/tmp/junctionrail-test-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  const auto standin = [this](const std::string& name, const std::string& program,
                              std::vector<std::string> flags) {
    Process process;
    process.http = FreePort();
    process.command = {Binary("standins/standin_" + program),
                       "--listen=" + process.http.ToString()};
    process.command.insert(process.command.end(), flags.begin(), flags.end());
    Add(name, std::move(process));
  };
  standin("kv", "kv", {});
  standin("weights", "weights", {});
  const std::string vms_file = directory_ + "/vms.json";
  standin("vmlist", "vmlist", {"--vms=" + vms_file});
  for (int n = 1; n <= options_.engines; ++n) {
    const std::string upstream = "engine-" + std::to_string(n);
    std::vector<std::string> flags = options_.engine_flags;
    flags.push_back(std::string("--honours_fencing=") +
                    (options_.checks_fencing ? "true" : "false"));
    flags.push_back("--weights=" + HttpOf("weights").ToString());
    standin(upstream, "engine", flags);
    AddAgent("agent-" + std::to_string(n), upstream, false);
  }
  for (int n = 1; n <= options_.services; ++n) {
    const std::string upstream = "service-" + std::to_string(n);
    standin(upstream, "service", {});
    AddAgent("api-agent-" + std::to_string(n), upstream, true);
  }
  for (int n = 1; n <= options_.entries; ++n) AddEntry("entry-" + std::to_string(n));
  std::ofstream(vms_file) << vms_.dump();
  for (const auto& it : order_) Start(it);
  bool is_ready = true;
  for (const auto& it : order_) is_ready = is_ready && WaitReady(it);
  if (!is_ready) throw std::runtime_error("a process did not become ready; see " + directory_);
  if (!options_.declarations.empty()) {
    const ToolResult applied = Apply("entry-1", options_.declarations);
    if (applied.exit_code != 0) throw std::runtime_error("apply failed: " + applied.err);
  }
}

Cluster::~Cluster() {
  for (const auto& it : order_) {
    const pid_t pid = processes_.at(it).pid;
    if (pid != 0) kill(pid, SIGKILL);
  }
  for (const auto& it : order_) Reap(&processes_.at(it));
  std::error_code ec;
  if (std::getenv("JUNCTIONRAIL_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_, ec);
  }
}

void Cluster::Add(const std::string& name, Process process) {
  order_.push_back(name);
  processes_[name] = std::move(process);
}

void Cluster::AddAgent(const std::string& name, const std::string& upstream, bool is_service) {
  Process process;
  process.http = FreePort();
  process.link = FreePort();
  const std::string file = directory_ + "/" + name + ".json";
  json settings = {{"link", process.link.ToString()},
                   {"http", process.http.ToString()},
                   {"upstream", HttpOf(upstream).ToString()},
                   {"upstream_kind", is_service ? "service" : "engine"},
                   {"upstream_checks_fencing", options_.checks_fencing}};
  settings.update(options_.agent_settings);
  const json document = {{"role", "agent"},
                         {"id", name},
                         {"incarnation", "1"},
                         {"data_hall", "hall-a"},
                         {"kv", {HttpOf("kv").ToString()}},
                         {"vm_list", HttpOf("vmlist").ToString()},
                         {"agent", settings}};
  std::ofstream(file) << document.dump(2);
  process.command = {Binary("junctionraild"), "--settings=" + file};
  vms_.push_back({{"vm", name},
                  {"incarnation", "1"},
                  {"data_hall", "hall-a"},
                  {"role", is_service ? "service" : "engine"},
                  {"service", is_service ? "orders" : ""},
                  {"link", process.link.ToString()}});
  Add(name, std::move(process));
}

void Cluster::AddEntry(const std::string& name) {
  Process process;
  process.http = FreePort();
  process.rpc = FreePort();
  const std::string file = directory_ + "/" + name + ".json";
  json settings = {{"http", process.http.ToString()}, {"rpc", process.rpc.ToString()}};
  settings.update(options_.entry_settings);
  const json document = {{"role", "entry"},
                         {"id", name},
                         {"incarnation", "1"},
                         {"data_hall", "hall-a"},
                         {"kv", {HttpOf("kv").ToString()}},
                         {"vm_list", HttpOf("vmlist").ToString()},
                         {"entry", settings}};
  std::ofstream(file) << document.dump(2);
  process.command = {Binary("junctionraild"), "--settings=" + file};
  vms_.push_back({{"vm", name},
                  {"incarnation", "1"},
                  {"data_hall", "hall-a"},
                  {"role", "entry"},
                  {"rpc", process.rpc.ToString()}});
  Add(name, std::move(process));
}

void Cluster::Start(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string base = directory_ + "/" + name;
  process.pid = Spawn(process.command, base + ".out", base + ".log");
}

bool Cluster::WaitReady(const std::string& name) {
  const bool is_daemon = name.find("agent") != std::string::npos || name.rfind("entry", 0) == 0;
  CallSpec call;
  call.method = "GET";
  call.target = is_daemon ? "/readyz" : "/counters";
  return WaitUntil([&] {
    const unsigned status = Call(name, call).status;
    return is_daemon ? status == 200 : status != 0;
  });
}

int Cluster::Reap(Process* process) {
  if (process->pid == 0) return -1;
  int status = 0;
  waitpid(process->pid, &status, 0);
  process->pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void Cluster::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  Reap(&processes_.at(name));
}

int Cluster::Stop(const std::string& name) {
  Signal(name, SIGTERM);
  return Reap(&processes_.at(name));
}

void Cluster::Signal(const std::string& name, int signal) {
  const pid_t pid = processes_.at(name).pid;
  if (pid != 0) kill(pid, signal);
}

std::string Cluster::BinaryOf(const std::string& program) { return Binary(program); }
pid_t Cluster::PidOf(const std::string& name) const { return processes_.at(name).pid; }
Endpoint Cluster::HttpOf(const std::string& name) const { return processes_.at(name).http; }
Endpoint Cluster::RpcOf(const std::string& entry) const { return processes_.at(entry).rpc; }
Endpoint Cluster::LinkOf(const std::string& agent) const { return processes_.at(agent).link; }

std::vector<Reply> Cluster::CallAll(const std::vector<std::pair<std::string, CallSpec>>& calls) {
  boost::asio::io_context io(1);
  HttpClient client(io);
  std::vector<Reply> replies(calls.size());
  std::size_t left = calls.size();
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t n = 0; n < calls.size(); ++n) {
    HttpCall call;
    call.endpoint = HttpOf(calls[n].first);
    call.method = calls[n].second.method;
    call.target = calls[n].second.target;
    call.body = calls[n].second.body;
    call.headers = calls[n].second.headers;
    call.quiet_ms = kLongestCallMs;
    Reply* reply = &replies[n];
    HttpCallbacks callbacks;
    callbacks.head = [reply](unsigned status, const std::string&) { reply->status = status; };
    callbacks.piece = [reply, start](const std::string& data) {
      if (reply->body.empty()) reply->first_byte_ms = MsSince(start);
      reply->body += data;
    };
    callbacks.done = [reply, start, &left, &io] {
      reply->whole_ms = MsSince(start);
      if (--left == 0) io.stop();
    };
    callbacks.failed = [reply, &left, &io](bool, const std::string& reason) {
      reply->broken = reason;
      if (--left == 0) io.stop();
    };
    client.Start(std::move(call), std::move(callbacks));
  }
  if (!calls.empty()) io.run_for(std::chrono::milliseconds(kLongestCallMs));
  return replies;
}

Reply Cluster::Call(const std::string& name, CallSpec call) {
  return CallAll({{name, std::move(call)}}).front();
}

json Cluster::Post(const std::string& name, const std::string& target, const json& body) {
  CallSpec call;
  call.target = target;
  call.body = body.dump();
  return Call(name, call).Json();
}

json Cluster::Get(const std::string& name, const std::string& target) {
  CallSpec call;
  call.method = "GET";
  call.target = target;
  return Call(name, call).Json();
}

ToolResult Cluster::Tool(const std::string& entry, const std::vector<std::string>& arguments) {
  const std::string base = directory_ + "/tool-" + std::to_string(++documents_);
  std::vector<std::string> command = {Binary("junctionrail"), "--entry=" + RpcOf(entry).ToString()};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const pid_t pid = Spawn(command, base + ".out", base + ".err");
  int status = 0;
  waitpid(pid, &status, 0);
  return ToolResult{WIFEXITED(status) ? WEXITSTATUS(status) : -1, ReadFile(base + ".out"),
                    ReadFile(base + ".err")};
}

std::string Cluster::WriteDeclarations(const json& declarations) {
  const std::string name = directory_ + "/declarations-" + std::to_string(++documents_);
  std::filesystem::create_directory(name);
  std::ofstream(name + "/all.json") << declarations.dump(2);
  return name;
}

ToolResult Cluster::Apply(const std::string& entry, const json& declarations,
                          const std::vector<std::string>& more) {
  std::vector<std::string> arguments = {"apply", "-f", WriteDeclarations(declarations)};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return Tool(entry, arguments);
}

double Cluster::Metric(const std::string& name, const std::string& line) {
  CallSpec call;
  call.method = "GET";
  call.target = "/metrics";
  std::istringstream page(Call(name, call).body);
  std::string text;
  while (std::getline(page, text)) {
    if (text.rfind(line + " ", 0) == 0) return std::strtod(text.c_str() + line.size(), nullptr);
  }
  return -1;
}

bool Cluster::WaitUntil(const std::function<bool()>& holds, DurationMs most) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(most);
  while (std::chrono::steady_clock::now() < until) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return holds();
}

}  // namespace junctionrail::test

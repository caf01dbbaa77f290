#include "entry_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>

#include "descriptor_limit.h"

namespace junctionrail::testing {
namespace {

using nlohmann::json;

constexpr DurationMs kStartMs = 10000;
constexpr DurationMs kRetryMs = 50;

json RouteTo(const std::string& service) {
  return {{"name", service},
          {"hostname", "shop.example"},
          {"pathPrefix", "/" + service + "/"},
          {"kind", "non_idempotent"},
          {"timeoutMs", 120000},
          {"targetLatencyMs", 1000},
          {"maxAttempts", 1},
          {"priority", 1},
          {"service", service}};
}

json RecordOf(const std::string& service, const Endpoint& endpoint) {
  return {{"service", service},
          {"address", endpoint.ToString()},
          {"zone", "hall-1"},
          {"slots", 64},
          {"state", "ready"}};
}

std::string QuickResponse(const SeenRequest& request) {
  constexpr std::size_t kLargeBytes = 8 << 20;
  const bool is_large = request.Line().find("/quick/large") != std::string::npos;
  const std::string body = is_large ? std::string(kLargeBytes, 'y') : "hello";
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Field("Attempt-Id") +
         "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

std::string RequestHead(const std::string& line, const std::string& id) {
  return line + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 120000\r\n";
}

EntryProcess::EntryProcess(EntryProcessOptions options)
    : quick_(io,
             [](const SeenRequest& request, const std::shared_ptr<UpstreamPeer>& peer) {
               peer->Write(QuickResponse(request));
             }),
      silent_(io, [](const SeenRequest&, const std::shared_ptr<UpstreamPeer>&) {}) {
  std::string pattern = "/tmp/junctionrail-entry-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  Configure();
  Start(options);
  AwaitReady();
}

EntryProcess::~EntryProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ec;
  if (std::getenv("JUNCTIONRAIL_KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_, ec);
}

void EntryProcess::Configure() {
  const json service = {{"maxConns", 8000}};
  json quick = service;
  json silent = service;
  quick["name"] = "quick";
  silent["name"] = "silent";
  const json document = {{"version", 1},
                         {"routes", {RouteTo("quick"), RouteTo("silent")}},
                         {"services", {quick, silent}},
                         {"limits",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 4194304},
                           {"headerTimeoutMs", 30000},
                           {"idleTimeoutMs", 60000}}}};
  store.Put("op/config", document.dump());
  store.Put("servers/u1", RecordOf("quick", quick_.endpoint()).dump());
  store.Put("servers/u2", RecordOf("silent", silent_.endpoint()).dump());
}

void EntryProcess::Start(const EntryProcessOptions& options) {
  const auto at = [this](std::uint16_t port) { return Endpoint{address_, port}.ToString(); };
  const json direct = {{"store", store.endpoint().ToString()},
                       {"metrics", at(kMetricsPort)},
                       {"link_port", 8200},
                       {"callers", at(kCallersPort)},
                       {"health", at(kHealthPort)},
                       {"peer", at(kPeerPort)}};
  const json settings = {
      {"role", "entry"}, {"id", "entry-1"}, {"data_hall", "hall-1"}, {"direct", direct}};
  const std::string file = directory_ + "/entry.json";
  const std::string log = directory_ + "/entry.log";
  std::ofstream(file) << settings.dump(2);
  std::string program = std::string(JUNCTIONRAIL_BINARY_DIR) + "/junctionraild";
  std::string flag = "--settings=" + file;
  char* const argv[] = {program.data(), flag.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_CREAT | O_WRONLY, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::optional<ScopedDescriptorLimit> limit;
  if (options.max_descriptors) limit.emplace(*options.max_descriptors);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::system_error(error, std::generic_category(), program);
}

void EntryProcess::AwaitReady() {
  const TimeMs until = MonotonicMs() + kStartMs;
  while (MonotonicMs() < until) {
    if (Get(health(), "/ready").find(" 200 ") != std::string::npos) return;
    RunFor(io, kRetryMs);
  }
  throw std::runtime_error("the entry did not become ready");
}

bool EntryProcess::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = 0;
  return false;
}

std::string EntryProcess::Get(const Endpoint& endpoint, const std::string& target) {
  TestCaller caller(io, endpoint);
  if (!caller.is_connected()) return "";
  caller.Send("GET " + target + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
  caller.AwaitEnd();
  return caller.received();
}

std::string EntryProcess::Metrics() { return Get({address_, kMetricsPort}, "/metrics"); }

std::string EntryProcess::Fetch(std::size_t body_bytes) {
  TestCaller caller(io, callers());
  if (!caller.is_connected()) return "(no connection)";
  caller.Send(RequestHead("POST /quick/a", "ordinary") + "Connection: close\r\nContent-Length: " +
              std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
  caller.AwaitEnd();
  return caller.received();
}

}  // namespace junctionrail::testing

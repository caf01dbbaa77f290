// A fleet on loopback for tests in real time: stand-ins of the platform's store and of engines,
// agents beside the engines, and entries. Tests derive from it and say what the engines do; their
// destructors call Stop().
#ifndef JUNCTIONRAIL_TEST_SUPPORT_DIRECT_FLEET_H_
#define JUNCTIONRAIL_TEST_SUPPORT_DIRECT_FLEET_H_

#include <boost/asio/post.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "check.h"
#include "direct_daemon.h"
#include "junctionrail/net.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::testing {

inline bool HasText(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// One chunk of the chunked transfer coding.
inline std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

class DirectFleet {
 public:
  // The engine at place `n`, from 0 on, has the address of that number.
  DirectFleet(std::uint16_t port, std::uint16_t link_port) : port_(port), link_port_(link_port) {}
  DirectFleet(const DirectFleet&) = delete;
  DirectFleet& operator=(const DirectFleet&) = delete;

  virtual ~DirectFleet() = default;

  Endpoint EngineAddress(std::size_t n) const {
    return {OwnAddress(10 + static_cast<int>(n)), port_};
  }
  Endpoint EntryAddress(std::size_t n) const {
    return {OwnAddress(60 + static_cast<int>(n)), port_};
  }

  // Returns when the entry has a configuration, and views of the engines.
  void AddEntry() { AddEntry(EntrySettings(entries.size())); }
  void AddEntry(const Settings& settings) {
    entries.push_back(std::make_unique<internal::DirectEntry>(io, settings, SilentLog()));
    const auto error = entries.back()->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
    RunFor(io, kStartupMs);
  }

  Settings EntrySettings(std::size_t n) const {
    const Endpoint callers = EntryAddress(n);
    Settings settings = BaseSettings(Role::kEntry, "entry-" + std::to_string(n));
    settings.direct->callers = callers;
    settings.direct->metrics = At(callers, 1);
    settings.direct->health = At(callers, 2);
    settings.direct->peer = At(callers, 3);
    settings.direct->link_port = link_port_;
    settings.direct->retry_extra = 1000;
    settings.direct->retry_ratio = 10;  // The fixed part does not apply to a new entry.
    return settings;
  }

  // The entry stops, and nobody asks it any more. It stays in memory, as links that are open cannot
  // be destroyed while `io` runs.
  void StopEntry(std::size_t n) {
    entries[n]->Stop();
    RunFor(io, 100);
    stopped_entries_.push_back(std::move(entries[n]));
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(n));
  }

  void After(DurationMs delay, std::function<void()> call) {
    timers_.push_back(std::make_unique<Timer>(io));
    timers_.back()->After(delay, std::move(call));
  }

  static constexpr DurationMs kStartupMs = 700;

  boost::asio::io_context io;
  StandinStore store{io};
  std::vector<std::unique_ptr<internal::DirectEntry>> entries;

 protected:
  void Stop() {
    for (auto& it : entries) it->Stop();
    for (auto& it : agents_) it->Stop();
    RunFor(io, 50);
    timers_.clear();
  }

  void AddAgent(std::size_t n) {
    const Endpoint engine = EngineAddress(n);
    Settings settings = BaseSettings(Role::kAgent, "agent-" + std::to_string(n));
    settings.direct->metrics = At(engine, 1);
    settings.direct->link = {engine.address, link_port_};
    settings.direct->upstream = engine;
    agents_.push_back(std::make_unique<internal::DirectAgent>(io, settings, SilentLog()));
    const auto error = agents_.back()->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
  }

  // Answers the agent's question for a report, with the model "m1" loaded. Returns false for other
  // requests.
  static bool AnswerReport(const SeenRequest& request, const std::shared_ptr<UpstreamPeer>& peer) {
    constexpr char kReport[] =
        R"({"models":[{"name":"m1","version":1,"adapters":[]}],"busyCount":false,"sequence":0,
            "waiting":0,"running":0,"kvUsed":0,"kvTotal":9})";
    if (request.Line() != "GET /report HTTP/1.1") return false;
    peer->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(sizeof(kReport) - 1) +
                "\r\n\r\n" + kReport);
    return true;
  }

  // The fields of an engine's record that tell its service and version vary.
  void PutRecord(const std::string& instance, std::size_t n, const std::string& service,
                 const std::string& version) {
    store.Put("servers/" + instance,
              R"({"service":")" + service + R"(","address":")" + EngineAddress(n).ToString() +
                  R"(","zone":"hall-1","version":")" + version +
                  R"(","slots":64,"state":"ready","models":[{"name":"m1","version":1,
                  "adapters":[]}]})");
  }

 private:
  static Endpoint At(const Endpoint& endpoint, int offset) {
    return {endpoint.address, static_cast<std::uint16_t>(endpoint.port + offset)};
  }

  Settings BaseSettings(Role role, const std::string& id) const {
    Settings settings;
    settings.role = role;
    settings.id = id;
    settings.data_hall = "hall-1";
    settings.drain_ms = 0;
    settings.direct.emplace();
    settings.direct->store = store.endpoint();
    return settings;
  }

  std::uint16_t port_;
  std::uint16_t link_port_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::vector<std::unique_ptr<internal::DirectAgent>> agents_;
  std::vector<std::unique_ptr<internal::DirectEntry>> stopped_entries_;
};

// Engines with the model "m1" of the service "s1", that some requests crash and that start again.
class CrashingFleet : public DirectFleet {
 public:
  CrashingFleet(std::uint16_t port, std::uint16_t link_port) : DirectFleet(port, link_port) {
    store.Put("op/config", R"({"version":1,"routes":[
      {"name":"r1","hostname":"shop.example","pathPrefix":"/s/","kind":"streaming",
       "timeoutMs":6000,"targetLatencyMs":1000,"gapAimMs":500,"priority":1,"service":"s1",
       "maxAttempts":2,"resumable":true}],
      "services":[{"name":"s1","maxConns":100,"engine":{"weightsMb":100.0,"adapterSlots":2,
       "diskMb":1000.0,"models":[{"name":"m1","weightsMb":60.0,"loadTimeS":6.0,"warmS":0.5,
       "diskS":0.8}]}}]})");
  }

  int crashes = 0;
  DurationMs restart_ms = 0;  // Delay of a restart after a crash; 0 for none.

 protected:
  using Peer = std::shared_ptr<UpstreamPeer>;

  // A request that the engine at place `n` runs.
  virtual void Handle(std::size_t n, const SeenRequest& request, const Peer& peer) = 0;
  virtual void OnCrash() {}

  void AddEngines(int count, bool has_agents) {
    engines_.resize(static_cast<std::size_t>(count));
    instances_.resize(engines_.size());
    for (std::size_t n = 0; n < engines_.size(); ++n) {
      StartEngine(n);
      if (has_agents) AddAgent(n);
    }
  }

  const std::string& InstanceAt(std::size_t n) const { return instances_[n]; }

  // Another request may have crashed the instance already.
  void Crash(std::size_t n, const std::string& instance) {
    if (instances_[n] != instance || !crashed_instances_.insert(instance).second) return;
    ++crashes;
    OnCrash();
    // Not within a call from the engine.
    boost::asio::post(io, [this, n] { engines_[n]->Crash(); });
    if (restart_ms == 0) return;
    After(restart_ms, [this, n] { StartEngine(n); });
  }

 private:
  // Starts a new instance at the same address.
  void StartEngine(std::size_t n) {
    engines_[n] = std::make_unique<ScriptedUpstream>(
        io,
        [this, n](const SeenRequest& request, const Peer& peer) {
          if (!AnswerReport(request, peer)) Handle(n, request, peer);
        },
        EngineAddress(n));
    const std::string instance = "i-" + std::to_string(n) + "-" + std::to_string(++starts_);
    const std::string old = std::exchange(instances_[n], instance);
    if (!old.empty()) store.Remove("servers/" + old);
    PutRecord(instance, n, "s1", "v1");
  }

  std::vector<std::unique_ptr<ScriptedUpstream>> engines_;
  std::vector<std::string> instances_;  // By place.
  std::set<std::string> crashed_instances_;
  int starts_ = 0;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_DIRECT_FLEET_H_

// The whole path's figures: a cold first token against the engine's own load
// time; a warm request's added latency over calling the engine directly, side
// by side; requests a second and processor time a request; resident memory.
// Prints Markdown. Whole processes on loopback; nothing here asserts.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

#include "cluster.h"

ABSL_FLAG(int, requests, 4000, "Requests of each throughput row.");
ABSL_FLAG(int, pairs, 400, "Pairs of direct and routed calls.");
ABSL_FLAG(int, colds, 10, "Cold starts.");

namespace junctionrail::test {
namespace {

using nlohmann::json;

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto n =
      static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
  return values[n];
}

json Declared(int models, std::uint64_t memory_mb) {
  json list = json::array();
  for (int n = 0; n < models; ++n) {
    list.push_back({{"name", "m" + std::to_string(n)},
                    {"version", "1"},
                    {"replicas", 1},
                    {"memory_mb", memory_mb}});
  }
  return {{"models", list}};
}

void Cold() {
  ClusterOptions options;
  options.engine_flags = {"--disk_ms_per_gb=50", "--first_token_ms=5", "--memory_mb=65536",
                          "--on_disk=m0@1,m1@1,m2@1,m3@1,m4@1,m5@1,m6@1,m7@1,m8@1,m9@1"};
  const int n = std::min(10, absl::GetFlag(FLAGS_colds));
  options.declarations = Declared(n, 8192);
  Cluster cluster(options);
  std::vector<double> over;
  for (int it = 0; it < n; ++it) {
    const Reply reply = cluster.Call("entry-1", Chat("m" + std::to_string(it), true));
    if (reply.status == 200) over.push_back(reply.first_byte_ms - 400 - 5);
  }
  std::printf("\n### Cold first token, over the engine's own 400 ms load and 5 ms first token\n\n");
  std::printf("| cold starts | p50 over, ms | greatest over, ms |\n|---|---|---|\n");
  std::printf("| %zu of %d | %.1f | %.1f |\n", over.size(), n, Percentile(over, 0.5),
              Percentile(over, 1));
}

void Added(Cluster& cluster) {
  std::vector<double> direct;
  std::vector<double> routed;
  std::vector<double> added;
  for (int n = 0; n < absl::GetFlag(FLAGS_pairs); ++n) {
    const double a = cluster.Call("engine-1", Chat("m0@1", true)).first_byte_ms;
    const double b = cluster.Call("entry-1", Chat("m0@1", true)).first_byte_ms;
    direct.push_back(a);
    routed.push_back(b);
    added.push_back(b - a);
  }
  std::printf("\n### Warm first token, direct and routed in turn, %d pairs\n\n",
              absl::GetFlag(FLAGS_pairs));
  std::printf("| | p50, ms | p99, ms |\n|---|---|---|\n");
  std::printf("| direct | %.2f | %.2f |\n", Percentile(direct, 0.5), Percentile(direct, 0.99));
  std::printf("| routed | %.2f | %.2f |\n", Percentile(routed, 0.5), Percentile(routed, 0.99));
  std::printf("| added, pair by pair | %.2f | %.2f |\n", Percentile(added, 0.5),
              Percentile(added, 0.99));
}

// Keeps `connections` calls under way until all are done.
class Load {
 public:
  Load(const Endpoint& endpoint, int requests)
      : client_(io_), endpoint_(endpoint), left_(requests) {}

  double Run(int connections) {
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < connections; ++n) Next();
    io_.run();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  }

  int failed() const { return failed_; }
  const std::vector<double>& times() const { return times_; }

 private:
  void Next() {
    if (left_-- <= 0) return;
    HttpCall call;
    call.endpoint = endpoint_;
    const CallSpec spec = Chat("m0@1", false, 1);
    call.method = spec.method;
    call.target = spec.target;
    call.headers = spec.headers;
    call.body = spec.body;
    const auto start = std::chrono::steady_clock::now();
    FetchWhole(client_, std::move(call), [this, start](const HttpAnswer& answer) {
      if (answer.status != 200) ++failed_;
      times_.push_back(
          std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
              .count());
      Next();
    });
  }

  boost::asio::io_context io_;
  HttpClient client_;
  Endpoint endpoint_;
  int left_;
  int failed_ = 0;
  std::vector<double> times_;
};

void Throughput(Cluster& cluster) {
  std::printf("\n### Requests a second through one entry and one agent\n\n");
  std::printf(
      "| connections | requests/s | p50, ms | p99, ms | entry CPU, us/request | "
      "agent CPU, us/request | failed |\n|---|---|---|---|---|---|---|\n");
  const auto cpu = [&cluster](const std::string& name) {
    return cluster.Metric(name, "process_cpu_seconds_total");
  };
  for (const int connections : {1, 16, 64}) {
    const double entry = cpu("entry-1");
    const double agent = cpu("agent-1");
    const int n = absl::GetFlag(FLAGS_requests);
    Load load(cluster.HttpOf("entry-1"), n);
    const double seconds = load.Run(connections);
    std::printf("| %d | %.0f | %.2f | %.2f | %.0f | %.0f | %d |\n", connections, n / seconds,
                Percentile(load.times(), 0.5), Percentile(load.times(), 0.99),
                (cpu("entry-1") - entry) / n * 1e6, (cpu("agent-1") - agent) / n * 1e6,
                load.failed());
  }
}

// Fifty models woken at once from a weight store of three starts a second and
// four transfers at full speed: who is served, who is refused, and how soon.
void Wake() {
  constexpr int kModels = 50;
  std::printf("\n### %d models of 1 GB woken at once, 3 engines, weight store of 3 starts/s\n\n",
              kModels);
  std::printf(
      "| deadline, s | served | first byte p50 / p99, s | refused | told after p50 / p99, s | "
      "loads | overcommits refused by engines |\n|---|---|---|---|---|---|---|\n");
  for (const int deadline : {5, 10, 30}) {
    ClusterOptions options;
    options.engines = 3;
    options.declarations = Declared(kModels, 1024);
    Cluster cluster(options);
    std::vector<std::pair<std::string, CallSpec>> calls;
    for (int n = 0; n < kModels; ++n) {
      CallSpec call = Chat("m" + std::to_string(n), true, 1);
      call.headers.push_back({"Junctionrail-Deadline-Ms", std::to_string(deadline * 1000)});
      calls.push_back({"entry-1", std::move(call)});
    }
    std::vector<double> served;
    std::vector<double> refused;
    for (const auto& it : cluster.CallAll(calls)) {
      (it.status == 200 ? served : refused)
          .push_back((it.status == 200 ? it.first_byte_ms : it.whole_ms) / 1000);
    }
    double loads = 0;
    int overcommits = 0;
    for (int n = 1; n <= 3; ++n) {
      loads += cluster.Metric("agent-" + std::to_string(n), "junctionrail_loads_ordered_total");
      overcommits +=
          cluster.Get("engine-" + std::to_string(n), "/counters").value("overcommits_refused", 0);
    }
    std::printf("| %d | %zu | %.2f / %.2f | %zu | %.2f / %.2f | %.0f | %d |\n", deadline,
                served.size(), Percentile(served, 0.5), Percentile(served, 0.99), refused.size(),
                Percentile(refused, 0.5), Percentile(refused, 0.99), loads, overcommits);
  }
}

// What a token costs on its way: each is one piece, one frame and one chunk.
void Tokens() {
  constexpr int kStreams = 64;
  constexpr int kTokens = 500;
  ClusterOptions options;
  options.engine_flags = {"--first_token_ms=1", "--token_ms=10"};
  options.agent_settings = {{"max_concurrent", kStreams}};
  options.declarations = Declared(1, 1024);
  Cluster cluster(options);
  cluster.Call("entry-1", Chat("m0@1", false, 1));
  const auto cpu = [&cluster](const std::string& name) {
    return cluster.Metric(name, "process_cpu_seconds_total");
  };
  const double entry = cpu("entry-1");
  const double agent = cpu("agent-1");
  const auto replies = cluster.CallAll(std::vector<std::pair<std::string, CallSpec>>(
      kStreams, {"entry-1", Chat("m0@1", true, kTokens)}));
  const double tokens = kStreams * kTokens;
  std::printf("\n### Processor time a token, %d streams of %d tokens\n\n", kStreams, kTokens);
  std::printf("| entry, us | agent, us |\n|---|---|\n| %.1f | %.1f |\n",
              (cpu("entry-1") - entry) / tokens * 1e6, (cpu("agent-1") - agent) / tokens * 1e6);
}

double ResidentMb(Cluster& cluster, const std::string& name) {
  return cluster.Metric(name, "process_resident_memory_bytes") / 1048576.0;
}

std::uint64_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  in >> total >> resident;
  return resident * 4096;
}

// Bytes the loopback interface has carried; each byte counts once.
double LoopbackBytes() {
  std::ifstream in("/proc/net/dev");
  std::string line;
  while (std::getline(in, line)) {
    const std::size_t at = line.find("lo:");
    if (at == std::string::npos) continue;
    return std::strtod(line.c_str() + at + 3, nullptr);
  }
  return 0;
}

// What an open link costs, both ends together, in this process.
void Links() {
  constexpr int kLinks = 1000;
  boost::asio::io_context io(1);
  int opened = 0;
  LinkServer server(
      io, LinkServerCallbacks{[&opened](std::uint64_t) { ++opened; },
                              [](std::uint64_t, std::string_view) {}, [](std::uint64_t) {}});
  const auto port = server.Listen(Endpoint{"127.0.0.1", 0});
  LinkClient client(io, LinkClientCallbacks{[](const std::string&) {},
                                            [](const std::string&, std::string_view) {},
                                            [](const std::string&, bool) {}});
  const std::uint64_t before = ResidentBytes();
  for (int n = 0; n < kLinks; ++n) {
    client.Send("peer-" + std::to_string(n), Endpoint{"127.0.0.1", port.value()}, "frame");
    io.run_for(std::chrono::milliseconds(1));
  }
  for (int n = 0; n < 100 && opened < kLinks; ++n) io.run_for(std::chrono::milliseconds(20));
  std::printf("\n### Open links\n\n| links | KB each, both ends together |\n|---|---|\n");
  std::printf("| %d | %.1f |\n", opened,
              static_cast<double>(ResidentBytes() - before) / 1024 / kLinks);
}

// What control costs when nobody calls: 1,000 declarations, one entry, one agent.
void Idle() {
  ClusterOptions options;
  options.declarations = Declared(1000, 1024);
  Cluster cluster(options);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto cpu = [&cluster](const std::string& name) {
    return cluster.Metric(name, "process_cpu_seconds_total");
  };
  const double entry = cpu("entry-1");
  const double agent = cpu("agent-1");
  const double bytes = LoopbackBytes();
  constexpr int kSeconds = 20;
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const double carried = LoopbackBytes() - bytes;
  std::printf("\n### Control of an idle entry and agent together over %d s\n\n", kSeconds);
  std::printf(
      "| entry, %% of a core | agent, %% of a core | bytes/s on loopback, both and the "
      "stand-ins |\n|---|---|---|\n");
  std::printf("| %.2f | %.2f | %.0f |\n", (cpu("entry-1") - entry) / kSeconds * 100,
              (cpu("agent-1") - agent) / kSeconds * 100, carried / kSeconds);
}

void Memory() {
  ClusterOptions options;
  options.engine_flags = {"--first_token_ms=1", "--token_ms=3000"};
  options.agent_settings = {{"max_concurrent", 2000}};
  options.declarations = Declared(1, 1024);
  Cluster cluster(options);
  const double entry = ResidentMb(cluster, "entry-1");
  const double agent = ResidentMb(cluster, "agent-1");
  cluster.Call("entry-1", Chat("m0@1", false, 1));
  std::vector<std::pair<std::string, CallSpec>> calls(1000, {"entry-1", Chat("m0@1", true, 2)});
  calls.push_back({"entry-1", CallSpec{"GET", "/metrics", "", {}}});
  double busy_entry = 0;
  double busy_agent = 0;
  std::thread probe([&] {
    Cluster::WaitUntil([&] { return cluster.Metric("entry-1", "junctionrail_present") >= 1000; },
                       10000);
    busy_entry = ResidentMb(cluster, "entry-1");
    busy_agent = ResidentMb(cluster, "agent-1");
  });
  const auto replies = cluster.CallAll(calls);
  probe.join();
  const auto whole = std::count_if(replies.begin(), replies.end(),
                                   [](const Reply& it) { return it.status == 200; });
  std::printf("\n### Resident memory, MB (%ld of 1,001 answers whole)\n\n",
              static_cast<long>(whole));
  std::printf("| | idle | 1,000 open streams |\n|---|---|---|\n");
  std::printf("| entry | %.1f | %.1f |\n| agent | %.1f | %.1f |\n", entry, busy_entry, agent,
              busy_agent);
}

}  // namespace
}  // namespace junctionrail::test

int main(int argc, char** argv) {
  using namespace junctionrail::test;
  absl::ParseCommandLine(argc, argv);
  Cold();
  {
    ClusterOptions options;
    options.engine_flags = {"--first_token_ms=1", "--token_ms=0"};
    options.agent_settings = {{"max_concurrent", 256}};
    options.declarations = Declared(1, 1024);
    Cluster cluster(options);
    cluster.Call("entry-1", Chat("m0@1", false, 1));
    Added(cluster);
    Throughput(cluster);
  }
  Wake();
  Tokens();
  Links();
  Memory();
  Idle();
  return 0;
}

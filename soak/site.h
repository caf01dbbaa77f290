// One run's fleet: the real processes, the stand-ins of the platform and its upstreams, and the
// proxies between them.
#ifndef JUNCTIONRAIL_SOAK_SITE_H_
#define JUNCTIONRAIL_SOAK_SITE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet.h"
#include "judge.h"
#include "network.h"
#include "platform_standin.h"
#include "proxy.h"
#include "upstreams.h"

namespace junctionrail::soak {

// One of each in each hall.
constexpr int kEntries = 4;
constexpr int kEngines = 4;
constexpr int kPlains = 4;
constexpr DurationMs kRegionDelayMs = 20;

// A proxy that faults may harm.
struct Path {
  std::unique_ptr<Proxy> proxy;
  int entry = -1;     // The entry whose path to the store it is.
  int upstream = -1;  // The upstream to which it is the path of all entries.
};

class Site {
 public:
  // Processes run `daemon`, with their settings and logs in `directory`.
  Site(std::uint64_t seed, std::string daemon, std::string directory);

  void Start();
  void Stop();
  // Writes a later configuration. `has_key`: the organisation "fleeting" has its key.
  void Configure(bool has_key = true);
  // Sends the signal, and tells the judge what an entry is to do.
  void Signal(Process& process, int signal);
  // Tells the judge which entry or upstream a fault on `path` affects.
  void Excuse(const Path& path);
  // Tells the judge which entries do not run normally, or cannot reach the store or an upstream.
  void ExcuseEntries();
  const std::vector<Endpoint>& entry_endpoints() const { return entry_endpoints_; }
  const std::vector<Process*>& entry_processes() const { return entry_processes_; }

  boost::asio::io_context io;
  Random random;
  Judge judge;
  testing::StandinStore store{io};
  Network network;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<Path> paths;
  std::vector<std::unique_ptr<Process>> processes;

 private:
  std::string Address(int n) const { return net_ + std::to_string(n); }
  void AddUpstream(int n);
  void AddAgent(int n, const Endpoint& inner, const Endpoint& outer);
  void AddEntry(int n);
  void AddProcess(const std::string& name, const std::string& role, const Hall& hall,
                  nlohmann::json direct);
  // `entry` is -1 for an agent's.
  Endpoint AddStorePath(int entry, const Hall& hall);
  // A proxy that is affected only by delays and partitions between regions.
  Endpoint AddLink(const Endpoint& listen, const Endpoint& target, const Hall& from,
                   const Hall& to);
  std::string OriginOf(std::string_view bytes) const;
  void Poll();

  std::string daemon_;
  std::string directory_;
  std::string net_;
  Timer poll_{io};
  std::vector<std::unique_ptr<Proxy>> links_;
  std::vector<Process*> entry_processes_;
  std::vector<Endpoint> entry_endpoints_;
  TimeMs polled_at_ = MonotonicMs();
  int version_ = 0;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_SITE_H_

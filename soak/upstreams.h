// Stand-ins for the upstreams of a soak: model engines and plain services that
// lose, cut and double answers, and record themselves in the stand-in store.
#ifndef JUNCTIONRAIL_SOAK_UPSTREAMS_H_
#define JUNCTIONRAIL_SOAK_UPSTREAMS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "judge.h"
#include "junctionrail/net.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::soak {

// An engine that begins to run it ends soon after.
constexpr char kDeadlyBody[] = "ends whoever runs it";

// An engine that begins to answer a request with it ends soon after.
constexpr char kDeadlyPart[] = "deadly";

// Chances of misbehaviour, in a hundred requests.
struct Misbehaviour {
  int cuts = 0;     // Closes within the answer.
  int losses = 0;   // Runs the request and resets.
  int surplus = 0;  // Sends the answer twice.
  // Sends it again in the place of the next answer on the connection.
  int late_surplus = 0;
  int late_orders = 0;
};

// What an upstream says beside its answers.
struct Need {
  double limit_per_s = 0;  // 0: none.
  int turned_away = 0;     // In a hundred requests, with a rest.
  bool says_leaving = false;
};

class Upstream {
 public:
  Upstream(boost::asio::io_context& io, testing::StandinStore& store, Judge& judge, Random& random,
           std::string name, bool is_engine, Endpoint inner, std::string hall);

  // Starts as a new instance, which may be cold. If one is running, it crashes first.
  void Start();
  void Crash();
  // Records that it leaves, or only takes its record away; it ends after some time.
  void Drain(bool is_told);
  const std::string& instance() const { return instance_; }
  bool is_running() const { return listener_ != nullptr; }
  // The address that others know, which a proxy may stand at.
  void SetAddress(const Endpoint& address) { address_ = address; }
  const std::string& hall() const { return hall_; }
  // Of its software; drawn at each start.
  const std::string& version() const { return version_; }
  void Record();
  // It is cold for kColdMs from now on.
  void GoCold(bool is_return);
  // Overwrites its record, as another writer would, until it writes it again.
  void SpoilRecord();
  // Starts again if a request ended it and its time to start has come.
  void StartIfDue();

  // Sends nothing for so long, then goes on. Its record is written all the same.
  void FallSilent(DurationMs silent_ms);

  // In need for a while; what it says of its leaving stays.
  void SetNeed(double limit_per_s, int turned_away);

  Misbehaviour misbehaviour;

 private:
  using Peer = std::shared_ptr<testing::UpstreamPeer>;

  void OnRequest(const testing::SeenRequest& request, const Peer& peer);
  // The fields of an answer to that request that tell what it needs.
  std::string Notices(const std::string& request, const Peer& peer);
  void Report(const Peer& peer);
  void Order(const testing::SeenRequest& request, const Peer& peer);
  int Apply(const std::string& operation, const std::string& model, const std::string& adapter,
            std::int64_t expected);
  void Run(const testing::SeenRequest& request, const Peer& peer);
  void RunPlain(const testing::SeenRequest& request, const Peer& peer);
  // Whether an earlier answer takes the place of that to a request on this connection.
  bool SendLateSurplus(const Peer& peer);
  // A stream's way to the entry, and what becomes of it.
  struct StreamWay {
    std::string stream;
    int count = 0;
    Peer peer;
    bool is_cut = false;
    bool is_chunked = true;  // Otherwise it ends with its connection.
    std::string request;
  };
  static DurationMs EventInterval(const std::string& stream);
  void Stream(const StreamWay& way, int next);
  // Calls it once what is written to the peer now is sent; not if the peer has ended by then.
  void OnceSent(const Peer& peer, std::function<void()> call);
  // Has sent all of its answer to that request, or will have once it is not silent.
  void TellDone(const std::string& request);
  void EndByRequest(Judge::Deadly kind);
  bool Holds(const std::string& model) const;
  bool Happens(int percent);
  // As Happens, for what may end the request or its connection.
  bool HarmHappens(int percent);
  void RecordPeriodically();
  nlohmann::json RecordDocument() const;
  void After(DurationMs delay, std::function<void()> call);

  boost::asio::io_context& io_;
  testing::StandinStore& store_;
  Judge& judge_;
  Random& random_;
  std::string name_;
  bool is_engine_;
  Endpoint inner_;
  Endpoint address_;
  std::string hall_;
  std::string instance_;
  std::string version_;
  int starts_ = 0;
  TimeMs restart_at_ = 0;  // After a request ended it; 0: none did.
  TimeMs drained_at_ = 0;  // 0: not leaving.
  TimeMs cold_until_ = 0;
  TimeMs silent_until_ = 0;
  bool tells_cold_ = true;   // Whether its record says for how long it is cold.
  bool is_recorded_ = true;  // False once it has taken its record away.
  Need need_;
  // The connection on which a late surplus answer is due, and the request that it is to.
  std::weak_ptr<testing::UpstreamPeer> surplus_peer_;
  std::string surplus_id_;
  std::unique_ptr<testing::ScriptedUpstream> listener_;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);  // Timers of an earlier one do nothing.
  std::map<std::string, std::vector<std::string>> loaded_;
  std::vector<std::string> on_disk_;
  std::optional<std::string> loading_;
  std::int64_t sequence_ = 0;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_UPSTREAMS_H_

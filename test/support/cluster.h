// Runs the real programs against the stand-ins on loopback, for tests and
// benchmarks of whole processes. Every process it started is ended with it.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_CLUSTER_H_
#define JUNCTIONRAIL_TEST_SUPPORT_CLUSTER_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::test {

struct ClusterOptions {
  int entries = 1;
  int engines = 1;
  int services = 0;
  bool checks_fencing = true;
  std::vector<std::string> engine_flags;
  nlohmann::json agent_settings = nlohmann::json::object();  // Merged into every agent's.
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json declarations = nlohmann::json::object();  // Applied once all is ready.
};

// What a caller got. `status` 0 means no whole answer came.
struct Reply {
  unsigned status = 0;
  std::string body;
  std::string broken;  // Why the answer is not whole; empty when it is.
  double first_byte_ms = 0;
  double whole_ms = 0;

  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
  std::string Code() const;  // Of a refusal.
};

struct CallSpec {
  std::string method = "POST";
  std::string target = "/v1/chat/completions";
  std::string body;
  std::vector<HttpHeader> headers;
};

// The chat call of `model`.
CallSpec Chat(const std::string& model, bool is_stream, int tokens = 3);

struct ToolResult {
  int exit_code = -1;
  std::string out;
  std::string err;
};

class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Processes are named entry-N, engine-N and service-N for the upstreams,
  // agent-N for the agent before engine-N, api-agent-N, and kv, vmlist, weights.
  void Kill(const std::string& name);  // At once, and waits for its end.
  int Stop(const std::string& name);   // SIGTERM; returns the exit code.
  void Signal(const std::string& name, int signal);
  void Start(const std::string& name);  // Again, with the same command.
  bool WaitReady(const std::string& name);

  Endpoint HttpOf(const std::string& name) const;  // Where it takes HTTP.
  Endpoint RpcOf(const std::string& entry) const;
  Endpoint LinkOf(const std::string& agent) const;
  std::string VmOf(const std::string& agent) const { return agent; }

  // Calls and waits for the end.
  Reply Call(const std::string& name, CallSpec call);
  // Starts several calls at once and waits for them all.
  std::vector<Reply> CallAll(const std::vector<std::pair<std::string, CallSpec>>& calls);
  nlohmann::json Post(const std::string& name, const std::string& target,
                      const nlohmann::json& body);
  nlohmann::json Get(const std::string& name, const std::string& target);

  // Runs the operators' tool against an entry.
  ToolResult Tool(const std::string& entry, const std::vector<std::string>& arguments);
  // Writes declarations to a new directory and returns its name.
  std::string WriteDeclarations(const nlohmann::json& declarations);
  ToolResult Apply(const std::string& entry, const nlohmann::json& declarations,
                   const std::vector<std::string>& more = {});

  // The value of a metric; -1 when the page has no such line.
  double Metric(const std::string& name, const std::string& line);

  // Polls until `holds` or the time is up; returns whether it held.
  static bool WaitUntil(const std::function<bool()>& holds, DurationMs most = 20000);

  static std::string BinaryOf(const std::string& program);  // Its file.
  pid_t PidOf(const std::string& name) const;
  const std::string& directory() const { return directory_; }

 private:
  struct Process {
    std::vector<std::string> command;
    pid_t pid = 0;
    Endpoint http;
    Endpoint rpc;
    Endpoint link;
  };

  void Add(const std::string& name, Process process);
  void AddAgent(const std::string& name, const std::string& upstream, bool is_service);
  void AddEntry(const std::string& name);
  int Reap(Process* process);

  ClusterOptions options_;
  std::string directory_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> order_;
  nlohmann::json vms_ = nlohmann::json::array();
  int documents_ = 0;
};

}  // namespace junctionrail::test

#endif  // JUNCTIONRAIL_TEST_SUPPORT_CLUSTER_H_

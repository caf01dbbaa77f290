// What the trials of the review share: the record, the processes of the deploy file with settings
// from its templates, a service's workers, and kept connections of clients.
#ifndef JUNCTIONRAIL_REVIEW_TRIAL_H_
#define JUNCTIONRAIL_REVIEW_TRIAL_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

// Exit codes of a trial.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Lines of record.txt, each with its time.
void OpenRecord(const std::string& file);
void Record(const std::string& line);

// Whether the disruption is to be left out: TROUBLE=0.
bool HasTrouble();

// An address on loopback that no other trial uses.
std::string OwnIp(int last);

// A program of the deploy file, started as by the platform: with the file that the template gives.
class Process {
 public:
  // `fields` are those of the platform's settings file.
  Process(std::string name, const std::string& template_file, const nlohmann::json& fields);
  ~Process();

  void Start();
  void Signal(int signal);
  // Whether it has ended without having been told to; says how.
  bool HasEndedByItself(std::string* how);
  const std::string& name() const { return name_; }
  const std::string& log_file() const { return log_file_; }

 private:
  std::string name_;
  std::string settings_file_;
  std::string log_file_;
  pid_t pid_ = 0;
  bool is_told_to_end_ = false;
};

// The settings of hayatsuki-kyushu for a machine, as `fleetbench wire` prints them.
struct Machine {
  std::string name;
  std::string zone;
  std::string ip;
};
nlohmann::json EntryFields(const Machine& machine, const Address& store,
                           const std::vector<std::string>& entry_ips);
nlohmann::json AgentFields(const Machine& machine, const Address& store, const Address& app);
Address FrontOf(const Machine& machine);
Address ReadyOf(const Machine& machine);

// Waits until the daemon answers 200 at its ready address.
bool AwaitReady(const Machine& machine, std::int64_t timeout_ms);

// A worker of a plain service. Each of its answers carries the request's id and a seal.
struct ArrivedRequest {
  std::string id;
  Message message;
};
class Worker {
 public:
  // Answers a request that it runs; false ends the connection.
  using Run = std::function<bool(const ArrivedRequest& request, Connection& connection)>;

  Worker(std::string id, std::string service, std::string zone, const Address& address, Run run);

  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }
  std::string Entry(const std::string& state) const;
  void Stop() { server_->Stop(); }

 private:
  void Serve(Connection& connection);

  std::string id_;
  std::string service_;
  std::string zone_;
  Address address_;
  Run run_;
  std::unique_ptr<Server> server_;
};

std::string SealOf(const std::string& request_id);
std::string BodyOf(const std::string& request_id);
// The whole answer to a request, with a length.
std::string AnswerTo(const std::string& request_id);
// The same answer without a length: it ends with its connection.
std::string UnframedAnswerTo(const std::string& request_id);

// The configuration of two services: engines with models, and a plain service.
nlohmann::json Configuration();
constexpr char kPlainService[] = "transfer-api";
constexpr char kEngineService[] = "risk-models";
constexpr char kHost[] = "bank.example";

}  // namespace review

#endif  // JUNCTIONRAIL_REVIEW_TRIAL_H_

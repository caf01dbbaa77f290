#include "operator_service.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "junctionrail.grpc.pb.h"
#include "junctionrail/burn.h"
#include "junctionrail/entry_core.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

constexpr auto kWaitSlice = std::chrono::milliseconds(20);
constexpr auto kAnswerWait = std::chrono::seconds(10);
constexpr auto kAgentWait = std::chrono::milliseconds(1500);
constexpr auto kPeerWait = std::chrono::milliseconds(800);
constexpr auto kRebaseWait = std::chrono::milliseconds(50);
constexpr std::int64_t kClockSlackMs = 50;  // VMs' clocks differ by less.
constexpr int kMostRebases = 100;
constexpr int kMostMessageBytes = 64 << 20;

grpc::Status Unavailable(const std::string& sentence) {
  return grpc::Status(grpc::StatusCode::UNAVAILABLE, sentence);
}

std::unique_ptr<rpc::Operator::Stub> Dial(const Endpoint& endpoint) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMostMessageBytes);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return rpc::Operator::NewStub(grpc::CreateCustomChannel(
      endpoint.ToString(), grpc::InsecureChannelCredentials(), arguments));
}

void FillDecision(const DecisionRecord& record, const std::string& process, rpc::Decision* out) {
  out->set_process(process);
  out->set_at_ms(record.at + UnixMs() - MonotonicMs());
  out->set_request(record.request);
  out->set_key(record.key);
  out->set_vm(record.vm);
  out->set_sentence(record.message);
  out->set_inputs(record.inputs);
  out->set_config_version(record.config_version);
  for (const auto& it : record.rejected) {
    auto* rejected = out->add_rejected();
    rejected->set_vm(it.vm);
    rejected->set_reason(it.reason);
  }
}

// An agent's records from `first` to `last`, as the JSON that EncodeRecords wrote.
void FillDecisions(const std::string& records, rpc::WhyReply* reply, std::int64_t first,
                   std::int64_t last) {
  const json all = json::parse(records, nullptr, false);
  if (!all.is_array()) return;
  for (const auto& it : all) {
    const std::int64_t at = it.value("at_ms", std::int64_t{0});
    if (at < first || at > last) continue;
    auto* out = reply->add_decisions();
    out->set_process(it.value("process", ""));
    out->set_at_ms(at);
    out->set_request(it.value("request", ""));
    out->set_key(it.value("key", ""));
    out->set_vm(it.value("vm", ""));
    out->set_sentence(it.value("sentence", ""));
    out->set_inputs(it.value("inputs", ""));
    out->set_config_version(it.value("config_version", std::uint64_t{0}));
  }
}

// A request's records, and those of its model from its arrival to its end: the
// placement it waited for has no request of its own.
std::vector<DecisionRecord> RecordsFor(const DecisionLog& log, const std::string& subject) {
  std::vector<DecisionRecord> records = log.RecordsAbout(subject);
  if (records.empty() || records.front().request.empty()) return records;
  const TimeMs first = records.front().at;
  const TimeMs last = records.back().at;
  for (auto& it : log.RecordsAbout(records.front().key)) {
    const bool is_meanwhile = it.request.empty() && it.at >= first && it.at <= last;
    if (is_meanwhile) records.push_back(std::move(it));
  }
  return records;
}

// Puts the decisions of several processes in the order they were made.
void SortByTime(rpc::WhyReply* reply) {
  auto* decisions = reply->mutable_decisions();
  std::stable_sort(
      decisions->begin(), decisions->end(),
      [](const rpc::Decision& a, const rpc::Decision& b) { return a.at_ms() < b.at_ms(); });
}

// Adds what another entry counted. Counts add up without error.
void AddWindows(const rpc::KeyBurn& from, std::array<BurnCounts, kBurnWindows.size()>* sums) {
  for (std::size_t n = 0; n < sums->size() && n < static_cast<std::size_t>(from.windows_size());
       ++n) {
    const rpc::BurnWindow& window = from.windows(static_cast<int>(n));
    BurnCounts counts;
    for (int cause = 0; cause < window.by_cause_size(); ++cause) {
      if (cause < static_cast<int>(kBurnCauseCount)) {
        counts.by_cause[static_cast<std::size_t>(cause)] = window.by_cause(cause);
      }
    }
    counts.cold_starts = window.cold_starts();
    counts.cold_starts_late = window.cold_starts_late();
    (*sums)[n].Add(counts);
  }
}

// A name that is no longer declared is judged by the default objectives.
void FillWindow(std::string_view name, const BurnCounts& counts, const Objectives* objectives,
                rpc::BurnWindow* out) {
  const BurnRates rates =
      ComputeBurnRates(counts, objectives == nullptr ? Objectives() : *objectives);
  out->set_name(std::string(name));
  for (const auto it : counts.by_cause) out->add_by_cause(it);
  out->set_cold_starts(counts.cold_starts);
  out->set_cold_starts_late(counts.cold_starts_late);
  out->set_first_token_rate(rates.first_token);
  out->set_availability_rate(rates.availability);
  out->set_cold_start_rate(rates.cold_start);
  out->set_budget_left(rates.budget_left);
}

bool Overlaps(const ConfigDifference& a, const ConfigDifference& b) {
  std::set<std::string> touched(a.added.begin(), a.added.end());
  touched.insert(a.changed.begin(), a.changed.end());
  touched.insert(a.removed.begin(), a.removed.end());
  const auto hits = [&touched](const std::vector<std::string>& keys) {
    return std::any_of(keys.begin(), keys.end(),
                       [&touched](const std::string& key) { return touched.count(key) > 0; });
  };
  return hits(b.added) || hits(b.changed) || hits(b.removed);
}

}  // namespace

class OperatorServer::Impl final : public rpc::Operator::Service {
 public:
  Impl(boost::asio::io_context& io, std::string vm, OperatorHooks hooks)
      : io_(io), vm_(std::move(vm)), hooks_(std::move(hooks)) {}

  std::optional<NetError> Start(const Endpoint& endpoint) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(endpoint.ToString(), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(kMostMessageBytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 1);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) return NetError{endpoint.ToString() + ": cannot be bound"};
    return std::nullopt;
  }

  void Stop() {
    is_stopping_ = true;
    if (server_) server_->Shutdown(std::chrono::system_clock::now() + kPeerWait);
  }

  grpc::Status Apply(grpc::ServerContext*, const rpc::ApplyRequest* request,
                     rpc::ApplyReply* reply) override;
  grpc::Status Get(grpc::ServerContext*, const rpc::GetRequest*, rpc::GetReply* reply) override;
  grpc::Status Status(grpc::ServerContext*, const rpc::StatusRequest*,
                      rpc::StatusReply* reply) override;
  grpc::Status Drain(grpc::ServerContext*, const rpc::DrainRequest* request,
                     rpc::DrainReply*) override;
  grpc::Status Why(grpc::ServerContext*, const rpc::WhyRequest* request,
                   rpc::WhyReply* reply) override;
  grpc::Status Burn(grpc::ServerContext*, const rpc::BurnRequest* request,
                    rpc::BurnReply* reply) override;
  grpc::Status Recall(grpc::ServerContext*, const rpc::RecallRequest*,
                      rpc::RecallReply* reply) override;

 private:
  // Waits for the entry's thread, but not while it waits for this server to stop.
  template <class T>
  bool Wait(std::future<T>& result, std::chrono::milliseconds most) const {
    const auto until = std::chrono::steady_clock::now() + most;
    while (!is_stopping_ && std::chrono::steady_clock::now() < until) {
      if (result.wait_for(kWaitSlice) == std::future_status::ready) return true;
    }
    return false;
  }

  // Runs `work` on the entry's thread and waits for its result.
  template <class T>
  std::optional<T> OnEntry(std::function<T()> work) {
    auto done = std::make_shared<std::promise<T>>();
    auto result = done->get_future();
    boost::asio::post(io_, [done, work = std::move(work)] { done->set_value(work()); });
    if (!Wait(result, kAnswerWait)) return std::nullopt;
    return result.get();
  }

  std::optional<AcceptOutcome> Accept(const ConfigChange& change) {
    auto done = std::make_shared<std::promise<AcceptOutcome>>();
    auto result = done->get_future();
    boost::asio::post(io_, [this, done, change] {
      hooks_.accept(change, [done](AcceptOutcome outcome) { done->set_value(outcome); });
    });
    if (!Wait(result, kAnswerWait)) return std::nullopt;
    return result.get();
  }

  std::optional<Configuration> CurrentConfiguration() {
    return OnEntry<Configuration>([this] { return hooks_.core().configuration(); });
  }

  // Waits until a version newer than `version` is in force here.
  std::optional<Configuration> NewerConfiguration(std::uint64_t version);
  AgentRecords AskAgent(const std::string& vm, const std::string& subject);
  void AskPeers(const rpc::WhyRequest& request, const std::vector<VmInfo>& vms,
                rpc::WhyReply* reply);

  boost::asio::io_context& io_;
  std::string vm_;
  OperatorHooks hooks_;
  std::unique_ptr<grpc::Server> server_;
  std::atomic<bool> is_stopping_ = false;
};

std::optional<Configuration> OperatorServer::Impl::NewerConfiguration(std::uint64_t version) {
  for (int n = 0; n < kMostRebases; ++n) {
    auto now = CurrentConfiguration();
    if (now && now->version() > version) return now;
    std::this_thread::sleep_for(kRebaseWait);
  }
  return std::nullopt;
}

grpc::Status OperatorServer::Impl::Apply(grpc::ServerContext*, const rpc::ApplyRequest* request,
                                         rpc::ApplyReply* reply) {
  const auto document = ParseJson(request->declarations_json(), "declarations");
  if (!document) {
    return {grpc::StatusCode::INVALID_ARGUMENT, document.error().Sentence()};
  }
  Configuration declared;
  const auto wrong = ReadDeclarations(document.value(), "declarations", &declared);
  if (wrong) return {grpc::StatusCode::INVALID_ARGUMENT, wrong->Sentence()};
  auto current = CurrentConfiguration();
  if (!current) return Unavailable("the entry did not answer in time");
  std::optional<ConfigDifference> first;
  for (int n = 0; n < kMostRebases; ++n) {
    // Without pruning, what the declarations do not name stays as it is.
    Configuration wanted = request->prune() ? Configuration() : *current;
    for (const auto& [key, it] : declared.models()) wanted.Put(it);
    for (const auto& [key, it] : declared.services()) wanted.Put(it);
    const auto inconsistent = wanted.Inconsistency();
    if (inconsistent) return {grpc::StatusCode::INVALID_ARGUMENT, *inconsistent};
    const ConfigDifference difference = current->DifferenceTo(wanted);
    if (!first) first = difference;
    reply->clear_added();
    reply->clear_changed();
    reply->clear_removed();
    for (const auto& it : difference.added) reply->add_added(it);
    for (const auto& it : difference.changed) reply->add_changed(it);
    for (const auto& it : difference.removed) reply->add_removed(it);
    reply->set_version(current->version());
    if (request->dry_run() || difference.IsEmpty()) return grpc::Status::OK;
    ConfigChange change = current->ChangeTo(wanted);
    change.version = current->version() + 1;
    change.change_id = request->change_id();
    change.author = request->author();
    change.accepted_unix_ms = UnixMs();
    const auto outcome = Accept(change);
    if (!outcome || *outcome == AcceptOutcome::kUnavailable) {
      return Unavailable("the key-value service did not take the change; nothing was accepted");
    }
    if (*outcome == AcceptOutcome::kUnknown) {
      return {grpc::StatusCode::UNKNOWN,
              "the key-value service did not answer; whether version " +
                  std::to_string(change.version) +
                  " was accepted is not known. Apply again with the same change id."};
    }
    if (*outcome == AcceptOutcome::kAccepted) {
      reply->set_version(change.version);
      reply->set_accepted(true);
      return grpc::Status::OK;
    }
    const auto newer = NewerConfiguration(current->version());
    if (!newer)
      return Unavailable("another change was accepted first and has not arrived here yet");
    if (Overlaps(*first, current->DifferenceTo(*newer))) {
      return {grpc::StatusCode::ABORTED,
              "version " + std::to_string(newer->version()) +
                  " was accepted first and touches the same names; look at the difference and "
                  "apply again"};
    }
    current = newer;
  }
  return {grpc::StatusCode::ABORTED, "too many other changes were accepted first"};
}

grpc::Status OperatorServer::Impl::Get(grpc::ServerContext*, const rpc::GetRequest*,
                                       rpc::GetReply* reply) {
  const auto current = CurrentConfiguration();
  if (!current) return Unavailable("the entry did not answer in time");
  reply->set_version(current->version());
  reply->set_declarations_json(EncodeConfiguration(*current));
  return grpc::Status::OK;
}

grpc::Status OperatorServer::Impl::Status(grpc::ServerContext*, const rpc::StatusRequest*,
                                          rpc::StatusReply* reply) {
  const auto filled = OnEntry<rpc::StatusReply>([this] {
    rpc::StatusReply status;
    const EntryCore& core = hooks_.core();
    status.set_vm(vm_);
    status.set_config_version(core.configuration().version());
    status.set_kv_reachable(hooks_.is_kv_reachable());
    status.set_present(core.open_calls());
    for (const auto& it : core.vms().vms) {
      if (it.role != VmRole::kEntry) continue;
      auto* entry = status.add_entries();
      entry->set_vm(it.vm);
      entry->set_rpc(it.rpc.ToString());
      entry->set_leaving(it.is_leaving);
    }
    for (const auto& it : core.Upstreams(MonotonicMs())) {
      auto* upstream = status.add_upstreams();
      upstream->set_vm(it.vm.vm);
      upstream->set_data_hall(it.vm.data_hall);
      upstream->set_role(it.vm.role == VmRole::kEngine ? "engine" : "service");
      upstream->set_service(it.vm.service);
      upstream->set_leaving(it.vm.is_leaving || it.reported_leaving);
      upstream->set_ejected(it.is_ejected);
      upstream->set_in_flight(it.in_flight);
    }
    std::set<std::string> listed;
    const auto add = [&](const std::string& key, std::uint32_t declared) {
      listed.insert(key);
      auto* model = status.add_models();
      model->set_key(key);
      model->set_declared(declared);
      return model;
    };
    for (const auto& record : core.Grants()) {
      const auto declared = core.configuration().models().find(record.key);
      const bool is_declared = declared != core.configuration().models().end();
      if (record.slots.empty() && !is_declared) continue;
      auto* model = add(record.key, is_declared ? declared->second.replicas : 0);
      for (const auto& it : record.slots) {
        auto* slot = model->add_slots();
        slot->set_index(it.index);
        slot->set_vm(it.vm);
        slot->set_token(it.token);
      }
    }
    for (const auto& [key, it] : core.configuration().models()) {
      if (listed.count(key) == 0) add(key, it.replicas);
    }
    return status;
  });
  if (!filled) return Unavailable("the entry did not answer in time");
  *reply = *filled;
  return grpc::Status::OK;
}

grpc::Status OperatorServer::Impl::Drain(grpc::ServerContext*, const rpc::DrainRequest* request,
                                         rpc::DrainReply*) {
  const auto is_known = OnEntry<bool>(
      [this, vm = request->vm(), reason = request->reason()] { return hooks_.drain(vm, reason); });
  if (!is_known) return Unavailable("the entry did not answer in time");
  if (*is_known) return grpc::Status::OK;
  return {grpc::StatusCode::NOT_FOUND, "no upstream is called \"" + request->vm() + "\""};
}

AgentRecords OperatorServer::Impl::AskAgent(const std::string& vm, const std::string& subject) {
  auto done = std::make_shared<std::promise<AgentRecords>>();
  auto result = done->get_future();
  boost::asio::post(io_, [this, done, vm, subject] {
    hooks_.ask_agent(vm, subject,
                     [done](AgentRecords records) { done->set_value(std::move(records)); });
  });
  if (!Wait(result, kAgentWait)) return std::nullopt;
  return result.get();
}

void OperatorServer::Impl::AskPeers(const rpc::WhyRequest& request, const std::vector<VmInfo>& vms,
                                    rpc::WhyReply* reply) {
  for (const auto& it : vms) {
    if (it.role != VmRole::kEntry || it.vm == vm_) continue;
    rpc::WhyRequest local = request;
    local.set_local(true);
    rpc::WhyReply answer;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kPeerWait);
    if (!Dial(it.rpc)->Why(&context, local, &answer).ok()) {
      reply->add_unreachable(it.vm);
      continue;
    }
    reply->set_evicted(reply->evicted() + answer.evicted());
    for (auto& decision : *answer.mutable_decisions()) {
      *reply->add_decisions() = std::move(decision);
    }
  }
}

grpc::Status OperatorServer::Impl::Why(grpc::ServerContext*, const rpc::WhyRequest* request,
                                       rpc::WhyReply* reply) {
  const std::string& subject = request->subject();
  if (subject.empty()) return {grpc::StatusCode::INVALID_ARGUMENT, "subject: expected a name"};
  // A request's own records, and what was decided about its model meanwhile:
  // the placement or load it waited for.
  struct Seen {
    rpc::WhyReply own;
    std::vector<VmInfo> vms;
    std::set<std::string> agents;
  };
  const auto seen = OnEntry<Seen>([this, &subject] {
    Seen seen_here;
    const EntryCore& core = hooks_.core();
    for (const auto& it : RecordsFor(core.decisions(), subject)) {
      FillDecision(it, vm_, seen_here.own.add_decisions());
    }
    seen_here.own.set_evicted(core.decisions().evicted());
    seen_here.vms = core.vms().vms;
    for (const auto& record : core.Grants()) {
      if (record.key != subject) continue;
      for (const auto& slot : record.slots) seen_here.agents.insert(slot.vm);
    }
    return seen_here;
  });
  if (!seen) return Unavailable("the entry did not answer in time");
  *reply = seen->own;
  if (request->local()) return grpc::Status::OK;
  AskPeers(*request, seen->vms, reply);
  // The agents that any entry's records name, and the upstream asked about.
  std::set<std::string> agents = seen->agents;
  std::string key;
  std::int64_t first = INT64_MAX;
  std::int64_t last = 0;
  for (const auto& it : reply->decisions()) {
    if (it.request().empty()) continue;
    key = it.key();
    first = std::min(first, it.at_ms() - kClockSlackMs);
    last = std::max(last, it.at_ms() + kClockSlackMs);
  }
  for (const auto& it : reply->decisions()) agents.insert(it.vm());
  for (const auto& it : seen->vms) {
    if (it.role == VmRole::kEntry) continue;
    if (it.vm != subject && agents.count(it.vm) == 0) continue;
    const AgentRecords records = AskAgent(it.vm, subject);
    if (!records) {
      reply->add_unreachable(it.vm);
      continue;
    }
    FillDecisions(*records, reply, 0, INT64_MAX);
    if (key.empty()) continue;
    const AgentRecords about_key = AskAgent(it.vm, key);
    if (about_key) FillDecisions(*about_key, reply, first, last);
  }
  SortByTime(reply);
  return grpc::Status::OK;
}

grpc::Status OperatorServer::Impl::Burn(grpc::ServerContext*, const rpc::BurnRequest* request,
                                        rpc::BurnReply* reply) {
  struct Seen {
    std::vector<BurnTracker::Entry> own;
    std::vector<VmInfo> vms;
    Configuration configuration;
  };
  const auto seen = OnEntry<Seen>([this, &request] {
    return Seen{hooks_.burn().Report(MonotonicMs(), request->key()), hooks_.core().vms().vms,
                hooks_.core().configuration()};
  });
  if (!seen) return Unavailable("the entry did not answer in time");
  using Windows = std::array<BurnCounts, kBurnWindows.size()>;
  std::map<std::string, Windows> sums;
  for (const auto& it : seen->own) sums[it.key] = it.windows;
  reply->set_entries(1);
  for (const auto& it : seen->vms) {
    if (request->local() || it.role != VmRole::kEntry || it.vm == vm_) continue;
    rpc::BurnRequest local = *request;
    local.set_local(true);
    rpc::BurnReply answer;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kPeerWait);
    if (!Dial(it.rpc)->Burn(&context, local, &answer).ok()) {
      reply->add_unreachable(it.vm);
      continue;
    }
    reply->set_entries(reply->entries() + 1);
    for (const auto& key : answer.keys()) AddWindows(key, &sums[key.key()]);
  }
  for (std::size_t n = 0; n < kBurnCauseCount; ++n) {
    reply->add_causes(std::string(BurnCauseName(static_cast<BurnCause>(n))));
  }
  for (const auto& [key, windows] : sums) {
    const Objectives* objectives = FindObjectives(seen->configuration, key);
    auto* out = reply->add_keys();
    out->set_key(key);
    for (std::size_t n = 0; n < windows.size(); ++n) {
      FillWindow(kBurnWindows[n].name, windows[n], objectives, out->add_windows());
    }
  }
  return grpc::Status::OK;
}

grpc::Status OperatorServer::Impl::Recall(grpc::ServerContext*, const rpc::RecallRequest*,
                                          rpc::RecallReply* reply) {
  const auto filled = OnEntry<rpc::RecallReply>([this] {
    rpc::RecallReply recalled;
    const EntryCore& core = hooks_.core();
    recalled.set_configuration_json(EncodeConfiguration(core.configuration()));
    for (const auto& it : core.Grants()) {
      auto* grant = recalled.add_grants();
      grant->set_key(it.key);
      grant->set_revision(it.revision);
      grant->set_record_json(EncodeGrant(it));
    }
    return recalled;
  });
  if (!filled) return Unavailable("the entry did not answer in time");
  *reply = *filled;
  return grpc::Status::OK;
}

OperatorServer::OperatorServer(boost::asio::io_context& io, std::string vm, OperatorHooks hooks)
    : impl_(std::make_unique<Impl>(io, std::move(vm), std::move(hooks))) {}
OperatorServer::~OperatorServer() { impl_->Stop(); }
std::optional<NetError> OperatorServer::Start(const Endpoint& endpoint) {
  return impl_->Start(endpoint);
}
void OperatorServer::Stop() { impl_->Stop(); }

std::optional<Recalled> RecallFrom(const Endpoint& peer) {
  rpc::RecallReply reply;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kPeerWait);
  if (!Dial(peer)->Recall(&context, rpc::RecallRequest(), &reply).ok()) return std::nullopt;
  auto configuration = DecodeConfiguration(reply.configuration_json(), peer.ToString());
  if (!configuration) return std::nullopt;
  Recalled recalled{std::move(configuration.value()), {}};
  for (const auto& it : reply.grants()) {
    auto record = DecodeGrant(it.record_json(), it.key());
    if (!record) return std::nullopt;
    record.value().revision = it.revision();
    recalled.grants.push_back(std::move(record.value()));
  }
  return recalled;
}

}  // namespace junctionrail::internal

// The entry: callers' HTTP on one side, links to agents on the other, and the
// decision core between them.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

#include "caller_api.h"
#include "config_keeper.h"
#include "daemon.h"
#include "daemon_metrics.h"
#include "junctionrail/burn.h"
#include "junctionrail/entry_core.h"
#include "junctionrail/store.h"
#include "junctionrail/telemetry.h"
#include "operator_service.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kIdleCheckMs = 5000;
constexpr DurationMs kStopCheckMs = 20;
constexpr DurationMs kLimitLogMs = 1000;
constexpr std::uint64_t kCompactEvery = 64;  // Versions.

}  // namespace

class EntryDaemon::Impl : public std::enable_shared_from_this<EntryDaemon::Impl> {
 public:
  Impl(boost::asio::io_context& io, Settings settings);
  std::optional<ListenError> Start();
  void Stop();

 private:
  // One call whose answer is not complete.
  struct Waiting {
    std::shared_ptr<HttpResponder> responder;
    TimeMs arrived_at = 0;
    bool has_first = false;
  };

  EntryOptions Options() const;
  HttpServerOptions ServerOptions();
  void LogLimit(std::string_view event);
  OperatorHooks Hooks();
  void Handle(entry::Event event);
  void Carry(const entry::CallEnded& command);
  void Carry(entry::SendFrame command);
  void Carry(const entry::SendResponseHead& command);
  void Carry(entry::SendResponseChunk command);
  void Carry(const entry::EndResponse& command);
  void Carry(entry::SendResponse command);
  void Carry(const entry::SendRefusal& command);
  void Carry(const entry::AbortResponse& command);
  void Carry(const entry::WriteGrant& command);
  void Carry(const entry::ReadGrant& command);
  void Carry(const entry::ReadConfiguration& command);
  std::vector<HttpHeader> AnswerHeaders(const std::string& id, const std::string& type) const;
  void NoteFirst(Waiting* waiting);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void OnCall(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void OnFrame(const std::string& vm, std::string_view bytes);
  void OnVms(const VmList& list);
  void RecallFromPeers();
  void Compact();
  std::string Metrics() const;
  bool IsReady() const;
  void FinishStop();
  const VmInfo* FindUpstream(const std::string& vm) const;

  boost::asio::io_context& io_;
  Settings settings_;
  EntryCore core_;
  HttpClient http_;
  KvClient kv_;
  std::shared_ptr<ConfigKeeper> keeper_;
  VmListClient vm_list_;
  LinkClient links_;
  std::shared_ptr<ClientMemory> client_memory_;
  HttpServer server_;
  std::unique_ptr<OperatorServer> operators_;
  Timer tick_;
  Timer idle_check_;
  Timer stop_check_;
  std::unordered_map<std::string, Waiting> waiting_;
  std::map<std::string, std::function<void(AgentRecords)>> asked_;
  BadFrames bad_frames_;
  BurnTracker burn_;
  ValueSeries first_byte_ms_;
  ValueSeries whole_ms_;
  std::uint64_t calls_ = 0;
  std::int64_t started_unix_ms_ = UnixMs();
  TimeMs stop_by_ = 0;
  TimeMs limit_logged_at_ = 0;  // 0: never.
  std::uint64_t compacted_ = 0;
  std::uint64_t bad_calls_ = 0;
  bool has_vms_ = false;
  bool has_recalled_ = false;
  bool is_recalling_ = false;
};

EntryDaemon::Impl::Impl(boost::asio::io_context& io, Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      core_(Options()),
      http_(io),
      kv_(http_, settings_.kv),
      vm_list_(io, http_, settings_.vm_list, [this](const VmList& list) { OnVms(list); }),
      links_(
          io,
          LinkClientCallbacks{
              [this](const std::string& vm) {
                const HelloFrame hello{kWireVersion, settings_.id, core_.configuration().version()};
                const VmInfo* info = FindUpstream(vm);
                if (info != nullptr) links_.Send(vm, info->link, EncodeFrame(hello));
              },
              [this](const std::string& vm, std::string_view bytes) { OnFrame(vm, bytes); },
              [this](const std::string& vm, bool was_open) {
                Handle(entry::LinkClosed{vm, was_open});
              }}),
      client_memory_(std::make_shared<ClientMemory>(ClientMemory::Limits{
          ClientMemoryBytes(settings_.memory_mb), settings_.entry.max_body_bytes})),
      server_(io, ServerOptions(),
              [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                OnRequest(std::move(request), std::move(responder));
              }),
      tick_(io),
      idle_check_(io),
      stop_check_(io) {}

HttpServerOptions EntryDaemon::Impl::ServerOptions() {
  HttpServerOptions options;
  options.endpoint = settings_.entry.http;
  options.max_body_bytes = settings_.entry.max_body_bytes;
  options.max_connections = MaxCallerConnections(settings_);
  options.client_memory = client_memory_;
  options.on_limit = [this](std::string_view event) { LogLimit(event); };
  return options;
}

// A crowd meets a limit thousands of times a second.
void EntryDaemon::Impl::LogLimit(std::string_view event) {
  const TimeMs now = MonotonicMs();
  if (limit_logged_at_ != 0 && now - limit_logged_at_ < kLimitLogMs) return;
  limit_logged_at_ = now;
  spdlog::warn("{}: requests of clients hold {} of {} bytes", event, client_memory_->held_bytes(),
               client_memory_->total_bytes());
}

EntryOptions EntryDaemon::Impl::Options() const {
  EntryOptions options;
  options.vm = settings_.id;
  options.data_hall = settings_.data_hall;
  options.seed = RendezvousScore(settings_.id, settings_.incarnation);
  return options;
}

std::optional<ListenError> EntryDaemon::Impl::Start() {
  const auto port = server_.Listen();
  if (!port) return ListenError{"entry.http", port.error().sentence};
  operators_ = std::make_unique<OperatorServer>(io_, settings_.id, Hooks());
  const auto error = operators_->Start(settings_.entry.rpc);
  if (error) return ListenError{"entry.rpc", error->sentence};
  KeeperCallbacks callbacks;
  callbacks.configuration = [this](Configuration it) {
    Handle(entry::ConfigurationRead{std::move(it)});
  };
  callbacks.change = [this](ConfigChange it) {
    Handle(entry::ConfigurationChanged{std::move(it)});
    Compact();
  };
  callbacks.grant = [this](GrantRecord it) { Handle(entry::GrantChanged{std::move(it)}); };
  callbacks.version = [this] { return core_.configuration().version(); };
  callbacks.entries = [this] {
    const auto& vms = core_.vms().vms;
    return static_cast<std::size_t>(std::count_if(
        vms.begin(), vms.end(), [](const VmInfo& it) { return it.role == VmRole::kEntry; }));
  };
  callbacks.unreachable = [this] { RecallFromPeers(); };
  keeper_ = std::make_shared<ConfigKeeper>(io_, kv_, Options().seed, std::move(callbacks));
  keeper_->Start();
  vm_list_.Start(kVmListPeriodMs);
  tick_.Every(kTickMs, [this] { Handle(entry::Ticked{}); });
  idle_check_.Every(kIdleCheckMs, [this] {
    links_.CloseIdle(settings_.entry.idle_link_ms,
                     [this](const std::string& vm) { return core_.InFlight(vm) > 0; });
  });
  spdlog::info("entry {} serves callers at {} and operators at {}", settings_.id,
               settings_.entry.http.ToString(), settings_.entry.rpc.ToString());
  return std::nullopt;
}

void EntryDaemon::Impl::Handle(entry::Event event) {
  std::vector<entry::Command> commands;
  core_.Handle(MonotonicMs(), std::move(event), &commands);
  for (auto& command : commands) {
    std::visit([this](auto& it) { Carry(std::move(it)); }, command);
  }
}

const VmInfo* EntryDaemon::Impl::FindUpstream(const std::string& vm) const {
  for (const auto& it : core_.vms().vms) {
    if (it.vm == vm && it.role != VmRole::kEntry) return &it;
  }
  return nullptr;
}

// ---- Commands --------------------------------------------------------------

void EntryDaemon::Impl::Carry(const entry::CallEnded& command) {
  const Objectives* objectives = FindObjectives(core_.configuration(), command.key);
  if (objectives == nullptr) return;
  const BurnCounts one =
      command.is_answered ? ClassifyResponse(*objectives, command.first_byte_ms, command.was_cold)
                          : ClassifyFailure(RefusalName(command.code));
  burn_.Add(MonotonicMs(), command.key, one);
}

void EntryDaemon::Impl::Carry(entry::SendFrame command) {
  const VmInfo* info = FindUpstream(command.vm);
  if (info == nullptr) {
    // Commands are carried out from inside Handle, so the event waits its turn.
    boost::asio::post(io_, [self = shared_from_this(), vm = command.vm] {
      self->Handle(entry::LinkClosed{vm, false});
    });
    return;
  }
  links_.Send(command.vm, info->link, EncodeFrame(command.frame));
}

std::vector<HttpHeader> EntryDaemon::Impl::AnswerHeaders(const std::string& id,
                                                         const std::string& type) const {
  std::vector<HttpHeader> headers = {{"Junctionrail-Request-Id", id}};
  if (!type.empty()) headers.push_back({"Content-Type", type});
  return headers;
}

void EntryDaemon::Impl::NoteFirst(Waiting* waiting) {
  if (waiting->has_first) return;
  waiting->has_first = true;
  first_byte_ms_.Add(static_cast<double>(MonotonicMs() - waiting->arrived_at));
}

void EntryDaemon::Impl::Carry(const entry::SendResponseHead& command) {
  const auto it = waiting_.find(command.id);
  if (it == waiting_.end()) return;
  NoteFirst(&it->second);
  it->second.responder->Begin(command.status, AnswerHeaders(command.id, command.content_type));
}

void EntryDaemon::Impl::Carry(entry::SendResponseChunk command) {
  const auto it = waiting_.find(command.id);
  if (it != waiting_.end()) it->second.responder->Piece(std::move(command.data));
}

void EntryDaemon::Impl::Carry(const entry::EndResponse& command) {
  const auto it = waiting_.find(command.id);
  if (it == waiting_.end()) return;
  whole_ms_.Add(static_cast<double>(MonotonicMs() - it->second.arrived_at));
  it->second.responder->End();
  waiting_.erase(it);
}

void EntryDaemon::Impl::Carry(entry::SendResponse command) {
  const auto it = waiting_.find(command.id);
  if (it == waiting_.end()) return;
  NoteFirst(&it->second);
  whole_ms_.Add(static_cast<double>(MonotonicMs() - it->second.arrived_at));
  it->second.responder->Whole(command.status, AnswerHeaders(command.id, command.content_type),
                              std::move(command.body));
  waiting_.erase(it);
}

void EntryDaemon::Impl::Carry(const entry::SendRefusal& command) {
  const auto it = waiting_.find(command.id);
  if (it == waiting_.end()) return;
  it->second.responder->Whole(RefusalStatus(command.refusal),
                              RefusalHeaders(command.refusal, command.id),
                              RefusalBody(command.refusal, command.id));
  waiting_.erase(it);
}

void EntryDaemon::Impl::Carry(const entry::AbortResponse& command) {
  const auto it = waiting_.find(command.id);
  if (it == waiting_.end()) return;
  it->second.responder->Piece("data: " + RefusalBody(command.refusal, command.id) + "\n\n");
  it->second.responder->Break();
  waiting_.erase(it);
}

void EntryDaemon::Impl::Carry(const entry::WriteGrant& command) {
  const std::string key = command.record.key;
  WriteGrantRecord(kv_, command.record,
                   [self = shared_from_this(), key](Result<GrantWrite, KvError> write) {
                     if (!write)
                       return self->Handle(entry::GrantOperationEnded{key, false, false, {}});
                     self->Handle(entry::GrantOperationEnded{key, write.value().is_written, true,
                                                             std::move(write.value().record)});
                   });
}

void EntryDaemon::Impl::Carry(const entry::ReadGrant& command) {
  const std::string key = command.key;
  ReadGrantRecord(kv_, key, [self = shared_from_this(), key](Result<GrantRecord, KvError> read) {
    if (!read) return self->Handle(entry::GrantOperationEnded{key, false, false, {}});
    self->Handle(entry::GrantOperationEnded{key, false, true, std::move(read.value())});
  });
}

void EntryDaemon::Impl::Carry(const entry::ReadConfiguration&) { keeper_->ReadAgain(); }

// ---- Callers ---------------------------------------------------------------

void EntryDaemon::Impl::OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/healthz") return responder->Whole(200, {{"Content-Type", "text/plain"}}, "ok\n");
  if (path == "/readyz") {
    const bool is_ready = IsReady();
    return responder->Whole(is_ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                            is_ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics") {
    return responder->Whole(200, {{"Content-Type", "text/plain; version=0.0.4"}}, Metrics());
  }
  if (path == "/v1/models" && request.method == "GET") {
    return responder->Whole(200, {{"Content-Type", "application/json"}},
                            ModelsBody(core_.configuration()));
  }
  OnCall(std::move(request), std::move(responder));
}

void EntryDaemon::Impl::OnCall(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  auto read =
      ReadCall(std::move(request), core_.configuration(), settings_.entry.default_deadline_ms);
  if (const auto* bad = std::get_if<BadRequest>(&read)) {
    ++bad_calls_;
    return responder->Whole(bad->status, {{"Content-Type", "application/json"}},
                            BadRequestBody(*bad));
  }
  auto& call = std::get<entry::CallArrived>(read);
  const std::string id =
      settings_.id + "-" + std::to_string(started_unix_ms_) + "-" + std::to_string(++calls_);
  call.id = id;
  if (!IsReady() && !core_.IsStopping()) {
    const Refusal refusal{RefusalCode::kNoUpstream, "this entry has not read its configuration yet",
                          Ran::kNo, 1000};
    return responder->Whole(RefusalStatus(refusal), RefusalHeaders(refusal, id),
                            RefusalBody(refusal, id));
  }
  waiting_[id] = Waiting{responder, MonotonicMs(), false};
  Handle(std::move(call));
  // A call that was refused at once has its answer already.
  if (waiting_.count(id) == 0) return;
  responder->OnGone([weak = weak_from_this(), id] {
    const auto self = weak.lock();
    if (!self || self->waiting_.erase(id) == 0) return;
    self->Handle(entry::CallerDisconnected{id});
  });
}

bool EntryDaemon::Impl::IsReady() const {
  const bool has_state = (keeper_ && keeper_->HasRead()) || has_recalled_;
  return has_state && has_vms_ && !core_.IsStopping();
}

// ---- Agents and the platform -----------------------------------------------

void EntryDaemon::Impl::OnFrame(const std::string& vm, std::string_view bytes) {
  auto frame = DecodeFrame(bytes);
  if (!frame) {
    ++bad_frames_[std::string(WireErrorName(frame.error()))];
    return links_.Close(vm, WireErrorName(frame.error()));
  }
  if (const auto* hello = std::get_if<HelloFrame>(&frame.value())) {
    if (hello->wire_version == kWireVersion) return;
    ++bad_frames_["other_version"];
    return links_.Close(vm, "other_version");
  }
  if (auto* why = std::get_if<WhyAnswerFrame>(&frame.value())) {
    const auto it = asked_.find(why->id);
    if (it == asked_.end()) return;
    it->second(std::move(why->records));
    asked_.erase(it);
    return;
  }
  Handle(entry::FrameArrived{vm, std::move(frame.value())});
}

void EntryDaemon::Impl::OnVms(const VmList& list) {
  if (!has_vms_) spdlog::info("the platform lists {} VMs", list.vms.size());
  has_vms_ = true;
  Handle(entry::VmsChanged{list});
}

// While the key-value service is away, a peer's state is better than none: it
// may be behind but was in force. Asking blocks, so it has its own thread.
void EntryDaemon::Impl::RecallFromPeers() {
  if (has_recalled_ || is_recalling_ || keeper_->HasRead() || !has_vms_) return;
  std::vector<Endpoint> peers;
  for (const auto& it : core_.vms().vms) {
    if (it.role == VmRole::kEntry && it.vm != settings_.id) peers.push_back(it.rpc);
  }
  if (peers.empty()) return;
  is_recalling_ = true;
  std::thread([weak = weak_from_this(), peers, &io = io_] {
    std::optional<Recalled> found;
    for (const auto& it : peers) {
      found = RecallFrom(it);
      if (found) break;
    }
    boost::asio::post(io, [weak, found = std::move(found)]() mutable {
      const auto self = weak.lock();
      if (!self) return;
      self->is_recalling_ = false;
      if (!found || self->keeper_->HasRead()) return;
      self->Handle(entry::ConfigurationRead{std::move(found->configuration)});
      for (auto& it : found->grants) self->Handle(entry::GrantChanged{std::move(it)});
      self->has_recalled_ = true;
      spdlog::warn("started from another entry's configuration {}: the key-value service is away",
                   self->core_.configuration().version());
    });
  }).detach();
}

// One entry, the first in rendezvous order, folds the log into the snapshot.
void EntryDaemon::Impl::Compact() {
  const std::uint64_t version = core_.configuration().version();
  if (version < compacted_ + kCompactEvery) return;
  const std::uint64_t own = RendezvousScore(kSnapshotKey, settings_.id);
  for (const auto& it : core_.vms().vms) {
    const bool is_before = it.role == VmRole::kEntry && it.vm != settings_.id &&
                           RendezvousScore(kSnapshotKey, it.vm) > own;
    if (is_before) return;
  }
  compacted_ = version;
  CompactInto(kv_, core_.configuration(), [version](bool ok) {
    if (ok) spdlog::info("the configuration's snapshot holds version {}", version);
  });
}

// ---- Operators -------------------------------------------------------------

OperatorHooks EntryDaemon::Impl::Hooks() {
  OperatorHooks hooks;
  hooks.core = [this]() -> const EntryCore& { return core_; };
  hooks.burn = [this]() -> const BurnTracker& { return burn_; };
  hooks.is_kv_reachable = [this] { return keeper_->IsReachable(); };
  hooks.accept = [this](const ConfigChange& change, AcceptDone done) {
    AcceptChange(kv_, change, [this, change, done = std::move(done)](AcceptOutcome outcome) {
      if (outcome == AcceptOutcome::kAccepted) Handle(entry::ConfigurationChanged{change});
      done(outcome);
    });
  };
  hooks.drain = [this](const std::string& vm, const std::string& reason) {
    const VmInfo* info = FindUpstream(vm);
    if (info == nullptr) return false;
    links_.Send(vm, info->link, EncodeFrame(DrainFrame{reason}));
    return true;
  };
  hooks.ask_agent = [this](const std::string& vm, const std::string& subject,
                           std::function<void(AgentRecords)> done) {
    const VmInfo* info = FindUpstream(vm);
    if (info == nullptr) return done(std::nullopt);
    const std::string id = "why-" + std::to_string(++calls_);
    asked_[id] = std::move(done);
    links_.Send(vm, info->link, EncodeFrame(WhyFrame{id, subject}));
  };
  return hooks;
}

std::string EntryDaemon::Impl::Metrics() const {
  MetricsPage page;
  AddCounters(core_.counters(), &page);
  page.Summary("junctionrail_first_byte_ms", "Time to the first byte of an answer.",
               first_byte_ms_);
  page.Summary("junctionrail_whole_answer_ms", "Time to the end of an answer.", whole_ms_);
  page.Gauge("junctionrail_config_version", "Configuration in force.",
             static_cast<double>(core_.configuration().version()));
  page.Counter("junctionrail_bad_calls_total", "Calls that were wrong in themselves.",
               bad_calls_ + server_.counters().bad_requests);
  AddServer(server_.counters(), *client_memory_, &page);
  AddShared(core_.open_calls(), links_.open_links(), bad_frames_, kv_.counters(), &page);
  return page.text();
}

// ---- Stopping --------------------------------------------------------------

void EntryDaemon::Impl::Stop() {
  if (core_.IsStopping()) return;
  spdlog::info("entry {} stops: {} calls to finish", settings_.id, core_.open_calls());
  Handle(entry::StopRequested{});
  stop_by_ = MonotonicMs() + settings_.drain_ms;
  stop_check_.Every(kStopCheckMs, [self = shared_from_this()] { self->FinishStop(); });
}

void EntryDaemon::Impl::FinishStop() {
  if (core_.open_calls() > 0 && MonotonicMs() < stop_by_) return;
  spdlog::info("entry {} has stopped with {} calls unfinished", settings_.id, core_.open_calls());
  stop_check_.Cancel();
  tick_.Cancel();
  idle_check_.Cancel();
  keeper_->Stop();
  vm_list_.Stop();
  server_.Stop();
  links_.Stop();
  operators_.reset();
  // The last answers may still be on their way out.
  auto last = std::make_shared<Timer>(io_);
  last->After(kStopCheckMs, [last, &io = io_] { io.stop(); });
}

EntryDaemon::EntryDaemon(boost::asio::io_context& io, Settings settings)
    : impl_(std::make_shared<Impl>(io, std::move(settings))) {}
EntryDaemon::~EntryDaemon() = default;
std::optional<ListenError> EntryDaemon::Start() { return impl_->Start(); }
void EntryDaemon::Stop() { impl_->Stop(); }

}  // namespace junctionrail::internal

// The agent: links from entries on one side, its one upstream on the other,
// and the decision core between them.
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cmath>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "daemon.h"
#include "daemon_metrics.h"
#include "engine_client.h"
#include "junctionrail/agent_core.h"
#include "junctionrail/store.h"
#include "junctionrail/telemetry.h"

namespace junctionrail::internal {
namespace {

constexpr DurationMs kStopCheckMs = 20;
constexpr DurationMs kConnectMs = 500;
constexpr DurationMs kReadSpreadMsPerUpstream = 4;
constexpr DurationMs kLongestReadSpreadMs = 10000;
constexpr DurationMs kSilentUpstreamMs = 10LL * 60 * 1000;
constexpr unsigned kUnavailable = 503;
// Of a longer rest as much is kept: then one call finds out whether it still holds.
constexpr double kLongestRestS = 3600;
constexpr double kMsPerS = 1000;

// What a field of a refusal asks for (RFC 9110, section 10.2.3); a date, or what cannot be read,
// asks for nothing.
DurationMs RestOf(const HttpHeader& field) {
  double seconds = 0;
  const bool is_rest = absl::EqualsIgnoreCase(field.name, "Retry-After") &&
                       absl::SimpleAtod(field.value, &seconds) && seconds > 0;
  if (!is_rest) return 0;
  return static_cast<DurationMs>(std::ceil(std::min(seconds, kLongestRestS) * kMsPerS));
}

}  // namespace

class AgentDaemon::Impl : public std::enable_shared_from_this<AgentDaemon::Impl> {
 public:
  Impl(boost::asio::io_context& io, Settings settings);
  std::optional<ListenError> Start();
  void Stop();

 private:
  AgentOptions Options() const;
  void Handle(agent::Event event);
  void CarryAll(std::vector<agent::Command>* commands);
  void Carry(const agent::SendFrame& command);
  void Carry(agent::Dispatch command);
  void Carry(const agent::CancelDispatch& command);
  void Carry(const agent::LoadModel& command);
  void Carry(const agent::UnloadModel& command);
  void Carry(const agent::QueryInventory& command);
  void Carry(const agent::FenceEngine& command);
  void Carry(const agent::FreeGrant& command);
  void Carry(const agent::ReadGrants& command);
  void Carry(const agent::Exit& command);
  void ReadGrantsNow();
  void OnMessage(LinkId link, std::string_view bytes);
  void OnVms(const VmList& list);
  void OnRequest(const HttpRequest& request, HttpResponder* responder);
  std::string Metrics() const;
  void Finish();

  boost::asio::io_context& io_;
  Settings settings_;
  AgentCore core_;
  HttpClient http_;
  KvClient kv_;
  EngineClient engine_;
  VmListClient vm_list_;
  LinkServer links_;
  HttpServer server_;
  Timer tick_;
  Timer stop_limit_;
  Timer read_spread_;
  std::size_t upstreams_ = 0;  // On the platform's list; 0 before it is known.
  bool wants_grants_ = false;
  bool is_reading_grants_ = false;
  std::unordered_map<std::string, std::shared_ptr<HttpCallHandle>> dispatched_;
  BadFrames bad_frames_;
  bool is_stopping_ = false;
  bool is_finished_ = false;
};

AgentDaemon::Impl::Impl(boost::asio::io_context& io, Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      core_(Options()),
      http_(io),
      kv_(http_, settings_.kv),
      engine_(http_, settings_.agent.upstream),
      vm_list_(io, http_, settings_.vm_list, [this](const VmList& list) { OnVms(list); }),
      links_(io, LinkServerCallbacks{
                     [this](LinkId link) {
                       links_.Send(link, EncodeFrame(HelloFrame{kWireVersion, settings_.id, 0}));
                     },
                     [this](LinkId link, std::string_view bytes) { OnMessage(link, bytes); },
                     [this](LinkId link) { Handle(agent::LinkClosed{link}); }}),
      server_(io, HttpServerOptions{settings_.agent.http, 1 << 16, 16 << 10, 1 << 20, 100},
              [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                OnRequest(request, responder.get());
              }),
      tick_(io),
      stop_limit_(io),
      read_spread_(io) {}

AgentOptions AgentDaemon::Impl::Options() const {
  const AgentSettings& from = settings_.agent;
  AgentOptions options;
  options.vm = settings_.id;
  options.kind = from.upstream_kind;
  options.upstream_checks_fencing = from.upstream_checks_fencing;
  options.max_concurrent = from.max_concurrent;
  options.max_queue_requests = from.max_queue_requests;
  options.max_queue_bytes = from.max_queue_bytes;
  options.idle_policy =
      WeightedCost{from.cold_start_weight, from.idle_weight, from.longest_idle_ms};
  options.clock_skew_ms = from.clock_skew_ms;
  options.started_unix_ms = UnixMs();
  return options;
}

std::optional<ListenError> AgentDaemon::Impl::Start() {
  // The link's port first: a second agent on this VM must not get any further.
  const auto link_port = links_.Listen(settings_.agent.link);
  if (!link_port) return ListenError{"agent.link", link_port.error().sentence};
  const auto http_port = server_.Listen();
  if (!http_port) return ListenError{"agent.http", http_port.error().sentence};
  std::vector<agent::Command> commands;
  core_.Start(MonotonicMs(), &commands);
  CarryAll(&commands);
  vm_list_.Start(kVmListPeriodMs);
  tick_.Every(kTickMs, [this] { Handle(agent::Ticked{UnixMs()}); });
  spdlog::info("agent {} takes links at {} before the upstream {}", settings_.id,
               settings_.agent.link.ToString(), settings_.agent.upstream.ToString());
  return std::nullopt;
}

void AgentDaemon::Impl::Handle(agent::Event event) {
  std::vector<agent::Command> commands;
  core_.Handle(MonotonicMs(), std::move(event), &commands);
  CarryAll(&commands);
}

void AgentDaemon::Impl::CarryAll(std::vector<agent::Command>* commands) {
  for (auto& command : *commands) {
    std::visit([this](auto& it) { Carry(std::move(it)); }, command);
  }
}

// ---- Commands --------------------------------------------------------------

void AgentDaemon::Impl::Carry(const agent::SendFrame& command) {
  links_.Send(command.link, EncodeFrame(command.frame));
}

void AgentDaemon::Impl::Carry(agent::Dispatch command) {
  HttpCall call;
  call.endpoint = settings_.agent.upstream;
  call.method = command.method;
  call.target = command.path;
  if (!command.content_type.empty()) {
    call.headers.push_back({"Content-Type", command.content_type});
  }
  if (!command.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", command.idempotency_key});
  }
  call.body = std::move(command.body);
  call.connect_ms = kConnectMs;
  call.quiet_ms = kSilentUpstreamMs;
  call.max_answer_bytes = 0;  // Passed on in pieces.
  // A connection used before may be closing: a call to a plain service, which
  // may not be repeatable, never risks an unknown outcome for it.
  call.is_fresh = settings_.agent.upstream_kind == UpstreamKind::kService;
  const std::string id = command.id;
  HttpCallbacks callbacks;
  const auto is_refusal = std::make_shared<bool>(false);
  callbacks.head = [this, id, is_refusal](unsigned status, const std::string& content_type) {
    *is_refusal = status == kUnavailable;
    Handle(agent::UpstreamHead{id, status, content_type});
  };
  callbacks.header = [this, is_refusal](const HttpHeader& header) {
    const DurationMs rest_ms = *is_refusal ? RestOf(header) : 0;
    if (rest_ms > 0) Handle(agent::UpstreamBackoff{rest_ms});
  };
  callbacks.piece = [this, id](std::string data) {
    Handle(agent::UpstreamChunk{id, std::move(data)});
  };
  callbacks.done = [this, id] {
    dispatched_.erase(id);
    Handle(agent::UpstreamEnd{id});
  };
  callbacks.failed = [this, id](bool was_sent, const std::string& reason) {
    dispatched_.erase(id);
    Handle(agent::UpstreamFailed{id, was_sent, reason});
  };
  dispatched_[id] = http_.Start(std::move(call), std::move(callbacks));
}

void AgentDaemon::Impl::Carry(const agent::CancelDispatch& command) {
  const auto it = dispatched_.find(command.id);
  if (it == dispatched_.end()) return;
  it->second->Cancel();
  dispatched_.erase(it);
}

void AgentDaemon::Impl::Carry(const agent::LoadModel& command) {
  spdlog::info("load {} on accelerator {}", command.key, command.accelerator);
  engine_.Load(command,
               [this, key = command.key, order = command.operation_id](OrderResult result) {
                 spdlog::info("load {} {}", key,
                              result.outcome == OperationOutcome::kDone ? "done" : result.detail);
                 Handle(agent::LoadEnded{key, order, result.outcome, std::move(result.detail)});
               });
}

void AgentDaemon::Impl::Carry(const agent::UnloadModel& command) {
  spdlog::info("unload {}", command.key);
  engine_.Unload(command,
                 [this, key = command.key, order = command.operation_id](OrderResult result) {
                   Handle(agent::UnloadEnded{key, order, result.outcome});
                 });
}

void AgentDaemon::Impl::Carry(const agent::QueryInventory& command) {
  engine_.Inventory([this, asked = command.query_id](std::optional<EngineInventory> inventory) {
    if (!inventory) return Handle(agent::InventoryFailed{});
    Handle(agent::InventoryArrived{asked, std::move(inventory->accelerators_mb),
                                   std::move(inventory->models)});
  });
}

void AgentDaemon::Impl::Carry(const agent::FenceEngine& command) {
  engine_.Fence(command.operation_id, [this](bool ok) { Handle(agent::FenceDone{ok}); });
}

void AgentDaemon::Impl::Carry(const agent::FreeGrant& command) {
  FreeGrantSlot(kv_, command.key, command.token,
                [this, key = command.key, token = command.token](bool ok) {
                  Handle(agent::GrantFreed{key, token, ok});
                });
}

// A hall that comes back starts hundreds of agents at once, and each reads all
// grants: their reads are spread over a time that grows with the fleet.
void AgentDaemon::Impl::Carry(const agent::ReadGrants&) {
  if (is_reading_grants_) return;
  wants_grants_ = upstreams_ == 0;  // The list comes first; it starts the read.
  if (wants_grants_) return;
  is_reading_grants_ = true;
  const DurationMs spread = std::min<DurationMs>(
      kLongestReadSpreadMs, static_cast<DurationMs>(upstreams_) * kReadSpreadMsPerUpstream);
  std::mt19937_64 random(RendezvousScore(settings_.id, settings_.incarnation));
  std::uniform_int_distribution<DurationMs> any(0, spread);
  read_spread_.After(any(random), [this] { ReadGrantsNow(); });
}

void AgentDaemon::Impl::ReadGrantsNow() {
  const auto done = [this](Result<StoredGrants, KvError> read) {
    is_reading_grants_ = false;
    if (!read) return;
    agent::GrantsRead event;
    for (const auto& record : read.value().records) {
      event.seen.push_back({record.key, record.last_token});
      for (const auto& slot : record.slots) {
        const bool is_own = slot.vm == settings_.id && slot.incarnation == settings_.incarnation;
        if (is_own) event.held.push_back({record.key, slot.index, slot.token});
      }
    }
    Handle(std::move(event));
  };
  TakeOverGrants(kv_, settings_.id, settings_.incarnation, done);
}

void AgentDaemon::Impl::Carry(const agent::Exit&) {
  is_stopping_ = true;
  Finish();
}

// ---- What arrives ----------------------------------------------------------

void AgentDaemon::Impl::OnMessage(LinkId link, std::string_view bytes) {
  auto frame = DecodeFrame(bytes);
  if (!frame) {
    const std::string_view reason = WireErrorName(frame.error());
    ++bad_frames_[std::string(reason)];
    return links_.Close(link, reason);
  }
  const auto* hello = std::get_if<HelloFrame>(&frame.value());
  if (hello != nullptr && hello->wire_version != kWireVersion) {
    ++bad_frames_["other_version"];
    return links_.Close(link, "other_version");
  }
  Handle(agent::FrameArrived{link, std::move(frame.value())});
}

void AgentDaemon::Impl::OnVms(const VmList& list) {
  agent::PeersChanged peers;
  peers.unix_ms = UnixMs();
  std::string service;
  upstreams_ = 0;
  for (const auto& it : list.vms) {
    if (it.role != VmRole::kEntry) ++upstreams_;
    if (it.vm != settings_.id) continue;
    service = it.service;
    const bool is_own = it.incarnation == settings_.incarnation;
    if (is_own && it.is_leaving) Handle(agent::LeaveRequested{true, "the platform's list says so"});
  }
  if (wants_grants_) Carry(agent::ReadGrants{});
  if (settings_.agent.upstream_kind != UpstreamKind::kService) return;
  for (const auto& it : list.vms) {
    const bool is_peer = it.role == VmRole::kService && it.service == service && !it.is_leaving;
    if (is_peer) peers.peers.push_back({it.vm});
  }
  Handle(std::move(peers));
}

void AgentDaemon::Impl::OnRequest(const HttpRequest& request, HttpResponder* responder) {
  const std::vector<HttpHeader> text = {{"Content-Type", "text/plain; version=0.0.4"}};
  if (request.target == "/healthz") return responder->Whole(200, text, "ok\n");
  if (request.target == "/readyz") {
    const bool is_ready = core_.IsReady();
    return responder->Whole(is_ready ? 200 : 503, text, is_ready ? "ready\n" : "not ready\n");
  }
  if (request.target == "/metrics") return responder->Whole(200, text, Metrics());
  responder->Whole(404, text, "no such path\n");
}

std::string AgentDaemon::Impl::Metrics() const {
  MetricsPage page;
  AddCounters(core_.counters(), &page);
  for (const auto& it : core_.Replicas()) {
    page.Gauge("junctionrail_replica_loaded", "Whether the upstream holds the replica.",
               it.state == ReplicaState::kLoaded ? 1 : 0, {{"key", it.key}});
  }
  AddShared(core_.open_requests(), links_.open_links(), bad_frames_, kv_.counters(), &page);
  return page.text();
}

// ---- Stopping --------------------------------------------------------------

void AgentDaemon::Impl::Stop() {
  if (is_stopping_) return;
  is_stopping_ = true;
  spdlog::info("agent {} stops: {} calls to finish", settings_.id, core_.open_requests());
  stop_limit_.After(settings_.drain_ms, [this] { Finish(); });
  Handle(agent::LeaveRequested{false, "a planned stop of this process"});
}

void AgentDaemon::Impl::Finish() {
  if (is_finished_) return;
  is_finished_ = true;
  spdlog::info("agent {} has stopped with {} calls unfinished", settings_.id,
               core_.open_requests());
  tick_.Cancel();
  stop_limit_.Cancel();
  vm_list_.Stop();
  server_.Stop();
  links_.Stop();
  // The last frames may still be on their way out.
  auto last = std::make_shared<Timer>(io_);
  last->After(kStopCheckMs, [last, &io = io_] { io.stop(); });
}

AgentDaemon::AgentDaemon(boost::asio::io_context& io, Settings settings)
    : impl_(std::make_shared<Impl>(io, std::move(settings))) {}
AgentDaemon::~AgentDaemon() = default;
std::optional<ListenError> AgentDaemon::Start() { return impl_->Start(); }
void AgentDaemon::Stop() { impl_->Stop(); }

}  // namespace junctionrail::internal

#include "upstreams.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace junctionrail::soak {
namespace {

using nlohmann::json;
using testing::SeenRequest;

constexpr DurationMs kStoreLoadMs = 500;
constexpr DurationMs kDiskLoadMs = 120;
constexpr DurationMs kEventMs = 15;
// One stream in so many is slow, and lasts for a large part of a stop's grace time.
constexpr DurationMs kSlowEventMs = 180;
constexpr std::uint64_t kSlowOneIn = 5;
// From the beginning of a deadly run to the engine's end, and to its next start.
constexpr DurationMs kDeadlyRunMs = 60;
constexpr DurationMs kRestartMs = 1000;
constexpr DurationMs kPlainMs = 10;
// How long at least an upstream serves on after it said that it leaves, and for how much longer at
// most; then it ends.
constexpr DurationMs kLeavingMs = 4000;
constexpr std::uint64_t kLeavingSpreadMs = 4000;
constexpr DurationMs kRestMs = 1500;
constexpr DurationMs kRecordPeriodMs = 1000;
constexpr char kVersions[][3] = {"v1", "v2"};
// The other streams have neither a length nor chunks.
constexpr int kChunkedPercent = 75;
// The other late surplus answers end with their connection.
constexpr int kFramedSurplusPercent = 30;
constexpr int kLeastEvents = 5;
constexpr int kMoreEvents = 25;

std::string Head(const std::string& id, int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
         (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + fields + "\r\n";
}

std::string Whole(const std::string& id, int status, const std::string& fields,
                  const std::string& body) {
  return Head(id, status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

Upstream::Upstream(boost::asio::io_context& io, testing::StandinStore& store, Judge& judge,
                   Random& random, std::string name, bool is_engine, Endpoint inner,
                   std::string hall)
    : io_(io),
      store_(store),
      judge_(judge),
      random_(random),
      name_(std::move(name)),
      is_engine_(is_engine),
      inner_(std::move(inner)),
      address_(inner_),
      hall_(std::move(hall)) {}

bool Upstream::Happens(int percent) { return static_cast<int>(random_() % 100) < percent; }

bool Upstream::HarmHappens(int percent) {
  const bool happens = Happens(percent);
  if (happens) judge_.OnHarmed(instance_);
  return happens;
}

void Upstream::After(DurationMs delay, std::function<void()> call) {
  auto timer = std::make_shared<Timer>(io_);
  timer->After(delay, [timer, call = std::move(call), life = std::weak_ptr<int>(life_)] {
    if (life.lock()) call();
  });
}

void Upstream::Start() {
  Crash();
  life_ = std::make_shared<int>(0);
  instance_ = name_ + "-" + std::to_string(++starts_);
  version_ = kVersions[random_() % std::size(kVersions)];
  drained_at_ = 0;
  is_recorded_ = true;
  need_ = {};
  loaded_.clear();
  loading_.reset();
  sequence_ = 0;
  listener_ = std::make_unique<testing::ScriptedUpstream>(
      io_, [this](const SeenRequest& request, const Peer& peer) { OnRequest(request, peer); },
      inner_);
  judge_.OnStarted(instance_, hall_);
  tells_cold_ = Happens(75);
  cold_until_ = 0;
  if (Happens(60)) GoCold(false);
  RecordPeriodically();
}

void Upstream::GoCold(bool is_return) {
  cold_until_ = MonotonicMs() + kColdMs;
  judge_.OnCold(instance_, kColdMs, is_return);
  Record();
}

void Upstream::RecordPeriodically() {
  Record();
  After(kRecordPeriodMs, [this] { RecordPeriodically(); });
}

void Upstream::Crash() {
  if (!listener_) return;
  judge_.OnHarmed(instance_);
  silent_until_ = 0;
  life_.reset();
  listener_->Crash();
  listener_.reset();
  store_.Remove("servers/" + instance_);
}

void Upstream::StartIfDue() {
  if (restart_at_ == 0 || MonotonicMs() < restart_at_) return;
  restart_at_ = 0;
  if (!is_running()) Start();
}

void Upstream::FallSilent(DurationMs silent_ms) {
  if (!is_running() || MonotonicMs() < silent_until_) return;
  silent_until_ = MonotonicMs() + silent_ms;
  listener_->SetSilent(true);
  After(silent_ms, [this] { listener_->SetSilent(false); });
}

void Upstream::SetNeed(double limit_per_s, int turned_away) {
  if (limit_per_s == 0) judge_.OnLimitLifted(instance_);
  need_.limit_per_s = limit_per_s;
  need_.turned_away = turned_away;
}

std::string Upstream::Notices(const std::string& request, const Peer& peer) {
  std::string fields;
  if (need_.limit_per_s > 0) {
    fields += "Server-Limit: " + std::to_string(need_.limit_per_s) + "\r\n";
    OnceSent(peer, [this, request, per_s = need_.limit_per_s] {
      judge_.OnLimitNamed(request, instance_, per_s);
    });
  }
  if (need_.says_leaving) {
    fields += "Server-Leaving: 1\r\n";
    OnceSent(peer, [this, request] { judge_.OnSaidLeaving(request, instance_); });
  }
  return fields;
}

void Upstream::Drain(bool is_told) {
  if (!listener_ || drained_at_ != 0) return;
  need_.says_leaving = Happens(50);
  drained_at_ = MonotonicMs();
  is_recorded_ = is_told;
  judge_.OnLeaving(instance_);
  if (is_told) {
    Record();
  } else {
    store_.Remove("servers/" + instance_);
  }
  const auto more_ms = static_cast<DurationMs>(random_() % kLeavingSpreadMs);
  After(kLeavingMs + more_ms, [this] { boost::asio::post(io_, [this] { Start(); }); });
}

json Upstream::RecordDocument() const {
  json models = json::array();
  for (const auto& [model, adapters] : loaded_) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
  }
  json record = {{"service", is_engine_ ? kEngineService : kPlainService},
                 {"address", address_.ToString()},
                 {"zone", hall_},
                 {"version", version_},
                 {"slots", 16},
                 {"state", drained_at_ != 0 ? "draining" : "ready"},
                 {"models", models},
                 {"sequence", sequence_}};
  const DurationMs cold_ms = std::max<DurationMs>(0, cold_until_ - MonotonicMs());
  if (tells_cold_) record["coldRemainingMs"] = cold_ms;
  return record;
}

void Upstream::Record() {
  if (is_recorded_) store_.Put("servers/" + instance_, RecordDocument().dump());
}

// Bytes that cannot be read, a field of another type, or one that is missing.
void Upstream::SpoilRecord() {
  if (!is_running() || !is_recorded_) return;
  constexpr const char* kFields[] = {"service", "address", "zone",           "slots",
                                     "state",   "models",  "coldRemainingMs"};
  const char* field = kFields[random_() % std::size(kFields)];
  json record = RecordDocument();
  std::string text;
  switch (random_() % 4) {
    case 0:
      text = std::string("\xff\x00\xfe{", 4);
      break;
    case 1:
      text = record.dump();
      text.resize(text.size() / 2);
      break;
    case 2:
      record.erase(field);
      text = record.dump();
      break;
    default:
      record[field] = record[field].is_string() ? json(17) : json("seventeen");
      text = record.dump();
  }
  judge_.OnSpoiledRecord(instance_);
  store_.Put("servers/" + instance_, text);
}

void Upstream::OnRequest(const SeenRequest& request, const Peer& peer) {
  const std::string line = request.Line();
  if (line.rfind("GET /report", 0) == 0) return Report(peer);
  if (line.rfind("POST /order", 0) == 0) return Order(request, peer);
  const std::string id = request.Field("Attempt-Id");
  judge_.retries.OnArrival(is_engine_ ? kEngineService : kPlainService, id);
  if (request.Field("Expect-Instance") != instance_) {
    return peer->Write(Whole(id, 421, "Instance-Id: " + instance_ + "\r\n", ""));
  }
  judge_.OnArrival(id, instance_);
  if (Happens(need_.turned_away)) {
    TellDone(id);
    OnceSent(peer, [this, id] { judge_.OnRestAsked(id, instance_, kRestMs); });
    return peer->Write(
        Whole(id, 503, "Not-Executed: 1\r\nRetry-After: 1.5\r\n" + Notices(id, peer), ""));
  }
  is_engine_ ? Run(request, peer) : RunPlain(request, peer);
}

bool Upstream::Holds(const std::string& model) const {
  const std::size_t slash = model.find('/');
  const auto it = loaded_.find(model.substr(0, slash));
  if (it == loaded_.end()) return false;
  if (slash == std::string::npos) return true;
  const auto& adapters = it->second;
  return std::find(adapters.begin(), adapters.end(), model.substr(slash + 1)) != adapters.end();
}

void Upstream::Report(const Peer& peer) {
  json models = json::array();
  for (const auto& [model, adapters] : loaded_) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
  }
  const json report = {
      {"models", models},      {"busyCount", loading_.has_value()},
      {"sequence", sequence_}, {"waiting", 0},
      {"running", 0},          {"kvUsed", 0},
      {"kvTotal", 1000},       {"atHand", {{"inMemory", json::array()}, {"onDisk", on_disk_}}}};
  peer->Write(Whole("", 200, "", report.dump()));
}

void Upstream::Order(const SeenRequest& request, const Peer& peer) {
  const json order = json::parse(request.body, nullptr, false);
  if (request.Field("Expect-Instance") != instance_ || !order.is_object()) {
    return peer->Write(Whole("", 421, "Instance-Id: " + instance_ + "\r\n", ""));
  }
  judge_.OnOrder(instance_, order.value("holder", ""), order.value("fence", std::int64_t{0}));
  const auto apply = [this, order] {
    return Apply(order.value("operation", ""), order.value("model", ""), order.value("adapter", ""),
                 order.value("expected", std::int64_t{-1}));
  };
  if (Happens(misbehaviour.late_orders)) {
    // No answer; it may be carried out after newer ones.
    After(static_cast<DurationMs>(500 + random_() % 3000), apply);
    return;
  }
  peer->Write(Whole("", apply(), "", ""));
}

// Carries an order out and returns the status of its answer.
int Upstream::Apply(const std::string& operation, const std::string& model,
                    const std::string& adapter, std::int64_t expected) {
  if (loading_ || expected != sequence_) return 409;
  ++sequence_;
  if (operation == "unload" && adapter.empty()) {
    loaded_.erase(model);
  } else if (operation == "unload") {
    auto& adapters = loaded_[model];
    adapters.erase(std::remove(adapters.begin(), adapters.end(), adapter), adapters.end());
  } else if (adapter.empty()) {
    if (loaded_.size() >= kEngineModels) judge_.OnOverfilled(instance_);
    const bool is_near = std::find(on_disk_.begin(), on_disk_.end(), model) != on_disk_.end();
    if (!is_near) on_disk_.push_back(model);
    loading_ = model;
    After(is_near ? kDiskLoadMs : kStoreLoadMs, [this, model] {
      loading_.reset();
      loaded_[model];
      Record();
    });
  } else {
    std::size_t places = 0;
    for (const auto& [name, adapters] : loaded_) places += adapters.size();
    if (places >= kEnginePlaces) judge_.OnOverfilled(instance_);
    loaded_[model].push_back(adapter);
  }
  Record();
  return 202;
}

void Upstream::Run(const SeenRequest& request, const Peer& peer) {
  const std::string id = request.Field("Attempt-Id");
  if (!Holds(request.Field("Model"))) {
    TellDone(id);
    return peer->Write(Whole(id, 421, "Instance-Id: " + instance_ + "\r\n", ""));
  }
  const bool may_repeat = RouteOf(request.Line()).may_repeat;
  judge_.OnRun(id, instance_, may_repeat);
  judge_.OnAccess(id, request.Field("Tenant"), request.Field("Key") != "(none)");
  if (request.body == kDeadlyBody) {
    judge_.OnDeadlyRun(Judge::Deadly::kRequest, id);
    return EndByRequest(Judge::Deadly::kRequest);
  }
  if (HarmHappens(misbehaviour.losses)) return peer->Reset();
  const std::string resumed = request.Field("Resumes");
  const std::string stream = resumed == "(none)" ? id : resumed;
  // A stream always has the same number of events, wherever it runs.
  const int count =
      kLeastEvents + static_cast<int>(RendezvousScore(stream, "events") % kMoreEvents);
  const std::string last = request.Field("Last-Event-Id");
  const int next = last == "(none)" ? 1 : std::atoi(last.c_str()) + 1;
  StreamWay way{stream, count, peer, HarmHappens(misbehaviour.cuts), Happens(kChunkedPercent), id};
  peer->Write(Head(id, 200,
                   Notices(id, peer) + "Response-Seal: seal-" + id +
                       "\r\nContent-Type: text/event-stream\r\n" +
                       (way.is_chunked ? "Transfer-Encoding: chunked\r\n" : "")));
  if (request.Field("Prompt-Prefix").find(kDeadlyPart) != std::string::npos) {
    judge_.OnDeadlyRun(Judge::Deadly::kPart, id);
    EndByRequest(Judge::Deadly::kPart);
  }
  Stream(way, next);
}

// The engine ends soon, and starts again later.
void Upstream::EndByRequest(Judge::Deadly kind) {
  After(kDeadlyRunMs, [this, kind] {
    judge_.OnDeadlyEnd(kind);
    restart_at_ = MonotonicMs() + kRestartMs;
    boost::asio::post(io_, [this] { Crash(); });
  });
}

// An entry cannot heed what a silent upstream has yet to send.
void Upstream::OnceSent(const Peer& peer, std::function<void()> call) {
  const DurationMs silent_ms = silent_until_ - MonotonicMs();
  if (silent_ms <= 0) return call();
  After(silent_ms, [peer, call = std::move(call)] {
    if (!peer->IsEnded()) call();
  });
}

void Upstream::TellDone(const std::string& request) {
  judge_.OnDone(request, instance_, std::max(MonotonicMs(), silent_until_));
}

DurationMs Upstream::EventInterval(const std::string& stream) {
  return RendezvousScore(stream, "pace") % kSlowOneIn == 0 ? kSlowEventMs : kEventMs;
}

// Each event names the version that sent it.
void Upstream::Stream(const StreamWay& way, int next) {
  if (way.peer->IsEnded()) return TellDone(way.request);
  if (next > way.count) {
    TellDone(way.request);
    return way.is_chunked ? way.peer->Write("0\r\n\r\n") : way.peer->Close();
  }
  const std::string event = "id: " + std::to_string(next) + "\ndata: " + way.stream + " " +
                            std::to_string(next) + " of " + std::to_string(way.count) + " by " +
                            version_ + "\n\n";
  const auto write = [&way](const std::string& text) {
    way.peer->Write(way.is_chunked ? Chunk(text) : text);
  };
  if (way.is_cut && next > way.count / 2) {
    write(event.substr(0, event.size() / 2));
    return way.peer->Reset();
  }
  write(event);
  After(EventInterval(way.stream), [this, way, next] { Stream(way, next + 1); });
}

// One with a length is followed by the answer that is due. One without may be the last bytes for
// long: the upstream closes the connection in half of the cases.
bool Upstream::SendLateSurplus(const Peer& peer) {
  if (surplus_peer_.lock() != peer) return false;
  surplus_peer_.reset();
  const std::string fields = "Response-Seal: seal-" + surplus_id_ + "\r\n";
  const std::string body = "answer to " + surplus_id_;
  if (Happens(kFramedSurplusPercent)) {
    peer->Write(Whole(surplus_id_, 200, fields, body));
    return false;
  }
  judge_.OnHarmed(instance_);
  peer->Write(Head(surplus_id_, 200, fields) + body);
  if (Happens(50)) peer->Close();
  return true;
}

void Upstream::RunPlain(const SeenRequest& request, const Peer& peer) {
  const std::string id = request.Field("Attempt-Id");
  if (SendLateSurplus(peer)) return;
  judge_.OnRun(id, instance_, RouteOf(request.Line()).may_repeat);
  judge_.OnAccess(id, request.Field("Tenant"), request.Field("Key") != "(none)");
  if (HarmHappens(misbehaviour.losses)) return peer->Reset();
  const std::string answer =
      Whole(id, 200, Notices(id, peer) + "Response-Seal: seal-" + id + "\r\n", "answer to " + id);
  const bool is_cut = HarmHappens(misbehaviour.cuts);
  const bool is_double = HarmHappens(misbehaviour.surplus);
  if (HarmHappens(misbehaviour.late_surplus)) {
    surplus_peer_ = peer;
    surplus_id_ = id;
  }
  After(kPlainMs, [this, peer, answer, is_cut, is_double, id] {
    TellDone(id);
    if (is_cut) {
      peer->Write(answer.substr(0, answer.size() - 3));
      return peer->Close();
    }
    peer->Write(answer);
    if (is_double) peer->Write(answer);
  });
}

}  // namespace junctionrail::soak

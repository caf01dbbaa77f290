// The entry's decisions under random events, with fake agents, a fake grant
// store that other entries also write, and fake callers as judges.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>

#include "check.h"
#include "junctionrail/entry_core.h"
#include "random_run.h"

namespace junctionrail::test {
namespace {

constexpr const char* kModels[] = {"a@1", "b@1", "x@1"};
constexpr std::uint32_t kModelCount = 3;
constexpr std::uint32_t kEngines = 4;
constexpr std::uint32_t kServices = 2;

// One attempt as an agent sees it.
struct Attempt {
  std::string vm;
  CallFrame call;
  std::uint64_t sent = 0;
  bool has_head = false;
};

struct Caller {
  bool is_repeatable = true;
  bool has_head = false;
  bool is_over = false;
  bool may_have_run = false;
  std::string body;
};

class EntrySimulation {
 public:
  explicit EntrySimulation(std::uint32_t seed) {
    EntryOptions options;
    options.vm = "entry-1";
    options.seed = seed;
    options.decision_records = 64;
    core_.emplace(options);
    ListVms();
    Declare(2);
  }

  void Step(RandomChoices choices) {
    switch (choices.Next(16)) {
      case 0:
      case 1:
      case 2:
        return Call(choices);
      case 3:
        return Advance(1 + choices.Next(20));
      case 4:
        return Advance(1 + choices.Next(2000));
      case 5:
      case 6:
      case 7:
      case 8:
        return Agent(choices);
      case 9:
      case 10:
        return CompleteGrantOperation(choices);
      case 11:
        return WriteAsOtherEntry(choices);
      case 12:
        return Close(choices);
      case 13:
        return DisconnectCaller(choices);
      default:
        return RareEvent(choices);
    }
  }

  void Drain() {
    for (int n = 0; n < 200; ++n) {
      while (!writes_.empty()) Complete(0, 0);
      while (!attempts_.empty()) Answer(std::string(attempts_.begin()->first));
      Advance(500);
    }
    Require(core_->open_calls() == 0, "every call ends");
    for (const auto& [id, it] : callers_) Require(it.is_over, "every caller is told");
  }

 private:
  void Handle(entry::Event event) {
    std::vector<entry::Command> commands;
    core_->Handle(now_, std::move(event), &commands);
    for (auto& it : commands) std::visit([this](auto& command) { OnCommand(command); }, it);
  }

  // ---- What the entry orders ----

  void OnCommand(entry::SendFrame& command) {
    if (auto* call = std::get_if<CallFrame>(&command.frame)) {
      Caller& caller = callers_.at(call->id.substr(0, call->id.rfind('.')));
      Require(caller.is_repeatable || !caller.may_have_run,
              "a call that may not be repeated runs at most once");
      Require(!caller.is_over, "nothing is sent for a call that is over");
      const std::string id = call->id;
      attempts_[id] = Attempt{command.vm, std::move(*call), 0, false};
    } else if (const auto* cancel = std::get_if<CancelFrame>(&command.frame)) {
      if (attempts_.erase(cancel->id) > 0) cancelled_.push_back(cancel->id);
    } else if (auto* ask = std::get_if<AskFrame>(&command.frame)) {
      asks_.push_back({command.vm, *ask});
    }
  }

  void OnCommand(entry::CallEnded&) {}

  Caller& Open(const std::string& id) {
    Caller& caller = callers_.at(id);
    Require(!caller.is_over, "an answer ends once");
    return caller;
  }
  void OnCommand(entry::SendResponseHead& command) {
    Caller& caller = Open(command.id);
    Require(!caller.has_head, "an answer has one head");
    caller.has_head = true;
  }
  void OnCommand(entry::SendResponseChunk& command) {
    Caller& caller = Open(command.id);
    Require(caller.has_head, "the head comes first");
    caller.body += command.data;
  }
  void OnCommand(entry::EndResponse& command) {
    Caller& caller = Open(command.id);
    CheckBody(command.id, caller.body);
    caller.is_over = true;
  }
  void OnCommand(entry::SendResponse& command) {
    Caller& caller = Open(command.id);
    Require(!caller.has_head, "a whole answer brings its own head");
    CheckBody(command.id, command.body);
    caller.is_over = true;
  }
  void OnCommand(entry::SendRefusal& command) {
    Caller& caller = Open(command.id);
    Require(!caller.has_head, "a refusal is no continuation");
    Require(command.refusal.ran == Ran::kUnknown || !caller.may_have_run,
            "a refusal that says it did not run is true");
    caller.is_over = true;
  }
  void OnCommand(entry::AbortResponse& command) { Open(command.id).is_over = true; }

  // Pieces name their attempt and number: an answer is whole, in order, and of
  // one attempt of its own request.
  static void CheckBody(const std::string& id, const std::string& body) {
    std::string attempt;
    std::size_t at = 0;
    int n = 0;
    while (at < body.size()) {
      const std::size_t colon = body.find(':', at);
      const std::size_t end = body.find(';', at);
      Require(end != std::string::npos, "no piece is cut");
      const std::string from = body.substr(at, colon - at);
      if (attempt.empty()) attempt = from;
      Require(from == attempt, "an answer comes from one attempt");
      Require(from.substr(0, from.rfind('.')) == id, "an answer belongs to its request");
      Require(body.substr(colon + 1, end - colon - 1) == std::to_string(n++),
              "pieces are in order");
      at = end + 1;
    }
    Require(n > 0, "an answer is not empty");
  }

  void OnCommand(entry::WriteGrant& command) {
    Require(command.record.slots.size() <= Declared(command.record.key),
            "slots granted never exceed the replicas declared");
    writes_.push_back({command.record, false});
  }
  void OnCommand(entry::ReadGrant& command) {
    GrantRecord record;
    record.key = command.key;
    writes_.push_back({record, true});
  }
  void OnCommand(entry::ReadConfiguration&) { Handle(entry::ConfigurationRead{configuration_}); }

  // ---- The world ----

  std::size_t Declared(const std::string& key) const {
    const auto it = configuration_.models().find(key);
    return it == configuration_.models().end() ? 0 : it->second.replicas;
  }

  void Declare(std::uint32_t replicas) {
    ConfigChange change;
    change.version = configuration_.version() + 1;
    for (const char* it : kModels) {
      ModelDeclaration model;
      model.name = std::string(it, 1);
      model.version = "1";
      model.replicas = replicas;
      model.memory_mb = 100;
      if (model.name == "x") model.base = "a@1";
      change.models.push_back(model);
    }
    change.services.push_back(ServiceDeclaration{"api", 60000, {}});
    old_configuration_ = configuration_;
    configuration_.Apply(change);
    Handle(entry::ConfigurationChanged{change});
  }

  void ListVms() {
    VmList list;
    list.revision = ++list_revision_;
    for (std::uint32_t n = 0; n < kEngines + kServices; ++n) {
      VmInfo info;
      info.vm = "vm-" + std::to_string(n);
      info.incarnation = std::to_string(incarnations_[n]);
      info.role = n < kEngines ? VmRole::kEngine : VmRole::kService;
      info.service = n < kEngines ? "" : "api";
      info.is_leaving = leaving_.count(n) > 0;
      list.vms.push_back(info);
    }
    for (const char* it : {"entry-1", "entry-2", "entry-3"}) {
      VmInfo info;
      info.vm = it;
      info.role = VmRole::kEntry;
      list.vms.push_back(info);
    }
    // The fake fleet's own memory of attempts goes with the VM.
    Handle(entry::VmsChanged{list});
  }

  void Advance(DurationMs ms) {
    now_ += ms;
    Handle(entry::Ticked{});
  }

  void Call(RandomChoices choices) {
    entry::CallArrived call;
    call.id = "r" + std::to_string(++calls_);
    call.is_service = choices.Next(4) == 0;
    call.name = call.is_service ? "api" : std::string(kModels[choices.Next(kModelCount)], 1);
    call.deadline_ms = 1 + choices.Next(5000);
    call.is_repeatable = choices.Next(3) != 0;
    call.is_stream = choices.Next(2) == 0;
    if (call.is_service && choices.Next(2) == 0)
      call.idempotency_key = "k" + std::to_string(calls_);
    callers_[call.id] = Caller{call.is_repeatable, false, false, false, {}};
    Handle(std::move(call));
  }

  void Deliver(const std::string& vm, Frame frame) {
    open_.insert(vm);
    Handle(entry::FrameArrived{vm, std::move(frame)});
  }

  void Agent(RandomChoices choices) {
    if (!asks_.empty() && choices.Next(2) == 0) return Offer(choices);
    if (attempts_.empty()) return;
    auto it = attempts_.begin();
    std::advance(it, choices.Next(static_cast<std::uint32_t>(attempts_.size())));
    const std::string id = it->first;
    Attempt& attempt = it->second;
    const std::string vm = attempt.vm;
    switch (choices.Next(8)) {
      case 0:
        return RefuseAttempt(id, choices);
      case 1: {
        const std::string caller = id.substr(0, id.rfind('.'));
        callers_.at(caller).may_have_run = true;
        attempts_.erase(id);
        return Deliver(
            vm, RefusalFrame{id, Refusal{RefusalCode::kUpstreamFailed, "", Ran::kUnknown, 0}, {}});
      }
      case 2: {  // A piece is lost on the way.
        attempt.sent += 1;
        return;
      }
      case 3:
      case 4:
        return Piece(id);
      case 5:
        return SendStaleFrames(choices);
      default:
        return Answer(id);
    }
  }

  void RefuseAttempt(const std::string& id, RandomChoices& choices) {
    const Attempt attempt = attempts_.at(id);
    if (attempt.has_head) return;
    static constexpr RefusalCode kCodes[] = {
        RefusalCode::kLeaving,        RefusalCode::kQueueFull,   RefusalCode::kNoMemory,
        RefusalCode::kNotGranted,     RefusalCode::kColdTooLate, RefusalCode::kUpstreamUnreachable,
        RefusalCode::kGrantUnverified};
    attempts_.erase(id);
    UpstreamReport report;
    report.state = static_cast<ReplicaState>(choices.Next(4));
    report.wait_ms = choices.Next(2000);
    Deliver(attempt.vm,
            RefusalFrame{id, Refusal{kCodes[choices.Next(7)], "", Ran::kNo, 100}, report});
  }

  void Head(const std::string& id) {
    Attempt& attempt = attempts_.at(id);
    if (attempt.has_head) return;
    attempt.has_head = true;
    callers_.at(id.substr(0, id.rfind('.'))).may_have_run = true;
    Deliver(attempt.vm,
            HeadFrame{id, 200, "text/plain", false, {ReplicaState::kLoaded, 0, 0, 1, false}});
  }

  void Piece(const std::string& id) {
    Head(id);
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    const std::uint64_t n = it->second.sent++;
    Deliver(it->second.vm, PieceFrame{id, n, id + ":" + std::to_string(n) + ";"});
  }

  void Answer(const std::string& id) {
    Piece(id);
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    const Attempt attempt = it->second;
    attempts_.erase(it);
    Deliver(attempt.vm, EndFrame{id, attempt.sent, {ReplicaState::kLoaded, 0, 0, 0, false}});
  }

  // Frames of attempts that are over, and frames said twice.
  void SendStaleFrames(RandomChoices& choices) {
    if (cancelled_.empty()) return;
    const std::string id = cancelled_[choices.Next(static_cast<std::uint32_t>(cancelled_.size()))];
    const std::string vm = "vm-" + std::to_string(choices.Next(kEngines));
    Deliver(vm, HeadFrame{id, 200, "text/plain", false, {}});
    Deliver(vm, PieceFrame{id, 0, id + ":0;"});
    Deliver(vm, EndFrame{id, 1, {}});
  }

  void Offer(RandomChoices& choices) {
    const auto ask = asks_.front();
    asks_.erase(asks_.begin());
    OfferFrame offer;
    offer.id = ask.second.id;
    offer.key = ask.second.key;
    offer.fits = choices.Next(4) != 0;
    offer.load_ms = choices.Next(1000);
    offer.leaving = choices.Next(8) == 0;
    Deliver(ask.first, offer);
  }

  void CompleteGrantOperation(RandomChoices choices) {
    if (writes_.empty()) return;
    Complete(choices.Next(static_cast<std::uint32_t>(writes_.size())), choices.Next(6));
  }

  // Fates: 0-3 answered, 4 done and the answer lost, 5 lost on the way.
  void Complete(std::size_t n, std::uint32_t outcome) {
    const Write write = writes_[n];
    writes_.erase(writes_.begin() + static_cast<std::ptrdiff_t>(n));
    GrantRecord& stored = Stored(write.record.key);
    bool is_written = false;
    if (!write.is_read && outcome != 5) is_written = CompareAndSwap(write.record);
    if (outcome >= 4) return Handle(entry::GrantOperationEnded{write.record.key, false, false, {}});
    Handle(entry::GrantOperationEnded{write.record.key, is_written, true, stored});
    Handle(entry::GrantChanged{stored});
  }

  GrantRecord& Stored(const std::string& key) {
    GrantRecord& stored = store_[key];
    stored.key = key;
    return stored;
  }

  bool CompareAndSwap(const GrantRecord& record) {
    GrantRecord& stored = Stored(record.key);
    if (stored.revision != record.revision) return false;
    Require(record.last_token >= stored.last_token, "fencing tokens never fall");
    stored = record;
    stored.revision = ++revision_;
    return true;
  }

  void WriteAsOtherEntry(RandomChoices choices) {
    GrantRecord record = Stored(kModels[choices.Next(kModelCount)]);
    const std::uint32_t vm = choices.Next(kEngines);
    if (!record.slots.empty() && choices.Next(2) == 0) {
      record.slots.pop_back();
    } else if (record.slots.size() < Declared(record.key)) {
      record.slots.push_back(
          GrantSlot{static_cast<std::uint32_t>(record.slots.size()) + 7, "vm-" + std::to_string(vm),
                    std::to_string(incarnations_[vm]), ++record.last_token, list_revision_});
    }
    CompareAndSwap(record);
    if (choices.Next(3) != 0) Handle(entry::GrantChanged{Stored(record.key)});
  }

  void Close(RandomChoices choices) {
    const std::uint32_t n = choices.Next(kEngines + kServices);
    const std::string vm = "vm-" + std::to_string(n);
    // A link that has carried a frame was open.
    const bool was_open = open_.erase(vm) > 0 || choices.Next(2) == 0;
    LoseAttempts(vm, was_open);
    Handle(entry::LinkClosed{vm, was_open});
  }

  void LoseAttempts(const std::string& vm, bool may_have_run) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
      if (it->second.vm != vm) {
        ++it;
        continue;
      }
      // A link that never opened has delivered nothing.
      if (may_have_run) callers_.at(it->first.substr(0, it->first.rfind('.'))).may_have_run = true;
      cancelled_.push_back(it->first);
      it = attempts_.erase(it);
    }
  }

  void DisconnectCaller(RandomChoices choices) {
    if (callers_.empty()) return;
    const std::string id =
        "r" + std::to_string(1 + choices.Next(static_cast<std::uint32_t>(calls_)));
    Caller& caller = callers_.at(id);
    if (caller.is_over) return;
    caller.is_over = true;
    Handle(entry::CallerDisconnected{id});
  }

  void RareEvent(RandomChoices choices) {
    const std::uint32_t n = choices.Next(kEngines + kServices);
    switch (choices.Next(8)) {
      case 0:
        return Declare(choices.Next(4));
      case 1:
        ++incarnations_[n];
        leaving_.erase(n);
        LoseAttempts("vm-" + std::to_string(n), true);
        return ListVms();
      case 3:  // A peer or a slow read may be behind.
        return Handle(entry::ConfigurationRead{old_configuration_});
      case 2:
        leaving_.insert(n);
        return ListVms();
      default:
        return Advance(1 + choices.Next(5));
    }
  }

  struct Write {
    GrantRecord record;
    bool is_read;
  };

  std::optional<EntryCore> core_;
  TimeMs now_ = 1000;
  int calls_ = 0;
  Configuration configuration_;
  Configuration old_configuration_;
  std::int64_t list_revision_ = 0;
  std::int64_t revision_ = 0;
  int incarnations_[kEngines + kServices] = {};
  std::set<std::uint32_t> leaving_;
  std::set<std::string> closed_;
  std::set<std::string> open_;
  std::map<std::string, GrantRecord> store_;
  std::vector<Write> writes_;
  std::map<std::string, Attempt> attempts_;
  std::vector<std::string> cancelled_;
  std::vector<std::pair<std::string, AskFrame>> asks_;
  std::map<std::string, Caller> callers_;
};

}  // namespace

TEST_GROUP(RandomEntry){};

TEST(RandomEntry, UpholdsItsInvariants) {
  EXPECT_TRUE(RunRandomTest<EntrySimulation>("entry"),
              "RapidCheck printed the shortest run that breaks");
}

}  // namespace junctionrail::test

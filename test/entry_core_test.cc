// Tests of EntryCore: routing, retries, responses and placement of an entry.
// random_entry_test.cc tests the same code with random events.
#include "junctionrail/entry_core.h"

#include <algorithm>

#include "check.h"

namespace junctionrail {
namespace {

// An entry with three engines. Model a@1 has slots on vm-0 and vm-1.
class Fixture {
 public:
  Fixture() : core(Options()) {
    Configuration configuration;
    ModelDeclaration model;
    model.name = "a";
    model.version = "1";
    model.replicas = 2;
    model.memory_mb = 100;
    configuration.Put(model);
    configuration.SetVersion(1);
    Handle(entry::ConfigurationRead{configuration});
    VmList list;
    list.revision = 1;
    for (const char* it : {"vm-0", "vm-1", "vm-2"}) {
      VmInfo info;
      info.vm = it;
      info.incarnation = "1";
      list.vms.push_back(info);
    }
    Handle(entry::VmsChanged{list});
    record.key = "a@1";
    record.revision = 1;
    record.last_token = 2;
    record.slots = {{0, "vm-0", "1", 1, 1}, {1, "vm-1", "1", 2, 1}};
    Handle(entry::GrantChanged{record});
  }

  static EntryOptions Options() {
    EntryOptions options;
    options.vm = "entry";
    options.retry_ratio = 0;
    options.retry_burst = 2;
    return options;
  }

  void Handle(entry::Event event) { core.Handle(now, std::move(event), &commands); }

  void Call(const std::string& id, bool is_repeatable = true, bool is_stream = false) {
    entry::CallArrived call;
    call.id = id;
    call.name = "a";
    call.deadline_ms = 1000;
    call.is_repeatable = is_repeatable;
    call.is_stream = is_stream;
    Handle(std::move(call));
  }

  // The last attempt and its destination.
  const entry::SendFrame* LastCall() const {
    const auto it = std::find_if(commands.rbegin(), commands.rend(), [](const entry::Command& c) {
      const auto* sent = std::get_if<entry::SendFrame>(&c);
      return sent != nullptr && std::holds_alternative<CallFrame>(sent->frame);
    });
    return it == commands.rend() ? nullptr : &std::get<entry::SendFrame>(*it);
  }

  void Refuse(RefusalCode code, Ran ran = Ran::kNo) {
    const entry::SendFrame call = *LastCall();
    Handle(entry::FrameArrived{
        call.vm,
        RefusalFrame{std::get<CallFrame>(call.frame).id, Refusal{code, "", ran, 100}, {}}});
  }

  template <class C>
  const C* Last() const {
    const auto it = std::find_if(commands.rbegin(), commands.rend(), [](const entry::Command& c) {
      return std::holds_alternative<C>(c);
    });
    return it == commands.rend() ? nullptr : &std::get<C>(*it);
  }

  std::string LastRefusal() const {
    const auto* refusal = Last<entry::SendRefusal>();
    if (refusal == nullptr) return "";
    return std::string(RefusalName(refusal->refusal.code)) +
           (refusal->refusal.ran == Ran::kNo ? " no" : " unknown");
  }

  TimeMs now = 1000;
  GrantRecord record;
  std::vector<entry::Command> commands;
  EntryCore core;
};

}  // namespace

TEST_GROUP(EntryRetry) { Fixture entry; };

TEST(EntryRetry, SendsACallThatDidNotRunToAnotherReplica) {
  entry.Call("1", false);
  const std::string first = entry.LastCall()->vm;
  entry.Refuse(RefusalCode::kQueueFull);
  EXPECT_TRUE(entry.LastCall()->vm != first, "the other replica is tried");
  entry.Refuse(RefusalCode::kQueueFull);
  EXPECT_TEXT("queue_full no", entry.LastRefusal(),
              "no replica is left, so the caller gets the refusal");
}

TEST(EntryRetry, FollowsAnUnknownOutcomeOnlyForRepeatableCalls) {
  entry.Call("1", false);
  entry.Refuse(RefusalCode::kUpstreamFailed, Ran::kUnknown);
  EXPECT_TEXT("upstream_failed unknown", entry.LastRefusal(),
              "a second attempt could run it twice");
  entry.Call("2", true);
  const std::string first = entry.LastCall()->vm;
  entry.Refuse(RefusalCode::kUpstreamFailed, Ran::kUnknown);
  EXPECT_TRUE(entry.LastCall()->vm != first, "a repeatable call is sent to another replica");
  entry.Refuse(RefusalCode::kQueueFull);
  EXPECT_TEXT("queue_full unknown", entry.LastRefusal(), "the first attempt may have run");
}

TEST(EntryRetry, StopsAtTheRetryBudget) {
  for (const char* it : {"1", "2", "3"}) {
    entry.Call(it);
    entry.Refuse(RefusalCode::kQueueFull);
    entry.Refuse(RefusalCode::kQueueFull);
  }
  EXPECT_NUMBER(2, entry.core.counters().retries, "retry_burst is 2 and retry_ratio is 0");
  EXPECT_NUMBER(1, entry.core.counters().retries_denied, "the third call is not retried");
}

TEST(EntryRetry, DoesNotFollowResponseData) {
  entry.Call("1", true, true);
  const entry::SendFrame call = *entry.LastCall();
  entry.Handle(entry::FrameArrived{call.vm, HeadFrame{"1.1", 200, "text/event-stream", false, {}}});
  entry.Handle(entry::FrameArrived{call.vm, PieceFrame{"1.1", 0, "data"}});
  entry.Handle(entry::LinkClosed{call.vm, true});
  EXPECT_TRUE(entry.Last<entry::AbortResponse>() != nullptr,
              "the caller must see that the response is incomplete");
  EXPECT_NUMBER(1, entry.core.counters().attempts, "no second response may follow the first");
}

TEST_GROUP(EntryResponses) { Fixture entry; };

TEST(EntryResponses, DiscardAResponseWithAMissingChunk) {
  entry.Call("1");
  const std::string vm = entry.LastCall()->vm;
  entry.Handle(entry::FrameArrived{vm, HeadFrame{"1.1", 200, "text/plain", false, {}}});
  entry.Handle(entry::FrameArrived{vm, PieceFrame{"1.1", 1, "second"}});
  EXPECT_TRUE(entry.Last<entry::SendResponse>() == nullptr, "chunk 0 is missing");
  EXPECT_NUMBER(2, entry.core.counters().attempts, "the call is retried");
}

TEST(EntryResponses, RefuseACallAtItsDeadline) {
  entry.Call("1");
  entry.now += 1051;  // 50 ms are allowed for the agent's own reply.
  entry.Handle(entry::Ticked{});
  EXPECT_TEXT("deadline_passed unknown", entry.LastRefusal(), "the call was sent and may have run");
}

TEST(EntryResponses, DropFramesOfCancelledCalls) {
  entry.Call("1");
  const std::string vm = entry.LastCall()->vm;
  entry.Handle(entry::CallerDisconnected{"1"});
  entry.Handle(entry::FrameArrived{vm, HeadFrame{"1.1", 200, "text/plain", false, {}}});
  EXPECT_NUMBER(1, entry.core.counters().stale_frames, "a late frame is counted and dropped");
}

TEST_GROUP(EntryRouting) { Fixture entry; };

TEST(EntryRouting, PrefersALoadedReplica) {
  entry.Call("1");
  const std::string vm = entry.LastCall()->vm;
  UpstreamReport loaded;
  loaded.state = ReplicaState::kLoaded;
  loaded.free_places = 16;
  entry.Handle(entry::FrameArrived{vm, HeadFrame{"1.1", 200, "text/plain", false, loaded}});
  entry.Call("2");
  EXPECT_TEXT(vm, entry.LastCall()->vm, "the other replica is cold");
}

TEST(EntryRouting, AvoidsAnEjectedUpstream) {
  entry.Call("1");
  const std::string vm = entry.LastCall()->vm;
  for (const char* it : {"2", "3", "4"}) {
    entry.Handle(entry::LinkClosed{vm, false});
    entry.Call(it);
  }
  EXPECT_TRUE(entry.core.counters().ejections <= 1, "the upstream is ejected at most once");
  EXPECT_TRUE(entry.LastCall()->vm != vm, "its link failed to open");
}

TEST(EntryRouting, ReplacesTheSlotsOfVmsThatAreGone) {
  VmList list = entry.core.vms();
  list.revision = 2;
  list.vms.erase(list.vms.begin(), list.vms.begin() + 2);
  entry.Handle(entry::VmsChanged{list});
  entry.Call("1");
  const auto* ask = entry.Last<entry::SendFrame>();
  EXPECT_TEXT("vm-2", ask->vm, "only vm-2 is left");
  OfferFrame offer;
  offer.key = "a@1";
  offer.fits = true;
  entry.Handle(entry::FrameArrived{"vm-2", offer});
  const auto* write = entry.Last<entry::WriteGrant>();
  EXPECT_TRUE(write != nullptr, "the offer fits");
  EXPECT_NUMBER(1, write->record.slots.size(),
                "one write removes both lost slots and adds the new one");
  EXPECT_NUMBER(3, write->record.last_token, "fencing tokens increase");
}

// Guards against a call that is refused as nobody had enough memory, although the only upstream
// that was asked was short of processor time and had not answered yet.
TEST(EntryRouting, WaitsForALateOfferIfNobodyElseCanBeAsked) {
  VmList list = entry.core.vms();
  list.revision = 2;
  list.vms.erase(list.vms.begin(), list.vms.begin() + 2);
  entry.Handle(entry::VmsChanged{list});
  const auto is_refused = [this] { return entry.Last<entry::SendRefusal>() != nullptr; };
  entry.Call("1");
  entry.now += 2 * Fixture::Options().offer_timeout_ms;
  entry.Handle(entry::Ticked{});
  EXPECT_TRUE(!is_refused(), "its deadline leaves time");
  OfferFrame offer;
  offer.key = "a@1";
  offer.fits = true;
  entry.Handle(entry::FrameArrived{"vm-2", offer});
  EXPECT_TRUE(entry.Last<entry::WriteGrant>() != nullptr, "the late offer is taken");
  entry.Handle(entry::Ticked{});
  EXPECT_TRUE(!is_refused(), "the write of its slot has its own time");
}

// Guards against the write of a slot that is given up as another late offer arrives.
TEST(EntryRouting, GoesOnWritingASlotAsFurtherLateOffersArrive) {
  VmList list = entry.core.vms();
  list.revision = 2;
  for (const char* it : {"vm-3", "vm-4"}) {
    list.vms.push_back(list.vms.back());
    list.vms.back().vm = it;
  }
  list.vms.erase(list.vms.begin(), list.vms.begin() + 2);
  entry.Handle(entry::VmsChanged{list});
  entry.Call("1");
  entry.now += 2 * Fixture::Options().offer_timeout_ms;
  entry.Handle(entry::Ticked{});
  OfferFrame offer;
  offer.key = "a@1";
  offer.fits = true;
  for (const char* it : {"vm-2", "vm-3"}) entry.Handle(entry::FrameArrived{it, offer});
  entry.now += 1;
  entry.Handle(entry::Ticked{});
  EXPECT_TRUE(entry.Last<entry::WriteGrant>() != nullptr, "the first one is taken");
  EXPECT_TEXT("", entry.LastRefusal(), "the write has not ended");
}

// Guards against a placement that waits for an upstream which never answers.
TEST(EntryRouting, DoesNotWaitLongForAnUpstreamThatIsSilent) {
  VmList list = entry.core.vms();
  list.revision = 2;
  list.vms.erase(list.vms.begin(), list.vms.begin() + 2);
  entry.Handle(entry::VmsChanged{list});
  entry::CallArrived call;
  call.id = "1";
  call.name = "a";
  call.deadline_ms = 30000;
  entry.Handle(call);
  for (int n = 0; n < 15; ++n) {
    entry.now += Fixture::Options().offer_timeout_ms;
    entry.Handle(entry::Ticked{});
  }
  EXPECT_TEXT("no_upstream no", entry.LastRefusal(), "long before its deadline");
}

TEST(EntryRouting, RetiresAnAdapterWhoseBaseHasMoved) {
  ConfigChange change;
  change.version = 2;
  ModelDeclaration adapter;
  adapter.name = "x";
  adapter.version = "1";
  adapter.base = "a@1";
  adapter.replicas = 1;
  adapter.memory_mb = 1;
  change.models.push_back(adapter);
  entry.Handle(entry::ConfigurationChanged{change});
  GrantRecord orphan;
  orphan.key = "x@1";
  orphan.revision = 2;
  orphan.last_token = 1;
  orphan.slots = {{0, "vm-0", "1", 1, 1}};
  entry.Handle(entry::GrantChanged{orphan});
  entry.Handle(entry::Ticked{});
  entry.record.revision = 3;
  entry.record.slots.erase(entry.record.slots.begin());  // The base is removed from vm-0.
  entry.Handle(entry::GrantChanged{entry.record});
  entry.now += 1000;
  entry.Handle(entry::Ticked{});
  const auto* sent = entry.Last<entry::SendFrame>();
  EXPECT_TRUE(sent != nullptr && std::holds_alternative<RetireFrame>(sent->frame),
              "x@1 cannot be served on vm-0 any more");
  EXPECT_TEXT("x@1", std::get<RetireFrame>(sent->frame).key, "the base keeps its slot");
}

TEST(EntryRouting, RetiresSlotsAboveTheDeclaredCount) {
  ConfigChange change;
  change.version = 2;
  change.models.push_back(entry.core.configuration().models().begin()->second);
  change.models.front().replicas = 1;
  entry.Handle(entry::ConfigurationChanged{change});
  entry.now += 1000;
  entry.Handle(entry::Ticked{});
  const auto* sent = entry.Last<entry::SendFrame>();
  EXPECT_TEXT("vm-1", sent->vm, "the highest slot is retired first");
  EXPECT_TRUE(std::holds_alternative<RetireFrame>(sent->frame), "the agent is asked to release it");
}

}  // namespace junctionrail

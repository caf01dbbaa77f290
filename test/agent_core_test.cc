// The agent's decisions as a story: a model is granted, woken, kept, shared,
// and given back. Random runs (random_agent_test.cc) cover what no story tells.
#include "junctionrail/agent_core.h"

#include <algorithm>

#include "check.h"

namespace junctionrail {
namespace {

// An agent with one accelerator of 1000 MB and the grants a@1, b@1 and c@1.
class Fixture {
 public:
  Fixture() : core(Options()) {
    core.Start(now, &commands);
    Inventory({});
    Handle(agent::FenceDone{true});
    Inventory({});
    agent::GrantsRead grants;
    for (const char* it : {"a@1", "b@1", "c@1"}) {
      grants.held.push_back({it, 0, 1});
      grants.seen.push_back({it, 1});
    }
    grants.seen.push_back({"d@1", 1});
    Handle(std::move(grants));
    commands.clear();
  }

  static AgentOptions Options() {
    AgentOptions options;
    options.vm = "vm";
    options.max_concurrent = 1;
    options.max_queue_requests = 3;
    options.upstream_checks_fencing = true;
    options.idle_policy = FixedTtl{1000};
    options.started_unix_ms = 1000;
    return options;
  }

  void Handle(agent::Event event) { core.Handle(now, std::move(event), &commands); }

  void Inventory(std::vector<EngineModel> models) {
    const auto* ask = Last<agent::QueryInventory>();
    Handle(agent::InventoryArrived{ask == nullptr ? 0 : ask->query_id, {1000}, std::move(models)});
  }

  void Call(const std::string& id, const std::string& key, DurationMs deadline = 60000,
            Priority priority = Priority::kNormal, std::uint64_t memory = 600) {
    CallFrame call;
    call.id = id;
    call.key = key;
    call.deadline_ms = deadline;
    call.priority = priority;
    call.grants = {GrantView{key, 0, 1, memory, "", 1}};
    Handle(agent::FrameArrived{1, std::move(call)});
  }

  void Tick(DurationMs ms) {
    now += ms;
    Handle(agent::Ticked{1000 + now});
  }

  // The newest command of a type; null when there is none.
  template <class C>
  const C* Last() const {
    const auto it = std::find_if(commands.rbegin(), commands.rend(), [](const agent::Command& c) {
      return std::holds_alternative<C>(c);
    });
    return it == commands.rend() ? nullptr : &std::get<C>(*it);
  }

  template <class C>
  int Count() const {
    return static_cast<int>(
        std::count_if(commands.begin(), commands.end(),
                      [](const agent::Command& c) { return std::holds_alternative<C>(c); }));
  }

  void FinishLoad() {
    const agent::LoadModel load = *Last<agent::LoadModel>();
    Handle(agent::LoadEnded{load.key, load.operation_id, OperationOutcome::kDone, ""});
  }

  // The code an attempt was refused with; empty when it was not.
  std::string RefusalOf(const std::string& id) const {
    for (const auto& it : commands) {
      const auto* sent = std::get_if<agent::SendFrame>(&it);
      const auto* frame = sent == nullptr ? nullptr : std::get_if<RefusalFrame>(&sent->frame);
      if (frame != nullptr && frame->id == id) return std::string(RefusalName(frame->refusal.code));
    }
    return "";
  }

  TimeMs now = 1000;
  std::vector<agent::Command> commands;
  AgentCore core;
};

}  // namespace

TEST_GROUP(AgentLoads) { Fixture agent; };

TEST(AgentLoads, SharesOneLoadAmongWaitingCalls) {
  agent.Call("1", "a@1");
  agent.Call("2", "a@1");
  EXPECT_NUMBER(1, agent.Count<agent::LoadModel>(), "one flight a model");
  agent.FinishLoad();
  EXPECT_NUMBER(1, agent.Count<agent::Dispatch>(), "max_concurrent is 1");
  EXPECT_NUMBER(2, agent.core.open_requests(), "the second waits");
}

TEST(AgentLoads, RefusesACallWhoseDeadlineTheLoadWouldMiss) {
  agent.Call("1", "a@1", 100);  // 600 MB from remote are assumed to take 234 ms.
  EXPECT_TEXT("cold_too_late", agent.RefusalOf("1"), "see AdmitToEngine");
  EXPECT_NUMBER(1, agent.Count<agent::LoadModel>(), "the load goes on for the next caller");
}

TEST(AgentLoads, RefusesWaitingCallsWhenTheLoadIsOverdue) {
  agent.Call("1", "a@1", 300);
  agent.Tick(250);  // The load has taken more than 234 ms, so a quarter more is expected.
  EXPECT_TEXT("cold_too_late", agent.RefusalOf("1"), "an overdue load is re-estimated");
}

TEST(AgentLoads, EstimatesLoadTimesFromMeasurementsOfTheTier) {
  agent.Call("1", "a@1", 60000, Priority::kNormal, 300);
  agent.now += 30;  // 300 MB were assumed to take 117 ms from remote.
  agent.FinishLoad();
  agent.Call("2", "b@1", 60, Priority::kNormal, 300);
  EXPECT_TEXT("", agent.RefusalOf("2"), "a model never loaded here will take 30 ms as well");
}

TEST(AgentLoads, RefusesAModelWithoutAGrant) {
  agent.Call("1", "d@1");
  EXPECT_TEXT("not_granted", agent.RefusalOf("1"), "token 1 of d@1 was another VM's at the start");
}

TEST(AgentLoads, AcceptsANewGrantWithoutReadingTheStore) {
  CallFrame call;
  call.id = "1";
  call.key = "z@1";
  call.deadline_ms = 60000;
  call.grants = {GrantView{"z@1", 0, 5, 100, "", 1}};
  agent.Handle(agent::FrameArrived{1, call});
  EXPECT_NUMBER(1, agent.Count<agent::LoadModel>(), "token 5 is newer than any known at the start");
  EXPECT_NUMBER(0, agent.Count<agent::ReadGrants>(), "nothing is read to wake it");
}

TEST_GROUP(AgentQueue) {
  Fixture agent;
  void setup() override {
    agent.Call("first", "a@1");
    agent.FinishLoad();
  }
};

TEST(AgentQueue, DispatchesHigherPriorityFirst) {
  agent.Call("low", "a@1", 60000, Priority::kLow);
  agent.Call("high", "a@1", 60000, Priority::kHigh);
  agent.Handle(agent::UpstreamEnd{"first"});
  EXPECT_TEXT("high", agent.Last<agent::Dispatch>()->id, "class before arrival");
}

TEST(AgentQueue, DispatchesEarlierDeadlineFirstWithinAPriority) {
  agent.Call("late", "a@1", 60000);
  agent.Call("soon", "a@1", 30000);
  agent.Handle(agent::UpstreamEnd{"first"});
  EXPECT_TEXT("soon", agent.Last<agent::Dispatch>()->id, "deadline before arrival");
}

TEST(AgentQueue, EvictsTheLowestPriorityWhenFull) {
  for (const char* it : {"1", "2", "3"}) agent.Call(it, "a@1", 60000, Priority::kLow);
  agent.Call("4", "a@1", 60000, Priority::kLow);
  EXPECT_TEXT("queue_full", agent.RefusalOf("4"), "max_queue_requests is 3");
  agent.Call("5", "a@1", 60000, Priority::kHigh);
  EXPECT_TEXT("", agent.RefusalOf("5"), "a higher class takes a place");
  EXPECT_NUMBER(4, agent.core.open_requests(), "one of the low class made room");
}

TEST(AgentQueue, RefusesCallsThatWouldWaitPastTheirDeadline) {
  agent.Call("1", "a@1", 60000);
  agent.Call("2", "a@1", 150);  // First in the queue, behind a call of an assumed 200 ms.
  EXPECT_TEXT("queue_too_late", agent.RefusalOf("2"), "see QueueRefusal");
}

TEST(AgentQueue, RefusesCallsThatHigherPrioritiesDelayPastTheirDeadline) {
  agent.Call("low", "a@1", 450, Priority::kLow);
  agent.Call("high-1", "a@1", 60000, Priority::kHigh);
  agent.Call("high-2", "a@1", 60000, Priority::kHigh);
  EXPECT_TEXT("", agent.RefusalOf("low"), "it could still be in time when it came");
  agent.Tick(10);  // Now it would wait for three calls of an assumed 200 ms.
  EXPECT_TEXT("queue_too_late", agent.RefusalOf("low"), "it must not be held until its deadline");
}

TEST(AgentQueue, SkipsCallsThatCannotBeAnsweredInTime) {
  agent.now += 100;
  agent.Handle(agent::UpstreamHead{"first", 200, "text/plain"});  // Heads take about 100 ms.
  agent.Call("late", "a@1", 400);
  agent.Call("other", "a@1", 60000);
  agent.now += 250;
  agent.Handle(agent::UpstreamEnd{"first"});
  EXPECT_TEXT("queue_too_late", agent.RefusalOf("late"),
              "150 ms are left and about 200 are needed");
  EXPECT_TEXT("other", agent.Last<agent::Dispatch>()->id, "the place goes to one in time");
}

// Guards against an agent that goes on sending to an upstream which has asked for a rest.
TEST(AgentQueue, PausesDispatchDuringUpstreamBackoff) {
  agent.Call("queued", "a@1", 60000);
  agent.Handle(agent::UpstreamBackoff{3000});
  agent.Handle(agent::UpstreamEnd{"first"});
  const int before = agent.Count<agent::Dispatch>();
  agent.Call("second", "a@1", 60000);
  EXPECT_TEXT("queue_full", agent.RefusalOf("second"), "another upstream is there sooner");
  agent.Tick(2999);
  EXPECT_NUMBER(before, agent.Count<agent::Dispatch>(), "calls sent by the end of the rest");
  agent.Tick(1);
  EXPECT_TEXT("queued", agent.Last<agent::Dispatch>()->id, "the rest is over");
}

TEST(AgentQueue, CancelsTheDispatchOfACancelledCall) {
  agent.Handle(agent::FrameArrived{1, CancelFrame{"first"}});
  EXPECT_NUMBER(1, agent.Count<agent::CancelDispatch>(), "the upstream must not go on for nobody");
  EXPECT_NUMBER(0, agent.core.open_requests(), "nothing is left");
}

TEST_GROUP(AgentMemory) {
  Fixture agent;
  void setup() override {
    agent.Call("first", "a@1");
    agent.FinishLoad();
  }
};

TEST(AgentMemory, IsNotReclaimedFromAModelInUse) {
  agent.Call("2", "b@1");
  EXPECT_TEXT("no_memory", agent.RefusalOf("2"), "a@1 is in use and both do not fit");
  EXPECT_TEXT("b@1", agent.Last<agent::FreeGrant>()->key, "its slot may go where there is room");
}

TEST(AgentMemory, IsReclaimedFromAnIdleModel) {
  agent.Handle(agent::UpstreamEnd{"first"});
  agent.Call("2", "b@1");
  EXPECT_TEXT("a@1", agent.Last<agent::UnloadModel>()->key, "an idle model makes room");
  EXPECT_NUMBER(1, agent.Count<agent::LoadModel>(), "b@1 is loaded only once a@1 is gone");
  const agent::UnloadModel unload = *agent.Last<agent::UnloadModel>();
  agent.Handle(agent::UnloadEnded{"a@1", unload.operation_id, OperationOutcome::kDone});
  EXPECT_TEXT("b@1", agent.Last<agent::LoadModel>()->key, "now there is room");
}

TEST(AgentMemory, StaysReservedWhileAnUnloadsOutcomeIsUnknown) {
  agent.Handle(agent::UpstreamEnd{"first"});
  agent.Tick(1000);
  const agent::UnloadModel unload = *agent.Last<agent::UnloadModel>();
  agent.Handle(agent::UnloadEnded{"a@1", unload.operation_id, OperationOutcome::kUnknown});
  agent.Call("2", "b@1");
  EXPECT_TRUE(agent.Last<agent::LoadModel>()->key != "b@1", "a@1 may still be there");
  EXPECT_TEXT("", agent.RefusalOf("2"), "the engine's index may settle it in time");
}

TEST_GROUP(AgentUnloads) { Fixture agent; };

TEST(AgentUnloads, AModelAtItsIdleLimit) {
  agent.Call("1", "a@1");
  agent.FinishLoad();
  agent.Handle(agent::UpstreamEnd{"1"});
  agent.Tick(999);
  EXPECT_NUMBER(0, agent.Count<agent::UnloadModel>(), "the limit is 1000 ms");
  agent.Tick(1);
  EXPECT_NUMBER(1, agent.Count<agent::UnloadModel>(), "the limit has passed");
}

TEST(AgentUnloads, AdaptersBeforeTheirBase) {
  CallFrame call;
  call.id = "1";
  call.key = "x@1";
  call.deadline_ms = 60000;
  call.grants = {GrantView{"a@1", 0, 1, 600, "", 1}, GrantView{"x@1", 0, 1, 100, "a@1", 1}};
  agent.Handle(agent::FrameArrived{1, call});
  agent.FinishLoad();
  agent.FinishLoad();
  agent.Handle(agent::UpstreamEnd{"1"});
  agent.Handle(agent::FrameArrived{1, RetireFrame{"a@1", 0, 1, 1}});
  EXPECT_TEXT("x@1", agent.Last<agent::UnloadModel>()->key, "the adapter goes before its base");
  const agent::UnloadModel adapter = *agent.Last<agent::UnloadModel>();
  agent.Handle(agent::UnloadEnded{"x@1", adapter.operation_id, OperationOutcome::kDone});
  agent.Tick(10);
  EXPECT_TEXT("a@1", agent.Last<agent::UnloadModel>()->key, "then the base");
}

TEST(AgentUnloads, AfterRunningCallsWhenLeaving) {
  agent.Call("1", "a@1");
  agent.FinishLoad();
  agent.Call("2", "a@1");
  agent.Handle(agent::LeaveRequested{true, "test"});
  EXPECT_TEXT("leaving", agent.RefusalOf("2"), "what has not run is refused at once");
  EXPECT_NUMBER(0, agent.Count<agent::Exit>(), "the first still runs");
  agent.Handle(agent::UpstreamEnd{"1"});
  const agent::UnloadModel unload = *agent.Last<agent::UnloadModel>();
  agent.Handle(agent::UnloadEnded{"a@1", unload.operation_id, OperationOutcome::kDone});
  EXPECT_NUMBER(3, agent.Count<agent::FreeGrant>(), "all three slots are given back");
  for (const char* it : {"a@1", "b@1", "c@1"}) agent.Handle(agent::GrantFreed{it, 1, true});
  EXPECT_NUMBER(1, agent.Count<agent::Exit>(), "nothing is left to do");
}

}  // namespace junctionrail

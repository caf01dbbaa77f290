// What upstreams say beside their answers, and what entries do about it, over real sockets.
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>

#include "check.h"
#include "gateway_fixture.h"
#include "junctionrail/tenancy.h"
#include "loopback.h"
#include "platform.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::Contains;
using testing::MakeRequest;
using testing::MakeRoute;
using testing::QuietLog;
using testing::RunFor;
using testing::RunUntil;
using testing::ScriptedUpstream;
using testing::SeenRequest;
using testing::TestCaller;
using testing::UpstreamPeer;
using Peer = std::shared_ptr<UpstreamPeer>;

std::string Answer(const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n" + fields +
         "Content-Length: 2\r\n\r\nok";
}

// It has not run the request.
std::string TurnedAway(const std::string& fields) {
  return "HTTP/1.1 503 Service Unavailable\r\nJunctionrail-Request-Id: r1\r\n"
         "Junctionrail-Not-Run: 1\r\n" +
         fields + "Content-Length: 0\r\n\r\n";
}

// Entries before the same upstreams, and an agent that counts what they may send to an
// upstream with a limit.
class Entries {
 public:
  explicit Entries(int n) {
    for (int k = 0; k < n; ++k) {
      GatewayOptions options;
      options.listen_endpoint = {"127.0.0.1", 0};
      options.data_hall = "hall-1";
      options.routing.data_hall = "hall-1";
      options.retry_budget = {1.0, 100, 10000};
      options.entry_id = "entry-" + std::to_string(k);
      options.read_notice = platform::ReadNotice;
      gateways.push_back(std::make_unique<Gateway>(io, options, log));
      ports.push_back(gateways.back()->Listen().value());
    }
  }

  ~Entries() {
    for (const auto& it : gateways) it->Stop(0, [] {});
    RunFor(io, 100);
  }

  void AddUpstream(const std::string& instance, ScriptedUpstream::Script script,
                   const std::string& service = "plain") {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(io, std::move(script)));
    UpstreamRecord record{instance, service, upstreams.back()->endpoint(), "hall-1", 8, false, {}};
    if (service == "engine") record.loaded = {{"a", {}}};
    records.push_back(std::move(record));
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = {MakeRoute("/a/", CallKind::kRepeatable, "plain"),
                            MakeRoute("/m/", CallKind::kOnce, "engine")};
    configuration.services = {{"plain", 64, std::nullopt}, {"engine", 64, testing::MakeSpec()}};
    for (const auto& it : gateways) {
      it->ApplyListing({records, MonotonicMs()});
      it->ApplyConfiguration(configuration);
    }
  }

  void AddGiver() {
    for (const auto& it : gateways) {
      Gateway* gateway = it.get();
      gateway->OnQuotaMessages([this, gateway](const QuotaClient::Message& message) {
        boost::asio::post(io, [this, gateway, ask = message.request] {
          const QuotaGrant grant = giver.OnRequest(ask, MonotonicMs());
          if (!grant.allocations.empty()) gateway->ApplyQuotaGrant(grant);
        });
      });
      gateway->SetQuotaAllocators({{"i-agent", "10.0.0.1:1"}});
    }
  }

  // A caller of entry `n` that need not be answered before the next one.
  void Call(std::size_t n, const std::string& line = "GET /a/", const std::string& fields = "") {
    callers.push_back(std::make_unique<TestCaller>(io, ports[n % ports.size()]));
    callers.back()->Send(MakeRequest(line, fields));
  }

  std::int64_t CountServed() const {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& it) { return Contains(it->received(), "200 OK"); });
  }

  boost::asio::io_context io;
  EventLog log{QuietLog()};
  QuotaAllocator giver;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::uint16_t> ports;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  std::vector<UpstreamRecord> records;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

std::size_t MostWithin(const std::vector<TimeMs>& times, DurationMs window_ms) {
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= window_ms) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}

}  // namespace

TEST_GROUP(UpstreamLimits){};

// Guards against entries that send an upstream more than the limit that its answers name.
TEST(UpstreamLimits, HoldOverAllEntriesThatWereTold) {
  constexpr double kLimitPerS = 2;
  constexpr DurationMs kWindowMs = 4000;
  constexpr auto kAllowed = static_cast<std::size_t>(1.5 * kLimitPerS * kWindowMs / 1000 + 5);
  constexpr int kEntries = 4;
  Entries world(kEntries);
  std::vector<TimeMs> got;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    got.push_back(MonotonicMs());
    peer->Write(Answer("Server-Limit: 2\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(Answer()); });
  world.AddGiver();
  // Until each entry has been told.
  constexpr int kFirstCalls = 64;
  for (std::size_t n = 0; n < kFirstCalls; ++n) {
    world.Call(n);
    RunFor(world.io, 10);
  }
  RunFor(world.io, 500);
  got.clear();
  constexpr int kCalls = 240;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.Call(n);
    RunFor(world.io, 25);
  }
  RunFor(world.io, 200);
  const std::size_t most = MostWithin(got, kWindowMs);
  EXPECT_TRUE(most <= kAllowed, "expected " + std::to_string(kAllowed) +
                                    " requests in four seconds at most, got " +
                                    std::to_string(most));
  EXPECT_TRUE(!got.empty(), "what it allows is used");
  EXPECT_NUMBER(kCalls + kFirstCalls, world.CountServed(),
                "callers served, most by the upstream without a limit");
}

// Guards against an upstream that is avoided for good once it has named a limit.
TEST(UpstreamLimits, EndWithAnAnswerThatNamesNone) {
  Entries world(1);
  bool is_in_need = true;
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(Answer(is_in_need ? "Server-Limit: 2\r\n" : ""));
  });
  world.AddGiver();
  const auto call = [&] {
    world.Call(0);
    TestCaller& caller = *world.callers.back();
    RunUntil(world.io, [&] { return Contains(caller.received(), "\r\n\r\n"); });
    return caller.received();
  };
  EXPECT_TRUE(Contains(call(), "200 OK"), "the first answer names the limit");
  const std::string refusal = call();
  EXPECT_TRUE(Contains(refusal, "503 ") && Contains(refusal, "\"ran\":\"no\""), refusal);
  EXPECT_TRUE(Contains(refusal, "Retry-After"), "with the time at which it is served");
  EXPECT_NUMBER(1, calls, "nothing is left of two a second so soon");
  is_in_need = false;
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(call(), "200 OK"); }), "its share came");
  const int before = calls;
  for (int n = 0; n < 8; ++n) call();
  EXPECT_NUMBER(before + 8, calls, "it takes as many as come");
}

// Guards against an upstream that no entry sends to any more, as nobody counts its limit.
TEST(UpstreamLimits, LeaveEachEntryAShareWhereThereIsNoAgent) {
  Entries world(1);
  std::vector<TimeMs> got;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    got.push_back(MonotonicMs());
    peer->Write(Answer("Server-Limit: 16\r\n"));
  });
  for (std::size_t n = 0; n < 160; ++n) {
    world.Call(n);
    RunFor(world.io, 25);
  }
  EXPECT_TRUE(got.size() >= 2, "expected two requests or more, got " + std::to_string(got.size()));
  const std::size_t most = MostWithin(got, 4000);
  EXPECT_TRUE(most <= 16 * 4 / 8 + 2, "expected an eighth at most, got " + std::to_string(most));
}

TEST_GROUP(UpstreamRests){};

// Guards against an entry that goes on sending to an upstream which has asked it for a rest.
TEST(UpstreamRests, AreLeftToAnUpstreamThatAsksForOne) {
  constexpr DurationMs kRestMs = 2000;
  constexpr DurationMs kGraceMs = 500;  // What was under way when it asked.
  constexpr std::size_t kAllowed = 2;
  Entries world(1);
  TimeMs asked_at = 0;
  std::size_t unasked = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    const TimeMs now = MonotonicMs();
    if (asked_at == 0 || now - asked_at >= kRestMs) {
      asked_at = now;
    } else if (now - asked_at >= kGraceMs) {
      ++unasked;
    }
    peer->Write(TurnedAway("Retry-After: 2\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(Answer()); });
  constexpr int kCalls = 160;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.Call(n);
    RunFor(world.io, 25);
  }
  RunFor(world.io, 200);
  EXPECT_TRUE(unasked <= kAllowed,
              "expected two requests at most in its rest, got " + std::to_string(unasked));
  EXPECT_NUMBER(kCalls, world.CountServed(), "callers served by the other upstream");
}

// Guards against a request that is sent, or kept waiting, where the only upstream rests.
TEST(UpstreamRests, AreToldToCallersWhereNoOtherUpstreamIsThere) {
  Entries world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(TurnedAway("Retry-After: 30\r\n"));
  });
  world.Call(0);
  TestCaller& first = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(first.received(), "\"ran\":\"no\""); }),
              "it is refused");
  EXPECT_TRUE(Contains(first.received(), "Retry-After: 30.0") ||
                  Contains(first.received(), "Retry-After: 29.9"),
              first.received());
  world.Call(0);
  TestCaller& second = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(second.received(), "503 "); }),
              "the next is refused at once");
  EXPECT_NUMBER(1, calls, "and sent nowhere");
}

// Guards against a request that is given up though the one engine with its model only rests.
TEST(UpstreamRests, AreWaitedForByARequestWhoseModelIsNowhereElse) {
  constexpr DurationMs kRestMs = 500;
  Entries world(1);
  std::vector<TimeMs> got;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    got.push_back(MonotonicMs());
    peer->Write(got.size() == 1 ? TurnedAway("Retry-After: 0.5\r\n") : Answer());
  };
  world.AddUpstream("u1", script, "engine");
  world.Call(0, "POST /m/", "Junctionrail-Model: a\r\n");
  TestCaller& caller = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(caller.received(), "200 OK"); }),
              caller.received());
  EXPECT_NUMBER(2, got.size(), "it was sent again");
  EXPECT_TRUE(got.at(1) - got.at(0) >= kRestMs, "after the rest");
}

// Guards against requests that all go at once to an upstream whose rest is over.
TEST(UpstreamRests, EndWithOneRequestAheadOfThoseThatWaited) {
  constexpr int kCalls = 12;
  Entries world(1);
  std::vector<TimeMs> got;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    got.push_back(MonotonicMs());
    peer->Write(TurnedAway("Retry-After: 2\r\n"));
  };
  world.AddUpstream("u1", script, "engine");
  for (std::size_t n = 0; n < kCalls; ++n) world.Call(n, "POST /m/", "Junctionrail-Model: a\r\n");
  RunFor(world.io, 400);
  const std::size_t before = got.size();
  EXPECT_TRUE(RunUntil(world.io, [&] { return got.size() > before; }), "the rest is over");
  RunFor(world.io, 100);
  EXPECT_NUMBER(before + 1, got.size(), "requests, and another rest");
}

TEST_GROUP(UpstreamsThatLeave){};

// Guards against work for an upstream whose answers say that it leaves, while its record does not.
TEST(UpstreamsThatLeave, GetNothingMoreOnceAnAnswerSaysSo) {
  Entries world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(Answer("Server-Leaving: 1\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(Answer()); });
  constexpr int kCalls = 20;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.Call(n);
    RunFor(world.io, 10);
    world.gateways[0]->ApplyListing({world.records, MonotonicMs()});
  }
  RunFor(world.io, 200);
  EXPECT_NUMBER(kCalls, world.CountServed(), "callers served");
  EXPECT_NUMBER(1, calls, "requests to the one that leaves");
}

// Guards against a notice of another upstream that has the address now.
TEST(UpstreamsThatLeave, AreNotThoseInWhosePlaceAnotherOneAnswers) {
  Entries world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    const bool is_first = ++calls == 1;
    peer->Write(is_first ? "HTTP/1.1 421 Misdirected Request\r\nJunctionrail-Request-Id: r1\r\n"
                           "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                         : Answer());
  });
  world.Call(0);
  RunFor(world.io, 100);
  EXPECT_TRUE(world.gateways[0]->upstreams().IsListed("u1"), "it has said nothing");
}

}  // namespace junctionrail

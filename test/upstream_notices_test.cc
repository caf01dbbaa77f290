// Tests of limits, backoffs and leaving notices in upstream answers, over real sockets.
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

std::string OkResponse(const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\nJunctionrail-Request-Id: r1\r\nJunctionrail-Proof: p\r\n" + fields +
         "Content-Length: 2\r\n\r\nok";
}

// A rejection that states that the request was not executed.
std::string Rejection(const std::string& fields) {
  return "HTTP/1.1 503 Service Unavailable\r\nJunctionrail-Request-Id: r1\r\n"
         "Junctionrail-Not-Run: 1\r\n" +
         fields + "Content-Length: 0\r\n\r\n";
}

// Entries that share upstreams, and an agent that assigns shares of an upstream's limit
// to them.
class EntryCluster {
 public:
  explicit EntryCluster(int n) {
    for (int k = 0; k < n; ++k) {
      GatewayOptions options;
      options.listen_endpoint = {"127.0.0.1", 0};
      options.data_hall = "hall-1";
      options.routing.topology = Topology("hall-1", {});
      options.retry_budget = testing::AmpleRetries();
      options.entry_id = "entry-" + std::to_string(k);
      options.read_notice = platform::ReadNotice;
      gateways.push_back(std::make_unique<Gateway>(io, options, log));
      ports.push_back(gateways.back()->Listen().value());
    }
  }

  ~EntryCluster() {
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
    configuration.routes = {MakeRoute("/a/", RequestKind::kIdempotent, "plain"),
                            MakeRoute("/m/", RequestKind::kNonIdempotent, "engine")};
    configuration.services = {{"plain", 64, std::nullopt}, {"engine", 64, testing::MakeSpec()}};
    for (const auto& it : gateways) {
      it->ApplyListing({records, MonotonicMs()});
      it->ApplyConfiguration(configuration);
    }
  }

  void AddQuotaGiver() {
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

  // Sends a request to entry `n` without waiting for the answer.
  void SendRequest(std::size_t n, const std::string& line = "GET /a/",
                   const std::string& fields = "") {
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

std::size_t MaxInWindow(const std::vector<TimeMs>& times, DurationMs window_ms) {
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] >= window_ms) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}

}  // namespace

TEST_GROUP(UpstreamLimits){};

// Guards against entries that together exceed the limit stated in an upstream's answers.
TEST(UpstreamLimits, EnforcedAcrossAllEntries) {
  constexpr double kLimitPerS = 2;
  constexpr DurationMs kWindowMs = 4000;
  constexpr auto kAllowed = static_cast<std::size_t>(1.5 * kLimitPerS * kWindowMs / 1000 + 5);
  constexpr int kEntries = 4;
  EntryCluster world(kEntries);
  std::vector<TimeMs> received_at;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    received_at.push_back(MonotonicMs());
    peer->Write(OkResponse("Server-Limit: 2\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse()); });
  world.AddQuotaGiver();
  // Until each entry knows the limit.
  constexpr int kFirstCalls = 64;
  for (std::size_t n = 0; n < kFirstCalls; ++n) {
    world.SendRequest(n);
    RunFor(world.io, 10);
  }
  RunFor(world.io, 500);
  received_at.clear();
  constexpr int kCalls = 240;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.SendRequest(n);
    RunFor(world.io, 25);
  }
  RunFor(world.io, 200);
  const std::size_t most = MaxInWindow(received_at, kWindowMs);
  EXPECT_TRUE(most <= kAllowed, "expected " + std::to_string(kAllowed) +
                                    " requests in 4 s at most, got " + std::to_string(most));
  EXPECT_TRUE(!received_at.empty(), "the limit is used");
  EXPECT_NUMBER(kCalls + kFirstCalls, world.CountServed(),
                "callers served, most by the unlimited upstream");
}

// Guards against limiting an upstream for good once it has stated a limit.
TEST(UpstreamLimits, ClearedByAnswerWithoutLimit) {
  EntryCluster world(1);
  bool is_in_need = true;
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(OkResponse(is_in_need ? "Server-Limit: 2\r\n" : ""));
  });
  world.AddQuotaGiver();
  const auto call = [&] {
    world.SendRequest(0);
    TestCaller& caller = *world.callers.back();
    RunUntil(world.io, [&] { return Contains(caller.received(), "\r\n\r\n"); });
    return caller.received();
  };
  EXPECT_TRUE(Contains(call(), "200 OK"), "the first answer states the limit");
  const TimeMs stated_at = MonotonicMs();
  // The allocator's bucket starts empty, and admits one request once anything has accrued.
  std::string refusal = call();
  if (Contains(refusal, "200 OK")) refusal = call();
  const double accrued = 2.0 * static_cast<double>(MonotonicMs() - stated_at) / 1000;
  EXPECT_TRUE(Contains(refusal, "503 ") && Contains(refusal, "\"ran\":\"no\""), refusal);
  EXPECT_TRUE(Contains(refusal, "Retry-After"), "tells when to retry");
  EXPECT_TRUE(calls <= 2 + accrued,
              "expected no more than the limit of two a second, got " + std::to_string(calls));
  is_in_need = false;
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(call(), "200 OK"); }),
              "the entry received its share");
  const int before = calls;
  for (int n = 0; n < 8; ++n) call();
  EXPECT_NUMBER(before + 8, calls, "no limit applies any more");
}

// Guards against an upstream that gets no requests because no agent assigns its limit.
TEST(UpstreamLimits, LeaveEachEntryAShareWithoutAgent) {
  EntryCluster world(1);
  std::vector<TimeMs> received_at;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    received_at.push_back(MonotonicMs());
    peer->Write(OkResponse("Server-Limit: 16\r\n"));
  });
  for (std::size_t n = 0; n < 160; ++n) {
    world.SendRequest(n);
    RunFor(world.io, 25);
  }
  EXPECT_TRUE(received_at.size() >= 2,
              "expected two requests or more, got " + std::to_string(received_at.size()));
  const std::size_t most = MaxInWindow(received_at, 4000);
  EXPECT_TRUE(most <= 16 * 4 / 8 + 2, "expected an eighth at most, got " + std::to_string(most));
}

TEST_GROUP(UpstreamBackoff){};

// Guards against an entry that keeps sending to an upstream that requested a backoff.
TEST(UpstreamBackoff, HonorsRequestedBackoff) {
  constexpr DurationMs kRestMs = 2000;
  constexpr DurationMs kGraceMs = 500;  // For requests in flight when it asked.
  constexpr std::size_t kAllowed = 2;
  EntryCluster world(1);
  TimeMs asked_at = 0;
  std::size_t unasked = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    const TimeMs now = MonotonicMs();
    if (asked_at == 0 || now - asked_at >= kRestMs) {
      asked_at = now;
    } else if (now - asked_at >= kGraceMs) {
      ++unasked;
    }
    peer->Write(Rejection("Retry-After: 2\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse()); });
  constexpr int kCalls = 160;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.SendRequest(n);
    RunFor(world.io, 25);
  }
  RunFor(world.io, 200);
  EXPECT_TRUE(unasked <= kAllowed,
              "expected two requests at most during the backoff, got " + std::to_string(unasked));
  EXPECT_NUMBER(kCalls, world.CountServed(), "callers served by the other upstream");
}

// Guards against sending or holding a request while the only upstream is backing off.
TEST(UpstreamBackoff, ReportsRetryAfterWithoutOtherUpstream) {
  EntryCluster world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(Rejection("Retry-After: 30\r\n"));
  });
  world.SendRequest(0);
  TestCaller& first = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(first.received(), "\"ran\":\"no\""); }),
              "refused without execution");
  EXPECT_TRUE(Contains(first.received(), "Retry-After: 30.0") ||
                  Contains(first.received(), "Retry-After: 29.9"),
              first.received());
  world.SendRequest(0);
  TestCaller& second = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(second.received(), "503 "); }),
              "the second request is refused at once");
  EXPECT_NUMBER(1, calls, "requests that reached the upstream");
}

// Guards against failing a request although the one engine with its model only backs off.
TEST(UpstreamBackoff, RequestWaitsWhenModelIsNowhereElse) {
  constexpr DurationMs kRestMs = 500;
  EntryCluster world(1);
  std::vector<TimeMs> received_at;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    received_at.push_back(MonotonicMs());
    peer->Write(received_at.size() == 1 ? Rejection("Retry-After: 0.5\r\n") : OkResponse());
  };
  world.AddUpstream("u1", script, "engine");
  world.SendRequest(0, "POST /m/", "Junctionrail-Model: a\r\n");
  TestCaller& caller = *world.callers.back();
  EXPECT_TRUE(RunUntil(world.io, [&] { return Contains(caller.received(), "200 OK"); }),
              caller.received());
  EXPECT_NUMBER(2, received_at.size(), "attempts");
  EXPECT_TRUE(received_at.at(1) - received_at.at(0) >= kRestMs,
              "expected the retry after the backoff");
}

// Guards against sending all waiting requests at once when an upstream's backoff ends.
TEST(UpstreamBackoff, ProbesWithOneRequestAfterBackoff) {
  constexpr int kCalls = 12;
  EntryCluster world(1);
  std::vector<TimeMs> received_at;
  const auto script = [&](const SeenRequest&, const Peer& peer) {
    received_at.push_back(MonotonicMs());
    peer->Write(Rejection("Retry-After: 2\r\n"));
  };
  world.AddUpstream("u1", script, "engine");
  for (std::size_t n = 0; n < kCalls; ++n)
    world.SendRequest(n, "POST /m/", "Junctionrail-Model: a\r\n");
  RunFor(world.io, 400);
  const std::size_t before = received_at.size();
  EXPECT_TRUE(RunUntil(world.io, [&] { return received_at.size() > before; }),
              "expected a request after the backoff");
  RunFor(world.io, 100);
  EXPECT_NUMBER(before + 1, received_at.size(), "requests before the next backoff");
}

TEST_GROUP(LeavingNotices){};

// Guards against sending to an upstream whose answers announce that it is leaving before
// its record does.
TEST(LeavingNotices, StopsSendingAfterLeavingHeader) {
  EntryCluster world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    ++calls;
    peer->Write(OkResponse("Server-Leaving: 1\r\n"));
  });
  world.AddUpstream("u2", [](const SeenRequest&, const Peer& peer) { peer->Write(OkResponse()); });
  constexpr int kCalls = 20;
  for (std::size_t n = 0; n < kCalls; ++n) {
    world.SendRequest(n);
    RunFor(world.io, 10);
    world.gateways[0]->ApplyListing({world.records, MonotonicMs()});
  }
  RunFor(world.io, 200);
  EXPECT_NUMBER(kCalls, world.CountServed(), "callers served");
  EXPECT_NUMBER(1, calls, "requests to the leaving upstream");
}

// Guards against attributing a notice to an upstream whose address now belongs to another.
TEST(LeavingNotices, IgnoresHeaderFromReplacementInstance) {
  EntryCluster world(1);
  int calls = 0;
  world.AddUpstream("u1", [&](const SeenRequest&, const Peer& peer) {
    const bool is_first = ++calls == 1;
    peer->Write(is_first ? "HTTP/1.1 421 Misdirected Request\r\nJunctionrail-Request-Id: r1\r\n"
                           "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                         : OkResponse());
  });
  world.SendRequest(0);
  RunFor(world.io, 100);
  EXPECT_TRUE(world.gateways[0]->upstreams().IsListed("u1"), "u1 announced nothing");
}

}  // namespace junctionrail

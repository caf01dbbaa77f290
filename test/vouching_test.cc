// Entries confirm the configuration to one another: an entry that cannot reach the store stays in
// service as long as another entry can, and no longer.
#include <boost/asio/io_context.hpp>

#include "check.h"
#include "confirmation_message.h"
#include "direct_daemon.h"
#include "junctionrail/net.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::internal {
namespace {

using testing::OwnAddress;
using testing::RunFor;
using testing::RunUntil;
using testing::SilentLog;
using testing::StandinStore;
using testing::TestCaller;

constexpr std::uint16_t kPort = 8160;
constexpr DurationMs kRevokeMs = 3000;

constexpr char kConfiguration[] = R"({"version":4,"routes":[
  {"name":"r1","hostname":"shop.example","pathPrefix":"/a/","kind":"idempotent","timeoutMs":2000,
   "targetLatencyMs":500,"service":"s1"}],
  "services":[{"name":"s1","maxConns":100}],
  "tenants":[{"name":"shop","apiKeys":["secret"]}]})";

// Two entries, the second of which has no connection to the store.
struct World {
  World() {
    store.Put("op/config", kConfiguration);
    AddEntry(0, store.endpoint());
    AddEntry(1, {OwnAddress(99), 1});
  }

  ~World() {
    for (auto& it : entries) it->Stop();
    RunFor(io, 50);
  }

  static Endpoint Address(int n, int port = 0) {
    return {OwnAddress(80 + n), static_cast<std::uint16_t>(kPort + port)};
  }

  void AddEntry(int n, const Endpoint& to_store) {
    Settings settings;
    settings.id = "entry-" + std::to_string(n);
    settings.data_hall = "hall-1";
    settings.drain_ms = 0;
    settings.direct.emplace();
    settings.direct->store = to_store;
    settings.direct->callers = Address(n);
    settings.direct->metrics = Address(n, 1);
    settings.direct->health = Address(n, 2);
    settings.direct->peer = Address(n, 3);
    settings.direct->peers = {Address(0, 3), Address(1, 3)};
    settings.direct->link_port = kPort + 4;
    settings.direct->revoke_ms = kRevokeMs;
    entries[n] = std::make_unique<DirectEntry>(io, settings, SilentLog());
    const auto error = entries[n]->Start();
    EXPECT_TRUE(!error, error ? error->sentence : "");
  }

  std::string SendRequest(const Endpoint& endpoint, const std::string& target,
                          const std::string& fields) {
    TestCaller caller(io, endpoint);
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\n" + fields +
                "Connection: close\r\n\r\n");
    caller.AwaitEnd();
    return caller.received();
  }

  // Sends a request with a key to the second entry. As there is no upstream, the response reports
  // either that or an expired configuration.
  std::string SendRequestWithKey() {
    return SendRequest(Address(1), "/a/1",
                       "Attempt-Id: r1\r\nDeadline-Ms: 1000\r\nKey: secret\r\n");
  }

  boost::asio::io_context io;
  StandinStore store{io};
  std::array<std::unique_ptr<DirectEntry>, 2> entries;
};

bool HasText(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(PeerConfirmation){};

TEST(PeerConfirmation, KeepsAnEntryWithoutAStoreInServiceWhileAPeerHasOne) {
  World world;
  const bool is_ready = RunUntil(world.io, [&] {
    return HasText(world.SendRequest(World::Address(1, 2), "/ready", ""), " 200 ");
  });
  EXPECT_TRUE(is_ready, "the second entry has the configuration from its peer");
  for (int n = 0; n < 6; ++n) {
    RunFor(world.io, kRevokeMs / 3);
    const std::string confirmed = world.SendRequestWithKey();
    EXPECT_TRUE(HasText(confirmed, "no_upstream"), "the key is accepted: " + confirmed);
  }
  world.store.mood = StandinStore::Mood::kSilent;
  world.store.SilenceWatches();
  RunFor(world.io, kRevokeMs);
  const std::string expired = world.SendRequestWithKey();
  EXPECT_TRUE(HasText(expired, "old_configuration"),
              "the confirmation by the peer expires: " + expired);
}

TEST(PeerConfirmation, MessageRoundTrip) {
  const auto read = ParseConfirmation(FormatConfirmation({7, 1200}));
  EXPECT_TRUE(read && read->version == 7 && read->age_ms == 1200, "version and age");
  EXPECT_TRUE(read->evacuated_halls.empty(), "no hall is evacuated");
  const std::set<std::string> halls = {"hall 1,\n", "hall-2"};
  const auto with_halls = ParseConfirmation(FormatConfirmation({7, 1200, halls}));
  EXPECT_TRUE(with_halls && with_halls->evacuated_halls == halls, "names of any bytes");
  for (const char* it :
       {"", "7", "7 ", "7 x", "7 -1", "7 1 2", "7 1  ", "-7 1", "7 99999999999999999999"}) {
    EXPECT_TRUE(!ParseConfirmation(it), it);
  }
}

}  // namespace junctionrail::internal

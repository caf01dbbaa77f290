// Upstreams whose records have gone from the platform's list, and lists that do not know it: those
// of a relay that stood still, and those of a store that was restored from an older copy.
#include "check.h"
#include "junctionrail/listing.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;

constexpr DurationMs kPeriodMs = 900;
constexpr DurationMs kMaxAgeMs = 1800;

UpstreamRecord PlainRecord(const std::string& instance, std::int64_t generation) {
  UpstreamRecord record = MakeRecord(instance);
  record.service = "plain";
  record.endpoint.port = static_cast<std::uint16_t>(generation);
  record.generation = generation;
  return record;
}

UpstreamRecord Missing(UpstreamRecord record) {
  record.is_missing = true;
  return record;
}

struct DepartureFixture : testing::TableFixture {
  DepartureFixture() {
    List({first, second});
    List({first});
  }

  void List(const std::vector<UpstreamRecord>& records) {
    now += kPeriodMs;
    table.ApplyListing(records, now);
  }
  // What a request gets that may not run at u1.
  std::string ChooseSecond() { return Choose("plain", std::nullopt, {"u1"}); }

  UpstreamRecord first = PlainRecord("u1", 101);
  UpstreamRecord second = PlainRecord("u2", 102);
};

// A relay that reads the list from a store, and an entry that asks it.
struct RelayedWorld {
  // The relay reads the list; while it stands still it does not, and answers nobody.
  void ReadAtRelay(const std::vector<UpstreamRecord>& records) {
    const auto poll = schedule.Begin(entry.now);
    schedule.OnAnswer(poll, entry.now);
    const bool may_have_lapsed = schedule.was_unreadable() || schedule.was_stalled();
    relay.ApplyListing(
        {keeper.AddExpired(records, may_have_lapsed, entry.now, entry.now), entry.now});
  }

  void AskRelay() {
    entry.now += kPeriodMs;
    const auto ask = client.NextAsk({"agent-1"}, entry.now);
    if (!ask) return;
    const auto reply = relay.Answer(ask->request, entry.now);
    const auto news = client.OnReply(ask->instance, reply, kMaxAgeMs, entry.now);
    if (news && news->listing) entry.table.ApplyListing(news->listing->records, entry.now);
  }

  testing::TableFixture entry;
  PollSchedule schedule{kPeriodMs};
  ExpiredRecordKeeper keeper;
  ListingRelay relay{"epoch-1"};
  RelayClient client{"entry-1", kPeriodMs};
};

}  // namespace

TEST_GROUP(DepartedUpstreams){};

// Guards against a relay that takes its own standstill for an outage of the store, and so brings an
// upstream back to entries that know that it has left.
TEST(DepartedUpstreams, AreNotBroughtBackByARelayThatStoodStill) {
  constexpr DurationMs kStandstillMs = 4000;
  RelayedWorld world;
  const auto stays = PlainRecord("u1", 101);
  const auto leaves = PlainRecord("u2", 102);
  world.ReadAtRelay({stays, leaves});
  world.AskRelay();
  EXPECT_TEXT("send u2", world.entry.Choose("plain", std::nullopt, {"u1"}), "both are listed");
  world.entry.now += kStandstillMs;
  world.entry.table.ApplyListing({stays}, world.entry.now);  // As the entry reads by itself.
  world.ReadAtRelay({stays});
  for (int n = 0; n < 3; ++n) {
    world.AskRelay();
    EXPECT_TEXT("all_tried", world.entry.Choose("plain", std::nullopt, {"u1"}), "u2 has left");
  }
}

// Guards against a departure that is forgotten while a request still runs at the upstream.
TEST(DepartedUpstreams, AreNotBroughtBackWhileARequestRunsThere) {
  DepartureFixture t;
  t.List({t.first, PlainRecord("u3", 103)});
  t.table.OnSent("u3", std::nullopt, t.now);
  t.List({t.first});
  t.List({t.first, Missing(PlainRecord("u3", 103))});
  t.table.OnResponseData("u3", t.now);
  EXPECT_TEXT("all_tried", t.ChooseSecond(), "u3 has left");
}

// Guards against upstreams that lapsed in an outage and stay unused by an entry that starts then.
TEST(DepartedUpstreams, AreNotThoseThatWereNeverSeenToGo) {
  DepartureFixture t;
  t.List({t.first, Missing(PlainRecord("u3", 103))});
  EXPECT_TEXT("send u3", t.ChooseSecond(), "its record may only have lapsed");
}

// Guards against an upstream that stays unused although it has written its record anew.
TEST(DepartedUpstreams, AreBackOnceTheirRecordIsCreatedAnew) {
  DepartureFixture t;
  t.List({t.first, PlainRecord("u2", 110)});
  EXPECT_TEXT("send u2", t.ChooseSecond(), "it has been suspended, for example");
  t.List({t.first, Missing(PlainRecord("u2", 110))});
  EXPECT_TEXT("send u2", t.ChooseSecond(), "it is listed, and may only have lapsed");
}

// Guards against requests to an upstream that has left, as it stands in the copy from which the
// store was restored.
TEST(DepartedUpstreams, AreNotBroughtBackByARestoredStore) {
  DepartureFixture t;
  for (int n = 0; n < 4; ++n) {
    t.List({t.first, t.second});
    EXPECT_TEXT("all_tried", t.ChooseSecond(), "nobody has renewed its record");
  }
  t.List({t.first});
  EXPECT_TEXT("all_tried", t.ChooseSecond(), "its record has expired");
}

// Guards against an upstream that stays unused although it renews the record in the restored store.
TEST(DepartedUpstreams, AreBackOnceTheirRecordOutlastsItsExpiry) {
  DepartureFixture t;
  for (int n = 0; n < 7; ++n) t.List({t.first, t.second});
  EXPECT_TEXT("send u2", t.ChooseSecond(), "its record would have expired");
}

}  // namespace junctionrail

// The relay of the list of upstreams, and the entries that ask it.
#include "check.h"
#include "junctionrail/listing.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;

constexpr TimeMs kStart = 1000000;
constexpr DurationMs kMaxAgeMs = 1000;

// A relay and one entry that asks it.
struct RelayFixture {
  explicit RelayFixture(std::string epoch = "epoch-1") : relay(std::move(epoch)) {}

  void List(std::vector<UpstreamRecord> records) { relay.ApplyListing({std::move(records), now}); }

  std::optional<RelayClient::News> Ask() {
    now += 300;
    const auto ask = client.NextAsk({"agent-1", "agent-2"}, now);
    if (!ask) return std::nullopt;
    reply = relay.Answer(ask->request, now);
    changes = {};
    if (reply.changes) DecodeListingChanges(*reply.changes, &changes);
    return client.OnReply(ask->instance, reply, kMaxAgeMs, now);
  }

  std::string Known() {
    const auto news = Ask();
    if (!news || !news->listing) return "none";
    std::string names;
    for (const auto& it : news->listing->records) names += it.instance + " ";
    return names;
  }

  ListingRelay relay;
  RelayClient client{"entry-1", 0};
  RelayReply reply;
  ListingChanges changes;  // Of the reply.
  TimeMs now = kStart;
};

}  // namespace

TEST_GROUP(ListingRelay){};

TEST(ListingRelay, SendsTheWholeListOnceAndThenWhatChanged) {
  RelayFixture t;
  EXPECT_TEXT("none", t.Known(), "it has not polled the list yet");
  t.List({MakeRecord("u1"), MakeRecord("u2")});
  EXPECT_TEXT("u1 u2 ", t.Known(), "");
  EXPECT_TRUE(t.reply.is_whole && t.changes.changed.size() == 2, "the whole list");
  EXPECT_TEXT("u1 u2 ", t.Known(), "");
  EXPECT_TRUE(!t.reply.is_whole && t.changes.changed.empty(), "nothing has changed");
  UpstreamRecord leaving = MakeRecord("u2");
  leaving.is_leaving = true;
  t.List({leaving, MakeRecord("u3")});
  EXPECT_TEXT("u2 u3 ", t.Known(), "u1 is gone");
  EXPECT_TRUE(t.changes.changed.size() == 2 && t.changes.removed.size() == 1, "only the changes");
  t.List({MakeRecord("u1"), leaving, MakeRecord("u3")});
  EXPECT_TEXT("u1 u2 u3 ", t.Known(), "u1 is back");
}

TEST(ListingRelay, StartsAnewForAnEntryThatAskedAnother) {
  RelayFixture t;
  t.List({MakeRecord("u1")});
  t.Ask();
  t.relay = ListingRelay("epoch-2");
  t.List({MakeRecord("u2")});
  EXPECT_TEXT("u2 ", t.Known(), "versions of another relay say nothing");
  EXPECT_TRUE(t.reply.is_whole, "");
}

TEST(ListingRelay, IgnoresAnOlderList) {
  RelayFixture t;
  t.List({MakeRecord("u1")});
  t.relay.ApplyListing({{}, kStart - 1});
  EXPECT_TEXT("u1 ", t.Known(), "");
}

TEST(ListingRelay, SendsABoundedNumberOfWholeListsASecond) {
  ListingRelay relay("epoch-1");
  relay.ApplyListing({{MakeRecord("u1")}, kStart});
  int whole = 0;
  for (int n = 0; n < 300; ++n) {
    whole += relay.Answer({"e" + std::to_string(n), 1, "", 0}, kStart + 100).is_whole ? 1 : 0;
  }
  EXPECT_NUMBER(100, whole, "at once");
  EXPECT_TRUE(relay.Answer({"e299", 2, "", 0}, kStart + 1200).is_whole, "in the next second");
}

TEST(ListingRelay, IsInUseWhileEntriesAsk) {
  ListingRelay relay("epoch-1");
  EXPECT_TRUE(!relay.IsInUse(kStart), "");
  relay.Answer({"e1", 1, "", 0}, kStart);
  EXPECT_TRUE(relay.IsInUse(kStart + 5000) && !relay.IsInUse(kStart + 5001), "");
}

TEST_GROUP(RelayClient){};

TEST(RelayClient, CountsAgesFromItsRequest) {
  RelayFixture t;
  t.List({MakeRecord("u1")});
  t.relay.ConfirmConfiguration(7, "{}", kStart - 300);
  t.now += 400;
  const auto ask = t.client.NextAsk({"agent-1"}, t.now);
  const RelayReply reply = t.relay.Answer(ask->request, t.now + 50);
  const auto news = t.client.OnReply("agent-1", reply, kMaxAgeMs, t.now + 3000);
  EXPECT_NUMBER(kStart - 50, news->listing->as_of, "however long the reply was on its way");
  EXPECT_NUMBER(kStart - 350, news->configuration_as_of, "");
  EXPECT_NUMBER(7, news->configuration_version, "");
}

TEST(RelayClient, PassesOverARelayThatDoesNotAnswer) {
  RelayClient client("entry-1", 1000);
  const std::vector<std::string> ranked = {"agent-1", "agent-2"};
  EXPECT_TEXT("agent-1", client.NextAsk(ranked, kStart)->instance, "the first one");
  EXPECT_TEXT("agent-2", client.NextAsk(ranked, kStart + 400)->instance, "no answer");
  EXPECT_TRUE(!client.NextAsk(ranked, kStart + 800), "nor here");
  EXPECT_TEXT("agent-1", client.NextAsk(ranked, kStart + 5400)->instance, "it is asked again");
}

TEST(RelayClient, AsksOnceInEachPeriod) {
  RelayFixture t;
  t.client.SetPeriod(1000);
  t.List({MakeRecord("u1")});
  t.Ask();
  EXPECT_TRUE(!t.client.NextAsk({"agent-1"}, t.now + 999), "not due");
  EXPECT_TRUE(t.client.NextAsk({"agent-1"}, t.now + 1000).has_value(), "due");
}

// Guards against ranking the agents at each check, which is ten times as often as a request is due.
TEST(RelayClient, SaysWhetherARequestIsDue) {
  RelayFixture t;
  t.client.SetPeriod(1000);
  t.List({MakeRecord("u1")});
  EXPECT_TRUE(t.client.IsDue(t.now), "at the start");
  t.Ask();
  EXPECT_TRUE(!t.client.IsDue(t.now + 999) && t.client.IsDue(t.now + 1000), "once each period");
}

// Guards against entries that pass over a relay at the same time and return to it at the same time.
TEST(RelayClient, ReturnsAtATimeOfItsOwnWithSeveralRegions) {
  const std::vector<std::string> ranked = {"agent-1", "agent-2"};
  std::map<TimeMs, int> returns;  // By second.
  for (int n = 0; n < 100; ++n) {
    RelayClient client("entry-" + std::to_string(n), 1000);
    client.SetRegion("north", 3);
    client.NextAsk(ranked, kStart);
    TimeMs now = kStart + 300;
    client.NextAsk(ranked, now);
    while (!client.NextAsk({"agent-1"}, now)) now += 100;
    EXPECT_TRUE(now >= kStart + 5300 && now <= kStart + 15400, std::to_string(now - kStart));
    ++returns[now / 1000];
  }
  for (const auto& [second, n] : returns) EXPECT_TRUE(n <= 25, std::to_string(n) + " of 100");
  EXPECT_TRUE(returns.size() >= 9, "over ten seconds");
}

TEST(RelayClient, PassesOverARelayWhoseListIsOld) {
  RelayFixture t;
  t.List({MakeRecord("u1")});
  t.now += kMaxAgeMs + 1;
  EXPECT_TRUE(t.Ask()->listing.has_value(), "better than nothing");
  EXPECT_TEXT("agent-2", t.client.NextAsk({"agent-1", "agent-2"}, t.now)->instance, "");
}

TEST(RelayClient, TakesNoReplyToAnEarlierRequest) {
  RelayFixture t;
  t.List({MakeRecord("u1")});
  const auto first = t.client.NextAsk({"agent-1"}, t.now);
  const RelayReply reply = t.relay.Answer(first->request, t.now);
  t.client.NextAsk({"agent-1", "agent-2"}, t.now + 400);
  EXPECT_TRUE(!t.client.OnReply("agent-1", reply, kMaxAgeMs, t.now + 500), "the second was asked");
}

TEST_GROUP(RelayMessages){};

TEST(RelayMessages, RoundTrip) {
  RelayReply reply;
  reply.number = 9;
  reply.epoch = "epoch-1";
  reply.version = 4;
  reply.list_age_ms = 250;
  reply.is_whole = true;
  ListingChanges changes;
  changes.changed = {MakeRecord("u1"), MakeRecord("u2", "hall-2")};
  changes.changed[0].loaded = {{"a", {"a1"}}};
  changes.changed[0].cached_models = {"b"};
  changes.changed[0].cold_ms = 1200;
  changes.changed[1].is_missing = true;
  changes.changed[1].is_unreadable = true;
  changes.removed = {"u3"};
  reply.changes = std::make_shared<const std::string>(EncodeListingChanges(changes));
  reply.configuration_version = 12;
  reply.configuration_age_ms = 30;
  reply.evacuated_halls = {"hall-3"};
  reply.is_planner = true;
  RelayReply read;
  const std::string bytes = EncodeRelayReply(reply);
  EXPECT_TRUE(IsRelayReply(bytes) && !IsRelayRequest(bytes), "recognized by its prefix");
  EXPECT_TRUE(DecodeRelayReply(bytes, &read), "");
  ListingChanges read_changes;
  EXPECT_TRUE(read.changes && DecodeListingChanges(*read.changes, &read_changes), "");
  EXPECT_TRUE(read_changes.changed == changes.changed && read_changes.removed == changes.removed,
              "the list");
  EXPECT_TRUE(read.number == 9 && read.epoch == "epoch-1" && read.version == 4 && read.is_whole &&
                  read.list_age_ms == 250 && read.is_planner,
              "");
  EXPECT_TRUE(read.configuration_version == 12 && read.configuration_age_ms == 30 &&
                  read.evacuated_halls == reply.evacuated_halls,
              "the configuration");
  RelayRequest request;
  EXPECT_TRUE(DecodeRelayRequest(EncodeRelayRequest({"e1", 3, "epoch-1", 4}), &request), "");
  EXPECT_TRUE(request.entry == "e1" && request.number == 3 && request.epoch == "epoch-1" &&
                  request.version == 4,
              "");
}

// Guards against a document that entries of an older version cannot read past, and against one that
// is sent although nobody asks for it.
TEST(RelayMessages, HoldTheConfigurationOnlyWhereItIsAskedFor) {
  const std::string asking = EncodeRelayRequest({"e1", 3, "epoch-1", 4, "", 1, 11});
  RelayRequest request;
  EXPECT_TRUE(DecodeRelayRequest(asking, &request) && request.outdated_configuration == 11, "");
  ListingRelay relay("epoch-1");
  relay.ConfirmConfiguration(12, "{}", kStart);
  const RelayReply reply = relay.Answer(request, kStart);
  EXPECT_TRUE(reply.configuration && *reply.configuration == "{}", "version 11 is outdated");
  request.outdated_configuration = 12;
  EXPECT_TRUE(!relay.Answer(request, kStart).configuration, "version 12 is not");
  request.outdated_configuration = 0;
  EXPECT_TRUE(!relay.Answer(request, kStart).configuration, "not asked for");
  RelayReply read;
  EXPECT_TRUE(DecodeRelayReply(EncodeRelayReply(reply), &read) && read.configuration &&
                  *read.configuration == "{}",
              "");
  EXPECT_TRUE(DecodeRelayReply(EncodeRelayReply({1, "epoch-1"}), &read), "");
}

// Relays of an older version read the first four fields; entries of an older version send no more.
TEST(RelayMessages, StateTheRegionOnlyWhereThereAreSeveral) {
  const std::string plain = EncodeRelayRequest({"e1", 3, "epoch-1", 4});
  RelayRequest request;
  EXPECT_TRUE(DecodeRelayRequest(plain, &request) && request.region.empty(), "");
  EXPECT_NUMBER(1, request.regions, "as an entry of an older version");
  EXPECT_TEXT(plain, EncodeRelayRequest({"e1", 3, "epoch-1", 4, "north", 1}), "a single region");
  const std::string regional = EncodeRelayRequest({"e1", 3, "epoch-1", 4, "north", 3});
  const std::size_t fields = plain.find("\x84");
  EXPECT_TEXT(plain.substr(fields + 1), regional.substr(fields + 1, plain.size() - fields - 1),
              "the first four fields are the same");
  EXPECT_TRUE(DecodeRelayRequest(regional, &request), "");
  EXPECT_TEXT("north", request.region, "");
  EXPECT_NUMBER(3, request.regions, "");
}

TEST(RelayMessages, RejectMalformedInput) {
  const std::string changes = EncodeListingChanges({{MakeRecord("u1")}, {}});
  for (std::size_t n = 0; n < changes.size(); ++n) {
    ListingChanges read;
    EXPECT_TRUE(!DecodeListingChanges(changes.substr(0, n), &read), "cut short");
  }
  const std::string bytes = EncodeRelayReply({1, "epoch-1", 1, 0, true, nullptr});
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    RelayReply reply;
    EXPECT_TRUE(!DecodeRelayReply(bytes.substr(0, n), &reply), "cut short");
  }
  RelayRequest request;
  EXPECT_TRUE(!DecodeRelayRequest(EncodeRelayRequest({"", 1, "", 0}), &request), "no entry");
  EXPECT_TRUE(!DecodeRelayRequest("\xa1\x65relay\x80", &request), "no fields");
}

}  // namespace junctionrail

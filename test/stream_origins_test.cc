// What processes keep and tell of the streams that began, without I/O.
#include "junctionrail/stream_origins.h"

#include "check.h"

namespace junctionrail {
namespace {

const StreamOrigin kOrigin{"s1", "v1"};
const StreamOrigin kOther{"s1", "v2"};

std::string VersionOf(const StreamOriginTable& table, const std::string& stream, TimeMs now) {
  const auto origin = table.Find(stream, now);
  return origin ? origin->version : "none";
}

std::vector<OriginHolderSite> MakeSites(int n) {
  std::vector<OriginHolderSite> sites;
  for (int i = 0; i < n; ++i) {
    sites.push_back({"10.0.0." + std::to_string(i), "i-" + std::to_string(i)});
  }
  return sites;
}

}  // namespace

TEST_GROUP(StreamOrigins){};

// Guards against a stream that changes its version with a request that resumes it.
TEST(StreamOrigins, KeepTheFirstOriginOfAStream) {
  StreamOriginTable table;
  table.Add("a", kOrigin, 100);
  table.Add("a", kOther, 200);
  EXPECT_TEXT("v1", VersionOf(table, "a", 300), "the first one stays");
  EXPECT_TEXT("none", VersionOf(table, "b", 300), "another stream is unknown");
}

TEST(StreamOrigins, AreForgottenAfterTheirTime) {
  StreamOriginTable table;
  const DurationMs ttl_ms = StreamOriginLimits().ttl_ms;
  table.Add("a", kOrigin, 100);
  EXPECT_TEXT("v1", VersionOf(table, "a", 99 + ttl_ms), "until then");
  EXPECT_TEXT("none", VersionOf(table, "a", 100 + ttl_ms), "from then on");
  table.Add("b", kOrigin, 100 + ttl_ms);
  EXPECT_NUMBER(1, table.size(), "the first one takes no memory");
}

// Guards against callers who fill an entry's memory with streams or long ids.
TEST(StreamOrigins, AreBoundedAndForgetTheOldestFirst) {
  StreamOriginLimits limits;
  limits.max_streams = 3;
  StreamOriginTable table(limits);
  for (int n = 0; n < 5; ++n) table.Add("s" + std::to_string(n), kOrigin, 100 + n);
  EXPECT_NUMBER(3, table.size(), "no more than the limit");
  EXPECT_TEXT("none", VersionOf(table, "s1", 200), "the oldest are gone");
  EXPECT_TEXT("v1", VersionOf(table, "s4", 200), "the newest is there");
  table.Add(std::string(limits.max_id_bytes + 1, 'x'), kOrigin, 200);
  EXPECT_TEXT("v1", VersionOf(table, "s2", 200), "a long id takes no place");
}

TEST(StreamOrigins, HolderAnswersWhatWasReported) {
  StreamOriginHolder holder;
  bool is_valid = false;
  OriginReport report;
  report.streams[kOrigin] = {"a", "b"};
  report.streams[kOther] = {"c"};
  const bool has_reply = holder.OnMessage(EncodeOriginReport(report), 100, &is_valid).has_value();
  EXPECT_TRUE(is_valid && !has_reply, "a report gets no reply");
  const auto ask = [&](const std::string& stream) {
    OriginReply reply;
    const auto bytes = holder.OnMessage(EncodeOriginQuery({7, stream}), 200, &is_valid);
    EXPECT_TRUE(bytes && IsOriginReply(*bytes) && DecodeOriginReply(*bytes, &reply), stream);
    EXPECT_NUMBER(7, reply.number, "of the query");
    return reply.origin ? reply.origin->version : "none";
  };
  EXPECT_TEXT("v1", ask("b"), "as reported");
  EXPECT_TEXT("v2", ask("c"), "as reported");
  EXPECT_TEXT("none", ask("d"), "not reported");
  holder.OnMessage(EncodeOriginReport(report).substr(0, 9), 300, &is_valid);
  EXPECT_TRUE(!is_valid, "a message that is cut off");
}

// Guards against holders that differ between entries, and that all change with one agent.
TEST(StreamOrigins, HoldersStayWhenAnotherAgentGoes) {
  const auto sites = MakeSites(8);
  for (int n = 0; n < 50; ++n) {
    const std::string stream = "s" + std::to_string(n);
    const auto before = ChooseOriginHolders(stream, sites, 2);
    auto reversed = std::vector<OriginHolderSite>(sites.rbegin(), sites.rend());
    EXPECT_TEXT(before[0].address, ChooseOriginHolders(stream, reversed, 2)[0].address,
                "whatever the order");
    auto fewer = sites;
    fewer.erase(fewer.begin());
    const auto after = ChooseOriginHolders(stream, fewer, 3);
    for (const auto& it : before) {
      bool is_kept = it.address == sites[0].address;
      for (const auto& other : after) is_kept |= other.address == it.address;
      EXPECT_TRUE(is_kept, it.address + " is still asked");
    }
  }
}

}  // namespace junctionrail

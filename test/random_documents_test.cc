// Documents of the platform that other writers spoiled: decoding them never fails other than with
// an error, and a record that cannot be read names no upstream.
#include <random>

#include "check.h"
#include "platform.h"

namespace junctionrail::platform {
namespace {

constexpr int kRounds = 20000;
constexpr std::uint32_t kSeed = 20261203;

constexpr char kRecord[] =
    R"({"service":"s1","address":"10.1.0.40:8145","zone":"hall-1","version":"v1","slots":64,
        "state":"ready","coldRemainingMs":0,"born":1700000000000,"models":[{"name":"m1","version":1,
        "adapters":["a1","a2"]}],"sequence":4})";
constexpr char kConfiguration[] = R"({"version":7,"routes":[{"name":"r1","hostname":"shop.example",
    "pathPrefix":"/a/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":400,"priority":1,
    "trafficSplit":[{"service":"s1","weight":90}],"maxAttempts":2,"resumable":true,"gapAimMs":300,
    "allowedRegions":["west"]}],"services":[{"name":"s1","maxConns":360,"coldPerS":11.0,
    "coldStartS":3.0,"engine":{"weightsMb":230000.0,"adapterSlots":8,"models":[{"name":"m1",
    "weightsMb":72700.0,"loadTimeS":6.0,"adapterMb":66.0}]}}],"tenants":[{"name":"shop",
    "apiKeys":["k"],"ratePerS":5,"burst":5,"allowedRegions":["west","east"]}]})";
constexpr char kReport[] = R"({"models":[{"name":"m1","version":1,"adapters":[]}],"busyCount":true,
    "sequence":2,"waiting":1,"running":12,"kvUsed":45000,"kvTotal":90000,"coming":["m1/a3@2"],
    "atHand":{"inMemory":["m1"],"onDisk":["m1","m2"]}})";

class Spoiler {
 public:
  std::string Spoil(const std::string& text) {
    static const std::vector<std::string> pieces = {"null",
                                                    "true",
                                                    "-1",
                                                    "1e999",
                                                    "[]",
                                                    "{}",
                                                    "\"\"",
                                                    "\"\\u0000\"",
                                                    "18446744073709551616",
                                                    "[[[[",
                                                    "\xff\xfe",
                                                    std::string(300, 'x'),
                                                    "\"10.1.0.40:99999\"",
                                                    "0.5"};
    std::string spoiled = text;
    for (std::uint32_t n = 0, edits = 1 + Next(3); n < edits && !spoiled.empty(); ++n) {
      const std::size_t at = Next(static_cast<std::uint32_t>(spoiled.size()));
      switch (Next(4)) {
        case 0:
          spoiled[at] = static_cast<char>(Next(256));
          break;
        case 1:
          spoiled.erase(at, 1 + Next(20));
          break;
        case 2:
          spoiled.insert(at, pieces[Next(static_cast<std::uint32_t>(pieces.size()))]);
          break;
        default:
          ReplaceValue(&spoiled, at, pieces[Next(static_cast<std::uint32_t>(pieces.size()))]);
      }
    }
    return spoiled;
  }

 private:
  std::uint32_t Next(std::uint32_t bound) { return random_() % bound; }

  // Replaces the value of the next field by another one, so that the document stays JSON.
  static void ReplaceValue(std::string* text, std::size_t at, const std::string& piece) {
    const std::size_t colon = text->find(':', at);
    if (colon == std::string::npos) return;
    const std::size_t end = text->find_first_of(",}]", colon);
    if (end != std::string::npos) text->replace(colon + 1, end - colon - 1, piece);
  }

  std::mt19937 random_{kSeed};
};

}  // namespace

TEST_GROUP(SpoiledDocuments){};

TEST(SpoiledDocuments, NameNoUpstreamOrAWholeOne) {
  Spoiler spoiler;
  int unreadable = 0;
  for (int n = 0; n < kRounds; ++n) {
    const std::string text = spoiler.Spoil(kRecord);
    const auto decoded = DecodeUpstream("i-1", text, 1);
    unreadable += decoded ? 0 : 1;
    if (!decoded) {
      EXPECT_TRUE(!decoded.error().sentence.empty(), "says what is wrong with " + text);
      continue;
    }
    const UpstreamRecord& it = decoded.value();
    EXPECT_TRUE(it.endpoint.port != 0 && !it.endpoint.address.empty(), "an address: " + text);
    EXPECT_TRUE(!it.cold_ms || *it.cold_ms >= 0, "no time before now: " + text);
  }
  EXPECT_TRUE(unreadable > kRounds / 10,
              "expected many unreadable, got " + std::to_string(unreadable));
}

TEST(SpoiledDocuments, AreConfigurationsAndReportsOrErrors) {
  Spoiler spoiler;
  for (int n = 0; n < kRounds; ++n) {
    const auto configuration = DecodeConfiguration(spoiler.Spoil(kConfiguration));
    EXPECT_TRUE(configuration || !configuration.error().sentence.empty(), "says what is wrong");
    const auto report = DecodeReport(spoiler.Spoil(kReport));
    EXPECT_TRUE(report || !report.error().sentence.empty(), "says what is wrong");
  }
}

TEST(SpoiledDocuments, OfAMegabyteAreReadInBoundedDepth) {
  constexpr std::size_t kMegabyte = 1 << 20;
  for (const std::string& it : {std::string(kMegabyte, '['), std::string(kMegabyte, ' '),
                                "{\"service\":\"" + std::string(kMegabyte, 's') + "\"}"}) {
    const auto decoded = DecodeUpstream(std::string(200, 'k'), it, 1);
    EXPECT_TRUE(!decoded, "names no upstream");
  }
}

TEST(SpoiledDocuments, WithAnUnknownStateNameNoUpstream) {
  std::string text = kRecord;
  text.replace(text.find("ready"), 5, "resting");
  EXPECT_TRUE(!DecodeUpstream("i-1", text, 1), "neither ready nor leaving");
}

}  // namespace junctionrail::platform

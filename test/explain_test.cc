// Where callers' time went, out of the logs of several processes.
#include "../src/cli/explain.h"

#include <sstream>

#include "check.h"

namespace junctionrail::cli {
namespace {

bool Holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Served(const std::string& request, int waited_ms, int first_ms) {
  return R"({"t":1,"process":"e1","event":"request_served","outcome":"served","route":"chat",)"
         R"("model":"m1/a","upstream":"i-1","target_ms":300,"request":")" +
         request + R"(","waited_ms":)" + std::to_string(waited_ms) + R"(,"first_ms":)" +
         std::to_string(first_ms) + "}\n";
}

}  // namespace

TEST_GROUP(Explanations){};

TEST(Explanations, TellWhetherTheWaitForAModelOrTheUpstreamMadeRequestsLate) {
  std::istringstream log(Served("r1", 0, 40) + Served("r2", 900, 950) + Served("r3", 0, 700) +
                         Served("r4", 600, 1200));
  Explanation explanation;
  explanation.Read(log);
  const std::string text = explanation.ToText();
  EXPECT_TRUE(Holds(text, "| chat | served 4 | 700 / 950 / 950 | 50 / 600 / 600 | 3 | 1 |"),
              "three are late, r2 by its wait alone:\n" + text);
  EXPECT_TRUE(Holds(text, "| i-1 | 4 |"), text);
}

TEST(Explanations, CompareEachWaitWithItsEstimate) {
  const std::string wait =
      R"({"t":1,"process":"e1","event":"wait_for_model","source":"disk","estimate_ms":800,"request":")";
  std::istringstream log(wait + "r1\"}\n" + wait + "r2\"}\n" + Served("r1", 900, 950) +
                         R"({"t":1,"process":"e1","event":"request_failed","outcome":"cancelled",)"
                         R"("route":"chat","model":"m1","request":"r2","waited_ms":2000})");
  Explanation explanation;
  explanation.Read(log);
  EXPECT_TRUE(
      Holds(explanation.ToText(), "| disk | 1 | 1 | 900 / 900 / 900 | 100 / 100 / 100 | 100 |"),
      explanation.ToText());
}

TEST(Explanations, CountLoadsAndWhatMadeRoom) {
  const std::string order = R"({"t":1,"process":"a1","event":"order","target":"m1","answer":)";
  std::istringstream log(order +
                         R"("accepted","operation":"load","reason":"requests wait for it"})"
                         "\n" +
                         order +
                         R"("accepted","operation":"unload","reason":"makes room for m2"})"
                         "\n" +
                         order +
                         R"("conflict","operation":"load","reason":"requests wait for it"})"
                         "\nnot ours\n");
  Explanation explanation;
  explanation.Read(log);
  EXPECT_TRUE(
      Holds(explanation.ToText(), "| m1 | 0 | 1 | 1 | makes room 1, requests wait for it 1 |"),
      "an order that was not taken does not count:\n" + explanation.ToText());
  EXPECT_NUMBER(1, explanation.lines_passed_over(), "");
}

}  // namespace junctionrail::cli

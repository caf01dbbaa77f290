// A request's story out of the logs of several processes.
#include "../src/cli/story.h"

#include <sstream>

#include "check.h"
#include "junctionrail/event_log.h"

namespace junctionrail::cli {

TEST_GROUP(Stories){};

TEST(Stories, HoldTheRequestsLinesAndWhatItsUpstreamDidMeanwhileByTime) {
  std::istringstream entry(
      R"({"t":2000,"mono":1,"process":"e1","event":"wait_for_model","request":"r1","model":"m1/a2","asked":"i-1"})"
      "\n"
      R"({"t":2500,"mono":2,"process":"e1","event":"request_failed","request":"r1","status":503})"
      "\n"
      R"({"t":2100,"mono":3,"process":"e1","event":"request_served","request":"r2","upstream":"i-1"})"
      "\n");
  std::istringstream agent(
      R"(  12.3 side-1 {"t":2200,"mono":9,"process":"a1","event":"order","target":"m1","instance":"i-1","answer":"conflict"})"
      "\n"
      R"({"t":90000,"mono":9,"process":"a1","event":"order","target":"m1","instance":"i-1"})"
      "\nnot a line of ours\n");
  Story story("r1");
  story.Read(entry);
  story.Read(agent);
  const auto lines = story.Lines();
  EXPECT_NUMBER(3, lines.size(), "two of the request and one order; a later order is another's");
  EXPECT_TEXT("wait_for_model", lines[0].event, "");
  EXPECT_TEXT("order", lines[1].event, "by time, over processes");
  EXPECT_TEXT("a1", lines[1].process, "");
  EXPECT_TEXT("status=503", lines[2].details, "");
  EXPECT_NUMBER(1, story.lines_passed_over(), "a line that is none is counted");
}

TEST(Stories, OfARequestNobodyLoggedAreEmpty) {
  std::istringstream log(R"({"t":1,"process":"e1","event":"start"})");
  Story story("r1");
  story.Read(log);
  EXPECT_NUMBER(0, story.Lines().size(), "");
}

}  // namespace junctionrail::cli

// What the logs of all processes say of one request, in order.
#ifndef JUNCTIONRAIL_CLI_STORY_H_
#define JUNCTIONRAIL_CLI_STORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace junctionrail::cli {

// One line of a log that belongs to the story.
struct StoryLine {
  std::int64_t wall_ms = 0;
  std::string process;
  std::string event;
  std::string details;  // The other fields, as name=value.
};

// Collects lines of the event log; other lines are counted and passed over.
class Story {
 public:
  explicit Story(std::string request) : request_(std::move(request)) {}

  void Read(std::istream& log);

  // The lines that name the request, and those about the upstreams and models
  // it met while it was under way, by time.
  std::vector<StoryLine> Lines() const;
  std::size_t lines_passed_over() const { return passed_over_; }

 private:
  struct Entry {
    StoryLine line;
    bool is_of_request = false;
    std::vector<std::string> subjects;  // Upstreams and models it names.
  };

  void Take(std::string_view text);

  std::string request_;
  std::vector<Entry> entries_;
  std::size_t passed_over_ = 0;
};

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_STORY_H_

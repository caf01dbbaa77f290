// What the logs of a fleet say of where callers' time went: per route, per
// source of loads, per model and per upstream.
#ifndef JUNCTIONRAIL_CLI_EXPLAIN_H_
#define JUNCTIONRAIL_CLI_EXPLAIN_H_

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace junctionrail::cli {

class Explanation {
 public:
  void Read(std::istream& log);
  // Tables in Markdown; times in milliseconds.
  std::string ToText() const;
  std::size_t lines_passed_over() const { return passed_over_; }

 private:
  using Times = std::vector<std::int64_t>;
  struct RouteRow {
    std::map<std::string, int> outcomes;
    Times first;           // Until the first event, of streams served.
    Times at_upstream;     // Of that, after the request was sent.
    int late = 0;          // First event beyond the target.
    int late_by_wait = 0;  // Of these, because of the wait for a model alone.
  };
  struct SourceRow {
    Times waited;
    Times error;  // Waited less what was estimated.
    int not_served = 0;
  };
  struct ModelRow {
    int requests = 0;
    int loads = 0;
    int unloads = 0;
    std::map<std::string, int> reasons;  // Why it was loaded or closed.
  };
  struct Estimate {
    std::string source;
    std::int64_t ms = 0;
  };

  void OnRequest(const nlohmann::json& line);
  void OnWait(const nlohmann::json& line);
  void OnOrder(const nlohmann::json& line);
  std::string RoutesText() const;
  std::string SourcesText() const;
  std::string ModelsText() const;
  std::string UpstreamsText() const;

  std::map<std::string, RouteRow> routes_;
  std::map<std::string, SourceRow> sources_;
  std::map<std::string, ModelRow> models_;
  std::map<std::string, int> sent_;            // Requests, by the upstream that had them last.
  std::map<std::string, Estimate> estimates_;  // By request, until it ends.
  std::size_t passed_over_ = 0;
};

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_EXPLAIN_H_

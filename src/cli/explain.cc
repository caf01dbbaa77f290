#include "explain.h"

#include <algorithm>
#include <cstdio>

#include "log_line.h"

namespace junctionrail::cli {
namespace {

using nlohmann::json;

// Of models and upstreams so many are shown, those with the most requests first.
constexpr std::size_t kMostShown = 12;
// A model is closed for many others; they are told together.
constexpr char kRoomReason[] = "makes room for ";

std::string Text(const json& line, const char* field) {
  const auto it = line.find(field);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t Number(const json& line, const char* field, std::int64_t absent) {
  const auto it = line.find(field);
  return it != line.end() && it->is_number_integer() ? it->get<std::int64_t>() : absent;
}

std::string ModelOf(const std::string& target) { return target.substr(0, target.find('/')); }

std::int64_t Quantile(std::vector<std::int64_t> values, double part) {
  if (values.empty()) return 0;
  const auto n = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
  return values[n];
}

std::int64_t Mean(const std::vector<std::int64_t>& values) {
  std::int64_t sum = 0;
  for (const auto it : values) sum += it;
  return values.empty() ? 0 : sum / static_cast<std::int64_t>(values.size());
}

std::string Quantiles(const std::vector<std::int64_t>& values) {
  return std::to_string(Quantile(values, 0.5)) + " / " + std::to_string(Quantile(values, 0.9)) +
         " / " + std::to_string(Quantile(values, 0.99));
}

std::string Counts(const std::map<std::string, int>& counts) {
  std::string text;
  for (const auto& [name, n] : counts) {
    text += (text.empty() ? "" : ", ") + name + " " + std::to_string(n);
  }
  return text;
}

// The names with the highest counts first.
template <class Row, class Count>
std::vector<std::pair<std::string, Row>> Ranked(const std::map<std::string, Row>& rows,
                                                Count count) {
  std::vector<std::pair<std::string, Row>> ranked(rows.begin(), rows.end());
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const auto& a, const auto& b) { return count(a.second) > count(b.second); });
  if (ranked.size() > kMostShown) ranked.resize(kMostShown);
  return ranked;
}

}  // namespace

void Explanation::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    const auto line = ParseLogLine(text);
    if (!line) {
      if (!text.empty()) ++passed_over_;
      continue;
    }
    const std::string event = Text(*line, "event");
    if (event == "request_served" || event == "request_failed") OnRequest(*line);
    if (event == "wait_for_model") OnWait(*line);
    if (event == "order") OnOrder(*line);
  }
}

void Explanation::OnRequest(const json& line) {
  const std::string outcome = Text(line, "outcome");
  const std::string route = Text(line, "route");
  RouteRow& row = routes_[route.empty() ? "(none)" : route];
  ++row.outcomes[outcome];
  const std::int64_t first = Number(line, "first_ms", -1);
  const std::int64_t waited = Number(line, "waited_ms", 0);
  const std::int64_t target = Number(line, "target_ms", 0);
  const bool is_served = outcome == "served";
  if (is_served && first >= 0) {
    row.first.push_back(first);
    row.at_upstream.push_back(first - waited);
    const bool is_late = target > 0 && first > target;
    row.late += is_late ? 1 : 0;
    row.late_by_wait += is_late && first - waited <= target ? 1 : 0;
  }
  const std::string model = ModelOf(Text(line, "model"));
  if (!model.empty()) ++models_[model].requests;
  const std::string upstream = Text(line, "upstream");
  if (!upstream.empty()) ++sent_[upstream];
  const auto estimate = estimates_.find(Text(line, "request"));
  if (estimate == estimates_.end()) return;
  SourceRow& source = sources_[estimate->second.source];
  if (is_served) {
    source.waited.push_back(waited);
    source.error.push_back(waited - estimate->second.ms);
  } else {
    ++source.not_served;
  }
  estimates_.erase(estimate);
}

void Explanation::OnWait(const json& line) {
  const std::string source = Text(line, "source");
  estimates_[Text(line, "request")] =
      Estimate{source.empty() ? "place" : source, Number(line, "estimate_ms", 0)};
}

void Explanation::OnOrder(const json& line) {
  const std::string target = Text(line, "target");
  const bool is_model = target.find('/') == std::string::npos;
  if (!is_model || Text(line, "answer") != "accepted") return;
  ModelRow& row = models_[target];
  ++(Text(line, "operation") == "load" ? row.loads : row.unloads);
  std::string reason = Text(line, "reason");
  if (reason.rfind(kRoomReason, 0) == 0) reason = "makes room";
  ++row.reasons[reason];
}

std::string Explanation::ToText() const {
  return RoutesText() + "\n" + SourcesText() + "\n" + ModelsText() + "\n" + UpstreamsText();
}

std::string Explanation::RoutesText() const {
  std::string text =
      "| route | outcomes | first event p50 / p90 / p99 | at the upstream | late | late only by "
      "the wait for a model |\n|---|---|---|---|---|---|\n";
  for (const auto& [name, row] : routes_) {
    text += "| " + name + " | " + Counts(row.outcomes) + " | " + Quantiles(row.first) + " | " +
            Quantiles(row.at_upstream) + " | " + std::to_string(row.late) + " | " +
            std::to_string(row.late_by_wait) + " |\n";
  }
  return text;
}

std::string Explanation::SourcesText() const {
  std::string text =
      "| waited for | served | not served | wait p50 / p90 / p99 | error of the estimate p50 / "
      "p90 / p99 | mean |\n|---|---|---|---|---|---|\n";
  for (const auto& [name, row] : sources_) {
    text += "| " + name + " | " + std::to_string(row.waited.size()) + " | " +
            std::to_string(row.not_served) + " | " + Quantiles(row.waited) + " | " +
            Quantiles(row.error) + " | " + std::to_string(Mean(row.error)) + " |\n";
  }
  return text;
}

std::string Explanation::ModelsText() const {
  std::string text = "| model | requests | loads | unloads | why |\n|---|---|---|---|---|\n";
  for (const auto& [name, row] : Ranked(models_, [](const ModelRow& it) { return it.requests; })) {
    text += "| " + name + " | " + std::to_string(row.requests) + " | " + std::to_string(row.loads) +
            " | " + std::to_string(row.unloads) + " | " + Counts(row.reasons) + " |\n";
  }
  int loads = 0;
  int unloads = 0;
  for (const auto& [name, row] : models_) {
    loads += row.loads;
    unloads += row.unloads;
  }
  return text + "| all " + std::to_string(models_.size()) + " | | " + std::to_string(loads) +
         " | " + std::to_string(unloads) + " | |\n";
}

std::string Explanation::UpstreamsText() const {
  std::string text = "| upstream | requests |\n|---|---|\n";
  for (const auto& [name, n] : Ranked(sent_, [](int it) { return it; })) {
    text += "| " + name + " | " + std::to_string(n) + " |\n";
  }
  return text;
}

}  // namespace junctionrail::cli

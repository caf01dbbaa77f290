// What a process tells of itself: logs for changes of state (spdlog) and
// metrics in the text exposition format, version 0.0.4.
#ifndef JUNCTIONRAIL_TELEMETRY_H_
#define JUNCTIONRAIL_TELEMETRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "junctionrail/agent_core.h"
#include "junctionrail/entry_core.h"
#include "junctionrail/settings.h"

namespace junctionrail {

// Sets the process's logger up. JSON lines carry `time`, `level`, `process`
// and `message`.
void StartLogs(LogFormat format, std::string_view level, std::string_view process);

// Count, sum, greatest and estimated quantiles of a stream of values
// (Boost.Accumulators, extended P-square: Jain and Chlamtac, 1985).
class ValueSeries {
 public:
  ValueSeries();
  ~ValueSeries();
  void Add(double value);
  std::uint64_t count() const;
  double sum() const;
  double greatest() const;
  // One of the probabilities 0.5, 0.9, 0.95 and 0.99.
  double Quantile(double probability) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

// Builds one page of metrics.
class MetricsPage {
 public:
  void Counter(std::string_view name, std::string_view help, std::uint64_t value,
               const std::vector<MetricLabel>& labels = {});
  void Gauge(std::string_view name, std::string_view help, double value,
             const std::vector<MetricLabel>& labels = {});
  // Cumulative counts by upper bound; the last bound is infinity. Histograms of
  // several processes with the same bounds add up.
  void Histogram(std::string_view name, std::string_view help,
                 const std::vector<std::pair<std::string, std::uint64_t>>& cumulative,
                 std::uint64_t count, std::int64_t sum);
  void Summary(std::string_view name, std::string_view help, const ValueSeries& series);
  const std::string& text() const { return text_; }

 private:
  void Head(std::string_view name, std::string_view help, std::string_view type);
  void Line(std::string_view name, const std::vector<MetricLabel>& labels, double value);

  std::string text_;
  std::string last_name_;
};

void AddCounters(const EntryCounters& counters, MetricsPage* page);
void AddCounters(const AgentCounters& counters, MetricsPage* page);

// Resident memory of this process in bytes and the processor time it has used
// in seconds.
struct ProcessUse {
  std::uint64_t resident_bytes = 0;
  double processor_seconds = 0;
};
ProcessUse MeasureProcess();
void AddProcess(MetricsPage* page);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_TELEMETRY_H_

#include "junctionrail/telemetry.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "junctionrail/checked_json.h"

namespace junctionrail {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kProbabilities = {0.5, 0.9, 0.95, 0.99};
// P-square keeps nine markers for four quantiles; before it has them all the
// quantile is the greatest value seen.
constexpr std::size_t kFewestForQuantile = 12;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

// Writes a message as a JSON string, so that one log line is one JSON object.
class JsonMessage : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&,
              spdlog::memory_buf_t& dest) override {
    const nlohmann::json text(std::string(message.payload.data(), message.payload.size()));
    const std::string quoted = DumpJson(text);
    dest.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<JsonMessage>();
  }
};

}  // namespace

void StartLogs(LogFormat format, std::string_view level, std::string_view process) {
  auto logger = spdlog::stderr_logger_st(std::string(process));
  if (format == LogFormat::kJson) {
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
    formatter->add_flag<JsonMessage>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","process":"%n","message":%*})");
    logger->set_formatter(std::move(formatter));
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n: %v");
  }
  logger->set_level(spdlog::level::from_str(std::string(level)));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

class ValueSeries::Impl {
 public:
  Impl() : values(acc::extended_p_square_probabilities = kProbabilities) {}
  Accumulator values;
};

ValueSeries::ValueSeries() : impl_(std::make_unique<Impl>()) {}
ValueSeries::~ValueSeries() = default;
void ValueSeries::Add(double value) { impl_->values(value); }
std::uint64_t ValueSeries::count() const { return acc::count(impl_->values); }
double ValueSeries::sum() const { return acc::sum(impl_->values); }
double ValueSeries::greatest() const { return count() == 0 ? 0 : acc::max(impl_->values); }
double ValueSeries::Quantile(double probability) const {
  if (count() < kFewestForQuantile) return greatest();
  return acc::quantile(impl_->values, acc::quantile_probability = probability);
}

void MetricsPage::Head(std::string_view name, std::string_view help, std::string_view type) {
  if (last_name_ == name) return;
  last_name_ = name;
  text_ += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

namespace {

// Names of upstreams come from keys of the store and may hold any character.
std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c == '\n' ? "\\n" : std::string(1, c);
  }
  return escaped;
}

}  // namespace

void MetricsPage::Line(std::string_view name, const std::vector<MetricLabel>& labels,
                       double value) {
  text_ += name;
  for (std::size_t n = 0; n < labels.size(); ++n) {
    text_ += fmt::format("{}{}=\"{}\"", n == 0 ? "{" : ",", labels[n].name,
                         EscapeLabel(labels[n].value));
  }
  if (!labels.empty()) text_ += "}";
  text_ += fmt::format(" {}\n", value);
}

void MetricsPage::Counter(std::string_view name, std::string_view help, std::uint64_t value,
                          const std::vector<MetricLabel>& labels) {
  Head(name, help, "counter");
  Line(name, labels, static_cast<double>(value));
}

void MetricsPage::Gauge(std::string_view name, std::string_view help, double value,
                        const std::vector<MetricLabel>& labels) {
  Head(name, help, "gauge");
  Line(name, labels, value);
}

void MetricsPage::Histogram(std::string_view name, std::string_view help,
                            const std::vector<std::pair<std::string, std::uint64_t>>& cumulative,
                            std::uint64_t count, std::int64_t sum) {
  Head(name, help, "histogram");
  for (const auto& [bound, n] : cumulative) {
    Line(std::string(name) + "_bucket", {{"le", bound}}, static_cast<double>(n));
  }
  Line(std::string(name) + "_sum", {}, static_cast<double>(sum));
  Line(std::string(name) + "_count", {}, static_cast<double>(count));
}

void MetricsPage::Summary(std::string_view name, std::string_view help, const ValueSeries& series) {
  Head(name, help, "summary");
  for (const double it : kProbabilities) {
    const std::string quantile = fmt::format("{}", it);
    Line(name, {{"quantile", quantile}}, series.Quantile(it));
  }
  Line(std::string(name) + "_sum", {}, series.sum());
  Line(std::string(name) + "_count", {}, static_cast<double>(series.count()));
}

namespace {

// The counters both roles share.
template <class Counters>
void AddOutcomes(const Counters& c, MetricsPage* page) {
  constexpr std::string_view kName = "junctionrail_requests_total";
  constexpr std::string_view kHelp = "Requests by what became of them.";
  page->Counter("junctionrail_requests_received_total", "Requests that came in.", c.received);
  page->Counter(kName, kHelp, c.answered, {{"outcome", "answered"}});
  page->Counter(kName, kHelp, c.refused, {{"outcome", "refused"}});
  page->Counter(kName, kHelp, c.failed, {{"outcome", "failed"}});
  page->Counter(kName, kHelp, c.cancelled, {{"outcome", "cancelled"}});
  for (std::size_t n = 0; n < static_cast<std::size_t>(RefusalCode::kCount); ++n) {
    if (c.refused_by_code[n] == 0) continue;
    page->Counter("junctionrail_refusals_total", "Requests not served, by code.",
                  c.refused_by_code[n], {{"code", RefusalName(static_cast<RefusalCode>(n))}});
  }
}

}  // namespace

void AddCounters(const EntryCounters& c, MetricsPage* page) {
  AddOutcomes(c, page);
  page->Counter("junctionrail_attempts_total", "Calls sent to upstreams.", c.attempts);
  page->Counter("junctionrail_retries_total", "Attempts after a first.", c.retries);
  page->Counter("junctionrail_retries_denied_total", "Retries the budget did not allow.",
                c.retries_denied);
  page->Counter("junctionrail_placements_total", "Searches for a replica slot.", c.placements);
  page->Counter("junctionrail_grant_writes_total", "Grants written.", c.grant_writes);
  page->Counter("junctionrail_grant_conflicts_total", "Grant writes another entry's came before.",
                c.grant_conflicts);
  page->Counter("junctionrail_grant_reads_total", "Grants read again.", c.grant_reads);
  page->Counter("junctionrail_ejections_total", "Upstreams set aside after failures.", c.ejections);
  page->Counter("junctionrail_retires_sent_total", "Slots asked back.", c.retires_sent);
  page->Counter("junctionrail_stale_frames_total", "Frames of attempts that were over.",
                c.stale_frames);
}

void AddCounters(const AgentCounters& c, MetricsPage* page) {
  AddOutcomes(c, page);
  page->Counter("junctionrail_dispatched_total", "Calls sent to the upstream.", c.dispatched);
  page->Counter("junctionrail_loads_ordered_total", "Loads ordered.", c.loads_started);
  constexpr std::string_view kLoads = "junctionrail_loads_total";
  constexpr std::string_view kLoadsHelp = "Loads by how they ended.";
  page->Counter(kLoads, kLoadsHelp, c.loads_completed, {{"outcome", "done"}});
  page->Counter(kLoads, kLoadsHelp, c.loads_failed, {{"outcome", "failed"}});
  page->Counter(kLoads, kLoadsHelp, c.loads_unknown, {{"outcome", "unknown"}});
  page->Counter("junctionrail_unloads_total", "Unloads confirmed.", c.unloads_completed);
  page->Counter("junctionrail_unloads_idle_total", "Unloads ordered for idleness.", c.unloads_idle);
  page->Counter("junctionrail_unloads_pressure_total", "Unloads ordered to make room.",
                c.unloads_pressure);
  page->Counter("junctionrail_inventory_surprises_total",
                "Times the engine held other than the ledger said.", c.inventory_mismatches);
  page->Counter("junctionrail_repeats_answered_total",
                "Repeats answered from the at-most-once table.", c.responses_replayed);
}

ProcessUse MeasureProcess() {
  ProcessUse use;
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (statm >> total >> resident) {
    use.resident_bytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  use.processor_seconds = seconds(usage.ru_utime) + seconds(usage.ru_stime);
  return use;
}

void AddProcess(MetricsPage* page) {
  const ProcessUse use = MeasureProcess();
  page->Gauge("process_resident_memory_bytes", "Resident memory.",
              static_cast<double>(use.resident_bytes));
  page->Gauge("process_cpu_seconds_total", "Processor time used.", use.processor_seconds);
}

}  // namespace junctionrail

// Writes a run's measurements as JSON lines, and prints the table of metrics and the verdicts.
#include <algorithm>
#include <cmath>
#include <ostream>

#include "lab/measure/metrics.h"
#include "lab/measure/text_table.h"
#include "nlohmann/json.hpp"

namespace lb::lab {
namespace {

using Json = nlohmann::ordered_json;

struct CounterField {
  const char* name;
  std::uint64_t TrafficCounters::*value;
};
constexpr CounterField kCounterFields[] = {
    {"requests", &TrafficCounters::requests},
    {"in_time", &TrafficCounters::in_time},
    {"late", &TrafficCounters::late},
    {"refused", &TrafficCounters::refused},
    {"failed", &TrafficCounters::failed},
    {"client_retries", &TrafficCounters::client_retries},
    {"attempts", &TrafficCounters::attempts},
    {"attempts_full", &TrafficCounters::attempts_full},
    {"attempts_timed_out", &TrafficCounters::attempts_timed_out},
    {"connects", &TrafficCounters::connects},
    {"connects_failed", &TrafficCounters::connects_failed},
    {"crossings", &TrafficCounters::crossings},
    {"probes", &TrafficCounters::probes},
};

struct SampleField {
  const char* name;
  double Sample::*value;
};
constexpr SampleField kSampleFields[] = {
    {"in_time_share", &Sample::in_time_share},
    {"latency_p50_ms", &Sample::latency_p50_ms},
    {"latency_p99_ms", &Sample::latency_p99_ms},
    {"added_p50_ms", &Sample::added_p50_ms},
    {"added_p99_ms", &Sample::added_p99_ms},
    {"notice_p50_ms", &Sample::notice_p50_ms},
    {"notice_p99_ms", &Sample::notice_p99_ms},
    {"notice_last_ms", &Sample::notice_last_ms},
    {"hollow_cpu", &Sample::hollow_cpu},
    {"real_cpu", &Sample::real_cpu},
    {"hollow_memory_mb", &Sample::hollow_memory_mb},
    {"real_memory_mb", &Sample::real_memory_mb},
    {"discovery_cpu", &Sample::discovery_cpu},
    {"control_bytes_per_s", &Sample::control_bytes_per_s},
    {"load_spread", &Sample::load_spread},
};

Json Number(double value) { return std::isfinite(value) ? Json(value) : Json(nullptr); }

// Fields that identify the run, common to all lines.
Json RunEvent(const char* event, const Experiment& experiment, std::size_t size) {
  Json line;
  line["event"] = event;
  line["experiment"] = experiment.name;
  line["size"] = size;
  line["seed"] = experiment.seed;
  return line;
}

// Invalid UTF-8 in names is replaced, so that the line is still written.
void WriteLine(std::ostream& out, const Json& line) {
  out << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
}

bool IsZeroInAll(const MetricDescription& metric, const std::vector<Metrics>& runs) {
  return std::all_of(runs.begin(), runs.end(), [&](const Metrics& run) { return run.*metric.value == 0; });
}

// Number of significant digits needed to distinguish the value from the bound.
int DistinctDigits(double value, double bound) {
  constexpr int kMinDigits = 4;
  constexpr int kMaxDigits = 17;
  int digits = kMinDigits;
  while (digits < kMaxDigits && value != bound && FormatShort(value, digits) == FormatShort(bound, digits))
    ++digits;
  return digits;
}

}  // namespace

void WriteSample(std::ostream& out, const Experiment& experiment, std::size_t size, const Sample& sample) {
  Json line = RunEvent("sample", experiment, size);
  line["at_s"] = Number(sample.at_s);
  for (const CounterField& field : kCounterFields) line[field.name] = sample.traffic.*field.value;
  for (const SampleField& field : kSampleFields) line[field.name] = Number(sample.*field.value);
  line["crowded_upstreams"] = sample.overloaded_upstreams;
  line["held"] = sample.outstanding_requests;
  WriteLine(out, line);
}

void WriteSummary(std::ostream& out, const Experiment& experiment, std::size_t size, const Metrics& metrics) {
  Json line = RunEvent("summary", experiment, size);
  for (const MetricDescription& metric : AllMetrics())
    line[std::string(metric.name)] = Number(metrics.*metric.value);
  WriteLine(out, line);
}

void PrintTable(std::ostream& out, const std::vector<Metrics>& runs) {
  TextTable table(2);
  std::vector<std::string> heading = {"upstreams", "unit"};
  for (const Metrics& run : runs) heading.push_back(FormatNumber(run.upstreams));
  table.AddRow(heading);
  for (const MetricDescription& metric : AllMetrics()) {
    if (metric.value == &Metrics::upstreams || IsZeroInAll(metric, runs)) continue;
    std::vector<std::string> row = {std::string(metric.name), std::string(metric.unit)};
    for (const Metrics& run : runs) row.push_back(FormatNumber(run.*metric.value));
    table.AddRow(row);
  }
  table.Print(out);
}

void PrintVerdicts(std::ostream& out, std::size_t size, const std::vector<Verdict>& verdicts) {
  for (const Verdict& verdict : verdicts) {
    const Expectation& expectation = verdict.expectation;
    const int digits = DistinctDigits(verdict.value, expectation.bound);
    out << size << " upstreams: " << (verdict.holds ? "holds " : "FAILS ") << expectation.metric
        << ": wanted " << (expectation.comparison == Comparison::kAtLeast ? "at least " : "at most ")
        << FormatShort(expectation.bound, digits) << ", got " << FormatShort(verdict.value, digits) << '\n';
  }
}

}  // namespace lb::lab

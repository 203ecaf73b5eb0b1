#include "lab/measure/metrics.h"

#include <limits>

namespace lb::lab {
namespace {

double ValueOf(const Metrics& metrics, std::string_view name) {
  const MetricDescription* description = FindMetric(name);
  return description ? metrics.*description->value : std::numeric_limits<double>::quiet_NaN();
}

// False if `value` is not a number.
bool SatisfiesBound(const Expectation& expectation, double value) {
  if (expectation.comparison == Comparison::kAtLeast) return value >= expectation.bound;
  return value <= expectation.bound;
}

}  // namespace

TrafficCounters& TrafficCounters::operator+=(const TrafficCounters& other) {
  requests += other.requests;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  client_retries += other.client_retries;
  attempts += other.attempts;
  attempts_full += other.attempts_full;
  attempts_timed_out += other.attempts_timed_out;
  connects += other.connects;
  connects_failed += other.connects_failed;
  crossings += other.crossings;
  probes += other.probes;
  return *this;
}

const std::vector<MetricDescription>& AllMetrics() {
  static const std::vector<MetricDescription> kMetrics = {
      {"upstreams", "count", &Metrics::upstreams},
      {"sidecars", "count", &Metrics::sidecars},
      {"requests", "count", &Metrics::requests},
      {"in_time_share", "share", &Metrics::in_time_share},
      {"late_share", "share", &Metrics::late_share},
      {"refused_share", "share", &Metrics::refused_share},
      {"failed_share", "share", &Metrics::failed_share},
      {"worst_second_share", "share", &Metrics::worst_second_share},
      {"last_third_share", "share", &Metrics::last_third_share},
      {"attempts_per_request", "attempts/request", &Metrics::attempts_per_request},
      {"connects_per_request", "connects/request", &Metrics::connects_per_request},
      {"connects_per_sidecar", "connects", &Metrics::connects_per_sidecar},
      {"connects_failed_share", "share", &Metrics::connects_failed_share},
      {"crossings_share", "share", &Metrics::crossings_share},
      {"probes_per_request", "probes/request", &Metrics::probes_per_request},
      {"latency_p50_ms", "ms", &Metrics::latency_p50_ms},
      {"latency_p99_ms", "ms", &Metrics::latency_p99_ms},
      {"added_p50_ms", "ms", &Metrics::added_p50_ms},
      {"added_p99_ms", "ms", &Metrics::added_p99_ms},
      {"notice_p50_ms", "ms", &Metrics::notice_p50_ms},
      {"notice_p99_ms", "ms", &Metrics::notice_p99_ms},
      {"notice_last_ms", "ms", &Metrics::notice_last_ms},
      {"notices_missing", "count", &Metrics::notices_missing},
      {"hollow_cpu", "cores", &Metrics::hollow_cpu},
      {"real_cpu", "cores", &Metrics::real_cpu},
      {"hollow_memory_mb", "MB", &Metrics::hollow_memory_mb},
      {"real_memory_mb", "MB", &Metrics::real_memory_mb},
      {"real_cpu_s", "s", &Metrics::real_cpu_s},
      {"real_peak_memory_mb", "MB", &Metrics::real_peak_memory_mb},
      {"real_descriptors", "count", &Metrics::real_descriptors},
      {"real_list_bytes", "bytes", &Metrics::real_list_bytes},
      {"discovery_cpu", "cores", &Metrics::discovery_cpu},
      {"control_bytes_per_s", "bytes/s", &Metrics::control_bytes_per_s},
      {"discovery_calls_per_s", "calls/s", &Metrics::discovery_calls_per_s},
      {"whole_lists", "count", &Metrics::whole_lists},
      {"change_cpu_ms", "ms", &Metrics::change_cpu_ms},
      {"change_bytes", "bytes", &Metrics::change_bytes},
      {"load_spread", "ratio", &Metrics::load_spread},
      {"dropped_requests", "count", &Metrics::dropped_requests},
      {"stalled_clients", "count", &Metrics::stalled_clients},
      {"stalled_unanswered", "count", &Metrics::stalled_unanswered},
      {"late_to_draining", "count", &Metrics::late_to_draining},
      {"cold_overloads", "count", &Metrics::cold_overloads},
      {"sidecars_stopped", "count", &Metrics::sidecars_stopped},
      {"killed_at_limit", "count", &Metrics::killed_at_limit},
      {"sidecars_ended", "count", &Metrics::sidecars_ended},
      {"seconds", "s", &Metrics::seconds},
  };
  return kMetrics;
}

const MetricDescription* FindMetric(std::string_view name) {
  for (const MetricDescription& metric : AllMetrics())
    if (metric.name == name) return &metric;
  return nullptr;
}

std::vector<Verdict> Judge(const Experiment& experiment, const Metrics& metrics) {
  std::vector<Verdict> verdicts;
  for (const Expectation& expectation : experiment.must_hold) {
    const double value = ValueOf(metrics, expectation.metric);
    verdicts.push_back({expectation, value, SatisfiesBound(expectation, value)});
  }
  return verdicts;
}

}  // namespace lb::lab

// Measurements of a run: counters for each sample, the totals with their names and units, and the verdicts on
// the experiment's expectations.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "lab/measure/distribution.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// Requests and attempts of one sample or of a whole run.
struct TrafficCounters {
  std::uint64_t requests = 0;  // clients' first tries
  std::uint64_t in_time = 0;   // of these, answered within the latency objective, counted from the first try
  std::uint64_t late = 0;      // answered after the latency objective
  std::uint64_t refused = 0;   // ended with a rejection
  std::uint64_t failed = 0;    // ended with a failure, or without a response
  std::uint64_t client_retries = 0;
  std::uint64_t attempts = 0;       // sent to upstreams
  std::uint64_t attempts_full = 0;  // rejected by an upstream because its queue is full or it is draining
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t connects = 0;  // connection attempts, successful or not
  std::uint64_t connects_failed = 0;
  std::uint64_t crossings = 0;  // attempts to another zone
  std::uint64_t probes = 0;
  TrafficCounters& operator+=(const TrafficCounters& other);
};

// Measurements of one sample. Quantities that were not measured are 0.
struct Sample {
  double at_s = 0;  // from the run's start
  TrafficCounters traffic;
  double in_time_share = 0;
  double latency_p50_ms = 0, latency_p99_ms = 0;                    // of served requests
  double added_p50_ms = 0, added_p99_ms = 0;                        // by the sidecar, of served requests
  double notice_p50_ms = 0, notice_p99_ms = 0, notice_last_ms = 0;  // from a change to its delivery
  double hollow_cpu = 0;                                            // cores, per hollow sidecar
  double real_cpu = 0;                                              // cores, per real sidecar
  double hollow_memory_mb = 0, real_memory_mb = 0;                  // per sidecar
  double discovery_cpu = 0;                                         // cores, in total
  double control_bytes_per_s = 0;                                   // to and from discovery, per sidecar
  double load_spread = 0;  // 95th percentile over mean of the upstreams' served work per capacity
  std::uint64_t overloaded_upstreams = 0;
  std::uint64_t outstanding_requests = 0;  // requests running and queued at all upstreams
};

// The totals of a run; AllMetrics() gives their names and units.
struct Metrics {
  double upstreams = 0, sidecars = 0;
  double requests = 0;
  double in_time_share = 0, late_share = 0, refused_share = 0, failed_share = 0;
  double worst_second_share = 0;  // lowest in-time share of any sample with at least 100 requests
  double last_third_share = 0;    // in-time share of the last third; shows whether an overload has ended
  double attempts_per_request = 0, connects_per_request = 0, connects_failed_share = 0;
  double connects_per_sidecar = 0;
  double crossings_share = 0, probes_per_request = 0;
  double latency_p50_ms = 0, latency_p99_ms = 0;
  double added_p50_ms = 0, added_p99_ms = 0;
  double notice_p50_ms = 0, notice_p99_ms = 0, notice_last_ms = 0;
  double notices_missing = 0;           // changes that were never delivered, summed over the sidecars
  double hollow_cpu = 0, real_cpu = 0;  // cores, per sidecar
  double hollow_memory_mb = 0, real_memory_mb = 0;  // per sidecar
  double discovery_cpu = 0;
  // Averages over the real sidecars: processor time from the start to the end of the measured time, peak
  // resident memory, peak number of descriptors, and bytes received from discovery in the measured time.
  double real_cpu_s = 0, real_peak_memory_mb = 0, real_descriptors = 0, real_list_bytes = 0;
  double control_bytes_per_s = 0;    // per sidecar
  double discovery_calls_per_s = 0;  // per sidecar
  double whole_lists = 0;            // sent by discovery in the measured time, per sidecar
  double change_cpu_ms = 0;          // processor time per change and hollow sidecar
  double change_bytes = 0;           // bytes per change and sidecar
  double load_spread = 0;
  // Violations of the protocol's rules by real sidecars, and the events they refer to, over the whole run.
  double dropped_requests = 0;    // requests read but never answered
  double stalled_clients = 0;     // clients that stopped in the middle of a request
  double stalled_unanswered = 0;  // of these, clients whose request was not ended in time
  double late_to_draining = 0;    // attempts at draining or removed upstreams
  double cold_overloads = 0;      // upstreams that received too much work in their slow start
  double sidecars_stopped = 0;    // sidecars that received SIGTERM
  double killed_at_limit = 0;     // of these, sidecars still running at their time limit
  double sidecars_ended = 0;      // real sidecars that were not running at the end
  double seconds = 0;             // real time that the run took
};

struct MetricDescription {
  std::string_view name;  // as in experiment files
  std::string_view unit;
  double Metrics::*value;
};

// All metrics, in the order of the report's table.
const std::vector<MetricDescription>& AllMetrics();
const MetricDescription* FindMetric(std::string_view name);  // null if there is no such metric

// Writes a sample ("event":"sample") with its run's name, size and seed as one line of JSON. A quantity that
// is not finite is written as null.
void WriteSample(std::ostream& out, const Experiment& experiment, std::size_t size, const Sample& sample);
// Writes the totals of a run ("event":"summary") in the same way.
void WriteSummary(std::ostream& out, const Experiment& experiment, std::size_t size, const Metrics& metrics);

struct Verdict {
  Expectation expectation;
  double value = 0;
  bool holds = false;
};
// One verdict for each expectation of the experiment, in its order. What can't be judged does not hold: a
// metric that there is not, or a value that is not a number.
std::vector<Verdict> Judge(const Experiment& experiment, const Metrics& metrics);

// The closing table for people: a column a run, headed by its number of upstreams; a row a metric that any
// run has other than zero.
void PrintTable(std::ostream& out, const std::vector<Metrics>& runs);
// Prints one line for each verdict, such as `100 upstreams: holds METRIC: ...` or `100 upstreams: FAILS
// METRIC: wanted at least X, got Y`.
void PrintVerdicts(std::ostream& out, std::size_t size, const std::vector<Verdict>& verdicts);

// Least squares of one metric over the number of upstreams: value = intercept + slope * upstreams.
struct Slope {
  std::string_view metric;
  double intercept = 0;
  double slope = 0;           // in the metric's unit, per upstream
  double r_squared = 0;       // coefficient of determination; 1 if all points lie on the line
  double standard_error = 0;  // of the slope
};
// One slope for each metric that is not zero in all runs, except `upstreams` itself. Empty for fewer than
// three sizes. Runs of the same size are separate points.
std::vector<Slope> FitSlopes(const std::vector<Metrics>& runs);
// Prints one row for each metric: its value at 0 upstreams, its growth per 1 and per 100 upstreams, the
// standard error and r squared.
void PrintSlopes(std::ostream& out, const std::vector<Slope>& slopes);

}  // namespace lb::lab

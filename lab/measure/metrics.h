// What a run measures: counters by sample, the totals with their names and units, and what must hold.
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
  std::uint64_t in_time = 0;   // of these, answered within the aim, retries counted towards the first try
  std::uint64_t late = 0;      // answered after it
  std::uint64_t refused = 0;   // ended with a rejection
  std::uint64_t failed = 0;    // ended with a failure, or without a response
  std::uint64_t client_retries = 0;
  std::uint64_t attempts = 0;       // sent to upstreams
  std::uint64_t attempts_full = 0;  // turned away
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t connects = 0;  // connections opened or tried
  std::uint64_t connects_failed = 0;
  std::uint64_t crossings = 0;  // attempts to another zone
  std::uint64_t probes = 0;
  TrafficCounters& operator+=(const TrafficCounters& other);
};

// What one sample says beyond the counters. Absent quantities are 0.
struct Sample {
  double at_s = 0;  // from the run's start
  TrafficCounters traffic;
  double in_time_share = 0;
  double latency_p50_ms = 0, latency_p99_ms = 0;                    // of served requests
  double added_p50_ms = 0, added_p99_ms = 0;                        // by the sidecar, of served requests
  double notice_p50_ms = 0, notice_p99_ms = 0, notice_last_ms = 0;  // from a change to its delivery
  double hollow_cpu = 0;                                            // of a core, for each hollow sidecar
  double real_cpu = 0;                                              // of a core, for each real sidecar
  double hollow_memory_mb = 0, real_memory_mb = 0;                  // for each
  double discovery_cpu = 0;                                         // of a core, in all
  double control_bytes_per_s = 0;                                   // to and from discovery, for each sidecar
  double load_spread = 0;  // 95th percentile over mean of the upstreams' served work by capacity
  std::uint64_t crowded_upstreams = 0;
  std::uint64_t held = 0;  // requests at all upstreams
};

// The run's totals, by name.
struct Metrics {
  double upstreams = 0, sidecars = 0;
  double requests = 0;
  double in_time_share = 0, late_share = 0, refused_share = 0, failed_share = 0;
  double worst_second_share = 0;  // least in-time share of any sample with a hundred requests or more
  double last_third_share = 0;    // in-time share of the last third: whether an overload has ended
  double attempts_per_request = 0, connects_per_request = 0, connects_failed_share = 0;
  double connects_per_sidecar = 0;
  double crossings_share = 0, probes_per_request = 0;
  double latency_p50_ms = 0, latency_p99_ms = 0;
  double added_p50_ms = 0, added_p99_ms = 0;
  double notice_p50_ms = 0, notice_p99_ms = 0, notice_last_ms = 0;
  double notices_missing = 0;                       // changes that a sidecar never received
  double hollow_cpu = 0, real_cpu = 0;              // of a core, each
  double hollow_memory_mb = 0, real_memory_mb = 0;  // each
  double discovery_cpu = 0;
  // Of a real sidecar in the mean: processor time from its start to the end of the measured time, the most
  // resident memory and descriptors that it ever had, bytes from discovery in the measured time.
  double real_cpu_s = 0, real_peak_memory_mb = 0, real_descriptors = 0, real_list_bytes = 0;
  double control_bytes_per_s = 0;  // each sidecar
  double change_cpu_ms = 0;        // processor time of one hollow sidecar for one change
  double change_bytes = 0;         // to one sidecar, for one change
  double load_spread = 0;
  // What the protocol's rules count, of real sidecars, over the whole run.
  double dropped_requests = 0;    // read, and never given an answer
  double stalled_clients = 0;     // that stopped in the middle of a request
  double stalled_unanswered = 0;  // of these, not ended in time
  double late_to_draining = 0;    // attempts at draining or removed upstreams
  double cold_overloads = 0;      // cold upstreams that got more than they bear
  double sidecars_stopped = 0;    // that received SIGTERM
  double killed_at_limit = 0;     // of these, still ran when their time was over
  double sidecars_ended = 0;      // that ended by themselves
  double seconds = 0;             // of real time that the run took
};

struct MetricDescription {
  std::string_view name;  // as in experiment files
  std::string_view unit;
  double Metrics::*value;
};

// Every metric, in the order of the table.
const std::vector<MetricDescription>& AllMetrics();
const MetricDescription* FindMetric(std::string_view name);  // null where there is none

// One JSON object and a line's end: a sample ("event":"sample") with its run's name, size and seed. A
// quantity that is not finite is written as null.
void WriteSample(std::ostream& out, const Experiment& experiment, std::size_t size, const Sample& sample);
// Likewise for the totals at the end ("event":"summary").
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
// A line for each: `100 upstreams: holds METRIC: ...` or `100 upstreams: FAILS METRIC: wanted at least X, got
// Y`.
void PrintVerdicts(std::ostream& out, std::size_t size, const std::vector<Verdict>& verdicts);

// Least squares of one metric over the number of upstreams: value = intercept + slope * upstreams.
struct Slope {
  std::string_view metric;
  double intercept = 0;
  double slope = 0;           // in the metric's unit, for one upstream
  double r_squared = 0;       // 1: the points lie on the line
  double standard_error = 0;  // of the slope
};
// One slope for each metric that any run has other than zero, `upstreams` itself aside. Empty for fewer than
// three sizes; runs of the same size count as points of their own.
std::vector<Slope> FitSlopes(const std::vector<Metrics>& runs);
// A row a metric: its value at no upstreams, its growth for 1 and for 100 upstreams, and how sure that is.
void PrintSlopes(std::ostream& out, const std::vector<Slope>& slopes);

}  // namespace lb::lab

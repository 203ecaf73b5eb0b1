#include "lab/real/real_measurements.h"

#include <algorithm>

#include "lab/measure/share.h"
#include "lab/real/machine_limits.h"
#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

// Share of one core from which the hollow sidecars' thread counts as saturated.
constexpr double kSaturatedShare = 0.97;
// Samples with fewer requests do not count for the worst second.
constexpr std::uint64_t kMinRequestsOfASecond = 100;

}  // namespace

ControlCost ControlCost::operator-(const ControlCost& before) const {
  return {cpu_s - before.cpu_s, bytes_to_sidecars - before.bytes_to_sidecars,
          changes_received - before.changes_received};
}

RealMeasurements::RealMeasurements(const Experiment& experiment, const Deployment& deployment)
    : experiment_(experiment),
      deployment_(deployment),
      hollow_sidecars_(static_cast<double>(CountHollowSidecars(experiment, deployment))),
      real_sidecars_(static_cast<double>(CountRealSidecars(deployment))) {}

void RealMeasurements::SetIdleCost(double seconds, const ControlCost& cost) {
  idle_s_ = seconds;
  idle_cost_ = cost;
}

void RealMeasurements::SetChangeCost(double seconds, const ControlCost& cost) {
  change_s_ = seconds;
  change_cost_ = cost;
}

// ---- Samples ----

void RealMeasurements::StartLoad(TimePoint now) {
  load_start_ = now;
  sample_start_ = now;
}

void RealMeasurements::BeginMeasuring(TimePoint now, const DiscoveryCounters& discovery) {
  measured_until_ = now + experiment_.length;
  discovery_at_start_ = discovery;
  is_measuring_ = true;
}

void RealMeasurements::EndMeasuring(const DiscoveryCounters& discovery) {
  is_measuring_ = false;
  discovery_at_end_ = discovery;
}

Sample RealMeasurements::AddWindows(const RealWindows& windows, TimePoint now) {
  const Duration passed = now - sample_start_;
  const double passed_s = ToSeconds(passed);
  Sample sample;
  sample.at_s = ToSeconds(now - load_start_);
  AddHollow(windows.hollow, passed_s, sample);
  AddReal(windows.real, passed_s, sample);
  AddDiscovery(windows.discovery, passed_s, sample);
  sample.in_time_share = Share(sample.traffic.in_time, sample.traffic.requests);
  Distribution latency_ms = windows.hollow.results.latency_ms;
  latency_ms.Merge(windows.real.load.latency_ms);
  sample.latency_p50_ms = latency_ms.Percentile(0.5);
  sample.latency_p99_ms = latency_ms.Percentile(0.99);
  AddRemaining(windows.real);
  real_cpu_s_ += windows.real.cpu_s;
  if (is_measuring_) CountMeasured(windows.real, sample, now);
  sample_start_ = now;
  if (windows.hollow.thread_cpu_s > kSaturatedShare * passed_s) saturated_ += passed;
  return sample;
}

void RealMeasurements::AddRemaining(const RealWindow& window) {
  dropped_ += window.load.dropped;
  stalled_ += window.stalled;
}

void RealMeasurements::AddHollow(const HollowWindow& window, double passed_s, Sample& sample) const {
  sample.traffic += window.results.counters;
  sample.traffic += window.traffic;
  sample.notice_p50_ms = window.notice_delays_ms.Percentile(0.5);
  sample.notice_p99_ms = window.notice_delays_ms.Percentile(0.99);
  sample.notice_last_ms = window.notice_delays_ms.Percentile(1);
  sample.hollow_cpu = Share(window.thread_cpu_s + window.control_cpu_s, passed_s * hollow_sidecars_);
  sample.hollow_memory_mb = Share(hollow_memory_mb_, hollow_sidecars_);
  sample.load_spread = window.load_spread;
  sample.overloaded_upstreams += window.overloaded_upstreams;
  sample.outstanding_requests += window.outstanding_requests;
}

void RealMeasurements::AddReal(const RealWindow& window, double passed_s, Sample& sample) const {
  if (real_sidecars_ == 0) return;
  sample.traffic += window.load.traffic;
  sample.traffic += window.traffic;
  sample.added_p50_ms = window.load.added_ms.Percentile(0.5);
  sample.added_p99_ms = window.load.added_ms.Percentile(0.99);
  sample.real_cpu = Share(window.cpu_s, passed_s * real_sidecars_);
  sample.real_memory_mb = window.memory_mb;
  sample.overloaded_upstreams += window.overloaded_upstreams;
  sample.outstanding_requests += window.outstanding_requests;
}

void RealMeasurements::AddDiscovery(const DiscoveryCounters& now, double passed_s, Sample& sample) {
  const DiscoveryCounters& before = discovery_at_sample_;
  sample.discovery_cpu = Share(ToSeconds(now.processor_time - before.processor_time), passed_s);
  const auto bytes = now.Total().bytes() - before.Total().bytes();
  sample.control_bytes_per_s =
      Share(static_cast<double>(bytes), passed_s * (hollow_sidecars_ + real_sidecars_));
  discovery_at_sample_ = now;
}

void RealMeasurements::CountMeasured(const RealWindow& window, const Sample& sample, TimePoint now) {
  measured_real_.load.traffic += window.load.traffic;
  measured_real_.load.latency_ms.Merge(window.load.latency_ms);
  measured_real_.load.added_ms.Merge(window.load.added_ms);
  measured_real_.traffic += window.traffic;
  measured_real_.cpu_s += window.cpu_s;
  last_real_ = window;
  if (now > measured_until_ - experiment_.length / 3) real_last_third_ += window.load.traffic;
  if (sample.traffic.requests < kMinRequestsOfASecond) return;
  worst_second_ = std::min(worst_second_, sample.in_time_share);
  has_full_second_ = true;
}

// ---- Totals ----

Metrics RealMeasurements::Totals(const RealRunEnd& end) const {
  Metrics metrics;
  metrics.upstreams = static_cast<double>(deployment_.upstreams.size());
  metrics.sidecars = hollow_sidecars_ + real_sidecars_;
  metrics.notices_missing = end.notices_missing;
  AddRequestTotals(end.hollow, metrics);
  AddTrafficTotals(end.hollow, metrics);
  AddRuleTotals(end, metrics);
  metrics.notice_p50_ms = end.notice_delays_ms.Percentile(0.5);
  metrics.notice_p99_ms = end.notice_delays_ms.Percentile(0.99);
  metrics.notice_last_ms = end.notice_delays_ms.Percentile(1);
  AddRealTotals(metrics);
  AddControlTotals(metrics);
  metrics.load_spread = end.hollow.load_spread;
  metrics.seconds = end.seconds;
  return metrics;
}

// The cost of changes is the cost while they were made minus the idle cost over the same time.
void RealMeasurements::AddControlTotals(Metrics& metrics) const {
  const double length_s = ToSeconds(experiment_.length);
  metrics.hollow_cpu = Share(idle_cost_.cpu_s, idle_s_ * hollow_sidecars_);
  metrics.hollow_memory_mb = Share(hollow_memory_mb_, hollow_sidecars_);
  metrics.discovery_cpu =
      Share(ToSeconds(discovery_at_end_.processor_time - discovery_at_start_.processor_time), length_s);
  const AgentCounters at_start = discovery_at_start_.Total();
  const AgentCounters at_end = discovery_at_end_.Total();
  const auto bytes = static_cast<double>(at_end.bytes() - at_start.bytes());
  metrics.control_bytes_per_s = Share(bytes, length_s * metrics.sidecars);
  const auto calls = static_cast<double>(at_end.calls - at_start.calls);
  metrics.discovery_calls_per_s = Share(calls, length_s * metrics.sidecars);
  const auto whole_lists = static_cast<double>(at_end.whole_lists - at_start.whole_lists);
  metrics.whole_lists = Share(whole_lists, metrics.sidecars);
  const double idle_ratio = Share(change_s_, idle_s_);
  const double change_cpu_s = std::max(0.0, change_cost_.cpu_s - idle_cost_.cpu_s * idle_ratio);
  const double change_bytes =
      std::max(0.0, change_cost_.bytes_to_sidecars - idle_cost_.bytes_to_sidecars * idle_ratio);
  metrics.change_cpu_ms = 1e3 * Share(change_cpu_s, change_cost_.changes_received);
  metrics.change_bytes = Share(change_bytes, change_cost_.changes_received);
}

void RealMeasurements::AddRequestTotals(const HollowTotals& hollow, Metrics& metrics) const {
  TrafficCounters results = hollow.results.counters;
  results += measured_real_.load.traffic;
  TrafficCounters last_third = hollow.last_third.counters;
  last_third += real_last_third_;
  Distribution latency_ms = hollow.results.latency_ms;
  latency_ms.Merge(measured_real_.load.latency_ms);
  metrics.requests = static_cast<double>(results.requests);
  metrics.in_time_share = Share(results.in_time, results.requests);
  metrics.late_share = Share(results.late, results.requests);
  metrics.refused_share = Share(results.refused, results.requests);
  metrics.failed_share = Share(results.failed, results.requests);
  metrics.worst_second_share = has_full_second_ ? worst_second_ : metrics.in_time_share;
  metrics.last_third_share = Share(last_third.in_time, last_third.requests);
  metrics.latency_p50_ms = latency_ms.Percentile(0.5);
  metrics.latency_p99_ms = latency_ms.Percentile(0.99);
  metrics.added_p50_ms = measured_real_.load.added_ms.Percentile(0.5);
  metrics.added_p99_ms = measured_real_.load.added_ms.Percentile(0.99);
}

void RealMeasurements::AddRuleTotals(const RealRunEnd& end, Metrics& metrics) const {
  if (real_sidecars_ == 0) return;
  metrics.dropped_requests = static_cast<double>(dropped_);
  metrics.stalled_clients = static_cast<double>(stalled_.begun);
  metrics.stalled_unanswered = static_cast<double>(stalled_.unanswered);
  metrics.late_to_draining = static_cast<double>(end.rules.late_to_draining);
  metrics.cold_overloads = static_cast<double>(end.rules.cold_overloads);
  metrics.sidecars_stopped = static_cast<double>(end.stops.stopped);
  metrics.killed_at_limit = static_cast<double>(end.stops.killed_at_limit);
  metrics.sidecars_ended = end.sidecars_ended;
}

void RealMeasurements::AddRealTotals(Metrics& metrics) const {
  if (real_sidecars_ == 0) return;
  metrics.real_cpu = Share(measured_real_.cpu_s, ToSeconds(experiment_.length) * real_sidecars_);
  metrics.real_memory_mb = last_real_.memory_mb;
  metrics.real_cpu_s = Share(real_cpu_s_, real_sidecars_);
  metrics.real_peak_memory_mb = last_real_.peak_memory_mb;
  metrics.real_descriptors = last_real_.peak_descriptors;
  double bytes = 0;
  for (const SidecarInstance& sidecar : deployment_.sidecars) {
    if (!sidecar.real) continue;
    const std::size_t i = sidecar.index;
    bytes += static_cast<double>(discovery_at_end_.agents[i].bytes_out) -
             static_cast<double>(discovery_at_start_.agents[i].bytes_out);
  }
  metrics.real_list_bytes = Share(bytes, real_sidecars_);
}

// Zone crossings are counted for hollow sidecars only.
void RealMeasurements::AddTrafficTotals(const HollowTotals& hollow, Metrics& metrics) const {
  const auto requests = static_cast<std::uint64_t>(metrics.requests);
  TrafficCounters traffic = hollow.traffic;
  traffic += measured_real_.traffic;
  metrics.attempts_per_request = Share(traffic.attempts, requests);
  metrics.connects_per_request = Share(traffic.connects, requests);
  metrics.connects_per_sidecar = Share(static_cast<double>(traffic.connects), metrics.sidecars);
  metrics.connects_failed_share = Share(traffic.connects_failed, traffic.connects);
  metrics.crossings_share = Share(hollow.traffic.crossings, hollow.traffic.attempts);
  metrics.probes_per_request = Share(traffic.probes, requests);
}

}  // namespace lb::lab

// Implements RunVirtual(): runs one experiment on the virtual clock and takes its samples and metrics.
#include <algorithm>
#include <chrono>
#include <vector>

#include "lab/engine.h"
#include "lab/measure/distribution.h"
#include "lab/measure/share.h"
#include "lab/model/fault_schedule.h"
#include "lab/model/scheduler.h"
#include "lab/spec/durations.h"
#include "lab/virtual/virtual_fleet.h"

namespace lb::lab {
namespace {

using std::chrono::seconds;

// Added to the longest deadline after the measured time, so that every request gets its result.
constexpr Duration kResultsMargin = seconds(1);
// Time after the end of measuring for pending notices; changes undelivered by then count as missing.
constexpr Duration kNoticesMargin = seconds(15);
// Samples with fewer requests are ignored for worst_second_share: their share is not significant.
constexpr std::uint64_t kMinRequestsForWorstSecond = 100;

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }
bool Served(const RequestResult& result) {
  return result.outcome == RequestOutcome::kInTime || result.outcome == RequestOutcome::kLate;
}

// Counts requests by result and collects the latencies of served requests.
struct Results {
  TrafficCounters counters;
  Distribution latency_ms;

  void Add(const RequestResult& result) {
    CountResult(result, counters);
    if (Served(result)) latency_ms.Add(Milliseconds(result.ended - result.arrived));
  }
  double in_time_share() const { return Share(counters.in_time, counters.requests); }
};

// Data collected for the current sample.
struct OpenSample {
  Results results;
  Distribution notices_ms;
  TimePoint start;
  std::vector<double> work_before;
  double module_seconds_before = 0;
};

// Data of the measured time. A request counts if it arrived within it, even if its result came later.
struct Measurements {
  TrafficCounters traffic;
  Results results;
  Results last_third;
  Distribution notices_ms;
  double worst_second = 1;
  bool has_worst_second = false;
  std::vector<double> work_before;
  double module_seconds_before = 0;
  // Values at the end of the measured time.
  double load_spread = 0;
  double module_seconds = 0;
  double memory_mb = 0;  // total of all sidecars
};

class VirtualRun {
 public:
  VirtualRun(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample);
  Metrics Run();

 private:
  // Runs until `end` and takes a sample at each interval.
  void RunUntilEnd(TimePoint end);
  void BeginMeasuring();
  void EndMeasuring();
  // Stops the load and runs until all requests have their results and pending notices had time to arrive.
  void FinishOutstanding();

  void CountRequest(const RequestResult& result);
  void CountNotice(TimePoint changed, Duration delay);
  void TakeSample();
  Sample ReadSample(const TrafficCounters& traffic, double module_seconds) const;
  Metrics Totals() const;
  void AddRequestTotals(Metrics& metrics) const;
  void AddTrafficTotals(Metrics& metrics) const;
  void AddNoticeTotals(Metrics& metrics) const;
  void AddCostTotals(Metrics& metrics) const;

  const Experiment& experiment_;
  const OnSample& on_sample_;
  const std::chrono::steady_clock::time_point real_start_ = std::chrono::steady_clock::now();
  VirtualScheduler scheduler_;
  const TimePoint start_ = scheduler_.Now();
  const TimePoint measured_from_;
  const TimePoint end_;
  OpenSample sample_;
  Measurements measured_;
  VirtualFleet fleet_;
  FaultSchedule faults_;
};

VirtualRun::VirtualRun(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample)
    : experiment_(experiment),
      on_sample_(on_sample),
      measured_from_(start_ + experiment.warm_up),
      end_(measured_from_ + experiment.length),
      fleet_(
          experiment, deployment, scheduler_, [this](const RequestResult& result) { CountRequest(result); },
          [this](TimePoint changed, Duration delay) { CountNotice(changed, delay); }),
      faults_(deployment, scheduler_, fleet_) {
  sample_.start = start_;
}

Metrics VirtualRun::Run() {
  faults_.Schedule(start_);
  sample_.work_before = fleet_.ServedWork();
  fleet_.StartLoad();
  RunUntilEnd(measured_from_);
  BeginMeasuring();
  RunUntilEnd(end_);
  EndMeasuring();
  FinishOutstanding();
  return Totals();
}

void VirtualRun::BeginMeasuring() {
  measured_.work_before = fleet_.ServedWork();
  measured_.module_seconds_before = fleet_.ModuleSeconds();
  measured_.traffic = {};
  fleet_.ResetChangeCost();
}

void VirtualRun::EndMeasuring() {
  measured_.load_spread = fleet_.LoadSpread(measured_.work_before);
  measured_.module_seconds = fleet_.ModuleSeconds() - measured_.module_seconds_before;
  measured_.memory_mb = fleet_.SidecarMemoryMb();
}

void VirtualRun::RunUntilEnd(TimePoint end) {
  while (scheduler_.Now() < end) {
    scheduler_.RunUntil(std::min(end, scheduler_.Now() + std::max(experiment_.sample_every, Duration(1))));
    TakeSample();
  }
}

void VirtualRun::FinishOutstanding() {
  fleet_.StopLoad();
  Duration longest{};
  for (const ClassSpec& spec : experiment_.classes) longest = std::max(longest, spec.deadline);
  scheduler_.RunUntil(end_ + longest + kResultsMargin);
  if (fleet_.UndeliveredChanges() > 0)
    scheduler_.RunUntil(end_ + std::max<Duration>(longest, kNoticesMargin));
}

// ---- Measurements ----

void VirtualRun::CountRequest(const RequestResult& result) {
  sample_.results.Add(result);
  if (result.arrived < measured_from_ || result.arrived >= end_) return;
  measured_.results.Add(result);
  if (result.arrived >= end_ - experiment_.length / 3) measured_.last_third.Add(result);
}

void VirtualRun::CountNotice(TimePoint changed, Duration delay) {
  sample_.notices_ms.Add(Milliseconds(delay));
  if (changed >= measured_from_) measured_.notices_ms.Add(Milliseconds(delay));
}

void VirtualRun::TakeSample() {
  const double module_seconds = fleet_.ModuleSeconds();
  const TrafficCounters traffic = fleet_.TakeTraffic();
  const Sample sample = ReadSample(traffic, module_seconds);
  const TimePoint now = scheduler_.Now();
  if (now > measured_from_ && sample_.results.counters.requests >= kMinRequestsForWorstSecond) {
    measured_.worst_second = std::min(measured_.worst_second, sample.in_time_share);
    measured_.has_worst_second = true;
  }
  measured_.traffic += traffic;
  sample_ = {};
  sample_.start = now;
  sample_.work_before = fleet_.ServedWork();
  sample_.module_seconds_before = module_seconds;
  if (on_sample_) on_sample_(sample);
}

Sample VirtualRun::ReadSample(const TrafficCounters& traffic, double module_seconds) const {
  const TimePoint now = scheduler_.Now();
  const double seconds_passed = ToSeconds(now - sample_.start);
  const auto sidecars = static_cast<double>(fleet_.sidecars());
  Sample sample;
  sample.at_s = ToSeconds(now - start_);
  sample.traffic = sample_.results.counters;
  sample.traffic += traffic;
  sample.in_time_share = sample_.results.in_time_share();
  sample.latency_p50_ms = sample_.results.latency_ms.Percentile(0.5);
  sample.latency_p99_ms = sample_.results.latency_ms.Percentile(0.99);
  sample.notice_p50_ms = sample_.notices_ms.Percentile(0.5);
  sample.notice_p99_ms = sample_.notices_ms.Percentile(0.99);
  sample.notice_last_ms = sample_.notices_ms.Percentile(1);
  sample.hollow_cpu = Share(module_seconds - sample_.module_seconds_before, seconds_passed * sidecars);
  sample.hollow_memory_mb = Share(fleet_.SidecarMemoryMb(), sidecars);
  sample.load_spread = fleet_.LoadSpread(sample_.work_before);
  sample.overloaded_upstreams = fleet_.CrowdedUpstreams();
  sample.outstanding_requests = fleet_.RequestsInFlight();
  return sample;
}

Metrics VirtualRun::Totals() const {
  Metrics metrics;
  metrics.upstreams = static_cast<double>(fleet_.upstreams());
  metrics.sidecars = static_cast<double>(fleet_.sidecars());
  AddRequestTotals(metrics);
  AddTrafficTotals(metrics);
  AddNoticeTotals(metrics);
  AddCostTotals(metrics);
  metrics.load_spread = measured_.load_spread;
  metrics.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - real_start_).count();
  return metrics;
}

void VirtualRun::AddRequestTotals(Metrics& metrics) const {
  const TrafficCounters& results = measured_.results.counters;
  metrics.requests = static_cast<double>(results.requests);
  metrics.in_time_share = measured_.results.in_time_share();
  metrics.late_share = Share(results.late, results.requests);
  metrics.refused_share = Share(results.refused, results.requests);
  metrics.failed_share = Share(results.failed, results.requests);
  metrics.worst_second_share = measured_.has_worst_second ? measured_.worst_second : metrics.in_time_share;
  metrics.last_third_share = measured_.last_third.in_time_share();
  metrics.latency_p50_ms = measured_.results.latency_ms.Percentile(0.5);
  metrics.latency_p99_ms = measured_.results.latency_ms.Percentile(0.99);
}

void VirtualRun::AddTrafficTotals(Metrics& metrics) const {
  const std::uint64_t requests = measured_.results.counters.requests;
  const TrafficCounters& traffic = measured_.traffic;
  metrics.attempts_per_request = Share(traffic.attempts, requests);
  metrics.connects_per_request = Share(traffic.connects, requests);
  metrics.connects_per_sidecar = Share(static_cast<double>(traffic.connects), metrics.sidecars);
  metrics.connects_failed_share = Share(traffic.connects_failed, traffic.connects);
  metrics.crossings_share = Share(traffic.crossings, traffic.attempts);
  metrics.probes_per_request = Share(traffic.probes, requests);
}

void VirtualRun::AddNoticeTotals(Metrics& metrics) const {
  metrics.notice_p50_ms = measured_.notices_ms.Percentile(0.5);
  metrics.notice_p99_ms = measured_.notices_ms.Percentile(0.99);
  metrics.notice_last_ms = measured_.notices_ms.Percentile(1);
  metrics.notices_missing = static_cast<double>(fleet_.UndeliveredChanges());
}

void VirtualRun::AddCostTotals(Metrics& metrics) const {
  metrics.hollow_cpu = Share(measured_.module_seconds, ToSeconds(experiment_.length) * metrics.sidecars);
  metrics.hollow_memory_mb = Share(measured_.memory_mb, metrics.sidecars);
  metrics.change_cpu_ms =
      1e3 * Share(fleet_.module_seconds_in_changes(), static_cast<double>(fleet_.changes_delivered()));
}

}  // namespace

Metrics RunVirtual(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample) {
  return VirtualRun(experiment, deployment, on_sample).Run();
}

}  // namespace lb::lab

// Measurements of a run on the real clock: builds the samples and the totals over the measured time.
#pragma once

#include <cstddef>
#include <cstdint>

#include "lab/measure/fleet_rules.h"
#include "lab/measure/metrics.h"
#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {

// Cost of the control traffic to all hollow sidecars together, accumulated over a period.
struct ControlCost {
  double cpu_s = 0;
  double bytes_to_sidecars = 0;
  double changes_received = 0;  // list changes received, summed over all sidecars

  ControlCost operator-(const ControlCost& before) const;
};

// The inputs of one sample; the windows cover the time since the previous sample.
struct RealWindows {
  HollowWindow hollow;
  RealWindow real;
  DiscoveryCounters discovery;  // since the start of the run
};

// Results that are available only at the end of a run.
struct RealRunEnd {
  HollowTotals hollow;
  Distribution notice_delays_ms;
  double notices_missing = 0;
  // For real sidecars only:
  FleetRuleCounters rules;
  SidecarOperatorCounters stops;
  double sidecars_ended = 0;  // processes that ended unexpectedly
  double seconds = 0;         // duration of the run
};

// Accumulates the windows of a run and computes its samples and totals.
class RealMeasurements {
 public:
  // `experiment` and `deployment` have to outlive this object.
  RealMeasurements(const Experiment& experiment, const Deployment& deployment);

  // ---- Before the load ----
  // Memory of all hollow sidecars together, without the models.
  void SetHollowMemory(double memory_mb) { hollow_memory_mb_ = memory_mb; }
  // Sets the baseline of the first sample's discovery traffic.
  void SetDiscoveryCounters(const DiscoveryCounters& discovery) { discovery_at_sample_ = discovery; }
  // Set the cost without list changes, and the cost while changes are made, each over a period of `seconds`.
  void SetIdleCost(double seconds, const ControlCost& cost);
  void SetChangeCost(double seconds, const ControlCost& cost);

  // ---- Under load ----
  void StartLoad(TimePoint now);
  void BeginMeasuring(TimePoint now, const DiscoveryCounters& discovery);
  void EndMeasuring(const DiscoveryCounters& discovery);
  Sample AddWindows(const RealWindows& windows, TimePoint now);
  // Adds the counts of real sidecars and their clients after the last sample.
  void AddRemaining(const RealWindow& window);

  TimePoint sample_start() const { return sample_start_; }
  TimePoint measured_until() const { return measured_until_; }
  // Total length of the samples in which the hollow sidecars' thread was saturated, which lengthens the
  // latencies of their requests.
  Duration saturated() const { return saturated_; }

  Metrics Totals(const RealRunEnd& end) const;

 private:
  void AddHollow(const HollowWindow& window, double passed_s, Sample& sample) const;
  void AddReal(const RealWindow& window, double passed_s, Sample& sample) const;
  void AddDiscovery(const DiscoveryCounters& now, double passed_s, Sample& sample);
  void CountMeasured(const RealWindow& window, const Sample& sample, TimePoint now);

  void AddRequestTotals(const HollowTotals& hollow, Metrics& metrics) const;
  void AddTrafficTotals(const HollowTotals& hollow, Metrics& metrics) const;
  void AddControlTotals(Metrics& metrics) const;
  void AddRealTotals(Metrics& metrics) const;
  void AddRuleTotals(const RealRunEnd& end, Metrics& metrics) const;

  const Experiment& experiment_;
  const Deployment& deployment_;
  const double hollow_sidecars_;
  const double real_sidecars_;

  // Measured before the load.
  double hollow_memory_mb_ = 0;
  double idle_s_ = 0;
  ControlCost idle_cost_;
  double change_s_ = 0;
  ControlCost change_cost_;
  // Over the whole run.
  TimePoint load_start_;
  TimePoint sample_start_;
  DiscoveryCounters discovery_at_sample_;
  Duration saturated_{};
  std::uint64_t dropped_ = 0;
  StalledClientCounters stalled_;
  double real_cpu_s_ = 0;  // of all real sidecars since their start
  // Measured between BeginMeasuring() and EndMeasuring().
  bool is_measuring_ = false;
  TimePoint measured_until_;
  double worst_second_ = 1;
  bool has_full_second_ = false;  // a sample with enough requests to count in `worst_second_`
  RealWindow measured_real_;
  TrafficCounters real_last_third_;
  RealWindow last_real_;  // last window, for current and peak values per sidecar
  DiscoveryCounters discovery_at_start_;
  DiscoveryCounters discovery_at_end_;
};

}  // namespace lb::lab

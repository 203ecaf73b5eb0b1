// What a run on the real clock has measured: samples of its windows, and the totals of the measured time.
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

// The cost of control traffic to the hollow sidecars together, over some time.
struct ControlCost {
  double cpu_s = 0;
  double bytes_to_sidecars = 0;
  double changes_heard = 0;  // over all sidecars

  ControlCost operator-(const ControlCost& before) const;
};

// The parts of one sample, each since the one before.
struct RealWindows {
  HollowWindow hollow;
  RealWindow real;
  DiscoveryCounters discovery;  // since the start of the run
};

// What is known only at the end of a run.
struct RealRunEnd {
  HollowTotals hollow;
  Distribution notice_delays_ms;
  double notices_missing = 0;
  // Of real sidecars.
  FleetRuleCounters rules;
  SidecarOperatorCounters stops;
  double sidecars_ended = 0;  // that should run and do not
  double seconds = 0;         // that the run took
};

class RealMeasurements {
 public:
  // The references have to outlive it.
  RealMeasurements(const Experiment& experiment, const Deployment& deployment);

  // ---- Before the load ----
  // Of all hollow sidecars, without the models.
  void SetHollowMemory(double memory_mb) { hollow_memory_mb_ = memory_mb; }
  // What the first sample's discovery traffic is counted from.
  void SetDiscoveryCounters(const DiscoveryCounters& discovery) { discovery_at_sample_ = discovery; }
  void SetRest(double seconds, const ControlCost& cost);
  void SetChanges(double seconds, const ControlCost& cost);

  // ---- Under load ----
  void StartLoad(TimePoint now);
  void BeginMeasuring(TimePoint now, const DiscoveryCounters& discovery);
  void EndMeasuring(const DiscoveryCounters& discovery);
  Sample AddWindows(const RealWindows& windows, TimePoint now);
  // What real sidecars and their clients did after the last sample.
  void AddRest(const RealWindow& window);

  TimePoint sample_start() const { return sample_start_; }
  TimePoint measured_until() const { return measured_until_; }
  // Time in which one thread could not carry the hollow sidecars: their requests took longer for it.
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

  // Before the load.
  double hollow_memory_mb_ = 0;
  double rest_s_ = 0;
  ControlCost rest_;
  double changes_s_ = 0;
  ControlCost changes_;
  // Over the whole run.
  TimePoint load_start_;
  TimePoint sample_start_;
  DiscoveryCounters discovery_at_sample_;
  Duration saturated_{};
  std::uint64_t dropped_ = 0;
  StalledClientCounters stalled_;
  double real_cpu_s_ = 0;  // of all real sidecars, since their start
  // Of the measured time.
  bool is_measuring_ = false;
  TimePoint measured_until_;
  double worst_second_ = 1;
  bool has_full_second_ = false;  // one with enough requests to count in `worst_second_`
  RealWindow measured_real_;
  TrafficCounters real_last_third_;
  RealWindow last_real_;  // for what each real sidecar has now, or has had at most
  DiscoveryCounters discovery_at_start_;
  DiscoveryCounters discovery_at_end_;
};

}  // namespace lb::lab

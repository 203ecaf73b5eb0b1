// Slow start, as in Envoy: a newly started upstream has only a part of its capacity, which grows linearly to
// the full capacity. Its weight grows with it, and a budget bounds the requests that it is sent when other
// upstreams fail and their requests are redirected to it.
#pragma once

#include <algorithm>

#include "balancer/membership.h"
#include "balancer/random_source.h"
#include "balancer/settings.h"
#include "balancer/subsetting.h"
#include "balancer/traffic_statistics.h"
#include "balancer/upstream.h"

namespace lb {

class SlowStart {
 public:
  // All arguments have to outlive this object.
  SlowStart(const FleetLimits& limits, const Membership& membership, const TrafficStatistics& traffic,
            const Subsetting& subsetting, RandomSource& random);

  // The share of its capacity that an upstream has at least: from slow_start_initial_share to 1.
  double WarmUpFraction(const Upstream& upstream, TimePoint now) const {
    const auto started = Membership::StartTime(upstream);
    if (!started) return 1;
    const double age = Seconds(now - *started) / Seconds(limits_.slow_start_duration);
    const double initial = limits_.slow_start_initial_share;
    return std::clamp(initial + (1 - initial) * age, initial, 1.0);
  }
  bool IsWarmingUp(const Upstream& upstream, TimePoint now) const {
    return WarmUpFraction(upstream, now) < 1;
  }

  void OnNewProcess(Upstream& upstream, TimePoint now);
  // Whether the budget suffices for a request; always true for an upstream that is not warming up. Refills
  // the budget of one that is.
  bool HasSlowStartBudget(Upstream& upstream, TimePoint now) {
    const double warm_up = WarmUpFraction(upstream, now);
    return warm_up >= 1 || HasBudgetWhileWarmingUp(upstream, warm_up, now);
  }
  // Must be called when a request is sent to `upstream`.
  void Spend(Upstream& upstream, TimePoint now) const;

 private:
  bool HasBudgetWhileWarmingUp(Upstream& upstream, double warm_up, TimePoint now);

  const FleetLimits& limits_;
  const Membership& membership_;
  const TrafficStatistics& traffic_;
  const Subsetting& subsetting_;
  RandomSource& random_;
};

}  // namespace lb

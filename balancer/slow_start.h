// Slow start, as in Envoy: an upstream that started a moment ago has a part of its capacity only, which rises
// evenly to the whole. Its weight rises with it, and a budget bounds the requests that it is sent when others
// fail and their requests turn to it.
#pragma once

#include "balancer/membership.h"
#include "balancer/random_source.h"
#include "balancer/settings.h"
#include "balancer/subsetting.h"
#include "balancer/traffic_statistics.h"
#include "balancer/upstream.h"

namespace lb {

class SlowStart {
 public:
  // All have to outlive this.
  SlowStart(const FleetLimits& limits, const Membership& membership, const TrafficStatistics& traffic,
            const Subsetting& subsetting, RandomSource& random);

  // The least share of its capacity that an upstream has by now: from slow_start_initial_share to 1.
  double WarmUpFraction(const Upstream& upstream, TimePoint now) const;
  bool IsWarmingUp(const Upstream& upstream, TimePoint now) const {
    return WarmUpFraction(upstream, now) < 1;
  }

  void OnNewProcess(Upstream& upstream, TimePoint now);
  // Refills the budget of one that warms up; true where it suffices for a request. Always for one that is
  // warm.
  bool HasSlowStartBudget(Upstream& upstream, TimePoint now);
  // A request is sent to `upstream`.
  void Spend(Upstream& upstream, TimePoint now) const;

 private:
  const FleetLimits& limits_;
  const Membership& membership_;
  const TrafficStatistics& traffic_;
  const Subsetting& subsetting_;
  RandomSource& random_;
};

}  // namespace lb

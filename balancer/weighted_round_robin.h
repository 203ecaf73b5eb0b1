// Smooth weighted round robin, as in nginx: each choice adds every candidate's weight to its credit, takes
// the one with the most, and subtracts the sum of the weights from it. The weights follow what was observed.
#pragma once

#include <vector>

#include "balancer/membership.h"
#include "balancer/random_source.h"
#include "balancer/slow_start.h"
#include "balancer/subsetting.h"
#include "balancer/upstream.h"

namespace lb {

// A candidate for a choice, with its effective weight: computed once for each choice, as it costs the most of
// it.
struct WeightedUpstream {
  Upstream* upstream = nullptr;
  double weight = 0;
};

class WeightedRoundRobin {
 public:
  // All have to outlive this.
  WeightedRoundRobin(const Membership& membership, const Subsetting& subsetting, const SlowStart& slow_start,
                     RandomSource& random);

  // The registered weight, less while warming up, for failures and for high latency.
  double EffectiveWeight(const Upstream& upstream, TimePoint now) const;

  // The next of `candidates`, which is not empty. Their credits move.
  static Upstream& ChooseNext(const std::vector<WeightedUpstream>& candidates);

  // An upstream that enters or is readmitted starts somewhere in a rotation: without saved credit, and so
  // that sidecars that hear of it together do not all choose it next.
  void Restart(Upstream& upstream, TimePoint now);
  // To be called with the whole list known: a rotation drawn from a part of it would put the first of the
  // list first at every sidecar.
  void Restart(const std::vector<UpstreamPtr>& entering, TimePoint now);

  // An upstream that waits for its slow start budget does not wait for its turn besides.
  void AccrueWhileWarmingUp(Upstream& upstream, TimePoint now) const;

 private:
  double RotationLength(TimePoint now) const;

  const Membership& membership_;
  const Subsetting& subsetting_;
  const SlowStart& slow_start_;
  RandomSource& random_;
};

}  // namespace lb

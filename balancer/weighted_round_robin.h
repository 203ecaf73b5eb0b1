// Smooth weighted round robin, as in nginx: each choice adds every candidate's weight to its credit, chooses
// the candidate with the highest credit, and subtracts the sum of the weights from that credit. The weights
// follow the observed failures and latency.
#pragma once

#include <vector>

#include "balancer/membership.h"
#include "balancer/random_source.h"
#include "balancer/slow_start.h"
#include "balancer/subsetting.h"
#include "balancer/upstream.h"

namespace lb {

// A candidate for a choice with its effective weight. The weight is computed only once for each choice,
// because it is the most expensive part of the choice.
struct WeightedUpstream {
  Upstream* upstream = nullptr;
  double weight = 0;
};

class WeightedRoundRobin {
 public:
  // All arguments have to outlive this object.
  WeightedRoundRobin(const Membership& membership, const Subsetting& subsetting, const SlowStart& slow_start,
                     RandomSource& random);

  // The registered weight, reduced during slow start, for failures and for high latency.
  double EffectiveWeight(const Upstream& upstream, TimePoint now) const;

  // Returns the next of `candidates`, which must not be empty, and updates their credits.
  static Upstream& ChooseNext(const std::vector<WeightedUpstream>& candidates);

  // Gives an upstream that enters service or is readmitted a random negative credit: it has no saved credit,
  // and sidecars that learn of it at the same time do not all choose it next.
  void Restart(Upstream& upstream, TimePoint now);
  // Likewise for several upstreams. Must be called after the complete update is applied: credits drawn for a
  // partial list would put the first entry of the list first at every sidecar.
  void Restart(const std::vector<UpstreamPtr>& entering, TimePoint now);

  // Raises a negative credit of an upstream that lacks slow start budget, so that it does not wait for its
  // turn in addition to its budget.
  void AccrueWhileWarmingUp(Upstream& upstream, TimePoint now) const;

 private:
  double RotationLength(TimePoint now) const;

  const Membership& membership_;
  const Subsetting& subsetting_;
  const SlowStart& slow_start_;
  RandomSource& random_;
};

}  // namespace lb

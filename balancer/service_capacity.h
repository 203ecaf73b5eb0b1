// The total weights of the upstreams that serve according to the list, of those that can take requests now,
// and of those whose late responses indicate load.
#pragma once

#include "balancer/membership.h"
#include "balancer/outlier_detector.h"
#include "balancer/slow_start.h"
#include "balancer/upstream.h"

namespace lb {

class ServiceCapacity {
 public:
  // All arguments have to outlive this object.
  ServiceCapacity(const Membership& membership, const OutlierDetector& outliers, const SlowStart& slow_start)
      : membership_(membership), outliers_(outliers), slow_start_(slow_start) {}

  // Must be called at each housekeeping.
  void Update(TimePoint now);

  // Whether late responses of `upstream` indicate load. At an upstream that is warming up, suspected or
  // ejected, lateness is the upstream's own fault, unless at least half of the serving weight is in such a
  // state.
  bool LatenessIndicatesLoad(const Upstream& upstream, TimePoint now) const;

  // The weight of the upstreams in service; those that warm up count by their warm-up fraction.
  double available_weight() const { return available_weight_; }

 private:
  bool IsInGoodStanding(const Upstream& upstream, TimePoint now) const;

  const Membership& membership_;
  const OutlierDetector& outliers_;
  const SlowStart& slow_start_;
  double serving_weight_ = 0;
  double available_weight_ = 0;
  double good_standing_weight_ = 0;
};

}  // namespace lb

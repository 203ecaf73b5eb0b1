// The weight of the upstreams that serve by the list, of those that can take requests now, and of those whose
// lateness tells of load.
#pragma once

#include "balancer/membership.h"
#include "balancer/outlier_detector.h"
#include "balancer/slow_start.h"
#include "balancer/upstream.h"

namespace lb {

class ServiceCapacity {
 public:
  // All have to outlive this.
  ServiceCapacity(const Membership& membership, const OutlierDetector& outliers, const SlowStart& slow_start)
      : membership_(membership), outliers_(outliers), slow_start_(slow_start) {}

  // To be called at each housekeeping.
  void Update(TimePoint now);

  // Lateness there tells of load: at an upstream that warms up, is suspected or ejected it is its own fault,
  // unless these are the most.
  bool IsReportingLoad(const Upstream& upstream, TimePoint now) const;

  // Of the upstreams in service, those that warm up by their fraction.
  double available_weight() const { return available_weight_; }

 private:
  bool IsInGoodStanding(const Upstream& upstream, TimePoint now) const;

  const Membership& membership_;
  const OutlierDetector& outliers_;
  const SlowStart& slow_start_;
  double serving_weight_ = 0;
  double available_weight_ = 0;
  double reporting_weight_ = 0;
};

}  // namespace lb

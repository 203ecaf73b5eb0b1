// Zone locality: the cost of a call to another zone, and the choice between a local and a remote upstream.
#pragma once

#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class ZoneLocality {
 public:
  // `settings` has to outlive this object.
  explicit ZoneLocality(const Settings& settings) : settings_(settings) {}

  bool IsLocal(const Upstream& upstream) const { return upstream.info.zone == settings_.zone; }
  // Whether cross-zone calls have a cost in this deployment.
  bool HasCost() const { return settings_.decision_costs.cross_zone > 0; }
  // The zone cost of a call to `upstream` as a share of a call's value.
  double Cost(const Upstream& upstream) const {
    return IsLocal(upstream) ? 0 : settings_.decision_costs.cross_zone;
  }
  // Whether a local upstream is preferable to a remote one. The risks are the probabilities, 0 to 1, that a
  // call to the upstream is late.
  bool IsLocalWorthMore(double local_risk, double remote_risk) const {
    return local_risk < remote_risk + settings_.decision_costs.cross_zone * kCostShare;
  }

 private:
  // The share of the cross-zone cost that counts in the comparison. With the full cost, a local upstream
  // would be preferred until it is too heavily loaded.
  static constexpr double kCostShare = 0.5;
  const Settings& settings_;
};

}  // namespace lb

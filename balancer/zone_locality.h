// Zone locality: what a call to another zone costs, and when a local upstream is worth more.
#pragma once

#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class ZoneLocality {
 public:
  // `settings` has to outlive this.
  explicit ZoneLocality(const Settings& settings) : settings_(settings) {}

  bool IsLocal(const Upstream& upstream) const { return upstream.info.zone == settings_.zone; }
  // Cross-zone calls have a cost in this deployment.
  bool HasCost() const { return settings_.decision_costs.cross_zone > 0; }
  // Of a call to `upstream`, as a share of a call's value.
  double Cost(const Upstream& upstream) const {
    return IsLocal(upstream) ? 0 : settings_.decision_costs.cross_zone;
  }
  // Both risks: how likely the call is late, 0 to 1.
  bool IsLocalWorthMore(double local_risk, double remote_risk) const {
    return local_risk < remote_risk + settings_.decision_costs.cross_zone * kCostShare;
  }

 private:
  // Of the cost of a cross-zone call: local upstreams must not fill up to the whole of it.
  static constexpr double kCostShare = 0.5;
  const Settings& settings_;
};

}  // namespace lb

#include "balancer/service_capacity.h"

namespace lb {

// An upstream that is not monitored is warm, healthy and idle: it counts whole.
void ServiceCapacity::Update(TimePoint now) {
  WeightSum reporting = membership_.listed_weight();
  WeightSum available = reporting;
  for (const Upstream* upstream : membership_.Monitored()) {
    if (upstream->info.state != UpstreamState::kServing) continue;
    const double weight = upstream->info.weight;
    if (!IsInGoodStanding(*upstream, now)) reporting.Subtract(weight);
    available.Subtract(weight);
    if (!OutlierDetector::IsEjected(*upstream))
      available.Add(weight * slow_start_.WarmUpFraction(*upstream, now));
  }
  serving_weight_ = membership_.listed_weight().value();
  reporting_weight_ = reporting.value();
  available_weight_ = available.value();
}

bool ServiceCapacity::IsReportingLoad(const Upstream& upstream, TimePoint now) const {
  return IsInGoodStanding(upstream, now) || 2 * reporting_weight_ <= serving_weight_;
}

bool ServiceCapacity::IsInGoodStanding(const Upstream& upstream, TimePoint now) const {
  return !OutlierDetector::IsEjected(upstream) && !slow_start_.IsWarmingUp(upstream, now) &&
         !outliers_.IsSuspectedOutlier(upstream, now);
}

}  // namespace lb

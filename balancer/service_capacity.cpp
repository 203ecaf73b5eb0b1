#include "balancer/service_capacity.h"

namespace lb {

// An upstream that is not monitored is warm, healthy and idle, so its full weight counts.
void ServiceCapacity::Update(TimePoint now) {
  WeightSum good_standing = membership_.listed_weight();
  WeightSum available = good_standing;
  for (const Upstream* upstream : membership_.Monitored()) {
    if (upstream->info.state != UpstreamState::kServing) continue;
    const double weight = upstream->info.weight;
    if (!IsInGoodStanding(*upstream, now)) good_standing.Subtract(weight);
    available.Subtract(weight);
    if (!OutlierDetector::IsEjected(*upstream))
      available.Add(weight * slow_start_.WarmUpFraction(*upstream, now));
  }
  serving_weight_ = membership_.listed_weight().value();
  good_standing_weight_ = good_standing.value();
  available_weight_ = available.value();
}

bool ServiceCapacity::LatenessIndicatesLoad(const Upstream& upstream, TimePoint now) const {
  return IsInGoodStanding(upstream, now) || 2 * good_standing_weight_ <= serving_weight_;
}

bool ServiceCapacity::IsInGoodStanding(const Upstream& upstream, TimePoint now) const {
  return !OutlierDetector::IsEjected(upstream) && !slow_start_.IsWarmingUp(upstream, now) &&
         !outliers_.IsSuspectedOutlier(upstream, now);
}

}  // namespace lb

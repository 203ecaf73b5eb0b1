#include "balancer/subsetting.h"

#include <algorithm>

#include "balancer/outlier_detector.h"

namespace lb {
namespace {

// Minimum number of upstreams: if one fails and one is busy, one is left.
constexpr double kMinSubsetSize = 3;
// Connections at each upstream, if all sidecars were alike: the number before the rate of requests is known,
// and the number beyond which a subset grows only if its members are busy.
constexpr double kInitialConnections = 5;
constexpr double kMaxIdleConnections = 15;
// Requests of this sidecar in flight at a busy member.
constexpr double kBusyInFlight = 2;

}  // namespace

Subsetting::Subsetting(const Settings& settings, const Membership& membership,
                       const TrafficStatistics& traffic, const ConcurrencyLimiter& limiter,
                       Duration failure_memory)
    : sidecar_count_(static_cast<double>(settings.sidecar_count)),
      membership_(membership),
      traffic_(traffic),
      limiter_(limiter),
      failure_memory_(failure_memory) {}

double Subsetting::Size(TimePoint now) const {
  const auto listed = static_cast<double>(membership_.size());
  const double upstreams_per_sidecar = listed / sidecar_count_;
  if (!traffic_.IsRateKnown(now))
    return std::max(kMinSubsetSize, std::min(listed, kInitialConnections * upstreams_per_sidecar));
  const double sampled_often =
      traffic_.request_rate() * Seconds(failure_memory_) / OutlierDetector::kFailuresToEject;
  const double kept_busy = limiter_.UsualInFlight() / kBusyInFlight;
  return std::max(kMinSubsetSize,
                  std::min(sampled_often, std::max(kMaxIdleConnections * upstreams_per_sidecar, kept_busy)));
}

double Subsetting::Share(TimePoint now) const {
  return std::min(1.0, Size(now) / std::max(1.0, static_cast<double>(membership_.size())));
}

}  // namespace lb

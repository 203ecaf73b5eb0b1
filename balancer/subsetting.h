// Deterministic subsetting (aperture, as in Finagle): how many upstreams, from this sidecar's place on the
// ring on, it spreads its requests over. Membership places the subset; this is its size.
#pragma once

#include <cstddef>

#include "balancer/concurrency_limiter.h"
#include "balancer/membership.h"
#include "balancer/settings.h"
#include "balancer/traffic_statistics.h"

namespace lb {

class Subsetting {
 public:
  // All have to outlive this. `failure_memory`: how long what a failure tells counts.
  Subsetting(const Settings& settings, const Membership& membership, const TrafficStatistics& traffic,
             const ConcurrencyLimiter& limiter, Duration failure_memory);

  // Upstreams in the subset; may be a fraction, and more than are listed.
  //
  // As many as are sent OutlierDetector::kFailuresToEject requests within `failure_memory`: with few requests
  // spread so thin that no upstream is met twice, every request needs a new connection and tells nothing of
  // the next. With many requests it is the whole list; but where the fleet is so large that the connections
  // of all sidecars would fill the upstreams' tables, it is as many as this sidecar keeps busy.
  double Size(TimePoint now) const;
  // The share of the list that is in the subset, 0 to 1.
  double Share(TimePoint now) const;

 private:
  const double sidecar_count_;
  const Membership& membership_;
  const TrafficStatistics& traffic_;
  const ConcurrencyLimiter& limiter_;
  const Duration failure_memory_;
};

}  // namespace lb

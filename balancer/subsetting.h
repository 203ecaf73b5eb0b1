// Deterministic subsetting (aperture, as in Finagle): computes the number of upstreams, starting from this
// sidecar's place on the ring, that the sidecar spreads its requests over. Membership places the subset; this
// class determines its size.
#pragma once

#include <cstddef>

#include "balancer/concurrency_limiter.h"
#include "balancer/membership.h"
#include "balancer/settings.h"
#include "balancer/traffic_statistics.h"

namespace lb {

class Subsetting {
 public:
  // All arguments have to outlive this object. `failure_memory`: how long a failure counts.
  Subsetting(const Settings& settings, const Membership& membership, const TrafficStatistics& traffic,
             const ConcurrencyLimiter& limiter, Duration failure_memory);

  // The number of upstreams in the subset. May be a fraction, and more than are listed.
  //
  // It is the number of upstreams to which the sidecar sends OutlierDetector::kFailuresToEject requests each
  // within `failure_memory`. If few requests were spread over more upstreams, hardly any upstream would get a
  // second request in time: every request would need a new connection, and its outcome would not help the
  // next one. With many requests the subset is the whole list, unless the fleet is so large that the
  // connections of all sidecars would exhaust the upstreams' connection tables: then it is the number of
  // upstreams that this sidecar keeps busy.
  double Size(TimePoint now) const;
  // The share of the listed upstreams that is in the subset, 0 to 1.
  double Share(TimePoint now) const;

 private:
  const double sidecar_count_;
  const Membership& membership_;
  const TrafficStatistics& traffic_;
  const ConcurrencyLimiter& limiter_;
  const Duration failure_memory_;
};

}  // namespace lb

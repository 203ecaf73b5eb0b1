// Hedged requests, as in gRPC and "The Tail at Scale" (Dean and Barroso, 2013): a second attempt beside the
// first for a request that is late compared with the usual response time because its upstream hangs.
#pragma once

#include <optional>

#include "balancer/concurrency_limiter.h"
#include "balancer/latency_statistics.h"
#include "balancer/outlier_detector.h"
#include "balancer/request.h"
#include "balancer/retry_budget.h"
#include "balancer/settings.h"

namespace lb {

class HedgingPolicy {
 public:
  // All arguments have to outlive this object.
  HedgingPolicy(const Limits& limits, const LatencyStatistics& latency, const OutlierDetector& outliers,
                const ConcurrencyLimiter& limiter, const RetryBudget& budget)
      : limits_(limits), latency_(latency), outliers_(outliers), limiter_(limiter), budget_(budget) {}

  // Sets the time from which `request` counts as late, and returns it as the time at which Decide() is to be
  // called. Returns nothing if no hedged request may be sent then.
  std::optional<TimePoint> Schedule(Request& request, TimePoint now) const;

  enum class Decision { kNone, kSend, kReschedule };
  Decision Decide(const Request& request, TimePoint now) const;

 private:
  const Limits& limits_;
  const LatencyStatistics& latency_;
  const OutlierDetector& outliers_;
  const ConcurrencyLimiter& limiter_;
  const RetryBudget& budget_;
};

}  // namespace lb

#include "balancer/hedging_policy.h"

#include <algorithm>

namespace lb {
namespace {

// The multiple of its class's usual response time after which a request counts as late: few requests at
// healthy upstreams take that long.
constexpr double kLateMultiple = 3;

}  // namespace

std::optional<TimePoint> HedgingPolicy::Schedule(Request& request, TimePoint now) const {
  request.hedge_at = now + Scaled(latency_.UsualTime(request.class_index), kLateMultiple);
  const bool may_hedge =
      request.request_class->idempotency != Idempotency::kNotIdempotent && limits_.hedging_allowed;
  if (request.ended || !may_hedge || request.hedge_at >= request.deadline) return std::nullopt;
  return request.hedge_at;
}

HedgingPolicy::Decision HedgingPolicy::Decide(const Request& request, TimePoint now) const {
  if (request.ended || request.response_started || !request.HasPendingAttempt() || !budget_.HasToken())
    return Decision::kNone;
  if (now < request.hedge_at) return Decision::kNone;
  // If its upstream responds to other requests, the request itself takes long and would do so elsewhere, too;
  // and cancelling the first attempt might not stop its work.
  const bool upstream_responds = std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
    return !attempt.outcome && !outliers_.IsSuspectedOutlier(*attempt.upstream, now);
  });
  if (upstream_responds) return Decision::kReschedule;
  return limiter_.HasSpareCapacity() ? Decision::kSend : Decision::kNone;
}

}  // namespace lb

#include "balancer/hedging_policy.h"

#include <algorithm>

namespace lb {
namespace {

// Usual response times of its class after which a request counts as late: few healthy ones take that long.
constexpr double kLateTimes = 3;

}  // namespace

std::optional<TimePoint> HedgingPolicy::Schedule(Request& request, TimePoint now) const {
  request.hedge_at = now + Scaled(latency_.UsualTime(request.class_index), kLateTimes);
  const bool may_hedge =
      request.request_class->idempotency != Idempotency::kNotIdempotent && limits_.hedging_allowed;
  if (request.ended || !may_hedge || request.hedge_at >= request.deadline) return std::nullopt;
  return request.hedge_at;
}

HedgingPolicy::Decision HedgingPolicy::Decide(const Request& request, TimePoint now) const {
  if (request.ended || request.response_started || !request.HasAttemptOut() || !budget_.HasOne())
    return Decision::kNone;
  if (now < request.hedge_at) return Decision::kNone;
  // Where its upstream responds to others the request takes long in itself: it would elsewhere, too, and a
  // cancellation may stop nothing.
  const bool upstream_responds = std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
    return !attempt.outcome && !outliers_.IsSuspectedOutlier(*attempt.upstream, now);
  });
  if (upstream_responds) return Decision::kReschedule;
  return limiter_.HasSpareCapacity() ? Decision::kSend : Decision::kNone;
}

}  // namespace lb

// Decides whether a request may be sent (again), to which upstreams, and with which time-out, by the rules of
// idempotency, deadlines and the maximum number of attempts. Idempotency is as in RFC 9110, section 9.2.2,
// extended by idempotency keys.
#pragma once

#include "balancer/concurrency_limiter.h"
#include "balancer/connection_tracker.h"
#include "balancer/random_source.h"
#include "balancer/request.h"
#include "balancer/retry_budget.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class RetryPolicy {
 public:
  // All arguments have to outlive this object.
  RetryPolicy(const Limits& limits, const ConnectionTracker& connections, const ConcurrencyLimiter& limiter,
              RetryBudget& budget, RandomSource& random)
      : limits_(limits), connections_(connections), limiter_(limiter), budget_(budget), random_(random) {}

  // Whether the request may be sent (again) to some upstream.
  bool CanSend(const Request& request, TimePoint now) const;
  // Whether the request may be sent to `upstream`. Every attempt must pass this check.
  bool CanSendTo(const Request& request, const Upstream& upstream, TimePoint now) const;
  // Whether the request may have another attempt beside a pending one.
  bool CanSendCopy(const Request& request) const;
  // Whether another attempt is worth its cost. Takes a token from the retry budget if the attempt needs one.
  // No attempt may be pending.
  bool ShouldRetry(const Request& request, TimePoint now);
  // Whether a rejection would be truthful: no attempt ran, or a repeat is harmless.
  bool CanReject(const Request& request) const;

  // Time-out of the next attempt.
  Duration AttemptTimeout(const Request& request, TimePoint now) const;
  // The next attempt must begin within this time or not at all. Duration::max(): no limit.
  Duration BeginWithin(const Request& request, TimePoint now) const;
  // The Retry-After of a rejected request; zero: none. A retry that comes sooner is useless: it would be late
  // or rejected again, and the retries of all sidecars together would sustain an overload.
  Duration RetryAfter() const;

 private:
  bool HasAttemptLeft(const Request& request, bool has_connection) const;

  const Limits& limits_;
  const ConnectionTracker& connections_;
  const ConcurrencyLimiter& limiter_;
  RetryBudget& budget_;
  RandomSource& random_;
};

}  // namespace lb

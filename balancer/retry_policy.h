// What may be sent again, to whom, and for how long it is waited for: the rules of idempotency, of deadlines
// and of the number of attempts. Idempotency as RFC 9110 (9.2.2) has it, with idempotency keys beside it.
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
  // All have to outlive this.
  RetryPolicy(const Limits& limits, const ConnectionTracker& connections, const ConcurrencyLimiter& limiter,
              RetryBudget& budget, RandomSource& random)
      : limits_(limits), connections_(connections), limiter_(limiter), budget_(budget), random_(random) {}

  // The request may be sent (again), to some upstream.
  bool CanSend(const Request& request, TimePoint now) const;
  // And to this one. The one gate to every attempt.
  bool CanSendTo(const Request& request, const Upstream& upstream, TimePoint now) const;
  // Another attempt beside one that is out may be made for the request.
  bool CanSendCopy(const Request& request) const;
  // Another attempt is worth its cost; spends from the retry budget what it takes. No attempt is out.
  bool ShouldRetry(const Request& request, TimePoint now);
  // Rejecting the request promises no more than is true: nothing ran, or a repeat is harmless.
  bool CanReject(const Request& request) const;

  // For the next attempt.
  Duration AttemptTimeout(const Request& request, TimePoint now) const;
  // The next attempt must begin within this time, or not at all. Duration::max(): whenever.
  Duration BeginWithin(const Request& request, TimePoint now) const;
  // The Retry-After of a rejected request; zero: no advice. A retry that comes sooner gains nothing: it would
  // be late or rejected too, and the retries of all sidecars together keep an overload up.
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

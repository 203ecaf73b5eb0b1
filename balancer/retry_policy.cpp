#include "balancer/retry_policy.h"

#include <algorithm>
#include <cstddef>

namespace lb {
namespace {

// Attempts for which this host could not open a connection reached no upstream. They may exceed max_attempts
// by up to this number if an upstream already has a connection.
constexpr std::size_t kMaxLocalFailures = 16;
// The number of attempts, all proven not to have run, up to which a further attempt needs no token from the
// retry budget.
constexpr std::size_t kFreeAttempts = 2;
// Repeats begin only within 1/2 of the key window: the rest is left for connecting and transmission.
constexpr int kKeyWindowDivisor = 2;
// The jitter of Retry-After as a share of its maximum, so that clients do not return in step.
constexpr double kRetryAfterJitter = 0.1;

}  // namespace

bool RetryPolicy::CanSend(const Request& request, TimePoint now) const {
  if (request.ended || request.response_started || request.body_consumed) return false;
  if (request.body_streams && request.HasPendingAttempt()) return false;
  if (!request.body_pending && now >= request.deadline) return false;
  if (!HasAttemptLeft(request, true)) return false;
  const Idempotency idempotency = request.request_class->idempotency;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.MayHaveRun()) continue;
    if (!attempt.outcome && !limits_.hedging_allowed) return false;
    if (idempotency == Idempotency::kNotIdempotent) return false;
    // Upstreams drop repeats only while they remember the key.
    if (idempotency == Idempotency::kIdempotencyKey &&
        now - attempt.sent >= request.request_class->key_window / kKeyWindowDivisor)
      return false;
  }
  return true;
}

bool RetryPolicy::CanSendTo(const Request& request, const Upstream& upstream, TimePoint now) const {
  if (!CanSend(request, now)) return false;
  if (!HasAttemptLeft(request, connections_.HasConnection(upstream, now))) return false;
  if (request.request_class->idempotency != Idempotency::kIdempotencyKey) return true;
  // Only upstreams that share the record of the key drop repeats.
  const KeyScope scope = request.request_class->key_scope;
  return std::ranges::all_of(request.attempts, [&](const Attempt& attempt) {
    if (!attempt.MayHaveRun()) return true;
    const UpstreamInfo& earlier = attempt.upstream->info;
    if (scope == KeyScope::kZone) return earlier.zone == upstream.info.zone;
    return scope != KeyScope::kCell || earlier.cell == upstream.info.cell;
  });
}

bool RetryPolicy::CanSendCopy(const Request& request) const {
  if (!limits_.hedging_allowed && !request.attempts.empty()) return false;
  return request.request_class->idempotency != Idempotency::kNotIdempotent;
}

bool RetryPolicy::ShouldRetry(const Request& request, TimePoint now) {
  if (request.attempts.empty()) return true;
  const RequestClass& request_class = *request.request_class;
  // A response after the latency objective would have no value.
  if (!request.body_pending && request_class.late_priority_weight <= 0 &&
      now >= request.arrived + request_class.latency_objective)
    return false;
  const auto& last = request.attempts.back().outcome;
  if (last && ProvesNotRun(*last) && (WasNeverSent(*last) || request.attempts.size() <= kFreeAttempts))
    return true;
  if (!budget_.HasToken()) return false;
  budget_.SpendToken();
  return true;
}

bool RetryPolicy::CanReject(const Request& request) const {
  const RequestClass& request_class = *request.request_class;
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kIdempotencyKey && request_class.key_scope == KeyScope::kAll)
    return true;
  return std::ranges::none_of(request.attempts, &Attempt::MayHaveRun);
}

Duration RetryPolicy::AttemptTimeout(const Request& request, TimePoint now) const {
  const RequestClass& request_class = *request.request_class;
  const Duration remaining = request.deadline - (request.body_pending ? request.arrived : now);
  // Requests whose late responses have a value wait until the deadline. A time-out at the latency objective
  // would lose and restart all work on them, and in an overload that is most of the upstreams' work.
  if (request_class.late_priority_weight > 0) return remaining;
  // Any other request that may be repeated times out at its latency objective, because another upstream may
  // respond in time. Under overload a request that may not be repeated does so, too: its late response has no
  // value and delays other requests.
  const bool give_up = request_class.idempotency != Idempotency::kNotIdempotent || limiter_.IsLimiting();
  if (!give_up) return remaining;
  if (request.body_pending) return std::min(remaining, request_class.latency_objective);
  const TimePoint objective = request.arrived + request_class.latency_objective;
  return now < objective ? std::min(remaining, Duration(objective - now)) : remaining;
}

// If the connection for a copy is established late, the copy must not begin when the upstreams are about to
// forget the key of the first attempt that may have run: a quarter of the key window is left for
// transmission.
Duration RetryPolicy::BeginWithin(const Request& request, TimePoint now) const {
  Duration within = Duration::max();
  if (request.request_class->idempotency != Idempotency::kIdempotencyKey) return within;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.MayHaveRun()) continue;
    within = std::min(within, Duration(attempt.sent + request.request_class->key_window * 3 / 4 - now));
  }
  return within;
}

Duration RetryPolicy::RetryAfter() const {
  const Duration advice = Scaled(limits_.max_retry_after, 1 - kRetryAfterJitter * random_.Uniform());
  return limits_.send_retry_after ? advice : Duration::zero();
}

bool RetryPolicy::HasAttemptLeft(const Request& request, bool has_connection) const {
  if (request.attempts.size() >= limits_.max_attempts + kMaxLocalFailures) return false;
  return request.attempts.size() - (has_connection ? request.LocalFailures() : 0) < limits_.max_attempts;
}

}  // namespace lb

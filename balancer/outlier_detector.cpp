#include "balancer/outlier_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "balancer/concurrency_limiter.h"

namespace lb {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The ejection times and their growth are the figures of the design page, which follow the linkerd RFC.
constexpr Duration kBaseEjectionTime = seconds(60);
// Applies to an ejection that begins within kBaseEjectionTime of the end of the last one.
constexpr int kEjectionTimeMultiplier = 2;
constexpr Duration kMaxEjectionTime = seconds(120);
// An overload is no outlier: if more than this share of the calls to the other upstreams fail, the required
// number of consecutive failures is raised until it is as improbable as it would be at this share.
constexpr double kNormalFailureShare = 0.1;
// The time from an ejection to the first half-open probe. Each failed probe doubles the time to the next one.
// Most faults of a machine pass within seconds, and probes cost the service little.
constexpr Duration kFirstProbeInterval = milliseconds(1000);
constexpr Duration kMaxProbeInterval = milliseconds(8000);
// Consecutive served probes required for readmission. A single success may be chance at an upstream that
// fails occasionally.
constexpr int kProbesToReadmit = 2;
// The multiple of its usual response time without a response, with requests in flight, after which an
// upstream is suspected.
constexpr double kNoResponseMultiple = 3;
// Consecutive failures after which an upstream is suspected. A single failure may be caused by the request
// itself.
constexpr int kFailuresToSuspect = 2;

}  // namespace

EjectionChange OutlierDetector::RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome,
                                              TimePoint now) {
  OutlierState& state = upstream.outlier;
  EjectionChange change = EjectionChange::kNone;
  if (attempt.half_open_probe) change = RecordHalfOpenProbe(upstream, outcome, now);
  if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout && outcome != Outcome::kCancelled &&
      outcome != Outcome::kLocalFailure) {
    state.no_response_since = now;
  }
  const bool served = outcome == Outcome::kServed;
  if (!served && !IsFailure(outcome)) return change;
  failures_.Record(upstream, outcome);
  state.failure_run = served ? 0 : state.failure_run + 1;
  if (state.ejected || state.failure_run < RequiredFailureRun(upstream, kFailuresToEject)) return change;
  Eject(upstream, now);
  return EjectionChange::kEjected;
}

void OutlierDetector::RecordLoadProbe(Upstream& upstream, Outcome outcome) {
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kTimeout) ++upstream.outlier.failure_run;
}

bool OutlierDetector::IsSuspectedOutlier(const Upstream& upstream, TimePoint now) const {
  if (upstream.outlier.failure_run >= RequiredFailureRun(upstream, kFailuresToSuspect)) return true;
  if (ConcurrencyLimiter::InFlight(upstream) == 0) return false;
  return now - upstream.outlier.no_response_since >
         Scaled(latency_.UsualTime(), kNoResponseMultiple * LatencyStatistics::RelativeLatency(upstream));
}

bool OutlierDetector::IsIdleAndHealthy(const Upstream& upstream) {
  return !upstream.outlier.ejected && upstream.outlier.failure_run == 0 &&
         ConcurrencyLimiter::InFlight(upstream) == 0;
}

bool OutlierDetector::IsDueForHalfOpenProbe(const Upstream& upstream, TimePoint now) const {
  const OutlierState& state = upstream.outlier;
  if (!state.ejected && !IsSuspectedOutlier(upstream, now)) return false;
  return !state.half_open_probe_pending && now >= state.next_half_open_probe;
}

EjectionChange OutlierDetector::RecordHalfOpenProbe(Upstream& upstream, Outcome outcome, TimePoint now) {
  OutlierState& state = upstream.outlier;
  state.half_open_probe_pending = false;
  state.next_half_open_probe = now;
  if (outcome == Outcome::kServed) {
    if (!state.ejected) return EjectionChange::kNone;
    ++state.half_open_probes_served;
    if (state.half_open_probes_served < kProbesToReadmit) return EjectionChange::kNone;
    Readmit(upstream, now);
    return EjectionChange::kReadmitted;
  }
  if (IsFailure(outcome)) {
    state.half_open_probes_served = 0;
    state.half_open_probe_interval =
        state.ejected ? std::min(state.half_open_probe_interval * 2, kMaxProbeInterval) : kFirstProbeInterval;
    state.next_half_open_probe = now + state.half_open_probe_interval;
  } else {
    state.next_half_open_probe = now + kFirstProbeInterval;
  }
  return EjectionChange::kNone;
}

// Returns the number of consecutive failures that is as improbable at the peers' share of failures as `run`
// is at the normal share. Without this, an overload or a slowdown of the whole fleet, in which healthy
// upstreams have consecutive time-outs, would eject all of them.
int OutlierDetector::RequiredFailureRun(const Upstream& upstream, int run) const {
  const double share = failures_.PeersFailureShare(upstream);
  if (share <= kNormalFailureShare) return run;
  return static_cast<int>(std::ceil(run * std::log(kNormalFailureShare) / std::log(share)));
}

void OutlierDetector::Eject(Upstream& upstream, TimePoint now) {
  OutlierState& state = upstream.outlier;
  const bool relapse = state.ejected_at && now - state.ejected_until < kBaseEjectionTime;
  state.ejection_time =
      relapse ? std::min(state.ejection_time * kEjectionTimeMultiplier, kMaxEjectionTime) : kBaseEjectionTime;
  state.ejected = true;
  failures_.Exclude(upstream);
  state.ejected_at = now;
  state.ejected_until = now + state.ejection_time;
  state.ejection_failures = state.failure_run;
  state.failure_run = 0;
  state.half_open_probe_interval = kFirstProbeInterval;
  state.next_half_open_probe = now + state.half_open_probe_interval;
  state.half_open_probes_served = 0;
}

void OutlierDetector::Readmit(Upstream& upstream, TimePoint now) {
  upstream.outlier.ejected = false;
  failures_.Include(upstream);
  upstream.outlier.ejected_until = now;
}

}  // namespace lb

#include "balancer/outlier_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "balancer/concurrency_limiter.h"

namespace lb {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The ejection's times and their growth are the figures of the design page, after the linkerd RFC.
constexpr Duration kBaseEjectionTime = seconds(60);
constexpr int kEjectionTimeMultiplier = 2;  // for an ejection within kBaseEjectionTime of the last one's end
constexpr Duration kMaxEjectionTime = seconds(120);
// Overload is no outlier: where more than this share of the calls to the other upstreams fail, the run must
// be so long that it is as rare as it is at this share.
constexpr double kOrdinaryFailureShare = 0.1;
// The first half-open probe of an ejected upstream comes after this time, and the next one after twice the
// time with each that fails: most faults of a machine are over within seconds, and probes cost the service
// little.
constexpr Duration kFirstProbeInterval = milliseconds(1000);
constexpr Duration kMaxProbeInterval = milliseconds(8000);
// In a row, to be readmitted: one may be luck where an upstream fails now and then.
constexpr int kProbesToReadmit = 2;
// Usual response times without a sign of life, with requests in flight, that make a suspect.
constexpr double kSilenceTimes = 3;
// Consecutive failures that make a suspect: one may be the request's own fault.
constexpr int kFailuresToSuspect = 2;

}  // namespace

EjectionChange OutlierDetector::RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome,
                                              TimePoint now) {
  OutlierState& state = upstream.outlier;
  EjectionChange change = EjectionChange::kNone;
  if (attempt.half_open_probe) change = RecordHalfOpenProbe(upstream, outcome, now);
  if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout && outcome != Outcome::kCancelled &&
      outcome != Outcome::kLocalFailure) {
    state.silent_since = now;
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
  return now - upstream.outlier.silent_since >
         Scaled(latency_.UsualTime(), kSilenceTimes * LatencyStatistics::RelativeLatency(upstream));
}

bool OutlierDetector::IsAtRest(const Upstream& upstream) {
  return !upstream.outlier.ejected && upstream.outlier.failure_run == 0 &&
         ConcurrencyLimiter::InFlight(upstream) == 0;
}

bool OutlierDetector::IsDueForHalfOpenProbe(const Upstream& upstream, TimePoint now) const {
  const OutlierState& state = upstream.outlier;
  if (!state.ejected && !IsSuspectedOutlier(upstream, now)) return false;
  return !state.half_open_probe_out && now >= state.next_half_open_probe;
}

EjectionChange OutlierDetector::RecordHalfOpenProbe(Upstream& upstream, Outcome outcome, TimePoint now) {
  OutlierState& state = upstream.outlier;
  state.half_open_probe_out = false;
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

// The run that is as rare here as `run` in a row is at the ordinary share of failures. Without this an
// overload or a slowdown of the whole fleet, whose time-outs come in a row at healthy upstreams, would eject
// all of them.
int OutlierDetector::RequiredFailureRun(const Upstream& upstream, int run) const {
  const double share = failures_.PeersFailureShare(upstream);
  if (share <= kOrdinaryFailureShare) return run;
  return static_cast<int>(std::ceil(run * std::log(kOrdinaryFailureShare) / std::log(share)));
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

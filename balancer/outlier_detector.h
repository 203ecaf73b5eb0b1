// Passive health checking (outlier detection): ejects an upstream after consecutive failures for a time that
// doubles with each relapse, and readmits it early after successful half-open probes. As in Envoy's
// consecutive_5xx and the consecutive-failures circuit breaker of linkerd's RFC. Keeps no clock: every call
// is handed the time.
//
// | state    | failed run                 | half-open probes served | ejection time over |
// | in force | ejected                    |                         |                    |
// | ejected  | (nothing is sent but       | in force                | in force           |
// |          | half-open probes)          |                         |                    |
#pragma once

#include "balancer/failure_statistics.h"
#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "balancer/upstream.h"

namespace lb {

enum class EjectionChange { kNone, kEjected, kReadmitted };

class OutlierDetector {
 public:
  // Consecutive failures that eject an upstream, by the design page: a lower number would eject upstreams
  // that fail now and then.
  static constexpr int kFailuresToEject = 5;

  // Both have to outlive this.
  OutlierDetector(FailureStatistics& failures, const LatencyStatistics& latency)
      : failures_(failures), latency_(latency) {}

  // Counts the end of an attempt to `upstream`. Outcomes that say nothing of its health (as cancelled, local
  // failure) count for a half-open probe only.
  [[nodiscard]] EjectionChange RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome,
                                             TimePoint now);
  // An upstream that does not even answer a load probe has failed.
  static void RecordLoadProbe(Upstream& upstream, Outcome outcome);
  // Ends an ejection whose time is over; true if it did.
  [[nodiscard]] bool ReadmitIfExpired(Upstream& upstream, TimePoint now) {
    if (!upstream.outlier.ejected || now < upstream.outlier.ejected_until) return false;
    Readmit(upstream, now);
    return true;
  }

  static bool IsEjected(const Upstream& upstream) { return upstream.outlier.ejected; }
  // Shows signs of failure short of an ejection: consecutive failures, or requests in flight without a sign
  // of life. Such an upstream is passed over while others stand; hangs, paused machines and cut links show by
  // nothing but time. One response clears it.
  bool IsSuspectedOutlier(const Upstream& upstream, TimePoint now) const;
  // Ejected or suspected, and to be tried with a call.
  bool IsDueForHalfOpenProbe(const Upstream& upstream, TimePoint now) const;
  // Nothing fails and nothing is in flight: neither suspected nor about to be.
  static bool IsAtRest(const Upstream& upstream);
  // Of the last ejection.
  static Duration EjectionTime(const Upstream& upstream) { return upstream.outlier.ejection_time; }
  static int EjectionFailures(const Upstream& upstream) { return upstream.outlier.ejection_failures; }

  static void OnHalfOpenProbeSent(Upstream& upstream) { upstream.outlier.half_open_probe_out = true; }
  // A request is in flight there, and none was before.
  static void OnFirstInFlight(Upstream& upstream, TimePoint now) { upstream.outlier.silent_since = now; }

 private:
  EjectionChange RecordHalfOpenProbe(Upstream& upstream, Outcome outcome, TimePoint now);
  int RequiredFailureRun(const Upstream& upstream, int run) const;
  void Eject(Upstream& upstream, TimePoint now);
  void Readmit(Upstream& upstream, TimePoint now);

  FailureStatistics& failures_;
  const LatencyStatistics& latency_;
};

}  // namespace lb

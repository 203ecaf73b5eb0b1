// Passive health checking (outlier detection): ejects an upstream after consecutive failures, for a time that
// doubles with each relapse, and readmits it early after successful half-open probes. As in Envoy's
// consecutive_5xx and the consecutive-failures circuit breaker of linkerd's RFC. Keeps no clock: the caller
// passes the current time.
//
// | state    | consecutive failures       | half-open probes served | ejection time over |
// | in force | ejected                    |                         |                    |
// | ejected  | (only half-open probes     | in force                | in force           |
// |          | are sent)                  |                         |                    |
#pragma once

#include "balancer/failure_statistics.h"
#include "balancer/latency_statistics.h"
#include "balancer/request.h"
#include "balancer/upstream.h"

namespace lb {

enum class EjectionChange { kNone, kEjected, kReadmitted };

class OutlierDetector {
 public:
  // Consecutive failures that eject an upstream. The number is from the design page: a lower one would eject
  // upstreams that fail occasionally.
  static constexpr int kFailuresToEject = 5;

  // Both arguments have to outlive this object.
  OutlierDetector(FailureStatistics& failures, const LatencyStatistics& latency)
      : failures_(failures), latency_(latency) {}

  // Records the end of an attempt to `upstream`. Outcomes that do not show its health (such as kCancelled and
  // kLocalFailure) matter only for a half-open probe.
  [[nodiscard]] EjectionChange RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome,
                                             TimePoint now);
  // Records the end of a load probe. A connect failure or a time-out counts as a failure of the upstream.
  static void RecordLoadProbe(Upstream& upstream, Outcome outcome);
  // Ends an ejection whose time is over. Returns true if it did.
  [[nodiscard]] bool ReadmitIfExpired(Upstream& upstream, TimePoint now) {
    if (!upstream.outlier.ejected || now < upstream.outlier.ejected_until) return false;
    Readmit(upstream, now);
    return true;
  }

  static bool IsEjected(const Upstream& upstream) { return upstream.outlier.ejected; }
  // Whether the upstream shows signs of failure short of an ejection: consecutive failures, or requests in
  // flight without any response for long. A suspected upstream is skipped while others are available. Hangs,
  // paused machines and severed links show only by the lack of responses. One response clears the suspicion.
  bool IsSuspectedOutlier(const Upstream& upstream, TimePoint now) const;
  // Whether the upstream is ejected or suspected and is due to be tried with a call.
  bool IsDueForHalfOpenProbe(const Upstream& upstream, TimePoint now) const;
  // Whether the upstream has no recent failure and nothing in flight, so that it is neither suspected nor
  // about to be.
  static bool IsIdleAndHealthy(const Upstream& upstream);
  // Duration of the last ejection, and the consecutive failures that led to it.
  static Duration EjectionTime(const Upstream& upstream) { return upstream.outlier.ejection_time; }
  static int EjectionFailures(const Upstream& upstream) { return upstream.outlier.ejection_failures; }

  static void OnHalfOpenProbeSent(Upstream& upstream) { upstream.outlier.half_open_probe_pending = true; }
  // Must be called when a request to an upstream with none in flight becomes in flight.
  static void OnFirstInFlight(Upstream& upstream, TimePoint now) { upstream.outlier.no_response_since = now; }

 private:
  EjectionChange RecordHalfOpenProbe(Upstream& upstream, Outcome outcome, TimePoint now);
  int RequiredFailureRun(const Upstream& upstream, int run) const;
  void Eject(Upstream& upstream, TimePoint now);
  void Readmit(Upstream& upstream, TimePoint now);

  FailureStatistics& failures_;
  const LatencyStatistics& latency_;
};

}  // namespace lb

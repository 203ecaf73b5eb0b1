#include "balancer/outcome_recorder.h"

#include "balancer/log_lines.h"

namespace lb {

void OutcomeRecorder::RecordStart(Attempt& attempt, TimePoint now) {
  Upstream& upstream = *attempt.upstream;
  attempt.in_flight = true;
  attempt.sent = now;
  if (ConcurrencyLimiter::InFlight(upstream) == 0) OutlierDetector::OnFirstInFlight(upstream, now);
  components_.limiter.OnAttemptStarted(upstream);
  components_.membership.Monitor(upstream);
}

void OutcomeRecorder::RecordOutcome(const Request& request, Attempt& attempt, Outcome outcome,
                                    Duration elapsed, TimePoint now) {
  Upstream& upstream = *attempt.upstream;
  RecordLateness(request, upstream, outcome, elapsed, now);
  if (attempt.in_flight) components_.limiter.OnAttemptFinished(upstream);
  attempt.in_flight = false;
  const Duration usual_time = components_.latency.UsualTime(request.class_index);
  components_.connections.RecordOutcome(upstream, attempt, outcome, elapsed, usual_time, now);
  components_.latency.Record(upstream, {request.class_index, outcome, elapsed, attempt.reported_in_flight});
  RecordHealth(attempt, outcome, now);
  if (outcome == Outcome::kServed) components_.traffic.RecordServed();
}

void OutcomeRecorder::RecordHealth(const Attempt& attempt, Outcome outcome, TimePoint now) {
  Upstream& upstream = *attempt.upstream;
  if (upstream.info.state == UpstreamState::kGone) return;  // no further decisions concern this upstream
  const EjectionChange change = components_.outliers.RecordOutcome(upstream, attempt, outcome, now);
  if (change == EjectionChange::kReadmitted) {
    components_.rotation.Restart(upstream, now);
    components_.actions.Log(UpstreamReadmittedLine(upstream.info.id, ReadmissionReason::kProbesSucceeded));
  }
  if (outcome == Outcome::kRejected)
    components_.overload_backoff.Start(upstream, components_.latency.UsualTime(), now);
  if (outcome == Outcome::kServed || IsFailure(outcome)) components_.membership.Monitor(upstream);
  if (change == EjectionChange::kEjected) {
    components_.actions.Log(UpstreamEjectedLine(upstream.info.id, OutlierDetector::EjectionFailures(upstream),
                                                OutlierDetector::EjectionTime(upstream)));
  }
}

void OutcomeRecorder::RecordLateness(const Request& request, Upstream& upstream, Outcome outcome,
                                     Duration elapsed, TimePoint now) {
  const bool late = LatenessStatistics::IsLate(*request.request_class, outcome, elapsed);
  if (outcome != Outcome::kCancelled && !WasNeverSent(outcome))
    components_.lateness.Record(upstream, late, now);
  if (components_.capacity.LatenessIndicatesLoad(upstream, now))
    components_.limiter.RecordOutcome(upstream, outcome, late);
}

}  // namespace lb

// Handles a request from its arrival to its final answer: routes the events about requests to the components,
// which decide, and turns their decisions into actions.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/components.h"
#include "balancer/events.h"
#include "balancer/log_lines.h"
#include "balancer/outcome_recorder.h"
#include "balancer/request.h"
#include "balancer/upstream_selector.h"

namespace lb {

class RequestDispatcher {
 public:
  // Both arguments have to outlive this object.
  RequestDispatcher(Components& components, UpstreamSelector& selector)
      : components_(components), selector_(selector), outcomes_(components) {}

  void HandleRequestArrived(const RequestArrived& event, TimePoint now);
  void HandleRequestCompleted(const RequestCompleted& event, TimePoint now);
  void HandleResponseStarted(const ResponseStarted& event, TimePoint now);
  void HandleAttemptFinished(const AttemptFinished& event, TimePoint now);
  void HandleRequestCancelled(const RequestCancelled& event);
  void HandleLoadProbeFinished(const LoadProbeFinished& event, TimePoint now);
  void HandleRequestTimer(std::uint64_t token, TimePoint now);

 private:
  enum class AttemptKind { kOrdinary, kHalfOpenProbe };

  // Makes another attempt if that helps and is allowed, else gives the final answer. Does nothing while an
  // attempt is pending.
  void ContinueRequest(Request& request, TimePoint now);
  bool ShouldShed(const Request& request, TimePoint now);
  void RecordShedding(SheddingReason reason, TimePoint now);

  // Sends the request, or load probes for it. Returns false if no upstream can take the request.
  bool SendToNextUpstream(Request& request, TimePoint now);
  UpstreamPtr PreferLocal(const Request& request, const UpstreamPtr& upstream, TimePoint now);
  void AddLoadProbes(Request& request, TimePoint now);
  void SendLoadProbes(const Request& request, TimePoint now);
  // Called when all awaited load reports have arrived or the wait time is over: sends the request to the
  // upstream with the least load.
  void SendByLoadReports(Request& request, TimePoint now);
  // Probes an ejected or suspected upstream with a copy of the request. The client does not depend on the
  // copy, unless no other upstream is available: then the request itself is the probe, because rejecting
  // every request is the worst outcome.
  bool SendHalfOpenProbe(Request& request, TimePoint now);
  void SendHedgedRequest(Request& request, TimePoint now);
  void ScheduleHedge(Request& request, TimePoint now);
  // `reported_in_flight`: requests in flight at the upstream, as its load probe reported, this attempt
  // included; 0: not reported.
  void StartAttempt(Request& request, const UpstreamPtr& upstream, AttemptKind kind, TimePoint now,
                    double reported_in_flight = 0);

  // Gives the sidecar's own final answer: a rejection if RetryPolicy::CanReject() allows it, else a failure.
  void FinishRequest(Request& request);
  // Marks the request as answered: no further attempts are made, and pending attempts are cancelled.
  void EndRequest(Request& request);
  void CancelAttemptOf(const Request& request, AttemptId attempt);
  void SetRequestTimer(const Request& request, TimePoint at);

  Components& components_;
  UpstreamSelector& selector_;
  OutcomeRecorder outcomes_;
};

}  // namespace lb

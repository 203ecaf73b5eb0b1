// The way of a request from its arrival to its final answer. Routes the events about requests to the
// components, which decide, and turns their decisions into actions.
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
  // Both have to outlive this.
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

  // Makes another attempt where one helps and is allowed, else gives the final answer. Does nothing while an
  // attempt is out.
  void ContinueRequest(Request& request, TimePoint now);
  bool ShouldShed(const Request& request, TimePoint now);
  void RecordShedding(SheddingReason reason, TimePoint now);

  // Sends the request, or load probes for it; false where no upstream can take it.
  bool SendToNextUpstream(Request& request, TimePoint now);
  UpstreamPtr PreferLocal(const Request& request, const UpstreamPtr& upstream, TimePoint now);
  void AddLoadProbes(Request& request, TimePoint now);
  void SendLoadProbes(const Request& request, TimePoint now);
  // All reports that the request waits for have come, or the time for them is over.
  void SendByLoadReports(Request& request, TimePoint now);
  // Tests an ejected or suspected upstream with a copy of the request, whose client does not depend on it.
  // Where no other upstream stands the request itself is the probe: rejecting all is the worst outcome.
  bool SendHalfOpenProbe(Request& request, TimePoint now);
  void SendHedgedRequest(Request& request, TimePoint now);
  void ScheduleHedge(Request& request, TimePoint now);
  // `reported_in_flight`: by the upstream's load probe, with this attempt; 0: not reported.
  void StartAttempt(Request& request, const UpstreamPtr& upstream, AttemptKind kind, TimePoint now,
                    double reported_in_flight = 0);

  // The final answer by this sidecar: a rejection where that is true, else a failure.
  void FinishRequest(Request& request);
  // The request has its final answer: nothing more is sent for it, and attempts still out are cancelled.
  void EndRequest(Request& request);
  void CancelAttemptOf(const Request& request, AttemptId attempt);
  void SetRequestTimer(const Request& request, TimePoint at);

  Components& components_;
  UpstreamSelector& selector_;
  OutcomeRecorder outcomes_;
};

}  // namespace lb

// Passes requests from the listener to the balancer: validates them, computes their deadlines, and notifies
// the balancer when a streamed body is complete or a client disconnects. Also sends the responses that the
// balancer decides on without an upstream.
#pragma once

#include "balancer/balancer.h"
#include "sidecar/attempt_launcher.h"
#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"
#include "sidecar/listener.h"
#include "sidecar/request_table.h"
#include "sidecar/request_validation.h"

namespace lb::sidecar {

class RequestIntake {
 public:
  // All parameters have to outlive the intake.
  RequestIntake(const Settings& settings, BalancerHost& host, RequestTable& requests,
                AttemptLauncher& launcher);

  // Handles one request, as specified for OnRequest in request_handler.h. `body`: of a streamed request,
  // otherwise null.
  Listener::OnDisconnected AcceptRequest(HttpRequest message, Body body, Listener::SendResponse send_response,
                                         Listener::CheckClient check_client);

  void RejectRequest(const lb::RejectRequest& action);
  void FailRequest(const lb::FailRequest& action);

  // From now on no request gets a deadline later than `latest`; deadlines that are already set stay.
  void LimitDeadlines(TimePoint latest) { latest_deadline_ = latest; }

 private:
  // Returns the deadline for the response to a request that was complete at `completed_at`: `timeout` later,
  // but not after the limit on deadlines, and never before `completed_at`.
  TimePoint ComputeDeadline(TimePoint completed_at, Duration timeout) const;
  // The client has sent the last byte of a streamed request; its deadline runs from then.
  void HandleBodySent(RequestId id);
  void HandleClientDisconnected(RequestId id);

  const RequestValidator validator_;
  BalancerHost& host_;
  RequestTable& requests_;
  AttemptLauncher& launcher_;
  TimePoint latest_deadline_ = TimePoint::max();
};

}  // namespace lb::sidecar

// Takes requests from the listener to the balancer: validates them, works out their deadline, and tells the
// balancer when a streamed body is complete or a client disconnects. Gives the responses that the balancer
// decides on without an upstream.
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
  // All have to outlive the intake.
  RequestIntake(const Settings& settings, BalancerHost& host, RequestTable& requests,
                AttemptLauncher& launcher);

  // As Listener::OnRequest. `body`: of a streamed request, else null.
  Listener::OnDisconnected AcceptRequest(HttpRequest message, Body body, Listener::SendResponse send_response,
                                         Listener::CheckClient check_client);

  void RejectRequest(const lb::RejectRequest& action);
  void FailRequest(const lb::FailRequest& action);

  // No request that is complete from now on gets a later deadline.
  void LimitDeadlines(TimePoint latest) { latest_deadline_ = latest; }

 private:
  // When a request that was complete at `complete` has to have its response: within `timeout`, and by the
  // limit on deadlines. At `complete` itself where that has passed.
  TimePoint DeadlineOf(TimePoint complete, Duration timeout) const;
  // The last byte of a streamed request has been sent to its upstream.
  void HandleBodySent(RequestId id);
  void HandleClientDisconnected(RequestId id);

  const RequestValidator validator_;
  BalancerHost& host_;
  RequestTable& requests_;
  AttemptLauncher& launcher_;
  TimePoint latest_deadline_ = TimePoint::max();
};

}  // namespace lb::sidecar

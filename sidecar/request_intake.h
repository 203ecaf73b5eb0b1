// Passes requests from the listener to the balancer: validates them, computes their deadlines, and notifies
// the balancer when a streamed body is complete or a client disconnects. Also sends the responses that the
// balancer decides on without an upstream.
#pragma once

#include <boost/asio/io_context.hpp>

#include "balancer/balancer.h"
#include "sidecar/attempt_launcher.h"
#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/request_counters.h"
#include "sidecar/request_table.h"
#include "sidecar/request_validation.h"

namespace lb::sidecar {

class RequestIntake {
 public:
  // All parameters have to outlive the intake.
  RequestIntake(boost::asio::io_context& io, const Settings& settings, BalancerHost& host,
                RequestTable& requests, AttemptLauncher& launcher, RequestCounters& counters, Logger& log);

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
  // The last byte of a streamed request was received; its deadline runs from when the client sent it.
  void HandleBodySent(RequestId id);
  // Ends a streamed request whose last byte may have been sent so long ago that its response is due, although
  // it has not been received: it may wait behind bytes that the upstream does not take. Otherwise checks
  // again later.
  void CheckUploadDeadline(RequestId id);
  void CheckUploadDeadlineAt(RequestId id, TimePoint at);
  void SetDeadline(RequestId id, InFlightRequest& request, TimePoint deadline);
  void HandleClientDisconnected(RequestId id);

  boost::asio::io_context& io_;
  const RequestValidator validator_;
  BalancerHost& host_;
  RequestTable& requests_;
  AttemptLauncher& launcher_;
  RequestCounters& counters_;
  Logger& log_;
  TimePoint latest_deadline_ = TimePoint::max();
};

}  // namespace lb::sidecar

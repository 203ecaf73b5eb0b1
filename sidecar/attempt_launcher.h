// Sends the balancer's attempts and load probes to the upstreams, and reports their results to the balancer.
// An attempt is sent only while its client is known to be connected. The end of a client's input may be a
// half-close or a complete close; a half-close probe tells which, and until its result the attempt waits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "balancer/balancer.h"
#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/exchange.h"
#include "sidecar/http.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/request_counters.h"
#include "sidecar/request_table.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

class AttemptLauncher {
 public:
  // All arguments must outlive the launcher, and `io` must not run after the launcher is destroyed.
  AttemptLauncher(boost::asio::io_context& io, BalancerHost& host, RequestTable& requests,
                  Upstreams& upstreams, RequestCounters& counters, Logger& log);

  // Starts the attempt, and delivers exactly one AttemptFinished to the balancer when it ends. Does nothing
  // if the request is not in the table.
  void StartAttempt(const lb::SendAttempt& action);
  // Cancels the exchange of the attempt if it is in progress; its AttemptFinished is delivered as usual.
  void CancelAttempt(const lb::CancelAttempt& action);
  // Delivers exactly one LoadProbeFinished to the balancer.
  void StartLoadProbe(const lb::SendLoadProbe& action);

  // Sends the response to the client, unless the request has one already, and abandons the unsent attempts of
  // the request. `body`: the body of a streamed response, or null.
  void Respond(InFlightRequest& request, HttpResponse response, Body body = nullptr);
  // Prevents attempts of the request that have not been written yet from being written. The balancer lets a
  // half-open probe continue after the response, to test its upstream; but if its connection is not
  // established by now, the request must not be forwarded any more.
  void AbandonUnsent(const InFlightRequest& request);
  // From now on, responses whose requests' deadlines are over end by `last_response_by`, as the process
  // stops.
  void LimitResponses(TimePoint last_response_by) { last_response_by_ = last_response_by; }
  // Ends the attempts of the request that have not been written whole, as timed out before their last byte.
  void FailIncomplete(RequestId id);

 private:
  // An attempt and the time of the balancer's decision to send it.
  struct DecidedAttempt {
    lb::SendAttempt action;
    AttemptId attempt{};
    TimePoint decided_at;
  };

  // Sends the attempt if its client is connected, and retries later if that is unknown. If the client is
  // gone, finishes the attempt as kNotSent.
  void Launch(const DecidedAttempt& decided);
  void LaunchLater(const DecidedAttempt& decided);
  ExchangeRequest MakeExchange(const DecidedAttempt& decided, const InFlightRequest& request);
  Listener::ClientPresence CheckClient(RequestId id) const;
  // A lower bound of the time that the client will still wait from `now`; zero if the request has ended.
  Duration TimeLeft(RequestId id, TimePoint now) const;
  void HandleResponseStarted(RequestId id, AttemptId attempt, HttpResponse head, Body body);
  void HandleExchangeFinished(const DecidedAttempt& decided, ExchangeResult result);
  void FinishAttempt(const DecidedAttempt& decided, ExchangeResult result);
  void LogFailedAttempt(const InFlightRequest& request, const DecidedAttempt& decided,
                        const ExchangeResult& result);

  boost::asio::io_context& io_;
  BalancerHost& host_;
  RequestTable& requests_;
  Upstreams& upstreams_;
  RequestCounters& counters_;
  Logger& log_;
  std::uint64_t last_exchange_ = 0;
  TimePoint last_response_by_ = TimePoint::max();
};

}  // namespace lb::sidecar

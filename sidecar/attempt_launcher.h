// Sends the balancer's attempts and load probes over the upstreams' connections, and tells the balancer how
// each ended. An attempt is sent only while its client is known to wait: a client that has half-closed its
// connection may have closed it, which is not known before a half-close probe is over.
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
#include "sidecar/request_table.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

class AttemptLauncher {
 public:
  // All have to outlive the launcher, and the io_context must not run once it is gone.
  AttemptLauncher(boost::asio::io_context& io, BalancerHost& host, RequestTable& requests,
                  Upstreams& upstreams, Logger& log);

  // Each is followed by exactly one AttemptFinished, unless the request is unknown.
  void StartAttempt(const lb::SendAttempt& action);
  void CancelAttempt(const lb::CancelAttempt& action);
  // Followed by exactly one LoadProbeFinished.
  void StartLoadProbe(const lb::SendLoadProbe& action);

  // Gives the request its response, unless it has one, and abandons what is unsent. `body`: of a streamed
  // response.
  void Respond(InFlightRequest& request, HttpResponse response, Body body = nullptr);
  // Keeps attempts of the request that are not written yet from being written. The balancer lets a half-open
  // probe go on behind the response, to learn of its upstream; where its connection has not come up by now
  // the request must not be forwarded any more.
  void AbandonUnsent(const InFlightRequest& request);

 private:
  // An attempt, and when the balancer decided on it.
  struct DecidedAttempt {
    lb::SendAttempt action;
    AttemptId attempt{};
    TimePoint decided_at;
  };

  // Sends the attempt, or does so later where the client's presence is unknown. Nothing is sent for a client
  // that is gone.
  void Launch(const DecidedAttempt& decided);
  void LaunchLater(const DecidedAttempt& decided);
  ExchangeRequest MakeExchange(const DecidedAttempt& decided, const InFlightRequest& request);
  Listener::ClientPresence CheckClient(RequestId id) const;
  // How long the client will still wait, at least.
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
  Logger& log_;
  std::uint64_t last_exchange_ = 0;
};

}  // namespace lb::sidecar

// Tracks this sidecar's connections: which upstreams have an idle connection, how long a connection may have
// been idle to be used, and how well calls do that have to connect.
#pragma once

#include "balancer/concurrency_limiter.h"
#include "balancer/decaying_average.h"
#include "balancer/request.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class ConnectionTracker {
 public:
  // `limits` has to outlive this object.
  explicit ConnectionTracker(const Limits& limits)
      : limits_(limits), max_connection_idle_(limits.idle_close) {}

  // Whether a call to `upstream` has an idle connection, or one that it can share.
  bool HasConnection(const Upstream& upstream, TimePoint now) const {
    if (limits_.streams_per_connection > 1 && ConcurrencyLimiter::InFlight(upstream) > 0) return true;
    return upstream.connections.idle > 0 && now - upstream.connections.idle_since < limits_.idle_close;
  }
  // Whether this host recently failed to open a connection to `upstream`.
  static bool IsConnectPaused(const Upstream& upstream, TimePoint now) {
    return now < upstream.connections.next_connect;
  }
  // Whether many of the calls that have to connect take twice the usual time or fail.
  bool IsConnectingImpaired() const;

  // Assigns a connection to a call.
  struct Claim {
    bool close_idle = false;  // the idle connections exceed the idle limit and must be closed before the call
    bool connects = false;    // the call has to open a connection
    Duration idle_for{};      // idle time of the most recently used idle connection
  };
  Claim ClaimConnection(Upstream& upstream, TimePoint now);

  // Records the end of an attempt to `upstream`, or the start of its response. `usual_time`: the usual
  // response time of its class.
  void RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome, Duration elapsed,
                     Duration usual_time, TimePoint now);

  // Raises the idle limit a little, after connections were found dropped. Must be called at each
  // housekeeping.
  void RaiseMaxConnectionIdle();
  // Connections that have been idle for longer must not be used. At most Limits::idle_close.
  Duration max_connection_idle() const { return max_connection_idle_; }

 private:
  const Limits& limits_;
  Duration max_connection_idle_;
  RunningMean connect_penalty_;  // 0: connecting takes no time; 1: it takes as long as a response, or fails
};

}  // namespace lb

// What the balancer knows of this sidecar's connections: which upstreams have an idle one, for how long an
// idle one is trusted, and how calls fare that have to connect.
#pragma once

#include "balancer/concurrency_limiter.h"
#include "balancer/decaying_average.h"
#include "balancer/request.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class ConnectionTracker {
 public:
  // `limits` has to outlive this.
  explicit ConnectionTracker(const Limits& limits) : limits_(limits), trusted_idle_(limits.idle_close) {}

  // A call to `upstream` finds an idle connection, or one that it can share.
  bool HasConnection(const Upstream& upstream, TimePoint now) const {
    if (limits_.streams_per_connection > 1 && ConcurrencyLimiter::InFlight(upstream) > 0) return true;
    return upstream.connections.idle > 0 && now - upstream.connections.idle_since < limits_.idle_close;
  }
  // This machine could not open a connection to it a moment ago.
  static bool IsConnectPaused(const Upstream& upstream, TimePoint now) {
    return now < upstream.connections.next_connect;
  }
  // Many calls that connect take twice their time or fail.
  bool IsConnectingHard() const;

  // Takes a connection for a call.
  struct Claim {
    bool close_idle =
        false;              // the idle connections have been idle for too long: to be closed before the call
    bool connects = false;  // no connection is left for the call
    Duration idle_for{};    // of the latest idle one
  };
  Claim ClaimConnection(Upstream& upstream, TimePoint now);

  // The end of an attempt to `upstream`, or the start of its response. `usual_time`: of its class.
  void RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome, Duration elapsed,
                     Duration usual_time, TimePoint now);

  // Idle connections are trusted for a little longer again. To be called at each housekeeping.
  void ExtendTrust();
  // A connection that has been idle for longer is not to be used. At most Limits::idle_close.
  Duration trusted_idle() const { return trusted_idle_; }

 private:
  const Limits& limits_;
  Duration trusted_idle_;
  RunningMean
      connect_difficulty_;  // 0: connecting costs no time; 1: as much as a response takes, or it fails
};

}  // namespace lb

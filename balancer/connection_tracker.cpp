#include "balancer/connection_tracker.h"

#include <algorithm>
#include <chrono>

namespace lb {
namespace {

// When a connection is found dropped, the idle limit is halved, but not below this value: a call that follows
// another immediately finds the connection intact.
constexpr Duration kMinIdleLimit = std::chrono::milliseconds(100);
// Growth of the idle limit at each housekeeping; it doubles in about ten seconds.
constexpr double kIdleLimitGrowth = 1.02;
// The share of a connect time-out within which a reset counts as immediate: then the connection was dropped
// before the call, not by it.
constexpr double kImmediateResetShare = 0.1;
// Mean penalty above which connecting counts as impaired: half of the calls that connect take twice their
// usual time or fail.
constexpr double kImpairedConnectPenalty = 0.5;
// The number of calls that the connect penalty is averaged over.
constexpr double kConnectMemory = 20;
// How long other upstreams are preferred after a local failure (no descriptor, port or route): the shortage
// may pass as connections close.
constexpr Duration kConnectPause = std::chrono::milliseconds(100);

}  // namespace

bool ConnectionTracker::IsConnectingImpaired() const {
  return connect_penalty_.value > kImpairedConnectPenalty;
}

ConnectionTracker::Claim ConnectionTracker::ClaimConnection(Upstream& upstream, TimePoint now) {
  ConnectionState& state = upstream.connections;
  Claim claim;
  claim.idle_for = now - state.idle_since;
  if (state.idle > 0 && claim.idle_for > max_connection_idle_) {
    claim.close_idle = true;
    state.idle = 0;
  }
  claim.connects = !HasConnection(upstream, now);
  if (state.idle > 0) --state.idle;
  return claim;
}

void ConnectionTracker::RecordOutcome(Upstream& upstream, const Attempt& attempt, Outcome outcome,
                                      Duration elapsed, Duration usual_time, TimePoint now) {
  ConnectionState& state = upstream.connections;
  const bool stays_open =
      outcome == Outcome::kServed || outcome == Outcome::kError || outcome == Outcome::kRejected;
  if (stays_open) {
    ++state.idle;
    state.idle_since = now;
  }
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) state.idle = 0;
  if (outcome == Outcome::kLocalFailure) {
    state.idle = 0;
    state.next_connect = now + kConnectPause;
  }
  // A reset immediately after the start, on a connection that had been idle, shows that the connection had
  // been dropped unnoticed. A call that must not be repeated fails by this, so from now on idle connections
  // are closed before they reach that age.
  const bool immediate = elapsed < Scaled(limits_.connect_timeout, kImmediateResetShare);
  if (outcome == Outcome::kReset && !attempt.connects && immediate) {
    max_connection_idle_ =
        std::max(kMinIdleLimit, std::min(max_connection_idle_, attempt.connection_idle_for / 2));
  }
  if (!attempt.connects || (outcome != Outcome::kServed && outcome != Outcome::kConnectFailed)) return;
  const double excess = Seconds(elapsed) / Seconds(usual_time) - 1;
  connect_penalty_.Add(outcome == Outcome::kServed ? std::clamp(excess, 0.0, 1.0) : 1, kConnectMemory);
}

void ConnectionTracker::RaiseMaxConnectionIdle() {
  max_connection_idle_ = std::min(Scaled(max_connection_idle_, kIdleLimitGrowth), limits_.idle_close);
}

}  // namespace lb

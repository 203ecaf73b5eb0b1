#include "balancer/connection_tracker.h"

#include <algorithm>
#include <chrono>

namespace lb {
namespace {

// A connection found dropped halves the trust, but not below this: a call that follows another at once finds
// the connection in order.
constexpr Duration kMinTrustedIdleTime = std::chrono::milliseconds(100);
// Growth of the trust at each housekeeping: twice in some ten seconds.
constexpr double kTrustGrowth = 1.02;
// The share of a connect time-out within which a reset counts as "at once": the connection was dropped before
// the call, not by it.
constexpr double kResetAtOnce = 0.1;
// Half of the calls that connect take twice their time or fail.
constexpr double kHardToConnect = 0.5;
// Calls that the difficulty of connecting is averaged over.
constexpr double kConnectMemory = 20;
// After a local failure (no descriptor, port or route) other upstreams come first for this long: the
// machine's shortage may pass as connections close.
constexpr Duration kConnectPause = std::chrono::milliseconds(100);

}  // namespace

bool ConnectionTracker::IsConnectingHard() const { return connect_difficulty_.value > kHardToConnect; }

ConnectionTracker::Claim ConnectionTracker::ClaimConnection(Upstream& upstream, TimePoint now) {
  ConnectionState& state = upstream.connections;
  Claim claim;
  claim.idle_for = now - state.idle_since;
  if (state.idle > 0 && claim.idle_for > trusted_idle_) {
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
  // Reset at once on a connection that had been idle: it had been dropped unnoticed. A call that must not be
  // repeated fails by that, so idle connections are closed before that age from now on.
  const bool at_once = elapsed < Scaled(limits_.connect_timeout, kResetAtOnce);
  if (outcome == Outcome::kReset && !attempt.connects && at_once) {
    trusted_idle_ = std::max(kMinTrustedIdleTime, std::min(trusted_idle_, attempt.connection_idle_for / 2));
  }
  if (!attempt.connects || (outcome != Outcome::kServed && outcome != Outcome::kConnectFailed)) return;
  const double excess = Seconds(elapsed) / Seconds(usual_time) - 1;
  connect_difficulty_.Add(outcome == Outcome::kServed ? std::clamp(excess, 0.0, 1.0) : 1, kConnectMemory);
}

void ConnectionTracker::ExtendTrust() {
  trusted_idle_ = std::min(Scaled(trusted_idle_, kTrustGrowth), limits_.idle_close);
}

}  // namespace lb

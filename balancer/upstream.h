// One process of an upstream with a state struct for each component that keeps state about upstreams. Only
// the component that a struct is named for reads or writes it; other components call that component.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "balancer/decaying_average.h"
#include "balancer/events.h"
#include "balancer/types.h"

namespace lb {

// State owned by Membership.
struct MembershipState {
  std::uint64_t rank = 0;       // position on the ring, the same at all sidecars
  std::uint64_t listed_in = 0;  // number of the latest full list when the upstream was last listed
  double weight = 0;            // its contribution to the sum of the serving weights
  bool listed = false;          // the upstream is on the ring
  bool monitored = false;       // housekeeping visits the upstream
  bool observed = false;        // at least one call to the upstream has ended
  // The state by the endpoint list; `Upstream::info` has the effective state.
  UpstreamState listed_state = UpstreamState::kServing;
  // When operators enabled the upstream, which may have restarted while it was disabled.
  std::optional<TimePoint> enabled_at;
};

// State owned by FailureStatistics: exponentially decaying sums over recent calls.
struct FailureState {
  double calls = 0;
  double failures = 0;
  double timeouts = 0;    // the part of `failures` that were time-outs
  bool excluded = false;  // the upstream does not count as a peer of others
};

// State owned by OutlierDetector.
struct OutlierState {
  int failure_run = 0;  // consecutive failures
  bool ejected = false;
  TimePoint ejected_until;
  Duration ejection_time{};             // duration of the last ejection
  int ejection_failures = 0;            // consecutive failures that led to the last ejection
  std::optional<TimePoint> ejected_at;  // time of the last ejection
  TimePoint next_half_open_probe;       // earliest time of the next half-open probe
  Duration half_open_probe_interval{};
  int half_open_probes_served = 0;       // consecutive served half-open probes
  bool half_open_probe_pending = false;  // a half-open probe is pending; at most one at a time
  TimePoint no_response_since;           // time since which the requests in flight there have had no response
};

// State owned by LatencyStatistics.
struct LatencyState {
  RunningMean* kind_relative_latency = nullptr;  // mean over all upstreams of this kind
  RunningMean relative_latency;    // response times as multiples of the usual time of their class
  RunningMean in_flight_reported;  // reported requests in flight during a call, the call included
  RunningMean objective_share;     // response times as a share of their latency objective
};

// State owned by ConnectionTracker.
struct ConnectionState {
  int idle = 0;            // idle connections of this sidecar
  TimePoint idle_since;    // when the most recently used of them became idle
  TimePoint next_connect;  // until then others are preferred, as this host failed to connect
};

// State owned by WeightedRoundRobin.
struct RotationState {
  double credit = 0;
};

// State owned by SlowStart.
struct SlowStartState {
  double budget = 0;  // calls that may still be sent to the upstream
  TimePoint refilled;
  bool in_subset = true;  // whether the upstream was in the subset at the last refill
};

// One process of an upstream. A new start time, or a return after the upstream was gone, creates a new
// object, because outcomes of calls to the earlier process do not describe the new one.
struct Upstream : std::enable_shared_from_this<Upstream> {
  UpstreamInfo info;  // written by Membership
  MembershipState membership;
  FailureState failures;
  OutlierState outlier;
  LatencyState latency;
  DecayingAverage lateness;  // owned by LatenessStatistics: 1 for a late or missing response, else 0
  ConnectionState connections;
  RotationState rotation;
  SlowStartState slow_start;
  int in_flight = 0;  // owned by ConcurrencyLimiter: requests of this sidecar that wait for a response
  TimePoint overloaded_until;       // owned by OverloadBackoff
  bool load_probe_pending = false;  // owned by LoadProber: a load probe is pending
};

// An upstream that is gone stays alive while requests refer to it.
using UpstreamPtr = std::shared_ptr<Upstream>;

}  // namespace lb

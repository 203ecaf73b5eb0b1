// One process of an upstream, as this sidecar sees it: a state struct for each component that keeps one. Only
// the component that a struct names writes or reads it; the others ask that component.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "balancer/decaying_average.h"
#include "balancer/events.h"
#include "balancer/types.h"

namespace lb {

// Of Membership.
struct MembershipState {
  std::uint64_t rank = 0;       // orders the ring, alike at all sidecars
  std::uint64_t listed_in = 0;  // the number of the whole list that it was last in, or came after
  double weight = 0;            // its part of the sum over those that serve
  bool listed = false;          // it is on the ring
  bool monitored = false;       // housekeeping looks at it
  bool observed = false;        // calls to it have ended
  UpstreamState listed_state = UpstreamState::kServing;  // `Upstream::info` has the state that counts
  std::optional<TimePoint> enabled_at;                   // by the operators, perhaps as a new process
};

// Of FailureStatistics: recent calls, as sums in which old ones decay.
struct FailureState {
  double calls = 0;
  double failures = 0;
  double timeouts = 0;    // of the failures
  bool excluded = false;  // it does not count among the peers of others
};

// Of OutlierDetector.
struct OutlierState {
  int failure_run = 0;  // consecutive failures
  bool ejected = false;
  TimePoint ejected_until;
  Duration ejection_time{};             // of the last ejection
  int ejection_failures = 0;            // consecutive ones, that led to the last ejection
  std::optional<TimePoint> ejected_at;  // the last ejection
  TimePoint next_half_open_probe;       // not before this time
  Duration half_open_probe_interval{};
  int half_open_probes_served = 0;   // in a row
  bool half_open_probe_out = false;  // at most one at a time
  TimePoint silent_since;            // while it has requests in flight: its last sign of life
};

// Of LatencyStatistics.
struct LatencyState {
  RunningMean* kind_relative_latency = nullptr;  // of all upstreams of its kind
  RunningMean relative_latency;                  // response times, as multiples of their class's usual one
  RunningMean in_flight_reported;  // requests at the upstream during these calls, the call itself included
  RunningMean objective_share;     // response times, as a share of their latency objective
};

// Of ConnectionTracker.
struct ConnectionState {
  int idle = 0;            // connections of this sidecar that wait for a call
  TimePoint idle_since;    // of the last one of these
  TimePoint next_connect;  // this machine could not open a connection: others come first until then
};

// Of WeightedRoundRobin.
struct RotationState {
  double credit = 0;
};

// Of SlowStart.
struct SlowStartState {
  double budget = 0;  // calls that it may still be sent
  TimePoint refilled;
  bool in_subset = true;  // at the last refill
};

// One process of an upstream. A new start time, or a return after it was gone, makes another one: outcomes of
// calls to the earlier process say nothing of it.
struct Upstream : std::enable_shared_from_this<Upstream> {
  UpstreamInfo info;  // written by Membership
  MembershipState membership;
  FailureState failures;
  OutlierState outlier;
  LatencyState latency;
  DecayingAverage lateness;  // of LatenessStatistics: 1 for a response that came late or never, else 0
  ConnectionState connections;
  RotationState rotation;
  SlowStartState slow_start;
  int in_flight = 0;            // of InFlightTracker: requests of this sidecar that wait for its response
  TimePoint overloaded_until;   // of OverloadBackoff
  bool load_probe_out = false;  // of LoadProber
};

// Upstreams that are gone live on while requests refer to them.
using UpstreamPtr = std::shared_ptr<Upstream>;

}  // namespace lb

// Adaptive concurrency limit: bounds the requests in flight of this sidecar by additive increase and
// multiplicative decrease, as TCP's congestion control does, and sheds the load beyond it. Overload shows as
// responses after their latency objective, time-outs and rejections by upstreams in good standing, whatever
// its cause.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/latency_statistics.h"
#include "balancer/random_source.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class ConcurrencyLimiter {
 public:
  // All have to outlive this.
  ConcurrencyLimiter(const Settings& settings, const LatencyStatistics& latency, RandomSource& random);

  // Whether a new request is admitted. Below the limit every one is; near it those classes are shed first
  // that have the least priority weight for their time. Counts the decision for the class's share.
  bool Admit(std::size_t request_class);

  // An attempt begins or ceases to count: from when its request is complete to when its response begins.
  void OnAttemptStarted(Upstream& upstream);
  void OnAttemptFinished(Upstream& upstream);

  // The outcome of a call, by which the limit moves.
  void RecordOutcome(const Upstream& upstream, Outcome outcome, bool late);
  // Moves the limit where enough outcomes have come. `available_weight`: of the upstreams that can take
  // requests.
  void Update(double available_weight);

  // A limit is in force.
  bool IsLimiting() const { return limit_ < kNoLimit; }
  // There is capacity for attempts beyond the first of each request.
  bool HasSpareCapacity() const;
  // What this sidecar has in flight while responses are in time, at the upstreams that can take requests now.
  double UsualInFlight() const { return usual_in_flight_per_weight_ * available_weight_; }
  // Requests of this sidecar in flight at one upstream.
  static int InFlight(const Upstream& upstream) { return upstream.in_flight; }

 private:
  static constexpr double kNoLimit = 1e9;  // more requests than a sidecar can have in flight

  double PriorityPerTime(std::size_t request_class) const;

  const Settings& settings_;
  const LatencyStatistics& latency_;
  RandomSource& random_;
  double limit_ = kNoLimit;  // requests in flight
  double in_flight_ = 0;
  double peak_in_flight_ = 0;              // since the limit last moved
  double usual_in_flight_per_weight_ = 0;  // slowly changing
  double available_weight_ = 0;
  double late_ = 0;                     // of `outcomes_`
  double outcomes_ = 0;                 // that say something about load, since the limit last moved
  std::vector<double> admitted_share_;  // of late, by class
};

}  // namespace lb

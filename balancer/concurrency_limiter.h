// Adaptive concurrency limit: bounds the requests in flight of this sidecar by additive increase and
// multiplicative decrease, as TCP's congestion control does, and sheds the load beyond the limit. The signs
// of overload, whatever its cause, are responses after their latency objective, time-outs and rejections by
// upstreams in good standing.
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
  // All arguments have to outlive this object.
  ConcurrencyLimiter(const Settings& settings, const LatencyStatistics& latency, RandomSource& random);

  // Whether a new request is admitted. Well below the limit every request is; near the limit the classes with
  // the lowest priority weight per unit of response time are shed first. Updates the class's admitted share.
  bool Admit(std::size_t request_class);

  // An attempt counts as in flight from the time when its request is complete until its response begins.
  void OnAttemptStarted(Upstream& upstream);
  void OnAttemptFinished(Upstream& upstream);

  // Records the outcome of a call, on which the limit is based.
  void RecordOutcome(const Upstream& upstream, Outcome outcome, bool late);
  // Adjusts the limit if enough outcomes were recorded. `available_weight`: the weight of the upstreams that
  // can take requests.
  void Update(double available_weight);

  // Whether a limit is in force.
  bool IsLimiting() const { return limit_ < kNoLimit; }
  // Whether there is capacity for attempts beyond the first of each request.
  bool HasSpareCapacity() const;
  // The usual number of requests in flight while responses are in time, scaled to the upstreams that can take
  // requests now.
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
  double peak_in_flight_ = 0;              // since the limit was last adjusted
  double usual_in_flight_per_weight_ = 0;  // slowly changing average
  double available_weight_ = 0;
  double late_ = 0;                     // the late ones of `outcomes_`
  double outcomes_ = 0;                 // outcomes that indicate load, since the limit was last adjusted
  std::vector<double> admitted_share_;  // recent share of admitted requests, by class
};

}  // namespace lb

// The usual traffic of this sidecar: requests and served responses per second, and the weight of the endpoint
// list, as slowly changing averages. A burst, or the loss of half the list, must not raise the slow start
// budgets of upstreams.
#pragma once

#include <cstdint>

#include "balancer/decaying_average.h"
#include "balancer/types.h"

namespace lb {

class TrafficStatistics {
 public:
  // `slow_start_duration`: the time that an upstream takes to warm up. The averages change more slowly.
  explicit TrafficStatistics(Duration slow_start_duration) : slow_start_duration_(slow_start_duration) {}

  void Start(TimePoint now) { started_ = now; }
  void RecordRequest() { ++requests_; }
  void RecordServed() { ++served_; }
  // Must be called at every `interval`. `listed_weight`: the weight of all upstreams that serve.
  void Update(TimePoint now, Duration interval, double listed_weight);

  // Requests received per second, clients' retries included.
  double request_rate() const { return request_rate_; }
  // Calls per second, from which an upstream's expected share is computed. At least half of the requests
  // count, because when few requests are served the others still need an upstream.
  double CallRate() const;
  // The weight of the list. Follows an increase at once and a decrease slowly.
  double usual_weight() const { return usual_weight_; }
  // Whether request_rate() is meaningful: enough time has passed since the start, and there were requests.
  bool IsRateKnown(TimePoint now) const;

 private:
  const Duration slow_start_duration_;
  TimePoint started_;
  std::uint64_t requests_ = 0;  // since the last update
  std::uint64_t served_ = 0;    // since the last update
  double request_rate_ = 0;     // per second
  double served_rate_ = 0;      // per second
  double usual_weight_ = 0;
};

}  // namespace lb

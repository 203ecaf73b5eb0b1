// What this sidecar usually carries: requests and served responses a second, and the list's weight, all
// changing slowly. A burst, or the loss of half the list, must not raise the budgets of upstreams that warm
// up.
#pragma once

#include <cstdint>

#include "balancer/decaying_average.h"
#include "balancer/types.h"

namespace lb {

class TrafficStatistics {
 public:
  // `slow_start_duration`: an upstream warms up within this time; the averages change more slowly.
  explicit TrafficStatistics(Duration slow_start_duration) : slow_start_duration_(slow_start_duration) {}

  void Start(TimePoint now) { started_ = now; }
  void RecordRequest() { ++requests_; }
  void RecordServed() { ++served_; }
  // Every `interval`. `listed_weight`: of all upstreams that serve.
  void Update(TimePoint now, Duration interval, double listed_weight);

  // Requests accepted a second, clients' retries included.
  double request_rate() const { return request_rate_; }
  // The rate of calls that an upstream's share is reckoned by. At least half of the requests count: where few
  // are served, the rest still needs somewhere to go.
  double CallRate() const;
  // The weight of the list, which follows a rise at once and a fall slowly.
  double usual_weight() const { return usual_weight_; }
  // Long enough after the start for request_rate() to be meant.
  bool IsRateKnown(TimePoint now) const;

 private:
  const Duration slow_start_duration_;
  TimePoint started_;
  std::uint64_t requests_ = 0;  // since the last update
  std::uint64_t served_ = 0;    // likewise
  double request_rate_ = 0;     // a second
  double served_rate_ = 0;      // a second
  double usual_weight_ = 0;
};

}  // namespace lb

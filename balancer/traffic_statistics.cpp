#include "balancer/traffic_statistics.h"

#include <algorithm>
#include <chrono>

namespace lb {
namespace {

// Eight updates: with fewer, the measured rate is too inaccurate.
constexpr Duration kRateKnownAfter = std::chrono::seconds(2);

}  // namespace

void TrafficStatistics::Update(TimePoint now, Duration interval, double listed_weight) {
  const double dt = Seconds(interval);
  const double memory = std::min(Seconds(now - started_), Seconds(slow_start_duration_) / 2);
  request_rate_ += (static_cast<double>(requests_) / dt - request_rate_) * std::min(1.0, dt / memory);
  served_rate_ += (static_cast<double>(served_) / dt - served_rate_) * std::min(1.0, dt / memory);
  requests_ = 0;
  served_ = 0;
  usual_weight_ = std::max(listed_weight, usual_weight_ * (1 - dt / (2 * Seconds(slow_start_duration_))));
}

double TrafficStatistics::CallRate() const { return std::max(served_rate_, request_rate_ / 2); }

bool TrafficStatistics::IsRateKnown(TimePoint now) const {
  return now - started_ >= kRateKnownAfter && request_rate_ > 0;
}

}  // namespace lb

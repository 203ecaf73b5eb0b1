// Polled membership: when a poll that failed is repeated. The backoff is exponential with jitter; the
// endpoint list stands meanwhile.
#pragma once

#include <optional>

#include "balancer/random_source.h"
#include "balancer/settings.h"

namespace lb {

class PollSchedule {
 public:
  // `resolution`: IsDue() is asked this often. `random` has to outlive this.
  PollSchedule(const Settings& settings, Duration resolution, RandomSource& random);

  void OnFailure(TimePoint now);
  void OnSuccess() { backoff_ = max_backoff_ / 2; }
  // The next poll is due; true once.
  bool TakeIfDue(TimePoint now);

 private:
  const bool polled_;
  const Duration max_backoff_;
  RandomSource& random_;
  Duration backoff_;  // doubles with each failure
  std::optional<TimePoint> next_;
};

}  // namespace lb

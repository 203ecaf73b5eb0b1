// Polled membership: decides when a failed poll is repeated, by exponential backoff with jitter. The endpoint
// list stays in force meanwhile.
#pragma once

#include <optional>

#include "balancer/random_source.h"
#include "balancer/settings.h"

namespace lb {

class PollSchedule {
 public:
  // `resolution`: the interval at which TakeIfDue() is called. `random` has to outlive this object.
  PollSchedule(const Settings& settings, Duration resolution, RandomSource& random);

  void OnFailure(TimePoint now);
  void OnSuccess() { backoff_ = max_backoff_ / 2; }
  // Whether the next poll is due. Returns true once for each scheduled poll.
  bool TakeIfDue(TimePoint now);

 private:
  const bool polled_;
  const Duration max_backoff_;
  RandomSource& random_;
  Duration backoff_;  // doubles with each failure
  std::optional<TimePoint> next_;
};

}  // namespace lb

// When the emulated discovery service answers a call: late, or after the calls before it.
#pragma once

#include <algorithm>

#include "sidecar/clock.h"

namespace lb::lab {

// Zero durations, as at the beginning, let each call be answered at once.
class CallQueue {
 public:
  // Each answer begins so much later.
  void SetDelay(Duration delay) { delay_ = delay; }
  // The service works so long on each call, on one at a time, also where the caller has gone meanwhile.
  void SetWork(Duration work) { work_ = work; }
  bool IsSlow() const { return delay_ > Duration::zero() || work_ > Duration::zero(); }

  // Enters a call at `now`. Returns how long its answer has to wait.
  Duration Enter(TimePoint now) {
    busy_until_ = std::max(busy_until_, now) + work_;
    return busy_until_ - now + delay_;
  }

 private:
  Duration delay_{};
  Duration work_{};
  TimePoint busy_until_ = TimePoint::min();
};

}  // namespace lb::lab

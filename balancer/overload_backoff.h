// Backoff from an upstream that rejected a request as overloaded: it needs about the time of a response to
// have capacity again. Until then it is sent no further request.
#pragma once

#include "balancer/decaying_average.h"
#include "balancer/random_source.h"
#include "balancer/upstream.h"

namespace lb {

class OverloadBackoff {
 public:
  // `random` has to outlive this.
  explicit OverloadBackoff(RandomSource& random) : random_(random) {}

  // Jittered between 0.5 and 1.5 times the usual time of a response, so that sidecars that were rejected
  // together do not come back together.
  void Start(Upstream& upstream, Duration usual_time, TimePoint now) {
    upstream.overloaded_until = now + Scaled(usual_time, kMinBackoff + random_.Uniform());
  }
  static bool IsBackingOff(const Upstream& upstream, TimePoint now) {
    return now < upstream.overloaded_until;
  }

 private:
  static constexpr double kMinBackoff = 0.5;  // of the usual response time: about half of it may be over
  RandomSource& random_;
};

}  // namespace lb

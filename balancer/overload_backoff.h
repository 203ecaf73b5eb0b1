// Backoff from an upstream that rejected a request because of overload: the upstream needs about one response
// time to have capacity again, and is sent no request until then.
#pragma once

#include "balancer/decaying_average.h"
#include "balancer/random_source.h"
#include "balancer/upstream.h"

namespace lb {

class OverloadBackoff {
 public:
  // `random` has to outlive this object.
  explicit OverloadBackoff(RandomSource& random) : random_(random) {}

  // Begins a backoff of 0.5 to 1.5 times the usual response time. The jitter keeps sidecars that were
  // rejected together from returning together.
  void Start(Upstream& upstream, Duration usual_time, TimePoint now) {
    upstream.overloaded_until = now + Scaled(usual_time, kMinBackoff + random_.Uniform());
  }
  static bool IsBackingOff(const Upstream& upstream, TimePoint now) {
    return now < upstream.overloaded_until;
  }

 private:
  // Share of the usual response time. The requests in progress are half done on average.
  static constexpr double kMinBackoff = 0.5;
  RandomSource& random_;
};

}  // namespace lb

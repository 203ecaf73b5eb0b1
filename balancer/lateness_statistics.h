// The recent share of responses that came late or never: of each upstream and of all. Tells how likely the
// next call to an upstream is late, and whether the service is overloaded.
#pragma once

#include "balancer/decaying_average.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class LatenessStatistics {
 public:
  // `memory`: the time constant by which samples decay.
  explicit LatenessStatistics(Duration memory) : memory_(memory) {}

  // Late against the latency objective of its class, or without a response.
  static bool IsLate(const RequestClass& request_class, Outcome outcome, Duration elapsed);

  void Record(Upstream& upstream, bool late, TimePoint now);

  // So many of all recent calls were late that the service is overloaded.
  bool IsWidespread(TimePoint now) const;

  // How likely a call to `upstream` is late, 0 to 1: by its own recent calls and, as far as they are few, by
  // those of all, the latter counted `weight_of_all` times.
  double Risk(const Upstream& upstream, TimePoint now, double weight_of_all = 1) const;

  Duration memory() const { return memory_; }

 private:
  const Duration memory_;
  DecayingAverage all_;
};

}  // namespace lb

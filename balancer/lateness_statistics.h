// The recent share of late or missing responses, for each upstream and for all together. It estimates the
// risk that the next call to an upstream is late, and shows whether the service is overloaded.
#pragma once

#include "balancer/decaying_average.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

class LatenessStatistics {
 public:
  // `memory`: the time constant of the decay of samples.
  explicit LatenessStatistics(Duration memory) : memory_(memory) {}

  // Whether the outcome counts as late: a response near or after the latency objective of its class, or no
  // response.
  static bool IsLate(const RequestClass& request_class, Outcome outcome, Duration elapsed);

  void Record(Upstream& upstream, bool late, TimePoint now);

  // Whether so many of all recent calls were late that the service is overloaded.
  bool IsWidespread(TimePoint now) const;

  // The estimated probability, 0 to 1, that a call to `upstream` is late. Based on its own recent calls and
  // on the mean over all upstreams, which counts like one call and is multiplied by `weight_of_all`.
  double Risk(const Upstream& upstream, TimePoint now, double weight_of_all = 1) const;

  Duration memory() const { return memory_; }

 private:
  const Duration memory_;
  DecayingAverage all_;
};

}  // namespace lb

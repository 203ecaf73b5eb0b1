// Averages that give recent samples more weight, and conversions of durations that they need.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/types.h"

namespace lb {

inline double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// The arithmetic mean of the first `memory` samples; after that an exponentially weighted mean over about the
// latest `memory` samples.
struct RunningMean {
  double value = 0;
  double samples = 0;  // at most `memory`

  void Add(double sample, double memory) {
    samples = std::min(samples + 1, memory);
    value += (sample - value) / samples;
  }
};

// The average of samples whose weight decays exponentially with their age, with the time constant `memory`.
struct DecayingAverage {
  double sum = 0;
  double samples = 0;  // the sum of the samples' weights
  TimePoint at;        // the time that `sum` and `samples` are decayed to

  DecayingAverage DecayedTo(TimePoint now, Duration memory) const {
    const double kept = std::exp(-Seconds(now - at) / Seconds(memory));
    return {sum * kept, samples * kept, now};
  }

  void Add(double sample, TimePoint now, Duration memory) {
    *this = DecayedTo(now, memory);
    sum += sample;
    samples += 1;
  }

  // The weighted mean. A total weight below one counts as one, as if the missing part were a sample of zero.
  double Share() const { return sum / std::max(1.0, samples); }
};

// Converts a mean in microseconds to a duration; returns `unknown` if the mean is below one microsecond.
inline Duration DurationOr(const RunningMean& mean, Duration unknown) {
  return mean.value >= 1 ? Duration(static_cast<Duration::rep>(mean.value)) : unknown;
}

}  // namespace lb

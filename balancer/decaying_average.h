// Averages that give recent samples more weight, and the arithmetic on durations that goes with them.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/types.h"

namespace lb {

inline double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// The arithmetic mean of the first samples; an exponentially weighted one over about the latest `memory`
// samples after that.
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

  // Less than one sample counts as one, the missing part of it being zero.
  double Share() const { return sum / std::max(1.0, samples); }
};

// A mean of microseconds as a duration; `unknown` where the mean is below one.
inline Duration DurationOr(const RunningMean& mean, Duration unknown) {
  return mean.value >= 1 ? Duration(static_cast<Duration::rep>(mean.value)) : unknown;
}

}  // namespace lb

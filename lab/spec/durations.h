// Durations as plain numbers, for files, arithmetic with rates, and tables.
#pragma once

#include <chrono>

#include "balancer/types.h"

namespace lb::lab {

template <typename Rep, typename Period>
double ToSeconds(std::chrono::duration<Rep, Period> duration) {
  return std::chrono::duration<double>(duration).count();
}

template <typename Rep, typename Period>
double ToMilliseconds(std::chrono::duration<Rep, Period> duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Rounds towards zero to the resolution of Duration.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace lb::lab

// The balancer's only source of randomness: the same seed gives the same draws on every platform.
#pragma once

#include <cstdint>
#include <random>

namespace lb {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // From 0 up to, but not including, 1. Made of the engine's raw output, because the standard's distributions
  // differ between libraries.
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace lb

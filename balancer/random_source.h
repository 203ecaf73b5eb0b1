// The balancer's only source of randomness: the same seed gives the same numbers on every platform.
#pragma once

#include <cstdint>
#include <random>

namespace lb {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // A number in [0, 1). Computed from the engine's raw output, because the standard's distributions differ
  // between libraries.
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace lb

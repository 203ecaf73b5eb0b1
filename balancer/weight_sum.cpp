#include "balancer/weight_sum.h"

#include <algorithm>
#include <cmath>

namespace lb {
namespace {

constexpr int kUnitBits = 64;
// Bounds the sum: 2^15 weights of this size fit into its 128 bits.
constexpr double kMaxWeight = 0x1p48;

}  // namespace

WeightSum::Wide WeightSum::Units(double weight) {
  return static_cast<Wide>(std::ldexp(std::min(weight, kMaxWeight), kUnitBits));
}

double WeightSum::value() const { return std::ldexp(static_cast<double>(units_), -kUnitBits); }

}  // namespace lb

#include "balancer/weight_sum.h"

#include "gtest/gtest.h"

namespace lb {
namespace {

TEST(WeightSum, IsExactWhateverTheOrder) {
  WeightSum sum;
  sum.Add(1e14);
  sum.Add(0.1);
  sum.Subtract(1e14);

  EXPECT_EQ(sum.value(), 0.1);
}

TEST(WeightSum, ClampsWeightsAboveTheMaximum) {
  WeightSum sum;
  sum.Add(1e300);

  EXPECT_EQ(sum.value(), 0x1p48);
}

}  // namespace
}  // namespace lb

#include "balancer/decaying_average.h"

#include <chrono>

#include "gtest/gtest.h"

namespace lb {
namespace {

using std::chrono::seconds;

TEST(RunningMean, AveragesTheFirstSamplesEvenly) {
  RunningMean mean;
  for (const double sample : {1.0, 2.0, 6.0}) mean.Add(sample, 10);

  EXPECT_DOUBLE_EQ(mean.value, 3);
}

TEST(RunningMean, ForgetsSamplesBeyondItsMemory) {
  RunningMean mean;
  for (int i = 0; i < 100; ++i) mean.Add(0, 4);
  mean.Add(8, 4);

  EXPECT_DOUBLE_EQ(mean.value, 2);
}

TEST(DecayingAverage, DecaysWithTime) {
  DecayingAverage average;
  const TimePoint start{};
  for (int i = 0; i < 4; ++i) average.Add(1, start, seconds(10));

  EXPECT_DOUBLE_EQ(average.Share(), 1);
  EXPECT_NEAR(average.DecayedTo(start + seconds(10), seconds(10)).samples, 4 / 2.718281828, 1e-6);
}

TEST(DecayingAverage, CountsLessThanOneSampleAsOne) {
  DecayingAverage average;
  average.Add(1, TimePoint{}, seconds(1));

  EXPECT_LT(average.DecayedTo(TimePoint{} + seconds(5), seconds(1)).Share(), 0.01);
}

TEST(DurationOr, ReturnsTheDefaultForAnEmptyMean) {
  EXPECT_EQ(DurationOr(RunningMean{}, seconds(3)), seconds(3));
  EXPECT_EQ(DurationOr(RunningMean{1500, 1}, seconds(3)), Duration(1500));
}

}  // namespace
}  // namespace lb

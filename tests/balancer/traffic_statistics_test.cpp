#include "balancer/traffic_statistics.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

constexpr Duration kInterval = 250ms;

class TrafficStatisticsTest : public ::testing::Test {
 protected:
  TrafficStatisticsTest() { traffic_.Start(now_); }

  // Makes four updates per second with `requests_each` requests each, of which every second one is served.
  void RecordTraffic(Duration time, int requests_each, double listed_weight = 10) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kInterval;
      for (int i = 0; i < requests_each; ++i) {
        traffic_.RecordRequest();
        if (i % 2 == 0) traffic_.RecordServed();
      }
      traffic_.Update(now_, kInterval, listed_weight);
    }
  }

  TimePoint now_{1000s};
  TrafficStatistics traffic_{60s};
};

TEST_F(TrafficStatisticsTest, ReportsTheRateAfterTwoSeconds) {
  RecordTraffic(1750ms, 10);
  EXPECT_FALSE(traffic_.IsRateKnown(now_));

  RecordTraffic(250ms, 10);

  EXPECT_TRUE(traffic_.IsRateKnown(now_));
  EXPECT_NEAR(traffic_.request_rate(), 40, 1e-6);
}

TEST_F(TrafficStatisticsTest, ReportsNoRateWithoutRequests) {
  RecordTraffic(10s, 0);

  EXPECT_FALSE(traffic_.IsRateKnown(now_));
}

TEST_F(TrafficStatisticsTest, CountsHalfOfTheRequestsAtLeast) {
  RecordTraffic(10s, 10);

  EXPECT_NEAR(traffic_.CallRate(), 20, 1e-6);
}

TEST_F(TrafficStatisticsTest, FollowsABurstSlowly) {
  RecordTraffic(60s, 10);

  RecordTraffic(1s, 1000);

  EXPECT_LT(traffic_.request_rate(), 0.1 * 4000);
}

TEST_F(TrafficStatisticsTest, FollowsIncreasesOfTheWeightAtOnceAndDecreasesSlowly) {
  RecordTraffic(1s, 1, 10);
  RecordTraffic(250ms, 1, 20);
  EXPECT_DOUBLE_EQ(traffic_.usual_weight(), 20);

  RecordTraffic(1s, 1, 5);

  EXPECT_GT(traffic_.usual_weight(), 19);
}

}  // namespace
}  // namespace lb::testing

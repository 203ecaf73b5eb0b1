#include "balancer/subsetting.h"

#include <string>

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

Settings LargeFleetSettings() {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 100;
  return settings;
}

class SubsettingTest : public ComponentsFixture {
 protected:
  SubsettingTest() : ComponentsFixture(LargeFleetSettings()) {
    for (int i = 0; i < 200; ++i) AddUpstream(MakeUpstream("u" + std::to_string(i)));
  }

  void RecordRequestRate(int requests_a_second) {
    constexpr Duration kInterval = 250ms;
    for (int update = 0; update < 40; ++update) {
      now_ += kInterval;
      for (int i = 0; i < requests_a_second / 4; ++i) components_.traffic.RecordRequest();
      components_.traffic.Update(now_, kInterval, 200);
    }
  }

  double Size() const { return components_.subsetting.Size(now_); }
};

// There are two upstreams per sidecar; until the rate is known, the subset has five times that.
TEST_F(SubsettingTest, BeginsWithFiveConnectionsAtEachUpstream) {
  EXPECT_DOUBLE_EQ(Size(), 10);
  EXPECT_DOUBLE_EQ(components_.subsetting.Share(now_), 0.05);
}

TEST_F(SubsettingTest, KeepsThreeUpstreamsForFewRequests) {
  RecordRequestRate(4);

  EXPECT_NEAR(Size(), 4 * Seconds(components_.lateness.memory()) / 5, 0.5);

  RecordRequestRate(0);
  now_ += 1h;
  EXPECT_GE(Size(), 3);
}

TEST_F(SubsettingTest, IsBoundedByTheConnectionsOfTheWholeFleet) {
  RecordRequestRate(4000);

  EXPECT_DOUBLE_EQ(Size(), 30);
}

}  // namespace
}  // namespace lb::testing

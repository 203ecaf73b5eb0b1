#include "balancer/slow_start.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class SlowStartTest : public ComponentsFixture {
 protected:
  UpstreamPtr AddStartingUpstream() {
    UpstreamInfo info = MakeUpstream("a");
    info.started = now_;
    return AddUpstream(info);
  }

  SlowStart& slow_start_ = components_.slow_start;
};

TEST_F(SlowStartTest, RisesLinearlyToFullCapacity) {
  const UpstreamPtr upstream = AddStartingUpstream();

  EXPECT_DOUBLE_EQ(slow_start_.WarmUpFraction(*upstream, now_), 0.1);
  EXPECT_DOUBLE_EQ(slow_start_.WarmUpFraction(*upstream, now_ + 10s), 0.55);
  EXPECT_DOUBLE_EQ(slow_start_.WarmUpFraction(*upstream, now_ + 20s), 1);
  EXPECT_FALSE(slow_start_.IsWarmingUp(*upstream, now_ + 20s));
}

TEST_F(SlowStartTest, TreatsAnUnknownStartAsLongAgo) {
  EXPECT_FALSE(slow_start_.IsWarmingUp(*AddUpstream(MakeUpstream("a")), now_));
}

TEST_F(SlowStartTest, BoundsTheRequestsToAnUpstreamThatWarmsUp) {
  const UpstreamPtr upstream = AddStartingUpstream();
  slow_start_.OnNewProcess(*upstream, now_);

  EXPECT_FALSE(
      slow_start_.HasSlowStartBudget(*upstream, now_));  // less than one request, and none is usual yet
  EXPECT_TRUE(slow_start_.HasSlowStartBudget(*upstream, now_ + 20s));
}

}  // namespace
}  // namespace lb::testing

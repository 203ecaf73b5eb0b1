#include "balancer/latency_statistics.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class LatencyStatisticsTest : public ComponentsFixture {
 protected:
  UpstreamPtr AddUpstreamOfKind(const std::string& id, const std::string& kind) {
    UpstreamInfo info = MakeUpstream(id);
    info.kind = kind;
    return AddUpstream(info);
  }

  void Record(Upstream& upstream, Duration elapsed, int calls) {
    for (int i = 0; i < calls; ++i) components_.latency.Record(upstream, {0, Outcome::kServed, elapsed, 0});
  }
};

TEST_F(LatencyStatisticsTest, UsesAQuarterOfTheObjectiveBeforeAnyResponse) {
  EXPECT_EQ(components_.latency.UsualTime(0), 100ms);
}

TEST_F(LatencyStatisticsTest, LearnsTheUsualTimeOfAClass) {
  const UpstreamPtr upstream = AddUpstream(MakeUpstream("a"));

  Record(*upstream, 20ms, 50);

  EXPECT_NEAR(Seconds(components_.latency.UsualTime(0)), 0.02, 0.001);
  EXPECT_EQ(components_.latency.UsualTime(1), 100ms) << "another class";
}

TEST_F(LatencyStatisticsTest, BoundsTheRelativeLatency) {
  const UpstreamPtr fast = AddUpstreamOfKind("a", "x");
  const UpstreamPtr slow = AddUpstreamOfKind("b", "y");
  for (int i = 0; i < 200; ++i) {
    Record(*fast, 10ms, 1);
    Record(*slow, 200ms, 1);
  }

  EXPECT_LT(LatencyStatistics::RelativeLatency(*fast), 1);
  EXPECT_GT(LatencyStatistics::RelativeLatency(*slow), 1);
  EXPECT_LE(LatencyStatistics::RelativeLatency(*slow), 3);
}

TEST_F(LatencyStatisticsTest, EstimatesANewUpstreamByItsKind) {
  const UpstreamPtr fast = AddUpstreamOfKind("a", "fast");
  const UpstreamPtr slow = AddUpstreamOfKind("b", "slow");
  for (int i = 0; i < 200; ++i) {
    Record(*fast, 10ms, 1);
    Record(*slow, 40ms, 1);
  }

  const UpstreamPtr unknown = AddUpstreamOfKind("c", "slow");

  EXPECT_GT(LatencyStatistics::RelativeLatency(*unknown), 1.2);
}

TEST_F(LatencyStatisticsTest, JudgesLoadByTheShareOfTheObjective) {
  const UpstreamPtr upstream = AddUpstream(MakeUpstream("a"));
  Record(*upstream, 20ms, 50);
  EXPECT_FALSE(LatencyStatistics::IsLoaded(*upstream));

  Record(*upstream, 350ms, 200);

  EXPECT_TRUE(LatencyStatistics::IsLoaded(*upstream));
}

}  // namespace
}  // namespace lb::testing

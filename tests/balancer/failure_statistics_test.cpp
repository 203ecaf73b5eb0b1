#include "balancer/failure_statistics.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class FailureStatisticsTest : public ComponentsFixture {
 protected:
  void Record(Upstream& upstream, Outcome outcome, int calls) {
    for (int i = 0; i < calls; ++i) components_.failures.Record(upstream, outcome);
  }

  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr peer_ = AddUpstream(MakeUpstream("b"));
};

TEST_F(FailureStatisticsTest, CountsAFirstFailureAsAFifth) {
  Record(*upstream_, Outcome::kError, 1);

  EXPECT_DOUBLE_EQ(FailureStatistics::FailureShare(*upstream_), 0.2);
  EXPECT_DOUBLE_EQ(FailureStatistics::TimeoutShare(*upstream_), 0);
}

TEST_F(FailureStatisticsTest, CountsTimeoutsAmongTheFailures) {
  Record(*upstream_, Outcome::kTimeout, 5);

  EXPECT_NEAR(FailureStatistics::FailureShare(*upstream_), 0.9, 0.1);
  EXPECT_DOUBLE_EQ(FailureStatistics::TimeoutShare(*upstream_), FailureStatistics::FailureShare(*upstream_));
}

TEST_F(FailureStatisticsTest, ForgetsFailuresAfterManyServedCalls) {
  Record(*upstream_, Outcome::kError, 20);
  Record(*upstream_, Outcome::kServed, 100);

  EXPECT_LT(FailureStatistics::FailureShare(*upstream_), 0.01);
}

TEST_F(FailureStatisticsTest, PeersShareExcludesTheUpstreamItself) {
  Record(*upstream_, Outcome::kError, 10);
  Record(*peer_, Outcome::kServed, 10);

  EXPECT_DOUBLE_EQ(components_.failures.PeersFailureShare(*upstream_), 0);
  EXPECT_GT(components_.failures.PeersFailureShare(*peer_), 0.9);
}

TEST_F(FailureStatisticsTest, ExcludedUpstreamsAreNoPeers) {
  Record(*upstream_, Outcome::kError, 10);
  Record(*peer_, Outcome::kServed, 10);

  components_.failures.Exclude(*upstream_);
  EXPECT_DOUBLE_EQ(components_.failures.PeersFailureShare(*peer_), 0);
  components_.failures.Include(*upstream_);
  EXPECT_GT(components_.failures.PeersFailureShare(*peer_), 0.9);
}

}  // namespace
}  // namespace lb::testing

#include "balancer/lateness_statistics.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

using LatenessStatisticsTest = ComponentsFixture;

TEST_F(LatenessStatisticsTest, CountsResponsesAboveThreeQuartersOfTheObjectiveAsLate) {
  const RequestClass request_class = MakeClass("a", Idempotency::kIdempotent);  // 400 ms

  EXPECT_FALSE(LatenessStatistics::IsLate(request_class, Outcome::kServed, 300ms));
  EXPECT_TRUE(LatenessStatistics::IsLate(request_class, Outcome::kServed, 301ms));
  EXPECT_TRUE(LatenessStatistics::IsLate(request_class, Outcome::kTimeout, 1ms));
}

TEST_F(LatenessStatisticsTest, IsWidespreadAboveFifteenPercentOfAllCalls) {
  const UpstreamPtr upstream = AddUpstream(MakeUpstream("a"));
  for (int i = 0; i < 100; ++i) components_.lateness.Record(*upstream, i % 10 == 0, now_);
  EXPECT_FALSE(components_.lateness.IsWidespread(now_));

  for (int i = 0; i < 10; ++i) components_.lateness.Record(*upstream, true, now_);

  EXPECT_TRUE(components_.lateness.IsWidespread(now_));
}

TEST_F(LatenessStatisticsTest, DecaysWithTimeToNoRisk) {
  const UpstreamPtr upstream = AddUpstream(MakeUpstream("a"));
  for (int i = 0; i < 100; ++i) components_.lateness.Record(*upstream, true, now_);

  now_ += 10 * components_.lateness.memory();

  EXPECT_FALSE(components_.lateness.IsWidespread(now_));
  EXPECT_LT(components_.lateness.Risk(*upstream, now_), 0.01);
}

TEST_F(LatenessStatisticsTest, JudgesAnUnknownUpstreamByAllOthers) {
  const UpstreamPtr known = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr unknown = AddUpstream(MakeUpstream("b"));
  for (int i = 0; i < 100; ++i) components_.lateness.Record(*known, i % 2 == 0, now_);

  EXPECT_NEAR(components_.lateness.Risk(*unknown, now_), 0.5, 1e-9);
  EXPECT_NEAR(components_.lateness.Risk(*known, now_), 0.5, 0.01);
}

}  // namespace
}  // namespace lb::testing

#include "balancer/weighted_round_robin.h"

#include <map>

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

using WeightedRoundRobinTest = ComponentsFixture;

TEST_F(WeightedRoundRobinTest, ChoosesByWeightAndSmoothly) {
  const UpstreamPtr heavy = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr light = AddUpstream(MakeUpstream("b"));
  const std::vector<WeightedUpstream> candidates = {{heavy.get(), 2}, {light.get(), 1}};

  std::string order;
  for (int i = 0; i < 6; ++i) order += WeightedRoundRobin::ChooseNext(candidates).info.id.value;

  EXPECT_EQ(order, "abaaba");
}

TEST_F(WeightedRoundRobinTest, LowersTheWeightOfAnUpstreamThatFails) {
  const UpstreamPtr upstream = AddUpstream(MakeUpstream("a"));
  const double before = components_.rotation.EffectiveWeight(*upstream, now_);

  for (int i = 0; i < 3; ++i) components_.failures.Record(*upstream, Outcome::kError);

  EXPECT_DOUBLE_EQ(before, 1);
  EXPECT_LT(components_.rotation.EffectiveWeight(*upstream, now_), 0.2);
}

}  // namespace
}  // namespace lb::testing

#include "balancer/membership.h"

#include "gtest/gtest.h"
#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

Membership WithUpstreams(std::size_t count, double own_place = 0) {
  Membership membership(own_place);
  for (std::size_t i = 0; i < count; ++i) membership.Adopt(MakeUpstream("upstream-" + std::to_string(i)));
  membership.Settle();
  return membership;
}

TEST(Membership, PlacesAreTheInverseOfTheOrder) {
  const Membership membership = WithUpstreams(12, 0.5);

  for (std::size_t place = 0; place < membership.size(); ++place)
    EXPECT_EQ(membership.PlaceOf(membership.At(place)), place);
}

TEST(Membership, StartsEachSidecarAtItsOwnPlaceOfOneRing) {
  const Membership first = WithUpstreams(12, 0);
  const Membership second = WithUpstreams(12, 0.5);

  for (std::size_t place = 0; place < 12; ++place)
    EXPECT_EQ(second.At(place).info.id, first.At((place + 6) % 12).info.id);
}

TEST(Membership, DropsWhatAWholeListLeavesOut) {
  Membership membership = WithUpstreams(3);

  membership.BeginWholeList();
  membership.Adopt(MakeUpstream("upstream-1"));
  membership.Settle();

  EXPECT_EQ(membership.size(), 1U);
  EXPECT_EQ(membership.Find("upstream-0"), nullptr);
  EXPECT_EQ(membership.listed_weight().value(), 1);
}

TEST(Membership, TakesANewStartTimeForANewProcess) {
  Membership membership = WithUpstreams(1);
  const UpstreamPtr earlier = membership.Find("upstream-0");
  UpstreamInfo info = MakeUpstream("upstream-0");
  info.started = TimePoint(5s);

  const Membership::Adopted adopted = membership.Adopt(info);
  membership.Settle();

  EXPECT_TRUE(adopted.new_process);
  EXPECT_EQ(earlier->info.state, UpstreamState::kGone);
  EXPECT_EQ(membership.Find("upstream-0"), adopted.upstream);
  EXPECT_EQ(membership.size(), 1U);
}

TEST(Membership, KeepsAnUpstreamDisabledWhateverTheListSays) {
  Membership membership = WithUpstreams(1);

  const auto info = membership.ApplyOverride("upstream-0", Membership::Override::kDisable, TimePoint(1s));
  ASSERT_TRUE(info);
  membership.Adopt(*info);
  membership.Adopt(MakeUpstream("upstream-0"));
  membership.Settle();

  EXPECT_EQ(membership.Find("upstream-0")->info.state, UpstreamState::kDraining);
  EXPECT_EQ(membership.listed_weight().value(), 0);
}

}  // namespace
}  // namespace lb::testing

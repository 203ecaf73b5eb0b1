#include "balancer/membership.h"

#include "gtest/gtest.h"
#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

Membership WithUpstreams(std::size_t count, double own_place = 0) {
  Membership membership(own_place);
  for (std::size_t i = 0; i < count; ++i)
    membership.ApplyEntry(MakeUpstream("upstream-" + std::to_string(i)));
  membership.CommitUpdate();
  return membership;
}

TEST(Membership, PlaceOfIsTheInverseOfAt) {
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

TEST(Membership, DropsUpstreamsMissingFromAFullList) {
  Membership membership = WithUpstreams(3);

  membership.BeginFullList();
  membership.ApplyEntry(MakeUpstream("upstream-1"));
  membership.CommitUpdate();

  EXPECT_EQ(membership.size(), 1U);
  EXPECT_EQ(membership.Find("upstream-0"), nullptr);
  EXPECT_EQ(membership.listed_weight().value(), 1);
}

TEST(Membership, TreatsANewStartTimeAsANewProcess) {
  Membership membership = WithUpstreams(1);
  const UpstreamPtr earlier = membership.Find("upstream-0");
  UpstreamInfo info = MakeUpstream("upstream-0");
  info.started = TimePoint(5s);

  const Membership::AppliedEntry applied = membership.ApplyEntry(info);
  membership.CommitUpdate();

  EXPECT_TRUE(applied.new_process);
  EXPECT_EQ(earlier->info.state, UpstreamState::kGone);
  EXPECT_EQ(membership.Find("upstream-0"), applied.upstream);
  EXPECT_EQ(membership.size(), 1U);
}

TEST(Membership, KeepsAnUpstreamDisabledWhateverTheListSays) {
  Membership membership = WithUpstreams(1);

  const auto info = membership.ApplyOverride("upstream-0", Membership::Override::kDisable, TimePoint(1s));
  ASSERT_TRUE(info);
  membership.ApplyEntry(*info);
  membership.ApplyEntry(MakeUpstream("upstream-0"));
  membership.CommitUpdate();

  EXPECT_EQ(membership.Find("upstream-0")->info.state, UpstreamState::kDraining);
  EXPECT_EQ(membership.listed_weight().value(), 0);
}

}  // namespace
}  // namespace lb::testing

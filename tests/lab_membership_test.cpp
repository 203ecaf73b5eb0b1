// Tests of the emulator's membership registry and of the log of deliveries of changes to sidecars.
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "lab/measure/propagation_log.h"
#include "lab/model/membership.h"
#include "tests/lab_membership_entries.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

TEST(MembershipRegistry, ReturnsEntriesAsOfEachRevision) {
  MembershipRegistry registry(SomeEntries(4, 2));
  auto gone = registry.Find("u1");
  gone.state = UpstreamState::kGone;
  EXPECT_EQ(registry.Change(WithWeight(registry.Find("u0"), 2)), 2u);
  EXPECT_EQ(registry.Change(gone), 3u);
  EXPECT_EQ(registry.Change(WithWeight(registry.Find("u0"), 3)), 4u);

  const auto changes = registry.Since(1, std::nullopt);
  EXPECT_FALSE(changes.full_list);
  ASSERT_EQ(changes.entries.size(), 2u);  // each changed entry once, in its latest state
  EXPECT_EQ(changes.entries[0].weight, 3);
  EXPECT_EQ(changes.entries[1].state, UpstreamState::kGone);
  EXPECT_EQ(registry.Since(std::nullopt, std::nullopt).entries.size(), 3u);
  EXPECT_EQ(registry.Since(1, 1).entries.size(), 1u);
  EXPECT_TRUE(registry.Since(0, std::nullopt).full_list);

  const auto earlier = registry.SinceAsOf(std::nullopt, 2, std::nullopt);
  EXPECT_EQ(earlier.revision, 2u);
  ASSERT_EQ(earlier.entries.size(), 4u);
  EXPECT_EQ(earlier.entries[0].weight, 2);
  EXPECT_EQ(registry.SinceAsOf(1, 2, std::nullopt).entries.size(), 1u);
}

TEST(MembershipRegistry, ReturnsTheWholeListForRevisionsBeyondTheHistory) {
  MembershipRegistry registry(SomeEntries(2));
  for (std::size_t change = 0; change <= MembershipRegistry::kHistory; ++change) {
    registry.Change(WithWeight(registry.Find("u0"), 1 + static_cast<double>(change)));
  }
  EXPECT_TRUE(registry.Since(1, std::nullopt).full_list);
  EXPECT_FALSE(registry.Since(2, std::nullopt).full_list);
  EXPECT_EQ(registry.SinceAsOf(std::nullopt, 1, std::nullopt).revision, 2u);
}

TEST(MembershipRegistry, RejectsDuplicateAndUnknownIds) {
  auto duplicate = SomeEntries(2);
  duplicate[1].id = duplicate[0].id;
  EXPECT_THROW(MembershipRegistry{duplicate}, std::invalid_argument);
  MembershipRegistry registry(SomeEntries(1));
  EXPECT_THROW(registry.Find("u9"), std::out_of_range);
}

TEST(PropagationLog, CountsUndeliveredChangesOfRunningSidecars) {
  const TimePoint begun(std::chrono::seconds(1));
  PropagationLog log;
  log.Start(0, std::nullopt);
  log.Start(1, 1);
  log.RecordChange(2, 0, begun);
  log.RecordChange(3, 1, begun + milliseconds(10));
  EXPECT_THROW(log.RecordChange(5, 1, begun), std::logic_error);
  EXPECT_EQ(log.CountUndelivered(begun), 1u);
  EXPECT_EQ(log.CountUndelivered(begun + milliseconds(10)), 3u);
  log.RecordDelivery(1, 3, begun + milliseconds(40));
  log.RecordDelivery(0, 2, begun + milliseconds(50));
  EXPECT_EQ(log.delays_ms().SortedValues(), (std::vector<double>{30, 50}));
  EXPECT_EQ(log.CountUndelivered(begun + milliseconds(10)), 1u);
  log.Stop(0);
  EXPECT_EQ(log.CountUndelivered(begun + milliseconds(10)), 0u);
  log.Start(0, std::nullopt);  // earlier changes are part of its first list
  EXPECT_EQ(log.CountUndelivered(begun + milliseconds(10)), 0u);
}

}  // namespace
}  // namespace lb::lab

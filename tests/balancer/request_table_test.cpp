#include "balancer/request_table.h"

#include "gtest/gtest.h"

namespace lb {
namespace {

TEST(RequestTable, AcceptsAnIdOnce) {
  RequestTable table;

  EXPECT_NE(table.Insert(RequestId{1}), nullptr);
  EXPECT_EQ(table.Insert(RequestId{1}), nullptr);
}

TEST(RequestTable, KeepsARequestWhileAnAttemptIsPending) {
  RequestTable table;
  Request& request = *table.Insert(RequestId{1});
  request.ended = true;
  request.attempts.emplace_back();

  table.EraseIfDone(RequestId{1});
  ASSERT_EQ(table.Find(RequestId{1}), &request);
  request.attempts.front().outcome = Outcome::kCancelled;
  table.EraseIfDone(RequestId{1});

  EXPECT_EQ(table.Find(RequestId{1}), nullptr);
}

TEST(RequestTable, ReturnsATimersRequestOnce) {
  RequestTable table;
  table.Insert(RequestId{7});
  const std::uint64_t token = table.AddTimer(RequestId{7});

  EXPECT_EQ(table.TakeTimer(token), RequestId{7});
  EXPECT_EQ(table.TakeTimer(token), std::nullopt);
}

// Guards against timers that pile up until their time, however long that is.
TEST(RequestTable, ErasesTheTimersOfARequestWithIt) {
  RequestTable table;
  Request& request = *table.Insert(RequestId{7});
  const std::uint64_t token = table.AddTimer(RequestId{7});
  request.ended = true;

  table.EraseIfDone(RequestId{7});

  EXPECT_EQ(table.size(), 0U);
  EXPECT_EQ(table.pending_timers(), 0U);
  EXPECT_FALSE(table.IsTimerPending(token));
}

}  // namespace
}  // namespace lb

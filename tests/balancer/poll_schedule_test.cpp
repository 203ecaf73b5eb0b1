#include "balancer/poll_schedule.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

constexpr Duration kResolution = 250ms;

Settings PolledSettings() {
  Settings settings = DefaultSettings();
  settings.polled_membership = true;
  return settings;
}

class PollScheduleTest : public ::testing::Test {
 protected:
  // Records a failure and returns the time until the next poll.
  Duration NextPause() {
    const TimePoint failed = now_;
    schedule_.OnFailure(now_);
    while (!schedule_.TakeIfDue(now_)) now_ += 1ms;
    return now_ - failed;
  }

  TimePoint now_{1000s};
  RandomSource random_{7};
  PollSchedule schedule_{PolledSettings(), kResolution, random_};
};

TEST_F(PollScheduleTest, IsDueOnceAfterAFailure) {
  EXPECT_FALSE(schedule_.TakeIfDue(now_));

  EXPECT_GT(NextPause(), 0ms);

  EXPECT_FALSE(schedule_.TakeIfDue(now_ + 1h));
}

TEST_F(PollScheduleTest, BacksOffToALimit) {
  const Duration first = NextPause();
  Duration longest = first;
  for (int i = 0; i < 20; ++i) longest = std::max(longest, NextPause());

  EXPECT_GT(longest, first);
  EXPECT_LE(longest, kMaxPollRetryDelay);
}

TEST_F(PollScheduleTest, ResetsTheBackoffAfterASuccess) {
  for (int i = 0; i < 5; ++i) NextPause();

  schedule_.OnSuccess();

  EXPECT_LE(NextPause(), kMaxPollRetryDelay / 2);
}

TEST(PollSchedule, IsNeverDueWhereMembershipIsPushed) {
  RandomSource random(7);
  PollSchedule schedule(DefaultSettings(), kResolution, random);

  schedule.OnFailure(TimePoint(1000s));

  EXPECT_FALSE(schedule.TakeIfDue(TimePoint(2000s)));
}

}  // namespace
}  // namespace lb::testing

#include "balancer/concurrency_limiter.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class ConcurrencyLimiterTest : public ComponentsFixture {
 protected:
  void RecordOutcomes(int count, bool late) {
    for (int i = 0; i < count; ++i) limiter_.RecordOutcome(*upstream_, Outcome::kServed, late);
  }

  ConcurrencyLimiter& limiter_ = components_.limiter;
  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
};

TEST_F(ConcurrencyLimiterTest, AdmitsEverythingWhileResponsesAreInTime) {
  RecordOutcomes(100, false);
  limiter_.Update(1);

  EXPECT_FALSE(limiter_.IsLimiting());
  EXPECT_TRUE(limiter_.Admit(0));
}

TEST_F(ConcurrencyLimiterTest, LimitsTheRequestsInFlightWhenResponsesAreLate) {
  for (int i = 0; i < 10; ++i) limiter_.OnAttemptStarted(*upstream_);

  RecordOutcomes(20, true);
  limiter_.Update(1);

  EXPECT_TRUE(limiter_.IsLimiting());
  EXPECT_FALSE(limiter_.HasSpareCapacity());
  EXPECT_FALSE(limiter_.Admit(0));  // ten are in flight, and the limit is four
}

TEST_F(ConcurrencyLimiterTest, LiftsALimitFarAboveTheDemand) {
  for (int i = 0; i < 10; ++i) limiter_.OnAttemptStarted(*upstream_);
  RecordOutcomes(20, true);
  limiter_.Update(1);
  for (int i = 0; i < 10; ++i) limiter_.OnAttemptFinished(*upstream_);

  for (int i = 0; i < 2; ++i) {  // the peak since the last adjustment falls only with the second update
    RecordOutcomes(20, false);
    limiter_.Update(1);
  }

  EXPECT_EQ(ConcurrencyLimiter::InFlight(*upstream_), 0);
  EXPECT_FALSE(limiter_.IsLimiting());
}

}  // namespace
}  // namespace lb::testing

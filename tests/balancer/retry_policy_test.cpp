#include "balancer/retry_policy.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class RetryPolicyTest : public ComponentsFixture {
 protected:
  Request AfterAttempt(ClassId request_class, Outcome outcome) {
    Request request = MakeRequest(request_class);
    Attempt attempt;
    attempt.upstream = upstream_;
    attempt.sent = now_;
    attempt.outcome = outcome;
    request.attempts.push_back(attempt);
    return request;
  }

  const RetryPolicy& retries_ = components_.retries;
  const UpstreamPtr upstream_ = Adopt(MakeUpstream("a"));
};

TEST_F(RetryPolicyTest, NeverRepeatsWhatMayHaveRunAndIsNotIdempotent) {
  EXPECT_FALSE(retries_.CanSend(AfterAttempt(kNotIdempotent, Outcome::kTimeout), now_));
  EXPECT_TRUE(retries_.CanSend(AfterAttempt(kNotIdempotent, Outcome::kRejected), now_));
  EXPECT_TRUE(retries_.CanSend(AfterAttempt(kIdempotent, Outcome::kTimeout), now_));
}

TEST_F(RetryPolicyTest, RepeatsByKeyInTheFirstHalfOfItsWindow) {
  Request request = AfterAttempt(kKeyedAll, Outcome::kTimeout);
  request.deadline = now_ + 10s;

  EXPECT_TRUE(retries_.CanSend(request, now_ + 2500ms - 1us));
  EXPECT_FALSE(retries_.CanSend(request, now_ + 2500ms));
}

TEST_F(RetryPolicyTest, RepeatsByKeyOnlyWhereTheKeyIsKnown) {
  UpstreamInfo elsewhere = MakeUpstream("b");
  elsewhere.zone = "there";
  const UpstreamPtr remote = Adopt(elsewhere);

  EXPECT_FALSE(retries_.CanSendTo(AfterAttempt(kKeyedZone, Outcome::kReset), *remote, now_));
  EXPECT_TRUE(retries_.CanSendTo(AfterAttempt(kKeyedCell, Outcome::kReset), *remote, now_));
}

TEST_F(RetryPolicyTest, RejectsOnlyWhereThatIsTrue) {
  EXPECT_TRUE(retries_.CanReject(AfterAttempt(kIdempotent, Outcome::kTimeout)));
  EXPECT_TRUE(retries_.CanReject(AfterAttempt(kNotIdempotent, Outcome::kNotSent)));
  EXPECT_FALSE(retries_.CanReject(AfterAttempt(kNotIdempotent, Outcome::kTimeout)));
  EXPECT_FALSE(retries_.CanReject(AfterAttempt(kKeyedZone, Outcome::kTimeout)));
}

TEST_F(RetryPolicyTest, GivesUpWhatCanBeRepeatedAtItsLatencyObjective) {
  EXPECT_EQ(retries_.AttemptTimeout(MakeRequest(kIdempotent), now_), 400ms);
  EXPECT_EQ(retries_.AttemptTimeout(MakeRequest(kNotIdempotent), now_), 2s);
}

TEST_F(RetryPolicyTest, PaysForRetriesFromTheBudget) {
  const Request request = AfterAttempt(kIdempotent, Outcome::kError);
  for (int i = 0; i < 10; ++i) ASSERT_TRUE(components_.retries.ShouldRetry(request, now_));

  EXPECT_FALSE(components_.retries.ShouldRetry(request, now_));
  EXPECT_TRUE(components_.retries.ShouldRetry(AfterAttempt(kIdempotent, Outcome::kRejected), now_));
}

TEST(RetryBudget, SavesAShareOfTheRequests) {
  RetryBudget budget;
  while (budget.HasOne()) budget.SpendOne();

  for (int i = 0; i < 3; ++i) budget.OnRequest();
  EXPECT_FALSE(budget.HasOne());
  budget.OnRequest();
  EXPECT_TRUE(budget.HasOne());
}

}  // namespace
}  // namespace lb::testing

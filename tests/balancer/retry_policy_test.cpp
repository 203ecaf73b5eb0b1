#include "balancer/retry_policy.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class RetryPolicyTest : public ComponentsFixture {
 protected:
  Request RequestAfterAttempt(ClassId request_class, Outcome outcome) {
    Request request = MakeRequest(request_class);
    Attempt attempt;
    attempt.upstream = upstream_;
    attempt.sent = now_;
    attempt.outcome = outcome;
    request.attempts.push_back(attempt);
    return request;
  }

  const RetryPolicy& retries_ = components_.retries;
  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
};

TEST_F(RetryPolicyTest, NeverRepeatsNonIdempotentRequestsThatMayHaveRun) {
  EXPECT_FALSE(retries_.CanSend(RequestAfterAttempt(kNotIdempotent, Outcome::kTimeout), now_));
  EXPECT_TRUE(retries_.CanSend(RequestAfterAttempt(kNotIdempotent, Outcome::kRejected), now_));
  EXPECT_TRUE(retries_.CanSend(RequestAfterAttempt(kIdempotent, Outcome::kTimeout), now_));
}

TEST_F(RetryPolicyTest, RepeatsKeyedRequestsInTheFirstHalfOfTheKeyWindow) {
  Request request = RequestAfterAttempt(kKeyedAll, Outcome::kTimeout);
  request.deadline = now_ + 10s;

  EXPECT_TRUE(retries_.CanSend(request, now_ + 2500ms - 1us));
  EXPECT_FALSE(retries_.CanSend(request, now_ + 2500ms));
}

TEST_F(RetryPolicyTest, RepeatsKeyedRequestsOnlyWithinTheKeyScope) {
  UpstreamInfo elsewhere = MakeUpstream("b");
  elsewhere.zone = "there";
  const UpstreamPtr remote = AddUpstream(elsewhere);

  EXPECT_FALSE(retries_.CanSendTo(RequestAfterAttempt(kKeyedZone, Outcome::kReset), *remote, now_));
  EXPECT_TRUE(retries_.CanSendTo(RequestAfterAttempt(kKeyedCell, Outcome::kReset), *remote, now_));
}

TEST_F(RetryPolicyTest, RejectsOnlyIfNothingRanOrARepeatIsHarmless) {
  EXPECT_TRUE(retries_.CanReject(RequestAfterAttempt(kIdempotent, Outcome::kTimeout)));
  EXPECT_TRUE(retries_.CanReject(RequestAfterAttempt(kNotIdempotent, Outcome::kNotSent)));
  EXPECT_FALSE(retries_.CanReject(RequestAfterAttempt(kNotIdempotent, Outcome::kTimeout)));
  EXPECT_FALSE(retries_.CanReject(RequestAfterAttempt(kKeyedZone, Outcome::kTimeout)));
}

TEST_F(RetryPolicyTest, TimesOutRepeatableRequestsAtTheirLatencyObjective) {
  EXPECT_EQ(retries_.AttemptTimeout(MakeRequest(kIdempotent), now_), 400ms);
  EXPECT_EQ(retries_.AttemptTimeout(MakeRequest(kNotIdempotent), now_), 2s);
}

TEST_F(RetryPolicyTest, TakesRetriesFromTheBudget) {
  const Request request = RequestAfterAttempt(kIdempotent, Outcome::kError);
  for (int i = 0; i < 10; ++i) ASSERT_TRUE(components_.retries.ShouldRetry(request, now_));

  EXPECT_FALSE(components_.retries.ShouldRetry(request, now_));
  EXPECT_TRUE(components_.retries.ShouldRetry(RequestAfterAttempt(kIdempotent, Outcome::kRejected), now_));
}

TEST(RetryBudget, AddsTokensForRequests) {
  RetryBudget budget;
  while (budget.HasToken()) budget.SpendToken();

  for (int i = 0; i < 3; ++i) budget.OnRequest();
  EXPECT_FALSE(budget.HasToken());
  budget.OnRequest();
  EXPECT_TRUE(budget.HasToken());
}

}  // namespace
}  // namespace lb::testing

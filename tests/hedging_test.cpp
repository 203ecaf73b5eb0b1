// Hedged requests and the retry budget.
#include <algorithm>
#include <cstddef>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

TEST(LateRequest, IsHedgedAtAnotherUpstream) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.ServeAndCount(100);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kIdempotent);
  harness.Advance(100ms);
  ASSERT_EQ(harness.sent.size(), before + 2);
  EXPECT_NE(harness.sent[before].upstream, harness.sent[before + 1].upstream);
  harness.FinishAttempt(harness.sent[before + 1], Outcome::kServed);
  EXPECT_EQ(harness.cancelled.back().second, AttemptId{0}) << "the slower attempt is cancelled";
}

TEST(LateRequest, IsNotHedgedWhileItsUpstreamServesOtherRequests) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.ServeAndCount(100);  // each takes 10 ms
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kIdempotent);
  const SentAttempt late = harness.sent[before];
  const auto hedges = [&] {
    return std::count_if(harness.sent.begin(), harness.sent.end(),
                         [&](const SentAttempt& sent) { return sent.request == late.request; }) -
           1;
  };
  int others_at_same_upstream = 0;
  for (int i = 0; i < 10; ++i) {
    const std::size_t next = harness.sent.size();
    for (int k = 0; k < 8; ++k)
      harness.SendRequest(kNotIdempotent);  // concurrently, so that each upstream gets some of them
    for (std::size_t k = next; k < next + 8; ++k)
      others_at_same_upstream += harness.sent[k].upstream == late.upstream;
    harness.Advance(10ms);
    for (std::size_t k = next; k < next + 8; ++k) harness.FinishAttempt(harness.sent[k], Outcome::kServed);
  }
  ASSERT_GE(others_at_same_upstream, 10);
  EXPECT_EQ(hedges(), 0);
  harness.Advance(200ms);  // the upstream no longer responds to any request
  EXPECT_EQ(hedges(), 1);
}

TEST(RetryBudget, BoundsRetriesWhileEveryAttemptFails) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (int i = 0; i < 500; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kIdempotent);
    harness.now += 10ms;
    for (std::size_t k = before; k < harness.sent.size(); ++k)
      harness.FinishAttempt(harness.sent[k], Outcome::kError);
  }
  EXPECT_LE(harness.sent.size(), 500u + 150u + 10u + 50u)
      << "first attempts, retries for 30% of them, the burst of the budget, and half-open probes";
}

}  // namespace
}  // namespace lb::testing

// The distribution of requests over upstreams by weight, latency and outcome, and the concurrency limit.
#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

TEST(Rotation, IsEvenAmongEqualUpstreams) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (const auto& [id, requests] : harness.ServeAndCount(400)) EXPECT_NEAR(requests, 100, 3) << id;
}

TEST(Rotation, FollowsTheWeightsSmoothly) {
  BalancerHarness harness;
  UpstreamInfo heavy = MakeUpstream("heavy");
  heavy.weight = 3;
  harness.ReplaceList({heavy, MakeUpstream("a")});
  int in_a_row = 0, longest_run = 0, requests = 0;
  for (int i = 0; i < 400; ++i) {
    const bool at_heavy = harness.ServeRequest() == "heavy";
    requests += at_heavy;
    in_a_row = at_heavy ? in_a_row + 1 : 0;
    longest_run = std::max(longest_run, in_a_row);
  }
  EXPECT_NEAR(requests, 300, 6);
  EXPECT_LE(longest_run, 4);
}

TEST(Rotation, SendsNoBurstToANewUpstream) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.ServeAndCount(200);
  harness.ChangeUpstream(MakeUpstream("z"));
  int in_a_row = 0;
  for (int i = 0; i < 20; ++i) {
    in_a_row = harness.ServeRequest() == "z" ? in_a_row + 1 : 0;
    EXPECT_LE(in_a_row, 1);
  }
}

TEST(SlowUpstream, GetsFewerRequests) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    const SentAttempt attempt = harness.sent[before];
    harness.now += attempt.upstream == "d" ? 40ms : 10ms;
    harness.FinishAttempt(attempt, Outcome::kServed);
    if (i >= 200) ++requests_by_upstream[attempt.upstream];
  }
  EXPECT_LT(requests_by_upstream["d"], requests_by_upstream["a"] * 2 / 3);
  EXPECT_GT(requests_by_upstream["d"], 0);
}

TEST(HalfUnresponsiveUpstream, KeepsAShareForTheRequestsItServes) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  int at_b = 0;
  for (int i = 0; i < 400; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 10ms;
    ASSERT_EQ(harness.sent.size(), before + 1);
    const bool b = harness.sent[before].upstream == "b";
    harness.FinishAttempt(harness.sent[before], b && ++at_b % 2 == 0 ? Outcome::kTimeout : Outcome::kServed);
  }
  EXPECT_GT(at_b, 400 / 12);
  EXPECT_LT(at_b, 400 / 5);
  EXPECT_FALSE(harness.HasLogged("shedding_started"));
}

TEST(OverloadedUpstream, IsAvoidedBriefly) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.ServeAndCount(30);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kNotIdempotent);
  const std::string overloaded = harness.sent[before].upstream;
  harness.FinishAttempt(harness.sent[before], Outcome::kRejected);
  harness.FinishAttemptsFrom(before + 1);
  for (int i = 0; i < 6; ++i) {
    harness.SendRequest(kNotIdempotent);
    EXPECT_NE(harness.sent.back().upstream, overloaded);
  }
}

TEST(ConcurrencyLimit, IsLoweredByLateResponsesAndRaisedAgain) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  std::deque<SentAttempt> in_flight;
  const auto run = [&](int requests, Duration latency) {
    std::size_t accepted = 0;
    for (int i = 0; i < requests; ++i) {
      const std::size_t before = harness.sent.size();
      harness.SendRequest(kNotIdempotent);
      accepted += harness.sent.size() - before;
      for (std::size_t k = before; k < harness.sent.size(); ++k) in_flight.push_back(harness.sent[k]);
      harness.Advance(10ms);
      while (!in_flight.empty() && harness.now - in_flight.front().at >= latency) {
        harness.FinishAttempt(in_flight.front(), Outcome::kServed);
        in_flight.pop_front();
      }
    }
    return accepted;
  };
  EXPECT_EQ(run(300, 100ms), 300u);
  run(300, 390ms);  // the latency objective is 400 ms
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=overload"));
  EXPECT_LT(in_flight.size(), 30u);
  run(600, 50ms);
  EXPECT_EQ(run(100, 50ms), 100u);
  EXPECT_TRUE(harness.HasLogged("shedding_stopped"));
}

}  // namespace
}  // namespace lb::testing

// Ejection of failing upstreams: after how many failures, for how long, and how an upstream returns.
#include <cstddef>
#include <cstdint>
#include <string>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

TEST(Ejection, FollowsFiveConsecutiveFailures) {
  for (const Outcome outcome :
       {Outcome::kError, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    BalancerHarness harness;
    harness.ListUpstreams(4);
    harness.FailConsecutively("b", 4, outcome);
    EXPECT_FALSE(harness.HasLogged("upstream_ejected upstream=b ")) << static_cast<int>(outcome);
    harness.FailConsecutively("b", 1, outcome);
    EXPECT_TRUE(harness.HasLogged("upstream_ejected upstream=b ")) << static_cast<int>(outcome);
    EXPECT_EQ(harness.ServeAndCount(40)["b"], 0);
  }
}

TEST(Ejection, DoesNotCountFailuresAheadOfAServedRequest) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 4);
  harness.Advance(2s);
  harness.ServeAndCount(40);  // a half-open probe among them
  harness.FailConsecutively("b", 4);
  EXPECT_FALSE(harness.HasLogged("upstream_ejected"));
}

TEST(Ejection, CountsNeitherRejectionsNorCancelledAttempts) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kCancelled, Outcome::kNotSent}) {
    BalancerHarness harness;
    harness.ListUpstreams(4);
    harness.FailConsecutively("b", 4);
    harness.FailConsecutively("b", 3, outcome);
    EXPECT_FALSE(harness.HasLogged("upstream_ejected"));
    harness.FailConsecutively("b", 1);
    EXPECT_TRUE(harness.HasLogged("upstream_ejected upstream=b "));
  }
}

TEST(Ejection, LastsTwiceAsLongAfterARelapseUpToALimit) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  const auto eject_and_return = [&harness] {
    harness.logs.clear();
    harness.FailConsecutively("b", 5);
    EXPECT_FALSE(harness.logs.empty());
    std::string line = harness.logs.empty() ? "" : harness.logs.front();
    harness.Advance(1500ms);
    harness.ServeAndCount(5);  // two half-open probes among them
    EXPECT_TRUE(harness.HasLogged("upstream_readmitted upstream=b "));
    return line;
  };
  EXPECT_EQ(eject_and_return(), "upstream_ejected upstream=b failures=5 duration_ms=60000");
  EXPECT_EQ(eject_and_return(), "upstream_ejected upstream=b failures=5 duration_ms=120000");
  EXPECT_EQ(eject_and_return(), "upstream_ejected upstream=b failures=5 duration_ms=120000");
  harness.Advance(61s);
  EXPECT_EQ(eject_and_return(), "upstream_ejected upstream=b failures=5 duration_ms=60000");
}

TEST(Ejection, EndsWhenTheUpstreamRestarts) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=b "));
  UpstreamInfo b = MakeUpstream("b");
  b.started = harness.now - 1h;  // new to this sidecar, warm by now
  harness.ChangeUpstream(b);
  EXPECT_GT(harness.ServeAndCount(40)["b"], 0);
}

TEST(Ejection, EndsWhenTheUpstreamLeavesTheList) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kNotIdempotent, 100s);
  const SentAttempt held = harness.sent[before];
  harness.FailConsecutively(held.upstream, 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=" + held.upstream + " "));
  harness.ChangeUpstream(MakeUpstream(held.upstream, UpstreamState::kGone));
  harness.ChangeUpstream(MakeUpstream(held.upstream));
  EXPECT_GT(harness.ServeAndCount(40)[held.upstream], 0);
  harness.FinishAttempt(held, Outcome::kServed);  // of the one before
  EXPECT_GT(harness.ServeAndCount(40)[held.upstream], 0);
}

TEST(Ejection, IsRareWhileAllUpstreamsFailAlike) {
  BalancerHarness harness;
  harness.ListUpstreams(6);
  // Half of all attempts fail at every upstream: five in a row come by chance.
  std::uint64_t coin = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 20ms;
    coin = coin * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < harness.sent.size(); ++k) {
      harness.FinishAttempt(harness.sent[k], (coin >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed,
                            true);
    }
  }
  for (const std::string& line : harness.logs) ejections += line.find("upstream_ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgedRequestsAndReturnsOnceItServes) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=b "));
  harness.Advance(1500ms);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kIdempotent);
  ASSERT_EQ(harness.sent.size(), before + 2) << "the request and the half-open probe";
  EXPECT_NE(harness.sent[before].upstream, "b");
  EXPECT_EQ(harness.sent[before + 1].upstream, "b");
  harness.now += 10ms;
  harness.FinishAttemptsFrom(before);
  harness.ServeRequest();
  EXPECT_TRUE(harness.HasLogged("upstream_readmitted upstream=b reason=probes_succeeded"));
}

TEST(EjectedUpstream, IsNotProbedByNonIdempotentRequests) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  harness.Advance(1500ms);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.sent.size(), before + 1);
}

TEST(EjectedUpstream, IsProbedLessOftenAfterFailedProbes) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.FailConsecutively("b", 5);
  int probes = 0;
  for (int i = 0; i < 300; ++i) {  // 30 s: after 1, 2, 4 and 8 s, then every 8
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kIdempotent);
    harness.now += 10ms;
    probes += harness.FinishAttemptsFrom(before, "b", Outcome::kTimeout);
    harness.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, ServesIfThereIsNoOther) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.FailConsecutively("a", 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=a "));
  harness.Advance(1500ms);
  EXPECT_EQ(harness.ServeRequest(), "a");
}

TEST(EjectedUpstream, LeadsToRejectionsWithRetryAfterIfThereIsNoOther) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.FailConsecutively("a", 5);
  const std::size_t refused = harness.rejected.size();
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.rejected.size(), refused + 1);
  EXPECT_GT(harness.last_retry_after, 0ms);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=no_upstream"));
  harness.Advance(70s);
  EXPECT_TRUE(harness.HasLogged("shedding_stopped"));
  EXPECT_TRUE(harness.HasLogged("upstream_readmitted upstream=a reason=ejection_expired"));
}

TEST(HungUpstream, IsAvoidedBeforeItIsEjected) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.ServeAndCount(100);  // about 10 ms each
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 10ms;
    for (std::size_t k = before; k < harness.sent.size(); ++k) {
      if (harness.sent[k].upstream != "c") harness.FinishAttempt(harness.sent[k], Outcome::kServed);
    }
  }
  int stuck = 0;
  for (std::size_t k = harness.sent.size() - 40; k < harness.sent.size(); ++k)
    stuck += harness.sent[k].upstream == "c";
  EXPECT_LE(stuck, 2);
  EXPECT_FALSE(harness.HasLogged("upstream_ejected"));
}

}  // namespace
}  // namespace lb::testing

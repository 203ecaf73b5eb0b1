// Ejection of failing upstreams: after how many failures, for how long, and how an upstream is readmitted.
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

TEST(Ejection, DoesNotCountFailuresBeforeAServedRequest) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 4);
  harness.Advance(2s);
  harness.ServeAndCount(40);  // a half-open probe is among the attempts
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

TEST(Ejection, DurationDoublesWithEachRelapseUpToALimit) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  const auto eject_and_readmit = [&harness] {
    harness.logs.clear();
    harness.FailConsecutively("b", 5);
    EXPECT_FALSE(harness.logs.empty());
    std::string line = harness.logs.empty() ? "" : harness.logs.front();
    harness.Advance(1500ms);
    harness.ServeAndCount(5);  // two half-open probes are among the attempts
    EXPECT_TRUE(harness.HasLogged("upstream_readmitted upstream=b "));
    return line;
  };
  EXPECT_EQ(eject_and_readmit(), "upstream_ejected upstream=b failures=5 duration_ms=60000");
  EXPECT_EQ(eject_and_readmit(), "upstream_ejected upstream=b failures=5 duration_ms=120000");
  EXPECT_EQ(eject_and_readmit(), "upstream_ejected upstream=b failures=5 duration_ms=120000");
  harness.Advance(61s);
  EXPECT_EQ(eject_and_readmit(), "upstream_ejected upstream=b failures=5 duration_ms=60000");
}

TEST(Ejection, EndsWhenTheUpstreamRestarts) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=b "));
  UpstreamInfo b = MakeUpstream("b");
  b.started = harness.now - 1h;  // the sidecar learns of the restart only now; the slow start is over
  harness.ChangeUpstream(b);
  EXPECT_GT(harness.ServeAndCount(40)["b"], 0);
}

TEST(Ejection, EndsWhenTheUpstreamIsRemovedFromTheList) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kNotIdempotent, 100s);
  const SentAttempt pending = harness.sent[before];
  harness.FailConsecutively(pending.upstream, 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=" + pending.upstream + " "));
  harness.ChangeUpstream(MakeUpstream(pending.upstream, UpstreamState::kGone));
  harness.ChangeUpstream(MakeUpstream(pending.upstream));
  EXPECT_GT(harness.ServeAndCount(40)[pending.upstream], 0);
  // The attempt was sent before the upstream was removed and listed again.
  harness.FinishAttempt(pending, Outcome::kServed);
  EXPECT_GT(harness.ServeAndCount(40)[pending.upstream], 0);
}

TEST(Ejection, IsRareWhileAllUpstreamsFailEquallyOften) {
  BalancerHarness harness;
  harness.ListUpstreams(6);
  // Half of all attempts fail at every upstream, so that five consecutive failures occur by chance.
  std::uint64_t random_state = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 20ms;
    random_state = random_state * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < harness.sent.size(); ++k) {
      harness.FinishAttempt(harness.sent[k],
                            (random_state >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed, true);
    }
  }
  for (const std::string& line : harness.logs) ejections += line.find("upstream_ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgedRequestsAndReadmittedOnceItServes) {
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
  for (int i = 0; i < 300; ++i) {  // 30 s; the intervals between probes are 1, 2, 4 and 8 s, then always 8 s
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kIdempotent);
    harness.now += 10ms;
    probes += harness.FinishAttemptsFrom(before, "b", Outcome::kTimeout);
    harness.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, GetsRequestsIfItIsTheOnlyUpstream) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.FailConsecutively("a", 5);
  ASSERT_TRUE(harness.HasLogged("upstream_ejected upstream=a "));
  harness.Advance(1500ms);
  EXPECT_EQ(harness.ServeRequest(), "a");
}

TEST(EjectedUpstream, LeadsToRejectionsWithRetryAfterIfItIsTheOnlyUpstream) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.FailConsecutively("a", 5);
  const std::size_t rejected_before = harness.rejected.size();
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.rejected.size(), rejected_before + 1);
  EXPECT_GT(harness.last_retry_after, 0ms);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=no_upstream"));
  harness.Advance(70s);
  EXPECT_TRUE(harness.HasLogged("shedding_stopped"));
  EXPECT_TRUE(harness.HasLogged("upstream_readmitted upstream=a reason=ejection_expired"));
}

TEST(UnresponsiveUpstream, IsAvoidedBeforeItIsEjected) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.ServeAndCount(100);  // each takes 10 ms
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 10ms;
    for (std::size_t k = before; k < harness.sent.size(); ++k) {
      if (harness.sent[k].upstream != "c") harness.FinishAttempt(harness.sent[k], Outcome::kServed);
    }
  }
  int sent_to_unresponsive = 0;
  for (std::size_t k = harness.sent.size() - 40; k < harness.sent.size(); ++k)
    sent_to_unresponsive += harness.sent[k].upstream == "c";
  EXPECT_LE(sent_to_unresponsive, 2);
  EXPECT_FALSE(harness.HasLogged("upstream_ejected"));
}

}  // namespace
}  // namespace lb::testing

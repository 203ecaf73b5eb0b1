// The rules that hold whatever happens: no request is lost, no effect happens twice, drains and operators'
// overrides are kept, slow start is not overrun. random_rules_test.cpp checks them over random histories.
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

const Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled};
const Outcome kDidNotRun[] = {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent};

// ---- No request is lost ----

TEST(NoRequestIsLost, EmptyListRejectsAtTheLatestAtTheDeadline) {
  BalancerHarness harness;
  harness.ListUpstreams(0);
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.sent.size(), 0U);
  harness.Advance(2s);
  EXPECT_EQ(harness.rejected.size() + harness.failed.size(), 1U);
}

TEST(NoRequestIsLost, UnansweredAttemptFailsAtTheClientsDeadline) {
  for (const ClassId cls : {kIdempotent, kNotIdempotent, kKeyedAll, kKeyedZone, kKeyedCell}) {
    BalancerHarness harness;
    harness.ListUpstreams(1);
    harness.SendRequest(cls, 700ms);
    ASSERT_EQ(harness.sent.size(), 1U);
    harness.Advance(699ms);
    EXPECT_TRUE(harness.failed.empty());
    harness.Advance(2ms);
    EXPECT_EQ(harness.failed.size() + harness.rejected.size(), 1U);
    EXPECT_EQ(harness.sent.size(), 1U) << "nothing is sent after the end";
  }
}

TEST(NoRequestIsLost, LateOutcomesAndTimersOfAnEndedRequestAreIgnored) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  const RequestId id = harness.SendRequest(kNotIdempotent, 500ms);
  harness.Handle(RequestCancelled{id});
  harness.FinishAttempt(harness.sent[0], Outcome::kError, true);
  harness.FinishAttempt(harness.sent[0], Outcome::kError, true);
  harness.Handle(RequestCancelled{id});
  harness.Handle(TimerFired{999999});
  harness.Handle(AttemptFinished{RequestId{424242}, AttemptId{0}, Outcome::kError, 1ms, false, {}});
  harness.Advance(3s);
  EXPECT_EQ(harness.sent.size(), 1U);
  EXPECT_TRUE(harness.failed.empty());
  EXPECT_TRUE(harness.rejected.empty());
}

TEST(NoRequestIsLost, StreamedResponseHasNoDeadlineAndEndsOnce) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  const RequestId id = harness.SendRequest(kIdempotent, 500ms);
  harness.Handle(ResponseStarted{id, AttemptId{0}});
  harness.Advance(3s);
  EXPECT_TRUE(harness.failed.empty() && harness.rejected.empty());
  harness.FinishAttempt(harness.sent[0], Outcome::kServed);
  harness.Advance(1s);
  EXPECT_TRUE(harness.failed.empty() && harness.rejected.empty());
  EXPECT_EQ(harness.sent.size(), 1U);
}

TEST(NoRequestIsLost, EndOfAnotherAttemptDoesNotDisturbAStreamedResponse) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  const RequestId id = harness.SendRequest(kIdempotent);
  harness.Advance(700ms);  // late, and its upstream answers nothing else: a copy goes out
  ASSERT_EQ(harness.sent.size(), 2U);
  harness.Handle(ResponseStarted{id, AttemptId{1}});
  EXPECT_EQ(harness.cancelled, (std::vector{std::pair{id, AttemptId{0}}}));
  harness.FinishAttempt(harness.sent[0], Outcome::kCancelled);
  harness.Advance(60s);
  EXPECT_EQ(harness.cancelled.size(), 1U);
  EXPECT_TRUE(harness.rejected.empty() && harness.failed.empty());
}

TEST(NoRequestIsLost, StreamedRequestHasItsTimeFromItsLastByte) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  RequestArrived arrived;
  arrived.request = RequestId{77};
  arrived.request_class = kNotIdempotent;
  arrived.deadline = harness.now + 2s;
  arrived.body_pending = true;
  harness.Handle(arrived);
  ASSERT_EQ(harness.sent.size(), 1U);
  EXPECT_EQ(harness.sent[0].timeout, Duration(2s));
  harness.Advance(30s);
  EXPECT_TRUE(harness.rejected.empty() && harness.failed.empty());
  harness.Handle(RequestCompleted{RequestId{77}, harness.now + 2s});
  harness.Advance(1900ms);
  EXPECT_TRUE(harness.failed.empty());
  harness.Advance(200ms);
  EXPECT_EQ(harness.failed.size(), 1U);
}

TEST(NoEffectTwice, ConsumedBodyIsNotSentAgain) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  for (const bool spent : {false, true}) {
    const std::size_t before = harness.sent.size();
    RequestArrived arrived;
    arrived.request = RequestId{spent ? 88U : 77U};
    arrived.request_class = kIdempotent;
    arrived.deadline = harness.now + 2s;
    arrived.body_pending = true;
    harness.Handle(arrived);
    AttemptFinished finished{
        arrived.request, AttemptId{0}, Outcome::kConnectFailed, 1ms, false, {}, {}, spent};
    harness.Handle(finished);
    EXPECT_EQ(harness.sent.size() - before, spent ? 1U : 2U);
  }
  EXPECT_EQ(harness.rejected.size(), 1U);
}

TEST(NoRequestIsLost, ResetNonIdempotentAttemptFailsTheRequest) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  const RequestId id = harness.SendRequest(kNotIdempotent);
  harness.now += 10ms;
  harness.FinishAttempt(harness.sent[0], Outcome::kReset);
  ASSERT_EQ(harness.failed.size(), 1U);
  EXPECT_EQ(harness.failed[0], id);
}

// ---- No effect happens twice ----

TEST(NoEffectTwice, NonIdempotentRequestIsRetriedOnlyWhereItDidNotRun) {
  for (const Outcome outcome : kMayHaveRun) {
    BalancerHarness harness;
    harness.ListUpstreams(3);
    harness.SendRequest(kNotIdempotent);
    harness.FinishAttempt(harness.sent[0], outcome);
    harness.Advance(3s);
    EXPECT_EQ(harness.sent.size(), 1U);
    EXPECT_TRUE(harness.rejected.empty());
    EXPECT_EQ(harness.failed.size(), 1U);
  }
  for (const Outcome outcome : kDidNotRun) {
    BalancerHarness harness;
    harness.ListUpstreams(3);
    harness.SendRequest(kNotIdempotent);
    harness.FinishAttempt(harness.sent[0], outcome);
    ASSERT_EQ(harness.sent.size(), 2U);
    EXPECT_NE(harness.sent[0].upstream, harness.sent[1].upstream)
        << "never the same again while another stands";
  }
}

TEST(NoEffectTwice, KeyedRequestStaysInsideItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    BalancerHarness harness;
    UpstreamInfo a = MakeUpstream("a"), b = MakeUpstream("b"), c = MakeUpstream("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    harness.ReplaceList({a, b, c});
    std::set<std::string> seen;
    for (int i = 0; i < 30; ++i) {
      for (int k = 0; k < 20 + i % 3; ++k) harness.ServeRequest();  // earns retries, at changing turns
      const std::size_t before = harness.sent.size();
      harness.SendRequest(by_zone ? kKeyedZone : kKeyedCell);
      const SentAttempt first = harness.sent[before];
      harness.now += 1ms;
      harness.FinishAttempt(first, Outcome::kCancelled);
      if (first.upstream == "c") {
        for (std::size_t k = before; k < harness.sent.size(); ++k) EXPECT_EQ(harness.sent[k].upstream, "c");
      } else {
        ASSERT_GT(harness.sent.size(), before + 1);
        EXPECT_NE(harness.sent[before + 1].upstream, "c");
      }
      harness.FinishAttemptsFrom(before + 1);
      seen.insert(first.upstream);
      harness.Advance(3s);
    }
    EXPECT_EQ(seen.size(), 3U);
    EXPECT_TRUE(harness.rejected.empty()) << "outside group all, a refusal could be untrue";
  }
}

TEST(NoEffectTwice, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 300ms;
  BalancerHarness harness(settings);
  harness.ListUpstreams(3);
  harness.SendRequest(kKeyedAll);
  harness.now += 350ms;
  harness.FinishAttempt(harness.sent[0], Outcome::kError);
  EXPECT_EQ(harness.sent.size(), 1U);
}

// However short it is: a connection may take longer to come up than the upstreams remember a key.
TEST(NoEffectTwice, KeyedRetryBeginsInsideTheKeyWindowOfTheFirstThatMayHaveRun) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 400ms;
  settings.limits.connect_timeout = 5s;
  BalancerHarness harness(settings);
  harness.ListUpstreams(4);
  harness.SendRequest(kKeyedAll);
  ASSERT_EQ(harness.sent.size(), 1U);
  EXPECT_EQ(harness.sent[0].begin_within, Duration::max());
  harness.Advance(50ms);
  harness.FinishAttempt(harness.sent[0], Outcome::kConnectFailed);  // it did not run: nothing is remembered
  ASSERT_EQ(harness.sent.size(), 2U);
  EXPECT_EQ(harness.sent[1].begin_within, Duration::max());
  for (std::size_t copy = 2; copy < 4; ++copy) {
    harness.Advance(60ms);
    harness.FinishAttempt(harness.sent[copy - 1], Outcome::kReset);
    ASSERT_EQ(harness.sent.size(), copy + 1);
    EXPECT_GT(harness.sent[copy].begin_within, Duration::zero());
    EXPECT_LT(harness.sent[copy].begin_within, harness.sent[1].at + 400ms - harness.now);
  }
}

TEST(NoEffectTwice, NoHedgedRequestWhereHedgingIsNotAllowed) {
  Settings settings = DefaultSettings();
  settings.limits.hedging_allowed = false;
  BalancerHarness harness(settings);
  harness.ListUpstreams(4);
  for (int i = 0; i < 50; ++i) harness.ServeRequest();
  const std::size_t before = harness.sent.size();
  harness.SendRequest(kIdempotent);
  harness.Advance(399ms);
  EXPECT_EQ(harness.sent.size(), before + 1);
}

// ---- Drains are kept ----

TEST(DrainingUpstream, GetsNoAttemptOnceTheChangeIsReceived) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    BalancerHarness harness;
    harness.ListUpstreams(3);
    harness.ChangeUpstream(MakeUpstream("b", state));
    EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  }
}

TEST(DrainingUpstream, IsGoneOnceAWholeListLeavesItOut) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("c")});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  EXPECT_GT(harness.ServeAndCount(30)["b"], 0);
}

TEST(DrainingUpstream, GetsNoRetry) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  harness.SendRequest(kIdempotent);
  const std::string other = harness.sent[0].upstream == "a" ? "b" : "a";
  harness.ChangeUpstream(MakeUpstream(other, UpstreamState::kDraining));
  harness.FinishAttempt(harness.sent[0], Outcome::kRejected);
  for (const SentAttempt& sent : harness.sent) EXPECT_NE(sent.upstream, other);
}

// ---- Operators' overrides hold ----

TEST(OperatorOverrides, DisabledUpstreamGetsNothingNewWhateverTheListSays) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.Handle(OperatorOverride{{"b"}, true});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("c")});
  UpstreamInfo anew = MakeUpstream("b");
  anew.started = harness.now;
  harness.ChangeUpstream(anew);
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.Advance(60s);
  harness.Handle(OperatorOverride{{"b"}, false});
  harness.Advance(60s);
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 10);
}

TEST(OperatorOverrides, DrainHoldsOnceTheUpstreamIsEnabled) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.ChangeUpstream(MakeUpstream("b", UpstreamState::kDraining));
  harness.Handle(OperatorOverride{{"b"}, false});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
}

TEST(OperatorOverrides, AllDisabledRejectsAtOnce) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  for (const char* id : {"a", "b"}) harness.Handle(OperatorOverride{{id}, true});
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.rejected.size(), 1U);
  EXPECT_GT(harness.last_retry_after, 0ms);
}

TEST(OperatorOverrides, EnabledUpstreamStartsSlowlyWithItsFailuresForgotten) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  EXPECT_EQ(harness.ServeAndCount(20)["b"], 0);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.Advance(1s);
  harness.Handle(OperatorOverride{{"b"}, false});
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += harness.ServeRequest() == "b";
    harness.Advance(10ms);
  }
  EXPECT_GT(taken, 0);
  EXPECT_LE(taken, 10);
}

// ---- Slow start is not overrun ----

TEST(SlowStartRules, TakesLessThanItsShareAtFirstAndItsShareInTheEnd) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {
    harness.ServeRequest();
    harness.Advance(10ms);
  }
  UpstreamInfo cold = MakeUpstream("cold");
  cold.started = harness.now;
  harness.ChangeUpstream(cold);
  std::map<std::string, int> spread;
  for (int i = 0; i < 100; ++i) {
    ++spread[harness.ServeRequest()];
    harness.Advance(10ms);
  }
  EXPECT_LE(spread["cold"], 8);
  harness.Advance(25s);
  spread.clear();
  for (int i = 0; i < 100; ++i) {
    ++spread[harness.ServeRequest()];
    harness.Advance(10ms);
  }
  EXPECT_GE(spread["cold"], 15);
}

TEST(SlowStartRules, BudgetHoldsWhenAllOthersAreGone) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 a second: 12.5 for each upstream
    harness.ServeRequest();
    harness.Advance(10ms);
  }
  UpstreamInfo cold = MakeUpstream("cold");
  cold.started = harness.now;
  harness.ReplaceList({cold});
  const std::size_t before = harness.sent.size();
  const TimePoint start = harness.now;
  while (harness.now < start + 1s) {
    harness.ServeRequest();
    harness.Advance(10ms);
  }
  // It can take 10% of a warm one's load, twice that topples it: at most 2 x 0.1 x 12.5 in the second.
  EXPECT_LE(harness.sent.size() - before, 3U);
}

TEST(SlowStartRules, RestartedSidecarDoesNotOverrunAWarmingUpstream) {
  BalancerHarness harness;
  UpstreamInfo cold = MakeUpstream("cold");
  cold.started = harness.now - 1s;
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kRestored;
  update.upstreams = {cold};
  harness.Handle(update);
  for (int i = 0; i < 50; ++i) harness.SendRequest(kIdempotent, 100ms);
  EXPECT_LE(harness.sent.size(), 1U);
}

}  // namespace
}  // namespace lb::testing

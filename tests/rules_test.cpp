// Invariants of the decision module: each request gets a final answer, no request takes effect twice, drains
// and operators' overrides are respected, and the slow-start budget is not exceeded. random_rules_test.cpp
// checks them over random sequences of events.
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

TEST(NoRequestIsLost, EmptyListRejectsByTheDeadline) {
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
    EXPECT_EQ(harness.sent.size(), 1U) << "nothing is sent after the final answer";
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

TEST(NoRequestIsLost, EndOfAnotherAttemptDoesNotEndAStreamedResponse) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  const RequestId id = harness.SendRequest(kIdempotent);
  // Late, and the upstream has served nothing else meanwhile: a hedged request is sent.
  harness.Advance(700ms);
  ASSERT_EQ(harness.sent.size(), 2U);
  harness.Handle(ResponseStarted{id, AttemptId{1}});
  EXPECT_EQ(harness.cancelled, (std::vector{std::pair{id, AttemptId{0}}}));
  harness.FinishAttempt(harness.sent[0], Outcome::kCancelled);
  harness.Advance(60s);
  EXPECT_EQ(harness.cancelled.size(), 1U);
  EXPECT_TRUE(harness.rejected.empty() && harness.failed.empty());
}

TEST(NoRequestIsLost, DeadlineOfAStreamedRequestCountsFromItsLastByte) {
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

TEST(NoDuplicateEffect, ConsumedBodyIsNotSentAgain) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  for (const bool body_consumed : {false, true}) {
    const std::size_t before = harness.sent.size();
    RequestArrived arrived;
    arrived.request = RequestId{body_consumed ? 88U : 77U};
    arrived.request_class = kIdempotent;
    arrived.deadline = harness.now + 2s;
    arrived.body_pending = true;
    harness.Handle(arrived);
    AttemptFinished finished{arrived.request, AttemptId{0}, Outcome::kConnectFailed, 1ms, false, {}, {},
                             body_consumed};
    harness.Handle(finished);
    EXPECT_EQ(harness.sent.size() - before, body_consumed ? 1U : 2U);
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

// ---- No request takes effect twice ----

TEST(NoDuplicateEffect, NonIdempotentRequestIsRetriedOnlyIfItDidNotRun) {
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
        << "a retry goes to another upstream if there is one";
  }
}

TEST(NoDuplicateEffect, KeyedRequestIsRetriedOnlyWithinItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    BalancerHarness harness;
    UpstreamInfo a = MakeUpstream("a"), b = MakeUpstream("b"), c = MakeUpstream("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    harness.ReplaceList({a, b, c});
    std::set<std::string> first_upstreams;
    for (int i = 0; i < 30; ++i) {
      // Fills the retry budget. The varying number of requests changes which upstream is next.
      for (int k = 0; k < 20 + i % 3; ++k) harness.ServeRequest();
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
      first_upstreams.insert(first.upstream);
      harness.Advance(3s);
    }
    EXPECT_EQ(first_upstreams.size(), 3U);
    EXPECT_TRUE(harness.rejected.empty())
        << "a rejection promises that a retry is harmless, which is certain only for key scope kAll";
  }
}

TEST(NoDuplicateEffect, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 300ms;
  BalancerHarness harness(settings);
  harness.ListUpstreams(3);
  harness.SendRequest(kKeyedAll);
  harness.now += 350ms;
  harness.FinishAttempt(harness.sent[0], Outcome::kError);
  EXPECT_EQ(harness.sent.size(), 1U);
}

// Establishing a connection may take longer than a short key window, after which the upstreams have forgotten
// the key.
TEST(NoDuplicateEffect, KeyedRetryBeginsWithinTheKeyWindowOfTheFirstAttemptThatMayHaveRun) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 400ms;
  settings.limits.connect_timeout = 5s;
  BalancerHarness harness(settings);
  harness.ListUpstreams(4);
  harness.SendRequest(kKeyedAll);
  ASSERT_EQ(harness.sent.size(), 1U);
  EXPECT_EQ(harness.sent[0].begin_within, Duration::max());
  harness.Advance(50ms);
  // The attempt did not run, so that no upstream has stored the key.
  harness.FinishAttempt(harness.sent[0], Outcome::kConnectFailed);
  ASSERT_EQ(harness.sent.size(), 2U);
  EXPECT_EQ(harness.sent[1].begin_within, Duration::max());
  for (std::size_t retry = 2; retry < 4; ++retry) {
    harness.Advance(60ms);
    harness.FinishAttempt(harness.sent[retry - 1], Outcome::kReset);
    ASSERT_EQ(harness.sent.size(), retry + 1);
    EXPECT_GT(harness.sent[retry].begin_within, Duration::zero());
    EXPECT_LT(harness.sent[retry].begin_within, harness.sent[1].at + 400ms - harness.now);
  }
}

TEST(NoDuplicateEffect, NoHedgedRequestIfHedgingIsNotAllowed) {
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

// ---- Drains are respected ----

TEST(DrainingUpstream, GetsNoAttemptOnceTheChangeIsReceived) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    BalancerHarness harness;
    harness.ListUpstreams(3);
    harness.ChangeUpstream(MakeUpstream("b", state));
    EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  }
}

TEST(DrainingUpstream, IsRemovedOnceAFullListOmitsIt) {
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

// ---- Operators' overrides are respected ----

TEST(OperatorOverrides, DisabledUpstreamGetsNoRequestsRegardlessOfTheList) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.Handle(OperatorOverride{{"b"}, true});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("c")});
  UpstreamInfo restarted = MakeUpstream("b");
  restarted.started = harness.now;
  harness.ChangeUpstream(restarted);
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
  harness.Advance(60s);
  harness.Handle(OperatorOverride{{"b"}, false});
  harness.Advance(60s);
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 10);
}

TEST(OperatorOverrides, DrainRemainsInForceAfterTheUpstreamIsEnabled) {
  BalancerHarness harness;
  harness.ListUpstreams(3);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.ChangeUpstream(MakeUpstream("b", UpstreamState::kDraining));
  harness.Handle(OperatorOverride{{"b"}, false});
  EXPECT_EQ(harness.ServeAndCount(30)["b"], 0);
}

TEST(OperatorOverrides, RequestsAreRejectedIfAllUpstreamsAreDisabled) {
  BalancerHarness harness;
  harness.ListUpstreams(2);
  for (const char* id : {"a", "b"}) harness.Handle(OperatorOverride{{id}, true});
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.rejected.size(), 1U);
  EXPECT_GT(harness.last_retry_after, 0ms);
}

TEST(OperatorOverrides, EnabledUpstreamIsReadmittedWithSlowStart) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.FailConsecutively("b", 5);
  EXPECT_EQ(harness.ServeAndCount(20)["b"], 0);
  harness.Handle(OperatorOverride{{"b"}, true});
  harness.Advance(1s);
  harness.Handle(OperatorOverride{{"b"}, false});
  int at_b = 0;
  for (int i = 0; i < 100; ++i) {
    at_b += harness.ServeRequest() == "b";
    harness.Advance(10ms);
  }
  EXPECT_GT(at_b, 0);
  EXPECT_LE(at_b, 10);
}

// ---- The slow-start budget is not exceeded ----

TEST(SlowStartBudget, UpstreamGetsASmallShareFirstAndItsFullShareInTheEnd) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {
    harness.ServeRequest();
    harness.Advance(10ms);
  }
  UpstreamInfo cold = MakeUpstream("cold");
  cold.started = harness.now;
  harness.ChangeUpstream(cold);
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < 100; ++i) {
    ++requests_by_upstream[harness.ServeRequest()];
    harness.Advance(10ms);
  }
  EXPECT_LE(requests_by_upstream["cold"], 8);
  harness.Advance(25s);
  requests_by_upstream.clear();
  for (int i = 0; i < 100; ++i) {
    ++requests_by_upstream[harness.ServeRequest()];
    harness.Advance(10ms);
  }
  EXPECT_GE(requests_by_upstream["cold"], 15);
}

TEST(SlowStartBudget, HoldsWhenAllOtherUpstreamsAreRemoved) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 requests per second: 12.5 for each upstream
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
  // The upstream can serve 10% of the load of a warm one, and twice that overloads it: at most 2 x 0.1 x 12.5
  // attempts are allowed in the second.
  EXPECT_LE(harness.sent.size() - before, 3U);
}

TEST(SlowStartBudget, RestartedSidecarDoesNotOverloadAWarmingUpstream) {
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

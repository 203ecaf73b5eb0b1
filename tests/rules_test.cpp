// The rules that hold whatever happens: no request is lost, no effect happens twice, drains and operators'
// overrides are kept, slow start is not overrun. random_rules_test.cpp checks them over random histories.
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/helpers.h"

namespace lb::testing {
namespace {

const Outcome kMayHaveRun[] = {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled};
const Outcome kDidNotRun[] = {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent};

// ---- No request is lost ----

TEST(NoRequestIsLost, EmptyListRejectsAtTheLatestAtTheDeadline) {
  World world;
  world.List(0);
  world.Arrive(kNotIdempotent);
  EXPECT_EQ(world.sent.size(), 0U);
  world.Advance(2s);
  EXPECT_EQ(world.refused.size() + world.failed.size(), 1U);
}

TEST(NoRequestIsLost, UnansweredAttemptFailsAtTheClientsDeadline) {
  for (const ClassId cls : {kIdempotent, kNotIdempotent, kKeyedAll, kKeyedZone, kKeyedCell}) {
    World world;
    world.List(1);
    world.Arrive(cls, 700ms);
    ASSERT_EQ(world.sent.size(), 1U);
    world.Advance(699ms);
    EXPECT_TRUE(world.failed.empty());
    world.Advance(2ms);
    EXPECT_EQ(world.failed.size() + world.refused.size(), 1U);
    EXPECT_EQ(world.sent.size(), 1U) << "nothing is sent after the end";
  }
}

TEST(NoRequestIsLost, LateOutcomesAndTimersOfAnEndedRequestAreIgnored) {
  World world;
  world.List(2);
  const RequestId id = world.Arrive(kNotIdempotent, 500ms);
  world.Do(RequestCancelled{id});
  world.Finish(world.sent[0], Outcome::kError, true);
  world.Finish(world.sent[0], Outcome::kError, true);
  world.Do(RequestCancelled{id});
  world.Do(TimerFired{999999});
  world.Do(AttemptFinished{RequestId{424242}, AttemptId{0}, Outcome::kError, 1ms, false, {}});
  world.Advance(3s);
  EXPECT_EQ(world.sent.size(), 1U);
  EXPECT_TRUE(world.failed.empty());
  EXPECT_TRUE(world.refused.empty());
}

TEST(NoRequestIsLost, StreamedResponseHasNoDeadlineAndEndsOnce) {
  World world;
  world.List(2);
  const RequestId id = world.Arrive(kIdempotent, 500ms);
  world.Do(ResponseStarted{id, AttemptId{0}});
  world.Advance(3s);
  EXPECT_TRUE(world.failed.empty() && world.refused.empty());
  world.Finish(world.sent[0], Outcome::kServed);
  world.Advance(1s);
  EXPECT_TRUE(world.failed.empty() && world.refused.empty());
  EXPECT_EQ(world.sent.size(), 1U);
}

TEST(NoRequestIsLost, EndOfAnotherAttemptDoesNotDisturbAStreamedResponse) {
  World world;
  world.List(2);
  const RequestId id = world.Arrive(kIdempotent);
  world.Advance(700ms);  // late, and its upstream answers nothing else: a copy goes out
  ASSERT_EQ(world.sent.size(), 2U);
  world.Do(ResponseStarted{id, AttemptId{1}});
  EXPECT_EQ(world.cancelled, (std::vector{std::pair{id, AttemptId{0}}}));
  world.Finish(world.sent[0], Outcome::kCancelled);
  world.Advance(60s);
  EXPECT_EQ(world.cancelled.size(), 1U);
  EXPECT_TRUE(world.refused.empty() && world.failed.empty());
}

TEST(NoRequestIsLost, StreamedRequestHasItsTimeFromItsLastByte) {
  World world;
  world.List(2);
  RequestArrived arrived;
  arrived.request = RequestId{77};
  arrived.request_class = kNotIdempotent;
  arrived.deadline = world.now + 2s;
  arrived.body_pending = true;
  world.Do(arrived);
  ASSERT_EQ(world.sent.size(), 1U);
  EXPECT_EQ(world.sent[0].timeout, Duration(2s));
  world.Advance(30s);
  EXPECT_TRUE(world.refused.empty() && world.failed.empty());
  world.Do(RequestCompleted{RequestId{77}, world.now + 2s});
  world.Advance(1900ms);
  EXPECT_TRUE(world.failed.empty());
  world.Advance(200ms);
  EXPECT_EQ(world.failed.size(), 1U);
}

TEST(NoEffectTwice, ConsumedBodyIsNotSentAgain) {
  World world;
  world.List(3);
  for (const bool spent : {false, true}) {
    const std::size_t before = world.sent.size();
    RequestArrived arrived;
    arrived.request = RequestId{spent ? 88U : 77U};
    arrived.request_class = kIdempotent;
    arrived.deadline = world.now + 2s;
    arrived.body_pending = true;
    world.Do(arrived);
    AttemptFinished finished{
        arrived.request, AttemptId{0}, Outcome::kConnectFailed, 1ms, false, {}, {}, spent};
    world.Do(finished);
    EXPECT_EQ(world.sent.size() - before, spent ? 1U : 2U);
  }
  EXPECT_EQ(world.refused.size(), 1U);
}

TEST(NoRequestIsLost, ResetNonIdempotentAttemptFailsTheRequest) {
  World world;
  world.List(3);
  const RequestId id = world.Arrive(kNotIdempotent);
  world.now += 10ms;
  world.Finish(world.sent[0], Outcome::kReset);
  ASSERT_EQ(world.failed.size(), 1U);
  EXPECT_EQ(world.failed[0], id);
}

// ---- No effect happens twice ----

TEST(NoEffectTwice, NonIdempotentRequestIsRetriedOnlyWhereItDidNotRun) {
  for (const Outcome outcome : kMayHaveRun) {
    World world;
    world.List(3);
    world.Arrive(kNotIdempotent);
    world.Finish(world.sent[0], outcome);
    world.Advance(3s);
    EXPECT_EQ(world.sent.size(), 1U);
    EXPECT_TRUE(world.refused.empty());
    EXPECT_EQ(world.failed.size(), 1U);
  }
  for (const Outcome outcome : kDidNotRun) {
    World world;
    world.List(3);
    world.Arrive(kNotIdempotent);
    world.Finish(world.sent[0], outcome);
    ASSERT_EQ(world.sent.size(), 2U);
    EXPECT_NE(world.sent[0].upstream, world.sent[1].upstream) << "never the same again while another stands";
  }
}

TEST(NoEffectTwice, KeyedRequestStaysInsideItsKeyScope) {
  for (const bool by_zone : {true, false}) {
    World world;
    UpstreamInfo a = Up("a"), b = Up("b"), c = Up("c");
    a.zone = b.zone = "x";
    c.zone = "y";
    a.cell = b.cell = 1;
    c.cell = 2;
    world.Full({a, b, c});
    std::set<std::string> seen;
    for (int i = 0; i < 30; ++i) {
      for (int k = 0; k < 20 + i % 3; ++k) world.Serve();  // earns retries, at changing turns
      const std::size_t before = world.sent.size();
      world.Arrive(by_zone ? kKeyedZone : kKeyedCell);
      const Sent first = world.sent[before];
      world.now += 1ms;
      world.Finish(first, Outcome::kCancelled);
      if (first.upstream == "c") {
        for (std::size_t k = before; k < world.sent.size(); ++k) EXPECT_EQ(world.sent[k].upstream, "c");
      } else {
        ASSERT_GT(world.sent.size(), before + 1);
        EXPECT_NE(world.sent[before + 1].upstream, "c");
      }
      world.Answer(before + 1);
      seen.insert(first.upstream);
      world.Advance(3s);
    }
    EXPECT_EQ(seen.size(), 3U);
    EXPECT_TRUE(world.refused.empty()) << "outside group all, a refusal could be untrue";
  }
}

TEST(NoEffectTwice, KeyedRequestIsNotRetriedAfterItsKeyWindow) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 300ms;
  World world(settings);
  world.List(3);
  world.Arrive(kKeyedAll);
  world.now += 350ms;
  world.Finish(world.sent[0], Outcome::kError);
  EXPECT_EQ(world.sent.size(), 1U);
}

// However short it is: a connection may take longer to come up than the upstreams remember a key.
TEST(NoEffectTwice, KeyedRetryBeginsInsideTheKeyWindowOfTheFirstThatMayHaveRun) {
  Settings settings = DefaultSettings();
  settings.classes[2].key_window = 400ms;
  settings.limits.connect_timeout = 5s;
  World world(settings);
  world.List(4);
  world.Arrive(kKeyedAll);
  ASSERT_EQ(world.sent.size(), 1U);
  EXPECT_EQ(world.sent[0].begin_within, Duration::max());
  world.Advance(50ms);
  world.Finish(world.sent[0], Outcome::kConnectFailed);  // it did not run: nothing is remembered
  ASSERT_EQ(world.sent.size(), 2U);
  EXPECT_EQ(world.sent[1].begin_within, Duration::max());
  for (std::size_t copy = 2; copy < 4; ++copy) {
    world.Advance(60ms);
    world.Finish(world.sent[copy - 1], Outcome::kReset);
    ASSERT_EQ(world.sent.size(), copy + 1);
    EXPECT_GT(world.sent[copy].begin_within, Duration::zero());
    EXPECT_LT(world.sent[copy].begin_within, world.sent[1].at + 400ms - world.now);
  }
}

TEST(NoEffectTwice, NoHedgedRequestWhereHedgingIsNotAllowed) {
  Settings settings = DefaultSettings();
  settings.limits.hedging_allowed = false;
  World world(settings);
  world.List(4);
  for (int i = 0; i < 50; ++i) world.Serve();
  const std::size_t before = world.sent.size();
  world.Arrive(kIdempotent);
  world.Advance(399ms);
  EXPECT_EQ(world.sent.size(), before + 1);
}

// ---- Drains are kept ----

TEST(DrainingUpstream, NothingNewOnceTheChangeIsKnown) {
  for (const UpstreamState state : {UpstreamState::kDraining, UpstreamState::kGone}) {
    World world;
    world.List(3);
    world.Change(Up("b", state));
    EXPECT_EQ(world.Spread(30)["b"], 0);
  }
}

TEST(DrainingUpstream, MissingFromAFullListIsGone) {
  World world;
  world.List(3);
  world.Full({Up("a"), Up("c")});
  EXPECT_EQ(world.Spread(30)["b"], 0);
  world.Full({Up("a"), Up("b"), Up("c")});
  EXPECT_GT(world.Spread(30)["b"], 0);
}

TEST(DrainingUpstream, RetryDoesNotGoToADrainingUpstream) {
  World world;
  world.List(2);
  world.Arrive(kIdempotent);
  const std::string other = world.sent[0].upstream == "a" ? "b" : "a";
  world.Change(Up(other, UpstreamState::kDraining));
  world.Finish(world.sent[0], Outcome::kRejected);
  for (const Sent& sent : world.sent) EXPECT_NE(sent.upstream, other);
}

// ---- Operators' overrides hold ----

TEST(OperatorOverrides, DisabledUpstreamGetsNothingNewWhateverTheListSays) {
  World world;
  world.List(3);
  world.Do(OperatorOverride{{"b"}, true});
  world.Do(OperatorOverride{{"b"}, true});
  EXPECT_EQ(world.Spread(30)["b"], 0);
  world.Full({Up("a"), Up("b"), Up("c")});
  EXPECT_EQ(world.Spread(30)["b"], 0);
  world.Full({Up("a"), Up("c")});
  UpstreamInfo anew = Up("b");
  anew.started = world.now;
  world.Change(anew);
  EXPECT_EQ(world.Spread(30)["b"], 0);
  world.Advance(60s);
  world.Do(OperatorOverride{{"b"}, false});
  world.Advance(60s);
  EXPECT_EQ(world.Spread(30)["b"], 10);
}

TEST(OperatorOverrides, DrainHoldsOnceTheUpstreamIsEnabled) {
  World world;
  world.List(3);
  world.Do(OperatorOverride{{"b"}, true});
  world.Change(Up("b", UpstreamState::kDraining));
  world.Do(OperatorOverride{{"b"}, false});
  EXPECT_EQ(world.Spread(30)["b"], 0);
}

TEST(OperatorOverrides, AllDisabledRejectsAtOnce) {
  World world;
  world.List(2);
  for (const char* id : {"a", "b"}) world.Do(OperatorOverride{{id}, true});
  world.Arrive(kNotIdempotent);
  EXPECT_EQ(world.refused.size(), 1U);
  EXPECT_GT(world.last_retry_after, 0ms);
}

TEST(OperatorOverrides, EnabledUpstreamStartsSlowlyWithItsFailuresForgotten) {
  World world;
  world.List(4);
  world.FailRun("b", 5);
  EXPECT_EQ(world.Spread(20)["b"], 0);
  world.Do(OperatorOverride{{"b"}, true});
  world.Advance(1s);
  world.Do(OperatorOverride{{"b"}, false});
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += world.Serve() == "b";
    world.Advance(10ms);
  }
  EXPECT_GT(taken, 0);
  EXPECT_LE(taken, 10);
}

// ---- Slow start is not overrun ----

TEST(SlowStartRules, TakesLessThanItsShareAtFirstAndItsShareInTheEnd) {
  World world;
  world.List(4);
  for (int i = 0; i < 2000; ++i) {
    world.Serve();
    world.Advance(10ms);
  }
  UpstreamInfo cold = Up("cold");
  cold.started = world.now;
  world.Change(cold);
  std::map<std::string, int> spread;
  for (int i = 0; i < 100; ++i) {
    ++spread[world.Serve()];
    world.Advance(10ms);
  }
  EXPECT_LE(spread["cold"], 8);
  world.Advance(25s);
  spread.clear();
  for (int i = 0; i < 100; ++i) {
    ++spread[world.Serve()];
    world.Advance(10ms);
  }
  EXPECT_GE(spread["cold"], 15);
}

TEST(SlowStartRules, BudgetHoldsWhenAllOthersAreGone) {
  World world;
  world.List(4);
  for (int i = 0; i < 2000; ++i) {  // about 50 a second: 12.5 for each upstream
    world.Serve();
    world.Advance(10ms);
  }
  UpstreamInfo cold = Up("cold");
  cold.started = world.now;
  world.Full({cold});
  const std::size_t before = world.sent.size();
  const TimePoint start = world.now;
  while (world.now < start + 1s) {
    world.Serve();
    world.Advance(10ms);
  }
  // It can take 10% of a warm one's load, twice that topples it: at most 2 x 0.1 x 12.5 in the second.
  EXPECT_LE(world.sent.size() - before, 3U);
}

TEST(SlowStartRules, RestartedSidecarDoesNotOverrunAWarmingUpstream) {
  World world;
  UpstreamInfo cold = Up("cold");
  cold.started = world.now - 1s;
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kRestored;
  update.upstreams = {cold};
  world.Do(update);
  for (int i = 0; i < 50; ++i) world.Arrive(kIdempotent, 100ms);
  EXPECT_LE(world.sent.size(), 1U);
}

}  // namespace
}  // namespace lb::testing

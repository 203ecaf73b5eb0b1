// Load shedding and late responses: what is rejected, when, and what is still waited for.
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

// Each client's repeat is harmless; all clients' repeats of what can no longer be in time are the overload.
TEST(LoadShedding, RetryAfterIsTheLongestWaitWithJitter) {
  std::set<Duration> waits;
  for (const auto& harness : MakeFleet(100)) {
    harness->ListUpstreams(0);
    harness->SendRequest(kNotIdempotent);
    ASSERT_EQ(harness->rejected.size(), 1U) << "at once";
    EXPECT_LE(harness->last_retry_after, DefaultSettings().limits.max_retry_after);
    EXPECT_GE(harness->last_retry_after, DefaultSettings().limits.max_retry_after * 9 / 10);
    waits.insert(harness->last_retry_after);
  }
  EXPECT_GT(waits.size(), 90U);
}

// A client repeats what was refused or came to nothing: where many answers are late, an aim or more ago.
TEST(LoadShedding, ClientRetriesAreRejectedAtOnceWhileManyAreLate) {
  BalancerHarness harness;
  harness.ListUpstreams(6);
  const auto repeat = [&harness] {
    const std::size_t refused = harness.rejected.size();
    RequestArrived e;
    e.request = RequestId{1000 + refused + harness.sent.size()};
    e.request_class = kNotIdempotent;
    e.deadline = harness.now + 2s;
    e.client_retry = true;
    harness.Handle(e);
    return harness.rejected.size() > refused;
  };
  for (int i = 0; i < 30; ++i) harness.ServeRequest(kNotIdempotent);
  EXPECT_FALSE(repeat()) << "all is well";
  for (int i = 0; i < 8; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 350ms;  // of an aim of 400 ms
    harness.FinishAttemptsFrom(before);
  }
  EXPECT_TRUE(repeat());
  EXPECT_NE(harness.ServeRequest(kNotIdempotent), "") << "first tries are taken";
}

TEST(LoadSheddingByReports, RejectsWhereAllProbedUpstreamsHoldTooMuch) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const RequestId late = harness.SendRequest(kNotIdempotent);  // its aim is 400 ms
  for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 40, 50);
  EXPECT_TRUE(harness.sent.empty());
  ASSERT_EQ(harness.rejected.size(), 1U);
  EXPECT_EQ(harness.rejected.back(), late);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=overload"));
  harness.probed.clear();
  harness.SendRequest(kNotIdempotent);
  const std::vector<std::string> asked = harness.probed;
  for (const std::string& id : asked) ReportLoad(harness, id, id == asked[2] ? 10 : 40, 50);
  ASSERT_EQ(harness.sent.size(), 1U);
  EXPECT_EQ(harness.sent.back().upstream, asked[2]);
}

// Calls that were given up still fill upstreams that go on working on them: only what they say they hold
// shows it, and where no rate is told, what that means is learnt from the answers.
TEST(LoadSheddingByReports, UnreportedRateIsLearntFromResponses) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const auto arrive = [&harness](double held) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, held);
    return harness.sent.size() > before;
  };
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(arrive(3));
    harness.now += 100ms;  // for four calls; the aim is 400 ms
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  }
  EXPECT_TRUE(harness.rejected.empty());
  EXPECT_FALSE(arrive(30));
  EXPECT_EQ(harness.rejected.size(), 1U);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=overload"));
  EXPECT_TRUE(arrive(3));
}

TEST(LoadSheddingByReports, NonIdempotentRequestFailsAtItsObjectiveUnderOverloadOnly) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.sent.back().timeout, Duration(2s));
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their aim of 400 ms
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.Advance(500ms);
    if (harness.sent.size() > before) harness.FinishAttempt(harness.sent[before], Outcome::kServed);
  }
  const std::size_t before = harness.sent.size();
  for (int i = 0; i < 10 && harness.sent.size() == before; ++i) harness.SendRequest(kNotIdempotent);
  ASSERT_GT(harness.sent.size(), before);
  EXPECT_EQ(harness.sent.back().timeout, Duration(400ms));
}

// Cancelled at its aim and begun anew, a call that is worth something late would load upstreams twice.
TEST(LateResponses, AreWaitedForWhereTheyHaveAPriorityWeight) {
  for (const bool hedging_allowed : {false, true}) {
    Settings settings = DefaultSettings();
    settings.limits.hedging_allowed = hedging_allowed;
    settings.classes[static_cast<std::size_t>(kIdempotent)].late_priority_weight = 0.25;
    BalancerHarness harness(settings);
    harness.ListUpstreams(4);
    harness.SendRequest(kIdempotent);
    EXPECT_EQ(harness.sent.back().timeout, Duration(2s)) << "until its client gives up";
    harness.SendRequest(kKeyedAll);
    EXPECT_EQ(harness.sent.back().timeout, Duration(400ms)) << "its aim: nothing is due for it later";
  }
}

}  // namespace
}  // namespace lb::testing

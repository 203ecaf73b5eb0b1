// Load shedding and late responses: which requests are rejected, when, and how long an attempt is waited for.
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

// One client's retry is harmless, but the retries of all clients, whose requests can no longer be on time,
// sustain the overload. Retry-After is therefore the maximum, and jitter spreads the retries.
TEST(LoadShedding, RetryAfterIsTheMaximumWithJitter) {
  std::set<Duration> waits;
  for (const auto& harness : MakeFleet(100)) {
    harness->ListUpstreams(0);
    harness->SendRequest(kNotIdempotent);
    ASSERT_EQ(harness->rejected.size(), 1U) << "rejected immediately";
    EXPECT_LE(harness->last_retry_after, DefaultSettings().limits.max_retry_after);
    EXPECT_GE(harness->last_retry_after, DefaultSettings().limits.max_retry_after * 9 / 10);
    waits.insert(harness->last_retry_after);
  }
  EXPECT_GT(waits.size(), 90U);
}

// Clients retry requests that were rejected or failed. While many responses are late, the first try was at
// least a latency objective ago, so that the retry is late already.
TEST(LoadShedding, ClientRetriesAreRejectedWhileManyResponsesAreLate) {
  BalancerHarness harness;
  harness.ListUpstreams(6);
  const auto retry_is_rejected = [&harness] {
    const std::size_t rejected_before = harness.rejected.size();
    RequestArrived e;
    e.request = RequestId{1000 + rejected_before + harness.sent.size()};
    e.request_class = kNotIdempotent;
    e.deadline = harness.now + 2s;
    e.client_retry = true;
    harness.Handle(e);
    return harness.rejected.size() > rejected_before;
  };
  for (int i = 0; i < 30; ++i) harness.ServeRequest(kNotIdempotent);
  EXPECT_FALSE(retry_is_rejected()) << "retries are accepted while responses are on time";
  for (int i = 0; i < 8; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    harness.now += 350ms;  // close to the latency objective of 400 ms
    harness.FinishAttemptsFrom(before);
  }
  EXPECT_TRUE(retry_is_rejected());
  EXPECT_NE(harness.ServeRequest(kNotIdempotent), "") << "first tries are accepted";
}

TEST(LoadSheddingByReports, RejectsIfAllProbedUpstreamsAreOverloaded) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const RequestId request = harness.SendRequest(kNotIdempotent);  // the latency objective is 400 ms
  for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 40, 50);
  EXPECT_TRUE(harness.sent.empty());
  ASSERT_EQ(harness.rejected.size(), 1U);
  EXPECT_EQ(harness.rejected.back(), request);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=overload"));
  harness.probed.clear();
  harness.SendRequest(kNotIdempotent);
  const std::vector<std::string> candidates = harness.probed;
  for (const std::string& id : candidates) ReportLoad(harness, id, id == candidates[2] ? 10 : 40, 50);
  ASSERT_EQ(harness.sent.size(), 1U);
  EXPECT_EQ(harness.sent.back().upstream, candidates[2]);
}

// Upstreams may go on working on attempts that have timed out; only the requests in flight that they report
// show this load. If a report has no service rate, the latency at a reported load is estimated from
// the responses.
TEST(LoadSheddingByReports, UnreportedRateIsEstimatedFromResponses) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const auto is_accepted = [&harness](double in_flight) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, in_flight);
    return harness.sent.size() > before;
  };
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(is_accepted(3));
    harness.now += 100ms;  // with four requests in flight; the latency objective is 400 ms
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  }
  EXPECT_TRUE(harness.rejected.empty());
  EXPECT_FALSE(is_accepted(30));
  EXPECT_EQ(harness.rejected.size(), 1U);
  EXPECT_TRUE(harness.HasLogged("shedding_started reason=overload"));
  EXPECT_TRUE(is_accepted(3));
}

TEST(LoadSheddingByReports, NonIdempotentRequestFailsAtItsObjectiveUnderOverloadOnly) {
  BalancerHarness harness;
  harness.ListUpstreams(4);
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.sent.back().timeout, Duration(2s));
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // responses later than the latency objective of 400 ms
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

// A request that has a priority weight after its latency objective would load upstreams twice if it were
// cancelled at the objective and sent again.
TEST(LateResponses, AreWaitedForIfTheyHaveAPriorityWeight) {
  for (const bool hedging_allowed : {false, true}) {
    Settings settings = DefaultSettings();
    settings.limits.hedging_allowed = hedging_allowed;
    settings.classes[static_cast<std::size_t>(kIdempotent)].late_priority_weight = 0.25;
    BalancerHarness harness(settings);
    harness.ListUpstreams(4);
    harness.SendRequest(kIdempotent);
    EXPECT_EQ(harness.sent.back().timeout, Duration(2s)) << "until the client's deadline";
    harness.SendRequest(kKeyedAll);
    EXPECT_EQ(harness.sent.back().timeout, Duration(400ms))
        << "the latency objective: a late response has no priority weight";
  }
}

}  // namespace
}  // namespace lb::testing

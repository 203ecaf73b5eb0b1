// Load probes: when they are sent, and which upstream gets a request after its candidates have reported their
// load.
#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

TEST(LoadProbes, LeastLoadedCandidateGetsTheRequest) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    ASSERT_EQ(harness.probed.size(), 3U);
    ASSERT_EQ(harness.sent.size(), before) << "the request waits for the reports";
    const std::vector<std::string> candidates = harness.probed;
    ReportLoad(harness, candidates[0], 9);
    ReportLoad(harness, candidates[1], 2);
    ReportLoad(harness, candidates[2], 5);
    ASSERT_EQ(harness.sent.size(), before + 1);
    EXPECT_EQ(harness.sent.back().upstream, candidates[1]);
    harness.now += 10ms;
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  }
}

// A probe costs 0.08 of a request's value, as in a large fleet: a request is worth about a dozen probes.
TEST(LoadProbes, CostlyProbesAreSentOnlyForRequestsAtRiskOfBeingLate) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.probe = 0.08;
  BalancerHarness harness(settings);
  harness.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) EXPECT_NE(harness.ServeRequest(kNotIdempotent), "");
  EXPECT_TRUE(harness.probed.empty()) << "no probes while all responses are on time";
  for (int i = 0; i < 6; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 0);
    harness.probed.clear();
    ASSERT_EQ(harness.sent.size(), before + 1);
    harness.now += 600ms;
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);  // the latency objective is 400 ms
  }
  harness.SendRequest(kNotIdempotent);
  ASSERT_EQ(harness.probed.size(), 2U) << "the selected upstream and one alternative";
  const std::vector<std::string> candidates = harness.probed;
  ReportLoad(harness, candidates[0], 1);
  ReportLoad(harness, candidates[1], 0);
  EXPECT_EQ(harness.sent.back().upstream, candidates[1]);
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  harness.probed.clear();
  harness.Advance(60s);  // the late responses are too old to count
  EXPECT_NE(harness.ServeRequest(kNotIdempotent), "");
  EXPECT_TRUE(harness.probed.empty());
}

TEST(LoadProbes, UnansweredProbeDelaysARequestBrieflyAndCountsAsFailure) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  harness.SendRequest(kNotIdempotent);
  const std::string unanswered = harness.probed[0], answered = harness.probed[1];
  ReportLoad(harness, answered, 50);
  EXPECT_TRUE(harness.sent.empty());
  harness.Advance(30ms);
  ASSERT_EQ(harness.sent.size(), 1U) << "one attempt: a request that is not late is not hedged";
  EXPECT_EQ(harness.sent.back().upstream, answered) << "the upstream that reported its load";
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) harness.Handle(LoadProbeFinished{{unanswered}, Outcome::kTimeout, 400ms, {}});
  harness.probed.clear();
  for (int i = 0; i < 5; ++i) harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(std::count(harness.probed.begin(), harness.probed.end(), unanswered), 0)
      << "a suspected upstream is not probed";
}

TEST(LoadProbes, BurstSharesOneProbePerUpstream) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  for (int i = 0; i < 30; ++i) harness.SendRequest(kNotIdempotent);
  std::set<std::string> candidates(harness.probed.begin(), harness.probed.end());
  EXPECT_EQ(harness.probed.size(), candidates.size()) << "one probe for each upstream";
  EXPECT_TRUE(harness.sent.empty());
  for (const std::string& id : candidates) ReportLoad(harness, id, 1);
  EXPECT_EQ(harness.sent.size(), 30U);
  std::map<std::string, int> attempts_by_upstream;
  for (const SentAttempt& sent : harness.sent)
    EXPECT_LE(++attempts_by_upstream[sent.upstream], 8) << "the burst is spread over the upstreams";
  harness.probed.clear();
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.probed.size(), 3U) << "new probes are sent once the reports have arrived";
}

TEST(LoadProbes, RequestCancelledWhileItWaitsIsNotSent) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const RequestId cancelled = harness.SendRequest(kNotIdempotent);
  harness.Handle(RequestCancelled{cancelled});
  for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 1);
  harness.Advance(3s);
  EXPECT_TRUE(harness.sent.empty());
  EXPECT_TRUE(harness.rejected.empty());
}

}  // namespace
}  // namespace lb::testing

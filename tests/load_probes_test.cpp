// Load probes: which upstream takes a request whose candidates report their load.
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

TEST(LoadProbes, LeastLoadedCandidateTakesTheRequest) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    ASSERT_EQ(harness.probed.size(), 3U);
    ASSERT_EQ(harness.sent.size(), before) << "waits for the reports";
    const std::vector<std::string> asked = harness.probed;
    ReportLoad(harness, asked[0], 9);
    ReportLoad(harness, asked[1], 2);
    ReportLoad(harness, asked[2], 5);
    ASSERT_EQ(harness.sent.size(), before + 1);
    EXPECT_EQ(harness.sent.back().upstream, asked[1]);
    harness.now += 10ms;
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  }
}

// With a probe's price as in a large fleet, where a call is worth a dozen probes.
TEST(LoadProbes, CostlyProbesAreSentForRequestsAtRiskOnly) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.probe = 0.08;
  BalancerHarness harness(settings);
  harness.ListUpstreams(6);
  for (int i = 0; i < 12; ++i) EXPECT_NE(harness.ServeRequest(kNotIdempotent), "");
  EXPECT_TRUE(harness.probed.empty()) << "all in time: nothing to learn";
  for (int i = 0; i < 6; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 0);
    harness.probed.clear();
    ASSERT_EQ(harness.sent.size(), before + 1);
    harness.now += 600ms;
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);  // its aim was 400 ms
  }
  harness.SendRequest(kNotIdempotent);
  ASSERT_EQ(harness.probed.size(), 2U) << "the pick and one to turn to";
  const std::vector<std::string> asked = harness.probed;
  ReportLoad(harness, asked[0], 1);
  ReportLoad(harness, asked[1], 0);
  EXPECT_EQ(harness.sent.back().upstream, asked[1]);
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  harness.probed.clear();
  harness.Advance(60s);  // what was seen then tells nothing any more
  EXPECT_NE(harness.ServeRequest(kNotIdempotent), "");
  EXPECT_TRUE(harness.probed.empty());
}

TEST(LoadProbes, SilentProbeDelaysARequestBrieflyAndCountsAsFailure) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  harness.SendRequest(kNotIdempotent);
  const std::string silent = harness.probed[0], well = harness.probed[1];
  ReportLoad(harness, well, 50);
  EXPECT_TRUE(harness.sent.empty());
  harness.Advance(30ms);
  ASSERT_EQ(harness.sent.size(), 1U) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(harness.sent.back().upstream, well) << "of those that answered";
  harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) harness.Handle(LoadProbeFinished{{silent}, Outcome::kTimeout, 400ms, {}});
  harness.probed.clear();
  for (int i = 0; i < 5; ++i) harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(std::count(harness.probed.begin(), harness.probed.end(), silent), 0) << "a suspect now";
}

TEST(LoadProbes, BurstSharesTheReportsOfOneProbeEach) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  for (int i = 0; i < 30; ++i) harness.SendRequest(kNotIdempotent);
  std::set<std::string> asked(harness.probed.begin(), harness.probed.end());
  EXPECT_EQ(harness.probed.size(), asked.size()) << "no upstream twice";
  EXPECT_TRUE(harness.sent.empty());
  for (const std::string& id : asked) ReportLoad(harness, id, 1);
  EXPECT_EQ(harness.sent.size(), 30U);
  std::map<std::string, int> spread;
  for (const SentAttempt& sent : harness.sent)
    EXPECT_LE(++spread[sent.upstream], 8) << "not all to the same one";
  harness.probed.clear();
  harness.SendRequest(kNotIdempotent);
  EXPECT_EQ(harness.probed.size(), 3U) << "asked anew once the answers are in";
}

TEST(LoadProbes, RequestThatEndsWhileItWaitsIsNotSent) {
  BalancerHarness harness(SettingsWithLoadReports());
  harness.ListUpstreams(6);
  const RequestId gone = harness.SendRequest(kNotIdempotent);
  harness.Handle(RequestCancelled{gone});
  for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 1);
  harness.Advance(3s);
  EXPECT_TRUE(harness.sent.empty());
  EXPECT_TRUE(harness.rejected.empty());
}

}  // namespace
}  // namespace lb::testing

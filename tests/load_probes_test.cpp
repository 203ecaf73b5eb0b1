// Load probes: which upstream takes a request whose candidates report their load.
#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"
#include "tests/helpers.h"

namespace lb::testing {
namespace {

TEST(LoadProbes, LeastLoadedCandidateTakesTheRequest) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 12; ++i) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    ASSERT_EQ(w.probed.size(), 3U);
    ASSERT_EQ(w.sent.size(), before) << "waits for the reports";
    const std::vector<std::string> asked = w.probed;
    Report(w, asked[0], 9);
    Report(w, asked[1], 2);
    Report(w, asked[2], 5);
    ASSERT_EQ(w.sent.size(), before + 1);
    EXPECT_EQ(w.sent.back().upstream, asked[1]);
    w.now += 10ms;
    w.Finish(w.sent.back(), Outcome::kServed);
  }
}

// With a probe's price as in a large fleet, where a call is worth a dozen probes.
TEST(LoadProbes, CostlyProbesAreSentForRequestsAtRiskOnly) {
  Settings settings = Reporting();
  settings.decision_costs.probe = 0.08;
  World w(settings);
  w.List(6);
  for (int i = 0; i < 12; ++i) EXPECT_NE(w.Serve(kNotIdempotent), "");
  EXPECT_TRUE(w.probed.empty()) << "all in time: nothing to learn";
  for (int i = 0; i < 6; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 0);
    w.probed.clear();
    ASSERT_EQ(w.sent.size(), before + 1);
    w.now += 600ms;
    w.Finish(w.sent.back(), Outcome::kServed);  // its aim was 400 ms
  }
  w.Arrive(kNotIdempotent);
  ASSERT_EQ(w.probed.size(), 2U) << "the pick and one to turn to";
  const std::vector<std::string> asked = w.probed;
  Report(w, asked[0], 1);
  Report(w, asked[1], 0);
  EXPECT_EQ(w.sent.back().upstream, asked[1]);
  w.Finish(w.sent.back(), Outcome::kServed);
  w.probed.clear();
  w.Advance(60s);  // what was seen then tells nothing any more
  EXPECT_NE(w.Serve(kNotIdempotent), "");
  EXPECT_TRUE(w.probed.empty());
}

TEST(LoadProbes, SilentProbeDelaysARequestBrieflyAndCountsAsFailure) {
  World w(Reporting());
  w.List(6);
  w.Arrive(kNotIdempotent);
  const std::string silent = w.probed[0], well = w.probed[1];
  Report(w, well, 50);
  EXPECT_TRUE(w.sent.empty());
  w.Advance(30ms);
  ASSERT_EQ(w.sent.size(), 1U) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(w.sent.back().upstream, well) << "of those that answered";
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) w.Do(LoadProbeFinished{{silent}, Outcome::kTimeout, 400ms, {}});
  w.probed.clear();
  for (int i = 0; i < 5; ++i) w.Arrive(kNotIdempotent);
  EXPECT_EQ(std::count(w.probed.begin(), w.probed.end(), silent), 0) << "a suspect now";
}

TEST(LoadProbes, BurstSharesTheReportsOfOneProbeEach) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 30; ++i) w.Arrive(kNotIdempotent);
  std::set<std::string> asked(w.probed.begin(), w.probed.end());
  EXPECT_EQ(w.probed.size(), asked.size()) << "no upstream twice";
  EXPECT_TRUE(w.sent.empty());
  for (const std::string& id : asked) Report(w, id, 1);
  EXPECT_EQ(w.sent.size(), 30U);
  std::map<std::string, int> spread;
  for (const Sent& sent : w.sent) EXPECT_LE(++spread[sent.upstream], 8) << "not all to the same one";
  w.probed.clear();
  w.Arrive(kNotIdempotent);
  EXPECT_EQ(w.probed.size(), 3U) << "asked anew once the answers are in";
}

TEST(LoadProbes, RequestThatEndsWhileItWaitsIsNotSent) {
  World w(Reporting());
  w.List(6);
  const RequestId gone = w.Arrive(kNotIdempotent);
  w.Do(RequestCancelled{gone});
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 1);
  w.Advance(3s);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_TRUE(w.refused.empty());
}

}  // namespace
}  // namespace lb::testing

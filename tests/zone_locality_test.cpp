// Zone locality: requests stay in their zone until its upstreams hold too much.
#include <cstddef>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

// The operators look for it, though near ones that hold nothing would always be the better choice.
TEST(ZoneLocality, EnabledUpstreamOfAnotherZoneIsSoonUsedAgain) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.cross_zone = 0.1;
  settings.fleet_limits.slow_start_initial_share = 0.5;
  BalancerHarness harness(settings);
  UpstreamInfo far = MakeUpstream("far");
  far.zone = "there";
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c"), far});
  const auto calls = [&harness](int count) {
    int taken = 0;
    for (int i = 0; i < count; ++i) {
      harness.probed.clear();
      const std::size_t before = harness.sent.size();
      harness.SendRequest(kNotIdempotent);
      for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 0);
      harness.Advance(20ms);
      for (std::size_t k = before; k < harness.sent.size(); ++k) {
        taken += harness.sent[k].upstream == "far";
        harness.FinishAttempt(harness.sent[k], Outcome::kServed);
      }
    }
    return taken;
  };
  ASSERT_EQ(calls(100), 0) << "it is never the better choice";
  harness.Handle(OperatorOverride{{"far"}, true});
  harness.Handle(OperatorOverride{{"far"}, false});
  const int taken = calls(250);  // 5 s
  EXPECT_GE(taken, 1);
  EXPECT_LE(taken, 2) << "and then as before";
}

// "a" to "c" are here, the rest is there.
std::vector<UpstreamInfo> TwoZones() {
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    if (id > 'c') list.back().zone = "there";
  }
  return list;
}

// A crossing has its price: it is worth paying only for a call that would else be late.
TEST(ZoneLocality, RequestsStayInTheZoneUntilItsUpstreamsHoldTooMuch) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.cross_zone = 0.1;
  BalancerHarness harness(settings);
  harness.ReplaceList(TwoZones());
  const auto crossed = [&harness](double held_here) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed))
      ReportLoad(harness, id, id > "c" ? 0 : held_here);
    EXPECT_EQ(harness.sent.size(), before + 1);
    harness.now += 40ms;  // a tenth of the aim
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
    return harness.sent.back().upstream > "c";
  };
  int near_idle = 0, near_busy = 0;
  for (int i = 0; i < 40; ++i) near_idle += crossed(1);
  for (int i = 0; i < 40; ++i) near_busy += crossed(9);
  EXPECT_EQ(near_idle, 0);
  EXPECT_GT(near_busy, 10);
}

// Where nobody is asked for its load the rotation itself has to know what a crossing costs.
TEST(ZoneLocality, WithoutReportsRequestsStayInTheZoneUntilResponsesAreLate) {
  Settings settings = DefaultSettings();
  settings.decision_costs.cross_zone = 0.1;
  BalancerHarness harness(settings);
  harness.ReplaceList(TwoZones());
  const auto crossed = [&harness](Duration near_takes) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    const bool far = harness.sent[before].upstream > "c";
    harness.now += far ? Duration(40ms) : near_takes;  // the aim is 400 ms
    harness.FinishAttemptsFrom(before);
    return far;
  };
  int near_well = 0, near_late = 0;
  for (int i = 0; i < 40; ++i) near_well += crossed(40ms);
  for (int i = 0; i < 40; ++i) near_late += crossed(350ms);
  EXPECT_EQ(near_well, 0);
  EXPECT_GT(near_late, 10);
}

}  // namespace
}  // namespace lb::testing

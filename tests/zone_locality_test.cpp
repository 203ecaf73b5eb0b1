// Zone locality: requests stay in the sidecar's zone until its upstreams have too many requests in flight.
#include <cstddef>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

// Operators expect requests at an upstream that they have enabled, although idle upstreams of the sidecar's
// own zone are always the better choice.
TEST(ZoneLocality, EnabledUpstreamOfAnotherZoneSoonGetsRequests) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.cross_zone = 0.1;
  settings.fleet_limits.slow_start_initial_share = 0.5;
  BalancerHarness harness(settings);
  UpstreamInfo far = MakeUpstream("far");
  far.zone = "there";
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c"), far});
  const auto attempts_at_far = [&harness](int count) {
    int at_far = 0;
    for (int i = 0; i < count; ++i) {
      harness.probed.clear();
      const std::size_t before = harness.sent.size();
      harness.SendRequest(kNotIdempotent);
      for (const std::string& id : std::vector<std::string>(harness.probed)) ReportLoad(harness, id, 0);
      harness.Advance(20ms);
      for (std::size_t k = before; k < harness.sent.size(); ++k) {
        at_far += harness.sent[k].upstream == "far";
        harness.FinishAttempt(harness.sent[k], Outcome::kServed);
      }
    }
    return at_far;
  };
  ASSERT_EQ(attempts_at_far(100), 0) << "the upstream of the other zone is never the better choice";
  harness.Handle(OperatorOverride{{"far"}, true});
  harness.Handle(OperatorOverride{{"far"}, false});
  const int at_far = attempts_at_far(250);  // 5 s
  EXPECT_GE(at_far, 1);
  EXPECT_LE(at_far, 2) << "afterwards the upstream gets no requests, as before";
}

// "a" to "c" are in the sidecar's zone, the others in another zone.
std::vector<UpstreamInfo> TwoZones() {
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    if (id > 'c') list.back().zone = "there";
  }
  return list;
}

// Crossing zones has a cost, which is justified only for a request that would otherwise be late.
TEST(ZoneLocality, RequestsStayInTheZoneUntilItsUpstreamsAreBusy) {
  Settings settings = SettingsWithLoadReports();
  settings.decision_costs.cross_zone = 0.1;
  BalancerHarness harness(settings);
  harness.ReplaceList(TwoZones());
  const auto crosses_zones = [&harness](double in_flight_here) {
    harness.probed.clear();
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(harness.probed))
      ReportLoad(harness, id, id > "c" ? 0 : in_flight_here);
    EXPECT_EQ(harness.sent.size(), before + 1);
    harness.now += 40ms;  // a tenth of the latency objective
    harness.FinishAttempt(harness.sent.back(), Outcome::kServed);
    return harness.sent.back().upstream > "c";
  };
  int near_idle = 0, near_busy = 0;
  for (int i = 0; i < 40; ++i) near_idle += crosses_zones(1);
  for (int i = 0; i < 40; ++i) near_busy += crosses_zones(9);
  EXPECT_EQ(near_idle, 0);
  EXPECT_GT(near_busy, 10);
}

// Without load probes, the rotation itself must account for the cost of crossing zones.
TEST(ZoneLocality, WithoutReportsRequestsStayInTheZoneUntilResponsesAreLate) {
  Settings settings = DefaultSettings();
  settings.decision_costs.cross_zone = 0.1;
  BalancerHarness harness(settings);
  harness.ReplaceList(TwoZones());
  const auto crosses_zones = [&harness](Duration near_latency) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    const bool far = harness.sent[before].upstream > "c";
    harness.now += far ? Duration(40ms) : near_latency;  // the latency objective is 400 ms
    harness.FinishAttemptsFrom(before);
    return far;
  };
  int near_on_time = 0, near_late = 0;
  for (int i = 0; i < 40; ++i) near_on_time += crosses_zones(40ms);
  for (int i = 0; i < 40; ++i) near_late += crosses_zones(350ms);
  EXPECT_EQ(near_on_time, 0);
  EXPECT_GT(near_late, 10);
}

}  // namespace
}  // namespace lb::testing

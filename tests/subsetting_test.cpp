// Deterministic subsetting in a fleet: how many upstreams each sidecar uses, and which ones; and the latency
// that a sidecar assumes for an upstream that it has not measured yet.
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

TEST(Subsetting, FirstRequestsOfAFleetSpreadOverTheWholeList) {
  std::map<std::string, int> requests_by_upstream;
  for (const auto& harness : MakeFleet(500)) {
    harness->ListUpstreams(20);
    ++requests_by_upstream[harness->ServeRequest()];
  }
  EXPECT_EQ(requests_by_upstream.size(), 20U);
  for (const auto& [id, requests] : requests_by_upstream)
    EXPECT_LT(requests, 60) << id << ", an equal share is 25";
}

// Serves one request per second and returns the number of requests by upstream. Tests ignore the result for
// the first seconds, in which the sidecar does not know its request rate yet.
std::map<std::string, int> ServeOnePerSecond(BalancerHarness& harness, int requests) {
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < requests; ++i) {
    harness.Advance(1s);
    ++requests_by_upstream[harness.ServeRequest()];
  }
  return requests_by_upstream;
}

TEST(Subsetting, LowRequestRateUsesFewUpstreams) {
  std::map<std::string, int> fleet_by_upstream;
  for (std::size_t self = 0; self < 100; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = self;
    BalancerHarness harness(settings, 100 + self);
    harness.ListUpstreams(20);
    ServeOnePerSecond(harness, 4);
    const std::map<std::string, int> by_upstream = ServeOnePerSecond(harness, 20);
    EXPECT_LE(by_upstream.size(), 6U);
    EXPECT_GE(by_upstream.size(), 3U);
    for (const auto& [id, requests] : by_upstream) fleet_by_upstream[id] += requests;
  }
  ASSERT_EQ(fleet_by_upstream.size(), 20U);
  for (const auto& [id, requests] : fleet_by_upstream)
    EXPECT_LT(requests, 200) << id << ", an equal share is 100";
}

// One of a hundred sidecars that together load sixty upstreams. Its subset must be small enough that each
// upstream gets sufficient requests from it to detect five consecutive failures in time.
TEST(Subsetting, SubsetIsSmallEnoughToDetectFiveFailuresInTime) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 100;
  settings.fleet_limits.slow_start_duration = 7400ms;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < 150; ++i) {  // about 15 requests per second for 10 s
    harness.Advance(57ms);
    const std::string serving_upstream = harness.ServeRequest();
    if (i >= 75) ++requests_by_upstream[serving_upstream];
  }
  EXPECT_LE(requests_by_upstream.size(), 14U);
  EXPECT_GE(requests_by_upstream.size(), 8U);
}

TEST(Subsetting, ListChangeKeepsTheRestOfTheSubset) {
  BalancerHarness harness;
  harness.ListUpstreams(20);
  ServeOnePerSecond(harness, 5);
  const std::map<std::string, int> before = ServeOnePerSecond(harness, 20);
  UpstreamInfo removed = MakeUpstream(before.begin()->first, UpstreamState::kGone);
  harness.ChangeUpstream(removed);
  const std::map<std::string, int> after = ServeOnePerSecond(harness, 20);
  int kept = 0;
  for (const auto& [id, requests] : before) kept += static_cast<int>(after.count(id));
  EXPECT_GE(kept, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(removed.id.value), 0U);
}

TEST(Subsetting, HighRequestRateUsesTheWholeList) {
  BalancerHarness harness;
  harness.ListUpstreams(20);
  for (int i = 0; i < 300; ++i) {
    harness.Advance(10ms);
    harness.ServeRequest();
  }
  EXPECT_EQ(harness.ServeAndCount(200).size(), 20U);
}

// Random subsets would give some upstreams twice as many connections as others.
TEST(Subsetting, EachUpstreamIsInAboutTheSameNumberOfSubsets) {
  constexpr std::size_t kSidecars = 250, kUpstreams = 50;
  std::vector<UpstreamInfo> list;
  for (std::size_t i = 0; i < kUpstreams; ++i) list.push_back(MakeUpstream("s" + std::to_string(i)));
  std::map<std::string, int> subsets;
  for (std::size_t self = 0; self < kSidecars; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = kSidecars;
    settings.sidecar_index = self;
    BalancerHarness harness(settings, 100 + self);
    harness.ReplaceList(list);
    ServeOnePerSecond(harness, 4);
    for (const auto& [id, requests] : ServeOnePerSecond(harness, 12)) ++subsets[id];
  }
  ASSERT_EQ(subsets.size(), kUpstreams);
  for (const auto& [id, sidecars] : subsets) {
    EXPECT_GE(sidecars, 13) << id << ", an equal share is 15";
    EXPECT_LE(sidecars, 17) << id << ", an equal share is 15";
  }
}

// An upstream supports a limited number of connections, and a full connection table costs it capacity.
TEST(Subsetting, LargeFleetOpensFewConnectionsPerSidecar) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  settings.sidecar_index = 17;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < 400; ++i) {  // 33 requests per second, counted from the first one on
    harness.Advance(20ms);
    ++requests_by_upstream[harness.ServeRequest()];
  }
  EXPECT_LE(requests_by_upstream.size(), 5U);
  EXPECT_GE(requests_by_upstream.size(), 3U);
}

TEST(Subsetting, BusySidecarOfALargeFleetSpreadsItsRequestsInFlight) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> requests_by_upstream;
  for (int i = 0; i < 1500; ++i) {  // 100 requests per second, each of which takes 240 ms
    harness.SendRequest(kNotIdempotent);
    harness.Advance(10ms);
    if (i >= 24) harness.FinishAttempt(harness.sent[static_cast<std::size_t>(i - 24)], Outcome::kServed);
    if (i >= 1000) ++requests_by_upstream[harness.sent.back().upstream];
  }
  EXPECT_GE(requests_by_upstream.size(), 9U) << "24 requests in flight, two at each upstream";
  EXPECT_LE(requests_by_upstream.size(), 16U);
}

TEST(LatencyOfUnmeasuredUpstreams, IsThatOfTheirKind) {
  BalancerHarness harness;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    list.push_back(MakeUpstream(std::string(1, id)));
    list.back().kind = id < 'd' ? "slow" : "fast";
  }
  harness.ReplaceList(list);
  const auto serve = [&harness] {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    const bool slow = harness.sent[before].upstream < "d";
    harness.now += slow ? 60ms : 20ms;
    harness.FinishAttempt(harness.sent[before], Outcome::kServed);
  };
  for (int i = 0; i < 60; ++i) serve();
  // Six more upstreams, three of each kind, which have not served any request yet.
  for (const char id : {'u', 'v', 'w', 'x', 'y', 'z'}) {
    UpstreamInfo info = MakeUpstream(std::string(1, id));
    info.kind = id < 'x' ? "slow" : "fast";
    harness.ChangeUpstream(info);
  }
  int fast = 0, slow = 0;
  for (int i = 0; i < 200; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    const std::string& id = harness.sent[before].upstream;
    fast += id >= "x";
    slow += id >= "u" && id < "x";
    harness.now += 1ms;
    harness.FinishAttempt(harness.sent[before], Outcome::kCancelled);  // gives no latency sample
  }
  EXPECT_GT(fast, 2 * slow);
}

}  // namespace
}  // namespace lb::testing

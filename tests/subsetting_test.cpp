// Deterministic subsetting over a fleet: how many upstreams each sidecar uses, and which; what it takes an
// upstream for that it has not met.
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

TEST(Subsetting, FirstRequestsOfAFleetSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& harness : MakeFleet(500)) {
    harness->ListUpstreams(20);
    ++spread[harness->ServeRequest()];
  }
  EXPECT_EQ(spread.size(), 20U);
  for (const auto& [id, calls] : spread) EXPECT_LT(calls, 60) << id << ", 25 are its share";
}

// A trickle: a call served every second, after the first seconds in which the rate is not known yet.
std::map<std::string, int> Trickle(BalancerHarness& harness, int calls) {
  std::map<std::string, int> spread;
  for (int i = 0; i < calls; ++i) {
    harness.Advance(1s);
    ++spread[harness.ServeRequest()];
  }
  return spread;
}

TEST(Subsetting, FewRequestsKeepToAFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t self = 0; self < 100; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = self;
    BalancerHarness harness(settings, 100 + self);
    harness.ListUpstreams(20);
    Trickle(harness, 4);
    const std::map<std::string, int> own = Trickle(harness, 20);
    EXPECT_LE(own.size(), 6U);
    EXPECT_GE(own.size(), 3U);
    for (const auto& [id, calls] : own) fleet[id] += calls;
  }
  ASSERT_EQ(fleet.size(), 20U);
  for (const auto& [id, calls] : fleet) EXPECT_LT(calls, 200) << id << ", 100 are its share";
}

// One of a hundred that together load sixty upstreams: it meets each of its own often enough to know it.
TEST(Subsetting, OneOfAHundredSidecarsSeesFiveFailuresInTime) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 100;
  settings.fleet_limits.slow_start_duration = 7400ms;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 150; ++i) {  // 15 calls a second for 10 s
    harness.Advance(57ms);
    const std::string taker = harness.ServeRequest();
    if (i >= 75) ++spread[taker];
  }
  EXPECT_LE(spread.size(), 14U);
  EXPECT_GE(spread.size(), 8U);
}

TEST(Subsetting, ListChangeKeepsTheRestOfTheSubset) {
  BalancerHarness harness;
  harness.ListUpstreams(20);
  Trickle(harness, 5);
  const std::map<std::string, int> before = Trickle(harness, 20);
  UpstreamInfo gone = MakeUpstream(before.begin()->first, UpstreamState::kGone);
  harness.ChangeUpstream(gone);
  const std::map<std::string, int> after = Trickle(harness, 20);
  int kept = 0;
  for (const auto& [id, calls] : before) kept += static_cast<int>(after.count(id));
  EXPECT_GE(kept, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(gone.id.value), 0U);
}

TEST(Subsetting, ManyRequestsUseTheWholeList) {
  BalancerHarness harness;
  harness.ListUpstreams(20);
  for (int i = 0; i < 300; ++i) {
    harness.Advance(10ms);
    harness.ServeRequest();
  }
  EXPECT_EQ(harness.ServeAndCount(200).size(), 20U);
}

// Subsets drawn by chance would give some upstreams twice the connections of others.
TEST(Subsetting, EachUpstreamIsInAboutAsManySubsets) {
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
    Trickle(harness, 4);
    for (const auto& [id, calls] : Trickle(harness, 12)) ++subsets[id];
  }
  ASSERT_EQ(subsets.size(), kUpstreams);
  for (const auto& [id, sidecars] : subsets) {
    EXPECT_GE(sidecars, 13) << id << ", 15 are its share";
    EXPECT_LE(sidecars, 17) << id << ", 15 are its share";
  }
}

// Upstreams hold only so many connections, and a full table costs them capacity.
TEST(Subsetting, LargeFleetOpensFewConnectionsPerSidecar) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  settings.sidecar_index = 17;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 400; ++i) {  // 33 calls a second, from the first one on
    harness.Advance(20ms);
    ++spread[harness.ServeRequest()];
  }
  EXPECT_LE(spread.size(), 5U);
  EXPECT_GE(spread.size(), 3U);
}

TEST(Subsetting, BusySidecarOfALargeFleetSpreadsItsRequestsInFlight) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  BalancerHarness harness(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  harness.ReplaceList(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 1500; ++i) {  // 100 calls a second, of which each takes 240 ms
    harness.SendRequest(kNotIdempotent);
    harness.Advance(10ms);
    if (i >= 24) harness.FinishAttempt(harness.sent[static_cast<std::size_t>(i - 24)], Outcome::kServed);
    if (i >= 1000) ++spread[harness.sent.back().upstream];
  }
  EXPECT_GE(spread.size(), 9U) << "24 calls held, two at each";
  EXPECT_LE(spread.size(), 16U);
}

TEST(LatencyOfUnknownUpstreams, IsThatOfTheirKind) {
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
  // Six more, three of each kind; none of them has answered anything yet.
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
    harness.FinishAttempt(harness.sent[before], Outcome::kCancelled);  // teaches nothing
  }
  EXPECT_GT(fast, 2 * slow);
}

}  // namespace
}  // namespace lb::testing

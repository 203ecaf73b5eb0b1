// Deterministic subsetting over a fleet: how many upstreams each sidecar uses, and which; what it takes an
// upstream for that it has not met.
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"
#include "tests/helpers.h"

namespace lb::testing {
namespace {

TEST(Subsetting, FirstRequestsOfAFleetSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& w : Fleet(500)) {
    w->List(20);
    ++spread[w->Serve()];
  }
  EXPECT_EQ(spread.size(), 20U);
  for (const auto& [id, calls] : spread) EXPECT_LT(calls, 60) << id << ", 25 are its share";
}

// A trickle: a call served every second, after the first seconds in which the rate is not known yet.
std::map<std::string, int> Trickle(World& w, int calls) {
  std::map<std::string, int> spread;
  for (int i = 0; i < calls; ++i) {
    w.Advance(1s);
    ++spread[w.Serve()];
  }
  return spread;
}

TEST(Subsetting, FewRequestsKeepToAFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t self = 0; self < 100; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = self;
    World w(settings, 100 + self);
    w.List(20);
    Trickle(w, 4);
    const std::map<std::string, int> own = Trickle(w, 20);
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
  World w(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 150; ++i) {  // 15 calls a second for 10 s
    w.Advance(57ms);
    const std::string taker = w.Serve();
    if (i >= 75) ++spread[taker];
  }
  EXPECT_LE(spread.size(), 14U);
  EXPECT_GE(spread.size(), 8U);
}

TEST(Subsetting, ListChangeKeepsTheRestOfTheSubset) {
  World w;
  w.List(20);
  Trickle(w, 5);
  const std::map<std::string, int> before = Trickle(w, 20);
  UpstreamInfo gone = Up(before.begin()->first, UpstreamState::kGone);
  w.Change(gone);
  const std::map<std::string, int> after = Trickle(w, 20);
  int kept = 0;
  for (const auto& [id, calls] : before) kept += static_cast<int>(after.count(id));
  EXPECT_GE(kept, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(gone.id.value), 0U);
}

TEST(Subsetting, ManyRequestsUseTheWholeList) {
  World w;
  w.List(20);
  for (int i = 0; i < 300; ++i) {
    w.Advance(10ms);
    w.Serve();
  }
  EXPECT_EQ(w.Spread(200).size(), 20U);
}

// Subsets drawn by chance would give some upstreams twice the connections of others.
TEST(Subsetting, EachUpstreamIsInAboutAsManySubsets) {
  constexpr std::size_t kSidecars = 250, kUpstreams = 50;
  std::vector<UpstreamInfo> list;
  for (std::size_t i = 0; i < kUpstreams; ++i) list.push_back(Up("s" + std::to_string(i)));
  std::map<std::string, int> subsets;
  for (std::size_t self = 0; self < kSidecars; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = kSidecars;
    settings.sidecar_index = self;
    World w(settings, 100 + self);
    w.Full(list);
    Trickle(w, 4);
    for (const auto& [id, calls] : Trickle(w, 12)) ++subsets[id];
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
  World w(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 400; ++i) {  // 33 calls a second, from the first one on
    w.Advance(20ms);
    ++spread[w.Serve()];
  }
  EXPECT_LE(spread.size(), 5U);
  EXPECT_GE(spread.size(), 3U);
}

TEST(Subsetting, BusySidecarOfALargeFleetSpreadsItsRequestsInFlight) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  World w(settings);
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 1500; ++i) {  // 100 calls a second, of which each takes 240 ms
    w.Arrive(kNotIdempotent);
    w.Advance(10ms);
    if (i >= 24) w.Finish(w.sent[static_cast<std::size_t>(i - 24)], Outcome::kServed);
    if (i >= 1000) ++spread[w.sent.back().upstream];
  }
  EXPECT_GE(spread.size(), 9U) << "24 calls held, two at each";
  EXPECT_LE(spread.size(), 16U);
}

TEST(LatencyOfUnknownUpstreams, IsThatOfTheirKind) {
  World w;
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    list.push_back(Up(std::string(1, id)));
    list.back().kind = id < 'd' ? "slow" : "fast";
  }
  w.Full(list);
  const auto serve = [&w] {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    const bool slow = w.sent[before].upstream < "d";
    w.now += slow ? 60ms : 20ms;
    w.Finish(w.sent[before], Outcome::kServed);
  };
  for (int i = 0; i < 60; ++i) serve();
  // Six more, three of each kind; none of them has answered anything yet.
  for (const char id : {'u', 'v', 'w', 'x', 'y', 'z'}) {
    UpstreamInfo info = Up(std::string(1, id));
    info.kind = id < 'x' ? "slow" : "fast";
    w.Change(info);
  }
  int fast = 0, slow = 0;
  for (int i = 0; i < 200; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    const std::string& id = w.sent[before].upstream;
    fast += id >= "x";
    slow += id >= "u" && id < "x";
    w.now += 1ms;
    w.Finish(w.sent[before], Outcome::kCancelled);  // teaches nothing
  }
  EXPECT_GT(fast, 2 * slow);
}

}  // namespace
}  // namespace lb::testing

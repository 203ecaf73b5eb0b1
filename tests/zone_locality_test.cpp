// Zone locality: requests stay in their zone until its upstreams hold too much.
#include <cstddef>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"
#include "tests/helpers.h"

namespace lb::testing {
namespace {

// The operators look for it, though near ones that hold nothing would always be the better choice.
TEST(ZoneLocality, EnabledUpstreamOfAnotherZoneIsSoonUsedAgain) {
  Settings settings = Reporting();
  settings.decision_costs.cross_zone = 0.1;
  settings.fleet_limits.slow_start_initial_share = 0.5;
  World w(settings);
  UpstreamInfo far = Up("far");
  far.zone = "there";
  w.Full({Up("a"), Up("b"), Up("c"), far});
  const auto calls = [&w](int count) {
    int taken = 0;
    for (int i = 0; i < count; ++i) {
      w.probed.clear();
      const std::size_t before = w.sent.size();
      w.Arrive(kNotIdempotent);
      for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 0);
      w.Advance(20ms);
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        taken += w.sent[k].upstream == "far";
        w.Finish(w.sent[k], Outcome::kServed);
      }
    }
    return taken;
  };
  ASSERT_EQ(calls(100), 0) << "it is never the better choice";
  w.Do(OperatorOverride{{"far"}, true});
  w.Do(OperatorOverride{{"far"}, false});
  const int taken = calls(250);  // 5 s
  EXPECT_GE(taken, 1);
  EXPECT_LE(taken, 2) << "and then as before";
}

// "a" to "c" are here, the rest is there.
std::vector<UpstreamInfo> TwoZones() {
  std::vector<UpstreamInfo> list;
  for (const char id : {'a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'}) {
    list.push_back(Up(std::string(1, id)));
    if (id > 'c') list.back().zone = "there";
  }
  return list;
}

// A crossing has its price: it is worth paying only for a call that would else be late.
TEST(ZoneLocality, RequestsStayInTheZoneUntilItsUpstreamsHoldTooMuch) {
  Settings settings = Reporting();
  settings.decision_costs.cross_zone = 0.1;
  World w(settings);
  w.Full(TwoZones());
  const auto crossed = [&w](double held_here) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, id > "c" ? 0 : held_here);
    EXPECT_EQ(w.sent.size(), before + 1);
    w.now += 40ms;  // a tenth of the aim
    w.Finish(w.sent.back(), Outcome::kServed);
    return w.sent.back().upstream > "c";
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
  World w(settings);
  w.Full(TwoZones());
  const auto crossed = [&w](Duration near_takes) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    const bool far = w.sent[before].upstream > "c";
    w.now += far ? Duration(40ms) : near_takes;  // the aim is 400 ms
    w.Answer(before);
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

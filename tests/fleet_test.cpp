// Many sidecars with a trickle of calls each: what they do in sum, and what one can know from so few calls.
#include <algorithm>
#include <cmath>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <tuple>

#include "tests/helpers.h"

namespace lb::testing {
namespace {

// `count` sidecars that share nothing but the list they are told.
std::vector<std::unique_ptr<World>> Fleet(int count, const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<World>> fleet;
  for (int i = 0; i < count; ++i)
    fleet.push_back(std::make_unique<World>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return fleet;
}

TEST(RushAtStart, FirstCallsOfAFleetSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& w : Fleet(500)) {
    w->List(20);
    ++spread[w->Serve()];
  }
  EXPECT_EQ(spread.size(), 20u);
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

TEST(ColdConnections, ATrickleKeepsToAFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t self = 0; self < 100; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = self;
    World w(settings, 100 + self);
    w.List(20);
    Trickle(w, 4);
    const std::map<std::string, int> own = Trickle(w, 20);
    EXPECT_LE(own.size(), 6u);
    EXPECT_GE(own.size(), 3u);
    for (const auto& [id, calls] : own) fleet[id] += calls;
  }
  ASSERT_EQ(fleet.size(), 20u);
  for (const auto& [id, calls] : fleet) EXPECT_LT(calls, 200) << id << ", 100 are its share";
}

// One of a hundred that together load sixty upstreams: it meets each of its own often enough to know it.
TEST(ColdConnections, OneOfAHundredSeesFiveFailuresWhileTheFirstStillCounts) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 100;
  settings.fleet_limits.slow_start_duration = 7400ms;
  World w(settings);
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < 60; ++i) list.push_back(Up("s" + std::to_string(i)));
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 150; ++i) {  // 15 calls a second for 10 s
    w.Advance(57ms);
    const std::string taker = w.Serve();
    if (i >= 75) ++spread[taker];
  }
  EXPECT_LE(spread.size(), 14u);
  EXPECT_GE(spread.size(), 8u);
}

TEST(ColdConnections, AChangeOfTheListLeavesTheRestOfTheSubset) {
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
  EXPECT_EQ(after.count(gone.id.value), 0u);
}

TEST(ColdConnections, WithCallsEnoughItIsTheWholeList) {
  World w;
  w.List(20);
  for (int i = 0; i < 300; ++i) {
    w.Advance(10ms);
    w.Serve();
  }
  EXPECT_EQ(w.Spread(200).size(), 20u);
}

// Subsets drawn by chance would give some upstreams twice the connections of others.
TEST(Aperture, EachUpstreamIsInAboutAsManySubsets) {
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
TEST(Aperture, ALargeFleetOpensFewConnectionsHoweverManyCallsOneOfItHas) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  settings.sidecar_index = 17;
  World w(settings);
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < 60; ++i) list.push_back(Up("s" + std::to_string(i)));
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 400; ++i) {  // 33 calls a second, from the first one on
    w.Advance(20ms);
    ++spread[w.Serve()];
  }
  EXPECT_LE(spread.size(), 5u);
  EXPECT_GE(spread.size(), 3u);
}

TEST(Aperture, ABusySidecarOfALargeFleetSpreadsWhatItHoldsAtOnce) {
  Settings settings = DefaultSettings();
  settings.sidecar_count = 300;
  World w(settings);
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < 60; ++i) list.push_back(Up("s" + std::to_string(i)));
  w.Full(list);
  std::map<std::string, int> spread;
  for (int i = 0; i < 1500; ++i) {  // 100 calls a second, of which each takes 240 ms
    w.Arrive(kNotIdempotent);
    w.Advance(10ms);
    if (i >= 24) w.Finish(w.sent[static_cast<std::size_t>(i - 24)], Outcome::kServed);
    if (i >= 1000) ++spread[w.sent.back().upstream];
  }
  EXPECT_GE(spread.size(), 9u) << "24 calls held, two at each";
  EXPECT_LE(spread.size(), 16u);
}

TEST(UnequalMachines, AnUpstreamNeverMetIsTakenForItsKind) {
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

// ---- Where upstreams tell their load when probed ----

Settings Reporting() {
  Settings settings = DefaultSettings();
  settings.load_by_probe = settings.limits.load_probes_allowed = true;
  settings.decision_costs.probe = 0.002;
  return settings;
}

void Report(World& w, const std::string& id, double held, double rate = 0) {
  LoadReport load;
  load.in_flight = held;
  load.rate = rate;
  w.Do(LoadProbeFinished{{id}, Outcome::kServed, 1ms, load});
}

TEST(OtherSidecarsQueues, TheLeastLoadedOfTheNextInTurnTakesTheCall) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 12; ++i) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    ASSERT_EQ(w.probed.size(), 3u);
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
TEST(OtherSidecarsQueues, WhereProbesAreDearOnlyACallAtRiskOfBeingLateAsks) {
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
  ASSERT_EQ(w.probed.size(), 2u) << "the pick and one to turn to";
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

// The operators look for it, though near ones that hold nothing would always be the better choice.
TEST(CrossingZones, AFarOnePutBackByTheOperatorsIsInUseAgainSoon) {
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

// Each client's repeat is harmless; all clients' repeats of what can no longer be in time are the overload.
TEST(RefusedCalls, ComeBackAfterTheLongestWaitAndNotInStep) {
  std::set<Duration> waits;
  for (const auto& w : Fleet(100)) {
    w->List(0);
    w->Arrive(kNotIdempotent);
    ASSERT_EQ(w->refused.size(), 1u) << "at once";
    EXPECT_LE(w->last_retry_after, DefaultSettings().limits.max_retry_after);
    EXPECT_GE(w->last_retry_after, DefaultSettings().limits.max_retry_after * 9 / 10);
    waits.insert(w->last_retry_after);
  }
  EXPECT_GT(waits.size(), 90u);
}

// All sidecars together bring a fresh upstream what its present capacity can take, and not next to nothing:
// each calls a few of the list, so the few that call it owe it more than their share of the whole list.
TEST(ColdUpstreams, AFleetOfSubsetsLoadsThemByTheirCapacity) {
  constexpr std::size_t kSidecars = 100;
  std::vector<UpstreamInfo> list;
  for (int i = 0; i < 60; ++i) list.push_back(Up("s" + std::to_string(i)));
  double cold = 0, warm = 0;
  for (std::size_t self = 0; self < kSidecars; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = kSidecars;
    settings.sidecar_index = self;
    settings.fleet_limits.slow_start_duration = 7400ms;
    settings.fleet_limits.slow_start_initial_share = 0.31;
    World w(settings, 100 + self);
    w.Full(list);
    for (int i = 0; i < 150; ++i) w.Advance(57ms), w.Serve();
    std::vector<UpstreamInfo> fresh = list;
    for (int i = 0; i < 6; ++i) fresh[i].started = w.now;
    w.Full(fresh);
    for (int i = 0; i < 45; ++i) {  // 3 s
      w.Advance(57ms);
      const std::string taker = w.Serve();
      const bool is_cold = std::any_of(fresh.begin(), fresh.begin() + 6,
                                       [&](const UpstreamInfo& info) { return info.id.value == taker; });
      (is_cold ? cold : warm) += 1;
    }
  }
  const double share = (cold / 6) / (warm / 54);  // of a warm one's load
  EXPECT_GT(share, 0.2);
  EXPECT_LT(share, 0.31 * 2.5) << "the rule on fail-back";
}

// Many sidecars with unequal traffic on one clock, and upstreams that answer, are dead or hang.
class ColdFleet {
 public:
  ColdFleet(std::size_t sidecars, std::size_t upstreams, double rate, Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed) {
    settings_.sidecar_count = sidecars;
    for (std::size_t i = 0; i < upstreams; ++i) list.push_back(Up("s" + std::to_string(i)));
    double sum = 0;
    for (std::size_t i = 0; i < sidecars; ++i) {
      sidecars_.push_back(
          {std::exp(2.5 * Uniform()) / (0.1 + Uniform()), nullptr, 0, {}});  // some see far more
      sum += sidecars_.back().rate;
    }
    for (Sidecar& s : sidecars_) s.rate *= rate / sum;
  }

  // All at this moment: start from nothing, or hear of the list.
  void StartAll() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      Sidecar& s = sidecars_[i];
      settings_.sidecar_index = i;
      s = {s.rate, std::make_unique<World>(settings_, random_()), 0, {}};
      s.world->now = now;
      s.world->Do(MembershipUpdate{MembershipUpdate::Kind::kRestored, list});
    }
    TellAll();
  }
  // Until each knows its rate and what is usual.
  void StartAndSettle() {
    StartAll();
    Run(12s);
  }
  void TellAll() {
    for (const Sidecar& s : sidecars_) s.world->Full(list);
  }
  // So many of the list start anew.
  void MakeCold(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) list[i].started = now, cold.insert(list[i].id.value);
    cold_since = now;
  }

  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += kStep;
      for (Sidecar& s : sidecars_) Step(s);
    }
  }

  std::vector<UpstreamInfo> list;
  std::set<std::string> cold, dead, hung;
  TimePoint now{1000s}, cold_since;
  double burst = 1;
  std::map<std::string, std::vector<TimePoint>> calls;  // by upstream: every attempt

 private:
  static constexpr Duration kStep = 5ms;
  struct Sidecar {
    double rate;  // calls a second
    std::unique_ptr<World> world;
    std::size_t seen;                             // of its attempts
    std::vector<std::pair<TimePoint, Sent>> out;  // and when they end
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  Outcome EndOf(const Sent& attempt) const {
    if (dead.contains(attempt.upstream)) return Outcome::kConnectFailed;
    return hung.contains(attempt.upstream) ? Outcome::kTimeout : Outcome::kServed;
  }

  void Note(Sidecar& s) {
    for (; s.seen < s.world->sent.size(); ++s.seen) {
      const Sent& attempt = s.world->sent[s.seen];
      calls[attempt.upstream].push_back(now);
      const Outcome end = EndOf(attempt);
      const Duration served = 20ms + std::chrono::milliseconds(static_cast<int>(80 * Uniform()));
      s.out.emplace_back(now + (end == Outcome::kServed    ? served
                                : end == Outcome::kTimeout ? attempt.timeout
                                                           : Duration(1ms)),
                         attempt);
    }
  }

  void Step(Sidecar& s) {
    s.world->Advance(now - s.world->now);
    Note(s);
    const double arriving = s.rate * burst * std::chrono::duration<double>(kStep).count();
    for (double left = arriving; Uniform() < left; left -= 1) s.world->Arrive(kIdempotent), Note(s);
    for (std::size_t i = 0; i < s.out.size();) {
      if (s.out[i].first > now) {
        ++i;
        continue;
      }
      const Sent attempt = s.out[i].second;
      s.out.erase(s.out.begin() + static_cast<std::ptrdiff_t>(i));
      s.world->Finish(attempt, EndOf(attempt));
      Note(s);
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  std::vector<Sidecar> sidecars_;
};

struct ColdCase {
  const char* name;
  void (*play)(ColdFleet& fleet, Duration slow_start_duration);
};

std::ostream& operator<<(std::ostream& out, const ColdCase& what) { return out << what.name; }

const ColdCase kColdCases[] = {
    {"AllStartTogether",
     [](ColdFleet& f, Duration slow_start_duration) {
       f.MakeCold(f.list.size() / 4);
       f.StartAll();
       f.Run(slow_start_duration);
     }},
    {"MostAreReplacedInABurst",
     [](ColdFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.MakeCold(f.list.size() * 6 / 10);
       f.TellAll();
       f.burst = 1.5;
       f.Run(slow_start_duration);
     }},
    {"TheOthersAreGoneAfterAWhile",
     [](ColdFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.MakeCold(f.list.size() / 4);
       f.TellAll();
       f.Run(1s);
       f.list.resize(f.list.size() / 4 + 1);
       f.TellAll();
       f.Run(slow_start_duration);
     }},
    {"TheOthersDieAndAllStartAnew",  // failures, repeats and trials turn to the cold ones
     [](ColdFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.MakeCold(f.list.size() / 4);
       f.StartAll();
       f.Run(1s);
       for (std::size_t i = f.list.size() / 4; i < f.list.size(); ++i) {
         (i % 2 == 0 ? f.dead : f.hung).insert(f.list[i].id.value);
       }
       f.Run(slow_start_duration);
     }},
    {"TheyHangAndAreWellAgain",  // ejected, tried and returned together
     [](ColdFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.MakeCold(f.list.size() / 4);
       f.TellAll();
       f.hung = f.cold;
       f.Run(slow_start_duration / 3);
       f.hung.clear();
       f.Run(slow_start_duration);
     }},
};

class ColdBudget : public ::testing::TestWithParam<std::tuple<ColdCase, int, std::uint64_t>> {};

// The budget of a cold upstream is one for all sidecars, which share nothing: beyond it only what chance
// does.
TEST_P(ColdBudget, HoldsInSumOverTheFleet) {
  const auto& [what, sidecars, seed] = GetParam();
  struct Deployment {
    double multiple, from;
    Duration window, slow_start_duration;
  };
  for (const Deployment& d : {Deployment{2.5, 0.31, 1s, 7400ms}, Deployment{1.8, 0.2, 700ms, 9s},
                              Deployment{4, 0.32, 2s, 8900ms}}) {
    Settings settings = DefaultSettings();
    settings.fleet_limits.overload_multiple = d.multiple;
    settings.fleet_limits.slow_start_initial_share = d.from;
    settings.fleet_limits.overload_window = d.window;
    settings.fleet_limits.slow_start_duration = d.slow_start_duration;
    const std::size_t upstreams = sidecars < 100 ? 12 : 60;
    constexpr double kCapacity = 20, kLoad = 0.7;  // of a warm one, calls a second
    ColdFleet fleet(static_cast<std::size_t>(sidecars), upstreams,
                    static_cast<double>(upstreams) * kCapacity * kLoad, settings, seed);
    what.play(fleet, d.slow_start_duration);
    const auto seconds = [](Duration t) { return std::chrono::duration<double>(t).count(); };
    std::size_t all = 0;
    for (const std::string& id : fleet.cold) {
      const std::vector<TimePoint>& calls = fleet.calls[id];
      all += calls.size();
      for (std::size_t first = 0, end = 0; first < calls.size(); ++first) {
        if (calls[first] < fleet.cold_since) continue;
        if (calls[first] + d.window >= fleet.cold_since + d.slow_start_duration) break;
        while (end < calls.size() && calls[end] < calls[first] + d.window) ++end;
        const double warmth =
            d.from + (1 - d.from) * seconds(calls[first] - fleet.cold_since) / seconds(d.slow_start_duration);
        const double budget = d.multiple * warmth * kCapacity * seconds(d.window);
        EXPECT_LE(static_cast<double>(end - first), budget + 2 * std::sqrt(budget) + 2)
            << id << ", budget " << budget << ", after " << seconds(calls[first] - fleet.cold_since) << " s";
      }
    }
    EXPECT_GT(all, fleet.cold.size()) << "they are used";
  }
}

INSTANTIATE_TEST_SUITE_P(Fleet, ColdBudget,
                         ::testing::Combine(::testing::ValuesIn(kColdCases),
                                            ::testing::Values(1, 3, 25, 300, 900), ::testing::Values(1u, 2u)),
                         [](const auto& test) {
                           return std::string(std::get<0>(test.param).name) + "_" +
                                  std::to_string(std::get<1>(test.param)) + "_seed" +
                                  std::to_string(std::get<2>(test.param));
                         });

// A client repeats what was refused or came to nothing: where many answers are late, an aim or more ago.
TEST(RefusedCalls, RepeatsAreRefusedAtOnceWhileManyAreLate) {
  World w;
  w.List(6);
  const auto repeat = [&w] {
    const std::size_t refused = w.refused.size();
    RequestArrived e;
    e.request = RequestId{1000 + refused + w.sent.size()};
    e.request_class = kNotIdempotent;
    e.deadline = w.now + 2s;
    e.client_retry = true;
    w.Do(e);
    return w.refused.size() > refused;
  };
  for (int i = 0; i < 30; ++i) w.Serve(kNotIdempotent);
  EXPECT_FALSE(repeat()) << "all is well";
  for (int i = 0; i < 8; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    w.now += 350ms;  // of an aim of 400 ms
    w.Answer(before);
  }
  EXPECT_TRUE(repeat());
  EXPECT_NE(w.Serve(kNotIdempotent), "") << "first tries are taken";
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
TEST(CrossingZones, CallsStayNearUntilThoseThereHoldTooMuch) {
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
TEST(CrossingZones, WithoutReportsCallsStayNearUntilThoseThereAnswerLate) {
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

TEST(OtherSidecarsQueues, ASilentProbeHoldsACallForAMomentAndIsAFailure) {
  World w(Reporting());
  w.List(6);
  w.Arrive(kNotIdempotent);
  const std::string silent = w.probed[0], well = w.probed[1];
  Report(w, well, 50);
  EXPECT_TRUE(w.sent.empty());
  w.Advance(30ms);
  ASSERT_EQ(w.sent.size(), 1u) << "one attempt, no copy of a call that is not late";
  EXPECT_EQ(w.sent.back().upstream, well) << "of those that answered";
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 2; ++i) w.Do(LoadProbeFinished{{silent}, Outcome::kTimeout, 400ms, {}});
  w.probed.clear();
  for (int i = 0; i < 5; ++i) w.Arrive(kNotIdempotent);
  EXPECT_EQ(std::count(w.probed.begin(), w.probed.end(), silent), 0) << "a suspect now";
}

TEST(OtherSidecarsQueues, ABurstSharesTheAnswersOfOneProbeEach) {
  World w(Reporting());
  w.List(6);
  for (int i = 0; i < 30; ++i) w.Arrive(kNotIdempotent);
  std::set<std::string> asked(w.probed.begin(), w.probed.end());
  EXPECT_EQ(w.probed.size(), asked.size()) << "no upstream twice";
  EXPECT_TRUE(w.sent.empty());
  for (const std::string& id : asked) Report(w, id, 1);
  EXPECT_EQ(w.sent.size(), 30u);
  std::map<std::string, int> spread;
  for (const Sent& sent : w.sent) EXPECT_LE(++spread[sent.upstream], 8) << "not all to the same one";
  w.probed.clear();
  w.Arrive(kNotIdempotent);
  EXPECT_EQ(w.probed.size(), 3u) << "asked anew once the answers are in";
}

TEST(OtherSidecarsQueues, ACallThatEndsWhileItWaitsIsNotSent) {
  World w(Reporting());
  w.List(6);
  const RequestId gone = w.Arrive(kNotIdempotent);
  w.Do(RequestCancelled{gone});
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 1);
  w.Advance(3s);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_TRUE(w.refused.empty());
}

TEST(JammedFleet, ACallIsRefusedWhereAllThatWereAskedHoldTooMuch) {
  World w(Reporting());
  w.List(6);
  const RequestId late = w.Arrive(kNotIdempotent);  // its aim is 400 ms
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 40, 50);
  EXPECT_TRUE(w.sent.empty());
  ASSERT_EQ(w.refused.size(), 1u);
  EXPECT_EQ(w.refused.back(), late);
  EXPECT_TRUE(w.Logged("shedding_started reason=overload"));
  w.probed.clear();
  w.Arrive(kNotIdempotent);
  const std::vector<std::string> asked = w.probed;
  for (const std::string& id : asked) Report(w, id, id == asked[2] ? 10 : 40, 50);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent.back().upstream, asked[2]);
}

// Calls that were given up still fill upstreams that go on working on them: only what they say they hold
// shows it, and where no rate is told, what that means is learnt from the answers.
TEST(JammedFleet, WhereNoRateIsToldItIsLearntFromTheAnswers) {
  World w(Reporting());
  w.List(6);
  const auto arrive = [&w](double held) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, held);
    return w.sent.size() > before;
  };
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(arrive(3));
    w.now += 100ms;  // for four calls; the aim is 400 ms
    w.Finish(w.sent.back(), Outcome::kServed);
  }
  EXPECT_TRUE(w.refused.empty());
  EXPECT_FALSE(arrive(30));
  EXPECT_EQ(w.refused.size(), 1u);
  EXPECT_TRUE(w.Logged("shedding_started reason=overload"));
  EXPECT_TRUE(arrive(3));
}

TEST(JammedFleet, ACallThatMayNotBeRepeatedIsGivenUpAtItsAimUnderOverloadOnly) {
  World w;
  w.List(4);
  w.Arrive(kNotIdempotent);
  EXPECT_EQ(w.sent.back().timeout, Duration(2s));
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their aim of 400 ms
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    w.Advance(500ms);
    if (w.sent.size() > before) w.Finish(w.sent[before], Outcome::kServed);
  }
  const std::size_t before = w.sent.size();
  for (int i = 0; i < 10 && w.sent.size() == before; ++i) w.Arrive(kNotIdempotent);
  ASSERT_GT(w.sent.size(), before);
  EXPECT_EQ(w.sent.back().timeout, Duration(400ms));
}

// Cancelled at its aim and begun anew, a call that is worth something late would load upstreams twice.
TEST(LateAnswers, AreWaitedForWhereTheyHaveAWorthWithAndWithoutSecondCopies) {
  for (const bool hedging_allowed : {false, true}) {
    Settings settings = DefaultSettings();
    settings.limits.hedging_allowed = hedging_allowed;
    settings.classes[static_cast<std::size_t>(kIdempotent)].late_priority_weight = 0.25;
    World w(settings);
    w.List(4);
    w.Arrive(kIdempotent);
    EXPECT_EQ(w.sent.back().timeout, Duration(2s)) << "until its client gives up";
    w.Arrive(kKeyedAll);
    EXPECT_EQ(w.sent.back().timeout, Duration(400ms)) << "its aim: nothing is due for it later";
  }
}

TEST(SlowHandshakes, CallsKeepToConnectionsWhileConnectingFails) {
  World w;
  w.List(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(w.Serve(kNotIdempotent));
  // Whoever else is called gets no connection.
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.now += 5ms;
      const bool has = connected.count(w.sent[k].upstream) > 0;
      w.Finish(w.sent[k], has ? Outcome::kServed : Outcome::kConnectFailed);
    }
    w.Advance(20ms);
  }
  int elsewhere = 0;
  for (int i = 0; i < 30; ++i) elsewhere += connected.count(w.Serve(kNotIdempotent)) == 0;
  EXPECT_EQ(elsewhere, 0);
}

TEST(ConnectionsDroppedUnseen, IdleOnesAreClosedBeforeTheAgeAtWhichOneWasFoundDropped) {
  World w;
  w.List(1);
  w.Serve(kNotIdempotent);
  w.Advance(2s);
  EXPECT_EQ(w.Serve(kNotIdempotent), "a");
  EXPECT_TRUE(w.closed.empty()) << "trusted until one is found dropped";
  w.Advance(2s);
  w.Arrive(kNotIdempotent);
  w.now += 1ms;
  w.Finish(w.sent.back(), Outcome::kReset);
  w.Serve(kNotIdempotent);
  w.Advance(1500ms);
  w.Serve(kNotIdempotent);
  EXPECT_EQ(w.closed, std::vector<std::string>{"a"}) << "idle for longer than half of that";
  w.Advance(500ms);
  w.Serve(kNotIdempotent);
  EXPECT_EQ(w.closed.size(), 1u) << "used not long ago";
  w.Advance(90s);
  w.Serve(kNotIdempotent);
  w.closed.clear();
  w.Advance(10s);
  w.Serve(kNotIdempotent);
  EXPECT_TRUE(w.closed.empty()) << "trusted again with time";
}

TEST(ConnectionsDroppedUnseen, AResetInTheMiddleOfACallSaysNothingOfIdleOnes) {
  World w;
  w.List(1);
  w.Serve(kNotIdempotent);
  w.Advance(2s);
  w.Arrive(kNotIdempotent);
  w.now += 200ms;
  w.Finish(w.sent.back(), Outcome::kReset);
  w.Serve(kNotIdempotent);
  w.Advance(1500ms);
  w.Serve(kNotIdempotent);
  EXPECT_TRUE(w.closed.empty());
}

}  // namespace
}  // namespace lb::testing

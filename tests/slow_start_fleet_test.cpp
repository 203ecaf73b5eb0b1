// Slow start in a fleet: what all sidecars together send an upstream that warms up.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "tests/balancer_harness.h"
#include "tests/fleet_fixtures.h"

namespace lb::testing {
namespace {

// All sidecars together bring a fresh upstream what its present capacity can take, and not next to nothing:
// each calls a few of the list, so the few that call it owe it more than their share of the whole list.
TEST(SlowStartOfAFleet, SubsetsTogetherLoadUpstreamsByTheirCapacity) {
  constexpr std::size_t kSidecars = 100;
  const std::vector<UpstreamInfo> list = NumberedUpstreams(60);
  double cold = 0, warm = 0;
  for (std::size_t self = 0; self < kSidecars; ++self) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = kSidecars;
    settings.sidecar_index = self;
    settings.fleet_limits.slow_start_duration = 7400ms;
    settings.fleet_limits.slow_start_initial_share = 0.31;
    BalancerHarness harness(settings, 100 + self);
    harness.ReplaceList(list);
    for (int i = 0; i < 150; ++i) harness.Advance(57ms), harness.ServeRequest();
    std::vector<UpstreamInfo> fresh = list;
    for (int i = 0; i < 6; ++i) fresh[i].started = harness.now;
    harness.ReplaceList(fresh);
    for (int i = 0; i < 45; ++i) {  // 3 s
      harness.Advance(57ms);
      const std::string taker = harness.ServeRequest();
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
    for (std::size_t i = 0; i < upstreams; ++i) list.push_back(MakeUpstream("s" + std::to_string(i)));
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
      s = {s.rate, std::make_unique<BalancerHarness>(settings_, random_()), 0, {}};
      s.harness->now = now;
      s.harness->Handle(MembershipUpdate{MembershipUpdate::Kind::kRestored, list});
    }
    TellAll();
  }
  // Until each knows its rate and what is usual.
  void StartAndSettle() {
    StartAll();
    Run(12s);
  }
  void TellAll() {
    for (const Sidecar& s : sidecars_) s.harness->ReplaceList(list);
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
    std::unique_ptr<BalancerHarness> harness;
    std::size_t seen;                                    // of its attempts
    std::vector<std::pair<TimePoint, SentAttempt>> out;  // and when they end
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  Outcome EndOf(const SentAttempt& attempt) const {
    if (dead.contains(attempt.upstream)) return Outcome::kConnectFailed;
    return hung.contains(attempt.upstream) ? Outcome::kTimeout : Outcome::kServed;
  }

  void Note(Sidecar& s) {
    for (; s.seen < s.harness->sent.size(); ++s.seen) {
      const SentAttempt& attempt = s.harness->sent[s.seen];
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
    s.harness->Advance(now - s.harness->now);
    Note(s);
    const double arriving = s.rate * burst * std::chrono::duration<double>(kStep).count();
    for (double left = arriving; Uniform() < left; left -= 1) s.harness->SendRequest(kIdempotent), Note(s);
    for (std::size_t i = 0; i < s.out.size();) {
      if (s.out[i].first > now) {
        ++i;
        continue;
      }
      const SentAttempt attempt = s.out[i].second;
      s.out.erase(s.out.begin() + static_cast<std::ptrdiff_t>(i));
      s.harness->FinishAttempt(attempt, EndOf(attempt));
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

class SlowStartBudget : public ::testing::TestWithParam<std::tuple<ColdCase, int, std::uint64_t>> {};

// The budget of a cold upstream is one for all sidecars, which share nothing: beyond it only what chance
// does.
TEST_P(SlowStartBudget, HoldsOverTheWholeFleet) {
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

INSTANTIATE_TEST_SUITE_P(Fleet, SlowStartBudget,
                         ::testing::Combine(::testing::ValuesIn(kColdCases),
                                            ::testing::Values(1, 3, 25, 300, 900), ::testing::Values(1U, 2U)),
                         [](const auto& test) {
                           return std::string(std::get<0>(test.param).name) + "_" +
                                  std::to_string(std::get<1>(test.param)) + "_seed" +
                                  std::to_string(std::get<2>(test.param));
                         });

}  // namespace
}  // namespace lb::testing

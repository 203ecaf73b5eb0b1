// Slow start in a fleet: the load that all sidecars together send to an upstream in slow start.
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

// All sidecars together load a newly started upstream according to its present capacity, and not much less.
// Each sidecar uses a subset of the list, so that the few sidecars that use an upstream must each send it
// more than an equal share over the whole list would be.
TEST(SlowStartOfAFleet, SidecarsTogetherLoadUpstreamsByTheirCapacity) {
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
      const std::string serving_upstream = harness.ServeRequest();
      const bool is_cold = std::any_of(fresh.begin(), fresh.begin() + 6, [&](const UpstreamInfo& info) {
        return info.id.value == serving_upstream;
      });
      (is_cold ? cold : warm) += 1;
    }
  }
  const double share = (cold / 6) / (warm / 54);  // of a warm upstream's load
  EXPECT_GT(share, 0.2);
  EXPECT_LT(share, 0.31 * 2.5) << "at most 2.5 times the initial share of the capacity";
}

// Simulates sidecars with unequal request rates on one clock. Upstreams serve requests, refuse connections or
// do not respond.
class SlowStartFleet {
 public:
  SlowStartFleet(std::size_t sidecars, std::size_t upstreams, double rate, Settings settings,
                 std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed) {
    settings_.sidecar_count = sidecars;
    for (std::size_t i = 0; i < upstreams; ++i) list.push_back(MakeUpstream("s" + std::to_string(i)));
    double sum = 0;
    for (std::size_t i = 0; i < sidecars; ++i) {
      sidecars_.push_back(
          {std::exp(2.5 * Uniform()) / (0.1 + Uniform()), nullptr, 0, {}});  // rates differ widely
      sum += sidecars_.back().rate;
    }
    for (Sidecar& s : sidecars_) s.rate *= rate / sum;
  }

  // Starts or restarts all sidecars without any state, and passes them the list.
  void StartAll() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      Sidecar& s = sidecars_[i];
      settings_.sidecar_index = i;
      s = {s.rate, std::make_unique<BalancerHarness>(settings_, random_()), 0, {}};
      s.harness->now = now;
      s.harness->Handle(MembershipUpdate{MembershipUpdate::Kind::kRestored, list});
    }
    SendListToAll();
  }
  // Starts all sidecars and runs them until each has measured its request rate and the usual latencies.
  void StartAndSettle() {
    StartAll();
    Run(12s);
  }
  // Passes the list to all sidecars.
  void SendListToAll() {
    for (const Sidecar& s : sidecars_) s.harness->ReplaceList(list);
  }
  // Restarts the first `count` upstreams of the list.
  void RestartUpstreams(std::size_t count) {
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
  std::set<std::string> cold, refusing, unresponsive;
  TimePoint now{1000s}, cold_since;
  double rate_multiple = 1;
  std::map<std::string, std::vector<TimePoint>> attempts;  // the times of all attempts, by upstream

 private:
  static constexpr Duration kStep = 5ms;
  struct Sidecar {
    double rate;  // requests per second
    std::unique_ptr<BalancerHarness> harness;
    std::size_t recorded_attempts;                           // the number of attempts already recorded
    std::vector<std::pair<TimePoint, SentAttempt>> pending;  // pending attempts and the times of their ends
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  Outcome OutcomeOf(const SentAttempt& attempt) const {
    if (refusing.contains(attempt.upstream)) return Outcome::kConnectFailed;
    return unresponsive.contains(attempt.upstream) ? Outcome::kTimeout : Outcome::kServed;
  }

  // Records the sidecar's new attempts and schedules their ends.
  void RecordAttempts(Sidecar& s) {
    for (; s.recorded_attempts < s.harness->sent.size(); ++s.recorded_attempts) {
      const SentAttempt& attempt = s.harness->sent[s.recorded_attempts];
      attempts[attempt.upstream].push_back(now);
      const Outcome outcome = OutcomeOf(attempt);
      const Duration latency = 20ms + std::chrono::milliseconds(static_cast<int>(80 * Uniform()));
      s.pending.emplace_back(now + (outcome == Outcome::kServed    ? latency
                                    : outcome == Outcome::kTimeout ? attempt.timeout
                                                                   : Duration(1ms)),
                             attempt);
    }
  }

  void Step(Sidecar& s) {
    s.harness->Advance(now - s.harness->now);
    RecordAttempts(s);
    const double expected_arrivals = s.rate * rate_multiple * std::chrono::duration<double>(kStep).count();
    for (double left = expected_arrivals; Uniform() < left; left -= 1)
      s.harness->SendRequest(kIdempotent), RecordAttempts(s);
    for (std::size_t i = 0; i < s.pending.size();) {
      if (s.pending[i].first > now) {
        ++i;
        continue;
      }
      const SentAttempt attempt = s.pending[i].second;
      s.pending.erase(s.pending.begin() + static_cast<std::ptrdiff_t>(i));
      s.harness->FinishAttempt(attempt, OutcomeOf(attempt));
      RecordAttempts(s);
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  std::vector<Sidecar> sidecars_;
};

struct FleetScenario {
  const char* name;
  void (*run)(SlowStartFleet& fleet, Duration slow_start_duration);
};

std::ostream& operator<<(std::ostream& stream, const FleetScenario& scenario) {
  return stream << scenario.name;
}

const FleetScenario kFleetScenarios[] = {
    {"AllSidecarsStartTogether",
     [](SlowStartFleet& f, Duration slow_start_duration) {
       f.RestartUpstreams(f.list.size() / 4);
       f.StartAll();
       f.Run(slow_start_duration);
     }},
    {"MostUpstreamsRestartDuringABurst",
     [](SlowStartFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.RestartUpstreams(f.list.size() * 6 / 10);
       f.SendListToAll();
       f.rate_multiple = 1.5;
       f.Run(slow_start_duration);
     }},
    {"WarmUpstreamsAreRemoved",
     [](SlowStartFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.RestartUpstreams(f.list.size() / 4);
       f.SendListToAll();
       f.Run(1s);
       f.list.resize(f.list.size() / 4 + 1);
       f.SendListToAll();
       f.Run(slow_start_duration);
     }},
    // Retries, hedged requests and half-open probes go to the cold upstreams.
    {"SidecarsRestartAndWarmUpstreamsFail",
     [](SlowStartFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.RestartUpstreams(f.list.size() / 4);
       f.StartAll();
       f.Run(1s);
       for (std::size_t i = f.list.size() / 4; i < f.list.size(); ++i) {
         (i % 2 == 0 ? f.refusing : f.unresponsive).insert(f.list[i].id.value);
       }
       f.Run(slow_start_duration);
     }},
    // All sidecars eject, probe and readmit the cold upstreams at the same time.
    {"ColdUpstreamsHangAndRecover",
     [](SlowStartFleet& f, Duration slow_start_duration) {
       f.StartAndSettle();
       f.RestartUpstreams(f.list.size() / 4);
       f.SendListToAll();
       f.unresponsive = f.cold;
       f.Run(slow_start_duration / 3);
       f.unresponsive.clear();
       f.Run(slow_start_duration);
     }},
};

class SlowStartBudgetOfAFleet
    : public ::testing::TestWithParam<std::tuple<FleetScenario, int, std::uint64_t>> {};

// All sidecars together must keep one budget for each cold upstream, although they share no state. Only
// random variation may exceed it: two standard deviations and two attempts.
TEST_P(SlowStartBudgetOfAFleet, HoldsOverAllSidecars) {
  const auto& [scenario, sidecars, seed] = GetParam();
  struct Deployment {
    double multiple, initial_share;
    Duration window, slow_start_duration;
  };
  for (const Deployment& d : {Deployment{2.5, 0.31, 1s, 7400ms}, Deployment{1.8, 0.2, 700ms, 9s},
                              Deployment{4, 0.32, 2s, 8900ms}}) {
    Settings settings = DefaultSettings();
    settings.fleet_limits.overload_multiple = d.multiple;
    settings.fleet_limits.slow_start_initial_share = d.initial_share;
    settings.fleet_limits.overload_window = d.window;
    settings.fleet_limits.slow_start_duration = d.slow_start_duration;
    const std::size_t upstreams = sidecars < 100 ? 12 : 60;
    constexpr double kCapacity = 20, kLoad = 0.7;  // of a warm upstream: requests per second, utilization
    SlowStartFleet fleet(static_cast<std::size_t>(sidecars), upstreams,
                         static_cast<double>(upstreams) * kCapacity * kLoad, settings, seed);
    scenario.run(fleet, d.slow_start_duration);
    const auto seconds = [](Duration t) { return std::chrono::duration<double>(t).count(); };
    std::size_t total = 0;
    for (const std::string& id : fleet.cold) {
      const std::vector<TimePoint>& attempts = fleet.attempts[id];
      total += attempts.size();
      for (std::size_t first = 0, end = 0; first < attempts.size(); ++first) {
        if (attempts[first] < fleet.cold_since) continue;
        if (attempts[first] + d.window >= fleet.cold_since + d.slow_start_duration) break;
        while (end < attempts.size() && attempts[end] < attempts[first] + d.window) ++end;
        const double capacity_share = d.initial_share + (1 - d.initial_share) *
                                                            seconds(attempts[first] - fleet.cold_since) /
                                                            seconds(d.slow_start_duration);
        const double budget = d.multiple * capacity_share * kCapacity * seconds(d.window);
        EXPECT_LE(static_cast<double>(end - first), budget + 2 * std::sqrt(budget) + 2)
            << id << ", budget " << budget << ", after " << seconds(attempts[first] - fleet.cold_since)
            << " s";
      }
    }
    EXPECT_GT(total, fleet.cold.size()) << "cold upstreams get requests";
  }
}

INSTANTIATE_TEST_SUITE_P(Fleet, SlowStartBudgetOfAFleet,
                         ::testing::Combine(::testing::ValuesIn(kFleetScenarios),
                                            ::testing::Values(1, 3, 25, 300, 900), ::testing::Values(1U, 2U)),
                         [](const auto& test) {
                           return std::string(std::get<0>(test.param).name) + "_" +
                                  std::to_string(std::get<1>(test.param)) + "_seed" +
                                  std::to_string(std::get<2>(test.param));
                         });

}  // namespace
}  // namespace lb::testing

// Rules that real sidecars have to follow: each check has to report a violation of its rule.
#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "lab/measure/fleet_rules.h"
#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

using lb::UpstreamState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWaitLimit = seconds(20);

struct Fleet {
  Experiment experiment = ParseExperiment(R"(
name = "rules"
clock = "real"
sizes = [3]
[[class]]
name = "read"
mean_work_ms = 100
aim_ms = 500
deadline_ms = 1000
[upstreams]
cold_from = 0.5
cold_s = 10
)",
                                          "rules.toml");
  Deployment deployment = MakeDeployment(experiment, 3);
  lb::Settings settings = SidecarSettings(experiment, deployment, deployment.sidecars[0]);
  FleetRules rules{experiment, deployment, settings};
  TimePoint start{seconds(1000)};

  MembershipEntry Entry(std::size_t upstream, UpstreamState state, std::int64_t boot_ms = 0) const {
    MembershipEntry entry;
    entry.id = deployment.upstreams[upstream].id;
    entry.state = state;
    entry.boot_ms = boot_ms;
    return entry;
  }
};

TEST(FleetRules, CountsAttemptsAtADrainingUpstreamOnceTheGraceIsOver) {
  Fleet fleet;
  const Duration allowed = fleet.settings.fleet_limits.drain_grace + kDrainSlack + kArrivalMargin;
  fleet.rules.RecordReceivedEntry(0, fleet.Entry(1, UpstreamState::kDraining), fleet.start);
  fleet.rules.RecordReceivedEntry(0, fleet.Entry(1, UpstreamState::kGone), fleet.start + seconds(1));
  const auto late_after = [&](std::size_t sidecar, std::size_t upstream, Duration after) {
    const auto before = fleet.rules.counters().late_to_draining;
    fleet.rules.Attempted(sidecar, upstream, milliseconds(1), fleet.start + after);
    return fleet.rules.counters().late_to_draining - before;
  };
  EXPECT_EQ(late_after(0, 1, allowed), 0u);
  EXPECT_EQ(late_after(0, 1, allowed + milliseconds(1)), 1u);
  EXPECT_EQ(late_after(1, 1, seconds(5)), 0u) << "the sidecar was not informed of the drain";
  EXPECT_EQ(late_after(0, 2, seconds(5)), 0u) << "the upstream is not draining";
  fleet.rules.RecordReceivedEntry(0, fleet.Entry(1, UpstreamState::kServing, 1), fleet.start + seconds(6));
  EXPECT_EQ(late_after(0, 1, seconds(7)), 0u) << "the upstream serves again";
}

// An upstream with two cores and 100 ms per request serves 20 requests per second when warm, and half as many
// at the start of slow start.
TEST(FleetRules, CountsColdOverloadsOnlyByInformedSidecars) {
  EXPECT_DOUBLE_EQ(SlowStartBudget(25), 25 + 15 + 3);
  EXPECT_DOUBLE_EQ(SlowStartBudget(36), 36 + 12 + 2);
  struct {
    const char* what;
    double shares_of_budget;  // attempts sent within 100 ms, as a multiple of SlowStartBudget()
    std::size_t uninformed_of_ten;
    Duration after;  // from the upstream's start to the first attempt
    std::uint64_t overloads;
  } const cases[] = {{"within the budget", 0.8, 0, {}, 0},
                     {"over the budget", 3, 0, {}, 1},
                     {"over the budget, but half of it from sidecars not informed of the start", 3, 5, {}, 0},
                     {"after slow start", 3, 0, seconds(11), 0}};
  for (const auto& c : cases) {
    Fleet fleet;
    fleet.rules.Started(2, fleet.start);
    fleet.rules.RecordReceivedEntry(0, fleet.Entry(2, UpstreamState::kServing, 1), fleet.start);
    const UpstreamInstance& upstream = fleet.deployment.upstreams[2];
    const double allowed = fleet.settings.fleet_limits.overload_multiple * upstream.kind->cores *
                           upstream.speed * 10 * fleet.settings.fleet_limits.slow_start_initial_share;
    const int attempts = static_cast<int>(c.shares_of_budget * SlowStartBudget(allowed));
    for (int i = 0; i < attempts; ++i) {
      const std::size_t sidecar = static_cast<std::size_t>(i) % 10 < c.uninformed_of_ten ? 1 : 0;
      fleet.rules.Attempted(sidecar, 2, milliseconds(100),
                            fleet.start + c.after + milliseconds(100) * i / attempts);
    }
    EXPECT_EQ(fleet.rules.counters().cold_overloads, c.overloads) << c.what;
  }
}

TEST(SidecarOperator, ShutdownTimeIsTheCappedDeadlinePlusAMargin) {
  EXPECT_EQ(ShutdownTime(milliseconds(400)), milliseconds(1100));
  EXPECT_EQ(ShutdownTime(seconds(20)), milliseconds(3700));
}

// Attempts of a real sidecar at the upstreams are reported to the rules. The test informs only the rules, not
// the sidecar, of drains and of a start, so that the sidecar violates the rules.
TEST(FleetRules, DetectViolationsByARealSidecar) {
  Experiment experiment = Fleet().experiment;
  experiment.sidecars.real = 1;
  experiment.sidecars_per_upstream = 0.34;  // yields one sidecar
  experiment.load.per_upstream = 15;
  experiment.upstreams.slow_start_initial_share =
      1;  // no slow start at the upstreams, although the rules below allow a cold one few requests
  const Deployment deployment = MakeDeployment(experiment, 3);
  const SidecarInstance& real = *std::find_if(deployment.sidecars.begin(), deployment.sidecars.end(),
                                              [](const SidecarInstance& s) { return s.real; });
  lb::Settings settings = SidecarSettings(experiment, deployment, real);
  settings.fleet_limits.slow_start_initial_share = 0.001;
  settings.fleet_limits.slow_start_duration = seconds(1000);
  FleetRules rules(experiment, deployment, settings);
  HttpUpstreamOptions options;
  options.on_start = [&](std::size_t upstream, TimePoint at) { rules.Started(upstream, at); };
  options.on_attempt = [&](const ArrivedAttempt& attempt) {
    ASSERT_EQ(attempt.sidecar, real.index);
    rules.Attempted(*attempt.sidecar, attempt.upstream, attempt.work, attempt.at);
  };
  RealFleet fleet(experiment, deployment, LB_SIDECAR_PROGRAM, options);
  std::vector<MembershipEntry> entries;
  for (const UpstreamInstance& upstream : deployment.upstreams) {
    MembershipEntry& entry = entries.emplace_back();
    entry.id = upstream.id;
    entry.zone = upstream.zone;
    entry.endpoint = fleet.UpstreamAddress(upstream.index);
  }
  DiscoveryServerOptions discovery_options;
  discovery_options.services.resize(deployment.sidecars.size());
  DiscoveryServer discovery(entries, discovery_options);
  fleet.StartSidecars(discovery, MembershipRegistry(entries));
  fleet.StartLoad();
  for (MembershipEntry& entry : entries) {
    entry.state = UpstreamState::kDraining;
    rules.RecordReceivedEntry(real.index, entry, sidecar::Now());
  }
  const auto await = [](const std::function<bool()>& condition) {
    const TimePoint end = sidecar::Now() + kWaitLimit;
    while (!condition() && sidecar::Now() < end) std::this_thread::sleep_for(milliseconds(20));
    return condition();
  };
  EXPECT_TRUE(await([&] { return rules.counters().late_to_draining > 0; }));

  // The sidecar is not informed of the restart of an upstream either.
  entries[0].state = UpstreamState::kServing;
  entries[0].boot_ms = 1;
  fleet.PostToUpstreams([&](HttpUpstreams& upstreams) {
    upstreams.Crash(0);
    upstreams.Start(0);
    rules.RecordReceivedEntry(real.index, entries[0], sidecar::Now());
  });
  EXPECT_TRUE(await([&] { return rules.counters().cold_overloads == 1; }));
}

}  // namespace
}  // namespace lb::lab

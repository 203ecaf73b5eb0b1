// Tests of growth experiments: keys, the fleets that are run, the comparison with limits, and a small one end
// to end.
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include "lab/engine.h"
#include "lab/measure/growth.h"
#include "lab/run.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {
namespace {

const std::string kUsual =
    "name = \"g\"\nlength_s = 3\nwarm_up_s = 0\nsizes = [20]\nsidecars_per_upstream = 1.5\n";
const std::string kScenario = R"(
[load]
per_upstream = 15
[[class]]
name = "a"
mean_work_ms = 20
aim_ms = 1000
deadline_ms = 2000
[[kind]]
name = "k"
cores = 4
[discovery]
notice_delay_s = [0.05, 0.2]
[[fault]]
kind = "restart"
at_s = 0.3
lasts_s = 1
share = 0.5
)";
const std::string kGrowth = "[growth]\nupstreams = 80\nsidecars = 90\nreal = 2\n";
const std::string kShare = "[[growth_limit]]\nmetric = \"in_time_share\"\npart = \"fleet\"\nfactor = 0.85\n";

Experiment Parse(const std::string& text) { return ParseExperiment(text, "g.toml"); }
Experiment Small() { return Parse(kUsual + kScenario + kGrowth + kShare); }

TEST(GrowthFile, IsReadWithItsLimits) {
  const Experiment e =
      Parse(kUsual + kScenario + kGrowth + kShare + "comparison = \"at_least\"\n" +
            "[[growth_limit]]\nmetric = \"real_cpu_s\"\npart = \"real\"\nfactor = 1.4\nconstant = 0.02\n"
            "per_thousand = 0.03\n");
  ASSERT_TRUE(e.growth);
  EXPECT_EQ(e.growth->upstreams, 80u);
  EXPECT_EQ(e.growth->sidecars, 90u);
  EXPECT_EQ(e.growth->real, 2u);
  ASSERT_EQ(e.growth->limits.size(), 2u);
  EXPECT_EQ(e.growth->limits[0].comparison, Comparison::kAtLeast);
  EXPECT_EQ(e.growth->limits[1].comparison, Comparison::kAtMost);
  EXPECT_EQ(e.growth->limits[1].part, GrowthPart::kReal);
  EXPECT_EQ(e.growth->limits[1].per_thousand, 0.03);
  EXPECT_FALSE(Parse(kUsual + kScenario).growth);
}

TEST(GrowthFile, RejectsInvalidExperiments) {
  const auto with = [](const std::string& from, const std::string& to) {
    std::string text = kUsual + kScenario + kGrowth + kShare;
    return text.replace(text.find(from), from.size(), to);
  };
  const struct {
    std::string text, what;
  } bad[] = {
      {with("sizes = [20]", "sizes = [20, 40]"), "one size"},
      {with("warm_up_s", "clock = \"real\"\nwarm_up_s"), "virtual"},
      {with("upstreams = 80", "upstreams = 20"), "no more upstreams"},
      {with("upstreams = 80", "upstreams = 5001"), "outside 1 to 5000"},
      {with("sidecars = 90", "sidecars = 29"), "fewer sidecars"},
      {with("real = 2", "real = 31"), "fewer sidecars than are to be real"},
      {with("real = 2\n", ""), "real is missing"},
      {with("cores = 4", "cores = 3"), "3 cores of kind \"k\""},
      {with("real = 2", "real = 2\nrela = 1"), "unknown key rela"},
      {with("in_time_share", "in_tyme"), "no metric \"in_tyme\""},
      {with("part = \"fleet\"", "part = \"flet\""), "none of fleet, real"},
      {with("factor = 0.85", "comparison = \"at_first\""), "factor is missing"},
      {with(kShare, kShare + kShare), "has a limit already"},
      {with(kShare, ""), "without a [[growth_limit]]"},
      {with(kGrowth, ""), "without a [growth]"},
      {with(kShare, kShare + "[[must_hold]]\nmetric = \"requests\"\nat_least = 1\n"), "can't both be given"},
  };
  for (const auto& each : bad) {
    try {
      Parse(each.text);
      ADD_FAILURE() << "accepted a file that must be rejected with: " << each.what;
    } catch (const ExperimentError& error) {
      const std::string what = error.what();
      EXPECT_NE(what.find(each.what), std::string::npos) << what;
      EXPECT_EQ(what.find('\n'), std::string::npos);
      EXPECT_EQ(what.rfind("g.toml:", 0), 0u) << what;
    }
  }
}

// Capacity and traffic per sidecar are the same in both fleets, and so are the faults' times and shares.
TEST(Growth, TheLargeFleetKeepsConditionsPerSidecar) {
  const Experiment e = Small();
  double capacity[2], rate[2];
  std::size_t struck[2];
  for (const FleetSize fleet : {FleetSize::kUsual, FleetSize::kLarge}) {
    const Experiment played = GrowthExperiment(e, fleet, GrowthPart::kFleet);
    const Deployment d = MakeDeployment(played, played.sizes.front());
    const auto i = static_cast<std::size_t>(fleet);
    const bool large = fleet == FleetSize::kLarge;
    EXPECT_EQ(d.upstreams.size(), large ? 80u : 20u);
    ASSERT_EQ(d.sidecars.size(), large ? 90u : 30u);
    double cores = 0;
    for (const UpstreamInstance& u : d.upstreams) cores += u.kind->cores;
    capacity[i] = cores / static_cast<double>(d.sidecars.size());
    rate[i] = d.requests_per_s / static_cast<double>(d.sidecars.size());
    struck[i] = d.faults[0].upstreams.size();
    EXPECT_EQ(d.faults[0].at, std::chrono::milliseconds(300));
    EXPECT_FALSE(played.growth);
    const Experiment real = GrowthExperiment(e, fleet, GrowthPart::kReal);
    EXPECT_EQ(real.clock, ClockKind::kReal);
    EXPECT_TRUE(real.hollow_absent);
    for (const SidecarInstance& s : MakeDeployment(real, real.sizes.front()).sidecars) {
      EXPECT_NEAR(s.requests_per_s, rate[i], 1e-9);
    }
  }
  EXPECT_DOUBLE_EQ(capacity[0], capacity[1]);
  EXPECT_DOUBLE_EQ(rate[0], rate[1]);
  EXPECT_EQ(struck[0], 10u);
  EXPECT_EQ(struck[1], 40u);
}

TEST(Growth, ComparesByTheLimits) {
  constexpr double kNone = std::numeric_limits<double>::quiet_NaN();
  const struct {
    GrowthPart part;
    Comparison comparison;
    double factor, constant, per_thousand, usual, large, allowed;
    bool holds;
  } rows[] = {
      {GrowthPart::kReal, Comparison::kAtMost, 1.4, 0.02, 0.03, 1, 1.516, 1.516, true},
      {GrowthPart::kReal, Comparison::kAtMost, 1.4, 0.02, 0.03, 1, 1.517, 1.516, false},
      {GrowthPart::kFleet, Comparison::kAtMost, 2.5, 40, 0, 10, 65, 65, true},
      {GrowthPart::kFleet, Comparison::kAtLeast, 0.85, 0, 0, 0.8, 0.69, 0.68, true},
      {GrowthPart::kFleet, Comparison::kAtLeast, 0.85, 0, 0, 0.8, 0.67, 0.68, false},
      {GrowthPart::kFleet, Comparison::kAtMost, 2, 40, 0, 0, 0, 40, false},  // the metric was not measured
      {GrowthPart::kFleet, Comparison::kAtMost, 2, 40, 0, 10, kNone, 60, false},
      {GrowthPart::kFleet, Comparison::kAtLeast, 0.85, 0, 0, kNone, 1, kNone, false},
  };
  for (const auto& row : rows) {
    GrowthSpec spec{.upstreams = 3200, .sidecars = 900, .real = 1, .limits = {}};
    spec.limits.push_back(
        {"in_time_share", row.part, row.comparison, row.factor, row.constant, row.per_thousand});
    GrowthMetrics usual, large;
    (row.part == GrowthPart::kFleet ? usual.fleet : usual.real).in_time_share = row.usual;
    (row.part == GrowthPart::kFleet ? large.fleet : large.real).in_time_share = row.large;
    const std::vector<GrowthRow> compared = CompareGrowth(spec, usual, large);
    ASSERT_EQ(compared.size(), 1u);
    EXPECT_EQ(compared[0].holds, row.holds) << row.usual << " " << row.large;
    EXPECT_EQ(AllHold(compared), row.holds);
    if (!std::isnan(row.allowed)) {
      EXPECT_NEAR(compared[0].allowed, row.allowed, 1e-9);
    }
  }
}

// The exit code and the table, with engines that return prescribed metrics.
TEST(Growth, ExitCodeTellsWhetherAllLimitsHold) {
  std::string played;
  double large_share = 0.9;
  Engines engines;
  engines.on_virtual_clock = [&](const Experiment& e, const Deployment& d, const OnSample&) {
    played += e.name + " " + std::to_string(d.upstreams.size()) + ", ";
    Metrics metrics;
    metrics.upstreams = static_cast<double>(d.upstreams.size());
    metrics.in_time_share = d.upstreams.size() == 20 ? 1 : large_share;
    return metrics;
  };
  engines.on_real_clock = [&](const Experiment& e, const Deployment& d, const std::string&, const OnSample&) {
    played += e.name + " " + std::to_string(d.upstreams.size()) + ", ";
    if (large_share < 0) throw std::runtime_error("no program");
    Metrics metrics;
    metrics.real_cpu_s = 1;
    return metrics;
  };
  Experiment e = Small();
  e.growth->limits[0].comparison = Comparison::kAtLeast;
  const auto play = [&] {
    std::ostringstream progress, report;
    const ExitCode code = RunExperiment(e, {}, {progress, report}, engines);
    return std::make_pair(code, report.str());
  };
  const auto [held, table] = play();
  EXPECT_EQ(held, ExitCode::kSuccess);
  EXPECT_EQ(played, "g-fleet 20, g-fleet 80, ") << "no limit is on the real part";
  e.growth->limits.push_back({.metric = "real_cpu_s", .part = GrowthPart::kReal});
  played.clear();
  EXPECT_EQ(play().first, ExitCode::kSuccess);
  EXPECT_EQ(played, "g-fleet 20, g-fleet 80, g-real 20, g-real 80, ");
  EXPECT_NE(table.find("in_time_share  fleet  share  at least 0.85 x"), std::string::npos) << table;
  large_share = 0.8;
  const auto [failed, failed_table] = play();
  EXPECT_EQ(failed, ExitCode::kExpectationFailed);
  EXPECT_NE(failed_table.find("FAILS"), std::string::npos) << failed_table;
  large_share = -1;
  EXPECT_EQ(play().first, ExitCode::kRunFailed);
}

TEST(Growth, TheFleetPartIsReproducible) {
  for (const FleetSize fleet : {FleetSize::kUsual, FleetSize::kLarge}) {
    const Experiment played = GrowthExperiment(Small(), fleet, GrowthPart::kFleet);
    const Deployment d = MakeDeployment(played, played.sizes.front());
    const Metrics first = RunVirtual(played, d, {});
    const Metrics second = RunVirtual(played, d, {});
    EXPECT_GT(first.requests, 500);
    EXPECT_GT(first.connects_per_sidecar, 0);
    for (const auto value : {&Metrics::requests, &Metrics::in_time_share, &Metrics::connects_per_sidecar,
                             &Metrics::latency_p99_ms, &Metrics::notice_last_ms}) {
      EXPECT_EQ(first.*value, second.*value);
    }
  }
}

// Real sidecars of both fleets yield every quantity. The values depend on the machine and are not checked
// exactly.
TEST(Growth, RealSidecarsYieldEveryMetric) {
  for (const FleetSize fleet : {FleetSize::kUsual, FleetSize::kLarge}) {
    const Experiment played = GrowthExperiment(Small(), fleet, GrowthPart::kReal);
    const Deployment d = MakeDeployment(played, played.sizes.front());
    const Metrics metrics = RunReal(played, d, LB_SIDECAR_PROGRAM, {});
    EXPECT_EQ(metrics.sidecars, 2) << "the hollow sidecars are not run";
    EXPECT_GT(metrics.requests, 0);
    EXPECT_GT(metrics.real_cpu_s, 0);
    EXPECT_GE(metrics.real_peak_memory_mb, metrics.real_memory_mb);
    EXPECT_GT(metrics.real_descriptors, 3);
    EXPECT_GT(metrics.connects_per_sidecar, 0);
    // Each restarted upstream is announced as draining at least, which takes at least 100 bytes.
    EXPECT_GT(metrics.real_list_bytes, 100.0 * static_cast<double>(d.faults[0].upstreams.size()));
  }
}

}  // namespace
}  // namespace lb::lab

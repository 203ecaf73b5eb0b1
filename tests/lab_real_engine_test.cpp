// Small complete runs on the real clock, with hollow sidecars, real sidecars and faults.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/engine.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {
namespace {

constexpr const char* kSmall = R"(
name = "small"
seed = 3
clock = "real"
warm_up_s = 1
length_s = 4
sizes = [6]

[load]
per_upstream = 10

[[class]]
name = "read"
mean_work_ms = 1
aim_ms = 1000
deadline_ms = 3000

[discovery]
notice_delay_s = [0.01, 0.2]
)";

Metrics RunExperiment(const std::string& text, std::vector<Sample>& samples) {
  const Experiment experiment = ParseExperiment(text, "small.toml");
  const Deployment deployment = MakeDeployment(experiment, experiment.sizes.front());
  return RunReal(experiment, deployment, LB_SIDECAR_PROGRAM,
                 [&](const Sample& sample) { samples.push_back(sample); });
}

TEST(RealEngine, RunsHollowAndRealSidecarsWithFaults) {
  std::vector<Sample> samples;
  std::string experiment = kSmall;
  experiment += R"(
[sidecars]
real = 2

[[fault]]
kind = "change"
at_s = 0.2
lasts_s = 1
count = 4

[[fault]]
kind = "crash"
at_s = 1.5
lasts_s = 1
share = 0.1

[[fault]]
kind = "sidecars_killed"
at_s = 1
share = 1
)";
  const Metrics metrics = RunExperiment(experiment, samples);
  EXPECT_EQ(metrics.sidecars, 6);
  EXPECT_GT(metrics.requests, 100);
  EXPECT_GT(metrics.in_time_share, 0.2);
  EXPECT_GT(metrics.attempts_per_request, 0.2);
  EXPECT_GT(metrics.added_p50_ms, 0);  // measured for real sidecars only
  EXPECT_GT(metrics.real_memory_mb, 0);
  EXPECT_GT(metrics.hollow_cpu, 0);
  EXPECT_GT(metrics.change_bytes, 100);
  EXPECT_GT(metrics.notice_last_ms, metrics.notice_p50_ms);
  EXPECT_EQ(metrics.notices_missing, 0);
  EXPECT_GT(metrics.control_bytes_per_s, 0);
  ASSERT_GE(samples.size(), 4u);
  EXPECT_GT(samples.back().at_s, 4);
}

TEST(RealEngine, RefusesExperimentsBeyondTheMachinesLimits) {
  std::vector<Sample> samples;
  const std::string many_upstreams = "sidecars_per_upstream = 100\n" + std::string(kSmall);
  EXPECT_THROW(RunExperiment(many_upstreams + "\n[sidecars]\nreal = 400\n", samples), std::runtime_error);
  EXPECT_THROW(RunExperiment(many_upstreams + "\n[sidecars]\nreal = 200\nmemory_mb = 1000000\n", samples),
               std::runtime_error);
  EXPECT_TRUE(samples.empty());
}

}  // namespace
}  // namespace lb::lab

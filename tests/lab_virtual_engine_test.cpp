// Runs complete small experiments on the virtual engine and checks their samples and metrics.
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/engine.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "tests/lab_small_fleet.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FaultEvent Fault(FaultKind kind, Duration at, Duration until, std::vector<std::size_t> upstreams = {}) {
  FaultEvent fault;
  fault.kind = kind;
  fault.at = at;
  fault.until = until;
  fault.upstreams = std::move(upstreams);
  return fault;
}

std::vector<Sample> RunExperiment(const Experiment& experiment, const Deployment& deployment,
                                  Metrics* metrics) {
  std::vector<Sample> samples;
  *metrics = RunVirtual(experiment, deployment, [&](const Sample& sample) { samples.push_back(sample); });
  return samples;
}

TEST(VirtualEngine, TheSameExperimentGivesTheSameSamples) {
  Experiment experiment = SmallExperiment();
  experiment.sidecars.probes = true;
  experiment.sidecars.probe_price = 0.001;
  Deployment deployment = MakeSmallDeployment(experiment, 8, 8, 20);
  deployment.faults = {Fault(FaultKind::kCrash, seconds(3), seconds(5), {1, 2}),
                       Fault(FaultKind::kRestart, seconds(6), seconds(8), {4, 5})};
  Metrics first_metrics, second_metrics;
  const auto first = RunExperiment(experiment, deployment, &first_metrics);
  const auto second = RunExperiment(experiment, deployment, &second_metrics);
  ASSERT_EQ(first.size(), 10u);
  ASSERT_EQ(second.size(), first.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].traffic.requests, second[i].traffic.requests);
    EXPECT_EQ(first[i].traffic.attempts, second[i].traffic.attempts);
    EXPECT_EQ(first[i].traffic.probes, second[i].traffic.probes);
    EXPECT_EQ(first[i].latency_p99_ms, second[i].latency_p99_ms);
    EXPECT_EQ(first[i].notice_last_ms, second[i].notice_last_ms);
    EXPECT_EQ(first[i].load_spread, second[i].load_spread);
    EXPECT_EQ(first[i].outstanding_requests, second[i].outstanding_requests);
  }
  EXPECT_EQ(first_metrics.in_time_share, second_metrics.in_time_share);
  EXPECT_GT(first_metrics.probes_per_request, 0);
  experiment.seed = 2;
  const auto other = RunExperiment(experiment, deployment, &second_metrics);
  EXPECT_NE(first[0].latency_p99_ms, other[0].latency_p99_ms);
}

TEST(VirtualEngine, ABurstLeadsToQueueingAndLateAnswersWhileItLasts) {
  Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmallDeployment(experiment, 4, 8, 25);  // a load of half the capacity
  FaultEvent burst = Fault(FaultKind::kBurst, seconds(4), seconds(7));
  burst.factor = 4;
  deployment.faults = {burst};
  Metrics metrics;
  const auto samples = RunExperiment(experiment, deployment, &metrics);
  EXPECT_GT(samples[3].in_time_share, 0.95);
  EXPECT_GT(samples[5].traffic.requests, 2 * samples[3].traffic.requests);
  EXPECT_LT(samples[5].in_time_share, 0.7);
  EXPECT_GT(samples[5].outstanding_requests, 3 * samples[3].outstanding_requests);
  EXPECT_GT(samples[9].in_time_share, 0.9);
  EXPECT_LE(metrics.worst_second_share, samples[5].in_time_share);
  EXPECT_GT(metrics.last_third_share, metrics.worst_second_share);
  const double shares =
      metrics.in_time_share + metrics.late_share + metrics.refused_share + metrics.failed_share;
  EXPECT_NEAR(shares, 1, 1e-9);
}

TEST(VirtualEngine, ChangesReachEachSidecarWithinTheNoticeDelay) {
  const Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmallDeployment(experiment, 4, 10, 5);
  FaultEvent change = Fault(FaultKind::kChange, seconds(2), seconds(6), {0, 1});
  change.count = 8;
  deployment.faults = {change};
  Metrics metrics;
  RunExperiment(experiment, deployment, &metrics);
  EXPECT_GE(metrics.notice_p50_ms, 100);
  EXPECT_LE(metrics.notice_last_ms, 1000);
  EXPECT_EQ(metrics.notices_missing, 0);
  EXPECT_GT(metrics.change_cpu_ms, 0);
}

TEST(VirtualEngine, OtherZoneTakesOverForLostZoneUntilItReturns) {
  const Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmallDeployment(experiment, 8, 8, 15);
  deployment.faults = {Fault(FaultKind::kZoneLost, seconds(3), seconds(6), {1, 3, 5, 7})};
  Metrics metrics;
  const auto samples = RunExperiment(experiment, deployment, &metrics);
  EXPECT_GT(samples[3].traffic.attempts_timed_out + samples[3].traffic.connects_failed, 0u);
  EXPECT_GT(samples[9].in_time_share, 0.95);
  EXPECT_LT(metrics.worst_second_share, 0.95);
  EXPECT_EQ(metrics.notices_missing, 0);
}

TEST(VirtualEngine, KilledSidecarsFailTheirRequestsAndServeAgain) {
  Experiment experiment = SmallExperiment();
  experiment.clients.retries = 0;
  Deployment deployment = MakeSmallDeployment(experiment, 4, 6, 20);
  FaultEvent kill = Fault(FaultKind::kSidecarsKilled, milliseconds(4500), milliseconds(4500));
  kill.sidecars = {0, 1, 2};
  deployment.faults = {kill};
  Metrics metrics;
  const auto samples = RunExperiment(experiment, deployment, &metrics);
  EXPECT_EQ(samples[3].traffic.failed, 0u);
  EXPECT_GT(samples[4].traffic.failed, 10u);
  EXPECT_GT(samples[7].in_time_share, 0.95);
}

}  // namespace
}  // namespace lb::lab

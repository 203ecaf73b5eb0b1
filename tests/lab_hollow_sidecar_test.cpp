// Tests of hollow sidecars: the real decision module with modelled connections and upstreams.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/model/client_model.h"
#include "lab/model/network_model.h"
#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/hollow_sidecar.h"
#include "tests/lab_small_fleet.h"

namespace lb::lab {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Hollow sidecars and modelled upstreams, without modelled clients and discovery.
struct SidecarRig {
  explicit SidecarRig(Experiment given, std::size_t upstream_count = 4, std::size_t sidecar_count = 3,
                      std::uint64_t seed = 1)
      : experiment(std::move(given)),
        deployment(MakeSmallDeployment(experiment, upstream_count, sidecar_count, 1)),
        network(experiment.network, seed) {
    for (const auto& instance : deployment.upstreams) {
      upstreams.push_back(std::make_unique<UpstreamModel>(instance, experiment.upstreams, scheduler));
      directory.Add(*upstreams.back());
      UpstreamInfo info;
      info.id = {instance.id};
      info.zone = instance.zone;
      list.push_back(info);
    }
    for (const auto& instance : deployment.sidecars) {
      sidecars.push_back(std::make_unique<HollowSidecar>(instance,
                                                         SidecarSettings(experiment, deployment, instance),
                                                         directory, network, scheduler, counters, nullptr));
      sidecars.back()->Start(instance.seed + seed, list);
    }
  }
  void Offer(std::size_t sidecar, Duration work, Duration deadline) {
    const std::size_t number = answers.size();
    answers.emplace_back();
    sidecars[sidecar]->Offer(
        {lb::ClassId{0}, work, scheduler.Now() + deadline, false},
        [this, number](const Answer& answer) { answers[number].push_back(answer.kind); });
  }
  void Run(Duration time) { scheduler.RunUntil(scheduler.Now() + time); }
  void ApplyUpdate(std::size_t upstream, UpstreamState state, std::optional<TimePoint> started) {
    list[upstream].state = state;
    list[upstream].started = started;
    for (auto& sidecar : sidecars) sidecar->Apply({MembershipUpdate::Kind::kChanges, {list[upstream]}});
  }
  std::size_t Count(AnswerKind kind) const {
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [kind](const auto& got) {
      return got.size() == 1 && got[0] == kind;
    }));
  }

  VirtualScheduler scheduler;
  Experiment experiment;
  Deployment deployment;
  NetworkModel network;
  TrafficCounters counters;
  std::vector<std::unique_ptr<UpstreamModel>> upstreams;
  UpstreamDirectory directory;
  std::vector<UpstreamInfo> list;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars;
  std::vector<std::vector<AnswerKind>> answers;
};

TEST(HollowSidecar, ReusesConnectionsAndClosesLongIdleOnes) {
  SidecarRig rig(SmallExperiment());
  for (int i = 0; i < 100; ++i) {
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(50));
  }
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 100u);
  EXPECT_EQ(rig.counters.attempts, 100u);
  EXPECT_LE(rig.counters.connects, 4u);
  EXPECT_EQ(rig.sidecars[0]->idle_connections(), rig.counters.connects);
  EXPECT_GT(rig.counters.crossings, 0u);
  rig.Run(rig.experiment.upstreams.idle_close);
  EXPECT_EQ(rig.sidecars[0]->idle_connections(), 0u);
  for (const auto& upstream : rig.upstreams) EXPECT_EQ(upstream->connections(), 0u);
}

TEST(HollowSidecar, KillLosesOpenRequestsAndRestartServesAgain) {
  SidecarRig rig(SmallExperiment());
  rig.Offer(0, milliseconds(100), milliseconds(500));
  rig.Run(milliseconds(20));
  rig.sidecars[0]->Kill();
  rig.Offer(0, milliseconds(5), milliseconds(500));
  rig.Run(seconds(2));
  EXPECT_EQ(rig.Count(AnswerKind::kLost), 2u);
  for (const auto& upstream : rig.upstreams) EXPECT_EQ(upstream->connections(), 0u);
  rig.sidecars[0]->Start(9, rig.list);
  rig.Offer(0, milliseconds(5), milliseconds(500));
  rig.Run(seconds(2));
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 1u);
}

TEST(HollowSidecar, ConnectToUnreachableUpstreamTimesOut) {
  Experiment experiment = SmallExperiment();
  experiment.regions = 2;
  SidecarRig rig(experiment, 1, 2);  // the upstream is in the region of sidecar 0
  rig.network.SetRegionsCut(true);
  rig.Offer(1, milliseconds(5), milliseconds(900));
  rig.Offer(0, milliseconds(5), milliseconds(900));
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 1u);
  EXPECT_GE(rig.counters.connects_failed, 1u);
  EXPECT_EQ(rig.counters.attempts, 1u);
}

TEST(HollowSidecar, ClosesConnectionsOfDrainingUpstreamAndSendsItNoRequests) {
  SidecarRig rig(SmallExperiment(), 2, 1);
  for (int i = 0; i < 20; ++i) {
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(50));
  }
  ASSERT_EQ(rig.upstreams[0]->connections(), 1u);
  const auto served = rig.upstreams[0]->served();
  rig.ApplyUpdate(0, UpstreamState::kDraining, {});
  EXPECT_EQ(rig.upstreams[0]->connections(), 0u);
  for (int i = 0; i < 20; ++i) {
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(50));
  }
  EXPECT_EQ(rig.upstreams[0]->served(), served);
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 40u);
}

TEST(HollowSidecar, DoesNotKeepConnectionToRestartedUpstream) {
  for (const bool restarted : {false, true}) {
    SidecarRig rig(SmallExperiment(), 1, 1);
    rig.Offer(0, milliseconds(100), milliseconds(500));
    rig.Run(milliseconds(50));
    rig.ApplyUpdate(0, UpstreamState::kServing,
                    restarted ? std::optional(rig.scheduler.Now()) : std::nullopt);
    rig.Run(milliseconds(100));
    EXPECT_EQ(rig.Count(AnswerKind::kServed), 1u);
    EXPECT_EQ(rig.sidecars[0]->idle_connections(), restarted ? 0u : 1u);
    EXPECT_EQ(rig.upstreams[0]->connections(), restarted ? 0u : 1u);
  }
}

TEST(HollowSidecar, DoesNotSendUnwrittenRequestToDrainingUpstream) {
  Experiment experiment = SmallExperiment();
  experiment.upstreams.handshake_work = milliseconds(100);
  SidecarRig rig(experiment, 1, 1);
  rig.Offer(0, milliseconds(5), milliseconds(500));
  rig.Run(milliseconds(50));
  rig.ApplyUpdate(0, UpstreamState::kDraining, {});
  EXPECT_EQ(rig.Count(AnswerKind::kRefused), 1u);
  rig.Run(seconds(1));
  EXPECT_EQ(rig.counters.attempts, 0u);
  EXPECT_EQ(rig.upstreams[0]->connections(), 0u);
}

TEST(HollowSidecar, DetectsCrashedUpstreamUnlessMachineWasUnresponsive) {
  for (const bool unresponsive : {false, true}) {
    Experiment experiment = SmallExperiment();
    experiment.classes[0].idempotency = lb::Idempotency::kNotIdempotent;
    SidecarRig rig(experiment, 1, 1);
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(100));
    rig.upstreams[0]->SetSilent(unresponsive);
    rig.upstreams[0]->Crash();
    rig.upstreams[0]->SetSilent(false);
    rig.upstreams[0]->Start();
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(100));
    EXPECT_EQ(rig.Count(AnswerKind::kServed), unresponsive ? 1u : 2u);
    EXPECT_EQ(rig.Count(AnswerKind::kFailed),
              unresponsive ? 1u : 0u);  // the stale connection is reset when it is used
  }
}

TEST(HollowSidecar, RunsOnTheRealClock) {
  const Experiment experiment = SmallExperiment();
  const Deployment deployment = MakeSmallDeployment(experiment, 1, 1, 1);
  boost::asio::io_context io;
  RealScheduler scheduler(io);
  NetworkModel network(experiment.network, 1);
  TrafficCounters counters;
  UpstreamModel upstream(deployment.upstreams[0], experiment.upstreams, scheduler);
  UpstreamDirectory directory;
  directory.Add(upstream);
  HollowSidecar sidecar(deployment.sidecars[0],
                        SidecarSettings(experiment, deployment, deployment.sidecars[0]), directory, network,
                        scheduler, counters, nullptr);
  UpstreamInfo info;
  info.id = {deployment.upstreams[0].id};
  sidecar.Start(1, {info});
  int answers = 0, served = 0;
  for (int i = 0; i < 5; ++i) {
    const OfferedRequest request{lb::ClassId{0}, milliseconds(1), scheduler.Now() + seconds(10), false};
    sidecar.Offer(request, [&](const Answer& answer) {
      ++answers;
      served += answer.kind == AnswerKind::kServed;
    });
  }
  EXPECT_EQ(answers, 0);
  while (answers < 5) io.run_one();
  EXPECT_EQ(served, 5);
  EXPECT_EQ(upstream.served(), 5u);
}

// Injects or ends a random fault of one upstream, one sidecar or the network between regions.
void ChangeFaultAtRandom(SidecarRig& rig, std::mt19937_64& random) {
  const std::size_t index = random() % rig.upstreams.size();
  UpstreamModel& upstream = *rig.upstreams[index];
  switch (random() % 9) {
    case 0:
      return upstream.Crash();
    case 1:
      return upstream.SetHanging(random() % 2 == 0);
    case 2:
      return upstream.SetSilent(random() % 2 == 0);
    case 3:
      return upstream.SetSlowdown(random() % 2 == 0 ? 10 : 1);
    case 4:
      return upstream.SetDraining(random() % 2 == 0);
    case 5:
      upstream.Start();
      return rig.ApplyUpdate(index, UpstreamState::kServing, rig.scheduler.Now());
    case 6:
      return rig.ApplyUpdate(index, static_cast<UpstreamState>(random() % 3), rig.list[index].started);
    case 7:
      return rig.network.SetRegionsCut(random() % 2 == 0);
    default:
      HollowSidecar& sidecar = *rig.sidecars[random() % rig.sidecars.size()];
      return sidecar.running() ? sidecar.Kill() : sidecar.Start(random(), rig.list);
  }
}

TEST(HollowSidecar, UnderRandomFaultsEachRequestGetsOneAnswerAndNoConnectionLeaks) {
  constexpr std::uint64_t kSeeds = 60;
  std::size_t served = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    Experiment experiment = SmallExperiment();
    experiment.regions = 2;
    experiment.sidecars.probes = seed % 2 == 0;
    experiment.sidecars.probe_price = 0.001;
    experiment.upstreams.cancel_stops_work = seed % 3 == 0;
    const lb::Idempotency effects[] = {lb::Idempotency::kIdempotent, lb::Idempotency::kNotIdempotent};
    experiment.classes[0].idempotency = effects[seed % 2];
    SidecarRig rig(experiment, 4, 3, seed);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 2000; ++i) {
      if (random() % 20 == 0) ChangeFaultAtRandom(rig, random);
      rig.Offer(random() % 3, Duration(random() % 60000), Duration(20000 + random() % 900000));
      rig.Run(Duration(random() % 20000));
    }
    rig.Run(seconds(2));
    std::uint64_t answer_faults = 0;
    for (const auto& sidecar : rig.sidecars) answer_faults += sidecar->answer_faults();
    EXPECT_EQ(answer_faults, 0u) << "seed " << seed;
    for (const auto& got : rig.answers) ASSERT_EQ(got.size(), 1u) << "seed " << seed;
    served += rig.Count(AnswerKind::kServed);
    for (const auto& upstream : rig.upstreams) {
      upstream->SetSilent(false);
      upstream->SetHanging(false);
    }
    rig.Run(2 * experiment.upstreams.idle_close);
    for (const auto& sidecar : rig.sidecars) EXPECT_EQ(sidecar->requests_open(), 0u) << "seed " << seed;
    for (const auto& upstream : rig.upstreams) EXPECT_EQ(upstream->connections(), 0u) << "seed " << seed;
  }
  EXPECT_GT(served, kSeeds * 200);  // requests are still served between faults
}

}  // namespace
}  // namespace lb::lab

// Tests of the modelled discovery on the virtual clock: delivery of changes, its delays and its faults.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/membership_notices.h"
#include "tests/lab_small_fleet.h"

namespace lb::lab {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct NoticesRig {
  explicit NoticesRig(Experiment given, std::size_t sidecars = 20)
      : experiment(std::move(given)),
        deployment(MakeSmallDeployment(experiment, 6, sidecars, 1)),
        notices(
            experiment, deployment, scheduler,
            [this](std::size_t sidecar, const MembershipUpdate& update) {
              failures += update.kind == MembershipUpdate::Kind::kFailed;
              for (const auto& info : update.upstreams) received[sidecar].push_back(info.weight);
            },
            [this](TimePoint, Duration delay) { delays.push_back(delay); }) {}
  // Changes an upstream's weight. Tests use ascending weights to check the order of delivery.
  void Change(std::size_t upstream, double weight) {
    UpstreamInfo entry = notices.entry(upstream);
    entry.weight = weight;
    notices.Change(upstream, entry);
  }
  void Run(Duration time) { scheduler.RunUntil(scheduler.Now() + time); }
  Duration Longest() const { return *std::max_element(delays.begin(), delays.end()); }
  Duration Shortest() const { return *std::min_element(delays.begin(), delays.end()); }

  VirtualScheduler scheduler;
  std::map<std::size_t, std::vector<double>> received;
  std::vector<Duration> delays;
  int failures = 0;
  Experiment experiment;
  Deployment deployment;
  MembershipNotices notices;
};

TEST(MembershipNotices, DeliversEachChangeOnceAndInOrder) {
  NoticesRig rig(SmallExperiment());
  std::vector<double> all;
  for (int i = 1; i <= 30; ++i) {
    rig.Change(static_cast<std::size_t>(i) % 6, i);
    all.push_back(i);
    rig.Run(milliseconds(70));
    if (i == 10) rig.notices.SetLostShare(0.5);
  }
  rig.Run(seconds(7));
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(rig.received[i], all) << "sidecar " << i;
  EXPECT_EQ(rig.delays.size(), 600u);
  EXPECT_EQ(rig.notices.UndeliveredChanges(), 0u);
  EXPECT_GE(rig.Shortest(), milliseconds(100));
}

TEST(MembershipNotices, DelayIsThatOfTheSpecTimesTheFactor) {
  NoticesRig rig(SmallExperiment());
  rig.Change(0, 2);
  rig.Run(seconds(2));
  EXPECT_GE(rig.Shortest(), milliseconds(100));
  EXPECT_LE(rig.Longest(), milliseconds(1000));
  EXPECT_GT(rig.Longest() - rig.Shortest(), milliseconds(300));
  rig.delays.clear();
  rig.notices.SetDelayFactor(3);
  rig.Change(0, 3);
  rig.Run(seconds(4));
  EXPECT_GE(rig.Shortest(), milliseconds(300));
  EXPECT_GT(rig.Longest(), milliseconds(1000));
}

TEST(MembershipNotices, LateNoticeDelaysLaterOnes) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SetDelayFactor(10);
  rig.Change(0, 2);
  rig.notices.SetDelayFactor(1);
  rig.Change(1, 3);
  rig.Run(milliseconds(990));
  EXPECT_TRUE(rig.received.empty());
  rig.Run(seconds(10));
  EXPECT_EQ(rig.received.size(), 20u);
}

TEST(MembershipNotices, DeliversChangesSixSecondsAfterWatchesAreSilenced) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SilenceWatches();
  rig.Run(seconds(2));
  rig.Change(0, 2);
  rig.Run(milliseconds(3900));
  EXPECT_TRUE(rig.received.empty());
  rig.Run(milliseconds(200));
  EXPECT_EQ(rig.received.size(), 20u);
}

TEST(MembershipNotices, DeliversLostNoticeWithTheNextOneOrAfterSixSeconds) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SetLostShare(1);
  rig.Change(0, 2);
  rig.Run(milliseconds(5900));
  EXPECT_TRUE(rig.received.empty());
  rig.Run(milliseconds(200));
  EXPECT_EQ(rig.received.size(), 20u);
  rig.received.clear();
  rig.Change(0, 3);
  rig.notices.SetLostShare(0);
  rig.Change(0, 4);
  rig.Run(milliseconds(1100));
  ASSERT_EQ(rig.received.size(), 20u);
  EXPECT_EQ(rig.received[0], (std::vector<double>{3, 4}));
}

TEST(MembershipNotices, DeliversNothingWhileDiscoveryIsDownAndAllChangesAfterwards) {
  NoticesRig rig(SmallExperiment());
  rig.Change(0, 2);
  rig.notices.SetDiscoveryDown(true);
  rig.Change(1, 3);
  rig.Run(seconds(10));
  EXPECT_TRUE(rig.received.empty());
  EXPECT_EQ(rig.notices.UndeliveredChanges(), 40u);
  rig.notices.SetDiscoveryDown(false);
  rig.Run(milliseconds(1100));
  ASSERT_EQ(rig.received.size(), 20u);
  EXPECT_EQ(rig.received[7], (std::vector<double>{2, 3}));
}

TEST(MembershipNotices, DeliversOnlyChangesOfOwnServiceIfListIsByService) {
  Experiment experiment = SmallExperiment();
  experiment.services = 2;
  experiment.list = ListScope::kService;
  NoticesRig rig(experiment);
  EXPECT_EQ(rig.notices.DeliveredList(1).size(), 3u);
  rig.Change(1, 5);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.received.size(), 10u);
  EXPECT_TRUE(rig.received.contains(1) && !rig.received.contains(0));
}

TEST(MembershipNotices, OnRequestDeliversNothingBeforeSubscribeAndReportsFailure) {
  Experiment experiment = SmallExperiment();
  experiment.discovery.on_request = true;
  NoticesRig rig(experiment, 2);
  rig.Change(0, 2);
  rig.Run(seconds(2));
  EXPECT_TRUE(rig.received.empty());
  rig.notices.Subscribe(0);
  rig.Run(milliseconds(10));
  EXPECT_EQ(rig.received[0], std::vector<double>{2});
  rig.notices.SetDiscoveryDown(true);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.failures, 2);
  rig.notices.Subscribe(0);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.failures, 3);
}

TEST(MembershipNotices, RestartedSidecarKeepsDeliveredListAndReceivesMissedChanges) {
  NoticesRig rig(SmallExperiment());
  rig.Change(0, 2);
  rig.Run(seconds(2));
  rig.notices.MarkSidecarDown(3);
  rig.Change(1, 3);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.notices.DeliveredList(3)[0].weight, 2);
  EXPECT_EQ(rig.notices.DeliveredList(3)[1].weight, 1);
  rig.notices.MarkSidecarUp(3);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.received[3], (std::vector<double>{2, 3}));
  EXPECT_EQ(rig.delays.size(), 39u);  // no delay is recorded for a change made while the sidecar was down
}

}  // namespace
}  // namespace lb::lab

// Watch events of the modelled discovery, on the virtual clock.
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
              for (const auto& info : update.upstreams) told[sidecar].push_back(info.weight);
            },
            [this](TimePoint, Duration delay) { delays.push_back(delay); }) {}
  // Change number `weight` in order.
  void Change(std::size_t upstream, double weight) {
    UpstreamInfo entry = notices.entry(upstream);
    entry.weight = weight;
    notices.Change(upstream, entry);
  }
  void Run(Duration time) { scheduler.RunUntil(scheduler.Now() + time); }
  Duration Longest() const { return *std::max_element(delays.begin(), delays.end()); }
  Duration Shortest() const { return *std::min_element(delays.begin(), delays.end()); }

  VirtualScheduler scheduler;
  std::map<std::size_t, std::vector<double>> told;
  std::vector<Duration> delays;
  int failures = 0;
  Experiment experiment;
  Deployment deployment;
  MembershipNotices notices;
};

TEST(MembershipNotices, EachSidecarHearsOfEachChangeOnceInOrder) {
  NoticesRig rig(SmallExperiment());
  std::vector<double> all;
  for (int i = 1; i <= 30; ++i) {
    rig.Change(static_cast<std::size_t>(i) % 6, i);
    all.push_back(i);
    rig.Run(milliseconds(70));
    if (i == 10) rig.notices.SetLostShare(0.5);
  }
  rig.Run(seconds(7));
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(rig.told[i], all) << "sidecar " << i;
  EXPECT_EQ(rig.delays.size(), 600u);
  EXPECT_EQ(rig.notices.Untold(), 0u);
  EXPECT_GE(rig.Shortest(), milliseconds(100));
}

TEST(MembershipNotices, DelaysAreThoseOfTheSpecTimesTheFactor) {
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

TEST(MembershipNotices, ALateNoticeHoldsUpThoseBehindIt) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SetDelayFactor(10);
  rig.Change(0, 2);
  rig.notices.SetDelayFactor(1);
  rig.Change(1, 3);
  rig.Run(milliseconds(990));
  EXPECT_TRUE(rig.told.empty());
  rig.Run(seconds(10));
  EXPECT_EQ(rig.told.size(), 20u);
}

TEST(MembershipNotices, ASilentWatchIsMadeUpForAfterSixSeconds) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SilenceWatches();
  rig.Run(seconds(2));
  rig.Change(0, 2);
  rig.Run(milliseconds(3900));
  EXPECT_TRUE(rig.told.empty());
  rig.Run(milliseconds(200));
  EXPECT_EQ(rig.told.size(), 20u);
}

TEST(MembershipNotices, ALostNoticeComesWithTheNextOneOrAfterSixSeconds) {
  NoticesRig rig(SmallExperiment());
  rig.notices.SetLostShare(1);
  rig.Change(0, 2);
  rig.Run(milliseconds(5900));
  EXPECT_TRUE(rig.told.empty());
  rig.Run(milliseconds(200));
  EXPECT_EQ(rig.told.size(), 20u);
  rig.told.clear();
  rig.Change(0, 3);
  rig.notices.SetLostShare(0);
  rig.Change(0, 4);
  rig.Run(milliseconds(1100));
  ASSERT_EQ(rig.told.size(), 20u);
  EXPECT_EQ(rig.told[0], (std::vector<double>{3, 4}));
}

TEST(MembershipNotices, WhileDiscoveryIsDownNobodyIsToldAndAllIsToldAtItsReturn) {
  NoticesRig rig(SmallExperiment());
  rig.Change(0, 2);
  rig.notices.SetDiscoveryDown(true);
  rig.Change(1, 3);
  rig.Run(seconds(10));
  EXPECT_TRUE(rig.told.empty());
  EXPECT_EQ(rig.notices.Untold(), 40u);
  rig.notices.SetDiscoveryDown(false);
  rig.Run(milliseconds(1100));
  ASSERT_EQ(rig.told.size(), 20u);
  EXPECT_EQ(rig.told[7], (std::vector<double>{2, 3}));
}

TEST(MembershipNotices, ASidecarHearsOfItsOwnServiceAloneWhereTheListIsByService) {
  Experiment experiment = SmallExperiment();
  experiment.services = 2;
  experiment.list = ListScope::kService;
  NoticesRig rig(experiment);
  EXPECT_EQ(rig.notices.Known(1).size(), 3u);
  rig.Change(1, 5);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.told.size(), 10u);
  EXPECT_TRUE(rig.told.contains(1) && !rig.told.contains(0));
}

TEST(MembershipNotices, OnRequestNobodyHearsBeforeItAsksAndAFailedAskIsTold) {
  Experiment experiment = SmallExperiment();
  experiment.discovery.on_request = true;
  NoticesRig rig(experiment, 2);
  rig.Change(0, 2);
  rig.Run(seconds(2));
  EXPECT_TRUE(rig.told.empty());
  rig.notices.Subscribe(0);
  rig.Run(milliseconds(10));
  EXPECT_EQ(rig.told[0], std::vector<double>{2});
  rig.notices.SetDiscoveryDown(true);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.failures, 2);
  rig.notices.Subscribe(0);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.failures, 3);
}

TEST(MembershipNotices, ARestartedSidecarHoldsWhatItWasToldAndHearsTheRest) {
  NoticesRig rig(SmallExperiment());
  rig.Change(0, 2);
  rig.Run(seconds(2));
  rig.notices.SidecarDown(3);
  rig.Change(1, 3);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.notices.Known(3)[0].weight, 2);
  EXPECT_EQ(rig.notices.Known(3)[1].weight, 1);
  rig.notices.SidecarUp(3);
  rig.Run(seconds(2));
  EXPECT_EQ(rig.told[3], (std::vector<double>{2, 3}));
  EXPECT_EQ(rig.delays.size(), 39u);  // the change from before its start is none of its delays
}

}  // namespace
}  // namespace lb::lab

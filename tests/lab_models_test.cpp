// The emulator's models, each on the virtual clock, and whole runs of the virtual engine.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/engine.h"
#include "lab/model/client_model.h"
#include "lab/model/network_model.h"
#include "lab/model/upstream_model.h"
#include "lab/virtual/hollow_sidecar.h"
#include "lab/virtual/membership_notices.h"
#include "lab/model/scheduler.h"

namespace lb::lab {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One class of safe requests, machines of two cores, two zones in one region.
Experiment SmallExperiment() {
  Experiment experiment;
  experiment.name = "small";
  experiment.warm_up = seconds(1);
  experiment.length = seconds(9);
  ClassSpec spec;
  spec.name = "get";
  spec.mean_work = milliseconds(20);
  spec.latency_objective = milliseconds(200);
  spec.deadline = milliseconds(1000);
  experiment.classes = {spec};
  KindSpec kind;
  kind.name = "m1";
  experiment.upstreams.kinds = {kind};
  experiment.upstreams.handshake_work = milliseconds(1);
  experiment.upstreams.probe_work = microseconds(100);
  experiment.zones = 2;
  return experiment;
}

Deployment MakeSmall(const Experiment& experiment, std::size_t upstreams, std::size_t sidecars, double rate) {
  Deployment deployment;
  deployment.zones = {"r1-z1", "r1-z2"};
  for (std::size_t i = 0; i < upstreams; ++i) {
    UpstreamInstance upstream;
    upstream.index = i;
    upstream.id = "u-" + std::to_string(i);
    upstream.service = i % experiment.services;
    upstream.region = i % experiment.regions;
    upstream.zone = deployment.zones[i % 2];
    upstream.kind = &experiment.upstreams.kinds[0];
    deployment.upstreams.push_back(upstream);
  }
  for (std::size_t i = 0; i < sidecars; ++i) {
    SidecarInstance sidecar;
    sidecar.index = i;
    sidecar.name = "s-" + std::to_string(i);
    sidecar.service = i % experiment.services;
    sidecar.region = i % experiment.regions;
    sidecar.zone = deployment.zones[i % 2];
    sidecar.requests_per_s = rate;
    sidecar.seed = DeriveSeed(experiment.seed, "sidecar", i);
    deployment.sidecars.push_back(sidecar);
  }
  return deployment;
}

FaultEvent Fault(FaultKind kind, Duration at, Duration until, std::vector<std::size_t> upstreams = {}) {
  FaultEvent fault;
  fault.kind = kind;
  fault.at = at;
  fault.until = until;
  fault.upstreams = std::move(upstreams);
  return fault;
}

// ---- Schedulers ----

TEST(VirtualScheduler, RunsTasksByTimeAndThoseOfOneTimeInOrder) {
  VirtualScheduler scheduler;
  const TimePoint start = scheduler.Now();
  std::string order;
  scheduler.After(seconds(2), [&] { order += 'c'; });
  scheduler.After(seconds(1), [&] {
    order += 'a';
    scheduler.After(Duration::zero(), [&] { order += 'x'; });
  });
  scheduler.After(seconds(1), [&] { order += 'b'; });
  scheduler.After(seconds(3), [&] { order += 'd'; });
  scheduler.RunUntil(start + seconds(2));
  EXPECT_EQ(order, "abxc");
  EXPECT_EQ(scheduler.Now(), start + seconds(2));
  EXPECT_EQ(scheduler.tasks_run(), 4u);
}

TEST(RealScheduler, RunsTasksInOrderAndNeverInsideTheCall) {
  boost::asio::io_context io;
  RealScheduler scheduler(io);
  std::string order;
  const TimePoint start = scheduler.Now();
  scheduler.At(start + milliseconds(20), [&] { order += 'c'; });
  scheduler.At(start + milliseconds(10), [&] { order += 'b'; });
  scheduler.At(start - seconds(1), [&] { order += 'a'; });
  EXPECT_EQ(order, "");
  io.run();  // until nothing is scheduled any more
  EXPECT_EQ(order, "abc");
  EXPECT_GE(scheduler.Now(), start + milliseconds(20));
}

// ---- The upstream ----

class UpstreamTest : public ::testing::Test {
 protected:
  UpstreamTest() {
    kind_.cores = 2;
    kind_.slots_per_core = 2;
    kind_.queue_per_core = 3;
    kind_.connections_per_core = 5;
    spec_.handshake_work = milliseconds(1);
    spec_.probe_work = milliseconds(1);
    instance_.id = "u";
    instance_.kind = &kind_;
  }

  UpstreamModel& Model() {
    if (!model_) model_ = std::make_unique<UpstreamModel>(instance_, spec_, scheduler_);
    return *model_;
  }
  UpstreamModel::CallId Serve(Duration work) {
    return Model().Serve(work, [this](ServeResult result) {
      ++results_[result];
      last_end_ = scheduler_.Now();
    });
  }
  void Run(Duration time) { scheduler_.RunUntil(scheduler_.Now() + time); }
  // Keeps it busy with `held` requests for so long; returns the work done a second, on a core of speed 1.
  double Saturate(std::size_t held, Duration time) {
    const double before = Model().served_work();
    const TimePoint until = scheduler_.Now() + time;
    while (scheduler_.Now() < until) {
      while (Model().held() < held) Serve(milliseconds(10));
      Run(milliseconds(1));
    }
    return (Model().served_work() - before) / static_cast<double>(time.count());
  }

  VirtualScheduler scheduler_;
  KindSpec kind_;
  UpstreamSpec spec_;
  UpstreamInstance instance_;
  std::unique_ptr<UpstreamModel> model_;
  std::map<ServeResult, int> results_;
  TimePoint last_end_;
};

TEST_F(UpstreamTest, ThroughputIsCoresTimesSpeed) {
  instance_.speed = 1.5;
  EXPECT_NEAR(Saturate(8, seconds(10)), 3.0, 0.03);
  EXPECT_NEAR(static_cast<double>(Model().busy().count()), 2 * 10e6, 1e5);
}

TEST_F(UpstreamTest, OneCallTakesOneCoreAndThoseInSlotsShareTheCores) {
  const TimePoint start = scheduler_.Now();
  Serve(milliseconds(30));
  Run(seconds(1));
  EXPECT_EQ(last_end_ - start, milliseconds(30));
  const TimePoint again = scheduler_.Now();
  for (int i = 0; i < 4; ++i) Serve(milliseconds(30));
  Run(seconds(1));
  EXPECT_NEAR(static_cast<double>((last_end_ - again).count()), 60e3, 10);
}

TEST_F(UpstreamTest, BeyondTheSlotsItQueuesAndBeyondTheQueueItTurnsAway) {
  for (int i = 0; i < 13; ++i) Serve(milliseconds(10));
  EXPECT_EQ(Model().held(), 10u);
  EXPECT_EQ(Model().Report().queued, 6);
  EXPECT_TRUE(results_.empty());
  Run(milliseconds(1));
  EXPECT_EQ(results_[ServeResult::kTurnedAway], 3);
  Run(seconds(1));
  EXPECT_EQ(results_[ServeResult::kServed], 10);
  EXPECT_EQ(Model().turned_away(), 3u);
}

TEST_F(UpstreamTest, AHandshakeIsAheadOfWaitingRequests) {
  for (int i = 0; i < 10; ++i) Serve(milliseconds(10));
  TimePoint connected;
  Model().Connect([&](ConnectResult result) {
    EXPECT_EQ(result, ConnectResult::kAccepted);
    connected = scheduler_.Now();
  });
  Run(seconds(1));
  EXPECT_LT(connected, last_end_ - milliseconds(10));
  EXPECT_GT(connected, last_end_ - milliseconds(50));  // after those that were in work
}

TEST_F(UpstreamTest, AFullTableRefusesAndTakesItsShareOfTheCapacity) {
  spec_.full_table_cost = 0.4;
  int accepted = 0, refused = 0;
  for (int i = 0; i < 12; ++i) {
    Model().Connect(
        [&](ConnectResult result) { ++(result == ConnectResult::kAccepted ? accepted : refused); });
  }
  Run(seconds(1));
  EXPECT_EQ(accepted, 10);
  EXPECT_EQ(refused, 2);
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.6, 0.02);
  for (int i = 0; i < 5; ++i) Model().Disconnect();
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.8, 0.02);
}

TEST_F(UpstreamTest, AFreshProcessIsColdAndWarmsEvenly) {
  spec_.slow_start_initial_share = 0.2;
  spec_.slow_start_duration = seconds(10);
  EXPECT_NEAR(Saturate(8, seconds(2)), 2, 0.03);
  Model().Crash();
  Model().Start();
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.4, 0.05);  // from 0.2 to 0.6
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.8, 0.05);
  EXPECT_NEAR(Saturate(8, seconds(5)), 2, 0.03);
}

TEST_F(UpstreamTest, CrowdingSlowsItUntilItHasRested) {
  spec_.crowded_at = 2;
  spec_.crowded_after = seconds(1);
  spec_.crowded_slowdown = 4;
  spec_.rested_below = 0.3;
  spec_.rest_time = seconds(2);
  Saturate(4, seconds(3));
  EXPECT_FALSE(Model().crowded());  // no more than two a core
  Saturate(10, milliseconds(900));
  EXPECT_FALSE(Model().crowded());
  Saturate(10, milliseconds(200));
  EXPECT_TRUE(Model().crowded());
  EXPECT_NEAR(Saturate(10, seconds(4)), 0.5, 0.05);
  EXPECT_NEAR(Saturate(1, seconds(5)), 0.25, 0.05);  // half a call a core is no rest
  EXPECT_TRUE(Model().crowded());
  Run(milliseconds(1900));
  EXPECT_TRUE(Model().crowded());
  Run(milliseconds(200));
  EXPECT_FALSE(Model().crowded());
}

TEST_F(UpstreamTest, ACrashResetsWhatItHoldsAndDropsItsConnections) {
  Model().Connect([](ConnectResult) {});
  Run(seconds(1));
  Serve(seconds(1));
  Serve(seconds(1));
  Model().Crash();
  EXPECT_EQ(Model().held(), 0u);
  EXPECT_EQ(Model().connections(), 0u);
  Serve(seconds(1));
  bool refused = false;
  Model().Connect([&](ConnectResult result) { refused = result == ConnectResult::kRefused; });
  Run(milliseconds(1));
  EXPECT_EQ(results_[ServeResult::kReset], 3);
  EXPECT_TRUE(refused);
  Model().Start();
  EXPECT_EQ(Model().process(), 2u);
  EXPECT_EQ(Model().last_reset_process(), 1u);
}

TEST_F(UpstreamTest, AHangingMachineTakesRequestsAndAnswersNoneUntilItIsOver) {
  Serve(milliseconds(10));
  Model().SetHanging(true);
  Serve(milliseconds(10));
  Model().Connect([](ConnectResult) { ADD_FAILURE() << "it hangs"; });
  Run(seconds(5));
  EXPECT_TRUE(results_.empty());
  EXPECT_EQ(Model().held(), 2u);
  Model().SetHanging(false);
  Run(seconds(1));
  EXPECT_EQ(results_[ServeResult::kServed], 2);
}

TEST_F(UpstreamTest, ASlowOneASilentOneAndADrainingOne) {
  Model().SetSlowdown(4);
  EXPECT_NEAR(Saturate(8, seconds(4)), 0.5, 0.05);
  Model().SetSlowdown(1);
  Run(seconds(1));
  results_.clear();
  Serve(milliseconds(10));
  Model().SetDraining(true);
  Serve(milliseconds(10));
  Run(seconds(1));
  EXPECT_EQ(results_[ServeResult::kServed], 1);
  EXPECT_EQ(results_[ServeResult::kTurnedAway], 1);
  Model().SetDraining(false);
  results_.clear();
  Serve(milliseconds(10));
  Model().SetSilent(true);
  Serve(milliseconds(10));
  Model().Probe([](const lb::LoadReport&) { ADD_FAILURE() << "it is silent"; });
  Model().Crash();
  Run(seconds(1));
  EXPECT_TRUE(results_.empty());
  EXPECT_EQ(Model().last_reset_process(), 0u);  // nobody heard of it
}

TEST_F(UpstreamTest, AbandonedWorkGoesOnUnlessTheSpecSaysOtherwise) {
  Model().Abandon(Serve(milliseconds(100)));
  EXPECT_EQ(Model().held(), 1u);
  Run(seconds(1));
  EXPECT_EQ(Model().served(), 1u);
  EXPECT_TRUE(results_.empty());
  spec_.cancel_stops_work = true;
  for (int i = 0; i < 6; ++i) Model().Abandon(Serve(milliseconds(100)));
  EXPECT_EQ(Model().held(), 0u);
  const auto running = Serve(milliseconds(100));
  for (int i = 0; i < 4; ++i) Serve(milliseconds(100));
  const auto waiting = Serve(milliseconds(100));
  Model().Abandon(running);
  Model().Abandon(waiting);
  Run(seconds(1));
  EXPECT_EQ(Model().served(), 5u);
  EXPECT_EQ(results_[ServeResult::kServed], 4);
}

TEST_F(UpstreamTest, AProbeCostsWorkAndTellsWhatItHolds) {
  for (int i = 0; i < 6; ++i) Serve(milliseconds(100));
  lb::LoadReport report;
  const TimePoint start = scheduler_.Now();
  TimePoint told;
  Model().Probe([&](const lb::LoadReport& load) {
    report = load;
    told = scheduler_.Now();
  });
  Run(seconds(1));
  EXPECT_GT(told, start + milliseconds(200));  // behind the four in work
  EXPECT_EQ(report.in_flight, 2);
  EXPECT_EQ(report.queued, 0);
}

// ---- The network ----

TEST(NetworkModel, DelaysFollowZonesAndRegionsAndACutRegionIsNotReached) {
  NetworkSpec spec;
  NetworkModel network(spec, 7);
  const Location here{0, "r1-z1"}, near{0, "r1-z2"}, far{1, "r2-z1"};
  const auto in_bounds = [&](const Location& to, Duration usual) {
    Duration least = Duration::max(), most{};
    for (int i = 0; i < 1000; ++i) {
      const Duration delay = network.Delay(here, to);
      least = std::min(least, delay);
      most = std::max(most, delay);
    }
    EXPECT_GE(least, usual * 79 / 100);
    EXPECT_LE(most, usual * 121 / 100);
    EXPECT_GT(most - least, usual / 4);
  };
  in_bounds(here, spec.same_zone);
  in_bounds(near, spec.cross_zone);
  in_bounds(far, spec.cross_region);
  network.SetRegionsCut(true);
  EXPECT_TRUE(network.Reaches(here, near));
  EXPECT_FALSE(network.Reaches(here, far));
}

// ---- Clients ----

struct ClientRig {
  ClientRig(Experiment given, double rate, ClientModel::OfferFunction offer)
      : experiment(std::move(given)),
        deployment(MakeSmall(experiment, 1, 2, rate)),
        clients(
            experiment, deployment, scheduler, std::move(offer),
            [this](const RequestResult& result) { results.push_back(result); }, retries) {}
  void Play(Duration time) {
    clients.Start();
    scheduler.RunUntil(scheduler.Now() + time);
    clients.Stop();
    scheduler.RunUntil(scheduler.Now() + seconds(5));
  }

  VirtualScheduler scheduler;
  std::uint64_t retries = 0;
  std::vector<RequestResult> results;
  Experiment experiment;
  Deployment deployment;
  ClientModel clients;
};

TEST(ClientModel, ArrivalsFollowTheRateAndTheLoadFactorAndWorkItsMean) {
  double work = 0;
  ClientRig rig(SmallExperiment(), 50, [&](std::size_t, const OfferedRequest& request, const auto& answer) {
    work += static_cast<double>(request.work.count());
    answer({AnswerKind::kServed, {}});
  });
  rig.Play(seconds(100));
  const auto usual = static_cast<double>(rig.results.size());
  EXPECT_NEAR(usual, 10000, 400);
  EXPECT_NEAR(work / usual, 20e3, 1000);
  rig.clients.SetLoadFactor(3);
  rig.Play(seconds(100));
  EXPECT_NEAR(static_cast<double>(rig.results.size()) - usual, 30000, 700);
  EXPECT_EQ(rig.clients.open(), 0u);
}

TEST(ClientModel, ClassesComeByTheirShares) {
  Experiment experiment = SmallExperiment();
  ClassSpec other = experiment.classes[0];
  other.name = "list";
  other.share = 3;
  experiment.classes.push_back(other);
  std::map<lb::ClassId, int> offered;
  ClientRig rig(experiment, 50, [&](std::size_t, const OfferedRequest& request, const auto& answer) {
    ++offered[request.request_class];
    answer({AnswerKind::kServed, {}});
  });
  rig.Play(seconds(100));
  const double first = offered[lb::ClassId{0}], second = offered[lb::ClassId{1}];
  EXPECT_NEAR(first / (first + second), 0.25, 0.02);
}

TEST(ClientModel, ARefusalIsRepeatedAfterItsAdviceAndCountsForTheFirstTry) {
  Experiment experiment = SmallExperiment();
  experiment.clients.retries = 2;
  std::map<bool, int> offered;
  ClientRig rig(experiment, 10, [&](std::size_t, const OfferedRequest& request, const auto& answer) {
    ++offered[request.client_retry];
    answer(request.client_retry ? Answer{AnswerKind::kServed, {}}
                                : Answer{AnswerKind::kRefused, milliseconds(300)});
  });
  rig.Play(seconds(10));
  ASSERT_GT(rig.results.size(), 100u);
  EXPECT_EQ(offered[false], offered[true]);
  EXPECT_EQ(rig.retries, rig.results.size());
  for (const RequestResult& result : rig.results) {
    EXPECT_EQ(result.outcome, RequestOutcome::kLate);
    EXPECT_EQ(result.ended - result.arrived, milliseconds(300));
  }
}

TEST(ClientModel, OnlyWhatMayBeRepeatedIsAndSilenceIsAFailure) {
  for (const auto idempotency : {lb::Idempotency::kIdempotent, lb::Idempotency::kNotIdempotent}) {
    Experiment experiment = SmallExperiment();
    experiment.classes[0].idempotency = idempotency;
    ClientRig rig(experiment, 10, [](std::size_t, const OfferedRequest&, const auto&) {});
    rig.Play(seconds(10));
    ASSERT_GT(rig.results.size(), 100u);
    const bool repeats = idempotency == lb::Idempotency::kIdempotent;
    for (const RequestResult& result : rig.results) {
      EXPECT_EQ(result.outcome, RequestOutcome::kFailed);
      EXPECT_EQ(result.tries, repeats ? 2 : 1);
      EXPECT_EQ(result.ended - result.arrived, milliseconds(repeats ? 1000 : 600));
    }
  }
}

// ---- Notices ----

struct NoticesRig {
  explicit NoticesRig(Experiment given, std::size_t sidecars = 20)
      : experiment(std::move(given)),
        deployment(MakeSmall(experiment, 6, sidecars, 1)),
        notices(
            experiment, deployment, scheduler,
            [this](std::size_t sidecar, MembershipUpdate update) {
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

// ---- Hollow sidecars ----

// Some sidecars and upstreams without clients or discovery.
struct SidecarRig {
  explicit SidecarRig(Experiment given, std::size_t upstream_count = 4, std::size_t sidecar_count = 3,
                      std::uint64_t seed = 1)
      : experiment(std::move(given)),
        deployment(MakeSmall(experiment, upstream_count, sidecar_count, 1)),
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
  void Tell(std::size_t upstream, UpstreamState state, std::optional<TimePoint> started) {
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

TEST(HollowSidecar, ServesOverKeptConnectionsAndRetiresThoseIdleForLong) {
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

TEST(HollowSidecar, AKilledOneLosesWhatItHoldsAndServesAgainOnceStarted) {
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

TEST(HollowSidecar, WhereNobodyIsReachedConnectingTimesOut) {
  Experiment experiment = SmallExperiment();
  experiment.regions = 2;
  SidecarRig rig(experiment, 1, 2);  // one upstream, in the first sidecar's region
  rig.network.SetRegionsCut(true);
  rig.Offer(1, milliseconds(5), milliseconds(900));
  rig.Offer(0, milliseconds(5), milliseconds(900));
  rig.Run(seconds(1));
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 1u);
  EXPECT_GE(rig.counters.connects_failed, 1u);
  EXPECT_EQ(rig.counters.attempts, 1u);
}

TEST(HollowSidecar, ADrainingUpstreamsConnectionsAreClosedAndItGetsNothingNew) {
  SidecarRig rig(SmallExperiment(), 2, 1);
  for (int i = 0; i < 20; ++i) {
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(50));
  }
  ASSERT_EQ(rig.upstreams[0]->connections(), 1u);
  const auto served = rig.upstreams[0]->served();
  rig.Tell(0, UpstreamState::kDraining, {});
  EXPECT_EQ(rig.upstreams[0]->connections(), 0u);
  for (int i = 0; i < 20; ++i) {
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(50));
  }
  EXPECT_EQ(rig.upstreams[0]->served(), served);
  EXPECT_EQ(rig.Count(AnswerKind::kServed), 40u);
}

TEST(HollowSidecar, AConnectionToAnEarlierProcessIsNotKept) {
  for (const bool restarted : {false, true}) {
    SidecarRig rig(SmallExperiment(), 1, 1);
    rig.Offer(0, milliseconds(100), milliseconds(500));
    rig.Run(milliseconds(50));
    rig.Tell(0, UpstreamState::kServing, restarted ? std::optional(rig.scheduler.Now()) : std::nullopt);
    rig.Run(milliseconds(100));
    EXPECT_EQ(rig.Count(AnswerKind::kServed), 1u);
    EXPECT_EQ(rig.sidecars[0]->idle_connections(), restarted ? 0u : 1u);
    EXPECT_EQ(rig.upstreams[0]->connections(), restarted ? 0u : 1u);
  }
}

TEST(HollowSidecar, WhatHasNotBegunToBeWrittenIsNotSentToOneThatDrains) {
  Experiment experiment = SmallExperiment();
  experiment.upstreams.handshake_work = milliseconds(100);
  SidecarRig rig(experiment, 1, 1);
  rig.Offer(0, milliseconds(5), milliseconds(500));
  rig.Run(milliseconds(50));
  rig.Tell(0, UpstreamState::kDraining, {});
  EXPECT_EQ(rig.Count(AnswerKind::kRefused), 1u);
  rig.Run(seconds(1));
  EXPECT_EQ(rig.counters.attempts, 0u);
  EXPECT_EQ(rig.upstreams[0]->connections(), 0u);
}

TEST(HollowSidecar, HearsOfADeadProcessUnlessItsMachineHadVanished) {
  for (const bool vanished : {false, true}) {
    Experiment experiment = SmallExperiment();
    experiment.classes[0].idempotency = lb::Idempotency::kNotIdempotent;
    SidecarRig rig(experiment, 1, 1);
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(100));
    rig.upstreams[0]->SetSilent(vanished);
    rig.upstreams[0]->Crash();
    rig.upstreams[0]->SetSilent(false);
    rig.upstreams[0]->Start();
    rig.Offer(0, milliseconds(5), milliseconds(500));
    rig.Run(milliseconds(100));
    EXPECT_EQ(rig.Count(AnswerKind::kServed), vanished ? 1u : 2u);
    EXPECT_EQ(rig.Count(AnswerKind::kFailed), vanished ? 1u : 0u);  // reset at its use
  }
}

TEST(HollowSidecar, RunsOnTheMachinesClockAsWell) {
  const Experiment experiment = SmallExperiment();
  const Deployment deployment = MakeSmall(experiment, 1, 1, 1);
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

// Strikes one upstream or sidecar, or mends it.
void StrikeAtRandom(SidecarRig& rig, std::mt19937_64& random) {
  const std::size_t place = random() % rig.upstreams.size();
  UpstreamModel& upstream = *rig.upstreams[place];
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
      return rig.Tell(place, UpstreamState::kServing, rig.scheduler.Now());
    case 6:
      return rig.Tell(place, static_cast<UpstreamState>(random() % 3), rig.list[place].started);
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
      if (random() % 20 == 0) StrikeAtRandom(rig, random);
      rig.Offer(random() % 3, Duration(random() % 60000), Duration(20000 + random() % 900000));
      rig.Run(Duration(random() % 20000));
    }
    rig.Run(seconds(2));
    std::uint64_t lost = 0;
    for (const auto& sidecar : rig.sidecars) lost += sidecar->lost();
    EXPECT_EQ(lost, 0u) << "seed " << seed;
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
  EXPECT_GT(served, kSeeds * 200);  // the faults leave something of the service
}

// ---- Whole runs ----

std::vector<Sample> Play(const Experiment& experiment, const Deployment& deployment, Metrics* metrics) {
  std::vector<Sample> samples;
  *metrics = RunVirtual(experiment, deployment, [&](const Sample& sample) { samples.push_back(sample); });
  return samples;
}

TEST(RunVirtual, TheSameExperimentGivesTheSameSamples) {
  Experiment experiment = SmallExperiment();
  experiment.sidecars.probes = true;
  experiment.sidecars.probe_price = 0.001;
  Deployment deployment = MakeSmall(experiment, 8, 8, 20);
  deployment.faults = {Fault(FaultKind::kCrash, seconds(3), seconds(5), {1, 2}),
                       Fault(FaultKind::kRestart, seconds(6), seconds(8), {4, 5})};
  Metrics first_metrics, second_metrics;
  const auto first = Play(experiment, deployment, &first_metrics);
  const auto second = Play(experiment, deployment, &second_metrics);
  ASSERT_EQ(first.size(), 10u);
  ASSERT_EQ(second.size(), first.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].traffic.requests, second[i].traffic.requests);
    EXPECT_EQ(first[i].traffic.attempts, second[i].traffic.attempts);
    EXPECT_EQ(first[i].traffic.probes, second[i].traffic.probes);
    EXPECT_EQ(first[i].latency_p99_ms, second[i].latency_p99_ms);
    EXPECT_EQ(first[i].notice_last_ms, second[i].notice_last_ms);
    EXPECT_EQ(first[i].load_spread, second[i].load_spread);
    EXPECT_EQ(first[i].held, second[i].held);
  }
  EXPECT_EQ(first_metrics.in_time_share, second_metrics.in_time_share);
  EXPECT_GT(first_metrics.probes_per_request, 0);
  experiment.seed = 2;
  const auto other = Play(experiment, deployment, &second_metrics);
  EXPECT_NE(first[0].latency_p99_ms, other[0].latency_p99_ms);
}

TEST(RunVirtual, ABurstLeadsToQueueingAndLateAnswersWhileItLasts) {
  Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmall(experiment, 4, 8, 25);  // half of the capacity
  FaultEvent burst = Fault(FaultKind::kBurst, seconds(4), seconds(7));
  burst.factor = 4;
  deployment.faults = {burst};
  Metrics metrics;
  const auto samples = Play(experiment, deployment, &metrics);
  EXPECT_GT(samples[3].in_time_share, 0.95);
  EXPECT_GT(samples[5].traffic.requests, 2 * samples[3].traffic.requests);
  EXPECT_LT(samples[5].in_time_share, 0.7);
  EXPECT_GT(samples[5].held, 3 * samples[3].held);
  EXPECT_GT(samples[9].in_time_share, 0.9);
  EXPECT_LE(metrics.worst_second_share, samples[5].in_time_share);
  EXPECT_GT(metrics.last_third_share, metrics.worst_second_share);
  const double shares =
      metrics.in_time_share + metrics.late_share + metrics.refused_share + metrics.failed_share;
  EXPECT_NEAR(shares, 1, 1e-9);
}

TEST(RunVirtual, ChangesReachEachSidecarWithinTheNoticeDelay) {
  const Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmall(experiment, 4, 10, 5);
  FaultEvent change = Fault(FaultKind::kChange, seconds(2), seconds(6), {0, 1});
  change.count = 8;
  deployment.faults = {change};
  Metrics metrics;
  Play(experiment, deployment, &metrics);
  EXPECT_GE(metrics.notice_p50_ms, 100);
  EXPECT_LE(metrics.notice_last_ms, 1000);
  EXPECT_EQ(metrics.notices_missing, 0);
  EXPECT_GT(metrics.change_cpu_ms, 0);
}

TEST(RunVirtual, ALostZoneIsTakenOverByTheOtherAndComesBack) {
  const Experiment experiment = SmallExperiment();
  Deployment deployment = MakeSmall(experiment, 8, 8, 15);
  deployment.faults = {Fault(FaultKind::kZoneLost, seconds(3), seconds(6), {1, 3, 5, 7})};
  Metrics metrics;
  const auto samples = Play(experiment, deployment, &metrics);
  EXPECT_GT(samples[3].traffic.attempts_timed_out + samples[3].traffic.connects_failed, 0u);
  EXPECT_GT(samples[9].in_time_share, 0.95);
  EXPECT_LT(metrics.worst_second_share, 0.95);
  EXPECT_EQ(metrics.notices_missing, 0);
}

TEST(RunVirtual, KilledSidecarsFailTheirRequestsAndServeAgain) {
  Experiment experiment = SmallExperiment();
  experiment.clients.retries = 0;
  Deployment deployment = MakeSmall(experiment, 4, 6, 20);
  FaultEvent kill = Fault(FaultKind::kSidecarsKilled, milliseconds(4500), milliseconds(4500));
  kill.sidecars = {0, 1, 2};
  deployment.faults = {kill};
  Metrics metrics;
  const auto samples = Play(experiment, deployment, &metrics);
  EXPECT_EQ(samples[3].traffic.failed, 0u);
  EXPECT_GT(samples[4].traffic.failed, 10u);
  EXPECT_GT(samples[7].in_time_share, 0.95);
}

}  // namespace
}  // namespace lb::lab

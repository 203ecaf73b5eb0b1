// Tests of the upstream model on the virtual clock.
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>

#include "gtest/gtest.h"
#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  // Keeps `count` requests running or queued for the given time. Returns the work done per second, in seconds
  // on a core of speed 1.
  double Saturate(std::size_t count, Duration time) {
    const double before = Model().served_work();
    const TimePoint until = scheduler_.Now() + time;
    while (scheduler_.Now() < until) {
      while (Model().outstanding_requests() < count) Serve(milliseconds(10));
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

TEST_F(UpstreamTest, QueuesBeyondTheSlotsAndRejectsBeyondTheQueue) {
  for (int i = 0; i < 13; ++i) Serve(milliseconds(10));
  EXPECT_EQ(Model().outstanding_requests(), 10u);
  EXPECT_EQ(Model().Report().queued, 6);
  EXPECT_TRUE(results_.empty());
  Run(milliseconds(1));
  EXPECT_EQ(results_[ServeResult::kRejected], 3);
  Run(seconds(1));
  EXPECT_EQ(results_[ServeResult::kServed], 10);
  EXPECT_EQ(Model().rejected_requests(), 3u);
}

TEST_F(UpstreamTest, AHandshakeIsQueuedAheadOfRequests) {
  for (int i = 0; i < 10; ++i) Serve(milliseconds(10));
  TimePoint connected;
  Model().Connect([&](ConnectResult result) {
    EXPECT_EQ(result, ConnectResult::kAccepted);
    connected = scheduler_.Now();
  });
  Run(seconds(1));
  EXPECT_LT(connected, last_end_ - milliseconds(10));
  EXPECT_GT(connected, last_end_ - milliseconds(50));  // after the calls that were already running
}

TEST_F(UpstreamTest, AFullConnectionTableRefusesAndReducesCapacity) {
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

TEST_F(UpstreamTest, ANewProcessStartsSlowAndSpeedsUpLinearly) {
  spec_.slow_start_initial_share = 0.2;
  spec_.slow_start_duration = seconds(10);
  EXPECT_NEAR(Saturate(8, seconds(2)), 2, 0.03);
  Model().Crash();
  Model().Start();
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.4, 0.05);  // from 0.2 to 0.6
  EXPECT_NEAR(Saturate(8, seconds(5)), 2 * 0.8, 0.05);
  EXPECT_NEAR(Saturate(8, seconds(5)), 2, 0.03);
}

TEST_F(UpstreamTest, SustainedOverloadSlowsItUntilRecovery) {
  spec_.overload_at = 2;
  spec_.overload_after = seconds(1);
  spec_.overload_slowdown = 4;
  spec_.recovered_below = 0.3;
  spec_.recovery_time = seconds(2);
  Saturate(4, seconds(3));
  EXPECT_FALSE(Model().overloaded());  // not more than two requests per core
  Saturate(10, milliseconds(900));
  EXPECT_FALSE(Model().overloaded());
  Saturate(10, milliseconds(200));
  EXPECT_TRUE(Model().overloaded());
  EXPECT_NEAR(Saturate(10, seconds(4)), 0.5, 0.05);
  EXPECT_NEAR(Saturate(1, seconds(5)), 0.25,
              0.05);  // half a request per core is not below the recovery bound
  EXPECT_TRUE(Model().overloaded());
  Run(milliseconds(1900));
  EXPECT_TRUE(Model().overloaded());
  Run(milliseconds(200));
  EXPECT_FALSE(Model().overloaded());
}

TEST_F(UpstreamTest, ACrashResetsRequestsAndDropsConnections) {
  Model().Connect([](ConnectResult) {});
  Run(seconds(1));
  Serve(seconds(1));
  Serve(seconds(1));
  Model().Crash();
  EXPECT_EQ(Model().outstanding_requests(), 0u);
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

TEST_F(UpstreamTest, AHangingMachineAcceptsRequestsAndAnswersNone) {
  Serve(milliseconds(10));
  Model().SetHanging(true);
  Serve(milliseconds(10));
  Model().Connect([](ConnectResult) { ADD_FAILURE() << "a hanging upstream answered"; });
  Run(seconds(5));
  EXPECT_TRUE(results_.empty());
  EXPECT_EQ(Model().outstanding_requests(), 2u);
  Model().SetHanging(false);
  Run(seconds(1));
  EXPECT_EQ(results_[ServeResult::kServed], 2);
}

TEST_F(UpstreamTest, SlowSilentAndDrainingMachines) {
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
  EXPECT_EQ(results_[ServeResult::kRejected], 1);
  Model().SetDraining(false);
  results_.clear();
  Serve(milliseconds(10));
  Model().SetSilent(true);
  Serve(milliseconds(10));
  Model().Probe([](const lb::LoadReport&) { ADD_FAILURE() << "a silent upstream answered"; });
  Model().Crash();
  Run(seconds(1));
  EXPECT_TRUE(results_.empty());
  EXPECT_EQ(Model().last_reset_process(), 0u);  // connections to a silent machine are not reset
}

TEST_F(UpstreamTest, AbandonedWorkContinuesUnlessCancelStopsWork) {
  Model().Abandon(Serve(milliseconds(100)));
  EXPECT_EQ(Model().outstanding_requests(), 1u);
  Run(seconds(1));
  EXPECT_EQ(Model().served(), 1u);
  EXPECT_TRUE(results_.empty());
  spec_.cancel_stops_work = true;
  for (int i = 0; i < 6; ++i) Model().Abandon(Serve(milliseconds(100)));
  EXPECT_EQ(Model().outstanding_requests(), 0u);
  const auto running = Serve(milliseconds(100));
  for (int i = 0; i < 4; ++i) Serve(milliseconds(100));
  const auto waiting = Serve(milliseconds(100));
  Model().Abandon(running);
  Model().Abandon(waiting);
  Run(seconds(1));
  EXPECT_EQ(Model().served(), 5u);
  EXPECT_EQ(results_[ServeResult::kServed], 4);
}

TEST_F(UpstreamTest, AProbeTakesWorkAndReturnsTheLoad) {
  for (int i = 0; i < 6; ++i) Serve(milliseconds(100));
  lb::LoadReport report;
  const TimePoint start = scheduler_.Now();
  TimePoint answered;
  Model().Probe([&](const lb::LoadReport& load) {
    report = load;
    answered = scheduler_.Now();
  });
  Run(seconds(1));
  EXPECT_GT(answered, start + milliseconds(200));  // after the four running requests
  EXPECT_EQ(report.in_flight, 2);
  EXPECT_EQ(report.queued, 0);
}

}  // namespace
}  // namespace lb::lab

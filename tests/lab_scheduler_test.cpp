// Tests of the virtual and the real scheduler, and of the network model's delays.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>

#include "gtest/gtest.h"
#include "lab/model/network_model.h"
#include "lab/model/scheduler.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(VirtualScheduler, RunsTasksByTimeThenInSchedulingOrder) {
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
  io.run();  // returns when no tasks are left
  EXPECT_EQ(order, "abc");
  EXPECT_GE(scheduler.Now(), start + milliseconds(20));
}

TEST(NetworkModel, DelaysDependOnZoneAndRegionAndACutRegionIsUnreachable) {
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

}  // namespace
}  // namespace lb::lab

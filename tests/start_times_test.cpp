// Tests the sidecar program on a machine whose wall clock was stepped before the process started or while it
// ran: the slow start of upstreams must not be affected.
#include <chrono>
#include <memory>
#include <string>

#include "gtest/gtest.h"
#include "tests/fault_injection.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A sidecar with three upstreams, the first of which can be restarted. The sidecar's wall clock is stepped by
// `ahead` before the sidecar starts.
class SidecarWithSteppedClock {
 public:
  explicit SidecarWithSteppedClock(Duration ahead, Duration slow_start = seconds(20)) {
    Step(ahead);
    SidecarProcess::Options options = With(nullptr);
    options.environment = faults_.environment();
    options.settings["Rules"]["Cold"] = slow_start.count();
    options.discovery = discovery_.address();
    sidecar_ = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar_->Listening());
    EXPECT_TRUE(Eventually([&] { return discovery_.calls() > 1; }));
    client_ = std::make_unique<Client>(sidecar_->port());
  }

  void Step(Duration ahead) { faults_.StepWallClock(std::chrono::duration_cast<milliseconds>(ahead)); }

  void RestartFirst() {
    const int calls_before = discovery_.calls();
    discovery_.Publish(ListNow(seconds(0)));
    EXPECT_TRUE(Eventually([&] { return discovery_.calls() > calls_before; }));
  }

  // Sends requests for at least `time` and returns the share that the first upstream answered; -1 on failure.
  double ShareOfFirst(Duration time) {
    const auto until = std::chrono::steady_clock::now() + time;
    int first = 0, calls = 0;
    while (std::chrono::steady_clock::now() < until || calls < 300) {
      const auto answer = client_->Get("/page/k", "r" + std::to_string(++request_count_));
      if (!answer) return -1;
      first += answer->body().starts_with("u1");
      ++calls;
    }
    return static_cast<double>(first) / calls;
  }

 private:
  // The list in which the first upstream started `age` ago.
  json ListNow(Duration age) const {
    const auto age_ms = std::chrono::duration_cast<milliseconds>(age).count();
    // The other upstreams started together with the first process of the first one, because upstreams are not
    // treated as cold if they are half of the list or more.
    return List({Target("u1", u1_.address(), "active", UnixMs() - age_ms),
                 Target("u2", u2_.address(), "active", first_start_ms_),
                 Target("u3", u3_.address(), "active", first_start_ms_)});
  }

  FaultInjector faults_;
  const std::int64_t first_start_ms_ = UnixMs() - milliseconds(hours(2)).count();
  Upstream u1_{Upstream::Echo("u1")}, u2_{Upstream::Echo("u2")}, u3_{Upstream::Echo("u3")};
  Discovery discovery_{ListNow(hours(2))};
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<Client> client_;
  int request_count_ = 0;
};

TEST(SteppedWallClock, LeavesRestartedUpstreamsInSlowStart) {
  struct ClockSteps {
    Duration before_start, while_it_runs;
  };
  for (const ClockSteps& steps :
       {ClockSteps{seconds(0), seconds(0)}, ClockSteps{hours(1), hours(1)}, ClockSteps{-hours(1), -hours(1)},
        ClockSteps{seconds(0), hours(1)}, ClockSteps{hours(1), seconds(0)}}) {
    SidecarWithSteppedClock stepped(steps.before_start);
    EXPECT_GT(stepped.ShareOfFirst(seconds(1)), 0.25) << steps.before_start.count();
    stepped.Step(steps.while_it_runs);
    stepped.RestartFirst();
    const double cold = stepped.ShareOfFirst(seconds(2));
    EXPECT_GE(cold, 0) << steps.before_start.count() << " " << steps.while_it_runs.count();
    EXPECT_LT(cold, 0.2) << steps.before_start.count() << " " << steps.while_it_runs.count();
  }
}

TEST(SteppedWallClock, EndsSlowStartInTimeIfTheClockIsBehind) {
  SidecarWithSteppedClock stepped(-hours(1), seconds(1));
  stepped.RestartFirst();
  EXPECT_TRUE(Eventually([&] { return stepped.ShareOfFirst(milliseconds(200)) > 0.25; }));
}

}  // namespace
}  // namespace lb::sidecar::testing

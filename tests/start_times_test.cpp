// Start times of upstreams where the machine's own wall clock was stepped before the process began: the real
// program.
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

// A sidecar between three upstreams, of which the first starts anew. Its machine's wall clock is stepped by
// `ahead` before it starts.
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
    const int told = discovery_.calls();
    discovery_.Tell(ListNow(seconds(0)));
    EXPECT_TRUE(Eventually([&] { return discovery_.calls() > told; }));
  }

  // Its share of the calls of the next `time`.
  double ShareOfFirst(Duration time) {
    const auto until = std::chrono::steady_clock::now() + time;
    int first = 0, calls = 0;
    while (std::chrono::steady_clock::now() < until || calls < 300) {
      const auto answer = client_->Get("/page/k", "r" + std::to_string(++asked_));
      if (!answer) return -1;
      first += answer->body().starts_with("u1");
      ++calls;
    }
    return static_cast<double>(first) / calls;
  }

 private:
  json ListNow(Duration age) const {
    const auto started = std::chrono::duration_cast<milliseconds>(age).count();
    // The others started with the first one's first process: half of a list or more is not taken for cold.
    return List({Target("u1", u1_.address(), "active", UnixMs() - started),
                 Target("u2", u2_.address(), "active", first_start_ms_),
                 Target("u3", u3_.address(), "active", first_start_ms_)});
  }

  FaultInjector faults_;
  const std::int64_t first_start_ms_ = UnixMs() - milliseconds(hours(2)).count();
  Upstream u1_{Upstream::Echo("u1")}, u2_{Upstream::Echo("u2")}, u3_{Upstream::Echo("u3")};
  Discovery discovery_{ListNow(hours(2))};
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<Client> client_;
  int asked_ = 0;
};

TEST(SteppedWallClock, LeavesRestartedUpstreamsInSlowStart) {
  struct Row {
    Duration before_start, while_it_runs;
  };
  for (const Row& row : {Row{seconds(0), seconds(0)}, Row{hours(1), hours(1)}, Row{-hours(1), -hours(1)},
                         Row{seconds(0), hours(1)}, Row{hours(1), seconds(0)}}) {
    SidecarWithSteppedClock stepped(row.before_start);
    EXPECT_GT(stepped.ShareOfFirst(seconds(1)), 0.25) << row.before_start.count();
    stepped.Step(row.while_it_runs);
    stepped.RestartFirst();
    const double cold = stepped.ShareOfFirst(seconds(2));
    EXPECT_GE(cold, 0) << row.before_start.count() << " " << row.while_it_runs.count();
    EXPECT_LT(cold, 0.2) << row.before_start.count() << " " << row.while_it_runs.count();
  }
}

TEST(SteppedWallClock, EndsSlowStartInTimeIfTheClockIsBehind) {
  SidecarWithSteppedClock stepped(-hours(1), seconds(1));
  stepped.RestartFirst();
  EXPECT_TRUE(Eventually([&] { return stepped.ShareOfFirst(milliseconds(200)) > 0.25; }));
}

}  // namespace
}  // namespace lb::sidecar::testing

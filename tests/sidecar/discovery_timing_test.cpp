#include "sidecar/discovery_timing.h"

#include <chrono>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAgentSilence = milliseconds(75);

TEST(DiscoveryTiming, QuickDiscoveryIsWatchedForTheLongestTime) {
  const DiscoveryTiming agent(DiscoveryTiming::ForAgent(kAgentSilence));
  const DiscoveryTiming service(DiscoveryTiming::ForService());

  EXPECT_EQ(agent.WatchTime(), kAgentWatch);
  EXPECT_EQ(agent.WatchSilence(), kAgentSilence);
  EXPECT_EQ(service.WatchTime(), kServiceWatch);
  EXPECT_EQ(service.WatchSilence(), kServiceWatchSilence);
}

// A watch that receives nothing, the call after it and the response to that call.
TEST(DiscoveryTiming, LostWatchIsReplacedWithinTheNotificationLimit) {
  const DiscoveryTiming::Limits all_limits[] = {DiscoveryTiming::ForAgent(kAgentSilence),
                                                DiscoveryTiming::ForService()};
  for (const auto& limits : all_limits) {
    for (milliseconds took{}; took <= kServiceSlowResponse; took += milliseconds(50)) {
      DiscoveryTiming timing(limits);
      timing.OnResponse(took);
      EXPECT_LE(timing.WatchTime() + timing.WatchSilence() + limits.retry_delay + took, kNotificationLimit)
          << took.count();
      EXPECT_LE(timing.WatchTime() + timing.WatchSilence(), limits.watch + limits.watch_silence)
          << took.count();
    }
  }
}

TEST(DiscoveryTiming, SlowDiscoveryGetsNoCallBesideAnotherThatItAnswersInTime) {
  for (milliseconds took{}; took <= kServiceSlowResponse; took += milliseconds(50)) {
    DiscoveryTiming timing(DiscoveryTiming::ForService());
    timing.OnResponse(took);
    EXPECT_GE(timing.WatchSilence(), took);
  }
}

TEST(DiscoveryTiming, QuickResponsesLengthenTheWatchAgain) {
  DiscoveryTiming timing(DiscoveryTiming::ForService());
  timing.OnResponse(kServiceSlowResponse);
  const Duration slow_watch = timing.WatchTime();

  for (int i = 0; i < 4; ++i) timing.OnResponse(milliseconds(1));

  EXPECT_LT(slow_watch, milliseconds(500));
  EXPECT_EQ(timing.WatchTime(), kServiceWatch);
}

}  // namespace
}  // namespace lb::sidecar

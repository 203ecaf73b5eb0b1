// Unit tests of the time limits of a graceful shutdown.
#include "sidecar/graceful_shutdown.h"

#include <chrono>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

Settings WithDeadlines(Duration first, Duration second) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].deadline = first;
  settings.classes[1].deadline = second;
  return settings;
}

constexpr TimePoint kNow{std::chrono::seconds(100)};

TEST(GracefulShutdown, EndsBeforeTheSigkillThatFollowsTheLongestDeadline) {
  GracefulShutdown shutdown(WithDeadlines(milliseconds(400), milliseconds(900)));

  EXPECT_EQ(shutdown.Begin(kNow), kNow + milliseconds(900 + 700 - 150));
}

TEST(GracefulShutdown, CapsTheDeadlineAtThreeSeconds) {
  GracefulShutdown shutdown(WithDeadlines(milliseconds(9000), milliseconds(900)));

  EXPECT_EQ(shutdown.Begin(kNow), kNow + milliseconds(3000 + 700 - 150));
}

TEST(GracefulShutdown, IsNotExtendedByASecondSignal) {
  GracefulShutdown shutdown(WithDeadlines(milliseconds(400), milliseconds(900)));
  EXPECT_FALSE(shutdown.begun());

  const TimePoint first = shutdown.Begin(kNow);

  EXPECT_TRUE(shutdown.begun());
  EXPECT_EQ(shutdown.Begin(kNow + milliseconds(500)), first);
}

}  // namespace
}  // namespace lb::sidecar

#include "balancer/connection_tracker.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class ConnectionTrackerTest : public ComponentsFixture {
 protected:
  void Record(Outcome outcome, Duration elapsed, Duration idle_for = {}) {
    Attempt attempt;
    attempt.connection_idle_for = idle_for;
    connections_.RecordOutcome(*upstream_, attempt, outcome, elapsed, 100ms, now_);
  }

  ConnectionTracker& connections_ = components_.connections;
  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
};

TEST_F(ConnectionTrackerTest, KeepsTheConnectionOfAServedCallUntilItIsClosed) {
  Record(Outcome::kServed, 10ms);

  EXPECT_TRUE(connections_.HasConnection(*upstream_, now_));
  EXPECT_FALSE(connections_.HasConnection(*upstream_, now_ + 15s));
  EXPECT_FALSE(connections_.ClaimConnection(*upstream_, now_).connects);
  EXPECT_TRUE(connections_.ClaimConnection(*upstream_, now_).connects);
}

TEST_F(ConnectionTrackerTest, HalvesTheMaxConnectionIdleAfterADroppedConnection) {
  Record(Outcome::kReset, 1ms, 4s);
  Record(Outcome::kServed, 10ms);

  EXPECT_EQ(connections_.max_connection_idle(), 2s);
  EXPECT_TRUE(connections_.ClaimConnection(*upstream_, now_ + 3s).close_idle);
}

TEST_F(ConnectionTrackerTest, RaisesTheMaxConnectionIdleWithTime) {
  Record(Outcome::kReset, 1ms, 4s);

  connections_.RaiseMaxConnectionIdle();

  EXPECT_EQ(connections_.max_connection_idle(), 2040ms);
}

TEST_F(ConnectionTrackerTest, PausesConnectingAfterALocalFailure) {
  Record(Outcome::kLocalFailure, 0ms);

  EXPECT_TRUE(ConnectionTracker::IsConnectPaused(*upstream_, now_ + 99ms));
  EXPECT_FALSE(ConnectionTracker::IsConnectPaused(*upstream_, now_ + 100ms));
}

}  // namespace
}  // namespace lb::testing

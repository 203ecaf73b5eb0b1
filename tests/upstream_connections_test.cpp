// How failed connection attempts change routing, and how dropped connections change when idle connections are
// closed.
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

TEST(UpstreamConnections, RequestsUseOpenConnectionsWhileConnectingFails) {
  BalancerHarness harness;
  harness.ListUpstreams(6);
  std::set<std::string> connected;
  for (int i = 0; i < 3; ++i) connected.insert(harness.ServeRequest(kNotIdempotent));
  // Connecting to any other upstream fails.
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = harness.sent.size();
    harness.SendRequest(kNotIdempotent);
    for (std::size_t k = before; k < harness.sent.size(); ++k) {
      harness.now += 5ms;
      const bool is_connected = connected.count(harness.sent[k].upstream) > 0;
      harness.FinishAttempt(harness.sent[k], is_connected ? Outcome::kServed : Outcome::kConnectFailed);
    }
    harness.Advance(20ms);
  }
  int elsewhere = 0;
  for (int i = 0; i < 30; ++i) elsewhere += connected.count(harness.ServeRequest(kNotIdempotent)) == 0;
  EXPECT_EQ(elsewhere, 0);
}

TEST(UpstreamConnections, IdleConnectionsAreClosedSoonerAfterOneWasFoundDropped) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.ServeRequest(kNotIdempotent);
  harness.Advance(2s);
  EXPECT_EQ(harness.ServeRequest(kNotIdempotent), "a");
  EXPECT_TRUE(harness.closed.empty()) << "idle connections are kept until one is found dropped";
  harness.Advance(2s);
  harness.SendRequest(kNotIdempotent);
  harness.now += 1ms;
  harness.FinishAttempt(harness.sent.back(), Outcome::kReset);
  harness.ServeRequest(kNotIdempotent);
  harness.Advance(1500ms);
  harness.ServeRequest(kNotIdempotent);
  EXPECT_EQ(harness.closed, std::vector<std::string>{"a"})
      << "idle for more than half as long as the dropped connection";
  harness.Advance(500ms);
  harness.ServeRequest(kNotIdempotent);
  EXPECT_EQ(harness.closed.size(), 1U) << "idle for less than half as long as the dropped connection";
  harness.Advance(90s);
  harness.ServeRequest(kNotIdempotent);
  harness.closed.clear();
  harness.Advance(10s);
  harness.ServeRequest(kNotIdempotent);
  EXPECT_TRUE(harness.closed.empty()) << "idle connections are kept again after some time";
}

TEST(UpstreamConnections, ResetDuringARequestDoesNotCloseIdleConnections) {
  BalancerHarness harness;
  harness.ListUpstreams(1);
  harness.ServeRequest(kNotIdempotent);
  harness.Advance(2s);
  harness.SendRequest(kNotIdempotent);
  harness.now += 200ms;
  harness.FinishAttempt(harness.sent.back(), Outcome::kReset);
  harness.ServeRequest(kNotIdempotent);
  harness.Advance(1500ms);
  harness.ServeRequest(kNotIdempotent);
  EXPECT_TRUE(harness.closed.empty());
}

}  // namespace
}  // namespace lb::testing

// Unit tests of the reasons that `GET /ready` reports.
#include "sidecar/readiness.h"

#include <chrono>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

ServingState Serving() {
  ServingState state;
  state.list_received = true;
  state.has_upstreams = true;
  state.serving = true;
  return state;
}

TEST(Readiness, IsReportedBySidecarsThatServe) { EXPECT_EQ(WhyNotReady(Serving()), std::nullopt); }

TEST(Readiness, WaitsForDiscoveryNoLongerThanTheTimeout) {
  ServingState state = Serving();
  state.list_received = false;

  state.since_start = kFirstListTimeout - Duration(1);
  EXPECT_EQ(WhyNotReady(state), NotReadyReason::kAwaitingDiscovery);
  state.since_start = kFirstListTimeout;
  EXPECT_EQ(WhyNotReady(state), std::nullopt);
}

TEST(Readiness, ReportsAMissingUpstreamBeforeStarting) {
  ServingState state = Serving();
  state.serving = false;
  EXPECT_EQ(WhyNotReady(state), NotReadyReason::kStarting);

  state.has_upstreams = false;
  EXPECT_EQ(WhyNotReady(state), NotReadyReason::kNoUpstream);
}

TEST(Readiness, ReportsStoppingBeforeDrainingBeforeAllElse) {
  ServingState state;
  state.draining = true;
  EXPECT_EQ(WhyNotReady(state), NotReadyReason::kDraining);

  state.stopping = true;
  EXPECT_EQ(WhyNotReady(state), NotReadyReason::kStopping);
}

}  // namespace
}  // namespace lb::sidecar

// A fixture with the components of one balancer, for tests of single components. The tests add upstreams with
// AddUpstream().
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "balancer/components.h"
#include "gtest/gtest.h"
#include "tests/balancer_harness.h"

namespace lb::testing {

class ComponentsFixture : public ::testing::Test {
 protected:
  explicit ComponentsFixture(Settings settings = DefaultSettings()) : components_(std::move(settings), 7) {
    components_.actions.Begin(actions_);
    components_.traffic.Start(now_);
  }

  UpstreamPtr AddUpstream(const UpstreamInfo& info) {
    UpstreamPtr upstream = components_.membership.ApplyEntry(info).upstream;
    components_.latency.AssignKind(*upstream);
    components_.membership.CommitUpdate();
    components_.failures.Invalidate();
    return upstream;
  }

  // Records the end of an attempt to `upstream` in the outlier detector only.
  EjectionChange Finish(Upstream& upstream, Outcome outcome, bool half_open_probe = false) {
    Attempt attempt;
    attempt.half_open_probe = half_open_probe;
    return components_.outliers.RecordOutcome(upstream, attempt, outcome, now_);
  }

  Request MakeRequest(ClassId request_class) {
    Request request;
    request.id = RequestId{++last_request_};
    request.class_index = static_cast<std::size_t>(request_class);
    request.request_class = &components_.settings.classes[request.class_index];
    request.arrived = now_;
    request.deadline = now_ + 2s;
    return request;
  }

  TimePoint now_{1000s};
  std::vector<Action> actions_;
  Components components_;

 private:
  std::uint64_t last_request_ = 0;
};

}  // namespace lb::testing

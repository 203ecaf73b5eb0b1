#include "balancer/hedging_policy.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

using Decision = HedgingPolicy::Decision;

class HedgingPolicyTest : public ComponentsFixture {
 protected:
  Request WithPendingAttempt(ClassId request_class) {
    Request request = MakeRequest(request_class);
    request.attempts.push_back({upstream_, now_});
    OutlierDetector::OnFirstInFlight(*upstream_, now_);
    components_.limiter.OnAttemptStarted(*upstream_);
    return request;
  }

  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
};

TEST_F(HedgingPolicyTest, SchedulesOnlyRequestsThatMayBeRepeated) {
  Request safe = MakeRequest(kIdempotent);
  Request unsafe = MakeRequest(kNotIdempotent);

  EXPECT_EQ(components_.hedging.Schedule(safe, now_), now_ + 300ms);  // three usual times of 100 ms
  EXPECT_EQ(components_.hedging.Schedule(unsafe, now_), std::nullopt);
}

TEST_F(HedgingPolicyTest, HedgesARequestWhoseUpstreamDoesNotRespond) {
  Request request = WithPendingAttempt(kIdempotent);
  components_.hedging.Schedule(request, now_);

  EXPECT_EQ(components_.hedging.Decide(request, now_ + 299ms), Decision::kNone);
  EXPECT_EQ(components_.hedging.Decide(request, now_ + 301ms), Decision::kSend);
}

TEST_F(HedgingPolicyTest, WaitsWhileTheUpstreamRespondsToOthers) {
  Request request = WithPendingAttempt(kIdempotent);
  components_.hedging.Schedule(request, now_);
  OutlierDetector::OnFirstInFlight(*upstream_, now_ + 200ms);

  EXPECT_EQ(components_.hedging.Decide(request, now_ + 301ms), Decision::kReschedule);
}

}  // namespace
}  // namespace lb::testing

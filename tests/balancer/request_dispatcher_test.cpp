// The request dispatcher with its components: which requests it keeps.
#include "balancer/request_dispatcher.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class RequestDispatcherTest : public ComponentsFixture {
 protected:
  UpstreamSelector selector_{components_};
  RequestDispatcher dispatcher_{components_, selector_};
};

// Guards against requests that stay in the table after their final answer: until their deadline, or for good
// if their body was pending.
TEST_F(RequestDispatcherTest, KeepsNothingOfARequestThatIsRejectedAtOnce) {
  for (const bool body_pending : {false, true}) {
    RequestArrived event;
    event.request = RequestId{body_pending ? 2U : 1U};
    event.deadline = now_ + 40s;
    event.body_pending = body_pending;

    dispatcher_.HandleRequestArrived(event, now_);

    EXPECT_EQ(components_.requests.size(), 0U) << body_pending;
    EXPECT_EQ(components_.requests.pending_timers(), 0U) << body_pending;
  }
}

}  // namespace
}  // namespace lb::testing

#include "balancer/outlier_detector.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

class OutlierDetectorTest : public ComponentsFixture {
 protected:
  void Eject(Upstream& upstream) {
    for (int i = 1; i < OutlierDetector::kFailuresToEject; ++i)
      ASSERT_EQ(Finish(upstream, Outcome::kError), EjectionChange::kNone);
    ASSERT_EQ(Finish(upstream, Outcome::kError), EjectionChange::kEjected);
  }

  const UpstreamPtr upstream_ = AddUpstream(MakeUpstream("a"));
};

TEST_F(OutlierDetectorTest, EjectsAfterConsecutiveFailures) {
  Eject(*upstream_);

  EXPECT_TRUE(OutlierDetector::IsEjected(*upstream_));
  EXPECT_EQ(OutlierDetector::EjectionFailures(*upstream_), 5);
  EXPECT_EQ(OutlierDetector::EjectionTime(*upstream_), 60s);
}

TEST_F(OutlierDetectorTest, RestartsTheCountAfterAServedCall) {
  for (int i = 0; i < 4; ++i) ASSERT_EQ(Finish(*upstream_, Outcome::kReset), EjectionChange::kNone);
  ASSERT_EQ(Finish(*upstream_, Outcome::kServed), EjectionChange::kNone);

  EXPECT_EQ(Finish(*upstream_, Outcome::kReset), EjectionChange::kNone);
}

TEST_F(OutlierDetectorTest, ReadmitsAfterTheEjectionTime) {
  Eject(*upstream_);

  now_ += 60s - 1us;
  EXPECT_FALSE(components_.outliers.ReadmitIfExpired(*upstream_, now_));
  now_ += 1us;
  EXPECT_TRUE(components_.outliers.ReadmitIfExpired(*upstream_, now_));
  EXPECT_FALSE(OutlierDetector::IsEjected(*upstream_));
}

TEST_F(OutlierDetectorTest, DoublesTheEjectionTimeOfARelapse) {
  Eject(*upstream_);
  now_ += 60s;
  ASSERT_TRUE(components_.outliers.ReadmitIfExpired(*upstream_, now_));

  Eject(*upstream_);

  EXPECT_EQ(OutlierDetector::EjectionTime(*upstream_), 120s);
}

TEST_F(OutlierDetectorTest, ReadmitsAfterTwoServedHalfOpenProbes) {
  Eject(*upstream_);
  ASSERT_FALSE(components_.outliers.IsDueForHalfOpenProbe(*upstream_, now_));
  now_ += 1s;
  ASSERT_TRUE(components_.outliers.IsDueForHalfOpenProbe(*upstream_, now_));

  EXPECT_EQ(Finish(*upstream_, Outcome::kServed, true), EjectionChange::kNone);
  EXPECT_EQ(Finish(*upstream_, Outcome::kServed, true), EjectionChange::kReadmitted);
}

TEST_F(OutlierDetectorTest, ProbesLessOftenAfterAFailedProbe) {
  Eject(*upstream_);
  now_ += 1s;
  OutlierDetector::OnHalfOpenProbeSent(*upstream_);
  ASSERT_FALSE(components_.outliers.IsDueForHalfOpenProbe(*upstream_, now_));

  ASSERT_EQ(Finish(*upstream_, Outcome::kTimeout, true), EjectionChange::kNone);

  EXPECT_FALSE(components_.outliers.IsDueForHalfOpenProbe(*upstream_, now_ + 2s - 1us));
  EXPECT_TRUE(components_.outliers.IsDueForHalfOpenProbe(*upstream_, now_ + 2s));
}

TEST_F(OutlierDetectorTest, RequiresMoreFailuresIfThePeersFailToo) {
  const UpstreamPtr peer = AddUpstream(MakeUpstream("b"));
  for (int i = 0; i < 20; ++i)
    components_.failures.Record(*peer, i % 2 == 0 ? Outcome::kError : Outcome::kServed);

  for (int i = 0; i < 10; ++i) EXPECT_EQ(Finish(*upstream_, Outcome::kError), EjectionChange::kNone);
}

TEST_F(OutlierDetectorTest, SuspectsAnUpstreamWithoutResponses) {
  OutlierDetector::OnFirstInFlight(*upstream_, now_);
  components_.limiter.OnAttemptStarted(*upstream_);

  EXPECT_FALSE(
      components_.outliers.IsSuspectedOutlier(*upstream_, now_ + 300ms));  // three usual times of 100 ms
  EXPECT_TRUE(components_.outliers.IsSuspectedOutlier(*upstream_, now_ + 301ms));
}

}  // namespace
}  // namespace lb::testing

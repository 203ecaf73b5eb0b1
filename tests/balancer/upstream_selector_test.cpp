#include "balancer/upstream_selector.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

using Preference = UpstreamSelector::Preference;

class UpstreamSelectorTest : public ComponentsFixture {
 protected:
  void Eject(Upstream& upstream) {
    for (int i = 0; i < OutlierDetector::kFailuresToEject; ++i) Finish(upstream, Outcome::kError);
    ASSERT_TRUE(OutlierDetector::IsEjected(upstream));
  }

  UpstreamPtr Choose(const Request& request, Preference preference = Preference::kAny) {
    return selector_.Choose(request, now_, preference);
  }

  UpstreamSelector selector_{components_};
};

TEST_F(UpstreamSelectorTest, ChoosesNothingFromAnEmptyList) {
  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), nullptr);
}

TEST_F(UpstreamSelectorTest, RotatesOverEqualUpstreams) {
  const UpstreamPtr first = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr second = AddUpstream(MakeUpstream("b"));

  const UpstreamPtr chosen = Choose(MakeRequest(kIdempotent));
  const UpstreamPtr next = Choose(MakeRequest(kIdempotent));

  EXPECT_NE(chosen, next);
  EXPECT_TRUE(chosen == first || chosen == second);
}

TEST_F(UpstreamSelectorTest, SkipsDrainingUpstreams) {
  AddUpstream(MakeUpstream("a", UpstreamState::kDraining));
  const UpstreamPtr serving = AddUpstream(MakeUpstream("b"));

  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), serving);
  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), serving);
}

TEST_F(UpstreamSelectorTest, SkipsAnEjectedUpstreamUntilItsTimeIsOver) {
  const UpstreamPtr ejected = AddUpstream(MakeUpstream("a"));
  Eject(*ejected);
  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), nullptr);

  now_ += OutlierDetector::EjectionTime(*ejected);

  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), ejected);
}

TEST_F(UpstreamSelectorTest, SkipsAnOverloadedUpstreamDuringItsBackoff) {
  const UpstreamPtr overloaded = AddUpstream(MakeUpstream("a"));
  components_.overload_backoff.Start(*overloaded, 100ms, now_);
  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), nullptr);

  now_ += 150ms;

  EXPECT_EQ(Choose(MakeRequest(kIdempotent)), overloaded);
}

TEST_F(UpstreamSelectorTest, PrefersAnUpstreamThatTheRequestHasNotTried) {
  const UpstreamPtr tried = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr other = AddUpstream(MakeUpstream("b"));
  Request request = MakeRequest(kIdempotent);
  Attempt attempt;
  attempt.upstream = tried;
  attempt.outcome = Outcome::kRejected;
  request.attempts.push_back(attempt);

  EXPECT_EQ(Choose(request), other);
}

TEST_F(UpstreamSelectorTest, FindsNoLocalUpstreamInAnotherZone) {
  UpstreamInfo far = MakeUpstream("a");
  far.zone = "there";
  const UpstreamPtr upstream = AddUpstream(far);

  EXPECT_EQ(Choose(MakeRequest(kIdempotent), Preference::kLocalGoodStanding), nullptr);
  EXPECT_EQ(Choose(MakeRequest(kIdempotent), Preference::kGoodStanding), upstream);
}

TEST_F(UpstreamSelectorTest, ChoosesAnEjectedUpstreamForAHalfOpenProbe) {
  const UpstreamPtr ejected = AddUpstream(MakeUpstream("a"));
  AddUpstream(MakeUpstream("b"));
  Eject(*ejected);
  components_.membership.Monitor(*ejected);
  EXPECT_EQ(selector_.ChooseForHalfOpenProbe(MakeRequest(kIdempotent), now_), nullptr) << "not yet due";

  now_ += 1s;

  EXPECT_EQ(selector_.ChooseForHalfOpenProbe(MakeRequest(kIdempotent), now_), ejected);
}

}  // namespace
}  // namespace lb::testing

#include "balancer/load_prober.h"

#include "tests/balancer/components_fixture.h"

namespace lb::testing {
namespace {

Settings ProbingSettings(double probe_cost) {
  Settings settings = DefaultSettings();
  settings.load_probes_report_load = true;
  settings.limits.load_probes_allowed = true;
  settings.decision_costs.probe = probe_cost;
  return settings;
}

class LoadProberTest : public ComponentsFixture {
 protected:
  explicit LoadProberTest(double probe_cost = 0.001) : ComponentsFixture(ProbingSettings(probe_cost)) {}

  // Inserts a request that waits for the reports of these upstreams into the request table.
  Request& WaitingRequest(const std::vector<UpstreamPtr>& upstreams) {
    const Request made = MakeRequest(kIdempotent);
    Request& request = *components_.requests.Insert(made.id);
    request = made;
    for (const UpstreamPtr& upstream : upstreams) request.load_probes.push_back({upstream});
    components_.prober.BeginWaiting(request);
    return request;
  }

  static LoadReport Report(double in_flight, double rate) {
    LoadReport report;
    report.in_flight = in_flight;
    report.rate = rate;
    return report;
  }

  const UpstreamPtr first_ = AddUpstream(MakeUpstream("a"));
  const UpstreamPtr second_ = AddUpstream(MakeUpstream("b"));
};

class CostlyLoadProberTest : public LoadProberTest {
 protected:
  CostlyLoadProberTest() : LoadProberTest(0.05) {}
};

TEST_F(LoadProberTest, ProbesThreeUpstreamsForEachRequestWhereProbesAreCheap) {
  EXPECT_TRUE(components_.prober.ProbesEachRequest());
  EXPECT_EQ(components_.prober.ProbeCount(*first_, now_), 3U);
}

TEST_F(CostlyLoadProberTest, ProbesTwoUpstreamsOnlyForARequestAtRisk) {
  EXPECT_FALSE(components_.prober.ProbesEachRequest());
  EXPECT_EQ(components_.prober.ProbeCount(*first_, now_), 1U);

  for (int i = 0; i < 10; ++i) components_.lateness.Record(*first_, true, now_);

  EXPECT_EQ(components_.prober.ProbeCount(*first_, now_), 2U);
}

TEST_F(LoadProberTest, WaitsATenthOfTheConnectTimeout) {
  EXPECT_EQ(components_.prober.WaitTime(), components_.settings.limits.connect_timeout / 10);
}

TEST_F(LoadProberTest, SendsOneProbeToAnUpstreamAtATime) {
  EXPECT_TRUE(LoadProber::ClaimProbe(*first_));
  EXPECT_FALSE(LoadProber::ClaimProbe(*first_));

  components_.prober.RecordReport(first_, Report(1, 100));

  EXPECT_TRUE(LoadProber::ClaimProbe(*first_));
}

TEST_F(LoadProberTest, PassesAReportToEveryWaitingRequest) {
  Request& one = WaitingRequest({first_, second_});
  Request& other = WaitingRequest({first_});

  const std::vector<RequestId> waiting = components_.prober.RecordReport(first_, Report(4, 100));

  EXPECT_EQ(waiting, (std::vector<RequestId>{one.id, other.id}));
  EXPECT_EQ(one.load_probes[0].in_flight, 4);
  EXPECT_FALSE(one.load_probes[1].answered);
  EXPECT_EQ(other.load_probes[0].in_flight, 4);
}

TEST_F(LoadProberTest, CountsRequestsSentSinceAReport) {
  Request& request = WaitingRequest({first_});
  components_.prober.RecordReport(first_, Report(4, 100));

  components_.prober.OnRequestSent(first_);

  EXPECT_EQ(request.load_probes[0].in_flight, 5);
}

TEST_F(LoadProberTest, ChoosesTheUpstreamWithTheLeastLoad) {
  const Request request = MakeRequest(kIdempotent);

  const LoadProber::Choice choice =
      components_.prober.Choose(request, {{first_, true, 4, 100}, {second_, true, 1, 100}}, now_);

  EXPECT_EQ(choice.upstream, second_);
  EXPECT_DOUBLE_EQ(choice.in_flight, 2) << "with the request that is chosen for";
  EXPECT_FALSE(choice.overloaded);
}

// Within half of the latency objective of 400 ms, 100 requests per second make 20 requests: more in flight
// are an overload.
TEST_F(LoadProberTest, ChoosesNoOverloadedUpstream) {
  const Request request = MakeRequest(kIdempotent);

  const LoadProber::Choice choice = components_.prober.Choose(request, {{first_, true, 21, 100}}, now_);

  EXPECT_EQ(choice.upstream, nullptr);
  EXPECT_TRUE(choice.overloaded);
}

}  // namespace
}  // namespace lb::testing

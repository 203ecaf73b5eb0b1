// Tests of the client model on the virtual clock.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/model/client_model.h"
#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "tests/lab_small_fleet.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ClientFixture {
  ClientFixture(Experiment given, double rate, ClientModel::OfferFunction offer)
      : experiment(std::move(given)),
        deployment(MakeSmallDeployment(experiment, 1, 2, rate)),
        clients(
            experiment, deployment, scheduler, std::move(offer),
            [this](const RequestResult& result) { results.push_back(result); }, retries) {}
  void Play(Duration time) {
    clients.Start();
    scheduler.RunUntil(scheduler.Now() + time);
    clients.Stop();
    scheduler.RunUntil(scheduler.Now() + seconds(5));
  }

  VirtualScheduler scheduler;
  std::uint64_t retries = 0;
  std::vector<RequestResult> results;
  Experiment experiment;
  Deployment deployment;
  ClientModel clients;
};

TEST(ClientModel, ArrivalsFollowTheRateAndTheLoadFactorAndWorkItsMean) {
  double work = 0;
  ClientFixture fixture(SmallExperiment(), 50,
                        [&](std::size_t, const OfferedRequest& request, const auto& answer) {
                          work += static_cast<double>(request.work.count());
                          answer({AnswerKind::kServed, {}});
                        });
  fixture.Play(seconds(100));
  const auto usual = static_cast<double>(fixture.results.size());
  EXPECT_NEAR(usual, 10000, 400);
  EXPECT_NEAR(work / usual, 20e3, 1000);
  fixture.clients.SetLoadFactor(3);
  fixture.Play(seconds(100));
  EXPECT_NEAR(static_cast<double>(fixture.results.size()) - usual, 30000, 700);
  EXPECT_EQ(fixture.clients.open(), 0u);
}

TEST(ClientModel, ClassesComeByTheirShares) {
  Experiment experiment = SmallExperiment();
  ClassSpec other = experiment.classes[0];
  other.name = "list";
  other.share = 3;
  experiment.classes.push_back(other);
  std::map<lb::ClassId, int> offered;
  ClientFixture fixture(experiment, 50, [&](std::size_t, const OfferedRequest& request, const auto& answer) {
    ++offered[request.request_class];
    answer({AnswerKind::kServed, {}});
  });
  fixture.Play(seconds(100));
  const double first = offered[lb::ClassId{0}], second = offered[lb::ClassId{1}];
  EXPECT_NEAR(first / (first + second), 0.25, 0.02);
}

TEST(ClientModel, ARejectionIsRetriedAfterRetryAfterAndCountsFromTheFirstTry) {
  Experiment experiment = SmallExperiment();
  experiment.clients.retries = 2;
  std::map<bool, int> offered;
  ClientFixture fixture(experiment, 10, [&](std::size_t, const OfferedRequest& request, const auto& answer) {
    ++offered[request.client_retry];
    answer(request.client_retry ? Answer{AnswerKind::kServed, {}}
                                : Answer{AnswerKind::kRefused, milliseconds(300)});
  });
  fixture.Play(seconds(10));
  ASSERT_GT(fixture.results.size(), 100u);
  EXPECT_EQ(offered[false], offered[true]);
  EXPECT_EQ(fixture.retries, fixture.results.size());
  for (const RequestResult& result : fixture.results) {
    EXPECT_EQ(result.outcome, RequestOutcome::kLate);
    EXPECT_EQ(result.ended - result.arrived, milliseconds(300));
  }
}

TEST(ClientModel, RetriesOnlyIdempotentRequestsAndCountsTimeoutsAsFailures) {
  for (const auto idempotency : {lb::Idempotency::kIdempotent, lb::Idempotency::kNotIdempotent}) {
    Experiment experiment = SmallExperiment();
    experiment.classes[0].idempotency = idempotency;
    ClientFixture fixture(experiment, 10, [](std::size_t, const OfferedRequest&, const auto&) {});
    fixture.Play(seconds(10));
    ASSERT_GT(fixture.results.size(), 100u);
    const bool repeats = idempotency == lb::Idempotency::kIdempotent;
    for (const RequestResult& result : fixture.results) {
      EXPECT_EQ(result.outcome, RequestOutcome::kFailed);
      EXPECT_EQ(result.tries, repeats ? 2 : 1);
      EXPECT_EQ(result.ended - result.arrived, milliseconds(repeats ? 1000 : 600));
    }
  }
}

}  // namespace
}  // namespace lb::lab

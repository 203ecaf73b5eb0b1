// Tests of the decision module as a whole: polled membership, validation of settings, determinism.
#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

TEST(PolledMembership, IsPolledAgainAfterAFailedPoll) {
  Settings settings = DefaultSettings();
  settings.polled_membership = true;
  BalancerHarness harness(settings);
  harness.ListUpstreams(2);
  EXPECT_EQ(harness.subscribed, 1);
  harness.Handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
  EXPECT_EQ(harness.subscribed, 1) << "no immediate poll after a failure";
  harness.Advance(settings.fleet_limits.poll_interval_limit / 2);
  EXPECT_EQ(harness.subscribed, 2);
  EXPECT_GT(harness.ServeAndCount(10)["a"], 0) << "the previous list stays in use";
}

TEST(PolledMembership, BacksOffUntilAListIsReceived) {
  Settings settings = DefaultSettings();
  settings.polled_membership = true;
  BalancerHarness harness(settings, 11);
  harness.ListUpstreams(2);
  const auto fail_and_wait_for_poll = [&harness] {
    const int subscribed = harness.subscribed;
    const TimePoint failed = harness.now;
    harness.Handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
    while (harness.subscribed == subscribed && harness.now < failed + 60s) harness.Advance(50ms);
    return harness.now - failed;
  };
  const Duration first = fail_and_wait_for_poll();
  fail_and_wait_for_poll();
  Duration third = fail_and_wait_for_poll();
  EXPECT_GT(third, first);
  for (int i = 0; i < 20; ++i) third = std::max(third, fail_and_wait_for_poll());
  EXPECT_LT(third, settings.fleet_limits.poll_interval_limit);
  EXPECT_LE(third, kMaxPollRetryDelay);
  harness.ReplaceList({MakeUpstream("a"), MakeUpstream("b")});
  EXPECT_LT(fail_and_wait_for_poll(), settings.fleet_limits.poll_interval_limit / 4);
}

TEST(BalancerSettings, ErrorNamesTheFieldOutOfRange) {
  const auto error_names = [](auto change, const std::string& name) {
    Settings settings = DefaultSettings();
    change(settings);
    try {
      Balancer balancer(settings, 1);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes.clear(); }, "classes"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[0].latency_objective = 0ms; }, "aim"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[0].deadline = -1ms; }, "deadline"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[2].key_window = 0ms; }, "key_window"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.limits.max_attempts = 0; }, "max_attempts"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.fleet_limits.slow_start_initial_share = 0; },
                          "cold_from"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.fleet_limits.slow_start_initial_share = 1.5; },
                          "cold_from"));
  EXPECT_TRUE(
      error_names([](Settings& settings) { settings.fleet_limits.slow_start_duration = 0ms; }, "cold_time"));
  EXPECT_TRUE(
      error_names([](Settings& settings) { settings.fleet_limits.overload_window = 0ms; }, "fall_window"));
  EXPECT_TRUE(
      error_names([](Settings& settings) { settings.fleet_limits.overload_multiple = 0; }, "fall_multiple"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[1].name = settings.classes[0].name; },
                          "classes.name"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[1].name = ""; }, "classes.name"));
  EXPECT_TRUE(error_names(
      [](Settings& settings) {
        settings.tenants = {{"a"}, {"b"}, {"a"}};
      },
      "tenants.name"));
  EXPECT_TRUE(
      error_names([](Settings& settings) { settings.classes[0].deadline = Duration::max(); }, "deadline"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.classes[2].key_window = Duration::max(); },
                          "key_window"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.fleet_limits.drain_grace = Duration::max(); },
                          "drain_grace"));
  EXPECT_TRUE(
      error_names([](Settings& settings) { settings.limits.max_retry_after = -1ms; }, "max_retry_after"));
  EXPECT_TRUE(error_names([](Settings& settings) { settings.decision_costs.waste = -0.1; }, "prices"));
}

TEST(Balancer, GivesTheSameActionsForTheSameEvents) {
  BalancerHarness a, b;
  for (BalancerHarness* harness : {&a, &b}) {
    harness->ListUpstreams(5);
    harness->ServeAndCount(50);
    harness->FailConsecutively("c", 5);
    harness->ServeAndCount(50);
    harness->Advance(3s);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].upstream, b.sent[i].upstream);
  EXPECT_EQ(a.logs, b.logs);
}

}  // namespace
}  // namespace lb::testing

// Tests of the discovery client against a local agent: watches, retries, backoff and their time limits.
#include "sidecar/discovery_client.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "sidecar/endpoint_list.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

TEST(DiscoveryClient, RecoversFromBrokenSilentAndMalformedDiscovery) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  for (const auto mode : {Discovery::ResponseMode::kClosesConnection, Discovery::ResponseMode::kMalformed,
                          Discovery::ResponseMode::kSilent}) {
    Discovery discovery(List({Target("u1", a.address())}));
    SidecarProcess::Options options = With(nullptr);
    options.discovery = discovery.address();
    SidecarProcess sidecar(options);
    ASSERT_TRUE(sidecar.Listening());
    ASSERT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
    const int calls = discovery.calls();
    discovery.Set(mode);
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 1; }));
    EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));  // the previous list stays in force
    discovery.Publish(List({Target("u2", b.address())}));
    discovery.Set(Discovery::ResponseMode::kResponds);
    EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));
  }
}

TEST(DiscoveryClient, BackoffGrowsToALimitWithJitter) {
  const Duration longest = milliseconds(75);
  EXPECT_LT(BackoffAfter(1, longest, 1), BackoffAfter(4, longest, 0));
  for (const int failures : {1, 3, 6, 1000}) {
    EXPECT_GT(BackoffAfter(failures, longest, 0), Duration::zero());
    EXPECT_LT(BackoffAfter(failures, longest, 0), BackoffAfter(failures, longest, 0.5));
    EXPECT_LT(BackoffAfter(failures, longest, 0.5), BackoffAfter(failures, longest, 1));
    EXPECT_LE(BackoffAfter(failures, longest, 1), longest);
  }
}

TEST(DiscoveryClient, BackoffLeavesHalfOfTheGraceAfterARecovery) {
  for (const auto grace : {milliseconds(100), milliseconds(300), milliseconds(2000)}) {
    const Duration silence = SilenceTimeout(grace);
    EXPECT_LE(silence + BackoffAfter(1000, silence, 1), grace / 2);
  }
  EXPECT_GT(SilenceTimeout(Duration::zero()), Duration::zero());
}

TEST(DiscoveryClient, RetriesASilentAgentWithinTheGrace) {
  Upstream hung([](Wire& wire, const Request&, int) { wire.ReadUntilClosed(); });
  Peer agent([](Wire& wire, int) {
    wire.ReadRequest();
    wire.ReadUntilClosed();
  });
  json settings = Settings();
  settings["Rules"]["StopSendingWithin"] = 40000;
  SidecarProcess::Options options = With(List({Target("u1", hung.address())}), settings);
  options.discovery = agent.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  // The request's timeout of 3 s is the duration of the test, which is 75 times the grace of 40 ms.
  Client client(sidecar.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x", 3000));
  EXPECT_GT(agent.connections(), 10);
}

TEST(DiscoveryClient, FollowsASlowAgent) {
  Upstream a(Upstream::Echo("a"));
  const std::string list = json{{"rev", 7}, {"all", true}, {"targets", {Target("u1", a.address())}}}.dump(4);
  const auto respond_slowly = [&](Wire& wire, milliseconds first, std::size_t piece, milliseconds gap) {
    while (wire.ReadRequest()) {
      std::this_thread::sleep_for(first);
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
      for (std::size_t at = 0; at < response.size(); at += piece) {
        if (!wire.Write(response.substr(at, piece))) return;
        std::this_thread::sleep_for(gap);
      }
    }
  };
  Peer late([&](Wire& wire, int) { respond_slowly(wire, milliseconds(300), 65536, milliseconds(0)); });
  Peer in_pieces([&](Wire& wire, int) { respond_slowly(wire, milliseconds(0), 20, milliseconds(20)); });
  json settings = Settings();
  settings["Rules"]["StopSendingWithin"] = 400000;
  for (const std::string& address : {late.address(), in_pieces.address()}) {
    SidecarProcess::Options options = With(nullptr, settings);
    options.discovery = address;
    SidecarProcess sidecar(options);
    ASSERT_TRUE(sidecar.Listening());
    EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  }
}

TEST(DiscoveryClient, DoesNotSpinOnAnAgentThatAnswersAtOnce) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<int> calls{0};
  const std::string body =
      json{{"rev", 1}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request&, int) {
    ++calls;
    wire.Answer(200, body);
  });
  SidecarProcess::Options options = With(nullptr);
  options.discovery = agent.address();
  const auto start = std::chrono::steady_clock::now();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(Eventually([&] { return calls >= 10; }));
  EXPECT_GT(std::chrono::steady_clock::now() - start, milliseconds(200));
}

TEST(DiscoveryClient, WatchContinuesFromTheLastRevision) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<bool> watched{false};
  const std::string body =
      json{{"rev", 41}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request& request, int) {
    if (std::string(request.target()).find("index=41&") != std::string::npos) watched = true;
    wire.Answer(200, body);
  });
  SidecarProcess::Options options = With(nullptr);
  options.discovery = agent.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(Eventually([&] { return watched.load(); }));
  EXPECT_EQ(agent.requests().front().target(), "/discovery/hosts");
}

TEST(DiscoveryClient, AnyMissedChangeArrivesWithinTheNotificationLimit) {
  for (const int grace_ms : {0, 40, 300, 1000, 5000, 60000}) {
    const Duration silence = SilenceTimeout(milliseconds(grace_ms));
    for (const int failures : {1, 4, 1000}) {
      const Duration pause = BackoffAfter(failures, silence, 1);
      EXPECT_LE(kAgentWatch + silence + pause + silence, kNotificationLimit) << "a watch receives no data";
      EXPECT_LE(kAgentWatch + kAgentResponseReserve + pause + silence, kNotificationLimit)
          << "a watch receives an incomplete response";
      EXPECT_LE(silence + pause + silence, kNotificationLimit) << "a call fails";
    }
  }
  EXPECT_LE(kServiceWatch + kServiceWatchSilence + kServiceRetryDelay + kServiceResponseReserve,
            kNotificationLimit);
  EXPECT_LE(kServiceCallSilence + lb::kMaxPollRetryDelay + kServiceSlowResponse, kNotificationLimit);
}

}  // namespace
}  // namespace lb::sidecar::testing

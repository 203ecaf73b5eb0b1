// Requests whose X-Request-ID comes again although it must be used once: the repeat must not run at an
// upstream, also if the first request's client has left. Runs the real program.
#include <algorithm>
#include <csignal>
#include <cstddef>
#include <memory>
#include <string>

#include "gtest/gtest.h"
#include "tests/gated_upstream.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

constexpr int kTimeoutMs = 15000;
constexpr const char* kRepeatedId = "repeated";

std::string RepeatedRequest() { return PostText("/submit/k", kRepeatedId, "body", kTimeoutMs); }

class RepeatedRequestId : public ::testing::Test {
 protected:
  std::unique_ptr<SidecarProcess> StartSidecar(const std::string& listen = "127.0.0.1:0") {
    json settings = Settings();
    for (json& request_class : settings["Classes"]) request_class["Aim"] = kTimeoutMs * 1000;
    SidecarProcess::Options options = WithAdmin(List({Target("u1", upstream_.address())}), folder_.path());
    options.settings = settings;
    options.discovery = discovery_.address();
    options.listen = listen;
    auto sidecar = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar->Listening());
    EXPECT_TRUE(Eventually([&] { return sidecar->Status("GET", "/ready") == 200; }));
    return sidecar;
  }

  std::unique_ptr<SidecarProcess> StartNext(const SidecarProcess& sidecar) {
    return StartSidecar("127.0.0.1:" + std::to_string(sidecar.port()));
  }

  // Sends the request whose id will come again, and leaves once it runs at the upstream.
  void SendAndLeave(const SidecarProcess& sidecar) {
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(RepeatedRequest()));
    upstream_.WaitForHeldRequest();
  }

  // Sends the request again on several connections, so that each process that accepts has some of them.
  static void SendAgain(const SidecarProcess& sidecar) {
    constexpr int kConnections = 16;
    for (int i = 0; i < kConnections; ++i) {
      Client client(sidecar.port());
      const auto response = client.Post("/submit/k", kRepeatedId, "body", kTimeoutMs);
      ASSERT_TRUE(response);
      EXPECT_NE(response->result_int(), 200U);
    }
  }

  std::size_t Runs() const {
    const auto requests = upstream_.requests();
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [](const Request& request) { return request["X-Request-ID"] == kRepeatedId; }));
  }

  Folder folder_;
  GatedUpstream upstream_;
  Discovery discovery_{List({Target("u1", upstream_.address())})};
};

TEST_F(RepeatedRequestId, IsRejectedAfterItsClientLeft) {
  const auto sidecar = StartSidecar();
  SendAndLeave(*sidecar);

  SendAgain(*sidecar);

  EXPECT_EQ(Runs(), 1U);
  const auto metrics = sidecar->CallAdmin("GET", "/metrics");
  ASSERT_TRUE(metrics);
  EXPECT_NE(metrics->body().find("lb_requests_total{end=\"repeated_id\"} 16\n"), std::string::npos)
      << metrics->body();
}

// Guards against forgetting an id early because other ids have come since.
TEST_F(RepeatedRequestId, IsRejectedAfterManyOtherIds) {
  constexpr int kOtherIds = 10240;
  const auto sidecar = StartSidecar();
  SendAndLeave(*sidecar);
  Client other(sidecar->port());
  ASSERT_EQ(CountAnsweredInARow(other, kOtherIds, "o"), kOtherIds);

  SendAgain(*sidecar);

  EXPECT_EQ(Runs(), 1U);
}

// Guards against running an id at each of the two processes of an upgrade.
TEST_F(RepeatedRequestId, IsRejectedByTheNextProcessOfAnUpgrade) {
  const auto sidecar = StartSidecar();
  const auto next = StartNext(*sidecar);
  SendAndLeave(*sidecar);

  SendAgain(*sidecar);

  EXPECT_EQ(Runs(), 1U);
}

// Guards against the same while the previous process shuts down, when the next one alone accepts.
TEST_F(RepeatedRequestId, IsRejectedByTheNextProcessWhileThePreviousOneStops) {
  const auto sidecar = StartSidecar();
  SendAndLeave(*sidecar);
  const auto next = StartNext(*sidecar);
  sidecar->Signal(SIGTERM);

  SendAgain(*sidecar);

  EXPECT_EQ(Runs(), 1U);
}

// Guards against forgetting the ids of a process that was killed.
TEST_F(RepeatedRequestId, IsRejectedByTheNextProcessAfterThePreviousOneWasKilled) {
  const auto sidecar = StartSidecar();
  SendAndLeave(*sidecar);
  const auto next = StartNext(*sidecar);
  sidecar->Signal(SIGKILL);
  sidecar->Wait();

  SendAgain(*next);

  EXPECT_EQ(Runs(), 1U);
}

}  // namespace
}  // namespace lb::sidecar::testing

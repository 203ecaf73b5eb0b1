// Client connections when descriptors are limited: which are evicted, and that the others are served.
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

// A sidecar that is limited to 64 descriptors, with one upstream.
class DescriptorLimitTest : public ::testing::Test {
 protected:
  static constexpr int kLimit = 64;

  void SetUp() override { ASSERT_TRUE(sidecar_.Listening()); }

  Upstream upstream_{Upstream::Echo("u")};
  SidecarProcess sidecar_{OptionsWithLimit(upstream_)};

 private:
  static SidecarProcess::Options OptionsWithLimit(const Upstream& upstream) {
    SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
    options.sockets = kLimit;
    return options;
  }
};

TEST_F(DescriptorLimitTest, IsKeptAndClientsAreServed) {
  // More clients than descriptors; each sends one request and stays connected.
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar_.port()));
    const auto response = clients.back()->Get("/page/k", "d" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
    ASSERT_LE(sidecar_.descriptors(), kLimit) << i;
  }
}

// Guards against evicting a connection in advance, before the next client connects: the evicted one would be
// the newest.
TEST_F(DescriptorLimitTest, LastClientThatFitsIsServedAfterAPause) {
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar_.port()));
    std::this_thread::sleep_for(milliseconds(20));
    const auto response = clients.back()->Get("/page/k", "l" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
  }
}

// A request is accepted once its last byte has arrived, read or not: a process that is not scheduled in time
// must not close its connection.
TEST_F(DescriptorLimitTest, CompleteUnreadRequestIsNotEvicted) {
  const int idle = sidecar_.descriptors();
  std::vector<std::unique_ptr<Client>> clients;
  const auto text = [](std::size_t i) { return GetText("/page/k", "p" + std::to_string(i), 15000); };
  // As many as fit. The sidecar accepts the next connection only if it closes another one.
  for (std::size_t i = 0; i < 24; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar_.port()));
    ASSERT_TRUE(clients[i]->Send(text(i).substr(0, 20)));
  }
  ASSERT_TRUE(Eventually([&] { return sidecar_.descriptors() >= idle + 24; }));
  std::this_thread::sleep_for(
      milliseconds(200));  // time to read them; the test is less strict if that is too short
  sidecar_.Pause();
  Client next(sidecar_.port());
  ASSERT_TRUE(next.Send(text(99)));
  for (std::size_t i = 0; i < clients.size(); ++i) ASSERT_TRUE(clients[i]->Send(text(i).substr(20)));
  sidecar_.Signal(SIGCONT);
  for (const auto& client : clients) {
    const auto response = client->Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  const auto response = next.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Many clients connect and send nothing: usual clients are still served.
TEST_F(DescriptorLimitTest, SilentClientsAreEvicted) {
  std::vector<std::unique_ptr<Client>> silent;
  silent.reserve(100);
  for (int i = 0; i < 100; ++i) silent.push_back(std::make_unique<Client>(sidecar_.port()));
  for (int i = 0; i < 5; ++i) {
    Client usual_client(sidecar_.port());
    const auto response = usual_client.Get("/page/k", "v" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  for (const auto& client : silent) EXPECT_TRUE(client->wire.ReadUntilClosed());
}

// Guards against peers that take a descriptor for good: their chunk's line never ends, and fills the buffer.
// All of them stay connected, also beyond the time at which a stalled request is rejected.
TEST_F(DescriptorLimitTest, PeersWhoseChunkLineNeverEndsAreRejected) {
  const std::string request =
      PostHead("/submit/k", "", 5000, "Transfer-Encoding: chunked\r\n") + std::string(64000, 'x');
  std::vector<std::unique_ptr<Client>> peers;
  for (int i = 0; i < 2 * kLimit; ++i) {
    peers.push_back(std::make_unique<Client>(sidecar_.port()));
    ASSERT_TRUE(peers.back()->Send(request)) << i;
    ASSERT_TRUE(Eventually([&] { return peers.back()->wire.socket.available() > 0; })) << i;
  }
  Client usual_client(sidecar_.port());
  const auto response = usual_client.Get("/page/k", "usual");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Idle clients take all descriptors meant for clients while discovery is down. The connections to discovery,
// to upstreams and of the admin interface use other descriptors.
TEST(DescriptorLimit, IdleClientsLeaveCapacityForDiscoveryUpstreamsAndAdmin) {
  for (const int limit : {64, 256, 1024}) {
    ASSERT_TRUE(RaiseDescriptorLimit());
    const Folder folder;
    Upstream upstream(Upstream::Echo("u1"));
    Discovery discovery(List({Target("u1", upstream.address())}));
    discovery.Set(Discovery::ResponseMode::kClosesConnection);
    SidecarProcess::Options options = WithAdmin(json::array(), folder.path());
    options.discovery = discovery.address();
    options.sockets = limit;
    SidecarProcess sidecar(options);
    ASSERT_TRUE(sidecar.Listening());
    std::vector<std::unique_ptr<Client>> idle;
    for (int i = 0; i < limit; ++i) {
      idle.push_back(std::make_unique<Client>(sidecar.port()));
      idle.back()->Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      ASSERT_TRUE(idle.back()->Read()) << i;
    }
    EXPECT_LE(sidecar.descriptors(), limit);
    EXPECT_EQ(sidecar.Status("GET", "/ready"), 503U);
    discovery.Set(Discovery::ResponseMode::kResponds);
    EXPECT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200U; }));
    Client usual_client(sidecar.port());
    const auto response = usual_client.Get("/page/k", "a");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), "u1 /page/k");
    EXPECT_LE(sidecar.descriptors(), limit);
  }
}

TEST(DescriptorLimit, ShortageOfDescriptorsIsSurvived) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  // The kernel's limit is lower than the configured one.
  const rlim_t limit = static_cast<rlim_t>(sidecar.descriptors()) + 6;
  const rlimit lower{limit, limit};
  ASSERT_EQ(::prlimit(sidecar.pid(), RLIMIT_NOFILE, &lower, nullptr), 0);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar.port()));
    const auto response = clients.back()->Get("/page/k", "e" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_TRUE(response->result_int() == 200U || response->result_int() == 503U) << response->result_int();
  }
  clients.clear();
  EXPECT_TRUE(BecomesServedBy(sidecar, "u /page/k"));
}

}  // namespace
}  // namespace lb::sidecar::testing

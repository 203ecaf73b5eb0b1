// Client connections under the limit on descriptors: which are evicted, and that the others are served.
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

TEST(DescriptorLimit, IsKeptAndClientsAreServed) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  // More clients than there are descriptors; each asks once and stays.
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar.port()));
    const auto response = clients.back()->Get("/page/k", "d" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
    ASSERT_LE(sidecar.descriptors(), 64) << i;
  }
}

// Guards against making room for a client that is not there at the cost of the last one that came.
TEST(DescriptorLimit, LastClientThatFitsIsServedAfterAPause) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar.port()));
    std::this_thread::sleep_for(milliseconds(20));
    const auto response = clients.back()->Get("/page/k", "l" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
  }
}

// A request counts as taken with its last byte, read or not: a process short of time must not close on it.
TEST(DescriptorLimit, CompleteUnreadRequestIsNotEvicted) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  const int idle = sidecar.descriptors();
  std::vector<std::unique_ptr<Client>> clients;
  const auto text = [](std::size_t i) { return GetText("/page/k", "p" + std::to_string(i), 15000); };
  // As many as fit: of the next one nothing is taken without closing another.
  for (std::size_t i = 0; i < 24; ++i) {
    clients.push_back(std::make_unique<Client>(sidecar.port()));
    ASSERT_TRUE(clients[i]->Send(text(i).substr(0, 20)));
  }
  ASSERT_TRUE(Eventually([&] { return sidecar.descriptors() >= idle + 24; }));
  std::this_thread::sleep_for(milliseconds(200));  // to read them; where it has not, there is less to see
  sidecar.Pause();
  Client next(sidecar.port());
  ASSERT_TRUE(next.Send(text(99)));
  for (std::size_t i = 0; i < clients.size(); ++i) ASSERT_TRUE(clients[i]->Send(text(i).substr(20)));
  sidecar.Signal(SIGCONT);
  for (const auto& client : clients) {
    const auto response = client->Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  const auto response = next.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Many clients connect and say nothing: usual clients are served all the same.
TEST(DescriptorLimit, SilentClientsAreEvicted) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(std::make_unique<Client>(sidecar.port()));
  for (int i = 0; i < 5; ++i) {
    Client usual(sidecar.port());
    const auto response = usual.Get("/page/k", "v" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  for (const auto& client : silent) EXPECT_TRUE(client->wire.ReadsEnd());
}

TEST(DescriptorLimit, ShortageOfDescriptorsIsSurvived) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  // The system allows less than the deployment said.
  const auto limit = static_cast<rlim_t>(sidecar.descriptors() + 6);
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

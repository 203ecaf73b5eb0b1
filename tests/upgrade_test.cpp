// An upgrade of lb-sidecar under load: a second process inherits the listener of the first.
#include <sys/stat.h>

#include <atomic>
#include <boost/asio/local/stream_protocol.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

// Several clients, each of which sends one request after another until it is stopped, each request on a new
// connection. A request whose connection closes before any part of a response is sent once more, which RFC
// 9110 allows for idempotent methods (9.2.2).
class ClientLoad {
 public:
  explicit ClientLoad(std::uint16_t port) {
    for (int i = 0; i < 4; ++i) threads_.emplace_back([this, port, i] { SendRequests(port, i); });
  }
  ~ClientLoad() { Stop(); }
  void Stop() {
    stopping_ = true;
    for (auto& thread : threads_)
      if (thread.joinable()) thread.join();
  }
  int served() const { return served_; }
  int lost() const { return lost_; }

 private:
  void SendRequests(std::uint16_t port, int number) {
    for (int i = 0; !stopping_; ++i) {
      const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
      bool served = false;
      for (int tries = 0; tries < 2 && !served; ++tries) {
        try {
          Client client(port);
          const auto response = client.Get("/page/k", id);
          served = response && response->result_int() == 200;
        } catch (const boost::system::system_error&) {
          ++lost_;  // connection refused: no process listens
        }
      }
      ++(served ? served_ : lost_);
    }
  }

  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::atomic<int> lost_{0};
  std::vector<std::thread> threads_;
};

class Upgrade : public ::testing::Test {
 protected:
  std::unique_ptr<SidecarProcess> StartSidecar(const std::string& listen = "127.0.0.1:0", int sockets = 256) {
    SidecarProcess::Options options = WithAdmin(List({Target("u1", upstream_.address())}), folder_.path());
    options.discovery = discovery_.address();
    options.listen = listen;
    options.sockets = sockets;
    auto sidecar = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar->Listening());
    return sidecar;
  }
  static bool BecomesReady(SidecarProcess& sidecar) {
    return Eventually([&] { return sidecar.Status("GET", "/ready") == 200; });
  }
  static std::string Address(const SidecarProcess& sidecar) {
    return "127.0.0.1:" + std::to_string(sidecar.port());
  }

  Folder folder_;
  Upstream upstream_{Upstream::Echo("u1")};
  Discovery discovery_{List({Target("u1", upstream_.address())})};
};

TEST_F(Upgrade, LosesNoRequestInThreeUpgradesInARow) {
  auto sidecar = StartSidecar();
  ASSERT_TRUE(BecomesReady(*sidecar));
  ClientLoad load(sidecar->port());
  for (int i = 0; i < 3; ++i) {
    const int before = load.served();
    auto next = StartSidecar(Address(*sidecar));
    ASSERT_TRUE(BecomesReady(*next));
    sidecar->Signal(SIGTERM);
    EXPECT_EQ(sidecar->Wait(), 0);
    sidecar = std::move(next);
    EXPECT_TRUE(Eventually([&] { return load.served() > before + 20; }));
  }
  load.Stop();
  EXPECT_EQ(load.lost(), 0);
}

TEST_F(Upgrade, LeavesClientsToTheOldProcessIfTheNewOneNeverServes) {
  auto sidecar = StartSidecar();
  ASSERT_TRUE(BecomesReady(*sidecar));
  ClientLoad load(sidecar->port());
  {
    SidecarProcess::Options options =
        WithAdmin(json::array(), folder_.path());  // without an upstream it never serves
    options.listen = Address(*sidecar);
    SidecarProcess never_serving(options);
    ASSERT_TRUE(never_serving.Listening());
    EXPECT_TRUE(
        Eventually([&] { return sidecar->log().find("hot_restart_next_connected") != std::string::npos; }));
    EXPECT_EQ(never_serving.Status("GET", "/ready"), 503U);
    const int before = load.served();
    EXPECT_TRUE(Eventually([&] { return load.served() > before + 20; }));
  }
  auto next = StartSidecar(Address(*sidecar));
  ASSERT_TRUE(BecomesReady(*next));
  sidecar->Signal(SIGTERM);
  EXPECT_EQ(sidecar->Wait(), 0);
  load.Stop();
  EXPECT_EQ(load.lost(), 0);
}

TEST_F(Upgrade, SurvivesAKillOfTheOldProcess) {
  auto sidecar = StartSidecar();
  ASSERT_TRUE(BecomesReady(*sidecar));
  auto next = StartSidecar(Address(*sidecar));
  ASSERT_TRUE(BecomesReady(*next));
  sidecar->Signal(SIGKILL);
  EXPECT_EQ(sidecar->Wait(), 128 + SIGKILL);
  ClientLoad load(next->port());
  EXPECT_TRUE(Eventually([&] { return load.served() > 20; }));
  load.Stop();
  EXPECT_EQ(load.lost(), 0);
}

TEST_F(Upgrade, KeepsBothProcessesToOneDescriptorLimit) {
  auto sidecar = StartSidecar("127.0.0.1:0", 160);
  ASSERT_TRUE(BecomesReady(*sidecar));
  auto next = StartSidecar(Address(*sidecar), 160);
  ASSERT_TRUE(BecomesReady(*next));
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(std::make_unique<Client>(sidecar->port()));
    EXPECT_LE(sidecar->descriptors() + next->descriptors(), 160);
  }
  EXPECT_LT(sidecar->descriptors(), 80);
  EXPECT_LT(next->descriptors(), 80);
}

TEST_F(Upgrade, AnswersHealthChecksInTheOldProcessWhileTheNewOneServes) {
  auto sidecar = StartSidecar();
  ASSERT_TRUE(BecomesReady(*sidecar));
  Client health_checker(sidecar->port());
  ASSERT_TRUE(health_checker.Get("/page/k", "f1"));
  ASSERT_TRUE(health_checker.Send("GET /up HT"));  // partly sent when the old process is stopped
  auto next = StartSidecar(Address(*sidecar));
  ASSERT_TRUE(BecomesReady(*next));
  ASSERT_TRUE(
      Eventually([&] { return sidecar->log().find("hot_restart_next_serves") != std::string::npos; }));
  sidecar->Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return sidecar->Status("GET", "/ready") == 503; }));
  ASSERT_TRUE(health_checker.Send("TP/1.1\r\nHost: x\r\n\r\n"));
  const auto response = health_checker.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_FALSE(response->keep_alive());
}

// SIGTERM arrives while the next process waits for the listener of a previous process that does not pass it.
TEST(UpgradeStart, ExitsRegularlyOnASignalWhileItWaitsForTheListener) {
  const Folder folder;
  ASSERT_EQ(::mkdir((StateFolder(folder)).c_str(), 0700), 0);
  boost::asio::io_context io;
  boost::asio::local::stream_protocol::acceptor previous_acceptor(io, StateFolder(folder) + "/handover");
  SidecarProcess sidecar(WithAdmin(json::array(), folder.path()));
  const auto waiting = previous_acceptor.accept();
  sidecar.Signal(SIGTERM);
  EXPECT_EQ(sidecar.Wait(), 0);
}

}  // namespace
}  // namespace lb::sidecar::testing

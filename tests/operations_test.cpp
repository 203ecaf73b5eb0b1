// What operators do to the real program: calls at their door, upstreams taken out, clients sent away.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

Node::Options Operated(const json& known, const std::string& tmpdir = "") {
  Node::Options options;
  options.known = known;
  options.admin = "127.0.0.1:0";
  options.tmpdir = tmpdir;
  return options;
}

// How many of so many calls each of two upstreams takes.
std::pair<int, int> Shares(Node& node, const std::string& prefix, int calls) {
  Client client(node.port());
  std::pair<int, int> shares;
  for (int i = 0; i < calls; ++i) {
    const auto answer = client.Get("/page/k", prefix + std::to_string(i));
    if (!answer || answer->result_int() != 200) continue;
    ++(answer->body().starts_with("u1") ? shares.first : shares.second);
  }
  return shares;
}

bool UpSays(Node& node, unsigned status) {
  return Eventually([&] {
    Client front(node.port());
    front.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = front.Read();
    return answer && answer->result_int() == status;
  });
}

// ---- The door ----

TEST(Door, SaysNoToWhatIsNoCall) {
  Upstream upstream(Upstream::Echo("u1"));
  Node node(Operated(List({Target("u1", upstream.address())})));
  EXPECT_EQ(node.Status("GET", "/nothing"), 404U);
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/"), 404U);
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u2"), 404U);
  EXPECT_EQ(node.Status("POST", "/upstreams/enable/u2"), 404U);
  EXPECT_EQ(node.Status("GET", "/upstreams/disable/u1"), 405U);
  EXPECT_EQ(node.Status("GET", "/drain"), 405U);
  EXPECT_EQ(node.Status("POST", "/ready"), 405U);
  for (const std::string& bad :
       {std::string("nonsense\r\n\r\n"), "GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
        std::string("POST /drain HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"),
        std::string("POST /drain HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
    Client caller(node.admin_port());
    caller.Send(bad);
    const auto answer = caller.Read();
    ASSERT_TRUE(answer) << bad.substr(0, 40);
    EXPECT_EQ(answer->result_int() / 100, 4U) << bad.substr(0, 40);
    EXPECT_TRUE(caller.wire.ReadsEnd());
  }
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(UpSays(node, 200)) << "nothing was drained";
}

TEST(Door, TakesACallInPiecesAndWithABody) {
  Node node(Operated(json::array()));
  Client caller(node.admin_port());
  for (const char c : std::string("POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")) {
    ASSERT_TRUE(caller.Send(std::string(1, c)));
  }
  const auto answer = caller.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
}

TEST(Door, SilentCallersKeepNobodyOut) {
  Upstream upstream(Upstream::Echo("u1"));
  Discovery discovery(List({Target("u1", upstream.address())}));
  Node::Options options = Operated(List({Target("u1", upstream.address())}));
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(Eventually([&] { return node.Status("GET", "/ready") == 200; }));
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 40; ++i) {
    silent.push_back(std::make_unique<Client>(node.admin_port()));
    if (i % 2 == 0) silent.back()->Send("GET /ready HTTP/1.1\r\nHo");
  }
  const int before = node.descriptors();
  EXPECT_LE(before, 40) << "they are bounded";
  EXPECT_EQ(node.Status("GET", "/ready"), 200U);
  for (const auto& caller : silent) EXPECT_TRUE(caller->wire.ReadsEnd());
}

TEST(Door, IsReadyOnceTheListIsTold) {
  Upstream upstream(Upstream::Echo("u1"));
  Discovery discovery(json::array());
  Node::Options options = Operated(nullptr);
  options.discovery = discovery.address();
  Node node(options);
  EXPECT_EQ(node.Status("GET", "/ready"), 503U);
  discovery.Tell(List({Target("u1", upstream.address())}));
  EXPECT_TRUE(Eventually([&] { return node.Status("GET", "/ready") == 200; }));
}

TEST(Door, BadAddressIsNamed) {
  Peer taken([](Wire&, int) {});
  for (const std::string& address :
       {std::string("nowhere"), std::string("127.0.0.1:99999"), taken.address()}) {
    Node::Options options = Operated(nullptr);
    options.admin = address;
    Node node(options);
    EXPECT_EQ(node.Wait(), 1);
    EXPECT_NE(node.log().find("LB_ADMIN"), std::string::npos) << node.log();
    EXPECT_NE(node.log().find(address), std::string::npos) << node.log();
  }
}

// ---- Taking an upstream out ----

TEST(TakenOut, NothingNewGoesThereUntilItIsPutBack) {
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  Discovery discovery(List({Target("u1", u1.address()), Target("u2", u2.address())}));
  Node::Options options = Operated(List({Target("u1", u1.address()), Target("u2", u2.address())}));
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_GT(Shares(node, "a", 20).first, 0);
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U) << "twice is as good";
  EXPECT_EQ(Shares(node, "b", 20), std::pair(0, 20));
  // It leaves the list and comes back as another process: still out.
  const int told = discovery.calls();
  discovery.Tell(List({Target("u2", u2.address())}));
  discovery.Tell(List({Target("u1", u1.address(), "active", 1000), Target("u2", u2.address())}));
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > told + 1; }));
  EXPECT_EQ(Shares(node, "c", 20), std::pair(0, 20));
  EXPECT_EQ(node.Status("POST", "/upstreams/enable/u1"), 200U);
  EXPECT_TRUE(Eventually([&] {
    static int round = 0;
    return Shares(node, "d" + std::to_string(round++) + "-", 10).first > 0;
  }));
}

TEST(TakenOut, OutlivesTheProcess) {
  Folder folder;
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  const json known = List({Target("u1", u1.address()), Target("u2", u2.address())});
  {
    Node node(Operated(known, folder.path()));
    ASSERT_TRUE(node.Listening());
    EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
  }
  Node next(Operated(known, folder.path()));
  ASSERT_TRUE(next.Listening());
  EXPECT_EQ(Shares(next, "a", 20), std::pair(0, 20));
  // A second process of the same sidecar hears of the call back.
  Node other(Operated(known, folder.path()));
  ASSERT_TRUE(other.Listening());
  EXPECT_EQ(other.Status("POST", "/upstreams/enable/u1"), 200U);
  EXPECT_TRUE(Eventually([&] {
    static int round = 0;
    return Shares(next, "b" + std::to_string(round++) + "-", 10).first > 0;
  }));
}

TEST(TakenOut, WhatIsForeignInTheFolderIsLoggedAndPassedOver) {
  Folder folder;
  ASSERT_EQ(
      ::system(
          ("mkdir " + folder.path() + "/mothrack && echo x > " + folder.path() + "/mothrack/out-7z").c_str()),
      0);
  Upstream u1(Upstream::Echo("u1"));
  Node node(Operated(List({Target("u1", u1.address())}), folder.path()));
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(Eventually([&] { return node.log().find("out-7z") != std::string::npos; }));
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
}

TEST(TakenOut, HoldsInTheProcessWhereNothingCanBeKept) {
  Folder folder;
  ASSERT_EQ(::system(("echo x > " + folder.path() + "/mothrack").c_str()), 0);
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  Node node(Operated(List({Target("u1", u1.address()), Target("u2", u2.address())}), folder.path()));
  ASSERT_TRUE(node.Listening());
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
  EXPECT_EQ(Shares(node, "a", 20), std::pair(0, 20));
  EXPECT_NE(node.log().find("will not outlast"), std::string::npos);
}

// ---- Sending clients away ----

TEST(SentAway, UpSaysNoIdleConnectionsCloseAndWhoComesIsServed) {
  Upstream upstream(Upstream::Echo("u1"));
  Node node(Operated(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client idle(node.port());
  ASSERT_TRUE(idle.Get("/page/k", "a"));
  EXPECT_EQ(node.Status("POST", "/drain"), 200U);
  EXPECT_EQ(node.Status("POST", "/drain"), 200U);
  EXPECT_TRUE(idle.wire.ReadsEnd());
  EXPECT_TRUE(UpSays(node, 503));
  EXPECT_EQ(node.Status("GET", "/ready"), 503U);
  Client late(node.port());
  const auto answer = late.Get("/page/k", "b");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
  EXPECT_FALSE(answer->keep_alive());
  EXPECT_EQ(node.Status("POST", "/undrain"), 200U);
  EXPECT_TRUE(UpSays(node, 200));
  Client again(node.port());
  for (const char* id : {"c", "d"}) {
    const auto kept = again.Get("/page/k", id);
    ASSERT_TRUE(kept);
    EXPECT_TRUE(kept->keep_alive());
  }
}

TEST(SentAway, APlannedStopEndsIt) {
  Node node(Operated(json::array()));
  ASSERT_TRUE(node.Listening());
  EXPECT_EQ(node.Status("POST", "/drain"), 200U);
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
}

// ---- A new version under load ----

// Clients that each ask again and again on a connection of its own, until they are stopped. What meets a
// connection that closes before anything of an answer is asked once more, as the protocol has it.
class Crowd {
 public:
  explicit Crowd(std::uint16_t port) {
    for (int i = 0; i < 4; ++i) threads_.emplace_back([this, port, i] { Ask(port, i); });
  }
  ~Crowd() { Stop(); }
  void Stop() {
    stopping_ = true;
    for (auto& thread : threads_)
      if (thread.joinable()) thread.join();
  }
  int served() const { return served_; }
  int lost() const { return lost_; }

 private:
  void Ask(std::uint16_t port, int number) {
    for (int i = 0; !stopping_; ++i) {
      const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
      bool served = false;
      for (int again = 0; again < 2 && !served; ++again) {
        try {
          Client client(port);
          const auto answer = client.Get("/page/k", id);
          served = answer && answer->result_int() == 200;
        } catch (const boost::system::system_error&) {
          ++lost_;  // refused: nobody listens
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
  std::unique_ptr<Node> StartNode(const std::string& listen = "127.0.0.1:0", int sockets = 256) {
    Node::Options options = Operated(List({Target("u1", upstream_.address())}), folder_.path());
    options.discovery = discovery_.address();
    options.listen = listen;
    options.sockets = sockets;
    auto node = std::make_unique<Node>(options);
    EXPECT_TRUE(node->Listening());
    return node;
  }
  static bool Ready(Node& node) {
    return Eventually([&] { return node.Status("GET", "/ready") == 200; });
  }
  static std::string Address(const Node& node) { return "127.0.0.1:" + std::to_string(node.port()); }

  Folder folder_;
  Upstream upstream_{Upstream::Echo("u1")};
  Discovery discovery_{List({Target("u1", upstream_.address())})};
};

TEST_F(Upgrade, LosesNoRequestAndNoConnectionOneAfterAnother) {
  auto node = StartNode();
  ASSERT_TRUE(Ready(*node));
  Crowd crowd(node->port());
  for (int i = 0; i < 3; ++i) {
    const int before = crowd.served();
    auto next = StartNode(Address(*node));
    ASSERT_TRUE(Ready(*next));
    node->Signal(SIGTERM);
    EXPECT_EQ(node->Wait(), 0);
    node = std::move(next);
    EXPECT_TRUE(Eventually([&] { return crowd.served() > before + 20; }));
  }
  crowd.Stop();
  EXPECT_EQ(crowd.lost(), 0);
}

TEST_F(Upgrade, OneThatNeverServesLeavesTheClientsToTheOldOne) {
  auto node = StartNode();
  ASSERT_TRUE(Ready(*node));
  Crowd crowd(node->port());
  {
    Node::Options options = Operated(json::array(), folder_.path());  // it knows nobody and hears of nobody
    options.listen = Address(*node);
    Node never(options);
    ASSERT_TRUE(never.Listening());
    EXPECT_TRUE(
        Eventually([&] { return node->log().find("another process has come") != std::string::npos; }));
    EXPECT_EQ(never.Status("GET", "/ready"), 503U);
    const int before = crowd.served();
    EXPECT_TRUE(Eventually([&] { return crowd.served() > before + 20; }));
  }
  auto next = StartNode(Address(*node));
  ASSERT_TRUE(Ready(*next));
  node->Signal(SIGTERM);
  EXPECT_EQ(node->Wait(), 0);
  crowd.Stop();
  EXPECT_EQ(crowd.lost(), 0);
}

TEST_F(Upgrade, OutlivesAKillOfTheOldOne) {
  auto node = StartNode();
  ASSERT_TRUE(Ready(*node));
  auto next = StartNode(Address(*node));
  ASSERT_TRUE(Ready(*next));
  node->Signal(SIGKILL);
  EXPECT_EQ(node->Wait(), 128 + SIGKILL);
  Crowd crowd(next->port());
  EXPECT_TRUE(Eventually([&] { return crowd.served() > 20; }));
  crowd.Stop();
  EXPECT_EQ(crowd.lost(), 0);
}

TEST_F(Upgrade, TheTwoKeepToOneLimitOfDescriptors) {
  auto node = StartNode("127.0.0.1:0", 160);
  ASSERT_TRUE(Ready(*node));
  auto next = StartNode(Address(*node), 160);
  ASSERT_TRUE(Ready(*next));
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(std::make_unique<Client>(node->port()));
    EXPECT_LE(node->descriptors() + next->descriptors(), 160);
  }
  EXPECT_LT(node->descriptors(), 80);
  EXPECT_LT(next->descriptors(), 80);
}

TEST_F(Upgrade, TheOldOneSaysUpWhileTheNewOneServes) {
  auto node = StartNode();
  ASSERT_TRUE(Ready(*node));
  Client front(node->port());
  ASSERT_TRUE(front.Get("/page/k", "f1"));
  ASSERT_TRUE(front.Send("GET /up HT"));  // on its way when the old one is told to stop
  auto next = StartNode(Address(*node));
  ASSERT_TRUE(Ready(*next));
  ASSERT_TRUE(Eventually([&] { return node->log().find("takes the clients, too") != std::string::npos; }));
  node->Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node->Status("GET", "/ready") == 503; }));
  ASSERT_TRUE(front.Send("TP/1.1\r\nHost: x\r\n\r\n"));
  const auto answer = front.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
  EXPECT_FALSE(answer->keep_alive());
}

}  // namespace
}  // namespace mothrack::testing

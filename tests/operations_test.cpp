// What operators do to the real program: calls at their door, upstreams taken out, clients sent away.
#include <sys/resource.h>
#include <sys/stat.h>

#include <atomic>
#include <boost/asio/local/stream_protocol.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

Node::Options Operated(const json& known, const std::string& tmpdir = "") {
  Node::Options options = With(known);
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

bool FirstIsInUseAgain(Node& node) {
  int round = 0;
  return Eventually([&] { return Shares(node, "again" + std::to_string(round++) + "-", 10).first > 0; });
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
  EXPECT_TRUE(FirstIsInUseAgain(node));
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
  EXPECT_TRUE(FirstIsInUseAgain(next));
}

TEST(TakenOut, WhatIsForeignInTheFolderIsLoggedAndPassedOver) {
  Folder folder;
  ASSERT_EQ(
      ::system(("mkdir " + StateFolder(folder) + " && echo x > " + StateFolder(folder) + "/out-7z").c_str()),
      0);
  Upstream u1(Upstream::Echo("u1"));
  Node node(Operated(List({Target("u1", u1.address())}), folder.path()));
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(Eventually([&] { return node.log().find("out-7z") != std::string::npos; }));
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
}

TEST(TakenOut, HoldsInTheProcessWhereNothingCanBeKept) {
  Folder folder;
  ASSERT_EQ(::system(("echo x > " + StateFolder(folder)).c_str()), 0);
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  Node node(Operated(List({Target("u1", u1.address()), Target("u2", u2.address())}), folder.path()));
  ASSERT_TRUE(node.Listening());
  EXPECT_EQ(node.Status("POST", "/upstreams/disable/u1"), 200U);
  EXPECT_EQ(Shares(node, "a", 20), std::pair(0, 20));
  EXPECT_NE(node.log().find("operator_state_write_failed"), std::string::npos);
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
        Eventually([&] { return node->log().find("hot_restart_next_connected") != std::string::npos; }));
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

// Clients that rest take all they are left, while discovery is down: its next connection, those to upstreams
// and the operators' need none of theirs.
TEST(Descriptors, RestingClientsLeaveRoomForDiscoveryUpstreamsAndOperators) {
  for (const int limit : {64, 256, 1024}) {
    rlimit files{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &files), 0);
    files.rlim_cur = files.rlim_max;
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &files), 0);
    const Folder folder;
    Upstream upstream(Upstream::Echo("u1"));
    Discovery discovery(List({Target("u1", upstream.address())}));
    discovery.Set(Discovery::Mood::kBreaks);
    Node::Options options = Operated(json::array(), folder.path());
    options.discovery = discovery.address();
    options.sockets = limit;
    Node node(options);
    ASSERT_TRUE(node.Listening());
    std::vector<std::unique_ptr<Client>> resting;
    for (int i = 0; i < limit; ++i) {
      resting.push_back(std::make_unique<Client>(node.port()));
      resting.back()->Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      ASSERT_TRUE(resting.back()->Read()) << i;
    }
    EXPECT_LE(node.descriptors(), limit);
    EXPECT_EQ(node.Status("GET", "/ready"), 503U);
    discovery.Set(Discovery::Mood::kAnswers);
    EXPECT_TRUE(Eventually([&] { return node.Status("GET", "/ready") == 200U; }));
    Client usual(node.port());
    const auto answer = usual.Get("/page/k", "a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body(), "u1 /page/k");
    EXPECT_LE(node.descriptors(), limit);
  }
}

// The process before does not hand over, and SIGTERM comes while it is waited for.
TEST(Start, ASignalThatComesDuringItEndsItInGoodOrder) {
  const Folder folder;
  ASSERT_EQ(::mkdir((StateFolder(folder)).c_str(), 0700), 0);
  boost::asio::io_context io;
  boost::asio::local::stream_protocol::acceptor before(io, StateFolder(folder) + "/handover");
  Node node(Operated(json::array(), folder.path()));
  const auto waiting = before.accept();
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
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
  ASSERT_TRUE(Eventually([&] { return node->log().find("hot_restart_next_serves") != std::string::npos; }));
  node->Signal(SIGTERM);
  ASSERT_TRUE(Eventually([&] { return node->Status("GET", "/ready") == 503; }));
  ASSERT_TRUE(front.Send("TP/1.1\r\nHost: x\r\n\r\n"));
  const auto answer = front.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
  EXPECT_FALSE(answer->keep_alive());
}

// ---- Bodies that pass through ----

// More than all sockets' buffers hold.
constexpr std::size_t kLarge = std::size_t{32} * 1024 * 1024;

std::string Text(std::size_t size) {
  std::string text(size, 'x');
  for (std::size_t i = 0; i < size; i += 97) text[i] = static_cast<char>('a' + i / 97 % 26);
  return text;
}

std::string Chunks(const std::string& body, std::size_t size) {
  std::ostringstream chunks;
  for (std::size_t i = 0; i < body.size(); i += size) {
    const std::string piece = body.substr(i, size);
    chunks << std::hex << piece.size() << ";note=\"x\"\r\n" << piece << "\r\n";
  }
  chunks << "0\r\nX-Trailer: t\r\n\r\n";
  return chunks.str();
}

std::string PostHead(const std::string& target, const std::string& id, const std::string& headers) {
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 15000\r\n" +
         headers + "\r\n";
}

bool FirstBytes(Client& client) {
  return Eventually([&] { return client.wire.socket.available() > 0; });
}

// The most memory it has had, in MB.
std::size_t Peak(const Node& node) {
  std::ifstream status("/proc/" + std::to_string(node.pid()) + "/status");
  std::string word;
  while (status >> word && word != "VmHWM:") {
  }
  std::size_t kilobytes = 0;
  status >> kilobytes;
  return kilobytes / 1024;
}

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMostGrowth = 1024;  // freed memory is kept there to find late uses
#else
constexpr std::size_t kMostGrowth = 16;
#endif

TEST(Passing, LargeAnswersReachSlowReadersWholeInBoundedMemory) {
  const std::string body = Text(kLarge);
  // Made before the requests: on a busy machine that takes longer than a response may.
  const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + Chunks(body, 100000);
  const std::string closed = "HTTP/1.0 200 OK\r\n\r\n" + body;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/chunked") {
      wire.Write(chunked);
    } else if (request.target() == "/page/closed") {
      wire.Write(closed);
      wire.socket.close();
    } else {
      wire.Answer(200, body);
    }
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client first(node.port());
  ASSERT_TRUE(first.Get("/page/length", "m"));
  const std::size_t before = Peak(node);
  std::vector<std::unique_ptr<Client>> clients;
  for (const char* form : {"length", "chunked", "closed", "length", "chunked"}) {
    clients.push_back(std::make_unique<Client>(node.port()));
    ASSERT_TRUE(
        clients.back()->Send(GetText(std::string("/page/") + form, "m" + std::to_string(clients.size()))));
    EXPECT_TRUE(FirstBytes(*clients.back()));
  }
  for (const auto& client : clients) {
    const auto answer = client->Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
    EXPECT_TRUE(answer->body() == body);
  }
  EXPECT_LT(Peak(node), before + kMostGrowth);
}

TEST(Passing, ALargeAnswerReachesAClientOfHttp10) {
  const std::string body = Text(300000);
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks(body, 7));
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send("GET /page/k HTTP/1.0\r\nX-Request-ID: o\r\nX-Timeout-Ms: 5000\r\n\r\n"));
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->count("Transfer-Encoding"), 0U);
  EXPECT_TRUE(answer->body() == body);
}

TEST(Passing, TheFirstBytesOfALargeAnswerWaitForNothing) {
  for (const char* framing : {"Content-Length: 1000000", "Transfer-Encoding: chunked"}) {
    Gate go;
    const std::string body = Text(1000000);
    const bool chunked = framing[0] == 'T';
    const std::string bytes = chunked ? Chunks(body, 1000) : body;
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Write(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n\r\n" + bytes.substr(0, 3000));
      go.Pass();
      wire.Write(bytes.substr(3000));
    });
    Node node(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "f")));
    EXPECT_TRUE(FirstBytes(client)) << framing;
    go.Open();
    const auto answer = client.Read();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->body() == body);
  }
}

TEST(Passing, ABreakInALargeAnswerIsPlainToTheClientAndNotRepeated) {
  for (const char* framing : {"Content-Length: 1000000\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Write(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n" +
                 (framing[0] == 'T' ? "20000\r\n" : "") + Text(0x20000));
      wire.Reset();
    });
    Node node(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "b")));
    EXPECT_FALSE(client.Read()) << framing;
    EXPECT_EQ(upstream.requests().size(), 1U);
  }
}

// A second copy that began to answer is the answer; the end of the first attempt is not the request's.
TEST(Passing, TheEndOfAnotherAttemptDoesNotCutTheAnswerOff) {
  const std::string body = Text(4000000);
  Gate called_off;
  std::atomic<int> asked{0};
  const auto handler = [&](Wire& wire, const Request&, int) {
    if (asked++ == 0) {
      wire.ReadsEnd();
      called_off.Open();
    } else {
      wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + body.substr(0, 1000));
      called_off.Pass();
      wire.Write(body.substr(1000));
    }
  };
  Upstream u1(handler), u2(handler);
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  Node node(With(List({Target("u1", u1.address()), Target("u2", u2.address())}), settings));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto answer = client.Get("/page/k", "c", 15000);
  ASSERT_TRUE(answer) << node.log();
  EXPECT_TRUE(answer->body() == body);
}

TEST(Passing, LargeRequestsReachTheUpstreamWholeInBoundedMemory) {
  const std::string body = Text(kLarge);
  std::atomic<int> whole{0};
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    whole += request.body() == body;
    wire.Answer(200, "done");
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Post("/submit/k", "s", "x"));
  const std::size_t before = Peak(node);
  const std::string expecting = "Content-Length: " + std::to_string(kLarge) + "\r\nExpect: 100-continue\r\n";
  for (const std::string& text :
       {PostHead("/submit/k", "a", expecting) + body,
        PostHead("/submit/k", "b", "Transfer-Encoding: chunked\r\n") + Chunks(body, 50000)}) {
    ASSERT_TRUE(client.Send(text));
    auto answer = client.Read();
    if (answer && answer->result_int() == 100) answer = client.Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
  }
  EXPECT_EQ(whole, 2);
  EXPECT_LT(Peak(node), before + kMostGrowth);
}

TEST(Passing, ALargeRequestOfWhichNothingWasWrittenGoesElsewhere) {
  Refusing refusing;
  Upstream good(Upstream::Echo("good"));
  Node node(With(List({Target("u1", refusing.address()), Target("u2", good.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (const char* id : {"a", "b", "c"}) {
    const auto answer = client.Post("/submit/k", id, Text(1000000));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
  }
}

TEST(Passing, ALargeRequestThatBrokeInTheMiddleIsNotRepeatedAndNeverRan) {
  std::atomic<int> begun{0};
  const auto script = [&](Wire& wire, int) {
    ++begun;
    char bytes[1000];
    boost::system::error_code error;
    wire.socket.read_some(boost::asio::buffer(bytes), error);
    wire.Reset();
  };
  Peer u1(script), u2(script);
  Node node(With(List({Target("u1", u1.address()), Target("u2", u2.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostHead("/submit/k", "a", "Content-Length: 1000000\r\n") + Text(500000)));
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 503U);
  EXPECT_EQ(answer->count("Retry-After"), 1U);
  EXPECT_EQ(begun, 1);
}

TEST(Passing, AClientThatLeavesInTheMiddleEndsItsAttempt) {
  Gate ended;
  Peer upstream([&](Wire& wire, int) {
    EXPECT_FALSE(wire.ReadRequest());
    ended.Open();
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  {
    Client client(node.port());
    ASSERT_TRUE(client.Send(PostHead("/submit/k", "a", "Content-Length: 1000000\r\n") + Text(500000)));
    ASSERT_TRUE(Eventually([&] { return upstream.connections() == 1; }));
  }
  ended.Pass();
}

TEST(Passing, ARequestThatComesSlowlyIsServedAndOneThatStopsIsNot) {
  Upstream upstream([](Wire& wire, const Request& request, int) {
    wire.Answer(200, std::to_string(request.body().size()));
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client stops(node.port());
  ASSERT_TRUE(stops.Send(PostHead("/submit/k", "a", "Content-Length: 1000000\r\n") + Text(500000)));
  Client slow(node.port());
  ASSERT_TRUE(slow.Send(PostHead("/submit/k", "b", "Content-Length: 200000\r\n")));
  const std::string body = Text(200000);
  for (std::size_t i = 0; i < body.size(); i += 10000) {
    std::this_thread::sleep_for(milliseconds(150));  // 3 s in all: longer than a head may take
    ASSERT_TRUE(slow.Send(body.substr(i, 10000)));
  }
  const auto answer = slow.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "200000");
  const auto refused = stops.Read();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result_int(), 408U);
}

}  // namespace
}  // namespace lb::sidecar::testing

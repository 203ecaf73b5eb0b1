// What an upstream is told of the client's time, and whom nothing may begin for any more: a client that has
// gone by the moment in which the first byte would be written. The real program between scripted peers, and
// its parts in this process where the moment has to be forced.
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "sidecar/listener.h"
#include "sidecar/upstreams.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

constexpr std::size_t kStreamCapacity = 32768;  // bytes held of a streamed body

using std::chrono::milliseconds;
using std::chrono::steady_clock;

json PatientSettings() {
  json settings = Settings();
  for (auto& cls : settings["Classes"]) cls["Aim"] = 15000000;
  settings["Limits"]["ConnectTimeout"] = 15000000;
  return settings;
}

int MillisecondsSince(steady_clock::time_point then) {
  return static_cast<int>(std::chrono::duration_cast<milliseconds>(steady_clock::now() - then).count());
}

int Told(const Request& request) { return std::stoi(std::string(request["X-Timeout-Ms"])); }

// Sends a request, and waits until the connect of its first attempt hangs at `upstream`.
void SendAndConnect(Client& client, const std::string& text, const BlackHole& upstream) {
  ASSERT_TRUE(client.Send(text));
  ASSERT_TRUE(Eventually([&] { return upstream.HasHangingConnect(); }));
}

// ---- The time that an upstream is told ----

// The connection comes up late; the client's time runs from the last byte it sent. Bodies that are held, that
// pass through, with and without a length, all read by then or in part still in the system's buffer.
TEST(ToldTime, IsWhatIsLeftWhenAConnectionHasComeUp) {
  constexpr int kTimeout = 15000;
  const auto chunked = [](std::size_t size) {
    return "POST /submit/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 15000\r\n"
           "Transfer-Encoding: chunked\r\n\r\n11170\r\n" +
           std::string(70000, 'x') + "\r\n" +
           std::string(size > 70000 ? "7530\r\n" + std::string(30000, 'x') + "\r\n" : "") + "0\r\n\r\n";
  };
  const auto post = [](std::size_t size) {
    return PostText("/submit/k", "a1", std::string(size, 'x'), kTimeout);
  };
  for (const std::string& text : {post(10), post(80000), post(120000), chunked(70000), chunked(100000)}) {
    BlackHole late;
    Node node(With(List({Target("u1", late.address())}), PatientSettings()));
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    ASSERT_TRUE(client.Send(text));
    const auto sent = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(400));
    const int passed = MillisecondsSince(sent);
    const auto wire = late.Accept();
    const auto request = wire->ReadRequest();
    ASSERT_TRUE(request);
    EXPECT_LE(Told(*request), kTimeout - passed) << text.size();
    EXPECT_GT(Told(*request), 1000) << text.size();
    wire->Answer(200, "x");
    ASSERT_TRUE(client.Read());
  }
}

// The first attempt's connection does not come up in time.
TEST(ToldTime, IsWhatIsLeftToASecondAttempt) {
  constexpr int kConnect = 400, kTimeout = 15000;
  json settings = PatientSettings();
  settings["Limits"]["ConnectTimeout"] = 1000 * kConnect;
  for (const std::size_t size : {10U, 80000U, 120000U}) {
    BlackHole never;
    Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(200, "x"); });
    Discovery discovery(List({Target("u1", never.address())}));
    Node::Options options = With(List({Target("u1", never.address())}), settings);
    options.discovery = discovery.address();
    Node node(options);
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    const std::string text = PostText("/submit/k", "a1", std::string(size, 'x'), kTimeout);
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > 1; }));  // it watches the list
    ASSERT_NO_FATAL_FAILURE(SendAndConnect(client, text, never));
    discovery.Tell(List({Target("u1", never.address()), Target("u2", upstream.address())}));
    const auto answer = client.Read();
    ASSERT_TRUE(answer);
    ASSERT_EQ(answer->result_int(), 200U);
    EXPECT_LE(Told(upstream.requests().at(0)), kTimeout - kConnect) << size;
  }
}

// A body waits for room at an upstream that takes nothing: the client's time runs all the same, and its
// answer comes long before the connection would be given up.
TEST(ToldTime, OfABodyThatNobodyTakesRunsOut) {
  BlackHole never;
  Peer deaf([](Wire& wire, int) { wire.ReadsEnd(); }, true);
  Gate over;
  Peer hung([&](Wire&, int) { over.Pass(); }, true);
  struct Case {
    std::string address;
    std::size_t size;
  };
  for (const Case& one : {Case{never.address(), 80000}, Case{never.address(), 95000},
                          Case{never.address(), 120000}, Case{hung.address(), 30000000}}) {
    Node node(With(List({Target("u1", one.address)}), PatientSettings()));
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    const auto begun = steady_clock::now();
    std::thread sending([&] { client.Send(PostText("/submit/k", "a1", std::string(one.size, 'x'), 500)); });
    const auto answer = client.Read();
    EXPECT_LT(MillisecondsSince(begun), 7000) << one.size << " of " << one.address;
    ASSERT_TRUE(answer) << one.size;
    EXPECT_GE(answer->result_int(), 500U);
    client.wire.Reset();
    sending.join();
  }
  over.Open();
}

// ---- Attempts for a client that has gone ----

// Its news are never remembered: it leaves in the very moment after it was found there.
TEST(Gone, AClientIsLookedAtEachTime) {
  boost::asio::io_context io;
  Descriptors descriptors(64);
  Logger log("t");
  std::optional<Client> client;
  bool asked = false;
  Listener listener(
      io, Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), false, std::nullopt, kStreamCapacity,
      descriptors, log,
      [&](const HttpRequest&, const Body&, const Listener::SendResponse&,
          const Listener::CheckClient& look) -> Listener::OnDisconnected {
        EXPECT_EQ(look(), Listener::ClientPresence::kConnected);
        client.reset();
        EXPECT_NE(look(), Listener::ClientPresence::kConnected);
        asked = true;
        return nullptr;
      },
      [] { return true; });
  listener.Start();
  client.emplace(listener.local().port());
  ASSERT_TRUE(client->Send(GetText("/page/k", "a1")));
  while (!asked) io.run_one();
}

// Whether it is a new connection or one that is there: right before the first byte the client is looked at,
// last of all, and where it has gone nothing is written, and the connection serves the next.
TEST(Gone, NothingIsWrittenOnNewNorOnIdleConnections) {
  Upstream upstream(Upstream::Echo("u"));
  boost::asio::io_context io;
  Descriptors descriptors(64);
  lb::Limits limits;
  Upstreams upstreams(io, limits, false, kStreamCapacity, descriptors);
  const auto colon = upstream.address().find(':');
  Location location;
  location.endpoint = Endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               static_cast<std::uint16_t>(std::stoi(upstream.address().substr(colon + 1))));
  upstreams.Update("u1", location);
  std::uint64_t exchange = 0;
  std::string steps;
  const auto send = [&](bool here) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, "/page/k", 11);
    request->set("X-Request-ID", std::to_string(exchange));
    std::optional<ExchangeResult> ended;
    Upstreams::ExchangeRequest call;
    call.request = request;
    call.timeout = call.max_connection_idle = std::chrono::seconds(15);
    call.client_is_waiting = [&, here] { return steps += "look ", here; };
    call.time_left = [&](TimePoint) { return steps += "clock ", std::chrono::seconds(15); };
    call.on_finished = [&](ExchangeResult result) { ended = std::move(result); };
    upstreams.StartExchange(Upstreams::ExchangeId{++exchange}, "u1", std::move(call));
    while (!ended) io.run_one();
    return ended->outcome;
  };
  const auto pause = [&] {  // until an idle connection may be used again
    boost::asio::steady_timer timer(io, kSecondAnswer);
    bool over = false;
    timer.async_wait([&](boost::system::error_code) { over = true; });
    while (!over) io.run_one();
  };
  EXPECT_EQ(send(false), lb::Outcome::kNotSent) << "new";
  EXPECT_EQ(send(true), lb::Outcome::kServed);
  pause();
  EXPECT_EQ(send(false), lb::Outcome::kNotSent) << "idle";
  EXPECT_EQ(send(true), lb::Outcome::kServed);
  EXPECT_EQ(steps, "clock look clock look clock look clock look ");
  EXPECT_EQ(upstream.requests().size(), 2U);
  EXPECT_EQ(upstream.connections(), 1);
}

// Every way in which an attempt begins, with what makes it begin and the client's close there together, as
// for a process that was held up; and the same with a client that stays, where it has to begin.
class Ways : public ::testing::TestWithParam<bool> {
 protected:
  bool leaves() const { return GetParam(); }

  // The process stands still while `event` happens and, behind it, the client leaves.
  void HeldUp(Node& node, Client& client, const std::function<void()>& event,
              milliseconds time = milliseconds(120)) {
    node.Pause();
    event();
    if (leaves()) client.wire.socket.close();
    std::this_thread::sleep_for(time);
    node.Signal(SIGCONT);
  }

  static int Count(const Upstream& upstream, const std::string& id) {
    int count = 0;
    for (const auto& request : upstream.requests()) count += request["X-Request-ID"] == id;
    return count;
  }

  // Attempts for "a" that reach it: `before` without one that begins for a client that left.
  void ExpectAttempts(Node& node, const Upstream& upstream, int before) {
    if (!leaves()) {
      EXPECT_TRUE(Eventually([&] { return Count(upstream, "a") == before + 1; }));
      return;
    }
    Client other(node.port());
    ASSERT_TRUE(other.Get("/page/k", "b"));
    std::this_thread::sleep_for(milliseconds(100));  // for one that would still come
    EXPECT_EQ(Count(upstream, "a"), before);
  }
};

TEST_P(Ways, FirstAttempt) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client fresh(node.port());
  Client used(node.port());
  ASSERT_TRUE(used.Get("/page/k", "warm"));
  HeldUp(node, fresh, [&] { fresh.Send(GetText("/page/k", "c", 15000)); });
  HeldUp(node, used, [&] { used.Send(GetText("/page/k", "a", 15000)); });
  ExpectAttempts(node, upstream, 0);
  if (!leaves()) {
    ASSERT_TRUE(fresh.Read());
  }
  EXPECT_EQ(Count(upstream, "c"), leaves() ? 0 : 1);
}

TEST_P(Ways, AfterAConnect) {
  for (const std::size_t size : {10U, 80000U}) {
    BlackHole late;
    Node node(With(List({Target("u1", late.address())}), PatientSettings()));
    ASSERT_TRUE(node.Listening());
    Client client(node.port());
    Client marker(node.port());
    ASSERT_TRUE(marker.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
    ASSERT_TRUE(marker.Read());  // both were accepted
    const std::string text = PostText("/submit/k", "a", std::string(size, 'x'), 15000);
    ASSERT_NO_FATAL_FAILURE(SendAndConnect(client, text, late));
    std::unique_ptr<Wire> wire;
    HeldUp(node, client, [&] { wire = late.Accept(); });
    ASSERT_TRUE(marker.Send(GetText("/page/k", "b", 15000)));
    const auto request = wire->ReadRequest();
    ASSERT_TRUE(request);
    EXPECT_EQ((*request)["X-Request-ID"], leaves() ? "b" : "a");
  }
}

TEST_P(Ways, Retry) {
  Gate asked, go;
  std::atomic<bool> answered{false};
  Upstream upstream([&](Wire& wire, const Request& request, int number) {
    if (number > 0) return void(wire.Answer(200, std::string(request.target())));
    asked.Open();
    go.Pass();
    wire.Answer(503, "", "X-Not-Processed: 1\r\n");
    answered = true;
  });
  Node node(
      With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), PatientSettings()));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a", "x", 15000)));
  asked.Pass();
  HeldUp(node, client, [&] {
    go.Open();
    EXPECT_TRUE(Eventually([&] { return answered.load(); }));
  });
  ExpectAttempts(node, upstream, 1);
}

TEST_P(Ways, RetryAfterAConnectThatTimedOut) {
  BlackHole never;
  Upstream upstream(Upstream::Echo("u"));
  Discovery discovery(List({Target("u1", never.address())}));
  json settings = PatientSettings();
  settings["Limits"]["ConnectTimeout"] = 1500000;
  Node::Options options = With(List({Target("u1", never.address())}), settings);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const std::string text = PostText("/submit/k", "a", "x", 15000);
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > 1; }));  // it watches the list
  ASSERT_NO_FATAL_FAILURE(SendAndConnect(client, text, never));
  discovery.Tell(List({Target("u1", never.address()), Target("u2", upstream.address())}));
  const int calls = discovery.calls();
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls; }));
  HeldUp(
      node, client, [] {}, milliseconds(700));
  ExpectAttempts(node, upstream, 0);
}

TEST_P(Ways, HedgedRequest) {
  Gate asked, go;
  Upstream upstream([&](Wire& wire, const Request& request, int number) {
    if (number == 0) {
      asked.Open();
      go.Pass();
    }
    wire.Answer(200, std::string(request.target()));
  });
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  Node node(With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), settings));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(GetText("/page/k", "a", 15000)));
  asked.Pass();
  HeldUp(
      node, client, [] {}, milliseconds(350));
  ExpectAttempts(node, upstream, 1);
  go.Open();
}

TEST_P(Ways, AfterALoadProbe) {
  std::atomic<int> probed{0};
  Gate go;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() != "/metrics/load") return void(wire.Answer(200, std::string(request.target())));
    ++probed;
    go.Pass();
    wire.Answer(200, "inflight=1");
  });
  json settings = PatientSettings();
  settings["Report"] = {{"How", "probe"}};
  settings["Limits"]["MayProbe"] = true;
  settings["Prices"]["Probe"] = 0.001;
  Node node(With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), settings));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(GetText("/page/k", "a", 15000)));
  ASSERT_TRUE(Eventually([&] { return probed == 2; }));
  HeldUp(node, client, [&] { go.Open(); });
  ExpectAttempts(node, upstream, 0);
}

INSTANTIATE_TEST_SUITE_P(Client, Ways, ::testing::Values(true, false),
                         [](const auto& way) { return way.param ? "Leaves" : "Stays"; });

}  // namespace
}  // namespace lb::sidecar::testing

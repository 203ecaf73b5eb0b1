// The client's deadline as upstreams receive it (X-Timeout-Ms), and the rule that no attempt begins for a
// client that has disconnected by the time its first byte would be written. Runs the real program between
// scripted peers; the timing that can't be forced there is tested on the components in this process.
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
#include "tests/gated_upstream.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

constexpr std::size_t kStreamCapacity = 32768;  // bytes of a streamed body that are buffered

using std::chrono::milliseconds;
using std::chrono::steady_clock;

json SettingsWithLongTimeouts() {
  json settings = Settings();
  for (auto& cls : settings["Classes"]) cls["Aim"] = 15000000;
  settings["Limits"]["ConnectTimeout"] = 15000000;
  return settings;
}

int MillisecondsSince(steady_clock::time_point then) {
  return static_cast<int>(std::chrono::duration_cast<milliseconds>(steady_clock::now() - then).count());
}

int TimeoutInHeader(const Request& request) { return std::stoi(std::string(request["X-Timeout-Ms"])); }

// Sends a request and waits until the connect of its first attempt is pending at `upstream`.
void SendAndConnect(Client& client, const std::string& text, const BlackHole& upstream) {
  ASSERT_TRUE(client.Send(text));
  ASSERT_TRUE(Eventually([&] { return upstream.HasHangingConnect(); }));
}

// ---- The timeout in a forwarded request ----

// The connection is established late, while the client's deadline runs from the last byte it sent. The bodies
// are buffered or streamed, with or without a length, and read in full by then or partly still in the
// kernel's buffer.
TEST(UpstreamTimeout, IsReducedByTheTimeToConnect) {
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
    SidecarProcess sidecar(With(List({Target("u1", late.address())}), SettingsWithLongTimeouts()));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(text));
    const auto sent = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(400));
    const int passed = MillisecondsSince(sent);
    const auto wire = late.Accept();
    const auto request = wire->ReadRequest();
    ASSERT_TRUE(request);
    EXPECT_LE(TimeoutInHeader(*request), kTimeout - passed) << text.size();
    EXPECT_GT(TimeoutInHeader(*request), 1000) << text.size();
    wire->Answer(200, "x");
    ASSERT_TRUE(client.Read());
  }
}

// The connection of the first attempt is not established in time. Which requests have such an attempt is left
// to the rotation, and read from the log.
TEST(UpstreamTimeout, IsReducedByTheFirstAttempt) {
  constexpr int kConnect = 400, kTimeout = 15000, kRequests = 4;
  json settings = SettingsWithLongTimeouts();
  settings["Limits"]["ConnectTimeout"] = 1000 * kConnect;
  for (const std::size_t size : {10U, 80000U, 120000U}) {
    BlackHole unreachable;
    Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(200, "x"); });
    SidecarProcess sidecar(
        With(List({Target("u1", unreachable.address()), Target("u2", upstream.address())}), settings));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    for (int i = 0; i < kRequests; ++i) {
      const auto answer = client.Post("/submit/k", "a" + std::to_string(i), std::string(size, 'x'), kTimeout);
      ASSERT_TRUE(answer);
      ASSERT_EQ(answer->result_int(), 200U) << size << sidecar.log();
    }
    ASSERT_TRUE(Eventually([&] { return sidecar.log().find("attempt_failed") != std::string::npos; }));
    const std::string log = sidecar.log();
    int retried = 0;
    for (const Request& request : upstream.requests()) {
      const std::string id(request["X-Request-ID"]);
      if (log.find("attempt_failed request_id=" + id + " upstream=u1") == std::string::npos) continue;
      ++retried;
      EXPECT_LE(TimeoutInHeader(request), kTimeout - kConnect) << size;
    }
    EXPECT_GE(retried, 1) << log;
  }
}

// A body waits for an upstream that reads nothing. The client's deadline still runs, and the response comes
// long before the connection would be given up.
TEST(UpstreamTimeout, EndsARequestWhoseBodyIsNotRead) {
  BlackHole unreachable;
  Peer silent_upstream([](Wire& wire, int) { wire.ReadUntilClosed(); }, true);
  Gate over;
  Peer hanging_upstream([&](Wire&, int) { over.Pass(); }, true);
  struct Case {
    std::string address;
    std::size_t size;
  };
  for (const Case& test_case :
       {Case{unreachable.address(), 80000}, Case{unreachable.address(), 95000},
        Case{unreachable.address(), 120000}, Case{hanging_upstream.address(), 30000000}}) {
    SidecarProcess sidecar(With(List({Target("u1", test_case.address)}), SettingsWithLongTimeouts()));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    const auto begun = steady_clock::now();
    std::thread sending(
        [&] { client.Send(PostText("/submit/k", "a1", std::string(test_case.size, 'x'), 500)); });
    const auto answer = client.Read();
    EXPECT_LT(MillisecondsSince(begun), 7000) << test_case.size << " of " << test_case.address;
    ASSERT_TRUE(answer) << test_case.size;
    EXPECT_GE(answer->result_int(), 500U);
    client.wire.Reset();
    sending.join();
  }
  over.Open();
}

// ---- Attempts for a client that has disconnected ----

// The result must not be cached: the client disconnects right after it was found connected.
TEST(ClientPresence, IsCheckedEachTime) {
  boost::asio::io_context io;
  Descriptors descriptors(64);
  Logger log("t");
  std::optional<Client> client;
  bool asked = false;
  Listener listener(
      io, Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), false, std::nullopt,
      {kStreamCapacity, nullptr}, descriptors, log,
      [&](const HttpRequest&, const Body&, const Listener::SendResponse&,
          const Listener::CheckClient& check_client) -> Listener::OnDisconnected {
        EXPECT_EQ(check_client(), Listener::ClientPresence::kConnected);
        client.reset();
        EXPECT_NE(check_client(), Listener::ClientPresence::kConnected);
        asked = true;
        return nullptr;
      },
      [] { return true; }, [] {});
  listener.Start();
  client.emplace(listener.local().port());
  ASSERT_TRUE(client->Send(GetText("/page/k", "a1")));
  while (!asked) io.run_one();
}

// On new and on idle connections, the client's presence is checked right before the first byte is written. If
// it has disconnected, nothing is written, and the connection serves the next request.
TEST(ClientPresence, IsCheckedBeforeTheFirstByteIsWritten) {
  Upstream upstream(Upstream::Echo("u"));
  boost::asio::io_context io;
  Descriptors descriptors(64);
  lb::Limits limits;
  Upstreams upstreams(io, limits, false, {kStreamCapacity, nullptr}, descriptors);
  const auto colon = upstream.address().find(':');
  Location location;
  location.endpoint = Endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               static_cast<std::uint16_t>(std::stoi(upstream.address().substr(colon + 1))));
  upstreams.Update("u1", location);
  std::uint64_t exchange = 0;
  std::string calls;
  const auto send = [&](bool is_connected) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, "/page/k", 11);
    request->set("X-Request-ID", std::to_string(exchange));
    std::optional<ExchangeResult> ended;
    Upstreams::ExchangeRequest call;
    call.request = request;
    call.timeout = call.max_connection_idle = std::chrono::seconds(15);
    call.client_is_waiting = [&, is_connected] { return calls += "check_client ", is_connected; };
    call.time_left = [&](TimePoint) { return calls += "time_left ", std::chrono::seconds(15); };
    call.on_finished = [&](ExchangeResult result) { ended = std::move(result); };
    upstreams.StartExchange(Upstreams::ExchangeId{++exchange}, "u1", std::move(call));
    while (!ended) io.run_one();
    return ended->outcome;
  };
  const auto pause = [&] {  // until the idle connection may be used again
    boost::asio::steady_timer timer(io, kReuseDelay);
    bool over = false;
    timer.async_wait([&](boost::system::error_code) { over = true; });
    while (!over) io.run_one();
  };
  EXPECT_EQ(send(false), lb::Outcome::kNotSent) << "new";
  EXPECT_EQ(send(true), lb::Outcome::kServed);
  pause();
  EXPECT_EQ(send(false), lb::Outcome::kNotSent) << "idle";
  EXPECT_EQ(send(true), lb::Outcome::kServed);
  EXPECT_EQ(calls,
            "time_left check_client time_left check_client time_left check_client time_left check_client ");
  EXPECT_EQ(upstream.requests().size(), 2U);
  EXPECT_EQ(upstream.connections(), 1);
}

// All ways in which an attempt begins. The event that triggers it and the client's close reach the process at
// the same time, as when the process was not scheduled for a while. The same is tested with a client that
// stays connected, for which the attempt must begin.
class AttemptStart : public ::testing::TestWithParam<bool> {
 protected:
  bool disconnects() const { return GetParam(); }

  // Suspends the process for `time` while `event` happens and, after it, the client disconnects (if it is
  // meant to).
  void DisconnectDuringPause(SidecarProcess& sidecar, Client& client, const std::function<void()>& event,
                             milliseconds time = milliseconds(120)) {
    sidecar.Pause();
    event();
    if (disconnects()) client.wire.socket.close();
    std::this_thread::sleep_for(time);
    sidecar.Signal(SIGCONT);
  }

  template <typename AnyUpstream>
  static int Count(const AnyUpstream& upstream, const std::string& id) {
    int count = 0;
    for (const auto& request : upstream.requests()) count += request["X-Request-ID"] == id;
    return count;
  }

  // Expects that no further attempt for request "a" reaches the upstream if the client disconnected, and one
  // more if it stayed. `before`: the number of attempts so far.
  template <typename AnyUpstream>
  void ExpectAttempts(SidecarProcess& sidecar, const AnyUpstream& upstream, int before) {
    if (!disconnects()) {
      EXPECT_TRUE(Eventually([&] { return Count(upstream, "a") == before + 1; }));
      return;
    }
    Client other(sidecar.port());
    ASSERT_TRUE(other.Get("/page/k", "b"));
    std::this_thread::sleep_for(milliseconds(100));  // in case another attempt would follow
    EXPECT_EQ(Count(upstream, "a"), before);
  }
};

TEST_P(AttemptStart, FirstAttempt) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client fresh(sidecar.port());
  Client used(sidecar.port());
  ASSERT_TRUE(used.Get("/page/k", "warm"));
  DisconnectDuringPause(sidecar, fresh, [&] { fresh.Send(GetText("/page/k", "c", 15000)); });
  DisconnectDuringPause(sidecar, used, [&] { used.Send(GetText("/page/k", "a", 15000)); });
  ExpectAttempts(sidecar, upstream, 0);
  if (!disconnects()) {
    ASSERT_TRUE(fresh.Read());
  }
  EXPECT_EQ(Count(upstream, "c"), disconnects() ? 0 : 1);
}

TEST_P(AttemptStart, AfterAConnect) {
  for (const std::size_t size : {10U, 80000U}) {
    BlackHole late;
    SidecarProcess sidecar(With(List({Target("u1", late.address())}), SettingsWithLongTimeouts()));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    Client marker(sidecar.port());
    ASSERT_TRUE(marker.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
    ASSERT_TRUE(marker.Read());  // now both connections are accepted
    const std::string text = PostText("/submit/k", "a", std::string(size, 'x'), 15000);
    ASSERT_NO_FATAL_FAILURE(SendAndConnect(client, text, late));
    std::unique_ptr<Wire> wire;
    DisconnectDuringPause(sidecar, client, [&] { wire = late.Accept(); });
    ASSERT_TRUE(marker.Send(GetText("/page/k", "b", 15000)));
    const auto request = wire->ReadRequest();
    ASSERT_TRUE(request);
    EXPECT_EQ((*request)["X-Request-ID"], disconnects() ? "b" : "a");
  }
}

TEST_P(AttemptStart, Retry) {
  std::atomic<bool> answered{false};
  GatedUpstream upstream([&](Wire& wire, const Request& request, int number) {
    if (number > 0) return GatedUpstream::RespondWithTarget(wire, request, number);
    wire.Answer(503, "", "X-Not-Processed: 1\r\n");
    answered = true;
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}),
                              SettingsWithLongTimeouts()));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a", "x", 15000)));
  upstream.WaitForHeldRequest();
  DisconnectDuringPause(sidecar, client, [&] {
    upstream.Release();
    EXPECT_TRUE(Eventually([&] { return answered.load(); }));
  });
  ExpectAttempts(sidecar, upstream, 1);
}

TEST_P(AttemptStart, RetryAfterAConnectThatTimedOut) {
  BlackHole unreachable;
  Upstream upstream(Upstream::Echo("u"));
  Discovery discovery(List({Target("u1", unreachable.address())}));
  json settings = SettingsWithLongTimeouts();
  settings["Limits"]["ConnectTimeout"] = 1500000;
  SidecarProcess::Options options = With(List({Target("u1", unreachable.address())}), settings);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const std::string text = PostText("/submit/k", "a", "x", 15000);
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > 1; }));  // the sidecar watches the list
  ASSERT_NO_FATAL_FAILURE(SendAndConnect(client, text, unreachable));
  discovery.Publish(List({Target("u1", unreachable.address()), Target("u2", upstream.address())}));
  const int calls = discovery.calls();
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls; }));
  DisconnectDuringPause(
      sidecar, client, [] {}, milliseconds(700));
  ExpectAttempts(sidecar, upstream, 0);
}

TEST_P(AttemptStart, HedgedRequest) {
  GatedUpstream upstream;
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  SidecarProcess sidecar(
      With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(GetText("/page/k", "a", 15000)));
  upstream.WaitForHeldRequest();
  DisconnectDuringPause(
      sidecar, client, [] {}, milliseconds(350));
  ExpectAttempts(sidecar, upstream, 1);
  upstream.Release();
}

TEST_P(AttemptStart, AfterALoadProbe) {
  std::atomic<int> probed{0};
  Gate release_probes;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() != "/metrics/load") return void(wire.Answer(200, std::string(request.target())));
    ++probed;
    release_probes.Pass();
    wire.Answer(200, "inflight=1");
  });
  json settings = SettingsWithLongTimeouts();
  settings["Report"] = {{"How", "probe"}};
  settings["Limits"]["MayProbe"] = true;
  settings["Prices"]["Probe"] = 0.001;
  SidecarProcess sidecar(
      With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(GetText("/page/k", "a", 15000)));
  ASSERT_TRUE(Eventually([&] { return probed == 2; }));
  DisconnectDuringPause(sidecar, client, [&] { release_probes.Open(); });
  ExpectAttempts(sidecar, upstream, 0);
}

INSTANTIATE_TEST_SUITE_P(Client, AttemptStart, ::testing::Values(true, false),
                         [](const auto& way) { return way.param ? "Disconnects" : "Stays"; });

}  // namespace
}  // namespace lb::sidecar::testing

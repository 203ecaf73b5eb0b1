// Reuse of upstream connections: when a pooled connection is reused, and when it is closed or skipped
// instead.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "tests/gated_upstream.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

TEST(ConnectionPool, ReusesOneConnectionForSequentialRequests) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  for (int i = 0; i < 5; ++i) {
    const auto response = client.Get("/page/" + std::to_string(i), "r" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), "u /page/" + std::to_string(i));
    WaitForConnectionReuse();
  }
  EXPECT_EQ(upstream.connections(), 1);
}

// Guards against a new connection for each request, at full speed, while the descriptors are used up: each
// takes a local port, and the system has 28,000 of them for a minute.
TEST(ConnectionPool, ReusesConnectionsWhenTheDescriptorsAreUsedUp) {
  constexpr int kDescriptors = 64;
  constexpr int kRequests = 4000;
  constexpr int kMaxConnectionsPerSecond = 28000 / 60;
  Upstream upstream(Upstream::Echo("u"));
  json settings = Settings();
  settings["Classes"][0]["Aim"] = 15000000;  // no request is sent twice because the machine is busy
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}), settings);
  options.sockets = kDescriptors;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(CountAnsweredInARow(client, kRequests, "r"), kRequests);
  EXPECT_EQ(upstream.requests().size(), std::size_t{kRequests});
  const auto time =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - began);
  const auto started_seconds = static_cast<int>(time.count()) + 1;
  EXPECT_LE(upstream.connections(), kDescriptors + kMaxConnectionsPerSecond * started_seconds);
}

TEST(ConnectionPool, DropsConnectionClosedByTheUpstream) {
  Gate closed;
  Upstream upstream([&](Wire& wire, const Request&, int number) {
    wire.Answer(200, "n" + std::to_string(number));
    if (number > 0) return;
    wire.socket.close();
    closed.Open();
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x"));
  closed.Pass();
  WaitForConnectionReuse();
  const auto response = client.Post("/submit/k", "a2", "x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(response->body(), "n1");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(ConnectionPool, ClosesIdleConnectionBeforeTheUpstreamsLimit) {
  std::promise<bool> ended;
  Peer peer([&](Wire& wire, int) {
    if (!wire.ReadRequest()) return;
    wire.Answer(200, "x");
    ended.set_value(wire.ReadUntilClosed());
  });
  json settings = Settings();
  settings["Limits"]["IdleClose"] = 1500000;
  SidecarProcess sidecar(With(List({Target("u1", peer.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Get("/page/k", "a1"));
  EXPECT_TRUE(ended.get_future().get());
}

// After a connection was reset on reuse, connections that have been idle for at least as long are no longer
// used. The most recently used connection may be fresh while older ones in the pool have been idle for too
// long, so the idle time must be checked for each connection.
TEST(ConnectionPool, SkipsConnectionIdleForLongerThanOneFoundDropped) {
  Gate both_held;
  Gate go;
  std::atomic<int> held{0};
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request["X-Request-ID"].starts_with("held")) {
      if (++held == 2) both_held.Open();
      go.Pass();
    }
    if (request["X-Request-ID"] == "dropped") return wire.Reset();
    wire.Answer(200, "x");
  });
  json settings = Settings();
  settings["Limits"]["ConnectTimeout"] = 19000000;  // a reset within a tenth of this counts as immediate
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client a(sidecar.port());
  Client b(sidecar.port());
  ASSERT_TRUE(a.Send(PostText("/submit/k", "held1", "x")));
  ASSERT_TRUE(b.Send(PostText("/submit/k", "held2", "x")));
  both_held.Pass();
  go.Open();
  ASSERT_TRUE(a.Read());
  ASSERT_TRUE(b.Read());
  ASSERT_EQ(upstream.connections(), 2);
  std::this_thread::sleep_for(milliseconds(500));
  ASSERT_TRUE(a.Post("/submit/k", "dropped", "x"));
  EXPECT_EQ(upstream.connections(), 2);
  const auto response = a.Post("/submit/k", "next", "x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(upstream.connections(), 3);
}

TEST(ConnectionPool, LateResponseReachesNoOtherRequest) {
  GatedUpstream upstream([](Wire& wire, const Request& request, int) {
    wire.Answer(200, std::string(request["X-Request-ID"]));
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const auto first = client.Post("/submit/k", "slow", "x", 300);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result_int(), 504U);
  upstream.Release();
  const auto second = client.Post("/submit/k", "next", "x");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->body(), "next");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(ConnectionPool, DropsConnectionThatTheResponseCloses) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(200, "x", "Connection: close\r\n"); });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  for (const char* id : {"a1", "a2"}) {
    const auto response = client.Post("/submit/k", id, "x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
    WaitForConnectionReuse();
  }
  EXPECT_EQ(upstream.connections(), 2);
}

}  // namespace
}  // namespace lb::sidecar::testing

// Graceful shutdown of lb-sidecar: after SIGTERM the accepted requests are served, and then the process
// exits.
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/gated_upstream.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

TEST(GracefulShutdown, ServesAcceptedAndLateRequests) {
  GatedUpstream upstream(GatedUpstream::RespondWithTarget,
                         [](const Request& request, int) { return request.target() == "/submit/held"; });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client idle(sidecar.port());
  ASSERT_TRUE(idle.Get("/page/k", "i1"));
  Client held(sidecar.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  upstream.WaitForHeldRequest();
  sidecar.Signal(SIGTERM);
  EXPECT_TRUE(idle.wire.ReadUntilClosed());
  Client late(sidecar.port());
  const auto served = late.Get("/page/late", "l1");
  ASSERT_TRUE(served);
  EXPECT_EQ(served->body(), "/page/late");
  EXPECT_FALSE(served->keep_alive());
  upstream.Release();
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "/submit/held");
  EXPECT_FALSE(response->keep_alive());
  EXPECT_EQ(sidecar.Wait(), 0);
}

TEST(GracefulShutdown, EndsThoughClientsStall) {
  SidecarProcess sidecar(With(json::array()));
  ASSERT_TRUE(sidecar.Listening());
  Client half(sidecar.port());
  ASSERT_TRUE(half.Send("GET /page/k HTTP/1.1\r\nX-"));
  Client silent(sidecar.port());
  sidecar.Signal(SIGTERM);
  EXPECT_EQ(sidecar.Wait(), 0);  // a hang would exceed the test runner's time limit
}

TEST(GracefulShutdown, IgnoresFurtherSignals) {
  GatedUpstream upstream;
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client held(sidecar.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  upstream.WaitForHeldRequest();
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM}) sidecar.Signal(signal);
  EXPECT_TRUE(Eventually([&] { return sidecar.log().find("configuration_reloaded") != std::string::npos; }));
  upstream.Release();
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "/submit/held");
  EXPECT_EQ(sidecar.Wait(), 0);
}

// A client may send a request on an idle connection while the sidecar closes it. The request must not be
// forwarded, and the connection must end with a regular close instead of a reset.
TEST(GracefulShutdown, DoesNotForwardARequestThatCrossesTheCloseOfAnIdleConnection) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  std::vector<std::unique_ptr<Client>> idle_clients;
  for (int i = 0; i < 20; ++i) {
    idle_clients.push_back(std::make_unique<Client>(sidecar.port()));
    ASSERT_TRUE(idle_clients.back()->Get("/page/k", "r" + std::to_string(i)));
  }
  sidecar.Signal(SIGTERM);
  int crossed = 0;
  for (const auto& client : idle_clients) {
    char byte = 0;
    boost::system::error_code error;
    client->wire.socket.read_some(boost::asio::buffer(&byte, 1), error);  // the sidecar has closed its side
    EXPECT_EQ(error, boost::asio::error::eof);
    // Reaches the sidecar while it waits for the client to close its side.
    ASSERT_TRUE(client->Send(PostText("/submit/crossing", "c" + std::to_string(crossed++), "x")));
    client->wire.socket.read_some(boost::asio::buffer(&byte, 1), error);
    EXPECT_EQ(error, boost::asio::error::eof) << error.message();
  }
  EXPECT_EQ(sidecar.Wait(), 0);
  EXPECT_EQ(upstream.requests().size(), idle_clients.size());
}

}  // namespace
}  // namespace lb::sidecar::testing

// The admin interface of lb-sidecar: malformed requests, limits on connections and request sizes, readiness,
// and start-up with an unusable address.
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

TEST(AdminInterface, RejectsUnknownAndMalformedCommands) {
  Upstream upstream(Upstream::Echo("u1"));
  SidecarProcess sidecar(WithAdmin(List({Target("u1", upstream.address())})));
  EXPECT_EQ(sidecar.Status("GET", "/nothing"), 404U);
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/"), 404U);
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u2"), 404U);
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/enable/u2"), 404U);
  EXPECT_EQ(sidecar.Status("GET", "/upstreams/disable/u1"), 405U);
  EXPECT_EQ(sidecar.Status("GET", "/drain"), 405U);
  EXPECT_EQ(sidecar.Status("POST", "/ready"), 405U);
  for (const std::string& bad :
       {std::string("nonsense\r\n\r\n"), "GET /ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
        std::string("POST /drain HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"),
        std::string("POST /drain HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
    Client connection(sidecar.admin_port());
    connection.Send(bad);
    const auto response = connection.Read();
    ASSERT_TRUE(response) << bad.substr(0, 40);
    EXPECT_EQ(response->result_int() / 100, 4U) << bad.substr(0, 40);
    EXPECT_TRUE(connection.wire.ReadUntilClosed());
  }
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(HealthCheckBecomes(sidecar, 200)) << "a rejected command started connection draining";
}

TEST(AdminInterface, AcceptsAFragmentedCommandWithABody) {
  SidecarProcess sidecar(WithAdmin(json::array()));
  Client connection(sidecar.admin_port());
  for (const char c : std::string("POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")) {
    ASSERT_TRUE(connection.Send(std::string(1, c)));
  }
  const auto response = connection.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(AdminInterface, ServesBesideSilentConnections) {
  Upstream upstream(Upstream::Echo("u1"));
  Discovery discovery(List({Target("u1", upstream.address())}));
  SidecarProcess::Options options = WithAdmin(List({Target("u1", upstream.address())}));
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 40; ++i) {
    silent.push_back(std::make_unique<Client>(sidecar.admin_port()));
    if (i % 2 == 0) silent.back()->Send("GET /ready HTTP/1.1\r\nHo");
  }
  const int descriptors = sidecar.descriptors();
  EXPECT_LE(descriptors, 40) << "silent connections are not limited";
  EXPECT_EQ(sidecar.Status("GET", "/ready"), 200U);
  for (const auto& connection : silent) EXPECT_TRUE(connection->wire.ReadUntilClosed());
}

TEST(AdminInterface, IsReadyOnceAnEndpointListIsReceived) {
  Upstream upstream(Upstream::Echo("u1"));
  Discovery discovery(json::array());
  SidecarProcess::Options options = WithAdmin(nullptr);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  EXPECT_EQ(sidecar.Status("GET", "/ready"), 503U);
  discovery.Publish(List({Target("u1", upstream.address())}));
  EXPECT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));
}

TEST(AdminInterface, LogsAnUnusableAddress) {
  Peer taken([](Wire&, int) {});
  for (const std::string& address :
       {std::string("nowhere"), std::string("127.0.0.1:99999"), taken.address()}) {
    SidecarProcess::Options options = WithAdmin(nullptr);
    options.admin = address;
    SidecarProcess sidecar(options);
    EXPECT_EQ(sidecar.Wait(), 1);
    EXPECT_NE(sidecar.log().find("LB_ADMIN"), std::string::npos) << sidecar.log();
    EXPECT_NE(sidecar.log().find(address), std::string::npos) << sidecar.log();
  }
}

}  // namespace
}  // namespace lb::sidecar::testing

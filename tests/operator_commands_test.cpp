// The effects of operators' commands on lb-sidecar: disabled upstreams and connection draining.
#include <csignal>
#include <cstdlib>
#include <string>
#include <utility>

#include "gtest/gtest.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

TEST(DisabledUpstream, ReceivesNoRequestsUntilItIsEnabled) {
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  Discovery discovery(List({Target("u1", u1.address()), Target("u2", u2.address())}));
  SidecarProcess::Options options = WithAdmin(List({Target("u1", u1.address()), Target("u2", u2.address())}));
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_GT(RequestsServedBy(sidecar, "a", 20).first, 0);
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u1"), 200U);
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u1"), 200U) << "a repeated command succeeds";
  EXPECT_EQ(RequestsServedBy(sidecar, "b", 20), std::pair(0, 20));
  // The upstream leaves the endpoint list and returns as a new process: it is still disabled.
  const int polls = discovery.calls();
  discovery.Publish(List({Target("u2", u2.address())}));
  discovery.Publish(List({Target("u1", u1.address(), "active", 1000), Target("u2", u2.address())}));
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > polls + 1; }));
  EXPECT_EQ(RequestsServedBy(sidecar, "c", 20), std::pair(0, 20));
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/enable/u1"), 200U);
  EXPECT_TRUE(FirstUpstreamServesAgain(sidecar));
}

TEST(DisabledUpstream, StaysDisabledOverARestart) {
  Folder folder;
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  const json known = List({Target("u1", u1.address()), Target("u2", u2.address())});
  {
    SidecarProcess sidecar(WithAdmin(known, folder.path()));
    ASSERT_TRUE(sidecar.Listening());
    EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u1"), 200U);
  }
  SidecarProcess next(WithAdmin(known, folder.path()));
  ASSERT_TRUE(next.Listening());
  EXPECT_EQ(RequestsServedBy(next, "a", 20), std::pair(0, 20));
  // A command to a second process of the same sidecar takes effect in the first one, too.
  SidecarProcess other(WithAdmin(known, folder.path()));
  ASSERT_TRUE(other.Listening());
  EXPECT_EQ(other.Status("POST", "/upstreams/enable/u1"), 200U);
  EXPECT_TRUE(FirstUpstreamServesAgain(next));
}

TEST(DisabledUpstream, LogsAndIgnoresForeignFiles) {
  Folder folder;
  ASSERT_EQ(
      ::system(("mkdir " + StateFolder(folder) + " && echo x > " + StateFolder(folder) + "/out-7z").c_str()),
      0);
  Upstream u1(Upstream::Echo("u1"));
  SidecarProcess sidecar(WithAdmin(List({Target("u1", u1.address())}), folder.path()));
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(Eventually([&] { return sidecar.log().find("out-7z") != std::string::npos; }));
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u1"), 200U);
}

TEST(DisabledUpstream, StaysDisabledIfItCannotBeStored) {
  Folder folder;
  ASSERT_EQ(::system(("echo x > " + StateFolder(folder)).c_str()), 0);
  Upstream u1(Upstream::Echo("u1"));
  Upstream u2(Upstream::Echo("u2"));
  SidecarProcess sidecar(
      WithAdmin(List({Target("u1", u1.address()), Target("u2", u2.address())}), folder.path()));
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/disable/u1"), 200U);
  EXPECT_EQ(RequestsServedBy(sidecar, "a", 20), std::pair(0, 20));
  EXPECT_NE(sidecar.log().find("operator_state_write_failed"), std::string::npos);
}

TEST(ConnectionDraining, ClosesIdleConnectionsAndServesNewOnes) {
  Upstream upstream(Upstream::Echo("u1"));
  SidecarProcess sidecar(WithAdmin(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client idle(sidecar.port());
  ASSERT_TRUE(idle.Get("/page/k", "a"));
  EXPECT_EQ(sidecar.Status("POST", "/drain"), 200U);
  EXPECT_EQ(sidecar.Status("POST", "/drain"), 200U);
  EXPECT_TRUE(idle.wire.ReadUntilClosed());
  EXPECT_TRUE(HealthCheckBecomes(sidecar, 503));
  EXPECT_EQ(sidecar.Status("GET", "/ready"), 503U);
  Client late(sidecar.port());
  const auto response = late.Get("/page/k", "b");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_FALSE(response->keep_alive());
  EXPECT_EQ(sidecar.Status("POST", "/undrain"), 200U);
  EXPECT_TRUE(HealthCheckBecomes(sidecar, 200));
  Client again(sidecar.port());
  for (const char* id : {"c", "d"}) {
    const auto kept = again.Get("/page/k", id);
    ASSERT_TRUE(kept);
    EXPECT_TRUE(kept->keep_alive());
  }
}

TEST(ConnectionDraining, EndsWithAPlannedStop) {
  SidecarProcess sidecar(WithAdmin(json::array()));
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_EQ(sidecar.Status("POST", "/drain"), 200U);
  sidecar.Signal(SIGTERM);
  EXPECT_EQ(sidecar.Wait(), 0);
}

}  // namespace
}  // namespace lb::sidecar::testing

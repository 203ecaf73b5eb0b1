// Tests that the sidecar applies the endpoint lists and changes sent by discovery to the routing of requests.
#include <atomic>
#include <cstddef>
#include <functional>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/discovery_client.h"
#include "sidecar/endpoint_list.h"
#include "tests/gated_upstream.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

TEST(MembershipUpdates, StartFromKnownUpstreamsWhileDiscoveryIsDown) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(MembershipUpdates, FollowListsChangesAndMoves) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Upstream c(Upstream::Echo("c"));
  Discovery discovery(List({Target("u1", a.address())}));
  SidecarProcess::Options options = With(nullptr);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  discovery.Publish(List({Target("u2", b.address())}), true);  // u1 is not in the whole list, so it is gone
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));
  discovery.Publish(List({Target("u2", c.address())}), false);  // u2 has another address
  EXPECT_TRUE(BecomesServedBy(sidecar, "c /page/k"));
  const std::size_t before = a.requests().size() + b.requests().size();
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(BecomesServedBy(sidecar, "c /page/k"));
  EXPECT_EQ(a.requests().size() + b.requests().size(), before);
  discovery.Publish(List({Target("u2", c.address(), "left"), Target("u1", a.address())}), false);
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
}

TEST(MembershipUpdates, SendNothingNewToADrainingUpstream) {
  GatedUpstream leaving([](Wire& wire, const Request&, int) { wire.Answer(200, "old"); });
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", leaving.address())}));
  SidecarProcess::Options options = With(List({Target("u1", leaving.address())}));
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client held(sidecar.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  leaving.WaitForHeldRequest();
  discovery.Publish(List({Target("u1", leaving.address(), "leaving"), Target("u2", staying.address())}),
                    false);
  ASSERT_TRUE(BecomesServedBy(sidecar, "new /page/k"));
  const std::size_t before = leaving.requests().size();
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(BecomesServedBy(sidecar, "new /page/k"));
  EXPECT_EQ(leaving.requests().size(), before);
  leaving.Release();  // the request that it already had is completed
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "old");
}

TEST(MembershipUpdates, CancelAConnectingAttemptWhenItsUpstreamDrains) {
  BlackHole hole;
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", hole.address())}));
  json settings = Settings();
  for (json& request_class : settings["Classes"]) request_class["Aim"] = 15000000;
  settings["Limits"]["ConnectTimeout"] = 60000000;
  SidecarProcess::Options options = With(List({Target("u1", hole.address())}), settings);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", "x", 15000)));
  ASSERT_TRUE(Eventually([&] { return hole.HasHangingConnect(); }));
  discovery.Publish(List({Target("u1", hole.address(), "leaving"), Target("u2", staying.address())}), false);
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "new /submit/k");
}

// A list with any error is rejected as a whole, including its valid entries.
TEST(MembershipUpdates, RejectDamagedListsWholeAndNameTheFault) {
  const UnixClock clock;
  const json good{{"rev", 3}, {"all", true}, {"targets", List({Target("u1", "127.0.0.1:1", "active", 5)})}};
  EXPECT_EQ(ParseEndpointList(good, clock).locations.size(), 1u);
  const auto named = [&](const std::string& name, const std::function<void(json&)>& damage) {
    json body = good;
    damage(body);
    try {
      ParseEndpointList(body, clock);
    } catch (const std::exception& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(named("duplicate entries for u1", [](json& b) { b["targets"].push_back(b["targets"][0]); }));
  EXPECT_TRUE(named("empty uid", [](json& b) { b["targets"][0]["uid"] = ""; }));
  EXPECT_TRUE(named("unknown state", [](json& b) { b["targets"][0]["state"] = "asleep"; }));
  EXPECT_TRUE(named("bad endpoint", [](json& b) { b["targets"][0]["endpoint"] = "nowhere"; }));
  EXPECT_TRUE(named("bad capacity_hint", [](json& b) { b["targets"][0]["capacity_hint"] = -1; }));
  EXPECT_TRUE(named("bad boot_ms", [](json& b) { b["targets"][0]["boot_ms"] = -5; }));
  EXPECT_TRUE(named("bad boot_ms", [](json& b) { b["targets"][0]["boot_ms"] = 1e300; }));
  EXPECT_TRUE(named("bad pod_group", [](json& b) { b["targets"][0]["pod_group"] = -1e300; }));
  EXPECT_TRUE(named("bad rev", [](json& b) { b["rev"] = -1; }));
  EXPECT_TRUE(named("bad rev", [](json& b) { b["rev"] = 1e300; }));
  EXPECT_TRUE(named("type", [](json& b) { b["all"] = 1; }));
  EXPECT_TRUE(named("type", [](json& b) { b["rev"] = "3"; }));
  EXPECT_TRUE(named("rev", [](json& b) { b.erase("rev"); }));
  EXPECT_TRUE(named("not an array", [](json& b) { b["targets"] = 7; }));
}

// A usual fleet has 350 sidecars and some hundreds of upstreams; lists of more than a thousand upstreams must
// work.
TEST(MembershipUpdates, FollowAThousandUpstreams) {
  Upstream old(Upstream::Echo("old"));
  Upstream fresh(Upstream::Echo("new"));
  const int count = 1024;
  json whole = json::array(), drains = json::array();
  for (int i = 0; i < count; ++i) {
    const std::string uid = "s-" + std::to_string(i);
    whole.push_back(Target(uid, old.address()));
    drains.push_back(
        Target(uid, i < count - 1 ? old.address() : fresh.address(), i < count - 1 ? "leaving" : "active"));
  }
  Discovery discovery(whole);
  SidecarProcess::Options options = With(whole);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(BecomesServedBy(sidecar, "old /page/k"));
  discovery.Publish(drains, false);
  ASSERT_TRUE(BecomesServedBy(sidecar, "new /page/k"));
  const std::size_t before = old.requests().size();
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(BecomesServedBy(sidecar, "new /page/k"));
  EXPECT_EQ(old.requests().size(), before);
  discovery.Publish(whole, true);
  EXPECT_TRUE(BecomesServedBy(sidecar, "old /page/k"));
}

// A response with a lower revision than the last one has revisions of another count, so changes cannot be
// based on it and the sidecar must request the whole list.
TEST(MembershipUpdates, FetchTheWholeListAfterALowerRevision) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<int> whole{0};
  const json list = List({Target("u1", a.address())});
  Upstream agent([&](Wire& wire, const Request& request, int) {
    const bool watch = std::string(request.target()).find("index=") != std::string::npos;
    whole += !watch;
    wire.Answer(
        200,
        json{{"rev", watch ? 3 : 41}, {"all", !watch}, {"targets", watch ? json::array() : list}}.dump());
  });
  SidecarProcess::Options options = With(nullptr);
  options.discovery = agent.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(Eventually([&] { return whole >= 3; }));
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
}

}  // namespace
}  // namespace lb::sidecar::testing

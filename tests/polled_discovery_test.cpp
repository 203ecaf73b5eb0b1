// Polled membership (MembershipMode on_request): one discovery service for the whole fleet.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "sidecar/discovery_client.h"
#include "sidecar/endpoint_list.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

// One service for a whole fleet: whole lists and calls in vain are what overbooks it.
TEST(PolledDiscovery, AsksForChangesOnlyAlsoAfterAnOverload) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  std::atomic<int> calls{0};
  const std::string body =
      json{{"rev", 7}, {"all", false}, {"targets", List({Target("u2", b.address())})}}.dump();
  Upstream service([&](Wire& wire, const Request&, int) {
    if (++calls <= 2) return wire.Answer(503, "");
    return wire.Answer(200, body);
  });
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  settings["Rules"]["MustAskIn"] = 1000000;
  SidecarProcess::Options options = With(List({Target("u1", a.address())}), settings);
  options.discovery = service.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k")) << "the change came";
  ASSERT_TRUE(Eventually([&] { return service.requests().size() > 3; }));
  const auto requests = service.requests();
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(std::string(requests[i].target()).find("/discovery/hosts?index=0&"), 0u)
        << requests[i].target();
  }
  EXPECT_EQ(std::string(requests[3].target()).find("/discovery/hosts?index=7&"), 0u);
}

// A watch there that falls silent is given up soon after its wait, and what it missed is asked for at once:
// the module's pauses are for a service that has no time.
TEST(PolledDiscovery, ReopensASilentWatchAtOnce) {
  Upstream hung([](Wire& wire, const Request&, int) { wire.ReadsEnd(); });
  std::atomic<int> watches{0}, lists{0};
  const std::string list =
      json{{"rev", 7}, {"all", true}, {"targets", List({Target("u1", hung.address())})}}.dump();
  Upstream service([&](Wire& wire, const Request& request, int) {
    if (std::string(request.target()).find("index=") == std::string::npos) {
      ++lists;
      wire.Answer(200, list);
    } else {
      ++watches;
      wire.ReadsEnd();
    }
  });
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  SidecarProcess::Options options = With(nullptr, settings);
  options.discovery = service.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(Eventually([&] { return watches == 1; }));
  // The request's time-out is the clock, what is missed counts as told by then: with a longer wait, or a
  // module's pause behind it, the second list comes later.
  Client client(sidecar.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x", 6000));
  EXPECT_EQ(lists, 2);
}

// Each call in vain, of whatever kind and however many came before it, is followed by the next one in time.
TEST(PolledDiscovery, PollsAFailingServiceWithinTheNotificationLimit) {
  using Clock = std::chrono::steady_clock;
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  std::mutex mutex;
  std::vector<Clock::time_point> calls;
  const std::string list =
      json{{"rev", 7},
           {"all", true},
           {"targets", List({Target("u1", a.address(), "leaving"), Target("u2", b.address())})}}
          .dump();
  Peer service([&](Wire& wire, int) {
    while (wire.ReadRequest()) {
      std::size_t number = 0;
      {
        const std::lock_guard lock(mutex);
        number = calls.size();
        calls.push_back(Clock::now());
      }
      if (number == 0 || number == 3) wire.Reset();
      if (number == 1) wire.Answer(503, "");
      if (number == 2 || number == 4) wire.ReadsEnd();
      if (number == 5) wire.Answer(200, "no list");
      if (number > 5 && !wire.Answer(200, list)) return;
    }
  });
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  settings["Rules"]["MustAskIn"] = 60000000;
  SidecarProcess::Options options = With(List({Target("u1", a.address())}), settings);
  options.discovery = service.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(Eventually([&] {
    const std::lock_guard lock(mutex);
    return calls.size() > 6;
  }));
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));
  const std::lock_guard lock(mutex);
  // A watch is over the sooner the more is left for the next call; a call in vain leaves as much as it took.
  for (std::size_t i = 0; i + 1 < 7; ++i) EXPECT_LT(calls[i + 1] - calls[i], kChangeHeardWithin) << i;
  const std::size_t sent = a.requests().size();
  Client client(sidecar.port());
  for (int i = 0; i < 5; ++i) ASSERT_TRUE(client.Get("/page/k", "z" + std::to_string(i)));
  EXPECT_EQ(a.requests().size(), sent);
}

TEST(PolledDiscovery, AsksForTheWholeListWhereNothingIsKnown) {
  Upstream a(Upstream::Echo("a"));
  Discovery discovery(List({Target("u1", a.address())}));
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  for (const json& known : {json(nullptr), json::array()}) {
    const int lists = discovery.lists();
    SidecarProcess::Options options = With(known, settings);
    options.discovery = discovery.address();
    SidecarProcess sidecar(options);
    ASSERT_TRUE(sidecar.Listening());
    EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
    EXPECT_GT(discovery.lists(), lists);
  }
}

}  // namespace
}  // namespace lb::sidecar::testing

// Tests of polled membership (MembershipMode on_request): one discovery service for the whole fleet.
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

// The service is shared by a whole fleet, and requests for whole lists and repeated failed calls overload it.
// A sidecar that already has a list must request only changes, also after a 503.
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
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k")) << "the change was received";
  ASSERT_TRUE(Eventually([&] { return service.requests().size() > 3; }));
  const auto requests = service.requests();
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(std::string(requests[i].target()).find("/discovery/hosts?index=0&"), 0u)
        << requests[i].target();
  }
  EXPECT_EQ(std::string(requests[3].target()).find("/discovery/hosts?index=7&"), 0u);
}

// Options for a sidecar that polls `discovery` and knows no list yet.
SidecarProcess::Options PolledWithoutAList(const std::string& discovery) {
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  SidecarProcess::Options options = With(nullptr, settings);
  options.discovery = discovery;
  return options;
}

bool IsForWholeList(const Request& request) { return request.target().find("index=") == std::string::npos; }

// A call that is answered at once although nothing has changed.
bool IsForChangesNow(const Request& request) { return request.target().ends_with("&wait=1"); }

std::string ListOf(const Upstream& upstream, int revision) {
  return json{{"rev", revision}, {"all", true}, {"targets", List({Target("u1", upstream.address())})}}.dump();
}

// Soon after the wait time of a watch without a response, the changes are requested beside it and without the
// balancer's poll pause, which is meant for an overloaded service.
TEST(PolledDiscovery, ReopensASilentWatchAtOnce) {
  Upstream hung([](Wire& wire, const Request&, int) { wire.ReadUntilClosed(); });
  std::atomic<int> watches{0}, answered{0};
  const std::string list = ListOf(hung, 7);
  Upstream service([&](Wire& wire, const Request& request, int) {
    if (IsForWholeList(request) || IsForChangesNow(request)) {
      ++answered;
      wire.Answer(200, list);
    } else {
      ++watches;
      wire.ReadUntilClosed();
    }
  });
  SidecarProcess sidecar(PolledWithoutAList(service.address()));
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(Eventually([&] { return watches == 1; }));
  // The request's timeout of 6 s limits the test to the notification limit. With a longer wait, or with the
  // balancer's poll pause after the wait, the second list would be requested later.
  Client client(sidecar.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x", 6000));
  EXPECT_EQ(answered, 2);
}

// A service that has been silent for seconds may have lost the revisions that it told.
TEST(PolledDiscovery, RequestsTheWholeListOfAServiceThatStaysSilent) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  std::atomic<int> lists{0};
  Upstream service([&](Wire& wire, const Request& request, int) {
    if (!IsForWholeList(request)) return static_cast<void>(wire.ReadUntilClosed());
    wire.Answer(200, ++lists == 1 ? ListOf(a, 7) : ListOf(b, 3));
  });
  SidecarProcess sidecar(PolledWithoutAList(service.address()));
  ASSERT_TRUE(sidecar.Listening());

  const bool is_heard = BecomesServedBy(sidecar, "b /page/k");

  EXPECT_TRUE(is_heard);
}

// After each failed call, whatever the kind of failure and the number of previous failures, the next call
// must follow within the notification limit.
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
      if (number == 2 || number == 4) wire.ReadUntilClosed();
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
  // Measured from start to start: the sooner a watch ends, the more of the limit is left for the next call,
  // and a failed call leaves as much time as it took.
  for (std::size_t i = 0; i + 1 < 7; ++i) EXPECT_LT(calls[i + 1] - calls[i], kNotificationLimit) << i;
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

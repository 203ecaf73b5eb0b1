// The client's status after a failed attempt of a non-idempotent request: 503 if the upstream can't have
// processed the request, 502 or 504 if it may have.
#include <atomic>
#include <chrono>
#include <future>
#include <string>

#include "gtest/gtest.h"
#include "tests/gated_upstream.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

TEST(AttemptOutcome, ErrorMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(500, "x"); });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(AttemptOutcome, Bare503MayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(503, "x"); });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(AttemptOutcome, NotProcessedProvesThatNothingRan) {
  for (const unsigned status : {503U, 504U}) {
    Upstream upstream(
        [status](Wire& wire, const Request&, int) { wire.Answer(status, "x", "X-Not-Processed: 1\r\n"); });
    EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 503U);
  }
}

TEST(AttemptOutcome, NotProcessedOnAnotherStatusProvesNothing) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(500, "x", "X-Not-Processed: 1\r\n"); });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
}

TEST(AttemptOutcome, RefusedConnectionProvesThatNothingRan) {
  RefusingAddress refusing;
  EXPECT_EQ(NonIdempotentStatus(refusing.address(), 5000), 503U);
}

TEST(AttemptOutcome, ConnectTimeoutProvesThatNothingRan) {
  BlackHole hole;
  EXPECT_EQ(NonIdempotentStatus(hole.address(), 10000), 503U);
}

TEST(AttemptOutcome, ResetBeforeTheLastRequestByteProvesThatNothingRan) {
  if (BytesAcceptedUnread() >= 65536) GTEST_SKIP() << "this system buffers a whole unread message";
  Peer peer(
      [](Wire& wire, int) {
        char byte = 0;
        boost::system::error_code error;
        wire.socket.read_some(boost::asio::buffer(&byte, 1), error);
        wire.Reset();
      },
      true);
  EXPECT_EQ(NonIdempotentStatus(peer.address(), 5000, 65536), 503U);
}

TEST(AttemptOutcome, ResetAfterTheRequestMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Reset(); });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(AttemptOutcome, TruncatedResponseMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    wire.socket.close();
  });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(AttemptOutcome, UnparsableResponseMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Write("SSH-2.0-what\r\n\r\n"); });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
}

TEST(AttemptOutcome, ResponseAboveTheSizeLimitMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nx");
  });
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 502U);
}

TEST(AttemptOutcome, MissingResponseEndsAtTheClientsDeadline) {
  GatedUpstream upstream;
  EXPECT_EQ(NonIdempotentStatus(upstream.address(), 300), 504U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(AttemptOutcome, IdempotentRequestIsRetriedOnAnotherUpstream) {
  Upstream good(Upstream::Echo("good"));
  Upstream bad([](Wire& wire, const Request&, int) { wire.Answer(500, "x"); });
  SidecarProcess sidecar(With(List({Target("u1", good.address()), Target("u2", bad.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  for (int i = 0; i < 8; ++i) {
    const auto response = client.Get("/page/k", "s" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_GT(bad.requests().size(), 0U);
  EXPECT_EQ(good.requests().size(), 8U);
}

TEST(AttemptOutcome, RejectionCarriesRetryAfter) {
  RefusingAddress refusing;
  SidecarProcess sidecar(With(List({Target("u1", refusing.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  const double wait = std::stod(std::string((*response)["Retry-After"]));
  EXPECT_GT(wait, 0);
  EXPECT_LE(wait, 2);
}

// A half-open probe continues after its request has its response, to test the upstream. If its connection is
// established only then, the probe must not be sent; the connection is pooled and carries a later request.
TEST(AttemptOutcome, ConnectionEstablishedAfterTheResponseCarriesTheNextRequest) {
  BlackHole late(false);
  Upstream good(Upstream::Echo("good"));
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  settings["Limits"]["ConnectTimeout"] = 15000000;
  settings["Classes"][0]["Aim"] = 15000000;
  SidecarProcess sidecar(With(List({Target("u1", late.address()), Target("u2", good.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  int number = 0;
  const auto served = [&] {
    const auto response = client.Get("/page/k", "r" + std::to_string(number++), 15000);
    return response && response->result_int() == 200;
  };
  // Two consecutive failures make the upstream suspected. From then on, copies of requests test it as
  // half-open probes.
  auto failing = std::async(std::launch::async, [&] {
    for (int i = 0; i < 2; ++i) {
      const auto wire = late.Accept();
      wire->ReadRequest();
      wire->Answer(500, "x", "Connection: close\r\n");
    }
  });
  while (failing.wait_for(milliseconds(0)) != std::future_status::ready) ASSERT_TRUE(served());
  late.Fill();
  const int before = number;
  ASSERT_TRUE(served());  // its copy to `late` waits for a connection
  std::atomic<bool> received{false};
  auto first = std::async(std::launch::async, [&] {
    const auto wire = late.Accept();
    auto request = wire->ReadRequest();
    received = true;
    wire->Answer(200, "late");
    return request;
  });
  EXPECT_TRUE(Eventually([&] {
    EXPECT_TRUE(served());
    return received.load();
  }));
  const auto request = first.get();
  ASSERT_TRUE(request);
  const int carried = std::stoi(std::string((*request)["X-Request-ID"]).substr(1));
  EXPECT_GT(carried, before);
}

// The retry's connection is not established within the window during which the upstreams remember the
// idempotency key. The window is shorter than the connect timeout; sent after the window, the retry could be
// processed a second time.
TEST(AttemptOutcome, RetryIsNotSentBeyondTheIdempotencyKeysWindow) {
  BlackHole late;
  std::atomic<bool> list_applied{false};
  Upstream resets([&](Wire& wire, const Request&, int) {
    EXPECT_TRUE(Eventually([&] { return list_applied.load(); }));
    wire.Reset();
  });
  const json first = Target("u1", resets.address());
  Discovery discovery(List({first}));
  json settings = Settings();
  settings["Limits"]["ConnectTimeout"] = 19000000;
  settings["Classes"][2]["KeyScope"] = "zone";
  settings["Classes"][2]["Aim"] = 15000000;
  settings["Classes"][2]["Window"] = 4000000;
  SidecarProcess::Options options = With(List({first}), settings);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(PostText("/keyed/k", "a1", "x", 15000, "Idempotency-Key: 1\r\n")));
  ASSERT_TRUE(Eventually([&] { return resets.requests().size() == 1; }));
  discovery.Publish(List({first, Target("u2", late.address())}));
  const int calls_before = discovery.calls();  // the next call is made after the list was applied
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls_before; }));
  list_applied = true;
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 502U) << "504 would mean that the client's deadline has passed";
}

}  // namespace
}  // namespace lb::sidecar::testing

// Upstream responses that violate HTTP/1.1 framing, and bytes that do not belong to any request.
#include <atomic>
#include <chrono>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/upstreams.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

// Returns the status of a non-idempotent request whose upstream responds with these bytes and leaves the
// connection open.
unsigned StatusForBytes(const std::string& bytes) {
  Upstream upstream([&](Wire& wire, const Request&, int) { wire.Write(bytes); });
  const unsigned status = NonIdempotentStatus(upstream.address(), 1000);
  EXPECT_EQ(upstream.requests().size(), 1U) << bytes.substr(0, 80);
  return status;
}

TEST(ResponseFraming, AmbiguousLengthFails) {
  for (const char* head :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Content-Length: -5\r\n",
        "Content-Length: 3000000000\r\n", "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n"}) {
    EXPECT_EQ(StatusForBytes(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\nbody"), 502U) << head;
  }
}

// HTTP/1.1 allows a body that ends with the close of the connection; a reset must not count as that end.
TEST(ResponseFraming, EndOfConnectionCompletesTheBodyAndAResetDoesNot) {
  Upstream ends([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
    wire.socket.close();
  });
  EXPECT_EQ(NonIdempotentStatus(ends.address(), 5000), 200U);
  Upstream breaks([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\n\r\n");
    wire.Reset();
  });
  EXPECT_EQ(NonIdempotentStatus(breaks.address(), 5000), 502U);
}

TEST(ResponseFraming, EndlessInterimResponsesFail) {
  std::string many;
  for (int i = 0; i < 100; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  EXPECT_EQ(StatusForBytes(many), 502U);
  EXPECT_EQ(StatusForBytes("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 502U);
}

// A response that arrives before the request was written completely can't be a response to that request.
TEST(ResponseFraming, ResponseBeforeTheLastRequestByteIsIgnored) {
  if (BytesAcceptedUnread() >= 65536) GTEST_SKIP() << "this system buffers a whole unread message";
  Gate end;
  Peer peer(
      [&](Wire& wire, int) {
        wire.Answer(200, "too early");
        end.Pass();
      },
      true);
  EXPECT_EQ(NonIdempotentStatus(peer.address(), 5000, 65536), 503U);
  end.Open();
}

// Bytes that arrive on an idle connection must never be read as the next response or a part of it.
TEST(ResponseFraming, ExcessBytesReachNoOtherRequest) {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
  for (const std::string& stray : {copy, copy.substr(0, 20), std::string("noise")}) {
    for (const bool later : {false, true}) {
      Gate answered;
      Gate strayed;
      Upstream upstream([&](Wire& wire, const Request& request, int number) {
        const std::string id(request["X-Request-ID"]);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
        wire.Write(answer + (number == 0 && !later ? stray : ""));
        if (number > 0) return;
        if (later) {
          answered.Pass();
          wire.Write(stray);
        }
        strayed.Open();
      });
      SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
      ASSERT_TRUE(sidecar.Listening());
      Client client(sidecar.port());
      const auto first = client.Post("/submit/k", "one", "x");
      ASSERT_TRUE(first);
      EXPECT_EQ(first->body(), "one");
      answered.Open();
      strayed.Pass();
      WaitForConnectionReuse();
      const auto second = client.Post("/submit/k", "two", "x");
      ASSERT_TRUE(second);
      EXPECT_EQ(second->body(), "two");
      EXPECT_EQ(upstream.connections(), 2);
    }
  }
}

// An upstream sends a second response to a request within kReuseDelay, after the next request has arrived. On
// the same connection, it would be read as the response to that next request.
TEST(ResponseFraming, SecondResponseReachesNoOtherRequest) {
  using Clock = std::chrono::steady_clock;
  std::atomic<int> crossings{0};
  for (int round = 0; round < 100 && crossings < 3; ++round) {
    std::atomic<Clock::time_point> answered;
    Upstream upstream([&](Wire& wire, const Request& request, int) {
      const std::string id(request["X-Request-ID"]);
      if (id == "one") {
        answered = Clock::now();  // the sidecar can't have read the response earlier
      } else if (Clock::now() - answered.load() < kReuseDelay) {
        ++crossings;
        if (upstream.connections() == 1) wire.Answer(200, "one");
      }
      wire.Answer(200, id);
    });
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(PostText("/submit/k", "one", "x") + PostText("/submit/k", "two", "x")));
    ASSERT_TRUE(client.Read());
    const auto second = client.Read();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->body(), "two");
  }
  EXPECT_GT(crossings, 0);
}

TEST(ResponseFraming, MalformedLoadReportLeavesTheResponseValid) {
  for (const char* report :
       {"inflight=nan", "inflight=inf,queue=2", "util=-1", "queue=1e300", "inflight=", "=,=,"}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Answer(200, "good", "X-Server-Load: " + std::string(report) + "\r\n");
    });
    EXPECT_EQ(NonIdempotentStatus(upstream.address(), 5000), 200U) << report;
  }
}

}  // namespace
}  // namespace lb::sidecar::testing

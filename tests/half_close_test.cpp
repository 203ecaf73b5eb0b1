// A client that ends its sending still gets its responses; the request of a client that closes the connection
// is cancelled.
#include <chrono>
#include <csignal>
#include <cstddef>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "tests/gated_upstream.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

TEST(ClientDisconnect, CancelsTheAttempt) {
  std::promise<bool> ended;
  Gate request_received;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    request_received.Open();
    ended.set_value(wire.ReadUntilClosed());
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  {
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "a1", 15000)));
    request_received.Pass();
  }
  EXPECT_TRUE(ended.get_future().get());
}

// A client that only ends its sending waits for its response, also if that takes a further attempt after the
// half-close was noticed.
TEST(HalfClose, WaitingClientIsServedAfterAProbe) {
  GatedUpstream upstream([](Wire& wire, const Request& request, int number) {
    if (GatedUpstream::IsFirst(request, number)) {
      wire.Answer(503, "", "X-Not-Processed: 1\r\n");
    } else {
      GatedUpstream::RespondWithTarget(wire, request, number);
    }
  });
  json settings = Settings();
  settings["Classes"][1]["Aim"] = 15000000;
  SidecarProcess sidecar(
      With(List({Target("u1", upstream.address()), Target("u2", upstream.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  for (const char* id : {"in flight", "at once"}) {
    Client client(sidecar.port());
    const std::string target = std::string("/submit/") + id[0];
    ASSERT_TRUE(client.Send(PostText(target, id[0] == 'i' ? "a1" : "a2", "x", 15000)));
    if (id[0] == 'i') upstream.WaitForHeldRequest();
    client.wire.socket.shutdown(tcp::socket::shutdown_send);
    if (id[0] == 'i') {
      // The probe was sent, and the client did not answer it with a reset.
      const auto interim = client.Read();
      ASSERT_TRUE(interim);
      EXPECT_EQ(interim->result_int(), 102U);
      upstream.Release();
    }
    const auto answer = ReadFinalResponse(client);
    ASSERT_TRUE(answer) << id;
    EXPECT_EQ(answer->result_int(), 200U);
    EXPECT_EQ(answer->body(), target);
    EXPECT_TRUE(client.wire.ReadUntilClosed());
  }
}

// Returns the bodies of all responses until the connection ends, or the status for other statuses than 200.
// No response may follow one that announces the close.
std::vector<std::string> ReadResponsesUntilClose(Client& client) {
  std::vector<std::string> bodies;
  bool keep_alive = true;
  while (const auto answer = ReadFinalResponse(client)) {
    EXPECT_TRUE(keep_alive);
    keep_alive = answer->keep_alive();
    bodies.push_back(answer->result_int() == 200U ? answer->body() : std::to_string(answer->result_int()));
  }
  return bodies;
}

// All requests sent before the end of sending are served, in order.
TEST(HalfClose, AllPipelinedRequestsAreServed) {
  Upstream upstream([](Wire& wire, const Request& request, int) {
    wire.Answer(200, std::string(request.target()) + " " + std::to_string(request.body().size()));
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  const auto get = [](const std::string& id) { return GetText("/page/" + id, id); };
  const auto post = [](const std::string& id, std::size_t size) {
    return PostText("/submit/" + id, id, std::string(size, 'x'));
  };
  const std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
      {get("a1") + get("a2"), {"/page/a1 0", "/page/a2 0"}},
      {get("b1") + get("b2") + get("b3"), {"/page/b1 0", "/page/b2 0", "/page/b3 0"}},
      {post("c1", 10) + post("c2", 20), {"/submit/c1 10", "/submit/c2 20"}},
      {post("d1", 1) + get("d2") + post("d3", 60000), {"/submit/d1 1", "/page/d2 0", "/submit/d3 60000"}},
      // Cases: held in memory, larger than the read-ahead, streamed.
      {post("e1", 60000) + post("e2", 60000) + get("e3"),
       {"/submit/e1 60000", "/submit/e2 60000", "/page/e3 0"}},
      {get("f1") + post("f2", 300000) + get("f3"), {"/page/f1 0", "/submit/f2 300000", "/page/f3 0"}},
  };
  for (const auto& [requests, answers] : cases) {
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(requests));
    client.wire.socket.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(ReadResponsesUntilClose(client), answers);
  }
}

// The same if requests and the end of sending arrive together, as for a process that was not scheduled for a
// while. If the last request is incomplete, the connection ends after the responses to the others.
TEST(HalfClose, RequestsReadTogetherWithTheEndAreServed) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  const std::string first = GetText("/page/1", "a1");
  const std::string last = GetText("/page/2", "a2");
  const std::string post = PostText("/submit/2", "a3", "12345");
  struct Case {
    std::string second;
    std::size_t answers;
  };
  const std::vector<Case> cases = {{last, 2},
                                   {post, 2},
                                   {last.substr(0, 30), 1},
                                   {last.substr(0, last.size() - 1), 1},
                                   {post.substr(0, post.size() - 1), 1},
                                   {"\r", 1}};
  for (std::size_t i = 0; i < cases.size(); ++i) {
    Client client(sidecar.port());
    sidecar.Pause();
    std::string requests = first + cases[i].second;
    for (std::size_t at = 0; (at = requests.find("ID: a", at)) != std::string::npos; ++at) {
      requests[at + 4] = static_cast<char>('b' + i);
    }
    ASSERT_TRUE(client.Send(requests));
    client.wire.socket.shutdown(tcp::socket::shutdown_send);
    sidecar.Signal(SIGCONT);
    std::size_t answers = 0;
    while (const auto answer = ReadFinalResponse(client)) {
      EXPECT_EQ(answer->result_int(), 200U) << i;
      ++answers;
    }
    EXPECT_EQ(answers, cases[i].answers) << i;
  }
}

// The client closed before the response to its first request, so its next request must not begin.
TEST(ClientDisconnect, AfterAHalfCloseStartsNoFurtherRequest) {
  GatedUpstream upstream;
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  {
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(GetText("/page/1", "a1", 15000) + GetText("/page/2", "a2", 15000)));
    upstream.WaitForHeldRequest();
    client.wire.socket.shutdown(tcp::socket::shutdown_send);
    const auto interim = client.Read();
    ASSERT_TRUE(interim);
    EXPECT_EQ(interim->result_int(), 102U);
  }
  upstream.Release();
  Client other(sidecar.port());
  ASSERT_TRUE(other.Get("/page/3", "a3"));
  WaitForConnectionReuse();
  ASSERT_TRUE(other.Get("/page/4", "a4"));
  for (const auto& request : upstream.requests()) EXPECT_NE(request.target(), "/page/2");
}

// A response that fills the connection leaves no room to send a half-close probe.
TEST(HalfClose, SlowReaderIsServed) {
  const std::string large(2000000, 'x');
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    wire.Answer(200, request.target() == "/page/1" ? large : "small");
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(GetText("/page/1", "a1", 15000) + GetText("/page/2", "a2", 15000)));
  client.wire.socket.shutdown(tcp::socket::shutdown_send);
  const auto first = ReadFinalResponse(client);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->body().size(), large.size());
  const auto second = ReadFinalResponse(client);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->body(), "small");
}

// The end of sending is read while the rest of the body still waits for a slow upstream.
TEST(HalfClose, EndBehindALargeBodyIsServed) {
  Peer upstream(
      [](Wire& wire, int) {
        if (const auto request = wire.ReadRequest()) wire.Answer(200, std::to_string(request->body().size()));
      },
      true);
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", std::string(300000, 'x'), 15000)));
  client.wire.socket.shutdown(tcp::socket::shutdown_send);
  EXPECT_EQ(ReadResponsesUntilClose(client), std::vector<std::string>{"300000"});
}

// The client's close is behind bytes that the read buffer has no room for. It must still be noticed, and
// cancel the attempt.
TEST(ClientDisconnect, BehindMoreThanTheReadBufferIsNoticed) {
  std::promise<bool> ended;
  Gate request_received;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    request_received.Open();
    ended.set_value(wire.ReadUntilClosed());
  });
  json settings = Settings();
  settings["Classes"][0]["Aim"] = 40000000;
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  {
    Client client(sidecar.port());
    ASSERT_TRUE(
        client.Send(GetText("/page/k", "a1", 40000) + PostText("/submit/k", "a2", std::string(60000, 'x'))));
    request_received.Pass();
  }
  EXPECT_EQ(ended.get_future().wait_for(std::chrono::seconds(20)), std::future_status::ready)
      << "not noticed within half of the timeout of the request";
}

// A request and the close of its client arrive together, as for a process that was not scheduled for a while:
// no attempt begins.
TEST(ClientDisconnect, BeforeItsRequestIsReadStartsNothing) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client before(sidecar.port());
  ASSERT_TRUE(before.Get("/page/k", "a0"));
  sidecar.Pause();
  for (int i = 1; i <= 20; ++i) {
    Client disconnecting(sidecar.port());
    ASSERT_TRUE(disconnecting.Send(GetText("/page/k", "a" + std::to_string(i))));
  }
  sidecar.Signal(SIGCONT);
  // The listener's queue holds those connections ahead of this one.
  Client connected(sidecar.port());
  ASSERT_TRUE(connected.Get("/page/k", "b"));
  ASSERT_TRUE(connected.Get("/page/k", "c"));
  EXPECT_EQ(upstream.requests().size(), 3u);
}

}  // namespace
}  // namespace lb::sidecar::testing

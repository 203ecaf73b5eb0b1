// Responses without a length whose body begins only after the time in which the sidecar waits for an attempt,
// arrives slowly or never ends. Runs the real program.
#include <chrono>
#include <csignal>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBody = 300000;   // in bytes; more than the sidecar holds in memory
constexpr int kOverObjectiveMs = 5000;  // a client that waits longer than the latency objective
constexpr int kUnderObjectiveMs = 300;  // and one that does not
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
constexpr const char* kClose = "Connection: close\r\n";

struct Case {
  const char* name;
  const char* framing;
  const char* target;
  int timeout_ms;
  std::size_t upload = 0;  // bytes of the request's body
  const char* version = "HTTP/1.1";
};

void PrintTo(const Case& tested, std::ostream* out) { *out << tested.name; }

std::string Framed(const std::string& framing, const std::string& body) {
  if (framing != kChunked) return body;
  constexpr std::size_t kChunk = 0x2000;
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += kChunk) {
    std::string piece = body.substr(i, kChunk);
    if (piece.size() < kChunk) piece.resize(kChunk, 'x');
    chunks += "2000\r\n" + piece + "\r\n";
  }
  return chunks + "0\r\n\r\n";
}

std::string RequestText(const Case& tested) {
  const std::string target = tested.target;
  if (target == "/page/k") {
    return "GET /page/k " + std::string(tested.version) +
           "\r\nX-Request-ID: late\r\nX-Timeout-Ms: " + std::to_string(tested.timeout_ms) + "\r\n\r\n";
  }
  return PostText(target, "late", std::string(tested.upload, 'u'), tested.timeout_ms,
                  target == "/keyed/k" ? "Idempotency-Key: k1\r\n" : "");
}

class LateResponseBody : public ::testing::TestWithParam<Case> {};

// Guards against ending an attempt at its time limit although its response has begun: the upstream has sent
// the head, and sends a long body.
TEST_P(LateResponseBody, IsForwardedWholeIfItsHeadCameInTime) {
  const Case& tested = GetParam();
  const std::string body(kBody, 'b');
  Gate first_bytes_forwarded;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\n" + std::string(tested.framing) + "\r\n");
    first_bytes_forwarded.Pass();
    wire.Write(Framed(tested.framing, body));
    wire.socket.close();
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  ASSERT_TRUE(client.Send(RequestText(tested)));
  EXPECT_TRUE(ReceivesFirstBytes(client));
  first_bytes_forwarded.Open();

  const auto response = client.Read();
  ASSERT_TRUE(response) << sidecar.log();
  EXPECT_EQ(response->result_int(), 200U) << sidecar.log();
  EXPECT_GE(response->body().size(), kBody);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, LateResponseBody,
    ::testing::Values(Case{"IdempotentChunked", kChunked, "/page/k", kOverObjectiveMs},
                      Case{"IdempotentClose", kClose, "/page/k", kOverObjectiveMs},
                      Case{"IdempotentShortTime", kChunked, "/page/k", kUnderObjectiveMs},
                      Case{"KeyedChunked", kChunked, "/keyed/k", kOverObjectiveMs, 10},
                      Case{"KeyedClose", kClose, "/keyed/k", kUnderObjectiveMs, 10},
                      Case{"NotIdempotentChunked", kChunked, "/submit/k", kUnderObjectiveMs, 10},
                      Case{"NotIdempotentClose", kClose, "/submit/k", kUnderObjectiveMs, 10},
                      Case{"LargeUpload", kChunked, "/submit/k", kUnderObjectiveMs, 200000},
                      Case{"Http10Client", kChunked, "/page/k", kOverObjectiveMs, 0, "HTTP/1.0"}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

// Guards against the same cut when a hedged request is out: of two responses that have begun, one is passed
// on.
TEST(LateResponseBodies, OfAHedgedRequestAreForwardedFromOneUpstream) {
  const std::string body(kBody, 'b');
  Gate first_bytes_forwarded;
  const auto respond = [&](Wire& wire, const Request&, int) {
    wire.Write(std::string("HTTP/1.1 200 OK\r\n") + kChunked + "\r\n");
    first_bytes_forwarded.Pass();
    wire.Write(Framed(kChunked, body));
  };
  Upstream u1(respond);
  Upstream u2(respond);
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  SidecarProcess sidecar(With(List({Target("u1", u1.address()), Target("u2", u2.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  ASSERT_TRUE(client.Send(GetText("/page/k", "hedged", kOverObjectiveMs)));
  EXPECT_TRUE(ReceivesFirstBytes(client));
  first_bytes_forwarded.Open();

  const auto response = client.Read();
  ASSERT_TRUE(response) << sidecar.log();
  EXPECT_EQ(response->result_int(), 200U) << sidecar.log();
  EXPECT_GE(response->body().size(), kBody);
}

// Guards against a response that looks whole after its upstream broke off behind the head.
TEST(LateResponseBodies, ThatNeverComeResetTheClient) {
  Gate first_bytes_forwarded;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    first_bytes_forwarded.Pass();
    wire.Reset();
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  ASSERT_TRUE(client.Send(GetText("/page/k", "broken", kOverObjectiveMs)));
  EXPECT_TRUE(ReceivesFirstBytes(client));
  first_bytes_forwarded.Open();

  EXPECT_FALSE(client.Read());
}

// Guards against ending a long response that arrives slowly: at its request's time, and half a second after
// it, it is no longer than one that never ends.
TEST(LateResponseBodies, ThatArriveSlowlyAreForwardedWhole) {
  constexpr std::size_t kPiece = 4000;  // in bytes
  constexpr milliseconds kPause{50};
  constexpr std::size_t kSlowBody = 100000;
  for (const char* framing : {kChunked, kClose}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      const std::string text = Framed(framing, std::string(kSlowBody, 'b'));
      wire.Write("HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n");
      for (std::size_t i = 0; i < text.size(); i += kPiece) {
        wire.Write(text.substr(i, kPiece));
        std::this_thread::sleep_for(kPause);
      }
      wire.socket.close();
    });
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());

    ASSERT_TRUE(client.Send(GetText("/page/k", "slow", kUnderObjectiveMs)));

    const auto response = client.Read();
    ASSERT_TRUE(response) << sidecar.log();
    EXPECT_GE(response->body().size(), kSlowBody);
  }
}

constexpr int kEndlessTimeoutMs = 1500;
// A final answer is due half a second after the request's time; the rest leaves room for a busy machine.
constexpr milliseconds kEndlessLatest{kEndlessTimeoutMs + 500 + 2000};

struct EndlessCase {
  Case request;
  std::string start;         // what the upstream sends behind the head
  std::string trickle = "";  // and sends again and again
  bool pipelined = false;    // the client sends another request behind it
  bool stops = false;        // the sidecar is told to stop once the response has begun
};

void PrintTo(const EndlessCase& tested, std::ostream* out) { *out << tested.request.name; }

class EndlessResponse : public ::testing::TestWithParam<EndlessCase> {};

void SendEndlessResponse(Wire& wire, const EndlessCase& tested) {
  wire.Write("HTTP/1.1 200 OK\r\n" + std::string(tested.request.framing) + "\r\n" + tested.start);
  if (tested.trickle.empty()) {
    wire.ReadUntilClosed();
    return;
  }
  while (wire.Write(tested.trickle)) std::this_thread::sleep_for(milliseconds(20));
}

// Guards against a request that never gets its final answer: its response began in time, is short as far as
// it has come, and never ends (review/7).
TEST_P(EndlessResponse, ResetsItsClientSoonAfterItsRequestsTime) {
  const EndlessCase& tested = GetParam();
  Upstream upstream([&](Wire& wire, const Request&, int) { SendEndlessResponse(wire, tested); });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  ASSERT_TRUE(client.Send(RequestText(tested.request)));
  const auto sent = std::chrono::steady_clock::now();
  if (tested.pipelined) {
    ASSERT_TRUE(client.Send(GetText("/page/k", "behind", kEndlessTimeoutMs)));
  }
  ASSERT_TRUE(ReceivesFirstBytes(client));
  if (tested.stops) sidecar.Signal(SIGTERM);

  EXPECT_FALSE(client.Read()) << "the response never ends, so it can't be whole";
  EXPECT_LT(std::chrono::steady_clock::now() - sent, kEndlessLatest) << sidecar.log();
  if (tested.stops) {
    EXPECT_EQ(sidecar.Wait(), 0);
  }
}

Case EndlessRequest(const char* name, const char* framing, const char* target = "/submit/k") {
  return {name, framing, target, kEndlessTimeoutMs, 10};
}

std::vector<EndlessCase> EndlessCases() {
  const std::string thousand(1000, 'x');
  const std::string chunk = "3e8\r\n" + thousand + "\r\n";
  const std::string byte_chunk = "1\r\nx\r\n";
  Case upload = EndlessRequest("LargeUpload", kChunked);
  upload.upload = 300000;
  Case http10 = EndlessRequest("Http10Client", kChunked, "/page/k");
  http10.version = "HTTP/1.0";
  return {{EndlessRequest("ChunkedHeadOnly", kChunked), ""},
          {EndlessRequest("CloseHeadOnly", kClose), ""},
          {EndlessRequest("ChunkedBytes", kChunked), chunk},
          {EndlessRequest("CloseBytes", kClose), thousand},
          {EndlessRequest("CloseManyBytes", kClose), std::string(60000, 'x')},
          {EndlessRequest("OpenChunk", kChunked), "4e20\r\n" + thousand},
          {EndlessRequest("OpenTrailer", kChunked), chunk + "0\r\nX-Trailer: t"},
          {EndlessRequest("NoLastLineEnd", kChunked), chunk + "0\r\n"},
          {EndlessRequest("ChunkedTrickle", kChunked), chunk, byte_chunk},
          {EndlessRequest("CloseTrickle", kClose), thousand, "x"},
          {EndlessRequest("Idempotent", kChunked, "/page/k"), chunk},
          {EndlessRequest("Keyed", kChunked, "/keyed/k"), chunk},
          {upload, chunk},
          {http10, chunk},
          {EndlessRequest("Pipelined", kChunked, "/page/k"), chunk, "", true},
          {EndlessRequest("PlannedStop", kChunked), chunk, "", false, true}};
}

INSTANTIATE_TEST_SUITE_P(Forms, EndlessResponse, ::testing::ValuesIn(EndlessCases()),
                         [](const auto& param_info) { return std::string(param_info.param.request.name); });

}  // namespace
}  // namespace lb::sidecar::testing

// A long response whose upstream hangs in the middle of it (review/9). Runs the real program.
#include <chrono>
#include <csignal>
#include <memory>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBody = 200000;  // in bytes; over 64 KiB, so that only its first bytes are timed
constexpr int kTimeoutMs = 3000;

enum class Framing { kLength, kChunked, kClose };

struct HangForm {
  std::string name;
  Framing framing = Framing::kLength;
  std::size_t first = 100000;  // bytes before the hang
  seconds hang{12};
};

void PrintTo(const HangForm& form, std::ostream* out) { *out << form.name; }

std::string HeadOf(Framing framing) {
  switch (framing) {
    case Framing::kLength:
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n";
    case Framing::kChunked:
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    case Framing::kClose:
      return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  }
  return "";
}

std::string PartOf(Framing framing, std::size_t size) {
  std::string bytes(size, 'b');
  if (framing != Framing::kChunked) return bytes;
  std::ostringstream chunk;
  chunk << std::hex << size << "\r\n" << bytes << "\r\n";
  return chunk.str();
}

class HangInALongResponse : public ::testing::TestWithParam<HangForm> {};

// Guards against cutting off what the upstream still gives: it goes on after the hang.
TEST_P(HangInALongResponse, IsWaitedFor) {
  const HangForm& form = GetParam();
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write(HeadOf(form.framing) + PartOf(form.framing, form.first));
    std::this_thread::sleep_for(form.hang);
    wire.Write(PartOf(form.framing, kBody - form.first));
    if (form.framing == Framing::kChunked) wire.Write("0\r\n\r\n");
    wire.socket.close();
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  ASSERT_TRUE(client.Send(GetText("/page/k", "hang", kTimeoutMs)));
  const auto response = client.Read();

  ASSERT_TRUE(response) << sidecar.log();
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(response->body().size(), kBody);
}

// Upstreams hang for 6.2 to 20 s (BRIEF, 2.3).
INSTANTIATE_TEST_SUITE_P(Forms, HangInALongResponse,
                         ::testing::Values(HangForm{.name = "Length"},
                                           HangForm{.name = "LengthBehindTheFirstBytes", .first = 1000},
                                           HangForm{.name = "Chunked", .framing = Framing::kChunked},
                                           HangForm{.name = "Close", .framing = Framing::kClose},
                                           HangForm{.name = "LongestHang", .hang = seconds(20)}),
                         [](const auto& form) { return form.param.name; });

// Long responses that stop for good; `requests` of them have begun.
class SilentLongResponses : public ::testing::Test {
 protected:
  void Begin(SidecarProcess& sidecar, int requests) {
    for (int i = 0; i < requests; ++i) {
      clients_.push_back(std::make_unique<Client>(sidecar.port()));
      ASSERT_TRUE(clients_.back()->Send(GetText("/page/k", "silent" + std::to_string(i), kTimeoutMs)));
      ASSERT_TRUE(ReceivesFirstBytes(*clients_.back()));
    }
  }

  Upstream silent_{[](Wire& wire, const Request& request, int) {
    if (std::string(request["X-Request-ID"]).starts_with("silent")) {
      wire.Write(HeadOf(Framing::kLength) + PartOf(Framing::kLength, 1000));
      wire.ReadUntilClosed();
    } else {
      wire.Answer(200, "served");
    }
  }};
  std::vector<std::unique_ptr<Client>> clients_;
};

// Between the 10 s after which a silent response may be ended and the 30 s that it is given otherwise.
constexpr seconds kEndedEarly{20};

// While there is no descriptor, the connection is not accepted.
TEST_F(SilentLongResponses, GiveWayWhereDescriptorsAreUsedUp) {
  SidecarProcess::Options options = With(List({Target("u1", silent_.address())}));
  options.sockets = 64;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  const int connections_of_a_side = (options.sockets - 16) / 2;
  Begin(sidecar, connections_of_a_side);

  const auto begun_at = Clock::now();
  int number = 0;
  const bool is_served = Eventually([&] {
    Client client(sidecar.port());
    if (!client.Send(GetText("/page/k", "short" + std::to_string(number++), kTimeoutMs))) return false;
    const auto response = client.Read();
    return response && response->result_int() == 200;
  });

  EXPECT_TRUE(is_served) << sidecar.log();
  EXPECT_LT(Clock::now() - begun_at, kEndedEarly);
}

TEST_F(SilentLongResponses, DoNotHoldUpAPlannedStop) {
  SidecarProcess sidecar(With(List({Target("u1", silent_.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Begin(sidecar, 1);

  const auto stopped_at = Clock::now();
  sidecar.Signal(SIGTERM);

  EXPECT_EQ(sidecar.Wait(), 0);
  EXPECT_LT(Clock::now() - stopped_at, kEndedEarly);
}

}  // namespace
}  // namespace lb::sidecar::testing

// One client that sends requests on one connection as fast as it can: other clients are served meanwhile, and
// the memory of the process stays bounded. Runs the real program.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

constexpr std::chrono::seconds kFloodTime{8};
constexpr int kMemoryMb = 32;
constexpr int kLongTimeoutMs = 40000;  // the longest that the class allows
constexpr int kRequestsAtOnce = 128;

// One kind of flood: `text` makes the request of this number.
struct Flood {
  const char* name;
  std::function<std::string(int number)> text;
  bool has_upstream = true;
};

void PrintTo(const Flood& flood, std::ostream* out) { *out << flood.name; }

// Sends requests until `until`, on a new connection whenever the sidecar has closed the last one.
int SendFlood(std::uint16_t port, const Flood& flood, std::chrono::steady_clock::time_point until) {
  int sent = 0;
  while (std::chrono::steady_clock::now() < until) {
    Client client(port);
    std::thread reading([&client] { client.wire.ReadUntilClosed(); });
    bool open = true;
    while (open && std::chrono::steady_clock::now() < until) {
      std::string requests;
      for (int i = 0; i < kRequestsAtOnce; ++i) requests += flood.text(sent + i);
      open = client.Send(requests);
      sent += kRequestsAtOnce;
    }
    boost::system::error_code ignored;
    client.wire.socket.shutdown(tcp::socket::shutdown_both, ignored);
    reading.join();
  }
  return sent;
}

class ClientFlood : public ::testing::TestWithParam<Flood> {};

// Guards against other clients that wait without end, and against memory that grows with each request.
TEST_P(ClientFlood, LeavesOtherClientsServedInBoundedMemory) {
  const Flood& flood = GetParam();
  Upstream upstream(Upstream::Echo("u1"));
  SidecarProcess::Options options =
      With(flood.has_upstream ? List({Target("u1", upstream.address())}) : json::array());
  options.memory_mb = kMemoryMb;
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  const auto until = std::chrono::steady_clock::now() + kFloodTime;
  int sent = 0;
  std::thread flooding([&] { sent = SendFlood(sidecar.port(), flood, until); });

  int answered = 0;
  Client other(sidecar.port());
  while (std::chrono::steady_clock::now() < until) {
    const auto response = other.Get("/page/k", "other" + std::to_string(answered));
    if (!response || response->result_int() != (flood.has_upstream ? 200U : 503U)) break;
    ++answered;
  }
  const bool all_answered = std::chrono::steady_clock::now() >= until;
  flooding.join();

  RecordProperty("sent", std::to_string(sent));
  RecordProperty("answered", std::to_string(answered));
  RecordProperty("peak_memory_kib", std::to_string(sidecar.peak_memory_kib()));
  EXPECT_TRUE(all_answered) << answered << " answered before\n" << sidecar.log();
  EXPECT_GT(answered, 0);
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
  EXPECT_LE(sidecar.peak_memory_kib(), std::size_t{kMemoryMb} * 1024);
#endif
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ClientFlood,
    ::testing::Values(
        Flood{"Served",
              [](int i) { return GetText("/page/k" + std::to_string(i), "f" + std::to_string(i)); }},
        Flood{"ServedLongTime",
              [](int i) { return GetText("/page/k", "f" + std::to_string(i), kLongTimeoutMs); }},
        Flood{"LongIds", [](int i) { return GetText("/page/k", std::string(100, 'i') + std::to_string(i)); }},
        Flood{"RefusedLongTime",
              [](int i) { return GetText("/page/k", "f" + std::to_string(i), kLongTimeoutMs); }, false},
        Flood{"RefusedUploads",
              [](int i) {
                return PostText("/submit/k", "f" + std::to_string(i), std::string(70000, 'u'),
                                kLongTimeoutMs);
              },
              false},
        Flood{"UnknownClasses",
              [](int i) { return GetText("/c" + std::to_string(i), "f" + std::to_string(i)); }},
        Flood{"HealthChecks", [](int) { return std::string("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"); }},
        Flood{"Malformed", [](int) { return std::string("GET\r\n\r\n"); }},
        Flood{"EmptyLines", [](int) { return std::string("\r\n\r\n\r\n\r\n"); }}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

}  // namespace
}  // namespace lb::sidecar::testing

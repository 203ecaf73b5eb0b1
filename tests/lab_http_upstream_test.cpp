// Tests of the lab's HTTP upstreams over loopback sockets.
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"
#include "lab/real/http_load.h"
#include "lab/real/http_upstream.h"
#include "tests/lab_stage.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

std::string GetText(const std::string& target, const std::string& headers = "X-Request-ID: 1\r\n") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

// A client connection that sends given texts and records the data received.
class Caller {
 public:
  Caller(Testbed& testbed, const tcp::endpoint& to) : testbed_(testbed), socket_(testbed.io) {
    socket_.async_connect(to, [this](error_code error) {
      connected = !error;
      ended = static_cast<bool>(error);
      end = error;
      if (!error) Read();
    });
  }
  // An exception here terminates the test program, which is intended.
  ~Caller() {  // NOLINT(bugprone-exception-escape)
    Close();
    testbed_.RunUntil([this] { return ended; });
  }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void Send(const std::string& text) {
    ASSERT_TRUE(testbed_.RunUntil([this] { return connected; }));
    boost::asio::write(socket_, boost::asio::buffer(text));
  }
  // Sends `text` and returns the whole response.
  std::string Ask(const std::string& text) {
    received.clear();
    Send(text);
    EXPECT_TRUE(testbed_.RunUntil([this] { return ended || IsWhole(); }));
    return received;
  }
  bool Ends() {
    return testbed_.RunUntil([this] { return ended; });
  }

  bool connected = false;
  bool ended = false;
  error_code end;
  std::string received;

 private:
  void Read() {
    socket_.async_read_some(boost::asio::buffer(bytes_), [this](error_code error, std::size_t size) {
      received.append(bytes_.data(), size);
      if (!error) return Read();
      end = error;
      ended = true;
    });
  }

  bool IsWhole() const {
    static constexpr std::string_view kLength = "Content-Length: ";
    const auto head_end = received.find("\r\n\r\n");
    const auto length = received.find(kLength);
    if (head_end == std::string::npos || length > head_end) return false;
    const auto size = std::stoul(received.substr(length + kLength.size()));
    return received.size() == head_end + 4 + size;
  }

  Testbed& testbed_;
  tcp::socket socket_;
  std::array<char, 1024> bytes_{};
};

TEST(LabHttpUpstream, AnswersAfterTheModelsServiceTimeAndRejectsRequestsWithoutAnId) {
  Testbed testbed(1);
  Caller caller(testbed, testbed.upstreams().endpoint(0));
  const std::string answer = caller.Ask(GetText("/read/7", "X-Request-ID: 1\r\nX-Work-Us: 30000\r\n"));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  const auto service = answer.find("X-Service-Us: ");
  ASSERT_NE(service, std::string::npos) << answer;
  EXPECT_GE(std::stoi(answer.substr(service + 14)), 30000);
  EXPECT_TRUE(caller.Ask(GetText("/read/7", "")).starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(caller.Ask(GetText("/alive")).starts_with("HTTP/1.1 404 "));
  const HttpUpstreamCounters& counters = testbed.upstreams().counters(0);
  EXPECT_EQ(counters.connections, 1U);
  EXPECT_EQ(counters.requests, 1U);
  EXPECT_EQ(counters.served, 1U);
  EXPECT_EQ(counters.invalid, 1U);
  EXPECT_EQ(counters.probes, 0U);
  EXPECT_EQ(testbed.upstreams().model(0).connections(), 1U);
  caller.Close();
  EXPECT_TRUE(testbed.RunUntil([&] { return testbed.upstreams().open_connections() == 0; }));
  EXPECT_EQ(testbed.upstreams().model(0).connections(), 0U);
}

TEST(LabHttpUpstream, AnswersAndCountsProbesIfTheyAreAllowed) {
  Testbed testbed(1, {.probes = true});
  Caller caller(testbed, testbed.upstreams().endpoint(0));
  const std::string probe = GetText("/metrics/load", "");
  const std::string report = caller.Ask(probe);
  EXPECT_TRUE(report.starts_with("HTTP/1.1 200 ")) << report;
  EXPECT_NE(report.find("\r\n\r\ninflight=0,queue=0,util="), std::string::npos) << report;
  EXPECT_TRUE(caller.Ask(GetText("/alive", "")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(testbed.upstreams().counters(0).probes, 2U);
  EXPECT_GT(testbed.upstreams().counters(0).probe_bytes, probe.size() + report.size());
}

TEST(LabHttpUpstream, RejectsRequestsWhileDrainingOrWithAFullConnectionTable) {
  Testbed testbed(1);
  testbed.kind.cores = 1;
  testbed.kind.connections_per_core = 1;
  Caller first(testbed, testbed.upstreams().endpoint(0));
  testbed.upstreams().SetDraining(0, true);
  const std::string drained = first.Ask(GetText("/read/7"));
  EXPECT_TRUE(drained.starts_with("HTTP/1.1 503 ")) << drained;
  EXPECT_NE(drained.find("X-Not-Processed: 1\r\n"), std::string::npos);
  testbed.upstreams().SetDraining(0, false);
  Caller second(testbed, testbed.upstreams().endpoint(0));
  const std::string full = second.Ask(GetText("/read/7"));
  EXPECT_NE(full.find("X-Not-Processed: 1\r\n"), std::string::npos) << full;
  EXPECT_TRUE(second.Ends());
  EXPECT_TRUE(first.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(testbed.upstreams().counters(0).rejected, 2U);
}

TEST(LabHttpUpstream, CrashResetsConnectionsAndRestartKeepsTheAddress) {
  Testbed testbed(1);
  const tcp::endpoint endpoint = testbed.upstreams().endpoint(0);
  Caller held(testbed, endpoint);
  held.Send(GetText("/read/7", "X-Request-ID: 1\r\nX-Work-Us: 60000000\r\n"));
  ASSERT_TRUE(testbed.RunUntil([&] { return testbed.upstreams().model(0).outstanding_requests() == 1; }));
  testbed.upstreams().Crash(0);
  EXPECT_TRUE(held.Ends());
  EXPECT_EQ(held.end, boost::asio::error::connection_reset);
  Caller refused(testbed, endpoint);
  EXPECT_TRUE(refused.Ends());
  EXPECT_EQ(refused.end, boost::asio::error::connection_refused);
  testbed.upstreams().Start(0);
  Caller again(testbed, endpoint);
  EXPECT_TRUE(again.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(testbed.upstreams().counters(0).abandoned, 1U);
  EXPECT_EQ(testbed.upstreams().model(0).connections(), 1U);
}

TEST(LabHttpUpstream, SendsNothingWhileHangingUntilTheCallerCloses) {
  Testbed testbed(1);
  Caller caller(testbed, testbed.upstreams().endpoint(0));
  ASSERT_TRUE(caller.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  testbed.upstreams().SetHanging(0, true);
  caller.received.clear();
  caller.Send(GetText("/read/7"));
  ASSERT_TRUE(testbed.RunUntil([&] { return testbed.upstreams().counters(0).requests == 2; }));
  testbed.RunFor(milliseconds(100));
  EXPECT_EQ(caller.received, "");
  EXPECT_FALSE(caller.ended);
  caller.Close();
  EXPECT_TRUE(testbed.RunUntil([&] { return testbed.upstreams().counters(0).abandoned == 1; }));
}

TEST(LabHttpUpstream, SilentMachineAcceptsNothingAndResetsOldConnectionsOnItsReturn) {
  Testbed testbed(1);
  const tcp::endpoint endpoint = testbed.upstreams().endpoint(0);
  Caller old(testbed, endpoint);
  ASSERT_TRUE(old.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  testbed.upstreams().SetSilent(0, true);
  std::vector<std::unique_ptr<Caller>> later;
  later.reserve(4);
  for (int i = 0; i < 4; ++i) later.push_back(std::make_unique<Caller>(testbed, endpoint));
  old.received.clear();
  old.Send(GetText("/read/7"));
  testbed.RunFor(milliseconds(200));
  EXPECT_FALSE(later.back()->connected);
  testbed.upstreams().Crash(0);
  testbed.upstreams().Start(0);
  testbed.RunFor(milliseconds(100));
  EXPECT_FALSE(old.ended);
  EXPECT_EQ(old.received, "");
  EXPECT_FALSE(later.back()->ended);
  testbed.upstreams().SetSilent(0, false);
  EXPECT_TRUE(old.Ends());
  EXPECT_EQ(old.end, boost::asio::error::connection_reset);
  EXPECT_TRUE(later.back()->Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
}

TEST(LabHttpUpstream, ClosesIdleConnections) {
  Testbed testbed(1);
  testbed.spec.idle_close = milliseconds(200);
  Caller caller(testbed, testbed.upstreams().endpoint(0));
  ASSERT_TRUE(caller.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(caller.Ends());
  EXPECT_EQ(caller.end, boost::asio::error::eof);
}

}  // namespace
}  // namespace lb::lab

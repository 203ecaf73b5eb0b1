// The lab's HTTP upstreams, over loopback sockets.
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

// A connection that says what a test tells it to, and keeps what comes back.
class Caller {
 public:
  Caller(Stage& stage, const tcp::endpoint& to) : stage_(stage), socket_(stage.io) {
    socket_.async_connect(to, [this](error_code error) {
      connected = !error;
      ended = static_cast<bool>(error);
      end = error;
      if (!error) Read();
    });
  }
  // An exception here ends the test program, as it should.
  ~Caller() {  // NOLINT(bugprone-exception-escape)
    Close();
    stage_.RunUntil([this] { return ended; });
  }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void Send(const std::string& text) {
    ASSERT_TRUE(stage_.RunUntil([this] { return connected; }));
    boost::asio::write(socket_, boost::asio::buffer(text));
  }
  // The whole answer to it.
  std::string Ask(const std::string& text) {
    received.clear();
    Send(text);
    EXPECT_TRUE(stage_.RunUntil([this] { return ended || IsWhole(); }));
    return received;
  }
  bool Ends() {
    return stage_.RunUntil([this] { return ended; });
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

  Stage& stage_;
  tcp::socket socket_;
  std::array<char, 1024> bytes_{};
};

TEST(LabHttpUpstream, AnswersWhenTheModelSaysAndOnlyWhatHasAnId) {
  Stage stage(1);
  Caller caller(stage, stage.upstreams().endpoint(0));
  const std::string answer = caller.Ask(GetText("/read/7", "X-Request-ID: 1\r\nX-Work-Us: 30000\r\n"));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  const auto service = answer.find("X-Service-Us: ");
  ASSERT_NE(service, std::string::npos) << answer;
  EXPECT_GE(std::stoi(answer.substr(service + 14)), 30000);
  EXPECT_TRUE(caller.Ask(GetText("/read/7", "")).starts_with("HTTP/1.1 404 "));
  EXPECT_TRUE(caller.Ask(GetText("/alive")).starts_with("HTTP/1.1 404 "));
  const HttpUpstreamCounters& counters = stage.upstreams().counters(0);
  EXPECT_EQ(counters.connections, 1U);
  EXPECT_EQ(counters.requests, 1U);
  EXPECT_EQ(counters.served, 1U);
  EXPECT_EQ(counters.bad, 1U);
  EXPECT_EQ(counters.probes, 0U);
  EXPECT_EQ(stage.upstreams().model(0).connections(), 1U);
  caller.Close();
  EXPECT_TRUE(stage.RunUntil([&] { return stage.upstreams().open_connections() == 0; }));
  EXPECT_EQ(stage.upstreams().model(0).connections(), 0U);
}

TEST(LabHttpUpstream, ProbesAreAnsweredAndCountedWhereTheyAreAllowed) {
  Stage stage(1, {.probes = true});
  Caller caller(stage, stage.upstreams().endpoint(0));
  const std::string probe = GetText("/metrics/load", "");
  const std::string report = caller.Ask(probe);
  EXPECT_TRUE(report.starts_with("HTTP/1.1 200 ")) << report;
  EXPECT_NE(report.find("\r\n\r\ninflight=0,queue=0,util="), std::string::npos) << report;
  EXPECT_TRUE(caller.Ask(GetText("/alive", "")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(stage.upstreams().counters(0).probes, 2U);
  EXPECT_GT(stage.upstreams().counters(0).probe_bytes, probe.size() + report.size());
}

TEST(LabHttpUpstream, TurnsAwayWhileDrainingAndWhereItsTableIsFull) {
  Stage stage(1);
  stage.kind.cores = 1;
  stage.kind.connections_per_core = 1;
  Caller first(stage, stage.upstreams().endpoint(0));
  stage.upstreams().SetDraining(0, true);
  const std::string drained = first.Ask(GetText("/read/7"));
  EXPECT_TRUE(drained.starts_with("HTTP/1.1 503 ")) << drained;
  EXPECT_NE(drained.find("X-Not-Processed: 1\r\n"), std::string::npos);
  stage.upstreams().SetDraining(0, false);
  Caller second(stage, stage.upstreams().endpoint(0));
  const std::string full = second.Ask(GetText("/read/7"));
  EXPECT_NE(full.find("X-Not-Processed: 1\r\n"), std::string::npos) << full;
  EXPECT_TRUE(second.Ends());
  EXPECT_TRUE(first.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(stage.upstreams().counters(0).turned_away, 2U);
}

TEST(LabHttpUpstream, CrashResetsRefusesAndComesBackAtTheSameAddress) {
  Stage stage(1);
  const tcp::endpoint endpoint = stage.upstreams().endpoint(0);
  Caller held(stage, endpoint);
  held.Send(GetText("/read/7", "X-Request-ID: 1\r\nX-Work-Us: 60000000\r\n"));
  ASSERT_TRUE(stage.RunUntil([&] { return stage.upstreams().model(0).held() == 1; }));
  stage.upstreams().Crash(0);
  EXPECT_TRUE(held.Ends());
  EXPECT_EQ(held.end, boost::asio::error::connection_reset);
  Caller refused(stage, endpoint);
  EXPECT_TRUE(refused.Ends());
  EXPECT_EQ(refused.end, boost::asio::error::connection_refused);
  stage.upstreams().Start(0);
  Caller again(stage, endpoint);
  EXPECT_TRUE(again.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(stage.upstreams().counters(0).abandoned, 1U);
  EXPECT_EQ(stage.upstreams().model(0).connections(), 1U);
}

TEST(LabHttpUpstream, WhoHangsSaysNothingUntilTheCallerGivesUp) {
  Stage stage(1);
  Caller caller(stage, stage.upstreams().endpoint(0));
  ASSERT_TRUE(caller.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  stage.upstreams().SetHanging(0, true);
  caller.received.clear();
  caller.Send(GetText("/read/7"));
  ASSERT_TRUE(stage.RunUntil([&] { return stage.upstreams().counters(0).requests == 2; }));
  stage.RunFor(milliseconds(100));
  EXPECT_EQ(caller.received, "");
  EXPECT_FALSE(caller.ended);
  caller.Close();
  EXPECT_TRUE(stage.RunUntil([&] { return stage.upstreams().counters(0).abandoned == 1; }));
}

TEST(LabHttpUpstream, ASilentMachineLetsNobodyInAndResetsAtItsReturnWhatItsProcessHeld) {
  Stage stage(1);
  const tcp::endpoint endpoint = stage.upstreams().endpoint(0);
  Caller old(stage, endpoint);
  ASSERT_TRUE(old.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  stage.upstreams().SetSilent(0, true);
  std::vector<std::unique_ptr<Caller>> later;
  later.reserve(4);
  for (int i = 0; i < 4; ++i) later.push_back(std::make_unique<Caller>(stage, endpoint));
  old.received.clear();
  old.Send(GetText("/read/7"));
  stage.RunFor(milliseconds(200));
  EXPECT_FALSE(later.back()->connected);
  stage.upstreams().Crash(0);
  stage.upstreams().Start(0);
  stage.RunFor(milliseconds(100));
  EXPECT_FALSE(old.ended);
  EXPECT_EQ(old.received, "");
  EXPECT_FALSE(later.back()->ended);
  stage.upstreams().SetSilent(0, false);
  EXPECT_TRUE(old.Ends());
  EXPECT_EQ(old.end, boost::asio::error::connection_reset);
  EXPECT_TRUE(later.back()->Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
}

TEST(LabHttpUpstream, ClosesWhatStandsIdle) {
  Stage stage(1);
  stage.spec.idle_close = milliseconds(200);
  Caller caller(stage, stage.upstreams().endpoint(0));
  ASSERT_TRUE(caller.Ask(GetText("/read/7")).starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(caller.Ends());
  EXPECT_EQ(caller.end, boost::asio::error::eof);
}

}  // namespace
}  // namespace lb::lab

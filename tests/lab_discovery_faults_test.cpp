// Tests of the faults of the emulated discovery service, and of the time at which a change counts as known to
// a sidecar.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/real/discovery_server.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWaitLimit = seconds(20);

// Makes one call and returns the answer; empty if the connection was refused or closed without one.
std::string Call(const tcp::endpoint& at, const std::string& target) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect(at, error);
  const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  if (!error) boost::asio::write(socket, boost::asio::buffer(request), error);
  std::string answer;
  if (!error) boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

struct KnownChanges {
  std::mutex mutex;
  std::vector<TimePoint> times;
  std::size_t count() {
    const std::lock_guard lock(mutex);
    return times.size();
  }
};

class DiscoveryFaults : public ::testing::Test {
 public:
  ~DiscoveryFaults() override { server_.reset(); }

 protected:
  DiscoveryFaults() {
    entry_.id = "u";
    entry_.endpoint = "127.0.0.1:9";
    DiscoveryServerOptions options;
    options.notice_delay_s = {0, 0};
    options.services = {std::nullopt};
    options.on_known = [this](std::size_t, const MembershipEntry&, TimePoint at) {
      const std::lock_guard lock(log_.mutex);
      log_.times.push_back(at);
    };
    server_ = std::make_unique<DiscoveryServer>(std::vector<MembershipEntry>{entry_}, std::move(options));
  }

  // Makes a change and returns the time until it counts as known; kWaitLimit if it does not by then.
  Duration Change() {
    const std::size_t before = log_.count();
    entry_.weight += 1;
    const TimePoint start = sidecar::Now();
    server_->Change(entry_);
    while (log_.count() == before && sidecar::Now() < start + kWaitLimit) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    const std::lock_guard lock(log_.mutex);
    return log_.times.size() > before ? log_.times[before] - start : kWaitLimit;
  }

  MembershipEntry entry_;
  KnownChanges log_;
  std::unique_ptr<DiscoveryServer> server_;
};

TEST_F(DiscoveryFaults, SilencedWatchDelaysKnownChanges) {
  EXPECT_LT(Change(), seconds(2));
  server_->SilenceWatches();
  EXPECT_GT(Change(), seconds(4));
}

TEST_F(DiscoveryFaults, MovedAgentAnswersOnlyAtNewAddress) {
  const auto before = server_->endpoint(0);
  const auto after = server_->Move(0);
  EXPECT_NE(before, after);
  EXPECT_EQ(Call(before, "/discovery/hosts"), "");
  const Duration delay = Change();
  EXPECT_GT(delay, seconds(2));
  EXPECT_LT(delay, seconds(6));
  EXPECT_NE(Call(after, "/discovery/hosts").find("200 OK"), std::string::npos);
}

TEST_F(DiscoveryFaults, SlowDiscoveryRejectsSomeCallsAndAnswersOthersInPieces) {
  server_->SetSlow(true);
  int whole = 0, rejected = 0, closed = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string answer = Call(server_->endpoint(0), "/discovery/hosts");
    if (answer.empty()) ++closed;
    if (answer.find(" 503 ") != std::string::npos) ++rejected;
    if (answer.find("\"targets\"") != std::string::npos && answer.back() == '}') ++whole;
  }
  EXPECT_EQ(closed, 4);
  EXPECT_EQ(rejected, 2);
  EXPECT_EQ(whole, 6);
}

TEST_F(DiscoveryFaults, LateDiscoveryAnswersWithTheListOfThatTime) {
  server_->SetAnswerDelay(milliseconds(500));
  const TimePoint start = sidecar::Now();
  auto answer = std::async([this] { return Call(server_->endpoint(0), "/discovery/hosts"); });
  entry_.weight += 1;
  const std::uint64_t revision = server_->Change(entry_);
  const std::string text = answer.get();
  EXPECT_GE(sidecar::Now() - start, milliseconds(500));
  EXPECT_NE(text.find("\"rev\":" + std::to_string(revision)), std::string::npos) << text;
}

TEST_F(DiscoveryFaults, BusyDiscoveryAnswersItsCallsInTurn) {
  constexpr auto kWork = milliseconds(200);
  server_->SetCallWork(kWork);
  const TimePoint start = sidecar::Now();
  constexpr int kCalls = 3;
  std::vector<std::future<std::string>> answers;
  answers.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    answers.push_back(std::async([this] { return Call(server_->endpoint(0), "/discovery/hosts"); }));
  }
  for (auto& answer : answers) EXPECT_NE(answer.get().find("200 OK"), std::string::npos);
  EXPECT_GE(sidecar::Now() - start, kCalls * kWork);
}

}  // namespace
}  // namespace lb::lab

// Counters of the emulated clients for a sidecar that does not respond: stalled clients and dropped requests.
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/model/scheduler.h"
#include "lab/real/http_load.h"
#include "lab/real/stalled_clients.h"
#include "lab/spec/experiment.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWaitLimit = seconds(20);

// A fake sidecar on loopback. Calls `on_request` with a connection each time a request header has been
// received; the callback may write to the connection, close it or leave it open.
class SidecarStandIn {
 public:
  using Connection = std::shared_ptr<tcp::socket>;

  explicit SidecarStandIn(std::function<void(Connection)> on_request) : on_request_(std::move(on_request)) {
    Accept();
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(20));
    return condition();
  }

  void Read(const Connection& connection) {
    const auto text = std::make_shared<std::string>();
    boost::asio::async_read_until(*connection, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
                                  [this, connection, text](error_code error, std::size_t) {
                                    if (!error) on_request_(connection);
                                  });
  }

  // Sends a response with status 200 and reads the next request.
  void Answer(const Connection& connection) {
    static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(*connection, boost::asio::buffer(kAnswer));
    Read(connection);
  }

  boost::asio::io_context io;
  std::set<Connection> open;

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      const auto connection = std::make_shared<tcp::socket>(std::move(socket));
      open.insert(connection);
      Read(connection);
      Accept();
    });
  }

  std::function<void(Connection)> on_request_;
  tcp::acceptor acceptor_{io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

TEST(StalledClients, CountAsUnansweredIfTheSidecarNeverResponds) {
  SidecarStandIn silent([](const SidecarStandIn::Connection&) {});
  RealScheduler scheduler(silent.io);
  StalledClients clients(silent.io, scheduler);
  for (const StallPoint point : {StallPoint::kRequestLine, StallPoint::kHeaders, StallPoint::kBody}) {
    clients.Begin(silent.endpoint(), "read", point);
  }
  const TimePoint begun = sidecar::Now();
  ASSERT_TRUE(silent.RunUntil([&] { return clients.open() == 0; }));
  EXPECT_GE(sidecar::Now() - begun, kStalledClientLimit);
  const StalledClientCounters counters = clients.Take();
  EXPECT_EQ(counters.begun, 3u);
  EXPECT_EQ(counters.unanswered, 3u);
  EXPECT_EQ(counters.in_time, 0u);
}

TEST(StalledClients, CountAsInTimeAfterAResponseOrAClose) {
  SidecarStandIn peer([](const SidecarStandIn::Connection&) {});
  RealScheduler scheduler(peer.io);
  StalledClients clients(peer.io, scheduler);
  clients.Begin(peer.endpoint(), "read", StallPoint::kHeaders);
  clients.Begin(peer.endpoint(), "read", StallPoint::kBody);
  ASSERT_TRUE(peer.RunUntil([&] { return peer.open.size() == 2; }));
  boost::asio::write(**peer.open.begin(),
                     boost::asio::buffer(std::string("HTTP/1.1 408 Request Timeout\r\n\r\n")));
  (*peer.open.rbegin())->close();
  ASSERT_TRUE(peer.RunUntil([&] { return clients.open() == 0; }));
  EXPECT_EQ(clients.Take().in_time, 2u);
}

// Runs a load against a fake sidecar that handles requests with `on_request`, and returns the load's counts.
LoadWindow RunLoad(const std::function<void(SidecarStandIn&, const SidecarStandIn::Connection&)>& on_request,
                   Duration late_answer_wait, std::size_t requests = 5) {
  SidecarStandIn* itself = nullptr;
  SidecarStandIn peer([&](const SidecarStandIn::Connection& connection) { on_request(*itself, connection); });
  itself = &peer;
  RealScheduler scheduler(peer.io);
  ClassSpec spec;
  spec.name = "read";
  spec.mean_work = milliseconds(1);
  spec.latency_objective = spec.deadline = milliseconds(600);
  ClientSpec clients;
  clients.retries = 0;
  clients.try_share = 1;
  clients.late_answer_wait = late_answer_wait;
  const std::vector<ClassSpec> classes = {spec};
  HttpLoad load(peer.io, scheduler, clients, classes, {{peer.endpoint(), 50, 0}}, 1);
  load.Start();
  EXPECT_TRUE(peer.RunUntil([&] { return load.begun() >= requests; }));
  load.Stop();
  EXPECT_TRUE(peer.RunUntil([&] { return load.in_flight() == 0; }));
  return load.Take();
}

TEST(DroppedRequests, AreThoseNeverAnsweredOrClosedUnanswered) {
  const auto close = [](SidecarStandIn&, const SidecarStandIn::Connection& connection) {
    connection->close();
  };
  const auto keep = [](SidecarStandIn&, const SidecarStandIn::Connection&) {};
  const auto answer = [](SidecarStandIn& peer, const SidecarStandIn::Connection& connection) {
    peer.Answer(connection);
  };
  const LoadWindow closed = RunLoad(close, milliseconds(100));
  EXPECT_EQ(closed.dropped, closed.traffic.requests);
  const LoadWindow silent = RunLoad(keep, milliseconds(100));
  EXPECT_EQ(silent.dropped, silent.traffic.requests);
  EXPECT_EQ(silent.unanswered, silent.traffic.requests);
  EXPECT_EQ(RunLoad(keep, {}).dropped, 0u) << "tries whose client closes at its time-out are not counted";
  EXPECT_EQ(RunLoad(answer, milliseconds(100)).dropped, 0u);
}

TEST(DroppedRequests, AreNotThoseAnsweredWhileTheirClientListensOn) {
  // The response comes after the client's time-out of 600 ms, but well within the 5 s for which the client
  // keeps the connection open.
  const auto late = [](SidecarStandIn& peer, const SidecarStandIn::Connection& connection) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(peer.io, milliseconds(700));
    timer->async_wait([&peer, connection, timer](error_code) { peer.Answer(connection); });
  };
  const LoadWindow window = RunLoad(late, seconds(5));
  EXPECT_EQ(window.unanswered, window.traffic.requests);
  EXPECT_EQ(window.dropped, 0u);
}

TEST(DroppedRequests, AreThoseReadOnAnIdleConnectionAndClosedMuchLater) {
  // The first request of each connection is answered; the second one gets no response, and the connection is
  // closed 400 ms later.
  std::set<const tcp::socket*> answered;
  const auto hold = [&](SidecarStandIn& peer, const SidecarStandIn::Connection& connection) {
    if (answered.insert(connection.get()).second) return peer.Answer(connection);
    const auto timer = std::make_shared<boost::asio::steady_timer>(peer.io, milliseconds(400));
    timer->async_wait([connection, timer](error_code) { connection->close(); });
  };
  const LoadWindow window = RunLoad(hold, milliseconds(100), 20);
  EXPECT_GT(window.dropped, 0u);
}

}  // namespace
}  // namespace lb::lab

// Tests of the lab's HTTP load generator over loopback sockets.
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
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

TEST(LabHttpLoad, CountsOnBothSidesAgree) {
  Testbed testbed(2);
  const LoadWindow window =
      testbed.RunLoad({{testbed.upstreams().endpoint(0), 300}, {testbed.upstreams().endpoint(1), 100}}, 300);
  EXPECT_EQ(window.traffic.in_time, window.traffic.requests);
  EXPECT_EQ(window.added_ms.count(), window.traffic.requests);
  EXPECT_EQ(testbed.upstreams().TotalCounters().requests, window.traffic.requests);
  // Expects three quarters of the requests, with a tolerance of five standard deviations.
  const auto share = static_cast<double>(testbed.upstreams().counters(0).requests) /
                     static_cast<double>(window.traffic.requests);
  EXPECT_NEAR(share, 0.75, 0.13);
  EXPECT_GT(window.latency_ms.mean(), 0.9);  // the mean service time is 1 ms
  EXPECT_LT(window.added_ms.mean(), window.latency_ms.mean());
  EXPECT_GE(window.added_ms.Percentile(0), 0);
}

TEST(LabHttpLoad, RetriesRepeatableRequestsAndCountsUnansweredOnes) {
  Testbed testbed(1);
  testbed.classes = {Testbed::Class("read", lb::Idempotency::kIdempotent)};
  testbed.clients.backoff = milliseconds(1);
  testbed.upstreams().SetDraining(0, true);
  const LoadWindow refused = testbed.RunLoad({{testbed.upstreams().endpoint(0), 200}}, 20);
  EXPECT_EQ(refused.traffic.refused, refused.traffic.requests);
  EXPECT_EQ(refused.traffic.client_retries, refused.traffic.requests);
  EXPECT_EQ(testbed.upstreams().counters(0).requests, 2 * refused.traffic.requests);
  testbed.upstreams().SetDraining(0, false);

  testbed.classes[0].deadline = milliseconds(300);
  testbed.upstreams().SetHanging(0, true);
  const LoadWindow silent = testbed.RunLoad({{testbed.upstreams().endpoint(0), 200}}, 20);
  EXPECT_EQ(silent.unanswered, silent.traffic.requests);
  EXPECT_EQ(silent.traffic.failed, silent.traffic.requests);
  EXPECT_EQ(silent.traffic.client_retries, silent.traffic.requests);

  testbed.classes[0].idempotency = lb::Idempotency::kNotIdempotent;
  EXPECT_EQ(testbed.RunLoad({{testbed.upstreams().endpoint(0), 200}}, 20).traffic.client_retries, 0U);
}

TEST(LabHttpLoad, AppliesTheFactorAtOnceAndReusesConnections) {
  Testbed testbed(1);
  const auto load = testbed.Load({{testbed.upstreams().endpoint(0), 100}});
  load->SetFactor(0);
  load->Start();
  testbed.RunFor(milliseconds(200));
  EXPECT_EQ(load->begun(), 0U);
  load->SetFactor(5);
  ASSERT_TRUE(testbed.RunUntil([&] { return load->begun() >= 200; }));
  load->Stop();
  ASSERT_TRUE(testbed.RunUntil([&] { return load->in_flight() == 0; }));
  EXPECT_GE(load->connections(), 1U);
  EXPECT_LT(testbed.upstreams().counters(0).connections, load->begun() / 2);
}

// A fake sidecar that answers the n-th request, counted over all connections, with the n-th of `answers`, and
// further requests with the last one. An empty answer closes the connection.
class ScriptedSidecar {
 public:
  ScriptedSidecar(Testbed& testbed, std::vector<std::string> answers)
      : acceptor_(testbed.io, {boost::asio::ip::address_v4::loopback(), 0}), answers_(std::move(answers)) {
    Accept();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::vector<std::string> requests;
  std::vector<std::chrono::steady_clock::time_point> times;

 private:
  struct Session {
    tcp::socket socket;
    std::string buffer;
  };
  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      Read(std::make_shared<Session>(Session{std::move(socket), {}}));
      Accept();
    });
  }
  void Read(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(session->socket, boost::asio::dynamic_buffer(session->buffer), "\r\n\r\n",
                                  [this, session](error_code error, std::size_t size) {
                                    if (error) return;
                                    requests.push_back(session->buffer.substr(0, size));
                                    times.push_back(std::chrono::steady_clock::now());
                                    session->buffer.erase(0, size);
                                    const auto& answer =
                                        answers_[std::min(requests.size(), answers_.size()) - 1];
                                    if (answer.empty()) return session->socket.close();
                                    boost::asio::write(session->socket, boost::asio::buffer(answer));
                                    Read(session);
                                  });
  }

  tcp::acceptor acceptor_;
  std::vector<std::string> answers_;
};

constexpr char kServed[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";

TEST(LabHttpLoad, WaitsForRetryAfterIfItsClientsHeedIt) {
  Testbed testbed(0);
  testbed.clients.backoff = milliseconds(1);
  for (const bool heeds : {true, false}) {
    testbed.clients.honors_retry_after = heeds ? 1 : 0;
    ScriptedSidecar sidecar(testbed,
                            {"HTTP/1.1 503 x\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n", kServed});
    const auto load = testbed.Load({{sidecar.endpoint(), 1000}});
    load->Start();
    ASSERT_TRUE(testbed.RunUntil([&] { return load->begun() == 1; }));
    load->Stop();
    ASSERT_TRUE(testbed.RunUntil([&] { return load->in_flight() == 0; }));
    ASSERT_EQ(sidecar.requests.size(), 2U);
    EXPECT_EQ(sidecar.times[1] - sidecar.times[0] >= milliseconds(390), heeds);
    EXPECT_NE(sidecar.requests[1].find("X-Retried: 1\r\n"), std::string::npos);
    EXPECT_EQ(load->Take().traffic.in_time, 1U);
  }
}

TEST(LabHttpLoad, ResendsARequestThatCrossedTheCloseOfAnIdleConnection) {
  Testbed testbed(0);
  testbed.clients.retries = 0;
  ScriptedSidecar sidecar(testbed, {kServed, "", kServed});
  const auto load = testbed.Load({{sidecar.endpoint(), 50}});
  load->Start();
  ASSERT_TRUE(testbed.RunUntil([&] { return load->begun() >= 2; }));
  load->Stop();
  ASSERT_TRUE(testbed.RunUntil([&] { return load->in_flight() == 0; }));
  ASSERT_EQ(sidecar.requests.size(), load->begun() + 1);
  EXPECT_EQ(sidecar.requests[1], sidecar.requests[2]);
  EXPECT_EQ(load->Take().traffic.in_time, load->begun());
}

}  // namespace
}  // namespace lb::lab

// Tests of a real sidecar process between the HTTP load and the HTTP upstreams of the lab.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>

#include "gtest/gtest.h"
#include "lab/real/http_load.h"
#include "lab/real/http_upstream.h"
#include "lab/real/process.h"
#include "lab/real/sidecar_config.h"
#include "settings/config.h"
#include "tests/lab_stage.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Of a sidecar process, in MB.
#ifdef __SANITIZE_ADDRESS__
// The address sanitizer retains up to 256 MB of freed memory to detect its use.
constexpr double kMaxMemoryMb = 64 + 256;
#else
constexpr double kMaxMemoryMb = 64;
#endif

class LabRealSidecar : public ::testing::Test {
 protected:
  void StartSidecar() {
    SidecarConfig config;
    config.name = "n1";
    config.discovery = "127.0.0.1:1";  // refuses connections
    config.seed = 7;
    config.known = testbed_.EndpointList();
    config.settings.zone = "a";
    for (const ClassSpec& spec : testbed_.classes) {
      lb::RequestClass request_class;
      request_class.name = spec.name;
      request_class.latency_objective = spec.latency_objective;
      request_class.deadline = spec.deadline;
      request_class.idempotency = spec.idempotency;
      request_class.key_window = spec.key_window;
      config.settings.classes.push_back(request_class);
    }
    sidecar_ = std::make_unique<SidecarProcess>(LB_SIDECAR_PROGRAM, folder_.path(), config);
    sidecar_->Start();
    ASSERT_TRUE(sidecar_->AwaitReady(kWaitLimit)) << sidecar_->process().Log();
  }
  LoadWindow RunLoad(std::uint64_t requests) {
    return testbed_.RunLoad({{sidecar_->listen(), 400}}, requests);
  }

  Folder folder_;
  Testbed testbed_{4};
  std::unique_ptr<SidecarProcess> sidecar_;
};

TEST_F(LabRealSidecar, ServesEveryRequestAndUsesProcessorTimeForIt) {
  testbed_.classes = {Testbed::Class("read", lb::Idempotency::kIdempotent),
                      Testbed::Class("order", lb::Idempotency::kIdempotencyKey),
                      Testbed::Class("pay", lb::Idempotency::kNotIdempotent)};
  StartSidecar();
  const auto before = sidecar_->process().Usage();
  const LoadWindow window = RunLoad(500);
  EXPECT_EQ(window.traffic.in_time, window.traffic.requests);
  EXPECT_EQ(testbed_.upstreams().TotalCounters().served, window.traffic.requests);
  EXPECT_EQ(testbed_.upstreams().TotalCounters().invalid, 0U);
  EXPECT_EQ(window.added_ms.count(), window.traffic.requests);
  EXPECT_GT(window.added_ms.mean(), 0);
  EXPECT_LT(window.added_ms.mean(), window.latency_ms.mean());
  const auto after = sidecar_->process().Usage();
  ASSERT_TRUE(before && after);
  EXPECT_GT(after->cpu_s, before->cpu_s);
  EXPECT_GT(after->memory_mb, 0.5);
  EXPECT_LT(after->memory_mb, kMaxMemoryMb);
  EXPECT_GT(after->descriptors, before->descriptors);
  EXPECT_EQ(sidecar_->process().Stop(kStopLimit).code, 0);
}

TEST_F(LabRealSidecar, LosesRequestsWhenKilledAndServesAgainAtItsAddress) {
  StartSidecar();
  const tcp::endpoint listen = sidecar_->listen();
  const auto load = testbed_.Load({{listen, 400}});
  load->Start();
  ASSERT_TRUE(testbed_.RunUntil([&] { return load->begun() >= 50; }));
  EXPECT_EQ(sidecar_->process().Kill().signal, SIGKILL);
  testbed_.RunFor(milliseconds(300));
  // The port stays reserved while the sidecar does not run.
  boost::asio::io_context other;
  tcp::acceptor taking(other, tcp::v4());
  error_code taken;
  taking.bind(listen, taken);
  EXPECT_EQ(taken, boost::asio::error::address_in_use);
  sidecar_->Start();
  ASSERT_TRUE(sidecar_->AwaitReady(kWaitLimit));
  EXPECT_EQ(sidecar_->listen(), listen);
  load->Stop();
  ASSERT_TRUE(testbed_.RunUntil([&] { return load->in_flight() == 0; }));
  EXPECT_GT(load->Take().traffic.failed, 0U);
  EXPECT_EQ(load->Take().traffic.requests, 0U);
  const LoadWindow window = RunLoad(100);
  EXPECT_EQ(window.traffic.in_time, window.traffic.requests);
}

// The number of attempts at `upstream` that ended with the outcome `how` according to the sidecar's log.
std::uint64_t AttemptsThatEnded(const std::string& log, const std::string& upstream, const std::string& how) {
  std::istringstream stream(log);
  std::uint64_t count = 0;
  const std::string fields = " upstream=" + upstream + " outcome=" + how + " ";
  for (std::string line; std::getline(stream, line);) {
    const bool failed = line.find(": attempt_failed ") != std::string::npos;
    if (failed && line.find(fields) != std::string::npos) ++count;
  }
  return count;
}

TEST_F(LabRealSidecar, ReportsACrashAsResetsAndAHangAsTimeoutsAndRetriesElsewhere) {
  testbed_.classes[0].mean_work = milliseconds(5);
  StartSidecar();
  const auto load = testbed_.Load({{sidecar_->listen(), 150}});
  const auto holds = [&](std::size_t upstream) {
    return testbed_.upstreams().model(upstream).outstanding_requests() > 0;
  };
  load->Start();
  ASSERT_TRUE(testbed_.RunUntil([&] { return load->begun() >= 100 && holds(0); }));
  const std::size_t held_at_crash = testbed_.upstreams().model(0).outstanding_requests();
  testbed_.upstreams().Crash(0);
  EXPECT_EQ(testbed_.upstreams().counters(0).abandoned, held_at_crash);
  ASSERT_TRUE(testbed_.RunUntil([&] { return load->begun() >= 300 && holds(1); }));
  testbed_.upstreams().SetHanging(1, true);
  ASSERT_TRUE(testbed_.RunUntil([&] { return testbed_.upstreams().counters(1).abandoned > 0; }));
  load->Stop();
  ASSERT_TRUE(testbed_.RunUntil([&] { return load->in_flight() == 0; }));
  const std::string log = sidecar_->process().Log();
  EXPECT_GE(AttemptsThatEnded(log, "u0", "reset"), held_at_crash) << log;
  const std::uint64_t timeouts = AttemptsThatEnded(log, "u1", "timeout");
  EXPECT_GT(timeouts, 0U) << log;
  EXPECT_LE(timeouts, testbed_.upstreams().counters(1).abandoned) << log;
  const TrafficCounters traffic = load->Take().traffic;
  EXPECT_EQ(traffic.requests, load->begun());
  // The sidecar decides which failed attempts it may and can repeat in time, so not all requests need to be
  // served, but nine out of ten must be.
  EXPECT_GT(traffic.in_time + traffic.late, traffic.requests * 9 / 10) << log;
  EXPECT_GT(testbed_.upstreams().TotalCounters().requests, traffic.in_time + traffic.late);
}

}  // namespace
}  // namespace lb::lab

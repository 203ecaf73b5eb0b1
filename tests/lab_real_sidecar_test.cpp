// A real sidecar between the HTTP load and the HTTP upstreams of the lab.
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

class LabRealSidecar : public ::testing::Test {
 protected:
  void StartSidecar() {
    SidecarConfig config;
    config.name = "n1";
    config.discovery = "127.0.0.1:1";  // refuses
    config.seed = 7;
    config.known = stage_.Known();
    config.settings.zone = "a";
    for (const ClassSpec& spec : stage_.classes) {
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
  LoadWindow Play(std::uint64_t requests) { return stage_.Play({{sidecar_->listen(), 400}}, requests); }

  Folder folder_;
  Stage stage_{4};
  std::unique_ptr<SidecarProcess> sidecar_;
};

TEST_F(LabRealSidecar, ServesEveryRequestAndUsesProcessorTimeForIt) {
  stage_.classes = {Stage::Class("read", lb::Idempotency::kIdempotent),
                    Stage::Class("order", lb::Idempotency::kIdempotencyKey),
                    Stage::Class("pay", lb::Idempotency::kNotIdempotent)};
  StartSidecar();
  const auto before = sidecar_->process().Usage();
  const LoadWindow window = Play(500);
  EXPECT_EQ(window.traffic.in_time, window.traffic.requests);
  EXPECT_EQ(stage_.upstreams().TotalCounters().served, window.traffic.requests);
  EXPECT_EQ(stage_.upstreams().TotalCounters().bad, 0U);
  EXPECT_EQ(window.added_ms.count(), window.traffic.requests);
  EXPECT_GT(window.added_ms.mean(), 0);
  EXPECT_LT(window.added_ms.mean(), window.latency_ms.mean());
  const auto after = sidecar_->process().Usage();
  ASSERT_TRUE(before && after);
  EXPECT_GT(after->cpu_s, before->cpu_s);
  EXPECT_GT(after->memory_mb, 0.5);
  EXPECT_LT(after->memory_mb, 64);
  EXPECT_GT(after->descriptors, before->descriptors);
  EXPECT_EQ(sidecar_->process().Stop(kStopLimit).code, 0);
}

TEST_F(LabRealSidecar, KilledItLosesRequestsAndServesAgainAtItsAddress) {
  StartSidecar();
  const tcp::endpoint listen = sidecar_->listen();
  const auto load = stage_.Load({{listen, 400}});
  load->Start();
  ASSERT_TRUE(stage_.RunUntil([&] { return load->begun() >= 50; }));
  EXPECT_EQ(sidecar_->process().Kill().signal, SIGKILL);
  stage_.RunFor(milliseconds(300));
  // Nobody else gets its port meanwhile.
  boost::asio::io_context other;
  tcp::acceptor taking(other, tcp::v4());
  error_code taken;
  taking.bind(listen, taken);
  EXPECT_EQ(taken, boost::asio::error::address_in_use);
  sidecar_->Start();
  ASSERT_TRUE(sidecar_->AwaitReady(kWaitLimit));
  EXPECT_EQ(sidecar_->listen(), listen);
  load->Stop();
  ASSERT_TRUE(stage_.RunUntil([&] { return load->under_way() == 0; }));
  EXPECT_GT(load->Take().traffic.failed, 0U);
  EXPECT_EQ(load->Take().traffic.requests, 0U);
  const LoadWindow window = Play(100);
  EXPECT_EQ(window.traffic.in_time, window.traffic.requests);
}

// How many attempts at that upstream the sidecar's log tells to have ended so.
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

TEST_F(LabRealSidecar, SeesACrashAsResetsAndAHangAsTimeoutsAndTriesElsewhere) {
  stage_.classes[0].mean_work = milliseconds(5);
  StartSidecar();
  const auto load = stage_.Load({{sidecar_->listen(), 150}});
  const auto holds = [&](std::size_t upstream) { return stage_.upstreams().model(upstream).held() > 0; };
  load->Start();
  ASSERT_TRUE(stage_.RunUntil([&] { return load->begun() >= 100 && holds(0); }));
  const std::size_t held_at_crash = stage_.upstreams().model(0).held();
  stage_.upstreams().Crash(0);
  EXPECT_EQ(stage_.upstreams().counters(0).abandoned, held_at_crash);
  ASSERT_TRUE(stage_.RunUntil([&] { return load->begun() >= 300 && holds(1); }));
  stage_.upstreams().SetHanging(1, true);
  ASSERT_TRUE(stage_.RunUntil([&] { return stage_.upstreams().counters(1).abandoned > 0; }));
  load->Stop();
  ASSERT_TRUE(stage_.RunUntil([&] { return load->under_way() == 0; }));
  const std::string log = sidecar_->process().Log();
  EXPECT_GE(AttemptsThatEnded(log, "u0", "reset"), held_at_crash) << log;
  const std::uint64_t timeouts = AttemptsThatEnded(log, "u1", "timeout");
  EXPECT_GT(timeouts, 0U) << log;
  EXPECT_LE(timeouts, stage_.upstreams().counters(1).abandoned) << log;
  const TrafficCounters traffic = load->Take().traffic;
  EXPECT_EQ(traffic.requests, load->begun());
  // Which ones it may repeat and has the time for is the sidecar's to decide; most of all must be served.
  EXPECT_GT(traffic.in_time + traffic.late, traffic.requests * 9 / 10) << log;
  EXPECT_GT(stage_.upstreams().TotalCounters().requests, traffic.in_time + traffic.late);
}

}  // namespace
}  // namespace lb::lab

// Testbed for tests over loopback sockets: the lab's HTTP upstreams and HTTP load on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/real/http_load.h"
#include "lab/real/http_upstream.h"
#include "nlohmann/json.hpp"

namespace lb::lab {

// Time limit for a condition that normally holds at once; far longer than a busy machine needs.
inline constexpr Duration kWaitLimit = std::chrono::seconds(20);
// Time limit for a process to end after SIGTERM.
inline constexpr Duration kStopLimit = std::chrono::seconds(10);

// A temporary directory, removed with the object.
class Folder {
 public:
  Folder() {
    std::string name = std::filesystem::temp_directory_path() / "lab-processes-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
    path_ = name;
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Upstreams of one kind, on an io_context that runs only inside RunUntil() and RunFor().
class Testbed {
 public:
  explicit Testbed(std::size_t upstreams, HttpUpstreamOptions options = {}) : options_(std::move(options)) {
    kind.cores = 2;
    spec.idle_close = std::chrono::seconds(60);
    for (std::size_t i = 0; i < upstreams; ++i) {
      UpstreamInstance instance;
      instance.index = i;
      instance.id = "u" + std::to_string(i);
      instance.kind = &kind;
      deployment.upstreams.push_back(instance);
    }
    classes = {Class("read", lb::Idempotency::kIdempotent)};
  }

  static ClassSpec Class(const std::string& name, lb::Idempotency idempotency) {
    ClassSpec spec;
    spec.name = name;
    spec.idempotency = idempotency;
    spec.mean_work = std::chrono::milliseconds(1);
    spec.work_variation = 0.5;
    spec.latency_objective = std::chrono::seconds(2);
    spec.deadline = std::chrono::seconds(4);
    return spec;
  }

  // Created at first use, so that a test can change the specification before.
  HttpUpstreams& upstreams() {
    if (!upstreams_) upstreams_ = std::make_unique<HttpUpstreams>(io, scheduler, deployment, spec, options_);
    return *upstreams_;
  }

  std::unique_ptr<HttpLoad> Load(const std::vector<LoadTarget>& targets) {
    return std::make_unique<HttpLoad>(io, scheduler, clients, classes, targets, 5);
  }

  // Runs a load until at least `requests` requests have begun and all have ended. Checks that the counts are
  // consistent.
  LoadWindow RunLoad(const std::vector<LoadTarget>& targets, std::uint64_t requests) {
    const auto load = Load(targets);
    load->Start();
    EXPECT_TRUE(RunUntil([&] { return load->begun() >= requests; }));
    load->Stop();
    EXPECT_TRUE(RunUntil([&] { return load->in_flight() == 0; }));
    EXPECT_GE(load->begun(), requests);
    LoadWindow window = load->Take();
    const TrafficCounters& counted = window.traffic;
    EXPECT_EQ(counted.requests, load->begun());
    EXPECT_EQ(counted.in_time + counted.late + counted.refused + counted.failed, counted.requests);
    EXPECT_EQ(window.latency_ms.count(), counted.in_time + counted.late);
    return window;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  void RunFor(Duration duration) { io.run_for(duration); }

  // The endpoint list of all upstreams in discovery's format, for SidecarConfig::known.
  nlohmann::json EndpointList() {
    nlohmann::json targets = nlohmann::json::array();
    for (std::size_t i = 0; i < deployment.upstreams.size(); ++i) {
      targets.push_back({{"uid", deployment.upstreams[i].id},
                         {"endpoint", upstreams().address(i)},
                         {"az", "a"},
                         {"model", "m"},
                         {"pod_group", 0},
                         {"state", "active"},
                         {"capacity_hint", 1.0},
                         {"boot_ms", 0}});
    }
    return {{"rev", 1}, {"all", true}, {"targets", targets}};
  }

  boost::asio::io_context io;
  RealScheduler scheduler{io};
  KindSpec kind;
  UpstreamSpec spec;
  ClientSpec clients;
  std::vector<ClassSpec> classes;
  Deployment deployment;

 private:
  HttpUpstreamOptions options_;
  std::unique_ptr<HttpUpstreams> upstreams_;
};

}  // namespace lb::lab

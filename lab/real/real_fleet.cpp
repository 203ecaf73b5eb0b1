#include "lab/real/real_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {
namespace {

constexpr Duration kReadyTimeout = std::chrono::seconds(30);
// For a call on another, possibly busy thread.
constexpr Duration kThreadTimeout = std::chrono::seconds(10);

}  // namespace

TemporaryFolder::TemporaryFolder()
    : path_((std::filesystem::temp_directory_path() / "lb-lab-XXXXXX").string()) {
  if (::mkdtemp(path_.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "mkdtemp " + path_);
  }
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

RealFleet::RealFleet(const Experiment& experiment, const Deployment& deployment, std::string program,
                     HttpUpstreamOptions options)
    : experiment_(experiment), deployment_(deployment), program_(std::move(program)) {
  options.probes = experiment.sidecars.probes;
  upstreams_ = std::make_unique<HttpUpstreams>(upstream_thread_.io(), upstream_scheduler_, deployment,
                                               experiment.upstreams, options);
  upstream_thread_.Start();
}

RealFleet::~RealFleet() {
  load_thread_.Stop();
  upstream_thread_.Stop();
}

void RealFleet::StartSidecars(const DiscoveryServer& discovery, const MembershipRegistry& registry) {
  std::vector<LoadTarget> targets;
  const bool clocks_are_stepped =
      std::any_of(deployment_.faults.begin(), deployment_.faults.end(),
                  [](const FaultEvent& fault) { return fault.kind == FaultKind::kClockStepped; });
  for (const SidecarInstance& instance : deployment_.sidecars) {
    if (!instance.real) continue;
    SidecarConfig config;
    config.name = instance.name;
    config.discovery = lb::ToText(discovery.endpoint(instance.index));
    config.seed = instance.seed;
    config.memory_mb = experiment_.sidecars.memory_mb;
    config.sockets = static_cast<std::size_t>(experiment_.sidecars.sockets);
    config.known = ToJson(registry.Since(std::nullopt, ListedService(experiment_, instance)));
    config.settings = SidecarSettings(experiment_, deployment_, instance);
    members_.push_back({instance.index, SidecarProcess(program_, folder_.path(), std::move(config))});
    if (clocks_are_stepped) members_.back().process.UseOwnWallClock(folder_.path());
    members_.back().process.Start();
    targets.push_back({members_.back().process.listen(), instance.requests_per_s, instance.index});
  }
  for (Member& member : members_) {
    if (member.process.AwaitReady(kReadyTimeout)) continue;
    throw std::runtime_error("sidecar " + member.process.config().name + " is not ready");
  }
  load_ =
      std::make_unique<HttpLoad>(load_thread_.io(), load_scheduler_, experiment_.clients, experiment_.classes,
                                 std::move(targets), DeriveSeed(experiment_.seed, "http load"));
  load_thread_.Start();
}

void RealFleet::StartLoad() {
  load_thread_.Post([this] { load_->Start(); });
}

void RealFleet::StopLoad() {
  load_thread_.Post([this] { load_->Stop(); });
}

std::size_t RealFleet::OpenRequests() {
  return load_thread_.RunAndWait([this] { return load_->in_flight(); }, kThreadTimeout);
}

void RealFleet::SetLoadFactor(double factor) {
  load_thread_.Post([this, factor] { load_->SetFactor(factor); });
}

void RealFleet::PostToUpstreams(std::function<void(HttpUpstreams&)> task) {
  upstream_thread_.Post([this, task = std::move(task)] { task(*upstreams_); });
}

RealFleet::Member* RealFleet::Find(std::size_t sidecar) {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [=](const Member& member) { return member.sidecar == sidecar; });
  return found == members_.end() ? nullptr : &*found;
}

void RealFleet::KillSidecar(std::size_t sidecar) {
  if (Member* const member = Find(sidecar)) member->process.process().Kill();
}

void RealFleet::StartSidecar(std::size_t sidecar, nlohmann::json endpoint_list) {
  Member* const member = Find(sidecar);
  if (member == nullptr) return;
  member->process.SetEndpointList(std::move(endpoint_list));
  member->process.SetSeed(DeriveSeed(deployment_.sidecars[sidecar].seed, "restart", ++member->starts));
  member->process.Start();
  member->cpu_at_last_sample_s = 0;
}

void RealFleet::SignalSidecar(std::size_t sidecar, int number) {
  if (Member* const member = Find(sidecar)) member->process.process().Signal(number);
}

bool RealFleet::SidecarRuns(std::size_t sidecar) {
  Member* const member = Find(sidecar);
  return member != nullptr && member->process.process().Running();
}

bool RealFleet::AwaitReady(std::size_t sidecar, Duration timeout) {
  Member* const member = Find(sidecar);
  return member != nullptr && member->process.AwaitReady(timeout);
}

void RealFleet::ChangeDiscoveryAddress(std::size_t sidecar, const lb::Endpoint& discovery) {
  if (Member* const member = Find(sidecar)) member->process.ChangeDiscoveryAddress(lb::ToText(discovery));
}

void RealFleet::WriteMalformedConfiguration(std::size_t sidecar) {
  if (Member* const member = Find(sidecar)) member->process.WriteMalformedConfiguration();
}

void RealFleet::StepClock(std::size_t sidecar, Duration step) {
  if (Member* const member = Find(sidecar)) member->process.StepClock(step);
}

void RealFleet::SetConnecting(std::size_t sidecar, bool connecting) {
  load_thread_.Post([this, sidecar, connecting] { load_->SetConnecting(sidecar, connecting); });
}

void RealFleet::StallClients(StallPoint point) {
  for (const Member& member : members_) {
    load_thread_.Post([this, at = member.process.listen(), point] {
      stalled_clients_.Begin(at, experiment_.classes.front().name, point);
    });
  }
}

std::size_t RealFleet::StalledClientsOpen() {
  return load_thread_.RunAndWait([this] { return stalled_clients_.open(); }, kThreadTimeout);
}

std::vector<std::size_t> RealFleet::SidecarIndices() const {
  std::vector<std::size_t> indices;
  for (const Member& member : members_) indices.push_back(member.sidecar);
  return indices;
}

RealWindow RealFleet::Take() {
  RealWindow window;
  load_thread_.RunAndWait(
      [this, &window] {
        window.load = load_->Take();
        window.stalled = stalled_clients_.Take();
      },
      kThreadTimeout);
  SampleUpstreams(window);
  SampleProcesses(window);
  return window;
}

void RealFleet::SampleProcesses(RealWindow& window) {
  double memory_mb = 0;
  std::size_t running = 0;
  for (Member& member : members_) {
    const auto usage = member.process.process().Usage();
    if (!usage) continue;
    ++running;
    memory_mb += usage->memory_mb;
    member.peak_memory_mb = std::max(member.peak_memory_mb, usage->peak_memory_mb);
    member.peak_descriptors = std::max(member.peak_descriptors, usage->descriptors);
    window.cpu_s += usage->cpu_s - std::exchange(member.cpu_at_last_sample_s, usage->cpu_s);
  }
  if (running > 0) window.memory_mb = memory_mb / static_cast<double>(running);
  for (const Member& member : members_) {
    window.peak_memory_mb += member.peak_memory_mb / static_cast<double>(members_.size());
    window.peak_descriptors +=
        static_cast<double>(member.peak_descriptors) / static_cast<double>(members_.size());
  }
}

void RealFleet::SampleUpstreams(RealWindow& window) {
  const HttpUpstreamCounters now = upstream_thread_.RunAndWait(
      [this, &window] {
        for (std::size_t i = 0; i < upstreams_->size(); ++i) {
          window.overloaded_upstreams += upstreams_->model(i).overloaded() ? 1 : 0;
          window.outstanding_requests += upstreams_->model(i).outstanding_requests();
        }
        return upstreams_->TotalCounters();
      },
      kThreadTimeout);
  const HttpUpstreamCounters before = std::exchange(upstream_counters_at_last_sample_, now);
  window.traffic.attempts = now.requests - before.requests;
  window.traffic.attempts_full = now.rejected - before.rejected;
  window.traffic.connects = now.connections - before.connections;
  window.traffic.probes = now.probes - before.probes;
}

}  // namespace lb::lab

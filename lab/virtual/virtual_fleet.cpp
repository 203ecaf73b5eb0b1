#include "lab/virtual/virtual_fleet.h"

#include <chrono>
#include <utility>

#include "lab/measure/distribution.h"
#include "lab/real/cpu_clock.h"
#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

constexpr double kLoadPercentile = 0.95;

}  // namespace

VirtualFleet::VirtualFleet(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
                           OnResult on_result, OnNotice on_notice)
    : deployment_(deployment),
      scheduler_(scheduler),
      network_(experiment.network, DeriveSeed(experiment.seed, "network")),
      notices_(
          experiment, deployment, scheduler,
          [this](std::size_t sidecar, MembershipUpdate update) { DeliverUpdate(sidecar, std::move(update)); },
          std::move(on_notice)),
      clients_(
          experiment, deployment, scheduler,
          [this](std::size_t sidecar, const OfferedRequest& request, HollowSidecar::OnAnswer on_answer) {
            sidecars_[sidecar]->Offer(request, std::move(on_answer));
          },
          std::move(on_result), traffic_.client_retries) {
  BuildUpstreams(experiment);
  memory_before_mb_ = ResidentMemoryMb();
  BuildSidecars(experiment);
}

void VirtualFleet::BuildUpstreams(const Experiment& experiment) {
  for (const UpstreamInstance& instance : deployment_.upstreams) {
    upstreams_.push_back(std::make_unique<UpstreamModel>(instance, experiment.upstreams, scheduler_));
    directory_.Add(*upstreams_.back());
  }
}

void VirtualFleet::BuildSidecars(const Experiment& experiment) {
  sidecar_starts_.resize(deployment_.sidecars.size());
  for (std::size_t i = 0; i < deployment_.sidecars.size(); ++i) {
    const SidecarInstance& instance = deployment_.sidecars[i];
    sidecars_.push_back(std::make_unique<HollowSidecar>(
        instance, SidecarSettings(experiment, deployment_, instance), directory_, network_, scheduler_,
        traffic_, [this, i] { notices_.Subscribe(i); }));
    StartSidecar(i);
  }
}

// ---- Faults ----

void VirtualFleet::StartUpstream(std::size_t upstream) {
  upstreams_[upstream]->Start();
  UpstreamInfo entry = notices_.entry(upstream);
  entry.state = UpstreamState::kServing;
  entry.started = scheduler_.Now();
  notices_.Change(upstream, std::move(entry));
}

void VirtualFleet::RestartUpstream(std::size_t upstream) {
  SetState(upstream, UpstreamState::kDraining);
  scheduler_.After(kRestartRejectAfter, [this, upstream] { upstreams_[upstream]->SetDraining(true); });
  scheduler_.After(kRestartExitAfter, [this, upstream] {
    upstreams_[upstream]->Crash();
    SetState(upstream, UpstreamState::kGone);
  });
  scheduler_.After(kRestartStartAfter, [this, upstream] { StartUpstream(upstream); });
}

// The process ends while the machine is still unreachable, so that no sidecar receives a reset.
void VirtualFleet::ReturnUpstream(std::size_t upstream) {
  upstreams_[upstream]->Crash();
  upstreams_[upstream]->SetSilent(false);
  StartUpstream(upstream);
}

void VirtualFleet::ChangeWeight(std::size_t upstream, double factor) {
  UpstreamInfo entry = notices_.entry(upstream);
  entry.weight = deployment_.upstreams[upstream].weight * factor;
  notices_.Change(upstream, std::move(entry));
}

void VirtualFleet::SetState(std::size_t upstream, UpstreamState state) {
  UpstreamInfo entry = notices_.entry(upstream);
  entry.state = state;
  notices_.Change(upstream, std::move(entry));
}

void VirtualFleet::KillSidecars(const std::vector<std::size_t>& sidecars) {
  for (const std::size_t sidecar : sidecars) KillSidecar(sidecar);
}

void VirtualFleet::KillSidecar(std::size_t sidecar) {
  sidecars_[sidecar]->Kill();
  notices_.MarkSidecarDown(sidecar);
  scheduler_.After(kSidecarRestart, [this, sidecar] {
    notices_.MarkSidecarUp(sidecar);
    StartSidecar(sidecar);
  });
}

void VirtualFleet::StartSidecar(std::size_t sidecar) {
  const SidecarInstance& instance = deployment_.sidecars[sidecar];
  const std::uint64_t start = sidecar_starts_[sidecar];
  ++sidecar_starts_[sidecar];
  const std::uint64_t seed = start == 0 ? instance.seed : DeriveSeed(instance.seed, "restart", start);
  sidecars_[sidecar]->Start(seed, notices_.DeliveredList(sidecar));
}

void VirtualFleet::DeliverUpdate(std::size_t sidecar, MembershipUpdate update) {
  HollowSidecar& receiver = *sidecars_[sidecar];
  const auto before = receiver.module_time();
  changes_delivered_ += update.upstreams.size();
  receiver.Apply(std::move(update));
  module_seconds_in_changes_ += ToSeconds(receiver.module_time() - before);
}

// ---- Measurements ----

TrafficCounters VirtualFleet::TakeTraffic() {
  const TrafficCounters taken = traffic_;
  traffic_ = {};
  return taken;
}

std::uint64_t VirtualFleet::CrowdedUpstreams() const {
  std::uint64_t overloaded = 0;
  for (const auto& upstream : upstreams_) overloaded += upstream->overloaded();
  return overloaded;
}

std::uint64_t VirtualFleet::RequestsInFlight() const {
  std::uint64_t requests = 0;
  for (const auto& upstream : upstreams_) requests += upstream->outstanding_requests();
  return requests;
}

std::vector<double> VirtualFleet::ServedWork() const {
  std::vector<double> work;
  work.reserve(upstreams_.size());
  for (const auto& upstream : upstreams_) work.push_back(upstream->served_work());
  return work;
}

double VirtualFleet::LoadSpread(const std::vector<double>& before) const {
  Distribution loads;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamInstance& instance = upstreams_[i]->instance();
    loads.Add((upstreams_[i]->served_work() - before[i]) / (instance.kind->cores * instance.speed));
  }
  const double mean = loads.mean();
  return mean > 0 ? loads.Percentile(kLoadPercentile) / mean : 0;
}

double VirtualFleet::ModuleSeconds() const {
  std::chrono::nanoseconds sum{};
  for (const auto& sidecar : sidecars_) sum += sidecar->module_time();
  return ToSeconds(sum);
}

void VirtualFleet::ResetChangeCost() {
  module_seconds_in_changes_ = 0;
  changes_delivered_ = 0;
}

double VirtualFleet::SidecarMemoryMb() const { return ResidentMemoryMb() - memory_before_mb_; }

}  // namespace lb::lab

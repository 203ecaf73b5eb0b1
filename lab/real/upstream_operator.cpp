#include "lab/real/upstream_operator.h"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "lab/model/fault_schedule.h"

namespace lb::lab {
namespace {

using lb::UpstreamState;

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

UpstreamOperator::UpstreamOperator(const Deployment& deployment, MembershipRegistry registry,
                                   Scheduler& scheduler, DiscoveryServer& discovery, HollowFleet& hollow,
                                   RealFleet* real)
    : deployment_(deployment),
      registry_(std::move(registry)),
      scheduler_(scheduler),
      discovery_(discovery),
      hollow_(hollow),
      real_(real) {}

template <typename OnModel, typename OnHttp>
void UpstreamOperator::Both(std::size_t upstream, OnModel on_model, OnHttp on_http) {
  on_model(hollow_.model(upstream));
  if (real_ == nullptr) return;
  real_->AtUpstreams([upstream, on_http](HttpUpstreams& upstreams) { on_http(upstreams, upstream); });
}

void UpstreamOperator::Crash(std::size_t upstream) {
  Both(
      upstream, [](UpstreamModel& model) { model.Crash(); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.Crash(i); });
}

void UpstreamOperator::Start(std::size_t upstream) {
  // Faults may overlap: where it runs already, that process ends.
  Both(
      upstream,
      [](UpstreamModel& model) {
        if (model.running()) model.Crash();
        model.Start();
      },
      [](HttpUpstreams& upstreams, std::size_t i) {
        if (upstreams.model(i).running()) upstreams.Crash(i);
        upstreams.Start(i);
      });
  MembershipEntry entry = Entry(upstream);
  entry.state = UpstreamState::kServing;
  entry.boot_ms = UnixMilliseconds();
  Tell(entry);
}

void UpstreamOperator::SetHanging(std::size_t upstream, bool hanging) {
  Both(
      upstream, [=](UpstreamModel& model) { model.SetHanging(hanging); },
      [=](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetHanging(i, hanging); });
}

void UpstreamOperator::SetSlowdown(std::size_t upstream, double factor) {
  Both(
      upstream, [=](UpstreamModel& model) { model.SetSlowdown(factor); },
      [=](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSlowdown(i, factor); });
}

void UpstreamOperator::Vanish(std::size_t upstream) {
  Both(
      upstream, [](UpstreamModel& model) { model.SetSilent(true); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSilent(i, true); });
}

void UpstreamOperator::Return(std::size_t upstream) {
  // The process has died before anybody reaches the machine again.
  Crash(upstream);
  Both(
      upstream, [](UpstreamModel& model) { model.SetSilent(false); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSilent(i, false); });
  Start(upstream);
}

void UpstreamOperator::Restart(std::size_t upstream) {
  SetState(upstream, UpstreamState::kDraining);
  scheduler_.After(kDrainAnnounced, [this, upstream] {
    Both(
        upstream, [](UpstreamModel& model) { model.SetDraining(true); },
        [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetDraining(i, true); });
  });
  scheduler_.After(kDrainEnds, [this, upstream] {
    Crash(upstream);
    SetState(upstream, UpstreamState::kGone);
  });
  scheduler_.After(kRestarted, [this, upstream] { Start(upstream); });
}

void UpstreamOperator::ChangeWeight(std::size_t upstream, double factor) {
  MembershipEntry entry = Entry(upstream);
  entry.weight = deployment_.upstreams[upstream].weight * factor;
  Tell(entry);
}

MembershipEntry UpstreamOperator::Entry(std::size_t upstream) const {
  return registry_.Find(deployment_.upstreams[upstream].id);
}

void UpstreamOperator::SetState(std::size_t upstream, UpstreamState state) {
  MembershipEntry entry = Entry(upstream);
  entry.state = state;
  Tell(entry);
}

void UpstreamOperator::Tell(const MembershipEntry& entry) {
  const std::uint64_t revision = registry_.Change(entry);
  if (discovery_.Change(entry) != revision) throw std::logic_error("discovery counts other revisions");
  hollow_.propagation().Changed(revision, entry.service, scheduler_.Now());
}

}  // namespace lb::lab

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
void UpstreamOperator::ApplyToBoth(std::size_t upstream, OnModel on_model, OnHttp on_http) {
  on_model(hollow_.model(upstream));
  if (real_ == nullptr) return;
  real_->PostToUpstreams([upstream, on_http](HttpUpstreams& upstreams) { on_http(upstreams, upstream); });
}

void UpstreamOperator::Crash(std::size_t upstream) {
  ApplyToBoth(
      upstream, [](UpstreamModel& model) { model.Crash(); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.Crash(i); });
}

void UpstreamOperator::Start(std::size_t upstream) {
  // Faults may overlap: if a process is already running, it crashes first.
  ApplyToBoth(
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
  PublishEntry(entry);
}

void UpstreamOperator::SetHanging(std::size_t upstream, bool hanging) {
  ApplyToBoth(
      upstream, [=](UpstreamModel& model) { model.SetHanging(hanging); },
      [=](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetHanging(i, hanging); });
}

void UpstreamOperator::SetSlowdown(std::size_t upstream, double factor) {
  ApplyToBoth(
      upstream, [=](UpstreamModel& model) { model.SetSlowdown(factor); },
      [=](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSlowdown(i, factor); });
}

void UpstreamOperator::MakeUnreachable(std::size_t upstream) {
  ApplyToBoth(
      upstream, [](UpstreamModel& model) { model.SetSilent(true); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSilent(i, true); });
}

void UpstreamOperator::MakeReachable(std::size_t upstream) {
  // The old process must die before the machine can be reached again.
  Crash(upstream);
  ApplyToBoth(
      upstream, [](UpstreamModel& model) { model.SetSilent(false); },
      [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetSilent(i, false); });
  Start(upstream);
}

void UpstreamOperator::Restart(std::size_t upstream) {
  SetState(upstream, UpstreamState::kDraining);
  scheduler_.After(kRestartRejectAfter, [this, upstream] {
    ApplyToBoth(
        upstream, [](UpstreamModel& model) { model.SetDraining(true); },
        [](HttpUpstreams& upstreams, std::size_t i) { upstreams.SetDraining(i, true); });
  });
  scheduler_.After(kRestartExitAfter, [this, upstream] {
    Crash(upstream);
    SetState(upstream, UpstreamState::kGone);
  });
  scheduler_.After(kRestartStartAfter, [this, upstream] { Start(upstream); });
}

void UpstreamOperator::ChangeWeight(std::size_t upstream, double factor) {
  MembershipEntry entry = Entry(upstream);
  entry.weight = deployment_.upstreams[upstream].weight * factor;
  PublishEntry(entry);
}

MembershipEntry UpstreamOperator::Entry(std::size_t upstream) const {
  return registry_.Find(deployment_.upstreams[upstream].id);
}

void UpstreamOperator::SetState(std::size_t upstream, UpstreamState state) {
  MembershipEntry entry = Entry(upstream);
  entry.state = state;
  PublishEntry(entry);
}

void UpstreamOperator::PublishEntry(const MembershipEntry& entry) {
  const std::uint64_t revision = registry_.Change(entry);
  if (discovery_.Change(entry) != revision)
    throw std::logic_error("discovery and the registry disagree on the revision");
  hollow_.propagation().RecordChange(revision, entry.service, scheduler_.Now());
}

}  // namespace lb::lab

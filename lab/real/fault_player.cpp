#include "lab/real/fault_player.h"

#include <utility>

namespace lb::lab {
FaultPlayer::FaultPlayer(const Deployment& deployment, Scheduler& scheduler, DiscoveryServer& discovery,
                         HollowFleet& hollow, RealFleet* real, SidecarOperator* real_operator,
                         UpstreamOperator& upstreams)
    : deployment_(deployment),
      scheduler_(scheduler),
      discovery_(discovery),
      hollow_(hollow),
      real_(real),
      real_operator_(real_operator),
      upstreams_(upstreams) {}

void FaultPlayer::Schedule(TimePoint start) {
  for (const FaultEvent& fault : deployment_.faults) {
    scheduler_.At(start + fault.at, [this, &fault] { Begin(fault); });
    scheduler_.At(start + fault.until, [this, &fault] { End(fault); });
  }
}

void FaultPlayer::Begin(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t i : fault.upstreams) upstreams_.Crash(i);
      break;
    case FaultKind::kHang:
      for (const std::size_t i : fault.upstreams) upstreams_.SetHanging(i, true);
      break;
    case FaultKind::kSlow:
      for (const std::size_t i : fault.upstreams) upstreams_.SetSlowdown(i, fault.factor);
      break;
    case FaultKind::kRestart:
      BeginRestarts(fault);
      break;
    case FaultKind::kChange:
      BeginChanges(fault);
      break;
    case FaultKind::kZoneLost:
      for (const std::size_t i : fault.upstreams) upstreams_.Vanish(i);
      break;
    case FaultKind::kRegionCut:
      hollow_.network().SetRegionsCut(true);
      break;
    case FaultKind::kDiscoveryDown:
      discovery_.SetDown(true);
      break;
    case FaultKind::kNoticesLate:
      discovery_.SetLate(fault.factor);
      break;
    case FaultKind::kNoticesSilent:
      discovery_.SilenceWatches();
      break;
    case FaultKind::kNoticesLost:
      discovery_.SetLost(fault.share);
      break;
    case FaultKind::kSidecarsKilled:
      KillSidecars(fault);
      break;
    case FaultKind::kSidecarsStopped:
      BeginStops(fault);
      break;
    case FaultKind::kClientsStalled:
      BeginStalls(fault);
      break;
    case FaultKind::kNewConfigurations:
      BeginConfigurations(fault);
      break;
    case FaultKind::kDiscoverySlow:
      discovery_.SetSlow(true);
      break;
    case FaultKind::kClockStepped:
      if (real_operator_ != nullptr) real_operator_->StepClocks(fault.sidecars, fault.step);
      break;
    case FaultKind::kBurst:
      SetLoadFactor(load_factor_ * fault.factor);
      break;
  }
}

void FaultPlayer::End(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t i : fault.upstreams) upstreams_.Start(i);
      break;
    case FaultKind::kHang:
      for (const std::size_t i : fault.upstreams) upstreams_.SetHanging(i, false);
      break;
    case FaultKind::kSlow:
      for (const std::size_t i : fault.upstreams) upstreams_.SetSlowdown(i, 1);
      break;
    case FaultKind::kZoneLost:
      for (const std::size_t i : fault.upstreams) upstreams_.Return(i);
      break;
    case FaultKind::kRegionCut:
      hollow_.network().SetRegionsCut(false);
      break;
    case FaultKind::kDiscoveryDown:
      discovery_.SetDown(false);
      break;
    case FaultKind::kDiscoverySlow:
      discovery_.SetSlow(false);
      break;
    case FaultKind::kNoticesLate:
      discovery_.SetLate(1);
      break;
    case FaultKind::kNoticesLost:
      discovery_.SetLost(0);
      break;
    case FaultKind::kBurst:
      SetLoadFactor(load_factor_ / fault.factor);
      break;
    case FaultKind::kRestart:
    case FaultKind::kChange:
    case FaultKind::kNoticesSilent:
    case FaultKind::kSidecarsKilled:
    case FaultKind::kSidecarsStopped:
    case FaultKind::kClientsStalled:
    case FaultKind::kNewConfigurations:
    case FaultKind::kClockStepped:
      break;  // they end by themselves
  }
}

void FaultPlayer::Spread(const FaultEvent& fault, std::size_t count,
                         const std::function<void(std::size_t)>& turn) {
  const auto turns = static_cast<Duration::rep>(count);
  for (Duration::rep i = 0; i < turns; ++i) {
    scheduler_.After((fault.until - fault.at) * i / turns, [turn, i] { turn(static_cast<std::size_t>(i)); });
  }
}

void FaultPlayer::BeginRestarts(const FaultEvent& fault) {
  Spread(fault, fault.upstreams.size(),
         [this, &fault](std::size_t i) { upstreams_.Restart(fault.upstreams[i]); });
}

void FaultPlayer::BeginChanges(const FaultEvent& fault) {
  if (fault.upstreams.empty()) return;
  Spread(fault, static_cast<std::size_t>(fault.count), [this, &fault](std::size_t i) {
    const bool up = i / fault.upstreams.size() % 2 == 0;
    upstreams_.ChangeWeight(fault.upstreams[i % fault.upstreams.size()], up ? kChangedWeight : 1);
  });
}

void FaultPlayer::RestartHollow(std::size_t sidecar) {
  hollow_.KillSidecar(sidecar);
  scheduler_.After(kSidecarRestart,
                   [this, sidecar] { hollow_.StartSidecar(sidecar, upstreams_.registry()); });
}

void FaultPlayer::KillSidecars(const FaultEvent& fault) {
  std::vector<std::size_t> real;
  for (const std::size_t i : fault.sidecars) {
    if (deployment_.sidecars[i].real) {
      real.push_back(i);
    } else {
      RestartHollow(i);
    }
  }
  if (!real.empty()) real_operator_->Kill(std::move(real));
}

// A hollow sidecar holds no requests to answer: it ends at once.
void FaultPlayer::BeginStops(const FaultEvent& fault) {
  Spread(fault, fault.sidecars.size(), [this, &fault](std::size_t i) {
    const std::size_t sidecar = fault.sidecars[i];
    if (!deployment_.sidecars[sidecar].real) return RestartHollow(sidecar);
    real_operator_->Stop({sidecar});
  });
}

void FaultPlayer::BeginStalls(const FaultEvent& fault) {
  if (real_operator_ == nullptr) return;
  Spread(fault, static_cast<std::size_t>(fault.count),
         [this](std::size_t i) { real_operator_->StallClients(i); });
}

// The last one is sound: it is what counts in the end.
void FaultPlayer::BeginConfigurations(const FaultEvent& fault) {
  if (real_operator_ == nullptr) return;
  const auto count = static_cast<std::size_t>(fault.count);
  Spread(fault, count,
         [this, count](std::size_t i) { real_operator_->Reconfigure(count >= 3 && i == count / 2); });
}

void FaultPlayer::SetLoadFactor(double factor) {
  load_factor_ = factor;
  hollow_.SetLoadFactor(factor);
  if (real_ != nullptr) real_->SetLoadFactor(factor);
}

}  // namespace lb::lab

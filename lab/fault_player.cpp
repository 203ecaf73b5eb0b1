#include "fault_player.h"

#include <chrono>
#include <utility>

namespace aspendyke::lab {
namespace {

// A killed sidecar takes so long to start anew.
constexpr Duration kSidecarRestart = std::chrono::milliseconds(500);

}  // namespace

FaultPlayer::FaultPlayer(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
                         DiscoveryServer& discovery, HollowFleet& hollow, RealFleet* real,
                         UpstreamOperator& upstreams, KillReal kill_real)
    : experiment_(experiment),
      deployment_(deployment),
      scheduler_(scheduler),
      discovery_(discovery),
      hollow_(hollow),
      real_(real),
      upstreams_(upstreams),
      kill_real_(std::move(kill_real)) {}

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
      break;  // they end by themselves
  }
}

void FaultPlayer::BeginRestarts(const FaultEvent& fault) {
  const auto count = static_cast<Duration::rep>(fault.upstreams.size());
  for (Duration::rep i = 0; i < count; ++i) {
    const std::size_t upstream = fault.upstreams[static_cast<std::size_t>(i)];
    scheduler_.After((fault.until - fault.at) * i / count,
                     [this, upstream] { upstreams_.Restart(upstream); });
  }
}

void FaultPlayer::BeginChanges(const FaultEvent& fault) {
  if (fault.upstreams.empty()) return;
  for (int i = 0; i < fault.count; ++i) {
    const auto turn = static_cast<std::size_t>(i);
    const std::size_t upstream = fault.upstreams[turn % fault.upstreams.size()];
    const bool up = turn / fault.upstreams.size() % 2 == 0;
    scheduler_.After((fault.until - fault.at) * i / fault.count,
                     [this, upstream, up] { upstreams_.ChangeWeight(upstream, up ? kChangedWeight : 1); });
  }
}

void FaultPlayer::KillSidecars(const FaultEvent& fault) {
  std::vector<RealKill> real;
  for (const std::size_t i : fault.sidecars) {
    const SidecarInstance& instance = deployment_.sidecars[i];
    if (instance.real) {
      const auto list = upstreams_.registry().Since(std::nullopt, ListedService(experiment_, instance));
      real.push_back({i, ToJson(list), kSidecarRestart});
      continue;
    }
    hollow_.KillSidecar(i);
    scheduler_.After(kSidecarRestart, [this, i] { hollow_.StartSidecar(i, upstreams_.registry()); });
  }
  if (!real.empty()) kill_real_(std::move(real));
}

void FaultPlayer::SetLoadFactor(double factor) {
  load_factor_ = factor;
  hollow_.SetLoadFactor(factor);
  if (real_ != nullptr) real_->SetLoadFactor(factor);
}

}  // namespace aspendyke::lab

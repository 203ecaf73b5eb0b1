#include "lab/model/fault_schedule.h"

namespace lb::lab {

void SpreadEvenly(Scheduler& scheduler, Duration over, std::size_t count,
                  const std::function<void(std::size_t)>& action) {
  const auto steps = static_cast<Duration::rep>(count);
  for (Duration::rep i = 0; i < steps; ++i) {
    scheduler.After(over * i / steps, [action, i] { action(static_cast<std::size_t>(i)); });
  }
}

FaultSchedule::FaultSchedule(const Deployment& deployment, Scheduler& scheduler, FaultTarget& target)
    : deployment_(deployment), scheduler_(scheduler), target_(target) {}

void FaultSchedule::Schedule(TimePoint start) {
  for (const FaultEvent& fault : deployment_.faults) {
    scheduler_.At(start + fault.at, [this, &fault] { Begin(fault); });
    scheduler_.At(start + fault.until, [this, &fault] { End(fault); });
  }
}

void FaultSchedule::Begin(const FaultEvent& fault) {
  const Duration lasts = fault.until - fault.at;
  const auto count = static_cast<std::size_t>(fault.count);
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t upstream : fault.upstreams) target_.CrashUpstream(upstream);
      break;
    case FaultKind::kHang:
      for (const std::size_t upstream : fault.upstreams) target_.SetHanging(upstream, true);
      break;
    case FaultKind::kSlow:
      for (const std::size_t upstream : fault.upstreams) target_.SetSlowdown(upstream, fault.factor);
      break;
    case FaultKind::kRestart:
      return BeginRestarts(fault);
    case FaultKind::kChange:
      return BeginChanges(fault);
    case FaultKind::kZoneLost:
      for (const std::size_t upstream : fault.upstreams) target_.LoseUpstream(upstream);
      break;
    case FaultKind::kRegionCut:
      return target_.SetRegionsCut(true);
    case FaultKind::kDiscoveryDown:
      return target_.SetDiscoveryDown(true);
    case FaultKind::kDiscoverySlow:
      return target_.SetDiscoverySlow(true);
    case FaultKind::kDiscoveryLate:
      return target_.SetDiscoveryDelay(fault.delay);
    case FaultKind::kDiscoveryBusy:
      return target_.SetDiscoveryWork(fault.delay);
    case FaultKind::kNoticesLate:
      return target_.SetNoticeDelay(fault.factor);
    case FaultKind::kNoticesSilent:
      return target_.SilenceWatches();
    case FaultKind::kNoticesLost:
      return target_.SetLostNotices(fault.share);
    case FaultKind::kSidecarsKilled:
      return target_.KillSidecars(fault.sidecars);
    case FaultKind::kSidecarsStopped:
      return target_.StopSidecars(fault.sidecars, lasts);
    case FaultKind::kClientsStalled:
      return target_.StallClients(count, lasts);
    case FaultKind::kNewConfigurations:
      return target_.SendConfigurations(count, lasts);
    case FaultKind::kClockStepped:
      return target_.StepClocks(fault.sidecars, fault.step);
    case FaultKind::kBurst:
      return SetLoadFactor(load_factor_ * fault.factor);
  }
}

// Kinds without an action here need none at their end.
void FaultSchedule::End(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t upstream : fault.upstreams) target_.StartUpstream(upstream);
      break;
    case FaultKind::kHang:
      for (const std::size_t upstream : fault.upstreams) target_.SetHanging(upstream, false);
      break;
    case FaultKind::kSlow:
      for (const std::size_t upstream : fault.upstreams) target_.SetSlowdown(upstream, 1);
      break;
    case FaultKind::kZoneLost:
      for (const std::size_t upstream : fault.upstreams) target_.ReturnUpstream(upstream);
      break;
    case FaultKind::kRegionCut:
      return target_.SetRegionsCut(false);
    case FaultKind::kDiscoveryDown:
      return target_.SetDiscoveryDown(false);
    case FaultKind::kDiscoverySlow:
      return target_.SetDiscoverySlow(false);
    case FaultKind::kDiscoveryLate:
      return target_.SetDiscoveryDelay(Duration::zero());
    case FaultKind::kDiscoveryBusy:
      return target_.SetDiscoveryWork(Duration::zero());
    case FaultKind::kNoticesLate:
      return target_.SetNoticeDelay(1);
    case FaultKind::kNoticesLost:
      return target_.SetLostNotices(0);
    case FaultKind::kBurst:
      return SetLoadFactor(load_factor_ / fault.factor);
    case FaultKind::kRestart:
    case FaultKind::kChange:
    case FaultKind::kNoticesSilent:
    case FaultKind::kSidecarsKilled:
    case FaultKind::kSidecarsStopped:
    case FaultKind::kClientsStalled:
    case FaultKind::kNewConfigurations:
    case FaultKind::kClockStepped:
      break;
  }
}

void FaultSchedule::BeginRestarts(const FaultEvent& fault) {
  SpreadEvenly(scheduler_, fault.until - fault.at, fault.upstreams.size(),
               [this, &fault](std::size_t i) { target_.RestartUpstream(fault.upstreams[i]); });
}

// Successive changes of an upstream alternate between the changed weight and its own weight.
void FaultSchedule::BeginChanges(const FaultEvent& fault) {
  if (fault.upstreams.empty()) return;
  const auto change = [this, &fault](std::size_t i) {
    const bool changes = i / fault.upstreams.size() % 2 == 0;
    target_.ChangeWeight(fault.upstreams[i % fault.upstreams.size()], changes ? kChangedWeight : 1);
  };
  SpreadEvenly(scheduler_, fault.until - fault.at, static_cast<std::size_t>(fault.count), change);
}

void FaultSchedule::SetLoadFactor(double factor) {
  load_factor_ = factor;
  target_.SetLoadFactor(factor);
}

}  // namespace lb::lab

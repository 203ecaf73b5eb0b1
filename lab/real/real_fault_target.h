// Applies the faults of a run on the real clock to hollow and real sidecars, upstreams and discovery.
#pragma once

#include <cstddef>
#include <vector>

#include "lab/model/fault_schedule.h"
#include "lab/model/scheduler.h"
#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/real/upstream_operator.h"
#include "lab/spec/deployment.h"
#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {

// Call it only on the hollow fleet's thread. A network partition between regions affects hollow sidecars
// only, as real sidecars communicate over loopback.
class RealFaultTarget : public FaultTarget {
 public:
  // The referenced objects have to outlive this object. `real` and `real_operator` are null without real
  // sidecars.
  RealFaultTarget(const Deployment& deployment, Scheduler& scheduler, DiscoveryServer& discovery,
                  HollowFleet& hollow, RealFleet* real, SidecarOperator* real_operator,
                  UpstreamOperator& upstreams);

  void CrashUpstream(std::size_t upstream) override { upstreams_.Crash(upstream); }
  void StartUpstream(std::size_t upstream) override { upstreams_.Start(upstream); }
  void RestartUpstream(std::size_t upstream) override { upstreams_.Restart(upstream); }
  void LoseUpstream(std::size_t upstream) override { upstreams_.MakeUnreachable(upstream); }
  void ReturnUpstream(std::size_t upstream) override { upstreams_.MakeReachable(upstream); }
  void SetHanging(std::size_t upstream, bool hanging) override { upstreams_.SetHanging(upstream, hanging); }
  void SetSlowdown(std::size_t upstream, double factor) override { upstreams_.SetSlowdown(upstream, factor); }
  void ChangeWeight(std::size_t upstream, double factor) override {
    upstreams_.ChangeWeight(upstream, factor);
  }

  void SetRegionsCut(bool cut) override { hollow_.network().SetRegionsCut(cut); }
  void SetDiscoveryDown(bool down) override { discovery_.SetDown(down); }
  void SetDiscoverySlow(bool slow) override { discovery_.SetSlow(slow); }
  void SetDiscoveryDelay(Duration delay) override { discovery_.SetAnswerDelay(delay); }
  void SetDiscoveryWork(Duration work) override { discovery_.SetCallWork(work); }
  void SetNoticeDelay(double factor) override { discovery_.SetNoticeDelayFactor(factor); }
  void SetLostNotices(double share) override { discovery_.SetLostNoticeShare(share); }
  void SilenceWatches() override { discovery_.SilenceWatches(); }

  void KillSidecars(const std::vector<std::size_t>& sidecars) override;
  void StopSidecars(const std::vector<std::size_t>& sidecars, Duration over) override;
  void SetLoadFactor(double factor) override;
  void StallClients(std::size_t count, Duration over) override;
  void SendConfigurations(std::size_t count, Duration over) override;
  void StepClocks(const std::vector<std::size_t>& sidecars, Duration step) override;

 private:
  void RestartHollow(std::size_t sidecar);

  const Deployment& deployment_;
  Scheduler& scheduler_;
  DiscoveryServer& discovery_;
  HollowFleet& hollow_;
  RealFleet* const real_;
  SidecarOperator* const real_operator_;
  UpstreamOperator& upstreams_;
};

}  // namespace lb::lab

// Plays a deployment's faults on the real clock.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/real/upstream_operator.h"
#include "lab/spec/deployment.h"
#include "lab/virtual/hollow_fleet.h"
#include "lab/virtual/scheduler.h"

namespace lb::lab {

// What a change of an upstream's weight makes of it, and its next change takes back. The same as on the
// virtual clock.
inline constexpr double kChangedWeight = 1.1;

// On the hollow fleet's thread. Regions are cut off from each other for hollow sidecars alone: the real ones'
// network is the loopback.
class FaultPlayer {
 public:
  // References have to outlive it; `real` and `real_operator` are null where there are no real sidecars.
  FaultPlayer(const Deployment& deployment, Scheduler& scheduler, DiscoveryServer& discovery,
              HollowFleet& hollow, RealFleet* real, SidecarOperator* real_operator,
              UpstreamOperator& upstreams);

  // Every fault, by its time from `start` on.
  void Schedule(TimePoint start);

 private:
  void Begin(const FaultEvent& fault);
  void End(const FaultEvent& fault);
  void BeginRestarts(const FaultEvent& fault);
  void BeginChanges(const FaultEvent& fault);
  void KillSidecars(const FaultEvent& fault);
  void BeginStops(const FaultEvent& fault);
  void BeginStalls(const FaultEvent& fault);
  void BeginConfigurations(const FaultEvent& fault);
  void RestartHollow(std::size_t sidecar);
  // Does `turn` for each number below `count`, evenly over the fault's time.
  void Spread(const FaultEvent& fault, std::size_t count, const std::function<void(std::size_t)>& turn);
  void SetLoadFactor(double factor);

  const Deployment& deployment_;
  Scheduler& scheduler_;
  DiscoveryServer& discovery_;
  HollowFleet& hollow_;
  RealFleet* const real_;
  SidecarOperator* const real_operator_;
  UpstreamOperator& upstreams_;
  double load_factor_ = 1;
};

}  // namespace lb::lab

// Plays a deployment's faults on the real clock.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "deployment.h"
#include "discovery_server.h"
#include "hollow_fleet.h"
#include "real_fleet.h"
#include "scheduler.h"
#include "upstream_operator.h"

namespace aspendyke::lab {

// What a change of an upstream's weight makes of it, and its next change takes back. The same as on the
// virtual clock.
inline constexpr double kChangedWeight = 1.1;

// On the hollow fleet's thread. Regions are cut off from each other for hollow sidecars alone: the real ones'
// network is the loopback.
class FaultPlayer {
 public:
  // Kills the real sidecars among these, and starts them anew after `downtime` with these lists.
  struct RealKill {
    std::size_t sidecar = 0;
    nlohmann::json known;
    Duration downtime{};
  };
  using KillReal = std::function<void(std::vector<RealKill>)>;

  // References have to outlive it; `real` is null where there are no real sidecars.
  FaultPlayer(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
              DiscoveryServer& discovery, HollowFleet& hollow, RealFleet* real, UpstreamOperator& upstreams,
              KillReal kill_real);

  // Every fault, by its time from `start` on.
  void Schedule(TimePoint start);

 private:
  void Begin(const FaultEvent& fault);
  void End(const FaultEvent& fault);
  void BeginRestarts(const FaultEvent& fault);
  void BeginChanges(const FaultEvent& fault);
  void KillSidecars(const FaultEvent& fault);
  void SetLoadFactor(double factor);

  const Experiment& experiment_;
  const Deployment& deployment_;
  Scheduler& scheduler_;
  DiscoveryServer& discovery_;
  HollowFleet& hollow_;
  RealFleet* const real_;
  UpstreamOperator& upstreams_;
  const KillReal kill_real_;
  double load_factor_ = 1;
};

}  // namespace aspendyke::lab

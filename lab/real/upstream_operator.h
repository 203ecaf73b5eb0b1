// The one place where upstreams change during a run on the real clock, so that models, HTTP upstreams and
// discovery agree.
#pragma once

#include <cstddef>
#include <optional>

#include "lab/model/membership.h"
#include "lab/model/scheduler.h"
#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "lab/spec/deployment.h"
#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {

// On the hollow fleet's thread.
class UpstreamOperator {
 public:
  // `registry` is the list that `discovery` began with; `real` is null where there are no real sidecars. All
  // references have to outlive it.
  UpstreamOperator(const Deployment& deployment, MembershipRegistry registry, Scheduler& scheduler,
                   DiscoveryServer& discovery, HollowFleet& hollow, RealFleet* real);

  const MembershipRegistry& registry() const { return registry_; }

  void Crash(std::size_t upstream);  // the list stands
  void Start(std::size_t upstream);  // a new process, cold and listed
  void SetHanging(std::size_t upstream, bool hanging);
  void SetSlowdown(std::size_t upstream, double factor);
  void Vanish(std::size_t upstream);  // the machine is silent
  void Return(std::size_t upstream);  // it is back, with a new process
  // Drained, gone and back over some seconds.
  void Restart(std::size_t upstream);
  // Its registered weight becomes so many times its own.
  void ChangeWeight(std::size_t upstream, double factor);

 private:
  MembershipEntry Entry(std::size_t upstream) const;
  void SetState(std::size_t upstream, lb::UpstreamState state);
  void Tell(const MembershipEntry& entry);
  // Does the same with the model of the hollow sidecars and the one of the real ones.
  template <typename OnModel, typename OnHttp>
  void Both(std::size_t upstream, OnModel on_model, OnHttp on_http);

  const Deployment& deployment_;
  MembershipRegistry registry_;
  Scheduler& scheduler_;
  DiscoveryServer& discovery_;
  HollowFleet& hollow_;
  RealFleet* const real_;
};

}  // namespace lb::lab

// Changes the state of upstreams during a run on the real clock. All changes go through this class, which
// keeps the hollow sidecars' models, the HTTP upstreams and discovery consistent.
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

// Call it only on the hollow fleet's thread.
class UpstreamOperator {
 public:
  // `registry` has to equal the initial endpoint list of `discovery`; `real` is null without real sidecars.
  // The referenced objects have to outlive this object.
  UpstreamOperator(const Deployment& deployment, MembershipRegistry registry, Scheduler& scheduler,
                   DiscoveryServer& discovery, HollowFleet& hollow, RealFleet* real);

  const MembershipRegistry& registry() const { return registry_; }

  void Crash(std::size_t upstream);  // the endpoint list does not change
  void Start(std::size_t upstream);  // starts a new, cold process and lists it
  void SetHanging(std::size_t upstream, bool hanging);
  void SetSlowdown(std::size_t upstream, double factor);
  void MakeUnreachable(std::size_t upstream);  // the machine does not respond
  void MakeReachable(std::size_t upstream);    // the machine responds again, with a new process
  // Drains the upstream, removes it and starts it again, over several seconds.
  void Restart(std::size_t upstream);
  // Sets the registered weight to `factor` times the weight in the deployment.
  void ChangeWeight(std::size_t upstream, double factor);

 private:
  MembershipEntry Entry(std::size_t upstream) const;
  void SetState(std::size_t upstream, lb::UpstreamState state);
  void PublishEntry(const MembershipEntry& entry);
  // Applies a change to the model used by the hollow sidecars and to the HTTP upstream used by the real ones.
  template <typename OnModel, typename OnHttp>
  void ApplyToBoth(std::size_t upstream, OnModel on_model, OnHttp on_http);

  const Deployment& deployment_;
  MembershipRegistry registry_;
  Scheduler& scheduler_;
  DiscoveryServer& discovery_;
  HollowFleet& hollow_;
  RealFleet* const real_;
};

}  // namespace lb::lab

// The emulated fleet on the virtual clock: modelled upstreams, hollow sidecars, discovery and clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/model/client_model.h"
#include "lab/model/fault_schedule.h"
#include "lab/model/network_model.h"
#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/hollow_sidecar.h"
#include "lab/virtual/membership_notices.h"

namespace lb::lab {

// Not thread-safe: use only on the scheduler's thread.
class VirtualFleet : public FaultTarget {
 public:
  using OnResult = std::function<void(const RequestResult&)>;
  // Called when a change is delivered to a sidecar: `changed` is the time of the change, `delay` the time
  // since.
  using OnNotice = std::function<void(TimePoint changed, Duration delay)>;

  // References must outlive the fleet, and the fleet must outlive the scheduler's tasks. Starts all sidecars.
  VirtualFleet(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
               OnResult on_result, OnNotice on_notice);

  void StartLoad() { clients_.Start(); }
  void StopLoad() { clients_.Stop(); }

  // Returns the counters of sidecars and client retries since the last call.
  TrafficCounters TakeTraffic();
  // Number of undelivered changes, summed over all sidecars that are up.
  std::uint64_t UndeliveredChanges() const { return notices_.UndeliveredChanges(); }

  std::size_t upstreams() const { return upstreams_.size(); }
  std::size_t sidecars() const { return sidecars_.size(); }
  std::uint64_t CrowdedUpstreams() const;
  // Requests that all upstreams hold at present.
  std::uint64_t RequestsInFlight() const;
  // Work served by each upstream since the start of the run.
  std::vector<double> ServedWork() const;
  // 95th percentile divided by mean, over the upstreams, of the work served per unit of capacity since
  // ServedWork() returned `before`.
  double LoadSpread(const std::vector<double>& before) const;

  // Real time spent in the modules of all sidecars, in seconds: in total since the start, and on list changes
  // since the last ResetChangeCost().
  double ModuleSeconds() const;
  double module_seconds_in_changes() const { return module_seconds_in_changes_; }
  std::uint64_t changes_delivered() const { return changes_delivered_; }
  void ResetChangeCost();
  // Resident memory of all sidecars, in MB: the growth of the process since before they were created.
  double SidecarMemoryMb() const;

  void CrashUpstream(std::size_t upstream) override { upstreams_[upstream]->Crash(); }
  void StartUpstream(std::size_t upstream) override;
  void RestartUpstream(std::size_t upstream) override;
  void LoseUpstream(std::size_t upstream) override { upstreams_[upstream]->SetSilent(true); }
  void ReturnUpstream(std::size_t upstream) override;
  void SetHanging(std::size_t upstream, bool hanging) override { upstreams_[upstream]->SetHanging(hanging); }
  void SetSlowdown(std::size_t upstream, double factor) override {
    upstreams_[upstream]->SetSlowdown(factor);
  }
  void ChangeWeight(std::size_t upstream, double factor) override;
  void SetRegionsCut(bool cut) override { network_.SetRegionsCut(cut); }
  void SetDiscoveryDown(bool down) override { notices_.SetDiscoveryDown(down); }
  void SetNoticeDelay(double factor) override { notices_.SetDelayFactor(factor); }
  void SetLostNotices(double share) override { notices_.SetLostShare(share); }
  void SilenceWatches() override { notices_.SilenceWatches(); }
  void KillSidecars(const std::vector<std::size_t>& sidecars) override;
  // Stops at once, without a drain: a hollow sidecar holds no requests that need an answer.
  void StopSidecars(const std::vector<std::size_t>& sidecars, Duration) override { KillSidecars(sidecars); }
  void SetLoadFactor(double factor) override { clients_.SetLoadFactor(factor); }

 private:
  void BuildUpstreams(const Experiment& experiment);
  void BuildSidecars(const Experiment& experiment);
  void SetState(std::size_t upstream, UpstreamState state);
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar);
  void DeliverUpdate(std::size_t sidecar, MembershipUpdate update);

  const Deployment& deployment_;
  Scheduler& scheduler_;
  TrafficCounters traffic_;
  NetworkModel network_;
  std::vector<std::unique_ptr<UpstreamModel>> upstreams_;
  UpstreamDirectory directory_;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars_;
  std::vector<std::uint64_t> sidecar_starts_;  // number of starts, by sidecar
  MembershipNotices notices_;
  ClientModel clients_;
  double module_seconds_in_changes_ = 0;
  std::uint64_t changes_delivered_ = 0;
  double memory_before_mb_ = 0;  // resident memory of the process before the sidecars were created
};

}  // namespace lb::lab

// The fleet on the virtual clock: modelled upstreams, hollow sidecars, notices and clients.
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

// Not thread-safe: it lives on its scheduler's thread.
class VirtualFleet : public FaultTarget {
 public:
  using OnResult = std::function<void(const RequestResult&)>;
  // A change was delivered to a sidecar: when it was made, and how long the delivery took.
  using OnNotice = std::function<void(TimePoint changed, Duration delay)>;

  // References have to outlive it, and it the scheduler's tasks. The sidecars run when this returns.
  VirtualFleet(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
               OnResult on_result, OnNotice on_notice);

  void StartLoad() { clients_.Start(); }
  void StopLoad() { clients_.Stop(); }

  // What sidecars and clients' retries added since the last call.
  TrafficCounters TakeTraffic();
  // Changes that a sidecar has not received.
  std::uint64_t UntoldNotices() const { return notices_.Untold(); }

  std::size_t upstreams() const { return upstreams_.size(); }
  std::size_t sidecars() const { return sidecars_.size(); }
  std::uint64_t CrowdedUpstreams() const;
  // At all upstreams.
  std::uint64_t RequestsInFlight() const;
  // Of each upstream, since its start.
  std::vector<double> ServedWork() const;
  // 95th percentile over mean of the upstreams' served work by capacity, since ServedWork() was `before`.
  double LoadSpread(const std::vector<double>& before) const;

  // Real time that the modules of all sidecars took, in seconds: since their start; and of that for changes
  // of the list, since the last ResetChangeCost().
  double ModuleSeconds() const;
  double module_seconds_in_changes() const { return module_seconds_in_changes_; }
  std::uint64_t changes_told() const { return changes_told_; }
  void ResetChangeCost();
  // Resident memory of all sidecars, in MB.
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
  // At once: a hollow sidecar holds no requests to answer.
  void StopSidecars(const std::vector<std::size_t>& sidecars, Duration) override { KillSidecars(sidecars); }
  void SetLoadFactor(double factor) override { clients_.SetLoadFactor(factor); }

 private:
  void BuildUpstreams(const Experiment& experiment);
  void BuildSidecars(const Experiment& experiment);
  void SetState(std::size_t upstream, UpstreamState state);
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar);
  void TellSidecar(std::size_t sidecar, MembershipUpdate update);

  const Deployment& deployment_;
  Scheduler& scheduler_;
  TrafficCounters traffic_;
  NetworkModel network_;
  std::vector<std::unique_ptr<UpstreamModel>> upstreams_;
  UpstreamDirectory directory_;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars_;
  std::vector<std::uint64_t> sidecar_starts_;  // of each sidecar, so far
  MembershipNotices notices_;
  ClientModel clients_;
  double module_seconds_in_changes_ = 0;
  std::uint64_t changes_told_ = 0;
  double memory_before_mb_ = 0;  // of the process, without sidecars
};

}  // namespace lb::lab

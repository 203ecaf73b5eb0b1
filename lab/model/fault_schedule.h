// Injects a deployment's faults at their times, on either engine: the schedule starts and ends each fault,
// and the engine's FaultTarget applies it to the fleet.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"

namespace lb::lab {

// Factor that a weight change applies to an upstream's own weight. The upstream's next change restores the
// weight.
inline constexpr double kChangedWeight = 1.1;
// Steps of an upstream's restart, as times after discovery announces that it drains: when it begins to reject
// requests, when its process ends, and when the next process starts.
inline constexpr Duration kRestartRejectAfter = std::chrono::seconds(2);
inline constexpr Duration kRestartExitAfter = std::chrono::seconds(3);
inline constexpr Duration kRestartStartAfter = std::chrono::seconds(5);
// Time from the end of a sidecar's process to its restart.
inline constexpr Duration kSidecarRestart = std::chrono::milliseconds(500);

// The fleet that faults are injected into. Upstreams and sidecars are given as indices into the deployment.
// All functions are called on the scheduler's thread.
class FaultTarget {
 public:
  FaultTarget() = default;
  FaultTarget(const FaultTarget&) = delete;
  FaultTarget& operator=(const FaultTarget&) = delete;
  virtual ~FaultTarget() = default;

  // The process dies; its entry in discovery stays unchanged.
  virtual void CrashUpstream(std::size_t upstream) = 0;
  // Starts a new process, which is listed in discovery and begins its slow start.
  virtual void StartUpstream(std::size_t upstream) = 0;
  // Drains the upstream, ends its process and starts a new one, at the times given above.
  virtual void RestartUpstream(std::size_t upstream) = 0;
  // LoseUpstream() makes the machine unreachable, ReturnUpstream() brings it back with a new process.
  // Discovery does not announce the loss, only the new process.
  virtual void LoseUpstream(std::size_t upstream) = 0;
  virtual void ReturnUpstream(std::size_t upstream) = 0;
  // A hanging upstream accepts requests and answers none.
  virtual void SetHanging(std::size_t upstream, bool hanging) = 0;
  // Makes the upstream slower by `factor`; 1 restores full speed.
  virtual void SetSlowdown(std::size_t upstream, double factor) = 0;
  // Registers the upstream's own weight times `factor`.
  virtual void ChangeWeight(std::size_t upstream, double factor) = 0;

  virtual void SetRegionsCut(bool cut) = 0;
  // While discovery is down, it answers no call.
  virtual void SetDiscoveryDown(bool down) = 0;
  // Multiplies the delay of discovery's notices by `factor`; 1 restores the configured delay.
  virtual void SetNoticeDelay(double factor) = 0;
  // Share of discovery's notices that are not delivered, 0 to 1.
  virtual void SetLostNotices(double share) = 0;
  // All watches open at this moment stop delivering notices; watches opened later do not.
  virtual void SilenceWatches() = 0;

  // Kills the sidecars at once. Each restarts kSidecarRestart after its end.
  virtual void KillSidecars(const std::vector<std::size_t>& sidecars) = 0;
  // Requests a planned stop of the sidecars one after another, evenly over the duration. `sidecars` has to
  // remain valid for that time. Each sidecar restarts kSidecarRestart after its end.
  virtual void StopSidecars(const std::vector<std::size_t>& sidecars, Duration over) = 0;
  // Multiplies the load configured in the experiment by `factor`.
  virtual void SetLoadFactor(double factor) = 0;

  // The faults below need real connections and processes; reading an experiment on the virtual clock rejects
  // them.

  // Discovery answers late and splits its responses into pieces.
  virtual void SetDiscoverySlow(bool) {}
  // Each answer of discovery begins so much later; zero ends the fault.
  virtual void SetDiscoveryDelay(Duration) {}
  // Discovery works so long on each call of any sidecar, on one at a time; zero ends the fault.
  virtual void SetDiscoveryWork(Duration) {}
  // `count` clients of each real sidecar stop in the middle of a request, spread over the duration.
  virtual void StallClients(std::size_t, Duration) {}
  // Sends each real sidecar `count` new configurations, spread over the duration.
  virtual void SendConfigurations(std::size_t, Duration) {}
  // Steps the wall clocks of the sidecars' machines forward by the given duration, or back if it is negative.
  virtual void StepClocks(const std::vector<std::size_t>&, Duration) {}
};

// Calls `action` with each index from 0 to `count` - 1, evenly spaced over the duration `over` from now on.
void SpreadEvenly(Scheduler& scheduler, Duration over, std::size_t count,
                  const std::function<void(std::size_t)>& action);

class FaultSchedule {
 public:
  // The references have to outlive the schedule, and the schedule has to outlive the scheduler's tasks.
  FaultSchedule(const Deployment& deployment, Scheduler& scheduler, FaultTarget& target);

  // Schedules every fault at its time after `start`. Must be called only once.
  void Schedule(TimePoint start);

 private:
  void Begin(const FaultEvent& fault);
  void End(const FaultEvent& fault);
  void BeginRestarts(const FaultEvent& fault);
  void BeginChanges(const FaultEvent& fault);
  void SetLoadFactor(double factor);

  const Deployment& deployment_;
  Scheduler& scheduler_;
  FaultTarget& target_;
  double load_factor_ = 1;  // product of the factors of all active bursts
};

}  // namespace lb::lab

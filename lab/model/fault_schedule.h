// Plays a deployment's faults by time, on either engine: the schedule decides when which fault strikes whom,
// a FaultTarget carries it out.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"

namespace lb::lab {

// What a change of an upstream's weight multiplies it by, and its next change takes back.
inline constexpr double kChangedWeight = 1.1;
// A restarted upstream: from the announcement of its draining to its rejecting requests, to its end, and to
// the start of the next process.
inline constexpr Duration kDrainAnnounced = std::chrono::seconds(2);
inline constexpr Duration kDrainEnds = std::chrono::seconds(3);
inline constexpr Duration kRestarted = std::chrono::seconds(5);
// A sidecar that has ended restarts after this time.
inline constexpr Duration kSidecarRestart = std::chrono::milliseconds(500);

// The fleet that faults strike. Upstreams and sidecars are indices into the deployment. Called on the
// scheduler's thread.
class FaultTarget {
 public:
  FaultTarget() = default;
  FaultTarget(const FaultTarget&) = delete;
  FaultTarget& operator=(const FaultTarget&) = delete;
  virtual ~FaultTarget() = default;

  // The process dies; discovery's list stands.
  virtual void CrashUpstream(std::size_t upstream) = 0;
  // A new process, cold and listed.
  virtual void StartUpstream(std::size_t upstream) = 0;
  // Drained, gone and back over some seconds.
  virtual void RestartUpstream(std::size_t upstream) = 0;
  // The machine is silent, and later back with a new process. Discovery tells nothing of either but the new
  // process.
  virtual void LoseUpstream(std::size_t upstream) = 0;
  virtual void ReturnUpstream(std::size_t upstream) = 0;
  // While it hangs it takes requests and answers none.
  virtual void SetHanging(std::size_t upstream, bool hanging) = 0;
  // 1: none.
  virtual void SetSlowdown(std::size_t upstream, double factor) = 0;
  // The registered weight becomes this multiple of the upstream's own.
  virtual void ChangeWeight(std::size_t upstream, double factor) = 0;

  virtual void SetRegionsCut(bool cut) = 0;
  // While it is down discovery answers no call.
  virtual void SetDiscoveryDown(bool down) = 0;
  // 1: none.
  virtual void SetNoticeDelay(double factor) = 0;
  // 0 to 1.
  virtual void SetLostNotices(double share) = 0;
  // All open watches fall silent once.
  virtual void SilenceWatches() = 0;

  // Killed at once; each restarts after kSidecarRestart.
  virtual void KillSidecars(const std::vector<std::size_t>& sidecars) = 0;
  // Told to end in good order, evenly over the duration, through which the vector has to live; each starts
  // anew after kSidecarRestart.
  virtual void StopSidecars(const std::vector<std::size_t>& sidecars, Duration over) = 0;
  // Of the load as the experiment has it.
  virtual void SetLoadFactor(double factor) = 0;

  // Faults of real connections and processes. The experiment's reader refuses them on the virtual clock.
  // Discovery answers late and in pieces.
  virtual void SetDiscoverySlow(bool) {}
  // `count` clients of each real sidecar stop in the middle of a request, over the duration.
  virtual void StallClients(std::size_t, Duration) {}
  // `count` new configurations for each real sidecar, over the duration.
  virtual void SendConfigurations(std::size_t, Duration) {}
  // The wall clocks of the sidecars' machines go on from a time that is later by the step.
  virtual void StepClocks(const std::vector<std::size_t>&, Duration) {}
};

// Calls `turn` with 0 to `count` - 1, evenly over the duration from now on.
void SpreadEvenly(Scheduler& scheduler, Duration over, std::size_t count,
                  const std::function<void(std::size_t)>& turn);

class FaultSchedule {
 public:
  // References have to outlive it, and it the scheduler's tasks.
  FaultSchedule(const Deployment& deployment, Scheduler& scheduler, FaultTarget& target);

  // Schedules every fault, by its time from `start` on. Once.
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
  double load_factor_ = 1;  // of all bursts that go on
};

}  // namespace lb::lab

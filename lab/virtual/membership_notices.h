// Discovery on the virtual clock: the list with its changes, and when each sidecar receives each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// Each change is delivered to each sidecar after a delay drawn from DiscoverySpec::notice_delay_s, in order
// for each sidecar; one that is delivered late delays those behind it, which then come together. Sidecars
// whose membership is on request receive nothing before they subscribe.
class MembershipNotices {
 public:
  using Tell = std::function<void(std::size_t sidecar, lb::MembershipUpdate update)>;
  // One sidecar has received one change, so long after it.
  using OnTold = std::function<void(TimePoint changed, Duration delay)>;

  // All references have to outlive it. Every upstream is listed, serving and started long ago.
  MembershipNotices(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
                    Tell tell, OnTold on_told);

  // The entry as the list has it now. `upstream` is an index into Deployment::upstreams.
  const lb::UpstreamInfo& entry(std::size_t upstream) const { return entries_[upstream]; }
  // The list changes: `entry` replaces the one of that upstream.
  void Change(std::size_t upstream, lb::UpstreamInfo entry);

  // ---- Sidecars, by their index in the deployment ----
  // The list as that sidecar has received it, without those that are gone.
  std::vector<lb::UpstreamInfo> Known(std::size_t sidecar) const;
  void SidecarDown(std::size_t sidecar);  // receives nothing until it is up
  void SidecarUp(std::size_t sidecar);    // receives what it missed
  void Subscribe(std::size_t sidecar);    // its module has asked

  // ---- Faults ----
  void SetDiscoveryDown(bool down);    // no sidecar receives anything; all is delivered at its return
  void SetDelayFactor(double factor);  // notices of changes from now on take so many times as long
  void SetLostShare(
      double share);      // of those from now on: delivered with the next notice, at the latest 6 s on
  void SilenceWatches();  // what is not delivered by now is delivered 6 s from now

  // Changes that a sidecar which is up has not received, over all of these.
  std::uint64_t Untold() const;

 private:
  struct Logged {
    TimePoint at;
    std::size_t upstream = 0;
    lb::UpstreamInfo entry;
  };
  // At `due` the first `count` entries of the log are delivered.
  struct Notice {
    std::size_t count = 0;
    TimePoint due;
  };
  struct Watcher {
    std::size_t log = 0;   // the one it follows
    std::size_t told = 0;  // entries of it that it knows
    std::deque<Notice> notices;
    TimePoint last_due;  // of the notices that are not lost: they keep their order
    std::optional<TimePoint> armed_for;
    TimePoint up_since;
    bool up = true;
    bool subscribed = true;
    std::uint64_t subscription = 0;
  };

  void Announce(Watcher& watcher, std::size_t sidecar);
  void AnnounceAll(Watcher& watcher, std::size_t sidecar, TimePoint due);
  void Arm(std::size_t sidecar);
  void Fire(std::size_t sidecar);
  std::size_t TakeDue(Watcher& watcher) const;
  void TellUpTo(std::size_t sidecar, std::size_t count);
  void TellFailure(std::size_t sidecar, Duration wait);
  Duration DrawDelay();
  bool MayTell(const Watcher& watcher) const { return !down_ && watcher.up && watcher.subscribed; }

  const Experiment& experiment_;
  const Deployment& deployment_;
  Scheduler& scheduler_;
  const Tell tell_;
  const OnTold on_told_;
  std::vector<lb::UpstreamInfo> first_entries_;
  std::vector<lb::UpstreamInfo> entries_;
  std::vector<std::vector<Logged>> logs_;  // one for all, or one for each service, by ListScope
  std::vector<Watcher> watchers_;
  std::mt19937_64 random_;
  bool down_ = false;
  double delay_factor_ = 1;
  double lost_share_ = 0;
  TimePoint silent_until_ = TimePoint::min();
};

}  // namespace lb::lab

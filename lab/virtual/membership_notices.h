// Discovery on the virtual clock: keeps the endpoint list and its changes, and delivers each change to each
// sidecar after a simulated delay.
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

// Delivers each change to each sidecar after a delay drawn from DiscoverySpec::notice_delay_s. A sidecar
// receives changes in order: a late change delays the changes after it, and all are delivered together. Where
// membership is delivered on request, a sidecar receives nothing before it subscribes.
class MembershipNotices {
 public:
  using OnUpdate = std::function<void(std::size_t sidecar, lb::MembershipUpdate update)>;
  // Called for each change delivered to a sidecar; `delay` is the time since the change.
  using OnDelivered = std::function<void(TimePoint changed, Duration delay)>;

  // All references must outlive this object. Initially the list holds every upstream as serving and not
  // recently started.
  MembershipNotices(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
                    OnUpdate on_update, OnDelivered on_delivered);

  // The current list entry. `upstream` is an index into Deployment::upstreams.
  const lb::UpstreamInfo& entry(std::size_t upstream) const { return entries_[upstream]; }
  // Replaces the list entry of that upstream and schedules notices of the change.
  void Change(std::size_t upstream, lb::UpstreamInfo entry);

  // ---- Sidecars, by their index in the deployment ----
  // The list as delivered to that sidecar so far, without upstreams in state kGone.
  std::vector<lb::UpstreamInfo> DeliveredList(std::size_t sidecar) const;
  void MarkSidecarDown(std::size_t sidecar);  // delivers nothing until MarkSidecarUp()
  void MarkSidecarUp(std::size_t sidecar);    // schedules delivery of the missed changes
  void Subscribe(std::size_t sidecar);        // the sidecar's module requested membership

  // ---- Faults ----
  void SetDiscoveryDown(bool down);    // while down, nothing is delivered; afterwards all missed changes are
  void SetDelayFactor(double factor);  // multiplies the delay of notices of later changes
  // `share`: of the notices of later changes. A lost change is delivered with the next notice, or after 6 s.
  void SetLostShare(double share);
  // Delivers nothing for 6 s, then all changes that are undelivered.
  void SilenceWatches();

  // Number of undelivered changes, summed over all sidecars that are up.
  std::uint64_t UndeliveredChanges() const;

 private:
  struct LoggedChange {
    TimePoint at;
    std::size_t upstream = 0;
    lb::UpstreamInfo entry;
  };
  // At time `due`, the first `count` entries of the log are delivered.
  struct Notice {
    std::size_t count = 0;
    TimePoint due;
  };
  struct Watcher {
    std::size_t log = 0;        // index into logs_
    std::size_t delivered = 0;  // log entries delivered so far
    std::deque<Notice> notices;
    TimePoint last_due;  // of notices that are not lost; later notices are not due before
    std::optional<TimePoint> timer_due;
    TimePoint up_since;
    bool up = true;
    bool subscribed = true;
    std::uint64_t subscription = 0;
  };

  void ScheduleNotice(Watcher& watcher, std::size_t sidecar);
  void ScheduleCatchUp(Watcher& watcher, std::size_t sidecar, TimePoint due);
  void ScheduleTimer(std::size_t sidecar);
  void HandleTimer(std::size_t sidecar);
  std::size_t PopDueNotices(Watcher& watcher) const;
  void DeliverUpTo(std::size_t sidecar, std::size_t count);
  void ScheduleFailure(std::size_t sidecar, Duration wait);
  Duration DrawDelay();
  bool CanDeliver(const Watcher& watcher) const { return !down_ && watcher.up && watcher.subscribed; }

  const Experiment& experiment_;
  const Deployment& deployment_;
  Scheduler& scheduler_;
  const OnUpdate on_update_;
  const OnDelivered on_delivered_;
  std::vector<lb::UpstreamInfo> first_entries_;
  std::vector<lb::UpstreamInfo> entries_;
  std::vector<std::vector<LoggedChange>> logs_;  // a single log, or one per service, depending on ListScope
  std::vector<Watcher> watchers_;
  std::mt19937_64 random_;
  bool down_ = false;
  double delay_factor_ = 1;
  double lost_share_ = 0;
  TimePoint silent_until_ = TimePoint::min();
};

}  // namespace lb::lab

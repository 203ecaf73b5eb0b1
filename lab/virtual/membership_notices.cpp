#include "lab/virtual/membership_notices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lb::lab {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;

// Time after which a sidecar receives changes whose notice was lost or whose watch stopped responding.
constexpr Duration kCatchUpDelay = std::chrono::seconds(6);
// Response time of discovery while it is up.
constexpr Duration kCallDuration = std::chrono::milliseconds(1);
// Time after which a call fails while discovery is down.
constexpr Duration kCallTimeout = std::chrono::seconds(1);

UpstreamInfo FirstEntry(const UpstreamInstance& upstream) {
  UpstreamInfo info;
  info.id = {upstream.id};
  info.zone = upstream.zone;
  info.kind = upstream.kind->name;
  info.weight = upstream.weight;
  return info;
}

}  // namespace

MembershipNotices::MembershipNotices(const Experiment& experiment, const Deployment& deployment,
                                     Scheduler& scheduler, OnUpdate on_update, OnDelivered on_delivered)
    : experiment_(experiment),
      deployment_(deployment),
      scheduler_(scheduler),
      on_update_(std::move(on_update)),
      on_delivered_(std::move(on_delivered)),
      random_(DeriveSeed(experiment.seed, "notices")) {
  for (const UpstreamInstance& upstream : deployment.upstreams) entries_.push_back(FirstEntry(upstream));
  first_entries_ = entries_;
  const bool by_service = experiment.list == ListScope::kService;
  logs_.resize(by_service ? std::max<std::size_t>(1, experiment.services) : 1);
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    Watcher watcher;
    watcher.log = by_service ? sidecar.service : 0;
    watcher.subscribed = !experiment.discovery.on_request;
    watcher.up_since = scheduler.Now();
    watchers_.push_back(std::move(watcher));
  }
}

void MembershipNotices::Change(std::size_t upstream, UpstreamInfo entry) {
  entries_[upstream] = entry;
  const std::size_t log =
      experiment_.list == ListScope::kService ? deployment_.upstreams[upstream].service : 0;
  logs_[log].push_back({scheduler_.Now(), upstream, std::move(entry)});
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (watchers_[i].log == log) ScheduleNotice(watchers_[i], i);
  }
}

std::vector<UpstreamInfo> MembershipNotices::DeliveredList(std::size_t sidecar) const {
  const Watcher& watcher = watchers_[sidecar];
  std::vector<const UpstreamInfo*> entries;
  for (const UpstreamInfo& entry : first_entries_) entries.push_back(&entry);
  for (std::size_t i = 0; i < watcher.delivered; ++i) {
    const LoggedChange& change = logs_[watcher.log][i];
    entries[change.upstream] = &change.entry;
  }
  std::vector<UpstreamInfo> list;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool listed = experiment_.list == ListScope::kAll ||
                        deployment_.upstreams[i].service == deployment_.sidecars[sidecar].service;
    if (listed && entries[i]->state != UpstreamState::kGone) list.push_back(*entries[i]);
  }
  return list;
}

void MembershipNotices::MarkSidecarDown(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.up = false;
  watcher.notices.clear();
  watcher.subscribed = !experiment_.discovery.on_request;
  ++watcher.subscription;
}

void MembershipNotices::MarkSidecarUp(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.up = true;
  watcher.up_since = scheduler_.Now();
  ScheduleCatchUp(watcher, sidecar, scheduler_.Now() + DrawDelay());
}

void MembershipNotices::Subscribe(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  const std::uint64_t subscription = ++watcher.subscription;
  if (down_) return ScheduleFailure(sidecar, kCallTimeout);
  scheduler_.After(kCallDuration, [this, sidecar, subscription] {
    Watcher& caller = watchers_[sidecar];
    if (!caller.up || caller.subscription != subscription) return;
    if (down_) return ScheduleFailure(sidecar, kCallTimeout);
    caller.subscribed = true;
    DeliverUpTo(sidecar, std::max(caller.delivered, PopDueNotices(caller)));
    ScheduleTimer(sidecar);
  });
}

void MembershipNotices::SetDiscoveryDown(bool down) {
  down_ = down;
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    Watcher& watcher = watchers_[i];
    if (!watcher.up) continue;
    if (!down) ScheduleCatchUp(watcher, i, scheduler_.Now() + DrawDelay());
    if (down && experiment_.discovery.on_request) ScheduleFailure(i, kCallTimeout);
  }
}

void MembershipNotices::SetDelayFactor(double factor) { delay_factor_ = factor; }

void MembershipNotices::SetLostShare(double share) { lost_share_ = share; }

void MembershipNotices::SilenceWatches() {
  silent_until_ = scheduler_.Now() + kCatchUpDelay;
  for (std::size_t i = 0; i < watchers_.size(); ++i) ScheduleCatchUp(watchers_[i], i, silent_until_);
}

std::uint64_t MembershipNotices::UndeliveredChanges() const {
  std::uint64_t undelivered = 0;
  for (const Watcher& watcher : watchers_) {
    if (watcher.up) undelivered += logs_[watcher.log].size() - watcher.delivered;
  }
  return undelivered;
}

// Schedules the delivery of the log entry that was just appended.
void MembershipNotices::ScheduleNotice(Watcher& watcher, std::size_t sidecar) {
  if (!watcher.up) return;
  const bool lost = lost_share_ > 0 && std::uniform_real_distribution<double>()(random_) < lost_share_;
  const Duration delay = lost ? kCatchUpDelay : DrawDelay();
  const TimePoint due = std::max({scheduler_.Now() + delay, watcher.last_due, silent_until_});
  // A notice delivers all earlier log entries, so notices that are due later are redundant.
  while (!watcher.notices.empty() && watcher.notices.back().due >= due) watcher.notices.pop_back();
  watcher.notices.push_back({logs_[watcher.log].size(), due});
  if (!lost) watcher.last_due = due;
  ScheduleTimer(sidecar);
}

// Replaces all pending notices by one that delivers every missed change at `due`.
void MembershipNotices::ScheduleCatchUp(Watcher& watcher, std::size_t sidecar, TimePoint due) {
  watcher.notices.clear();
  watcher.last_due = TimePoint::min();
  if (!watcher.up || watcher.delivered == logs_[watcher.log].size()) return;
  watcher.last_due = std::max(due, silent_until_);
  watcher.notices.push_back({logs_[watcher.log].size(), watcher.last_due});
  ScheduleTimer(sidecar);
}

void MembershipNotices::ScheduleTimer(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  if (watcher.notices.empty() || !CanDeliver(watcher)) return;
  const TimePoint due = watcher.notices.front().due;
  if (watcher.timer_due && *watcher.timer_due <= due) return;
  watcher.timer_due = due;
  scheduler_.At(due, [this, sidecar, due] {
    if (watchers_[sidecar].timer_due == due) HandleTimer(sidecar);
  });
}

void MembershipNotices::HandleTimer(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.timer_due.reset();
  if (!CanDeliver(watcher)) return;
  const std::size_t count = PopDueNotices(watcher);
  if (count > watcher.delivered) DeliverUpTo(sidecar, count);
  ScheduleTimer(sidecar);
}

std::size_t MembershipNotices::PopDueNotices(Watcher& watcher) const {
  std::size_t count = 0;
  while (!watcher.notices.empty() && watcher.notices.front().due <= scheduler_.Now()) {
    count = watcher.notices.front().count;
    watcher.notices.pop_front();
  }
  return count;
}

void MembershipNotices::DeliverUpTo(std::size_t sidecar, std::size_t count) {
  Watcher& watcher = watchers_[sidecar];
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kChanges;
  for (; watcher.delivered < count; ++watcher.delivered) {
    const LoggedChange& change = logs_[watcher.log][watcher.delivered];
    update.upstreams.push_back(change.entry);
    if (change.at >= watcher.up_since) on_delivered_(change.at, scheduler_.Now() - change.at);
  }
  on_update_(sidecar, std::move(update));
}

void MembershipNotices::ScheduleFailure(std::size_t sidecar, Duration wait) {
  Watcher& watcher = watchers_[sidecar];
  watcher.subscribed = false;
  const std::uint64_t subscription = ++watcher.subscription;
  scheduler_.After(wait, [this, sidecar, subscription] {
    const Watcher& caller = watchers_[sidecar];
    if (!caller.up || caller.subscription != subscription) return;
    on_update_(sidecar, {MembershipUpdate::Kind::kFailed, {}});
  });
}

Duration MembershipNotices::DrawDelay() {
  const Range& range = experiment_.discovery.notice_delay_s;
  const double seconds =
      range.low + (range.high - range.low) * std::uniform_real_distribution<double>()(random_);
  return Duration(std::llround(seconds * delay_factor_ * 1e6));
}

}  // namespace lb::lab

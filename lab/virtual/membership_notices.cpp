#include "lab/virtual/membership_notices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lb::lab {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;

// A notice that was lost, or a watch that fell silent, is made up for within this time.
constexpr Duration kMaxSilence = std::chrono::seconds(6);
// Discovery answers a call so soon where it is up.
constexpr Duration kCallTime = std::chrono::milliseconds(1);
// So long a caller waits for discovery when it is down.
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
                                     Scheduler& scheduler, Tell tell, OnTold on_told)
    : experiment_(experiment),
      deployment_(deployment),
      scheduler_(scheduler),
      tell_(std::move(tell)),
      on_told_(std::move(on_told)),
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
    if (watchers_[i].log == log) Announce(watchers_[i], i);
  }
}

std::vector<UpstreamInfo> MembershipNotices::Known(std::size_t sidecar) const {
  const Watcher& watcher = watchers_[sidecar];
  std::vector<const UpstreamInfo*> known;
  for (const UpstreamInfo& entry : first_entries_) known.push_back(&entry);
  for (std::size_t i = 0; i < watcher.told; ++i) {
    const Logged& logged = logs_[watcher.log][i];
    known[logged.upstream] = &logged.entry;
  }
  std::vector<UpstreamInfo> list;
  for (std::size_t i = 0; i < known.size(); ++i) {
    const bool listed = experiment_.list == ListScope::kAll ||
                        deployment_.upstreams[i].service == deployment_.sidecars[sidecar].service;
    if (listed && known[i]->state != UpstreamState::kGone) list.push_back(*known[i]);
  }
  return list;
}

void MembershipNotices::SidecarDown(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.up = false;
  watcher.notices.clear();
  watcher.subscribed = !experiment_.discovery.on_request;
  ++watcher.subscription;
}

void MembershipNotices::SidecarUp(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.up = true;
  watcher.up_since = scheduler_.Now();
  AnnounceAll(watcher, sidecar, scheduler_.Now() + DrawDelay());
}

void MembershipNotices::Subscribe(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  const std::uint64_t subscription = ++watcher.subscription;
  if (down_) return TellFailure(sidecar, kCallTimeout);
  scheduler_.After(kCallTime, [this, sidecar, subscription] {
    Watcher& caller = watchers_[sidecar];
    if (!caller.up || caller.subscription != subscription) return;
    if (down_) return TellFailure(sidecar, kCallTimeout);
    caller.subscribed = true;
    TellUpTo(sidecar, std::max(caller.told, TakeDue(caller)));
    Arm(sidecar);
  });
}

void MembershipNotices::SetDiscoveryDown(bool down) {
  down_ = down;
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    Watcher& watcher = watchers_[i];
    if (!watcher.up) continue;
    if (!down) AnnounceAll(watcher, i, scheduler_.Now() + DrawDelay());
    if (down && experiment_.discovery.on_request) TellFailure(i, kCallTimeout);
  }
}

void MembershipNotices::SetDelayFactor(double factor) { delay_factor_ = factor; }

void MembershipNotices::SetLostShare(double share) { lost_share_ = share; }

void MembershipNotices::SilenceWatches() {
  silent_until_ = scheduler_.Now() + kMaxSilence;
  for (std::size_t i = 0; i < watchers_.size(); ++i) AnnounceAll(watchers_[i], i, silent_until_);
}

std::uint64_t MembershipNotices::Untold() const {
  std::uint64_t untold = 0;
  for (const Watcher& watcher : watchers_) {
    if (watcher.up) untold += logs_[watcher.log].size() - watcher.told;
  }
  return untold;
}

// The log has one more entry.
void MembershipNotices::Announce(Watcher& watcher, std::size_t sidecar) {
  if (!watcher.up) return;
  const bool lost = lost_share_ > 0 && std::uniform_real_distribution<double>()(random_) < lost_share_;
  const Duration delay = lost ? kMaxSilence : DrawDelay();
  const TimePoint due = std::max({scheduler_.Now() + delay, watcher.last_due, silent_until_});
  // This one brings along what was to come later.
  while (!watcher.notices.empty() && watcher.notices.back().due >= due) watcher.notices.pop_back();
  watcher.notices.push_back({logs_[watcher.log].size(), due});
  if (!lost) watcher.last_due = due;
  Arm(sidecar);
}

// All that it has not received comes together.
void MembershipNotices::AnnounceAll(Watcher& watcher, std::size_t sidecar, TimePoint due) {
  watcher.notices.clear();
  watcher.last_due = TimePoint::min();
  if (!watcher.up || watcher.told == logs_[watcher.log].size()) return;
  watcher.last_due = std::max(due, silent_until_);
  watcher.notices.push_back({logs_[watcher.log].size(), watcher.last_due});
  Arm(sidecar);
}

void MembershipNotices::Arm(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  if (watcher.notices.empty() || !MayTell(watcher)) return;
  const TimePoint due = watcher.notices.front().due;
  if (watcher.armed_for && *watcher.armed_for <= due) return;
  watcher.armed_for = due;
  scheduler_.At(due, [this, sidecar, due] {
    if (watchers_[sidecar].armed_for == due) Fire(sidecar);
  });
}

void MembershipNotices::Fire(std::size_t sidecar) {
  Watcher& watcher = watchers_[sidecar];
  watcher.armed_for.reset();
  if (!MayTell(watcher)) return;
  const std::size_t count = TakeDue(watcher);
  if (count > watcher.told) TellUpTo(sidecar, count);
  Arm(sidecar);
}

std::size_t MembershipNotices::TakeDue(Watcher& watcher) const {
  std::size_t count = 0;
  while (!watcher.notices.empty() && watcher.notices.front().due <= scheduler_.Now()) {
    count = watcher.notices.front().count;
    watcher.notices.pop_front();
  }
  return count;
}

void MembershipNotices::TellUpTo(std::size_t sidecar, std::size_t count) {
  Watcher& watcher = watchers_[sidecar];
  MembershipUpdate update;
  update.kind = MembershipUpdate::Kind::kChanges;
  for (; watcher.told < count; ++watcher.told) {
    const Logged& logged = logs_[watcher.log][watcher.told];
    update.upstreams.push_back(logged.entry);
    if (logged.at >= watcher.up_since) on_told_(logged.at, scheduler_.Now() - logged.at);
  }
  tell_(sidecar, std::move(update));
}

void MembershipNotices::TellFailure(std::size_t sidecar, Duration wait) {
  Watcher& watcher = watchers_[sidecar];
  watcher.subscribed = false;
  const std::uint64_t subscription = ++watcher.subscription;
  scheduler_.After(wait, [this, sidecar, subscription] {
    const Watcher& caller = watchers_[sidecar];
    if (!caller.up || caller.subscription != subscription) return;
    tell_(sidecar, {MembershipUpdate::Kind::kFailed, {}});
  });
}

Duration MembershipNotices::DrawDelay() {
  const Range& range = experiment_.discovery.notice_delay_s;
  const double seconds =
      range.low + (range.high - range.low) * std::uniform_real_distribution<double>()(random_);
  return Duration(std::llround(seconds * delay_factor_ * 1e6));
}

}  // namespace lb::lab

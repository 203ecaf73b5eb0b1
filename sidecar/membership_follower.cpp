#include "sidecar/membership_follower.h"

#include <cstdlib>
#include <utility>

#include "sidecar/log_events.h"

namespace lb::sidecar {

MembershipFollower::MembershipFollower(Duration slow_start_duration, BalancerHost& host, Upstreams& upstreams,
                                       Logger& log)
    : start_times_(slow_start_duration), host_(host), upstreams_(upstreams), log_(log) {}

// The balancer must handle the list before the ends of attempts that the list causes: otherwise it would
// forward a request again to a draining upstream. It must act on the list only after the connections have
// been updated: otherwise it could forward to an upstream that the connections do not know yet.
NextList MembershipFollower::Apply(EndpointList list) {
  const NextList next = CorrectStartTimes(list);
  {
    const BalancerHost::EventHold hold(host_);
    const bool is_whole = list.update.kind != MembershipUpdate::Kind::kChanges;
    host_.Enqueue(std::move(list.update));
    if (is_whole) {
      upstreams_.ReplaceAll(list.locations);
    } else {
      for (const auto& [uid, location] : list.locations) upstreams_.Update(uid, location);
    }
  }
  has_known_upstream_ = has_known_upstream_ || !upstreams_.empty();
  host_.HandleQueuedEvents();
  return next;
}

NextList MembershipFollower::CorrectStartTimes(EndpointList& list) {
  const bool was_trusted = !start_times_.max_ahead();
  const bool needs_whole_list = start_times_.Correct(list.update, Now());
  const auto ahead = start_times_.max_ahead();
  if (was_trusted && ahead) {
    log_.Write(LogEvent(log_events::kWallClockDistrusted)
                   .With("offset_ms", std::abs(ahead->count()) / 1000)
                   .With("direction", *ahead < Duration::zero() ? "behind" : "ahead"));
  }
  return needs_whole_list ? NextList::kWhole : NextList::kChanges;
}

}  // namespace lb::sidecar

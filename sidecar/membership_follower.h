// Applies endpoint lists to the balancer and the upstream connections, with start times corrected for an
// error of the wall clock.
#pragma once

#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/log.h"
#include "sidecar/start_time_corrector.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

// What discovery is to be asked for next.
enum class NextList { kChanges, kWhole };

class MembershipFollower {
 public:
  // `slow_start_duration`: an upstream that started longer ago is not cold any more. The references have to
  // outlive the follower.
  MembershipFollower(Duration slow_start_duration, BalancerHost& host, Upstreams& upstreams, Logger& log);

  // Applies the list and handles the events that follow from it.
  [[nodiscard]] NextList Apply(EndpointList list);

  // The next lists come from another discovery service.
  void ForgetService() { start_times_.ForgetService(); }

  // Call when discovery has sent a list.
  void MarkListReceived() { list_received_ = true; }
  bool list_received() const { return list_received_; }
  // There has been an upstream to forward to, by discovery or by the list that was held at the start.
  bool has_known_upstream() const { return has_known_upstream_; }

 private:
  NextList CorrectStartTimes(EndpointList& list);

  StartTimeCorrector start_times_;
  BalancerHost& host_;
  Upstreams& upstreams_;
  Logger& log_;
  bool list_received_ = false;
  bool has_known_upstream_ = false;
};

}  // namespace lb::sidecar

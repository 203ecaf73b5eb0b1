// Applies endpoint lists to the balancer and the upstream connections, with start times that the wall clock's
// error is taken out of.
#pragma once

#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/log.h"
#include "sidecar/upstreams.h"
#include "sidecar/wall_clock.h"

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
  void ForgetService() { wall_clock_.ForgetService(); }

  // Discovery has told a list.
  void MarkListReceived() { list_received_ = true; }
  bool list_received() const { return list_received_; }
  // There has been an upstream to forward to, by discovery or by the list that was held at the start.
  bool has_known_upstream() const { return has_known_upstream_; }

 private:
  NextList JudgeStartTimes(EndpointList& list);

  WallClock wall_clock_;
  BalancerHost& host_;
  Upstreams& upstreams_;
  Logger& log_;
  bool list_received_ = false;
  bool has_known_upstream_ = false;
};

}  // namespace lb::sidecar

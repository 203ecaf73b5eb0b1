// Applies endpoint lists to the balancer and the upstream connections, after correcting the upstreams' start
// times for an error of the wall clock.
#pragma once

#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/log.h"
#include "sidecar/start_time_corrector.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

// What to request from discovery next.
enum class NextList { kChanges, kWhole };

class MembershipFollower {
 public:
  // `slow_start_duration` is the time after its start during which an upstream is cold. The references must
  // outlive the follower.
  MembershipFollower(Duration slow_start_duration, BalancerHost& host, Upstreams& upstreams, Logger& log);

  // Applies the list and handles the resulting events.
  [[nodiscard]] NextList Apply(EndpointList list);

  // Call before the lists come from another discovery service.
  void ForgetService() { start_times_.ForgetService(); }

  // Call when discovery has sent a list.
  void MarkListReceived() { list_received_ = true; }
  bool list_received() const { return list_received_; }
  // True after any list, from discovery or from the configuration, has contained an upstream to forward to.
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

// Load probes, after Prequal (Wydrowski et al. 2024): where upstreams report their load when probed, a
// request asks a few before it is sent and takes the one with the least load for its speed. A sidecar with
// few requests does not see the queues that other sidecars' requests make.
#pragma once

#include <cstddef>
#include <vector>

#include "balancer/failure_statistics.h"
#include "balancer/latency_statistics.h"
#include "balancer/lateness_statistics.h"
#include "balancer/membership.h"
#include "balancer/request.h"
#include "balancer/request_table.h"
#include "balancer/settings.h"
#include "balancer/slow_start.h"
#include "balancer/zone_locality.h"

namespace lb {

class LoadProber {
 public:
  // All have to outlive this.
  LoadProber(const Settings& settings, const Membership& membership, const LatencyStatistics& latency,
             const LatenessStatistics& lateness, const SlowStart& slow_start, const ZoneLocality& locality,
             RequestTable& requests);

  // Requests of this deployment are probed for whatever their risk.
  bool ProbesEachRequest() const { return probes_ > 1; }
  // Upstreams to ask for a request that would go to `first`. 1: none, it is sent there.
  std::size_t ProbeCount(const Upstream& first, TimePoint now) const;
  // A request waits no longer than this for the reports.
  Duration WaitTime() const;

  // True where `upstream` is to be probed; false while a probe is out, whose report serves all requests that
  // wait for it: a burst would open a connection for each probe.
  static bool ClaimProbe(Upstream& upstream);
  // The request waits for the reports of its `load_probes`, until EndWaiting().
  void BeginWaiting(const Request& request) { waiting_.push_back(request.id); }
  void EndWaiting(const Request& request);

  // A probe ended. Returns the requests that waited for reports.
  std::vector<RequestId> RecordReport(const UpstreamPtr& upstream, const LoadReport& report);
  // A request is sent to `upstream`: reports that others wait with did not count it.
  void OnRequestSent(const UpstreamPtr& upstream);

  struct Choice {
    UpstreamPtr upstream;     // null where none is good
    double in_flight = 0;     // there, by its report, with the request that is chosen for
    bool overloaded = false;  // one at least has more in flight than it serves within the latency objective
  };
  // Of the upstreams that reported, the one with the least load.
  Choice Choose(const Request& request, const std::vector<LoadProbe>& reports, TimePoint now) const;

 private:
  bool IsOverloaded(const Request& request, const LoadProbe& report, double expected_share) const;

  const Settings& settings_;
  const Membership& membership_;
  const LatencyStatistics& latency_;
  const LatenessStatistics& lateness_;
  const SlowStart& slow_start_;
  const ZoneLocality& locality_;
  RequestTable& requests_;
  std::size_t probes_ = 1;          // upstreams asked for each request; 1: none
  double cost_ = 1;                 // of a probe, as a share of a request's value; 1: none is to be sent
  std::vector<RequestId> waiting_;  // requests that wait for reports
};

}  // namespace lb

// Load probes, after Prequal (Wydrowski et al., 2024): if upstreams report their load when probed, a few are
// probed before a request is sent, and the request goes to the one with the least load for its speed. Without
// probes, a sidecar with few requests does not see the queues caused by other sidecars' requests.
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
  // All arguments have to outlive this object.
  LoadProber(const Settings& settings, const Membership& membership, const LatencyStatistics& latency,
             const LatenessStatistics& lateness, const SlowStart& slow_start, const ZoneLocality& locality,
             RequestTable& requests);

  // Whether every request is probed for, regardless of its risk of being late.
  bool ProbesEachRequest() const { return probes_ > 1; }
  // The number of upstreams to probe for a request that would go to `first`. 1: none; the request is sent to
  // `first`.
  std::size_t ProbeCount(const Upstream& first, TimePoint now) const;
  // The maximum time that a request waits for reports.
  Duration WaitTime() const;

  // Returns true if a probe is to be sent to `upstream`; false if one is pending. The report of a pending
  // probe serves all requests that wait for it; otherwise a burst would open a connection for each probe.
  static bool ClaimProbe(Upstream& upstream);
  // Registers a request to receive the reports of its `load_probes`, until EndWaiting().
  void BeginWaiting(const Request& request) { waiting_.push_back(request.id); }
  void EndWaiting(const Request& request);

  // Records the end of a probe. Returns all requests that wait for reports.
  std::vector<RequestId> RecordReport(const UpstreamPtr& upstream, const LoadReport& report);
  // Must be called when a request is sent to `upstream`: adds it to the reports held for waiting requests,
  // which do not include it.
  void OnRequestSent(const UpstreamPtr& upstream);

  struct Choice {
    UpstreamPtr upstream;     // null if no upstream is suitable
    double in_flight = 0;     // reported requests in flight at the upstream, plus the request being placed
    bool overloaded = false;  // at least one of the reporting upstreams is overloaded
  };
  // Chooses the upstream with the least load among those that reported.
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
  std::size_t probes_ = 1;          // upstreams probed for each request; 1: none
  double cost_ = 1;                 // cost of a probe as a share of a request's value; 1: no probes are sent
  std::vector<RequestId> waiting_;  // requests that wait for reports
};

}  // namespace lb

#include "balancer/load_prober.h"

#include <algorithm>
#include <cmath>

#include "balancer/concurrency_limiter.h"

namespace lb {
namespace {

// The share of the service's value that probes may cost.
constexpr double kMaxProbeCost = 0.01;
// The maximum number of probes for one request.
constexpr double kMaxProbes = 3;
// If probes are too expensive to be sent for each request: the number of upstreams probed for a request at
// risk of being late, which are the first choice and one alternative.
constexpr std::size_t kProbesAtRisk = 2;
// A cost of zero would make the number of probes infinite.
constexpr double kMinProbeCost = 1e-9;
// The share of the connect time-out that a request waits for reports.
constexpr double kWaitShare = 0.1;
// An upstream that has more in flight than it serves within this share of the latency objective is
// overloaded: another request would be late and prolong the overload.
constexpr double kOverloadShare = 0.5;

}  // namespace

LoadProber::LoadProber(const Settings& settings, const Membership& membership,
                       const LatencyStatistics& latency, const LatenessStatistics& lateness,
                       const SlowStart& slow_start, const ZoneLocality& locality, RequestTable& requests)
    : settings_(settings),
      membership_(membership),
      latency_(latency),
      lateness_(lateness),
      slow_start_(slow_start),
      locality_(locality),
      requests_(requests) {
  if (!settings.load_probes_report_load || !settings.limits.load_probes_allowed) return;
  cost_ = std::max(settings.decision_costs.probe, kMinProbeCost);
  probes_ = static_cast<std::size_t>(std::clamp(kMaxProbeCost / cost_, 1.0, kMaxProbes));
}

std::size_t LoadProber::ProbeCount(const Upstream& first, TimePoint now) const {
  return probes_ == 1 && lateness_.Risk(first, now) > cost_ ? kProbesAtRisk : probes_;
}

Duration LoadProber::WaitTime() const { return Scaled(settings_.limits.connect_timeout, kWaitShare); }

bool LoadProber::ClaimProbe(Upstream& upstream) {
  const bool claimed = !upstream.load_probe_pending;
  upstream.load_probe_pending = true;
  return claimed;
}

void LoadProber::EndWaiting(const Request& request) { std::erase(waiting_, request.id); }

std::vector<RequestId> LoadProber::RecordReport(const UpstreamPtr& upstream, const LoadReport& report) {
  upstream->load_probe_pending = false;
  for (const RequestId id : waiting_) {
    for (LoadProbe& probe : requests_.Find(id)->load_probes) {
      if (probe.upstream == upstream) probe = {upstream, true, report.in_flight, report.rate.value_or(0)};
    }
  }
  return waiting_;
}

void LoadProber::OnRequestSent(const UpstreamPtr& upstream) {
  for (const RequestId id : waiting_) {
    for (LoadProbe& probe : requests_.Find(id)->load_probes) {
      if (probe.upstream == upstream && probe.in_flight) ++*probe.in_flight;
    }
  }
}

LoadProber::Choice LoadProber::Choose(const Request& request, const std::vector<LoadProbe>& reports,
                                      TimePoint now) const {
  Choice choice;
  double least_load = 0;
  const double mean_weight =
      membership_.listed_weight().value() / static_cast<double>(std::max<std::size_t>(1, membership_.size()));
  for (const LoadProbe& report : reports) {
    const Upstream& upstream = *report.upstream;
    const double expected = latency_.ExpectedSeconds(upstream, *report.in_flight, request.class_index,
                                                     slow_start_.WarmUpFraction(upstream, now)) /
                            Seconds(request.request_class->latency_objective);
    const bool overloaded = IsOverloaded(request, report, expected);
    choice.overloaded |= overloaded;
    // An upstream that the operators enabled and that has had no request since then is preferred, so that it
    // is seen in use again.
    const bool unused_since_enabled =
        Membership::IsEnabledByOperators(upstream) &&
        FailureStatistics::RecentCalls(upstream) + ConcurrencyLimiter::InFlight(upstream) < 1;
    // Approximates the risk of a late response, plus the cost of a cross-zone call.
    const double load = unused_since_enabled ? 0
                                             : std::pow(expected * mean_weight / upstream.info.weight, 2) +
                                                   locality_.Cost(upstream);
    if (overloaded || (choice.upstream && load >= least_load)) continue;
    choice.upstream = report.upstream;
    choice.in_flight = *report.in_flight + 1;
    least_load = load;
  }
  return choice;
}

bool LoadProber::IsOverloaded(const Request& request, const LoadProbe& report, double expected_share) const {
  if (report.rate > 0) {
    return *report.in_flight >
           report.rate * kOverloadShare * Seconds(request.request_class->latency_objective);
  }
  return expected_share > kOverloadShare && latency_.HasEnoughLoadReports();
}

}  // namespace lb

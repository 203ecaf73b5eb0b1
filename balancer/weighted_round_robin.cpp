#include "balancer/weighted_round_robin.h"

#include <algorithm>
#include <cmath>

#include "balancer/failure_statistics.h"
#include "balancer/latency_statistics.h"

namespace lb {
namespace {

// The exponent of the share of successes in a weight. Errors return fast and would attract requests without
// it.
constexpr int kSuccessPower = 3;
// The minimum share of its weight that an upstream keeps, so that its recovery shows.
constexpr double kMinSuccess = 0.02;

}  // namespace

WeightedRoundRobin::WeightedRoundRobin(const Membership& membership, const Subsetting& subsetting,
                                       const SlowStart& slow_start, RandomSource& random)
    : membership_(membership), subsetting_(subsetting), slow_start_(slow_start), random_(random) {}

// The relative latency counts squared, because the responses of a slow upstream are late far more often.
double WeightedRoundRobin::EffectiveWeight(const Upstream& upstream, TimePoint now) const {
  // Time-outs at an upstream that responds fast to other requests reduce its weight only linearly: they do
  // not attract requests as fast errors do, and the upstream serves the other requests that it gets.
  const double unanswered_share =
      LatencyStatistics::IsLoaded(upstream) ? 0 : FailureStatistics::TimeoutShare(upstream);
  const double error_share = FailureStatistics::FailureShare(upstream) - unanswered_share;
  const double latency = LatencyStatistics::RelativeLatency(upstream);
  return upstream.info.weight * slow_start_.WarmUpFraction(upstream, now) / (latency * latency) *
         std::max(kMinSuccess, std::pow(1 - error_share, kSuccessPower) * (1 - unanswered_share));
}

Upstream& WeightedRoundRobin::ChooseNext(const std::vector<WeightedUpstream>& candidates) {
  double sum = 0;
  Upstream* best = candidates.front().upstream;
  for (const WeightedUpstream& candidate : candidates) sum += candidate.weight;
  for (const WeightedUpstream& candidate : candidates) {
    // The credit of an upstream that has not been a candidate for long comes from a rotation of another
    // length.
    double& credit = candidate.upstream->rotation.credit;
    credit = std::clamp(credit, -sum, sum) + candidate.weight;
    if (credit > best->rotation.credit) best = candidate.upstream;
  }
  best->rotation.credit -= sum;
  return *best;
}

void WeightedRoundRobin::Restart(Upstream& upstream, TimePoint now) {
  upstream.rotation.credit = -random_.Uniform() * RotationLength(now);
}

void WeightedRoundRobin::Restart(const std::vector<UpstreamPtr>& entering, TimePoint now) {
  const double length = RotationLength(now);
  for (const UpstreamPtr& upstream : entering) upstream->rotation.credit = -random_.Uniform() * length;
}

void WeightedRoundRobin::AccrueWhileWarmingUp(Upstream& upstream, TimePoint now) const {
  double& credit = upstream.rotation.credit;
  if (credit < 0) credit = std::min(0.0, credit + EffectiveWeight(upstream, now));
}

// The approximate sum of the weights in the subset.
double WeightedRoundRobin::RotationLength(TimePoint now) const {
  return membership_.listed_weight().value() * subsetting_.Share(now);
}

}  // namespace lb

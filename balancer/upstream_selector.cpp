#include "balancer/upstream_selector.h"

#include <cstddef>

#include "balancer/log_lines.h"

namespace lb {
namespace {

// Standings, the best first: the sum of what is amiss with an upstream for a request.
constexpr int kCrowded = 1;
constexpr int kSuspected = 2;
constexpr int kTried = 3;
constexpr int kUnconnected = 6;
constexpr int kWorstStanding = kUnconnected + kTried + kSuspected + 1;
// Requests beyond its share by weight that an upstream may have in flight without being crowded: less would
// make every upstream crowded when few requests are in flight.
constexpr double kCrowdingSlack = 1;

}  // namespace

UpstreamPtr UpstreamSelector::Choose(const Request& request, TimePoint now, Preference preference) {
  if (!components_.retries.CanSend(request, now)) {
    // Slow start budgets are refilled and ejections end nevertheless.
    for (Upstream* upstream : components_.membership.Monitored()) IsEligible(*upstream, now);
    return nullptr;
  }
  const Candidates candidates = FindCandidates(request, now, preference);
  std::vector<WeightedUpstream> best;
  int best_standing = preference == Preference::kAny ? kWorstStanding : kCrowded;
  for (const WeightedUpstream& candidate : candidates.upstreams) {
    const int standing = StandingOf(candidate, request, candidates, now);
    if (standing > best_standing) continue;
    if (standing < best_standing) best.clear();
    best_standing = standing;
    best.push_back(candidate);
  }
  if (best.empty()) return nullptr;
  return WeightedRoundRobin::ChooseNext(best).shared_from_this();
}

// The next upstreams in the order of the ring make up for members of the subset that cannot take the request.
UpstreamSelector::Candidates UpstreamSelector::FindCandidates(const Request& request, TimePoint now,
                                                              Preference preference) {
  const Membership& membership = components_.membership;
  Candidates candidates;
  double missing = components_.subsetting.Size(now);
  for (std::size_t place = 0; place < membership.size() && missing > 0; ++place) {
    Upstream& upstream = membership.At(place);
    if (!IsEligible(upstream, now) || OverloadBackoff::IsBackingOff(upstream, now)) continue;
    if (!components_.retries.CanSendTo(request, upstream, now)) continue;
    if (preference == Preference::kLocalGoodStanding && !components_.locality.IsLocal(upstream)) continue;
    const double weight = components_.rotation.EffectiveWeight(upstream, now);
    candidates.upstreams.push_back({&upstream, weight});
    if (components_.outliers.IsSuspectedOutlier(upstream, now)) continue;
    // One that warms up takes a part of what a member does.
    if (!request.HasTried(upstream)) missing -= components_.slow_start.WarmUpFraction(upstream, now);
    candidates.weight += weight;
    candidates.in_flight += ConcurrencyLimiter::InFlight(upstream);
  }
  return candidates;
}

int UpstreamSelector::StandingOf(const WeightedUpstream& candidate, const Request& request,
                                 const Candidates& candidates, TimePoint now) const {
  const Upstream& upstream = *candidate.upstream;
  const ConnectionTracker& connections = components_.connections;
  const bool has_connection = connections.HasConnection(upstream, now);
  // Where connecting takes long or fails, an upstream without a connection is no better than a crowded one.
  const double fair_share = candidates.in_flight * candidate.weight / candidates.weight;
  const bool crowded = ConcurrencyLimiter::InFlight(upstream) + 1 > kCrowdingSlack + fair_share ||
                       (connections.IsConnectingHard() && !has_connection);
  const bool unconnected =
      !has_connection && (request.LocalFailures() > 0 || ConnectionTracker::IsConnectPaused(upstream, now));
  int standing = 0;
  if (unconnected) standing += kUnconnected;
  if (request.HasTried(upstream)) standing += kTried;
  if (components_.outliers.IsSuspectedOutlier(upstream, now)) {
    standing += kSuspected;
  } else if (crowded) {
    standing += kCrowded;
  }
  return standing;
}

UpstreamPtr UpstreamSelector::ChooseForHalfOpenProbe(const Request& request, TimePoint now) {
  for (Upstream* upstream : components_.membership.Monitored()) {
    if (OutlierDetector::IsAtRest(*upstream)) continue;
    if (request.HasTried(*upstream) || !IsEligibleForHalfOpenProbe(*upstream, now)) continue;
    if (components_.retries.CanSendTo(request, *upstream, now)) return upstream->shared_from_this();
  }
  return nullptr;
}

bool UpstreamSelector::IsEligible(Upstream& upstream, TimePoint now) {
  if (upstream.info.state != UpstreamState::kServing) return false;
  ReadmitIfExpired(upstream, now);
  return !OutlierDetector::IsEjected(upstream) && HasSlowStartBudget(upstream, now);
}

bool UpstreamSelector::IsEligibleForHalfOpenProbe(Upstream& upstream, TimePoint now) {
  if (upstream.info.state != UpstreamState::kServing) return false;
  ReadmitIfExpired(upstream, now);
  return components_.outliers.IsDueForHalfOpenProbe(upstream, now) && HasSlowStartBudget(upstream, now);
}

void UpstreamSelector::ReadmitIfExpired(Upstream& upstream, TimePoint now) {
  if (!components_.outliers.ReadmitIfExpired(upstream, now)) return;
  components_.rotation.Restart(upstream, now);
  components_.actions.Log(UpstreamReadmittedLine(upstream.info.id, ReadmissionReason::kEjectionExpired));
}

bool UpstreamSelector::HasSlowStartBudget(Upstream& upstream, TimePoint now) {
  if (components_.slow_start.HasSlowStartBudget(upstream, now)) return true;
  components_.rotation.AccrueWhileWarmingUp(upstream, now);
  return false;
}

}  // namespace lb

#include "balancer/upstream_selector.h"

#include <cstddef>

#include "balancer/log_lines.h"

namespace lb {
namespace {

// Penalties of an upstream for a request, added up. The upstreams with the lowest sum are preferred.
constexpr int kBusyPenalty = 1;
constexpr int kSuspectedPenalty = 2;
constexpr int kTriedPenalty = 3;
constexpr int kUnconnectedPenalty = 6;
constexpr int kMaxPenalty = kUnconnectedPenalty + kTriedPenalty + kSuspectedPenalty + 1;
// Requests in flight beyond its share by weight that an upstream may have without counting as busy. With
// less, every upstream would count as busy when few requests are in flight.
constexpr double kBusySlack = 1;

}  // namespace

UpstreamPtr UpstreamSelector::Choose(const Request& request, TimePoint now, Preference preference) {
  if (!components_.retries.CanSend(request, now)) {
    // Slow start budgets must be refilled and ejections must end even if the request cannot be sent.
    for (Upstream* upstream : components_.membership.Monitored()) IsEligible(*upstream, now);
    return nullptr;
  }
  const Candidates candidates = FindCandidates(request, now, preference);
  std::vector<WeightedUpstream> best;
  int lowest_penalty = preference == Preference::kAny ? kMaxPenalty : kBusyPenalty;
  for (const WeightedUpstream& candidate : candidates.upstreams) {
    const int penalty = PenaltyOf(candidate, request, candidates, now);
    if (penalty > lowest_penalty) continue;
    if (penalty < lowest_penalty) best.clear();
    lowest_penalty = penalty;
    best.push_back(candidate);
  }
  if (best.empty()) return nullptr;
  return WeightedRoundRobin::ChooseNext(best).shared_from_this();
}

// Members of the subset that cannot take the request are replaced by the next upstreams in ring order.
UpstreamSelector::Candidates UpstreamSelector::FindCandidates(const Request& request, TimePoint now,
                                                              Preference preference) {
  const Membership& membership = components_.membership;
  Candidates candidates;
  double remaining_size = components_.subsetting.Size(now);
  for (std::size_t place = 0; place < membership.size() && remaining_size > 0; ++place) {
    Upstream& upstream = membership.At(place);
    if (!IsEligible(upstream, now) || OverloadBackoff::IsBackingOff(upstream, now)) continue;
    if (!components_.retries.CanSendTo(request, upstream, now)) continue;
    if (preference == Preference::kLocalGoodStanding && !components_.locality.IsLocal(upstream)) continue;
    const double weight = components_.rotation.EffectiveWeight(upstream, now);
    candidates.upstreams.push_back({&upstream, weight});
    if (components_.outliers.IsSuspectedOutlier(upstream, now)) continue;
    // An upstream that warms up replaces only a part of a member.
    if (!request.HasTried(upstream)) remaining_size -= components_.slow_start.WarmUpFraction(upstream, now);
    candidates.weight += weight;
    candidates.in_flight += ConcurrencyLimiter::InFlight(upstream);
  }
  return candidates;
}

int UpstreamSelector::PenaltyOf(const WeightedUpstream& candidate, const Request& request,
                                const Candidates& candidates, TimePoint now) const {
  const Upstream& upstream = *candidate.upstream;
  const ConnectionTracker& connections = components_.connections;
  const bool has_connection = connections.HasConnection(upstream, now);
  // If connecting takes long or fails, an upstream without a connection counts as busy.
  const double fair_share = candidates.in_flight * candidate.weight / candidates.weight;
  const bool busy = ConcurrencyLimiter::InFlight(upstream) + 1 > kBusySlack + fair_share ||
                    (connections.IsConnectingImpaired() && !has_connection);
  const bool unconnected =
      !has_connection && (request.LocalFailures() > 0 || ConnectionTracker::IsConnectPaused(upstream, now));
  int penalty = 0;
  if (unconnected) penalty += kUnconnectedPenalty;
  if (request.HasTried(upstream)) penalty += kTriedPenalty;
  if (components_.outliers.IsSuspectedOutlier(upstream, now)) {
    penalty += kSuspectedPenalty;
  } else if (busy) {
    penalty += kBusyPenalty;
  }
  return penalty;
}

UpstreamPtr UpstreamSelector::ChooseForHalfOpenProbe(const Request& request, TimePoint now) {
  for (Upstream* upstream : components_.membership.Monitored()) {
    if (OutlierDetector::IsIdleAndHealthy(*upstream)) continue;
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

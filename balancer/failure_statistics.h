// The recent share of failed calls, for each upstream and for all its peers together. The comparison with the
// peers distinguishes an outlier from a fault that affects all upstreams.
#pragma once

#include <algorithm>

#include "balancer/membership.h"
#include "balancer/upstream.h"

namespace lb {

// Whether the outcome is a failure of the upstream. False for outcomes that do not depend on the upstream,
// such as kCancelled.
inline bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kReset;
}

class FailureStatistics {
 public:
  // `membership` has to outlive this object.
  explicit FailureStatistics(Membership& membership) : membership_(membership) {}

  // Records a served or failed call to `upstream`, which must be listed.
  void Record(Upstream& upstream, Outcome outcome);

  // The share of failures among the recent calls to `upstream`.
  static double FailureShare(const Upstream& upstream) {
    return upstream.failures.failures / std::max(upstream.failures.calls, kMinCalls);
  }
  // The share of time-outs among the recent calls to `upstream`.
  static double TimeoutShare(const Upstream& upstream) {
    return upstream.failures.timeouts / std::max(upstream.failures.calls, kMinCalls);
  }
  // The approximate number of recent calls to `upstream`, on which the shares are based.
  static double RecentCalls(const Upstream& upstream) { return upstream.failures.calls; }

  // The share of failures among the recent calls to all other upstreams that serve and are not excluded: 0 to
  // 0.95.
  double PeersFailureShare(const Upstream& upstream) const {
    if (stale_) Recount();
    const double calls = calls_ - (upstream.failures.excluded ? 0 : upstream.failures.calls);
    const double failures = failures_ - (upstream.failures.excluded ? 0 : upstream.failures.failures);
    return calls < 1 ? 0 : std::clamp(failures / calls, 0.0, kMaxPeersFailureShare);
  }

  // Excludes an upstream from the peers of others, as when it is ejected, or includes it again.
  void Exclude(Upstream& upstream);
  void Include(Upstream& upstream);

  // Makes the next use compute the sums over all peers from scratch; otherwise they are updated with each
  // outcome. Called when an upstream enters or leaves service, and periodically against rounding errors.
  void Invalidate() { stale_ = true; }

 private:
  // The minimum number of calls in the denominator of a share, so that a single first failure does not count
  // as 100 %. Equals the number of consecutive failures that eject an upstream.
  static constexpr double kMinCalls = 5;
  // Keeps the logarithm of the share, by which the required number of consecutive failures is computed, away
  // from zero.
  static constexpr double kMaxPeersFailureShare = 0.95;

  static bool IsPeer(const Upstream& upstream);
  void Recount() const;

  Membership& membership_;
  mutable bool stale_ = false;
  mutable double calls_ = 0;
  mutable double failures_ = 0;
};

}  // namespace lb

// The recent share of failed calls: of each upstream, and of all its peers together. The latter tells an
// outlier from a fault that all share.
#pragma once

#include <algorithm>

#include "balancer/membership.h"
#include "balancer/upstream.h"

namespace lb {

// The upstream failed. Not of outcomes that say nothing of it, as kCancelled.
inline bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kReset;
}

class FailureStatistics {
 public:
  // `membership` has to outlive this.
  explicit FailureStatistics(Membership& membership) : membership_(membership) {}

  // Counts a call to `upstream`, which is listed, that was served or failed.
  void Record(Upstream& upstream, Outcome outcome);

  // The share of failures among the recent calls to `upstream`.
  static double FailureShare(const Upstream& upstream) {
    return upstream.failures.failures / std::max(upstream.failures.calls, kMinCalls);
  }
  // Likewise of time-outs.
  static double TimeoutShare(const Upstream& upstream) {
    return upstream.failures.timeouts / std::max(upstream.failures.calls, kMinCalls);
  }
  // About how many calls the shares rest on.
  static double RecentCalls(const Upstream& upstream) { return upstream.failures.calls; }

  // The share of failures among the recent calls to all others that serve and are not excluded: 0 to 0.95.
  double PeersFailureShare(const Upstream& upstream) const {
    if (stale_) Recount();
    const double calls = calls_ - (upstream.failures.excluded ? 0 : upstream.failures.calls);
    const double failures = failures_ - (upstream.failures.excluded ? 0 : upstream.failures.failures);
    return calls < 1 ? 0 : std::clamp(failures / calls, 0.0, kMaxPeersFailureShare);
  }

  // An ejected upstream is no peer to compare others with.
  void Exclude(Upstream& upstream);
  void Include(Upstream& upstream);

  // The sums over all peers are updated with each outcome. They are computed again at their next use after
  // this: where an upstream enters or leaves service, and now and then against rounding.
  void Invalidate() { stale_ = true; }

 private:
  // Shares rest on this many calls at least, so that a first failure does not count as all calls failing. It
  // is the run that ejects an upstream.
  static constexpr double kMinCalls = 5;
  // Keeps the logarithm of the share, by which runs are lengthened, away from zero.
  static constexpr double kMaxPeersFailureShare = 0.95;

  static bool IsPeer(const Upstream& upstream);
  void Recount() const;

  Membership& membership_;
  mutable bool stale_ = false;
  mutable double calls_ = 0;
  mutable double failures_ = 0;
};

}  // namespace lb

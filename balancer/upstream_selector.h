// Selects the upstream for a request: from the eligible upstreams of the subset, among those with the lowest
// penalty, the next by weighted round robin.
#pragma once

#include <vector>

#include "balancer/components.h"
#include "balancer/request.h"
#include "balancer/upstream.h"

namespace lb {

class UpstreamSelector {
 public:
  // `components` has to outlive this object.
  explicit UpstreamSelector(Components& components) : components_(components) {}

  enum class Preference {
    kAny,           // the upstream with the lowest penalty
    kGoodStanding,  // not suspected, not tried, and no connect needed after a failure of this host to connect
    kLocalGoodStanding,  // kGoodStanding and in this sidecar's zone
  };
  // Returns null if no upstream can take the request. The choice updates the credits of the rotation.
  UpstreamPtr Choose(const Request& request, TimePoint now, Preference preference = Preference::kAny);

  // An ejected or suspected upstream that the request may be sent to as a half-open probe; null if there is
  // none.
  UpstreamPtr ChooseForHalfOpenProbe(const Request& request, TimePoint now);

  // Whether the upstream may take a request: it is in service, not ejected, and has slow start budget. Every
  // attempt passes either this check or IsEligibleForHalfOpenProbe(). Readmits an upstream whose ejection
  // time is over.
  bool IsEligible(Upstream& upstream, TimePoint now);

  // Ends an ejection whose time is over.
  void ReadmitIfExpired(Upstream& upstream, TimePoint now);

 private:
  // The upstreams that can take the request, with the total weight and requests in flight of those that are
  // not suspected.
  struct Candidates {
    std::vector<WeightedUpstream> upstreams;
    double weight = 0;
    int in_flight = 1;  // requests in flight, including the one being placed
  };
  bool IsEligibleForHalfOpenProbe(Upstream& upstream, TimePoint now);
  bool HasSlowStartBudget(Upstream& upstream, TimePoint now);
  Candidates FindCandidates(const Request& request, TimePoint now, Preference preference);
  int PenaltyOf(const WeightedUpstream& candidate, const Request& request, const Candidates& candidates,
                TimePoint now) const;

  Components& components_;
};

}  // namespace lb

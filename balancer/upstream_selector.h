// Which upstream a request goes to: those eligible in the subset, of these the ones in the best standing, of
// these the next by weighted round robin.
#pragma once

#include <vector>

#include "balancer/components.h"
#include "balancer/request.h"
#include "balancer/upstream.h"

namespace lb {

class UpstreamSelector {
 public:
  // `components` has to outlive this.
  explicit UpstreamSelector(Components& components) : components_(components) {}

  enum class Preference {
    kAny,           // the best there is
    kGoodStanding,  // no suspect, and none that was tried or would need a connection that can't be opened
    kLocalGoodStanding,  // and in this sidecar's zone
  };
  // Null where no upstream can take the request. The choice counts in the rotation.
  UpstreamPtr Choose(const Request& request, TimePoint now, Preference preference = Preference::kAny);

  // An ejected or suspected upstream that the request may be sent to as a half-open probe; null where there
  // is none.
  UpstreamPtr ChooseForHalfOpenProbe(const Request& request, TimePoint now);

  // The upstream may take a request: in service, not ejected, and with a slow start budget. The one gate to
  // every upstream, with IsEligibleForHalfOpenProbe(). Readmits one whose ejection is over.
  bool IsEligible(Upstream& upstream, TimePoint now);

  // Ends an ejection whose time is over.
  void ReadmitIfExpired(Upstream& upstream, TimePoint now);

 private:
  // The upstreams of the subset that can take the request, and the sums over those not suspected.
  struct Candidates {
    std::vector<WeightedUpstream> upstreams;
    double weight = 0;
    int in_flight = 1;  // with the request that is chosen for
  };
  bool IsEligibleForHalfOpenProbe(Upstream& upstream, TimePoint now);
  bool HasSlowStartBudget(Upstream& upstream, TimePoint now);
  Candidates FindCandidates(const Request& request, TimePoint now, Preference preference);
  int StandingOf(const WeightedUpstream& candidate, const Request& request, const Candidates& candidates,
                 TimePoint now) const;

  Components& components_;
};

}  // namespace lb

#include "balancer/slow_start.h"

#include <algorithm>

namespace lb {
namespace {

// The share of the load that would overload a warming upstream, estimated from the load of its peers, up to
// which requests are sent to it. The margin allows for differences between the sidecars' loads.
constexpr double kOverloadMargin = 0.8;
// The share of that load that all sidecars outside whose subset the upstream is may send together: when its
// peers fail, hundreds of them redirect requests to it at the same time.
constexpr double kOutsideSubsetShare = 0.5;

}  // namespace

SlowStart::SlowStart(const FleetLimits& limits, const Membership& membership,
                     const TrafficStatistics& traffic, const Subsetting& subsetting, RandomSource& random)
    : limits_(limits), membership_(membership), traffic_(traffic), subsetting_(subsetting), random_(random) {}

// A random budget: of the sidecars that learn of the upstream at the same time, some call it immediately and
// others one call later.
void SlowStart::OnNewProcess(Upstream& upstream, TimePoint now) {
  upstream.slow_start.budget = random_.Uniform();
  upstream.slow_start.refilled = now;
}

// The budget grows in proportion to what this sidecar usually sends to a warm upstream of the same weight.
// The sidecars in whose subset the upstream is by its place on the ring share the load; the other sidecars
// save up at most half a window of budget.
bool SlowStart::HasBudgetWhileWarmingUp(Upstream& upstream, double warm_up, TimePoint now) {
  SlowStartState& state = upstream.slow_start;
  const double weight = upstream.info.weight;
  const bool in_subset = static_cast<double>(membership_.PlaceOf(upstream)) < subsetting_.Size(now);
  const double subset_share = subsetting_.Share(now);
  const double usual =
      traffic_.CallRate() * weight / std::max(traffic_.usual_weight() * subset_share, weight);
  const double rate = limits_.overload_multiple * kOverloadMargin * warm_up * usual *
                      (in_subset ? 1 : subset_share * kOutsideSubsetShare);
  const double window = Seconds(limits_.overload_window);
  double elapsed = Seconds(now - state.refilled);
  const bool enters = in_subset && !state.in_subset;
  if (enters || (!in_subset && elapsed > window / 2)) {
    state.budget = std::min(enters ? state.budget : 1, random_.Uniform());
    elapsed = std::min(elapsed, window / 2);
  }
  state.in_subset = in_subset;
  state.budget = std::min(std::max(1.0, rate * window / 2), state.budget + rate * elapsed);
  state.refilled = now;
  return state.budget >= 1;
}

void SlowStart::Spend(Upstream& upstream, TimePoint now) const {
  if (IsWarmingUp(upstream, now)) upstream.slow_start.budget -= 1;
}

}  // namespace lb

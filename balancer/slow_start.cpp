#include "balancer/slow_start.h"

#include <algorithm>

namespace lb {
namespace {

// The part of the load that would topple an upstream that warms up, going by what its peers take, which it is
// sent at most: the sidecars' shares vary.
constexpr double kSafety = 0.8;
// Sidecars in whose subset the upstream is not send it this part of that in sum: when its peers go, hundreds
// turn to it at once.
constexpr double kBeyondSubsetShare = 0.5;

}  // namespace

SlowStart::SlowStart(const FleetLimits& limits, const Membership& membership,
                     const TrafficStatistics& traffic, const Subsetting& subsetting, RandomSource& random)
    : limits_(limits), membership_(membership), traffic_(traffic), subsetting_(subsetting), random_(random) {}

// Of the sidecars that hear of it together some call now, some a call later.
void SlowStart::OnNewProcess(Upstream& upstream, TimePoint now) {
  upstream.slow_start.budget = random_.Uniform();
  upstream.slow_start.refilled = now;
}

// The budget grows by what this sidecar usually sends a warm upstream of its weight. Those in whose subset
// the upstream is share it, by its place on the ring alone; the others save nothing up beyond half a window.
bool SlowStart::HasBudgetWhileWarmingUp(Upstream& upstream, double warm_up, TimePoint now) {
  SlowStartState& state = upstream.slow_start;
  const double weight = upstream.info.weight;
  const bool in_subset = static_cast<double>(membership_.PlaceOf(upstream)) < subsetting_.Size(now);
  const double subset_share = subsetting_.Share(now);
  const double usual =
      traffic_.CallRate() * weight / std::max(traffic_.usual_weight() * subset_share, weight);
  const double rate = limits_.overload_multiple * kSafety * warm_up * usual *
                      (in_subset ? 1 : subset_share * kBeyondSubsetShare);
  const double window = Seconds(limits_.overload_window);
  double since = Seconds(now - state.refilled);
  const bool enters = in_subset && !state.in_subset;
  if (enters || (!in_subset && since > window / 2)) {
    state.budget = std::min(enters ? state.budget : 1, random_.Uniform());
    since = std::min(since, window / 2);
  }
  state.in_subset = in_subset;
  state.budget = std::min(std::max(1.0, rate * window / 2), state.budget + rate * since);
  state.refilled = now;
  return state.budget >= 1;
}

void SlowStart::Spend(Upstream& upstream, TimePoint now) const {
  if (IsWarmingUp(upstream, now)) upstream.slow_start.budget -= 1;
}

}  // namespace lb

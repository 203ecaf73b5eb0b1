// How a sidecar's needs grow with the fleet: the same day at the usual size and in a large fleet, each metric
// of the large one against a limit reckoned from the usual one.
//
// What a sidecar meets stays the same but for the lengths of lists: its traffic, its limits, the faults by
// time (those with a share strike that share of either fleet) and the capacity of all upstreams counted for
// each sidecar, so that an upstream of the large fleet has fewer cores.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

enum class FleetSize { kUsual, kLarge };

// The cores of a machine of that kind in the large fleet; nothing where they are not a whole number from 1
// on. `experiment` has a `growth` and one size.
std::optional<int> LargeFleetCores(const Experiment& experiment, const KindSpec& kind);

// One part of a growth experiment at one size, as an experiment of its own with that size and no `growth`. In
// GrowthPart::kReal all sidecars see the same traffic, so that the few real ones see the mean at either size.
// `experiment` has passed CheckGrowth() (growth_spec.h).
Experiment GrowthExperiment(const Experiment& experiment, FleetSize fleet, GrowthPart part);

// Whether a limit of the experiment asks for that part; one that none asks for is not played.
bool IsMeasured(const GrowthSpec& spec, GrowthPart part);

// What both parts measured at one size. A part that was not played has no upstreams.
struct GrowthMetrics {
  Metrics fleet;
  Metrics real;
};

struct GrowthRow {
  GrowthLimit limit;
  double usual = 0;
  double large = 0;
  double allowed = 0;  // of `large`
  bool holds = false;
};

// A row for each limit, in their order. One without a usual value above 0 was not measured and does not hold;
// neither does what is not a number.
std::vector<GrowthRow> CompareGrowth(const GrowthSpec& spec, const GrowthMetrics& usual,
                                     const GrowthMetrics& large);
bool AllHold(const std::vector<GrowthRow>& rows);

// For people: what each part that was played measured at both sizes, then a table with a row for each limit.
void PrintGrowth(std::ostream& out, const GrowthMetrics& usual, const GrowthMetrics& large,
                 const std::vector<GrowthRow>& rows);
// What the experiment amounts to at both sizes, and its limits.
void PrintGrowthPlan(std::ostream& out, const Experiment& experiment);

}  // namespace lb::lab

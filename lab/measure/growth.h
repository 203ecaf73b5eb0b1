// Measures how a sidecar's resource use grows with the fleet: runs the same scenario at the usual size and in
// a large fleet, and compares each metric of the large fleet with a limit computed from the usual one.
//
// Apart from the length of the endpoint lists, conditions for each sidecar are the same in both fleets: its
// traffic, its limits, the faults by time (a fault with a share affects that share of either fleet) and the
// upstreams' total capacity per sidecar. An upstream of the large fleet therefore has fewer cores.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

enum class FleetSize { kUsual, kLarge };

// Number of cores of a machine of that kind in the large fleet; absent if the number is not a whole number of
// at least 1. `experiment` must have a `growth` and one size.
std::optional<int> LargeFleetCores(const Experiment& experiment, const KindSpec& kind);

// One part of a growth experiment at one size, as an experiment of its own with that size and without
// `growth`. In GrowthPart::kReal all sidecars receive the same traffic, so that the few real ones receive the
// mean traffic at either size. `experiment` must have passed CheckGrowth() (growth_spec.h).
Experiment GrowthExperiment(const Experiment& experiment, FleetSize fleet, GrowthPart part);

// Whether any limit of the experiment is on a metric of that part. A part without limits is not run.
bool IsMeasured(const GrowthSpec& spec, GrowthPart part);

// Metrics of both parts at one size. A part that was not run has 0 upstreams.
struct GrowthMetrics {
  Metrics fleet;
  Metrics real;
};

struct GrowthRow {
  GrowthLimit limit;
  double usual = 0;
  double large = 0;
  double allowed = 0;  // limit on `large`
  bool holds = false;
};

// One row for each limit, in the order of the limits. A limit fails if the usual value is not above 0,
// because the metric was not measured, or if any of the values is not a number.
std::vector<GrowthRow> CompareGrowth(const GrowthSpec& spec, const GrowthMetrics& usual,
                                     const GrowthMetrics& large);
bool AllHold(const std::vector<GrowthRow>& rows);

// Prints the metrics of each part that was run at both sizes, then a table with one row for each limit.
void PrintGrowth(std::ostream& out, const GrowthMetrics& usual, const GrowthMetrics& large,
                 const std::vector<GrowthRow>& rows);
// Prints a summary of the deployments at both sizes, and the limits.
void PrintGrowthPlan(std::ostream& out, const Experiment& experiment);

}  // namespace lb::lab

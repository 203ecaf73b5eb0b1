// Drawn deployments as text: what is going to be where, and which fault strikes whom when.
#pragma once

#include <iosfwd>

#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// A few lines for one size: how many of what, the load, and how many each fault strikes.
void PrintSummary(std::ostream& out, const Experiment& experiment, const Deployment& deployment);

// Everything, a line for each upstream, sidecar and fault. The same file, size and seed give the same text.
void PrintSchedule(std::ostream& out, const Experiment& experiment, const Deployment& deployment);

}  // namespace lb::lab

// Prints drawn deployments as text: the locations of upstreams and sidecars, and the time and targets of each
// fault.
#pragma once

#include <iosfwd>

#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// Prints a few lines: the numbers of machines, the load, and the number of targets of each fault.
void PrintSummary(std::ostream& out, const Experiment& experiment, const Deployment& deployment);

// Prints the whole deployment, one line for each upstream, sidecar and fault. The same file, size and seed
// give the same text.
void PrintSchedule(std::ostream& out, const Experiment& experiment, const Deployment& deployment);

}  // namespace lb::lab
